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
	// noticeEvery is the pause before a notice without answer is repeated.
	noticeEvery = 100 * time.Millisecond
	// maxCleared bounds the withdrawn losses that are remembered, so that a late
	// notice doesn't bring them back.
	maxCleared = 4096
)

// suspects is what an Instance knows about suspect fingerprints.
type suspects struct {
	records   map[core.Fingerprint]*record
	busy      map[core.Fingerprint][]core.AttemptID // live, permitted or being cancelled
	prints    map[core.AttemptID]core.Fingerprint   // of the attempts in busy
	asks      map[core.AttemptID]*request
	rounds    map[core.Fingerprint]*round
	number    uint64 // of the last round
	cleared   map[core.AttemptID]bool
	withdrawn []core.AttemptID // the keys of cleared, oldest first

	synced   bool
	greeted  bool
	greetAt  core.Instant
	unheard  []core.InstanceID // peers whose records are missing, sorted
	oldestAt core.Instant      // lower bound of record.seen
}

type record struct {
	losses []Loss
	seen   core.Instant
}

func newSuspects() suspects {
	return suspects{
		records: map[core.Fingerprint]*record{},
		busy:    map[core.Fingerprint][]core.AttemptID{},
		prints:  map[core.AttemptID]core.Fingerprint{},
		asks:    map[core.AttemptID]*request{},
		rounds:  map[core.Fingerprint]*round{},
		cleared: map[core.AttemptID]bool{},
		synced:  true,
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
	if a.lost(fp) < maxLosses {
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

func (a *Attempts) lost(fp core.Fingerprint) int {
	if r := a.records[fp]; r != nil {
		return len(r.losses)
	}
	return 0
}

func (a *Attempts) isSuspect(fp core.Fingerprint) bool { return a.lost(fp) > 0 }

func (a *Attempts) losses(fp core.Fingerprint) Record {
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
		if now.Sub(r.seen) >= a.params.SuspectTTL {
			delete(a.records, fp)
			continue
		}
		a.oldestAt = min(a.oldestAt, r.seen)
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
		if slices.ContainsFunc(r.losses, l.same) {
			continue
		}
		r.losses = append(r.losses, l)
		r.seen = now
		fresh = true
	}
	if !fresh {
		return false, nil
	}
	outputs := a.suspend(now, news.Fingerprint)
	return true, append(outputs, a.restartRound(now, news.Fingerprint)...)
}

// same reports whether two losses are the same crash: seen by the same attempt, or
// of the same run of an Upstream.
func (l Loss) same(other Loss) bool {
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

// occupy notes an attempt that may run on an engine.
func (a *Attempts) occupy(fp core.Fingerprint, id core.AttemptID) {
	if _, known := a.prints[id]; !known {
		a.prints[id] = fp
		a.busy[fp] = append(a.busy[fp], id)
	}
}

// vacate notes that an attempt runs nowhere any more, unless it is live or a cancel
// is open.
func (a *Attempts) vacate(now core.Instant, id core.AttemptID) []Output {
	fp, known := a.prints[id]
	if !known || a.live[id] != nil || a.open[id] > 0 {
		return nil
	}
	delete(a.prints, id)
	left := slices.DeleteFunc(a.busy[fp], func(other core.AttemptID) bool { return other == id })
	if len(left) > 0 {
		a.busy[fp] = left
		return nil
	}
	delete(a.busy, fp)
	return a.completeRound(now, fp)
}

// onCrash counts the loss of an Upstream against the fingerprint of a live attempt.
func (a *Attempts) onCrash(now core.Instant, t *attempt, f Failure) []Output {
	shared := 0
	for _, other := range a.live {
		if slices.Contains(other.holders(), f.Upstream) {
			shared++
		}
	}
	shared = max(shared, a.onUp[f.Upstream], 1)
	return a.addLoss(now, t.request.Fingerprint, Loss{
		Attempt:    t.id,
		Upstream:   f.Upstream,
		Generation: f.Generation,
		Blame:      1 / float64(shared),
	}, t)
}

// onLateCrash counts a crash that met an attempt before its cancel was confirmed.
func (a *Attempts) onLateCrash(now core.Instant, id core.AttemptID, f Failure) []Output {
	fp, known := a.prints[id]
	if !known || a.cancels[f.Upstream][id] == nil {
		return nil
	}
	loss := Loss{Attempt: id, Upstream: f.Upstream, Generation: f.Generation}
	loss.Blame = 1 / float64(max(1, a.onUp[f.Upstream]))
	outputs := a.addLoss(now, fp, loss, nil)
	return append(outputs, a.endCancel(now, cancelKey{attempt: id, up: f.Upstream})...)
}

// addLoss records a loss and tells the peers at once. The round of the arbiter
// makes sure later that all of them know.
func (a *Attempts) addLoss(now core.Instant, fp core.Fingerprint, l Loss, lost *attempt) []Output {
	if lost != nil {
		delete(a.live, lost.id) // not to be suspended by the merge
		defer func() { a.live[lost.id] = lost }()
	}
	_, outputs := a.merge(now, Record{Fingerprint: fp, Losses: []Loss{l}})
	for _, to := range a.sorted {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeLosses, Record: a.losses(fp)}})
		}
	}
	return outputs
}

