package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// shares holds the weights of accounts without a rate, and of the common account of requests without
// an account: the median of the accounts with a rate.
type shares struct {
	// tokens is that of the accounts whose rate counts tokens, requests that of those whose rate counts
	// requests, in the units of their rates. 0 if there is none.
	tokens   float64
	requests float64
	// plain is that of all accounts, in requests to a plain service per second.
	plain float64
}

func sharesOf(accounts []config.HostedAccount) shares {
	var tokens, requests, plain []float64
	for i := range accounts {
		account := &accounts[i]
		if account.Rate <= 0 {
			continue
		}
		plain = append(plain, plainRate(account))
		if account.CountRequests {
			requests = append(requests, float64(account.Rate))
		} else {
			tokens = append(tokens, float64(account.Rate))
		}
	}
	return shares{tokens: lowerMedian(tokens), requests: lowerMedian(requests), plain: lowerMedian(plain)}
}

func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// plainRate returns the requests without token counts that the rate of an account allows per second.
func plainRate(account *config.HostedAccount) float64 {
	return float64(account.Rate) / float64(max(account.DefaultCostTokens, 1))
}

// queueShare returns the weight and the cost of a request in the queue of its service. With the charge as
// the cost and the rate as the weight, the cost is a time of the account's quota, whatever both count.
func (h *hosted) queueShare(rs *requestState) (weight float64, cost int64) {
	var account *config.HostedAccount
	if rs.account != nil {
		account, _ = h.routing.Account(rs.account.ID)
	}
	plain := rs.hosted.service.Engine == nil
	switch {
	case plain && account != nil && account.Rate > 0:
		return plainRate(account), 1
	case plain:
		return h.shares.plain, 1
	case account == nil && h.shares.tokens == 0:
		return h.shares.requests, 1
	case account == nil:
		return h.shares.tokens, int64(rs.request.PromptTokens) + int64(rs.request.MaxOutputTokens)
	case account.Rate > 0:
		return float64(account.Rate), rs.charge
	case account.CountRequests:
		return h.shares.requests, rs.charge
	}
	return h.shares.tokens, rs.charge
}

// backlogLogInterval is the shortest time between two log lines on the largest backlog.
const backlogLogInterval = time.Second

// logBacklog logs the account with the largest backlog while requests of others wait too.
func (h *hosted) logBacklog(now core.Instant) {
	if h.dispatch.QueueLength() == 0 || now.Sub(h.backlogLogAt) < backlogLogInterval {
		return
	}
	backlog, found := h.dispatch.LargestBacklog()
	if !found {
		return
	}
	h.backlogLogAt = now
	h.recordEvent(now, "queue", "largest backlog", fmt.Sprintf("service=%s account=%s waiting=%d of=%d other_accounts=%d",
		backlog.Service, backlog.Account, backlog.Waiting, backlog.All, backlog.OtherAccounts))
}

// UrgencyGauges are the requests of one urgency in the queue of an Instance.
type UrgencyGauges struct {
	Waiting int
	// Refused counts the requests since the start that could not be placed in time.
	Refused int
}

// queueByUrgency returns the requests in the queue by urgency as engines know it, so that there are at
// most ten.
func (h *hosted) queueByUrgency() map[int]UrgencyGauges {
	byUrgency := map[int]UrgencyGauges{}
	waiting, refused := h.dispatch.QueueByPriority()
	for priority, n := range waiting {
		g := byUrgency[statedPriority(priority)]
		g.Waiting += n
		byUrgency[statedPriority(priority)] = g
	}
	for priority, n := range refused {
		g := byUrgency[statedPriority(priority)]
		g.Refused += n
		byUrgency[statedPriority(priority)] = g
	}
	return byUrgency
}
