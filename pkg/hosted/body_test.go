package hosted

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against bodies that are not whole at the borders of buffers and chunks, against one that was
// broken off and is taken as whole, and against reserved bytes that are not given back.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, minBodyBytes - 1, minBodyBytes, minBodyBytes + 1, chunkBytes, 2 * chunkBytes, 2*chunkBytes + 1, 5*chunkBytes - 1, 1 << 20} {
		for _, stated := range []int{size, 4 << 20} {
			is := is.New(t)
			held := 0
			reader := bodyReader{
				chunks: &chunkPool{limit: 4}, reserve: func(n int) error { held += n; return nil }, release: func(n int) { held -= n },
			}
			want := bytes.Repeat([]byte("abcdefg"), size/7+1)[:size]
			got, err := reader.readAll(bytes.NewReader(want), stated)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
			is.True(held >= size)
			is.True(held <= 2*size+minBodyBytes)
			is.True(len(reader.chunks.free) <= 4)

			got, err = reader.readAll(iotest.DataErrReader(bytes.NewReader(want)), stated)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))

			for _, broken := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
				_, err = reader.readAll(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(broken)), stated)
				is.Equal(err, broken)
			}
		}
	}
}
