package server_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
)

// BenchmarkRelay streams responses to 8 concurrent callers over loopback. The
// engines, the Instance and the callers share the process, so cpu-µs/token is an
// upper bound for the Instance; a profile (-cpuprofile) shows the shares.
func BenchmarkRelay(b *testing.B) {
	const callers, tokens = 8, 2000
	s := startSite(b, site.Options{
		Instances: 1, Prefill: 1, Decode: 1,
		Engine: engine.Options{
			PerPromptToken: time.Microsecond, PerOutputToken: 200 * time.Microsecond, PerBatchMember: time.Nanosecond, KVTTL: time.Minute,
		},
	})
	url := "http://" + s.Instances[0].CallerAddr + "/v1/completions"
	time.Sleep(time.Second) // the token buckets fill
	body := func(n, caller int) string {
		text, _ := json.Marshal(map[string]any{
			"model": site.Model, "prompt": fmt.Sprint("relay ", n, " ", caller), "max_tokens": tokens, "stream": true,
		})
		return string(text)
	}
	startTime := processTime(b)
	relayed := 0
	for b.Loop() {
		var done sync.WaitGroup
		for caller := range callers {
			done.Go(func() {
				if code, response := send(b, "POST", url, s.Large.Key, body(relayed, caller), nil); code != 200 {
					b.Errorf("%d %s", code, response)
				}
			})
		}
		done.Wait()
		// The simulated link has 1 GB/s, and the KV cache of a prompt counts as 100 MB.
		time.Sleep(time.Second)
		relayed += callers * tokens
	}
	b.ReportMetric(float64((processTime(b)-startTime).Microseconds())/float64(relayed), "cpu-µs/token")
}

// processTime returns the processor time of this process.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
