package configcheck

import (
	"fmt"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// CheckDocument checks a document of the product.
func CheckDocument(file string, content []byte, o Options) *Report {
	doc, errs := config.Parse(file, content)
	if doc == nil {
		report := &Report{}
		for _, e := range errs {
			report.Findings = append(report.Findings, Finding{
				File: e.File, Line: e.Line, Column: e.Column, Path: e.Path, Severity: SeverityError, Code: e.Code, Message: e.Message,
			})
		}
		return report
	}
	c := documentCheck{Reporter: NewReporter(NewPlaces(file, content)), doc: doc, o: o, services: map[core.ServiceName]*config.Service{}}
	for i := range doc.Services {
		c.services[doc.Services[i].Name] = &doc.Services[i]
	}
	c.checkServices()
	c.checkAccounts()
	return &Report{Findings: c.Findings(), Services: len(doc.Services), Accounts: len(doc.Accounts), entries: documentEntries(c.places, doc)}
}

type documentCheck struct {
	*Reporter
	doc      *config.Document
	o        Options
	services map[core.ServiceName]*config.Service
}

func (c *documentCheck) checkServices() {
	used := map[core.ServiceName]bool{}
	for _, account := range c.doc.Accounts {
		for _, name := range account.Services {
			used[name] = true
		}
	}
	for i := range c.doc.Services {
		service := &c.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		isPublic := func(r config.Route) bool { return r.Public }
		if !used[service.Name] && !slices.ContainsFunc(service.Routes, isPublic) {
			c.Warn(CodeServiceUnused, path+".name", "no account may use service %q, and it has no open route", service.Name)
		}
		if !used[service.Name] && slices.ContainsFunc(service.Routes, isPublic) {
			for j, route := range service.Routes {
				if !route.Public {
					c.Warn(CodeRouteNoAccount, fmt.Sprintf("%s.routes[%d].path", path, j), "the route needs a key, and no account may use service %q", service.Name)
				}
			}
		}
		if service.Kind == config.ServiceModel {
			c.checkEngines(service, path)
		}
	}
}

// checkEngines warns of engines that never get a request, since no engine of the other role serves one
// of their models in their region.
func (c *documentCheck) checkEngines(service *config.Service, path string) {
	type place struct {
		region core.RegionName
		model  core.ModelName
		role   config.Role
	}
	regions := map[core.DataCentreName]core.RegionName{}
	for _, dc := range c.doc.DataCentres {
		regions[dc.Name] = dc.Region
	}
	served := map[place]bool{}
	for _, up := range service.Upstreams {
		for _, model := range up.Models {
			if up.ServesModel(model) {
				served[place{regions[up.DataCentre], model, up.Role}] = true
			}
		}
	}
	for i, up := range service.Upstreams {
		other := config.RolePrefill
		if up.Role == config.RolePrefill {
			other = config.RoleDecode
		}
		region := regions[up.DataCentre]
		if !slices.ContainsFunc(up.Models, func(m core.ModelName) bool { return up.ServesModel(m) && served[place{region, m, other}] }) {
			c.Warn(CodeUpstreamUnused, fmt.Sprintf("%s.upstreams[%d].id", path, i),
				"engine %q gets no requests: no %s engine in region %q serves one of its models", up.ID, other, region)
		}
	}
}

func (c *documentCheck) checkAccounts() {
	for i := range c.doc.Accounts {
		account := &c.doc.Accounts[i]
		path := fmt.Sprintf("accounts[%d]", i)
		if len(account.Services) == 0 {
			c.Warn(CodeAccountNoRoute, path+".services", "account %q may use no service", account.ID)
		}
		if !slices.ContainsFunc(account.Keys, func(k config.Key) bool { return !k.Revoked }) {
			c.Warn(CodeAccountNoKey, path+".keys", "account %q has no key that is not revoked", account.ID)
		}
		c.checkBurst(account, path)
		c.checkRate(account, path)
	}
}

// smallestCompletion is the charge of a completion with a prompt of one token and without a stated
// maximum of output tokens, of which 512 are assumed (docs/callers.md).
const smallestCompletion = 513

// checkBurst warns of a burst with which requests that the account may send are never admitted.
func (c *documentCheck) checkBurst(account *config.ClientAccount, path string) {
	var largest int64
	var what string
	for _, name := range account.Services {
		service := c.services[name]
		if service.Kind == config.ServiceModel && largest < smallestCompletion {
			largest, what = smallestCompletion, fmt.Sprintf("a completion of service %q without max_tokens costs %d or more", name, smallestCompletion)
		}
		for _, route := range service.Routes {
			if !route.Public && largest < route.CostTokens {
				largest, what = route.CostTokens, fmt.Sprintf("a request to %s costs %d", route.Path, route.CostTokens)
			}
		}
	}
	if account.BurstTokens < largest {
		c.Warn(CodeBurstBelowRequest, path+".burst_tokens", "burst of %d tokens of account %q: %s", account.BurstTokens, account.ID, what)
	}
}

func (c *documentCheck) checkRate(account *config.ClientAccount, path string) {
	engines := 0
	for _, name := range account.Services {
		service := c.services[name]
		if service.Kind != config.ServiceModel {
			return // what plain services take is not known
		}
		engines += len(service.Upstreams)
	}
	c.warnRate(path+".rate_tokens_per_second", string(account.ID), account.RateTokensPerSecond, engines, c.o.EngineTokens)
}

// warnRate warns of a rate that all engines together cannot serve.
func (r *Reporter) warnRate(path, account string, rate int64, engines int, engineTokens int64) {
	if served := int64(engines) * engineTokens; served > 0 && rate > served {
		r.Warn(CodeRateAboveEngines, path, "rate of %d tokens/s of account %q: the %d engines that it may use serve %d", rate, account, engines, served)
	}
}

// documentEntries returns the entries of a document.
func documentEntries(places *Places, doc *config.Document) *entries {
	e := newEntries(places)
	e.add(entry{entryID: entryID{kindDocument, ""}, fields: []entryField{
		text("environment", "environment", doc.Environment), text("store region", "store_region", doc.StoreRegion),
		text("credential for upstreams", "upstream_credential", doc.UpstreamCredential), text("keys of stream positions", "resume_keys", doc.ResumeKeys),
	}})
	for i, dc := range doc.DataCentres {
		e.add(entry{entryID: entryID{kindDataCentre, string(dc.Name)}, list: "data_centres", path: fmt.Sprintf("data_centres[%d]", i), fields: []entryField{
			text("region", "region", dc.Region), integer("link rate", "link_mbps", dc.LinkMbps),
		}})
	}
	for i := range doc.Services {
		e.addService(&doc.Services[i], fmt.Sprintf("services[%d]", i))
	}
	for i := range doc.Accounts {
		e.addAccount(&doc.Accounts[i], fmt.Sprintf("accounts[%d]", i))
	}
	return e
}

func (e *entries) addService(s *config.Service, path string) {
	id := entryID{kindService, string(s.Name)}
	e.add(entry{entryID: id, list: "services", path: path, fields: []entryField{
		text("kind", "kind", s.Kind), text("models", "models", s.Models), text("policy", "policy", s.Policy), text("partition policy", "on_partition", s.PartitionPolicy),
		integer("first-token target", "targets.first_token_ms", s.Targets.FirstTokenMS),
		integer("between-tokens target", "targets.between_tokens_ms", s.Targets.BetweenTokensMS),
	}})
	for i, up := range s.Upstreams {
		desired := ""
		if up.DesiredState != nil {
			desired = fmt.Sprint(*up.DesiredState)
		}
		e.add(entry{entryID: entryID{kindUpstream, string(up.ID)}, owner: id, list: "upstreams", path: fmt.Sprintf("%s.upstreams[%d]", path, i), fields: []entryField{
			text("service", "", s.Name), text("address", "url", up.URL).withEffect(effectAddress), text("role", "role", up.Role),
			text("data centre", "data_centre", up.DataCentre), integer("slots", "slots", up.Slots), text("models", "models", up.Models),
			text("fencing", "checks_fencing", up.ChecksFencing), text("desired state", "serve", desired),
		}})
	}
	for i, route := range s.Routes {
		e.add(entry{entryID: entryID{kindRoute, string(s.Name) + fmt.Sprint(route.Methods) + route.Path}, owner: id, list: "routes", path: fmt.Sprintf("%s.routes[%d]", path, i), fields: []entryField{
			text("use without a key", "open", route.Public), text("retry", "idempotent", route.Idempotent), integer("cost", "cost_tokens", route.CostTokens),
		}})
	}
}

func (e *entries) addAccount(a *config.ClientAccount, path string) {
	id := entryID{kindAccount, string(a.ID)}
	e.add(entry{entryID: id, list: "accounts", path: path, fields: []entryField{
		integer("weight", "weight", a.Weight), integer("priority", "priority", a.Priority), text("services", "services", a.Services),
		limit(limitRate, "rate_tokens_per_second", a.RateTokensPerSecond), limit(limitBurst, "burst_tokens", a.BurstTokens),
	}})
	for i, key := range a.Keys {
		secret := entryField{name: "secret", path: "digest", value: fmt.Sprint(key.Salt, key.Digest), isSecret: true}
		e.add(entry{entryID: entryID{kindKey, string(a.ID) + "." + string(key.ID)}, owner: id, list: "keys", path: fmt.Sprintf("%s.keys[%d]", path, i), fields: []entryField{
			secret, text("revocation", "revoked", key.Revoked).withEffect(effectState),
		}})
	}
}
