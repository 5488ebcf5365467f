package hosted

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// fakeStore is an in-memory store with a bounded history.
type fakeStore struct {
	mu        sync.Mutex
	revision  core.StoreRevision
	oldest    uint64 // first revision from which a watch can start
	config    *RoutingObject
	list      []catalog.Upstream
	members   []fleet.Member
	marks     map[core.InstanceID]fleet.Mark
	evacuated []core.DataCentreName
	down      bool
	reads     int
	watches   int             // of the configuration
	waits     []time.Duration // of the watches of the configuration
	from      []core.StoreRevision
	changed   chan struct{}

	upstreamWatches int
	lastUpstream    catalog.Upstream
	lastUpstreamAt  core.StoreRevision
	// unresponsive is set when watches get no reply.
	unresponsive bool
}

func newFakeStore(routing config.Routing, list ...catalog.Upstream) *fakeStore {
	s := &fakeStore{revision: core.StoreRevision{Number: 10}, changed: make(chan struct{}), list: list}
	s.setConfig(routing)
	return s
}

var errDown = errors.New("the store is down")

func (s *fakeStore) setConfig(routing config.Routing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	raw, err := json.Marshal(routing)
	if err != nil {
		panic(err)
	}
	s.config = &RoutingObject{Routing: config.NewRouting(routing), Revision: s.revision, Raw: raw}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) ReadRouting(context.Context) (RoutingObject, core.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return RoutingObject{}, core.StoreRevision{}, errDown
	}
	return *s.config, s.revision, nil
}

func (s *fakeStore) WatchRouting(ctx context.Context, after core.StoreRevision, wait time.Duration) (*RoutingObject, core.StoreRevision, error) {
	s.mu.Lock()
	s.watches++
	s.waits = append(s.waits, wait)
	s.from = append(s.from, after)
	if s.down {
		s.mu.Unlock()
		return nil, core.StoreRevision{}, errDown
	}
	if after.Number < s.oldest {
		s.mu.Unlock()
		return nil, core.StoreRevision{}, ErrCompacted
	}
	if after.Before(s.config.Revision) {
		defer s.mu.Unlock()
		object := *s.config
		return &object, s.revision, nil
	}
	changed, unresponsive := s.changed, s.unresponsive
	s.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, core.StoreRevision{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return nil, core.StoreRevision{}, ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Before(s.config.Revision) {
		object := *s.config
		return &object, s.revision, nil
	}
	return nil, s.revision, nil
}

func (s *fakeStore) DecodeRouting(raw []byte) (*config.Routing, error) {
	var routing config.Routing
	err := json.Unmarshal(raw, &routing)
	return config.NewRouting(routing), err
}

func (s *fakeStore) ListUpstreams(context.Context) ([]catalog.Upstream, []SkippedEntry, core.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, nil, core.StoreRevision{}, errDown
	}
	return s.list, nil, s.revision, nil
}

func (s *fakeStore) WatchUpstreams(ctx context.Context, after core.StoreRevision, wait time.Duration) ([]catalog.Change, []SkippedEntry, core.StoreRevision, error) {
	s.mu.Lock()
	s.upstreamWatches++
	s.mu.Unlock()
	for ends := time.Now().Add(wait); ; {
		s.mu.Lock()
		up, at, changed := s.lastUpstream, s.lastUpstreamAt, s.changed
		s.mu.Unlock()
		if after.Before(at) {
			return []catalog.Change{{ID: up.ID, Upstream: &up}}, nil, at, nil
		}
		select {
		case <-ctx.Done():
			return nil, nil, core.StoreRevision{}, ctx.Err()
		case <-changed:
		case <-time.After(time.Until(ends)):
			return nil, nil, after, nil
		}
	}
}

// setUpstream adds an Upstream or replaces it. Watches deliver the last one only.
func (s *fakeStore) setUpstream(up catalog.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	s.list = append(slices.DeleteFunc(slices.Clone(s.list), func(u catalog.Upstream) bool { return u.ID == up.ID }), up)
	s.lastUpstream, s.lastUpstreamAt = up, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) ListEvacuations(context.Context) ([]core.DataCentreName, core.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, core.StoreRevision{}, errDown
	}
	return s.evacuated, s.revision, nil
}

