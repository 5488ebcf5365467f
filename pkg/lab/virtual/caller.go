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

// RequestOptions describes a request that a caller sends.
type RequestOptions struct {
	Account      core.AccountID
	Model        core.ModelName
	Method, Path string // of a plain request
	PromptTokens int
	OutputTokens int
	// MaxOutput is the token limit in the request, OutputTokens if zero.
	MaxOutput int
	// Topic identifies the shared prefix of the prompt and Shared is its length in
	// tokens.
	Topic  string
	Shared int
	// IdempotencyKey and Body identify a plain request.
	IdempotencyKey string
	Body           string
	// Kills makes every engine crash that processes the request.
	Kills bool
	// Timeout is the time until the caller's deadline, 60 s if zero.
	Timeout time.Duration
	// Resume continues the response of an earlier request.
	Resume *Request
}

// Request is a request of a caller with its outcome.
type Request struct {
	ID      core.RequestID
	Options RequestOptions
	Entry   core.InstanceID
	SentAt  time.Duration

	// Done is set when the caller has a response or a refusal, has disconnected, or
	// has lost its connection.
	Done      bool
	DoneAt    time.Duration
	Refusal   *core.Refusal
	Completed bool
	Replayed  bool
	Lost      bool // the connection to the Instance broke
	// Answers counts complete responses and refusals. More than one is an error.
	Answers    int
	FirstToken time.Duration
	Tokens     int
	// Broken describes a violation of the token order or a wrong account, empty if
	// there is none.
	Broken string
	// Sent counts the prefill and plain attempts sent to an Upstream. Prefilled
	// counts the prompt tokens computed for the request.
	Sent      int
	Prefilled int
	// LastPrefill is the part of Prefilled that the latest prefill computed.
	LastPrefill int
	// Arrivals lists the attempts sent to an Upstream in the order of sending.
	Arrivals []Arrival
	// Killed lists the engines that the request has crashed.
	Killed []core.UpstreamID
	// Executed counts the executions of plain requests with the same idempotency key.
	Executed int

	prefix       []uint64
	disconnected bool
}

// Arrival is an attempt of a request that was sent to an Upstream.
type Arrival struct {
	At       time.Duration
	Upstream core.UpstreamID
}

func (r *Request) recordSent(at time.Duration, up core.UpstreamID) {
	r.Sent++
	r.Arrivals = append(r.Arrivals, Arrival{At: at, Upstream: up})
}

// checkAccount records a violation if an event of a request names another account
// than that of the request's key.
func (w *Simulation) checkAccount(e timeline.Event) {
	if r := w.Requests[e.Request]; r != nil && e.Account != "" && e.Account != r.Options.Account {
		r.Broken = fmt.Sprintf("%s.%s under account %q, its key is of %q", e.Component, e.Kind, e.Account, r.Options.Account)
	}
}

// receiveTokens records the tokens from..to that reach the caller, and a violation
// if they do not follow the tokens already received.
func (r *Request) receiveTokens(at time.Duration, attempt core.AttemptID, from, to int) {
	if r.FirstToken == 0 {
		r.FirstToken = at
	}
	if from != r.Tokens {
		r.Broken = fmt.Sprintf("attempt %s sent tokens %d to %d after %d", attempt, from, to, r.Tokens)
	}
	r.Tokens = to
}

