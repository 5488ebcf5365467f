package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
)

// withAccounts returns a configuration with the given ClientAccounts only.
func withAccounts(version core.Version, accounts ...config.HostedAccount) RoutingReceived {
	routing := *hostedRouting(version)
	routing.Accounts, routing.NeedsKeys = accounts, false
	return RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(10 + int(version))}
}

func keyHolder(id core.AccountID, keys ...string) config.HostedAccount {
	account := config.HostedAccount{ID: id, DefaultCostTokens: 10, Rate: 1000, Burst: 100_000}
	for _, key := range keys {
		account.Keys = append(account.Keys, config.DigestKey(key))
	}
	return account
}

// sendWithKey sends a plain request with a key, none if it is empty.
func (r *hostedHarness) sendWithKey(id, key string) {
	request := Request{ID: core.RequestID(id), Host: "h", Path: "/call/x", Deadline: r.now.Add(20 * time.Second)}
	if key != "" {
		digest := config.DigestKey(key)
		request.Key = &digest
	}
	r.step(RequestArrived{Request: request})
}

// Guards against an Instance that ends, or runs requests for no account, when the first
// ClientAccounts are configured while requests wait.
func TestHostedFirstAccountsWhileRequestsWait(t *testing.T) {
	for _, test := range []struct {
		name, key string
		next      []config.HostedAccount
		refusal   core.Code      // empty if the request goes on
		account   core.AccountID // for which it runs
	}{
		{name: "key of an account", key: "key", next: []config.HostedAccount{keyHolder("first", "key")}, account: "first"},
		{name: "key of no account", key: "other", next: []config.HostedAccount{keyHolder("first", "key")}, refusal: core.CodeUnknownKey},
		{name: "no key", next: []config.HostedAccount{keyHolder("first", "key")}, refusal: core.CodeMissingKey},
		{name: "still no accounts", key: "key"},
		{name: "still no accounts and no key"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newHostedHarness(t)
			r.step(withAccounts(2))
			r.step(UpstreamsListed{Revision: storeRevision(20)})
			r.sendWithKey("1", test.key)
			wantNoEffect[StartCall](r) // it waits for an Upstream
			r.step(withAccounts(3, test.next...))
			if test.refusal != "" {
				refusal := wantEffect[Refuse](r).Refusal
				is.Equal(refusal.Code, test.refusal)
				is.Equal(refusal.Ran, core.NotRun)
				return
			}
			wantNoEffect[Refuse](r)
			r.step(UpstreamsListed{Revision: storeRevision(21), Upstreams: r.upstreams})
			is.Equal(wantEffect[StartCall](r).Account, test.account)
		})
	}
}

// Guards against a withdrawn key, or one that no configuration has held, that runs requests because the
// list of ClientAccounts has become empty.
func TestHostedEmptyListOfAccountsMakesNoKeyValid(t *testing.T) {
	for _, test := range []struct {
		name      string
		needsKeys bool
		key       string
		code      core.Code // empty if the request runs
	}{
		{"empty list, withdrawn key", true, "key", core.CodeUnknownKey},
		{"empty list, key of no configuration", true, "never", core.CodeUnknownKey},
		{"empty list, no key", true, "", core.CodeMissingKey},
		{"no list, key", false, "key", ""},
		{"no list, no key", false, "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newHostedHarness(t)
			r.step(UpstreamsListed{Revision: storeRevision(20)})
			r.sendWithKey("waits", "key")
			routing := *hostedRouting(2)
			routing.Accounts, routing.NeedsKeys = nil, test.needsKeys
			r.step(RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(12)})
			is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeKeyRevoked) // the request that waits
			r.step(UpstreamsListed{Revision: storeRevision(21), Upstreams: r.upstreams})
			r.sendWithKey("1", test.key)
			if test.code == "" {
				wantEffect[StartCall](r)
				return
			}
			is.Equal(wantEffect[Refuse](r).Refusal.Code, test.code)
		})
	}
}