func (s *fakeStore) WatchEvacuations(ctx context.Context, after core.StoreRevision, wait time.Duration) ([]evacuation.Change, core.StoreRevision, error) {
	if !sleep(ctx, wait) {
		return nil, core.StoreRevision{}, ctx.Err()
	}
	return nil, after, nil
}

func (s *fakeStore) PutMember(_ context.Context, m fleet.Member, joined bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	own := slices.Contains(s.members, m)
	s.members = append(slices.DeleteFunc(s.members, func(other fleet.Member) bool { return other.Ref.ID == m.Ref.ID }), m)
	s.mark(m.Ref.ID, s.marks[m.Ref.ID].Inherited(s.revision.Era, joined, own))
	return nil
}

func (s *fakeStore) mark(id core.InstanceID, m fleet.Mark) {
	s.marks = maps.Clone(s.marks)
	if s.marks == nil {
		s.marks = map[core.InstanceID]fleet.Mark{}
	}
	s.marks[id] = m
}

func (s *fakeStore) RemoveMember(_ context.Context, removal fleet.Removal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	mark, due := removal.Mark(s.marks[removal.Ref.ID])
	if !due {
		return nil
	}
	if !removal.Final {
		s.mark(removal.Ref.ID, mark)
		return nil
	}
	s.members = slices.DeleteFunc(s.members, func(m fleet.Member) bool { return m.Ref == removal.Ref })
	return nil
}

func (s *fakeStore) ListMembers(context.Context) (MemberList, []SkippedEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return MemberList{}, nil, errDown
	}
	return MemberList{Members: slices.Clone(s.members), Marks: s.marks, Era: s.revision.Era}, nil, nil
}

// fakeCallers decodes the identifier, the key and the timeout of a request, and the event after which it
// resumes a stream, from fixed headers.
type fakeCallers struct{}

func (fakeCallers) Decode(r *http.Request) (CallerRequest, *core.Refusal) {
	timeoutMS, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms")) // 0 without one
	return CallerRequest{
		Timeout: time.Duration(timeoutMS) * time.Millisecond,
		ID:      core.RequestID(r.Header.Get("X-Id")), Key: r.Header.Get("X-Key"), LastEventID: r.Header.Get("Last-Event-Id"),
		ForwardHeader: http.Header{"X-Id": r.Header.Values("X-Id")},
	}, nil
}

func (fakeCallers) DecodeAddresses(*http.Request) (AddressQuery, *core.Refusal) {
	return AddressQuery{Limit: 8}, nil
}

func (fakeCallers) EncodeAddresses(addresses []string, _ time.Duration) ([]byte, error) {
	return json.Marshal(addresses)
}

func (fakeCallers) AddressesPath() string   { return "/addresses" }
func (fakeCallers) ReadyPath() string       { return "/ready" }
func (fakeCallers) RequestIDHeader() string { return "X-Id" }

// fakeEngines sends requests to the test's server through a real Pool.
type fakeEngines struct{ pool *upstream.Pool }

func (e *fakeEngines) AcquireHold(context.Context, core.UpstreamID, string, int, time.Duration) (string, error) {
	return "hold", nil
}
func (e *fakeEngines) ObserveAnswers(func() core.Instant, AnswerObserver)                 {}
func (e *fakeEngines) ReleaseHold(context.Context, core.UpstreamID, string, string) error { return nil }
func (e *fakeEngines) ReleaseKV(context.Context, core.UpstreamID, string, string) error   { return nil }
func (e *fakeEngines) Prefill(context.Context, UpstreamRequest) (string, error)           { return "kv", nil }
func (e *fakeEngines) CloseIdleConnections()                                              { e.pool.CloseExpired() }

// EventID returns the value of the id line.
func (e *fakeEngines) EventID(event []byte) string {
	for line := range strings.Lines(string(event)) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			return strings.TrimSpace(id)
		}
	}
	return ""
}

