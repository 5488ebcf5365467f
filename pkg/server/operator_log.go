package server

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

const (
	// storeFailureThreshold is the number of consecutive failed store calls after
	// which the store is logged as unavailable: a single lost reply is common.
	storeFailureThreshold = 3
	// refusalLogInterval is the minimum time between two lines about refusals of
	// one account with one code, so that a caller that retries does not fill the
	// log.
	refusalLogInterval = time.Minute
	// maxRefusalKeys bounds the pairs of code and account whose refusals are
	// counted.
	maxRefusalKeys = 1000
)

// operatorLog writes log lines for operators: one per change of state, not per
// request. It may be used only by the event loop.
type operatorLog struct {
	log                      *zap.Logger
	consecutiveStoreFailures int
	claimsFailing            bool
	failing                  map[core.UpstreamID]bool
	keyMode                  string
	stopReason               string
	leaving                  bool
	refusals                 map[refusalKey]*refusalCount
	nextCleanupAt            time.Time
}

type refusalKey struct {
	code    core.Code
	account core.AccountID
}

type refusalCount struct {
	nextLogAt time.Time
	count     int
}

func newOperatorLog(log *zap.Logger) *operatorLog {
	return &operatorLog{
		log:      log,
		failing:  map[core.UpstreamID]bool{},
		keyMode:  string(keys.Fresh),
		refusals: map[refusalKey]*refusalCount{},
	}
}

// observeEvent must be called with each event before the Router handles it.
func (l *operatorLog) observeEvent(event router.Event) {
	switch e := event.(type) {
	case router.LoadPollFailed:
		l.setUpstreamFailing(e.Upstream, true)
	case router.LoadReported:
		l.setUpstreamFailing(e.Upstream, false)
	case router.StoreReplied:
		failed := e.Failure == router.StoreUnavailable || e.Failure == router.StoreOutcomeUnknown
		l.setStoreFailed(failed)
		if e.Op.Kind == router.OpClaims {
			l.setClaimsFailed(failed)
		}
	}
}

func (l *operatorLog) setUpstreamFailing(id core.UpstreamID, failed bool) {
	if failed == l.failing[id] {
		return
	}
	log := telemetry.ComponentLogger(l.log, "placement")
	if failed {
		l.failing[id] = true
		log.Warn("upstream does not report its load, it gets no new work", zap.String("upstream", string(id)))
		return
	}
	delete(l.failing, id)
	log.Info("upstream is usable again", zap.String("upstream", string(id)))
}

func (l *operatorLog) setStoreFailed(failed bool) {
	log := telemetry.ComponentLogger(l.log, "platform")
	if !failed {
		if l.consecutiveStoreFailures >= storeFailureThreshold {
			log.Info("object store is usable again")
		}
		l.consecutiveStoreFailures = 0
		return
	}
	l.consecutiveStoreFailures++
	if l.consecutiveStoreFailures == storeFailureThreshold {
		log.Warn("object store is unavailable: configuration, roster and claims stand still")
	}
}

func (l *operatorLog) setClaimsFailed(failed bool) {
	if failed == l.claimsFailing {
		return
	}
	l.claimsFailing = failed
	log := telemetry.ComponentLogger(l.log, "claims")
	if failed {
		log.Warn("claim store is unavailable, calls with an idempotency key are refused as not run")
		return
	}
	log.Info("claim store is usable again")
}

// observeView logs what has changed since the previous view.
func (l *operatorLog) observeView(view router.View) {
	// An Upstream that was removed from the configuration is no longer polled.
	maps.DeleteFunc(l.failing, func(id core.UpstreamID, _ bool) bool {
		return !slices.Contains(view.Upstreams, id)
	})
	if view.Version == 0 {
		return // starting: no configuration is confirmed yet
	}
	if view.KeyMode != l.keyMode {
		l.keyMode = view.KeyMode
		log := telemetry.ComponentLogger(l.log, "keys")
		if view.KeyMode == string(keys.Fresh) {
			log.Info("configuration is confirmed again")
		} else {
			log.Warn("configuration is not confirmed", zap.String("mode", view.KeyMode))
		}
	}
	if l.stopReason != "" && view.StopReason == "" {
		telemetry.ComponentLogger(l.log, "membership").Info("serving again")
	}
	l.stopReason = view.StopReason
	if view.Leaving && !l.leaving {
		telemetry.ComponentLogger(l.log, "server").Info("leaving: finishing running requests", zap.Int("requests", view.Requests))
	}
	l.leaving = view.Leaving
}

// logTimelineEvent logs a timeline event if it is of interest to operators.
func (l *operatorLog) logTimelineEvent(event timeline.Event) {
	log := telemetry.ComponentLogger(l.log, event.Component)
	switch event.Component + " " + event.Kind {
	case "keys revoked":
		log.Info("key revoked", zap.String("key", event.Detail))
	case "rollout rejected":
		log.Warn("configuration rejected", zap.String("detail", event.Detail))
	case "membership roster":
		log.Info("roster in force", zap.String("detail", event.Detail))
	case "membership malformed_roster":
		log.Error("roster in the store is malformed", zap.String("detail", event.Detail))
	case "request refused":
		l.logRefusal(event)
	}
}

// logRefusal logs refusals that an operator may have to act on, with a limit on
// the lines per code and account.
func (l *operatorLog) logRefusal(event timeline.Event) {
	code, _, _ := strings.Cut(event.Detail, " ")
	var component, message string
	switch core.Code(code) {
	case core.CodeRequestCrashesUpstreams:
		component, message = "attempts", "suspect request refused: upstreams crashed while it ran"
	case core.CodeOverRate:
		component, message = "limits", "account is over its rate, requests are refused"
	default:
		return
	}
	now := time.Now()
	l.removeIdleRefusals(now)
	key := refusalKey{core.Code(code), event.Account}
	entry := l.refusals[key]
	if entry == nil {
		if len(l.refusals) >= maxRefusalKeys {
			return
		}
		entry = &refusalCount{}
		l.refusals[key] = entry
	}
	entry.count++
	if now.Before(entry.nextLogAt) {
		return
	}
	telemetry.ComponentLogger(l.log, component).Warn(message, zap.String("account", string(event.Account)),
		zap.String("request", string(event.Request)), zap.Int("refused_since_last_line", entry.count))
	*entry = refusalCount{nextLogAt: now.Add(refusalLogInterval)}
}

// removeIdleRefusals removes entries whose interval has passed without a refusal.
func (l *operatorLog) removeIdleRefusals(now time.Time) {
	if now.Before(l.nextCleanupAt) {
		return
	}
	l.nextCleanupAt = now.Add(refusalLogInterval)
	maps.DeleteFunc(l.refusals, func(_ refusalKey, entry *refusalCount) bool {
		return entry.count == 0 && now.After(entry.nextLogAt)
	})
}

// failingUpstreams returns, in order, the Upstreams whose last load poll failed.
func (l *operatorLog) failingUpstreams() []core.UpstreamID {
	return slices.Sorted(maps.Keys(l.failing))
}