// Guards against requests that take nothing from the allowance of their account because they
// arrived before it was configured, and against a refund of more than they took.
func TestHostedWaitingRequestIsChargedToItsFirstAccount(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.step(withAccounts(2))
	r.step(UpstreamsListed{Revision: storeRevision(20)})
	r.sendWithKey("1", "key")
	r.step(withAccounts(3, keyHolder("first", "key")))
	h := r.router.hosted
	is.Equal(h.quota.Limit("first"), quota.Limit{Rate: 1000, Burst: 100_000})
	is.Equal(h.quota.Level(r.now, "first"), int64(-10))
	r.step(CallerDisconnected{Request: "1"})
	is.Equal(h.quota.Level(r.now, "first"), int64(0))
}

// Guards against a waiting request that is refused, or runs for the account of before, because its key
// is now that of another account.
func TestHostedWaitingRequestFollowsItsKey(t *testing.T) {
	for name, accounts := range map[string][]config.HostedAccount{
		"renamed account": {keyHolder("renamed", "key")},
		"moved key":       {keyHolder("acct", "other"), keyHolder("renamed", "key")},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newHostedHarness(t)
			r.step(withAccounts(2, keyHolder("acct", "key")))
			r.advance(time.Second) // the allowance fills
			r.step(UpstreamsListed{Revision: storeRevision(20)})
			r.sendWithKey("1", "key")
			h := r.router.hosted
			before := h.quota.Level(r.now, "acct")
			r.step(withAccounts(3, accounts...))
			wantNoEffect[Refuse](r)
			is.Equal(h.quota.Level(r.now, "renamed"), int64(-10))
			if len(accounts) > 1 {
				is.Equal(h.quota.Level(r.now, "acct"), before+10)
			}
			r.step(UpstreamsListed{Revision: storeRevision(21), Upstreams: r.upstreams})
			is.Equal(wantEffect[StartCall](r).Account, core.AccountID("renamed"))
		})
	}
}

// Guards against a request with a withdrawn key that runs because it was not waiting when the key was
// withdrawn: it waits again after a refused hold or a failed attempt.
func TestHostedWithdrawnKeyStartsNothingLater(t *testing.T) {
	withdrawn := withAccounts(2, keyHolder("acct", "other"))
	full := func(r *hostedHarness, hold AcquireHold) {
		r.step(HoldResult{Request: hold.Request, Attempt: hold.Attempt, Upstream: hold.Upstream, Addr: hold.Addr, Outcome: HoldFull})
	}
	t.Run("refused hold", func(t *testing.T) {
		r := newHostedHarness(t)
		r.sendRequest("1", "/once/x")
		hold := wantEffect[AcquireHold](r)
		r.step(withdrawn)
		full(r, hold)
		wantNoEffect[AcquireHold](r)
		is.New(t).Equal(wantEffect[Refuse](r).Refusal, core.NewRefusal(core.CodeKeyRevoked, "the key was withdrawn while the request waited"))
	})
	t.Run("last refused hold", func(t *testing.T) {
		r := newHostedHarness(t)
		r.sendRequest("1", "/once/x")
		full(r, wantEffect[AcquireHold](r))
		hold := wantEffect[AcquireHold](r)
		r.step(withdrawn)
		full(r, hold)
		is.New(t).Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun) // immediately, not when it is placed
	})
	t.Run("retry", func(t *testing.T) {
		is := is.New(t)
		r := newHostedHarness(t)
		r.sendRequest("1", "/read/x")
		call := wantEffect[StartCall](r)
		r.step(withdrawn)
		r.failAttempt("1", call.Attempt, crashFailure)
		wantNoEffect[StartCall](r)
		is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun)
	})
	t.Run("place in a larger engine", func(t *testing.T) {
		is := is.New(t)
		r := newHostedHarness(t)
		small := *hostedRouting(2)
		small.Services[0].Engine = &config.EngineProfile{Slots: 8, KVCacheTokens: 1000, MaxHoldDuration: time.Second}
		r.step(RoutingReceived{Routing: config.NewRouting(small), Revision: storeRevision(11)})
		r.sendRequest("1", "/once/x")
		r.sendRequest("2", "/once/x")
		wantNoEffect[AcquireHold](r) // no engine is large enough
		larger := withAccounts(3, keyHolder("acct", "other"))
		r.step(larger)
		wantNoEffect[AcquireHold](r)
		var refused []core.RequestID
		for _, effect := range r.lastEffects {
			if e, ok := effect.(Refuse); ok {
				refused = append(refused, e.Request)
			}
		}
		is.Equal(refused, []core.RequestID{"1", "2"})
	})
}
