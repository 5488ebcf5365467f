package harness3

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Store is the platform's store: the project's own stand-in behind a handler that can cut waiting watches.
type Store struct {
	Addr   string
	record *Record
	model  *hostplatform.Store
	server *http.Server

	mu      sync.Mutex
	waiting map[*http.Request]waitingWatch
	// afterWrite is called in the handler after each answer to a write, nil for nothing.
	delay time.Duration
}

type waitingWatch struct {
	kind string
	cut  chan struct{}
}

// StartStore starts an empty store. Each answer takes delay.
func StartStore(record *Record, delay time.Duration) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: listener.Addr().String(), record: record, model: hostplatform.NewStore(), waiting: map[*http.Request]waitingWatch{}, delay: delay}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }() // returns at Close
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	if r.Method != http.MethodGet || !r.URL.Query().Has("watch") {
		standin.Store{Model: s.model}.ServeHTTP(w, r)
		return
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, wire.PathObjects), "/")
	watch := waitingWatch{kind: kind, cut: make(chan struct{})}
	s.mu.Lock()
	s.waiting[r] = watch
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer := newAnswer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		standin.Store{Model: s.model}.ServeHTTP(answer, r.WithContext(ctx))
	}()
	select {
	case <-done:
	case <-watch.cut:
		cancel()
		<-done
		panic(http.ErrAbortHandler) // the channel ends without an answer
	}
	s.mu.Lock()
	delete(s.waiting, r)
	s.mu.Unlock()
	answer.writeTo(w)
}

// CutWatches ends the watches of a kind that are waiting, without an answer. It returns their number.
func (s *Store) CutWatches(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for r, watch := range s.waiting {
		if watch.kind == kind {
			close(watch.cut)
			delete(s.waiting, r)
			n++
		}
	}
	s.record.Add("store: cuts %d waiting watches of %s", n, kind)
	return n
}

// Put creates or replaces an object.
func (s *Store) Put(kind, name string, spec any) error {
	text, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	object := hostplatform.Object{Kind: kind, Name: name, Spec: text}
	ctx := context.Background()
	if _, err = s.model.Get(ctx, kind, name); err == nil {
		_, err = s.model.Replace(ctx, object, 0)
		return err
	}
	_, err = s.model.Create(ctx, object)
	return err
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) error {
	_, err := s.model.Delete(context.Background(), kind, name, 0)
	return err
}

// answer holds an answer until it is complete.
type answer struct {
	header http.Header
	status int
	body   []byte
}

func newAnswer() *answer { return &answer{header: http.Header{}, status: http.StatusOK} }

func (a *answer) Header() http.Header    { return a.header }
func (a *answer) WriteHeader(status int) { a.status = status }
func (a *answer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

func (a *answer) writeTo(w http.ResponseWriter) {
	for name, values := range a.header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body) // fails only when the caller has gone
}
