package config

import "fmt"

// Fetch reads all pieces of a root, as the operator command does before Assemble
// or NextVersion. It fails with the first error of read, and for a piece that does not
// have its hash.
func Fetch(root Root, read func(Hash) ([]byte, error)) (map[Hash][]byte, error) {
	pieces := map[Hash][]byte{}
	for _, node := range root.Nodes() {
		if err := fetchPiece(node, read, pieces); err != nil {
			return nil, err
		}
		leaves, err := ParseNode(pieces[node])
		if err != nil {
			return nil, fmt.Errorf("node %v: %w", node, err)
		}
		for _, leaf := range leaves {
			if err := fetchPiece(leaf, read, pieces); err != nil {
				return nil, err
			}
		}
	}
	return pieces, nil
}

func fetchPiece(hash Hash, read func(Hash) ([]byte, error), into map[Hash][]byte) error {
	body, err := read(hash)
	if err != nil {
		return fmt.Errorf("read piece %v: %w", hash, err)
	}
	if HashOf(body) != hash {
		return fmt.Errorf("piece %v has another hash, %v", hash, HashOf(body))
	}
	into[hash] = body
	return nil
}
