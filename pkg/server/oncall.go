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
	// storeFailures is the number of store calls in a row that fail before the
	// store is called unavailable: single lost answers are routine.
	storeFailures = 3
	// refusalLogEvery is the shortest time between two lines about refusals of one
	// account for one reason, so that a caller that repeats does not fill the log.
	refusalLogEvery = time.Minute
	// maxRefusalLogs bounds the accounts whose refusals are counted between lines.
	maxRefusalLogs = 1000
)

// onCall writes the log lines for somebody on call: changes of state, not
// requests. The event loop alone uses it.
type onCall struct {
	log         *zap.Logger
	storeFails  int
	claimsDown  bool
	failing     map[core.UpstreamID]bool
	keysMode    string
	stopped     string
	leaving     bool
	refusals    map[refusalLog]*refusalCount
	nextCleanup time.Time
}

type refusalLog struct {
	code    core.Code
	account core.AccountID
}

type refusalCount struct {
	next  time.Time
	count int
}

func newOnCall(log *zap.Logger) *onCall {
	return &onCall{
		log:      log,
		failing:  map[core.UpstreamID]bool{},
		keysMode: string(keys.Fresh),
		refusals: map[refusalLog]*refusalCount{},
	}
}

// event looks at an event before the Router takes it in.
func (o *onCall) event(event router.Event) {
	switch e := event.(type) {
	case router.LoadPollFailed:
		o.upstream(e.Upstream, true)
	case router.LoadReported:
		o.upstream(e.Upstream, false)
	case router.StoreReplied:
		failed := e.Failure == router.StoreUnavailable || e.Failure == router.StoreOutcomeUnknown
		o.store(failed)
		if e.Op.Kind == router.OpClaims {
			o.claims(failed)
		}
	}
}

func (o *onCall) upstream(id core.UpstreamID, failed bool) {
	if failed == o.failing[id] {
		return
	}
	log := telemetry.ComponentLogger(o.log, "placement")
	if failed {
		o.failing[id] = true
		log.Warn("upstream does not report its load, it gets no new work", zap.String("upstream", string(id)))
		return
	}
	delete(o.failing, id)
	log.Info("upstream is usable again", zap.String("upstream", string(id)))
}

func (o *onCall) store(failed bool) {
	log := telemetry.ComponentLogger(o.log, "platform")
	if !failed {
		if o.storeFails >= storeFailures {
			log.Info("object store is usable again")
		}
		o.storeFails = 0
		return
	}
	o.storeFails++
	if o.storeFails == storeFailures {
		log.Warn("object store is unavailable: configuration, roster and claims stand still")
	}
}

func (o *onCall) claims(failed bool) {
	if failed == o.claimsDown {
		return
	}
	o.claimsDown = failed
	log := telemetry.ComponentLogger(o.log, "claims")
	if failed {
		log.Warn("claim store is unavailable, calls with an idempotency key are refused as not run")
		return
	}
	log.Info("claim store is usable again")
}

// view compares the state of the Router with the one before.
func (o *onCall) view(view router.View) {
	// An Upstream that left the configuration is not polled any more.
	maps.DeleteFunc(o.failing, func(id core.UpstreamID, _ bool) bool {
		return !slices.Contains(view.Upstreams, id)
	})
	if view.Version == 0 {
		return // starting: nothing has been confirmed yet
	}
	if view.KeyMode != o.keysMode {
		o.keysMode = view.KeyMode
		log := telemetry.ComponentLogger(o.log, "keys")
		if view.KeyMode == string(keys.Fresh) {
			log.Info("configuration is confirmed again")
		} else {
			log.Warn("configuration is not confirmed", zap.String("mode", view.KeyMode))
		}
	}
	if o.stopped != "" && view.StopReason == "" {
		telemetry.ComponentLogger(o.log, "membership").Info("serving again")
	}
	o.stopped = view.StopReason
	if view.Leaving && !o.leaving {
		telemetry.ComponentLogger(o.log, "server").Info("leaving: running requests are finished", zap.Int("requests", view.Requests))
	}
	o.leaving = view.Leaving
}

// record writes a line about an event of the timeline that matters on call.
func (o *onCall) record(event timeline.Event) {
	log := telemetry.ComponentLogger(o.log, event.Component)
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
		o.refused(event)
	}
}

// refused reports the refusals that call for somebody's attention.
func (o *onCall) refused(event timeline.Event) {
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
	o.cleanUp(now)
	key := refusalLog{core.Code(code), event.Account}
	entry := o.refusals[key]
	if entry == nil {
		if len(o.refusals) >= maxRefusalLogs {
			return
		}
		entry = &refusalCount{}
		o.refusals[key] = entry
	}
	entry.count++
	if now.Before(entry.next) {
		return
	}
	telemetry.ComponentLogger(o.log, part).Warn(message, zap.String("account", string(event.Account)),
		zap.String("request", string(event.Request)), zap.Int("refused_since_last_line", entry.count))
	*entry = refusalCount{next: now.Add(refusalLogEvery)}
}

func (o *onCall) cleanUp(now time.Time) {
	if now.Before(o.nextCleanup) {
		return
	}
	o.nextCleanup = now.Add(refusalLogEvery)
	maps.DeleteFunc(o.refusals, func(_ refusalLog, entry *refusalCount) bool {
		return entry.count == 0 && now.After(entry.next)
	})
}

// failingUpstreams returns the Upstreams that do not report their load.
func (o *onCall) failingUpstreams() []core.UpstreamID {
	return slices.Sorted(maps.Keys(o.failing))
}
