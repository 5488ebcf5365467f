package limits_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
)

// benchLimiter returns a home Instance of all accounts, with full buckets, and the accounts.
func benchLimiter(count int) (*limits.Limiter, []limits.Account, []core.RequestID) {
	all, _ := trio()
	accounts := make([]limits.Account, count)
	ids := make([]core.RequestID, 1024)
	for i := range accounts {
		accounts[i] = limits.Account{ID: core.AccountID(fmt.Sprintf("account-%d", i)), Rate: 3e9, Burst: 3e9}
	}
	for i := range ids {
		ids[i] = core.RequestID(fmt.Sprintf("request-%d", i))
	}
	return all["i000"], accounts, ids
}

// BenchmarkAdmit measures a request that the local entitlement covers, with its settlement.
func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{5, 2700, 27000} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			l, accounts, ids := benchLimiter(count)
			now := full
			for _, a := range accounts {
				l.Admit(now, "first", a, 1)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(70 * time.Microsecond)
				id := ids[i%len(ids)]
				if l.Admit(now, id, accounts[i%count], 800).State != limits.Granted {
					b.Fatal("refused")
				}
				l.Settle(now, id, 600)
			}
		})
	}
}

// BenchmarkAccountMemory measures the bytes that one account in use takes.
func BenchmarkAccountMemory(b *testing.B) {
	const count = 27000
	for range b.N {
		l, accounts, _ := benchLimiter(count)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for _, a := range accounts {
			l.Admit(full, "q", a, 800)
			l.Settle(full, "q", 600)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/account")
		runtime.KeepAlive(l)
		runtime.KeepAlive(accounts)
	}
}
