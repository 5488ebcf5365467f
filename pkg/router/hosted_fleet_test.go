package router

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

// hostedFleet simulates hosted Routers that exchange messages in virtual time.
// Callers send plain requests of one account, which get an immediate response.
type hostedFleet struct {
	rng     *rand.Rand
	now     core.Instant
	events  schedule.Queue[core.Instant, func()]
	members []fleet.Member
	routers []*Router
	byID    map[core.InstanceID]int
	// partitioned drops the messages between regions.
	partitioned bool
	// frozen holds the Instances that have stopped to process events.
	frozen map[int]bool
	// store holds the entries of the Instances, nil without a store. cut reports whether nothing
	// passes between two Instances, nil for never.
	store *memberStore
	cut   func(a, b int) bool
	// transits returns the transit times of the copies of a message, nil for one copy as usual. handle
	// processes effects that the fleet does not.
	transits func(from, to int, message Message, usual time.Duration) []time.Duration
	handle   func(i int, effect Effect)

	account      config.HostedAccount
	quotaUpdates int // sent
	requestsSent int
	ready        map[int]bool // Instances that know their share
	refused      int
	admittedAt   []core.Instant
}

// fetchTimeout is the time limit of a fetch in the daemon.
const fetchTimeout = time.Second

// requestTokens is the charge of each request.
const requestTokens = 8000

// newHostedFleet starts n Routers in six DataCentres of two regions.
func newHostedFleet(seed uint64, n int, account config.HostedAccount) *hostedFleet {
	return newHostedFleetWith(seed, n, account, func(*HostedParams) {})
}

func newHostedFleetWith(seed uint64, n int, account config.HostedAccount, change func(*HostedParams)) *hostedFleet {
	f := &hostedFleet{
		rng: rand.New(rand.NewPCG(seed, 4)), now: core.Instant(time.Second), byID: map[core.InstanceID]int{}, account: account,
		frozen: map[int]bool{}, ready: map[int]bool{},
	}
	routing := hostedRouting(1)
	routing.Accounts = []config.HostedAccount{account}
	for i := range n {
		member := fleet.Member{
			Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
			DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", i%6)),
			Region:     core.RegionName(fmt.Sprintf("r%d", i%2)),
		}
		f.byID[member.Ref.ID] = i
		f.members = append(f.members, member)
		params := &HostedParams{Member: member, Retry: retry.Params{Window: 10 * time.Second}, AddressTTL: time.Second, GracePeriod: 8 * time.Second}
		change(params)
		f.routers = append(f.routers, New(Params{Rand: rand.New(rand.NewPCG(1, uint64(i))), NonceSource: bytes.NewReader(nil), Hosted: params}))
	}
	for i := range n {
		f.schedule(time.Duration(f.rng.IntN(150))*time.Millisecond, func() {
			f.step(i, MembersListed{Members: f.members})
			f.step(i, RoutingReceived{Routing: config.NewRouting(*routing), Revision: storeRevision(10)})
			f.step(i, UpstreamsListed{Revision: storeRevision(10), Upstreams: []catalog.Upstream{{ID: "s1", Service: "plain", Addr: "s1:1", DataCentre: "dc0"}}})
			f.tick(i)
		})
	}
	return f
}

func (f *hostedFleet) schedule(d time.Duration, run func()) { f.events.Add(f.now.Add(d), run) }

func (f *hostedFleet) tick(i int) {
	f.step(i, Tick{})
	wait := max(time.Millisecond, f.routers[i].NextWake().Sub(f.now))
	if f.frozen[i] {
		wait = 20 * time.Millisecond
	}
	router := f.routers[i]
	f.schedule(wait, func() {
		if f.routers[i] == router {
			f.tick(i)
		}
	})
}

