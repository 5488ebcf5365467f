package fleet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// stampedHeartbeat delivers a heartbeat of a peer whose clock began at started.
func stampedHeartbeat(f *Fleet, now, madeAt, started core.Instant, m Member) bool {
	return f.OnStampedHeartbeat(now, m, State{Serving: true}, &Stamp{MadeAt: core.Instant(madeAt.Sub(started))})
}

// twoPeers returns a Fleet that has heard two peers until now, whose clocks began at started.
func twoPeers(started core.Instant) (f *Fleet, peers []Member, now core.Instant) {
	f = New(member(0, "a", "r"), Params{})
	f.SetState(State{Serving: true})
	peers = []Member{member(1, "b", "r"), member(2, "b", "r")}
	for now = started; now < started.Add(3*time.Second); now = now.Add(150 * time.Millisecond) {
		for _, m := range peers {
			stampedHeartbeat(f, now, now, started, m)
		}
		f.Tick(now)
	}
	return f, peers, now
}

var queryB = AddressQuery{Region: "r", DataCentre: "b", Limit: 64}

// Guards against a dead peer that is named again because the heartbeats that it had sent before it
// ended arrive when a partition heals, while another one lives.
func TestDelayedHeartbeatsReviveNoDeadPeer(t *testing.T) {
	for _, cut := range []time.Duration{5 * time.Second, 20 * time.Second, 5 * time.Minute} {
		is := is.New(t)
		started := core.Instant(time.Hour)
		f, peers, now := twoPeers(started)
		is.Equal(f.Addresses(now, queryB), []string{"10.0.0.1:80", "10.0.0.2:80"})
		cutAt := now
		for ; now < cutAt.Add(cut); now = now.Add(150 * time.Millisecond) {
			f.Tick(now)
		}
		// The first peer has ended 2 s after the cut. What it sent arrives now, one by one.
		for madeAt := cutAt; madeAt < cutAt.Add(2*time.Second); madeAt = madeAt.Add(150 * time.Millisecond) {
			now = now.Add(2 * time.Millisecond)
			stampedHeartbeat(f, now, madeAt, started, peers[0])
		}
		healed := now
		for ; now < healed.Add(30*time.Second); now = now.Add(150 * time.Millisecond) {
			stampedHeartbeat(f, now, now, started, peers[1])
			f.Tick(now)
			named := f.Addresses(now, queryB)
			if slices.Contains(named, "10.0.0.1:80") {
				is.True(now.Sub(cutAt.Add(2*time.Second)) <= f.params.ContactTime+3*time.Second) // for no longer than it may
			}
			if now > healed.Add(time.Second) {
				is.True(slices.Contains(named, "10.0.0.2:80"))
			}
		}
	}
}

// Guards against the heartbeats of an incarnation that was never heard before and ended during a
// partition: there is no earlier one to compare them with.
func TestDelayedFirstHeartbeatsNameNobody(t *testing.T) {
	is := is.New(t)
	started := core.Instant(time.Hour)
	f, peers, now := twoPeers(started)
	restarted := peers[0]
	restarted.Ref.Incarnation++
	cutAt := now
	now = now.Add(30 * time.Second)
	for madeAt := cutAt; madeAt < cutAt.Add(2*time.Second); madeAt = madeAt.Add(150 * time.Millisecond) {
		now = now.Add(2 * time.Millisecond)
		stampedHeartbeat(f, now, madeAt, cutAt, restarted)
		stampedHeartbeat(f, now, now, started, peers[1])
		is.Equal(f.Addresses(now, queryB)[0], "10.0.0.2:80")
	}
}

// Guards against a dead peer that a member of its DataCentre vouches for again, after it has ceased to
// report the loss and the receiver has missed the reports.
func TestVoucherRevivesNoDeadPeer(t *testing.T) {
	is := is.New(t)
	f := New(member(0, "a", "r"), Params{SilenceTimeout: time.Minute, RemovalTimeout: 2 * time.Minute})
	f.SetState(State{Serving: true})
	dead, live := member(1, "b", "r"), member(2, "b", "r")
	started := core.Instant(time.Hour)
	send := func(now core.Instant, m Member, vouches bool) {
		f.OnStampedHeartbeat(now, m, State{Serving: true}, &Stamp{MadeAt: core.Instant(now.Sub(started)), Vouches: vouches})
	}
	now := started
	for ; now < started.Add(time.Second); now = now.Add(150 * time.Millisecond) {
		send(now, dead, false)
		send(now, live, true)
	}
	for end := now.Add(20 * time.Second); now < end; now = now.Add(time.Second) {
		send(now, live, true)
		is.Equal(len(f.Addresses(now, queryB)), 2) // vouched for
	}
	now = now.Add(3 * time.Second)
	for range 5 {
		now = now.Add(time.Second)
		send(now, live, true)
		is.Equal(f.Addresses(now, queryB), []string{"10.0.0.2:80", "10.0.0.0:80"})
	}
}

