package membership

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func memberOf(i int) Member {
	return Member{
		Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
		DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", i%5)),
		Region:     core.RegionName(fmt.Sprintf("r%d", i%2)),
		PeerAddr:   fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		CallerAddr: fmt.Sprintf("10.0.%d.%d:8000", i/256, i%256),
	}
}

func listOf(size int) []ListEntry {
	var list []ListEntry
	for i := range size {
		m := memberOf(i)
		list = append(list, ListEntry{m.Ref.ID, m.PeerAddr, m.CallerAddr, m.DataCentre, m.Region, Live})
	}
	return list
}

func rosterOf(epoch core.Epoch, size int) Roster {
	r := Roster{Epoch: epoch}
	for i := range size {
		r.Members = append(r.Members, memberOf(i))
	}
	return r
}

// newTestMembership returns instance 0 of a fleet, with the roster of epoch 1 in force.
func newTestMembership(size int) *Membership {
	m := New(memberOf(0), Params{Random: rand.New(rand.NewPCG(1, 2))})
	m.OnList(0, listOf(size))
	m.OnRosterRead(0, rosterOf(1, size), 1)
	return m
}

func findOutput[T Output](outputs []Output) (T, bool) {
	for _, o := range outputs {
		if found, ok := o.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

// tickUntil ticks once per wake until an output of the type comes, within a minute.
func tickUntil[T Output](m *Membership, now core.Instant) (T, core.Instant, bool) {
	end := now.Add(time.Minute)
	for ; now < end; now = max(now+1, m.NextWake()) {
		if found, ok := findOutput[T](m.Tick(now)); ok {
			return found, now, true
		}
	}
	var none T
	return none, now, false
}

func heartbeat(i int, incarnation core.Incarnation, epoch core.Epoch) Heartbeat {
	ref := memberOf(i).Ref
	ref.Incarnation = incarnation
	return Heartbeat{From: ref, Seq: 1, Epoch: epoch}
}

// Guards against a heartbeat of an ended run that undoes a newer one.
func TestStaleIncarnationIsRejected(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(3)
	dead, ok := findOutput[IncarnationDead](m.OnHeartbeat(1, heartbeat(1, 5, 1)))
	is.True(ok)
	is.Equal(dead.Ref, memberOf(1).Ref)
	stale := heartbeat(1, 4, 9)
	stale.Leaving = true
	is.Equal(len(m.OnHeartbeat(2, stale)), 0)
	gossip := heartbeat(2, 1, 1)
	gossip.Rows = []Row{{Ref: stale.From, Epoch: 9, Leaving: true}}
	m.OnHeartbeat(2, gossip)
	is.Equal(m.peers["i001"].row, Row{Ref: core.InstanceRef{ID: "i001", Incarnation: 5}, Epoch: 1})
	write, _, ok := tickUntil[WriteRoster](m, 3)
	is.True(ok)
	is.Equal(write.Base, uint64(1))
	is.Equal(write.Roster.Members[1].Ref.Incarnation, core.Incarnation(5))
}

// Guards against a stale read that brings back an older roster.
func TestOlderEpochIsRejected(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(3)
	hint, _ := findOutput[ReadRoster](m.OnHeartbeat(core.Instant(time.Minute), heartbeat(1, 1, 4)))
	is.Equal(hint.From, core.InstanceID("i001"))
	m.OnRosterRead(1, rosterOf(4, 3), 4)
	is.Equal(len(m.OnRosterRead(2, rosterOf(3, 2), 3)), 0)
	is.Equal(m.Roster().Epoch, core.Epoch(4))
	is.Equal(m.storeVersion, uint64(4))
}

// Guards against rows that depend on the order or number of deliveries.
func TestRowsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawBeat := rapid.Custom(func(t *rapid.T) Heartbeat {
			h := heartbeat(1, core.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), core.Epoch(rapid.IntRange(0, 1).Draw(t, "epoch")))
			h.Leaving = rapid.Bool().Draw(t, "leaving")
			return h
		})
		beats := rapid.SliceOfN(drawBeat, 1, 8).Draw(t, "beats")
		other := slices.Concat(rapid.Permutation(beats).Draw(t, "order"), beats[:1])
		a, b := newTestMembership(3), newTestMembership(3)
		for _, h := range beats {
			a.OnHeartbeat(1, h)
		}
		for _, h := range other {
			b.OnHeartbeat(1, h)
		}
		if a.peers["i001"].row != b.peers["i001"].row || a.digest != b.digest {
			t.Fatalf("%v and %v", a.peers["i001"].row, b.peers["i001"].row)
		}
	})
}

