package limits

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// Home returns the home set of an account; see membership.Home. It is here too
// because the home set is part of this package's contract.
func Home(roster membership.Roster, account core.AccountID, k int) []core.InstanceID {
	return membership.Home(roster, account, k)
}
