// Package hostplatform models a hosting platform for tests and trials: a store of
// objects with revisions, watches and finalizers, and engines with holds and KV
// caches. It implements no wire protocol; an adapter provides one. An
// InvariantChecker reports violations of invariants from what callers and engines
// observe.
package hostplatform

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Errors of a Store.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object exists already, or has another revision.
	ErrConflict = errors.New("object has another revision")
	// ErrHistoryDropped means that the history since the requested revision was dropped, or that
	// the store does not have that revision.
	ErrHistoryDropped = errors.New("history since the revision was dropped")
	// ErrRateLimited means that the call rate limit is exceeded.
	ErrRateLimited = errors.New("call rate limit exceeded")
	// ErrDown means that the store is down; the call had no effect.
	ErrDown = errors.New("store is down")
	// ErrReplyLost means that the write took effect; the adapter must send no reply.
	ErrReplyLost = errors.New("reply was lost")
)

// Object is an object of a Store.
type Object struct {
	Kind, Name string
	Revision   uint64 // of the last change
	Created    uint64 // revision of the creation
	Finalizers []string
	Deleting   bool // deletion waits for the finalizers
	Spec       []byte
	Status     []byte
}

// Change is one entry of the history. Object is the state after the change; for a
// deletion it is the last state, with the revision of the deletion.
type Change struct {
	Object  Object
	Deleted bool
}

// Faults are the injected faults of a Store. The zero value injects none.
type Faults struct {
	// Down rejects all calls.
	Down bool
	// Delay delays every call.
	Delay time.Duration
	// LoseReplies applies writes and returns ErrReplyLost.
	LoseReplies bool
	// StaleChanges is the number of changes by which stale lists lag.
	StaleChanges int
	// CallsPerSecond limits the call rate, 0 for no limit.
	CallsPerSecond int
}

// Position is a state of a Store. Era rises each time the Store returns to an earlier state, from
// which it assigns revisions again.
type Position struct{ Era, Revision uint64 }

// Store is an in-memory store. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	era           uint64
	revision      uint64
	objects       map[string]map[string]Object
	history       []Change
	undo          []undoEntry // one for each revision after the first
	droppedUpTo   uint64      // changes up to this revision are not in the history
	faults        Faults
	changed       chan struct{}
	rateSecond    int64
	callsInSecond int
	calls         int
}

// undoEntry is what a change has replaced.
type undoEntry struct {
	kind, name string
	existed    bool
	previous   Object
}

// PageSize is the maximum number of objects in one page of a list.
const PageSize = 50

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{era: 1, revision: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// DropHistory discards the history so far. Watches of earlier revisions end with
// ErrHistoryDropped.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.droppedUpTo = s.revision
	s.notifyWatchers()
}

// Restore returns to the state before the last changes, and starts a new era. Waiting watches go
// on; those that are after a revision which no longer exists end with ErrHistoryDropped.
func (s *Store) Restore(changes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range min(changes, len(s.undo)) {
		last := s.undo[len(s.undo)-1]
		s.undo = s.undo[:len(s.undo)-1]
		if last.existed {
			s.objects[last.kind][last.name] = last.previous
		} else {
			delete(s.objects[last.kind], last.name)
		}
		s.revision--
	}
	s.history = slices.DeleteFunc(s.history, func(c Change) bool { return c.Object.Revision > s.revision })
	s.droppedUpTo = min(s.droppedUpTo, s.revision)
	s.era++
	s.notifyWatchers()
}

// Position returns the current position.
func (s *Store) Position() Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position()
}

func (s *Store) position() Position { return Position{Era: s.era, Revision: s.revision} }

// CallCount returns the number of calls so far.
func (s *Store) CallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts a call and applies the faults that precede it. If it returns no error,
// the caller holds the lock.
func (s *Store) beginCall(ctx context.Context) error {
	s.mu.Lock()
	slow := s.faults.Delay
	s.calls++
	if limit := s.faults.CallsPerSecond; limit > 0 {
		if now := time.Now().Unix(); now != s.rateSecond {
			s.rateSecond, s.callsInSecond = now, 0
		}
		if s.callsInSecond++; s.callsInSecond > limit {
			s.mu.Unlock()
			return ErrRateLimited
		}
	}
	if s.faults.Down {
		s.mu.Unlock()
		return ErrDown
	}
	if slow == 0 {
		return nil
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(slow):
	}
	s.mu.Lock()
	return nil
}

// Get returns an object, or ErrNotFound.
func (s *Store) Get(ctx context.Context, kind, name string) (Object, error) {
	if err := s.beginCall(ctx); err != nil {
		return Object{}, err
	}
	defer s.mu.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return Object{}, ErrNotFound
	}
	return object, nil
}

