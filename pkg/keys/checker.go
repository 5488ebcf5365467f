// Package keys checks the keys of callers and decides for how long a
// configuration may be trusted without a fresh confirmation.
//
// A confirmation (version, age) says that the store held that version so long
// ago. While one is recent, the Instance is Fresh. When the last one is too old,
// the Checker separates two cases by what peers of the store's region report. If
// at least one was heard lately and all of those report an old confirmation,
// nobody can read the store: in a StoreOutage keyed requests are still served,
// since no revocation can be promoted either. Otherwise the Instance is
// Partitioned, or Behind when it knows that a newer version exists whose root it
// has not read. Then keyed requests are refused after a grace period, as not run,
// except for services whose document entry says "serve".
//
// Cost: an Instance that loses the store and every peer of its region refuses
// keyed requests from ConfirmationTTL + PartitionGrace after its last confirmation on,
// 8 s by default, also when the store is down at the same time. From the first
// read of a revocation in the store's region on, another Instance accepts the key
// for at most ConfirmationTTL + PeerTimeout + PartitionGrace, 11 s by default; without an
// earlier store outage it is ConfirmationTTL + PartitionGrace.
//
// Remaining risk: while no Instance of the store's region reads a revocation, all
// of them serve on. This covers a promote just before an outage, one whose
// response is lost during an outage, and an Instance of another region that alone
// has read it. A slow store delays a revocation by up to two reads. Instances
// that are cut off together with one of the store's region take this for an
// outage. A store that answers reads with an old value confirms that value, until
// any peer reports a higher version. Ages that peers report are trusted as upper
// bounds; see AgeBound. A service with on_partition "serve" accepts a revoked key
// for as long as its Instance is cut off.
package keys

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Default periods. They are multiples of a heartbeat of one second: two lost
// heartbeats in a row change nothing.
const (
	DefaultConfirmationTTL = 3 * time.Second
	DefaultPeerTimeout     = 3 * time.Second
	DefaultPartitionGrace  = 5 * time.Second
)

// Params are the settings of a Checker. A period of 0 takes its default.
type Params struct {
	Region      core.RegionName
	StoreRegion core.RegionName
	// ConfirmationTTL is how long a confirmation counts as recent.
	ConfirmationTTL time.Duration
	// PeerTimeout is how long a peer counts as reachable after it was heard. It must
	// exceed the interval of heartbeats.
	PeerTimeout time.Duration
	// PartitionGrace is the time from the beginning of a partition to the first
	// refusal. It must exceed the interval of heartbeats, since in a store outage
	// the peers' reports of an old confirmation arrive with the next heartbeat.
	PartitionGrace time.Duration
}

func (p Params) withDefaults() Params {
	if p.ConfirmationTTL == 0 {
		p.ConfirmationTTL = DefaultConfirmationTTL
	}
	if p.PeerTimeout == 0 {
		p.PeerTimeout = DefaultPeerTimeout
	}
	if p.PartitionGrace == 0 {
		p.PartitionGrace = DefaultPartitionGrace
	}
	return p
}

// Mode is the freshness of the configuration.
type Mode string

// The modes.
const (
	// Fresh means that a confirmation is recent.
	Fresh Mode = "fresh"
	// StoreOutage means that no reachable Instance of the store's region has a
	// recent confirmation. Keyed requests are still served.
	StoreOutage Mode = "store_outage"
	// Partitioned means that no Instance of the store's region is reachable.
	Partitioned Mode = "partitioned"
	// Behind means that peers have a recent confirmation of a version whose root
	// this Instance has not read. Keyed requests are refused as in Partitioned.
	Behind Mode = "behind"
)

// minInstant is earlier than every instant and can still be subtracted from.
const minInstant = core.Instant(math.MinInt64 / 4)

// Checker checks credentials. All methods are called from one goroutine.
type Checker struct {
	params Params
	// knownVersion is the highest version whose revocations this Instance applies.
	knownVersion core.Version
	// confirmedAt is the latest instant at which the store held no version above
	// known.
	confirmedAt core.Instant
	// everConfirmed says that there was a confirmation since the start.
	everConfirmed     bool
	newerConfirmation confirmation
	peers             map[core.InstanceID]peerReport
	// validityEndsAt is the instant at which the last Fresh or StoreOutage period
	// ends or ended.
	validityEndsAt core.Instant
	revoked        map[keyName]core.Version
	prunedVersion  core.Version
}

// confirmation says that the store held version at the given instant.
type confirmation struct {
	version core.Version
	at      core.Instant
}

// peerReport is what a peer of the store's region said last.
type peerReport struct {
	incarnation core.Incarnation
	receivedAt  core.Instant
	recent      bool
}

type keyName struct {
	account core.AccountID
	key     core.KeyID
}

