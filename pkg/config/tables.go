package config

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// tables index the services, models, routes and DataCentres of a Snapshot. Snapshots
// that differ only in accounts share them.
type tables struct {
	services       map[core.ServiceName]*Service
	sortedServices []*Service
	models         map[core.ModelName]*Service
	dataCentres    map[core.DataCentreName]*DataCentre
	routes         routeTable
}

func newTables(s *Snapshot) *tables {
	t := &tables{
		services:    map[core.ServiceName]*Service{},
		models:      map[core.ModelName]*Service{},
		dataCentres: map[core.DataCentreName]*DataCentre{},
		routes:      routeTable{},
	}
	for i := range s.root.DataCentres {
		t.dataCentres[s.root.DataCentres[i].Name] = &s.root.DataCentres[i]
	}
	t.sortedServices = joinServices(s.services, s.upstreams)
	for _, service := range t.sortedServices {
		t.services[service.Name] = service
		for _, model := range service.Models {
			t.models[model] = service
		}
		t.routes.add(service)
	}
	return t
}

// joinServices returns the services with their Upstreams, services sorted by name and
// Upstreams by id.
func joinServices(services tree[Service], upstreams tree[upstreamEntry]) []*Service {
	byName := map[core.ServiceName]*Service{}
	var sorted []*Service
	for s := range services.all {
		withUpstreams := *s
		withUpstreams.Upstreams = nil
		byName[s.Name] = &withUpstreams
		sorted = append(sorted, &withUpstreams)
	}
	for u := range upstreams.all {
		if service := byName[u.Service]; service != nil {
			service.Upstreams = append(service.Upstreams, u.Upstream)
		}
	}
	slices.SortFunc(sorted, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	for _, service := range sorted {
		slices.SortFunc(service.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return sorted
}

// routeTable holds the routes by method and path.
type routeTable map[routeKey]routeTarget

type routeKey struct{ method, path string }

type routeTarget struct {
	service *Service
	route   *Route
}

func (t routeTable) add(service *Service) {
	for i := range service.Routes {
		route := &service.Routes[i]
		for _, method := range route.Methods {
			t[routeKey{method, route.Path}] = routeTarget{service, route}
		}
	}
}

// find returns the route with this exact path, else the one with the longest prefix.
func (t routeTable) find(method, path string) (routeTarget, bool) {
	if target, ok := t[routeKey{method, path}]; ok && !isPrefix(path) {
		return target, true
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if target, ok := t[routeKey{method, path[:end] + "/*"}]; ok {
			return target, true
		}
	}
	return routeTarget{}, false
}

func isPrefix(path string) bool { return strings.HasSuffix(path, "/*") }

// isNormalisedPath reports whether every HTTP server resolves the path to the same
// resource: it has no dot segment, no inner empty segment, no backslash and no escaped
// form of these.
func isNormalisedPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\?#") {
		return false
	}
	lower := strings.ToLower(path)
	for _, escaped := range []string{"%2e", "%2f", "%5c", "%00", "%25"} {
		if strings.Contains(lower, escaped) {
			return false
		}
	}
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		last := i == len(segments)-1
		segment, _, _ = strings.Cut(segment, ";") // some servers remove path parameters before they resolve dot segments
		if segment == "." || segment == ".." || (segment == "" && !last) {
			return false
		}
	}
	return true
}
