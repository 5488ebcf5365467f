package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against requests that all choose the same engine because neither a reply nor a
// report contains the first one yet, and against tentative load that stays after the
// reservation was denied or the job was cancelled.
func TestPendingReservationsCountAsLoad(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(2, 2, PolicyFair)
	other := Member{Ref: core.InstanceRef{ID: "i7", Incarnation: 1}, DataCentre: "east"}
	p.SetMembers(0, []Member{other})
	requests := map[core.UpstreamID]ReserveRequest{}
	for _, id := range []string{"r1", "r2"} {
		q := p.Submit(0, chatJob(id, 1000, core.Never))[0].(SendReserveRequest).Request
		requests[q.Upstream] = q
	}
	is.Equal(len(requests), 2)
	prefills := map[core.UpstreamID]bool{}
	for _, q := range requests {
		prefills[p.jobs[q.ID].tentativePrefill.ID] = true
	}
	is.Equal(len(prefills), 2)
	p.CancelPending(1, requests["d0"].ID)
	is.Equal(p.engines["d0"].usedSlots(), 0)
	p.OnReserveReply(1, ReserveReply{Nonce: requests["d1"].Nonce, ID: requests["d1"].ID, Upstream: "d1", FreeIn: time.Second})
	is.Equal(p.engines["d1"].usedSlots(), 0) // denied, then requested at d0 instead
	is.Equal(p.engines["d0"].usedSlots(), 1)
}

// Guards against long queues at prefill engines: the fair queue can't reorder the requests
// there, and they are cancelled when they have waited for too long.
func TestPrefillEnginesGetNoLongQueue(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 100, PolicyFair)
	placed := 0
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		placed += len(p.Submit(0, chatJob(id, 16_000, core.Never))) // 0.8 s each on one of three engines
	}
	is.True(placed >= 3)
	is.True(placed <= 6)
	is.True(len(p.Tick(core.Instant(900*ms))) > 0) // the engines have completed their prefills
}

// Guards against pairs in two DataCentres, which load two links, when the only drawback of
// a pair in one DataCentre is a short queue.
func TestNearPrefillEnginesArePreferred(t *testing.T) {
	is := is.New(t)
	p := New(core.InstanceRef{ID: "i0", Incarnation: 1}, "east", Params{Rand: newRand(3)})
	top := fleet(21, 100)
	for i := range top.DataCentres {
		top.DataCentres[i].LinkMbps = 40_000 // 1,000 tokens take 26 ms
	}
	p.SetTopology(0, top)
	for k := range 12 {
		now := core.Instant(k+1) * core.Instant(time.Second)
		for _, e := range p.engines {
			report := LoadReport{Slots: 100, ObservedAt: now, Leaving: e.Role == RoleDecode && e.DataCentre == "west"}
			if e.Role == RolePrefill && e.DataCentre == "east" {
				report.QueuedTokens = 200 // 10 ms
			}
			p.OnLoadReport(now, e.ID, report)
		}
		place := onlyPlacement(t, p.Submit(now, chatJob("r", 1000, core.Never)))
		is.Equal(p.engines[place.Prefill].DataCentre, core.DataCentreName("east"))
	}
}
