package router

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
)

// drawnRequest is what a test knows of a request.
type drawnRequest struct {
	key        string
	route      *config.HostRoute // of its admission, nil before and if it ended with that
	sentAt     core.Instant
	deadline   core.Instant
	mayHaveRun bool
	runs       int // that may have reached an Upstream
	ended      bool
}

// drawnOperation is an effect to which no event has replied.
type drawnOperation struct{ effect Effect }

// drawnInstance drives the reducer of one Instance with drawn events and checks its effects.
type drawnInstance struct {
	t          *rapid.T
	router     *Router
	now        core.Instant
	requests   map[core.RequestID]*drawnRequest
	order      []core.RequestID
	operations []drawnOperation
	routing    *config.Routing
	version    int
	revision   int
	upstreams  []catalog.Upstream
	stoppedAt  core.Instant // core.Never before the stop
}

// plannedStopTolerance is the time after the start of a stop in which a request may be accepted that is
// cut by its end.
const plannedStopTolerance = 3 * time.Second

var (
	drawnPaths    = []string{"/a/", "/b/", "/a/x/"}
	drawnServices = []core.ServiceName{"one", "two"}
	drawnKeys     = []string{"", "k1", "k2", "k3"}
	drawnAccounts = []core.AccountID{"t1", "t2", "t3"}
)

func newDrawnInstance(t *rapid.T) *drawnInstance {
	d := &drawnInstance{t: t, now: core.Instant(time.Second), requests: map[core.RequestID]*drawnRequest{}, version: 1, revision: 10, stoppedAt: core.Never}
	seed := rapid.Uint64().Draw(t, "seed")
	d.router = New(Params{
		Rand: rand.New(rand.NewPCG(seed, 2)), NonceSource: bytes.NewReader(nil),
		Hosted: &HostedParams{
			Member:     fleet.Member{Ref: core.InstanceRef{ID: "self", Incarnation: 5}, DataCentre: "a", Region: "r"},
			Retry:      retry.Params{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second},
			AddressTTL: time.Second, GracePeriod: time.Duration(rapid.SampledFrom([]int{2, 8, 20}).Draw(t, "grace")) * time.Second,
		},
	})
	return d
}

func (d *drawnInstance) bool(label string) bool { return rapid.Bool().Draw(d.t, label) }

func (d *drawnInstance) step(event Event) {
	effects := d.router.Step(d.now, event)
	for id, rs := range d.router.requests {
		d.requests[id].route, d.requests[id].deadline = rs.hosted.route, rs.hosted.deadline
	}
	for _, effect := range effects {
		d.check(effect)
	}
}

// advance lets time pass with a Tick at each instant at which one is due.
func (d *drawnInstance) advance(duration time.Duration) {
	for end := d.now.Add(duration); d.now < end; {
		d.now = min(end, max(d.router.NextWake(), d.now.Add(time.Millisecond)))
		d.step(Tick{})
	}
}

func (d *drawnInstance) check(effect Effect) {
	switch e := effect.(type) {
	case Refuse:
		rs := d.end(e.Request, effect)
		promise := map[int]bool{408: true, 421: true, 429: true, 503: true}[e.Refusal.Code.Status()]
		if rs.mayHaveRun && (e.Refusal.Ran == core.NotRun || promise) {
			d.t.Fatalf("%s may have run and is refused with %v", e.Request, e.Refusal)
		}
		if rs.mayHaveRun && e.Refusal.Message == "the instance stops" && rs.sentAt > d.stoppedAt.Add(plannedStopTolerance) && d.now < rs.deadline {
			d.t.Fatalf("%s was accepted %s after the stop and is cut", e.Request, rs.sentAt.Sub(d.stoppedAt))
		}
	case Complete:
		d.end(e.Request, effect)
	case RelayFailure:
		d.end(e.Request, effect)
	case RequestAbandoned:
		d.end(e.Request, effect)
	case AcquireHold:
		d.checkKey(e.Request, nil)
		d.operations = append(d.operations, drawnOperation{e})
	case StartPrefill:
		d.operations = append(d.operations, drawnOperation{e})
	case StartCall:
		d.checkKey(e.Request, &e.Account)
		d.startRun(e.Request, e)
	case StartDecode:
		d.startRun(e.Request, e)
	}
}

