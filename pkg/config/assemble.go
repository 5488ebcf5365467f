package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Assemble returns the document of a root and its pieces. Services, Upstreams and
// accounts are sorted by name or id; pieces do not contain the comments of the original
// text. It fails when a piece is missing, does not match its hash or does not decode.
func Assemble(root Root, get Lookup) (*Document, error) {
	snap, err := CompilePieces(nil, root, withHashCheck(get))
	if err != nil {
		return nil, err
	}
	return snap.Document(), nil
}

// withHashCheck returns a Lookup that treats a piece that does not match its hash as
// missing.
func withHashCheck(get Lookup) Lookup {
	return func(hash Hash) ([]byte, bool) {
		body, ok := get(hash)
		return body, ok && HashOf(body) == hash
	}
}

// Document returns the document of the Snapshot, sorted as by Assemble. The caller
// must not modify the elements of its slices.
func (s *Snapshot) Document() *Document {
	doc := &Document{
		Environment:        s.root.Environment,
		StoreRegion:        s.root.StoreRegion,
		UpstreamCredential: s.root.UpstreamCredential,
		DataCentres:        s.root.DataCentres,
		ResumeKeys:         s.root.ResumeKeys,
	}
	for _, service := range s.tables.sortedServices {
		doc.Services = append(doc.Services, *service)
	}
	for account := range s.Accounts {
		doc.Accounts = append(doc.Accounts, *account)
	}
	slices.SortFunc(doc.Accounts, func(a, b ClientAccount) int { return cmp.Compare(a.ID, b.ID) })
	return doc
}

// Format returns the text of a document in a form that Parse accepts.
func Format(doc *Document) []byte {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("config: encode document: %v", err)) // the types of this package always encode
	}
	return append(text, '\n')
}
