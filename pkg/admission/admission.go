// Package admission decides which connections of callers may hold how many bytes of the process, and
// which are refused or closed when bytes or descriptors are short. It is pure code: the caller passes
// the instant, closes connections and waits. It handles clients that send or read so slowly, or stop
// half-way, that what is held for them fills the memory of the machine.
package admission

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Class is the kind of listener of a connection. Each class has a limit of its own, so that clients of
// one listener can't take the descriptors of the others.
type Class int

// The classes of connections.
const (
	Callers Class = iota
	Directory
	Ready
	Metrics
	numClasses
)

// String returns the name of the class in log lines and metrics.
func (c Class) String() string {
	switch c {
	case Callers:
		return "callers"
	case Directory:
		return "directory"
	case Ready:
		return "ready"
	case Metrics:
		return "metrics"
	}
	return "unknown"
}

// Limits are the limits of a process.
type Limits struct {
	// Bytes bounds what is held for all connections together.
	Bytes int64
	// LargeBytes bounds what connections may use that hold more than SmallHold each. The rest is kept
	// for ordinary requests, also while all large ones are running and can't be closed.
	LargeBytes int64
	// Conns bounds the open connections of each class.
	Conns [numClasses]int
}

const (
	// ConnBytes is what an open connection costs: the goroutine and the buffers of net/http. Measured:
	// 21 KB for each of 3,400 open connections that had sent half a header section.
	ConnBytes = 20 << 10
	// FieldBytes is what a field of a header section costs beside its bytes: the entry of the map, a
	// slice and a name, and the same in the copy that is sent on.
	FieldBytes = 256
	// SmallHold is the size up to which a request counts as ordinary. Ordinary bodies have up to
	// 55,000 bytes.
	SmallHold = 128 << 10
)

// Figures of a machine that the settings do not state: those of the largest one in use.
const (
	DefaultMemoryBytes = 536 << 20
	DefaultDescriptors = 10_250
)

const (
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// smallestBudget is the smallest budget. Two bodies of the largest legal size fit into it.
	smallestBudget = 16 << 20
)

// LimitsFor returns the limits for a machine; 0 stands for the default. About a third of the memory is
// left to what is held for connections. The rest is the program itself (30 MB), garbage that is not
// collected yet, and answers of Upstreams that are read (18 MB). Four in ten descriptors are left to
// callers, as each may need one to an Upstream; the peers of 330 Instances take up to 660.
func LimitsFor(memoryBytes int64, descriptors int) Limits {
	if memoryBytes <= 0 {
		memoryBytes = DefaultMemoryBytes
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	bytes := max(smallestBudget, memoryBytes*32/100)
	callers := min((descriptors-reservedDescriptors)*4/10, int(bytes/2/ConnBytes))
	l := Limits{Bytes: bytes, LargeBytes: bytes * 6 / 10}
	l.Conns = [numClasses]int{Callers: callers, Directory: callers / 4, Ready: callers / 16, Metrics: callers / 32}
	for i := range l.Conns {
		l.Conns[i] = max(8, l.Conns[i])
	}
	return l
}

// Phase is what a connection is waited for.
type Phase int

// The phases of a connection.
const (
	// Receiving: the client sends a request, or has not sent one yet.
	Receiving Phase = iota
	// Running: the client waits for this process or an Upstream. The connection is never closed.
	Running
	// Sending: the client has not taken what is being written to it.
	Sending
	// Idle: the last request was answered.
	Idle
)

// idleWeight divides the time of an idle connection: callers keep connections for 12 s between
// requests, and a client that has completed none is closed before.
const idleWeight = 16

// ConnID identifies a connection.
type ConnID uint64

type conn struct {
	id    ConnID
	class Class
	index int // in Budget.conns
	phase Phase
	held  int64
	// debt is the sum of the bytes held times the time for which the client let the process wait,
	// since its last request was answered. since is the instant up to which it was added up.
	debt    float64
	since   core.Instant
	closing bool
}

// claim is the claim of a client to its connection in a shortage.
type claim struct {
	// hasAnswer is set while the client takes an answer, which may not be had again. Other clients lose only
	// a connection, or a request that has not run.
	hasAnswer bool
	debt      float64
}

// isWeakerThan reports whether a connection is closed before another one.
func (a claim) isWeakerThan(b claim) bool {
	if a.hasAnswer != b.hasAnswer {
		return b.hasAnswer
	}
	return a.debt > b.debt
}

func (c *conn) debtAt(now core.Instant) float64 {
	d := float64(c.held) * time.Duration(now-c.since).Seconds()
	switch c.phase {
	case Running:
		d = 0
	case Idle:
		d /= idleWeight
	}
	return c.debt + max(0, d)
}

// Budget is the state of all connections of a process. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	byID   map[ConnID]*conn
	conns  []*conn
	open   [numClasses]int // without those that are being closed
	used   int64
	// closing is what connections hold that are being closed.
	closing int64
	// large is what connections hold that hold more than SmallHold.
	large int64
	// sending is what connections in the phase Sending hold, without those that are being closed.
	sending struct {
		conns int
		bytes int64
	}
}

