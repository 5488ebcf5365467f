package attempts

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// maxLosses is the number of Upstreams that one fingerprint may cost.
	maxLosses = 2
	// noticeRetryInterval is the pause before a notice without answer is repeated.
	noticeRetryInterval = 100 * time.Millisecond
	// maxClearedLosses bounds the withdrawn losses that are remembered, so that a late
	// notice doesn't bring them back.
	maxClearedLosses = 4096
)

// suspects is what an Instance knows about suspect fingerprints.
type suspects struct {
	records        map[core.Fingerprint]*record
	activeAttempts map[core.Fingerprint][]core.AttemptID // live, permitted or being cancelled
	fingerprintOf  map[core.AttemptID]core.Fingerprint   // of the attempts in busy
	permitRequests map[core.AttemptID]*request
	rounds         map[core.Fingerprint]*round
	lastRound      uint64 // of the last round
	cleared        map[core.AttemptID]bool
	clearedOrder   []core.AttemptID // the keys of cleared, oldest first

	synced          bool
	syncStarted     bool
	syncStartedAt   core.Instant
	awaitingRecords []core.InstanceID // peers whose records are missing, sorted
	oldestAt        core.Instant      // lower bound of record.seen
}

type record struct {
	losses     []Loss
	lastLossAt core.Instant
}

func newSuspects() suspects {
	return suspects{
		records:        map[core.Fingerprint]*record{},
		activeAttempts: map[core.Fingerprint][]core.AttemptID{},
		fingerprintOf:  map[core.AttemptID]core.Fingerprint{},
		permitRequests: map[core.AttemptID]*request{},
		rounds:         map[core.Fingerprint]*round{},
		cleared:        map[core.AttemptID]bool{},
		synced:         true,
	}
}

func (r *record) blame() float64 {
	sum := 0.0
	for _, l := range r.losses {
		sum += l.Blame
	}
	return sum
}

// CheckFingerprint refuses a fingerprint that has cost too many Upstreams.
func (a *Attempts) CheckFingerprint(now core.Instant, fp core.Fingerprint) *core.Refusal {
	a.expireRecords(now)
	if a.lossCount(fp) < maxLosses {
		return nil
	}
	return core.NewRefusal(core.CodeRequestCrashesUpstreams, a.suspectMessage(fp))
}

func (a *Attempts) suspectMessage(fp core.Fingerprint) string {
	r := a.records[fp]
	if r == nil {
		return "upstreams crashed while this request ran"
	}
	return fmt.Sprintf("%d upstreams crashed while this request ran; its share of the blame is %.2f", len(r.losses), r.blame())
}

func (a *Attempts) lossCount(fp core.Fingerprint) int {
	if r := a.records[fp]; r != nil {
		return len(r.losses)
	}
	return 0
}

func (a *Attempts) isSuspect(fp core.Fingerprint) bool { return a.lossCount(fp) > 0 }

func (a *Attempts) recordOf(fp core.Fingerprint) Record {
	known := Record{Fingerprint: fp}
	if r := a.records[fp]; r != nil {
		known.Losses = slices.Clone(r.losses)
	}
	return known
}

func (a *Attempts) expireRecords(now core.Instant) {
	if len(a.records) == 0 || now.Sub(a.oldestAt) < a.params.SuspectTTL {
		return
	}
	a.oldestAt = now
	for fp, r := range a.records {
		if now.Sub(r.lastLossAt) >= a.params.SuspectTTL {
			delete(a.records, fp)
			continue
		}
		a.oldestAt = min(a.oldestAt, r.lastLossAt)
	}
}

// merge adds losses to a record and reports whether any was new. A new loss stops
// the attempts that run without permission, and restarts a round whose members
// haven't confirmed it.
func (a *Attempts) merge(now core.Instant, news Record) (bool, []Output) {
	fresh := false
	for _, l := range news.Losses {
		if a.cleared[l.Attempt] {
			continue
		}
		r := a.records[news.Fingerprint]
		if r == nil {
			a.evictRecord()
			if len(a.records) == 0 {
				a.oldestAt = now
			}
			r = &record{}
			a.records[news.Fingerprint] = r
		}
		if slices.ContainsFunc(r.losses, l.sameCrash) {
			continue
		}
		r.losses = append(r.losses, l)
		r.lastLossAt = now
		fresh = true
	}
	if !fresh {
		return false, nil
	}
	outputs := a.suspend(now, news.Fingerprint)
	return true, append(outputs, a.restartRound(now, news.Fingerprint)...)
}

// sameCrash reports whether two losses are the sameCrash crash: seen by the sameCrash attempt, or
// of the sameCrash run of an Upstream.
func (l Loss) sameCrash(other Loss) bool {
	if l.Attempt == other.Attempt {
		return true
	}
	return l.Generation != 0 && l.Generation == other.Generation && l.Upstream == other.Upstream
}

