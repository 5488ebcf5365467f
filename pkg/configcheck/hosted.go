package configcheck

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/admission"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// Place names a field of a config.Routing. The adapter of the platform knows its path in the text.
type Place struct {
	// List is the list of the entry; PlaceLimits has no index.
	List  PlaceList
	Index int
	// Field is empty for the entry itself.
	Field PlaceField
	// Element is the index in a field that is a list, and Whole for the list itself.
	Element int
}

// Whole is the Element of a Place that names a field as a whole.
const Whole = -1

// PlaceList is a list of entries of a config.Routing.
type PlaceList string

// The lists.
const (
	PlaceRoutes   PlaceList = "routes"
	PlaceServices PlaceList = "services"
	PlaceAccounts PlaceList = "accounts"
	PlaceLimits   PlaceList = "limits"
)

// PlaceField is a field of an entry. Its value is the name of the field in operators' words.
type PlaceField string

// The fields.
const (
	FieldName          PlaceField = "name"
	FieldHost          PlaceField = "host"
	FieldPrefix        PlaceField = "path prefix"
	FieldKind          PlaceField = "kind"
	FieldResumable     PlaceField = "resumption"
	FieldTimeout       PlaceField = "timeout"
	FieldTarget        PlaceField = "latency target"
	FieldEventInterval PlaceField = "event interval target"
	FieldPriority      PlaceField = "priority"
	FieldAttempts      PlaceField = "attempts"
	FieldPublic        PlaceField = "use without a key"
	FieldShares        PlaceField = "services"
	FieldRegions       PlaceField = "allowed regions"
	FieldHealthPath    PlaceField = "health path"
	FieldConnections   PlaceField = "connections"
	FieldColdRate      PlaceField = "cold rate"
	FieldColdTime      PlaceField = "cold time"
	FieldEngine        PlaceField = "engine"
	FieldKeys          PlaceField = "keys"
	FieldRate          PlaceField = "rate"
	FieldBurst         PlaceField = "burst"
	FieldUnit          PlaceField = "unit"
	FieldDefaultCost   PlaceField = "default cost"
	FieldHeaderBytes   PlaceField = "header limit"
	FieldBodyBytes     PlaceField = "body limit"
	FieldHeaderTimeout PlaceField = "header timeout"
	FieldIdleTimeout   PlaceField = "idle timeout"
)

// CheckRouting checks a configuration that the adapter of a platform has decoded, and adds the warnings
// to those of the adapter. path returns the path of a Place in the text.
func CheckRouting(r *Reporter, routing *config.Routing, path func(Place) string, o Options) *Report {
	c := routingCheck{Reporter: r, Routing: routing, path: path, o: o, regions: map[core.RegionName]bool{}}
	for _, region := range o.DataCentres {
		c.regions[region] = true
	}
	usable := c.checkRoutes()
	c.checkAccounts(usable)
	c.checkServices()
	c.checkLimits()
	return &Report{Findings: r.Findings(), Services: len(routing.Services), Accounts: len(routing.Accounts), entries: c.entries()}
}

type routingCheck struct {
	*Reporter
	*config.Routing
	path    func(Place) string
	o       Options
	regions map[core.RegionName]bool // empty if they are not known
}

// warnAt adds a warning at a field of an entry.
func (c *routingCheck) warnAt(code Code, list PlaceList, i int, field PlaceField, format string, args ...any) {
	c.Warn(code, c.path(Place{list, i, field, Whole}), format, args...)
}

// allows reports whether a Set allows a region: one of the known ones, or any if none are known.
func (c *routingCheck) allows(set locality.Set) bool {
	if !set.Restricted() {
		return true
	}
	if len(c.regions) == 0 {
		return !set.ExcludesAll()
	}
	for region := range c.regions {
		if set.Allows(region) {
			return true
		}
	}
	return false
}

