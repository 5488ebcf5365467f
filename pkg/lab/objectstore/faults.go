package objectstore

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

// Faults are the faults that a Server injects. The zero value injects none.
// Rates are probabilities from 0 to 1.
type Faults struct {
	// Outage refuses all calls with 503.
	Outage bool `json:"outage"`
	// Silent accepts all calls and responds to none.
	Silent bool `json:"silent"`
	// SilentWatch accepts watches and responds to none, while other calls work.
	SilentWatch bool `json:"silent_watch"`
	// LatencyMS delays each call, with up to JitterMS added.
	LatencyMS int `json:"latency_ms"`
	JitterMS  int `json:"jitter_ms"`
	// LostResponseRate is the rate of writes that take effect and whose connection is
	// then closed without a response.
	LostResponseRate float64 `json:"lost_answer_rate"`
	// StaleReadRate is the rate of reads that return the version before the current
	// one.
	StaleReadRate float64 `json:"stale_read_rate"`
}

// Counters count the calls to the object API and the list of Instances.
type Counters struct {
	// Reads include lists of objects and of Instances.
	Reads int64 `json:"reads"`
	// Watches count as reads for the rate limit, but not in Reads.
	Watches int64 `json:"watches"`
	Writes  int64 `json:"writes"`
	// WrittenBytes counts the values of successful writes.
	WrittenBytes  int64 `json:"written_bytes"`
	Conflicts     int64 `json:"conflicts"`
	RateLimited   int64 `json:"over_rate"`
	Refused       int64 `json:"refused"` // by Faults.Outage
	LostResponses int64 `json:"lost_answers"`
	StaleReads    int64 `json:"stale_reads"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the active faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the counts since the start.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

func (s *Server) updateCounters(add func(c *Counters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counters)
}

// drawFault returns true at the given rate, from the seeded random source. A rate of 0
// consumes no random number, so that a disabled fault doesn't change the sequence of
// the others.
func (s *Server) drawFault(rate float64) bool {
	if rate <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < rate
}

func (s *Server) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ms := s.faults.LatencyMS
	if s.faults.JitterMS > 0 {
		ms += s.random.IntN(s.faults.JitterMS + 1)
	}
	return time.Duration(ms) * time.Millisecond
}

// callKind is the kind of a call. Watches and reads share a rate limit.
type callKind int

const (
	readCall callKind = iota
	writeCall
	watchCall
)

// withFaults counts a call, applies the faults and rate limits that precede its effect,
// and then calls handle.
func (s *Server) withFaults(k callKind, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.countCall(k)
		faults := s.Faults()
		if faults.Silent || faults.SilentWatch && k == watchCall {
			s.hangUntilCancelled(r)
			return
		}
		if !sleep(r.Context(), s.latency()) {
			return
		}
		if faults.Outage {
			s.updateCounters(func(c *Counters) { c.Refused++ })
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		if !s.withinRate(k) {
			s.updateCounters(func(c *Counters) { c.RateLimited++ })
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		handle(w, r)
	}
}

// hangUntilCancelled waits until the caller disconnects. net/http detects that only
// after the body was read.
func (s *Server) hangUntilCancelled(r *http.Request) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, platform.MaxValueBytes))
	<-r.Context().Done()
}

func (s *Server) countCall(k callKind) {
	s.updateCounters(func(c *Counters) {
		switch k {
		case readCall:
			c.Reads++
		case writeCall:
			c.Writes++
		case watchCall:
			c.Watches++
		}
	})
}

func (s *Server) withinRate(k callKind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k == writeCall {
		return s.writeLimiter.allow(s.opts.Now())
	}
	return s.readLimiter.allow(s.opts.Now())
}

// rateLimiter limits the rate of calls, with a burst of a tenth of a second.
type rateLimiter struct {
	perSecond int       // 0 means no limit
	next      time.Time // when all accepted calls are paid off at the rate
}

// allow reports whether a call is within the limit, and counts it if so.
func (r *rateLimiter) allow(now time.Time) bool {
	if r.perSecond <= 0 {
		return true
	}
	interval := time.Second / time.Duration(r.perSecond)
	burst := max(time.Second/10, interval)
	if r.next.Before(now) {
		r.next = now
	}
	if r.next.Sub(now)+interval > burst {
		return false
	}
	r.next = r.next.Add(interval)
	return true
}

// sleep waits for d. It returns false if ctx was cancelled first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maybeLoseResponse closes the connection without a response, at the configured rate.
func (s *Server) maybeLoseResponse() {
	if s.drawFault(s.Faults().LostResponseRate) {
		s.updateCounters(func(c *Counters) { c.LostResponses++ })
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) }

func (s *Server) getCounters(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) }
