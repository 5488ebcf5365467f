package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
)

const (
	// siteRate is the sum of the requests a second on the sheet of portwell-mids-grown.
	siteRate = 219
	// burstFactor and burstTime are those of the largest burst in its site file.
	burstFactor = 2.3
	burstTime   = 4 * time.Second
	// idleTime is how long the callers keep a channel between two requests: four fifths of the idle
	// timeout of the configuration, 15 s, are 12 s.
	idleTime = 11500 * time.Millisecond
	// shortReadPause is the time for which a slow caller takes nothing of its answer.
	shortReadPause = 4500 * time.Millisecond
	// crowdMemoryMB and crowdFDs are those of a small machine of the site.
	crowdMemoryMB = 120
	crowdFDs      = 3075
	slowInCrowd   = 8
	machines      = 3
	// contactTime is more than contact_ms of the site.
	contactTime = 6 * time.Second
)

// users are callers that send one request after the other, each over a kept channel.
type users struct {
	addresses []string
	interval  time.Duration

	group                                  sync.WaitGroup
	open, served, refused, reopened, other atomic.Int64
}

// run has one user send requests until ctx ends.
func (u *users) run(ctx context.Context) {
	var c *channel
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = dial(u.addresses[rand.IntN(len(u.addresses))]); err != nil {
				u.other.Add(1)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			u.open.Add(1)
		}
		kept := c.used > 0
		status, _, err := c.do(newRequest(http.MethodGet, standin.IdempotentPath+"x", "", callTimeout))
		if err != nil {
			u.open.Add(-1)
			_ = c.conn.Close()
			c = nil
			if kept {
				u.reopened.Add(1) // its idle channel was closed
			} else {
				u.other.Add(1)
			}
			continue
		}
		if status == http.StatusOK {
			u.served.Add(1)
		} else {
			u.refused.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(u.interval):
		}
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// start adds n users, evenly over a time.
func (u *users) start(ctx context.Context, n int, over time.Duration) {
	for i := range n {
		u.group.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Duration(i) * over / time.Duration(n)):
				u.run(ctx)
			}
		})
	}
}

func (u *users) line(r *record, what string) {
	r.line("%s: open channels=%d served=%d refused=%d idle channels closed=%d other ends=%d",
		what, u.open.Load(), u.served.Load(), u.refused.Load(), u.reopened.Load(), u.other.Load())
}

// slowInBurst has callers pause while they read a stream that may run only once, while many users come at once.
func slowInBurst(r *record, dir string) (broken bool, err error) {
	f, engine, err := startStreamSite(r, dir, pieceGap)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.memoryMB, f.maxFDs = crowdMemoryMB, crowdFDs
	crowd := &users{interval: idleTime}
	for i := range machines {
		in, err := f.addInstance(fmt.Sprintf("entry-%d", i))
		if err != nil {
			return false, err
		}
		crowd.addresses = append(crowd.addresses, in.caller)
	}
	if !waitReady(20*time.Second, f.instances...) {
		return false, fmt.Errorf("the instances are not ready")
	}
	ctx, stop := context.WithCancel(context.Background())
	defer crowd.group.Wait()
	defer stop()
	crowd.start(ctx, int(siteRate*idleTime.Seconds()), idleTime)
	time.Sleep(idleTime + contactTime)
	crowd.line(r, "before")
	var mu sync.Mutex
	var callers sync.WaitGroup
	cut := 0
	for i := range slowInCrowd {
		callers.Go(func() {
			complete, what := readStream(crowd.addresses[i%machines], i, shortReadPause)
			mu.Lock()
			defer mu.Unlock()
			if !complete {
				cut++
			}
			r.line("caller %d at entry-%d: complete=%t, %s", i, i%machines, complete, what)
		})
	}
	if isTroubled() {
		r.line("DISRUPTION: %.1f times the users for %s", burstFactor, burstTime)
		crowd.start(ctx, int((burstFactor-1)*siteRate*burstTime.Seconds()), burstTime)
	}
	callers.Wait()
	crowd.line(r, "after")
	for _, in := range f.instances {
		r.line("%s: VmRSS=%.0f MB, RssAnon=%.0f MB", in.name, in.memory("VmRSS"), in.memory("RssAnon"))
	}
	engine.log(r)
	r.line("streams passed on to a sound engine whose kept channel was closed without a complete answer: %d of %d, allowed are %d",
		cut, slowInCrowd, allowedCuts)
	return cut > allowedCuts, nil
}
