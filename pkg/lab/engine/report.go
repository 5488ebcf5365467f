package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

func (s *Server) serveAttempts(x *exchange) *failure {
	s.reply(x, http.StatusOK, s.RunningAttempts())
	return nil
}

func (s *Server) serveLoad(x *exchange) *failure {
	s.mu.Lock()
	report := x.state.delayedReport(s.opts.Clock.Now())
	s.mu.Unlock()
	s.reply(x, http.StatusOK, report)
	return nil
}

// delayedReport returns the load as of ReportLag ago, or the first observation if the
// engine has run for less.
func (st *state) delayedReport(now time.Time) upstream.LoadReport {
	cutoff := now.Add(-st.server.opts.ReportLag).UnixMilli()
	st.pruneReports(cutoff)
	report := st.reports[0]
	report.AsOfMS = max(report.AsOfMS, cutoff)
	return report
}

// pruneReports removes the observations before the last one that is not after cutoff.
func (st *state) pruneReports(cutoff int64) {
	for len(st.reports) > 1 && st.reports[1].AsOfMS <= cutoff {
		st.reports = st.reports[1:]
	}
}

// recordLoad records the load after a change.
func (st *state) recordLoad(now time.Time) {
	report := upstream.LoadReport{
		Slots:      st.server.opts.Slots,
		Attempts:   st.running(),
		AsOfMS:     now.UnixMilli(),
		Generation: st.generation,
		Queued:     len(st.prefillQueue) + len(st.decodeQueue),
		FreeBlocks: st.freeBlocks,
	}
	current, desired := st.current, st.desired
	report.State = &current
	if desired != current {
		report.Loading = &desired
	}
	report.Used = len(report.Attempts)
	for _, w := range st.prefillQueue {
		report.QueuedTokens += int64(w.tokens)
	}
	for _, a := range st.decodeQueue {
		report.QueuedTokens += int64(a.maxTokens - a.offset)
	}
	st.pruneReports(now.Add(-st.server.opts.ReportLag).UnixMilli())
	last := len(st.reports) - 1
	if last >= 0 && st.reports[last].AsOfMS == report.AsOfMS {
		st.reports[last] = report
		return
	}
	st.reports = append(st.reports, report)
}

func (s *Server) serveCacheEvents(x *exchange) *failure {
	after, err := strconv.ParseUint(x.request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return &failure{http.StatusBadRequest, upstream.CodeMalformed, "after is not a number"}
	}
	s.mu.Lock()
	events := x.state.cache.eventsAfter(s.opts.Clock.Now(), after)
	s.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Seq
	}
	s.reply(x, http.StatusOK, upstream.CacheEvents{Events: events, Next: next, Generation: x.state.generation})
	return nil
}