// checkRoutes returns the routes that may process requests.
func (c *routingCheck) checkRoutes() []*config.HostRoute {
	type match struct{ host, prefix string }
	first := map[match]int{}
	var usable []*config.HostRoute
	for i := range c.Routes {
		route := &c.Routes[i]
		key := match{route.Host, route.Prefix}
		other, hidden := first[key]
		if hidden {
			c.warnAt(config.CodeRouteHidden, PlaceRoutes, i, FieldPrefix, "route %q never matches: %s has the same host and path prefix and stands before it",
				route.Name, c.path(Place{PlaceRoutes, other, "", Whole}))
		} else {
			first[key] = i
		}
		matches := isPossiblePrefix(route.Prefix)
		if !matches {
			c.warnAt(CodeRouteNeverMatches, PlaceRoutes, i, FieldPrefix, "route %q never matches: no accepted path begins with %.80q", route.Name, route.Prefix)
		}
		hasService := c.checkShares(route, i)
		c.checkRegions(route.AllowedRegions, PlaceRoutes, i)
		hasRegion := c.allows(route.AllowedRegions)
		if hasRegion {
			c.checkUpstreams(route, i)
		} else {
			c.warnAt(CodeRouteNoRegion, PlaceRoutes, i, FieldRegions, "route %q allows no known region", route.Name)
		}
		if route.Timeout <= 0 {
			c.warnAt(CodeTimeoutNone, PlaceRoutes, i, FieldTimeout, "route %q has no time for an attempt: its timeout is %s", route.Name, route.Timeout)
		}
		c.checkTimes(route, i)
		if !hidden && matches && hasService && hasRegion && route.Timeout > 0 {
			usable = append(usable, route)
		}
	}
	return usable
}

// isPossiblePrefix reports whether an accepted path can begin with the prefix. Paths with dot segments
// are refused; the last segment of a prefix may go on.
func isPossiblePrefix(prefix string) bool {
	if prefix == "" {
		return true
	}
	if prefix[0] != '/' || strings.ContainsAny(prefix, "? ") {
		return false
	}
	complete, err := url.PathUnescape(prefix[:strings.LastIndexByte(prefix, '/')+1])
	if err != nil {
		return false
	}
	for segment := range strings.SplitSeq(complete, "/") {
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return false
		}
	}
	return true
}

// checkShares reports whether a request of the route can get a service.
func (c *routingCheck) checkShares(route *config.HostRoute, i int) bool {
	total, usable := 0, 0
	for j, share := range route.ServiceShares {
		_, found := c.Service(share.Service)
		path := c.path(Place{PlaceRoutes, i, FieldShares, j})
		total += share.Weight
		switch {
		case !found:
			c.Warn(CodeShareNeverPicked, path, "route %q sends requests to service %q, which does not exist: they are refused", route.Name, share.Service)
		case share.Weight <= 0:
			c.Warn(CodeShareNeverPicked, path, "route %q gives service %q the weight %d, which gets nothing", route.Name, share.Service, share.Weight)
		default:
			usable += share.Weight
		}
	}
	hasService := total > 0 && usable > 0
	if !hasService {
		c.warnAt(CodeRouteNoService, PlaceRoutes, i, FieldShares, "route %q has no service: its requests are refused", route.Name)
	}
	return hasService
}

func (c *routingCheck) checkRegions(set locality.Set, list PlaceList, i int) {
	if len(c.regions) == 0 {
		return
	}
	for _, region := range set.Unknown(func(r core.RegionName) bool { return c.regions[r] }) {
		c.warnAt(CodeRegionUnknown, list, i, FieldRegions, "no data centre is in region %q", region)
	}
}

// checkUpstreams warns of a route that no registered Upstream may serve.
func (c *routingCheck) checkUpstreams(route *config.HostRoute, i int) {
	if c.o.Upstreams == nil || len(c.regions) == 0 && route.AllowedRegions.Restricted() {
		return
	}
	for _, share := range route.ServiceShares {
		service, found := c.Service(share.Service)
		if found && share.Weight > 0 && !slices.ContainsFunc(c.o.Upstreams, func(up catalog.Upstream) bool { return c.mayServe(up, service, route.AllowedRegions) }) {
			c.warnAt(CodeRouteNoUpstream, PlaceRoutes, i, FieldRegions, "no upstream of service %q is registered where route %q may run (%s)", service.Name, route.Name, route.AllowedRegions)
		}
	}
}

