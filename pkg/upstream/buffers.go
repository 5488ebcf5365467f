package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"
)

// Buffers bounds the memory of the responses that are held until they are complete, over all requests
// of a process: an Upstream may send bytes without end to each of them. Small responses are held in any
// number; larger ones wait for each other. It is safe for concurrent use.
type Buffers struct{ tiers []bufferTier }

// bufferTier is a size up to which a number of responses are held at the same time.
type bufferTier struct {
	size   int           // bytes
	places chan struct{} // nil for any number
}

// Sizes of the tiers in bytes, and how many responses each holds at the same time. Most answers are
// small, which are held in any number. The size of huge ones is limited by the callers.
const (
	maxSmallBytes  = 16 << 10
	maxMediumBytes = 128 << 10
	maxLargeBytes  = 1 << 20
	mediumPlaces   = 32
	largePlaces    = 6
	hugePlaces     = 1
)

// NewBuffers returns Buffers that hold about 18 MB besides small responses.
func NewBuffers() *Buffers {
	return &Buffers{tiers: []bufferTier{
		{size: maxSmallBytes},
		{size: maxMediumBytes, places: make(chan struct{}, mediumPlaces)},
		{size: maxLargeBytes, places: make(chan struct{}, largePlaces)},
		{size: math.MaxInt, places: make(chan struct{}, hugePlaces)},
	}}
}

// Reserve returns a Reservation for one response. Resize(ctx, 0) releases it.
func (b *Buffers) Reserve() *Reservation { return &Reservation{buffers: b} }

// Reservation is the memory of one response. It is not safe for concurrent use.
type Reservation struct {
	buffers *Buffers
	tier    int
}

// Resize changes the memory to size bytes. To grow it waits, at most until ctx ends, until that many
// may be held; it never waits to shrink.
func (r *Reservation) Resize(ctx context.Context, size int) error {
	tiers := r.buffers.tiers
	for size > tiers[r.tier].size {
		// Places are taken in the order of the tiers, so that no two responses wait for each other.
		select {
		case tiers[r.tier+1].places <- struct{}{}:
			r.tier++
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	for r.tier > 0 && size <= tiers[r.tier-1].size {
		<-tiers[r.tier].places
		r.tier--
	}
	return nil
}

// Release gives the memory back.
func (r *Reservation) Release() { _ = r.Resize(context.Background(), 0) } // shrinking can't fail

// ErrTooLarge means that a response has more bytes than its limit.
var ErrTooLarge = errors.New("the response is too large")

// minReadBytes is the capacity with which a response is read first.
const minReadBytes = 512

// ErrUnread means that an Upstream ended an answer that this process had not read for MinUnreadTime. That
// is no failure of the Upstream: it may not hold what nobody reads.
var ErrUnread = errors.New("the Upstream ended an answer that was not read")

// MinUnreadTime is the time for which an answer was not read from which its end may be due to that.
// Upstreams wait for some seconds.
const MinUnreadTime = time.Second

// ReadAll reads a response of at most limit bytes; a longer one is an error.
func (b *Buffers) ReadAll(ctx context.Context, r io.Reader, limit int) ([]byte, error) {
	return b.ReadAllWithin(ctx, r, limit, func(int) error { return nil })
}

// ReadAllWithin is ReadAll with a function that reserves the bytes by which the body grows. They are
// held until the caller gives them back, also after an error.
func (b *Buffers) ReadAllWithin(ctx context.Context, r io.Reader, limit int, reserve func(n int) error) ([]byte, error) {
	reservation := b.Reserve()
	defer reservation.Release()
	var body []byte
	var unread time.Duration
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), minReadBytes), limit+1)
			began := time.Now()
			if err := reservation.Resize(ctx, size); err != nil {
				return nil, err
			}
			if err := reserve(size - cap(body)); err != nil {
				return nil, err
			}
			unread = max(unread, time.Since(began))
			body = slices.Grow(body, size-len(body))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, fmt.Errorf("%w: it has more than %d bytes", ErrTooLarge, limit)
		case err == io.EOF:
			return body, nil
		case err != nil && unread >= MinUnreadTime:
			return nil, fmt.Errorf("%w: %w", ErrUnread, err)
		case err != nil:
			return nil, err
		}
	}
}
