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

	prefix       []uint64
	disconnected bool
}

// Arrival is an attempt of a request that was sent to an Upstream.
type Arrival struct {
	At       time.Duration
	Upstream core.UpstreamID
}

// recordSent notes an attempt that was sent to an Upstream.
func (r *Request) recordSent(at time.Duration, up core.UpstreamID) {
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

// receiveTokens notes tokens that the caller has received.
func (r *Request) receiveTokens(at time.Duration, attempt core.AttemptID, from, to int) {
	if r.FirstToken == 0 {
		r.FirstToken = at
	}
	if from != r.Tokens {
		r.Broken = fmt.Sprintf("attempt %s sent tokens %d to %d after %d", attempt, from, to, r.Tokens)
	}
	r.Tokens = to
}

// generateKeys gives every account a key whose text the callers know.
func (w *World) generateKeys(doc *config.Document) {
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
	run := i.processEpoch
	w.after(w.opts.ToCaller, func() {
		if i.dead || i.processEpoch != run {
			r.finish(w.now)
			r.Lost = true
			return
		}
		i.deliver(router.RequestArrived{Request: w.routerRequest(i, r)})
	})
	return r
}

func (w *World) routerRequest(i *Instance, r *Request) router.Request {
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
	if from := opts.Resume; from != nil {
		request.Resume = w.resumePosition(from)
	}
	return request
}

// resumePosition returns the position that the caller's last event id names.
func (w *World) resumePosition(from *Request) *router.ResumePosition {
	for _, id := range w.upstreamIDs {
		for _, d := range w.engines[id].sortedAttempts() {
			if d.request == from.ID {
				return &router.ResumePosition{
					Account: from.Options.Account, Request: from.ID, Attempt: d.attempt, Upstream: id, Offset: from.Tokens,
				}
			}
		}
	}
	return &router.ResumePosition{Account: from.Options.Account, Request: from.ID, Offset: from.Tokens}
}

// blockHashes returns the hashes of the blocks of the prompt: the shared ones by
// topic, the rest unique.
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

// Leave closes the caller's connection.
func (w *World) Leave(r *Request) {
	if r.Done {
		return
	}
	r.disconnected = true
	r.finish(w.now)
	i := w.byID[r.Entry]
	run := i.processEpoch
	w.after(w.opts.ToCaller, func() {
		if i.processEpoch == run {
			i.deliver(router.CallerDisconnected{Request: r.ID})
		}
	})
}

func (r *Request) finish(now time.Duration) {
	r.Done = true
	r.DoneAt = now
}

func (w *World) finishRequest(id core.RequestID) *Request {
	r := w.Requests[id]
	if r == nil || r.disconnected {
		return nil
	}
	r.Answers++
	r.finish(w.now + w.opts.ToCaller)
	return r
}

func (w *World) deliverRefusal(e router.Refuse) {
	if r := w.finishRequest(e.Request); r != nil {
		r.Refusal = e.Refusal
	}
}

func (w *World) deliverReplay(e router.Replay) {
	if r := w.finishRequest(e.Request); r != nil {
		r.Replayed = true
	}
}

func (w *World) deliverCompletion(id core.RequestID) {
	if r := w.finishRequest(id); r != nil {
		r.Completed = true
	}
}

// countExecution counts the execution of a plain call for all requests with its key.
func (w *World) countExecution(request *Request) {
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

// loseConnections ends the requests of an Instance whose process has died.
func (w *World) loseConnections(i *Instance) {
	for _, r := range w.Sequence {
		if r.Entry == i.opts.ID && !r.Done {
			r.Lost = true
			r.finish(w.now)
		}
	}
}

// Addresses returns what an Instance answers to a caller of an account.
func (w *World) Addresses(id core.InstanceID, account core.AccountID) membership.Addresses {
	i := w.byID[id]
	credential, _ := keys.ParseKey(w.secrets[account])
	var found membership.Addresses
	for _, effect := range i.router.Step(i.localNow(), router.AddressesRequested{Credential: &credential}) {
		if answer, ok := effect.(router.Addresses); ok {
			found = answer.Addresses
		}
	}
	return found
}

func (w *World) onAddresses(router.Addresses) {}
