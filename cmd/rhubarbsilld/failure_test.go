package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
)

// stream is the state of a caller that reads a streamed response event by event.
type stream struct {
	text   string
	lastID string
	done   bool
	errors string
}

// readStream reads a streamed response until it is complete, the connection fails, or
// stop returns true. It resumes after the last event that s has, if any.
func (f *fleet) readStream(ctx context.Context, s *stream, url, body string, stop func() bool) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+f.account.Key)
	if s.lastID != "" {
		request.Header.Set("Last-Event-ID", s.lastID)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.errors += err.Error()
		return
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	id := ""
	for lines.Scan() && !stop() {
		line := lines.Text()
		if after, ok := strings.CutPrefix(line, "id: "); ok {
			id = after
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			if response.StatusCode != http.StatusOK {
				s.errors += line
			}
			continue
		}
		if data == "[DONE]" {
			s.done = true
			return
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			s.errors += data
			continue
		}
		s.text += chunk.Choices[0].Text
		s.lastID = id
	}
}

func never() bool { return false }

// attemptCount returns the number of attempts that hold memory of an engine.
func (f *fleet) attemptCount(url string) int {
	_, body := f.get(url+"/v1/attempts", "")
	var attempts []string
	if err := json.Unmarshal(body, &attempts); err != nil {
		f.t.Fatalf("%s: %s", url, body)
	}
	return len(attempts)
}

// Guards against a stream that is lost, or has missing or repeated text, after the
// Instance that relays it was killed: the caller resumes it at another Instance (G7).
func TestResumeAfterInstanceDies(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	prompt := site.Prompt("proof", 400)
	body := completionBody(prompt, 150, true)
	daemon := f.processes[len(f.processes)-3]
	var s stream
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f.readStream(ctx, &s, f.callerURL(0)+"/v1/completions", body, func() bool {
		if strings.Count(s.text, " ") == 40 {
			_ = daemon.Process.Kill()
		}
		return false
	})
	is.True(!s.done)
	f.readStream(ctx, &s, f.callerURL(1)+"/v1/completions", body, never)
	is.Equal(s.errors, "")
	is.True(s.done)
	is.Equal(s.text, expectedText(prompt, 150))
}

// Guards against engine memory that stays reserved after the caller has disconnected,
// or after the Instance was killed before it could cancel the request (G1).
func TestMemoryIsFreed(t *testing.T) {
	f := startFleet(t, 2)
	body := completionBody(site.Prompt("long", 400), 2000, true)
	ctx, cancel := context.WithCancel(context.Background())
	var disconnected, orphaned stream
	finished := make(chan struct{}, 2)
	go func() {
		f.readStream(ctx, &disconnected, f.callerURL(0)+"/v1/completions", body, never)
		finished <- struct{}{}
	}()
	go func() {
		f.readStream(context.Background(), &orphaned, f.callerURL(1)+"/v1/completions", body, never)
		finished <- struct{}{}
	}()
	attemptsHeld := func() int {
		n := 0
		for _, url := range f.decodeURLs {
			n += f.attemptCount(url)
		}
		return n
	}

	f.eventually(5*time.Second, "both requests hold memory", func() bool { return attemptsHeld() == 2 })
	cancel()
	elapsed := f.eventually(3*time.Second, "the memory of the caller that left is free", func() bool { return attemptsHeld() == 1 })
	t.Logf("freed %s after the caller left", elapsed)
	_ = f.processes[len(f.processes)-1].Process.Kill()
	f.deregister("entry-2")
	elapsed = f.eventually(20*time.Second, "the memory of the dead instance's request is free", func() bool { return attemptsHeld() == 0 })
	t.Logf("freed %s after the instance died", elapsed)
	<-finished
	<-finished
}

// Guards against a response with missing or repeated text after a decode engine has
// crashed while it generated it (G7).
func TestResponseIsCompleteAfterEngineCrash(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	prompt := site.Prompt("board", 400)
	var s stream
	crashed := false
	f.readStream(context.Background(), &s, f.callerURL(0)+"/v1/completions", completionBody(prompt, 120, true), func() bool {
		if !crashed && strings.Count(s.text, " ") == 30 {
			crashed = true
			for _, url := range f.decodeURLs {
				if f.attemptCount(url) > 0 {
					code, _, body := f.do("POST", url+"/lab/faults", "", `{"crash":true}`)
					is.Equal(code/100, 2)
					_ = body
				}
			}
		}
		return false
	})
	is.Equal(s.errors, "")
	is.True(s.done)
	is.Equal(s.text, expectedText(prompt, 120))
}

// Guards against requests that fail in an outage of the store: everything but claims
// and configuration changes continues, and a request that is refused for lack of a
// claim has not run (G8).
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	code, _, _ := f.do("POST", f.platformURL+"/lab/faults", "", `{"outage":true}`)
	is.Equal(code/100, 2)
	time.Sleep(12 * time.Second) // longer than the freshness and grace periods of keys
	for n := range f.instances {
		code, _, body := f.do("POST", f.callerURL(n)+"/v1/completions", f.account.Key, completionBody(site.Prompt("a", 100), 5, false))
		if code != 200 {
			t.Errorf("during the outage: %d %s", code, body)
		}
	}
	code, _, body := f.do("POST", f.callerURL(0)+"/call", f.account.Key, `{"board":"x"}`, "Idempotency-Key", "outage-1")
	is.Equal(code, 503)
	is.True(strings.Contains(string(body), `"ran":"not_run"`))
	is.Equal(f.countExecutions("outage-1"), 0)
}
