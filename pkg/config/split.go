package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Hash is the SHA-256 of a piece. Its text form is base64url without padding,
// which makes the root and the nodes a third smaller than hex.
type Hash [sha256.Size]byte

var hashEncoding = base64.RawURLEncoding.Strict()

// String returns the text form of the hash, which is valid in an object name.
func (h Hash) String() string { return hashEncoding.EncodeToString(h[:]) }

// MarshalText returns the text form of the hash.
func (h Hash) MarshalText() ([]byte, error) { return hashEncoding.AppendEncode(nil, h[:]), nil }

// UnmarshalText parses the text form of a hash.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hashEncoding.EncodedLen(len(h)) {
		return fmt.Errorf("hash has %d characters, want %d", len(text), hashEncoding.EncodedLen(len(h)))
	}
	_, err := hashEncoding.Decode(h[:], text)
	return err
}

// HashOf returns the hash of a piece.
func HashOf(piece []byte) Hash { return sha256.Sum256(piece) }

// Limits of the tree. They keep the root, the nodes and the leaves of 27,000 accounts
// at about 3 KB each, because each Instance has to fetch the pieces that a change
// affects.
const (
	maxLeafBytes  = 4096
	maxNodeLeaves = 96
	nameHashBits  = 64
)

// Root is the root of the tree, which the store holds in one object. Accounts,
// Services and Upstreams list the nodes, and each node lists its leaves.
type Root struct {
	Version            core.Version    `json:"version"`
	Environment        string          `json:"environment"`
	StoreRegion        core.RegionName `json:"store_region"`
	UpstreamCredential string          `json:"upstream_credential,omitempty"`
	DataCentres        []DataCentre    `json:"data_centres,omitempty"`
	ResumeKeys         []ResumeKey     `json:"resume_keys,omitempty"`
	Accounts           []Hash          `json:"accounts,omitempty"`
	Services           []Hash          `json:"services,omitempty"`
	Upstreams          []Hash          `json:"upstreams,omitempty"`
	// Revocations lists recent revocations, the most recent first. An Instance
	// applies them as soon as it has the root, before it has fetched the pieces.
	Revocations []Revocation `json:"revoked,omitempty"`
	// RevocationsSince is a version after which Revocations lists every revocation.
	RevocationsSince core.Version `json:"revoked_since,omitempty"`
}

// Nodes returns the hashes of all nodes.
func (r Root) Nodes() []Hash { return slices.Concat(r.Accounts, r.Services, r.Upstreams) }

// Encode returns the stored form of the root.
func (r Root) Encode() []byte { return encode(r) }

// ParseRoot decodes the result of Encode.
func ParseRoot(text []byte) (Root, error) {
	var root Root
	if err := json.Unmarshal(text, &root); err != nil {
		return Root{}, fmt.Errorf("configuration root: %w", err)
	}
	return root, nil
}

// upstreamEntry is the stored form of an Upstream in a leaf.
type upstreamEntry struct {
	Service core.ServiceName `json:"service"`
	Upstream
}

// Split returns the root of the document, without a version and revocations, and
// its pieces. The pieces do not depend on the order of accounts, services and
// Upstreams in the document.
func Split(doc *Document) (Root, map[Hash][]byte) {
	pieces := map[Hash][]byte{}
	root := Root{
		Environment:        doc.Environment,
		StoreRegion:        doc.StoreRegion,
		UpstreamCredential: doc.UpstreamCredential,
		DataCentres:        doc.DataCentres,
		ResumeKeys:         doc.ResumeKeys,
	}
	var accounts, services, upstreams []item
	for i := range doc.Accounts {
		accounts = append(accounts, newItem(string(doc.Accounts[i].ID), doc.Accounts[i]))
	}
	for _, service := range doc.Services {
		for _, up := range service.Upstreams {
			entry := upstreamEntry{Service: service.Name, Upstream: up}
			upstreams = append(upstreams, newItem(string(up.ID), entry))
		}
		service.Upstreams = nil
		services = append(services, newItem(string(service.Name), service))
	}
	root.Accounts = splitSection(accounts, pieces)
	root.Services = splitSection(services, pieces)
	root.Upstreams = splitSection(upstreams, pieces)
	return root, pieces
}

// item is one encoded entry of a section. Entries are sorted by the hash of their
// name, so that a new entry usually changes only one leaf.
type item struct {
	nameHash uint64
	name     string
	body     []byte
}

func newItem(name string, value any) item {
	return item{nameHash: hashName(name), name: name, body: encode(value)}
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

func encode(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("config: encode %T: %v", value, err)) // the types of this package always encode
	}
	return body
}

func splitSection(items []item, pieces map[Hash][]byte) []Hash {
	slices.SortFunc(items, func(a, b item) int {
		return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.name, b.name))
	})
	var nodes []Hash
	for _, leaves := range splitNodes(items, 0) {
		hashes := make([]Hash, len(leaves))
		for i, leaf := range leaves {
			hashes[i] = addPiece(pieces, encodeLeaf(leaf))
		}
		nodes = append(nodes, addPiece(pieces, encode(hashes)))
	}
	return nodes
}

func addPiece(pieces map[Hash][]byte, body []byte) Hash {
	hash := HashOf(body)
	pieces[hash] = body
	return hash
}

// splitNodes groups the items, whose name hashes share depth leading bits, into
// leaves and nodes. The groups depend only on the items with this prefix, so that a
// change elsewhere leaves them as they are.
func splitNodes(items []item, depth int) [][][]item {
	leaves := splitLeaves(items, depth)
	switch {
	case len(leaves) == 0:
		return nil
	case len(leaves) <= maxNodeLeaves || depth == nameHashBits:
		return [][][]item{leaves}
	}
	low, high := splitByBit(items, depth)
	return append(splitNodes(low, depth+1), splitNodes(high, depth+1)...)
}

func splitLeaves(items []item, depth int) [][]item {
	if len(items) == 0 {
		return nil
	}
	size := 0
	for _, it := range items {
		size += len(it.body) + len(",")
	}
	if size <= maxLeafBytes || len(items) == 1 || depth == nameHashBits {
		return [][]item{items}
	}
	low, high := splitByBit(items, depth)
	return append(splitLeaves(low, depth+1), splitLeaves(high, depth+1)...)
}

// splitByBit splits sorted items whose name hashes share depth leading bits at the
// next bit.
func splitByBit(items []item, depth int) (low, high []item) {
	bit := uint64(1) << (nameHashBits - 1 - depth)
	i, _ := slices.BinarySearchFunc(items, true, func(it item, _ bool) int {
		if it.nameHash&bit == 0 {
			return -1
		}
		return 1
	})
	return items[:i], items[i:]
}

func encodeLeaf(items []item) []byte {
	bodies := make([][]byte, len(items))
	for i, it := range items {
		bodies[i] = it.body
	}
	body := append([]byte{'['}, bytes.Join(bodies, []byte{','})...)
	return append(body, ']')
}
