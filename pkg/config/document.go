// Package config defines the configuration document of an environment: its types,
// its parser, the pieces in which it is stored, and the compiled Snapshot that other
// packages read. It does no I/O.
//
// A piece is a content-addressed object: a node or a leaf of the tree in which the
// accounts, services and Upstreams of a document are stored. Its key is its hash.
package config

import (
	"encoding/hex"
	"fmt"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Document is the configuration of one environment.
type Document struct {
	// Environment is the name of the environment, such as division.
	Environment string `json:"environment"`
	// StoreRegion is the region of the object store. A DataCentre must be in it.
	StoreRegion core.RegionName `json:"store_region"`
	// DataCentres are the zones of Instances and Upstreams, at most 64.
	DataCentres []DataCentre `json:"data_centres,omitempty"`
	// Services are at most 128, with at most 4,096 Upstreams in total.
	Services []Service `json:"services,omitempty"`
	// Accounts are at most 100,000.
	Accounts []ClientAccount `json:"accounts,omitempty"`
	// UpstreamCredential names the environment variable or settings entry that
	// holds the credential for Upstreams. It is never the secret itself.
	UpstreamCredential string `json:"upstream_credential,omitempty"`
	// ResumeKeys are the keys of sealed SSE ids. During a rotation there are two: the
	// first one seals new ids, and both open existing ones.
	ResumeKeys []ResumeKey `json:"resume_keys,omitempty"`
}

// DataCentre is a zone with Instances and Upstreams.
type DataCentre struct {
	// Name is unique in the document.
	Name core.DataCentreName `json:"name"`
	// Region groups the DataCentres between which the KV cache can be transferred.
	Region core.RegionName `json:"region"`
	// LinkMbps is the bandwidth of the KV transfer link in Mbit/s.
	LinkMbps int64 `json:"link_mbps"`
}

// ResumeKey refers to a secret that seals SSE ids.
type ResumeKey struct {
	// ID identifies the key in the sealed id.
	ID string `json:"id"`
	// Secret names the environment variable or settings entry that holds the secret.
	Secret string `json:"secret"`
}

// ServiceKind distinguishes model services from plain HTTP services.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// PartitionPolicy says what a service does with requests that need a key while a
// network partition separates the Instance from the region of the store.
type PartitionPolicy string

// The partition policies.
const (
	PartitionRefuse PartitionPolicy = "refuse"
	PartitionServe  PartitionPolicy = "serve"
)

// Policy is the queueing policy of a service.
type Policy string

// The queue policies.
const (
	PolicyGoodput Policy = "goodput"
	PolicyFair    Policy = "fair"
)

// Service is a set of Upstreams under one name.
type Service struct {
	// Name is unique in the document.
	Name core.ServiceName `json:"name"`
	// Kind determines which of the other fields a service may have.
	Kind ServiceKind `json:"kind"`
	// Models are offered by a model service, at most 128. Each model belongs to
	// one service.
	Models []core.ModelName `json:"models,omitempty"`
	// Targets of a model service are 1,900 ms and 37 ms by default.
	Targets Targets `json:"targets,omitzero"`
	// Upstreams of a model service are prefill and decode engines. For each model, at
	// least one region has both.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Routes of a plain service don't overlap with any other route for the same
	// method, nor with the paths of the caller API. There are at most 256.
	Routes []Route `json:"routes,omitempty"`
	// PartitionPolicy is "refuse" by default.
	PartitionPolicy PartitionPolicy `json:"on_partition"`
	// Policy is "goodput" by default.
	Policy Policy `json:"policy"`
}

// Targets are the latency targets of a model service, in milliseconds.
type Targets struct {
	// FirstTokenMS is the time from the request to its first token.
	FirstTokenMS int64 `json:"first_token_ms"`
	// BetweenTokensMS is the time between two successive tokens.
	BetweenTokensMS int64 `json:"between_tokens_ms"`
}

// Role is the role of an Upstream in its service.
type Role string

// The roles of Upstreams.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Upstream is one engine, or one replica of a plain service.
type Upstream struct {
	// ID is unique in the document.
	ID core.UpstreamID `json:"id"`
	// URL has the form http://IP:port and is unique in the document.
	URL string `json:"url"`
	// Role is prefill or decode in a model service and plain in a plain one.
	Role Role `json:"role"`
	// DataCentre is the name of one of the document's DataCentres.
	DataCentre core.DataCentreName `json:"data_centre"`
	// Slots is the maximum number of concurrent requests. It is at least 1 for decode
	// engines; 0 means no limit for the other roles.
	Slots int `json:"slots,omitempty"`
	// Models are the models of the service that the Upstream may serve. Parse sets it
	// to all of them if the document omits the field.
	Models []core.ModelName `json:"models,omitempty"`
	// ChecksFencing says that the engine rejects an order with a stale fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// DesiredState is what the engine is ordered to serve, in the role Role. If nil,
	// the engine gets no orders.
	DesiredState *DesiredState `json:"serve,omitempty"`
}

// DesiredState is the desired state of an engine.
type DesiredState struct {
	// Model is one of the Upstream's models.
	Model core.ModelName `json:"model"`
	// Adapter is loaded on top of the model; empty for none.
	Adapter string `json:"adapter,omitempty"`
	// Version is the version of the weights; empty for the default of the weight store.
	Version string `json:"version,omitempty"`
}

// Route is a path of a plain service.
type Route struct {
	// Path is an exact path, or a prefix if it ends in /*. The prefix /a/* matches /a/
	// and every path below it, but not /a.
	Path string `json:"path"`
	// Methods are upper-case HTTP methods, at least one.
	Methods []string `json:"methods"`
	// Public lets callers without a key use the route.
	Public bool `json:"open,omitempty"`
	// Idempotent permits a retry after a byte of the request was sent.
	Idempotent bool `json:"idempotent,omitempty"`
	// CostTokens is charged to the account for each request, 1 by default.
	CostTokens int64 `json:"cost_tokens"`
}

// ClientAccount is a customer with its limits and keys.
type ClientAccount struct {
	// ID is unique in the document and part of the account's keys.
	ID core.AccountID `json:"id"`
	// Weight is the weight in the fair queue, 1 to 1,000; 1 by default.
	Weight int `json:"weight"`
	// Priority is 0 to 100, 0 by default. Higher priorities go first.
	Priority int `json:"priority,omitempty"`
	// RateTokensPerSecond is the rate limit over all Instances, up to 1e9.
	RateTokensPerSecond int64 `json:"rate_tokens_per_second"`
	// BurstTokens is the burst limit over all Instances, up to 1e9. A request that
	// costs more can never run.
	BurstTokens int64 `json:"burst_tokens"`
	// Services are the services that the account may use.
	Services []core.ServiceName `json:"services,omitempty"`
	// Keys are at most 32. Each digest is unique in the document.
	Keys []Key `json:"keys,omitempty"`
}

// Allows reports whether the account may use the service.
func (a *ClientAccount) Allows(service core.ServiceName) bool {
	for _, name := range a.Services {
		if name == service {
			return true
		}
	}
	return false
}

// Key is what is needed to verify the secret of one key.
type Key struct {
	// ID is unique in the account and part of the key.
	ID core.KeyID `json:"id"`
	// Salt is random and public.
	Salt Salt `json:"salt"`
	// Digest is compared with the digest of the salted secret.
	Digest Digest `json:"digest"`
	// Revoked rejects the key, as removal does, but keeps its entry.
	Revoked bool `json:"revoked,omitempty"`
}

// Salt is the random salt of a key, in hex in the document.
type Salt [16]byte

// Digest is the SHA-256 of the salt's bytes followed by the text of the secret,
// in hex in the document.
type Digest [32]byte

// MarshalText returns the salt in hex.
func (s Salt) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText parses a salt in hex.
func (s *Salt) UnmarshalText(text []byte) error { return decodeHex(s[:], text) }

// MarshalText returns the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText parses a digest in hex.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

func decodeHex(into, text []byte) error {
	if len(text) != hex.EncodedLen(len(into)) {
		return fmt.Errorf("want %d hex digits, got %d characters", hex.EncodedLen(len(into)), len(text))
	}
	if _, err := hex.Decode(into, text); err != nil {
		return fmt.Errorf("want hex digits: %w", err)
	}
	return nil
}
