// Package quota shares the token allowance of each ClientAccount between all
// Instances. Each Instance follows one bucket for the whole fleet: it fills at
// the account's rate and is drained by own admissions and by those that peers
// report. A request is admitted while the level is above zero, whatever its
// size; the level may go below zero and is then repaid by the rate. Meanwhile small
// requests still pass: they hardly count, and their callers need not suffer from the
// large ones of the same account.
//
// The fleet exceeds the allowance by what arrives between two reports. Where that is
// more than the level, requests are admitted at random, as many as the level holds. In a
// large fleet the time between two full reports is seconds, so an account that is
// used near its limit is reported at once (TakeUrgentReports).
// A peer that is not heard may go on with an even part of the level and of the
// rate, so that part is set aside until the peer is heard again or is known to have
// ended. An Instance that hears nobody keeps to its own even part.
package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limit is the allowance of an account over all Instances.
type Limit struct {
	Rate  int64 // tokens per second, 0 for no limit
	Burst int64 // tokens
}

// Report is what one Instance tells the others about an account.
type Report struct {
	// Admitted counts the tokens admitted since the start of the Instance.
	Admitted int64
	// Asked counts the tokens of all requests since then, refused ones included, and
	// AskedSmall those of small requests among them.
	Asked      int64
	AskedSmall int64
	// Level is the level of the fleet's bucket as the Instance sees it.
	Level int64
}

// Quota is the state of one Instance.
type Quota struct {
	self        core.InstanceRef
	rand        *rand.Rand
	accounts    map[core.AccountID]*account
	peers       map[core.InstanceID]*peer
	silentPeers int
}

type account struct {
	limit     Limit
	level     float64 // tokens of the fleet's bucket
	updatedAt core.Instant
	admitted  int64 // tokens since the start of this Instance
	// requested are the tokens of all requests since then, askedSmall those of small ones.
	requested        int64
	requestedSmall   int64
	reportedAdmitted int64 // of admitted, what TakeUrgentReports has returned
	// recentDemand are the tokens that the fleet was asked for, decaying with recentFor, and
	// recentSmall those of small requests.
	recentDemand      float64
	recentSmallDemand float64
}

type peer struct {
	ref     core.InstanceRef
	silent  bool
	reports map[core.AccountID]Report // the last one of each account
	// reserved counts the tokens that were set aside while the peer was silent.
	reserved map[core.AccountID]float64
}

// New returns the Quota of an Instance that knows no other.
func New(self core.InstanceRef, r *rand.Rand) *Quota {
	return &Quota{self: self, rand: r, accounts: map[core.AccountID]*account{}, peers: map[core.InstanceID]*peer{}}
}

// SetLimit puts the limit of an account in force. The bucket of a new account is
// empty, because peers may have used the burst already.
func (q *Quota) SetLimit(now core.Instant, id core.AccountID, limit Limit) {
	a := q.accounts[id]
	if a == nil {
		a = &account{updatedAt: now}
		q.accounts[id] = a
	}
	q.refill(now, id, a)
	a.limit = limit
	a.level = min(a.level, float64(limit.Burst))
}

// Retain drops the accounts that keep does not name.
func (q *Quota) Retain(keep func(core.AccountID) bool) {
	for id := range q.accounts {
		if !keep(id) {
			delete(q.accounts, id)
		}
	}
}

const (
	// smallRequestFraction is the part of the burst up to which a request is small: calls of
	// 200 tokens beside streams of 10,000, at a burst of 160,000.
	smallRequestFraction = 0.01
	// reportLag is the time until the others know of an admission: a heartbeat, or a
	// note, and the way between regions. What the fleet is asked for in this time may
	// be admitted everywhere at once; where that is more than the level, each request
	// is admitted with the probability that keeps the sum to it.
	reportLag = 250 * time.Millisecond
	// demandTimeConstant is the time over which the demand is measured, some reports.
	demandTimeConstant = 600 * time.Millisecond
	// smallRequestOverdraft is the time at the rate by which small requests may take the level
	// below zero. A tenth of what a window of 8 s allows may be exceeded, twice that.
	smallRequestOverdraft = 400 * time.Millisecond
)

