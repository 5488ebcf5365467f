package telemetry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

type testClock struct{ now time.Time }

func (c *testClock) read() time.Time { return c.now }

func newMetrics(t *testing.T, opts Options) (*Metrics, func() string) {
	m, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.Close(t.Context()) })
	return m, func() string {
		recorder := httptest.NewRecorder()
		m.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
		return recorder.Body.String()
	}
}

func completed(account core.AccountID, firstToken, interToken time.Duration) CompletedRequest {
	return CompletedRequest{
		Service: "letra-llm", Account: account, TimeToFirstToken: firstToken, InterTokenLatency: interToken, Tokens: 10,
		TimeToFirstTokenTarget: 1900 * time.Millisecond, InterTokenLatencyTarget: 37 * time.Millisecond,
	}
}

// Guards against a metric that is missing or has no unit, and against a response
// that missed a target but counts as goodput.
func TestMetrics(t *testing.T) {
	m, scrape := newMetrics(t, Options{})
	m.RecordCompletion(completed("a", time.Second, 30*time.Millisecond))
	m.RecordCompletion(completed("a", 2*time.Second, 30*time.Millisecond))
	m.RecordCompletion(completed("a", time.Second, 38*time.Millisecond))
	m.RecordRefusal("letra-llm", "a", core.CodeNoCapacity, true)
	m.RecordRefusal("letra-llm", "a", core.CodeOverRate, false)
	m.AddWastedPrefill("letra-llm", 700)
	m.AddControlCPU(1500 * time.Millisecond)
	m.AddControlBytes(Sent, 20)
	m.AddControlBytes(Received, 30)
	m.AddProcessCPU(2500 * time.Millisecond)
	m.AddLateResponses(1)
	m.SetQueueLength("letra-llm", 4)
	m.SetQueueLength("letra-llm", 3)
	text := scrape()
	for _, want := range []string{
		`rhubarbsill_answers_total{service="letra-llm"} 3`,
		`rhubarbsill_goodput_total{service="letra-llm"} 1`,
		`rhubarbsill_goodput_tokens_total{service="letra-llm"} 10`,
		`rhubarbsill_first_token_seconds_bucket{service="letra-llm",le="1.9"} 2`,
		`rhubarbsill_between_tokens_seconds_bucket{service="letra-llm",le="0.037"} 2`,
		`rhubarbsill_wasted_prefill_total{service="letra-llm"} 700`,
		`rhubarbsill_refusals_total{code="no_capacity",service="letra-llm"} 1`,
		`rhubarbsill_refusals_total{code="over_rate",service="letra-llm"} 1`,
		`rhubarbsill_refusals_inside_rate_total{service="letra-llm"} 1`,
		`rhubarbsill_control_cpu_seconds_total 1.5`,
		`rhubarbsill_control_bytes_total{direction="sent"} 20`,
		`rhubarbsill_control_bytes_total{direction="received"} 30`,
		`rhubarbsill_process_cpu_seconds_total 2.5`,
		`rhubarbsill_late_answers_dropped_total 1`,
		`rhubarbsill_queue_length{service="letra-llm"} 3`,
	} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("missing %s", want)
		}
	}
	if t.Failed() {
		t.Log(text)
	}
}

var worstLine = regexp.MustCompile(`(?m)^rhubarbsill_worst_account_service\S* (\S+)$`)

// Guards against a lowest share that is distorted by other accounts, by refusals
// above the rate, by accounts with few requests or by requests before the window.
func TestWorstServedAccount(t *testing.T) {
	is := is.New(t)
	clock := &testClock{now: time.Unix(1000, 0)}
	m, scrape := newMetrics(t, Options{Window: time.Minute, MinRequests: 4, Now: clock.read})
	lowestShare := func() string { return worstLine.FindStringSubmatch(scrape())[1] }
	is.Equal(lowestShare(), "1")
	for range 100 {
		m.RecordCompletion(completed("well", time.Second, 0))
	}
	for range 3 {
		m.RecordCompletion(completed("badly", time.Second, 0))
	}
	m.RecordRefusal("letra-llm", "badly", core.CodeNoCapacity, true)
	m.RecordRefusal("letra-llm", "few", core.CodeNoCapacity, true)
	for range 9 {
		m.RecordRefusal("letra-llm", "well", core.CodeOverRate, false)
	}
	is.Equal(lowestShare(), "0.75")
	clock.now = clock.now.Add(45 * time.Second)
	is.Equal(lowestShare(), "0.75")
	clock.now = clock.now.Add(16 * time.Second)
	is.Equal(lowestShare(), "1")
	is.Equal(len(m.accounts.accounts), 0)
}

// Guards against labels or memory that grow with the number of accounts.
func TestAccountsAreBounded(t *testing.T) {
	is := is.New(t)
	m, scrape := newMetrics(t, Options{MaxAccounts: 10})
	m.RecordCompletion(completed("acct-0", time.Second, 0))
	before := strings.Count(scrape(), "\n")
	for i := range 1000 {
		account := core.AccountID(fmt.Sprintf("acct-%d", i))
		m.RecordCompletion(completed(account, time.Second, 0))
		m.RecordRefusal("letra-llm", account, core.CodeOverRate, false)
	}
	text := scrape()
	is.Equal(len(m.accounts.accounts), 10)
	is.True(!strings.Contains(text, "acct-"))
	is.Equal(strings.Count(text, "\n"), before+3) // the refusals: HELP, TYPE and one series
}

// Guards against an unbounded number of series when callers send unknown service
// names.
func TestSeriesAreBounded(t *testing.T) {
	is := is.New(t)
	m, scrape := newMetrics(t, Options{})
	for i := range 3 * maxSeries {
		m.RecordRefusal(core.ServiceName(fmt.Sprintf("made-up-%d", i)), "a", core.CodeUnknownModel, false)
	}
	is.True(strings.Count(scrape(), "\nrhubarbsill_refusals_total{") <= maxSeries)
}

// Guards against a log line with a missing or wrong component prefix.
func TestLoggerPrefix(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := NewLogger(&out, zapcore.InfoLevel)
	keys := ComponentLogger(log, "keys")
	keys.Debug("not written")
	keys.With(zap.String("key", "k1")).Info("key was revoked")
	ComponentLogger(log, "limits").Warn("loan was refused")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	for i, want := range []string{"keys: key was revoked", "limits: loan was refused"} {
		var line map[string]any
		is.NoErr(json.Unmarshal([]byte(lines[i]), &line))
		is.Equal(line["msg"], want)
	}
	is.True(strings.Contains(lines[0], `"key":"k1"`))
}