// Guards against live peers that are not named because the clock of their machine runs faster or
// slower, and against names that are missing for long after a peer was suspended or has restarted.
func TestClockOfAPeerDoesNotMatter(t *testing.T) {
	for _, drift := range []float64{-5e-4, 0, 5e-4} {
		is := is.New(t)
		f := New(member(0, "a", "r"), Params{})
		start := core.Instant(time.Hour)
		m := member(1, "b", "r")
		for d := time.Duration(0); d < 20*time.Minute; d += 150 * time.Millisecond {
			jitter := d % 7 * time.Millisecond
			stamp := &Stamp{MadeAt: core.Instant(5 + float64(d)*(1+drift))}
			is.True(f.OnStampedHeartbeat(start.Add(d+jitter), m, State{Serving: true}, stamp))
			if d > time.Second {
				is.True(f.isAlive(start.Add(d+jitter), f.peers[m.Ref.ID]))
				is.True(start.Add(d).Sub(f.peers[m.Ref.ID].life.aliveAt) < 200*time.Millisecond)
			}
		}
	}
}

// livenessFleet is a fleet of Instances in DataCentres, whose heartbeats arrive after 30 ms. Only the
// first two, the observers, process heartbeats of other DataCentres and mark peers as silent.
type livenessFleet struct {
	now     core.Instant
	members []Member
	index   map[core.InstanceID]int
	fleets  []*Fleet
	started []core.Instant
	dead    []bool
	cut     int // receives nothing and sends nothing, -1 for none
	late    []func()
}

func newLivenessFleet(n, dataCentres int) *livenessFleet {
	l := &livenessFleet{now: core.Instant(time.Hour), cut: -1, index: map[core.InstanceID]int{}}
	for i := range n {
		l.members = append(l.members, member(i, core.DataCentreName(fmt.Sprintf("dc%d", i%dataCentres)), "r"))
		l.members[i].CallerAddr = string(l.members[i].Ref.ID)
		l.started = append(l.started, l.now.Add(-time.Duration(i)*time.Second)) // clocks differ
		l.dead = append(l.dead, false)
		l.index[l.members[i].Ref.ID] = i
	}
	for i := range n {
		f := New(l.members[i], Params{})
		f.SetState(State{Serving: true})
		l.fleets = append(l.fleets, f)
		f.OnMemberList(l.now, l.members)
	}
	return l
}

// run advances the fleet and calls check after each step. Heartbeats over a cut link arrive when it
// heals, as those in the buffers of a connection do.
func (l *livenessFleet) run(d time.Duration, check func()) {
	const latency = 30 * time.Millisecond
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(150 * time.Millisecond) {
		if l.cut < 0 {
			for _, deliver := range l.late {
				deliver()
			}
			l.late = nil
		}
		for i, f := range l.fleets {
			if l.dead[i] {
				continue
			}
			if i < 2 {
				f.Tick(l.now)
			}
			madeAt := l.now.Add(-latency)
			due := slices.DeleteFunc(f.DueHeartbeats(l.now), func(to Member) bool {
				return l.index[to.Ref.ID] > 1 && to.DataCentre != l.members[i].DataCentre
			})
			if len(due) == 0 {
				continue
			}
			stamp := f.Stamp(madeAt)
			stamp.MadeAt = core.Instant(madeAt.Sub(l.started[i]))
			for _, to := range due {
				k := l.index[to.Ref.ID]
				deliver := func() { l.fleets[k].OnStampedHeartbeat(l.now, l.members[i], State{Serving: true}, stamp) }
				if i == l.cut || k == l.cut {
					l.late = append(l.late, deliver)
					continue
				}
				deliver()
			}
		}
		if check != nil {
			check()
		}
	}
}

// Guards against dead Instances that are named for longer than contact_ms + 3 s in a large fleet,
// where each peer is heard every 9 s: after single losses and mass losses, at an Instance that was
// always connected and at one that was cut off meanwhile. Guards also against live Instances that
// most answers leave out.
func TestDeadInstancesAreNotNamedForLong(t *testing.T) {
	for _, test := range []struct{ n, dataCentres, killEvery int }{
		{8, 4, 7}, {84, 5, 2}, {330, 5, 110},
	} {
		t.Run(fmt.Sprintf("%d by %d", test.n, test.killEvery), func(t *testing.T) {
			is := is.New(t)
			l := newLivenessFleet(test.n, test.dataCentres)
			l.run(22*time.Second, nil)
			var diedAt core.Instant
			var cutUntil core.Instant
			answers, named := 0, 0
			check := func() {
				for _, observer := range []int{0, 1} {
					if l.cut == observer || l.now < cutUntil.Add(defaultContactTime) && observer == 1 {
						continue // not connected
					}
					var found []string
					for dc := range test.dataCentres {
						found = append(found, l.fleets[observer].Addresses(l.now, AddressQuery{Region: "r", DataCentre: core.DataCentreName(fmt.Sprintf("dc%d", dc)), Limit: 400})...)
					}
					for i, m := range l.members {
						found := slices.Contains(found, m.CallerAddr)
						if l.dead[i] && found && l.now.Sub(diedAt) > defaultContactTime+3*time.Second {
							t.Fatalf("%s names %s %s after its death", l.members[observer].Ref.ID, m.Ref.ID, l.now.Sub(diedAt))
						}
						if !l.dead[i] && i > 1 {
							answers++
							if found {
								named++
							}
						}
					}
				}
			}
			l.run(2*time.Second, check)
			is.True(float64(named) > 0.95*float64(answers))
			l.cut = 1
			l.run(time.Second, nil)
			diedAt = l.now
			for i := 2; i < test.n; i += test.killEvery {
				l.dead[i] = true
			}
			l.run(11*time.Second, check)
			l.cut, cutUntil = -1, l.now
			l.run(8*time.Second, check)
			t.Logf("live Instances named: %.3f of the answers", float64(named)/float64(answers))
			is.True(float64(named) > 0.8*float64(answers))
		})
	}
}