func (e *fakeEngines) Run(ctx context.Context, req UpstreamRequest) (*UpstreamResponse, error) {
	req.Header = req.Header.Clone()
	req.Header.Set("X-Left", strconv.FormatInt(req.TimeLeft().Milliseconds(), 10))
	response, err := e.pool.Do(ctx, req.Addr, upstream.Request{Method: req.Method, Target: req.Target, Host: req.Host, Header: req.Header, Body: req.Body, HeaderTimeout: req.HeaderTimeout})
	if err != nil {
		return nil, err
	}
	return &UpstreamResponse{Response: response, Header: response.Header.Clone(), Signed: true}, nil
}

// startDaemon runs a Daemon until the test ends. stop requests its shutdown; done is
// closed when Run has returned.
func startDaemon(t *testing.T, store *fakeStore) (settings Settings, stop func(), done <-chan struct{}) {
	t.Helper()
	return startDaemonWithLog(t, store, zap.NewNop())
}

func startDaemonWithLog(t *testing.T, store *fakeStore, log *zap.Logger) (settings Settings, stop func(), done <-chan struct{}) {
	t.Helper()
	return startDaemonWith(t, store, log, func(*Settings) {})
}

func startDaemonWith(t *testing.T, store *fakeStore, log *zap.Logger, change func(*Settings)) (settings Settings, stop func(), done <-chan struct{}) {
	t.Helper()
	d := newDaemonWith(t, store, log, change)
	settings = d.settings
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	waitReady(t, settings.ReadyAddr)
	return settings, cancel, ended
}

func newDaemon(t *testing.T, store *fakeStore, log *zap.Logger) *Daemon {
	t.Helper()
	return newDaemonWith(t, store, log, func(*Settings) {})
}

func newDaemonWith(t *testing.T, store *fakeStore, log *zap.Logger, change func(*Settings)) *Daemon {
	t.Helper()
	settings := Settings{
		Instance: "one", DataCentre: "a", Region: "r", DataCentres: map[core.DataCentreName]core.RegionName{"a": "r"},
		MetricsAddr: freeAddr(t),
		CallerAddr:  freeAddr(t), ReadyAddr: freeAddr(t), DirectoryAddr: freeAddr(t), PeerAddr: freeAddr(t), StoreAddr: "none:1",
		GraceSeconds: 4, MaxAddressTTLSeconds: 0.05, RetryRatio: 0.2, RetryAllowance: 10, RetryWindowSeconds: 10,
	}
	change(&settings)
	adapter := Adapter{Callers: fakeCallers{}, Upstreams: &fakeEngines{pool: upstream.NewPool(upstream.PoolOptions{})}, Store: store}
	d, err := New(settings, adapter, log)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// The system draws the ports of outgoing connections from a range above lastTestPort. A
// port of that range could be taken between the check and its use.
const (
	firstTestPort = 20_000
	lastTestPort  = 29_999
)

// usedTestPorts holds the ports that freeAddr has returned. A daemon may not listen on its port
// yet when the next one is drawn.
var usedTestPorts sync.Map

func freeAddr(t *testing.T) string {
	t.Helper()
	for range 100 {
		port := firstTestPort + rand.IntN(lastTestPort-firstTestPort)
		if _, used := usedTestPorts.LoadOrStore(port, true); used {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			defer l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func waitReady(t *testing.T, addr string) {
	t.Helper()
	for range 200 {
		if response, err := http.Get("http://" + addr + "/ready"); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the daemon did not become ready")
}

// plainRouting routes /p/ of host "h" to the plain service "s".
func plainRouting(version core.Version) config.Routing {
	return config.Routing{
		Version: version,
		Routes: []config.HostRoute{{
			Name: "r", Host: "h", Prefix: "/p/", RetrySafety: config.RetryNever, Timeout: 5 * time.Second, LatencyTarget: time.Second,
			MaxUpstreams: 1, Public: true, ServiceShares: []config.ServiceShare{{Service: "s", Weight: 1}},
		}},
		Services: []config.HostedService{{Name: "s"}},
	}
}
