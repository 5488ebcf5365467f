package config

import (
	"cmp"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Revocation records that Version revoked a key. No Instance may accept the key
// under an older configuration.
type Revocation struct {
	Account core.AccountID `json:"account"`
	Key     core.KeyID     `json:"key"`
	Version core.Version   `json:"version"`
}

// Limits on the revocations in a root. A root keeps the latest 32, about 2 KB, for
// Instances that missed a version. It keeps more if one change revokes more keys;
// 4,000 take about 250 KB of the maximum object size of 1 MB.
const (
	minRevocations = 32
	maxRevocations = 4000
)

// NextVersion returns the root and the pieces of the document next, which replaces
// prev. The root has the version after that of prevRoot, and its revocations begin
// with the keys that prev accepts and next does not. For the first version,
// prevRoot is empty and prev is nil.
func NextVersion(prevRoot Root, prev, next *Document) (Root, map[Hash][]byte) {
	root, pieces := Split(next)
	root.Version = prevRoot.Version + 1
	if prev == nil {
		prev = &Document{}
	}
	added := revokedKeys(prev, next, root.Version)
	list := slices.Concat(added, prevRoot.Revocations)
	keep := min(len(list), maxRevocations, max(minRevocations, len(added)))
	root.Revocations = list[:keep]
	root.RevocationsSince = prevRoot.RevocationsSince
	if keep < len(list) {
		root.RevocationsSince = list[keep].Version
	}
	return root, pieces
}

// HasAllRevocationsSince reports whether the root lists every revocation made after
// the given version. If not, an Instance at that version gets the others only by
// compiling the complete configuration.
func (r Root) HasAllRevocationsSince(version core.Version) bool { return version >= r.RevocationsSince }

// revokedKeys returns the keys that prev accepts and next does not, sorted by account
// and key. A key whose entry changes counts as revoked.
func revokedKeys(prev, next *Document, version core.Version) []Revocation {
	accepted := map[[2]string]Key{}
	for _, account := range next.Accounts {
		for _, key := range account.Keys {
			if !key.Revoked {
				accepted[[2]string{string(account.ID), string(key.ID)}] = key
			}
		}
	}
	var list []Revocation
	for _, account := range prev.Accounts {
		for _, key := range account.Keys {
			unchanged := accepted[[2]string{string(account.ID), string(key.ID)}] == key
			if !key.Revoked && !unchanged {
				list = append(list, Revocation{Account: account.ID, Key: key.ID, Version: version})
			}
		}
	}
	slices.SortFunc(list, func(a, b Revocation) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key))
	})
	return list
}
