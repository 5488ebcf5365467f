package server

import (
	"context"
	"maps"
	"net"
	"net/http"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

// sampleInterval is the interval over which the rates of the status page are
// computed.
const sampleInterval = 2 * time.Second

// Usage is the resource usage of the process.
type Usage struct {
	// CPUSeconds is the processor time of the whole process since its start.
	CPUSeconds float64 `json:"process_cpu_seconds"`
	// CPUShare is the processor time as a share of one core over the last sample
	// interval.
	CPUShare float64 `json:"process_cpu_share"`
	// ControlCPUSeconds is the time that the event loop spent on events that
	// belong to no request.
	ControlCPUSeconds float64 `json:"control_cpu_seconds"`
	// PeerBytesPerSecond and PlatformBytesPerSecond count both directions over
	// the last sample interval.
	PeerBytesPerSecond     int64  `json:"peer_bytes_per_second"`
	PlatformBytesPerSecond int64  `json:"platform_bytes_per_second"`
	HeapBytes              uint64 `json:"heap_bytes"`
}

// totals holds cumulative values since the start of the process.
type totals struct {
	sampledAt                      time.Time
	cpu, controlCPU                time.Duration
	peerSent, peerReceived         int64
	platformSent, platformReceived int64
	lateResponses                  uint64
}

// sampler derives rates from the totals and adds their differences to the metrics.
type sampler struct {
	server     *Server
	last       totals
	lastQueued map[core.ServiceName]int
}

// runSampler samples the totals every sampleInterval until ctx is done.
func (s *Server) runSampler(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	sampler := sampler{server: s, last: totals{sampledAt: time.Now()}}
	for {
		sampler.sample()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *sampler) sample() {
	s := p.server
	now := s.totals()
	usage := usageBetween(p.last, now)
	s.usage.Store(&usage)
	s.metrics.AddProcessCPU(now.cpu - p.last.cpu)
	s.metrics.AddControlCPU(now.controlCPU - p.last.controlCPU)
	s.metrics.AddControlBytes(telemetry.Sent, now.sent()-p.last.sent())
	s.metrics.AddControlBytes(telemetry.Received, now.received()-p.last.received())
	s.metrics.AddLateResponses(int64(now.lateResponses - p.last.lateResponses))
	p.last = now
	if counters := s.counters.Load(); counters != nil {
		p.recordQueueLengths(counters.Queued)
	}
}

// recordQueueLengths also records 0 for a queue that has become empty.
func (p *sampler) recordQueueLengths(queued map[core.ServiceName]int) {
	names := maps.Clone(p.lastQueued)
	if names == nil {
		names = map[core.ServiceName]int{}
	}
	maps.Copy(names, queued)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p.server.metrics.SetQueueLength(name, queued[name])
	}
	p.lastQueued = names
}

func (t totals) sent() int64     { return t.peerSent + t.platformSent }
func (t totals) received() int64 { return t.peerReceived + t.platformReceived }

func (s *Server) totals() totals {
	peers := s.peers.Stats()
	t := totals{
		sampledAt:        time.Now(),
		cpu:              processCPU(),
		controlCPU:       time.Duration(s.controlTime.Load()),
		peerSent:         peers.BytesSent,
		peerReceived:     peers.BytesReceived,
		platformSent:     s.platformBytes.sent.Load(),
		platformReceived: s.platformBytes.received.Load(),
	}
	if counters := s.counters.Load(); counters != nil {
		t.lateResponses = counters.LateEvents
	}
	return t
}

func usageBetween(previous, now totals) Usage {
	seconds := max(now.sampledAt.Sub(previous.sampledAt).Seconds(), time.Millisecond.Seconds())
	perSecond := func(bytes int64) int64 { return int64(float64(bytes) / seconds) }
	return Usage{
		CPUSeconds:             now.cpu.Seconds(),
		CPUShare:               (now.cpu - previous.cpu).Seconds() / seconds,
		ControlCPUSeconds:      now.controlCPU.Seconds(),
		PeerBytesPerSecond:     perSecond(now.peerSent + now.peerReceived - previous.peerSent - previous.peerReceived),
		PlatformBytesPerSecond: perSecond(now.platformSent + now.platformReceived - previous.platformSent - previous.platformReceived),
		HeapBytes:              heapBytes(),
	}
}

// processCPU returns the user and system time of the process, 0 when it is not
// available.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the heap objects. It uses runtime/metrics, since
// runtime.ReadMemStats stops all goroutines.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// isControl reports whether an event belongs to no request.
func isControl(event router.Event) bool {
	switch event.(type) {
	case router.RequestArrived, router.CallerDisconnected, router.AddressesRequested, router.AttemptSent,
		router.PrefillDone, router.FirstToken, router.Progress, router.ResponseCompleted,
		router.AttemptFailed, router.CancelConfirmed:
		return false
	}
	return true
}

// byteCounter counts the bytes of connections.
type byteCounter struct{ sent, received atomic.Int64 }

// transport returns an HTTP transport that counts the bytes of its connections.
func (c *byteCounter) transport(idlePerHost int) http.RoundTripper {
	var dialer net.Dialer
	return &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     time.Minute,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return byteCountingConn{Conn: conn, count: c}, nil
		},
	}
}

type byteCountingConn struct {
	net.Conn
	count *byteCounter
}

// Read implements net.Conn.
func (c byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Add(int64(n))
	return n, err
}
