package main

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// The tests of this file start processes whose memory is measured, so none of them runs beside
// another one of its package.

var hostileBody = strings.Repeat("x", hostileBodyBytes)

// inPieces writes a text in pieces.
func inPieces(w io.Writer, text string, size int) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

// inChunks writes a text in chunks with an extension, and no last chunk.
func inChunks(w io.Writer, text string, size int, extension string) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := fmt.Fprintf(w, "%x%s\r\n%s\r\n", n, extension, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}

const chunkedField = "Transfer-Encoding: chunked\r\n"

func lengthField(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// sequence writes texts one after the other.
func sequence(w io.Writer, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
	}
	return nil
}

// shortBodies are clients whose body stops just short of its end.
func shortBodies() []hostileBehaviour {
	return []hostileBehaviour{
		{send: func(w io.Writer, to hostileTarget, id string) error {
			return sequence(w, hostileHead(to.path+id, id, lengthField(hostileBodyBytes)), hostileBody[1:])
		}},
		{send: func(w io.Writer, to hostileTarget, id string) error {
			if err := sequence(w, hostileHead(to.path+id, id, lengthField(hostileBodyBytes))); err != nil {
				return err
			}
			return inPieces(w, hostileBody[1:], 2<<10)
		}},
		{send: func(w io.Writer, to hostileTarget, id string) error {
			if err := sequence(w, hostileHead(to.path+id, id, chunkedField)); err != nil {
				return err
			}
			return inChunks(w, hostileBody[1:], 1<<10, "")
		}},
	}
}

// Guards against bodies of legal size that fill the memory because they never end.
func TestHostileBodiesThatStopShort(t *testing.T) {
	s := startHostileSite(t)
	e := s.entries[0]
	s.phase("service route", func() *hostileGroup { return startHostileGroup(hostileClients, e.serviceRoute(), shortBodies()...) })
	s.phase("path without a route", func() *hostileGroup { return startHostileGroup(hostileClients, e.noRoute(), shortBodies()...) })
	s.phase("small listeners", func() *hostileGroup { return startHostileGroup(hostileClients, e.smallListeners(), shortBodies()...) })
}

