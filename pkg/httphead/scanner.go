// Package httphead checks the heads of responses to requests that ask for no upgrade. net/http is lenient
// with them: what it makes of a malformed head may be another response than the one that was sent.
package httphead

import (
	"bytes"
	"fmt"
	"net"
	"regexp"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// statusLine allows the statuses that are valid: 100 to 599 (RFC 9110, section 15).
var statusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) +([1-5][0-9]{2})( [^\x00-\x08\x0A-\x1F\x7F]*)?$`)

// checkStatusLine returns the minor version and the first digit of the status.
func checkStatusLine(line []byte) (minor, class byte, err error) {
	parts := statusLine.FindSubmatch(line)
	if parts == nil {
		return 0, 0, malformed("status line", line)
	}
	if string(parts[2]) == "101" {
		return 0, 0, fmt.Errorf("upgrade that was not requested: %q", line)
	}
	return parts[1][0], parts[2][0], nil
}

// checkFieldName returns an error unless a name is a token. net/http accepts blanks in it, and drops the
// field or a blank when it passes the field on.
func checkFieldName(name []byte) error {
	if !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("field name", name)
	}
	return nil
}

// maxQuoted bounds the malformed bytes that an error quotes.
const maxQuoted = 80

func malformed(what string, text []byte) error {
	return fmt.Errorf("malformed %s %q", what, text[:min(len(text), maxQuoted)])
}

// Scanner checks the head of one response as it arrives.
type Scanner struct {
	// line is the start of a line whose end has not arrived.
	line []byte
	// minorVersion is that of HTTP/1 and statusClass the first digit of the status, as characters. They
	// are 0 before the status line.
	minorVersion, statusClass byte
	done                      bool
}

// Scan checks the next bytes of a response, up to the end of the head. It returns those behind the head,
// and an error for the first malformed line.
func (s *Scanner) Scan(p []byte) (rest []byte, err error) {
	for !s.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			s.line = append(s.line, p...)
			return nil, nil
		}
		line := p[:end]
		if len(s.line) > 0 {
			line = append(s.line, line...)
			s.line = s.line[:0]
		}
		if err := s.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return nil, err
		}
		p = p[end+1:]
	}
	return p, nil
}

// Done reports whether the head is complete.
func (s *Scanner) Done() bool { return s.done }

func (s *Scanner) checkLine(line []byte) (err error) {
	if s.statusClass == 0 {
		s.minorVersion, s.statusClass, err = checkStatusLine(line)
		return err
	}
	if len(line) == 0 {
		s.done = true
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return malformed("folded line", line)
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldValue(string(value)) {
		return malformed("field", line)
	}
	if s.minorVersion == '0' && strings.EqualFold(string(name), "Transfer-Encoding") {
		return malformed("field of HTTP/1.0", line) // net/http ignores it, so the sizes of chunks become body
	}
	return checkFieldName(name)
}

// Conn checks the heads of the responses to the first request on a connection, which informational ones
// may precede: net/http hides some of what is malformed.
type Conn struct {
	net.Conn
	head Scanner
	// isBody is set after the head of the final response.
	isBody bool
}

// Read implements net.Conn. It fails at a malformed head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for rest := p[:n]; len(rest) > 0 && !c.isBody; {
		var malformed error
		if rest, malformed = c.head.Scan(rest); malformed != nil {
			return 0, malformed
		}
		if !c.head.Done() {
			break
		}
		c.isBody = c.head.statusClass != '1'
		c.head = Scanner{}
	}
	return n, err
}