// Admit asks for tokens of an account. When they are refused it returns the time
// after which the level is above zero again.
func (q *Quota) Admit(now core.Instant, id core.AccountID, tokens int64) (bool, time.Duration) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return true, 0
	}
	q.refill(now, id, a)
	room, demand := a.level, a.recentDemand
	small := float64(tokens) <= smallRequestFraction*float64(a.limit.Burst)
	if small {
		room += smallRequestOverdraft.Seconds() * float64(a.limit.Rate)
		demand = a.recentSmallDemand
	}
	a.recordDemand(tokens, small)
	if room <= 0 {
		return false, time.Duration(-room / float64(a.limit.Rate) * float64(time.Second))
	}
	if expected := demand * (reportLag.Seconds() / demandTimeConstant.Seconds()); q.rand.Float64()*expected > room {
		return false, reportLag
	}
	a.level -= float64(tokens)
	a.admitted += tokens
	return true, 0
}

func (a *account) recordDemand(tokens int64, small bool) {
	a.requested += tokens
	a.recentDemand += float64(tokens)
	if small {
		a.requestedSmall += tokens
		a.recentSmallDemand += float64(tokens)
	}
}

// Refund gives back the tokens of a request that did not run.
func (q *Quota) Refund(now core.Instant, id core.AccountID, tokens int64) {
	a := q.accounts[id]
	if a == nil || a.limit.Rate == 0 {
		return
	}
	q.refill(now, id, a)
	a.level = min(a.level+float64(tokens), float64(a.limit.Burst))
	a.admitted -= tokens
}

// Level returns the level of an account's bucket, for logs.
func (q *Quota) Level(now core.Instant, id core.AccountID) int64 {
	a := q.accounts[id]
	if a == nil {
		return 0
	}
	q.refill(now, id, a)
	return int64(a.level)
}

// maxFirstChargeTime bounds the charge of the first report of a peer that started later.
// What it can have admitted before others heard of it is at most this time at the
// account's rate, in nanoseconds.
const maxFirstChargeTime = int64(500 * time.Millisecond)

// OnPeerReports takes in what a peer reports. Accounts that the report leaves out have
// not changed. From a peer that started earlier, a new Instance takes over the
// level instead of charging all that the peer has ever admitted.
func (q *Quota) OnPeerReports(now core.Instant, ref core.InstanceRef, reports map[core.AccountID]Report) {
	p := q.peers[ref.ID]
	if p != nil && ref.Incarnation < p.ref.Incarnation {
		return
	}
	first := p == nil || p.ref != ref
	if first {
		q.OnPeerGone(now, ref.ID)
		p = &peer{ref: ref, reports: map[core.AccountID]Report{}}
		q.peers[ref.ID] = p
	}
	for id, report := range reports {
		if a := q.accounts[id]; a != nil {
			q.refill(now, id, a)
			q.charge(a, p, id, report, first)
		}
		p.reports[id] = report
		delete(p.reserved, id)
	}
	if p.silent {
		p.silent = false
		q.silentPeers--
	}
}

// charge takes what a peer has admitted since its last report from the level, less
// what was set aside for it.
func (q *Quota) charge(a *account, p *peer, id core.AccountID, report Report, first bool) {
	used := report.Admitted - p.reports[id].Admitted
	if !first {
		a.recentDemand += float64(report.Asked - p.reports[id].Asked)
		a.recentSmallDemand += float64(report.AskedSmall - p.reports[id].AskedSmall)
	}
	if first {
		used = min(used, a.limit.Rate*maxFirstChargeTime/int64(time.Second))
	}
	if first && p.ref.Incarnation < q.self.Incarnation {
		used = 0
		a.level = min(a.level, float64(report.Level))
	}
	a.level = min(a.level-float64(used)+p.reserved[id], float64(a.limit.Burst))
}

