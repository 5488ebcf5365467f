package router

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// regions returns the regions in which a request may be processed.
func (hr *hostedRequest) regions() locality.Set {
	return hr.routeRegions.Intersect(hr.accountRegions)
}

// regionDetail describes the restriction of a request for the log.
func (hr *hostedRequest) regionDetail() string {
	if !hr.regions().Restricted() {
		return ""
	}
	return fmt.Sprintf(" regions=[%s] route_regions=[%s] account_regions=[%s]", hr.regions(), hr.routeRegions, hr.accountRegions)
}

// setRegions takes the regions of a request from the active configuration. A route or an account
// that no longer exists leaves its last restriction. A request of a public route belongs to no
// account.
func (h *hosted) setRegions(rs *requestState) {
	hr := rs.hosted
	if hr.route == nil {
		return
	}
	hr.routeRegions = hr.route.AllowedRegions
	if route, found := h.routing.Route(rs.request.Host, rs.request.Path); found {
		hr.routeRegions = route.AllowedRegions
	}
	if hr.route.Public || rs.request.Key == nil {
		return
	}
	if account, found := h.routing.AccountOfKey(*rs.request.Key); found {
		hr.accountRegions = account.AllowedRegions
	}
}

// updateRegions takes the regions of all requests from a new configuration, before any of them is
// placed again.
// It reports whether those of any request have changed.
func (h *hosted) updateRegions(now core.Instant) (changed bool) {
	h.logUnknownRegions(now)
	for _, rs := range h.requests {
		before := rs.hosted.regions()
		h.setRegions(rs)
		if regions := rs.hosted.regions(); !regions.Equal(before) {
			h.dispatch.SetRegions(rs.request.ID, regions)
			changed = true
		}
	}
	return changed
}

// applyRegions places the waiting requests by their new regions, and places those elsewhere that
// have a hold in a region that is excluded now. A prefill in such a region is cancelled, because its
// KV cache must not be moved. Requests whose decode or call was sent continue.
func (h *hosted) applyRegions(now core.Instant) {
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		rs := h.requests[id]
		if rs != nil && rs.hosted.stage == stagePrefill {
			h.endForeignPrefill(now, rs)
		}
	}
	h.applyDispatch(now, h.dispatch.PlaceAgain(now))
}

// endForeignPrefill cancels the prefill of a request if the region of one of its two engines is
// excluded by now, and continues without it.
func (h *hosted) endForeignPrefill(now core.Instant, rs *requestState) {
	hr := rs.hosted
	if h.dispatch.Allows(hr.regions(), hr.upstream.ID) && h.dispatch.Allows(hr.regions(), hr.prefillEngine.ID) {
		return
	}
	h.cancelAttempt(rs)
	h.dispatch.OnPrefillDone(rs.request.ID)
	hr.deliveries++ // it may have been accepted
	hr.skipPrefill = true
	h.startDecode(now, rs)
}

// giveUpForeignHold releases a hold that was granted by an engine whose region is excluded by now. It
// reports whether it did, and changes the outcome.
func (h *hosted) giveUpForeignHold(now core.Instant, rs *requestState, e *HoldResult) bool {
	if h.dispatch.Allows(rs.hosted.regions(), e.Upstream) {
		return false
	}
	h.emitReleaseHold(now, rs, ReleaseHold{Upstream: e.Upstream, Addr: e.Addr, Hold: e.Hold})
	e.Outcome = HoldForeign
	return true
}

// replaceForeignDecode places a request on another decode engine if the region of the one that has
// granted its hold is excluded by now. It reports whether it did, or has ended the request.
func (h *hosted) replaceForeignDecode(now core.Instant, rs *requestState) bool {
	hr := rs.hosted
	up := hr.upstream.ID
	if h.dispatch.Allows(hr.regions(), up) {
		return false
	}
	h.recordWithUpstream(now, "dispatch", "hold given up", rs, up, "its region is excluded"+hr.regionDetail())
	h.releaseUnusedHold(now, rs)
	hr.stage = stageRun
	rs.attempt = core.AttemptID{}
	h.retryElsewhere(now, rs, attempts.Failure{Kind: attempts.FailFull, Upstream: up, ConfirmedNotRun: true})
	return true
}

// dropForeignKV releases the KV cache of a prefill engine whose region is excluded by now: it must
// not be moved. The decode engine computes the prompt itself.
func (h *hosted) dropForeignKV(now core.Instant, rs *requestState) {
	up := rs.hosted.prefillEngine.ID
	if rs.kv == "" || h.dispatch.Allows(rs.hosted.regions(), up) {
		return
	}
	h.recordWithUpstream(now, "dispatch", "kv cache given up", rs, up, "its region is excluded"+rs.hosted.regionDetail())
	h.releaseKV(now, rs)
}

// maxLoggedRegions bounds the names in a log line. They are text of the operator.
const maxLoggedRegions = 8

// logUnknownRegions logs the region names of the configuration that are not known, once for each
// version.
func (h *hosted) logUnknownRegions(now core.Instant) {
	if h.regionsCheckedFor == h.routing.Version {
		return
	}
	h.regionsCheckedFor = h.routing.Version
	unknown := h.routing.UnknownRegions(h.isKnownRegion)
	if len(unknown) == 0 {
		return
	}
	h.recordEvent(now, "config", "unknown regions", fmt.Sprintf("version=%d count=%d names=%.40q",
		h.routing.Version, len(unknown), unknown[:min(len(unknown), maxLoggedRegions)]))
}

func (h *hosted) isKnownRegion(region core.RegionName) bool {
	if region == "" {
		return false
	}
	for _, known := range h.params.Dispatch.Regions {
		if known == region {
			return true
		}
	}
	return h.fleet.Self().Region == region
}

// onCallerAddressesRequested answers an address query. The routes of its host may restrict the
// regions: the caller's own one and those that all of these routes allow are named, and those that
// only some allow if there is no Instance elsewhere.
func (h *hosted) onCallerAddressesRequested(now core.Instant, e CallerAddressesRequested) {
	query := fleet.AddressQuery{Region: e.Region, DataCentre: e.DataCentre, Limit: e.Limit}
	if h.routing != nil {
		query.Allowed, query.Fallback = h.routing.HostRegions(e.Host)
	}
	if query.Allowed.Restricted() && query.Region == "" {
		query.Region = h.params.Dispatch.Regions[e.DataCentre]
	}
	addresses := h.fleet.Addresses(now, query)
	if len(addresses) == 0 {
		h.logEmptyAnswer(now, e, query)
	}
	h.emit(CallerAddresses{QueryID: e.QueryID, Addresses: addresses, TTL: h.params.AddressTTL})
}
