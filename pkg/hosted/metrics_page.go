package hosted

import (
	"bytes"
	"maps"
	"net/http"
)

// maxMetricsInFlight bounds the pages of metrics that are made at the same time. A page takes
// milliseconds and up to 1 MB.
const maxMetricsInFlight = 2

// pageRecorder holds a page until it is complete, so that a slow reader does not keep others from
// getting theirs.
type pageRecorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (p *pageRecorder) Header() http.Header         { return p.header }
func (p *pageRecorder) WriteHeader(status int)      { p.status = status }
func (p *pageRecorder) Write(b []byte) (int, error) { return p.body.Write(b) }

// bufferedMetrics serves the metrics. Pages that are held for slow readers count as held for their
// connections.
func (d *Daemon) bufferedMetrics() http.Handler {
	places := make(chan struct{}, maxMetricsInFlight)
	handler := d.metrics.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case places <- struct{}{}:
		case <-r.Context().Done():
			return
		}
		page := &pageRecorder{header: http.Header{}, status: http.StatusOK}
		func() {
			defer func() { <-places }()
			handler.ServeHTTP(page, r)
		}()
		if err := connOf(r.Context()).reserve(r.Context(), page.body.Cap()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		maps.Copy(w.Header(), page.header)
		w.WriteHeader(page.status)
		_, _ = w.Write(page.body.Bytes()) // fails only when the client has disconnected
	})
}
