package core

import (
	"cmp"
	"fmt"
)

// StoreRevision identifies a state of the platform's store. A store that comes back from an older
// copy of itself starts a new era, in which it assigns numbers again.
type StoreRevision struct {
	Era    uint64 `json:"era"`
	Number uint64 `json:"number"`
}

// Compare returns -1 if r is an earlier state than other, 1 if it is a later one, and 0 if they are
// the same.
func (r StoreRevision) Compare(other StoreRevision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is an earlier state than other.
func (r StoreRevision) Before(other StoreRevision) bool { return r.Compare(other) < 0 }

// Latest returns the later one of two states.
func (r StoreRevision) Latest(other StoreRevision) StoreRevision {
	if r.Before(other) {
		return other
	}
	return r
}

// String returns the revision as ERA/NUMBER.
func (r StoreRevision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Number) }
