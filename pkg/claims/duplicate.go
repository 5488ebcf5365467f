package claims

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// inProgressRetryDelay is the Retry-After of a duplicate of a running request.
const inProgressRetryDelay = time.Second

// conflictRefusal refuses a request whose key was claimed with another body.
func conflictRefusal(id, original core.RequestID) RequestRefused {
	message := fmt.Sprintf("the idempotency key was used with another body by request %s", original)
	return RequestRefused{ID: id, Refusal: core.NewRefusal(core.CodeClaimConflict, message), OriginalID: original}
}

// inProgressRefusal refuses a duplicate while the owner may be running the request.
func inProgressRefusal(id, original core.RequestID) RequestRefused {
	return RequestRefused{
		ID: id,
		Refusal: &core.Refusal{
			Code:       core.CodeClaimInProgress,
			Ran:        core.MayHaveRun,
			Message:    fmt.Sprintf("request %s with this idempotency key is in progress", original),
			RetryAfter: inProgressRetryDelay,
		},
		OriginalID: original,
	}
}

// outcomeUnknownRefusal refuses a duplicate whose original will have no recorded
// outcome.
func outcomeUnknownRefusal(id, original core.RequestID) RequestRefused {
	return RequestRefused{
		ID: id,
		Refusal: &core.Refusal{
			Code:    core.CodeOutcomeUnknown,
			Ran:     core.MayHaveRun,
			Message: fmt.Sprintf("request %s with this idempotency key may have run; its outcome was not recorded", original),
		},
		OriginalID: original,
	}
}

// answerDuplicate returns the output for a request whose key another request has
// claimed, or nil when the key is free or the object must be read again first.
// afterRead is set when the object was read after the request arrived.
func (c *Claims) answerDuplicate(now core.Instant, s *shard, cl *claim, afterRead bool) Output {
	if s.object == nil {
		return nil
	}
	e := s.object.find(cl.key)
	if e == nil || e.nonce == cl.nonce {
		return nil
	}
	done, outcome := e.hasOutcome, e.outcome
	if update := s.updateFor(e.nonce); update != nil {
		if update.remove {
			return nil
		}
		done, outcome = true, update.outcome
	}
	original := e.request.id()
	switch {
	case !done && !afterRead:
		// The owner may have recorded an outcome or released its claim since the
		// object was read.
		cl.awaitsReread = true
		s.stale = true
		return nil
	case e.body != cl.body:
		return conflictRefusal(cl.id, original)
	case done:
		return RecordedOutcome{ID: cl.id, Outcome: outcome, OriginalID: original}
	case c.mayRecordOutcome(now, s.object.owners[e.owner], e):
		return inProgressRefusal(cl.id, original)
	default:
		return outcomeUnknownRefusal(cl.id, original)
	}
}

// mayRecordOutcome reports whether the owner of a claim may still record an outcome.
func (c *Claims) mayRecordOutcome(now core.Instant, owner core.InstanceRef, e *entry) bool {
	if owner.ID == c.self.ID {
		// Claims.keys holds the unfinished claims of this incarnation.
		return false
	}
	if dead, found := c.dead[owner.ID]; found && owner.Incarnation <= dead {
		return false
	}
	age := c.wallTime(now).Sub(time.Unix(e.retainFrom, 0))
	return age < c.params.InProgressTimeout
}
