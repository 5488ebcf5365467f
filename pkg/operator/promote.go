// Package operator implements the operator's command line: it stages and promotes
// configuration documents, shows them, and collects status and timeline from the
// Instances.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// The environments that have a configuration in the platform's store. Trial takes no
// production traffic.
const (
	Trial      = "trial"
	Production = "production"
)

const (
	trialBaseObject = "config/trial/base"
	historyPrefix   = "config/history/"
)

// trialBase records the production version that a trial is based on.
type trialBase struct {
	// Root is the hash of the trial root that this base belongs to.
	Root config.Hash `json:"root"`
	// Production is the configuration version of production when the trial was
	// staged, StoreVersion the version of its root object.
	Production   core.Version `json:"production_version"`
	StoreVersion uint64       `json:"production_store_version"`
}

// errConcurrentTrial reports that the base object in the store belongs to another
// trial root: two operators staged documents at the same time.
var errConcurrentTrial = errors.New("the trial was being changed by another operator: try the document again")

// ConflictError reports that production has changed since the trial was staged.
type ConflictError struct {
	Tried   core.Version // the production version that the trial is based on
	Current core.Version // the production version now
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the trial builds on production version %d, but production is at version %d: try the document again", e.Tried, e.Current)
}

// TrialConflictError reports that another operator's document is in trial.
type TrialConflictError struct {
	Asked core.Version // the version of this operator's document
	Trial core.Version // the version in trial now
}

// Error names both versions.
func (e *TrialConflictError) Error() string {
	return fmt.Sprintf("version %d is not in trial: another operator has put version %d there, try the document again", e.Asked, e.Trial)
}

// Entry is one promotion in the history.
type Entry struct {
	Version core.Version `json:"version"`
	// RecordedAt is the time at which the entry was written: that of the promotion,
	// or of the next one if the promoting command ended before it wrote the entry.
	RecordedAt time.Time   `json:"at"`
	Root       config.Root `json:"root"`
}

// Result is the outcome of a trial or a promotion.
type Result struct {
	Version core.Version `json:"version"`
	// BaseVersion is the production version that this one replaces.
	BaseVersion core.Version `json:"base"`
	Pieces      int          `json:"pieces_written"`
	Bytes       int          `json:"bytes_written"`
	// ReplacedBy is the production version that has already replaced this one, 0
	// when none has.
	ReplacedBy core.Version `json:"replaced_by,omitempty"`
	// RevokedKeys names the keys that a rollback has revoked in the earlier document
	// because they are not valid in production.
	RevokedKeys []string `json:"kept_revoked,omitempty"`
}

// storedRoot is a root with the version of its store object, both zero when there is
// none.
type storedRoot struct {
	root         config.Root
	storeVersion uint64
}

// Operator reads and changes the configuration in the platform's store, and queries
// the Instances.
type Operator struct {
	store platform.Client
	now   func() time.Time
}

// New returns an Operator that uses the given store.
func New(store platform.Client) *Operator {
	return &Operator{store: store, now: time.Now}
}

// readRoot returns the root of an environment, the zero value when there is none.
func (o *Operator) readRoot(ctx context.Context, environment string) (storedRoot, error) {
	object, err := o.store.Get(ctx, router.RootObject(environment))
	if errors.Is(err, platform.ErrNotFound) {
		return storedRoot{}, nil
	}
	if err != nil {
		return storedRoot{}, fmt.Errorf("read the %s root: %w", environment, err)
	}
	root, err := config.ParseRoot(object.Value)
	if err != nil {
		return storedRoot{}, fmt.Errorf("the %s root: %w", environment, err)
	}
	return storedRoot{root: root, storeVersion: object.Version}, nil
}

// Document returns the configuration of an environment, nil when there is none.
func (o *Operator) Document(ctx context.Context, environment string) (*config.Document, core.Version, error) {
	stored, err := o.readRoot(ctx, environment)
	if err != nil || stored.root.Version == 0 {
		return nil, 0, err
	}
	doc, _, err := o.assemble(ctx, stored.root, nil)
	return doc, stored.root.Version, err
}

// assemble reads each piece of a root once, except the known ones, and returns the
// document together with the pieces. Pieces are addressed by their content, so a
// known piece needs no read.
func (o *Operator) assemble(ctx context.Context, root config.Root, known map[config.Hash][]byte) (*config.Document, map[config.Hash][]byte, error) {
	pieces, err := config.Fetch(root, func(hash config.Hash) ([]byte, error) {
		if body, found := known[hash]; found {
			return body, nil
		}
		object, err := o.store.Get(ctx, router.PieceObject(hash))
		return object.Value, err
	})
	if err != nil {
		return nil, nil, err
	}
	doc, err := config.Assemble(root, func(hash config.Hash) ([]byte, bool) {
		body, found := pieces[hash]
		return body, found
	})
	return doc, pieces, err
}

