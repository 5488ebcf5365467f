// Package limits keeps every client account within its rate and burst over all
// entry Instances (G6). Each account has a home set of up to three Instances, each
// of which holds an equal share of its token bucket. Any other Instance, and a home
// Instance whose share is too small, borrows tokens from the home Instances for a
// limited term. The package is pure: time and messages are inputs, and effects are
// returned as data.
//
// The limit relies on one invariant: the tokens in all buckets and loans of an
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

// UnitsPerToken makes one token per second one unit per nanosecond.
const UnitsPerToken Units = 1e9

// MaxTokens is the largest rate or burst that the arithmetic supports; larger values
// are reduced to it.
const MaxTokens = 4_000_000_000

// LoanRequest asks a home Instance for a loan, which can't be renewed.
type LoanRequest struct {
	Borrower core.InstanceRef
	Seq      uint64 // unique within the borrower's incarnation
	Account  core.AccountID
	Want     Units // granted in full or not at all
}

// LoanReply is the reply to a LoanRequest.
type LoanReply struct {
	Borrower core.InstanceRef // the incarnation that sent the request
	Seq      uint64
	Account  core.AccountID
	Granted  Units // Want, or 0
	// After a refusal: what the lender could lend now, and for how long it does not
	// refill because all of its capacity is lent.
	Available  Units
	BlockedFor time.Duration
}

// OutboundLoanRequest is a request to send to a home Instance.
type OutboundLoanRequest struct {
	To      core.InstanceID
	Request LoanRequest
}

// Admission is the result of Admit. In the state Borrowing, the caller must send
// the LoanRequests, and the outcome follows as an AdmissionUpdate from OnLoanReply
// or Tick. Refusal is set in the state Refused.
type Admission struct {
	State        State
	Refusal      *core.Refusal
	LoanRequests []OutboundLoanRequest
}

// AdmissionUpdate is the progress of a request that was Borrowing. If it still is,
// the update has further loan requests to send.
type AdmissionUpdate struct {
	ID core.RequestID
	Admission
}

// Params are the settings of a Limiter. Zero values select the defaults.
type Params struct {
	HomeSize          int           // Instances in a home set
	LoanTerm          time.Duration // term of a loan on the lender's clock
	ReplyTimeout      time.Duration // wait for one reply
	MaxWait           time.Duration // wait for all replies to one request; below LoanTerm
	IdleSweepInterval time.Duration // between two sweeps for idle accounts
	DisableBorrowing  bool          // refuses instead of borrowing, for comparisons
}

// The defaults of Params.
const (
	DefaultHomeSize          = 3
	DefaultLoanTerm          = 2 * time.Second
	DefaultReplyTimeout      = 150 * time.Millisecond // a round trip between regions is 60 ms
	DefaultMaxWait           = 450 * time.Millisecond // up to three rounds of loan requests; a quarter of the first-token target
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