// mayServe reports whether an Upstream completes requests of a service in the given regions.
func (c *routingCheck) mayServe(up catalog.Upstream, service *config.HostedService, regions locality.Set) bool {
	return up.Service == service.Name && !up.Leaving && (service.Engine == nil || up.Stage != catalog.StagePrefill) &&
		regions.Allows(c.o.DataCentres[up.DataCentre])
}

func (c *routingCheck) checkTimes(route *config.HostRoute, i int) {
	for field, target := range map[PlaceField]time.Duration{FieldTarget: route.LatencyTarget, FieldEventInterval: route.EventIntervalTarget} {
		if route.Timeout > 0 && target > route.Timeout {
			c.warnAt(CodeTargetAboveTimeout, PlaceRoutes, i, field, "%s %s of route %q is above its timeout %s", field, target, route.Name, route.Timeout)
		}
	}
	switch {
	case route.MaxUpstreams <= 1:
	case !route.Idempotent():
		c.warnAt(CodeAttemptsUnused, PlaceRoutes, i, FieldAttempts, "route %q allows %d attempts, but its requests are not safe to run again", route.Name, route.MaxUpstreams)
	case !route.Streaming && route.Timeout > 0 && route.LatencyTarget >= route.Timeout:
		// A call without an answer is sent again at its latency target.
		c.warnAt(CodeAttemptsUnused, PlaceRoutes, i, FieldAttempts, "route %q allows %d attempts, but the second begins at the latency target %s and the timeout is %s",
			route.Name, route.MaxUpstreams, route.LatencyTarget, route.Timeout)
	}
}

func (c *routingCheck) checkAccounts(usable []*config.HostRoute) {
	keyed := slices.DeleteFunc(slices.Clone(usable), func(r *config.HostRoute) bool { return r.Public })
	// Most accounts have the same list of regions: the routes are filtered once for each.
	allowedRoutes := map[string][]*config.HostRoute{}
	owner := map[config.KeyDigest]core.AccountID{}
	reached := map[*config.HostRoute]bool{}
	names := map[core.AccountID]bool{}
	for i := range c.Accounts {
		account := &c.Accounts[i]
		c.checkName(names[account.ID], PlaceAccounts, i, string(account.ID))
		names[account.ID] = true
		for j, key := range account.Keys {
			if other, shared := owner[key]; shared && other != account.ID {
				c.Warn(config.CodeKeyShared, c.path(Place{PlaceAccounts, i, FieldKeys, j}), "the key is held by account %q too: the last one of the list is charged", other)
			}
			owner[key] = account.ID
		}
		if len(account.Keys) == 0 {
			c.warnAt(CodeAccountNoKey, PlaceAccounts, i, FieldKeys, "account %q has no key", account.ID)
		}
		c.checkRegions(account.AllowedRegions, PlaceAccounts, i)
		id := fmt.Sprint(account.AllowedRegions.Restricted(), account.AllowedRegions)
		routes, known := allowedRoutes[id]
		if !known {
			for _, route := range keyed {
				if c.allows(route.AllowedRegions.Intersect(account.AllowedRegions)) {
					routes = append(routes, route)
				}
			}
			allowedRoutes[id] = routes
		}
		if len(account.Keys) > 0 {
			for _, route := range routes {
				reached[route] = true
			}
		}
		switch {
		case len(keyed) == 0:
			c.warnAt(CodeAccountNoRoute, PlaceAccounts, i, "", "account %q has no route that needs its keys and can be used", account.ID)
		case len(routes) == 0:
			c.warnAt(CodeAccountNoRegion, PlaceAccounts, i, FieldRegions, "regions of account %q (%s) exclude all routes", account.ID, account.AllowedRegions)
		}
		c.checkQuota(account, i, routes)
	}
	for i := range c.Routes {
		if route := &c.Routes[i]; c.NeedsKeys && slices.Contains(keyed, route) && !reached[route] {
			c.warnAt(CodeRouteNoAccount, PlaceRoutes, i, FieldPublic, "route %q needs a key, and no account with a key may use it", route.Name)
		}
	}
}

