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

// BenchmarkRelay streams answers to 8 callers at once over loopback. The engines,
// the Instance and the callers share the process, so cpu-µs/token is an upper
// bound for the Instance; a profile (-cpuprofile) shows the parts.
func BenchmarkRelay(b *testing.B) {
	const callers, tokens = 8, 2000
	s := startSite(b, site.Options{
		Instances: 1, Prefill: 1, Decode: 1,
		Engine: engine.Options{
			PerPromptToken: time.Microsecond, PerOutputToken: 200 * time.Microsecond, PerBatchMember: time.Nanosecond, KeptFor: time.Minute,
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
	used := processTime(b)
	relayed := 0
	for b.Loop() {
		var done sync.WaitGroup
		for caller := range callers {
			done.Go(func() {
				if code, answer := send(b, "POST", url, s.Large.Key, body(relayed, caller), nil); code != 200 {
					b.Errorf("%d %s", code, answer)
				}
			})
		}
		done.Wait()
		// The site's link carries 1 GB/s, and the KV cache of a prompt counts 100 MB.
		time.Sleep(time.Second)
		relayed += callers * tokens
	}
	b.ReportMetric(float64((processTime(b)-used).Microseconds())/float64(relayed), "cpu-µs/token")
}

// processTime returns the processor time of this process.
func processTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