// Guards against a proposal on a base that another Instance has changed, and
// against repeating a write whose answer was lost.
func TestConflictRereadsBeforeProposing(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(3)
	m.OnHeartbeat(1, heartbeat(1, 2, 1))
	_, now, ok := tickUntil[WriteRoster](m, 2)
	is.True(ok)
	_, ok = findOutput[ReadRoster](m.OnWriteFailed(now))
	is.True(ok)
	_, _, ok = tickUntil[WriteRoster](m, now+1)
	is.True(!ok) // not before a read
	m.OnRosterRead(now, rosterOf(1, 3), 1)
	_, now, _ = tickUntil[WriteRoster](m, now)
	_, at, ok := tickUntil[ReadRoster](m, now+1)
	is.True(ok && at.Sub(now) >= DefaultStoreRetryInterval) // no answer at all
	taken := rosterOf(2, 3)
	taken.Members[1].Ref.Incarnation = 2
	m.OnRosterRead(now.Add(time.Minute), taken, 2)
	_, _, ok = tickUntil[WriteRoster](m, now.Add(time.Minute))
	is.True(!ok) // the write had taken effect
}

// Guards against a crowd: after one event, few of 330 Instances propose before
// the first write is visible.
func TestProposalsAreSpread(t *testing.T) {
	is := is.New(t)
	var at []core.Instant
	for i := range 330 {
		m := New(memberOf(i), Params{Random: rand.New(rand.NewPCG(uint64(i), 3))})
		m.OnList(0, listOf(331))
		m.OnRosterRead(0, rosterOf(1, 330), 1)
		m.OnHeartbeat(0, heartbeat(330, 1, 0))
		m.planProposal(0)
		at = append(at, m.proposeAt)
	}
	slices.Sort(at)
	crowd := 0
	for _, t := range at {
		if t.Sub(at[0]) < 50*time.Millisecond {
			crowd++
		}
	}
	is.True(at[0] >= core.Instant(minRosterAge))
	t.Logf("%d proposals within 50 ms of the first", crowd)
	is.True(crowd <= 20)
}

// Guards against an Instance that serves although the platform dropped it, and
// against one that never starts because the list lags.
func TestAbsentFromListStops(t *testing.T) {
	is := is.New(t)
	m := New(memberOf(0), Params{})
	_, ok := findOutput[StopServing](m.OnList(0, listOf(3)[1:]))
	is.True(!ok) // not listed yet
	m.OnHeartbeat(0, heartbeat(1, 1, 0))
	m.OnRosterRead(0, Roster{}, 0)
	is.Equal(m.proposeAt, core.Never) // the list may not be about this Instance yet
	later := memberOf(0)
	later.Ref.Incarnation = 2
	_, ok = findOutput[StopServing](New(later, Params{}).OnRosterRead(0, rosterOf(1, 3), 1))
	is.True(ok) // the roster has the ended run only
	m = newTestMembership(3)
	is.Equal(len(m.OnList(1, nil)), 0) // the platform has just started
	out := m.OnList(1, listOf(3)[1:])
	_, ok = findOutput[StopServing](out)
	is.True(ok)
	hold, _ := findOutput[SetEntitlementExpiry](out)
	is.Equal(hold.Until, core.Instant(1))
	_, ok = findOutput[ReadRoster](m.OnList(2, listOf(3)))
	is.True(ok) // serves again only after a read
	_, ok = findOutput[RosterInForce](m.OnRosterRead(3, rosterOf(1, 3), 1))
	is.True(ok)
}

