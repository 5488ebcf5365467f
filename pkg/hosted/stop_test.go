package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// stoppingCallers send requests on open connections, and on new ones, until none can be
// opened. They note the requests whose connection ended without a complete answer.
type stoppingCallers struct {
	mu       sync.Mutex
	answered int
	refused  int
	// unanswered holds the time from the end of each such request to that of its connection.
	unanswered map[string]time.Duration
}

func (c *stoppingCallers) run(addr, name string, pause time.Duration) {
	for n := 0; ; {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for open := true; open; n++ {
			open = c.exchange(conn, reader, fmt.Sprintf("%s-%d", name, n))
			time.Sleep(pause)
		}
		conn.Close()
	}
}

// exchange sends a request and reads its answer. It reports whether the connection is usable.
func (c *stoppingCallers) exchange(conn net.Conn, reader *bufio.Reader, id string) bool {
	if _, err := fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nhi", id); err != nil {
		return false
	}
	sent := time.Now()
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unanswered[id] = time.Since(sent)
		return false
	}
	c.answered++
	if response.StatusCode == http.StatusServiceUnavailable {
		c.refused++
	}
	return !response.Close
}

// Guards against requests that are accepted during a planned stop and whose connection is
// closed without an answer.
func TestStopUnderLoadAnswersEveryRequest(t *testing.T) {
	for _, serviceTime := range []time.Duration{30 * time.Millisecond, 600 * time.Millisecond} {
		is := is.New(t)
		var mu sync.Mutex
		ran := map[string]bool{}
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			ran[r.Header.Get("X-Id")] = true
			mu.Unlock()
			time.Sleep(serviceTime)
			_, _ = w.Write(body)
		}))
		defer service.Close()
		store := newFakeStore(plainRouting(1), catalog.Upstream{
			ID: "s1", Service: "s", Addr: strings.TrimPrefix(service.URL, "http://"), DataCentre: "a", Slots: 50,
		})
		settings, stop, done := startDaemon(t, store)
		callers := &stoppingCallers{unanswered: map[string]time.Duration{}}
		var running sync.WaitGroup
		for i := range 12 {
			running.Go(func() {
				callers.run(settings.CallerAddr, fmt.Sprint(i), time.Duration(1+i*i*3)*time.Millisecond)
			})
		}
		time.Sleep(500 * time.Millisecond)
		stop()
		select {
		case <-done:
		case <-time.After(time.Duration(settings.GraceSeconds * float64(time.Second))):
			t.Fatal("the daemon did not stop within its grace period")
		}
		running.Wait()
		t.Logf("service time %s: %d answered, %d of them refused, %d unanswered", serviceTime, callers.answered, callers.refused, len(callers.unanswered))
		is.True(callers.answered > 30)
		for id, waited := range callers.unanswered {
			if ran[id] || waited > 200*time.Millisecond {
				t.Errorf("request %s: ran %t, no answer for %s", id, ran[id], waited)
			}
		}
	}
}

// Guards against streams that are accepted late in the grace period and cut at its end: they take
// longer than what is left of it.
func TestStopCutsNoStreamThatItAccepts(t *testing.T) {
	is := is.New(t)
	const events, interval = 25, 100 * time.Millisecond
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			w.(http.Flusher).Flush()
			time.Sleep(interval)
		}
	}))
	defer engine.Close()
	routing := plainRouting(1)
	routing.Routes[0].Streaming = true
	routing.Services[0].Engine = &config.EngineProfile{Slots: 100, KVCacheTokens: 1_000_000, MaxHoldDuration: time.Second}
	settings, stop, done := startDaemon(t, newFakeStore(routing, catalog.Upstream{
		ID: "e", Service: "s", Addr: strings.TrimPrefix(engine.URL, "http://"), DataCentre: "a", Stage: catalog.StageDecode, Slots: 100,
	}))
	var mu sync.Mutex
	outcomes := map[string]int{}
	send := func(id string) {
		outcome := "cut"
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerAddr+"/p/x", strings.NewReader("body"))
		is.NoErr(err)
		request.Host = "h"
		request.Header.Set("X-Id", id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			outcome = "not connected"
		} else {
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			switch {
			case response.StatusCode == http.StatusServiceUnavailable:
				outcome = "refused"
			case err == nil && strings.Count(string(body), "data:") == events:
				outcome = "complete"
			}
		}
		mu.Lock()
		defer mu.Unlock()
		outcomes[outcome]++
	}
	send("first")
	is.Equal(outcomes, map[string]int{"complete": 1})
	var running sync.WaitGroup
	for n := 0; n < 5; n++ {
		running.Go(func() { send(fmt.Sprintf("before-%d", n)) })
	}
	time.Sleep(200 * time.Millisecond)
	stop()
	for n := 0; n < 30; n++ {
		running.Go(func() { send(fmt.Sprintf("after-%d", n)) })
		time.Sleep(50 * time.Millisecond)
	}
	running.Wait()
	<-done
	t.Log(outcomes)
	is.Equal(outcomes["cut"], 0)
	is.True(outcomes["complete"] >= 6) // those from before the stop
}
