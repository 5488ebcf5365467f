// Package membership decides which entry Instances form the fleet. It combines
// the platform's lagging list with peer heartbeats, proposes rosters for one
// store object that is changed by conditional update, and reports to the other
// modules when a roster is active and when the entitlements that it moves may
// be used. The package does no I/O: time, randomness and messages are inputs, and
// effects are returned as data.
package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Member describes one Instance of a roster.
type Member struct {
	Ref        core.InstanceRef    `json:"ref"`
	DataCentre core.DataCentreName `json:"data_centre"`
	Region     core.RegionName     `json:"region"`
	PeerAddr   string              `json:"peer_addr"`
	CallerAddr string              `json:"caller_addr"`
	Leaving    bool                `json:"leaving,omitempty"`
}

// Generation records the holders of an earlier roster that are not known to have
// stopped using it. A holder has stopped when it acknowledged a later epoch or when
// a later incarnation of its Instance exists. The entitlements of the remaining
// holders may be held by others once at least half of the generation has stopped and
// the fencing wait has passed since: a holder needs confirmations from a majority of
// its generation, so it has stopped by then. When more than half never stops in this
// way, Params.ReplacedFenceWait and UnlistedFenceWait apply.
type Generation struct {
	Epoch   core.Epoch         `json:"epoch"`
	Size    int                `json:"size"`    // initial number of holders
	Holders []core.InstanceRef `json:"holders"` // those not known to have stopped
}

// Roster is the value of the store object "roster". Members are sorted by id.
type Roster struct {
	Epoch             core.Epoch   `json:"epoch"`
	Members           []Member     `json:"members"`
	FormerGenerations []Generation `json:"former,omitempty"`
	// HandoverComplete is local to one Instance and not stored: every former holder
	// has stopped or is fenced, so entitlements that this roster moves may be used.
	HandoverComplete bool `json:"-"`
}

// Member returns the member with the id.
func (r Roster) Member(id core.InstanceID) (Member, bool) {
	i, found := slices.BinarySearchFunc(r.Members, id, func(m Member, id core.InstanceID) int {
		return cmp.Compare(m.Ref.ID, id)
	})
	if !found {
		return Member{}, false
	}
	return r.Members[i], true
}

// State is the state of an Instance in the platform's list.
type State string

// The states of the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// ListEntry is one entry of the platform's list. The list carries no incarnation.
type ListEntry struct {
	ID         core.InstanceID
	PeerAddr   string
	CallerAddr string
	DataCentre core.DataCentreName
	Region     core.RegionName
	State      State
}

// Row is the gossiped state of one Instance. Rows travel in heartbeats. A row with a
// higher incarnation replaces the earlier one; within an incarnation, the higher
// epoch wins and Leaving is final.
type Row struct {
	Ref     core.InstanceRef
	Epoch   core.Epoch // highest roster that this incarnation has acknowledged
	Leaving bool
}

// Heartbeat is a one-way message between two Instances.
type Heartbeat struct {
	From    core.InstanceRef
	Seq     uint64     // numbers the sender's heartbeat rounds
	Epoch   core.Epoch // acknowledges the sender's roster
	Leaving bool
	// Echo is the highest Seq that the sender has received from the incarnation
	// EchoOf of the addressee, 0 for none. It proves that this heartbeat was sent
	// after that round.
	Echo   uint64
	EchoOf core.Incarnation
	Digest uint64 // digest of the sender's rows
	Rows   []Row  // changed rows that the addressee may lack
}

// Addresses is the reply to a caller's query for the Instances to use. CallerAddrs
// are in order of preference.
type Addresses struct {
	CallerAddrs []string
	TTL         time.Duration
}

// Output is an effect that the daemon executes or another module consumes.
type Output interface{ output() }

// SendHeartbeat sends a heartbeat to a peer.
type SendHeartbeat struct {
	To        core.InstanceID
	PeerAddr  string
	Heartbeat Heartbeat
}

// WriteRoster writes the roster object by conditional update. After success, the
// daemon calls OnRosterRead with the roster and its new store version, and after
// any other result OnWriteFailed.
type WriteRoster struct {
	Base   uint64 // store version that must be current; 0 creates the object
	Roster Roster
}

