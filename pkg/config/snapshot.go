package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Snapshot is a compiled version of the document. It is immutable; callers must
// not modify what the returned pointers refer to.
type Snapshot struct {
	root      Root
	accounts  tree[ClientAccount]
	services  tree[Service]
	upstreams tree[upstreamEntry]
	tables    *tables
}

// Lookup returns the body of a piece, and false for a missing one.
type Lookup func(Hash) ([]byte, bool)

// Compile compiles a document under the given version.
func Compile(doc *Document, version core.Version) *Snapshot {
	root, pieces := Split(doc)
	root.Version = version
	snap, err := CompilePieces(nil, root, func(h Hash) ([]byte, bool) {
		body, ok := pieces[h]
		return body, ok
	})
	if err != nil {
		panic(fmt.Sprintf("config: compile the pieces of Split: %v", err))
	}
	return snap
}

// CompilePieces compiles a root and its pieces. It reuses every node and leaf that
// prev, which may be nil, already has, so that its cost is proportional to the size
// of the change. It fails when a piece is missing or does not decode. It does not verify
// hashes; the code that receives a piece does.
func CompilePieces(prev *Snapshot, root Root, get Lookup) (*Snapshot, error) {
	if prev == nil {
		prev = &Snapshot{}
	}
	snap := &Snapshot{root: root}
	var err error
	if snap.accounts, err = prev.accounts.recompile(root.Accounts, get, accountName); err != nil {
		return nil, fmt.Errorf("accounts: %w", err)
	}
	if snap.services, err = prev.services.recompile(root.Services, get, serviceName); err != nil {
		return nil, fmt.Errorf("services: %w", err)
	}
	if snap.upstreams, err = prev.upstreams.recompile(root.Upstreams, get, upstreamName); err != nil {
		return nil, fmt.Errorf("upstreams: %w", err)
	}
	if prev.tablesMatch(root) {
		snap.tables = prev.tables
		return snap, nil
	}
	snap.tables = newTables(snap)
	return snap, nil
}

// tablesMatch reports whether the tables of s are also those of root.
func (s *Snapshot) tablesMatch(root Root) bool {
	return s.tables != nil &&
		slices.Equal(s.root.Services, root.Services) &&
		slices.Equal(s.root.Upstreams, root.Upstreams) &&
		slices.Equal(s.root.DataCentres, root.DataCentres)
}

func accountName(a *ClientAccount) string  { return string(a.ID) }
func serviceName(s *Service) string        { return string(s.Name) }
func upstreamName(u *upstreamEntry) string { return string(u.ID) }

// Version returns the version of the configuration.
func (s *Snapshot) Version() core.Version { return s.root.Version }

// Root returns the root that the Snapshot was compiled from.
func (s *Snapshot) Root() Root { return s.root }

// Account finds a ClientAccount.
func (s *Snapshot) Account(id core.AccountID) (*ClientAccount, bool) {
	return s.accounts.find(string(id), accountName)
}

// Key finds a key of a ClientAccount. It also returns revoked keys.
func (s *Snapshot) Key(account core.AccountID, key core.KeyID) (*Key, bool) {
	client, ok := s.Account(account)
	if !ok {
		return nil, false
	}
	for i := range client.Keys {
		if client.Keys[i].ID == key {
			return &client.Keys[i], true
		}
	}
	return nil, false
}

// Service finds a service.
func (s *Snapshot) Service(name core.ServiceName) (*Service, bool) {
	service, ok := s.tables.services[name]
	return service, ok
}

// Upstream finds an Upstream and its service.
func (s *Snapshot) Upstream(id core.UpstreamID) (*Service, *Upstream, bool) {
	entry, ok := s.upstreams.find(string(id), upstreamName)
	if !ok {
		return nil, nil, false
	}
	service, ok := s.Service(entry.Service)
	return service, &entry.Upstream, ok
}

// Accounts calls yield with every ClientAccount until yield returns false. The
// order depends only on the ids.
func (s *Snapshot) Accounts(yield func(*ClientAccount) bool) { s.accounts.all(yield) }

// Services returns all services, sorted by name.
func (s *Snapshot) Services() []*Service { return s.tables.sortedServices }

// ModelService finds the service that offers a model.
func (s *Snapshot) ModelService(model core.ModelName) (*Service, bool) {
	service, ok := s.tables.models[model]
	return service, ok
}

// DataCentre finds a DataCentre.
func (s *Snapshot) DataCentre(name core.DataCentreName) (*DataCentre, bool) {
	dc, ok := s.tables.dataCentres[name]
	return dc, ok
}

// PlainRoute finds the route of a plain service for a request. The path is the
// escaped path of the URL. A path that is not normalised matches no route: an
// Upstream could resolve it to another path, and a public route would then give
// access to a route that requires a key.
func (s *Snapshot) PlainRoute(method, path string) (*Service, *Route, bool) {
	if !isNormalisedPath(path) {
		return nil, nil, false
	}
	target, ok := s.tables.routes.find(method, path)
	return target.service, target.route, ok
}

// tree is a section of a Snapshot, split into nodes and leaves like its pieces.
type tree[T any] struct {
	nodes []*treeNode[T]
}

type treeNode[T any] struct {
	hash   Hash
	leaves []*treeLeaf[T]
}

type treeLeaf[T any] struct {
	hash          Hash
	firstNameHash uint64 // name hash of the first entry
	entries       []T
}

