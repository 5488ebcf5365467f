package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const second = core.Instant(time.Second)

func testBudget(conns int) *Budget {
	return NewBudget(Limits{Bytes: 2 << 20, LargeBytes: 1 << 20, Conns: [numClasses]int{conns, conns, conns, conns}})
}

// Guards against a new client that is refused because older ones hold all bytes and make no progress.
func TestClientThatHoldsMuchIsClosedBeforeANewOne(t *testing.T) {
	is := is.New(t)
	b := testBudget(100)
	for id := ConnID(1); id <= 4; id++ {
		is.Equal(b.Open(0, id, Callers).Verdict, Granted)
		is.Equal(b.Reserve(0, id, 230<<10).Verdict, Granted)
	}
	is.Equal(b.Open(second, 5, Callers).Verdict, Granted)
	d := b.Reserve(second, 5, 230<<10)
	is.Equal(d.Verdict, Wait) // until the other one has given its bytes back
	is.Equal(len(d.Close), 1)
	is.Equal(b.Reserve(second, 5, 230<<10), Decision{Verdict: Wait}) // no second one is closed for the same bytes
	b.Close(d.Close[0])
	is.Equal(b.Reserve(second, 5, 230<<10).Verdict, Granted)
}

// Guards against a request that was given to an Upstream being closed for another client.
func TestRunningRequestIsNotClosed(t *testing.T) {
	is := is.New(t)
	b := testBudget(2)
	for id := ConnID(1); id <= 2; id++ {
		b.Open(0, id, Callers)
		b.SetPhase(0, id, Running)
	}
	is.Equal(b.Open(60*second, 3, Callers), Decision{Verdict: Refused})
	b.SetPhase(60*second, 2, Sending)
	is.Equal(b.Open(61*second, 3, Callers), Decision{Close: []ConnID{2}})
}

// Guards against an idle connection of an ordinary caller being closed before one that has never sent
// a whole request.
func TestIdleConnectionIsClosedLast(t *testing.T) {
	is := is.New(t)
	b := testBudget(2)
	b.Open(0, 1, Callers)
	b.SetPhase(0, 1, Idle)
	b.Open(8*second, 2, Callers)
	is.Equal(b.Open(12*second, 3, Callers), Decision{Close: []ConnID{2}})
}

// Guards against an answer that is lost although connections could be closed that lose nothing, and against
// clients that don't read their answers and keep new ones out.
func TestConnectionsThatLoseNothingAreClosedFirst(t *testing.T) {
	is := is.New(t)
	b := testBudget(4)
	for id := ConnID(1); id <= 4; id++ {
		b.Open(0, id, Callers)
	}
	b.SetPhase(0, 1, Sending)
	b.SetPhase(0, 2, Running)
	b.SetPhase(9*second, 3, Idle)
	b.SetPhase(9*second, 4, Receiving)
	is.Equal(b.Open(10*second, 5, Callers).Close, []ConnID{4}) // a slow request
	is.Equal(b.Open(10*second, 6, Callers).Close, []ConnID{3}) // an idle connection
	is.Equal(b.Open(11*second, 7, Callers).Close, []ConnID{5}) // a client that has just come
	b.SetPhase(11*second, 6, Sending)
	is.Equal(b.Open(12*second, 8, Callers).Close, []ConnID{1}) // an answer, as answers hold half of all
}

