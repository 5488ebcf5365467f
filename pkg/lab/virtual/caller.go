package virtual

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// RequestOptions describe a request of a caller.
type RequestOptions struct {
	Account      core.AccountID
	Model        core.ModelName
	Method, Path string // of a plain call
	PromptTokens int
	OutputTokens int
	// MaxOutput is what the caller asks for, OutputTokens by default.
	MaxOutput int
	// Topic names the shared part of the prompt, and Shared its tokens.
	Topic  string
	Shared int
	// IdempotencyKey and Body identify a plain call.
	IdempotencyKey string
	Body           string
	// Kills makes every engine crash that works on the request.
	Kills bool
	// Timeout is the caller's deadline, 60 s by default.
	Timeout time.Duration
	// Resume continues the answer of an earlier request.
	Resume *Request
}

// Request is a request of a caller and what became of it.
type Request struct {
	ID      core.RequestID
	Options RequestOptions
	Entry   core.InstanceID
	SentAt  time.Duration

	// Done is set when the caller has an answer or a refusal, or its connection
	// was lost.
	Done      bool
	DoneAt    time.Duration
	Refusal   *core.Refusal
	Completed bool
	Replayed  bool
	Lost      bool // the connection to the Instance broke
	// Answers counts whole answers and refusals. More than one is an error.
	Answers    int
	FirstToken time.Duration
	Tokens     int
	// Broken says what was wrong with the order of the tokens, "" for nothing.
	Broken string
	// Sent counts the attempts that reached an Upstream, Prefilled the prompt
	// tokens computed for it, Killed the engines that it crashed.
	Sent      int
	Prefilled int
	// LastPrefill is the part of Prefilled that the latest attempt computed.
	LastPrefill int
	// Arrivals are the attempts that reached an Upstream, the first ones first.
	Arrivals []Arrival
	Killed   []core.UpstreamID
	// Executed counts the executions of a plain call with the same key.
	Executed int

	prefix []uint64
	gone   bool
}

// Arrival is an attempt of a request that was sent to an Upstream.
type Arrival struct {
	At       time.Duration
	Upstream core.UpstreamID
}

// reached notes an attempt that was sent to an Upstream.
func (r *Request) reached(at time.Duration, up core.UpstreamID) {
	r.Sent++
	r.Arrivals = append(r.Arrivals, Arrival{At: at, Upstream: up})
}

// checkAccount notes a request that a Router handles under another account than
// that of its key.
func (w *World) checkAccount(e timeline.Event) {
	if r := w.Requests[e.Request]; r != nil && e.Account != "" && e.Account != r.Options.Account {
		r.Broken = fmt.Sprintf("%s.%s under account %q, its key is of %q", e.Component, e.Kind, e.Account, r.Options.Account)
	}
}

// got notes tokens that the caller has received.
func (r *Request) got(at time.Duration, attempt core.AttemptID, from, to int) {
	if r.FirstToken == 0 {
		r.FirstToken = at
	}
	if from != r.Tokens {
		r.Broken = fmt.Sprintf("attempt %s sent tokens %d to %d after %d", attempt, from, to, r.Tokens)
	}
	r.Tokens = to
}

// makeKeys gives every account a key whose text the callers know.
func (w *World) makeKeys(doc *config.Document) {
	random := randomReader{rand.New(rand.NewPCG(w.opts.Seed, 99))}
	for n := range doc.Accounts {
		account := &doc.Accounts[n]
		text, entry, err := keys.Generate(random, account.ID, "k1")
		if err != nil {
			panic(err) // account names of tests are valid
		}
		account.Keys = []config.Key{entry}
		w.secrets[account.ID] = text
	}
}

// Send sends a request to an Instance.
func (w *World) Send(to core.InstanceID, opts RequestOptions) *Request {
	if opts.MaxOutput == 0 {
		opts.MaxOutput = opts.OutputTokens
	}
	if opts.Timeout == 0 {
		opts.Timeout = time.Minute
	}
	w.nextID++
	r := &Request{
		ID:      core.RequestID(fmt.Sprintf("r%d", w.nextID)),
		Options: opts,
		Entry:   to,
		SentAt:  w.now,
		prefix:  prefixOf(opts, w.nextID),
	}
	if opts.Resume != nil {
		r.Tokens = opts.Resume.Tokens
	}
	w.Requests[r.ID] = r
	w.Sequence = append(w.Sequence, r)
	i := w.byID[to]
	run := i.run
	w.after(w.opts.ToCaller, func() {
		if i.dead || i.run != run {
			r.end(w.now)
			r.Lost = true
			return
		}
		i.deliver(router.RequestArrived{Request: w.arrival(i, r)})
	})
	return r
}

