package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// defaultTargets are the design targets: 1.9 s to the first token and 37 ms between
// tokens.
var defaultTargets = Targets{FirstTokenMS: 1900, BetweenTokensMS: 37}

func (p *parser) service(f field) Service {
	o, ok := f.object("name", "kind", "models", "targets", "upstreams", "routes", "on_partition", "policy")
	if !ok {
		return Service{}
	}
	service := Service{
		Name:            core.ServiceName(o.required("name").name()),
		Kind:            ServiceKind(o.required("kind").oneOf(string(ServiceModel), string(ServicePlain))),
		PartitionPolicy: PartitionPolicy(o.member("on_partition").oneOf(string(PartitionRefuse), string(PartitionServe))),
		Policy:          Policy(o.member("policy").oneOf(string(PolicyGoodput), string(PolicyFair))),
	}
	if service.Name != "" {
		checkUnique(o.member("name"), p.services, service.Name, "service")
	}
	switch service.Kind {
	case ServicePlain:
		p.plainService(o, &service)
	case ServiceModel:
		p.modelService(o, &service)
	}
	return service
}

// rejectFields reports members that a service of this kind may not have.
func (o object) rejectFields(kind ServiceKind, names ...string) {
	for _, name := range names {
		if f := o.member(name); f.present {
			f.fail(CodeMisplacedField, "a %s service has no %s", kind, name)
		}
	}
}

func (p *parser) modelService(o object, service *Service) {
	o.rejectFields(ServiceModel, "routes")
	service.Models = p.serviceModels(o.required("models"))
	service.Targets = readTargets(o.member("targets"))
	for _, element := range o.required("upstreams").list(maxUpstreams) {
		service.Upstreams = append(service.Upstreams, p.upstream(element, service))
	}
	if o.member("upstreams").present {
		p.checkRoles(o.member("upstreams"), service)
	}
}

func (p *parser) serviceModels(f field) []core.ModelName {
	var list []core.ModelName
	for _, element := range f.list(maxModels) {
		text, ok := element.matchPattern(modelPattern, maxModelLength, modelRule)
		if !ok {
			continue
		}
		checkUnique(element, p.models, core.ModelName(text), "model")
		list = append(list, core.ModelName(text))
	}
	if f.present && len(list) == 0 {
		f.fail(CodeEmptyList, "a model service needs at least one model")
	}
	return list
}

func readTargets(f field) Targets {
	if !f.present {
		return defaultTargets
	}
	o, ok := f.object("first_token_ms", "between_tokens_ms")
	if !ok {
		return defaultTargets
	}
	return Targets{
		FirstTokenMS:    o.member("first_token_ms").integer(defaultTargets.FirstTokenMS, 1, maxMilliseconds),
		BetweenTokensMS: o.member("between_tokens_ms").integer(defaultTargets.BetweenTokensMS, 1, maxMilliseconds),
	}
}

// checkRoles reports models that no region can serve. The KV cache is not transferred
// between regions, so one region must have both a prefill and a decode engine.
func (p *parser) checkRoles(f field, service *Service) {
	for _, role := range []Role{RolePrefill, RoleDecode} {
		found := slices.ContainsFunc(service.Upstreams, func(u Upstream) bool { return u.Role == role })
		if !found {
			f.fail(CodeNoEngine, "service %q has no %s engine", service.Name, role)
			return
		}
	}
	for _, model := range service.Models {
		prefill := p.regionsOf(service, model, RolePrefill)
		decode := p.regionsOf(service, model, RoleDecode)
		if slices.Contains(prefill, "") || slices.Contains(decode, "") {
			continue // the unknown data centre has its own finding
		}
		if !slices.ContainsFunc(decode, func(r core.RegionName) bool { return slices.Contains(prefill, r) }) {
			f.fail(CodeNoEngine, "no region has both a prefill and a decode engine for model %q", model)
		}
	}
}

func (p *parser) regionsOf(service *Service, model core.ModelName, role Role) []core.RegionName {
	var regions []core.RegionName
	for _, up := range service.Upstreams {
		if up.Role == role && up.ServesModel(model) {
			regions = append(regions, p.dataCentres[up.DataCentre])
		}
	}
	return regions
}

