package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

// Rollback puts the document of an earlier promotion in trial as a new version. It
// revokes every key that is revoked or absent in production: a revoked key must never
// become valid again (G5), and the earlier document may list it as valid.
func (o *Operator) Rollback(ctx context.Context, version core.Version) (Result, error) {
	entry, err := o.historyEntry(ctx, version)
	if errors.Is(err, platform.ErrNotFound) {
		return Result{}, fmt.Errorf("version %d is not in the history", version)
	}
	if err != nil {
		return Result{}, err
	}
	doc, _, err := o.assemble(ctx, entry.Root, nil)
	if err != nil {
		return Result{}, err
	}
	current, _, err := o.Document(ctx, Production)
	if err != nil {
		return Result{}, err
	}
	revoked := revokeInvalidKeys(doc, current)
	result, err := o.StageTrial(ctx, doc)
	result.RevokedKeys = revoked
	return result, err
}

// revokeInvalidKeys revokes the keys of doc that are not valid in current and returns
// their names. A nil current changes nothing.
func revokeInvalidKeys(doc, current *config.Document) []string {
	if current == nil {
		return nil
	}
	valid := map[string]bool{}
	for _, account := range current.Accounts {
		for _, key := range account.Keys {
			valid[keyName(account.ID, key)] = !key.Revoked
		}
	}
	var revoked []string
	for i := range doc.Accounts {
		account := &doc.Accounts[i]
		account.Keys = slices.Clone(account.Keys) // the slices may be shared with other documents
		for k := range account.Keys {
			name := keyName(account.ID, account.Keys[k])
			if !valid[name] && !account.Keys[k].Revoked {
				account.Keys[k].Revoked = true
				revoked = append(revoked, name)
			}
		}
	}
	return revoked
}

func keyName(account core.AccountID, key config.Key) string {
	return string(account) + "." + string(key.ID)
}
