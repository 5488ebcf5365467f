package engine

import (
	"encoding/json"
	"io"
	"net/http"
)

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone does not read the answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r)
	var faults Faults
	if err == nil {
		err = json.Unmarshal(body, &faults)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	// A silent fault would reach this connection when a client used it again.
	w.Header().Set("Connection", "close")
	writeJSON(w, http.StatusOK, faults)
	// The answer is sent before a crash closes its connection.
	_ = http.NewResponseController(w).Flush()
	s.SetFaults(faults)
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}