// New returns a Checker without any confirmation, which refuses keyed requests.
func New(p Params) *Checker {
	return &Checker{
		params:         p.withDefaults(),
		confirmedAt:    minInstant,
		validityEndsAt: minInstant,
		peers:          map[core.InstanceID]peerReport{},
		revoked:        map[keyName]core.Version{},
	}
}

// MarkVersionRead says that the root of a version was read and that all its revocations
// were passed to RevokeAtVersion, or that the version is in force.
func (c *Checker) MarkVersionRead(now core.Instant, v core.Version) {
	if v <= c.knownVersion {
		return
	}
	c.knownVersion = v
	if c.newerConfirmation.version <= v {
		if c.newerConfirmation.version != 0 {
			c.recordConfirmation(c.newerConfirmation.at)
		}
		c.newerConfirmation = confirmation{}
	}
	c.updateValidity(now)
}

func (c *Checker) recordConfirmation(at core.Instant) {
	c.everConfirmed = true
	c.confirmedAt = max(c.confirmedAt, at)
}

// Reset drops all confirmations and reports after a pause of the process, during
// which the monotonic clock may have stood still. Versions and revocations stay.
func (c *Checker) Reset() {
	c.confirmedAt = minInstant
	c.validityEndsAt = minInstant
	c.newerConfirmation.at = minInstant
	clear(c.peers)
}

// Confirm records that the store held version v at most age ago, read from the
// store or passed on by a peer. For a read, age is the time since the request was
// sent; for a peer's message it comes from AgeBound, or is UnknownAge when the
// message has no echo. It is called before OnPeerReport for the same message. A
// version below the known one comes from a stale read and is ignored.
func (c *Checker) Confirm(now core.Instant, v core.Version, age time.Duration) {
	at := now - core.Instant(age)
	switch {
	case v == 0 || age < 0 || v < c.knownVersion:
		return
	case v == c.knownVersion:
		c.recordConfirmation(at)
	case v > c.newerConfirmation.version:
		c.newerConfirmation = confirmation{version: v, at: at}
	case v == c.newerConfirmation.version:
		c.newerConfirmation.at = max(c.newerConfirmation.at, at)
	}
	c.updateValidity(now)
}

// OnPeerReport records a message of a peer in the given region, whose most recent
// confirmation has the given age. This is the age that the peer reports, without
// the delay of the message: a bound from AgeBound would turn a slow network into
// a report that the peer can't read the store. A peer that has no confirmation at
// all says nothing about the store; its messages are not passed here.
func (c *Checker) OnPeerReport(now core.Instant, peer core.InstanceRef, region core.RegionName, age time.Duration) {
	if region != c.params.StoreRegion || peer.Incarnation < c.peers[peer.ID].incarnation {
		return
	}
	for id, r := range c.peers {
		if !c.reachable(now, r) {
			delete(c.peers, id)
		}
	}
	c.peers[peer.ID] = peerReport{incarnation: peer.Incarnation, receivedAt: now, recent: age < c.params.ConfirmationTTL}
	c.updateValidity(now)
}

func (c *Checker) reachable(now core.Instant, r peerReport) bool {
	return now < r.receivedAt.Add(c.params.PeerTimeout)
}

// updateValidity moves servedUntil after an event.
func (c *Checker) updateValidity(now core.Instant) {
	mode, until := c.currentMode(now)
	if mode == Fresh || mode == StoreOutage {
		c.validityEndsAt = until
		return
	}
	c.validityEndsAt = min(c.validityEndsAt, now)
}

// currentMode returns the mode and the instant until which it holds without further
// events.
func (c *Checker) currentMode(now core.Instant) (Mode, core.Instant) {
	freshUntil := c.confirmedAt.Add(c.params.ConfirmationTTL)
	outageUntil := c.outageEnd(now)
	switch {
	case c.knownVersion == 0:
		return Partitioned, now
	case now < freshUntil:
		return Fresh, max(freshUntil, outageUntil)
	case now < outageUntil && c.outagePermitsService(now):
		return StoreOutage, outageUntil
	case c.regionReachable(now):
		return Behind, now
	}
	return Partitioned, now
}

// outagePermitsService reports whether a store outage permits service. An Instance that has
// refused keyed requests, and then learns from the first peer it reaches that a
// newer version exists, reads that root before it serves again: the version may
// revoke keys. One that has served all along goes on, since the only holder of
// the root may be gone.
func (c *Checker) outagePermitsService(now core.Instant) bool {
	return c.newerConfirmation.version == 0 || now < c.validityEndsAt.Add(c.params.PartitionGrace)
}

// outageEnd returns the instant at which the last of the reachable peers of the
// store's region is no longer reachable, or longAgo when one of them has a recent
// confirmation.
func (c *Checker) outageEnd(now core.Instant) core.Instant {
	until := minInstant
	for _, r := range c.peers {
		if !c.reachable(now, r) {
			continue
		}
		if r.recent {
			return minInstant
		}
		until = max(until, r.receivedAt.Add(c.params.PeerTimeout))
	}
	return until
}

