// Package limits keeps every client account within its rate and burst over all
// entry Instances (G6). Each account has a home set of up to three Instances
// that hold an equal part of its token bucket; any other Instance, and a home
// whose part is too small, borrows tokens from the homes for a bounded term. The
// package is pure: time and messages are inputs, and effects are returned as data.
//
// The bound rests on one invariant: the tokens in all buckets and loans of an
// account never exceed its burst, and are refilled at no more than its rate.
package limits

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Account is the limit of a client account.
type Account struct {
	ID    core.AccountID
	Rate  int64 // tokens per second
	Burst int64 // tokens
}

// State is the state of an admission.
type State uint8

// The states of an admission.
const (
	Granted State = iota + 1
	Borrowing
	Refused
)

// Units are token-nanoseconds: one token is UnitsPerToken units.
type Units int64

// UnitsPerToken makes one token per second equal to one unit per nanosecond.
const UnitsPerToken Units = 1e9

// MaxTokens is the largest rate or burst that the arithmetic takes; larger
// values are cut down to it.
const MaxTokens = 4_000_000_000

// LoanRequest asks a home Instance for a one-shot loan.
type LoanRequest struct {
	Borrower core.InstanceRef
	Seq      uint64 // unique within the borrower's run
	Account  core.AccountID
	Want     Units // granted in full or not at all
}

// LoanReply answers a LoanRequest.
type LoanReply struct {
	Borrower core.InstanceRef // the run that asked
	Seq      uint64
	Account  core.AccountID
	Granted  Units // Want, or 0
	// After a refusal: what the lender could lend now, and how long its refill is
	// stopped because all of its capacity is lent.
	Available  Units
	BlockedFor time.Duration
}

// OutboundLoanRequest is a request to send to a home Instance.
type OutboundLoanRequest struct {
	To      core.InstanceID
	Request LoanRequest
}

// Admission is the answer to Admit. With Borrowing, the result follows as an
// AdmissionUpdate from OnLoanReply or Tick.
type Admission struct {
	State        State
	Refusal      *core.Refusal
	LoanRequests []OutboundLoanRequest
}

// AdmissionUpdate reports progress of a request that was Borrowing. A State of
// Borrowing carries further loan requests to send.
type AdmissionUpdate struct {
	ID core.RequestID
	Admission
}

// Params are the settings of a Limiter. Zero values take the defaults.
type Params struct {
	HomeSize          int           // Instances in a home set
	LoanTerm          time.Duration // term of a loan on the lender's clock
	ReplyTimeout      time.Duration // wait for one reply
	MaxWait           time.Duration // wait for all replies to one request; below LoanTerm
	IdleSweepInterval time.Duration // time between two sweeps for idle accounts
	DisableBorrowing  bool          // refuses instead of borrowing, to measure what loans are worth
}

// The defaults of Params.
const (
	DefaultHomeSize          = 3
	DefaultLoanTerm          = 2 * time.Second
	DefaultReplyTimeout      = 150 * time.Millisecond // a round trip between regions is 60 ms
	DefaultMaxWait           = 450 * time.Millisecond // up to three rounds, and a quarter of the first-token target
	DefaultIdleSweepInterval = 10 * time.Second
)

func (p Params) withDefaults() Params {
	if p.HomeSize == 0 {
		p.HomeSize = DefaultHomeSize
	}
	if p.LoanTerm == 0 {
		p.LoanTerm = DefaultLoanTerm
	}
	if p.ReplyTimeout == 0 {
		p.ReplyTimeout = DefaultReplyTimeout
	}
	if p.MaxWait == 0 {
		p.MaxWait = DefaultMaxWait
	}
	if p.IdleSweepInterval == 0 {
		p.IdleSweepInterval = DefaultIdleSweepInterval
	}
	return p
}
