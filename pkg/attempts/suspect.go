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
	// maxLosses is the number of Upstreams that may crash while one fingerprint
	// runs on them. At this number it is refused.
	maxLosses = 2
	// noticeRetryInterval is the delay before an unacknowledged notice is sent
	// again.
	noticeRetryInterval = 100 * time.Millisecond
	// maxClearedLosses bounds the cleared losses that are remembered, so that a
	// delayed notice doesn't restore them.
	maxClearedLosses = 4096
)

// suspects is the state of an Instance for suspect fingerprints.
type suspects struct {
	records        map[core.Fingerprint]*record
	activeAttempts map[core.Fingerprint][]core.AttemptID // live, permitted or being cancelled
	fingerprintOf  map[core.AttemptID]core.Fingerprint   // of the attempts in activeAttempts
	permitRequests map[core.AttemptID]*request
	rounds         map[core.Fingerprint]*round
	lastRound      uint64 // number of the last round
	cleared        map[core.AttemptID]bool
	clearedOrder   []core.AttemptID // keys of cleared, oldest first

	synced          bool
	syncStarted     bool
	syncStartedAt   core.Instant
	awaitingRecords []core.InstanceID // peers whose records are missing, sorted
	oldestAt        core.Instant      // lower bound of record.lastLossAt
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

// CheckFingerprint refuses a fingerprint with maxLosses losses. It returns nil for
// any other.
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

// merge adds losses to a record and reports whether any was new. A new loss ends
// the attempts that run without a permission, and restarts an active round because
// its members haven't confirmed the loss.
func (a *Attempts) merge(now core.Instant, incoming Record) (bool, []Output) {
	changed := false
	for _, l := range incoming.Losses {
		if a.cleared[l.Attempt] {
			continue
		}
		r := a.records[incoming.Fingerprint]
		if r == nil {
			a.evictRecord()
			if len(a.records) == 0 {
				a.oldestAt = now
			}
			r = &record{}
			a.records[incoming.Fingerprint] = r
		}
		if slices.ContainsFunc(r.losses, l.sameCrash) {
			continue
		}
		r.losses = append(r.losses, l)
		r.lastLossAt = now
		changed = true
	}
	if !changed {
		return false, nil
	}
	outputs := a.suspend(now, incoming.Fingerprint)
	return true, append(outputs, a.restartRound(now, incoming.Fingerprint)...)
}

// sameCrash reports whether two losses describe one crash: seen by the same
// attempt, or of the same generation of an Upstream.
func (l Loss) sameCrash(other Loss) bool {
	if l.Attempt == other.Attempt {
		return true
	}
	return l.Generation != 0 && l.Generation == other.Generation && l.Upstream == other.Upstream
}

// evictRecord removes the record with the least blame once there are MaxSuspects.
func (a *Attempts) evictRecord() {
	if len(a.records) < a.params.MaxSuspects {
		return
	}
	var victim core.Fingerprint
	least := -1.0
	for fp, r := range a.records {
		blame := r.blame()
		if least < 0 || blame < least || (blame == least && bytes.Compare(fp[:], victim[:]) < 0) {
			victim, least = fp, blame
		}
	}
	delete(a.records, victim)
}

// trackAttempt records an attempt that may run on an engine.
func (a *Attempts) trackAttempt(fp core.Fingerprint, id core.AttemptID) {
	if _, known := a.fingerprintOf[id]; !known {
		a.fingerprintOf[id] = fp
		a.activeAttempts[fp] = append(a.activeAttempts[fp], id)
	}
}

// untrackAttempt removes an attempt that runs nowhere any more. It does nothing
// while the attempt is live or one of its cancels is open.
func (a *Attempts) untrackAttempt(now core.Instant, id core.AttemptID) []Output {
	fp, known := a.fingerprintOf[id]
	if !known || a.live[id] != nil || a.openCancels[id] > 0 {
		return nil
	}
	delete(a.fingerprintOf, id)
	remaining := slices.DeleteFunc(a.activeAttempts[fp], func(other core.AttemptID) bool { return other == id })
	if len(remaining) > 0 {
		a.activeAttempts[fp] = remaining
		return nil
	}
	delete(a.activeAttempts, fp)
	return a.completeRound(now, fp)
}

// onCrash records the crash of an Upstream as a loss of the fingerprint of a live
// attempt.
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

// onLateCrash records a crash that hit an attempt before its cancel was confirmed.
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

// addLoss records a loss and sends it to the peers immediately. Delivery isn't
// guaranteed here; the round of the arbiter later confirms that every member has
// the loss.
func (a *Attempts) addLoss(now core.Instant, fp core.Fingerprint, l Loss, crashed *attempt) []Output {
	if crashed != nil {
		delete(a.live, crashed.id) // keeps merge from suspending it
		defer func() { a.live[crashed.id] = crashed }()
	}
	_, outputs := a.merge(now, Record{Fingerprint: fp, Losses: []Loss{l}})
	for _, to := range a.sortedMembers {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeLosses, Record: a.recordOf(fp)}})
		}
	}
	return outputs
}