// evictRecord makes room for a record by forgetting the one with the least blame.
func (a *Attempts) evictRecord() {
	if len(a.records) < a.params.MaxSuspects {
		return
	}
	var worst core.Fingerprint
	least := -1.0
	for fp, r := range a.records {
		blame := r.blame()
		if least < 0 || blame < least || (blame == least && bytes.Compare(fp[:], worst[:]) < 0) {
			worst, least = fp, blame
		}
	}
	delete(a.records, worst)
}

// trackAttempt notes an attempt that may run on an engine.
func (a *Attempts) trackAttempt(fp core.Fingerprint, id core.AttemptID) {
	if _, known := a.fingerprintOf[id]; !known {
		a.fingerprintOf[id] = fp
		a.activeAttempts[fp] = append(a.activeAttempts[fp], id)
	}
}

// untrackAttempt notes that an attempt runs nowhere any more, unless it is live or a cancel
// is open.
func (a *Attempts) untrackAttempt(now core.Instant, id core.AttemptID) []Output {
	fp, known := a.fingerprintOf[id]
	if !known || a.live[id] != nil || a.openCancels[id] > 0 {
		return nil
	}
	delete(a.fingerprintOf, id)
	left := slices.DeleteFunc(a.activeAttempts[fp], func(other core.AttemptID) bool { return other == id })
	if len(left) > 0 {
		a.activeAttempts[fp] = left
		return nil
	}
	delete(a.activeAttempts, fp)
	return a.completeRound(now, fp)
}

// onCrash counts the loss of an Upstream against the fingerprint of a live attempt.
func (a *Attempts) onCrash(now core.Instant, t *attempt, f Failure) []Output {
	shared := 0
	for _, other := range a.live {
		if slices.Contains(other.heldUpstreams(), f.Upstream) {
			shared++
		}
	}
	shared = max(shared, a.reportedCount[f.Upstream], 1)
	return a.addLoss(now, t.request.Fingerprint, Loss{
		Attempt:    t.id,
		Upstream:   f.Upstream,
		Generation: f.Generation,
		Blame:      1 / float64(shared),
	}, t)
}

// onLateCrash counts a crash that met an attempt before its cancel was confirmed.
func (a *Attempts) onLateCrash(now core.Instant, id core.AttemptID, f Failure) []Output {
	fp, known := a.fingerprintOf[id]
	if !known || a.cancels[f.Upstream][id] == nil {
		return nil
	}
	loss := Loss{Attempt: id, Upstream: f.Upstream, Generation: f.Generation}
	loss.Blame = 1 / float64(max(1, a.reportedCount[f.Upstream]))
	outputs := a.addLoss(now, fp, loss, nil)
	return append(outputs, a.endCancel(now, cancelKey{attempt: id, upstream: f.Upstream})...)
}

// addLoss records a loss and tells the peers at once. The round of the arbiter
// makes sure later that all of them know.
func (a *Attempts) addLoss(now core.Instant, fp core.Fingerprint, l Loss, lost *attempt) []Output {
	if lost != nil {
		delete(a.live, lost.id) // not to be suspended by the merge
		defer func() { a.live[lost.id] = lost }()
	}
	_, outputs := a.merge(now, Record{Fingerprint: fp, Losses: []Loss{l}})
	for _, to := range a.sortedMembers {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeLosses, Record: a.recordOf(fp)}})
		}
	}
	return outputs
}

// suspend stops the attempts of a fingerprint that run without permission. A
// non-idempotent one goes on, because it could not be tried again; the arbiter
// waits for its end.
func (a *Attempts) suspend(now core.Instant, fp core.Fingerprint) []Output {
	var outputs []Output
	for _, id := range slices.Clone(a.activeAttempts[fp]) {
		t := a.live[id]
		if t == nil || !t.request.Idempotent || t.request.permitted {
			continue
		}
		t.maybeSent = true
		outputs = append(outputs, a.endAttempt(now, t, "")...)
		outputs = append(outputs, a.requestPermit(now, t.request, nil)...)
	}
	return outputs
}

// clearSuspect withdraws the losses of a fingerprint whose request has completed.
func (a *Attempts) clearSuspect(now core.Instant, fp core.Fingerprint) []Output {
	if !a.isSuspect(fp) {
		return nil
	}
	withdrawn := a.recordOf(fp)
	a.removeLosses(withdrawn)
	var outputs []Output
	for _, to := range a.sortedMembers {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeClear, Record: withdrawn}})
		}
	}
	return outputs
}

