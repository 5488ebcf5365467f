package router_test

import (
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Guards against load notices whose number grows with the fleet, against a peer
// that gets none, and against repeated reports of an Upstream that no longer
// responds to polls.
func TestLoadNoticesRoundRobin(t *testing.T) {
	const instances, fanout = 9, 2
	type link struct{ from, to core.InstanceID }
	notices := map[link]int{}
	var oldest time.Duration
	recording := false
	opts := virtual.Deployment(1, virtual.Sizes{
		DataCentres:          []config.DataCentre{{Name: "north-a", Region: "north", LinkMbps: 80_000}},
		Instances:            instances,
		PrefillPerDataCentre: 20,
		DecodePerDataCentre:  40,
		Accounts:             []config.ClientAccount{virtual.Account("large", 1, 50_000, 250_000)},
		Policy:               config.PolicyGoodput,
	})
	opts.Adjust = func(p *router.Params) { p.LoadFanout = fanout }
	opts.OnEffect = func(from core.InstanceRef, effect router.Effect) {
		if e, ok := effect.(router.SendPeerMessage); ok && recording && e.Message.Load != nil {
			notices[link{from.ID, e.To}]++
			for _, load := range e.Message.Load.Upstreams {
				oldest = max(oldest, load.Age)
			}
		}
	}
	w := virtual.New(opts)
	waitUntilReady(t, w)
	recording = true
	const seconds = 8 // 16 intervals of 2 notices are four rounds over 8 peers
	w.Crash(w.Upstreams()[0])
	w.RunUntil(w.Now() + seconds*time.Second)
	for _, from := range w.Instances() {
		sent := 0
		for _, to := range w.Instances() {
			if from == to {
				continue
			}
			n := notices[link{from.View().Instance.ID, to.View().Instance.ID}]
			sent += n
			if n < 3 {
				t.Errorf("%s sent %d notices to %s in four rounds", from.View().Instance.ID, n, to.View().Instance.ID)
			}
		}
		if limit := fanout * (2*seconds + 1); sent > limit {
			t.Errorf("%s sent %d notices, the limit is %d", from.View().Instance.ID, sent, limit)
		}
	}
	if limit := 1500 * time.Millisecond; oldest > limit {
		t.Errorf("a report of age %v was sent, the limit is %v", oldest, limit)
	}
}
