// Package quota shares token allowances, such as that of each ClientAccount, between all
// Instances. Each Instance keeps one token bucket per account for the whole fleet: it is
// refilled at the account's rate and drained by the Instance's own admissions and by those
// that peers report. A request is admitted while the level is above zero, whatever its
// size; the level may go below zero and is then repaid by the refill. Small requests are
// still admitted in that case: they hardly count, and their callers should not be affected
// by the large requests of the same account.
//
// The fleet can exceed the allowance by what arrives between two reports. Where that is
// more than the level, requests are admitted with a probability that keeps the sum to the
// level. In a large fleet the time between two full reports is seconds, so an account
// that is used near its limit is reported immediately (TakeUrgentReports).
//
// A silent peer may continue to admit an even share of the level and of the rate. That
// share is reserved for it until its reports arrive again or it is known to have
// terminated. An Instance that receives no reports keeps to its own even share.
package quota

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limit is the allowance of an account over all Instances.
type Limit struct {
	Rate  int64 // tokens per second, 0 for no limit
	Burst int64 // tokens
}

// Report is the usage of one account at one Instance, as sent to the peers.
type Report struct {
	// Admitted counts the tokens admitted since the start of the Instance.
	Admitted int64
	// Asked counts the tokens of all requests since then, refused ones included, and
	// AskedSmall those of small requests among them.
	Asked      int64
	AskedSmall int64
	// Level is the Instance's view of the level of the fleet's bucket.
	Level int64
	// Extra counts the tokens admitted beyond the allowance since the start of the Instance. They are
	// not part of Admitted.
	Extra int64
}

// Quota holds the token buckets of one Instance. K names the accounts. It is not safe for
// concurrent use.
type Quota[K ~string] struct {
	self        core.InstanceRef
	rand        *rand.Rand
	accounts    map[K]*account
	peers       map[core.InstanceID]*peer[K]
	silentPeers int
	claim       claim
	tolerance   Tolerance
	windowsFrom core.Instant // the windows of all accounts are complete from then on
}

type account struct {
	limit     Limit
	limitedAt core.Instant // when the account got a limit
	level     float64      // tokens of the fleet's bucket
	updatedAt core.Instant
	admitted  int64 // tokens since the start of this Instance
	// requested counts the tokens of all requests since then, requestedSmall those of small
	// requests.
	requested        int64
	requestedSmall   int64
	reportedAdmitted int64 // value of admitted in the last urgent report
	history          admissions
	reserved         float64 // sum of what is reserved for silent peers
	// recentDemand counts the tokens of all requests at the fleet and recentSmallDemand
	// those of small requests, both decaying exponentially with demandTimeConstant.
	recentDemand      float64
	recentSmallDemand float64
	// extra counts the tokens admitted beyond the allowance since the start of this Instance.
	extra         int64
	reportedExtra int64 // in the last urgent report
	window        usageWindow
}

type peer[K ~string] struct {
	ref     core.InstanceRef
	silent  bool
	reports map[K]Report // the latest of each account
	// reserved counts the tokens that were reserved while the peer was silent.
	reserved map[K]float64
}

// New returns the Quota of an Instance without accounts and peers.
func New[K ~string](self core.InstanceRef, r *rand.Rand) *Quota[K] {
	return &Quota[K]{self: self, rand: r, accounts: map[K]*account{}, peers: map[core.InstanceID]*peer[K]{}}
}

// SetLimit sets the limit of an account. The bucket of a new account is empty, because
// peers may have used the burst already.
func (q *Quota[K]) SetLimit(now core.Instant, id K, limit Limit) {
	a := q.accounts[id]
	if a == nil {
		a = &account{updatedAt: now}
		q.accounts[id] = a
	}
	q.refill(now, id, a)
	if a.limit.Rate == 0 {
		a.limitedAt = now
	}
	a.limit = limit
	a.level = min(a.level, float64(limit.Burst))
}

// Retain removes the accounts for which keep returns false.
func (q *Quota[K]) Retain(keep func(K) bool) {
	for id := range q.accounts {
		if !keep(id) {
			delete(q.accounts, id)
			for _, p := range q.peers {
				delete(p.reports, id)
				delete(p.reserved, id)
			}
		}
	}
}

