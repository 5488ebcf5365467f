package server

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"go.uber.org/zap"
)

func (s *Server) storeGet(ctx context.Context, e router.StoreGet) {
	reply := router.StoreReplied{Op: e.Op, RequestedAt: s.clock.now()}
	object, err := s.platform.Get(ctx, e.Name)
	reply.Failure = toStoreFailure(err)
	reply.Version = object.Version
	reply.Value = object.Value
	if err == nil && e.Op.Kind == router.OpPiece {
		s.pieces.put(e.Op.Hash, object.Value)
	}
	s.post(reply)
}

func (s *Server) storePut(ctx context.Context, e router.StorePut) {
	requestedAt := s.clock.now()
	if requestedAt >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return
	}
	version, err := s.platform.Put(ctx, e.Name, e.Value, e.Base)
	s.post(router.StoreReplied{Op: e.Op, RequestedAt: requestedAt, Failure: toStoreFailure(err), Version: version})
}

func toStoreFailure(err error) router.StoreFailure {
	var conflict platform.ConflictError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &conflict):
		return router.StoreConflict
	case errors.Is(err, platform.ErrNotFound):
		return router.StoreNotFound
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return router.StoreOutcomeUnknown
	default:
		return router.StoreUnavailable
	}
}

// watchRoot watches the configuration root. An unresponsive watch only delays an
// update: the Router also reads the root on a timer.
func (s *Server) watchRoot(ctx context.Context) {
	log := telemetry.ComponentLogger(s.log, "rollout")
	onChange := func(object platform.Object) {
		// The response of a watch may be as old as the call that delivered it.
		requestedAt := s.clock.now().Add(-maxWatchResponseAge)
		op := router.StoreOp{Kind: router.OpRoot}
		s.post(router.StoreReplied{Op: op, RequestedAt: requestedAt, Version: object.Version, Value: object.Value})
	}
	onError := func(err error) { log.Debug("watch failed", zap.Error(err)) }
	opts := platform.FollowOptions{ResyncInterval: watchResyncInterval}
	platform.Follow(ctx, s.platform, router.RootObject(s.settings.Environment), opts, onChange, onError)
}

const (
	// maxWatchResponseAge is the assumed age of a watch response.
	maxWatchResponseAge = time.Second
	// watchResyncInterval is long, since the Router also reads the root on a timer.
	watchResyncInterval = time.Minute
	// statusRetryDelay is the delay before a failed status write is retried.
	statusRetryDelay = 2 * time.Second
)

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (s *Server) listInstances(ctx context.Context) {
	instances, err := s.platform.Instances(ctx)
	if err != nil {
		telemetry.ComponentLogger(s.log, "membership").Debug("instance list failed", zap.Error(err))
		return
	}
	list := make([]membership.ListEntry, 0, len(instances))
	for _, i := range instances {
		entry := membership.ListEntry{
			ID:         core.InstanceID(i.ID),
			PeerAddr:   i.PeerAddr,
			CallerAddr: i.CallerAddr,
			DataCentre: core.DataCentreName(i.DataCentre),
			State:      membership.State(i.State),
		}
		list = append(list, entry)
	}
	s.post(router.InstancesListed{List: list})
}

func (s *Server) fetchPiece(ctx context.Context, e router.FetchPiece) {
	body, err := s.peers.Fetch(ctx, e.Addr, fetchPieceName, e.Hash[:])
	if err != nil || config.HashOf(body) != e.Hash {
		s.post(router.PieceFetchFailed{From: e.From, Hash: e.Hash})
		return
	}
	s.pieces.put(e.Hash, body)
	s.post(router.PieceReceived{Hash: e.Hash, Body: body})
}

// rootResponse is the reply of a peer to a fetch of its configuration root.
type rootResponse struct {
	Root config.Root `json:"root"`
	// AgeMS is the time since Root.Version was confirmed by the store.
	AgeMS int64 `json:"age_ms"`
}

func (s *Server) fetchRoot(ctx context.Context, e router.FetchRoot) {
	requestedAt := s.clock.now()
	body, err := s.peers.Fetch(ctx, e.Addr, fetchRootName, nil)
	var response rootResponse
	if err == nil {
		err = json.Unmarshal(body, &response)
	}
	if err != nil || response.Root.Version == 0 {
		s.post(router.RootFetchFailed{From: e.From})
		return
	}
	age := time.Duration(response.AgeMS)*time.Millisecond + s.clock.now().Sub(requestedAt)
	s.post(router.RootReceived{From: e.From, Root: response.Root, Age: age})
}

// InstanceStatus is the store object that locates the status page of an Instance.
// It is written once per process start: if 330 Instances wrote it for each
// configuration version, every change would use up the store's write rate for a
// second.
type InstanceStatus struct {
	Instance    core.InstanceID  `json:"instance"`
	Incarnation core.Incarnation `json:"incarnation"`
	StatusAddr  string           `json:"status_addr"`
}

// StatusObjectName returns the name of the store object that holds the
// InstanceStatus of an Instance.
func StatusObjectName(id core.InstanceID) string { return "status/" + string(id) }

// publishStatus retries its write until it has succeeded.
func (s *Server) publishStatus(ctx context.Context) {
	status := InstanceStatus{
		Instance:    s.self.ID,
		Incarnation: s.self.Incarnation,
		StatusAddr:  s.statusListener.Addr().String(),
	}
	value, err := json.Marshal(status)
	if err != nil {
		return
	}
	name := StatusObjectName(s.self.ID)
	for ctx.Err() == nil {
		version := uint64(0)
		if object, err := s.platform.Get(ctx, name); err == nil {
			version = object.Version
		}
		if _, err := s.platform.Put(ctx, name, value, version); err == nil {
			return
		}
		sleep(ctx, statusRetryDelay)
	}
}

// pieceCache caches the pieces of recent configurations, from which peers fetch
// them instead of from the store. The oldest entries are evicted first.
type pieceCache struct {
	mu     sync.Mutex
	bodies map[config.Hash][]byte
	order  []config.Hash
	bytes  int
}

// maxPieceBytes bounds the cache. The pieces of 27,000 accounts take 12 MB.
const maxPieceBytes = 32 << 20

func newPieceCache() *pieceCache { return &pieceCache{bodies: map[config.Hash][]byte{}} }

func (c *pieceCache) put(hash config.Hash, body []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.bodies[hash]; found {
		return
	}
	c.bodies[hash] = body
	c.order = append(c.order, hash)
	c.bytes += len(body)
	for c.bytes > maxPieceBytes {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.bytes -= len(c.bodies[oldest])
		delete(c.bodies, oldest)
	}
}

func (c *pieceCache) get(hash config.Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	body, found := c.bodies[hash]
	return body, found
}
