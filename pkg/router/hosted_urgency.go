package router

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// maxStatedPriority is the least urgent priority that engines know.
const maxStatedPriority = 9

// statedPriority returns the priority of a request as engines know it.
func statedPriority(priority int) int { return min(max(priority, 0), maxStatedPriority) }

// servicesWithUrgency returns the services of model engines whose requests differ in priority.
// Engines admit more urgent requests first and preempt others for them; with equal priorities
// nothing is stated, and engines treat all requests alike. The priority of an account replaces
// that of the route on routes that need a key.
func servicesWithUrgency(r *config.Routing) map[core.ServiceName]bool {
	ofAccounts := map[int]bool{}
	someInheritRoute := false
	for i := range r.Accounts {
		if account := &r.Accounts[i]; account.HasPriority {
			ofAccounts[statedPriority(account.Priority)] = true
		} else {
			someInheritRoute = true
		}
	}
	priorities := map[core.ServiceName]map[int]bool{}
	add := func(service core.ServiceName, priority int) {
		if priorities[service] == nil {
			priorities[service] = map[int]bool{}
		}
		priorities[service][priority] = true
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		needsKey := r.NeedsKeys && !route.Public
		for _, share := range route.ServiceShares {
			if !needsKey || someInheritRoute {
				add(share.Service, statedPriority(route.Priority))
			}
			for priority := range ofAccounts {
				if needsKey {
					add(share.Service, priority)
				}
			}
		}
	}
	differ := map[core.ServiceName]bool{}
	for i := range r.Services {
		if service := &r.Services[i]; service.Engine != nil && len(priorities[service.Name]) > 1 {
			differ[service.Name] = true
		}
	}
	return differ
}

// urgency returns the priority to state to the engines of a request, nil for none.
func (h *hosted) urgency(rs *requestState) *int {
	if !h.hasUrgency[rs.hosted.service.Name] {
		return nil
	}
	priority := statedPriority(h.effectivePriority(rs))
	return &priority
}
