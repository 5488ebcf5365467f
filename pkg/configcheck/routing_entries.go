package configcheck

import (
	"fmt"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// entries returns the entries of the configuration.
func (c *routingCheck) entries() *entries {
	e := newEntries(c.places)
	limits := c.fields(PlaceLimits, 0)
	e.add(entry{entryID: entryID{kindDocument, ""}, fields: []entryField{
		limits(FieldHeaderBytes, c.Limits.HeaderBytes), limits(FieldBodyBytes, c.Limits.BodyBytes),
		limits(FieldHeaderTimeout, c.Limits.HeaderTimeout), limits(FieldIdleTimeout, c.Limits.IdleTimeout),
		text("need of keys", c.path(Place{PlaceAccounts, Whole, "", Whole}), c.NeedsKeys).withEffect(effectNeed),
	}})
	for i := range c.Routes {
		e.addRoute(c, i, &c.Routes[i])
	}
	for i, s := range c.Services {
		field := c.fields(PlaceServices, i)
		engine := "none"
		if s.Engine != nil {
			engine = fmt.Sprintf("%+v", *s.Engine)
		}
		e.add(c.entry(kindService, string(s.Name), PlaceServices, i, field(FieldHealthPath, s.HealthPath), field(FieldConnections, s.MaxConnections),
			field(FieldColdRate, s.ColdRate), field(FieldColdTime, s.ColdTime), field(FieldEngine, engine)))
	}
	for i := range c.Accounts {
		e.addHostedAccount(c, i, &c.Accounts[i])
	}
	return e
}

func (e *entries) addRoute(c *routingCheck, i int, r *config.HostRoute) {
	field := c.fields(PlaceRoutes, i)
	e.add(c.entry(kindRoute, r.Host+r.Prefix, PlaceRoutes, i, field(FieldName, r.Name), field(FieldKind, r.RetrySafety, r.Streaming), field(FieldResumable, r.Resumable),
		field(FieldTimeout, r.Timeout), field(FieldTarget, r.LatencyTarget), field(FieldEventInterval, r.EventIntervalTarget), field(FieldPriority, r.Priority),
		field(FieldAttempts, r.MaxUpstreams), field(FieldPublic, r.Public), field(FieldShares, r.ServiceShares),
		field(FieldRegions, r.AllowedRegions).withEffect(effectRegions)))
}

func (e *entries) addHostedAccount(c *routingCheck, i int, a *config.HostedAccount) {
	field := c.fields(PlaceAccounts, i)
	rate, burst := field(FieldRate, a.Rate), field(FieldBurst, a.Burst)
	rate.limit, rate.number = limitRate, a.Rate
	burst.limit, burst.number = limitBurst, a.Burst
	priority := "of the route"
	if a.HasPriority {
		priority = fmt.Sprint(a.Priority)
	}
	owner := c.entry(kindAccount, string(a.ID), PlaceAccounts, i, rate, burst, field(FieldUnit, map[bool]string{true: "requests", false: "tokens"}[a.CountRequests]),
		field(FieldDefaultCost, a.DefaultCostTokens), field(FieldPriority, priority), field(FieldRegions, a.AllowedRegions).withEffect(effectRegions))
	e.add(owner)
	for j, key := range a.Keys {
		// Keys have no names. A part of the digest tells them apart in both versions, and says nothing about the key.
		name := fmt.Sprintf("#%x", key[:4])
		e.add(entry{
			entryID: entryID{kindKey, name}, label: name + " of account " + string(a.ID), owner: owner.entryID,
			list: relative(owner.path, c.path(Place{PlaceAccounts, i, FieldKeys, Whole})), path: c.path(Place{PlaceAccounts, i, FieldKeys, j}),
			fields: []entryField{text("account", "", a.ID).withEffect(effectAccount)},
		})
	}
}

func (c *routingCheck) entry(k kind, name string, list PlaceList, i int, fields ...entryField) entry {
	return entry{entryID: entryID{k, name}, list: c.path(Place{list, Whole, "", Whole}), path: c.path(Place{list, i, "", Whole}), fields: fields}
}

// fields returns a function that makes the fields of an entry.
func (c *routingCheck) fields(list PlaceList, i int) func(field PlaceField, values ...any) entryField {
	whole := c.path(Place{list, i, "", Whole})
	if list == PlaceLimits {
		whole = ""
	}
	return func(field PlaceField, values ...any) entryField {
		f := text(string(field), relative(whole, c.path(Place{list, i, field, Whole})), values[0])
		for _, value := range values[1:] {
			f.value += fmt.Sprint(" ", value)
		}
		return f
	}
}

// relative returns the path of a field below an entry.
func relative(entry, path string) string {
	if len(path) <= len(entry) || entry == "" {
		return path
	}
	return path[len(entry)+1:]
}
