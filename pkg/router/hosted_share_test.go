package router

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against requests that reach the queue without their account, and against an operator who cannot
// see which account fills it: the backlog is logged at most once a second, and counted by urgency.
func TestAccountsShareTheQueue(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	large, small := keyHolder("large", "l"), keyHolder("small", "s")
	large.Rate, small.Rate = 100_000, 100_000
	r.step(withAccounts(2, large, small))
	var calls []StartCall
	for i := range 60 { // there are 48 places
		r.sendWithKey(strconv.Itoa(i), "l")
		if i < 48 {
			calls = append(calls, wantEffect[StartCall](r))
		}
	}
	r.sendWithKey("small", "s")
	wantNoEffect[StartCall](r)
	var lines []string
	for _, effect := range r.advance(800 * time.Millisecond) {
		if e, ok := effect.(Record); ok && e.Event.Component == "queue" {
			lines = append(lines, e.Event.Detail)
		}
	}
	is.Equal(len(lines), 1)
	is.True(strings.HasPrefix(lines[0], "service=plain account=large waiting=12 of=13 other_accounts=1"))
	is.Equal(r.router.HostedGauges(r.now).QueueByUrgency, map[int]UrgencyGauges{0: {Waiting: 13}})
	r.step(ResponseCompleted{Request: calls[0].Request, Attempt: calls[0].Attempt, Status: 200})
	is.Equal(wantEffect[StartCall](r).Request, core.RequestID("small"))
	r.advance(200 * time.Millisecond)
	is.Equal(r.router.HostedGauges(r.now).QueueByUrgency, map[int]UrgencyGauges{0: {Refused: 12}})
}

// Guards against weights in different units, by which an account with a rate in requests would get a
// thousandth of one with the same rate in tokens.
func TestWeightsOfAccounts(t *testing.T) {
	tokens := config.HostedAccount{Rate: 50_000, DefaultCostTokens: 5000}
	requests := config.HostedAccount{Rate: 10, DefaultCostTokens: 1, CountRequests: true}
	got := sharesOf([]config.HostedAccount{tokens, requests, {DefaultCostTokens: 7}, {Rate: 90_000}})
	if want := (shares{tokens: 50_000, requests: 10, plain: 10}); got != want {
		t.Errorf("weights without a rate: %v, want %v", got, want)
	}
	if a, b := plainRate(&tokens), plainRate(&requests); a != b {
		t.Errorf("weights for plain requests: %v and %v", a, b)
	}
}
