package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code names a kind of finding. Codes are stable, so that scripts can rely on them.
type Code string

// The codes of errors.
const (
	CodeSyntax           Code = "syntax"
	CodeTooLarge         Code = "too-large" // size, nesting or number of elements
	CodeUnknownField     Code = "unknown-field"
	CodeDuplicateField   Code = "duplicate-field"
	CodeMissingField     Code = "missing-field"
	CodeMisplacedField   Code = "misplaced-field" // not allowed in a service of this kind
	CodeWrongType        Code = "wrong-type"
	CodeBadValue         Code = "bad-value"
	CodeEmptyList        Code = "empty-list"
	CodeDuplicateName    Code = "duplicate-name"
	CodeUnknownReference Code = "unknown-reference"
	CodeNoEngine         Code = "no-engine"
	CodeRouteHidden      Code = "route-hidden"
	CodeKeyShared        Code = "key-shared"
	CodeOmitted          Code = "omitted" // counts findings that are not listed
)

// Finding is one error in a document.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at 1; Column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, as in accounts[3].keys[0].digest. It is empty for the
	// document itself.
	Path string `json:"path"`
	// Code is fixed for each kind of finding.
	Code    Code   `json:"code"`
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