// removeLosses removes losses and remembers that they are withdrawn.
func (a *Attempts) removeLosses(withdrawn Record) {
	for _, l := range withdrawn.Losses {
		if !a.cleared[l.Attempt] {
			a.cleared[l.Attempt] = true
			a.clearedOrder = append(a.clearedOrder, l.Attempt)
		}
	}
	for len(a.clearedOrder) > maxClearedLosses {
		delete(a.cleared, a.clearedOrder[0])
		a.clearedOrder = a.clearedOrder[1:]
	}
	r := a.records[withdrawn.Fingerprint]
	if r == nil {
		return
	}
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return a.cleared[l.Attempt] })
	if len(r.losses) > 0 {
		return
	}
	delete(a.records, withdrawn.Fingerprint)
	if round := a.rounds[withdrawn.Fingerprint]; round != nil && !round.active {
		delete(a.rounds, withdrawn.Fingerprint)
	}
}

// permittedUpstreams returns the Upstreams on which permitted tries run.
func (a *Attempts) permittedUpstreams() []core.UpstreamID {
	var ups []core.UpstreamID
	for _, t := range a.live {
		if t.request.permitted {
			ups = append(ups, t.heldUpstreams()...)
		}
	}
	return ups
}

// arbiter returns the member that decides over the fingerprint.
func (a *Attempts) arbiter(fp core.Fingerprint) core.InstanceID {
	best, bestHash := a.self.ID, uint64(0)
	for _, id := range a.sortedMembers {
		if hash := xxhash.Sum64(append(fp[:], id...)); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best
}

// send delivers a notice, to this Instance directly.
func (a *Attempts) send(now core.Instant, to core.InstanceID, n SuspectNotice) []Output {
	if to == a.self.ID {
		return a.OnSuspectNotice(now, a.self, n)
	}
	return []Output{SendSuspectNotice{To: to, Notice: n}}
}

// requestPermit makes a request wait for the arbiter. With a plan it starts there when
// permitted, without one it asks for a placement then.
func (a *Attempts) requestPermit(now core.Instant, q *request, plan *Placement) []Output {
	q.phase = phaseAwaitingPermit
	q.placement = plan
	q.permitID = a.nextID()
	q.permitRequestedAt = now
	a.permitRequests[q.permitID] = q
	a.addTimer(timer{at: now.Add(noticeRetryInterval), kind: timerPermit, request: q.ID, attempt: q.permitID})
	return a.sendPermitRequest(now, q)
}

func (a *Attempts) sendPermitRequest(now core.Instant, q *request) []Output {
	q.permitArbiter = a.arbiter(q.Fingerprint)
	return a.send(now, q.permitArbiter, SuspectNotice{Kind: NoticePermitRequest, Record: a.recordOf(q.Fingerprint), Attempt: q.permitID})
}

func (a *Attempts) onPermitTimer(now core.Instant, due timer) []Output {
	q := a.permitRequests[due.attempt]
	if q == nil {
		return nil
	}
	if now.Sub(q.permitRequestedAt) >= a.params.VerdictTimeout {
		delete(a.permitRequests, due.attempt)
		refusal := q.refusal(core.CodeRequestCrashesUpstreams, "no permission to run a request that may crash upstreams came in time")
		refusal.RetryAfter = a.params.VerdictTimeout
		return a.failRequest(q, refusal)
	}
	a.addTimer(timer{at: now.Add(noticeRetryInterval), kind: timerPermit, attempt: due.attempt})
	return a.sendPermitRequest(now, q)
}

// dropPermit ends the wait or the permission of a request that is given up.
func (a *Attempts) dropPermit(now core.Instant, q *request) []Output {
	delete(a.permitRequests, q.permitID)
	if !q.permitted {
		return nil
	}
	return a.untrackAttempt(now, q.permitID)
}

func (a *Attempts) onAllow(now core.Instant, n SuspectNotice) []Output {
	q := a.permitRequests[n.Attempt]
	if q == nil {
		return nil
	}
	delete(a.permitRequests, n.Attempt)
	if q.pendingRefusal != nil {
		return a.failRequest(q, q.pendingRefusal) // the answer had to wait, the permission isn't used
	}
	q.permitted = true
	a.trackAttempt(q.Fingerprint, q.permitID)
	if q.placement != nil && now <= max(q.permitRequestedAt, q.placement.StartPrefillAt).Add(a.params.MaxStartDelay) {
		return a.startAttempt(now, q, *q.placement, q.permitID)
	}
	return []Output{a.reschedule(q)}
}

func (a *Attempts) onDeny(now core.Instant, n SuspectNotice) []Output {
	_, outputs := a.merge(now, n.Record)
	q := a.permitRequests[n.Attempt]
	if q == nil {
		return outputs
	}
	delete(a.permitRequests, n.Attempt)
	return append(outputs, a.failRequest(q, q.refusal(core.CodeRequestCrashesUpstreams, a.suspectMessage(q.Fingerprint)))...)
}
