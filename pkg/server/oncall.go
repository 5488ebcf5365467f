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
	// storeFailureThreshold is the number of store calls in a row that fail before the
	// store is called unavailable: single lost answers are routine.
	storeFailureThreshold = 3
	// refusalLogInterval is the shortest time between two lines about refusals of one
	// account for one reason, so that a caller that repeats does not fill the log.
	refusalLogInterval = time.Minute
	// maxRefusalKeys bounds the accounts whose refusals are counted between lines.
	maxRefusalKeys = 1000
)

// operatorLog writes the log lines for somebody on call: changes of state, not
// requests. The event loop alone uses it.
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

// observeEvent looks at an observeEvent before the Router takes it in.
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

// observeView compares the state of the Router with the one before.
func (l *operatorLog) observeView(view router.View) {
	// An Upstream that left the configuration is not polled any more.
	maps.DeleteFunc(l.failing, func(id core.UpstreamID, _ bool) bool {
		return !slices.Contains(view.Upstreams, id)
	})
	if view.Version == 0 {
		return // starting: nothing has been confirmed yet
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
		telemetry.ComponentLogger(l.log, "server").Info("leaving: running requests are finished", zap.Int("requests", view.Requests))
	}
	l.leaving = view.Leaving
}

// logTimelineEvent writes a line about an event of the timeline that matters on call.
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

// logRefusal reports the refusals that call for somebody's attention.
func (l *operatorLog) logRefusal(event timeline.Event) {
	code, _, _ := strings.Cut(event.Detail, " ")
	var part, message string
	switch core.Code(code) {
	case core.CodeRequestCrashesUpstreams:
		part, message = "attempts", "suspect request refused: upstreams crashed while it ran"
	case core.CodeOverRate:
		part, message = "limits", "account is over its rate, requests are refused"
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
	telemetry.ComponentLogger(l.log, part).Warn(message, zap.String("account", string(event.Account)),
		zap.String("request", string(event.Request)), zap.Int("refused_since_last_line", entry.count))
	*entry = refusalCount{nextLogAt: now.Add(refusalLogInterval)}
}

func (l *operatorLog) removeIdleRefusals(now time.Time) {
	if now.Before(l.nextCleanupAt) {
		return
	}
	l.nextCleanupAt = now.Add(refusalLogInterval)
	maps.DeleteFunc(l.refusals, func(_ refusalKey, entry *refusalCount) bool {
		return entry.count == 0 && now.After(entry.nextLogAt)
	})
}

// failingUpstreams returns the Upstreams that do not report their load.
func (l *operatorLog) failingUpstreams() []core.UpstreamID {
	return slices.Sorted(maps.Keys(l.failing))
}