// suspend stops the attempts of a fingerprint that run without permission. A
// non-idempotent one goes on, because it could not be tried again; the arbiter
// waits for its end.
func (a *Attempts) suspend(now core.Instant, fp core.Fingerprint) []Output {
	var outputs []Output
	for _, id := range slices.Clone(a.busy[fp]) {
		t := a.live[id]
		if t == nil || !t.request.Idempotent || t.request.permitted {
			continue
		}
		t.sent = true
		outputs = append(outputs, a.stop(now, t, "")...)
		outputs = append(outputs, a.askVerdict(now, t.request, nil)...)
	}
	return outputs
}

// clear withdraws the losses of a fingerprint whose request has completed.
func (a *Attempts) clear(now core.Instant, fp core.Fingerprint) []Output {
	if !a.isSuspect(fp) {
		return nil
	}
	withdrawn := a.losses(fp)
	a.forget(withdrawn)
	var outputs []Output
	for _, to := range a.sorted {
		if to != a.self.ID {
			outputs = append(outputs, SendSuspectNotice{To: to, Notice: SuspectNotice{Kind: NoticeClear, Record: withdrawn}})
		}
	}
	return outputs
}

// forget removes losses and remembers that they are withdrawn.
func (a *Attempts) forget(withdrawn Record) {
	for _, l := range withdrawn.Losses {
		if !a.cleared[l.Attempt] {
			a.cleared[l.Attempt] = true
			a.withdrawn = append(a.withdrawn, l.Attempt)
		}
	}
	for len(a.withdrawn) > maxCleared {
		delete(a.cleared, a.withdrawn[0])
		a.withdrawn = a.withdrawn[1:]
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

// trialUpstreams returns the Upstreams on which permitted tries run.
func (a *Attempts) trialUpstreams() []core.UpstreamID {
	var ups []core.UpstreamID
	for _, t := range a.live {
		if t.request.permitted {
			ups = append(ups, t.holders()...)
		}
	}
	return ups
}

// arbiter returns the member that decides over the fingerprint.
func (a *Attempts) arbiter(fp core.Fingerprint) core.InstanceID {
	best, bestHash := a.self.ID, uint64(0)
	for _, id := range a.sorted {
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

// askVerdict makes a request wait for the arbiter. With a plan it starts there when
// permitted, without one it asks for a placement then.
func (a *Attempts) askVerdict(now core.Instant, q *request, plan *Placement) []Output {
	q.phase = phaseVerdict
	q.plan = plan
	q.asked = a.nextID()
	q.askedAt = now
	a.asks[q.asked] = q
	a.after(timer{at: now.Add(noticeEvery), kind: timerVerdict, request: q.ID, attempt: q.asked})
	return a.sendAsk(now, q)
}

func (a *Attempts) sendAsk(now core.Instant, q *request) []Output {
	q.askedOf = a.arbiter(q.Fingerprint)
	return a.send(now, q.askedOf, SuspectNotice{Kind: NoticePermitRequest, Record: a.losses(q.Fingerprint), Attempt: q.asked})
}

func (a *Attempts) onVerdictTimer(now core.Instant, due timer) []Output {
	q := a.asks[due.attempt]
	if q == nil {
		return nil
	}
	if now.Sub(q.askedAt) >= a.params.VerdictTimeout {
		delete(a.asks, due.attempt)
		refusal := q.refusal(core.CodeRequestCrashesUpstreams, "no permission to run a request that may crash upstreams came in time")
		refusal.RetryAfter = a.params.VerdictTimeout
		return a.fail(q, refusal)
	}
	a.after(timer{at: now.Add(noticeEvery), kind: timerVerdict, attempt: due.attempt})
	return a.sendAsk(now, q)
}

// dropVerdict ends the wait or the permission of a request that is given up.
func (a *Attempts) dropVerdict(now core.Instant, q *request) []Output {
	delete(a.asks, q.asked)
	if !q.permitted {
		return nil
	}
	return a.vacate(now, q.asked)
}

func (a *Attempts) onAllow(now core.Instant, n SuspectNotice) []Output {
	q := a.asks[n.Attempt]
	if q == nil {
		return nil
	}
	delete(a.asks, n.Attempt)
	if q.failWith != nil {
		return a.fail(q, q.failWith) // the answer had to wait, the permission isn't used
	}
	q.permitted = true
	a.occupy(q.Fingerprint, q.asked)
	if q.plan != nil && now <= max(q.askedAt, q.plan.StartPrefillAt).Add(a.params.MaxStartDelay) {
		return a.begin(now, q, *q.plan, q.asked)
	}
	return []Output{a.replace(q)}
}

func (a *Attempts) onDeny(now core.Instant, n SuspectNotice) []Output {
	_, outputs := a.merge(now, n.Record)
	q := a.asks[n.Attempt]
	if q == nil {
		return outputs
	}
	delete(a.asks, n.Attempt)
	return append(outputs, a.fail(q, q.refusal(core.CodeRequestCrashesUpstreams, a.suspectMessage(q.Fingerprint)))...)
}
