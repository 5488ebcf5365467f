package router

import (
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// observeEra processes the revision of a state that was read from the store or reported by a peer, if
// there is one. In a new era the store may have lost what this Instance has read or written before: also the entries of
// live Upstreams, and its own.
func (h *hosted) observeEra(now core.Instant, revision core.StoreRevision) {
	if revision.Number == 0 {
		return
	}
	era := revision.Era
	h.observeEvacuationEra(now, era)
	h.follow.config.OnEra(era)
	h.follow.upstreams.OnEra(era)
	if h.storeEra == nil {
		h.storeEra = &era
		return
	}
	before := *h.storeEra
	if era <= before {
		return
	}
	h.storeEra = &era
	h.recordEvent(now, "store", "came back from an older copy",
		"era="+strconv.FormatUint(era, 10)+" before="+strconv.FormatUint(before, 10))
	h.catalog.OnStoreError(now)
	h.nextMemberListAt = now.Add(time.Duration(h.Router.params.Rand.Int64N(int64(maxMemberListDelay))))
	h.emit(StoreEraBegan{Era: era})
}