func (w *World) arrival(i *Instance, r *Request) router.Request {
	opts := r.Options
	request := router.Request{
		ID:              r.ID,
		Model:           opts.Model,
		Method:          opts.Method,
		Path:            opts.Path,
		PromptTokens:    opts.PromptTokens,
		MaxOutputTokens: opts.MaxOutput,
		Prefix:          r.prefix,
		IdempotencyKey:  opts.IdempotencyKey,
		Deadline:        i.local().Add(opts.Timeout),
		WallTime:        time.Unix(1_800_000_000, 0).Add(w.now),
	}
	if text := w.secrets[opts.Account]; text != "" {
		credential, refusal := keys.ParseKey(text)
		if refusal != nil {
			panic(refusal)
		}
		request.Credential = &credential
	}
	body := xxhash.Sum64String(strings.Join([]string{string(opts.Account), string(opts.Model), opts.Topic, opts.Body}, "\x00"))
	binary.BigEndian.PutUint64(request.BodyDigest[:], body)
	binary.BigEndian.PutUint64(request.Fingerprint[:], body)
	if !opts.Kills && opts.Body == "" {
		binary.BigEndian.PutUint64(request.Fingerprint[8:], uint64(len(w.Sequence)))
	}
	if from := opts.Resume; from != nil {
		request.Resume = w.resumeOf(from)
	}
	return request
}

// resumeOf returns the position that the caller's last event id names.
func (w *World) resumeOf(from *Request) *router.ResumePosition {
	for _, id := range w.order {
		for _, d := range w.engines[id].sorted() {
			if d.request == from.ID {
				return &router.ResumePosition{
					Account: from.Options.Account, Request: from.ID, Attempt: d.attempt, Upstream: id, Offset: from.Tokens,
				}
			}
		}
	}
	return &router.ResumePosition{Account: from.Options.Account, Request: from.ID, Offset: from.Tokens}
}

// prefixOf returns the hashes of the blocks of the prompt: the shared ones by
// topic, the rest unique.
func prefixOf(opts RequestOptions, unique int) []uint64 {
	var prefix []uint64
	hash := xxhash.New()
	for block := range opts.PromptTokens / core.BlockTokens {
		if (block+1)*core.BlockTokens <= opts.Shared {
			_, _ = fmt.Fprintf(hash, "%s/%d", opts.Topic, block)
		} else {
			_, _ = fmt.Fprintf(hash, "unique/%d/%d", unique, block)
		}
		prefix = append(prefix, hash.Sum64())
	}
	return prefix
}

// Leave closes the caller's connection.
func (w *World) Leave(r *Request) {
	if r.Done {
		return
	}
	r.gone = true
	r.end(w.now)
	i := w.byID[r.Entry]
	run := i.run
	w.after(w.opts.ToCaller, func() {
		if i.run == run {
			i.deliver(router.CallerDisconnected{Request: r.ID})
		}
	})
}

func (r *Request) end(now time.Duration) {
	r.Done = true
	r.DoneAt = now
}

func (w *World) answered(id core.RequestID) *Request {
	r := w.Requests[id]
	if r == nil || r.gone {
		return nil
	}
	r.Answers++
	r.end(w.now + w.opts.ToCaller)
	return r
}

func (w *World) refused(e router.Refuse) {
	if r := w.answered(e.Request); r != nil {
		r.Refusal = e.Refusal
	}
}

func (w *World) replayed(e router.Replay) {
	if r := w.answered(e.Request); r != nil {
		r.Replayed = true
	}
}

func (w *World) completed(id core.RequestID) {
	if r := w.answered(id); r != nil {
		r.Completed = true
	}
}

// executed counts the execution of a plain call for all requests with its key.
func (w *World) executed(request *Request) {
	if request.Options.IdempotencyKey == "" {
		request.Executed++
		return
	}
	for _, r := range w.Sequence {
		if r.Options.IdempotencyKey == request.Options.IdempotencyKey && r.Options.Account == request.Options.Account {
			r.Executed++
		}
	}
}

// lostConnections ends the requests of an Instance whose process has died.
func (w *World) lostConnections(i *Instance) {
	for _, r := range w.Sequence {
		if r.Entry == i.opts.ID && !r.Done {
			r.Lost = true
			r.end(w.now)
		}
	}
}

// Addresses returns what an Instance answers to a caller of an account.
func (w *World) Addresses(id core.InstanceID, account core.AccountID) membership.Addresses {
	i := w.byID[id]
	credential, _ := keys.ParseKey(w.secrets[account])
	var found membership.Addresses
	for _, effect := range i.router.Step(i.local(), router.AddressesRequested{Credential: &credential}) {
		if answer, ok := effect.(router.Addresses); ok {
			found = answer.Addresses
		}
	}
	return found
}

func (w *World) addressesAnswered(router.Addresses) {}