// StageTrial puts a valid document in trial, based on the current production version.
// The pieces are written before the root, so that a root never names a piece that is
// not in the store. If another operator changes the trial meanwhile, it returns a
// *TrialConflictError.
func (o *Operator) StageTrial(ctx context.Context, doc *config.Document) (Result, error) {
	production, err := o.readRoot(ctx, Production)
	if err != nil {
		return Result{}, err
	}
	trial, err := o.readRoot(ctx, Trial)
	if err != nil {
		return Result{}, err
	}
	var previous *config.Document
	var stored map[config.Hash][]byte
	if production.root.Version != 0 {
		_, known := config.Split(doc)
		if previous, stored, err = o.assemble(ctx, production.root, known); err != nil {
			return Result{}, err
		}
	}
	root, pieces := config.NextVersion(production.root, previous, doc)
	// Two trials on the same base get different versions, so that an Instance that
	// follows the trial environment treats the later one as newer.
	root = root.WithVersion(max(root.Version, trial.root.Version+1))
	result := Result{Version: root.Version, BaseVersion: production.root.Version}
	if err := o.writePieces(ctx, pieces, stored, &result); err != nil {
		return Result{}, err
	}
	encoded := root.Encode()
	base, err := json.Marshal(trialBase{
		Root:         config.HashOf(encoded),
		Production:   production.root.Version,
		StoreVersion: production.storeVersion,
	})
	if err != nil {
		return Result{}, err
	}
	if err := o.overwrite(ctx, trialBaseObject, base); err != nil {
		return Result{}, err
	}
	_, err = o.put(ctx, router.RootObject(Trial), encoded, trial.storeVersion)
	var conflict platform.ConflictError
	if errors.As(err, &conflict) {
		current, readErr := o.readRoot(ctx, Trial)
		if readErr != nil {
			return Result{}, readErr
		}
		return Result{}, &TrialConflictError{Asked: root.Version, Trial: current.root.Version}
	}
	return result, err
}

// writePieces creates the pieces that are not in the store yet and counts them in
// result. Pieces are never deleted, so those of production, passed as stored, are not
// written.
func (o *Operator) writePieces(ctx context.Context, pieces, stored map[config.Hash][]byte, result *Result) error {
	for _, hash := range config.SortedHashes(pieces) {
		if _, found := stored[hash]; found {
			continue
		}
		body := pieces[hash]
		_, err := o.put(ctx, router.PieceObject(hash), body, 0)
		var conflict platform.ConflictError
		if errors.As(err, &conflict) {
			continue // the store has this content already
		}
		if err != nil {
			return fmt.Errorf("write piece %s: %w", hash, err)
		}
		result.Pieces++
		result.Bytes += len(body)
	}
	return nil
}

// Promote makes the trial the production configuration if production is still at the
// version that the trial is based on. Otherwise it returns a *ConflictError and
// production stays as it is.
func (o *Operator) Promote(ctx context.Context) (Result, error) {
	return o.PromoteVersion(ctx, 0)
}

// PromoteVersion is Promote for one version; 0 stands for the version in trial. If
// another operator's document is in trial and the version was not promoted before, it
// returns a *TrialConflictError and changes nothing.
func (o *Operator) PromoteVersion(ctx context.Context, want core.Version) (Result, error) {
	trial, err := o.readRoot(ctx, Trial)
	if err != nil {
		return Result{}, err
	}
	if trial.root.Version == 0 {
		return Result{}, errors.New("no document is in trial")
	}
	if want != 0 && want != trial.root.Version {
		return o.findPromoted(ctx, want, trial.root.Version)
	}
	encoded := trial.root.Encode()
	base, err := o.readTrialBase(ctx, config.HashOf(encoded))
	if err != nil {
		return Result{}, err
	}
	result := Result{Version: trial.root.Version, BaseVersion: base.Production}
	if err := o.recordReplacedVersion(ctx, base); err != nil {
		return Result{}, err
	}
	_, err = o.put(ctx, router.RootObject(Production), encoded, base.StoreVersion)
	var conflict platform.ConflictError
	if errors.As(err, &conflict) {
		return o.resolveConflict(ctx, result, encoded)
	}
	if err != nil {
		return Result{}, fmt.Errorf("promote: %w", err)
	}
	return result, o.writeHistory(ctx, trial.root)
}

