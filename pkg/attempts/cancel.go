package attempts

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	minCancelBackoff = 100 * time.Millisecond
	maxCancelBackoff = 2 * time.Second
	// maxStartTransit is the time after NotAfter within which a start that was already
	// written may still reach its engine.
	maxStartTransit = time.Second
	// maxCancelAge ends the cancels at an Upstream that reports nothing. Engines
	// without a report for that long are gone or have been restarted.
	maxCancelAge = 10 * time.Minute
)

type cancelKey struct {
	attempt  core.AttemptID
	upstream core.UpstreamID
}

// cancel is a cancel that isn't confirmed yet.
type cancel struct {
	startedAt        core.Instant
	confirmableAfter core.Instant // a report as of later than this decides
	polled           bool         // since settled
	backoff          time.Duration
}

// cancel frees what up holds for an attempt of this run.
func (a *Attempts) cancel(now core.Instant, t *attempt, up core.UpstreamID) []Output {
	c := &cancel{confirmableAfter: now}
	if !t.startDelivered(up) {
		c.confirmableAfter = max(now, t.notAfter.Add(maxStartTransit))
	}
	return a.addCancel(now, cancelKey{attempt: t.id, upstream: up}, c)
}

// startDelivered reports whether the start at up has certainly startDelivered, so that it can't
// come late any more.
func (t *attempt) startDelivered(up core.UpstreamID) bool {
	return t.stage == stageDecode || (t.stage == stageTransfer && up == t.placement.Prefill)
}

func (a *Attempts) addCancel(now core.Instant, key cancelKey, c *cancel) []Output {
	c.startedAt = now
	c.backoff = minCancelBackoff
	at := a.cancels[key.upstream]
	if at == nil {
		at = map[core.AttemptID]*cancel{}
		a.cancels[key.upstream] = at
	}
	if at[key.attempt] == nil {
		a.openCancels[key.attempt]++
	}
	at[key.attempt] = c
	a.addTimer(timer{at: now.Add(c.backoff), kind: timerCancel, attempt: key.attempt, upstream: key.upstream})
	return []Output{Cancel{Attempt: key.attempt, Upstream: key.upstream}}
}

func (a *Attempts) onCancelTimer(now core.Instant, key cancelKey) []Output {
	c := a.cancels[key.upstream][key.attempt]
	if c == nil {
		return nil
	}
	if c.startedAt.Add(maxCancelAge) <= now {
		return a.endCancel(now, key)
	}
	c.backoff = min(2*c.backoff, maxCancelBackoff)
	next := now.Add(c.backoff)
	if !c.polled && next > c.confirmableAfter {
		// The first report that decides is worth a prompt question.
		next = max(c.confirmableAfter+1, now.Add(minCancelBackoff))
		c.polled = true
		c.backoff = minCancelBackoff
	}
	a.addTimer(timer{at: next, kind: timerCancel, attempt: key.attempt, upstream: key.upstream})
	return []Output{
		Cancel{Attempt: key.attempt, Upstream: key.upstream},
		PollAttempts{Upstream: key.upstream},
	}
}

// OnCancelConfirmed says that an Upstream has answered a cancel. Only a report
// ends the cancel, because a late start may follow the answer; the confirmation
// asks for that report.
func (a *Attempts) OnCancelConfirmed(now core.Instant, id core.AttemptID) []Output {
	if a.openCancels[id] == 0 {
		return nil
	}
	var ups []core.UpstreamID
	for up, at := range a.cancels {
		if at[id] != nil {
			ups = append(ups, up)
		}
	}
	slices.Sort(ups)
	var outputs []Output
	for _, up := range ups {
		outputs = append(outputs, PollAttempts{Upstream: up})
	}
	return outputs
}

func (a *Attempts) endCancel(now core.Instant, key cancelKey) []Output {
	at := a.cancels[key.upstream]
	delete(at, key.attempt)
	if len(at) == 0 {
		delete(a.cancels, key.upstream)
	}
	a.openCancels[key.attempt]--
	if a.openCancels[key.attempt] == 0 {
		delete(a.openCancels, key.attempt)
	}
	return a.untrackAttempt(now, key.attempt)
}

// OnAttemptReport takes in the list of attempts that an Upstream reports. It ends the
// cancels that the list confirms and cancels what nobody waits for.
func (a *Attempts) OnAttemptReport(now core.Instant, up core.UpstreamID, r AttemptReport) []Output {
	a.reportedCount[up] = len(r.Attempts)
	outputs := a.confirmCancels(now, up, r)
	asks := map[core.InstanceID][]core.AttemptID{}
	before := a.ownerQueryAt[up]
	others := map[core.AttemptID]core.Instant{}
	for _, id := range r.Attempts {
		switch {
		case a.isOrphaned(now, id, up, r.HoldsLedger):
			outputs = append(outputs, a.cancelOrphan(now, id, up)...)
		case r.HoldsLedger && id.Owner != a.self:
			ask, known := before[id]
			if !known {
				ask = now.Add(a.params.OwnerQueryInterval)
			} else if ask <= now {
				asks[id.Owner.ID] = append(asks[id.Owner.ID], id)
				ask = now.Add(a.params.OwnerQueryInterval)
			}
			others[id] = ask
		}
	}
	a.ownerQueryAt[up] = others
	return append(outputs, ownerQueries(up, asks)...)
}

