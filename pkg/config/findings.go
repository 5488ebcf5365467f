package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	File string `json:"file"`
	// Line and Column count from 1; columns count bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, as in accounts[3].keys[0].digest. It is empty for
	// the document as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding as file:line:column: path: message.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// Findings are the faults of a document in the order of the text.
type Findings []Finding

// Error returns one finding a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
