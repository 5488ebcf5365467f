package config

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// RetrySafety says whether the requests of a HostRoute are safe to retry.
type RetrySafety string

// The values of RetrySafety.
const (
	// RetrySafe requests may run more than once.
	RetrySafe RetrySafety = "safe"
	// RetryNever requests run at most once for each request of the caller.
	RetryNever RetrySafety = "never"
)

// HostRoute is a route that is selected by host and path prefix.
type HostRoute struct {
	Name        string
	Host        string
	Prefix      string
	RetrySafety RetrySafety
	// Streaming routes respond with a stream of events.
	Streaming bool
	// Resumable streams may continue at another Upstream.
	Resumable bool
	// Timeout is the longest time that a caller waits for the response.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response, or to the first
	// event of a stream.
	LatencyTarget time.Duration
	// EventIntervalTarget is the target for the longest time between two
	// successive events of a stream.
	EventIntervalTarget time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxUpstreams limits the number of Upstreams to which one request is sent.
	MaxUpstreams int
	// Public routes need no key.
	Public bool
	// ServiceShares distributes the requests over services by weight.
	ServiceShares []ServiceShare
	// AllowedRegions are the regions in which requests of the route may be processed.
	AllowedRegions locality.Set
}

// Idempotent reports whether a request of the route is safe to retry after it was
// sent.
func (r *HostRoute) Idempotent() bool {
	return r.RetrySafety == RetrySafe || r.Streaming && r.Resumable
}

// ServiceShare is the weight of one service on a route.
type ServiceShare struct {
	Service core.ServiceName
	Weight  int
}

// HostedService describes a service whose Upstreams the platform registers.
type HostedService struct {
	Name       core.ServiceName
	HealthPath string
	// MaxConnections limits the connections to one Upstream over all Instances.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold Upstream takes from all Instances
	// together. ColdTime is the time for which an Upstream is cold after its start. Upstreams are
	// never cold if one of them is 0.
	ColdRate float64
	ColdTime time.Duration
	// Engine is nil for a plain service.
	Engine *EngineProfile
}

// EngineProfile describes the model engines of a service.
type EngineProfile struct {
	Slots int
	// KVCacheTokens is the size of the KV cache of one engine in tokens.
	KVCacheTokens int
	// MaxHoldDuration is the longest time that an engine keeps a hold.
	MaxHoldDuration time.Duration
	// KVRetention is the time for which a prefill engine keeps the KV cache of a
	// request.
	KVRetention time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// HostedAccount is a ClientAccount whose keys the platform issues.
type HostedAccount struct {
	ID core.AccountID
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	Keys        []KeyDigest
	// Rate in tokens per second and Burst in tokens apply over all Instances; 0 means
	// no limit.
	Rate  int64
	Burst int64
	// CountRequests says that Rate and Burst count requests, not tokens.
	CountRequests bool
	// DefaultCostTokens is the charge for a request that does not state its tokens.
	DefaultCostTokens int64
	// AllowedRegions are the regions in which requests of the account may be processed. Those of
	// the route apply too.
	AllowedRegions locality.Set
}

// KeyDigest is the SHA-256 of a key. The keys themselves are not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CallerLimits limits the size of requests and the time of connections from callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is the configuration of a hosted deployment: routes, services and
// ClientAccounts, delivered together in one version. It is immutable after
// NewRouting.
type Routing struct {
	Version  core.Version
	Routes   []HostRoute
	Services []HostedService
	Accounts []HostedAccount
	// NeedsKeys is set when routes that are not public need the key of an account. It may be set
	// without accounts: then no key is valid.
	NeedsKeys bool
	Limits    CallerLimits

	byHost   map[string][]*HostRoute // longest prefix first
	services map[core.ServiceName]*HostedService
	keys     map[KeyDigest]*HostedAccount
	accounts map[core.AccountID]*HostedAccount
}

// NewRouting builds the indexes of a configuration. The result shares the slices of r.
func NewRouting(r Routing) *Routing {
	r.byHost = map[string][]*HostRoute{}
	r.services = map[core.ServiceName]*HostedService{}
	r.keys = map[KeyDigest]*HostedAccount{}
	r.accounts = map[core.AccountID]*HostedAccount{}
	for i := range r.Routes {
		route := &r.Routes[i]
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *HostRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range r.Services {
		r.services[r.Services[i].Name] = &r.Services[i]
	}
	r.NeedsKeys = r.NeedsKeys || len(r.Accounts) > 0
	for i := range r.Accounts {
		account := &r.Accounts[i]
		r.accounts[account.ID] = account
		for _, key := range account.Keys {
			r.keys[key] = account
		}
	}
	return &r
}

// Route finds the route of the host with the longest prefix that matches the path.
func (r *Routing) Route(host, path string) (*HostRoute, bool) {
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Service finds a service.
func (r *Routing) Service(name core.ServiceName) (*HostedService, bool) {
	service, found := r.services[name]
	return service, found
}

// AccountOfKey finds the ClientAccount to which a key belongs.
func (r *Routing) AccountOfKey(key KeyDigest) (*HostedAccount, bool) {
	account, found := r.keys[key]
	return account, found
}

// Account finds a ClientAccount.
func (r *Routing) Account(id core.AccountID) (*HostedAccount, bool) {
	account, found := r.accounts[id]
	return account, found
}