func (p *parser) plainService(o object, service *Service) {
	o.rejectFields(ServicePlain, "models", "targets")
	upstreams := o.required("upstreams")
	for _, element := range upstreams.list(maxUpstreams) {
		service.Upstreams = append(service.Upstreams, p.upstream(element, service))
	}
	if upstreams.present && len(service.Upstreams) == 0 {
		upstreams.fail(CodeEmptyList, "service %q has no upstream", service.Name)
	}
	routes := o.required("routes")
	for _, element := range routes.list(maxRoutes) {
		service.Routes = append(service.Routes, p.route(element))
	}
	if routes.present && len(service.Routes) == 0 {
		routes.fail(CodeEmptyList, "service %q has no route", service.Name)
	}
}

func (p *parser) upstream(f field, service *Service) Upstream {
	o, ok := f.object("id", "url", "role", "data_centre", "slots", "models", "checks_fencing", "serve")
	if !ok {
		return Upstream{}
	}
	up := Upstream{
		ID:            core.UpstreamID(o.required("id").name()),
		Role:          readRole(o, service.Kind),
		DataCentre:    core.DataCentreName(o.required("data_centre").name()),
		ChecksFencing: o.member("checks_fencing").boolean(),
	}
	if up.ID != "" {
		checkUnique(o.member("id"), p.upstreams, up.ID, "upstream")
	}
	up.URL = p.readURL(o.required("url"))
	if _, found := p.dataCentres[up.DataCentre]; up.DataCentre != "" && !found {
		o.member("data_centre").fail(CodeUnknownReference, "data centre %q does not exist", up.DataCentre)
	}
	up.Slots = readSlots(o, up.Role)
	up.Models = readModels(o.member("models"), service)
	up.DesiredState = readDesiredState(o.member("serve"), service.Kind, up.Models)
	return up
}

// readDesiredState reads the desired state of an engine. Its model must be one of the
// Upstream's models.
func readDesiredState(f field, kind ServiceKind, models []core.ModelName) *DesiredState {
	if !f.present {
		return nil
	}
	if kind == ServicePlain {
		f.fail(CodeMisplacedField, "only an engine has a desired state")
		return nil
	}
	o, ok := f.object("model", "adapter", "version")
	if !ok {
		return nil
	}
	model, given := o.required("model").text()
	if given && !slices.Contains(models, core.ModelName(model)) {
		o.member("model").fail(CodeUnknownReference, "model %s is not among the models of the upstream", quote(model))
		return nil
	}
	adapter, _ := o.member("adapter").matchPattern(modelPattern, maxModelLength, modelRule)
	version, _ := o.member("version").matchPattern(modelPattern, maxModelLength, modelRule)
	return &DesiredState{Model: core.ModelName(model), Adapter: adapter, Version: version}
}

// ServesModel reports whether the Upstream serves the model once it has reached its
// desired state.
func (u *Upstream) ServesModel(model core.ModelName) bool {
	if u.DesiredState != nil {
		return u.DesiredState.Model == model
	}
	return slices.Contains(u.Models, model)
}

func readRole(o object, kind ServiceKind) Role {
	if kind == ServicePlain {
		return Role(o.member("role").oneOf(string(RolePlain)))
	}
	return Role(o.required("role").oneOf(string(RolePrefill), string(RoleDecode)))
}

func readSlots(o object, role Role) int {
	if role == RoleDecode {
		return int(o.required("slots").integer(1, 1, maxSlots))
	}
	return int(o.member("slots").integer(0, 0, maxSlots))
}

func readModels(f field, service *Service) []core.ModelName {
	if !f.present {
		return service.Models
	}
	var list []core.ModelName
	used := map[core.ModelName]string{}
	for _, element := range f.list(maxModels) {
		text, ok := element.text()
		name := core.ModelName(text)
		if !ok {
			continue
		}
		if !slices.Contains(service.Models, name) {
			element.fail(CodeUnknownReference, "service %q does not offer model %s", service.Name, quote(text))
			continue
		}
		checkUnique(element, used, name, "model")
		list = append(list, name)
	}
	if len(list) == 0 {
		f.fail(CodeEmptyList, "an upstream needs at least one model; leave the field out for all of them")
	}
	return list
}