// generateKeys gives every account an API key and keeps the secret text for the
// callers.
func (w *Simulation) generateKeys(doc *config.Document) {
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
func (w *Simulation) Send(to core.InstanceID, opts RequestOptions) *Request {
	if opts.MaxOutput == 0 {
		opts.MaxOutput = opts.OutputTokens
	}
	if opts.Timeout == 0 {
		opts.Timeout = time.Minute
	}
	w.lastRequestID++
	r := &Request{
		ID:      core.RequestID(fmt.Sprintf("r%d", w.lastRequestID)),
		Options: opts,
		Entry:   to,
		SentAt:  w.now,
		prefix:  blockHashes(opts, w.lastRequestID),
	}
	if opts.Resume != nil {
		r.Tokens = opts.Resume.Tokens
	}
	w.Requests[r.ID] = r
	w.Sequence = append(w.Sequence, r)
	i := w.byID[to]
	epoch := i.processEpoch
	w.after(w.opts.ToCaller, func() {
		if i.dead || i.processEpoch != epoch {
			r.finish(w.now)
			r.Lost = true
			return
		}
		i.deliver(router.RequestArrived{Request: w.routerRequest(i, r)})
	})
	return r
}

func (w *Simulation) routerRequest(i *Instance, r *Request) router.Request {
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
		Deadline:        i.localNow().Add(opts.Timeout),
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
	if earlier := opts.Resume; earlier != nil {
		request.Resume = w.resumePosition(earlier)
	}
	return request
}

// resumePosition returns the position in the caller's last event id.
func (w *Simulation) resumePosition(earlier *Request) *router.ResumePosition {
	for _, id := range w.upstreamIDs {
		for _, d := range w.engines[id].sortedAttempts() {
			if d.request == earlier.ID {
				return &router.ResumePosition{
					Account: earlier.Options.Account, Request: earlier.ID, Attempt: d.attempt, Upstream: id, Offset: earlier.Tokens,
				}
			}
		}
	}
	return &router.ResumePosition{Account: earlier.Options.Account, Request: earlier.ID, Offset: earlier.Tokens}
}

// blockHashes returns the hashes of the blocks of the prompt. Blocks of the shared
// prefix depend on the topic only; the others are unique to the request.
func blockHashes(opts RequestOptions, unique int) []uint64 {
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

// Disconnect disconnects the caller of a request.
func (w *Simulation) Disconnect(r *Request) {
	if r.Done {
		return
	}
	r.disconnected = true
	r.finish(w.now)
	i := w.byID[r.Entry]
	epoch := i.processEpoch
	w.after(w.opts.ToCaller, func() {
		if i.processEpoch == epoch {
			i.deliver(router.CallerDisconnected{Request: r.ID})
		}
	})
}

func (r *Request) finish(now time.Duration) {
	r.Done = true
	r.DoneAt = now
}

// finishRequest counts a response to a request and returns the request, or nil if
// the caller has disconnected.
func (w *Simulation) finishRequest(id core.RequestID) *Request {
	r := w.Requests[id]
	if r == nil || r.disconnected {
		return nil
	}
	r.Answers++
	r.finish(w.now + w.opts.ToCaller)
	return r
}

func (w *Simulation) deliverRefusal(e router.Refuse) {
	if r := w.finishRequest(e.Request); r != nil {
		r.Refusal = e.Refusal
	}
}

func (w *Simulation) deliverReplay(e router.Replay) {
	if r := w.finishRequest(e.Request); r != nil {
		r.Replayed = true
	}
}

func (w *Simulation) deliverCompletion(id core.RequestID) {
	if r := w.finishRequest(id); r != nil {
		r.Completed = true
	}
}

// countExecution counts the execution of a plain request for all requests of the
// account with its idempotency key.
func (w *Simulation) countExecution(request *Request) {
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

// loseConnections ends the open requests of an Instance whose process has stopped.
func (w *Simulation) loseConnections(i *Instance) {
	for _, r := range w.Sequence {
		if r.Entry == i.opts.ID && !r.Done {
			r.Lost = true
			r.finish(w.now)
		}
	}
}

// Addresses returns the response of an Instance to an address query of an account.
func (w *Simulation) Addresses(id core.InstanceID, account core.AccountID) membership.Addresses {
	i := w.byID[id]
	credential, _ := keys.ParseKey(w.secrets[account])
	var addresses membership.Addresses
	for _, effect := range i.router.Step(i.localNow(), router.AddressesRequested{Credential: &credential}) {
		if response, ok := effect.(router.Addresses); ok {
			addresses = response.Addresses
		}
	}
	return addresses
}

// onAddresses does nothing: Addresses reads the effects of its queries itself.
func (w *Simulation) onAddresses(router.Addresses) {}
