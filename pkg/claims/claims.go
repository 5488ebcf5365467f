// Package claims keeps a non-idempotent request from running more than once.
package claims

import (
	"io"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params are the settings of a Claims. Zero fields take the default.
type Params struct {
	// Shards is the number of store objects. All Instances use the same number.
	Shards int
	// Retention is how long a claim is kept after its wall time.
	Retention time.Duration
	// Random is the source of the attempt nonces.
	Random io.Reader
}

// Digest is a digest of a request body.
type Digest [16]byte

// Request asks for the right to dispatch one non-idempotent request.
type Request struct {
	ID         core.RequestID
	Account    core.AccountID
	Key        string
	BodyDigest Digest
	Deadline   core.Instant
	// WallTime is the time on the wall clock, for the retention of keys.
	WallTime time.Time
}

// Outcome is the short outcome of a request that is recorded with its claim.
type Outcome struct {
	// Status is the HTTP status of the answer.
	Status int
	// Ran is core.NotRun when the request reached no Upstream.
	Ran core.Ran
}

// Failure is why a write of a shard failed.
type Failure int

// The failures of a write.
const (
	Conflict Failure = iota + 1
	Lost
	Unavailable
)

// Output is an effect: Read, Write, Confirmed, Recorded or Refused.
type Output interface{ output() }

// Read asks for a read of a shard's object, answered by OnRead.
type Read struct{ Shard int }

// Write asks for a conditional update of a shard's object until NotAfter,
// answered by OnWritten or OnWriteFailed. Base 0 creates the object.
type Write struct {
	Shard    int
	Base     uint64
	Object   []byte
	NotAfter core.Instant
}

// Confirmed permits the one dispatch of a request until NotAfter.
type Confirmed struct {
	ID       core.RequestID
	NotAfter core.Instant
}

// Recorded answers a resend with the outcome of the first request.
type Recorded struct {
	ID      core.RequestID
	Outcome Outcome
}

// Refused answers a request that is not dispatched.
type Refused struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

func (Read) output()      {}
func (Write) output()     {}
func (Confirmed) output() {}
func (Recorded) output()  {}
func (Refused) output()   {}

// Claims holds the claims of one Instance.
type Claims struct {
	self core.InstanceRef
	p    Params
}

// New returns an empty Claims.
func New(self core.InstanceRef, p Params) *Claims { return &Claims{self: self, p: p} }

// Claim asks for a claim.
func (c *Claims) Claim(now core.Instant, q Request) []Output {
	refusal := core.Refuse(core.CodeStoreUnavailable, "claims are not served yet")
	return []Output{Refused{ID: q.ID, Refusal: refusal}}
}

// OnRead handles the answer to a Read.
func (c *Claims) OnRead(now core.Instant, shard int, object []byte, version uint64, found bool) []Output {
	return nil
}

// OnWritten handles the success of a Write.
func (c *Claims) OnWritten(now core.Instant, shard int, version uint64) []Output { return nil }

// OnWriteFailed handles the failure of a Write.
func (c *Claims) OnWriteFailed(now core.Instant, shard int, why Failure) []Output { return nil }

// Finish records the outcome of a dispatched request.
func (c *Claims) Finish(now core.Instant, id core.RequestID, outcome Outcome) []Output { return nil }

// Tick handles the passing of time.
func (c *Claims) Tick(now core.Instant) []Output { return nil }

// NextWake returns the time at which the next Tick is due.
func (c *Claims) NextWake() core.Instant { return core.Never }
