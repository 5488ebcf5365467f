package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// TokenStream reads the tokens of one attempt. It is not safe for concurrent use,
// except for Close.
type TokenStream interface {
	// Next returns the next token, io.EOF after the last one, or an *Error.
	Next() (Token, error)
	// Generation is the generation of this consumer at the engine.
	Generation() uint64
	// Close disconnects from the engine. The attempt continues there.
	Close() error
}

type stream struct {
	call       *call
	events     *eventReader
	generation uint64
	nextIndex  int
	done       bool
	err        error
}

// Generation returns the generation of this consumer at the engine.
func (s *stream) Generation() uint64 { return s.generation }

// Close disconnects from the engine.
func (s *stream) Close() error {
	s.call.close()
	return nil
}

// Next returns the next token. Its index is always one above that of the previous
// one.
func (s *stream) Next() (Token, error) {
	if s.err != nil {
		return Token{}, s.err
	}
	token, err := s.read()
	if err != nil {
		s.err = err
		if !s.done {
			s.call.close()
		}
		return Token{}, err
	}
	return token, nil
}

func (s *stream) read() (Token, error) {
	if s.done {
		return Token{}, io.EOF
	}
	ev, err := s.events.next()
	if err != nil {
		return Token{}, s.readError(err)
	}
	if ev.kind == eventError {
		return Token{}, s.errorEvent(ev.data)
	}
	var token Token
	if err := json.Unmarshal(ev.data, &token); err != nil {
		return Token{}, s.malformedError(err)
	}
	if token.Index != s.nextIndex {
		return Token{}, s.malformedError(fmt.Errorf("token index %d, want %d", token.Index, s.nextIndex))
	}
	s.nextIndex++
	s.done = token.Done
	return token, nil
}

func (s *stream) readError(err error) error {
	if errors.Is(err, errEventTooLarge) {
		return s.malformedError(err)
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return s.call.classifyError(err)
}

func (s *stream) malformedError(err error) error {
	return &Error{Kind: ProtocolError, Sent: true, URL: s.call.url, HTTPStatus: 200, Code: CodeMalformed, Err: err}
}

func (s *stream) errorEvent(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return s.malformedError(err)
	}
	failure := &Error{Kind: ProtocolError, Sent: true, URL: s.call.url, HTTPStatus: 200, Code: body.Error.Code, Err: errors.New(body.Error.Message)}
	switch body.Error.Code {
	case CodeSuperseded, CodeCanceled:
		failure.Kind = Canceled
	case CodeKVGone:
		failure.Kind = KVGone
	case CodeFull:
		failure.Kind = Full
	}
	return failure
}

const eventError = "error"

var errEventTooLarge = errors.New("event is larger than the limit")

type event struct {
	kind string
	data []byte
}

// eventReader parses server-sent events.
type eventReader struct {
	reader *bufio.Reader
	limit  int
	data   []byte
}

func newEventReader(r io.Reader, limit int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 16<<10), limit: limit}
}

// next returns the next event that has data. The data is valid until the next call.
// An event that is incomplete at the end of the stream is not returned.
func (e *eventReader) next() (event, error) {
	var ev event
	e.data = e.data[:0]
	size, hasData := 0, false
	for {
		line, err := e.line(e.limit - size)
		if err != nil {
			return event{}, err
		}
		size += len(line)
		if len(line) == 0 {
			if hasData {
				ev.data = e.data
				return ev, nil
			}
			ev, size = event{}, 0
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "":
			// A comment keeps the stream alive and does not count towards an event's size.
			size -= len(line)
		case "event":
			ev.kind = string(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// line returns the next line without its line break, of at most limit bytes. It is
// valid until the next call.
func (e *eventReader) line(limit int) ([]byte, error) {
	var long []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		if len(long)+len(part) > limit+2 {
			return nil, errEventTooLarge
		}
		if err == nil {
			if long != nil {
				part = append(long, part...)
			}
			return bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		long = append(long, part...)
	}
}
