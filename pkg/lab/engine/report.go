package engine

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

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

// laggedReport returns the load as it was ReportLag ago, or at the start when the
// engine has not run for that long.
func (st *state) laggedReport(now time.Time) upstream.LoadReport {
	cut := now.Add(-st.server.opts.ReportLag).UnixMilli()
	st.prune(cut)
	report := st.reports[0]
	report.AsOfMS = max(report.AsOfMS, cut)
	return report
}

// prune drops the observations before the last one that is not after cut.
func (st *state) prune(cut int64) {
	for len(st.reports) > 1 && st.reports[1].AsOfMS <= cut {
		st.reports = st.reports[1:]
	}
}

// observe records the load after a change.
func (st *state) observe(now time.Time) {
	report := upstream.LoadReport{
		Slots:      st.server.opts.Slots,
		Attempts:   st.running(),
		AsOfMS:     now.UnixMilli(),
		Generation: st.generation,
		Queued:     len(st.queue) + len(st.waiting),
		FreeBlocks: st.freeBlocks,
	}
	serves, wants := st.serves, st.wants
	report.State = &serves
	if wants != serves {
		report.Loading = &wants
	}
	report.Used = len(report.Attempts)
	for _, w := range st.queue {
		report.QueuedTokens += int64(w.tokens)
	}
	for _, a := range st.waiting {
		report.QueuedTokens += int64(a.max - a.offset)
	}
	st.prune(now.Add(-st.server.opts.ReportLag).UnixMilli())
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
	events := x.state.cache.after(s.opts.Clock.Now(), after)
	s.mu.Unlock()
	next := after
	if len(events) > 0 {
		next = events[len(events)-1].Seq
	}
	s.reply(x, http.StatusOK, upstream.CacheEvents{Events: events, Next: next, Generation: x.state.generation})
	return nil
}
