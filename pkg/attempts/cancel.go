package attempts

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	minCancelBackoff = 100 * time.Millisecond
	maxCancelBackoff = 2 * time.Second
	// maxStartTransit is the time after NotAfter within which a start that was
	// already written may still reach its engine.
	maxStartTransit = time.Second
	// maxCancelAge ends the cancels at an Upstream that sends no reports. An engine
	// that is silent for that long has been removed or restarted.
	maxCancelAge = 10 * time.Minute
)

type cancelKey struct {
	attempt  core.AttemptID
	upstream core.UpstreamID
}

// cancel is an unconfirmed cancel of one attempt at one Upstream.
type cancel struct {
	startedAt        core.Instant
	confirmableAfter core.Instant // confirmed only by a report that was observed later
	polled           bool         // since confirmableAfter
	backoff          time.Duration
}

// cancel cancels an attempt of this incarnation at the Upstream up.
func (a *Attempts) cancel(now core.Instant, t *attempt, up core.UpstreamID) []Output {
	c := &cancel{confirmableAfter: now}
	if !t.startDelivered(up) {
		c.confirmableAfter = max(now, t.notAfter.Add(maxStartTransit))
	}
	return a.addCancel(now, cancelKey{attempt: t.id, upstream: up}, c)
}

// startDelivered reports whether the start at up has certainly been delivered, so
// that it can't arrive after the cancel.
func (t *attempt) startDelivered(up core.UpstreamID) bool {
	return t.stage == stageDecode || (t.stage == stageTransfer && up == t.placement.Prefill)
}

func (a *Attempts) addCancel(now core.Instant, key cancelKey, c *cancel) []Output {
	c.startedAt = now
	c.backoff = minCancelBackoff
	cancels := a.cancels[key.upstream]
	if cancels == nil {
		cancels = map[core.AttemptID]*cancel{}
		a.cancels[key.upstream] = cancels
	}
	if cancels[key.attempt] == nil {
		a.openCancels[key.attempt]++
	}
	cancels[key.attempt] = c
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
		// Polls promptly for the first report that can confirm the cancel.
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

// OnCancelConfirmed handles the response of an Upstream to a cancel. It only polls
// for a report: the cancel ends with a report, because a delayed start may still
// arrive after the response.
func (a *Attempts) OnCancelConfirmed(now core.Instant, id core.AttemptID) []Output {
	if a.openCancels[id] == 0 {
		return nil
	}
	var upstreams []core.UpstreamID
	for up, cancels := range a.cancels {
		if cancels[id] != nil {
			upstreams = append(upstreams, up)
		}
	}
	slices.Sort(upstreams)
	var outputs []Output
	for _, up := range upstreams {
		outputs = append(outputs, PollAttempts{Upstream: up})
	}
	return outputs
}

func (a *Attempts) endCancel(now core.Instant, key cancelKey) []Output {
	cancels := a.cancels[key.upstream]
	delete(cancels, key.attempt)
	if len(cancels) == 0 {
		delete(a.cancels, key.upstream)
	}
	a.openCancels[key.attempt]--
	if a.openCancels[key.attempt] == 0 {
		delete(a.openCancels, key.attempt)
	}
	return a.untrackAttempt(now, key.attempt)
}

// OnAttemptReport handles the list of attempts that an Upstream reports. It ends
// the cancels that the list confirms, cancels orphaned attempts, and queries the
// owners of the others when this Instance holds the ledger.
func (a *Attempts) OnAttemptReport(now core.Instant, up core.UpstreamID, r AttemptReport) []Output {
	a.reportedCount[up] = len(r.Attempts)
	outputs := a.confirmCancels(now, up, r)
	queries := map[core.InstanceID][]core.AttemptID{}
	previous := a.ownerQueryAt[up]
	next := map[core.AttemptID]core.Instant{}
	for _, id := range r.Attempts {
		switch {
		case a.isOrphaned(now, id, up, r.HoldsLedger):
			outputs = append(outputs, a.cancelOrphan(now, id, up)...)
		case r.HoldsLedger && id.Owner != a.self:
			queryAt, known := previous[id]
			if !known {
				queryAt = now.Add(a.params.OwnerQueryInterval)
			} else if queryAt <= now {
				queries[id.Owner.ID] = append(queries[id.Owner.ID], id)
				queryAt = now.Add(a.params.OwnerQueryInterval)
			}
			next[id] = queryAt
		}
	}
	a.ownerQueryAt[up] = next
	return append(outputs, ownerQueries(up, queries)...)
}

func ownerQueries(up core.UpstreamID, queries map[core.InstanceID][]core.AttemptID) []Output {
	var owners []core.InstanceID
	for owner := range queries {
		owners = append(owners, owner)
	}
	slices.Sort(owners)
	var outputs []Output
	for _, owner := range owners {
		outputs = append(outputs, SendOwnerQuery{To: owner, Upstream: up, Attempts: queries[owner]})
	}
	return outputs
}

func (a *Attempts) confirmCancels(now core.Instant, up core.UpstreamID, r AttemptReport) []Output {
	var confirmed []cancelKey
	for id, c := range a.cancels[up] {
		if r.ObservedAt > c.confirmableAfter && !slices.Contains(r.Attempts, id) {
			confirmed = append(confirmed, cancelKey{attempt: id, upstream: up})
		}
	}
	slices.SortFunc(confirmed, func(x, y cancelKey) int { return compareAttempts(x.attempt, y.attempt) })
	var outputs []Output
	for _, key := range confirmed {
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

// OnOwnerQuery handles a query of a ledger holder and cancels those of the attempts
// that are orphaned. An attempt that has ended never becomes live again, so a
// delayed query does no harm.
func (a *Attempts) OnOwnerQuery(now core.Instant, up core.UpstreamID, ids []core.AttemptID) []Output {
	var outputs []Output
	for _, id := range ids {
		if a.isOrphaned(now, id, up, false) {
			outputs = append(outputs, a.cancelOrphan(now, id, up)...)
		}
	}
	return outputs
}

// isOrphaned reports whether the attempt at up has no owner that still needs it.
// Only the ledger holder decides on the attempts of other Instances.
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

// cancelOrphan cancels an orphaned attempt that a report lists.
func (a *Attempts) cancelOrphan(now core.Instant, id core.AttemptID, up core.UpstreamID) []Output {
	key := cancelKey{attempt: id, upstream: up}
	if a.cancels[up][id] != nil {
		return nil // its timer repeats the cancel
	}
	return a.addCancel(now, key, &cancel{confirmableAfter: now})
}

// ownerDead reports whether the incarnation that owns an attempt has certainly
// ended, or has been missing from the members for AbsenceTimeout.
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

// OnIncarnationDead handles the certain end of one incarnation of an Instance. Its
// attempts are cancelled at the next report of each engine.
func (a *Attempts) OnIncarnationDead(now core.Instant, ref core.InstanceRef) []Output {
	a.deadIncarnations[ref.ID] = max(a.deadIncarnations[ref.ID], ref.Incarnation)
	return a.refreshRounds(now)
}

// SetMembers replaces the live Instances of the fleet. members includes this
// Instance.
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
