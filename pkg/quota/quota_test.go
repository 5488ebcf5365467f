package quota

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const customer = core.AccountID("a")

func ref(id string, incarnation core.Incarnation) core.InstanceRef {
	return core.InstanceRef{ID: core.InstanceID(id), Incarnation: incarnation}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func at(d time.Duration) core.Instant { return core.Instant(time.Hour + d) }

// Guards against a restarted Instance that charges its accounts with everything that its
// peers have admitted since their start, and refuses all requests for minutes.
func TestFirstReportOfAnOlderPeerIsNotCharged(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 1000, Burst: 1000})
	q.OnPeerReports(at(time.Second), ref("old", 1), map[core.AccountID]Report{customer: {Admitted: 5_000_000, Level: 900}})
	admitted, _ := q.Admit(at(3*time.Second), customer, 500)
	is.True(admitted)
}

// Guards against an exceeded allowance while a peer is partitioned: it continues to admit
// an even share of the rate.
func TestSilentPeerKeepsItsShare(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 1000, Burst: 1000})
	q.OnPeerReports(at(0), ref("p", 1), map[core.AccountID]Report{customer: {Level: 1000}})
	q.OnPeerSilent(at(0), at(0), "p")
	is.Equal(q.Level(at(time.Second), customer), int64(500))
	q.OnPeerReports(at(time.Second), ref("p", 1), map[core.AccountID]Report{customer: {Admitted: 200}})
	is.Equal(q.Level(at(time.Second), customer), int64(800)) // 500 were reserved, 200 used
}

// Guards against an allowance that is exceeded by what a peer admits between its last
// report and the detection of its silence.
func TestSilenceCountsFromTheLastReport(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 1000, Burst: 1000})
	lastReport, detected := at(time.Second), at(1600*time.Millisecond)
	q.OnPeerReports(lastReport, ref("p", 1), map[core.AccountID]Report{customer: {Level: 1000}})
	admitted, _ := q.Admit(lastReport, customer, 1000)
	is.True(admitted)
	q.OnPeerSilent(detected, lastReport, "p")
	is.Equal(q.Level(detected, customer), int64(-200)) // of 1600, the peer may have used half, and 1000 are used
}

// Guards against admissions that are reported only with the next full report although the
// account is near its limit, and against urgent reports that are sent twice.
func TestUrgentReports(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 1000, Burst: 1000})
	now := at(time.Second)
	q.Admit(now, customer, 100)
	is.Equal(len(q.TakeUrgentReports(now)), 0) // nine tenths are left
	q.Admit(now, customer, 300)
	is.Equal(q.TakeUrgentReports(now), map[core.AccountID]Report{customer: {Admitted: 400, Asked: 400, Level: 600}})
	is.Equal(len(q.TakeUrgentReports(now)), 0)
}

// Guards against requests of a few tokens that are refused because one large request has
// taken the level below zero, and against an unlimited flood of them.
func TestSmallRequestsPassADebt(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 100_000, Burst: 100_000})
	now := at(time.Second)
	q.Admit(now, customer, 120_000)
	for range 20 {
		now = now.Add(5 * time.Millisecond)
		admitted, _ := q.Admit(now, customer, 10_000)
		is.True(!admitted)
		admitted, _ = q.Admit(now, customer, 200)
		is.True(admitted)
	}
	lowest := q.Level(now, customer)
	for range 10_000 {
		q.Admit(now, customer, 200)
	}
	is.True(q.Level(now, customer) < lowest) // some are admitted
	is.True(q.Level(now, customer) >= -40_200)
}