func (f *hostedFleet) step(i int, event Event) {
	if f.frozen[i] {
		return
	}
	for _, effect := range f.routers[i].Step(f.now, event) {
		if f.handle != nil {
			f.handle(i, effect)
		}
		switch e := effect.(type) {
		case SendPeerMessage:
			if e.Message.Quota != nil {
				f.quotaUpdates++
			}
			to := f.byID[e.To]
			if f.cut != nil && f.cut(i, to) {
				continue
			}
			transit := time.Millisecond
			if f.members[to].Region != f.members[i].Region {
				if f.partitioned {
					continue
				}
				transit = 30 * time.Millisecond
			}
			copies := []time.Duration{transit}
			if f.transits != nil {
				copies = f.transits(i, to, e.Message, transit)
			}
			for _, transit := range copies {
				f.schedule(transit, func() { f.step(to, PeerMessageReceived{From: f.members[i].Ref, Message: e.Message}) })
			}
		case FetchState:
			f.fetch(i, e)
		case ListMembers, RegisterMember, RemoveMembers:
			f.callStore(i, e)
		case ShareKnown:
			f.ready[i] = true
		case Refuse:
			f.refused++
		case StartCall:
			f.admittedAt = append(f.admittedAt, f.now)
			f.schedule(0, func() { f.step(i, ResponseCompleted{Request: e.Request, Attempt: e.Attempt, Status: 200}) })
		}
	}
}

// fetch delivers the configuration of a peer after two round trips between regions. A frozen
// peer does not answer.
func (f *hostedFleet) fetch(i int, e FetchState) {
	if e.Kind != StateConfig {
		return
	}
	if f.frozen[f.byID[e.From]] {
		f.schedule(fetchTimeout, func() { f.step(i, StateFetchEnded{Kind: e.Kind, From: e.From}) })
		return
	}
	f.schedule(120*time.Millisecond, func() {
		peer := f.routers[f.byID[e.From]].hosted
		f.step(i, RoutingReceived{Routing: peer.routing, Revision: peer.configRevision, From: e.From})
		f.step(i, StateFetchEnded{Kind: e.Kind, From: e.From})
	})
}

// sendLoad sends requests of the account to random Instances for a duration.
func (f *hostedFleet) sendLoad(perSecond float64, duration time.Duration) {
	interval := time.Duration(float64(time.Second) / perSecond)
	key := hostedKey
	for at := time.Duration(0); at < duration; at += interval {
		f.schedule(at, func() {
			f.requestsSent++
			f.step(f.rng.IntN(len(f.routers)), RequestArrived{Request: Request{
				ID: core.RequestID(fmt.Sprintf("q%d", f.requestsSent)), Host: "h", Path: "/call/", Key: &key, Deadline: f.now.Add(time.Second),
			}})
		})
	}
	f.runFor(duration)
}

func (f *hostedFleet) runFor(duration time.Duration) {
	end := f.now.Add(duration)
	for {
		event, at, due := f.events.PopDue(end)
		if !due {
			break
		}
		f.now = at
		event()
	}
	f.now = end
}

// maxWindowTokens returns the largest number of tokens admitted in a sliding window.
func (f *hostedFleet) maxWindowTokens(window time.Duration) int64 {
	var most int64
	for first := range f.admittedAt {
		after, _ := slices.BinarySearch(f.admittedAt, f.admittedAt[first].Add(window))
		most = max(most, int64(after-first)*requestTokens)
	}
	return most
}

// allowedTokens returns the tokens that the platform allows the account in a window
// of 8 s.
func (f *hostedFleet) allowedTokens() int64 {
	const overage, slack = 1.1, 120_000
	return int64(overage*float64(8*f.account.Rate+f.account.Burst)) + slack
}

func largeAccount() config.HostedAccount {
	return config.HostedAccount{ID: "acct", Keys: []config.KeyDigest{hostedKey}, DefaultCostTokens: requestTokens, Rate: 160_000, Burst: 160_000}
}

// Guards against an excess over the quota that grows with the heartbeat interval,
// which is seconds in a fleet of 84: an account sends five times its rate.
func TestHostedQuotaOfALargeFleet(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		f := newHostedFleet(seed, 84, largeAccount())
		f.sendLoad(10, 5*time.Second)
		baseline := f.quotaUpdates
		f.sendLoad(100, 24*time.Second)
		is.True(f.quotaUpdates > baseline+84) // an account at its limit is reported between heartbeats
		t.Logf("admitted %d tokens in a window, allowed are %d", f.maxWindowTokens(8*time.Second), f.allowedTokens())
		is.True(f.maxWindowTokens(8*time.Second) <= f.allowedTokens())
		is.True(int64(len(f.admittedAt))*requestTokens >= 24*f.account.Rate*9/10) // and most of the allowance is used
	}
}