// Limit returns the limit of an account, the zero value if it has none.
func (q *Quota[K]) Limit(id K) Limit {
	if a := q.accounts[id]; a != nil {
		return a.limit
	}
	return Limit{}
}

// Clear removes the limit of an account. Its counters remain, so that reports continue from
// them if it gets a limit again, with an empty bucket.
func (q *Quota[K]) Clear(now core.Instant, id K) {
	if a := q.accounts[id]; a != nil {
		q.refill(now, id, a)
		a.limit = Limit{}
		a.level = 0
	}
}

const (
	// smallRequestFraction is the fraction of the burst up to which a request is small. It
	// separates requests of 200 tokens from streams of 10,000 at a burst of 160,000.
	smallRequestFraction = 0.01
	// reportLag is the time until peers know of an admission: the wait for a heartbeat or
	// a quota update, and the latency between regions. The demand of this time may be
	// admitted by all Instances at the same time; where it is more than the level, each
	// request is admitted with the probability that keeps the sum to the level.
	reportLag = 250 * time.Millisecond
	// demandTimeConstant is the time constant of the decaying demand. It spans several
	// reports.
	demandTimeConstant = 600 * time.Millisecond
	// smallRequestOverdraft bounds how far small requests may take the level below zero, as
	// a time at the account's rate. The sum over a window of 8 s may exceed the allowance
	// by a tenth, which is about twice as much.
	smallRequestOverdraft = 400 * time.Millisecond
)

// Admit takes the tokens of a request from an account's bucket and reports whether the
// request is admitted. For a refused request it returns the time after which a retry may
// be admitted. Accounts that are unknown or have no limit admit every request.
func (q *Quota[K]) Admit(now core.Instant, id K, tokens int64) (bool, time.Duration) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return true, 0
	}
	q.refill(now, id, a)
	if q.claim.at(now) == 0 {
		return false, reportLag
	}
	available, demand := a.level, a.recentDemand
	small := float64(tokens) <= smallRequestFraction*float64(a.limit.Burst)
	if small {
		available += smallRequestOverdraft.Seconds() * float64(a.limit.Rate) * q.usablePart(now)
		demand = a.recentSmallDemand
	}
	a.recordDemand(tokens, small)
	expected := demand * (reportLag.Seconds() / demandTimeConstant.Seconds())
	return q.admit(a, tokens, available, expected, reportLag)
}

// Uniform are the settings of AdmitUniform.
type Uniform struct {
	// ReportLag is the time until all peers know of an admission.
	ReportLag time.Duration
	// MinDemand is the demand in tokens that may arise at all Instances within ReportLag
	// although it has not been reported.
	MinDemand float64
}

// AdmitUniform is Admit for accounts whose requests are all alike, so that none is small.
func (q *Quota[K]) AdmitUniform(now core.Instant, id K, tokens int64, u Uniform) (bool, time.Duration) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return true, 0
	}
	q.refill(now, id, a)
	if q.claim.at(now) == 0 {
		return false, u.ReportLag
	}
	expected := max(u.MinDemand, a.recentDemand*(u.ReportLag.Seconds()/demandTimeConstant.Seconds()))
	a.recordDemand(tokens, false)
	return q.admit(a, tokens, a.level, expected, u.ReportLag)
}

// admit takes tokens from a bucket if some are available. Where more are expected to be
// asked for than are available, before Instances hear of each other, it does so with the
// probability that spends them once.
func (q *Quota[K]) admit(a *account, tokens int64, available, expected float64, lag time.Duration) (bool, time.Duration) {
	if available <= 0 {
		return false, time.Duration(-available / float64(a.limit.Rate) * float64(time.Second))
	}
	if q.rand.Float64()*expected > available {
		return false, lag
	}
	a.level -= float64(tokens)
	a.admitted += tokens
	return true, 0
}

// Charge takes tokens from an account's bucket for a request that is not refused.
func (q *Quota[K]) Charge(now core.Instant, id K, tokens int64) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return
	}
	q.refill(now, id, a)
	a.recordDemand(tokens, false)
	a.level -= float64(tokens)
	a.admitted += tokens
}

// OnPaused keeps an even share of the levels after a time in which this process did not run: the
// rest is set aside for each peer until its report shows what it has used meanwhile.
func (q *Quota[K]) OnPaused(now core.Instant) {
	q.restartWindows(now)
	for _, id := range slices.Sorted(maps.Keys(q.peers)) {
		q.OnPeerSilent(now, now, id)
	}
}

