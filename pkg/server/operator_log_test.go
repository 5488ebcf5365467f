package server_test

import (
	"bytes"
	"context"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// Guards against a change of state that is missing from the log at info level, a
// line for each request, and a secret in a line.
func TestOperatorLog(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	s := startSite(t, site.Options{Instances: 1, Log: telemetry.NewLogger(&out, zapcore.InfoLevel)})
	url := "http://" + s.Instances[0].CallerAddr
	requireLogLine := func(text string) {
		t.Helper()
		waitFor(t, text, func() bool { return strings.Contains(out.String(), text) })
	}
	requireLogLine("rollout: configuration in force")
	requireLogLine("membership: roster in force")

	before := strings.Count(out.String(), "\n")
	for range 50 {
		code, _ := send(t, "GET", url+"/lookup/1", s.Large.Key, "", nil)
		is.Equal(code, 200)
	}
	is.True(strings.Count(out.String(), "\n")-before < 10) // no line per request
	for range 50 {
		send(t, "POST", url+"/v1/completions", s.Small.Key, completion("x", 900), nil)
	}
	const overRate = `"msg":"limits: account is over its rate, requests are refused","account":"small"`
	requireLogLine(overRate)
	is.Equal(strings.Count(out.String(), overRate), 1)

	setEngineFault(t, s, engine.Faults{Refuse: true})
	requireLogLine("placement: upstream does not report its load")
	setEngineFault(t, s, engine.Faults{})
	requireLogLine("placement: upstream is usable again")

	s.Platform.SetFaults(objectstore.Faults{Outage: true})
	code, _ := send(t, "POST", url+"/call", s.Large.Key, `{"board":"x"}`, map[string]string{"Idempotency-Key": "oncall-1"})
	is.Equal(code, 503)
	requireLogLine("claims: claim store is unavailable")
	requireLogLine("platform: object store is unavailable")
	requireLogLine("keys: configuration is not confirmed")
	s.Platform.SetFaults(objectstore.Faults{})
	requireLogLine("platform: object store is usable again")
	requireLogLine("keys: configuration is confirmed again")

	s.Document.Accounts[1].Keys[0].Revoked = true
	is.NoErr(s.Promote(context.Background()))
	requireLogLine("keys: key revoked")
	is.True(strings.Contains(out.String(), `"small.k1"`))
	for _, key := range []string{s.Large.Key, s.Small.Key} {
		is.True(!strings.Contains(out.String(), strings.SplitN(key, "_", 3)[2]))
	}
}

func setEngineFault(t *testing.T, s *site.Site, faults engine.Faults) {
	t.Helper()
	url := s.Document.Services[0].Upstreams[0].URL
	body := "{}"
	if faults.Refuse {
		body = `{"refuse":true}`
	}
	if code, response := send(t, "POST", url+"/lab/faults", "", body, nil); code != 200 {
		t.Fatalf("faults: %d %s", code, response)
	}
}

// Guards against a metric that is never recorded, and against labels that contain
// keys, accounts or requests.
func TestMetricsOverHTTP(t *testing.T) {
	is := is.New(t)
	s := startSite(t, site.Options{Instances: 2})
	url := "http://" + s.Instances[0].CallerAddr
	for range 10 {
		send(t, "POST", url+"/v1/completions", s.Large.Key, completion(site.Prompt("x", 200), 4), nil)
		send(t, "POST", url+"/v1/completions", s.Small.Key, completion("x", 900), nil)
	}
	scrape := func() string {
		code, body := send(t, http.MethodGet, "http://"+s.Instances[0].StatusAddr+"/metrics", "", "", nil)
		is.Equal(code, 200)
		return string(body)
	}
	// These must be above zero.
	positive := []string{
		"goodput_total", "goodput_tokens_total", "answers_total", "refusals_total", "first_token_seconds_count",
		"between_tokens_seconds_count", "worst_account_service_ratio", "control_cpu_seconds_total", "process_cpu_seconds_total",
		`control_bytes_total{direction="sent"}`, `control_bytes_total{direction="received"}`,
	}
	for _, name := range positive {
		line := regexp.MustCompile(`(?m)^rhubarbsill_` + regexp.QuoteMeta(name) + `\S* .*[1-9]`)
		waitFor(t, name, func() bool { return line.MatchString(scrape()) })
	}
	text := scrape()
	// Exported, but zero in this run.
	is.True(strings.Contains(text, "\nrhubarbsill_late_answers_dropped_total"))
	labels := map[string]bool{}
	for _, label := range regexp.MustCompile(`(\w+)="([^"]*)"`).FindAllStringSubmatch(text, -1) {
		labels[label[1]] = true
		for _, secret := range []string{s.Large.Key, s.Small.Key, "large", "small", "k1", "rsk_"} {
			is.True(label[2] != secret)
		}
	}
	for label := range labels {
		switch label {
		case "service", "code", "direction", "le", "service_name", "telemetry_sdk_language", "telemetry_sdk_name", "telemetry_sdk_version", "service_instance_id":
		default:
			t.Errorf("label %s", label)
		}
	}

	status, err := s.Instances[0].Status(context.Background())
	is.NoErr(err)
	is.True(status.CPUSeconds > 0)
	is.True(status.HeapBytes > 0)
	is.True(status.PeerBytesPerSecond > 0)
	is.True(status.PlatformBytesPerSecond > 0)
	is.Equal(status.LatestKnownVersion, core.Version(1))
}
