// Package mutate makes random JSON texts for tests of configuration checks.
package mutate

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pgregory.net/rapid"
)

var (
	values = []string{
		`null`, `0`, `-0`, `-1`, `7`, `0.5`, `1.0`, `1e3`, `1e400`, `99999999999999999999`, `""`, `"x"`, `"/a"`, `true`, `[]`, `{}`, `[null]`, `[{}]`,
		`["x"]`, `"\ud800"`, "\"\xff\"", `"/*"`, `{"x":1}`,
	}
	syntax = []string{`,`, `}`, `"`, `/* */`, "\x00", `"a": 1,`, "\n", `[`, `01`}
)

// Text returns the text of a JSON value, which json.Unmarshal has decoded, with some random changes of
// values, names and syntax.
func Text(t *rapid.T, tree any) string {
	m := mutation{t: t, one: rapid.SampledFrom([]int{10, 40, 150, 1000}).Draw(t, "one in")}
	text := m.encode(tree)
	if rapid.IntRange(0, 9).Draw(t, "syntax") == 0 {
		i := rapid.IntRange(0, len(text)).Draw(t, "offset")
		text = text[:i] + rapid.SampledFrom(syntax).Draw(t, "insert") + text[i:]
	}
	return text
}

type mutation struct {
	t   *rapid.T
	one int // one in so many values changes
}

func (m mutation) happens() bool { return rapid.IntRange(1, m.one).Draw(m.t, "chance") == 1 }

// encode writes each element and member in a line of its own.
func (m mutation) encode(v any) string {
	if m.happens() {
		return rapid.SampledFrom(values).Draw(m.t, "value")
	}
	var parts []string
	switch v := v.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(v)) {
			parts = append(parts, m.members(name, v[name])...)
		}
		return "{" + strings.Join(parts, ",\n") + "}"
	case []any:
		for _, item := range v {
			parts = append(parts, m.encode(item))
		}
		return "[" + strings.Join(parts, ",\n") + "]"
	}
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // a value that was decoded always encodes
	}
	return string(text)
}

// members returns the member of an object, or none, or the same one under another name, or twice.
func (m mutation) members(name string, v any) []string {
	member := func(name string) string { return fmt.Sprintf("%q: %s", name, m.encode(v)) }
	if !m.happens() {
		return []string{member(name)}
	}
	switch rapid.IntRange(0, 3).Draw(m.t, "name") {
	case 0:
		return nil
	case 1:
		return []string{member(name + "x")}
	case 2:
		return []string{member(strings.ToUpper(name))}
	}
	return []string{member(name), member(name)}
}
