package limits_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// The timings of the simulated fleet are short enough for several takeovers in two
// virtual minutes. fenceWait is just over entitlementTTL * 1.01 / 0.99. entitlementTTL
// is much longer than the grace period of the list and the loan term, so that a
// takeover without fencing would leave two holders for many seconds.
const (
	entitlementTTL = 15 * time.Second
	fenceWait      = 15400 * time.Millisecond
	loanTerm       = 2 * time.Second
	tickInterval   = 50 * time.Millisecond
)

// fault is one drawn fault. Those that end do so after Duration.
type fault struct {
	At, Duration time.Duration
	Kind         string
	Node, Other  int
}

var faultKinds = []string{"kill", "pause", "cut", "cutOneWay", "isolate", "platformCut", "dropFromList",
	"storeDown", "storeSlow", "storeStale", "writeLost", "delay", "duplicate", "leave", "start"}

// fleet runs pairs of Membership and Limiter in virtual time.
type fleet struct {
	rng              *rand.Rand
	now              time.Duration // true time
	events           []event       // by time, and in the order in which they were scheduled
	nodes            []*node
	skipHandoverWait bool // uses entitlements without waiting for former holders
	refunds          bool // settles requests below their charge

	store       []membership.Roster // all versions; version n is store[n-1]
	active      map[string]int      // number of active faults by kind
	linkCuts    map[[2]int]int      // number of active cuts by sender and receiver
	accounts    []limits.Account
	admissions  map[core.AccountID][]admission
	requestInfo map[core.RequestID]requestInfo
	refusals    map[core.Code]int
	violation   string

	requests, granted, refused, messages, heartbeats int
}

type admission struct {
	at     time.Duration
	tokens int64
}

type requestInfo struct {
	account core.AccountID
	inc     core.Incarnation
	tokens  int64
}

type node struct {
	index       int
	member      membership.Member
	clockRate   int64 // thousandths of true time
	m           *membership.Membership
	l           *limits.Limiter
	up, leaving bool
	inbox       []func() // while paused

	offset, pausedUntil, lastRun, listedAt time.Duration

	offPlatform, unlisted int // number of active faults
}

type event struct {
	at  time.Duration
	run func()
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{
		rng:         rand.New(rand.NewPCG(seed, 7)),
		active:      map[string]int{},
		linkCuts:    map[[2]int]int{},
		admissions:  map[core.AccountID][]admission{},
		requestInfo: map[core.RequestID]requestInfo{},
		refusals:    map[core.Code]int{},
		accounts: []limits.Account{
			{ID: "steady", Rate: 1000, Burst: 3000},
			{ID: "quick", Rate: 600, Burst: 300},
			{ID: "slow", Rate: 40, Burst: 1000},
			{ID: "small", Rate: 7, Burst: 10},
		},
	}
	for range size {
		f.addNode()
	}
	return f
}

func (f *fleet) schedule(d time.Duration, run func()) {
	at := f.now + d
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at > at })
	f.events = slices.Insert(f.events, i, event{at, run})
}

func (f *fleet) run(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until && f.violation == "" {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.run()
	}
	f.now = until
}

func (f *fleet) addNode() {
	i := len(f.nodes)
	n := &node{
		index:     i,
		clockRate: 990 + f.rng.Int64N(21),
		offset:    time.Duration(f.rng.Int64N(int64(time.Hour))),
		listedAt:  f.now + time.Duration(f.rng.Int64N(int64(time.Second))),
	}
	n.member = membership.Member{
		Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("n%d", i))},
		DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", i%3)),
		Region:     core.RegionName(fmt.Sprintf("r%d", i%2)),
		PeerAddr:   fmt.Sprintf("peer%d", i),
		CallerAddr: fmt.Sprintf("caller%d", i),
	}
	f.nodes = append(f.nodes, n)
	f.start(n)
	f.loop(n)
	f.pollList(n)
	f.watchStore(n)
}