// Empty empties the buckets, for allowances of which peers may have used everything.
func (q *Quota[K]) Empty(now core.Instant) {
	q.restartWindows(now)
	for id, a := range q.accounts {
		q.refill(now, id, a)
		a.level = min(a.level, 0)
	}
}

func (a *account) recordDemand(tokens int64, small bool) {
	a.requested += tokens
	a.recentDemand += float64(tokens)
	if small {
		a.requestedSmall += tokens
		a.recentSmallDemand += float64(tokens)
	}
}

// Refund returns the tokens of an admitted request that did not run.
func (q *Quota[K]) Refund(now core.Instant, id K, tokens int64) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return
	}
	q.refill(now, id, a)
	a.level = min(a.level+float64(tokens), float64(a.limit.Burst))
	a.admitted -= tokens
	q.recordLevel(now, a)
}

// Level returns the level of an account's bucket, for logs.
func (q *Quota[K]) Level(now core.Instant, id K) int64 {
	a := q.accounts[id]
	if a == nil {
		return 0
	}
	q.refill(now, id, a)
	return int64(a.level)
}

// maxFirstChargeTime bounds the charge for the first report of a peer that started later,
// as a time at the account's rate, in nanoseconds. Such a peer can't have admitted more
// before its first report arrived.
const maxFirstChargeTime = int64(500 * time.Millisecond)

// OnPeerReports processes the reports of a peer. Accounts that are left out have not
// changed. Reports of a previous incarnation are ignored. For the first report of a peer
// that started earlier, a new Instance adopts the level instead of charging everything
// that the peer has admitted since its start.
func (q *Quota[K]) OnPeerReports(now core.Instant, ref core.InstanceRef, reports map[K]Report) {
	p := q.peers[ref.ID]
	if p != nil && ref.Incarnation < p.ref.Incarnation {
		return
	}
	first := p == nil || p.ref != ref
	if first {
		q.OnPeerTerminated(now, ref.ID)
		p = &peer[K]{ref: ref, reports: map[K]Report{}}
		q.peers[ref.ID] = p
	}
	for id, report := range reports {
		if a := q.accounts[id]; a != nil {
			q.refill(now, id, a)
			q.charge(a, p, id, report, first)
		}
		p.reports[id] = report
		q.dropReservation(p, id)
	}
	if p.silent {
		p.silent = false
		q.silentPeers--
		q.restartWindows(now)
	}
}

// charge subtracts from the level what a peer has admitted since its last report, and adds
// back what was reserved for it.
func (q *Quota[K]) charge(a *account, p *peer[K], id K, report Report, first bool) {
	used := report.Admitted - p.reports[id].Admitted
	if !first {
		a.recentDemand += float64(report.Asked - p.reports[id].Asked)
		a.recentSmallDemand += float64(report.AskedSmall - p.reports[id].AskedSmall)
	}
	if first {
		used = min(used, a.limit.Rate*maxFirstChargeTime/int64(time.Second))
	}
	// What a peer admitted before the account had a limit here is not charged.
	sinceLimit := a.updatedAt.Sub(a.limitedAt).Seconds()*float64(a.limit.Rate) + float64(a.limit.Burst)
	used = min(used, int64(sinceLimit))
	if first && p.ref.Incarnation < q.self.Incarnation {
		used = 0
		a.level = min(a.level, float64(report.Level))
	}
	a.level = min(a.level-float64(used)+p.reserved[id], float64(a.limit.Burst))
	q.recordExtra(a.updatedAt, a, report.Extra-p.reports[id].Extra)
	q.recordLevel(a.updatedAt, a)
}

// dropReservation forgets what is reserved for a peer.
func (q *Quota[K]) dropReservation(p *peer[K], id K) {
	if a := q.accounts[id]; a != nil {
		a.reserved -= p.reserved[id]
	}
	delete(p.reserved, id)
}

