package peer

import (
	"bufio"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

var (
	namespace = errorx.NewNamespace("peer").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrRejected means that the other side does not have the fleet secret, is not
	// the intended Instance, or uses another protocol.
	ErrRejected = namespace.NewType("rejected")
	// ErrUnreachable means that no connection could be established.
	ErrUnreachable = namespace.NewType("unreachable")
	// ErrTimeout means that no reply arrived before the deadline. The call may have
	// taken effect.
	ErrTimeout = namespace.NewType("timed_out")
	// ErrCallFailed means that the other side returned an error or the connection
	// was closed.
	ErrCallFailed = namespace.NewType("failed")
	// ErrBusy means that too many calls to the peer are pending.
	ErrBusy = namespace.NewType("busy")
	// ErrClosed means that the transport was closed.
	ErrClosed = namespace.NewType("closed")
)

// connClass distinguishes control connections from bulk connections.
type connClass byte

const (
	classControl connClass = 'c'
	classBulk    connClass = 'b'
)

const (
	magic              = "rhubarbsill-peer-1"
	nonceBytes         = 32
	macBytes           = sha256.Size
	maxInstanceIDBytes = 255
)

// clientHello is the first message of the dialling side.
type clientHello struct {
	class connClass
	from  core.InstanceRef
	// to is the intended Instance, since the address may have been reassigned to
	// another one. It is empty for bulk calls, which specify only an address.
	to    core.InstanceID
	nonce [nonceBytes]byte
}

func (h clientHello) encode() []byte {
	raw := append([]byte(magic), byte(h.class))
	raw = append(raw, h.nonce[:]...)
	raw = binary.BigEndian.AppendUint64(raw, uint64(h.from.Incarnation))
	raw = append(raw, byte(len(h.from.ID)))
	raw = append(raw, h.from.ID...)
	raw = append(raw, byte(len(h.to)))
	return append(raw, h.to...)
}

func readClientHello(r io.Reader) (clientHello, error) {
	var h clientHello
	fixed := make([]byte, len(magic)+1+nonceBytes+8)
	if _, err := io.ReadFull(r, fixed); err != nil {
		return h, err
	}
	if string(fixed[:len(magic)]) != magic {
		return h, ErrRejected.New("unknown protocol")
	}
	rest := fixed[len(magic):]
	h.class = connClass(rest[0])
	copy(h.nonce[:], rest[1:])
	h.from.Incarnation = core.Incarnation(binary.BigEndian.Uint64(rest[1+nonceBytes:]))
	from, err := readShortString(r)
	if err != nil {
		return h, err
	}
	to, err := readShortString(r)
	h.from.ID, h.to = core.InstanceID(from), core.InstanceID(to)
	return h, err
}

func readShortString(r io.Reader) (string, error) {
	var size [1]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return "", err
	}
	name := make([]byte, size[0])
	_, err := io.ReadFull(r, name)
	return string(name), err
}

// handshakeMAC proves that a side has the secret. The MAC covers the role of its
// sender, so that it can't be reflected to that sender.
func handshakeMAC(secret []byte, role string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(role))
	mac.Write(transcript)
	return mac.Sum(nil)
}

// dialHandshake runs the dialling side: it sends the client hello, verifies the MAC
// that comes with the server's nonce, and sends its own MAC.
func dialHandshake(conn net.Conn, secret []byte, h clientHello, deadline time.Time) (net.Conn, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if len(h.from.ID) > maxInstanceIDBytes || len(h.to) > maxInstanceIDBytes {
		return nil, ErrRejected.New("instance id is longer than %d bytes", maxInstanceIDBytes)
	}
	if _, err := rand.Read(h.nonce[:]); err != nil {
		return nil, err
	}
	first := h.encode()
	if _, err := conn.Write(first); err != nil {
		return nil, err
	}
	reply := make([]byte, nonceBytes+macBytes)
	if _, err := io.ReadFull(conn, reply); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, ErrRejected.Wrap(err, "other side closed the connection")
	} else if err != nil {
		return nil, err
	}
	transcript := append(first, reply[:nonceBytes]...)
	if !hmac.Equal(reply[nonceBytes:], handshakeMAC(secret, "server", transcript)) {
		return nil, ErrRejected.New("other side does not have the fleet secret")
	}
	if _, err := conn.Write(handshakeMAC(secret, "client", transcript)); err != nil {
		return nil, err
	}
	return newRecordConn(conn, secret, transcript, "client", "server")
}