// Guards against one missing entry of a lagging list that removes a member.
func TestDroppedMemberLeavesAfterGrace(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(3)
	m.OnList(1, listOf(2))
	m.OnList(2, listOf(3))
	m.OnList(3, listOf(2))
	_, at, ok := tickUntil[WriteRoster](m, 4)
	is.True(ok)
	is.True(at.Sub(3) >= DefaultListGrace)
}

// rosterWithFormer returns a roster of epoch 2 without the last of size holders.
func rosterWithFormer(size int) Roster {
	next := rosterOf(2, size-1)
	next.FormerGenerations = []Generation{{1, size, holdersOf(rosterOf(1, size))}}
	return next
}

// Guards against entitlements that move before their holder has stopped.
func TestFormerHolders(t *testing.T) {
	tests := []struct {
		name   string
		beats  []Heartbeat
		settle time.Duration // 0: at once; negative: never
	}{
		{"all acknowledged", []Heartbeat{heartbeat(1, 1, 2), heartbeat(2, 1, 2), heartbeat(3, 1, 2)}, 0},
		{"new incarnation", []Heartbeat{heartbeat(1, 1, 2), heartbeat(2, 1, 2), heartbeat(3, 2, 0)}, 0},
		{"silent holder is fenced by half", []Heartbeat{heartbeat(1, 1, 2), heartbeat(3, 1, 1)}, DefaultFenceWait},
		{"less than half", []Heartbeat{heartbeat(2, 1, 1)}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newTestMembership(4)
			m.OnRosterRead(1, rosterWithFormer(4), 2)
			for _, h := range test.beats {
				m.OnHeartbeat(1, h)
			}
			is.Equal(m.Roster().HandoverComplete, test.settle == 0)
			if test.settle > 0 {
				m.Tick(core.Instant(test.settle))
				is.True(!m.Roster().HandoverComplete)
			}
			for _, g := range m.remainingFormerGenerations(0) {
				is.True(!slices.Contains(g.Holders, memberOf(0).Ref) || g.Epoch == 2)
			}
			m.Tick(core.Instant(10 * time.Minute))
			is.Equal(m.Roster().HandoverComplete, test.settle >= 0)
			is.Equal(len(m.remainingFormerGenerations(core.Instant(20*time.Minute))) == 1, test.settle >= 0)
		})
	}
}

// Guards against a fleet that can never use the entitlements of a generation
// that was replaced as a whole.
func TestReplacedGenerationIsFencedByTheList(t *testing.T) {
	is := is.New(t)
	m := New(memberOf(0), Params{})
	m.OnList(0, listOf(1))
	next := rosterOf(2, 1)
	next.FormerGenerations = []Generation{{1, 2, []core.InstanceRef{{ID: "old1", Incarnation: 1}, {ID: "old2", Incarnation: 1}}}}
	m.OnRosterRead(0, next, 2)
	m.Tick(core.Instant(DefaultReplacedFenceWait - 1))
	is.True(!m.Roster().HandoverComplete)
	m.Tick(core.Instant(DefaultReplacedFenceWait))
	is.True(m.Roster().HandoverComplete)
}

// Guards against entitlements held on the word of a minority, on delayed
// heartbeats, or longer than EntitlementTTL after the evidence.
func TestHoldNeedsEchoesFromAMajority(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(5)
	m.Tick(0)
	m.Tick(core.Instant(2 * time.Second)) // round 2, which nobody echoes
	echo := func(i int, epoch core.Epoch, round uint64) {
		h := heartbeat(i, 1, epoch)
		h.Echo = round
		h.EchoOf = 1
		m.OnHeartbeat(core.Instant(20*time.Second), h)
	}
	echo(1, 1, 1)
	echo(2, 2, 1) // has moved on
	m.OnHeartbeat(1, heartbeat(3, 1, 1))
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(0))
	echo(3, 1, 1)
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(DefaultEntitlementTTL)) // from our round 1, sent at 0
	echo(1, 1, 2)
	echo(4, 1, 2)
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(DefaultEntitlementTTL+2*time.Second))
	next := rosterOf(2, 4)
	next.Members = append(next.Members[:1], next.Members[2:]...)
	hold, _ := findOutput[SetEntitlementExpiry](m.OnRosterRead(core.Instant(21*time.Second), next, 2))
	is.Equal(hold.Until, core.Instant(DefaultEntitlementTTL)) // of its members, only round 1 is echoed
}

