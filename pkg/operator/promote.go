// Package operator does the work of the operator's command line: it tries and
// promotes configuration documents, shows them, and gathers status and timeline
// from the Instances.
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

// The places of the platform that hold a configuration. Trial takes no
// production traffic.
const (
	Trial      = "trial"
	Production = "production"
)

const (
	trialBaseObject = "config/trial/base"
	historyPrefix   = "config/history/"
)

// trialBase says on which production version a trial builds.
type trialBase struct {
	// Root is the hash of the trial root that this base belongs to.
	Root config.Hash `json:"root"`
	// Production is the configuration version, StoreVersion the object version
	// that production had.
	Production   core.Version `json:"production_version"`
	StoreVersion uint64       `json:"production_store_version"`
}

// errConcurrentTrial says that two operators wrote the trial at the same time.
var errConcurrentTrial = errors.New("the trial was being changed by another operator: try the document again")

// ConflictError says that production has changed since the trial.
type ConflictError struct {
	Tried   core.Version // the production version that the trial builds on
	Current core.Version // the production version now
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the trial builds on production version %d, but production is at version %d: try the document again", e.Tried, e.Current)
}

// TrialConflictError says that another operator's document is in trial.
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
	// RecordedAt is the time at which the entry was written. That is the time of the
	// promotion, or of the next one when the first operator's command died.
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
	// RevokedKeys names the keys that a rollback keeps revoked.
	RevokedKeys []string `json:"kept_revoked,omitempty"`
}

// storedRoot is a root together with the version of its object.
type storedRoot struct {
	root         config.Root
	storeVersion uint64
}

// Operator acts on the configuration in the platform's store.
type Operator struct {
	store platform.Client
	now   func() time.Time
}

// New returns an Operator on the store.
func New(store platform.Client) *Operator {
	return &Operator{store: store, now: time.Now}
}

// readRoot returns the root of an environment, empty when there is none.
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

// assemble reads each piece of a root once, except the known ones, and returns
// the document together with the pieces. The hash of a piece is that of its
// content, so a known piece needs no read.
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

// StageTrial puts a checked document in trial, on top of the current production
// version. The pieces are written first, so that a root never names a piece
// that the store lacks.
func (o *Operator) StageTrial(ctx context.Context, doc *config.Document) (Result, error) {
	production, err := o.readRoot(ctx, Production)
	if err != nil {
		return Result{}, err
	}
	trial, err := o.readRoot(ctx, Trial)
	if err != nil {
		return Result{}, err
	}
	var before *config.Document
	var held map[config.Hash][]byte
	if production.root.Version != 0 {
		_, known := config.Split(doc)
		if before, held, err = o.assemble(ctx, production.root, known); err != nil {
			return Result{}, err
		}
	}
	root, pieces := config.NextVersion(production.root, before, doc)
	// Two trials on the same base have different versions, so that an Instance
	// that follows the trial sees the later one as newer.
	root = root.WithVersion(max(root.Version, trial.root.Version+1))
	result := Result{Version: root.Version, BaseVersion: production.root.Version}
	if err := o.writePieces(ctx, pieces, held, &result); err != nil {
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
		now, readErr := o.readRoot(ctx, Trial)
		if readErr != nil {
			return Result{}, readErr
		}
		return Result{}, &TrialConflictError{Asked: root.Version, Trial: now.root.Version}
	}
	return result, err
}

// writePieces creates the pieces that the store does not hold yet. Pieces are
// never deleted, so those of production need no attempt.
func (o *Operator) writePieces(ctx context.Context, pieces, held map[config.Hash][]byte, result *Result) error {
	for _, hash := range config.SortedHashes(pieces) {
		if _, found := held[hash]; found {
			continue
		}
		body := pieces[hash]
		_, err := o.put(ctx, router.PieceObject(hash), body, 0)
		var conflict platform.ConflictError
		if errors.As(err, &conflict) {
			continue // the store holds this content already
		}
		if err != nil {
			return fmt.Errorf("write piece %s: %w", hash, err)
		}
		result.Pieces++
		result.Bytes += len(body)
	}
	return nil
}

// Promote makes the trial the production configuration, if production is still
// the version that the trial builds on. Otherwise it returns a *ConflictError
// and changes nothing.
func (o *Operator) Promote(ctx context.Context) (Result, error) {
	return o.PromoteVersion(ctx, 0)
}

// PromoteVersion is Promote for one version, 0 for whichever is in trial. When
// another operator's document is in trial instead, it returns a
// *TrialConflictError and changes nothing.
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

// findPromoted returns the result of a version that was promoted and is no
// longer in trial.
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

// recordReplacedVersion writes the history entry of the version that is about to be
// replaced, in case the command that promoted it has not. So every version that
// was ever replaced is in the history, and a promotion whose answer was lost can
// be told from one that never took effect.
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

// historyEntry reads the history historyEntry of a version.
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

// History returns the promotions, the latest first, at most limit.
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

// put writes an object and settles an answer that was lost by reading back.
func (o *Operator) put(ctx context.Context, name string, value []byte, base uint64) (uint64, error) {
	version, err := o.store.Put(ctx, name, value, base)
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		return version, err
	}
	object, readErr := o.store.Get(ctx, name)
	switch {
	case readErr == nil && object.Version > base && bytes.Equal(object.Value, value):
		return object.Version, nil
	case readErr == nil && object.Version != base:
		return 0, platform.ConflictError{Current: object.Version}
	default:
		return 0, fmt.Errorf("%w; reading %s back did not settle it", err, name)
	}
}

// overwrite writes an object whatever its version.
func (o *Operator) overwrite(ctx context.Context, name string, value []byte) error {
	object, err := o.store.Get(ctx, name)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	_, err = o.put(ctx, name, value, object.Version)
	return err
}