// Guards against a flood of small requests, which are admitted at a level below zero, that
// exceeds a quota whose burst is many times its rate.
func TestFloodOfSmallRequests(t *testing.T) {
	is := is.New(t)
	const members, tokens = 8, 200
	limit := Limit{Rate: 10_000, Burst: 100_000}
	f := &fleet{limit: limit, partitioned: make([]bool, members)}
	for i := range members {
		f.refs = append(f.refs, ref(string(rune('a'+i)), core.Incarnation(i)))
		f.instances = append(f.instances, New[core.AccountID](f.refs[i], newRand()))
		f.instances[i].SetLimit(at(0), customer, limit)
	}
	for now := at(0); now < at(30*time.Second); now = now.Add(150 * time.Millisecond) {
		for k := range 150 { // 20 times the rate, once the bucket is full
			if now < at(15*time.Second) {
				break
			}
			f.request(now, k%members, tokens)
		}
		f.report(now)
	}
	allowed := int64(1.1 * float64(8*limit.Rate+limit.Burst))
	t.Logf("admitted %d, allowed are %d", f.maxInWindow(8*time.Second), allowed)
	is.True(f.maxInWindow(8*time.Second) <= allowed)
}

// Guards against a level that many Instances use up at the same time: of a demand that is
// many times the level, each admits only its share, and no request is refused while the
// demand is within the rate.
func TestDemandAboveTheLevelIsThinned(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 2), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 100_000, Burst: 100_000})
	q.OnPeerReports(at(0), ref("p", 3), map[core.AccountID]Report{customer: {}})
	now, requested := at(time.Second), int64(0)
	report := func(peerTokens int64) {
		now = now.Add(150 * time.Millisecond)
		requested += peerTokens
		q.OnPeerReports(now, ref("p", 3), map[core.AccountID]Report{customer: {Asked: requested, Admitted: requested / 100}})
	}
	for range 20 {
		report(7_500) // half of the rate
		admitted, _ := q.Admit(now, customer, 5000)
		is.True(admitted)
	}
	for range 20 {
		report(300_000) // 20 times the rate
	}
	admitted := 0
	for range 50 {
		report(300_000) // 500,000 within reportLag, at a level of 100,000
		if ok, _ := q.Admit(now, customer, 5000); ok {
			admitted++
		}
	}
	is.True(admitted <= 20)
	is.True(admitted >= 3)
}

// fleet simulates Instances that admit as much as they can and report to each other.
type fleet struct {
	limit       Limit
	instances   []*Quota[core.AccountID]
	refs        []core.InstanceRef
	partitioned []bool
	admitted    []admission
}

type admission struct {
	at     core.Instant
	tokens int64
}

func (f *fleet) request(now core.Instant, i int, tokens int64) {
	if ok, _ := f.instances[i].Admit(now, customer, tokens); ok {
		f.admitted = append(f.admitted, admission{now, tokens})
	}
}

func (f *fleet) report(now core.Instant) {
	for i, from := range f.instances {
		for j, to := range f.instances {
			switch {
			case i == j:
			case f.partitioned[i] || f.partitioned[j]:
				to.OnPeerSilent(now, now, f.refs[i].ID)
			default:
				to.OnPeerReports(now, f.refs[i], from.Reports(now))
			}
		}
	}
}

