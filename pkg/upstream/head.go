package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
)

// checkHead waits for the head of the next response and returns an error if it is malformed. It leaves
// the head unread.
func (c *exchangeConn) checkHead() error {
	var head httphead.Scanner
	for scanned := 0; ; {
		unread := c.unread()
		if _, err := head.Scan(unread[scanned:]); err != nil || head.Done() {
			return err
		}
		scanned = len(unread)
		if err := c.readMore(); err != nil {
			return err
		}
	}
}

// unread returns what the reader has buffered. It is valid until the next read.
func (c *exchangeConn) unread() []byte {
	unread, _ := c.reader.Peek(c.reader.Buffered()) // does not read
	return unread
}

// readMore adds what arrives next to what is unread.
func (c *exchangeConn) readMore() error {
	unread := len(c.unread())
	if unread >= maxHeadBytes {
		return errHeadTooLarge
	}
	if unread == c.reader.Size() {
		c.growReader()
	}
	_, err := c.reader.Peek(unread + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// growReader makes room for the longest head, which is buffered as a whole.
func (c *exchangeConn) growReader() {
	unread := bytes.Clone(c.unread())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(unread), &c.limit), maxHeadBytes)
}
