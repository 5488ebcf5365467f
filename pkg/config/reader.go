package config

import (
	"bytes"
	"encoding"
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFindings limits the memory and the output for a document that is invalid
// throughout, such as one in another format.
const maxFindings = 1000

// reader converts syntax nodes into typed values and collects findings.
type reader struct {
	file     string
	lines    []int // offset of the first byte of each line
	findings Findings
	omitted  int // findings above maxFindings
}

func newReader(file string, text []byte) *reader {
	r := &reader{file: file, lines: []int{0}}
	for i := range text {
		if text[i] == '\n' {
			r.lines = append(r.lines, i+1)
		}
	}
	return r
}

// report adds a finding at a byte offset of the text.
func (r *reader) report(code Code, offset int, path, message string) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	line := sort.SearchInts(r.lines, offset+1)
	column := offset - r.lines[line-1] + 1
	r.findings = append(r.findings, Finding{r.file, line, column, path, code, message})
}

// finish returns the findings in the order of the text.
func (r *reader) finish() Findings {
	if r.omitted > 0 {
		last := Finding{File: r.file, Code: CodeOmitted, Line: len(r.lines), Column: 1}
		last.Message = fmt.Sprintf("%d more findings are not listed", r.omitted)
		r.findings = append(r.findings, last)
	}
	r.findings.sort()
	return r.findings
}

// field is a value with its position in the document. A field that is not present
// has the position of the object that lacks it.
type field struct {
	r       *reader
	path    string
	offset  int
	value   hujson.ValueTrimmed
	present bool
}

// fail reports a finding at the field.
func (f field) fail(code Code, format string, args ...any) {
	f.r.report(code, f.offset, f.path, fmt.Sprintf(format, args...))
}

// object holds the members of an object by name.
type object struct {
	field
	members map[string]field
}

// object reads an object and reports unknown and duplicate fields.
func (f field) object(known ...string) (object, bool) {
	o := object{field: f}
	if !f.present {
		return o, false
	}
	syntax, ok := f.value.(*hujson.Object)
	if !ok {
		f.fail(CodeWrongType, "want an object, got %s", kindOf(f.value))
		return o, false
	}
	o.members = make(map[string]field, len(syntax.Members))
	for i := range syntax.Members {
		o.add(&syntax.Members[i], known)
	}
	return o, true
}

