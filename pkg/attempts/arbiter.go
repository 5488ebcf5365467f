package attempts

import (
	"bytes"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// askerAge is the time after which an asker that hasn't repeated its question is
// forgotten.
const askerAge = 10 * noticeEvery

// round is the state of the arbiter of one fingerprint: it collects the word of
// every member before it permits a try.
type round struct {
	number    uint64
	active    bool
	waiting   []core.InstanceID // members that haven't answered
	askers    []asker           // in order of arrival
	granted   core.AttemptID    // the last permitted try
	grantedTo core.InstanceRef
}

type asker struct {
	from    core.InstanceRef
	attempt core.AttemptID
	at      core.Instant
}

// OnSuspectNotice takes in a notice of a peer about suspect fingerprints.
func (a *Attempts) OnSuspectNotice(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	a.expireRecords(now)
	switch n.Kind {
	case NoticeLosses:
		return a.onMark(now, from, n)
	case NoticeRoundAck:
		return a.onClean(now, from, n)
	case NoticePermitRequest:
		return a.onAsk(now, from, n)
	case NoticeAllow:
		return a.onAllow(now, n)
	case NoticeDeny:
		return a.onDeny(now, n)
	case NoticeClear:
		a.forget(n.Record)
		return a.completeRound(now, n.Fingerprint)
	case NoticeSyncRequest:
		return a.send(now, from.ID, SuspectNotice{Kind: NoticeRecords, Records: a.allRecords()})
	case NoticeRecords:
		return a.onRecords(now, from, n)
	}
	return nil
}

// onMark learns losses. The mark of a round is answered once no attempt of the
// fingerprint is left here; the arbiter repeats it until then.
func (a *Attempts) onMark(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	_, outputs := a.merge(now, n.Record)
	if n.Round == 0 || !a.clean(n.Fingerprint, n.Attempt) {
		return outputs
	}
	outputs = append(outputs, a.reask(now, from.ID, n.Fingerprint)...)
	return append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeRoundAck, Record: a.losses(n.Fingerprint), Round: n.Round})...)
}

// clean reports whether no attempt of the fingerprint runs or may start here. A
// question that the arbiter has permitted counts as running.
func (a *Attempts) clean(fp core.Fingerprint, granted core.AttemptID) bool {
	return len(a.busy[fp]) == 0 && a.asks[granted] == nil
}

// reask replaces the questions to a former arbiter by new ones, so that its late
// permission can't add a try to the one of the present arbiter.
func (a *Attempts) reask(now core.Instant, arbiter core.InstanceID, fp core.Fingerprint) []Output {
	var stale []*request
	for _, q := range a.asks {
		if q.Fingerprint == fp && q.askedOf != arbiter {
			stale = append(stale, q)
		}
	}
	slices.SortFunc(stale, func(x, y *request) int { return compareAttempts(x.asked, y.asked) })
	var outputs []Output
	for _, q := range stale {
		delete(a.asks, q.asked)
		since := q.askedAt
		outputs = append(outputs, a.askVerdict(now, q, q.plan)...)
		q.askedAt = since
	}
	return outputs
}

func (a *Attempts) onAsk(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
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
	if r.granted == n.Attempt {
		return append(outputs, a.send(now, from.ID, SuspectNotice{Kind: NoticeAllow, Record: a.losses(fp), Attempt: n.Attempt})...)
	}
	i := slices.IndexFunc(r.askers, func(k asker) bool { return k.attempt == n.Attempt })
	if i >= 0 {
		r.askers[i].at = now
	} else {
		r.askers = append(r.askers, asker{from: from, attempt: n.Attempt, at: now})
	}
	if r.active {
		return outputs
	}
	return append(outputs, a.startRound(now, fp, r)...)
}

// startRound asks every other member for its word.
func (a *Attempts) startRound(now core.Instant, fp core.Fingerprint, r *round) []Output {
	a.number++
	r.number = uint64(a.self.Incarnation)<<32 | a.number
	r.active = true
	r.waiting = slices.DeleteFunc(slices.Clone(a.sorted), func(id core.InstanceID) bool { return id == a.self.ID })
	a.after(timer{at: now.Add(noticeEvery), kind: timerRound, print: fp, round: r.number})
	outputs := a.sendMarks(fp, r)
	return append(outputs, a.completeRound(now, fp)...)
}

func (a *Attempts) sendMarks(fp core.Fingerprint, r *round) []Output {
	var outputs []Output
	for _, to := range r.waiting {
		n := SuspectNotice{Kind: NoticeLosses, Record: a.losses(fp), Attempt: r.granted, Round: r.number}
		outputs = append(outputs, SendSuspectNotice{To: to, Notice: n})
	}
	return outputs
}

// restartRound begins a running round again, because a loss became known that its
// members haven't confirmed.
func (a *Attempts) restartRound(now core.Instant, fp core.Fingerprint) []Output {
	r := a.rounds[fp]
	if r == nil || !r.active {
		return nil
	}
	return a.startRound(now, fp, r)
}

func (a *Attempts) onRoundTimer(now core.Instant, due timer) []Output {
	r := a.rounds[due.print]
	if r == nil || !r.active || r.number != due.round {
		return nil
	}
	r.askers = slices.DeleteFunc(r.askers, func(k asker) bool { return now.Sub(k.at) >= askerAge })
	if len(r.askers) == 0 {
		r.active = false
		return nil
	}
	a.after(timer{at: now.Add(noticeEvery), kind: timerRound, print: due.print, round: r.number})
	return append(a.sendMarks(due.print, r), a.completeRound(now, due.print)...)
}