// Guards against a partition in which both halves of a large fleet spend the full
// allowance during the seconds until they detect that heartbeats are missing.
func TestHostedQuotaOfALargeFleetInTwoParts(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		f := newHostedFleet(seed, 84, largeAccount())
		f.sendLoad(10, 5*time.Second)
		f.partitioned = true
		f.sendLoad(100, 12*time.Second)
		f.partitioned = false
		f.sendLoad(100, 12*time.Second)
		t.Logf("admitted %d tokens in a window, allowed are %d", f.maxWindowTokens(8*time.Second), f.allowedTokens())
		is.True(f.maxWindowTokens(8*time.Second) <= f.allowedTokens())
	}
}

// Guards against refusals of an account at half of its rate during a partition
// between the regions: the possible usage of the other half is counted from the last
// heartbeat of any of its members, not from the last one of each member.
func TestHostedCutSparesAccountsInsideTheirRate(t *testing.T) {
	is := is.New(t)
	f := newHostedFleet(1, 84, largeAccount())
	f.sendLoad(10, 5*time.Second)
	f.admittedAt, f.requestsSent = nil, 0
	f.partitioned = true
	f.sendLoad(10, 8*time.Second)
	f.partitioned = false
	f.sendLoad(10, 6*time.Second)
	t.Logf("%d of %d admitted", len(f.admittedAt), f.requestsSent)
	is.True(len(f.admittedAt) >= f.requestsSent*98/100)
}

// Guards against a configuration that most of a large fleet takes up late because all
// watches of the store are unresponsive and one Instance alone has read the store.
func TestHostedFleetFollowsTheInstanceThatReadTheStore(t *testing.T) {
	// A configuration must become active within 3 s in a small fleet and 4 s in a large one.
	// maxSpread is what remains after the detection of an unresponsive watch, which is
	// sooner in a large fleet, where more watches end in a second.
	for _, test := range []struct {
		instances int
		maxSpread time.Duration
	}{{8, time.Second}, {62, 2 * time.Second}, {330, 3 * time.Second}} {
		is := is.New(t)
		f := newHostedFleet(1, test.instances, largeAccount())
		f.runFor(time.Second)
		f.step(0, RoutingReceived{Routing: hostedRouting(2), Revision: storeRevision(20)})
		f.runFor(test.maxSpread)
		behind := 0
		for _, r := range f.routers {
			if r.hosted.activeVersion() != 2 {
				behind++
			}
		}
		t.Logf("%d of %d Instances are behind", behind, test.instances)
		is.Equal(behind, 0)
	}
}

// Guards against a configuration that becomes active late because fetches from peers fail: half
// of the fleet has read it, and most of that half is then frozen.
func TestHostedFleetFollowsAlthoughPeersAreFrozen(t *testing.T) {
	for _, test := range []struct {
		instances int
		maxSpread time.Duration // as above
	}{{8, time.Second}, {62, 2 * time.Second}, {330, 3 * time.Second}} {
		is := is.New(t)
		f := newHostedFleet(1, test.instances, largeAccount())
		f.runFor(time.Second)
		for i := 0; i < test.instances; i += 2 {
			f.step(i, RoutingReceived{Routing: hostedRouting(2), Revision: storeRevision(20)})
		}
		f.runFor(stateFetchDelay)
		for i := 0; i < test.instances; i += 2 {
			f.frozen[i] = i%8 != 0
		}
		f.runFor(test.maxSpread)
		behind := 0
		for i, r := range f.routers {
			if !f.frozen[i] && r.hosted.activeVersion() != 2 {
				behind++
			}
		}
		t.Logf("%d of %d Instances are behind", behind, test.instances)
		is.Equal(behind, 0)
	}
}