// NewBudget returns a Budget without connections.
func NewBudget(limits Limits) *Budget { return &Budget{limits: limits, byID: map[ConnID]*conn{}} }

// Used returns the bytes that are held, and the number of open connections.
func (b *Budget) Used() (bytes int64, conns int) { return b.used, len(b.conns) }

// Verdict is the answer to a question for bytes or a connection.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	// Wait: ask again when a connection of those that are being closed has ended.
	Wait
	Refused
)

// Decision is a verdict, and the connections to close for it.
type Decision struct {
	Verdict Verdict
	Close   []ConnID
}

// Open adds a connection. At the limit of its class, the one of the class with the weakest claim is closed
// for it. It is refused only if none has a weaker claim.
func (b *Budget) Open(now core.Instant, id ConnID, class Class) Decision {
	var d Decision
	var own claim // the debt of a new connection is 0
	if b.open[class] >= b.limits.Conns[class] {
		victim := b.weakest(now, own, func(c *conn) bool { return c.class == class })
		if victim == nil {
			return Decision{Verdict: Refused}
		}
		d.Close = append(d.Close, b.startClosing(victim))
	}
	if b.used-b.closing+ConnBytes > b.limits.Bytes {
		victim := b.weakest(now, own, func(*conn) bool { return true })
		if victim == nil {
			return Decision{Verdict: Refused, Close: d.Close}
		}
		d.Close = append(d.Close, b.startClosing(victim))
	}
	c := &conn{id: id, class: class, index: len(b.conns), since: now}
	b.byID[id] = c
	b.conns = append(b.conns, c)
	b.open[class]++
	b.add(c, ConnBytes)
	return d
}

// Reserve asks for n more bytes for a connection. When they are short, connections with a weaker claim
// are closed, the weakest first. If there are too few, the connection itself is refused.
func (b *Budget) Reserve(now core.Instant, id ConnID, n int64) Decision {
	c := b.byID[id]
	if c == nil || c.closing {
		return Decision{Verdict: Refused}
	}
	missing := b.missing(c, n)
	if missing <= 0 {
		b.settle(now, c)
		b.add(c, n)
		return Decision{Verdict: Granted}
	}
	isLarge := c.held+n > SmallHold
	var d Decision
	own := b.claimAt(now, c)
	for pending := b.closingFor(isLarge, n, c); pending < missing; {
		victim := b.weakest(now, own, func(other *conn) bool {
			return other != c && (!isLarge || other.held > SmallHold || b.missingBytes(n) > 0)
		})
		if victim == nil {
			d.Verdict = Refused
			return d
		}
		pending += victim.held
		d.Close = append(d.Close, b.startClosing(victim))
	}
	d.Verdict = Wait
	return d
}

// missing returns the bytes that must be released before a connection can have n more.
func (b *Budget) missing(c *conn, n int64) int64 {
	missing := b.missingBytes(n)
	if c.held+n > SmallHold {
		growth := n
		if c.held <= SmallHold {
			growth += c.held
		}
		missing = max(missing, b.large+growth-b.limits.LargeBytes)
	}
	return missing
}

