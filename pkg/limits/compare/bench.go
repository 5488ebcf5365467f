package main

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// frameOverhead is the size in bytes of the TCP and IP headers and the RPC frame of a
// heartbeat that is sent in a packet of its own.
const frameOverhead = 70

// runBenchmarks prints the cost of an admission, the memory of an account, and the
// cost of a second of heartbeats.
func runBenchmarks(seed uint64) {
	for _, count := range []int{5, 2700, 27000} {
		r := testing.Benchmark(func(b *testing.B) { benchAdmit(b, count) })
		fmt.Printf("admit and settle, %5d accounts: %s %s\n", count, r, r.MemString())
	}
	fmt.Printf("memory: %.0f B per account\n", accountMemory())
	for _, size := range []int{8, 80, 330} {
		wire := 0
		r := testing.Benchmark(func(b *testing.B) { wire = benchHeartbeats(b, size, seed) })
		fmt.Printf("heartbeats, %3d instances, per second: %s %s, %d B on the wire in both directions\n",
			size, r, r.MemString(), wire/r.N)
	}
}

// newHomeLimiter returns a Limiter that is a home Instance of every account.
func newHomeLimiter(count int) (*limits.Limiter, []limits.Account) {
	roster := rosterOf(3)
	l := limits.New(roster.Members[0].Ref, limits.Params{})
	l.SetEntitlementExpiry(core.Never)
	l.SetRoster(0, roster)
	accounts := make([]limits.Account, count)
	for i := range accounts {
		accounts[i] = limits.Account{ID: core.AccountID(fmt.Sprintf("account-%d", i)), Rate: 3e9, Burst: 3e9}
	}
	return l, accounts
}

// benchAdmit measures requests that the local entitlement covers.
func benchAdmit(b *testing.B, count int) {
	l, accounts := newHomeLimiter(count)
	now := warmup
	for _, a := range accounts {
		l.Admit(now, "first", a, 1)
	}
	ids := make([]core.RequestID, 1024)
	for i := range ids {
		ids[i] = core.RequestID(fmt.Sprintf("request-%d", i))
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
}

// accountMemory returns the bytes in use by one account.
func accountMemory() float64 {
	const count = 27000
	l, accounts := newHomeLimiter(count)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, a := range accounts {
		l.Admit(warmup, "q", a, 800)
		l.Settle(warmup, "q", 600)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(l)
	runtime.KeepAlive(accounts)
	return float64(after.HeapAlloc-before.HeapAlloc) / count
}

// benchHeartbeats measures the heartbeats of one Instance in a fleet without changes:
// receiving, sending and encoding one round. It returns the bytes of all rounds in
// both directions.
func benchHeartbeats(b *testing.B, size int, seed uint64) int {
	roster := rosterOf(size)
	roster.HandoverComplete = false
	params := membership.Params{Random: rand.New(rand.NewPCG(seed, 3))}
	m := membership.New(roster.Members[0], params)
	var list []membership.ListEntry
	for _, member := range roster.Members {
		list = append(list, membership.ListEntry{ID: member.Ref.ID, DataCentre: member.DataCentre, State: membership.Live})
	}
	m.OnList(0, list)
	m.OnRosterRead(0, roster, 1)
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	next, messages, total := 0, 0, 0
	round := uint64(0)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		// The jitter makes a round due up to 10% late.
		now := core.Instant(i) * core.Instant(membership.DefaultHeartbeatInterval*11/10+1)
		for range min(membership.DefaultFanout, size-1) {
			next = next%(size-1) + 1
			from := roster.Members[next].Ref
			h := membership.Heartbeat{From: from, Seq: uint64(i) + 1, Epoch: 1, Echo: round, EchoOf: 1}
			m.OnHeartbeat(now, h)
		}
		for _, o := range m.Tick(now) {
			send, ok := o.(membership.SendHeartbeat)
			if !ok {
				continue
			}
			messages++
			round = send.Heartbeat.Seq
			if err := encoder.Encode(send.Heartbeat); err != nil {
				b.Fatal(err)
			}
		}
		total += wire.Len()
		wire.Reset()
	}
	return 2 * (total + frameOverhead*messages)
}
