package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// call sends requests over connections that are kept open, and judges each answer, until stop.
func (s *soak) call(rng *rand.Rand, stop chan struct{}) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for {
		select {
		case <-stop:
			return
		case <-time.After(soakPause + time.Duration(rng.ExpFloat64()*float64(soakPause))):
		}
		s.callOnce(rng, client)
	}
}

func (s *soak) callOnce(rng *rand.Rand, client *http.Client) {
	s.mu.Lock()
	s.requests++
	id := fmt.Sprintf("soak-%d", s.requests)
	s.mu.Unlock()
	body, key, method := "body of "+id, hostedKey, http.MethodPost
	path := standin.NonIdempotentPath + id
	isStream := rng.Float64() < soakProbability
	switch {
	case isStream:
		path = []string{standin.ResumableStreamPath, standin.NonResumableStreamPath}[rng.IntN(2)] + id
	case rng.Float64() < soakProbability: // all callers poll one object
		path, body, method = standin.IdempotentPath+"polled", "", http.MethodGet
	case rng.Float64() < soakProbability:
		key = soakKey
	case rng.Float64() < soakProbability/2:
		key = withdrawnKey
	}
	ctx, cancel := context.WithTimeout(context.Background(), soakDeadline)
	defer cancel()
	e := s.entries[rng.IntN(len(s.entries))]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.entry.Addr()+path, strings.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return
	}
	request.GetBody = nil // net/http must not send it again by itself
	request.Host = standin.Host
	request.Header.Set(wire.HeaderRequestID, id)
	request.Header.Set(wire.HeaderDeadlineMS, strconv.FormatInt(soakDeadline.Milliseconds(), 10))
	request.Header.Set(wire.HeaderAuth, "Bearer "+key)
	if isStream {
		request.Header.Set(wire.HeaderModel, "m")
		request.Header.Set(wire.HeaderTokens, fmt.Sprintf("500,%d", soakStreamEvents))
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		s.count("broken")
		return
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		s.count("broken")
		return
	}
	s.judge(soakAnswer{id: id, key: key, body: body, isStream: isStream, sentAt: sentAt, response: response, got: string(got)})
}

// soakAnswer is a complete answer to a request.
type soakAnswer struct {
	id, key, body string
	isStream      bool
	sentAt        time.Time
	response      *http.Response
	got           string
}

func (s *soak) judge(a soakAnswer) {
	status := a.response.StatusCode
	s.count(strconv.Itoa(status))
	violation := func(format string, args ...any) {
		s.platform.Checker.ReportViolation("%s at %.2f s, status %d: %s", a.id, a.sentAt.Sub(s.began).Seconds(), status, fmt.Sprintf(format, args...))
	}
	switch {
	case status == http.StatusOK:
		if echoed := a.response.Header.Get(wire.HeaderRequestID); echoed != a.id {
			violation("the answer belongs to %q", echoed)
		}
		if a.isStream && !isCompleteStream(a.got, soakStreamEvents) {
			violation("the stream is not whole: %.80q ... (%d bytes)", a.got, len(a.got))
		}
		if !a.isStream && !strings.HasSuffix(a.got, " "+a.body) {
			violation("the answer is not whole: %q", a.got)
		}
		if a.key == withdrawnKey && s.isWithdrawn(a.sentAt) {
			violation("a withdrawn key was used")
		}
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		s.mu.Lock()
		s.refused = append(s.refused, a.id)
		s.mu.Unlock()
		if status == http.StatusTooManyRequests && a.key != soakKey {
			violation("an account inside its rate is over it: %q", a.got)
		}
	case status == http.StatusUnauthorized:
		if a.key != withdrawnKey {
			violation("a valid key was refused")
		}
	case status < http.StatusInternalServerError:
		violation("a valid request was refused: %q", a.got)
	}
}

func (s *soak) isWithdrawn(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.keyDeadline.IsZero() && at.After(s.keyDeadline)
}

func (s *soak) count(outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[outcome]++
}

func (s *soak) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.outcomes)
}

const (
	soakHostileClients = 60
	soakHostileTime    = 6 * time.Second
)

// drawHostileClients starts one group of clients that hold bytes and connections, of a drawn kind, at a
// drawn Instance and time. They leave after soakHostileTime, or when the returned function is called.
func (s *soak) drawHostileClients(rng *rand.Rand) (leave func()) {
	kinds := []struct {
		name       string
		behaviours func() []hostileBehaviour
	}{
		{"short bodies", shortBodies}, {"long bodies", longBodies}, {"many fields", manyFields},
		{"pipelines", pipelines}, {"slow senders", slowSenders}, {"slow readers", slowReaders},
	}
	kind, e := kinds[rng.IntN(len(kinds))], s.entries[rng.IntN(len(s.entries))]
	start := time.Duration(rng.Int64N(int64(soakFaultTime - soakHostileTime)))
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-stop:
			return
		case <-time.After(start):
		}
		s.note("%d clients at %s: %s", soakHostileClients, e.settings, kind.name)
		addr := e.entry.Addr()
		group := startHostileGroup(soakHostileClients, []hostileTarget{
			{addr: addr, path: standin.NonIdempotentPath}, {addr: addr, path: "/nowhere/"},
		}, kind.behaviours()...)
		select {
		case <-stop:
		case <-time.After(soakHostileTime):
		}
		group.leave()
	}()
	return func() {
		close(stop)
		<-ended
	}
}
