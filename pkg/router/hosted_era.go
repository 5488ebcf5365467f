package router

import (
	"strconv"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// observeEra processes the era of a state that was read from the store or reported by a peer. In a
// new era the store may have lost what this Instance has read before, and the entries of live
// Upstreams among it.
func (h *hosted) observeEra(now core.Instant, era uint64) {
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
	h.emit(StoreEraBegan{Era: era})
}
