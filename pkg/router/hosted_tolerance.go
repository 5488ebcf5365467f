package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// toleranceContact is the time within which heartbeats of all DataCentres must have arrived. In a
// partition both sides would otherwise use the same tolerance.
const toleranceContact = time.Second

// admitWithinTolerance admits a request that is over the rate of its account, if Upstreams of its service
// are idle and the platform tolerates it (quota.Tolerance). It answers the load of an account that asks
// for more than its rate while others leave engines idle.
func (h *hosted) admitWithinTolerance(now core.Instant, rs *requestState) bool {
	account, _ := h.routing.Account(rs.account.ID)
	if h.params.QuotaTolerance.Part <= 0 || account.CountRequests || // the tolerance is stated in tokens
		!h.fleet.HearsAllDataCentres(now, toleranceContact) ||
		!h.dispatch.HasSpareCapacity(now, rs.hosted.service.Name, rs.hosted.service.Engine != nil, rs.hosted.regions()) ||
		!h.quota.AdmitWithinTolerance(now, account.ID, rs.charge) {
		return false
	}
	h.extraTokens += rs.charge
	h.record(now, "quota", "admitted within the tolerance", rs, fmt.Sprintf("tokens=%d", rs.charge))
	return true
}
