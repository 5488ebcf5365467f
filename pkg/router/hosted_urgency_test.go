package router

import (
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Guards against engines that are not told which requests are urgent, against a stated priority
// where all requests are alike, and against a priority outside of what engines accept.
func TestEnginesLearnTheUrgencyOfRequests(t *testing.T) {
	route := func(service config.ServiceShare, priority int, public bool) config.HostRoute {
		return config.HostRoute{Priority: priority, Public: public, ServiceShares: []config.ServiceShare{service}}
	}
	llm, plain := config.ServiceShare{Service: "llm", Weight: 1}, config.ServiceShare{Service: "plain", Weight: 1}
	services := []config.HostedService{{Name: "llm", Engine: &config.EngineProfile{}}, {Name: "plain"}}
	urgent := config.HostedAccount{ID: "urgent", HasPriority: true}
	usual := config.HostedAccount{ID: "usual"}
	for name, test := range map[string]struct {
		routes   []config.HostRoute
		accounts []config.HostedAccount
		want     bool
	}{
		"routes differ":              {[]config.HostRoute{route(llm, 0, false), route(llm, 2, false)}, nil, true},
		"routes are alike":           {[]config.HostRoute{route(llm, 2, false), route(llm, 2, false)}, nil, false},
		"routes of another service":  {[]config.HostRoute{route(llm, 0, false), route(plain, 2, false)}, nil, false},
		"accounts differ":            {[]config.HostRoute{route(llm, 2, false)}, []config.HostedAccount{urgent, usual}, true},
		"one account of all":         {[]config.HostRoute{route(llm, 2, false)}, []config.HostedAccount{urgent}, false},
		"accounts override routes":   {[]config.HostRoute{route(llm, 2, false), route(llm, 1, false)}, []config.HostedAccount{urgent}, false},
		"public route":               {[]config.HostRoute{route(llm, 2, true), route(llm, 2, false)}, []config.HostedAccount{urgent}, true},
		"alike beyond the last step": {[]config.HostRoute{route(llm, 9, false), route(llm, 40, false)}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := servicesWithUrgency(config.NewRouting(config.Routing{Routes: test.routes, Services: services, Accounts: test.accounts}))
			is.Equal(got["llm"], test.want)
			is.True(!got["plain"])
		})
	}
}

// Guards against a prefill or a decode that lacks the urgency of its request.
func TestUrgencyIsStatedWithPrefillAndDecode(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	is.True(r.startStream("before", "/resumable/").Urgency == nil)
	routing := *hostedRouting(2)
	routing.Routes[0].Priority = 3
	r.step(RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(11)})
	decode := r.startStream("after", "/resumable/")
	is.True(decode.Urgency != nil)
	is.Equal(*decode.Urgency, 3)
}
