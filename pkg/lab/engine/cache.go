package engine

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// maxEvents limits the retained cache events.
const maxEvents = 4096

// prefixCache is an LRU cache of prompt blocks. Its events are delayed by lag and every
// gap-th one is lost.
type prefixCache struct {
	limit  int
	lag    time.Duration
	gap    int
	blocks []uint64 // least recently used first
	events []timedEvent
	seq    uint64
}

type timedEvent struct {
	upstream.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(opts Options) prefixCache {
	return prefixCache{limit: opts.CacheBlocks, lag: opts.EventLag, gap: opts.EventLossInterval}
}

// lookup returns the number of leading blocks that are cached.
func (c *prefixCache) lookup(hashes []uint64) int {
	for n, hash := range hashes {
		i := slices.Index(c.blocks, hash)
		if i < 0 {
			return n
		}
		c.blocks = append(slices.Delete(c.blocks, i, i+1), hash)
	}
	return len(hashes)
}

// insert adds the blocks. Of a prompt that is larger than the cache it keeps the first
// blocks, because a prefix can be reused only from its start.
func (c *prefixCache) insert(now time.Time, hashes []uint64) {
	if len(hashes) > c.limit {
		hashes = hashes[:c.limit]
	}
	for _, hash := range hashes {
		if slices.Contains(c.blocks, hash) {
			continue
		}
		if len(c.blocks) >= c.limit {
			c.publish(now, upstream.CacheEvent{Block: c.blocks[0], Evicted: true})
			c.blocks = slices.Delete(c.blocks, 0, 1)
		}
		c.blocks = append(c.blocks, hash)
		c.publish(now, upstream.CacheEvent{Block: hash})
	}
}

func (c *prefixCache) publish(now time.Time, e upstream.CacheEvent) {
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	e.Seq = c.seq
	if len(c.events) >= maxEvents {
		c.events = slices.Delete(c.events, 0, maxEvents/4)
	}
	c.events = append(c.events, timedEvent{CacheEvent: e, visibleAt: now.Add(c.lag)})
}

// eventsAfter returns the visible events with a sequence number above seq.
func (c *prefixCache) eventsAfter(now time.Time, seq uint64) []upstream.CacheEvent {
	list := make([]upstream.CacheEvent, 0)
	for _, e := range c.events {
		if e.Seq > seq && !e.visibleAt.After(now) {
			list = append(list, e.CacheEvent)
		}
	}
	return list
}
