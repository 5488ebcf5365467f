package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a flood of small requests at Instances that are cut off, of which each takes the
// level below zero by the overdraft of the whole fleet.
func TestSmallRequestsOverdrawOnlyTheShare(t *testing.T) {
	is := is.New(t)
	const rate, peers = 100_000, 9
	q := New[core.AccountID](ref("self", 1), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: rate, Burst: rate})
	for i := range peers {
		q.OnPeerSilent(at(0), at(0), core.InstanceID(rune('a'+i)))
	}
	now := at(time.Second)
	for range 1000 {
		q.Admit(now, customer, 200)
	}
	is.True(q.Level(now, customer) < 0)
	is.True(q.Level(now, customer) >= -rate*4/10/(peers+1)-200)
}

// Guards against an Instance that admits requests after its claim has ended without a further
// event, as it was frozen, and against one that has saved up tokens until it gets a claim again.
func TestNothingIsAdmittedAfterTheClaim(t *testing.T) {
	is := is.New(t)
	q := New[core.AccountID](ref("self", 1), newRand())
	q.SetLimit(at(0), customer, Limit{Rate: 1000, Burst: 1000})
	q.SetClaim(at(0), 1, at(3*time.Second))
	admitted, _ := q.Admit(at(2*time.Second), customer, 100)
	is.True(admitted)
	admitted, _ = q.Admit(at(3*time.Second), customer, 100)
	is.True(!admitted)
	q.SetClaim(at(20*time.Second), 1, at(23*time.Second))
	is.Equal(q.Level(at(20*time.Second), customer), int64(0))
	is.Equal(q.Level(at(20500*time.Millisecond), customer), int64(500))
	q.SetClaim(at(21*time.Second), 0.2, at(24*time.Second))
	is.Equal(q.Level(at(22*time.Second), customer), int64(200))
}