// List returns one page of the objects of a kind whose names follow after, in order,
// and the position that they are from. A stale list lags as the faults say.
func (s *Store) List(ctx context.Context, kind, after string, stale bool) (page []Object, more bool, at Position, err error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, false, Position{}, err
	}
	defer s.mu.Unlock()
	objects, at := s.objects[kind], s.position()
	if stale {
		objects, at.Revision = s.pastObjects(kind, s.faults.StaleChanges)
	}
	for _, object := range objects {
		if object.Name > after {
			page = append(page, object)
		}
	}
	slices.SortFunc(page, func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	if len(page) > PageSize {
		return page[:PageSize], true, at, nil
	}
	return page, false, at, nil
}

// pastObjects approximates the objects of a kind some changes ago, with the revision:
// objects that have changed or were deleted since are left out.
func (s *Store) pastObjects(kind string, changes int) (map[string]Object, uint64) {
	changes = min(changes, len(s.history))
	if changes == 0 {
		return s.objects[kind], s.revision
	}
	at := s.revision - uint64(changes)
	objects := map[string]Object{}
	for name, object := range s.objects[kind] {
		if object.Revision <= at {
			objects[name] = object
		}
	}
	return objects, at
}

// Watch waits up to wait for changes of a kind after a revision. It returns the changes,
// none after a timeout, and the position up to which they are complete.
func (s *Store) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, Position, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, Position{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if s.faults.Down {
			s.mu.Unlock()
			return nil, Position{}, ErrDown
		}
		if after < s.droppedUpTo || after > s.revision {
			s.mu.Unlock()
			return nil, Position{}, ErrHistoryDropped
		}
		var found []Change
		for _, change := range s.history {
			if change.Object.Kind == kind && change.Object.Revision > after {
				found = append(found, change)
			}
		}
		at, changed := s.position(), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return found, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		case <-timer.C:
			return nil, at, nil
		case <-changed:
		}
		s.mu.Lock()
	}
}

// Create adds an object. If it exists, Create returns it with ErrConflict.
func (s *Store) Create(ctx context.Context, object Object) (Object, error) {
	if err := s.beginCall(ctx); err != nil {
		return Object{}, err
	}
	defer s.mu.Unlock()
	if existing, exists := s.objects[object.Kind][object.Name]; exists {
		return existing, ErrConflict
	}
	object.Created = s.revision + 1
	return s.put(object, false)
}

// Replace replaces the spec and the finalizers of an object. base is the revision that
// the object must have, 0 for any; otherwise Replace returns the object with ErrConflict.
// An object that is being deleted is removed with its last finalizer.
func (s *Store) Replace(ctx context.Context, object Object, base uint64) (Object, error) {
	if err := s.beginCall(ctx); err != nil {
		return Object{}, err
	}
	defer s.mu.Unlock()
	existing, exists := s.objects[object.Kind][object.Name]
	if !exists {
		return Object{}, ErrNotFound
	}
	if base != 0 && base != existing.Revision {
		return existing, ErrConflict
	}
	if slices.Equal(existing.Spec, object.Spec) && slices.Equal(existing.Finalizers, object.Finalizers) {
		return existing, nil
	}
	existing.Spec, existing.Finalizers = object.Spec, object.Finalizers
	if existing.Deleting && len(existing.Finalizers) == 0 {
		return s.remove(existing)
	}
	return s.put(existing, false)
}

// Delete removes an object, or marks it as deleting while it has finalizers. base is as
// for Replace.
func (s *Store) Delete(ctx context.Context, kind, name string, base uint64) (Object, error) {
	if err := s.beginCall(ctx); err != nil {
		return Object{}, err
	}
	defer s.mu.Unlock()
	existing, exists := s.objects[kind][name]
	if !exists {
		return Object{}, ErrNotFound
	}
	if base != 0 && base != existing.Revision {
		return existing, ErrConflict
	}
	if len(existing.Finalizers) > 0 {
		existing.Deleting = true
		return s.put(existing, false)
	}
	return s.remove(existing)
}

func (s *Store) remove(object Object) (Object, error) { return s.put(object, true) }

func (s *Store) put(object Object, deleted bool) (Object, error) {
	s.revision++
	object.Revision = s.revision
	kind := s.objects[object.Kind]
	if kind == nil {
		kind = map[string]Object{}
		s.objects[object.Kind] = kind
	}
	previous, existed := kind[object.Name]
	s.undo = append(s.undo, undoEntry{kind: object.Kind, name: object.Name, existed: existed, previous: previous})
	if deleted {
		delete(kind, object.Name)
	} else {
		kind[object.Name] = object
	}
	s.history = append(s.history, Change{Object: object, Deleted: deleted})
	s.notifyWatchers()
	if s.faults.LoseReplies {
		return object, ErrReplyLost
	}
	return object, nil
}
