package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// plainEngine is a sound replica of the plain service that records what it runs.
type plainEngine struct {
	id          string
	serviceTime time.Duration

	mu   sync.Mutex
	runs map[string]int // by request id
}

const plainSlots = 64

// addPlainEngine starts a replica and registers it in the store.
func (f *fleet) addPlainEngine(id string, serviceTime time.Duration) (*plainEngine, error) {
	e := &plainEngine{id: id, serviceTime: serviceTime, runs: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return e, f.register(id, listener.Addr().String())
}

// register writes the entry of a replica of the plain service.
func (f *fleet) register(id, addr string) error {
	return f.platform.PutRaw(id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		standin.PlainService, addr, plainSlots, time.Now().UnixMilli()))
}

// ServeHTTP runs a request unless it is meant for another replica.
func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, e.id)
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(wire.HeaderRequestID)
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	time.Sleep(e.serviceTime)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderSignature, e.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s %s", e.id, strings.ToUpper(string(body))) // fails only when the instance has gone
}

// ran returns how often a request ran at a list of replicas.
func ran(engines []*plainEngine, id string) int {
	total := 0
	for _, e := range engines {
		e.mu.Lock()
		total += e.runs[id]
		e.mu.Unlock()
	}
	return total
}
