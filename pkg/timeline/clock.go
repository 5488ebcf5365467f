// Package timeline records events of all processes in one order. A hybrid logical
// clock stamps them so that a cause is always ordered before its effect, also
// when the wall clocks of the processes differ.
package timeline

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock.
type Stamp struct {
	// Wall is in Unix milliseconds. It is at least the wall clock of the node and
	// may run ahead of it when a node with a faster clock was heard.
	Wall    int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
	Node    string `json:"node"`
}

// Compare orders stamps by wall time, logical count and node.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Wall, t.Wall),
		cmp.Compare(s.Logical, t.Logical),
		strings.Compare(s.Node, t.Node),
	)
}

// Before reports whether s is ordered before t.
func (s Stamp) Before(t Stamp) bool { return s.Compare(t) < 0 }

// Time returns the wall time.
func (s Stamp) Time() time.Time { return time.UnixMilli(s.Wall).UTC() }

// String returns the stamp as time, logical count and node.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d@%s", s.Time().Format("2006-01-02T15:04:05.000Z"), s.Logical, s.Node)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	node string
	now  func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns the clock of a node; now reads the wall clock.
func NewClock(node string, now func() time.Time) *Clock {
	return &Clock{node: node, now: now, last: Stamp{Node: node}}
}

// Now returns a stamp later than every stamp that the clock has returned or
// observed.
func (c *Clock) Now() Stamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall)
	return c.last
}

// Observe notes the stamp on a received message, so that all later stamps of this
// node are after it. It returns the stamp of the receipt. A remote clock that runs
// ahead moves this one forward: the order of cause and effect goes before the
// closeness to the wall clock.
func (c *Clock) Observe(remote Stamp) Stamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > c.last.Wall || remote.Wall == c.last.Wall && remote.Logical > c.last.Logical {
		c.last.Wall, c.last.Logical = remote.Wall, remote.Logical
	}
	c.advance(wall)
	return c.last
}

// Skew returns by how much the clock runs ahead of the wall clock, which is the
// largest skew that was observed and not yet caught up with.
func (c *Clock) Skew() time.Duration {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(max(0, c.last.Wall-wall)) * time.Millisecond
}

func (c *Clock) advance(wall int64) {
	switch {
	case wall > c.last.Wall:
		c.last.Wall, c.last.Logical = wall, 0
	case c.last.Logical == math.MaxUint32:
		c.last.Wall, c.last.Logical = c.last.Wall+1, 0
	default:
		c.last.Logical++
	}
}
