package configcheck

import (
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// CheckShape reports what encoding/json rejects when it decodes text into a value of the given struct
// type: all errors with their places, where json.Unmarshal returns the first one. It warns of fields
// that json.Unmarshal ignores and of fields that are set twice. The type has only structs, slices,
// pointers, strings, booleans and numbers, without embedded fields and methods of decoding.
func CheckShape(file string, text []byte, shape reflect.Type) *Reporter {
	if err := json.Unmarshal(text, new(json.RawMessage)); err != nil {
		return syntaxError(file, text, err)
	}
	r := NewReporter(NewPlaces(file, text))
	s := shapeCheck{Reporter: r, unknown: map[string]bool{}}
	if r.places.root != nil {
		s.value(r.places.root, shape, "")
	}
	return r
}

// syntaxError reports a text that is not JSON. Its fields have no places.
func syntaxError(file string, text []byte, err error) *Reporter {
	places := NewPlaces(file, nil)
	for i := range text {
		if text[i] == '\n' {
			places.lines = append(places.lines, i+1)
		}
	}
	offset := 0
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = max(0, int(syntax.Offset)-1) // the offset counts the byte at which the error is found
	}
	r := NewReporter(places)
	r.addAt(SeverityError, config.CodeSyntax, min(offset, len(text)), "", "syntax: %v", err)
	return r
}

// Error adds an error at a path.
func (r *Reporter) Error(code Code, path, format string, args ...any) {
	r.add(SeverityError, code, path, format, args...)
}

// HasErrors reports whether there are errors.
func (r *Reporter) HasErrors() bool { return Count(r.findings, SeverityError) > 0 }

type shapeCheck struct {
	*Reporter
	unknown map[string]bool // paths without indices of the unknown fields that were reported
}

func (s shapeCheck) value(v *hujson.Value, shape reflect.Type, path string) {
	for shape.Kind() == reflect.Pointer {
		shape = shape.Elem()
	}
	if v.Value.Kind() == 'n' {
		return // null leaves a field as it is, whatever its type
	}
	switch shape.Kind() {
	case reflect.Struct:
		if object, ok := v.Value.(*hujson.Object); ok {
			s.object(object, shape, path)
			return
		}
	case reflect.Slice:
		if array, ok := v.Value.(*hujson.Array); ok {
			for i := range array.Elements {
				s.value(&array.Elements[i], shape.Elem(), path+"["+strconv.Itoa(i)+"]")
			}
			return
		}
	case reflect.String:
		if v.Value.Kind() == '"' {
			return
		}
	case reflect.Bool:
		if kind := v.Value.Kind(); kind == 't' || kind == 'f' {
			return
		}
	default:
		if literal, ok := v.Value.(hujson.Literal); ok && literal.Kind() == '0' {
			if !numberFits(string(literal), shape) {
				s.addAt(SeverityError, config.CodeBadValue, v.StartOffset, path, "%.80s is not %s of %d bits", string(literal), wanted(shape), shape.Bits())
			}
			return
		}
	}
	s.addAt(SeverityError, config.CodeWrongType, v.StartOffset, path, "want %s, got %s", wanted(shape), kindName(v.Value.Kind()))
}

func (s shapeCheck) object(object *hujson.Object, shape reflect.Type, path string) {
	set := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		field, known := fieldNamed(shape, name)
		if !known {
			s.unknownField(m, memberPath)
			continue
		}
		if set[field.Name] {
			s.addAt(SeverityWarning, config.CodeDuplicateField, m.Name.StartOffset, memberPath, "field %.80q is set twice, the last value counts", name)
		}
		set[field.Name] = true
		s.value(&m.Value, field.Type, memberPath)
	}
}

// unknownField warns of the first field of its name in a list of entries.
func (s shapeCheck) unknownField(m *hujson.ObjectMember, path string) {
	pattern := withoutIndices(path)
	if s.unknown[pattern] {
		return
	}
	s.unknown[pattern] = true
	s.addAt(SeverityWarning, config.CodeUnknownField, m.Name.StartOffset, path, "unknown field %.80q has no effect", memberName(m))
}

func withoutIndices(path string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(path, "[") {
		if _, rest, found := strings.Cut(part, "]"); found {
			part = rest
		}
		b.WriteString(part)
	}
	return b.String()
}

// fieldNamed returns the field into which encoding/json decodes a member.
func fieldNamed(shape reflect.Type, name string) (reflect.StructField, bool) {
	for i := range shape.NumField() {
		field := shape.Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if tag != "-" && strings.EqualFold(tag, name) {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func numberFits(text string, shape reflect.Type) bool {
	var err error
	switch {
	case shape.Kind() >= reflect.Int && shape.Kind() <= reflect.Int64:
		_, err = strconv.ParseInt(text, 10, shape.Bits())
	case shape.Kind() >= reflect.Uint && shape.Kind() <= reflect.Uint64:
		_, err = strconv.ParseUint(text, 10, shape.Bits())
	default:
		_, err = strconv.ParseFloat(text, shape.Bits())
	}
	return err == nil
}

func wanted(shape reflect.Type) string {
	switch shape.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	}
	if shape.Kind() >= reflect.Uint && shape.Kind() <= reflect.Uint64 {
		return "a natural number"
	}
	return "a whole number"
}

func kindName(kind hujson.Kind) string {
	switch kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	}
	return "a boolean"
}
