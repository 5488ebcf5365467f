package hostplatform

import (
	"fmt"
	"sync"
	"time"
)

// Run is a request as an Upstream receives it.
type Run struct {
	Request      string
	Account      string
	PromptTokens int
	OutputTokens int
	// Repeatable requests may run more than once.
	Repeatable bool
	// Key is set if the request contained the caller's key.
	Key bool
}

// Allowance is the limit on the use of an account within a sliding window.
type Allowance struct {
	Window time.Duration
	Tokens int
}

// Referee checks the invariants of the platform and collects violations. It is safe for
// concurrent use.
type Referee struct {
	// DrainWithin is the time after the announcement of leaving from which on an
	// Upstream must not receive new requests. Set it before use.
	DrainWithin time.Duration

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

// NewReferee returns a Referee without allowances or violations.
func NewReferee() *Referee {
	return &Referee{
		DrainWithin: 3 * time.Second, executions: map[string]int{}, allowances: map[string]Allowance{}, usage: map[string][]usage{},
	}
}

// Report adds a violation.
func (r *Referee) Report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Broken returns the violations so far, nil if there are none.
func (r *Referee) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// SetAllowance limits an account from now on; earlier use does not count.
func (r *Referee) SetAllowance(account string, a Allowance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowances[account] = a
	r.usage[account] = nil
}

// Arrived records the arrival of a request at an Upstream. leaving is the time when the
// Upstream announced that it is leaving, zero if it has not.
func (r *Referee) Arrived(upstream string, run Run, leaving time.Time) {
	if run.Key {
		r.Report("request %s reached %s with the caller's key", run.Request, upstream)
	}
	if !leaving.IsZero() && time.Since(leaving) > r.DrainWithin {
		r.Report("request %s reached %s %s after it announced that it is leaving", run.Request, upstream, time.Since(leaving))
	}
}

// Ran records the execution of a request at an Upstream. A second execution is a
// violation unless the request is repeatable, and so is use above the allowance.
func (r *Referee) Ran(upstream string, run Run) {
	r.mu.Lock()
	r.executions[run.Request]++
	repeated := r.executions[run.Request] > 1 && !run.Repeatable
	now := time.Now()
	allowance, limited := r.allowances[run.Account]
	exceeded := false
	if limited {
		list := append(r.usage[run.Account], usage{now, run.PromptTokens + run.OutputTokens})
		for now.Sub(list[0].at) > allowance.Window {
			list = list[1:]
		}
		sum := 0
		for _, u := range list {
			sum += u.tokens
		}
		r.usage[run.Account] = list
		exceeded = sum > allowance.Tokens
	}
	r.mu.Unlock()
	if repeated {
		r.Report("request %s ran again at %s", run.Request, upstream)
	}
	if exceeded {
		r.Report("account %s used more than %d tokens in %s", run.Account, allowance.Tokens, allowance.Window)
	}
}

// Refused records the refusal of a request. notRun is set if the caller was told that
// the request has not run.
func (r *Referee) Refused(request string, notRun bool) {
	r.mu.Lock()
	executions := r.executions[request]
	r.mu.Unlock()
	if notRun && executions > 0 {
		r.Report("request %s was refused as not run, but ran %d times", request, executions)
	}
}
