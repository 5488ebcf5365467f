package timeline

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
)

// WriteText writes one human-readable line per event. Values that callers control are
// quoted, so that they can't inject a line or a field.
func WriteText(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	for _, e := range events {
		out.WriteString(e.Stamp.String())
		out.WriteString(" " + e.Component + ": " + e.Kind)
		writeField(out, "request", string(e.Request))
		writeField(out, "account", string(e.Account))
		writeField(out, "upstream", string(e.Upstream))
		writeField(out, "detail", e.Detail)
		out.WriteByte('\n')
	}
	return out.Flush()
}

func writeField(out *bufio.Writer, name, value string) {
	if value != "" {
		out.WriteString(" " + name + "=" + strconv.Quote(value))
	}
}

// WriteJSON writes each event as one line of JSON.
func WriteJSON(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	encoder := json.NewEncoder(out)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return out.Flush()
}
