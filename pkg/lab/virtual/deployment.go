package virtual

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Model is the model that the engines of a Deployment serve.
const Model = core.ModelName("model-a")

// Sizes describes a deployment.
type Sizes struct {
	// DataCentres must not be empty; the store is in the region of the first.
	DataCentres []config.DataCentre
	Instances   int
	// PrefillPerDataCentre and DecodePerDataCentre are the numbers of engines in each DataCentre.
	PrefillPerDataCentre, DecodePerDataCentre int
	Accounts                                  []config.ClientAccount
	Policy                                    config.Policy
}

// Deployment returns the options to simulate a deployment: Instances and engines
// spread evenly over the DataCentres, one model service and one plain service
// with an Upstream in each DataCentre.
func Deployment(seed uint64, s Sizes) Options {
	doc := &config.Document{
		Environment: "production",
		StoreRegion: s.DataCentres[0].Region,
		DataCentres: s.DataCentres,
		Accounts:    s.Accounts,
	}
	models := config.Service{
		Name: "models", Kind: config.ServiceModel, Models: []core.ModelName{Model}, Policy: s.Policy,
		Targets: config.Targets{FirstTokenMS: 1900, BetweenTokensMS: 37}, PartitionPolicy: config.PartitionRefuse,
	}
	orders := config.Service{
		Name: "orders", Kind: config.ServicePlain, Policy: config.PolicyFair, PartitionPolicy: config.PartitionRefuse,
		Routes: []config.Route{
			{Path: "/call", Methods: []string{"POST"}, CostTokens: 10},
			{Path: "/lookup/*", Methods: []string{"GET"}, Idempotent: true, CostTokens: 1},
		},
	}
	port := 20000
	upstream := func(id string, role config.Role, dc core.DataCentreName, slots int) config.Upstream {
		port++
		return config.Upstream{
			ID: core.UpstreamID(id), URL: fmt.Sprintf("http://127.0.0.1:%d", port), Role: role, DataCentre: dc, Slots: slots,
		}
	}
	for _, dc := range s.DataCentres {
		for n := range s.PrefillPerDataCentre {
			up := upstream(fmt.Sprintf("%s-prefill-%d", dc.Name, n+1), config.RolePrefill, dc.Name, 0)
			up.Models = models.Models
			models.Upstreams = append(models.Upstreams, up)
		}
		for n := range s.DecodePerDataCentre {
			up := upstream(fmt.Sprintf("%s-decode-%d", dc.Name, n+1), config.RoleDecode, dc.Name, 20)
			up.Models = models.Models
			models.Upstreams = append(models.Upstreams, up)
		}
		orders.Upstreams = append(orders.Upstreams, upstream(string(dc.Name)+"-orders", config.RolePlain, dc.Name, 0))
	}
	doc.Services = []config.Service{models, orders}
	opts := Options{
		Seed: seed, Document: doc,
		SameDataCentre: 200 * time.Microsecond, SameRegion: time.Millisecond, OtherRegion: 30 * time.Millisecond,
		ToCaller: 3 * time.Millisecond,
	}
	for n := range s.Instances {
		dc := s.DataCentres[n%len(s.DataCentres)].Name
		opts.Instances = append(opts.Instances, InstanceOptions{
			ID: core.InstanceID(fmt.Sprintf("entry-%02d", n+1)), DataCentre: dc,
		})
	}
	return opts
}

// TwoRegions returns three DataCentres: two in the first region, which is that of
// the store in a Deployment, and one in another.
func TwoRegions(linkMbps int64) []config.DataCentre {
	return []config.DataCentre{
		{Name: "north-a", Region: "north", LinkMbps: linkMbps},
		{Name: "north-b", Region: "north", LinkMbps: linkMbps},
		{Name: "south-a", Region: "south", LinkMbps: linkMbps},
	}
}

// Account returns a client account that may use both services.
func Account(id core.AccountID, weight int, rate, burst int64) config.ClientAccount {
	return config.ClientAccount{
		ID: id, Weight: weight, RateTokensPerSecond: rate, BurstTokens: burst,
		Services: []core.ServiceName{"models", "orders"},
	}
}
