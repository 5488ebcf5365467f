// Package capacity measures what one Instance costs as the fleet grows: messages
// and bytes to its peers, calls of the store and time in the Router's steps. It
// runs real Routers in virtual time, see package virtual. The bytes are those of
// the gob encoding that package peer uses, without the frames of net/rpc and TCP.
package capacity

import (
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Options are the sizes of a run.
type Options struct {
	Seed      uint64
	Instances int
	// PerInstance is the number of requests per second of each Instance, 0 for an
	// idle fleet.
	PerInstance float64
	Accounts    int
	// Engines is the number of engines, 0 for 1,300 in proportion to 330 Instances.
	Engines int
	// Seconds is the virtual time measured, after the fleet has settled.
	Seconds int
	// LoadFanout is router.Params.LoadFanout.
	LoadFanout int
}

// The shape of a request. At 20 ms a token 40 tokens hold a slot for about a
// second, as long as 230 tokens do at the target's 3.2 M tokens/s; the Router is
// not stepped for each token.
const (
	promptTokens = 400
	outputTokens = 40
	// homeSetShare is the share of the requests at the Instances of the address answer.
	homeSetShare = 0.9
	// sampleStride chooses the Instances whose messages are encoded.
	sampleStride = 10
	// enginesPerInstance is 1,300 engines for 330 Instances.
	enginesPerInstance = 1300.0 / 330
)

// Count is a number of messages, calls or steps with their bytes and time.
type Count struct {
	Kind    string
	PerNode float64 // per second
	Bytes   float64 // per second and Instance
	Micros  float64 // per second and Instance
}

// Result is what a run has measured.
type Result struct {
	Options Options
	Sent    []Count
	Store   []Count
	Steps   []Count
	// Requests, Completed and Refused count requests; Asked and Denied count slot
	// reservations at a holder.
	Requests, Completed, Refused int
	Asked, Denied                int
	// FirstToken holds the median and the 95th percentile.
	FirstToken [2]time.Duration
}

type totals map[string]*Count

func (t totals) add(kind string, bytes int, took time.Duration) {
	c := t[kind]
	if c == nil {
		c = &Count{Kind: kind}
		t[kind] = c
	}
	c.PerNode++
	c.Bytes += float64(bytes)
	c.Micros += float64(took) / float64(time.Microsecond)
}

func (t totals) rates(nodeSeconds float64) []Count {
	var out []Count
	for _, c := range t {
		out = append(out, Count{c.Kind, c.PerNode / nodeSeconds, c.Bytes / nodeSeconds, c.Micros / nodeSeconds})
	}
	slices.SortFunc(out, func(a, b Count) int {
		if a.Kind < b.Kind {
			return -1
		}
		return 1
	})
	return out
}

// byteCounter is a Writer that counts.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// meter observes a World.
type meter struct {
	recording    bool
	sampled      map[core.InstanceID]bool
	encoded      byteCounter
	encoder      *gob.Encoder
	sent         totals
	store        totals
	steps        totals
	slotRequests int
	denied       int
}

func newMeter() *meter {
	m := &meter{sampled: map[core.InstanceID]bool{}, sent: totals{}, store: totals{}, steps: totals{}}
	m.encoder = gob.NewEncoder(&m.encoded)
	_ = m.encoder.Encode([]router.Message{{}}) // sends the types, as the first message of a connection does
	return m
}

func (m *meter) onEffect(from core.InstanceRef, effect router.Effect) {
	if !m.recording {
		return
	}
	if record, ok := effect.(router.Record); ok && record.Event.Kind == "slot_asked" {
		m.slotRequests++
		if strings.HasSuffix(record.Event.Detail, "granted=false") {
			m.denied++
		}
	}
	if !m.sampled[from.ID] {
		return
	}
	switch e := effect.(type) {
	case router.SendPeerMessage:
		before := m.encoded.n
		if err := m.encoder.Encode([]router.Message{e.Message}); err != nil {
			panic(err) // package peer encodes the same type
		}
		m.sent.add(messageKind(e.Message), m.encoded.n-before, 0)
	case router.StoreGet:
		m.store.add("read "+string(e.Op.Kind), 0, 0)
	case router.StorePut:
		m.store.add("write "+string(e.Op.Kind), len(e.Value), 0)
	case router.ListInstances:
		m.store.add("read list", 0, 0)
	}
}

func (m *meter) onStep(at core.InstanceRef, event router.Event, took time.Duration) {
	if !m.recording || !m.sampled[at.ID] {
		return
	}
	kind := fmt.Sprintf("%T", event)
	if received, ok := event.(router.PeerMessageReceived); ok {
		kind += " " + messageKind(received.Message)
	}
	m.steps.add(kind, 0, took)
}

func messageKind(m router.Message) string {
	switch {
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.LoanRequest != nil, m.LoanReply != nil:
		return "loan"
	case m.Reserve != nil, m.ReserveReply != nil, m.Release != nil:
		return "slot"
	case m.Suspect != nil:
		return "suspect"
	case m.Load != nil:
		return "load"
	}
	return "ask owner"
}

// deploymentOptions returns a fleet of two regions and five DataCentres.
func deploymentOptions(o Options) virtual.Options {
	sites := []config.DataCentre{
		{Name: "north-a", Region: "north"}, {Name: "north-b", Region: "north"}, {Name: "north-c", Region: "north"},
		{Name: "south-a", Region: "south"}, {Name: "south-b", Region: "south"},
	}
	if o.Instances < 20 {
		sites = []config.DataCentre{sites[0], sites[1], sites[3]}
	}
	for i := range sites {
		sites[i].LinkMbps = 10_000_000
	}
	engines := float64(o.Engines)
	if engines == 0 {
		engines = float64(o.Instances) * enginesPerInstance
	}
	each := engines / float64(len(sites))
	demand := o.PerInstance * float64(o.Instances) * (promptTokens + outputTokens) / float64(o.Accounts)
	rate := int64(max(100, demand/0.7))
	var accounts []config.ClientAccount
	for n := range o.Accounts {
		accounts = append(accounts, virtual.Account(core.AccountID(fmt.Sprintf("account-%05d", n)), 1, rate, max(10*rate, 20_000)))
	}
	opts := virtual.Deployment(o.Seed, virtual.Sizes{
		DataCentres: sites,
		Instances:   o.Instances,
		PrefillEach: int(each/3 + 0.5),
		DecodeEach:  int(each*2/3 + 0.5),
		Accounts:    accounts,
		Policy:      config.PolicyGoodput,
	})
	opts.Adjust = func(p *router.Params) { p.LoadFanout = o.LoadFanout }
	return opts
}

// Measure runs a fleet and counts what its Instances send, ask and compute.
func Measure(o Options) (Result, error) {
	m := newMeter()
	opts := deploymentOptions(o)
	opts.Effect, opts.Stepped = m.onEffect, m.onStep
	w := virtual.New(opts)
	for n, i := range w.Instances() {
		if n%sampleStride == 0 || o.Instances < 20 {
			m.sampled[i.View().Instance.ID] = true
		}
	}
	if err := waitUntilServing(w); err != nil {
		return Result{}, err
	}
	homes := homeAddresses(w, o)
	random := rand.New(rand.NewPCG(o.Seed, 11))
	const leadIn = 5 * time.Second
	begin := w.Now()
	m.sendRequests(w, o, homes, random, begin+leadIn)
	first := len(w.Sequence)
	m.recording = true
	m.sendRequests(w, o, homes, random, begin+leadIn+time.Duration(o.Seconds)*time.Second)
	m.recording = false
	last := len(w.Sequence)
	w.RunUntil(w.Now() + 4*time.Second)

	nodeSeconds := float64(len(m.sampled) * o.Seconds)
	r := Result{
		Options: o, Sent: m.sent.rates(nodeSeconds), Store: m.store.rates(nodeSeconds), Steps: m.steps.rates(nodeSeconds),
		Asked: m.slotRequests, Denied: m.denied,
	}
	r.countOutcomes(w.Sequence[first:last])
	return r, nil
}

// waitUntilServing runs the World until every Instance serves with full token buckets.
func waitUntilServing(w *virtual.World) error {
	for w.Now() < 3*time.Minute {
		w.RunUntil(w.Now() + time.Second)
		ready := true
		for _, i := range w.Instances() {
			view := i.View()
			ready = ready && view.Version > 0 && view.RosterSettled && len(view.Members) == len(w.Instances())
		}
		if ready {
			w.RunUntil(w.Now() + 10*time.Second)
			return nil
		}
	}
	return fmt.Errorf("the fleet of %d instances did not settle in 3 minutes", len(w.Instances()))
}

func homeAddresses(w *virtual.World, o Options) [][]string {
	homes := make([][]string, o.Accounts)
	for n := range homes {
		at := w.Instances()[n%o.Instances].View().Instance.ID
		homes[n] = w.Addresses(at, core.AccountID(fmt.Sprintf("account-%05d", n))).CallerAddrs
	}
	return homes
}

// sendRequests sends requests at a steady rate until the virtual time end.
func (m *meter) sendRequests(w *virtual.World, o Options, homes [][]string, random *rand.Rand, end time.Duration) {
	if o.PerInstance == 0 {
		w.RunUntil(end)
		return
	}
	gap := time.Duration(float64(time.Second) / (o.PerInstance * float64(o.Instances)))
	for at := w.Now(); at < end; at += gap {
		w.RunUntil(at)
		account := random.IntN(o.Accounts)
		to := w.Instances()[random.IntN(o.Instances)].View().Instance.ID
		if random.Float64() < homeSetShare && len(homes[account]) > 0 {
			to = core.InstanceID(homes[account][random.IntN(min(3, len(homes[account])))])
		}
		w.Send(to, virtual.RequestOptions{
			Account: core.AccountID(fmt.Sprintf("account-%05d", account)), Model: virtual.Model,
			PromptTokens: promptTokens, OutputTokens: outputTokens,
		})
	}
	w.RunUntil(end)
}

func (r *Result) countOutcomes(requests []*virtual.Request) {
	var waits []time.Duration
	for _, q := range requests {
		r.Requests++
		switch {
		case q.Completed:
			r.Completed++
			waits = append(waits, q.FirstToken-q.SentAt)
		case q.Refusal != nil:
			r.Refused++
		}
	}
	if len(waits) > 0 {
		slices.Sort(waits)
		r.FirstToken = [2]time.Duration{waits[len(waits)/2], waits[len(waits)*95/100]}
	}
}

// Print writes a result as a table. The bytes are those sent; an Instance receives
// as many on the mean.
func (r Result) Print(to io.Writer) error {
	o := r.Options
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "instances=%d requests/s=%.1f accounts=%d fanout=%d seed=%d seconds=%d\n",
		o.Instances, o.PerInstance, o.Accounts, o.LoadFanout, o.Seed, o.Seconds)
	_, _ = fmt.Fprintf(t, "completed=%d of %d refused=%d first token p50=%v p95=%v reservations at peers=%d denied=%d\n",
		r.Completed, r.Requests, r.Refused, r.FirstToken[0], r.FirstToken[1], r.Asked, r.Denied)
	for _, part := range []struct {
		name   string
		counts []Count
	}{{"sent", r.Sent}, {"store", r.Store}, {"step", r.Steps}} {
		var sum Count
		for _, c := range part.counts {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f/s\t%.0f B/s\t%.0f us/s\t\n", part.name, c.Kind, c.PerNode, c.Bytes, c.Micros)
			sum.PerNode += c.PerNode
			sum.Bytes += c.Bytes
			sum.Micros += c.Micros
		}
		_, _ = fmt.Fprintf(t, "%s\ttotal\t%.2f/s\t%.0f B/s\t%.0f us/s\t\n", part.name, sum.PerNode, sum.Bytes, sum.Micros)
	}
	return t.Flush()
}
