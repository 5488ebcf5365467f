package peer

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against connections of strangers that stop half-way in the handshake and keep peers out.
func TestOldestHandshakeIsClosedForANewOne(t *testing.T) {
	is := is.New(t)
	h := &handshakes{limit: 2}
	var others []net.Conn
	var own []net.Conn
	for range 3 {
		a, b := net.Pipe()
		own, others = append(own, a), append(others, b)
		defer a.Close()
		defer b.Close()
	}
	is.True(!h.add(own[0]))
	is.True(!h.add(own[1]))
	is.True(h.add(own[2]))
	_, err := others[0].Read(make([]byte, 1))
	is.True(err != nil) // closed
	h.remove(own[0])    // not counted any more
	h.remove(own[1])
	is.Equal(len(h.conns), 1)
	is.True(!h.add(own[1]))
}