func (f *fleet) start(n *node) {
	n.member.Ref.Incarnation++
	n.up = true
	n.leaving = false
	n.pausedUntil = 0
	n.lastRun = f.now
	n.m = membership.New(n.member, membership.Params{
		Random: rand.New(rand.NewPCG(f.rng.Uint64(), 1)), ListGrace: time.Second,
		EntitlementTTL: entitlementTTL, FenceWait: fenceWait, ReplacedFenceWait: 1000 * time.Hour, UnlistedFenceWait: 1000 * time.Hour,
	})
	n.l = limits.New(n.member.Ref, limits.Params{LoanTerm: loanTerm, IdleSweepInterval: 3 * time.Second})
}

func (n *node) clock(f *fleet) core.Instant {
	return core.Instant(n.offset + f.now*time.Duration(n.clockRate)/1000)
}

// runOnLoop runs one step of a node's event loop, now or when its pause ends. After a
// pause longer than the loan term, the node continues as a new incarnation.
func (f *fleet) runOnLoop(n *node, inc core.Incarnation, run func()) {
	if !n.up || n.member.Ref.Incarnation != inc && inc != 0 {
		return
	}
	if f.now < n.pausedUntil {
		n.inbox = append(n.inbox, run)
		return
	}
	if (f.now-n.lastRun)*time.Duration(n.clockRate)/1000 > loanTerm {
		n.member.Ref.Incarnation++
		n.m.Reset(n.member.Ref)
		n.l.Reset(n.clock(f), n.member.Ref)
	}
	n.lastRun = f.now
	run()
}

func (f *fleet) loop(n *node) {
	if n.up && f.now < n.pausedUntil {
		f.schedule(n.pausedUntil-f.now, func() { f.loop(n) })
		return
	}
	f.runOnLoop(n, 0, func() {
		queued := n.inbox
		n.inbox = nil
		for _, run := range queued {
			run()
		}
		now := n.clock(f)
		if now >= n.m.NextWake() {
			f.apply(n, n.m.Tick(now))
		}
		if now >= n.l.NextWake() {
			f.onAdmissions(n, n.l.Tick(now))
		}
	})
	f.schedule(tickInterval, func() { f.loop(n) })
}

func (f *fleet) platformUp(n *node) bool {
	return f.active["storeDown"] == 0 && n.offPlatform == 0
}

func (f *fleet) pollList(n *node) {
	if n.up && f.platformUp(n) {
		list := f.platformList()
		f.schedule(f.latency(), func() {
			f.runOnLoop(n, 0, func() { f.apply(n, n.m.OnList(n.clock(f), list)) })
		})
	}
	f.schedule(700*time.Millisecond, func() { f.pollList(n) })
}

// platformList returns the platform's list, which lags: a started node appears within
// a second, and a dead one may stay in it for the duration of its fault.
func (f *fleet) platformList() []membership.ListEntry {
	var list []membership.ListEntry
	for _, n := range f.nodes {
		if n.unlisted > 0 || f.now < n.listedAt {
			continue
		}
		state := membership.Live
		if n.leaving {
			state = membership.Leaving
		}
		list = append(list, membership.ListEntry{
			ID: n.member.Ref.ID, PeerAddr: n.member.PeerAddr, CallerAddr: n.member.CallerAddr,
			DataCentre: n.member.DataCentre, Region: n.member.Region, State: state,
		})
	}
	return list
}

func (f *fleet) latency() time.Duration {
	d := time.Duration(f.rng.Int64N(int64(30 * time.Millisecond)))
	if f.active["delay"] > 0 && f.rng.IntN(4) == 0 {
		d += time.Duration(f.rng.Int64N(int64(8 * time.Second)))
	}
	return d
}

func (f *fleet) storeLatency() time.Duration {
	d := time.Duration(f.rng.Int64N(int64(20 * time.Millisecond)))
	if f.active["storeSlow"] > 0 {
		d += time.Duration(f.rng.Int64N(int64(5 * time.Second)))
	}
	return d
}

func (f *fleet) watchStore(n *node) {
	if n.up {
		f.readStore(n)
	}
	f.schedule(100*time.Millisecond, func() { f.watchStore(n) })
}