func ownerQueries(up core.UpstreamID, asks map[core.InstanceID][]core.AttemptID) []Output {
	var owners []core.InstanceID
	for owner := range asks {
		owners = append(owners, owner)
	}
	slices.Sort(owners)
	var outputs []Output
	for _, owner := range owners {
		outputs = append(outputs, SendOwnerQuery{To: owner, Upstream: up, Attempts: asks[owner]})
	}
	return outputs
}

func (a *Attempts) confirmCancels(now core.Instant, up core.UpstreamID, r AttemptReport) []Output {
	var gone []cancelKey
	for id, c := range a.cancels[up] {
		if r.ObservedAt > c.confirmableAfter && !slices.Contains(r.Attempts, id) {
			gone = append(gone, cancelKey{attempt: id, upstream: up})
		}
	}
	slices.SortFunc(gone, func(x, y cancelKey) int { return compareAttempts(x.attempt, y.attempt) })
	var outputs []Output
	for _, key := range gone {
		outputs = append(outputs, a.endCancel(now, key)...)
	}
	return outputs
}

func compareAttempts(x, y core.AttemptID) int {
	switch {
	case x.Owner.ID != y.Owner.ID:
		if x.Owner.ID < y.Owner.ID {
			return -1
		}
		return 1
	case x.Owner.Incarnation != y.Owner.Incarnation:
		if x.Owner.Incarnation < y.Owner.Incarnation {
			return -1
		}
		return 1
	case x.Seq < y.Seq:
		return -1
	case x.Seq > y.Seq:
		return 1
	}
	return 0
}

// OnOwnerQuery answers the question of a ledger holder: attempts that this run has
// given up are cancelled. An attempt never comes back to life, so the answer
// doesn't depend on the age of the question.
func (a *Attempts) OnOwnerQuery(now core.Instant, up core.UpstreamID, ids []core.AttemptID) []Output {
	var outputs []Output
	for _, id := range ids {
		if a.isOrphaned(now, id, up, false) {
			outputs = append(outputs, a.cancelOrphan(now, id, up)...)
		}
	}
	return outputs
}

// isOrphaned reports whether nobody waits for the attempt at up. Only the ledger
// holder decides over the attempts of other Instances.
func (a *Attempts) isOrphaned(now core.Instant, id core.AttemptID, up core.UpstreamID, holder bool) bool {
	if id.Owner == a.self {
		t := a.live[id]
		return t == nil || !slices.Contains(t.heldUpstreams(), up)
	}
	if id.Owner.ID == a.self.ID {
		return id.Owner.Incarnation < a.self.Incarnation
	}
	return holder && a.ownerDead(now, id.Owner)
}

// cancelOrphan cancels an attempt that a report shows although nobody waits for it.
func (a *Attempts) cancelOrphan(now core.Instant, id core.AttemptID, up core.UpstreamID) []Output {
	key := cancelKey{attempt: id, upstream: up}
	if a.cancels[up][id] != nil {
		return nil // repeated by its timer
	}
	return a.addCancel(now, key, &cancel{confirmableAfter: now})
}

// ownerDead reports whether the run that made an attempt has certainly ended, or
// has been missing from the members for AbsenceTimeout.
func (a *Attempts) ownerDead(now core.Instant, owner core.InstanceRef) bool {
	if owner.Incarnation <= a.deadIncarnations[owner.ID] {
		return true
	}
	current, member := a.members[owner.ID]
	if member {
		return owner.Incarnation < current
	}
	since, known := a.absentSince[owner.ID]
	if !known {
		a.absentSince[owner.ID] = now
		return false
	}
	return now.Sub(since) >= a.params.AbsenceTimeout
}

// OnIncarnationDead says that one run of an Instance has certainly ended. Its
// attempts are cancelled with the next report of each engine.
func (a *Attempts) OnIncarnationDead(now core.Instant, ref core.InstanceRef) []Output {
	a.deadIncarnations[ref.ID] = max(a.deadIncarnations[ref.ID], ref.Incarnation)
	return a.refreshRounds(now)
}

// SetMembers replaces the Instances of the fleet, this one included.
func (a *Attempts) SetMembers(now core.Instant, members []core.InstanceRef) []Output {
	clear(a.members)
	a.sortedMembers = a.sortedMembers[:0]
	for _, m := range members {
		a.members[m.ID] = m.Incarnation
		a.sortedMembers = append(a.sortedMembers, m.ID)
		delete(a.absentSince, m.ID)
	}
	slices.Sort(a.sortedMembers)
	outputs := a.startSync(now)
	return append(outputs, a.refreshRounds(now)...)
}
