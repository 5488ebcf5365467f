package attempts

import (
	"bytes"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// requesterTTL is the time after which a requester that hasn't repeated its request
// is removed.
const requesterTTL = 10 * noticeRetryInterval

// round is the state of the arbiter of one fingerprint. The arbiter collects an
// acknowledgement from every other member before it permits an attempt.
type round struct {
	number           uint64
	active           bool
	awaitingAcks     []core.InstanceID // members that haven't acknowledged the round
	requesters       []requester       // in order of arrival
	permittedAttempt core.AttemptID    // the last permitted attempt
	permittedTo      core.InstanceRef
}

type requester struct {
	from          core.InstanceRef
	attempt       core.AttemptID
	lastRequestAt core.Instant
}

// OnSuspectNotice handles a notice of a peer about suspect fingerprints.
func (a *Attempts) OnSuspectNotice(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	a.expireRecords(now)
	switch n.Kind {
	case NoticeLosses:
		return a.onLosses(now, from, n)
	case NoticeRoundAck:
		return a.onRoundAck(now, from, n)
	case NoticePermitRequest:
		return a.onPermitRequest(now, from, n)
	case NoticeAllow:
		return a.onAllow(now, n)
	case NoticeDeny:
		return a.onDeny(now, n)
	case NoticeClear:
		a.removeLosses(n.Record)
		return a.completeRound(now, n.Fingerprint)
	case NoticeSyncRequest:
		return a.send(now, from.ID, SuspectNotice{Kind: NoticeRecords, Records: a.allRecords()})
	case NoticeRecords:
		return a.onRecords(now, from, n)
	}
	return nil
}

// onLosses merges losses. The notice of a round is acknowledged once no attempt of
// the fingerprint is left here; the arbiter repeats the notice until then.
func (a *Attempts) onLosses(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	_, outputs := a.merge(now, n.Record)
	if n.Round == 0 || !a.isIdle(n.Fingerprint, n.Attempt) {
		return outputs
	}
	outputs = append(outputs, a.renewPermitRequests(now, from.ID, n.Fingerprint)...)
	return append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeRoundAck, Record: a.recordOf(n.Fingerprint), Round: n.Round})...)
}

// isIdle reports whether no attempt of the fingerprint runs or may start here. A
// permission request that the arbiter has already granted counts as a running
// attempt.
func (a *Attempts) isIdle(fp core.Fingerprint, granted core.AttemptID) bool {
	return len(a.activeAttempts[fp]) == 0 && a.permitRequests[granted] == nil
}

// renewPermitRequests replaces the requests to a former arbiter by new ones.
// Otherwise a delayed permission of the former arbiter could allow an attempt
// beside the one that the present arbiter permits.
func (a *Attempts) renewPermitRequests(now core.Instant, arbiter core.InstanceID, fp core.Fingerprint) []Output {
	var stale []*request
	for _, q := range a.permitRequests {
		if q.Fingerprint == fp && q.permitArbiter != arbiter {
			stale = append(stale, q)
		}
	}
	slices.SortFunc(stale, func(x, y *request) int { return compareAttempts(x.permitID, y.permitID) })
	var outputs []Output
	for _, q := range stale {
		delete(a.permitRequests, q.permitID)
		requestedAt := q.permitRequestedAt
		outputs = append(outputs, a.requestPermit(now, q, q.placement)...)
		q.permitRequestedAt = requestedAt
	}
	return outputs
}

func (a *Attempts) onPermitRequest(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	_, outputs := a.merge(now, n.Record)
	fp := n.Fingerprint
	r := a.rounds[fp]
	if !a.isSuspect(fp) && r == nil {
		outputs = append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeClear, Record: n.Record})...)
		return append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeAllow, Record: Record{Fingerprint: fp}, Attempt: n.Attempt})...)
	}
	if r == nil {
		r = &round{}
		a.rounds[fp] = r
	}
	if r.permittedAttempt == n.Attempt {
		return append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeAllow, Record: a.recordOf(fp), Attempt: n.Attempt})...)
	}
	i := slices.IndexFunc(r.requesters, func(req requester) bool { return req.attempt == n.Attempt })
	if i >= 0 {
		r.requesters[i].lastRequestAt = now
	} else {
		r.requesters = append(r.requesters, requester{from: from, attempt: n.Attempt, lastRequestAt: now})
	}
	if r.active {
		return outputs
	}
	return append(outputs, a.startRound(now, fp, r)...)
}