func (d *drawnInstance) end(id core.RequestID, effect Effect) *drawnRequest {
	rs := d.requests[id]
	if rs == nil {
		d.t.Fatalf("%T for the unknown request %s", effect, id)
	}
	if rs.ended {
		d.t.Fatalf("%s has ended twice, now with %#v", id, effect)
	}
	rs.ended = true
	return rs
}

// checkKey checks that the active configuration allows a request that is placed. account is the one for
// which it runs, nil if that is not known.
func (d *drawnInstance) checkKey(id core.RequestID, account *core.AccountID) {
	rs := d.requests[id]
	if rs.ended {
		d.t.Fatalf("%s is placed after its end", id)
	}
	if d.now >= rs.deadline {
		d.t.Fatalf("%s is placed %s after its deadline", id, d.now.Sub(rs.deadline))
	}
	if rs.route == nil || rs.route.Public || !d.routing.NeedsKeys {
		return
	}
	holder, found := d.routing.AccountOfKey(config.DigestKey(rs.key))
	if !found {
		d.t.Fatalf("%s is placed with the key %q, which the active configuration does not have", id, rs.key)
	}
	if account != nil && *account != holder.ID {
		d.t.Fatalf("%s runs for %q; its key is that of %q", id, *account, holder.ID)
	}
}

func (d *drawnInstance) startRun(id core.RequestID, effect Effect) {
	rs := d.requests[id]
	if rs.ended {
		d.t.Fatalf("%s runs after its end", id)
	}
	if rs.mayHaveRun && (rs.route == nil || !rs.route.Idempotent()) {
		d.t.Fatalf("%s must not run twice", id)
	}
	rs.runs++
	if rs.route != nil && rs.route.Idempotent() && rs.runs > rs.route.MaxUpstreams {
		d.t.Fatalf("%s runs at more Upstreams than its route allows", id)
	}
	rs.mayHaveRun = true
	d.operations = append(d.operations, drawnOperation{effect})
}

func (d *drawnInstance) sendRequest() {
	id := core.RequestID(fmt.Sprintf("r%d", len(d.order)))
	path := rapid.SampledFrom(drawnPaths).Draw(d.t, "path") + "1"
	key := rapid.SampledFrom(drawnKeys).Draw(d.t, "key")
	request := Request{ID: id, Host: "h", Path: path, Deadline: d.now.Add(time.Duration(rapid.IntRange(100, 20_000).Draw(d.t, "deadline")) * time.Millisecond)}
	copy(request.Fingerprint[:], id)
	if key != "" {
		digest := config.DigestKey(key)
		request.Key = &digest
	}
	if d.bool("tokens") {
		request.PromptTokens, request.MaxOutputTokens, request.HasTokenCounts = 1000, 100, true
		request.PromptParts = []promptcache.Part{{ID: "p", Tokens: 1000}} // all engines may hold it
	}
	d.requests[id] = &drawnRequest{key: key, sentAt: d.now, deadline: core.Never}
	d.order = append(d.order, id)
	d.step(RequestArrived{Request: request})
}