// longBodies are clients whose body is far over the limit.
func longBodies() []hostileBehaviour {
	return []hostileBehaviour{
		{send: func(w io.Writer, to hostileTarget, id string) error {
			return sequence(w, hostileHead(to.path+id, id, lengthField(8*hostileBodyBytes)), hostileBody, hostileBody, hostileBody, hostileBody)
		}},
		{send: func(w io.Writer, to hostileTarget, id string) error {
			if err := sequence(w, hostileHead(to.path+id, id, chunkedField)); err != nil {
				return err
			}
			for range 8 {
				if err := inChunks(w, hostileBody, 64<<10, ""); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// Guards against bodies over the limit that are read, or waited for, up to the limit.
func TestHostileBodiesOverTheLimit(t *testing.T) {
	s := startHostileSite(t)
	e := s.entries[0]
	s.phase("service route", func() *hostileGroup { return startHostileGroup(hostileClients, e.serviceRoute(), longBodies()...) })
	s.phase("path without a route", func() *hostileGroup { return startHostileGroup(hostileClients, e.noRoute(), longBodies()...) })
	s.phase("small listeners", func() *hostileGroup { return startHostileGroup(hostileClients, e.smallListeners(), longBodies()...) })
}

// shortFields returns n fields with different names, which are as short as possible.
func shortFields(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "%x:\r\n", i)
	}
	return text.String()
}

// manyFields are clients that send many short fields, in the header section, in the trailer and as
// chunk extensions.
func manyFields() []hostileBehaviour {
	const legal, far = 2_400, 8_000 // fields in 16 KiB, and in 56 KiB
	legalFields, farFields := shortFields(legal), shortFields(far)
	withBody := func(fields string) hostileBehaviour {
		return hostileBehaviour{send: func(w io.Writer, to hostileTarget, id string) error {
			return sequence(w, hostileHead(to.path+id, id, fields+lengthField(10_000)), hostileBody[:9_999])
		}}
	}
	repeated := func(fields string) hostileBehaviour {
		return hostileBehaviour{send: func(w io.Writer, to hostileTarget, id string) error {
			for i := range 200 {
				if err := sequence(w, hostileHead(to.path+id, fmt.Sprintf("%s-%d", id, i), fields+lengthField(0))); err != nil {
					return err
				}
			}
			return nil
		}}
	}
	return []hostileBehaviour{
		withBody(legalFields), withBody(farFields), repeated(legalFields), repeated(farFields),
		{send: func(w io.Writer, to hostileTarget, id string) error {
			return sequence(w, hostileHead(to.path+id, id, chunkedField), "1\r\nx\r\n0\r\n", farFields)
		}},
		{send: func(w io.Writer, to hostileTarget, id string) error {
			if err := sequence(w, hostileHead(to.path+id, id, chunkedField)); err != nil {
				return err
			}
			return inChunks(w, hostileBody[:64<<10], 1, strings.Repeat(";a=b", 30))
		}},
	}
}

// Guards against header sections, trailers and chunk extensions that cost far more memory than they
// have bytes.
func TestHostileFields(t *testing.T) {
	s := startHostileSite(t)
	e := s.entries[0]
	s.phase("service route", func() *hostileGroup { return startHostileGroup(hostileClients, e.serviceRoute(), manyFields()...) })
	s.phase("path without a route", func() *hostileGroup { return startHostileGroup(hostileClients, e.noRoute(), manyFields()...) })
	s.phase("small listeners", func() *hostileGroup { return startHostileGroup(hostileClients, e.smallListeners(), manyFields()...) })
}

// pipelines are clients that send requests one after the other on a connection and read no answer.
func pipelines() []hostileBehaviour {
	send := func(body string) func(w io.Writer, to hostileTarget, id string) error {
		return func(w io.Writer, to hostileTarget, id string) error {
			for i := range 2_000 {
				id := fmt.Sprintf("%s-%d", id, i)
				if err := sequence(w, hostileHead(to.path+id, id, lengthField(len(body))), body); err != nil {
					return err
				}
			}
			return nil
		}
	}
	return []hostileBehaviour{
		{send: send(""), neverReads: true},
		{send: send(hostileBody[:5_000]), neverReads: true},
		{send: send(hostileBody[:200_000]), neverReads: true},
	}
}

// Guards against answers that pile up for a client that sends requests without reading.
func TestHostilePipelines(t *testing.T) {
	s := startHostileSite(t)
	e := s.entries[0]
	s.phase("service route", func() *hostileGroup { return startHostileGroup(hostileClients, e.serviceRoute(), pipelines()...) })
	s.phase("path without a route", func() *hostileGroup { return startHostileGroup(hostileClients, e.noRoute(), pipelines()...) })
	s.phase("small listeners", func() *hostileGroup { return startHostileGroup(hostileClients, e.smallListeners(), pipelines()...) })
}

// hostileHelloStart is the start of what a peer sends.
const hostileHelloStart = "rhubarbsill-peer-1c"

// slowSenders are clients that send a byte now and then, or stop half-way in the header section or
// in the body. They need little work, so that thousands can be run.
func slowSenders() []hostileBehaviour {
	head := func(to hostileTarget, id, extra string) string {
		if to.isPeer {
			return hostileHelloStart
		}
		return hostileHead(to.path+id, id, extra)
	}
	return []hostileBehaviour{
		{neverReads: true, send: func(w io.Writer, to hostileTarget, id string) error {
			text := head(to, id, "")
			return sequence(w, text[:len(text)/2])
		}},
		{neverReads: true, send: func(w io.Writer, to hostileTarget, id string) error {
			return sequence(w, head(to, id, lengthField(5_000)), hostileBody[:2_500])
		}},
		{neverReads: true, send: func(w io.Writer, to hostileTarget, id string) error {
			for i := range []byte(head(to, id, "")) {
				if err := sequence(w, head(to, id, "")[i:i+1]); err != nil {
					return err
				}
				time.Sleep(200 * time.Millisecond)
			}
			return nil
		}},
		{neverReads: true, send: func(io.Writer, hostileTarget, string) error { return nil }},
	}
}

// Guards against connections that are kept open by almost nothing until the process has no
// descriptor and no memory left for others. The number of connections is above the limit of the machine.
func TestHostileSlowSenders(t *testing.T) {
	s := startHostileSite(t)
	s.phase("all targets", func() *hostileGroup {
		return startHostileGroup(hostileDescriptors+300, s.allTargets(), slowSenders()...)
	})
	s.phase("service route", func() *hostileGroup {
		return startHostileGroup(hostileDescriptors+300, s.entries[0].serviceRoute(), slowSenders()...)
	})
}

// slowReaders are clients that send a whole request and don't read the answer, or read a byte now and
// then and stop half-way.
func slowReaders() []hostileBehaviour {
	large := func(w io.Writer, to hostileTarget, id string) error {
		return sequence(w, hostileHead(to.path+id, id, lengthField(hostileBodyBytes)), hostileBody)
	}
	stream := func(path string) hostileBehaviour {
		return hostileBehaviour{neverReads: true, send: func(w io.Writer, to hostileTarget, id string) error {
			extra := fmt.Sprintf("%s: m\r\n%s: 1000,400\r\n", wire.HeaderModel, wire.HeaderTokens)
			return sequence(w, hostileHead(path+id, id, extra+lengthField(5_000)), hostileBody[:5_000])
		}}
	}
	slowly := func(w io.Writer, to hostileTarget, id string) error {
		if err := large(w, to, id); err != nil {
			return err
		}
		one := make([]byte, 1)
		for range 10 {
			if _, err := w.(io.Reader).Read(one); err != nil {
				return err
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
	return []hostileBehaviour{
		{send: large, neverReads: true}, {send: slowly, neverReads: true},
		stream(standin.ResumableStreamPath), stream(standin.NonResumableStreamPath),
	}
}

// Guards against answers and streams that are held for clients that don't read them, and against
// engines whose holds are not given back.
func TestHostileSlowReaders(t *testing.T) {
	s := startHostileSite(t)
	e := s.entries[0]
	s.phase("service route", func() *hostileGroup { return startHostileGroup(hostileClients, e.serviceRoute(), slowReaders()...) })
	s.phase("path without a route", func() *hostileGroup { return startHostileGroup(hostileClients, e.noRoute(), slowReaders()...) })
	s.phase("small listeners", func() *hostileGroup { return startHostileGroup(hostileClients, e.smallListeners(), slowReaders()...) })
}

// Guards against limits that hold for one kind of client only, and against what is left when all
// clients leave at one moment.
func TestHostileClientsOfAllKinds(t *testing.T) {
	s := startHostileSite(t)
	var all []hostileBehaviour
	for _, kind := range [][]hostileBehaviour{shortBodies(), longBodies(), manyFields(), pipelines(), slowSenders(), slowReaders()} {
		all = append(all, kind...)
	}
	s.phase("service route", func() *hostileGroup { return startHostileGroup(2*hostileClients, s.entries[0].serviceRoute(), all...) })
	s.phase("all targets", func() *hostileGroup { return startHostileGroup(2*hostileClients, s.allTargets(), all...) })
}