// findPromoted returns the result of a version that was promoted and is no longer in
// trial, or a *TrialConflictError if it was never promoted.
func (o *Operator) findPromoted(ctx context.Context, want, trial core.Version) (Result, error) {
	production, err := o.readRoot(ctx, Production)
	if err != nil {
		return Result{}, err
	}
	if production.root.Version == want {
		return Result{Version: want}, o.writeHistory(ctx, production.root)
	}
	_, err = o.historyEntry(ctx, want)
	if errors.Is(err, platform.ErrNotFound) {
		return Result{}, &TrialConflictError{Asked: want, Trial: trial}
	}
	return Result{Version: want, ReplacedBy: production.root.Version}, err
}

// recordReplacedVersion writes the history entry of the production version that is
// about to be replaced, if the command that promoted it did not. Every replaced
// version is therefore in the history, which distinguishes a promotion with an unknown
// outcome from one that never took effect.
func (o *Operator) recordReplacedVersion(ctx context.Context, base trialBase) error {
	current, err := o.readRoot(ctx, Production)
	if err != nil || current.root.Version == 0 || current.storeVersion != base.StoreVersion {
		return err
	}
	if _, err := o.historyEntry(ctx, current.root.Version); !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	return o.writeHistory(ctx, current.root)
}

// readTrialBase returns the base of the trial with the given root hash, or
// errConcurrentTrial if the stored base belongs to another root.
func (o *Operator) readTrialBase(ctx context.Context, root config.Hash) (trialBase, error) {
	object, err := o.store.Get(ctx, trialBaseObject)
	if err != nil {
		return trialBase{}, fmt.Errorf("read the base of the trial: %w", err)
	}
	var base trialBase
	if err := json.Unmarshal(object.Value, &base); err != nil {
		return trialBase{}, fmt.Errorf("the base of the trial: %w", err)
	}
	if base.Root != root {
		return trialBase{}, errConcurrentTrial
	}
	return base, nil
}

// resolveConflict returns the result of a promotion whose write met a conflict: the
// write may have taken effect earlier, and another version may have replaced it since.
func (o *Operator) resolveConflict(ctx context.Context, result Result, encoded []byte) (Result, error) {
	current, err := o.readRoot(ctx, Production)
	if err != nil {
		return Result{}, err
	}
	if bytes.Equal(current.root.Encode(), encoded) {
		return result, o.writeHistory(ctx, current.root) // promoted already
	}
	entry, err := o.historyEntry(ctx, result.Version)
	if err == nil && bytes.Equal(entry.Root.Encode(), encoded) {
		result.ReplacedBy = current.root.Version // promoted, then replaced
		return result, nil
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return Result{}, err
	}
	return Result{}, &ConflictError{Tried: result.BaseVersion, Current: current.root.Version}
}

// writeHistory creates the history entry of a root. An existing entry is kept.
func (o *Operator) writeHistory(ctx context.Context, root config.Root) error {
	value, err := json.Marshal(Entry{Version: root.Version, RecordedAt: o.now().UTC(), Root: root})
	if err != nil {
		return err
	}
	_, err = o.put(ctx, historyObject(root.Version), value, 0)
	var conflict platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

func historyObject(version core.Version) string {
	return fmt.Sprintf("%s%020d", historyPrefix, version)
}

// historyEntry returns the history entry of a version, or platform.ErrNotFound.
func (o *Operator) historyEntry(ctx context.Context, version core.Version) (Entry, error) {
	return o.readHistoryEntry(ctx, historyObject(version))
}

func (o *Operator) readHistoryEntry(ctx context.Context, name string) (Entry, error) {
	var entry Entry
	object, err := o.store.Get(ctx, name)
	if err != nil {
		return entry, err
	}
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return entry, fmt.Errorf("%s: %w", name, err)
	}
	return entry, nil
}

// History returns at most limit promotions, the latest first.
func (o *Operator) History(ctx context.Context, limit int) ([]Entry, error) {
	infos, err := o.store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	entries := []Entry{}
	for i := len(infos) - 1; i >= 0 && len(entries) < limit; i-- {
		entry, err := o.readHistoryEntry(ctx, infos[i].Name)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// put writes an object if its version is expectedVersion, 0 for a new object. It
// resolves an unknown outcome of the write by reading the object back.
func (o *Operator) put(ctx context.Context, name string, value []byte, expectedVersion uint64) (uint64, error) {
	version, err := o.store.Put(ctx, name, value, expectedVersion)
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		return version, err
	}
	object, readErr := o.store.Get(ctx, name)
	switch {
	case readErr == nil && object.Version > expectedVersion && bytes.Equal(object.Value, value):
		return object.Version, nil
	case readErr == nil && object.Version != expectedVersion:
		return 0, platform.ConflictError{Current: object.Version}
	default:
		return 0, fmt.Errorf("%w; reading %s back did not settle it", err, name)
	}
}

// overwrite writes an object on top of the version that it reads first.
func (o *Operator) overwrite(ctx context.Context, name string, value []byte) error {
	object, err := o.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = o.put(ctx, name, value, object.Version)
	return err
}