// suspend ends the attempts of a fingerprint that run without a permission. A
// non-idempotent attempt continues, because it could not be retried; the arbiter
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

// clearSuspect clears the losses of a fingerprint whose request has completed, here
// and at the peers.
func (a *Attempts) clearSuspect(now core.Instant, fp core.Fingerprint) []Output {
	if !a.isSuspect(fp) {
		return nil
	}
	cleared := a.recordOf(fp)
	a.removeLosses(cleared)
	var outputs []Output
	for _, to := range a.sortedMembers {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeClear, Record: cleared}})
		}
	}
	return outputs
}

// removeLosses removes losses and remembers them as cleared.
func (a *Attempts) removeLosses(cleared Record) {
	for _, l := range cleared.Losses {
		if !a.cleared[l.Attempt] {
			a.cleared[l.Attempt] = true
			a.clearedOrder = append(a.clearedOrder, l.Attempt)
		}
	}
	for len(a.clearedOrder) > maxClearedLosses {
		delete(a.cleared, a.clearedOrder[0])
		a.clearedOrder = a.clearedOrder[1:]
	}
	r := a.records[cleared.Fingerprint]
	if r == nil {
		return
	}
	r.losses = slices.DeleteFunc(r.losses, func(l Loss) bool { return a.cleared[l.Attempt] })
	if len(r.losses) > 0 {
		return
	}
	delete(a.records, cleared.Fingerprint)
	if round := a.rounds[cleared.Fingerprint]; round != nil && !round.active {
		delete(a.rounds, cleared.Fingerprint)
	}
}

// permittedUpstreams returns the Upstreams on which permitted attempts run.
func (a *Attempts) permittedUpstreams() []core.UpstreamID {
	var upstreams []core.UpstreamID
	for _, t := range a.live {
		if t.request.permitted {
			upstreams = append(upstreams, t.heldUpstreams()...)
		}
	}
	return upstreams
}

// arbiter returns the member that decides on the fingerprint, chosen by rendezvous
// hashing.
func (a *Attempts) arbiter(fp core.Fingerprint) core.InstanceID {
	best, bestHash := a.self.ID, uint64(0)
	for _, id := range a.sortedMembers {
		if hash := xxhash.Sum64(append(fp[:], id...)); hash > bestHash {
			best, bestHash = id, hash
		}
	}
	return best
}

// send delivers a notice; one to this Instance is handled directly.
func (a *Attempts) send(now core.Instant, to core.InstanceID, n SuspectNotice) []Output {
	if to == a.self.ID {
		return a.OnSuspectNotice(now, a.self, n)
	}
	return []Output{SendSuspectNotice{To: to, Notice: n}}
}

// requestPermit makes a request wait for a permission. Once permitted, it starts on
// the placement, or asks for one if that is nil.
func (a *Attempts) requestPermit(now core.Instant, q *request, placement *Placement) []Output {
	q.phase = phaseAwaitingPermit
	q.placement = placement
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
	if now.Sub(q.permitRequestedAt) >= a.params.PermitTimeout {
		delete(a.permitRequests, due.attempt)
		refusal := q.refusal(core.CodeRequestCrashesUpstreams, "no permission to run a request that may crash upstreams came in time")
		refusal.RetryAfter = a.params.PermitTimeout
		return a.failRequest(q, refusal)
	}
	a.addTimer(timer{at: now.Add(noticeRetryInterval), kind: timerPermit, attempt: due.attempt})
	return a.sendPermitRequest(now, q)
}

// dropPermit ends the wait or the permission of an abandoned request.
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
		// The refusal had to wait for the acknowledgements; the permission is unused.
		return a.failRequest(q, q.pendingRefusal)
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
