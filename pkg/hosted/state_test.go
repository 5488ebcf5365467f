package hosted

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// largeRouting returns a configuration with many routes that have random names.
func largeRouting(version core.Version, routes int) config.Routing {
	rng := rand.New(rand.NewPCG(1, 2))
	routing := plainRouting(version)
	for len(routing.Routes) < routes {
		route := routing.Routes[0]
		route.Name = fmt.Sprintf("%08x", rng.Uint32())
		route.Prefix = fmt.Sprintf("/%08x/%06x/", rng.Uint32(), rng.Uint32()>>8)
		routing.Routes = append(routing.Routes, route)
	}
	return routing
}

// Guards against a configuration that peers cannot fetch in time: half of a large fleet shares
// the link between two regions.
func TestLargeConfigurationPassesALinkBetweenRegionsInTime(t *testing.T) {
	is := is.New(t)
	const fetches, linkBitsPerSecond = 31, 60e6
	store := newFakeStore(largeRouting(7, 1400))
	d := newDaemon(t, store, zap.NewNop())
	object, _, err := store.ReadRouting(t.Context())
	is.NoErr(err)
	go d.loop(t.Context())
	d.postRouting(object, "", 0)
	for d.config.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	body, err := d.servePeer(core.InstanceRef{ID: "peer"}, string(router.StateConfig), []byte(acceptGzip))
	is.NoErr(err)
	seconds := float64(fetches*8*len(body)) / linkBitsPerSecond
	t.Logf("%d bytes, encoded %d; all fetches take %.2f s", len(object.Raw), len(body), seconds)
	is.True(seconds < peerTimeout.Seconds()/2)

	other := newDaemon(t, store, zap.NewNop())
	is.NoErr(other.applyState(router.FetchState{Kind: router.StateConfig, From: "peer"}, body))
	is.Equal((<-other.events).(router.RoutingReceived).Raw, object.Raw)
	old, err := d.servePeer(core.InstanceRef{ID: "peer"}, string(router.StateConfig), nil)
	is.NoErr(err)
	var got peerConfig
	is.NoErr(json.Unmarshal(old, &got))
	is.Equal(got.Raw, object.Raw) // an Instance of an earlier release
}
