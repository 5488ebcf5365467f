package harness3

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// fields are the fields of the settings of a process, in nested maps.
type fields = map[string]any

// render fills in the template of the settings as the users' page on deployment says, as far as this
// template needs it.
func render(template string, data fields) (string, error) {
	text, rest, err := renderUntil(template, "", data, nil, true)
	if err == nil && rest != "" {
		err = fmt.Errorf("a section is not closed before %.40q", rest)
	}
	return text, err
}

// renderUntil renders up to the end of a section and returns what follows it. last says whether the
// entry is the last one of its list.
func renderUntil(template, section string, data fields, entry any, last bool) (text, rest string, err error) {
	var b strings.Builder
	for {
		before, after, found := strings.Cut(template, "{{")
		b.WriteString(before)
		if !found {
			return b.String(), "", nil
		}
		name, tail, found := strings.Cut(after, "}}")
		if !found {
			return "", "", fmt.Errorf("an open placeholder: %.40q", after)
		}
		template = tail
		switch {
		case name == "/"+section:
			return b.String(), template, nil
		case strings.HasPrefix(name, "#"):
			part, tail, err := renderSection(template, name[1:], data)
			if err != nil {
				return "", "", err
			}
			b.WriteString(part)
			template = tail
		case name == ",":
			if !last {
				b.WriteString(",")
			}
		default:
			b.WriteString(renderValue(name, data, entry))
		}
	}
}

func renderSection(template, name string, data fields) (text, rest string, err error) {
	value := lookup(data, name)
	list, isList := value.([]string)
	if !isList {
		text, rest, err = renderUntil(template, name, data, value, true)
		if value == nil {
			text = ""
		}
		return text, rest, err
	}
	_, rest, err = renderUntil(template, name, data, "", true)
	for i, entry := range list {
		part, _, _ := renderUntil(template, name, data, entry, i == len(list)-1)
		text += part
	}
	return text, rest, err
}

func renderValue(name string, data fields, entry any) string {
	name, isJSON := strings.CutSuffix(name, "|json")
	value := entry
	if name != "." {
		value = lookup(data, name)
	}
	switch {
	case value == nil:
		return ""
	case isJSON:
		text, _ := json.Marshal(value) // strings, numbers and maps of them
		return string(text)
	}
	return fmt.Sprint(value)
}

func lookup(data fields, name string) any {
	var value any = data
	for part := range strings.SplitSeq(name, ".") {
		switch v := value.(type) {
		case fields:
			value = v[part]
		case []string:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
