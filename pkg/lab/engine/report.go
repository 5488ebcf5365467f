package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// maxReports bounds the history from which a lagged report is taken.
const maxReports = 64

func (s *Server) serveAttempts(x *exchange) *failure {
	s.reply(x, http.StatusOK, s.Running())
	return nil
}

func (s *Server) serveLoad(x *exchange) *failure {
	s.mu.Lock()
	report := x.state.laggedReport(s.opts.Clock.Now())
	s.mu.Unlock()
	s.reply(x, http.StatusOK, report)
	return nil
}

// laggedReport returns the latest observation that is at least ReportLag old, or
// the oldest one when the engine has not run for that long. Observations are made
// at each call and at each change.
func (st *state) laggedReport(now time.Time) upstream.LoadReport {
	st.observe(now)
	cut := now.Add(-st.server.opts.ReportLag).UnixMilli()
	found := st.reports[0]
	for _, r := range st.reports {
		if r.AsOfMS <= cut {
			found = r
		}
	}
	return found
}

// observe records the present load.
func (st *state) observe(now time.Time) {
	report := upstream.LoadReport{
		Slots:      st.server.opts.Slots,
		Attempts:   st.running(),
		AsOfMS:     now.UnixMilli(),
		Generation: st.generation,
		Queued:     len(st.queue),
		FreeBlocks: st.freeBlocks,
	}
	report.Used = len(report.Attempts)
	for _, w := range st.queue {
		report.QueuedTokens += int64(w.tokens)
	}
	last := len(st.reports) - 1
	if last >= 0 && st.reports[last].AsOfMS == report.AsOfMS {
		st.reports[last] = report
		return
	}
	if len(st.reports) >= maxReports {
		st.reports = append(st.reports[:0], st.reports[maxReports/2:]...)
	}
	st.reports = append(st.reports, report)
}

func (s *Server) serveCacheEvents(x *exchange) *failure {
	after, err := strconv.ParseUint(x.request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return &failure{http.StatusBadRequest, upstream.CodeMalformed, "after is not a number"}
	}
	s.mu.Lock()
	events := x.state.cache.after(s.opts.Clock.Now(), after)
	s.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Seq
	}
	s.reply(x, http.StatusOK, upstream.CacheEvents{Events: events, Next: next, Generation: x.state.generation})
	return nil
}

func (s *Server) serveOrder(x *exchange) *failure {
	var q upstream.OrderRequest
	if fail := x.decode(&q); fail != nil {
		return fail
	}
	s.mu.Lock()
	stale := s.opts.CheckFencing && q.Fence < s.fence
	if !stale {
		s.fence = max(s.fence, q.Fence)
		s.orders = append(s.orders, q)
	}
	s.mu.Unlock()
	if stale {
		return &failure{http.StatusConflict, upstream.CodeStaleFence, "fencing number is lower than one already seen"}
	}
	s.reply(x, http.StatusOK, struct{}{})
	return nil
}

// Orders returns the orders that were carried out.
func (s *Server) Orders() []upstream.OrderRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]upstream.OrderRequest(nil), s.orders...)
}