// startRound requests an acknowledgement from every other member.
func (a *Attempts) startRound(now core.Instant, fp core.Fingerprint, r *round) []Output {
	a.lastRound++
	r.number = uint64(a.self.Incarnation)<<32 | a.lastRound
	r.active = true
	r.awaitingAcks = slices.DeleteFunc(slices.Clone(a.sortedMembers), func(id core.InstanceID) bool { return id == a.self.ID })
	a.addTimer(timer{at: now.Add(noticeRetryInterval), kind: timerRound, fingerprint: fp, round: r.number})
	outputs := a.sendRoundRequests(fp, r)
	return append(outputs, a.completeRound(now, fp)...)
}

func (a *Attempts) sendRoundRequests(fp core.Fingerprint, r *round) []Output {
	var outputs []Output
	for _, to := range r.awaitingAcks {
		n := SuspectNotice{Kind: NoticeLosses, Record: a.recordOf(fp), Attempt: r.permittedAttempt, Round: r.number}
		outputs = append(outputs, SendSuspectNotice{To: to, Notice: n})
	}
	return outputs
}

// restartRound restarts an active round because of a new loss that its members
// haven't confirmed.
func (a *Attempts) restartRound(now core.Instant, fp core.Fingerprint) []Output {
	r := a.rounds[fp]
	if r == nil || !r.active {
		return nil
	}
	return a.startRound(now, fp, r)
}

func (a *Attempts) onRoundTimer(now core.Instant, due timer) []Output {
	r := a.rounds[due.fingerprint]
	if r == nil || !r.active || r.number != due.round {
		return nil
	}
	r.requesters = slices.DeleteFunc(r.requesters, func(req requester) bool { return now.Sub(req.lastRequestAt) >= requesterTTL })
	if len(r.requesters) == 0 {
		r.active = false
		return nil
	}
	a.addTimer(timer{at: now.Add(noticeRetryInterval), kind: timerRound, fingerprint: due.fingerprint, round: r.number})
	return append(a.sendRoundRequests(due.fingerprint, r), a.completeRound(now, due.fingerprint)...)
}

func (a *Attempts) onRoundAck(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	r := a.rounds[n.Fingerprint]
	if r == nil || !r.active || r.number != n.Round || a.members[from.ID] > from.Incarnation {
		return nil
	}
	changed, outputs := a.merge(now, n.Record)
	if changed {
		return outputs // merge has restarted the round
	}
	r.awaitingAcks = slices.DeleteFunc(r.awaitingAcks, func(id core.InstanceID) bool { return id == from.ID })
	return append(outputs, a.completeRound(now, n.Fingerprint)...)
}

// completeRound permits or denies attempts once every member has acknowledged the
// round.
func (a *Attempts) completeRound(now core.Instant, fp core.Fingerprint) []Output {
	r := a.rounds[fp]
	if r == nil || !r.active || len(r.awaitingAcks) > 0 || !a.isIdle(fp, r.permittedAttempt) {
		return nil
	}
	if a.permitHolderDead(r) {
		// The permitted attempt ended with its Instance and may have crashed an
		// Upstream.
		loss := Record{Fingerprint: fp, Losses: []Loss{{Attempt: r.permittedAttempt, Blame: 1}}}
		if changed, outputs := a.merge(now, loss); changed {
			return outputs // merge has restarted the round
		}
	}
	r.active = false
	r.permittedAttempt = core.AttemptID{}
	requesters := r.requesters
	r.requesters = nil
	switch losses := a.lossCount(fp); {
	case losses >= maxLosses:
		delete(a.rounds, fp)
		return a.sendDecision(now, fp, NoticeDeny, requesters)
	case losses == 0:
		delete(a.rounds, fp)
		return a.sendDecision(now, fp, NoticeAllow, requesters)
	case len(requesters) == 0:
		delete(a.rounds, fp)
		return nil
	}
	r.permittedAttempt = requesters[0].attempt
	r.permittedTo = requesters[0].from
	r.requesters = requesters[1:]
	outputs := a.sendDecision(now, fp, NoticeAllow, requesters[:1])
	if len(r.requesters) > 0 && a.rounds[fp] == r && !r.active {
		outputs = append(outputs, a.startRound(now, fp, r)...)
	}
	return outputs
}