// OnPeerSilent says that a peer has not been heard since an instant, or that one that
// is listed since then has not been heard yet. What it may have used since counts
// as set aside, too.
func (q *Quota) OnPeerSilent(now, since core.Instant, id core.InstanceID) {
	q.refillAll(now)
	p := q.peers[id]
	if p == nil {
		p = &peer{ref: core.InstanceRef{ID: id}, reports: map[core.AccountID]Report{}}
		q.peers[id] = p
	}
	if p.silent {
		return
	}
	p.silent = true
	p.reserved = map[core.AccountID]float64{}
	heard := float64(len(q.peers) + 1 - q.silentPeers)
	unheard := now.Sub(since).Seconds() / float64(len(q.peers)+1)
	for id, a := range q.accounts {
		p.reserved[id] = max(0, a.level)/heard + unheard*float64(a.limit.Rate)
		a.level -= p.reserved[id]
	}
	q.silentPeers++
}

// OnPeerGone says that a peer has certainly ended.
func (q *Quota) OnPeerGone(now core.Instant, id core.InstanceID) {
	p := q.peers[id]
	if p == nil {
		return
	}
	q.refillAll(now)
	if p.silent {
		q.silentPeers--
	}
	delete(q.peers, id)
}

// Reports returns what this Instance tells its peers.
func (q *Quota) Reports(now core.Instant) map[core.AccountID]Report {
	reports := make(map[core.AccountID]Report, len(q.accounts))
	for id, a := range q.accounts {
		if a.limit.Rate > 0 {
			q.refill(now, id, a)
			reports[id] = a.report()
		}
	}
	return reports
}

// urgentLevelFraction is the part of the burst below which an account is used near its limit.
// Requests that arrive at random at half of the rate rarely take a quarter of a
// burst, which is a second of the rate.
const urgentLevelFraction = 0.75

// TakeUrgentReports returns the accounts that are used near their limit and of which this
// Instance has admitted requests since the last call.
func (q *Quota) TakeUrgentReports(now core.Instant) map[core.AccountID]Report {
	reports := map[core.AccountID]Report{}
	for id, a := range q.accounts {
		if q.needsUrgentReport(now, id, a) {
			a.reportedAdmitted = a.admitted
			reports[id] = a.report()
		}
	}
	return reports
}

// HasUrgentReports reports whether TakeUrgentReports would return any.
func (q *Quota) HasUrgentReports(now core.Instant) bool {
	for id, a := range q.accounts {
		if q.needsUrgentReport(now, id, a) {
			return true
		}
	}
	return false
}

func (q *Quota) needsUrgentReport(now core.Instant, id core.AccountID, a *account) bool {
	if a.limit.Rate == 0 || a.admitted == a.reportedAdmitted {
		return false
	}
	q.refill(now, id, a)
	return a.level < urgentLevelFraction*q.usableBurst(a)
}

func (a *account) report() Report {
	return Report{Admitted: a.admitted, Asked: a.requested, AskedSmall: a.requestedSmall, Level: int64(a.level)}
}

func (q *Quota) refillAll(now core.Instant) {
	for id, a := range q.accounts {
		q.refill(now, id, a)
	}
}

// refill adds the tokens since the last call, less the parts of silent peers.
func (q *Quota) refill(now core.Instant, id core.AccountID, a *account) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	a.recentDemand *= decay
	a.recentSmallDemand *= decay
	tokens := elapsed.Seconds() * float64(a.limit.Rate)
	if q.silentPeers > 0 {
		part := tokens / float64(len(q.peers)+1)
		for _, p := range q.peers {
			if p.silent {
				p.reserved[id] += part
				tokens -= part
			}
		}
	}
	a.level = min(a.level+tokens, q.usableBurst(a))
}

// usableBurst is the part of the usableBurst that the Instances that are heard may use.
func (q *Quota) usableBurst(a *account) float64 {
	known := float64(len(q.peers) + 1)
	return float64(a.limit.Burst) * (known - float64(q.silentPeers)) / known
}
