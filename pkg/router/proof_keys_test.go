package router_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// revocationDeadline is the time from a promotion after which no Instance accepts
// a key that it revokes. It is the bound of package keys, 11 s after the first
// read in the store's region, plus 1% for clock rates and 2 s for that read.
const revocationDeadline = 11*time.Second*100/99 + 2*time.Second

// withRevokedKeys returns a copy of the document with the keys of an account
// revoked.
func withRevokedKeys(doc *config.Document, account core.AccountID) *config.Document {
	changed := *doc
	changed.Accounts = slices.Clone(doc.Accounts)
	for n := range changed.Accounts {
		if a := &changed.Accounts[n]; a.ID == account {
			a.Keys = slices.Clone(a.Keys)
			for k := range a.Keys {
				a.Keys[k].Revoked = true
			}
		}
	}
	return &changed
}

// refusedBeforeCharge holds the refusal codes of requests whose account was not
// charged.
var refusedBeforeCharge = []core.Code{core.CodeKeyRevoked, core.CodeKeysStale, core.CodeLeaving, core.CodeNotConfigured}

func accepted(r *virtual.Request) bool {
	if r.Refusal != nil {
		return r.Sent > 0 || !slices.Contains(refusedBeforeCharge, r.Refusal.Code)
	}
	return r.Sent > 0 || r.Completed
}

// sendProbes sends small plain requests of the account to every Instance from
// begin to end.
func sendProbes(w *virtual.Simulation, account core.AccountID, begin, end, interval time.Duration) {
	for at := begin; at < end; at += interval {
		w.At(at, func() {
			for _, i := range w.Instances() {
				w.Send(i.View().Instance.ID, virtual.RequestOptions{
					Account: account, Method: "GET", Path: "/lookup/a", Timeout: 10 * time.Second,
				})
			}
		})
	}
}

// keyFaults do not include an outage of the store: in one that begins with the
// promotion, no Instance can read the revocation. Package keys documents this
// risk.
var keyFaults = []string{"kill", "restart", "pause", "cut-store", "cut-peer", "cut-peer-one-way", "cut-region", "loss"}

// Guards against a revoked key that is still accepted (G5) at an Instance that is
// partitioned from the store or its peers, was paused, or restarts.
func TestRevokedKeyStopsUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		opts := drawFleet(t)
		w := virtual.New(opts)
		promoted := faultsBegin + time.Duration(rapid.IntRange(0, 12_000).Draw(t, "promoted ms"))*time.Millisecond
		for range rapid.IntRange(0, 2).Draw(t, "faults") {
			f := drawFault(t)
			f.Kind = rapid.SampledFrom(keyFaults).Draw(t, "key fault")
			f.Duration *= 3
			t.Logf("fault %+v, promoted %s", f, promoted)
			f.apply(w)
		}
		w.At(promoted, func() { w.Promote(withRevokedKeys(opts.Document, "small")) })
		sendProbes(w, "small", promoted, promoted+35*time.Second, 400*time.Millisecond)
		w.RunUntil(promoted + 45*time.Second)
		for _, r := range w.Sequence {
			if r.SentAt > promoted+revocationDeadline && accepted(r) {
				t.Errorf("%s, sent to %s %s after the promotion, was accepted: %+v", r.ID, r.Entry, r.SentAt-promoted, r.Refusal)
			}
		}
	})
}

// Guards against a revoked key with which a request is queued, resumed or started
// at an Instance that can read the store, 4 s after the promotion (G5 by G12).
func TestRevokedKeyStopsWithoutFaults(t *testing.T) {
	t.Parallel()
	opts := smallFleet(5)
	w := virtual.New(opts)
	waitUntilReady(t, w)
	begin := w.Now()
	running := w.Send("entry-01", completion("large", 500, 400))
	w.At(begin+time.Second, func() { w.Promote(withRevokedKeys(opts.Document, "large")) })
	w.At(begin+5*time.Second, func() {
		for _, i := range w.Instances() {
			resumed := completion("large", 500, 400)
			resumed.Resume = running
			w.Send(i.View().Instance.ID, resumed)
			w.Send(i.View().Instance.ID, completion("large", 500, 10))
		}
	})
	w.RunUntil(begin + 20*time.Second)
	for _, r := range w.Sequence[1:] {
		if accepted(r) || r.Refusal.Code != core.CodeKeyRevoked {
			t.Errorf("%s at %s was accepted: %+v", r.ID, r.Entry, r.Refusal)
		}
	}
	if !running.Completed {
		t.Errorf("the response in progress when its key was revoked was interrupted: %+v", running)
	}
}

// Guards against requests within their rate that are refused because of a long
// outage of the store alone (G5, the store outage row of design.md).
func TestStoreOutageRefusesNobody(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(6))
	waitUntilReady(t, w)
	begin := w.Now()
	w.SetStoreDown(true)
	sendProbes(w, "large", begin, begin+3*time.Minute, time.Second)
	w.RunUntil(begin + 3*time.Minute + 10*time.Second)
	for _, r := range w.Sequence {
		if !r.Completed {
			t.Fatalf("%s, sent %s after the outage began: %+v", r.ID, r.SentAt-begin, r.Refusal)
		}
	}
}

// Guards against a request that runs for, or reads the response of, an account
// other than that of its key (G3): with the resume position or with the
// idempotency key of another account. Simulation marks a request whose records contain
// another account.
func TestRequestRunsOnlyForTheAccountOfItsKey(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(7))
	waitUntilReady(t, w)
	running := w.Send("entry-01", completion("large", 500, 200))
	w.RunUntil(w.Now() + time.Second)
	foreignResume := completion("large", 500, 200)
	foreignResume.Account, foreignResume.Resume = "small", running
	foreign := w.Send("entry-02", foreignResume)
	call := virtual.RequestOptions{Account: "large", Method: "POST", Path: "/call", IdempotencyKey: "same", Body: "order"}
	first := w.Send("entry-01", call)
	w.RunUntil(w.Now() + time.Second)
	call.Account = "small"
	second := w.Send("entry-02", call)
	w.RunUntil(w.Now() + 20*time.Second)
	if foreign.Refusal == nil || foreign.Refusal.Code != core.CodeResumeInvalid || !running.Completed {
		t.Errorf("a resume by another account: %+v, the response %+v", foreign.Refusal, running)
	}
	if !first.Completed || !second.Completed || second.Replayed || first.Executed != 1 || second.Executed != 1 {
		t.Errorf("one idempotency key of two accounts: %+v, %+v", first, second)
	}
	for _, r := range w.Sequence {
		if r.Broken != "" {
			t.Errorf("%s: %s", r.ID, r.Broken)
		}
	}
}