// Guards against the same in crowds of any phases and sizes, for connections and for bytes.
func TestDrawnCrowdsLoseNoAnswerBeforeTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "connections")
		b := NewBudget(Limits{Bytes: 4 << 20, LargeBytes: 4 << 20, Conns: [numClasses]int{n, n, n, n}})
		now := core.Instant(0)
		for id := ConnID(1); id <= ConnID(n); id++ {
			b.Open(now, id, Callers)
			b.Reserve(now, id, rapid.Int64Range(0, 64<<10).Draw(t, "bytes"))
			b.SetPhase(now, id, Phase(rapid.IntRange(int(Receiving), int(Idle)).Draw(t, "phase")))
			now += core.Instant(rapid.Int64Range(0, int64(2*second)).Draw(t, "pause"))
		}
		crowded := b.answersCrowd()
		var d Decision
		if rapid.Bool().Draw(t, "bytes are short") {
			b.Open(now, 1000, Directory)
			d = b.Reserve(now, 1000, rapid.Int64Range(1<<20, 4<<20).Draw(t, "wanted"))
		} else {
			d = b.Open(now, 1000, Callers)
		}
		lost := false
		for _, id := range d.Close {
			switch b.byID[id].phase {
			case Running:
				t.Fatalf("connection %d is closed while its request runs", id)
			case Sending:
				lost = true
			}
		}
		for _, c := range b.conns {
			if lost && !crowded && !c.closing && c.phase != Running && c.phase != Sending && c.debtAt(now) > 0 {
				t.Fatalf("an answer is lost and connection %d is kept", c.id)
			}
		}
	})
}

// Guards against large requests that take the bytes of all ordinary ones.
func TestLargeRequestsLeaveBytesForOrdinaryOnes(t *testing.T) {
	is := is.New(t)
	b := testBudget(100)
	for id := ConnID(1); id <= 4; id++ {
		b.Open(0, id, Callers)
		is.Equal(b.Reserve(0, id, 230<<10).Verdict, Granted)
		b.SetPhase(0, id, Running)
	}
	b.Open(second, 5, Callers)
	is.Equal(b.Reserve(second, 5, 230<<10), Decision{Verdict: Refused})
	is.Equal(b.Reserve(second, 5, 60<<10).Verdict, Granted)
}

// Guards against bytes that are not given back, or given back twice.
func TestEverythingIsGivenBack(t *testing.T) {
	is := is.New(t)
	b := testBudget(100)
	for id := ConnID(1); id <= 5; id++ {
		b.Open(0, id, Directory)
		b.Reserve(0, id, 200<<10)
	}
	b.Release(second, 1, 1<<10)
	is.Equal(b.Held(1), int64(1<<10))
	b.Release(second, 1, 2<<10) // keeps no more than it has
	is.Equal(b.Held(1), int64(1<<10))
	b.Open(second, 6, Callers)
	for _, id := range b.Reserve(second, 6, 900<<10).Close {
		b.Close(id)
	}
	for id := ConnID(1); id <= 6; id++ {
		b.Close(id)
		b.Close(id)
	}
	used, conns := b.Used()
	is.Equal(used, int64(0))
	is.Equal(conns, 0)
	is.Equal([]int64{b.closing, b.large}, []int64{0, 0})
	is.Equal(b.open, [numClasses]int{})
}

// Guards against limits that refuse a request inside the limits of the configuration on the smallest
// machine, or that an ordinary load meets there: 42 requests/s on connections that are idle for 12 s.
func TestLimitsOfTheSmallestMachine(t *testing.T) {
	is := is.New(t)
	l := LimitsFor(112<<20, 3075)
	is.True(l.LargeBytes >= 2*(4<<20)+(4<<20))
	is.True(l.Conns[Callers] > 42*12)
	is.True(l.Bytes < 112<<20/2)
	is.Equal(LimitsFor(0, 0), LimitsFor(DefaultMemoryBytes, DefaultDescriptors))
}

// A shortage with the largest number of connections, all of which must be compared.
func BenchmarkReserveWhenShort(b *testing.B) {
	limits := LimitsFor(112<<20, 3075)
	budget := NewBudget(limits)
	n := limits.Conns[Callers]
	for id := range n {
		budget.Open(0, ConnID(id), Callers)
	}
	budget.Reserve(0, 0, SmallHold/2)
	budget.SetPhase(0, 0, Running)
	for id := 1; id < n; id++ {
		budget.SetPhase(0, ConnID(id), Running)
	}
	for b.Loop() {
		budget.Reserve(second, 1, limits.Bytes)
	}
}
