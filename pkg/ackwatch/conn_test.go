package ackwatch

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testLimit = 1500 * time.Millisecond

// blockedConn returns a connection to a peer that reads nothing, with samples that show what at returns for
// the time since the start.
func blockedConn(t *testing.T, at func(time.Duration) Sample) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	start := time.Now()
	c := New(near, testLimit)
	c.sample = func() (Sample, bool) { return at(time.Since(start)), true }
	return c
}

// Guards against a write to a caller that is gone and blocks up to its deadline, and against one to a
// caller that only reads slowly and ends before.
func TestBlockedWriteEndsForAnUnresponsivePeerOnly(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		name string
		at   func(time.Duration) Sample
		want error
	}{
		{"gone", func(passed time.Duration) Sample { return Sample{SinceAck: passed + time.Second, Probes: 2} }, ErrUnresponsive},
		{"slow", func(passed time.Duration) Sample { return Sample{SinceSend: passed, SinceAck: passed} }, os.ErrDeadlineExceeded},
	} {
		c := blockedConn(t, test.at)
		deadline := time.Now().Add(5 * time.Second)
		is.NoErr(c.SetWriteDeadline(deadline))
		_, err := c.Write(make([]byte, 100))
		is.True(errors.Is(err, test.want))
		is.Equal(time.Now().Before(deadline), test.want == ErrUnresponsive)
	}
}

// Guards against a part of a write that is repeated or lost when it is continued after a check.
func TestWriteThatTakesLongIsWholeAndOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	text := make([]byte, 8<<20)
	for i := range text {
		text[i] = byte(i / 251)
	}
	written := make(chan error, 1)
	go func() {
		conn, err := Listener{Listener: listener, Limit: testLimit}.Accept()
		if err == nil {
			defer conn.Close()
			_, err = conn.Write(text)
		}
		written <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	var got []byte
	buffer := make([]byte, 1<<20)
	for len(got) < len(text) {
		if len(got) < 4<<20 {
			time.Sleep(400 * time.Millisecond) // spans several checks
		}
		n, err := conn.Read(buffer)
		got = append(got, buffer[:n]...)
		if err != nil {
			break
		}
	}
	is.NoErr(<-written)
	is.Equal(string(got), string(text))
}
