package faultnet

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startEcho starts a server that returns what it receives, behind a Proxy.
func startEcho(t *testing.T) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	p, err := New(listener.Addr().String(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echo sends a byte and returns the error of reading it back within a time.
func echo(conn net.Conn, within time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func isTimeout(err error) bool {
	timeout := net.Error(nil)
	return errors.As(err, &timeout) && timeout.Timeout()
}

const (
	answerTime = 5 * time.Second
	silentTime = 50 * time.Millisecond
)

// Guards against faults of the proxy that are not the ones it is asked for.
func TestFaults(t *testing.T) {
	is := is.New(t)
	p := startEcho(t)
	conn := dial(t, p)
	is.NoErr(echo(conn, answerTime))

	p.Reset(1)
	err := echo(conn, answerTime)
	is.True(errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE))

	silent := dial(t, p)
	is.NoErr(echo(silent, answerTime))
	p.Silence(1)
	is.True(isTimeout(echo(silent, silentTime)))
	is.NoErr(echo(dial(t, p), answerTime)) // new connections work

	held := dial(t, p)
	for _, d := range []Direction{ToTarget, FromTarget} {
		p.Hold(d, true)
		is.True(isTimeout(echo(held, silentTime)))
		p.Hold(d, false)
		is.NoErr(held.SetReadDeadline(time.Now().Add(answerTime)))
		_, err := io.ReadFull(held, make([]byte, 1)) // what was held arrives
		is.NoErr(err)
	}

	p.Delay(2 * silentTime)
	is.True(isTimeout(echo(held, silentTime)))
}
