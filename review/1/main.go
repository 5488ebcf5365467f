// Command 1 is a case of the review: a configuration that is the first one with tenants comes into
// force while requests wait for a place.
package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
	"github.com/rhubarbsill/rhubarbsill/review/bed"
)

const (
	service = "orders"
	key     = "key-of-the-baker"
	// Each instance has some more clients than places at the engines.
	clientsPerInstance = 8
	engineSlots        = 2
	work               = 50 * time.Millisecond
	// Bounds of the pages: a configuration is in force at every machine within configApply.
	configApply = 3 * time.Second
	// A request that was read counts when it has been passed on to an engine, or when its channel
	// ends later than lossSlack after its last byte was sent.
	lossSlack = 200 * time.Millisecond
	timeLimit = 1500 * time.Millisecond
)

func config(tenants []wire.Tenant) wire.Config {
	return wire.Config{
		Routes: []wire.Route{{
			Name: "order", Host: bed.Host, Prefix: "/order/", Kind: wire.RouteUnsafe, TimeoutMS: 1500, TargetMS: 300, Priority: 1,
			Service: service, MaxAttempts: 1,
		}},
		Services: []wire.Service{{Name: service, HealthPath: "/healthz", MaxConnections: 110}},
		Limits:   wire.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants:  tenants,
	}
}

func main() {
	site := bed.New()
	site.PutConfig(config(nil))
	plain := site.StartPlain(service, 2, engineSlots, work)
	site.StartInstances(3)

	var mu sync.Mutex
	var answers []bed.Answer
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, instance := range site.Instances {
		for n := range clientsPerInstance {
			client := site.NewClient(fmt.Sprintf("client-%d of %s", n+1, instance.Settings.Instance), instance.Settings.CallerAddr)
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					a := client.Do(bed.Call{Method: "POST", Path: "/order/12", Key: key, Body: "one board", Deadline: timeLimit})
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					if a.Err != nil || a.Status != 200 {
						time.Sleep(time.Second) // as a refusal asks for
					}
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	changedAt := time.Now()
	if bed.Trouble() {
		site.PutConfig(config([]wire.Tenant{{Name: "baker", Keys: []string{key}, Unit: wire.UnitTokens, DefaultCostTokens: 200, RatePerS: 160_525, Burst: 160_525}}))
	}
	time.Sleep(configApply + time.Second)
	close(stop)
	clients.Wait()

	var violations []string
	for _, instance := range site.Instances {
		if n := instance.OwnEnds(); n > 0 {
			violations = append(violations, fmt.Sprintf("the process of %s ended by itself", instance.Settings.Instance))
			for _, line := range instance.LogLines("panic: ") {
				site.Record.Line("%s: output: %s", instance.Settings.Instance, line)
			}
			for _, line := range instance.LogLines("refuseRevoked") {
				site.Record.Line("%s: output: %s", instance.Settings.Instance, line)
			}
		}
	}
	served, before, cut := 0, 0, 0
	for _, a := range answers {
		counts := a.Err != nil && a.Took < timeLimit-100*time.Millisecond && (len(plain.Runs(a.ID)) > 0 || a.Took > lossSlack)
		switch {
		case a.Err == nil && a.Status == 200:
			served++
		case counts && a.SentAt.Add(a.Took).Before(changedAt):
			before++
		case counts:
			cut++
		}
	}
	site.Record.Line("%d requests, %d served; read and ended without an answer: %d before the change, %d after it", len(answers), served, before, cut)
	if cut > 3*before {
		violations = append(violations, fmt.Sprintf("%d requests were read and their channels ended without an answer", cut))
	}
	site.Verdict("LOST", violations)
}