func (b *Budget) missingBytes(n int64) int64 { return b.used + n - b.limits.Bytes }

// closingFor returns what is released soon by connections that are being closed.
func (b *Budget) closingFor(isLarge bool, n int64, c *conn) int64 {
	if !isLarge || b.missingBytes(n) > 0 {
		return b.closing
	}
	var sum int64
	for _, other := range b.conns {
		if other != c && other.closing && other.held > SmallHold {
			sum += other.held
		}
	}
	return sum
}

// answersCrowd reports whether clients that take their answers hold half of the connections or bytes. They
// then have no claim beyond that of others, so that clients that don't read can't keep new ones out.
func (b *Budget) answersCrowd() bool {
	return 2*b.sending.conns >= b.limits.Conns[Callers] || 2*b.sending.bytes >= b.limits.Bytes
}

func (b *Budget) claimAt(now core.Instant, c *conn) claim {
	return claim{hasAnswer: (c.phase == Running || c.phase == Sending) && !b.answersCrowd(), debt: c.debtAt(now)}
}

// weakest returns the connection with the weakest claim, nil if none is weaker than a claim. A connection
// in whose request an Upstream may be involved is never chosen.
func (b *Budget) weakest(now core.Instant, than claim, eligible func(*conn) bool) *conn {
	var found *conn
	for _, c := range b.conns {
		if c.closing || c.phase == Running || !eligible(c) {
			continue
		}
		if claim := b.claimAt(now, c); claim.isWeakerThan(than) {
			found, than = c, claim
		}
	}
	return found
}

func (b *Budget) startClosing(c *conn) ConnID {
	b.countSending(c, -1)
	c.closing = true
	b.closing += c.held
	b.open[c.class]--
	return c.id
}

// Release gives back what a connection holds beside ConnBytes, down to keep bytes.
func (b *Budget) Release(now core.Instant, id ConnID, keep int64) {
	if c := b.byID[id]; c != nil {
		b.settle(now, c)
		b.add(c, min(0, ConnBytes+keep-c.held))
	}
}

// Held returns what a connection holds beside ConnBytes.
func (b *Budget) Held(id ConnID) int64 {
	if c := b.byID[id]; c != nil {
		return c.held - ConnBytes
	}
	return 0
}

// SetPhase sets what a connection is waited for. The debt of a client whose request was answered ends.
func (b *Budget) SetPhase(now core.Instant, id ConnID, phase Phase) {
	c := b.byID[id]
	if c == nil || c.phase == phase {
		return
	}
	b.settle(now, c)
	if phase == Idle || c.phase == Idle {
		c.debt = 0
	}
	b.countSending(c, -1)
	c.phase = phase
	b.countSending(c, 1)
}

// countSending adds what a connection holds to sending, or takes it away.
func (b *Budget) countSending(c *conn, sign int) {
	if c.phase == Sending && !c.closing {
		b.sending.conns += sign
		b.sending.bytes += int64(sign) * c.held
	}
}

// Phase returns the phase of a connection.
func (b *Budget) Phase(id ConnID) Phase {
	if c := b.byID[id]; c != nil {
		return c.phase
	}
	return Idle
}

// Close removes a connection when nothing is held for it any more.
func (b *Budget) Close(id ConnID) {
	c := b.byID[id]
	if c == nil {
		return
	}
	b.add(c, -c.held)
	b.countSending(c, -1)
	if !c.closing {
		b.open[c.class]--
	}
	last := len(b.conns) - 1
	b.conns[c.index] = b.conns[last]
	b.conns[c.index].index = c.index
	b.conns[last] = nil
	b.conns = b.conns[:last]
	delete(b.byID, id)
}

func (b *Budget) settle(now core.Instant, c *conn) {
	c.debt, c.since = c.debtAt(now), now
}

func (b *Budget) add(c *conn, n int64) {
	if c.held > SmallHold {
		b.large -= c.held
	}
	b.countSending(c, -1)
	c.held += n
	b.countSending(c, 1)
	b.used += n
	if c.closing {
		b.closing += n
	}
	if c.held > SmallHold {
		b.large += c.held
	}
}
