package hostplatform

import (
	"fmt"
	"sync"
	"time"
)

// Run is what an Upstream sees of a request.
type Run struct {
	Request      string
	Account      string
	PromptTokens int
	OutputTokens int
	// Repeatable requests may run more than once.
	Repeatable bool
	// Key is set when the caller's key has reached the Upstream.
	Key bool
}

// Allowance is the most that an account may use within a window.
type Allowance struct {
	Window time.Duration
	Tokens int
}

// Referee collects broken promises. It is safe for concurrent use.
type Referee struct {
	// DrainWithin is the time after which a leaving engine gets nothing new.
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

// NewReferee returns a Referee that has seen nothing.
func NewReferee() *Referee {
	return &Referee{
		DrainWithin: 3 * time.Second, executions: map[string]int{}, allowances: map[string]Allowance{}, usage: map[string][]usage{},
	}
}

// Report adds a broken promise.
func (r *Referee) Report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Broken returns the broken promises so far.
func (r *Referee) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.violations...)
}

// SetAllowance bounds an account from now on.
func (r *Referee) SetAllowance(account string, a Allowance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowances[account] = a
	r.usage[account] = nil
}

// Arrived notes that a request has reached an Upstream that is leaving since an
// instant, zero for one that stays.
func (r *Referee) Arrived(upstream string, run Run, leaving time.Time) {
	if run.Key {
		r.Report("request %s reached %s with the caller's key", run.Request, upstream)
	}
	if !leaving.IsZero() && time.Since(leaving) > r.DrainWithin {
		r.Report("request %s reached %s %s after it announced to leave", run.Request, upstream, time.Since(leaving))
	}
}

// Ran notes that an Upstream runs a request.
func (r *Referee) Ran(upstream string, run Run) {
	r.mu.Lock()
	r.executions[run.Request]++
	again := r.executions[run.Request] > 1 && !run.Repeatable
	now := time.Now()
	allowance, bounded := r.allowances[run.Account]
	over := false
	if bounded {
		list := append(r.usage[run.Account], usage{now, run.PromptTokens + run.OutputTokens})
		for now.Sub(list[0].at) > allowance.Window {
			list = list[1:]
		}
		sum := 0
		for _, u := range list {
			sum += u.tokens
		}
		r.usage[run.Account] = list
		over = sum > allowance.Tokens
	}
	r.mu.Unlock()
	if again {
		r.Report("request %s ran again at %s", run.Request, upstream)
	}
	if over {
		r.Report("account %s got more than %d tokens in %s", run.Account, allowance.Tokens, allowance.Window)
	}
}

// Refused notes the status that a caller got. notRun says that it promises that
// the request has not run.
func (r *Referee) Refused(request string, notRun bool) {
	r.mu.Lock()
	ran := r.executions[request]
	r.mu.Unlock()
	if notRun && ran > 0 {
		r.Report("request %s was called not run, but ran %d times", request, ran)
	}
}
