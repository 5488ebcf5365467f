package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	changesTime = 25 * time.Second // of drawn changes and stops
	// changesEngineSlots is small, so that requests wait for a place.
	changesEngineSlots = 2
	// changesGrace is the grace period, plannedStop the time after SIGTERM in which a request may be
	// accepted that is cut by the end.
	changesGrace = 8 * time.Second
	plannedStop  = 3 * time.Second
	// minChangesDeadline and maxChangesDeadline bound the time limits of callers.
	minChangesDeadline = 3 * time.Second
	maxChangesDeadline = 14 * time.Second
	maxChangesEvents   = 450 // of a stream, 10 ms each
)

// Guards against Instances that end by themselves, or cut what they have accepted, while the
// configuration changes under load and Instances are stopped in turn. SOAK_SEED and SOAK_INSTANCES
// draw other runs; SOAK_DIR keeps the settings and logs.
func TestSoakOfChangesAndStops(t *testing.T) {
	seed := uint64(soakNumber(t, "SOAK_SEED", 1))
	s := newSoak(t, seed, soakParams{instances: soakNumber(t, "SOAK_INSTANCES", 4), engineSlots: changesEngineSlots, grace: changesGrace})
	stop := make(chan struct{})
	var callers, restarts sync.WaitGroup
	for i := range 2 * soakCallers {
		callers.Go(func() { s.callDuringChanges(rand.New(rand.NewPCG(seed, uint64(100+i))), stop) })
	}
	for time.Since(s.began) < changesTime {
		s.drawChange(&restarts)
		time.Sleep(time.Duration(200+s.rng.IntN(600)) * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	restarts.Wait()
	s.checkNoOwnEnds()
	for _, id := range s.refused {
		s.platform.Checker.RecordRefusal(id, true)
	}
	t.Logf("seed %d: %v", seed, s.outcomes)
	for _, violation := range s.platform.Checker.Violations() {
		t.Error(violation)
	}
	if s.outcomes["200"] == 0 {
		t.Error("nothing was served")
	}
	if t.Failed() {
		t.Log(strings.Join(s.events, "\n"))
	}
}

// drawChange changes the configuration or stops an Instance, which restarts.
func (s *soak) drawChange(restarts *sync.WaitGroup) {
	hostedTenant := wire.Tenant{Name: hostedAccount, Keys: []string{hostedKey}, DefaultCostTokens: 10, RatePerS: hostedRate, Burst: hostedRate, Unit: wire.UnitTokens}
	renamed, other := hostedTenant, hostedTenant
	renamed.Name = "renamed"
	other.Name, other.Keys = "other", []string{withdrawnKey}
	switch s.rng.IntN(8) {
	case 0:
		s.note("no accounts")
		s.setConfig(func(c *wire.Config) { c.Tenants = nil })
	case 1:
		s.note("one account")
		s.setConfig(func(c *wire.Config) { c.Tenants = []wire.Tenant{hostedTenant} })
	case 2:
		s.note("the account is renamed")
		s.setConfig(func(c *wire.Config) { c.Tenants = []wire.Tenant{renamed, other} })
	case 3:
		s.note("the key is withdrawn")
		s.setConfig(func(c *wire.Config) { c.Tenants = []wire.Tenant{other} })
	case 4:
		timeout := minChangesDeadline + time.Duration(s.rng.Int64N(int64(maxChangesDeadline-minChangesDeadline)))
		s.note("time-outs of %s", timeout)
		s.mu.Lock()
		s.timeouts = append(s.timeouts, timeout)
		s.mu.Unlock()
		s.setConfig(func(c *wire.Config) {
			for i := range c.Routes {
				c.Routes[i].TimeoutMS = float64(timeout.Milliseconds())
			}
		})
	case 5:
		s.note("a route is added, the others are moved behind it")
		s.setConfig(func(c *wire.Config) {
			added := c.Routes[0]
			added.Name, added.Prefix = fmt.Sprintf("added-%d", len(c.Routes)), fmt.Sprintf("/added-%d/", len(c.Routes))
			c.Routes = append([]wire.Route{added}, c.Routes...)
		})
	default:
		e := s.entries[s.rng.IntN(len(s.entries))]
		if e.stopTime() != 0 {
			return
		}
		s.note("stop %s", e.settings)
		e.setStopTime(time.Since(s.began))
		e.signal(syscall.SIGTERM)
		restarts.Go(func() {
			s.restart(e, 200*time.Millisecond)
			time.Sleep(time.Second) // until it serves
			e.setStopTime(0)
		})
	}
}

// A request ends between timeoutEarly before its route's timeout and timeoutTolerance after it.
const (
	timeoutEarly     = 50 * time.Millisecond
	timeoutTolerance = 500 * time.Millisecond
)

// deadlineTolerance is the time before its deadline in which a request may end: an Upstream gets the
// time left in whole milliseconds, and stops before the caller does.
const deadlineTolerance = 5 * time.Millisecond

// isRouteTimeout reports whether a request that took this long has reached a timeout that its route has had.
func (s *soak) isRouteTimeout(took time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.timeouts, func(timeout time.Duration) bool {
		return took > timeout-timeoutEarly && took < timeout+timeoutTolerance
	})
}

// stopTime returns the time of the SIGTERM of an Instance that is stopping, 0 for one that runs.
func (e *soakInstance) stopTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stoppedAt
}