// readURL reads a URL of the form http://IP:port. Host names are rejected, so that
// traffic between processes does not depend on a name service.
func (p *parser) readURL(f field) string {
	text, ok := f.text()
	if !ok {
		return ""
	}
	rest, found := strings.CutPrefix(text, "http://")
	addr, err := netip.ParseAddrPort(rest)
	if !found || err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		f.fail(CodeBadValue, "%s is not valid: want http://IP:port without a path", quote(text))
		return ""
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		f.fail(CodeBadValue, "%s is not the address of one process", quote(text))
		return ""
	}
	checkUnique(f, p.urls, "http://"+addr.String(), "url")
	return "http://" + addr.String()
}

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (p *parser) route(f field) Route {
	o, ok := f.object("path", "methods", "open", "idempotent", "cost_tokens")
	if !ok {
		return Route{}
	}
	route := Route{
		Public:     o.member("open").boolean(),
		Idempotent: o.member("idempotent").boolean(),
		CostTokens: o.member("cost_tokens").integer(1, 0, maxTokens),
	}
	used := map[string]string{}
	for _, element := range o.required("methods").list(len(methods)) {
		method := element.oneOf(methods...)
		checkUnique(element, used, method, "method")
		route.Methods = append(route.Methods, method)
	}
	if o.member("methods").present && len(route.Methods) == 0 {
		o.member("methods").fail(CodeEmptyList, "a route needs at least one method")
	}
	route.Path = p.readPath(o.required("path"), route.Methods)
	return route
}

func (p *parser) readPath(f field, methods []string) string {
	text, ok := f.text()
	if !ok {
		return ""
	}
	exact := strings.TrimSuffix(text, "*")
	if isPrefix(text) != (exact != text) || strings.Contains(exact, "*") || !isNormalisedPath(exact) || len(text) > maxPathLength {
		f.fail(CodeBadValue, "%s is not valid: want an absolute path without dot segments, with * only as a last /*", quote(text))
		return ""
	}
	for _, overlap := range p.routes.overlaps(text, methods) {
		f.fail(CodeRouteHidden, "%s", overlap)
	}
	p.routes.add(f.path, text, methods)
	return text
}

// callerAPIPaths are the paths of the caller API, which routes may not match.
var callerAPIPaths = []string{"/v1/completions", "/v1/chat/completions", "/v1/addresses", "/healthz"}

// routeSet finds overlapping routes. The time for each route depends on the length of
// its path and not on the number of routes.
type routeSet struct {
	// byPath holds the document path of each route by method and path.
	byPath map[routeKey]string
	// byPrefix holds the document path of one route by method and each prefix of its
	// path.
	byPrefix map[routeKey]string
}

func (s *routeSet) add(fieldPath, path string, methods []string) {
	if s.byPath == nil {
		s.byPath, s.byPrefix = map[routeKey]string{}, map[routeKey]string{}
	}
	for _, method := range methods {
		s.byPath[routeKey{method, path}] = fieldPath
		for _, prefix := range prefixesOf(path) {
			s.byPrefix[routeKey{method, prefix}] = fieldPath
		}
	}
}

// overlaps returns a message for each overlap of a new route.
func (s *routeSet) overlaps(path string, methods []string) []string {
	var list []string
	for _, reserved := range callerAPIPaths {
		if path == reserved || (isPrefix(path) && slices.Contains(prefixesOf(reserved), path)) {
			list = append(list, fmt.Sprintf("route overlaps with the path %s of the caller API", reserved))
		}
	}
	for _, method := range methods {
		if fieldPath := s.overlap(path, method); fieldPath != "" {
			list = append(list, fmt.Sprintf("route overlaps with %s for %s", fieldPath, method))
		}
	}
	return list
}

// overlap returns the document path of a route that overlaps, or "" for none.
func (s *routeSet) overlap(path, method string) string {
	if fieldPath := s.byPath[routeKey{method, path}]; fieldPath != "" {
		return fieldPath
	}
	if isPrefix(path) && s.byPrefix[routeKey{method, path}] != "" {
		return s.byPrefix[routeKey{method, path}]
	}
	for _, prefix := range prefixesOf(path) {
		if fieldPath := s.byPath[routeKey{method, prefix}]; fieldPath != "" {
			return fieldPath
		}
	}
	return ""
}

// prefixesOf returns the prefix patterns that match every path that the given path or
// prefix pattern matches, except the pattern itself.
func prefixesOf(path string) []string {
	exact := strings.TrimSuffix(path, "/*")
	if exact == path {
		exact = path[:strings.LastIndexByte(path, '/')]
	} else if exact == "" {
		return nil
	} else {
		exact = exact[:strings.LastIndexByte(exact, '/')]
	}
	list := []string{exact + "/*"}
	for exact != "" {
		exact = exact[:strings.LastIndexByte(exact, '/')]
		list = append(list, exact+"/*")
	}
	return list
}
