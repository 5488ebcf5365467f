package server

import (
	"cmp"
	"slices"
)

// sortErrors sorts errors by their text, so that the same settings always give the
// same report.
func sortErrors(errs []error) []error {
	slices.SortFunc(errs, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return errs
}
