package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	infos, err := s.store.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, infos)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if s.drawFault(s.Faults().StaleReadRate) {
		if object, found := s.staleObject(name); found {
			writeStale(w, object)
			return
		}
	}
	object, err := s.store.Get(r.Context(), name)
	if err != nil {
		writeError(w, err)
		return
	}
	writeObject(w, object)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	expectedVersion, err := parsePrecondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		writeError(w, platform.ErrTooLarge)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	previous, _ := s.store.Get(r.Context(), name)
	version, err := s.store.Put(r.Context(), name, value, expectedVersion)
	if err != nil {
		s.countConflict(err)
		writeError(w, err)
		return
	}
	s.recordPrevious(name, previous, expectedVersion)
	s.updateCounters(func(c *Counters) { c.WrittenBytes += int64(len(value)) })
	s.maybeLoseResponse()
	setVersion(w, version)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	expectedVersion, err := parsePrecondition(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	name := r.PathValue("name")
	previous, _ := s.store.Get(r.Context(), name)
	if err := s.store.Delete(r.Context(), name, expectedVersion); err != nil {
		s.countConflict(err)
		writeError(w, err)
		return
	}
	s.recordPrevious(name, previous, expectedVersion)
	s.maybeLoseResponse()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	wait := platform.DefaultWatchWait
	if ms, err := strconv.Atoi(query.Get("wait_ms")); err == nil {
		wait = min(time.Duration(ms)*time.Millisecond, maxWatchWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	object, err := s.store.Watch(ctx, query.Get("name"), after)
	if err != nil && ctx.Err() != nil {
		err = platform.ErrNotModified
	}
	if faults := s.Faults(); faults.Silent || faults.SilentWatch {
		// The fault was enabled while the watch waited.
		s.hangUntilCancelled(r)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeObject(w, object)
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	s.applyDueChanges(r.Context())
	list, err := s.store.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, list)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if instance.State != platform.InstanceLive && instance.State != platform.InstanceLeaving {
		http.Error(w, "state must be live or leaving", http.StatusBadRequest)
		return
	}
	instance.ID = r.PathValue("id")
	s.queueListChange(listChange{instance: instance})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deleteInstance(w http.ResponseWriter, r *http.Request) {
	s.queueListChange(listChange{instance: platform.Instance{ID: r.PathValue("id")}, remove: true})
	w.WriteHeader(http.StatusNoContent)
}

// queueListChange queues a change of the list, visible after the lag.
func (s *Server) queueListChange(change listChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change.at = s.opts.Now()
	s.pendingChanges = append(s.pendingChanges, change)
}

// applyDueChanges applies the queued changes of the list whose lag has passed.
func (s *Server) applyDueChanges(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.opts.Now().Add(-s.opts.InstanceLag)
	for len(s.pendingChanges) > 0 && !s.pendingChanges[0].at.After(limit) {
		change := s.pendingChanges[0]
		s.pendingChanges = s.pendingChanges[1:]
		if change.remove {
			_ = s.store.DeleteInstance(ctx, change.instance.ID)
		} else {
			_ = s.store.PutInstance(ctx, change.instance)
		}
	}
}

func (s *Server) countConflict(err error) {
	if conflict := (platform.ConflictError{}); errors.As(err, &conflict) {
		s.updateCounters(func(c *Counters) { c.Conflicts++ })
	}
}

// recordPrevious records the version that a write replaced, for stale reads. It skips
// a version that a concurrent write had replaced before.
func (s *Server) recordPrevious(name string, previous platform.Object, expectedVersion uint64) {
	if previous.Version != expectedVersion {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous[name] = previous
}

// staleObject returns the recorded previous version of an object and counts a stale
// read. Version 0 means that the object did not exist.
func (s *Server) staleObject(name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.previous[name]
	if found {
		s.counters.StaleReads++
	}
	return object, found
}

func writeStale(w http.ResponseWriter, object platform.Object) {
	if object.Version == 0 {
		writeError(w, platform.ErrNotFound)
		return
	}
	writeObject(w, object)
}

// parsePrecondition returns the version that a write expects to replace, 0 for a new
// object.
func parsePrecondition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("a write needs If-None-Match: * or If-Match with a version")
	}
	return version, nil
}

func setVersion(w http.ResponseWriter, version uint64) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeObject(w http.ResponseWriter, object platform.Object) {
	setVersion(w, object.Version)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(object.Value)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes the status that platform.NewHTTP maps back to err.
func writeError(w http.ResponseWriter, err error) {
	var conflict platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		if conflict.Current != 0 {
			setVersion(w, conflict.Current)
		}
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrNotModified):
		w.WriteHeader(http.StatusNotModified)
	case errors.Is(err, platform.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, platform.ErrInvalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
