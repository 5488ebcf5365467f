package hostedsim

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// checkRegion checks that a call that arrives at an Upstream stays in the regions of its account.
func (w *Simulation) checkRegion(request *callerRequest, up core.UpstreamID, dc core.DataCentreName) {
	for _, account := range w.x.Accounts {
		if account.Name == request.account && !locality.Only(account.AllowedRegions...).Allows(w.x.DataCentres[dc]) {
			w.result.addViolation("request %s of %s reached %s in %s, allowed are %v", request.id, account.Name, up, dc, account.AllowedRegions)
		}
	}
}
