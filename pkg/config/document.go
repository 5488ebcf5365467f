// Package config defines the configuration document of an environment: its
// types, its parser, the content-addressed pieces in which it is stored, and
// the compiled Snapshot that the other modules read. It does no I/O.
package config

import (
	"encoding/hex"
	"fmt"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Document is the configuration of one environment.
type Document struct {
	Environment string          `json:"environment"`
	StoreRegion core.RegionName `json:"store_region"`
	DataCentres []DataCentre    `json:"data_centres,omitempty"`
	Services    []Service       `json:"services,omitempty"`
	Accounts    []ClientAccount `json:"accounts,omitempty"`
	// UpstreamCredential names the environment variable or settings entry that
	// holds the credential for Upstreams. It is never the secret itself.
	UpstreamCredential string      `json:"upstream_credential,omitempty"`
	ResumeKeys         []ResumeKey `json:"resume_keys,omitempty"`
}

// DataCentre is a site that holds Instances and Upstreams.
type DataCentre struct {
	Name   core.DataCentreName `json:"name"`
	Region core.RegionName     `json:"region"`
	// LinkMbps is the rate of the KV transfer link in Mbit/s.
	LinkMbps int64 `json:"link_mbps"`
}

// ResumeKey names the secret of one generation of sealed SSE ids.
type ResumeKey struct {
	ID string `json:"id"`
	// Secret names an environment variable or settings entry.
	Secret string `json:"secret"`
}

// ServiceKind separates model services from plain HTTP services.
type ServiceKind string

// The kinds of services.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// PartitionPolicy says what a service does with keyed requests while the
// Instance is cut off from the region of the store.
type PartitionPolicy string

// The partition policies.
const (
	PartitionRefuse PartitionPolicy = "refuse"
	PartitionServe  PartitionPolicy = "serve"
)

// Policy says what the queue of a service favours.
type Policy string

// The queue policies.
const (
	PolicyGoodput Policy = "goodput"
	PolicyFair    Policy = "fair"
)

// Service is a set of Upstreams that callers reach under one name.
type Service struct {
	Name        core.ServiceName `json:"name"`
	Kind        ServiceKind      `json:"kind"`
	Models      []core.ModelName `json:"models,omitempty"`
	Targets     Targets          `json:"targets,omitzero"`
	Upstreams   []Upstream       `json:"upstreams,omitempty"`
	Routes      []Route          `json:"routes,omitempty"`
	OnPartition PartitionPolicy  `json:"on_partition"`
	Policy      Policy           `json:"policy"`
}

// Targets are the latency targets of a model service, in milliseconds.
type Targets struct {
	FirstTokenMS    int64 `json:"first_token_ms"`
	BetweenTokensMS int64 `json:"between_tokens_ms"`
}

// Role is the part an Upstream has in its service.
type Role string

// The roles of Upstreams.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Upstream is one engine, or one replica of a plain service.
type Upstream struct {
	ID         core.UpstreamID     `json:"id"`
	URL        string              `json:"url"`
	Role       Role                `json:"role"`
	DataCentre core.DataCentreName `json:"data_centre"`
	// Slots is the number of requests that run at once. It is at least 1 for
	// decode engines; 0 sets no limit for the other roles.
	Slots int `json:"slots,omitempty"`
	// Models is the subset of the service's models. Parse fills it in with all
	// of them when the document names none.
	Models []core.ModelName `json:"models,omitempty"`
	// ChecksFencing says that the engine rejects an order with a stale fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Route is a path of a plain service.
type Route struct {
	// Path is exact, or a prefix when it ends in /*. The prefix /a/* matches
	// /a/ and all that follows it, but not /a.
	Path       string   `json:"path"`
	Methods    []string `json:"methods"`
	Open       bool     `json:"open,omitempty"`
	Idempotent bool     `json:"idempotent,omitempty"`
	CostTokens int64    `json:"cost_tokens"`
}

// ClientAccount is a customer with its limits and keys.
type ClientAccount struct {
	ID                  core.AccountID     `json:"id"`
	Weight              int                `json:"weight"`
	Priority            int                `json:"priority,omitempty"`
	RateTokensPerSecond int64              `json:"rate_tokens_per_second"`
	BurstTokens         int64              `json:"burst_tokens"`
	Services            []core.ServiceName `json:"services,omitempty"`
	Keys                []Key              `json:"keys,omitempty"`
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

// Key is the entry of one key: what is needed to check its secret.
type Key struct {
	ID      core.KeyID `json:"id"`
	Salt    Salt       `json:"salt"`
	Digest  Digest     `json:"digest"`
	Revoked bool       `json:"revoked,omitempty"`
}

// Salt is the random salt of a key, in hex in the document.
type Salt [16]byte

// Digest is the SHA-256 of the salt's bytes followed by the text of the secret,
// in hex in the document.
type Digest [32]byte

// MarshalText returns the salt in hex.
func (s Salt) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, s[:]), nil }

// UnmarshalText reads a salt in hex.
func (s *Salt) UnmarshalText(text []byte) error { return decodeHex(s[:], text) }

// MarshalText returns the digest in hex.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a digest in hex.
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
