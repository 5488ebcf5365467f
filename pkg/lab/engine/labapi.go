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
	// An error means that the caller has disconnected.
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
	s.setFaults(r.Context(), faults)
	writeJSON(w, http.StatusOK, faults)
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Executions())
}