// OnPeerSilent handles a peer whose heartbeats have stopped: since is the instant of the
// last one, or the instant at which the peer was listed when there has been none. An even
// share is reserved for it of what all Instances together could have used since then, so that
// this Instance keeps its own share less what it has used itself.
func (q *Quota[K]) OnPeerSilent(now, since core.Instant, id core.InstanceID) {
	q.refillAll(now)
	p := q.peers[id]
	if p == nil {
		p = &peer[K]{ref: core.InstanceRef{ID: id}, reports: map[K]Report{}}
		q.peers[id] = p
	}
	if p.silent {
		return
	}
	p.silent = true
	p.reserved = map[K]float64{}
	known := float64(len(q.peers) + 1)
	for id, a := range q.accounts {
		usable := a.level + a.reserved + a.history.admittedSince(now, since, a.admitted, a.limit.Rate)
		p.reserved[id] = max(0, usable) / known
		a.reserved += p.reserved[id]
		a.level -= p.reserved[id]
	}
	q.silentPeers++
}

// OnPeerTerminated removes a peer that is known to have terminated.
func (q *Quota[K]) OnPeerTerminated(now core.Instant, id core.InstanceID) {
	p := q.peers[id]
	if p == nil {
		return
	}
	q.refillAll(now)
	if p.silent {
		q.silentPeers--
	}
	for account := range p.reserved {
		q.dropReservation(p, account)
	}
	delete(q.peers, id)
}

// Reports returns the reports on all accounts with a limit, for the peers.
func (q *Quota[K]) Reports(now core.Instant) map[K]Report {
	reports := make(map[K]Report, len(q.accounts))
	for id, a := range q.accounts {
		if a.limit.Rate > 0 {
			q.refill(now, id, a)
			reports[id] = a.report()
		}
	}
	return reports
}

// urgentLevelFraction is the fraction of the burst below which an account counts as used
// near its limit. With a burst of one second of the rate, requests that arrive at random
// at half of the rate rarely take a quarter of it.
const urgentLevelFraction = 0.75

// TakeUrgentReports returns the reports on accounts that are used near their limit and of
// which this Instance has admitted requests since the last call.
func (q *Quota[K]) TakeUrgentReports(now core.Instant) map[K]Report {
	reports := map[K]Report{}
	for id, a := range q.accounts {
		if q.needsUrgentReport(now, id, a) {
			a.reportedAdmitted, a.reportedExtra = a.admitted, a.extra
			reports[id] = a.report()
		}
	}
	return reports
}

// HasUrgentReports reports whether TakeUrgentReports would return any.
func (q *Quota[K]) HasUrgentReports(now core.Instant) bool {
	for id, a := range q.accounts {
		if q.needsUrgentReport(now, id, a) {
			return true
		}
	}
	return false
}

func (q *Quota[K]) needsUrgentReport(now core.Instant, id K, a *account) bool {
	if a.limit.Rate == 0 || a.admitted == a.reportedAdmitted && a.extra == a.reportedExtra {
		return false
	}
	q.refill(now, id, a)
	return a.level < urgentLevelFraction*q.usableBurst(a)
}

func (a *account) report() Report {
	return Report{Admitted: a.admitted, Asked: a.requested, AskedSmall: a.requestedSmall, Level: int64(a.level), Extra: a.extra}
}

func (q *Quota[K]) refillAll(now core.Instant) {
	for id, a := range q.accounts {
		q.refill(now, id, a)
	}
}

// refill advances an account to now: it adds the tokens of the elapsed time, less the
// shares that are reserved for silent peers, and lets the demand decay.
func (q *Quota[K]) refill(now core.Instant, id K, a *account) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	a.history.record(now, a.admitted)
	decay := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	a.recentDemand *= decay
	a.recentSmallDemand *= decay
	tokens := elapsed.Seconds() * float64(a.limit.Rate) * q.claim.at(now)
	if q.silentPeers > 0 {
		share := tokens / float64(len(q.peers)+1)
		for _, p := range q.peers {
			if p.silent {
				p.reserved[id] += share
				a.reserved += share
				tokens -= share
			}
		}
	}
	a.level = min(a.level+tokens, q.usableBurst(a))
	q.recordLevel(now, a)
}

// usableBurst returns the share of the burst that the live Instances may use.
func (q *Quota[K]) usableBurst(a *account) float64 {
	return q.usablePart(a.updatedAt) * float64(a.limit.Burst)
}

// usablePart returns the part of the allowances that the live Instances may use together.
func (q *Quota[K]) usablePart(now core.Instant) float64 {
	known := float64(len(q.peers) + 1)
	return q.claim.at(now) * (known - float64(q.silentPeers)) / known
}
