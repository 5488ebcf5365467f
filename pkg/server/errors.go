package server

import (
	"cmp"
	"slices"
)

// sortErrors orders findings by their text, so that the same settings always
// give the same report.
func sortErrors(findings []error) []error {
	slices.SortFunc(findings, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return findings
}
