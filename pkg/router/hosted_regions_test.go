package router

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// regionHarness is an Instance in region r (DataCentre a) with the same Upstreams in region far
// (DataCentre z), whose names begin with "far-".
func regionHarness(t *testing.T) *hostedHarness {
	t.Helper()
	r := newHostedHarness(t)
	r.router.hosted.params.Dispatch.Regions = map[core.DataCentreName]core.RegionName{"a": "r", "z": "far"}
	params := r.router.hosted.params.Dispatch
	params.Rand, params.DataCentre = r.router.params.Rand, "a"
	r.router.hosted.dispatch = dispatch.New(params)
	for _, up := range r.upstreams {
		up.ID, up.Addr, up.DataCentre = "far-"+up.ID, "far-"+up.Addr, "z"
		r.upstreams = append(r.upstreams, up)
	}
	r.step(regionConfig(2, nil, nil))
	r.step(UpstreamsListed{Revision: storeRevision(11), Upstreams: r.upstreams})
	return r
}

// regionConfig returns a configuration whose routes and whose account allow some regions.
func regionConfig(version core.Version, routes, account []core.RegionName) RoutingReceived {
	routing := *hostedRouting(version)
	for i := range routing.Routes {
		routing.Routes[i].AllowedRegions = locality.Only(routes...)
	}
	routing.Accounts[0].AllowedRegions = locality.Only(account...)
	return RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(20 + int(version))}
}

func regions(names ...core.RegionName) []core.RegionName { return names }

func isFar(id core.UpstreamID) bool { return strings.HasPrefix(string(id), "far-") }

// Guards against a list of the account that is ignored, and against lists without a common region, or of
// unknown names, that allow anything.
func TestHostedRequestRunsInAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		name           string
		route, account []core.RegionName
		far            bool
		refusal        string
	}{
		{name: "no lists"},
		{name: "empty lists", route: regions(), account: regions()},
		{name: "route", route: regions("far"), far: true},
		{name: "account", account: regions("far", "moon"), far: true},
		{name: "both", route: regions("far", "r"), account: regions("far"), far: true},
		{name: "nothing in common", route: regions("far"), account: regions("r"), refusal: "regions: none"},
		{name: "unknown", route: regions("moon"), refusal: "regions: moon"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := regionHarness(t)
			r.step(regionConfig(3, test.route, test.account))
			r.sendRequest("1", "/once/x")
			if test.refusal != "" {
				refusal := wantEffect[Refuse](r).Refusal
				is.Equal(refusal.Code, core.CodeNoUpstream)
				is.Equal(refusal.Ran, core.NotRun)
				is.True(strings.HasSuffix(refusal.Message, test.refusal))
				return
			}
			hold := wantEffect[AcquireHold](r)
			r.grantHold(hold)
			prefill := wantEffect[StartPrefill](r)
			is.Equal(isFar(hold.Upstream), test.far)
			is.Equal(isFar(prefill.Upstream), test.far)
		})
	}
}

// Guards against a new configuration that does not apply to requests that wait, that have asked for
// a hold, that have one, or whose KV cache is where they may no longer run.
func TestHostedNewRegionsApplyBeforeTheDecodeIsSent(t *testing.T) {
	t.Run("waits", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.step(UpstreamsListed{Revision: storeRevision(12)})
		r.sendRequest("1", "/once/x")
		wantNoEffect[Refuse](r)
		r.step(regionConfig(3, regions("far"), nil))
		is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeNoUpstream)
	})
	t.Run("waits and is placed elsewhere", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		small := regionConfig(3, nil, nil)
		small.Routing.Services[0].Engine = &config.EngineProfile{Slots: 8, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
		r.step(small)
		r.sendRequest("1", "/once/x")
		wantNoEffect[AcquireHold](r) // no engine is large enough
		r.step(regionConfig(4, regions("far"), nil))
		is.True(isFar(wantEffect[AcquireHold](r).Upstream))
	})
	t.Run("asks for a hold", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.sendRequest("1", "/once/x")
		hold := wantEffect[AcquireHold](r)
		is.True(!isFar(hold.Upstream))
		r.step(regionConfig(3, nil, regions("far")))
		r.grantHold(hold)
		is.Equal(wantEffect[ReleaseHold](r).Upstream, hold.Upstream)
		is.True(isFar(wantEffect[AcquireHold](r).Upstream))
		wantNoEffect[StartPrefill](r)
	})
	t.Run("has a hold and is prefilled", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.sendRequest("1", "/once/x")
		hold := wantEffect[AcquireHold](r)
		r.grantHold(hold)
		prefill := wantEffect[StartPrefill](r)
		r.step(regionConfig(3, regions("far"), nil))
		is.Equal(wantEffect[Cancel](r).Attempt, prefill.Attempt)
		is.Equal(wantEffect[ReleaseHold](r).Upstream, hold.Upstream)
		elsewhere := wantEffect[AcquireHold](r)
		is.True(isFar(elsewhere.Upstream))
		r.completePrefill(prefill) // arrives late
		wantEffect[ReleaseKV](r)
		wantNoEffect[StartDecode](r)
		r.grantHold(elsewhere)
		decode := wantEffect[StartDecode](r)
		is.True(isFar(decode.Upstream))
		is.Equal(decode.KV, "") // the cache is not moved
	})
	t.Run("prefill engine only", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.step(UpstreamsListed{Revision: storeRevision(12), Upstreams: withoutUpstream(r.upstreams, "p1")})
		r.sendRequest("1", "/once/x")
		r.grantHold(wantEffect[AcquireHold](r))
		prefill := wantEffect[StartPrefill](r)
		is.True(isFar(prefill.Upstream))
		r.step(regionConfig(3, regions("r"), nil))
		wantEffect[Cancel](r)
		decode := wantEffect[StartDecode](r)
		is.True(!isFar(decode.Upstream))
		is.Equal(decode.SourceURL, "")
	})
	t.Run("has a hold and no other region", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.sendRequest("1", "/once/x")
		r.grantHold(wantEffect[AcquireHold](r))
		r.step(regionConfig(3, regions("moon"), nil))
		refusal := wantEffect[Refuse](r).Refusal
		is.Equal(refusal.Code, core.CodeNoUpstream)
		is.Equal(refusal.Ran, core.NotRun)
		is.Equal(len(r.router.hosted.dispatch.Loads()), 0)
	})
	t.Run("runs", func(t *testing.T) {
		is := is.New(t)
		r := regionHarness(t)
		r.sendRequest("1", "/read/x")
		call := wantEffect[StartCall](r)
		r.step(regionConfig(3, regions("far"), nil))
		wantNoEffect[Cancel](r)
		r.failAttempt("1", call.Attempt, crashFailure)
		is.True(isFar(wantEffect[StartCall](r).Upstream)) // the retry goes by the new list
	})
}