func (d *drawnInstance) changeConfig() {
	d.version++
	routing := config.Routing{Version: core.Version(d.version)}
	for _, prefix := range drawnPaths {
		if rapid.IntRange(0, 5).Draw(d.t, "no route") == 0 {
			continue
		}
		safety := config.RetryNever
		if d.bool("safe") {
			safety = config.RetrySafe
		}
		route := config.HostRoute{
			Host: "h", Prefix: prefix, RetrySafety: safety, Streaming: d.bool("streaming"), Resumable: d.bool("resumable"),
			Timeout:       time.Duration(rapid.IntRange(1, 14).Draw(d.t, "timeout")) * time.Second,
			LatencyTarget: time.Duration(rapid.SampledFrom([]int{300, 900, 5000}).Draw(d.t, "target")) * time.Millisecond,
			MaxUpstreams:  rapid.IntRange(1, 3).Draw(d.t, "max upstreams"), Public: rapid.IntRange(0, 4).Draw(d.t, "public") == 0,
		}
		route.ServiceShares = []config.ServiceShare{{Service: rapid.SampledFrom(drawnServices).Draw(d.t, "service"), Weight: 1}}
		routing.Routes = append(routing.Routes, route)
	}
	for _, name := range drawnServices {
		if rapid.IntRange(0, 5).Draw(d.t, "no service") == 0 {
			continue
		}
		service := config.HostedService{Name: name}
		if d.bool("engine") {
			service.Engine = &config.EngineProfile{Slots: 2, KVCacheTokens: rapid.SampledFrom([]int{500, 4000}).Draw(d.t, "memory"), MaxHoldDuration: time.Second}
		}
		routing.Services = append(routing.Services, service)
	}
	routing.NeedsKeys = d.bool("needs keys")
	if d.bool("accounts") {
		for _, id := range drawnAccounts {
			account := config.HostedAccount{ID: id, DefaultCostTokens: 10, CountRequests: d.bool("count requests")}
			if d.bool("limited") {
				account.Rate, account.Burst = int64(rapid.IntRange(1, 2000).Draw(d.t, "rate")), int64(rapid.IntRange(1, 5000).Draw(d.t, "burst"))
			}
			account.HasPriority, account.Priority = d.bool("has priority"), rapid.IntRange(0, 3).Draw(d.t, "priority")
			routing.Accounts = append(routing.Accounts, account)
		}
		for _, key := range drawnKeys[1:] { // keys are moved, added and withdrawn
			if owner := rapid.IntRange(0, len(drawnAccounts)).Draw(d.t, "owner"); owner < len(drawnAccounts) {
				routing.Accounts[owner].Keys = append(routing.Accounts[owner].Keys, config.DigestKey(key))
			}
		}
	}
	d.revision++
	d.routing = config.NewRouting(routing)
	from := core.InstanceID("")
	if d.bool("from a peer") {
		from = "peer"
	}
	d.step(RoutingReceived{Routing: d.routing, Revision: storeRevision(d.revision), From: from, ReadAt: d.now})
}

// sendOlderConfig passes on a version that is not newer than the active one.
func (d *drawnInstance) sendOlderConfig() {
	if d.routing == nil {
		return
	}
	older := *d.routing
	older.Version = core.Version(rapid.IntRange(0, d.version-1).Draw(d.t, "older version"))
	older.Accounts, older.NeedsKeys = nil, false
	era := uint64(rapid.IntRange(0, 1).Draw(d.t, "era"))
	d.step(RoutingReceived{Routing: config.NewRouting(older), Revision: core.StoreRevision{Era: era, Number: 1}, Raw: []byte("older")})
}

func (d *drawnInstance) changeUpstreams() {
	d.revision++
	d.upstreams = nil
	for _, service := range drawnServices {
		for n := range rapid.IntRange(0, 2).Draw(d.t, "upstreams") {
			stage := rapid.SampledFrom([]catalog.Stage{"", catalog.StagePrefill, catalog.StageDecode, catalog.StageDecode}).Draw(d.t, "stage")
			id := core.UpstreamID(fmt.Sprintf("%s-%d", service, n))
			d.upstreams = append(d.upstreams, catalog.Upstream{
				ID: id, Service: service, Addr: string(id) + ":1", DataCentre: "a", Stage: stage,
				Slots: rapid.IntRange(1, 2).Draw(d.t, "slots"), Leaving: rapid.IntRange(0, 4).Draw(d.t, "leaving") == 0,
			})
		}
	}
	d.step(UpstreamsListed{Revision: storeRevision(d.revision), Upstreams: d.upstreams, ReadAt: d.now})
}

// reply replies to one of the open operations, also of requests that have ended.
func (d *drawnInstance) reply() {
	if len(d.operations) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.operations)-1).Draw(d.t, "operation")
	operation := d.operations[i]
	d.operations = append(d.operations[:i], d.operations[i+1:]...)
	switch e := operation.effect.(type) {
	case AcquireHold:
		outcome := rapid.SampledFrom([]HoldOutcome{HoldGranted, HoldGranted, HoldFull, HoldUnreachable, HoldAddressReassigned}).Draw(d.t, "hold")
		d.step(HoldResult{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.Addr, Outcome: outcome, Hold: "hold"})
	case StartPrefill:
		if d.bool("prefilled") {
			d.step(PrefillDone{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.URL, KV: "kv"})
			return
		}
		d.step(AttemptFailed{Request: e.Request, Attempt: e.Attempt, Failure: d.failure(e.Upstream)})
	case StartCall:
		d.replyToRun(e.Request, e.Attempt, e.Upstream, e.Idempotent, operation)
	case StartDecode:
		d.replyToRun(e.Request, e.Attempt, e.Upstream, true, operation)
	}
}