func (a *Attempts) onClean(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	r := a.rounds[n.Fingerprint]
	if r == nil || !r.active || r.number != n.Round || a.members[from.ID] > from.Incarnation {
		return nil
	}
	fresh, outputs := a.merge(now, n.Record)
	if fresh {
		return outputs // the round has begun again
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(id core.InstanceID) bool { return id == from.ID })
	return append(outputs, a.completeRound(now, n.Fingerprint)...)
}

// completeRound gives the verdict once every member has given its word.
func (a *Attempts) completeRound(now core.Instant, fp core.Fingerprint) []Output {
	r := a.rounds[fp]
	if r == nil || !r.active || len(r.waiting) > 0 || !a.clean(fp, r.granted) {
		return nil
	}
	if a.grantLost(r) {
		// The try ended with its Instance. It may have crashed an Upstream.
		lost := Record{Fingerprint: fp, Losses: []Loss{{Attempt: r.granted, Blame: 1}}}
		if fresh, outputs := a.merge(now, lost); fresh {
			return outputs // the round has begun again
		}
	}
	r.active = false
	r.granted = core.AttemptID{}
	askers := r.askers
	r.askers = nil
	switch lost := a.lost(fp); {
	case lost >= maxLosses:
		delete(a.rounds, fp)
		return a.answer(now, fp, NoticeDeny, askers)
	case lost == 0:
		delete(a.rounds, fp)
		return a.answer(now, fp, NoticeAllow, askers)
	case len(askers) == 0:
		delete(a.rounds, fp)
		return nil
	}
	r.granted = askers[0].attempt
	r.grantedTo = askers[0].from
	r.askers = askers[1:]
	outputs := a.answer(now, fp, NoticeAllow, askers[:1])
	if len(r.askers) > 0 && a.rounds[fp] == r && !r.active {
		outputs = append(outputs, a.startRound(now, fp, r)...)
	}
	return outputs
}

// grantLost reports whether the Instance of the last permitted try is gone.
func (a *Attempts) grantLost(r *round) bool {
	if r.granted == (core.AttemptID{}) || r.grantedTo == a.self {
		return false
	}
	current, member := a.members[r.grantedTo.ID]
	return !member || current > r.grantedTo.Incarnation || a.dead[r.grantedTo.ID] >= r.grantedTo.Incarnation
}

func (a *Attempts) answer(now core.Instant, fp core.Fingerprint, kind NoticeKind, askers []asker) []Output {
	var outputs []Output
	for _, k := range askers {
		n := SuspectNotice{Kind: kind, Record: a.losses(fp), Attempt: k.attempt}
		outputs = append(outputs, a.send(now, k.from.ID, n)...)
	}
	return outputs
}

// refreshRounds applies new members to the rounds of this arbiter, and drops the
// rounds of which it is no longer the arbiter.
func (a *Attempts) refreshRounds(now core.Instant) []Output {
	var prints []core.Fingerprint
	for fp := range a.rounds {
		prints = append(prints, fp)
	}
	slices.SortFunc(prints, func(x, y core.Fingerprint) int { return bytes.Compare(x[:], y[:]) })
	var outputs []Output
	for _, fp := range prints {
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
		list = append(list, a.losses(fp))
	}
	slices.SortFunc(list, func(x, y Record) int { return bytes.Compare(x.Fingerprint[:], y.Fingerprint[:]) })
	return list
}

// greet asks the peers of a new run for their records. Until they have answered,
// for at most SyncTimeout, requests wait.
func (a *Attempts) greet(now core.Instant) []Output {
	others := slices.DeleteFunc(slices.Clone(a.sorted), func(id core.InstanceID) bool { return id == a.self.ID })
	if !a.greeted {
		if len(others) == 0 {
			return nil
		}
		a.greeted = true
		a.synced = false
		a.greetAt = now
		a.unheard = others
		return a.sendHello(now)
	}
	if a.synced {
		return nil
	}
	a.unheard = slices.DeleteFunc(a.unheard, func(id core.InstanceID) bool { return !slices.Contains(others, id) })
	return a.finishSync(now, false)
}

func (a *Attempts) sendHello(now core.Instant) []Output {
	a.after(timer{at: now.Add(min(noticeEvery, a.params.SyncTimeout)), kind: timerSync})
	var outputs []Output
	for _, to := range a.unheard {
		outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeSyncRequest}})
	}
	return outputs
}

func (a *Attempts) onSyncTimer(now core.Instant) []Output {
	if a.synced {
		return nil
	}
	if now.Sub(a.greetAt) >= a.params.SyncTimeout {
		return a.finishSync(now, true)
	}
	return a.sendHello(now)
}

func (a *Attempts) onRecords(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	var outputs []Output
	for _, one := range n.Records {
		_, more := a.merge(now, one)
		outputs = append(outputs, more...)
	}
	a.unheard = slices.DeleteFunc(a.unheard, func(id core.InstanceID) bool { return id == from.ID })
	return append(outputs, a.finishSync(now, false)...)
}

// finishSync starts the requests that have waited for the records.
func (a *Attempts) finishSync(now core.Instant, timeout bool) []Output {
	if a.synced || (len(a.unheard) > 0 && !timeout) {
		return nil
	}
	a.synced = true
	a.unheard = nil
	var held []*request
	for _, q := range a.requests {
		if q.phase == phaseSyncing {
			held = append(held, q)
		}
	}
	slices.SortFunc(held, func(x, y *request) int { return bytes.Compare([]byte(x.ID), []byte(y.ID)) })
	var outputs []Output
	for _, q := range held {
		if a.isSuspect(q.Fingerprint) {
			outputs = append(outputs, a.askVerdict(now, q, q.plan)...)
			continue
		}
		outputs = append(outputs, a.begin(now, q, *q.plan, a.nextID())...)
	}
	return outputs
}
