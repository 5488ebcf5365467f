package placement

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// LedgerHolder returns the Instance that holds the slot ledger of an Upstream, and false if
// the Upstream is unknown. The holder also reads the Upstream's load reports, from which
// it updates the ledger.
func (p *Placer) LedgerHolder(up core.UpstreamID) (core.InstanceID, bool) {
	e := p.engines[up]
	if e == nil {
		return "", false
	}
	return p.holderOf(e), true
}
