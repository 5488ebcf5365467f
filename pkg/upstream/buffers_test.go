package upstream

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
)

// Guards against responses that are cut, extended or refused at a size at which they need more memory.
func TestBuffersReadResponsesOfAnySize(t *testing.T) {
	buffers := NewBuffers()
	const limit = 3 << 20
	for _, size := range []int{0, 1, 511, 512, 513, 16 << 10, 16<<10 + 1, 128 << 10, 128<<10 + 1, 1 << 20, 1<<20 + 1, limit - 1, limit} {
		is := is.New(t)
		text := bytes.Repeat([]byte{'x'}, size)
		body, err := buffers.ReadAll(t.Context(), bytes.NewReader(text), limit)
		is.NoErr(err)
		is.True(bytes.Equal(body, text))
	}
	is := is.New(t)
	_, err := buffers.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", limit+1)), limit)
	is.True(err != nil)
	_, err = buffers.ReadAll(t.Context(), io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
	is.Equal(err, io.ErrUnexpectedEOF)
	for _, tier := range buffers.tiers {
		is.Equal(len(tier.places), 0) // everything is released
	}
}

// Guards against more large responses in memory than there are places, and against a small response
// that waits for large ones.
func TestBuffersLetLargeResponsesWait(t *testing.T) {
	is := is.New(t)
	buffers := NewBuffers()
	places := cap(buffers.tiers[1].places)
	var held []*Reservation
	for range places {
		r := buffers.Reserve()
		is.NoErr(r.Resize(t.Context(), 64<<10))
		held = append(held, r)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(buffers.Reserve().Resize(ctx, 64<<10), context.DeadlineExceeded)
	_, err := buffers.ReadAll(t.Context(), strings.NewReader("small"), 100)
	is.NoErr(err)
	held[0].Release()
	is.NoErr(buffers.Reserve().Resize(t.Context(), 64<<10))
}
