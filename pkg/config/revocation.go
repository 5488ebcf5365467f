package config

import (
	"cmp"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Revocation says that no configuration older than Version may accept a key.
type Revocation struct {
	Account core.AccountID `json:"account"`
	Key     core.KeyID     `json:"key"`
	// Version is the version that revoked the key.
	Version core.Version `json:"version"`
}

// Bounds of the revocations in a root. A root keeps 32, about 2 KB, for
// Instances that missed a version. One change may add more; 4,000 take about
// 250 KB of the 1 MB that an object may have.
const (
	minRevocations = 32
	maxRevocations  = 4000
)

// NextVersion returns the root and the pieces of the document that replaces prev. It
// gives the next version, and the root lists the keys that prev accepts and next
// does not. For the first version, prevRoot is empty and prev is nil.
func NextVersion(prevRoot Root, prev, next *Document) (Root, map[Hash][]byte) {
	root, pieces := Split(next)
	root.Version = prevRoot.Version + 1
	if prev == nil {
		prev = &Document{}
	}
	fresh := revokedKeys(prev, next, root.Version)
	list := slices.Concat(fresh, prevRoot.Revocations)
	keep := min(len(list), maxRevocations, max(minRevocations, len(fresh)))
	root.Revocations = list[:keep]
	root.RevocationsSince = prevRoot.RevocationsSince
	if keep < len(list) {
		root.RevocationsSince = list[keep].Version
	}
	return root, pieces
}

// HasAllRevocationsSince reports whether the root lists every revocation made after the
// given version. If not, an Instance at that version learns some of them only
// from the whole configuration.
func (r Root) HasAllRevocationsSince(version core.Version) bool { return version >= r.RevocationsSince }

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
			same := accepted[[2]string{string(account.ID), string(key.ID)}] == key
			if !key.Revoked && !same {
				list = append(list, Revocation{Account: account.ID, Key: key.ID, Version: version})
			}
		}
	}
	slices.SortFunc(list, func(a, b Revocation) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key))
	})
	return list
}
