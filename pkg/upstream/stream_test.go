package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// Guards against tokens that are lost, repeated or out of order, and against an engine
// that makes an Instance buffer an event of unbounded size (G7).
func TestStreamChecksTokens(t *testing.T) {
	tests := []struct {
		name, body string
		tokens     int
		kind       Kind
	}{
		{"complete", "data: {\"index\":0}\n\ndata: {\"index\":1,\"done\":true}\n\n", 2, ""},
		{"carriage returns", "data: {\"index\":0}\r\n\r\ndata:{\"index\":1,\"done\":true}\r\n\r\n", 2, ""},
		{"comments", ": a\n\n: b\ndata: {\"index\":0,\"done\":true}\n\n", 1, ""},
		{"two data lines", "data: {\"index\":0,\ndata: \"done\":true}\n\n", 1, ""},
		{"gap", "data: {\"index\":0}\n\ndata: {\"index\":2}\n\n", 1, ProtocolError},
		{"repeat", "data: {\"index\":0}\n\ndata: {\"index\":0}\n\n", 1, ProtocolError},
		{"not from the start", "data: {\"index\":1}\n\n", 0, ProtocolError},
		{"no end", "data: {\"index\":0}\n\n", 1, Crashed},
		{"cut event", "data: {\"index\":0,\"done\":true}\n", 0, Crashed},
		{"large event", "data: {\"index\":0,\"text\":\"" + strings.Repeat("x", 2000) + "\"}\n\n", 0, ProtocolError},
		{"large by many lines", strings.Repeat("data: 0123456789\n", 100), 0, ProtocolError},
		{"no JSON", "data: x\n\n", 0, ProtocolError},
		{"error event", "event: error\ndata: {\"error\":{\"code\":\"kv_gone\"}}\n\n", 0, KVGone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, test.body)
			}))
			defer s.Close()
			c := New(Options{MaxEventBytes: 1000})
			defer c.Close()
			stream, err := c.Decode(t.Context(), s.URL, DecodeRequest{})
			is.NoErr(err)
			n := 0
			for err == nil {
				_, err = stream.Next()
				n++
			}
			is.Equal(n-1, test.tokens)
			is.Equal(KindOf(err), test.kind)
			is.Equal(errors.Is(err, io.EOF), test.kind == "")
		})
	}
}

// Guards against a parser whose result depends on how the bytes are split into reads,
// that exceeds its limit, or that returns an event which is not in the input.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: {\"index\":0}\n\nevent: error\ndata: x\n\n"))
	f.Add([]byte(": c\r\n\r\ndata:a\r\ndata: b\r\n\r\n"))
	f.Add([]byte("data\n\n\n\ndata: cut"))
	const limit = 64
	parse := func(r io.Reader) (events []string, err error) {
		reader := newEventReader(r, limit)
		for {
			ev, err := reader.next()
			if err != nil {
				return events, err
			}
			events = append(events, fmt.Sprintf("%s|%s", ev.kind, ev.data))
			if len(ev.data) > limit {
				return events, fmt.Errorf("event of %d bytes", len(ev.data))
			}
		}
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		atOnce, errAtOnce := parse(bytes.NewReader(input))
		bytewise, errBytewise := parse(iotest.OneByteReader(bytes.NewReader(input)))
		if fmt.Sprint(atOnce, errAtOnce) != fmt.Sprint(bytewise, errBytewise) {
			t.Fatalf("in one read: %q %v; byte by byte: %q %v", atOnce, errAtOnce, bytewise, errBytewise)
		}
		if !errors.Is(errAtOnce, io.EOF) && !errors.Is(errAtOnce, errEventTooLarge) {
			t.Fatalf("unexpected error: %v", errAtOnce)
		}
		ends := bytes.Count(input, []byte("\n\n")) + bytes.Count(input, []byte("\n\r\n"))
		if len(atOnce) > ends {
			t.Fatalf("%d events from %d blank lines", len(atOnce), ends)
		}
	})
}

// BenchmarkTokenStream measures the tokens per second that one core relays: parsing,
// checking the order and writing an event.
func BenchmarkTokenStream(b *testing.B) {
	var body bytes.Buffer
	const tokens = 1000
	for i := range tokens {
		fmt.Fprintf(&body, "id: %d\ndata: {\"index\":%d,\"text\":\" word\"}\n\n", i, i)
	}
	b.ReportAllocs()
	b.SetBytes(int64(body.Len() / tokens))
	for done := 0; done < b.N; {
		s := &stream{call: &call{}, events: newEventReader(bytes.NewReader(body.Bytes()), 64<<10)}
		for range min(tokens, b.N-done) {
			token, err := s.read()
			if err != nil {
				b.Fatal(err)
			}
			fmt.Fprintf(io.Discard, "data: %s\n\n", token.Text)
			done++
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
