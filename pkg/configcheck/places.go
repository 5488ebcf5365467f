package configcheck

import (
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Places finds the position of a field in a text of JSON, with or without comments.
type Places struct {
	file  string
	lines []int // offset of the first byte of each line
	root  *hujson.Value
}

// NewPlaces reads a text that its loader has accepted as JSON: the parser recurses, and only a loader
// bounds the nesting. Every field of another text has the position of the text's begin.
func NewPlaces(file string, text []byte) *Places {
	p := &Places{file: file, lines: []int{0}}
	for i := range text {
		if text[i] == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
	if root, err := hujson.Parse(text); err == nil {
		p.root = &root
	}
	return p
}

// position returns the line and the column of an offset.
func (p *Places) position(offset int) (line, column int) {
	line = sort.SearchInts(p.lines, offset+1)
	return line, offset - p.lines[line-1] + 1
}

// offset returns the offset of the value at a path such as accounts[3].keys[0], or of the innermost
// object or array around it that is present.
func (p *Places) offset(path string) int {
	if p.root == nil {
		return 0
	}
	value := p.root
	for path != "" {
		var next *hujson.Value
		if path[0] == '[' {
			index, rest, _ := strings.Cut(path[1:], "]")
			path = strings.TrimPrefix(rest, ".")
			next = element(value, index)
		} else {
			end := strings.IndexAny(path, ".[")
			if end < 0 {
				end = len(path)
			}
			next = member(value, path[:end])
			path = strings.TrimPrefix(path[end:], ".")
		}
		if next == nil {
			break
		}
		value = next
	}
	return value.StartOffset
}

func element(value *hujson.Value, index string) *hujson.Value {
	i, err := strconv.Atoi(index)
	array, ok := value.Value.(*hujson.Array)
	if err != nil || !ok || i < 0 || i >= len(array.Elements) {
		return nil
	}
	return &array.Elements[i]
}

// member returns the member of an object that encoding/json decodes last into the field of this name:
// letter case does not matter.
func member(value *hujson.Value, name string) *hujson.Value {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := len(object.Members) - 1; i >= 0; i-- {
		if strings.EqualFold(memberName(&object.Members[i]), name) {
			return &object.Members[i].Value
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	literal, _ := m.Name.Value.(hujson.Literal)
	return literal.String()
}

// TopLevel returns the names of the fields of a document in JSON with comments, nil if the text is
// none or is nested too deep.
func TopLevel(text []byte) []string {
	if config.IsNestedTooDeep(text) {
		return nil
	}
	value, err := hujson.Parse(text)
	if err != nil {
		return nil
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	names := make([]string, len(object.Members))
	for i := range object.Members {
		names[i] = memberName(&object.Members[i])
	}
	return names
}