func (e *soakInstance) setStopTime(at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stoppedAt = at
}

// checkNoOwnEnds checks that no process has ended by itself.
func (s *soak) checkNoOwnEnds() {
	for _, e := range s.entries {
		log, err := os.ReadFile(e.settings + ".log")
		if err != nil {
			s.t.Error(err)
		}
		for _, sign := range []string{"panic: ", "fatal error: "} {
			if at := bytes.Index(log, []byte(sign)); at >= 0 {
				s.t.Errorf("%s ended by itself: %.300s", e.settings, log[at:])
			}
		}
	}
}

// callDuringChanges sends streams and unsafe calls with drawn lengths and time limits over connections
// that stay open, also to Instances that are stopping, until stop.
func (s *soak) callDuringChanges(rng *rand.Rand, stop chan struct{}) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakPause + time.Duration(rng.ExpFloat64()*float64(soakPause))):
		}
		s.callOnceDuringChanges(rng, client)
	}
}

func (s *soak) callOnceDuringChanges(rng *rand.Rand, client *http.Client) {
	s.mu.Lock()
	s.requests++
	id := fmt.Sprintf("change-%d", s.requests)
	s.mu.Unlock()
	isStream := rng.IntN(2) == 0
	events, path := 1+rng.IntN(maxChangesEvents), standin.NonIdempotentPath
	if isStream {
		path = []string{standin.ResumableStreamPath, standin.NonResumableStreamPath}[rng.IntN(2)]
	}
	deadline := minChangesDeadline + time.Duration(rng.Int64N(int64(maxChangesDeadline-minChangesDeadline)))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	e := s.entries[rng.IntN(len(s.entries))]
	body := "body of " + id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.entry.Addr()+path+id, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	request.GetBody = nil // net/http must not send it again by itself
	request.Host = standin.Host
	request.Header.Set(wire.HeaderRequestID, id)
	request.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set(wire.HeaderAuth, "Bearer "+hostedKey)
	if isStream {
		request.Header.Set(wire.HeaderModel, "m")
		request.Header.Set(wire.HeaderTokens, fmt.Sprintf("500,%d", events))
	}
	stopped, sentAt := e.stopTime(), time.Since(s.began)
	response, err := client.Do(request)
	if err != nil {
		s.count("broken")
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	violation := func(format string, args ...any) {
		s.platform.Checker.ReportViolation("%s at %.2f s to %s, status %d: %s", id, sentAt.Seconds(), e.settings, response.StatusCode, fmt.Sprintf(format, args...))
	}
	switch status := response.StatusCode; {
	case err != nil:
		s.count("cut")
		took := time.Since(s.began) - sentAt
		if stopped != 0 && sentAt > stopped+plannedStop && took < deadline-deadlineTolerance && !s.isRouteTimeout(took) {
			violation("accepted %s after SIGTERM and cut after %s of %s", sentAt-stopped, took, deadline)
		}
		return
	case status == http.StatusOK && response.Header.Get(wire.HeaderRequestID) != id:
		violation("the answer belongs to %q", response.Header.Get(wire.HeaderRequestID))
	case status == http.StatusOK && isStream && !isCompleteStream(string(got), events):
		violation("the stream is not whole: %d bytes", len(got))
	case status == http.StatusOK && !isStream && !strings.HasSuffix(string(got), " "+body):
		violation("the answer is not whole: %q", got)
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.mu.Lock()
		s.refused = append(s.refused, id)
		s.mu.Unlock()
	case status < http.StatusInternalServerError && status != http.StatusOK && status != http.StatusUnauthorized:
		violation("a valid request was refused: %q", got)
	}
	s.count(strconv.Itoa(response.StatusCode))
}