// acceptHandshake runs the accepting side.
func acceptHandshake(conn net.Conn, secret []byte, self core.InstanceID, deadline time.Time) (net.Conn, clientHello, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, clientHello{}, err
	}
	h, err := readClientHello(conn)
	if err != nil {
		return nil, h, err
	}
	if h.to != "" && h.to != self {
		return nil, h, ErrRejected.New("connection is intended for instance %q", h.to)
	}
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, h, err
	}
	transcript := append(h.encode(), nonce[:]...)
	if _, err := conn.Write(append(nonce[:], handshakeMAC(secret, "server", transcript)...)); err != nil {
		return nil, h, err
	}
	reply := make([]byte, macBytes)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return nil, h, err
	}
	if !hmac.Equal(reply, handshakeMAC(secret, "client", transcript)) {
		return nil, h, ErrRejected.New("other side does not have the fleet secret")
	}
	encrypted, err := newRecordConn(conn, secret, transcript, "server", "client")
	return encrypted, h, err
}

// maxRecordPlaintext is the largest plaintext of one record, in bytes.
const maxRecordPlaintext = 16 << 10

// recordConn encrypts and authenticates the stream after the handshake, so that an
// attacker on the network path can't inject messages. Each record is a 2-byte length
// and the ciphertext; the nonce is the number of the record.
type recordConn struct {
	net.Conn
	reader    *bufio.Reader
	readAEAD  cipher.AEAD
	readCount uint64
	unread    []byte

	mu          sync.Mutex
	writeAEAD   cipher.AEAD
	writeCount  uint64
	writeBuffer []byte
}

// newRecordConn derives one key per direction and clears the deadline of the
// handshake. self and other are the roles of the two sides.
func newRecordConn(conn net.Conn, secret, transcript []byte, self, other string) (net.Conn, error) {
	seal, err := directionAEAD(secret, transcript, self)
	if err != nil {
		return nil, err
	}
	open, err := directionAEAD(secret, transcript, other)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return &recordConn{Conn: conn, reader: bufio.NewReaderSize(conn, 4<<10), readAEAD: open, writeAEAD: seal}, nil
}

func directionAEAD(secret, transcript []byte, from string) (cipher.AEAD, error) {
	key, err := hkdf.Key(sha256.New, secret, transcript, "records from "+from, chacha20poly1305.KeySize)
	if err != nil {
		return nil, err
	}
	return chacha20poly1305.New(key)
}

func counterNonce(count uint64) []byte {
	nonce := make([]byte, chacha20poly1305.NonceSize)
	binary.BigEndian.PutUint64(nonce[chacha20poly1305.NonceSize-8:], count)
	return nonce
}

func (c *recordConn) Read(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.readRecord(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *recordConn) readRecord() error {
	var size [2]byte
	if _, err := io.ReadFull(c.reader, size[:]); err != nil {
		return err
	}
	record := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(c.reader, record); err != nil {
		return err
	}
	plain, err := c.readAEAD.Open(record[:0], counterNonce(c.readCount), record, size[:])
	if err != nil {
		return ErrRejected.New("record is not authentic")
	}
	c.readCount++
	c.unread = plain
	return nil
}

func (c *recordConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBuffer = c.writeBuffer[:0]
	for rest := p; len(rest) > 0; {
		part := rest[:min(len(rest), maxRecordPlaintext)]
		rest = rest[len(part):]
		start := len(c.writeBuffer)
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, uint16(len(part)+chacha20poly1305.Overhead))
		c.writeBuffer = c.writeAEAD.Seal(c.writeBuffer, counterNonce(c.writeCount), part, c.writeBuffer[start:start+2])
		c.writeCount++
	}
	if _, err := c.Conn.Write(c.writeBuffer); err != nil {
		return 0, err
	}
	return len(p), nil
}