// Guards against an answer that names a region which is neither the caller's nor allowed, against an
// order other than nearest first, and against an empty answer while an Instance runs there.
func TestAddressesInAllowedRegions(t *testing.T) {
	is := is.New(t)
	f := New(member(0, "a", "r"), Params{})
	f.SetState(State{Serving: true})
	now := core.Instant(time.Second)
	for i, place := range []struct {
		dc     core.DataCentreName
		region core.RegionName
	}{{"a", "r"}, {"c", "far"}, {"d", "far"}, {"e", "other"}} {
		deliverHeartbeat(t, f, now, member(i+1, place.dc, place.region))
	}
	ask := func(region core.RegionName, dc core.DataCentreName, allowed, fallback locality.Set) []string {
		return f.Addresses(now, AddressQuery{Region: region, DataCentre: dc, Limit: 64, Allowed: allowed, Fallback: fallback})
	}
	far, none := locality.Only("far"), locality.Only("x").Intersect(locality.Only("y"))
	is.Equal(ask("r", "a", far, far), []string{"10.0.0.0:80", "10.0.0.1:80"})
	is.Equal(ask("other", "e", far, far), []string{"10.0.0.4:80", "10.0.0.2:80", "10.0.0.3:80"})
	is.Equal(ask("other", "e", none, none), []string{"10.0.0.4:80"})
	is.Equal(ask("nowhere", "n", far, far), []string{"10.0.0.2:80", "10.0.0.3:80"})
	is.Equal(ask("nowhere", "n", none, far), []string{"10.0.0.2:80", "10.0.0.3:80"}) // routes that disagree
	is.Equal(len(ask("nowhere", "n", none, none)), 0)
	is.Equal(len(ask("", "", locality.Only(""), locality.Only(""))), 0)
	now = now.Add(time.Minute)
	f.Tick(now.Add(-55 * time.Second)) // all are silent
	is.Equal(len(ask("nowhere", "n", far, far)), 1)
	is.Equal(ask("nowhere", "n", locality.Set{}, locality.Set{}), []string{"10.0.0.0:80"})
}

// Guards against an Instance that never vouches, or reports the same losses forever, because the store
// still lists Instances that ended long ago.
func TestListedButUnheardPeersAreNotReported(t *testing.T) {
	is := is.New(t)
	l := newLivenessFleet(330, 5)
	stamp := l.fleets[0].Stamp(l.now.Add(5 * time.Second))
	is.True(stamp.Vouches)
	is.Equal(len(stamp.Lost), 0)
}

// Guards against stamps that exceed the bytes that control work may send.
func TestStampIsSmall(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	stamp := Stamp{MadeAt: core.Instant(90 * 24 * time.Hour), Vouches: true}
	is.NoErr(encoder.Encode(stamp))
	buffer.Reset() // without the description of the type, which a connection sends once
	is.NoErr(encoder.Encode(stamp))
	t.Logf("%d B", buffer.Len())
	is.True(buffer.Len() <= 24)
	for range maxLostPeers {
		stamp.Lost = append(stamp.Lost, LostPeer{Ref: core.InstanceRef{ID: "instance-0000000", Incarnation: 1796540000000}, Age: 5 * time.Second})
	}
	buffer.Reset()
	is.NoErr(encoder.Encode(stamp))
	t.Logf("%d B with %d lost peers", buffer.Len(), maxLostPeers)
	is.True(buffer.Len() <= 1300)
}

func BenchmarkStampAndVouchers(b *testing.B) {
	l := newLivenessFleet(330, 5)
	l.run(20*time.Second, nil)
	stamp := l.fleets[1].Stamp(l.now)
	stamp.MadeAt = core.Instant(l.now.Sub(l.started[1]))
	b.ResetTimer()
	for b.Loop() {
		l.fleets[0].Stamp(l.now)
		l.fleets[0].OnStampedHeartbeat(l.now, l.members[1], State{Serving: true}, stamp)
	}
}