func (o *object) add(m *hujson.ObjectMember, known []string) {
	name := m.Name.Value.(hujson.Literal).String()
	member := field{
		r: o.r, path: join(o.path, name), offset: m.Value.StartOffset,
		value: m.Value.Value, present: true,
	}
	if !slices.Contains(known, name) {
		o.r.report(CodeUnknownField, m.Name.StartOffset, member.path,
			fmt.Sprintf("unknown field %q; known fields: %s", name, strings.Join(known, ", ")))
		return
	}
	if _, duplicate := o.members[name]; duplicate {
		o.r.report(CodeDuplicateField, m.Name.StartOffset, member.path, fmt.Sprintf("field %q is set twice", name))
		return
	}
	o.members[name] = member
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// member returns a member, or a field that is not present.
func (o object) member(name string) field {
	if member, ok := o.members[name]; ok {
		return member
	}
	return field{r: o.r, path: join(o.path, name), offset: o.offset}
}

// required returns a member and reports its absence.
func (o object) required(name string) field {
	f := o.member(name)
	if !f.present {
		f.fail(CodeMissingField, "field %q is missing", name)
	}
	return f
}

// list returns the elements of an array. It reports an array of more than limit
// elements and returns none of them.
func (f field) list(limit int) []field {
	if !f.present {
		return nil
	}
	syntax, ok := f.value.(*hujson.Array)
	if !ok {
		f.fail(CodeWrongType, "want an array, got %s", kindOf(f.value))
		return nil
	}
	if len(syntax.Elements) > limit {
		f.fail(CodeTooLarge, "has %d elements, at most %d are allowed", len(syntax.Elements), limit)
		return nil
	}
	elements := make([]field, len(syntax.Elements))
	for i := range syntax.Elements {
		element := &syntax.Elements[i]
		elements[i] = field{
			r: f.r, path: f.path + "[" + strconv.Itoa(i) + "]", offset: element.StartOffset,
			value: element.Value, present: true,
		}
	}
	return elements
}

// literal returns the value of the field if it is a literal of the given kind. If the
// field is present with another kind, it reports a finding that names want.
func (f field) literal(kind hujson.Kind, want string) (hujson.Literal, bool) {
	if !f.present {
		return nil, false
	}
	literal, ok := f.value.(hujson.Literal)
	if !ok || literal.Kind() != kind {
		f.fail(CodeWrongType, "want %s, got %s", want, kindOf(f.value))
		return nil, false
	}
	return literal, true
}

// text reads a string.
func (f field) text() (string, bool) {
	literal, ok := f.literal('"', "a string")
	if !ok {
		return "", false
	}
	return literal.String(), true
}

// quoted returns the quoted string of the field, for a message. The field must hold
// a string.
func (f field) quoted() string {
	literal, _ := f.value.(hujson.Literal)
	return quote(literal.String())
}

// matchPattern reads a string that matches the pattern. The rule describes the
// pattern in the finding.
func (f field) matchPattern(pattern *regexp.Regexp, limit int, rule string) (string, bool) {
	text, ok := f.text()
	if !ok {
		return "", false
	}
	if len(text) > limit || !pattern.MatchString(text) {
		f.fail(CodeBadValue, "%s is not valid: want %s, at most %d characters", quote(text), rule, limit)
		return "", false
	}
	return text, true
}

// oneOf reads one of the allowed strings. The first one is the default of an absent
// field.
func (f field) oneOf(allowed ...string) string {
	if !f.present {
		return allowed[0]
	}
	text, ok := f.text()
	if ok && !slices.Contains(allowed, text) {
		f.fail(CodeBadValue, "%s is not one of %s", quote(text), strings.Join(allowed, ", "))
	}
	return text
}

// decode reads a string into a type that unmarshals from text.
func (f field) decode(into encoding.TextUnmarshaler) {
	text, ok := f.text()
	if !ok {
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		f.fail(CodeBadValue, "%v", err)
	}
}

// integer reads a whole number from low to high. It returns fallback for an absent
// or invalid field.
func (f field) integer(fallback, low, high int64) int64 {
	literal, ok := f.literal('0', "a whole number")
	if !ok {
		return fallback
	}
	n, err := strconv.ParseInt(string(literal), 10, 64)
	if err != nil || n < low || n > high {
		f.fail(CodeBadValue, "%s is not a whole number from %d to %d", shorten(string(literal)), low, high)
		return fallback
	}
	return n
}

// boolean reads a boolean. It returns false for an absent or invalid field.
func (f field) boolean() bool {
	if !f.present {
		return false
	}
	literal, ok := f.value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		f.fail(CodeWrongType, "want true or false, got %s", kindOf(f.value))
		return false
	}
	return literal.Bool()
}

func kindOf(value hujson.ValueTrimmed) string {
	switch value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a boolean"
}

func quote(text string) string { return strconv.Quote(shorten(text)) }

func shorten(text string) string {
	const limit = 80
	if len(text) <= limit {
		return text
	}
	return text[:limit] + "..."
}

// depthOf returns the maximum nesting depth of arrays and objects in the text and
// the offset where it is first reached. It does not recurse and ignores brackets in strings
// and comments.
func depthOf(text []byte) (deepest, offset int) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '[', '{':
			depth++
			if depth > deepest {
				deepest, offset = depth, i
			}
		case ']', '}':
			depth--
		}
	}
	return deepest, offset
}

// endOfString returns the index of the closing quote of the string that starts at i.
func endOfString(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// endOfComment returns the index at which the comment that starts at i ends, or i if no
// comment starts there.
func endOfComment(text []byte, i int) int {
	end := -1
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = bytes.IndexByte(text[i:], '\n')
	case bytes.HasPrefix(text[i:], []byte("/*")):
		if end = bytes.Index(text[i+2:], []byte("*/")); end >= 0 {
			end += len("/*") + 1
		}
	default:
		return i
	}
	if end < 0 {
		return len(text)
	}
	return i + end
}
