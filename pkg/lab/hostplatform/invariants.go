package hostplatform

import (
	"fmt"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// UpstreamRequest is a request as an Upstream receives it.
type UpstreamRequest struct {
	Request      string
	Account      string
	PromptTokens int
	OutputTokens int
	// Parts are the parts of the prompt, nil if the request states none.
	Parts []promptcache.Part
	// Repeatable requests may run more than once.
	Repeatable bool
	// HasCallerKey is set if the request contained the caller's key.
	HasCallerKey bool
}

// Allowance is the limit on the use of an account within a sliding window.
type Allowance struct {
	Window time.Duration
	Tokens int
}

// InvariantChecker checks the invariants of the platform and collects violations.
// It is safe for concurrent use.
type InvariantChecker struct {
	// DrainTimeout is the time after the announcement of leaving from which on an
	// Upstream must not receive new requests. Set it before use.
	DrainTimeout time.Duration

	mu         sync.Mutex
	violations []string
	executions map[string]int
	allowances map[string]Allowance
	usage      map[string][]usage
}

type usage struct {
	at     time.Time
	tokens int
}

// NewInvariantChecker returns an InvariantChecker without allowances or violations.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{
		DrainTimeout: 3 * time.Second, executions: map[string]int{}, allowances: map[string]Allowance{}, usage: map[string][]usage{},
	}
}

// ReportViolation adds a violation.
func (c *InvariantChecker) ReportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations so far, nil if there are none.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// SetAllowance limits an account from now on; earlier use does not count.
func (c *InvariantChecker) SetAllowance(account string, a Allowance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowances[account] = a
	c.usage[account] = nil
}

// RecordArrival records the arrival of a request at an Upstream. leaving is the time when the
// Upstream announced that it is leaving, zero if it has not.
func (c *InvariantChecker) RecordArrival(upstream string, req UpstreamRequest, leaving time.Time) {
	if req.HasCallerKey {
		c.ReportViolation("request %s reached %s with the caller's key", req.Request, upstream)
	}
	if !leaving.IsZero() && time.Since(leaving) > c.DrainTimeout {
		c.ReportViolation("request %s reached %s %s after it announced that it is leaving", req.Request, upstream, time.Since(leaving))
	}
}

// RecordExecution records the execution of a request at an Upstream. A second execution is a
// violation unless the request is repeatable, and so is use above the allowance.
func (c *InvariantChecker) RecordExecution(upstream string, req UpstreamRequest) {
	c.mu.Lock()
	c.executions[req.Request]++
	repeated := c.executions[req.Request] > 1 && !req.Repeatable
	now := time.Now()
	allowance, limited := c.allowances[req.Account]
	exceeded := false
	if limited {
		list := append(c.usage[req.Account], usage{now, req.PromptTokens + req.OutputTokens})
		for now.Sub(list[0].at) > allowance.Window {
			list = list[1:]
		}
		sum := 0
		for _, u := range list {
			sum += u.tokens
		}
		c.usage[req.Account] = list
		exceeded = sum > allowance.Tokens
	}
	c.mu.Unlock()
	if repeated {
		c.ReportViolation("request %s ran again at %s", req.Request, upstream)
	}
	if exceeded {
		c.ReportViolation("account %s used more than %d tokens in %s", req.Account, allowance.Tokens, allowance.Window)
	}
}

// RecordRefusal records the refusal of a request. notRun is set if the caller was told that
// the request has not run.
func (c *InvariantChecker) RecordRefusal(request string, notRun bool) {
	c.mu.Lock()
	executions := c.executions[request]
	c.mu.Unlock()
	if notRun && executions > 0 {
		c.ReportViolation("request %s was refused as not req, but ran %d times", request, executions)
	}
}
