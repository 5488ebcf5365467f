// Package mutate makes random JSON texts for tests of configuration checks.
package mutate

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

var (
	values = []string{
		`null`, `0`, `-0`, `-1`, `7`, `0.5`, `1.0`, `1e3`, `1e400`, `99999999999999999999`, `""`, `"x"`, `"/a"`, `true`, `[]`, `{}`, `[null]`, `[{}]`,
		`["x"]`, `"\ud800"`, "\"\xff\"", `"/*"`, `{"x":1}`,
	}
	syntax = []string{`,`, `}`, `"`, `/* */`, "\x00", `"a": 1,`, "\n", `[`, `01`}
)

// Text returns the text of a JSON value, which json.Unmarshal has decoded, with some random changes of
// values, names and syntax. Few of them are most likely, so that one does not hide another.
func Text(r *rand.Rand, tree any) string {
	m := mutation{r, pick(r, []int{50, 150, 400, 1000})}
	text := m.encode(tree)
	if r.IntN(20) == 0 {
		i := r.IntN(len(text) + 1)
		text = text[:i] + pick(r, syntax) + text[i:]
	}
	return text
}

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

type mutation struct {
	r   *rand.Rand
	one int // one in so many values changes
}

func (m mutation) happens() bool { return m.r.IntN(m.one) == 0 }

// encode writes each element and member in a line of its own.
func (m mutation) encode(v any) string {
	if m.happens() {
		return pick(m.r, values)
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
	switch m.r.IntN(4) {
	case 0:
		return nil
	case 1:
		return []string{member(name + "x")}
	case 2:
		return []string{member(strings.ToUpper(name))}
	}
	return []string{member(name), member(name)}
}
