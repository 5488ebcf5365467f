// Command 2 is a case of the review: an instance gets SIGTERM, and a stream that it accepts after
// that is longer than the streams before.
package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
	"github.com/rhubarbsill/rhubarbsill/review/bed"
)

const (
	service = "letra"
	key     = "key-of-the-baker"
	// An event is sent every 100 ms: the usual draft takes 1.5 s, a long one 5 s.
	eventInterval = 100 * time.Millisecond
	usualEvents   = 15
	longEvents    = 50
	timeLimit     = 14 * time.Second
	// Bounds of the pages: requests that were sent until excusedFor after the SIGTERM may be cut in
	// the last sixth of grace.
	grace      = 8 * time.Second
	excusedFor = 3 * time.Second
	// sentAfter is the time from the SIGTERM to the long draft.
	sentAfter = 3250 * time.Millisecond
)

func config() wire.Config {
	return wire.Config{
		Routes: []wire.Route{{
			Name: "draft", Host: bed.Host, Prefix: "/draft/", Kind: wire.RouteStreaming, TimeoutMS: 14_000, TargetMS: 900, EventIntervalTargetMS: 300,
			Priority: 1, Service: service, MaxAttempts: 1,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConnections: 370, Engine: &wire.Engine{
			Slots: 64, KVTokens: 76_562, TokensPerEvent: 1, HandleTTLSeconds: 0.5, MaxHoldMS: 2000,
		}}},
		Limits:  wire.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants: []wire.Tenant{{Name: "baker", Keys: []string{key}, Unit: wire.UnitTokens, DefaultCostTokens: 200, RatePerS: 160_525, Burst: 160_525}},
	}
}

func draft(events int) bed.Call {
	return bed.Call{Method: "POST", Path: "/draft/7", Key: key, Body: "a brief", Tokens: fmt.Sprintf("1000,%d", events), Deadline: timeLimit}
}

func main() {
	site := bed.New()
	site.PutConfig(config())
	site.StartModels(service, 2, 4, hostplatform.EngineParams{
		Slots: 64, MemoryTokens: 76_562, PrefillTokensPerSecond: 50_000, EventInterval: eventInterval, KVTTL: 500 * time.Millisecond,
	}, func(string) bool { return false })
	site.StartInstances(1)
	instance := site.Instances[0]
	time.Sleep(time.Second) // the quota fills up

	// Each client has a channel from before the SIGTERM, which it has used for usual drafts.
	const clientCount = 4
	clients := make([]*bed.Client, clientCount)
	for n := range clients {
		clients[n] = site.NewClient(fmt.Sprintf("client-%d", n+1), instance.Settings.CallerAddr)
	}
	each := func(do func(n int, c *bed.Client)) {
		var all sync.WaitGroup
		for n, c := range clients {
			all.Go(func() { do(n, c) })
		}
		all.Wait()
	}
	each(func(_ int, c *bed.Client) {
		for range 2 {
			if a := c.Do(draft(usualEvents)); a.Err != nil || a.Status != 200 {
				site.Fail("a usual draft is not served: %s", a)
			}
		}
	})
	stoppedAt := time.Now()
	if bed.Trouble() {
		instance.Signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		site.Record.Line("directory: lists %d addresses, so clients keep the ones that they have", len(instance.Addresses()))
	}
	time.Sleep(time.Until(stoppedAt.Add(sentAfter)))
	answers := make([]bed.Answer, clientCount)
	each(func(n int, c *bed.Client) { answers[n] = c.Do(draft(longEvents)) })

	var violations []string
	for n, a := range answers {
		sent, ended := a.SentAt.Sub(stoppedAt), a.SentAt.Add(a.Took).Sub(stoppedAt)
		events := strings.Count(a.Body, "\n\n")
		site.Record.Line("%s: %s was sent %.2f s after the SIGTERM and ended %.2f s after it with %d of %d events", clients[n].Name, a.ID, sent.Seconds(), ended.Seconds(), events, longEvents)
		if a.Status != 200 || a.Err == nil && events == longEvents {
			continue // whole, or refused with an answer
		}
		if sent > excusedFor && ended < grace+time.Second && a.Took < timeLimit-time.Second {
			violations = append(violations, fmt.Sprintf("%s was passed on to an engine and its channel ended after %s without a complete answer", a.ID, a.Took.Round(time.Millisecond)))
		}
	}
	if bed.Trouble() {
		site.WaitFor("the end of the instance", grace, func() bool { return !instance.Running() })
	}
	site.Verdict("LOST", violations)
}
