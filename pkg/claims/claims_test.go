package claims

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func drawScenario(t *rapid.T) scenario {
	rate := func(name string, most float64) float64 {
		if !rapid.Bool().Draw(t, name+" on") {
			return 0
		}
		return most * float64(rapid.IntRange(1, 10).Draw(t, name)) / 10
	}
	p := scenario{
		seed:      rapid.Uint64().Draw(t, "seed"),
		nodes:     rapid.IntRange(1, 4).Draw(t, "nodes"),
		keys:      rapid.IntRange(1, 200).Draw(t, "keys"),
		requests:  rapid.IntRange(1, 5).Draw(t, "requests"),
		span:      time.Duration(rapid.IntRange(2, 60).Draw(t, "span")) * time.Second,
		outage:    rate("outage", 0.6),
		slow:      rate("slow", 0.5),
		stale:     rate("stale", 0.5),
		lost:      rate("lost", 0.6),
		late:      rate("late", 0.6),
		twice:     rate("twice", 0.5),
		kill:      rate("kill", 0.5),
		pause:     rate("pause", 0.5),
		notRun:    rate("not run", 0.5),
		retention: 10 * time.Second,
	}
	if rapid.Bool().Draw(t, "untimed keys") {
		p.untimed = true
		p.retention = 10 * time.Minute
	}
	return p
}

// Guards against a second dispatch of a key, a request that runs after it was
// refused as not run, a response after the deadline or a second one, a false
// outcome, and a shard that stays blocked after the faults have ended.
func TestClaimsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, drawScenario(t))
		sim.injectFaults()
		sim.recoverAndCheck()
	})
}

// scriptedInstance is one Instance whose store calls the test replies to.
type scriptedInstance struct {
	c   *Claims
	now core.Instant
}

func newScriptedInstance() *scriptedInstance {
	c := New(core.InstanceRef{ID: "entry-1", Incarnation: 1}, Params{
		Shards: 1, Retention: 10 * time.Second, MaxClockSkew: time.Second, Random: source{rand.New(rand.NewPCG(1, 1))},
	})
	return &scriptedInstance{c: c}
}

func (s *scriptedInstance) claim(id core.RequestID, key string) []Output {
	wall := epoch.Add(time.Duration(s.now))
	return s.c.Claim(s.now, Request{ID: id, IdempotencyKey: key, Deadline: s.now.Add(2 * time.Second), WallTime: wall})
}

// kinds returns the types of the outputs.
func kinds(outs []Output) string {
	var names []string
	for _, out := range outs {
		name := strings.TrimPrefix(fmt.Sprintf("%T", out), "claims.")
		if refused, ok := out.(RequestRefused); ok {
			name += " " + string(refused.Refusal.Code) + " " + string(refused.Refusal.Ran)
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// Guards against the delayed success of a write with a lost reply that confirms the
// claims of the following write.
func TestLateSuccessDoesNotConfirmTheNextWrite(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	is.Equal(kinds(s.claim("r1", "k1")), "ReadShard")
	first := s.c.OnRead(0, 0, nil, 0, false)
	is.Equal(kinds(first), "WriteShard")
	is.Equal(kinds(s.c.OnWriteFailed(0, 0, ReplyLost)), "")
	s.now = s.c.NextWake()
	is.Equal(kinds(s.c.Tick(s.now)), "ReadShard")
	is.Equal(kinds(s.c.OnRead(s.now, 0, nil, 0, false)), "WriteShard") // the first write may still arrive
	is.Equal(kinds(s.claim("r2", "k2")), "")
	is.Equal(kinds(s.c.OnWritten(s.now, 0, 1)), "ReadShard")
	is.Equal(kinds(s.c.OnRead(s.now, 0, first[0].(WriteShard).Object, 1, true)), "ClaimConfirmed, WriteShard")
}

// Guards against a stale read that replaces the object by an older version.
func TestStaleReadIsNotAdopted(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.claim("r1", "k1")
	s.c.OnRead(0, 0, nil, 0, false)
	is.Equal(kinds(s.c.OnWritten(0, 0, 7)), "ClaimConfirmed")
	s.c.Finish(0, "r1", Outcome{Status: 200, Ran: core.MayHaveRun})
	s.claim("r2", "k2")
	is.Equal(kinds(s.c.OnWriteFailed(0, 0, WriteConflict)), "ReadShard")
	is.Equal(s.c.OnRead(0, 0, nil, 0, false)[0].(WriteShard).BaseVersion, uint64(7))
	is.Equal(kinds(s.claim("r3", "k1")), "RecordedOutcome")
}

// Guards against a claim that is confirmed after its deadline because no Tick came
// before the reply of the store.
func TestNotConfirmedAfterDeadline(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.claim("r1", "k1")
	s.c.OnRead(0, 0, nil, 0, false)
	late := core.Instant(2 * time.Second)
	is.Equal(kinds(s.c.OnWritten(late, 0, 1)), "RequestRefused store_unavailable not_run")
	s.now = s.c.NextWake()
	release := s.c.Tick(s.now)
	is.Equal(kinds(release), "WriteShard") // releases the claim
	is.Equal(kinds(s.c.OnWritten(s.now, 0, 2)), "")
	is.Equal(kinds(s.claim("r2", "k1")), "WriteShard") // the key can be claimed again
}

// Guards against a key that runs again after its claim was removed, because the key
// expired while its claim waited for the store.
func TestKeyThatExpiresWhileWaitingIsRefused(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.now = core.Instant(9 * time.Second)
	key := "019b76da-a800-7000-8000-000000000000" // the time of epoch
	is.Equal(kinds(s.claim("r1", key)), "ReadShard")
	later := s.now.Add(time.Second)
	is.Equal(kinds(s.c.OnRead(later, 0, nil, 0, false)), "RequestRefused idempotency_key_expired unknown")
}

// Guards against the back-off of an outage that delays a claim long after the
// outage, when the first write after it meets a conflict (found by seed 2 of
// TestClaimsUnderFaults, 2026-12-04).
func TestConflictAfterOutageRetriesImmediately(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	s.claim("r0", "k0")
	for i := 0; s.c.shards[0].failures < 8; i++ {
		s.c.OnReadFailed(s.now, 0)
		s.claim(core.RequestID(fmt.Sprint("r", i+1)), fmt.Sprint("k", i+1))
		s.now = s.c.NextWake()
		s.c.Tick(s.now)
	}
	is.True(s.c.shards[0].reading)
	is.Equal(kinds(s.c.OnRead(s.now, 0, nil, 0, false)), "WriteShard")
	is.Equal(kinds(s.c.OnWriteFailed(s.now, 0, WriteConflict)), "ReadShard")
}

// Guards against replacing an object of a later format version.
func TestUnreadableObjectIsNotReplaced(t *testing.T) {
	is := is.New(t)
	s := newScriptedInstance()
	is.Equal(kinds(s.claim("r1", "k1")), "ReadShard")
	is.Equal(kinds(s.c.OnRead(0, 0, []byte("layout of the future"), 5, true)), "")
	s.now = core.Instant(1990 * time.Millisecond)
	is.Equal(kinds(s.c.Tick(s.now)), "RequestRefused store_unavailable not_run")
}
