// Package core defines the identifiers, instants and value types that the
// modules of the router share. It holds no state and does no I/O.
package core

import (
	"fmt"
	"time"
)

// Instant is a point on one process's monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of different processes can't be compared.
type Instant int64

// Never is later than every instant a process reaches.
const Never Instant = 1<<63 - 1

// Add returns the instant d later. It saturates at Never.
func (t Instant) Add(d time.Duration) Instant {
	if t == Never {
		return Never
	}
	sum := t + Instant(d)
	if d > 0 && sum < t {
		return Never
	}
	return sum
}

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// Earliest returns the earliest of the instants, or Never when there are none.
func Earliest(instants ...Instant) Instant {
	first := Never
	for _, t := range instants {
		first = min(first, t)
	}
	return first
}

// Names that the configuration document assigns.
type (
	// AccountID names a ClientAccount.
	AccountID string
	// KeyID names one key of a ClientAccount. It is not secret.
	KeyID string
	// ServiceName names a service that callers reach.
	ServiceName string
	// ModelName names a model that a service offers.
	ModelName string
	// UpstreamID names an Upstream: a prefill engine, a decode engine or a
	// replica of a plain service.
	UpstreamID string
	// DataCentreName names a DataCentre.
	DataCentreName string
	// RegionName names a region, which joins several DataCentres.
	RegionName string
)

// InstanceID names an Instance. It comes from the settings and stays the same when the
// process restarts.
type InstanceID string

// Incarnation numbers the process starts of one Instance. A later one has a higher number.
type Incarnation uint64

// InstanceRef names one incarnation of an Instance.
type InstanceRef struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the reference as id/incarnation.
func (r InstanceRef) String() string { return fmt.Sprintf("%s/%d", r.ID, r.Incarnation) }

// Version numbers the promoted configurations. Version 0 means none.
type Version uint64

// Epoch numbers the rosters of Instances. Epoch 0 means none.
type Epoch uint64

// FencingToken orders the writers to an Upstream. An Upstream that checks it refuses an
// order whose token is lower than one it has seen.
type FencingToken uint64

// RequestID names one request of a caller, unique over the fleet.
type RequestID string

// AttemptID names one attempt of a request at an Upstream. Owner is the incarnation of the
// Instance that made the attempt.
type AttemptID struct {
	Owner InstanceRef `json:"owner"`
	Seq   uint64      `json:"seq"`
}

// String returns the identifier in the form that is sent to Upstreams.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s.%d.%d", a.Owner.ID, a.Owner.Incarnation, a.Seq)
}

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart string

// Fingerprint identifies the content of a request. It is a digest of the ClientAccount,
// the model and the body.
type Fingerprint [16]byte

// BlockTokens is the number of tokens in one block of engine memory.
const BlockTokens = 1024