// ReadRoster reads the roster object. From names a peer that has a newer roster
// and can be queried instead when the store is unreachable; it is empty when the
// store must be read.
type ReadRoster struct{ From core.InstanceID }

// ActivateRoster reports the active roster: a new one, or the same one again when its
// handover is complete or this Instance serves again.
type ActivateRoster struct{ Roster Roster }

// SetEntitlementExpiry sets the instant until which this Instance may use its entitlements.
// It must be passed to the limiter in the same step.
type SetEntitlementExpiry struct{ Until core.Instant }

// IncarnationDead reports an incarnation that has terminated: a later one was seen,
// or its entitlements were fenced after the list and the roster removed it.
type IncarnationDead struct{ Ref core.InstanceRef }

// StopServing reports that this Instance is no longer part of the fleet. It serves
// again after an ActivateRoster that has its incarnation.
type StopServing struct{ Reason string }

func (SendHeartbeat) output()        {}
func (WriteRoster) output()          {}
func (ReadRoster) output()           {}
func (ActivateRoster) output()       {}
func (SetEntitlementExpiry) output() {}
func (IncarnationDead) output()      {}
func (StopServing) output()          {}

// Params are the settings of a Membership. Zero values take the defaults.
type Params struct {
	Random              *rand.Rand    // source of jitter
	HeartbeatInterval   time.Duration // time between two heartbeat rounds
	Fanout              int           // largest number of heartbeats in a round
	MaxRowsPerHeartbeat int           // largest number of rows in a heartbeat
	ListGrace           time.Duration // time for which an Instance may be missing from the list before it is removed
	EntitlementTTL      time.Duration // time for which confirmations from a majority permit use of entitlements
	FenceWait           time.Duration // wait before the entitlements of a silent holder move
	// ReplacedFenceWait and UnlistedFenceWait are the fencing waits of generations of
	// which fewer than half have stopped and the others are in neither the list nor the
	// roster. They rely not on heartbeats but on the rule that an Instance stops when
	// the list no longer has it. ReplacedFenceWait applies when no holder is known to
	// have stopped, UnlistedFenceWait when some are.
	ReplacedFenceWait  time.Duration
	UnlistedFenceWait  time.Duration
	StoreRetryInterval time.Duration // time after which a roster write without a reply is resolved by a read
	AddressTTL         time.Duration // time for which callers cache an address reply
	HomeSize           int           // Instances in a home set
}

// The defaults of Params.
const (
	DefaultHeartbeatInterval   = time.Second
	DefaultFanout              = 22 // reaches 329 peers in 15 rounds; an echo takes two such cycles, less than DefaultEntitlementTTL
	DefaultMaxRowsPerHeartbeat = 4  // keeps a heartbeat below 150 bytes
	DefaultListGrace           = 5 * time.Second
	DefaultEntitlementTTL      = 45 * time.Second
	DefaultFenceWait           = 47 * time.Second // over 45 s * 1.01 / 0.99, the clocks being up to 1% off
	DefaultReplacedFenceWait   = 47 * time.Second
	DefaultUnlistedFenceWait   = 70 * time.Minute // longer than a partition between regions, about an hour
	DefaultStoreRetryInterval  = 2 * time.Second
	DefaultAddressTTL          = 10 * time.Second
	DefaultHomeSize            = 3
)

func (p Params) withDefaults() Params {
	setDefault(&p.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&p.Fanout, DefaultFanout)
	setDefault(&p.MaxRowsPerHeartbeat, DefaultMaxRowsPerHeartbeat)
	setDefault(&p.ListGrace, DefaultListGrace)
	setDefault(&p.EntitlementTTL, DefaultEntitlementTTL)
	setDefault(&p.FenceWait, DefaultFenceWait)
	setDefault(&p.ReplacedFenceWait, DefaultReplacedFenceWait)
	setDefault(&p.UnlistedFenceWait, DefaultUnlistedFenceWait)
	setDefault(&p.StoreRetryInterval, DefaultStoreRetryInterval)
	setDefault(&p.AddressTTL, DefaultAddressTTL)
	setDefault(&p.HomeSize, DefaultHomeSize)
	if p.Random == nil {
		p.Random = rand.New(rand.NewPCG(1, 1))
	}
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
