// Command 12 shows that a request which has crashed three engines reaches more of them after all instances
// were killed at the same moment.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
	"github.com/rhubarbsill/rhubarbsill/review/harness3"
)

const (
	contact = 4 * time.Second // contact_ms of both small sites
	// engineBack is the time after which an engine that has crashed is back.
	engineBack = 3 * time.Second

	instances, engines = 3, 8
	// poison is the path of the request that crashes engines.
	poison = harness3.SafePath + "crashes"
	// again is the time after which its client sends it again.
	again = 400 * time.Millisecond
)

var (
	rootFlag = flag.String("root", ".", "root of the repository")
	dirFlag  = flag.String("dir", "", "empty folder for settings and logs")
	variable = flag.String("variable", "", "environment variable with the path of the settings")
	outFlag  = flag.String("record", "record.txt", "record")
	trouble  = flag.Bool("trouble", true, "kill all instances at the same moment")
)

type run struct {
	site    *harness3.Site
	engines *harness3.Engines
	client  *harness3.Client

	mu      sync.Mutex
	started int
	crashes int
	thirdAt time.Time
	late    int
	orders  int
	lost    int
}

// onArrival counts the arrivals of the crashing request.
func (r *run) onArrival(e *harness3.Engine, q *http.Request, at time.Time) {
	if q.URL.Path != poison {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes++
	text := ""
	if !r.thirdAt.IsZero() && at.Sub(r.thirdAt) > contact {
		r.late++
		text = fmt.Sprintf(", retry %d since it has crashed the third engine %s ago", r.late, at.Sub(r.thirdAt))
	}
	if r.crashes == 3 {
		r.thirdAt = at
	}
	r.site.Record.Add("engine %s: the crashing request arrives as %s%s", e.ID, q.Header.Get(wire.HeaderRequestID), text)
}

// startEngine starts an engine, which is started again under another id after a crash.
func (r *run) startEngine() error {
	r.mu.Lock()
	r.started++
	n := r.started
	r.mu.Unlock()
	id := fmt.Sprintf("orders-%d", n)
	crash := func(q *http.Request) bool {
		if q.URL.Path != poison {
			return false
		}
		time.AfterFunc(engineBack, func() {
			_ = r.site.Store.Remove(wire.KindServers, id) // it may have been removed
			_ = r.startEngine()                           // the others serve on
		})
		return true
	}
	_, err := r.engines.Start(harness3.EngineParams{
		ID: id, Service: harness3.PlainService, Zone: []string{"a-1", "a-2"}[n%2], Slots: 6, Work: 60 * time.Millisecond, Crashes: crash, OnArrival: r.onArrival,
	})
	return err
}

// sendPoison has the crashing request sent again and again, at any instance.
func (r *run) sendPoison(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(again) {
		r.client.Do(r.site.Instances[rand.IntN(instances)], harness3.Request{Method: http.MethodGet, Path: poison, Deadline: 4 * time.Second})
	}
}

// sendOrders sends orders, which may run only once.
func (r *run) sendOrders(ctx context.Context) {
	var wait sync.WaitGroup
	for harness3.Sleep(ctx, 20*time.Millisecond) {
		wait.Go(func() {
			a := r.client.Do(r.site.Instances[rand.IntN(instances)], harness3.Request{Method: http.MethodPost, Path: harness3.UnsafePath + "x", Body: []byte("order"), Deadline: 4 * time.Second})
			r.mu.Lock()
			defer r.mu.Unlock()
			r.orders++
			if a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout {
				r.lost++
			}
		})
	}
	wait.Wait()
}

func (r *run) play() error {
	if err := r.site.Store.Put(wire.KindConfig, wire.ConfigObjectName, harness3.Config(1)); err != nil {
		return err
	}
	for range engines {
		if err := r.startEngine(); err != nil {
			return err
		}
	}
	if err := r.site.StartInstances(*rootFlag, instances); err != nil {
		return err
	}
	time.Sleep(contact + time.Second)
	r.sendPoison(5 * time.Second)
	r.mu.Lock()
	r.site.Record.Add("the request has crashed %d engines and is refused now", r.crashes)
	r.mu.Unlock()
	time.Sleep(contact + 2*engineBack)
	if *trouble {
		for _, i := range r.site.Instances {
			i.Signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, i := range r.site.Instances {
			if !i.WaitReady(10 * time.Second) {
				return fmt.Errorf("%s is not ready again", i.Name)
			}
		}
	}
	time.Sleep(contact + 2*time.Second) // all are in touch
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { r.sendOrders(ctx) })
	r.sendPoison(5 * time.Second)
	wait.Wait()
	return nil
}

func main() {
	flag.Parse()
	record, err := harness3.NewRecord(*outFlag)
	if err != nil {
		log.Print(err)
		os.Exit(2)
	}
	defer record.Close()
	site, err := harness3.NewSite(record, *rootFlag, *dirFlag, *variable, harness3.Bounds())
	if err != nil {
		log.Print(err)
		os.Exit(2)
	}
	r := &run{site: site, engines: harness3.NewEngines(site), client: harness3.NewClient(record, "c")}
	err = r.play()
	site.Stop()
	r.engines.Close()
	if err != nil {
		log.Print(err)
		record.Close()
		os.Exit(2)
	}
	result := fmt.Sprintf("engines crashed %d, retries later than contact_ms after the third %d, of them allowed 3; orders sent meanwhile %d, of them ended without a promise %d", r.crashes, r.late, r.orders, r.lost)
	record.Add("%s", result)
	fmt.Println(result)
	if r.late > 3 {
		record.Close()
		os.Exit(1)
	}
}
