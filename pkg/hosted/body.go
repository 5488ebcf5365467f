package hosted

import (
	"io"
	"sync"
)

const (
	// minBodyBytes is the capacity with which a body is read first. Most bodies have 600 to 5,000 bytes.
	minBodyBytes = 4 << 10
	// chunkBytes is the size of the chunks in which the rest of a larger body is read. Ordinary bodies
	// have up to 55,000 bytes and need none.
	chunkBytes = 64 << 10
)

// chunkPool keeps chunks for later bodies. Without it, bodies that never end leave garbage faster than
// the runtime collects it: 267 MB were resident with a budget of 36 MB. It is safe for concurrent use.
type chunkPool struct {
	// limit bounds the chunks that are kept.
	limit int

	mu   sync.Mutex
	free [][]byte
}

func (p *chunkPool) get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.free) - 1
	if last < 0 {
		return make([]byte, chunkBytes)
	}
	chunk := p.free[last]
	p.free[last] = nil
	p.free = p.free[:last]
	return chunk
}

func (p *chunkPool) put(chunks [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, chunks[:min(len(chunks), max(0, p.limit-len(p.free)))]...)
}

// clear drops the chunks that are kept.
func (p *chunkPool) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = nil
}

// bodyReader reads a body. It reserves memory before it allocates it, and allocates it as bytes arrive.
type bodyReader struct {
	chunks  *chunkPool
	reserve func(n int) error
	release func(n int)
}

// readAll reads a body that has at most largest bytes, or lets r report that it has more.
func (b bodyReader) readAll(r io.Reader, largest int) ([]byte, error) {
	var body []byte
	for cap(body) < chunkBytes {
		size := max(min(max(2*cap(body), minBodyBytes), largest+1), cap(body)+1) // one more to read the end
		if err := b.reserve(size - cap(body)); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, nil
			}
			if err != nil {
				return nil, err
			}
		}
	}
	return b.readChunks(r, body)
}

// readChunks reads the rest of a body into chunks, and joins them when it is complete.
func (b bodyReader) readChunks(r io.Reader, start []byte) ([]byte, error) {
	var chunks [][]byte
	defer func() { b.chunks.put(chunks) }()
	size := len(start)
	for {
		if err := b.reserve(chunkBytes); err != nil {
			return nil, err
		}
		chunk := b.chunks.get()
		chunks = append(chunks, chunk)
		n, err := io.ReadFull(r, chunk)
		size += n
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			// net/http reports the end of the connection within a body as io.ErrUnexpectedEOF, as
			// io.ReadFull does for the end of the body.
			var none [1]byte
			if _, err = r.Read(none[:]); err == io.EOF {
				break
			}
		}
		if err != nil {
			return nil, err
		}
	}
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	body := append(make([]byte, 0, size), start...)
	for _, chunk := range chunks {
		body = append(body, chunk[:min(chunkBytes, size-len(body))]...)
	}
	b.release(len(chunks)*chunkBytes + cap(start))
	return body, nil
}