func (c *routingCheck) checkName(used bool, list PlaceList, i int, name string) {
	if used {
		c.warnAt(config.CodeDuplicateName, list, i, FieldName, "%q is the name of another entry too: one of them has no effect", name)
	}
}

func (c *routingCheck) checkQuota(account *config.HostedAccount, i int, routes []*config.HostRoute) {
	if account.Rate < 0 || account.Burst < 0 {
		c.warnAt(CodeLimitNegative, PlaceAccounts, i, FieldRate, "account %q has a rate of %d and a burst of %d: nothing is admitted", account.ID, account.Rate, account.Burst)
		return
	}
	if account.Rate == 0 {
		if account.Burst > 0 {
			c.warnAt(CodeBurstWithoutRate, PlaceAccounts, i, FieldBurst, "account %q has a burst of %d, but a rate of 0 means no limit", account.ID, account.Burst)
		}
		return
	}
	largest, what := account.DefaultCostTokens, "a request without a count of tokens"
	if account.CountRequests {
		what = "a request"
	}
	services := map[core.ServiceName]bool{}
	allModel := true
	for _, route := range routes {
		for _, share := range route.ServiceShares {
			service, found := c.Service(share.Service)
			if !found || share.Weight <= 0 {
				continue
			}
			services[share.Service] = true
			allModel = allModel && service.Engine != nil
			if service.Engine != nil && !account.CountRequests && largest < int64(service.Engine.KVCacheTokens) {
				largest, what = int64(service.Engine.KVCacheTokens), fmt.Sprintf("the largest request that an engine of service %q takes", service.Name)
			}
		}
	}
	if account.Burst < largest {
		c.warnAt(CodeBurstBelowRequest, PlaceAccounts, i, FieldBurst, "burst %d of account %q is below the cost %d of %s", account.Burst, account.ID, largest, what)
	}
	if c.o.EngineTokens <= 0 || account.CountRequests || !allModel {
		return
	}
	engines := 0
	for _, up := range c.o.Upstreams {
		if services[up.Service] && !up.Leaving {
			engines++
		}
	}
	c.warnRate(c.path(Place{PlaceAccounts, i, FieldRate, Whole}), string(account.ID), account.Rate, engines, c.o.EngineTokens)
}

func (c *routingCheck) checkServices() {
	routed := map[core.ServiceName]bool{}
	for _, route := range c.Routes {
		for _, share := range route.ServiceShares {
			routed[share.Service] = routed[share.Service] || share.Weight > 0
		}
	}
	names := map[core.ServiceName]bool{}
	for i, service := range c.Services {
		c.checkName(names[service.Name], PlaceServices, i, string(service.Name))
		names[service.Name] = true
		if !routed[service.Name] {
			c.warnAt(CodeServiceUnused, PlaceServices, i, FieldName, "no route leads to service %q", service.Name)
		}
		if service.ColdRate > 0 && service.ColdTime <= 0 {
			c.warnAt(CodeColdRateWithout, PlaceServices, i, FieldColdRate, "service %q has a cold rate without a cold time: its upstreams are never cold", service.Name)
		}
		if service.ColdTime > 0 && service.ColdRate <= 0 {
			c.warnAt(CodeColdTimeWithout, PlaceServices, i, FieldColdTime, "service %q has a cold time without a cold rate: its upstreams are never cold", service.Name)
		}
	}
}

// checkLimits warns of a body that no Instance can hold. Only a part of the memory is for large requests.
func (c *routingCheck) checkLimits() {
	if c.o.MemoryBytes <= 0 {
		return
	}
	if most := admission.LimitsFor(c.o.MemoryBytes, 0).LargeBytes; c.Limits.BodyBytes > most {
		c.warnAt(CodeBodyAboveMemory, PlaceLimits, 0, FieldBodyBytes, "bodies of %d bytes are allowed, but an instance with %d bytes of memory holds large requests of %d bytes together",
			c.Limits.BodyBytes, c.o.MemoryBytes, most)
	}
}