func (f *fleet) readStore(n *node) {
	if !f.platformUp(n) {
		return
	}
	version := len(f.store)
	if f.active["storeStale"] > 0 {
		version -= f.rng.IntN(min(4, version+1))
	}
	var r membership.Roster
	if version > 0 {
		r = f.store[version-1]
	}
	f.schedule(f.storeLatency(), func() {
		f.runOnLoop(n, 0, func() { f.apply(n, n.m.OnRosterRead(n.clock(f), r, uint64(version))) })
	})
}

func (f *fleet) writeStore(n *node, w membership.WriteRoster) {
	inc := n.member.Ref.Incarnation
	fail := func() { f.runOnLoop(n, inc, func() { f.apply(n, n.m.OnWriteFailed(n.clock(f))) }) }
	if !f.platformUp(n) {
		f.schedule(f.latency(), fail)
		return
	}
	f.schedule(f.storeLatency(), func() {
		if f.active["storeDown"] > 0 || uint64(len(f.store)) != w.Base {
			f.schedule(f.latency(), fail)
			return
		}
		f.store = append(f.store, w.Roster)
		if f.active["writeLost"] > 0 {
			f.schedule(f.latency(), fail)
			return
		}
		version := w.Base + 1
		f.schedule(f.storeLatency(), func() {
			f.runOnLoop(n, inc, func() { f.apply(n, n.m.OnRosterRead(n.clock(f), w.Roster, version)) })
		})
	})
}

// send delivers a message to a peer unless the link is cut at the time of arrival.
func (f *fleet) send(from *node, to core.InstanceID, deliver func(peer *node)) {
	f.messages++
	copies := 1
	if f.active["duplicate"] > 0 && f.rng.IntN(3) == 0 {
		copies = 2
	}
	for _, peer := range f.nodes {
		if peer.member.Ref.ID != to {
			continue
		}
		for range copies {
			f.schedule(f.latency(), func() {
				if f.linkCuts[[2]int{from.index, peer.index}] == 0 {
					f.runOnLoop(peer, 0, func() { deliver(peer) })
				}
			})
		}
	}
}

func (f *fleet) apply(n *node, outputs []membership.Output) {
	for _, output := range outputs {
		now := n.clock(f)
		switch o := output.(type) {
		case membership.SendHeartbeat:
			f.heartbeats++
			f.send(n, o.To, func(peer *node) { f.apply(peer, peer.m.OnHeartbeat(peer.clock(f), o.Heartbeat)) })
		case membership.WriteRoster:
			f.writeStore(n, o)
		case membership.ReadRoster:
			f.readStore(n)
			if o.From != "" {
				f.send(n, o.From, func(peer *node) {
					r := peer.m.Roster()
					f.send(peer, n.member.Ref.ID, func(requester *node) {
						f.apply(requester, requester.m.OnRosterRead(requester.clock(f), r, 0))
					})
				})
			}
		case membership.ActivateRoster:
			if f.skipHandoverWait {
				o.Roster.HandoverComplete = true
			}
			n.l.SetRoster(now, o.Roster)
		case membership.SetEntitlementExpiry:
			if f.skipHandoverWait {
				o.Until = core.Never
			}
			n.l.SetEntitlementExpiry(o.Until)
		}
	}
}

func (f *fleet) account(id core.AccountID) limits.Account {
	return f.accounts[slices.IndexFunc(f.accounts, func(a limits.Account) bool { return a.ID == id })]
}

func (f *fleet) request(n *node, a limits.Account, tokens int64) {
	f.runOnLoop(n, n.member.Ref.Incarnation, func() {
		f.requests++
		id := core.RequestID(fmt.Sprintf("q%d", f.requests))
		f.requestInfo[id] = requestInfo{a.ID, n.member.Ref.Incarnation, tokens}
		f.onAdmissions(n, []limits.AdmissionUpdate{{ID: id, Admission: n.l.Admit(n.clock(f), id, a, tokens)}})
	})
}

