// Package capacity measures the load of one Instance as the fleet grows: messages
// and bytes sent to peers, store calls and time spent in Router steps. It runs real
// Routers in virtual time, see package virtual. Bytes are counted in the gob encoding
// that package peer uses, without the framing of net/rpc and TCP.
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

// Options sets the sizes of a run.
type Options struct {
	Seed      uint64
	Instances int
	// PerInstance is the number of requests per second and Instance, 0 for an idle
	// fleet.
	PerInstance float64
	Accounts    int
	// Engines is the number of engines. 0 means 1,300 engines per 330 Instances.
	Engines int
	// Seconds is the measured virtual time, after a ramp-up with all Instances serving.
	Seconds int
	// LoadFanout is router.Params.LoadFanout.
	LoadFanout int
}

// The size of a request. At 20 ms per token, 40 tokens hold a slot for about one
// second, as long as 230 tokens do at the target of 3.2 M tokens/s. The Router
// is not stepped for each token.
const (
	promptTokens = 400
	outputTokens = 40
	// homeSetShare is the share of the requests that callers send to their home set.
	homeSetShare = 0.9
	// sampleStride selects every n-th Instance for the measurement.
	sampleStride       = 10
	enginesPerInstance = 1300.0 / 330
)

// Rate is the mean rate of one kind of message, store call or step, with its bytes
// and processing time.
type Rate struct {
	Kind            string
	PerSecond       float64 // per second and Instance
	BytesPerSecond  float64 // per second and Instance
	MicrosPerSecond float64 // per second and Instance
}

// Result holds the measurements of a run.
type Result struct {
	Options Options
	Sent    []Rate
	Store   []Rate
	Steps   []Rate
	// Requests, Completed and Refused count requests. SlotRequests and SlotDenials
	// count slot reservations requested from and denied by peers.
	Requests, Completed, Refused int
	SlotRequests, SlotDenials    int
	// FirstToken holds the median and the 95th percentile of the time to first token.
	FirstToken [2]time.Duration
}

// totals accumulates counts by kind.
type totals map[string]*Rate

func (t totals) add(kind string, bytes int, elapsed time.Duration) {
	c := t[kind]
	if c == nil {
		c = &Rate{Kind: kind}
		t[kind] = c
	}
	c.PerSecond++
	c.BytesPerSecond += float64(bytes)
	c.MicrosPerSecond += float64(elapsed) / float64(time.Microsecond)
}

// rates divides the totals by instanceSeconds and sorts them by kind.
func (t totals) rates(instanceSeconds float64) []Rate {
	var out []Rate
	for _, c := range t {
		out = append(out, Rate{c.Kind, c.PerSecond / instanceSeconds, c.BytesPerSecond / instanceSeconds, c.MicrosPerSecond / instanceSeconds})
	}
	slices.SortFunc(out, func(a, b Rate) int {
		if a.Kind < b.Kind {
			return -1
		}
		return 1
	})
	return out
}

// byteCounter is an io.Writer that counts and discards bytes.
type byteCounter struct{ n int }

