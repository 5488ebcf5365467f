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

// newTestMembership returns Instance 0 of a fleet whose active roster has epoch 1.
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

// tickUntil ticks at each NextWake until an output of the type is returned, for at
// most a minute.
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

// Guards against a heartbeat of an earlier incarnation that overwrites the state of
// a later one.
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

// Guards against a stale read that replaces the roster by an older one.
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

// Guards against merged rows that depend on the order or number of heartbeats.
func TestRowsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawHeartbeat := rapid.Custom(func(t *rapid.T) Heartbeat {
			h := heartbeat(1, core.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")), core.Epoch(rapid.IntRange(0, 1).Draw(t, "epoch")))
			h.Leaving = rapid.Bool().Draw(t, "leaving")
			return h
		})
		heartbeats := rapid.SliceOfN(drawHeartbeat, 1, 8).Draw(t, "heartbeats")
		permuted := slices.Concat(rapid.Permutation(heartbeats).Draw(t, "order"), heartbeats[:1])
		a, b := newTestMembership(3), newTestMembership(3)
		for _, h := range heartbeats {
			a.OnHeartbeat(1, h)
		}
		for _, h := range permuted {
			b.OnHeartbeat(1, h)
		}
		if a.peers["i001"].row != b.peers["i001"].row || a.digest != b.digest {
			t.Fatalf("states differ: %v and %v", a.peers["i001"].row, b.peers["i001"].row)
		}
	})
}

// Guards against a proposal based on a store version that another Instance has
// replaced, and against repeating a write whose reply was lost.
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
	is.True(ok && at.Sub(now) >= DefaultStoreRetryInterval) // no reply at all
	written := rosterOf(2, 3)
	written.Members[1].Ref.Incarnation = 2
	m.OnRosterRead(now.Add(time.Minute), written, 2)
	_, _, ok = tickUntil[WriteRoster](m, now.Add(time.Minute))
	is.True(!ok) // the write had taken effect
}

// Guards against a thundering herd of proposals: after one event, few of 330
// Instances may propose before the first write is visible.
func TestProposalsAreSpread(t *testing.T) {
	is := is.New(t)
	var proposals []core.Instant
	for i := range 330 {
		m := New(memberOf(i), Params{Random: rand.New(rand.NewPCG(uint64(i), 3))})
		m.OnList(0, listOf(331))
		m.OnRosterRead(0, rosterOf(1, 330), 1)
		m.OnHeartbeat(0, heartbeat(330, 1, 0))
		m.scheduleProposal(0)
		proposals = append(proposals, m.proposeAt)
	}
	slices.Sort(proposals)
	concurrent := 0
	for _, t := range proposals {
		if t.Sub(proposals[0]) < 50*time.Millisecond {
			concurrent++
		}
	}
	is.True(proposals[0] >= core.Instant(minRosterAge))
	t.Logf("%d proposals within 50 ms of the first", concurrent)
	is.True(concurrent <= 20)
}

// Guards against an Instance that serves although the platform's list no longer has
// it, and against one that never starts because the list lags.
func TestUnlistedInstanceStops(t *testing.T) {
	is := is.New(t)
	m := New(memberOf(0), Params{})
	_, ok := findOutput[StopServing](m.OnList(0, listOf(3)[1:]))
	is.True(!ok) // not listed yet
	m.OnHeartbeat(0, heartbeat(1, 1, 0))
	m.OnRosterRead(0, Roster{}, 0)
	is.Equal(m.proposeAt, core.Never) // the list does not have this Instance yet
	later := memberOf(0)
	later.Ref.Incarnation = 2
	_, ok = findOutput[StopServing](New(later, Params{}).OnRosterRead(0, rosterOf(1, 3), 1))
	is.True(ok) // the roster has only the earlier incarnation
	m = newTestMembership(3)
	is.Equal(len(m.OnList(1, nil)), 0) // the platform has just started
	out := m.OnList(1, listOf(3)[1:])
	_, ok = findOutput[StopServing](out)
	is.True(ok)
	expiry, _ := findOutput[SetEntitlementExpiry](out)
	is.Equal(expiry.Until, core.Instant(1))
	_, ok = findOutput[ReadRoster](m.OnList(2, listOf(3)))
	is.True(ok) // serves again only after a read
	_, ok = findOutput[ActivateRoster](m.OnRosterRead(3, rosterOf(1, 3), 1))
	is.True(ok)
}

// Guards against the removal of a member that the lagging list lacks only briefly.
func TestUnlistedMemberIsRemovedAfterGrace(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(3)
	m.OnList(1, listOf(2))
	m.OnList(2, listOf(3))
	m.OnList(3, listOf(2))
	_, at, ok := tickUntil[WriteRoster](m, 4)
	is.True(ok)
	is.True(at.Sub(3) >= DefaultListGrace)
}

// rosterWithFormer returns a roster of epoch 2 that lacks the last of the given number
// of members and has epoch 1 as its former generation.
func rosterWithFormer(size int) Roster {
	next := rosterOf(2, size-1)
	next.FormerGenerations = []Generation{{1, size, holdersOf(rosterOf(1, size))}}
	return next
}