// maxInWindow returns the largest sum of admitted tokens over a sliding window.
func (f *fleet) maxInWindow(window time.Duration) int64 {
	var largest, sum int64
	first := 0
	for _, a := range f.admitted {
		sum += a.tokens
		for f.admitted[first].at <= a.at.Add(-window) {
			sum -= f.admitted[first].tokens
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

// Guards against an account that gets more than its allowance over all Instances, with
// partitions, restarts and a demand of several times the rate. The platform allows the rate
// of the window and the burst, a tenth more, and a fixed excess.
func TestFleetKeepsTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 8 * time.Second
		const excess = 110_000
		limit := Limit{Rate: rapid.Int64Range(29_000, 160_000).Draw(t, "rate")}
		limit.Burst = limit.Rate
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		f := &fleet{limit: limit, partitioned: make([]bool, n)}
		for i := range n {
			f.refs = append(f.refs, ref(string(rune('a'+i)), core.Incarnation(i)))
			f.instances = append(f.instances, New[core.AccountID](f.refs[i], newRand()))
			f.instances[i].SetLimit(at(0), customer, limit)
		}
		incarnation := core.Incarnation(n)
		const step = 150 * time.Millisecond
		demand := rapid.IntRange(1, 5).Draw(t, "demand")
		perStep := int(float64(limit.Rate)*float64(demand)*step.Seconds()/5000) + 1
		f.report(at(0))
		for now := at(0); now < at(20*time.Second); now = now.Add(step) {
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				i := rapid.IntRange(0, n-1).Draw(t, "cut")
				f.partitioned[i] = !f.partitioned[i]
			case 1:
				i := rapid.IntRange(0, n-1).Draw(t, "restart")
				incarnation++
				f.refs[i].Incarnation = incarnation
				f.instances[i] = New[core.AccountID](f.refs[i], newRand())
				f.instances[i].SetLimit(now, customer, limit)
			}
			for range perStep {
				f.request(now, rapid.IntRange(0, n-1).Draw(t, "at"), 5000)
			}
			f.report(now)
		}
		allowed := int64(float64(limit.Rate*8+limit.Burst)*1.1) + excess
		if got := f.maxInWindow(window); got > allowed {
			t.Fatalf("admitted %d tokens in a window, allowed are %d", got, allowed)
		}
	})
}

// Guards against requests inside the rate of their account that are refused because the process was
// paused, and against what peers have used meanwhile being spent again.
func TestPausedInstanceKeepsItsShareOnly(t *testing.T) {
	const peers, rate, used = 7, 8000, 900
	for _, reported := range []bool{false, true} {
		is := is.New(t)
		q := New[core.AccountID](ref("self", 1), newRand())
		q.SetLimit(at(0), customer, Limit{Rate: rate, Burst: rate})
		for i := range peers {
			q.OnPeerReports(at(10*time.Second), ref(strconv.Itoa(i), 1), map[core.AccountID]Report{customer: {}})
		}
		awake := at(11300 * time.Millisecond)
		q.OnPaused(awake)
		want := int64(rate / (peers + 1))
		if reported {
			for i := range peers {
				q.OnPeerReports(awake, ref(strconv.Itoa(i), 1), map[core.AccountID]Report{customer: {Admitted: used}})
			}
			want = rate - peers*used
		}
		is.Equal(q.Level(awake, customer), want)
		admitted, _ := q.Admit(awake, customer, want)
		is.True(admitted)
		admitted, _ = q.Admit(awake, customer, want)
		is.True(!admitted)
	}
}

// Guards against an Instance that refuses requests inside the rate of their account when it loses
// its peers, because it deducts what it has not used itself, and against one that spends more than
// its share.
func TestInstanceThatLosesItsPeersKeepsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 94).Draw(t, "peers")
		const rate, burst = 100_000, 100_000
		q := New[core.AccountID](ref("self", 1), newRand())
		q.SetLimit(at(0), customer, Limit{Rate: rate, Burst: burst})
		lost := at(20 * time.Second)
		for i := range peers {
			q.OnPeerReports(lost, ref(strconv.Itoa(i), 1), map[core.AccountID]Report{customer: {}})
		}
		detected := lost.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "detected after ms")) * time.Millisecond)
		used := int64(0)
		for now := lost; now < detected; now = now.Add(100 * time.Millisecond) {
			tokens := rapid.Int64Range(0, 20_000).Draw(t, "tokens")
			if admitted, _ := q.Admit(now, customer, tokens); admitted {
				used += tokens
			}
		}
		for i := range peers {
			q.OnPeerSilent(detected, lost, core.InstanceID(strconv.Itoa(i)))
		}
		level, n := float64(q.Level(detected, customer)), float64(peers+1)
		most := (burst + rate*detected.Sub(lost).Seconds()) / n
		if level > most-float64(used)+1 {
			t.Fatalf("level %.0f after using %d, of a share of %.0f", level, used, most)
		}
		if least := burst/n - float64(used); level < least-1 {
			t.Fatalf("level %.0f after using %d, of a share of %.0f", level, used, burst/n)
		}
	})
}