func (d *drawnInstance) failure(up core.UpstreamID) attempts.Failure {
	return rapid.SampledFrom([]attempts.Failure{
		{Kind: attempts.FailConnect, Upstream: up},
		{Kind: attempts.FailExpired, Upstream: up},
		{Kind: attempts.FailConnect, Upstream: up, MaybeSent: true, ConfirmedNotRun: true},
		{Kind: attempts.FailFull, Upstream: up, MaybeSent: true, ConfirmedNotRun: true},
		{Kind: attempts.FailKVGone, Upstream: up, MaybeSent: true, ConfirmedNotRun: true},
		{Kind: attempts.FailCrashed, Upstream: up, MaybeSent: true},
		{Kind: attempts.FailStalled, Upstream: up, MaybeSent: true},
		{Kind: attempts.FailProtocolError, Upstream: up, MaybeSent: true},
	}).Draw(d.t, "failure")
}

func (d *drawnInstance) replyToRun(id core.RequestID, attempt core.AttemptID, up core.UpstreamID, canFail bool, operation drawnOperation) {
	rs := d.requests[id]
	switch rapid.IntRange(0, 4).Draw(d.t, "reply") {
	case 0: // it makes progress
		d.step(FirstToken{Request: id, Attempt: attempt})
		d.operations = append(d.operations, operation)
	case 1:
		d.step(AttemptStalled{Request: id, Attempt: attempt})
		d.operations = append(d.operations, operation)
	case 2:
		failure := d.failure(up)
		current := d.router.requests[id] != nil && d.router.requests[id].attempt == attempt
		if current && notExecuted(failure) {
			rs.runs--
			rs.mayHaveRun = rs.runs > 0
		}
		d.step(AttemptFailed{Request: id, Attempt: attempt, Failure: failure})
	default:
		d.step(ResponseCompleted{Request: id, Attempt: attempt, Status: rapid.SampledFrom([]int{200, 200, 404, 500}).Draw(d.t, "status")})
	}
}

// Guards against events in any order that end the process, end a request twice or never, run one twice,
// call one that has run "not run", place one too late or with an invalid key, or cut one by a stop.
func TestHostedReducerKeepsItsPromisesUnderDrawnEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrawnInstance(t)
		peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, CallerAddr: "p:1", DataCentre: "b", Region: "r"}
		if rapid.IntRange(0, 9).Draw(t, "starts without") > 0 {
			d.changeConfig()
			d.changeUpstreams()
		}
		t.Repeat(map[string]func(*rapid.T){
			"request":   func(*rapid.T) { d.sendRequest() },
			"requests":  func(*rapid.T) { d.sendRequest(); d.sendRequest(); d.sendRequest() },
			"reply":     func(*rapid.T) { d.reply() },
			"replies":   func(*rapid.T) { d.reply(); d.reply() },
			"config":    func(*rapid.T) { d.changeConfig() },
			"older":     func(*rapid.T) { d.sendOlderConfig() },
			"upstreams": func(*rapid.T) { d.changeUpstreams() },
			"time":      func(*rapid.T) { d.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
			"caller leaves": func(*rapid.T) {
				if len(d.order) > 0 {
					id := rapid.SampledFrom(d.order).Draw(t, "caller")
					if !d.requests[id].ended {
						d.step(CallerDisconnected{Request: id})
					}
				}
			},
			"peer": func(*rapid.T) {
				peer.Ref.Incarnation += core.Incarnation(rapid.IntRange(0, 1).Draw(t, "restarted"))
				d.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, State: fleet.State{Serving: true, Leaving: d.bool("peer leaves")}}}})
			},
			"members": func(*rapid.T) { d.step(MembersListed{Members: []fleet.Member{peer}, Complete: d.bool("complete")}) },
			"pause":   func(*rapid.T) { d.now = d.now.Add(3 * time.Second); d.step(ProcessPaused{}) },
			"stop": func(*rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
					d.stoppedAt = min(d.stoppedAt, d.now)
					d.step(ShutdownRequested{})
				}
			},
			"store call failed": func(*rapid.T) { d.step(StoreCallFailed{}) },
		})
		d.advance(30 * time.Second) // longer than every time limit
		for _, id := range d.order {
			if !d.requests[id].ended {
				t.Fatalf("%s has not ended", id)
			}
		}
	})
}