func (c *byteCounter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// meter counts the effects and steps of the sampled Instances, and the slot
// reservations of all Instances.
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
	_ = m.encoder.Encode([]router.Message{{}}) // encode the type descriptions, which a connection sends once
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

func (m *meter) onStep(at core.InstanceRef, event router.Event, elapsed time.Duration) {
	if !m.recording || !m.sampled[at.ID] {
		return
	}
	kind := fmt.Sprintf("%T", event)
	if received, ok := event.(router.PeerMessageReceived); ok {
		kind += " " + messageKind(received.Message)
	}
	m.steps.add(kind, 0, elapsed)
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

// deploymentOptions returns the options of a fleet in two regions with five
// DataCentres, or three for fewer than 20 Instances.
func deploymentOptions(o Options) virtual.Options {
	dataCentres := []config.DataCentre{
		{Name: "north-a", Region: "north"}, {Name: "north-b", Region: "north"}, {Name: "north-c", Region: "north"},
		{Name: "south-a", Region: "south"}, {Name: "south-b", Region: "south"},
	}
	if o.Instances < 20 {
		dataCentres = []config.DataCentre{dataCentres[0], dataCentres[1], dataCentres[3]}
	}
	for i := range dataCentres {
		dataCentres[i].LinkMbps = 10_000_000
	}
	engines := float64(o.Engines)
	if engines == 0 {
		engines = float64(o.Instances) * enginesPerInstance
	}
	enginesPerDataCentre := engines / float64(len(dataCentres))
	demand := o.PerInstance * float64(o.Instances) * (promptTokens + outputTokens) / float64(o.Accounts)
	rate := int64(max(100, demand/0.7))
	var accounts []config.ClientAccount
	for n := range o.Accounts {
		accounts = append(accounts, virtual.Account(core.AccountID(fmt.Sprintf("account-%05d", n)), 1, rate, max(10*rate, 20_000)))
	}
	opts := virtual.Deployment(o.Seed, virtual.Sizes{
		DataCentres:          dataCentres,
		Instances:            o.Instances,
		PrefillPerDataCentre: int(enginesPerDataCentre/3 + 0.5),
		DecodePerDataCentre:  int(enginesPerDataCentre*2/3 + 0.5),
		Accounts:             accounts,
		Policy:               config.PolicyGoodput,
	})
	opts.Adjust = func(p *router.Params) { p.LoadFanout = o.LoadFanout }
	return opts
}

// Measure runs a fleet and measures its Instances. It fails if they do not start
// serving.
func Measure(o Options) (Result, error) {
	m := newMeter()
	opts := deploymentOptions(o)
	opts.OnEffect, opts.OnStep = m.onEffect, m.onStep
	w := virtual.New(opts)
	for n, i := range w.Instances() {
		if n%sampleStride == 0 || o.Instances < 20 {
			m.sampled[i.View().Instance.ID] = true
		}
	}
	if err := waitUntilServing(w); err != nil {
		return Result{}, err
	}
	homeSets := homeAddresses(w, o)
	random := rand.New(rand.NewPCG(o.Seed, 11))
	const rampUp = 5 * time.Second
	begin := w.Now()
	m.sendRequests(w, o, homeSets, random, begin+rampUp)
	first := len(w.Sequence)
	m.recording = true
	m.sendRequests(w, o, homeSets, random, begin+rampUp+time.Duration(o.Seconds)*time.Second)
	m.recording = false
	last := len(w.Sequence)
	w.RunUntil(w.Now() + 4*time.Second)

	instanceSeconds := float64(len(m.sampled) * o.Seconds)
	r := Result{
		Options: o, Sent: m.sent.rates(instanceSeconds), Store: m.store.rates(instanceSeconds), Steps: m.steps.rates(instanceSeconds),
		SlotRequests: m.slotRequests, SlotDenials: m.denied,
	}
	r.countOutcomes(w.Sequence[first:last])
	return r, nil
}

// waitUntilServing runs the simulation until every Instance serves and the token
// buckets are full.
func waitUntilServing(w *virtual.Simulation) error {
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
	return fmt.Errorf("not all %d instances were serving after 3 minutes", len(w.Instances()))
}

// homeAddresses returns the caller addresses for each account, home set first.
func homeAddresses(w *virtual.Simulation, o Options) [][]string {
	homeSets := make([][]string, o.Accounts)
	for n := range homeSets {
		at := w.Instances()[n%o.Instances].View().Instance.ID
		homeSets[n] = w.Addresses(at, core.AccountID(fmt.Sprintf("account-%05d", n))).CallerAddrs
	}
	return homeSets
}

// sendRequests sends requests at a steady rate until the virtual time end.
func (m *meter) sendRequests(w *virtual.Simulation, o Options, homeSets [][]string, random *rand.Rand, end time.Duration) {
	if o.PerInstance == 0 {
		w.RunUntil(end)
		return
	}
	interval := time.Duration(float64(time.Second) / (o.PerInstance * float64(o.Instances)))
	for at := w.Now(); at < end; at += interval {
		w.RunUntil(at)
		account := random.IntN(o.Accounts)
		to := w.Instances()[random.IntN(o.Instances)].View().Instance.ID
		if random.Float64() < homeSetShare && len(homeSets[account]) > 0 {
			to = core.InstanceID(homeSets[account][random.IntN(min(3, len(homeSets[account])))])
		}
		w.Send(to, virtual.RequestOptions{
			Account: core.AccountID(fmt.Sprintf("account-%05d", account)), Model: virtual.Model,
			PromptTokens: promptTokens, OutputTokens: outputTokens,
		})
	}
	w.RunUntil(end)
}

func (r *Result) countOutcomes(requests []*virtual.Request) {
	var firstTokens []time.Duration
	for _, q := range requests {
		r.Requests++
		switch {
		case q.Completed:
			r.Completed++
			firstTokens = append(firstTokens, q.FirstToken-q.SentAt)
		case q.Refusal != nil:
			r.Refused++
		}
	}
	if len(firstTokens) > 0 {
		slices.Sort(firstTokens)
		r.FirstToken = [2]time.Duration{firstTokens[len(firstTokens)/2], firstTokens[len(firstTokens)*95/100]}
	}
}

// Print writes a result as a table. Bytes are bytes sent; on average an Instance
// receives as many.
func (r Result) Print(w io.Writer) error {
	o := r.Options
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "instances=%d requests/s=%.1f accounts=%d fanout=%d seed=%d seconds=%d\n",
		o.Instances, o.PerInstance, o.Accounts, o.LoadFanout, o.Seed, o.Seconds)
	_, _ = fmt.Fprintf(t, "completed=%d of %d refused=%d first token p50=%v p95=%v reservations at peers=%d denied=%d\n",
		r.Completed, r.Requests, r.Refused, r.FirstToken[0], r.FirstToken[1], r.SlotRequests, r.SlotDenials)
	for _, part := range []struct {
		name   string
		counts []Rate
	}{{"sent", r.Sent}, {"store", r.Store}, {"step", r.Steps}} {
		var sum Rate
		for _, c := range part.counts {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f/s\t%.0f B/s\t%.0f us/s\t\n", part.name, c.Kind, c.PerSecond, c.BytesPerSecond, c.MicrosPerSecond)
			sum.PerSecond += c.PerSecond
			sum.BytesPerSecond += c.BytesPerSecond
			sum.MicrosPerSecond += c.MicrosPerSecond
		}
		_, _ = fmt.Fprintf(t, "%s\ttotal\t%.2f/s\t%.0f B/s\t%.0f us/s\t\n", part.name, sum.PerSecond, sum.BytesPerSecond, sum.MicrosPerSecond)
	}
	return t.Flush()
}
