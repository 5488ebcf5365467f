package hostplatform

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// HeldParts are the prompt parts that an engine holds, the least recently used first. A part has the same
// parts before it in all prompts, so the parts need no chain.
type HeldParts []promptcache.Part

// Prefill returns the tokens of a prompt that need no prefill, because the part and all parts before it are held.
// All parts are held from now on, as far as they fit into room tokens.
func (h *HeldParts) Prefill(parts []promptcache.Part, room int) int {
	found, missed := 0, false
	for _, part := range parts {
		index := slices.IndexFunc(*h, func(held promptcache.Part) bool { return held.ID == part.ID })
		if index >= 0 {
			*h = slices.Delete(*h, index, index+1)
		}
		missed = missed || index < 0
		if !missed {
			found += part.Tokens
		}
		*h = append(*h, part)
	}
	for i, held := range slices.Backward(*h) {
		if room -= held.Tokens; room < 0 {
			*h = (*h)[i+1:]
			break
		}
	}
	return found
}
