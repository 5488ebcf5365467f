package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const up = core.UpstreamID("u")

func ref(id string) core.InstanceRef {
	return core.InstanceRef{ID: core.InstanceID(id), Incarnation: 1}
}

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

func newLimiter(id string) *Limiter { return New(ref(id), rand.New(rand.NewPCG(1, 2))) }

// sentIn returns the requests that are allowed in a time when one is asked for every 5 ms.
func sentIn(l *Limiter, from, to time.Duration) int {
	sent := 0
	for d := from; d < to; d += 5 * time.Millisecond {
		if allowed, _ := l.Allow(at(d), up, 1); allowed {
			sent++
		}
	}
	return sent
}

// Guards against an Upstream that is sent more than it announces, or much less.
func TestOneInstanceKeepsToAnnouncedRate(t *testing.T) {
	is := is.New(t)
	l := newLimiter("a")
	is.Equal(sentIn(l, 0, time.Second), 200) // no limit
	is.True(l.Observe(at(time.Second), up, Announcement{Limited: true, RequestsPerSecond: 5}))
	is.True(!l.Observe(at(time.Second+1), up, Announcement{Limited: true, RequestsPerSecond: 5})) // not new
	sent := sentIn(l, 2*time.Second, 12*time.Second)
	is.True(sent >= 47 && sent <= 55)
	is.True(l.Observe(at(12*time.Second), up, Announcement{}))
	is.Equal(sentIn(l, 12*time.Second, 13*time.Second), 200)
}

// Guards against an Upstream that is never asked again because it took nothing.
func TestUpstreamThatTakesNothingIsAskedNowAndThen(t *testing.T) {
	is := is.New(t)
	l := newLimiter("a")
	l.Observe(at(0), up, Announcement{Limited: true})
	sent := sentIn(l, 0, 40*time.Second)
	is.True(sent >= 8 && sent <= 12)
}

// Guards against an Instance that follows an older announcement of a peer, or does not
// learn from peers that a limit has begun or ended.
func TestNewestAnnouncementWins(t *testing.T) {
	is := is.New(t)
	a, b := newLimiter("a"), newLimiter("b")
	a.Observe(at(0), up, Announcement{Limited: true, RequestsPerSecond: 5})
	is.Equal(b.OnPeerReports(at(time.Second), ref("a"), a.Reports(at(time.Second))), []core.UpstreamID{up})
	is.True(b.Limited(up))

	b.Observe(at(2*time.Second), up, Announcement{})
	b.OnPeerReports(at(3*time.Second), ref("a"), a.Reports(at(3*time.Second))) // 3 s old
	is.True(!b.Limited(up))
	a.OnPeerReports(at(3*time.Second), ref("b"), b.Reports(at(3*time.Second)))
	is.True(!a.Limited(up))
}

// Guards against a full rate at an Instance that hears no peer, and that may be one of two
// parts of the fleet.
func TestInstanceWithoutPeersKeepsToItsShare(t *testing.T) {
	is := is.New(t)
	l := newLimiter("a")
	l.SetInstances(at(0), 4)
	l.Observe(at(0), up, Announcement{Limited: true, RequestsPerSecond: 8})
	for _, peer := range []string{"b", "c", "d"} {
		l.OnPeerReports(at(0), ref(peer), nil)
		l.OnPeerSilent(at(0), at(0), core.InstanceID(peer))
	}
	sent := sentIn(l, 0, 20*time.Second)
	is.True(sent >= 36 && sent <= 44) // a quarter of 160
}

// Guards against requests that were saved up during a pause of the process, although peers
// have used the rate meanwhile.
func TestPauseSavesNothingUp(t *testing.T) {
	is := is.New(t)
	l := newLimiter("a")
	l.Observe(at(0), up, Announcement{Limited: true, RequestsPerSecond: 100})
	l.OnPaused(at(10 * time.Second))
	allowed, _ := l.Allow(at(10*time.Second), up, 1)
	is.True(!allowed)
}

// Guards against an Instance that learns of a limit late, after a partition, and pays for
// everything that its peers have sent before.
func TestInstanceThatLearnsLateIsNotChargedForThePast(t *testing.T) {
	is := is.New(t)
	late := newLimiter("late")
	peers := map[string]*Limiter{"b": newLimiter("b"), "c": newLimiter("c")}
	for name, peer := range peers {
		late.OnPeerReports(at(0), ref(name), nil)
		peer.Observe(at(0), up, Announcement{Limited: true, RequestsPerSecond: 5})
		is.True(sentIn(peer, 0, 60*time.Second) > 250)
	}
	for name, peer := range peers {
		late.OnPeerReports(at(60*time.Second), ref(name), peer.Reports(at(60*time.Second)))
	}
	is.True(late.Limited(up))
	is.True(sentIn(late, 60*time.Second, 66*time.Second) >= 15) // half of 30
}

// Guards against requests that are not counted because they can't be refused.
func TestChargedRequestsCount(t *testing.T) {
	is := is.New(t)
	l := newLimiter("a")
	l.Observe(at(0), up, Announcement{Limited: true, RequestsPerSecond: 5})
	l.Charge(at(time.Second), up, 50)
	is.Equal(sentIn(l, time.Second, 10*time.Second), 0)
	l.Return(at(10*time.Second), up, 50)
	is.True(sentIn(l, 10*time.Second, 11*time.Second) > 0)
}