// recompile returns the tree of the given nodes. It reuses the nodes and leaves of t.
func (t tree[T]) recompile(hashes []Hash, get Lookup, name func(*T) string) (tree[T], error) {
	reusableNodes := map[Hash]*treeNode[T]{}
	for _, node := range t.nodes {
		reusableNodes[node.hash] = node
	}
	next := tree[T]{nodes: make([]*treeNode[T], len(hashes))}
	listed := map[Hash]bool{}
	for _, hash := range hashes {
		listed[hash] = true
	}
	reusableLeaves := map[Hash]*treeLeaf[T]{}
	for _, node := range t.nodes {
		if listed[node.hash] {
			continue
		}
		for _, leaf := range node.leaves {
			reusableLeaves[leaf.hash] = leaf
		}
	}
	for i, hash := range hashes {
		node := reusableNodes[hash]
		if node == nil {
			var err error
			if node, err = compileNode(hash, reusableLeaves, get, name); err != nil {
				return tree[T]{}, err
			}
		}
		next.nodes[i] = node
	}
	return next, next.checkOrder()
}

func compileNode[T any](hash Hash, reusable map[Hash]*treeLeaf[T], get Lookup, name func(*T) string) (*treeNode[T], error) {
	hashes, err := nodeLeaves(hash, get)
	if err != nil {
		return nil, err
	}
	node := &treeNode[T]{hash: hash, leaves: make([]*treeLeaf[T], len(hashes))}
	for i, leafHash := range hashes {
		leaf := reusable[leafHash]
		if leaf == nil {
			if leaf, err = compileLeaf(leafHash, get, name); err != nil {
				return nil, err
			}
		}
		node.leaves[i] = leaf
	}
	return node, nil
}

// ParseNode returns the hashes of the leaves that a node lists.
func ParseNode(body []byte) ([]Hash, error) {
	var hashes []Hash
	if err := json.Unmarshal(body, &hashes); err != nil {
		return nil, err
	}
	if len(hashes) == 0 {
		return nil, fmt.Errorf("node lists no leaves")
	}
	return hashes, nil
}

func nodeLeaves(hash Hash, get Lookup) ([]Hash, error) {
	body, ok := get(hash)
	if !ok {
		return nil, fmt.Errorf("node %v is missing", hash)
	}
	hashes, err := ParseNode(body)
	if err != nil {
		return nil, fmt.Errorf("node %v: %w", hash, err)
	}
	return hashes, nil
}

func compileLeaf[T any](hash Hash, get Lookup, name func(*T) string) (*treeLeaf[T], error) {
	body, ok := get(hash)
	if !ok {
		return nil, fmt.Errorf("leaf %v is missing", hash)
	}
	leaf := &treeLeaf[T]{hash: hash}
	if err := json.Unmarshal(body, &leaf.entries); err != nil {
		return nil, fmt.Errorf("leaf %v: %w", hash, err)
	}
	if len(leaf.entries) == 0 {
		return nil, fmt.Errorf("leaf %v has no entries", hash)
	}
	leaf.entries = append(make([]T, 0, len(leaf.entries)), leaf.entries...) // drops the decoder's spare capacity
	leaf.firstNameHash = hashName(name(&leaf.entries[0]))
	return leaf, nil
}

// checkOrder verifies that the leaves are sorted, which the binary search in find requires.
func (t tree[T]) checkOrder() error {
	last := uint64(0)
	for _, node := range t.nodes {
		for _, leaf := range node.leaves {
			if leaf.firstNameHash < last {
				return fmt.Errorf("leaf %v is out of order", leaf.hash)
			}
			last = leaf.firstNameHash
		}
	}
	return nil
}

func (t tree[T]) find(key string, name func(*T) string) (*T, bool) {
	target := hashName(key)
	n := sort.Search(len(t.nodes), func(i int) bool { return t.nodes[i].leaves[0].firstNameHash > target })
	if n == 0 {
		return nil, false
	}
	leaves := t.nodes[n-1].leaves
	l := sort.Search(len(leaves), func(i int) bool { return leaves[i].firstNameHash > target })
	entries := leaves[l-1].entries
	for i := range entries {
		if name(&entries[i]) == key {
			return &entries[i], true
		}
	}
	return nil, false
}

// all calls yield with every entry until it returns false.
func (t tree[T]) all(yield func(*T) bool) {
	for _, node := range t.nodes {
		for _, leaf := range node.leaves {
			for i := range leaf.entries {
				if !yield(&leaf.entries[i]) {
					return
				}
			}
		}
	}
}

// Pieces returns the hashes of all pieces of the Snapshot.
func (s *Snapshot) Pieces() []Hash {
	all, _ := s.Diff(nil)
	return all
}

// Diff returns the hashes of the nodes that only s has and of the nodes that only
// prev has, each followed by all its leaves. A nil prev has none. Apart from a pass
// over the nodes, the cost is proportional to the size of the change.
func (s *Snapshot) Diff(prev *Snapshot) (added, removed []Hash) {
	if prev == nil {
		prev = &Snapshot{}
	}
	added = s.accounts.appendNodesNotIn(prev.accounts, added)
	added = s.services.appendNodesNotIn(prev.services, added)
	added = s.upstreams.appendNodesNotIn(prev.upstreams, added)
	removed = prev.accounts.appendNodesNotIn(s.accounts, removed)
	removed = prev.services.appendNodesNotIn(s.services, removed)
	removed = prev.upstreams.appendNodesNotIn(s.upstreams, removed)
	return added, removed
}

// appendNodesNotIn appends the hashes of the nodes that other does not have, each
// followed by its leaves.
func (t tree[T]) appendNodesNotIn(other tree[T], list []Hash) []Hash {
	shared := make(map[Hash]bool, len(other.nodes))
	for _, node := range other.nodes {
		shared[node.hash] = true
	}
	for _, node := range t.nodes {
		if shared[node.hash] {
			continue
		}
		list = append(list, node.hash)
		for _, leaf := range node.leaves {
			list = append(list, leaf.hash)
		}
	}
	return list
}
