package config

import "fmt"

// Fetch reads all pieces of a root. The operator command calls it before Assemble and
// NextVersion. It returns the first error of read, and an error for a piece whose body
// does not match its hash.
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
		return fmt.Errorf("piece %v: hash mismatch: its body has the hash %v", hash, HashOf(body))
	}
	into[hash] = body
	return nil
}