// Guards against entitlements that others use before their former holder has stopped.
func TestFormerHolders(t *testing.T) {
	tests := []struct {
		name          string
		heartbeats    []Heartbeat
		handoverAfter time.Duration // 0: immediately; negative: never
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
			for _, h := range test.heartbeats {
				m.OnHeartbeat(1, h)
			}
			is.Equal(m.Roster().HandoverComplete, test.handoverAfter == 0)
			if test.handoverAfter > 0 {
				m.Tick(core.Instant(test.handoverAfter))
				is.True(!m.Roster().HandoverComplete)
			}
			for _, g := range m.remainingFormerGenerations(0) {
				is.True(!slices.Contains(g.Holders, memberOf(0).Ref) || g.Epoch == 2)
			}
			m.Tick(core.Instant(10 * time.Minute))
			is.Equal(m.Roster().HandoverComplete, test.handoverAfter >= 0)
			is.Equal(len(m.remainingFormerGenerations(core.Instant(20*time.Minute))) == 1, test.handoverAfter >= 0)
		})
	}
}

// Guards against a fleet that can never use the entitlements of a generation whose
// holders were all replaced.
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

// Guards against entitlements that are used on confirmations from a minority, on
// delayed heartbeats, or for longer than EntitlementTTL after the confirmations.
func TestEntitlementsNeedEchoesFromMajority(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(5)
	m.Tick(0)
	m.Tick(core.Instant(2 * time.Second)) // round 2, which no peer has echoed yet
	echo := func(i int, epoch core.Epoch, round uint64) {
		h := heartbeat(i, 1, epoch)
		h.Echo = round
		h.EchoOf = 1
		m.OnHeartbeat(core.Instant(20*time.Second), h)
	}
	echo(1, 1, 1)
	echo(2, 2, 1) // at a later epoch
	m.OnHeartbeat(1, heartbeat(3, 1, 1))
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(0))
	echo(3, 1, 1)
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(DefaultEntitlementTTL)) // from round 1, which was sent at 0
	echo(1, 1, 2)
	echo(4, 1, 2)
	m.updateExpiry(core.Instant(20 * time.Second))
	is.Equal(m.entitlementExpiry, core.Instant(DefaultEntitlementTTL+2*time.Second))
	next := rosterOf(2, 4)
	next.Members = append(next.Members[:1], next.Members[2:]...)
	expiry, _ := findOutput[SetEntitlementExpiry](m.OnRosterRead(core.Instant(21*time.Second), next, 2))
	is.Equal(expiry.Until, core.Instant(DefaultEntitlementTTL)) // of its other members, only i003 has confirmed, in round 1
}

// Guards against a fencing wait that counts the time before half of the holders had
// stopped, because a wait for another reason had already begun.
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

// Guards against callers that are directed to a leaving Instance, and against a reply
// that does not start with the home set.
func TestAddresses(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(30)
	now := core.Instant(time.Second)
	for i := 1; i < 30; i++ {
		m.OnHeartbeat(now, heartbeat(i, 1, 1))
	}
	reply := m.Addresses(now, "r0", "acme")
	var home []string
	for _, id := range HomeSet(m.Roster(), "acme", 3) {
		member, _ := m.Roster().Member(id)
		home = append(home, member.CallerAddr)
	}
	is.Equal(len(reply.CallerAddrs), 3+maxRegionalAddresses+maxRemoteAddresses)
	for _, addr := range home {
		is.True(slices.Index(reply.CallerAddrs, addr) < 3)
	}
	is.Equal(reply.TTL, DefaultAddressTTL)
	m.roster.HandoverComplete = false
	is.Equal(m.Addresses(now, "r0", "acme").TTL, DefaultAddressTTL/2)
	first := HomeSet(m.Roster(), "acme", 3)[0]
	m.peers[first].hasHeartbeat = false
	is.True(slices.Index(m.Addresses(now, "r0", "acme").CallerAddrs, home[0]) > 2) // silent Instances come last
	for i := range 30 {
		if addr := memberOf(i).CallerAddr; addr == home[0] {
			leaving := heartbeat(i, 1, 1)
			leaving.Leaving = true
			m.OnHeartbeat(now, leaving)
		}
	}
	is.True(!slices.Contains(m.Addresses(now, "r0", "acme").CallerAddrs, home[0]))
	out := m.Leave(now)
	_, sent := findOutput[SendHeartbeat](out)
	is.True(sent)
	is.True(!slices.Contains(m.Addresses(now, "r0", "acme").CallerAddrs, memberOf(0).CallerAddr))
}

// Guards against heartbeats that exceed the control traffic budget of 10 KB/s per
// Instance in both directions together, with 330 Instances and even while all rows
// change. Each message counts 70 bytes more for TCP and IP headers and RPC framing.
func TestHeartbeatBytesStayInBudget(t *testing.T) {
	is := is.New(t)
	m := newTestMembership(330)
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	is.NoErr(encoder.Encode(Heartbeat{})) // the type is sent once per connection
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
	next := m.heartbeat("i001", m.changedRows(now))
	is.Equal(len(next.Rows), DefaultMaxRowsPerHeartbeat)
	m.peers["i001"].digest = next.Digest
	is.Equal(len(m.heartbeat("i001", m.changedRows(now)).Rows), 0) // the peer has all rows
	perSecond := 2 * (wire.Len() + 70*messages) / rounds
	t.Logf("%d B/s in both directions, %d B per heartbeat", perSecond, wire.Len()/messages)
	is.True(perSecond < 10_000)
}
