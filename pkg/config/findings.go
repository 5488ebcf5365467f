package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one error in a document.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at 1; Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, as in accounts[3].keys[0].digest. It is empty for the
	// document itself.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the finding as file:line:column: path: message, without an empty path.
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Column, f.Path, f.Message)
}

// Findings are the errors in a document in the order of the text.
type Findings []Finding

// Error returns the findings, one per line.
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