// permitHolderDead reports whether the Instance of the last permitted attempt has
// left the members, restarted or died.
func (a *Attempts) permitHolderDead(r *round) bool {
	if r.permittedAttempt == (core.AttemptID{}) || r.permittedTo == a.self {
		return false
	}
	current, member := a.members[r.permittedTo.ID]
	return !member || current > r.permittedTo.Incarnation || a.deadIncarnations[r.permittedTo.ID] >= r.permittedTo.Incarnation
}

func (a *Attempts) sendDecision(now core.Instant, fp core.Fingerprint, kind NoticeKind, requesters []requester) []Output {
	var outputs []Output
	for _, req := range requesters {
		n := SuspectNotice{Kind: kind, Record: a.recordOf(fp), Attempt: req.attempt}
		outputs = append(outputs, a.send(now, req.from.ID, n)...)
	}
	return outputs
}

// refreshRounds restarts the active rounds after a change of the members and
// removes the rounds of which this Instance is no longer the arbiter.
func (a *Attempts) refreshRounds(now core.Instant) []Output {
	var fingerprints []core.Fingerprint
	for fp := range a.rounds {
		fingerprints = append(fingerprints, fp)
	}
	slices.SortFunc(fingerprints, func(x, y core.Fingerprint) int { return bytes.Compare(x[:], y[:]) })
	var outputs []Output
	for _, fp := range fingerprints {
		if a.arbiter(fp) != a.self.ID {
			delete(a.rounds, fp)
			continue
		}
		outputs = append(outputs, a.restartRound(now, fp)...)
	}
	return outputs
}

func (a *Attempts) allRecords() []Record {
	list := make([]Record, 0, len(a.records))
	for fp := range a.records {
		list = append(list, a.recordOf(fp))
	}
	slices.SortFunc(list, func(x, y Record) int { return bytes.Compare(x.Fingerprint[:], y.Fingerprint[:]) })
	return list
}

// startSync requests the records of all peers when an incarnation first sees them.
// Requests wait until every peer has replied, for at most SyncTimeout.
func (a *Attempts) startSync(now core.Instant) []Output {
	others := slices.DeleteFunc(slices.Clone(a.sortedMembers), func(id core.InstanceID) bool { return id == a.self.ID })
	if !a.syncStarted {
		if len(others) == 0 {
			return nil
		}
		a.syncStarted = true
		a.synced = false
		a.syncStartedAt = now
		a.awaitingRecords = others
		return a.sendSyncRequests(now)
	}
	if a.synced {
		return nil
	}
	a.awaitingRecords = slices.DeleteFunc(a.awaitingRecords, func(id core.InstanceID) bool { return !slices.Contains(others, id) })
	return a.finishSync(now, false)
}

func (a *Attempts) sendSyncRequests(now core.Instant) []Output {
	a.addTimer(timer{at: now.Add(min(noticeRetryInterval, a.params.SyncTimeout)), kind: timerSync})
	var outputs []Output
	for _, to := range a.awaitingRecords {
		outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeSyncRequest}})
	}
	return outputs
}

func (a *Attempts) onSyncTimer(now core.Instant) []Output {
	if a.synced {
		return nil
	}
	if now.Sub(a.syncStartedAt) >= a.params.SyncTimeout {
		return a.finishSync(now, true)
	}
	return a.sendSyncRequests(now)
}

func (a *Attempts) onRecords(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	var outputs []Output
	for _, rec := range n.Records {
		_, more := a.merge(now, rec)
		outputs = append(outputs, more...)
	}
	a.awaitingRecords = slices.DeleteFunc(a.awaitingRecords, func(id core.InstanceID) bool { return id == from.ID })
	return append(outputs, a.finishSync(now, false)...)
}

// finishSync starts the requests that waited for the records.
func (a *Attempts) finishSync(now core.Instant, timeout bool) []Output {
	if a.synced || (len(a.awaitingRecords) > 0 && !timeout) {
		return nil
	}
	a.synced = true
	a.awaitingRecords = nil
	var waiting []*request
	for _, q := range a.requests {
		if q.phase == phaseAwaitingSync {
			waiting = append(waiting, q)
		}
	}
	slices.SortFunc(waiting, func(x, y *request) int { return bytes.Compare([]byte(x.ID), []byte(y.ID)) })
	var outputs []Output
	for _, q := range waiting {
		if a.isSuspect(q.Fingerprint) {
			outputs = append(outputs, a.requestPermit(now, q, q.placement)...)
			continue
		}
		outputs = append(outputs, a.startAttempt(now, q, *q.placement, a.nextID())...)
	}
	return outputs
}