func (f *fleet) onAdmissions(n *node, list []limits.AdmissionUpdate) {
	for _, a := range list {
		switch a.State {
		case limits.Granted:
			f.granted++
			f.record(n, a.ID)
		case limits.Refused:
			f.refused++
			f.refusals[a.Refusal.Code]++
		}
		for _, loan := range a.LoanRequests {
			f.send(n, loan.To, func(peer *node) {
				limit := f.account(loan.Request.Account)
				reply := peer.l.OnLoanRequest(peer.clock(f), loan.Request.Borrower, limit, loan.Request)
				lender := peer.member.Ref
				f.send(peer, n.member.Ref.ID, func(requester *node) {
					f.onAdmissions(requester, requester.l.OnLoanReply(requester.clock(f), lender, reply))
				})
			})
		}
	}
}

// record records an admission, checks the limit and schedules the settlement. It
// settles twice, since the second settlement must have no effect.
func (f *fleet) record(n *node, id core.RequestID) {
	p := f.requestInfo[id]
	index := len(f.admissions[p.account])
	f.admissions[p.account] = append(f.admissions[p.account], admission{f.now, p.tokens})
	f.checkBound(p.account)
	if !f.refunds {
		return
	}
	used := f.rng.Int64N(p.tokens + 1)
	settle := func() {
		f.runOnLoop(n, p.inc, func() {
			n.l.Settle(n.clock(f), id, used)
			f.admissions[p.account][index].tokens = used
		})
	}
	wait := time.Duration(f.rng.Int64N(int64(3 * time.Second)))
	f.schedule(wait, settle)
	f.schedule(wait+time.Second, settle)
}

// checkBound checks admitted <= rate*t + burst in every interval that ends now.
func (f *fleet) checkBound(id core.AccountID) {
	a := f.account(id)
	list := f.admissions[id]
	var sum int64
	for i := len(list) - 1; i >= 0; i-- {
		sum += list[i].tokens
		elapsed := int64(f.now - list[i].at)
		if sum*1e9 > a.Rate*elapsed+a.Burst*1e9 {
			f.violation = fmt.Sprintf("account %s got %d tokens in %v, over %d/s and %d",
				id, sum, time.Duration(elapsed), a.Rate, a.Burst)
			return
		}
	}
}

// inject schedules the start and the end of a fault.
func (f *fleet) inject(x fault) {
	f.schedule(x.At-f.now, func() { f.startFault(x) })
}

func (f *fleet) startFault(x fault) {
	n := f.nodes[x.Node%len(f.nodes)]
	other := f.nodes[x.Other%len(f.nodes)]
	var counters []*int
	var cuts [][2]int
	switch x.Kind {
	case "kill":
		n.up = false
		n.inbox = nil
		f.schedule(x.Duration, func() {
			if !n.up {
				f.start(n)
			}
		})
	case "pause":
		n.pausedUntil = max(n.pausedUntil, f.now+x.Duration)
	case "cut":
		cuts = append(cuts, [2]int{n.index, other.index}, [2]int{other.index, n.index})
	case "cutOneWay":
		cuts = append(cuts, [2]int{n.index, other.index})
	case "isolate":
		for _, peer := range f.nodes {
			cuts = append(cuts, [2]int{n.index, peer.index}, [2]int{peer.index, n.index})
		}
		counters = append(counters, &n.offPlatform, &n.unlisted)
	case "platformCut":
		counters = append(counters, &n.offPlatform)
	case "dropFromList":
		counters = append(counters, &n.unlisted)
	case "leave":
		n.leaving = true
		f.runOnLoop(n, 0, func() { f.apply(n, n.m.Leave(n.clock(f))) })
	case "start":
		if len(f.nodes) < 8 {
			f.addNode()
		}
	default:
		f.active[x.Kind]++
		f.schedule(x.Duration, func() { f.active[x.Kind]-- })
	}
	if silent := x.Kind == "kill" || x.Kind == "pause"; silent && x.Other%2 == 0 {
		counters = append(counters, &n.unlisted)
	}
	for _, c := range counters {
		*c++
		f.schedule(x.Duration, func() { *c-- })
	}
	for _, c := range cuts {
		f.linkCuts[c]++
		f.schedule(x.Duration, func() { f.linkCuts[c]-- })
	}
}