func (c *Checker) regionReachable(now core.Instant) bool {
	for _, r := range c.peers {
		if c.reachable(now, r) {
			return true
		}
	}
	return false
}

// Mode returns the freshness of the configuration.
func (c *Checker) Mode(now core.Instant) Mode {
	mode, _ := c.currentMode(now)
	return mode
}

// LatestConfirmation returns the most recent confirmation of the highest version and its
// age, which the heartbeat passes on. The version is 0 when there is none.
func (c *Checker) LatestConfirmation(now core.Instant) (core.Version, time.Duration) {
	switch {
	case c.newerConfirmation.version > 0:
		return c.newerConfirmation.version, now.Sub(c.newerConfirmation.at)
	case c.confirmedAt == minInstant:
		return 0, 0
	}
	return c.knownVersion, now.Sub(c.confirmedAt)
}

// Revoke refuses a key until the process ends.
func (c *Checker) Revoke(account core.AccountID, key core.KeyID) {
	c.RevokeAtVersion(math.MaxUint64, account, key)
}

// RevokeAtVersion refuses a key as long as the Snapshot is older than version v, which
// revoked the key.
func (c *Checker) RevokeAtVersion(v core.Version, account core.AccountID, key core.KeyID) {
	name := keyName{account, key}
	c.revoked[name] = max(c.revoked[name], v)
}

// Check decides whether a credential may use a service. It returns nil when the
// request is allowed. With a nil service, only the key is checked.
func (c *Checker) Check(now core.Instant, snap *config.Snapshot, cred Credential, service *config.Service) *core.Refusal {
	if snap == nil {
		return refuse(core.CodeNotConfigured, "no configuration is in force yet", time.Second)
	}
	c.MarkVersionRead(now, snap.Version())
	c.prune(snap.Version())
	account, refusal := c.checkKey(snap, cred)
	if refusal != nil {
		return refusal
	}
	if service != nil && !account.Allows(service.Name) {
		return core.NewRefusal(core.CodeServiceNotAllowed, "the account may not use service "+string(service.Name))
	}
	return c.checkFreshness(now, service)
}

// placeholderKey takes the place of a key that does not exist, so that the answer takes
// as long as for one that does.
var placeholderKey config.Key

func (c *Checker) checkKey(snap *config.Snapshot, cred Credential) (*config.ClientAccount, *core.Refusal) {
	account, _ := snap.Account(cred.Account)
	key, found := snap.Key(cred.Account, cred.Key)
	if !found {
		key = &placeholderKey
	}
	if !cred.Secret.matches(key) || !found {
		return nil, core.NewRefusal(core.CodeUnknownKey, "the key is not known")
	}
	early := c.revoked[keyName{cred.Account, cred.Key}] > snap.Version()
	if key.Revoked || early {
		return nil, core.NewRefusal(core.CodeKeyRevoked, "the key is revoked")
	}
	return account, nil
}

func (c *Checker) checkFreshness(now core.Instant, service *config.Service) *core.Refusal {
	mode := c.Mode(now)
	if mode == Fresh || mode == StoreOutage {
		return nil
	}
	if service != nil && service.PartitionPolicy == config.PartitionServe && c.everConfirmed {
		return nil
	}
	if now < c.validityEndsAt.Add(c.params.PartitionGrace) {
		return nil
	}
	return refuse(core.CodeKeysStale, "the Instance cannot confirm that the key is still valid", time.Second)
}

// prune forgets early revocations that the Snapshot contains.
func (c *Checker) prune(v core.Version) {
	if v <= c.prunedVersion {
		return
	}
	c.prunedVersion = v
	for name, revokedIn := range c.revoked {
		if revokedIn <= v {
			delete(c.revoked, name)
		}
	}
}

func refuse(code core.Code, message string, retryAfter time.Duration) *core.Refusal {
	refusal := core.NewRefusal(code, message)
	refusal.RetryAfter = retryAfter
	return refusal
}

// UnknownAge is the age of a confirmation whose message has no echo yet. The
// version counts, but confirms nothing.
const UnknownAge = 24 * time.Hour

// AgeBound returns an upper bound of the age of a confirmation in a peer's
// message. The message echoes a message of ours, sent at the instant echoed; the
// peer held the echo for held, and reported the given age. It covers any delay of
// the network and clock rates that are wrong by 1%.
func AgeBound(now, echoed core.Instant, held, age time.Duration) time.Duration {
	const margin = 40 // 1/40: a rate of 1.01 over one of 0.99 is 2.02%
	roundTrip := now.Sub(echoed)
	return age + age/margin + max(0, roundTrip-held+held/margin)
}
