// Package timeline records events of several processes in one order. Their timestamps
// come from a hybrid logical clock, which orders a cause before its effect even when
// the wall clocks of the processes differ.
package timeline

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	// Wall is in Unix milliseconds. It is not behind the wall clock of the node, and is
	// ahead of it after a timestamp of a node with a faster clock was observed.
	Wall    int64  `json:"wall_ms"`
	Logical uint32 `json:"logical"`
	Node    string `json:"node"`
}

// Compare orders timestamps by wall time, logical counter and node.
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

// String formats the timestamp as wall time, logical counter and node.
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

// Now returns a timestamp after all those that the clock has returned or observed.
func (c *Clock) Now() Stamp {
	wall := c.now().UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall)
	return c.last
}

// Observe advances the clock past the timestamp of a received message, so that all
// later timestamps of this node are after it, and returns the timestamp of the receipt.
// A remote clock that is ahead moves this one forward: causal order has priority over
// accuracy.
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

// Skew returns how far the clock is ahead of the wall clock, as a result of remote
// timestamps that the wall clock has not reached yet.
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