// Guards against a fencing wait that counts time from before a blocking half had
// moved on, when the wait had begun for another reason.
func TestFencingWaitsDoNotAddUp(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(4)
	next := rosterOf(2, 2)
	next.FormerGenerations = []Generation{{1, 5, holdersOf(rosterOf(1, 4))[2:]}} // three of five stopped
	m.OnRosterRead(1, next, 2)
	m.fences[1] = fence{reason: fenceRemoved, since: 1}
	late := core.Instant(time.Minute)
	m.Tick(late)
	is.True(!m.Roster().HandoverComplete)
	m.Tick(late.Add(DefaultFenceWait))
	is.True(m.Roster().HandoverComplete)
}

// Guards against callers sent to a leaving Instance, and against an answer that
// doesn't start with the home set.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(30)
	now := core.Instant(time.Second)
	for i := 1; i < 30; i++ {
		m.OnHeartbeat(now, heartbeat(i, 1, 1))
	}
	answer := m.Addresses(now, "r0", "acme")
	var home []string
	for _, id := range HomeSet(m.Roster(), "acme", 3) {
		member, _ := m.Roster().Member(id)
		home = append(home, member.CallerAddr)
	}
	is.Equal(len(answer.CallerAddrs), 3+maxRegionalAddresses+maxRemoteAddresses)
	for _, addr := range home {
		is.True(slices.Index(answer.CallerAddrs, addr) < 3)
	}
	is.Equal(answer.TTL, DefaultAddressTTL)
	m.roster.HandoverComplete = false
	is.Equal(m.Addresses(now, "r0", "acme").TTL, DefaultAddressTTL/2)
	first := HomeSet(m.Roster(), "acme", 3)[0]
	m.peers[first].hasHeartbeat = false
	is.True(slices.Index(m.Addresses(now, "r0", "acme").CallerAddrs, home[0]) > 2) // silent ones come last
	for i := range 30 {
		if addr := memberOf(i).CallerAddr; addr == home[0] {
			leaving := heartbeat(i, 1, 1)
			leaving.Leaving = true
			m.OnHeartbeat(now, leaving)
		}
	}
	is.True(!slices.Contains(m.Addresses(now, "r0", "acme").CallerAddrs, home[0]))
	out := m.Leave(now)
	_, told := findOutput[SendHeartbeat](out)
	is.True(told)
	is.True(!slices.Contains(m.Addresses(now, "r0", "acme").CallerAddrs, memberOf(0).CallerAddr))
}

// Guards against heartbeats that exceed the control budget of 10 KB/s per node at
// 330 Instances, sent and received together, also while all rows change. 70 bytes
// of TCP and IP headers and RPC framing are added to each message.
func TestHeartbeatBytesStayInBudget(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(330)
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	is.NoErr(encoder.Encode(Heartbeat{})) // the type goes over a connection once
	wire.Reset()
	const rounds = 60
	messages := 0
	now := core.Instant(0)
	for round := range rounds {
		for i := 1; i < 330; i++ {
			h := heartbeat(i, 1, core.Epoch(round)) // every row changes in every round
			h.Seq = uint64(round) + 1
			m.OnHeartbeat(now, h)
		}
		for _, o := range m.sendRound(now) {
			messages++
			is.NoErr(encoder.Encode(o.(SendHeartbeat).Heartbeat))
		}
		now = now.Add(DefaultHeartbeatInterval)
	}
	quiet := m.heartbeat("i001", m.changedRows(now))
	is.Equal(len(quiet.Rows), DefaultMaxRowsPerHeartbeat)
	m.peers["i001"].digest = quiet.Digest
	is.Equal(len(m.heartbeat("i001", m.changedRows(now)).Rows), 0) // the peer has all rows
	perSecond := 2 * (wire.Len() + 70*messages) / rounds
	t.Logf("%d B/s in both directions, %d B per heartbeat", perSecond, wire.Len()/messages)
	is.True(perSecond < 10_000)
}