func withoutUpstream(list []catalog.Upstream, id core.UpstreamID) []catalog.Upstream {
	var rest []catalog.Upstream
	for _, up := range list {
		if up.ID != id {
			rest = append(rest, up)
		}
	}
	return rest
}

// Guards against unknown names that are logged for each request or each write of a version, or not.
func TestHostedUnknownRegionIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	r := regionHarness(t)
	logged := func(effects []Effect) int {
		n := 0
		for _, effect := range effects {
			if e, ok := effect.(Record); ok && e.Event.Kind == "unknown regions" {
				n++
				is.True(strings.Contains(e.Event.Detail, `version=3 count=1 names=["moon"]`))
			}
		}
		return n
	}
	first := regionConfig(3, regions("far", "moon"), regions("far"))
	is.Equal(logged(r.step(first)), 1)
	again := regionConfig(3, regions("far", "moon"), nil)
	again.Revision, again.Raw = storeRevision(40), []byte("again")
	is.Equal(logged(r.step(again)), 0)
	r.sendRequest("1", "/once/x")
	is.True(isFar(wantEffect[AcquireHold](r).Upstream)) // the other name stays valid
}

// Guards against an address response for a restricted host that names other regions, and against one
// for another host that is restricted.
func TestHostedAddressesOfARestrictedHost(t *testing.T) {
	is := is.New(t)
	r := regionHarness(t)
	for _, m := range []fleet.Member{
		{Ref: core.InstanceRef{ID: "far", Incarnation: 1}, DataCentre: "z", Region: "far", CallerAddr: "far:1"},
		{Ref: core.InstanceRef{ID: "other", Incarnation: 1}, DataCentre: "o", Region: "other", CallerAddr: "other:1"},
	} {
		r.step(PeerMessageReceived{From: m.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: m, State: fleet.State{Serving: true}}}})
	}
	ask := func(host string, region core.RegionName, dc core.DataCentreName) []string {
		r.step(CallerAddressesRequested{QueryID: 1, Host: host, Region: region, DataCentre: dc, Limit: 8})
		return wantEffect[CallerAddresses](r).Addresses
	}
	is.Equal(len(ask("h", "r", "a")), 3)
	r.step(regionConfig(3, regions("far"), regions("r"))) // accounts are not known to the directory
	is.Equal(ask("h", "r", "a"), []string{"", "far:1"})   // this Instance has no address here
	is.Equal(ask("h", "other", "o"), []string{"other:1", "far:1"})
	is.Equal(ask("h", "", "z"), []string{"far:1"})
	is.Equal(len(ask("another", "r", "a")), 3)
	r.step(regionConfig(4, regions("moon"), nil))
	is.Equal(len(ask("h", "elsewhere", "e")), 0)
	found := false
	for _, effect := range r.lastEffects {
		if e, ok := effect.(Record); ok && e.Event.Component == "directory" {
			found = true
		}
	}
	is.True(found) // the reason of a 503 is logged
}

// Guards against a stamp that is missing from heartbeats or does not reach the fleet.
func TestHostedHeartbeatsAreStamped(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, DataCentre: "a", Region: "r", CallerAddr: "peer:1"}
	send := func(madeAt core.Instant) {
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{
			Member: peer, State: fleet.State{Serving: true}, Liveness: &fleet.Stamp{MadeAt: madeAt},
		}}})
	}
	send(r.now)
	r.advance(time.Second)
	send(r.now)
	r.advance(200 * time.Millisecond)
	for _, effect := range r.lastEffects {
		if e, ok := effect.(SendPeerMessage); ok && e.Message.Hosted != nil {
			is.True(e.Message.Hosted.Liveness.MadeAt > core.Instant(time.Second))
		}
	}
	madeAt := r.now
	r.advance(12 * time.Second)
	send(madeAt)
	is.Equal(r.router.HostedGauges(r.now).Liveness.DelayedHeartbeats, int64(1))
	is.Equal(r.router.hosted.fleet.LiveCount(), 1)
}
