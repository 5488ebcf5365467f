package server_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

const (
	benchPrompt = 400
	benchOutput = 8
)

// sendDirect sends a completion to the engines without a Router.
func sendDirect(b *testing.B, client *upstream.Client, s *site.Site, prompt string, n int) {
	b.Helper()
	ctx := context.Background()
	upstreams := s.Document.Services[0].Upstreams
	id := core.AttemptID{Owner: core.InstanceRef{ID: "direct", Incarnation: 1}, Seq: uint64(n)}
	response, err := client.Prefill(ctx, upstreams[0].URL, upstream.PrefillRequest{
		Attempt: id.String(), Model: site.Model, Prompt: prompt, PromptTokens: upstream.EstimateTokens(prompt),
	})
	if err != nil {
		b.Fatal(err)
	}
	stream, err := client.Decode(ctx, upstreams[1].URL, upstream.DecodeRequest{
		Attempt: id.String(), Source: upstreams[0].URL, KV: response.KV, MaxTokens: benchOutput,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer stream.Close()
	for {
		if _, err := stream.Next(); err == io.EOF {
			return
		} else if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAddedLatency compares the latency of a completion through an Instance
// with that of the same completion sent directly to the engines. Requests are
// sequential and alternate between the two.
func BenchmarkAddedLatency(b *testing.B) {
	s := startSite(b, site.Options{
		Instances: 1, Prefill: 1, Decode: 1,
		Engine: engine.Options{PerPromptToken: time.Microsecond, PerOutputToken: time.Millisecond},
	})
	client := upstream.New(upstream.Options{Credential: site.CredentialText})
	url := "http://" + s.Instances[0].CallerAddr + "/v1/completions"
	var routed, direct []time.Duration
	n := 0
	for b.Loop() {
		n++
		prompt := site.Prompt(fmt.Sprint("bench", n), benchPrompt)
		start := time.Now()
		sendDirect(b, client, s, prompt, n)
		direct = append(direct, time.Since(start))
		start = time.Now()
		if code, body := send(b, "POST", url, s.Large.Key, completion(prompt, benchOutput), nil); code != 200 {
			b.Fatalf("%d %s", code, body)
		}
		routed = append(routed, time.Since(start))
	}
	reportPercentiles(b, routed, "through")
	reportPercentiles(b, direct, "direct")
}

func reportPercentiles(b *testing.B, times []time.Duration, name string) {
	slices.Sort(times)
	for _, p := range []int{50, 99} {
		value := times[min(len(times)-1, len(times)*p/100)]
		b.ReportMetric(float64(value.Microseconds()), fmt.Sprintf("%s-p%d-µs", name, p))
	}
}
