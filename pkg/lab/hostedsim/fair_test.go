package hostedsim

import (
	"fmt"
	"testing"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// runWithHotAccount runs a site of 16 accounts, 2 of them large, at half of its capacity, and multiplies
// the load of one large account. It returns the outcomes of each account over 4 seeds.
func runWithHotAccount(t *testing.T, factor float64) map[core.AccountID]*Counts {
	t.Helper()
	counts := map[core.AccountID]*Counts{}
	for seed := range uint64(4) {
		x := unevenSite(seed)
		x.Streams.PerSecond, x.Calls.PerSecond = 22, 300
		x.Accounts = nil
		for i := range 16 {
			account := AccountSettings{Name: core.AccountID(fmt.Sprintf("account-%02d", i)), Share: 1, Rate: 100_000, Burst: 200_000}
			if i < 2 {
				account.Share, account.Rate, account.Burst = 4, 400_000, 800_000
			}
			x.Accounts = append(x.Accounts, account)
		}
		x.Faults = []Fault{{Kind: FaultBurst, StartSeconds: 1, DurationSeconds: 15, Factor: factor, Account: "account-00"}}
		r, err := Run(x)
		if err != nil {
			t.Fatal(err)
		}
		for _, violation := range r.Violations {
			t.Error(violation)
		}
		for id, c := range r.Accounts {
			if counts[id] == nil {
				counts[id] = &Counts{}
			}
			counts[id].add(*c)
		}
	}
	return counts
}

// Guards against an account at seven times its usual rate that takes from the others what they would
// get without it.
func TestSevenfoldAccountTakesNothingFromOthers(t *testing.T) {
	without, with := runWithHotAccount(t, 0.001), runWithHotAccount(t, 7)
	worst, at := 2.0, core.AccountID("")
	for id, c := range with {
		if id == "account-00" {
			continue
		}
		if ratio := c.Goodput() / without[id].Goodput(); ratio < worst {
			worst, at = ratio, id
		}
	}
	hot := with["account-00"]
	t.Logf("on time: the worst-served other account %s %.3f with, %.3f without, ratio %.3f; the hot account %d of %d",
		at, with[at].Goodput(), without[at].Goodput(), worst, hot.OnTime, hot.Requests)
	if worst < 0.9 {
		t.Errorf("%s gets %.3f of what it gets without the other one", at, worst)
	}
}
