package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Change is one difference between two documents. It contains no salt or digest of a
// key.
type Change struct {
	Kind   string `json:"what"` // document, data_centre, service, upstream, account or key
	Name   string `json:"name"`
	Change string `json:"change"` // added, removed or changed
	// Detail lists the changed fields with their previous and new values; of salts
	// and digests only the names.
	Detail string `json:"detail,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	sign := map[string]string{"added": "+", "removed": "-", "changed": "~"}[c.Change]
	return strings.TrimRight(fmt.Sprintf("%s %s %s  %s", sign, c.Kind, c.Name, c.Detail), " ")
}

// entryFields are the JSON fields of a document entry, without those whose elements
// are entries themselves.
type entryFields map[string]json.RawMessage

// entryKey identifies an entry of a document. kind is a value of Change.Kind.
type entryKey struct{ kind, name string }

// Diff returns the changes from one document to another, sorted by kind and name. A
// nil document counts as empty.
func Diff(from, to *config.Document) []Change {
	before, after := documentEntries(from), documentEntries(to)
	changes := []Change{}
	for name, old := range before {
		if updated, found := after[name]; !found {
			changes = append(changes, Change{Kind: name.kind, Name: name.name, Change: "removed"})
		} else if detail := changedFields(old, updated); detail != "" {
			changes = append(changes, Change{Kind: name.kind, Name: name.name, Change: "changed", Detail: detail})
		}
	}
	for name := range after {
		if _, found := before[name]; !found {
			changes = append(changes, Change{Kind: name.kind, Name: name.name, Change: "added"})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(a.Kind+" "+a.Name, b.Kind+" "+b.Name)
	})
	return changes
}

func documentEntries(doc *config.Document) map[entryKey]entryFields {
	entries := map[entryKey]entryFields{}
	if doc == nil {
		return entries
	}
	add := func(what, name string, value any, exclude ...string) {
		entries[entryKey{what, name}] = jsonFields(value, exclude)
	}
	add("document", doc.Environment, doc, "data_centres", "services", "accounts")
	for _, dc := range doc.DataCentres {
		add("data_centre", string(dc.Name), dc)
	}
	for _, service := range doc.Services {
		add("service", string(service.Name), service, "upstreams")
		for _, up := range service.Upstreams {
			add("upstream", string(up.ID), up)
		}
	}
	for _, account := range doc.Accounts {
		add("account", string(account.ID), account, "keys")
		for _, key := range account.Keys {
			add("key", keyName(account.ID, key), key)
		}
	}
	return entries
}

func jsonFields(value any, exclude []string) entryFields {
	text, err := json.Marshal(value)
	var all entryFields
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err != nil {
		panic(fmt.Sprintf("operator: encode %T: %v", value, err)) // the types of config always encode
	}
	for _, name := range exclude {
		delete(all, name)
	}
	return all
}

func changedFields(before, after entryFields) string {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var list []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if bytes.Equal(before[name], after[name]) {
			continue
		}
		if name == "salt" || name == "digest" {
			list = append(list, name)
			continue
		}
		list = append(list, fmt.Sprintf("%s: %s -> %s", name, valueOrNone(before[name]), valueOrNone(after[name])))
	}
	return strings.Join(list, ", ")
}

func valueOrNone(text json.RawMessage) string {
	if len(text) == 0 {
		return "none"
	}
	return string(text)
}
