// Package keys checks the keys of callers and decides for how long a
// configuration may be trusted without a fresh confirmation.
//
// A confirmation (version, age) states that the store held that version at that
// age. While one is recent, the Instance is Fresh. When the last one is too old, the
// Checker distinguishes two cases by the reports of peers in the store's region. If
// at least one of them reported recently, and all that did report an old
// confirmation, nobody can read the store. In this StoreOutage, keyed requests are
// still served, since no revocation can be promoted either. Otherwise the Instance
// is Partitioned, or Behind when it knows of a newer version whose root it has not
// read. Then keyed requests are refused after a grace period, as not run, except for
// services whose document entry says "serve".
//
// Cost: an Instance that loses the store and every peer of the store's region
// refuses keyed requests from ConfirmationTTL + PartitionGrace after its last
// confirmation, 8 s by default, also when the store is down at the same time. Once a
// revocation was read in the store's region, another Instance accepts the key for
// at most ConfirmationTTL + PeerTimeout + PartitionGrace, 11 s by default. Without an
// earlier store outage it is ConfirmationTTL + PartitionGrace.
//
// Remaining risk: while no Instance of the store's region reads a revocation, all
// Instances continue to serve. This covers a promotion just before an outage, one
// whose response is lost during an outage, and a revocation that only an Instance of
// another region has read. A slow store delays a revocation by up to two reads.
// Instances that are partitioned together with one of the store's region treat this
// as an outage. A store that returns an old value for
// reads confirms that value until any peer reports a higher version. Ages that peers
// report are trusted as upper bounds; see AgeBound. A service with on_partition
// "serve" accepts a revoked key for as long as its Instance is partitioned.
package keys

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// The defaults of Params. They are multiples of a heartbeat interval of one second,
// so that two lost heartbeats in a row have no effect.
const (
	DefaultConfirmationTTL = 3 * time.Second
	DefaultPeerTimeout     = 3 * time.Second
	DefaultPartitionGrace  = 5 * time.Second
)

// Params are the settings of a Checker. A duration of 0 selects its default.
type Params struct {
	Region      core.RegionName
	StoreRegion core.RegionName
	// ConfirmationTTL is how long a confirmation counts as recent.
	ConfirmationTTL time.Duration
	// PeerTimeout is how long a peer counts as reachable after its last report. It must
	// exceed the heartbeat interval.
	PeerTimeout time.Duration
	// PartitionGrace is the time from the beginning of a partition to the first
	// refusal. It must exceed the heartbeat interval, since in a store outage the
	// peers report an old confirmation only with their next heartbeat.
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

// Mode describes how fresh the configuration is.
type Mode string

// The modes.
const (
	// Fresh means that the last confirmation is recent.
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

// minInstant is earlier than every instant. It is not the smallest value, so that
// arithmetic on it does not overflow.
const minInstant = core.Instant(math.MinInt64 / 4)

// Checker checks credentials. All methods are called from one goroutine.
type Checker struct {
	params Params
	// knownVersion is the highest version whose revocations are applied.
	knownVersion core.Version
	// confirmedAt is the latest instant at which the store held no version above
	// known.
	confirmedAt core.Instant
	// everConfirmed is set by the first confirmation of a known version.
	everConfirmed bool
	// newerConfirmation is the latest confirmation of the highest version above
	// knownVersion. Its version is 0 when there is none.
	newerConfirmation confirmation
	peers             map[core.InstanceID]peerReport
	// validityEndsAt is the end of the current or last period in which the mode is or
	// was Fresh or StoreOutage.
	validityEndsAt core.Instant
	// revoked has the version that revoked each key, until prune.
	revoked       map[keyName]core.Version
	prunedVersion core.Version
}

// confirmation states that the store held version at the given instant.
type confirmation struct {
	version core.Version
	at      core.Instant
}

// peerReport is the last report of a peer in the store's region.
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

// MarkVersionRead records that the root of a version was read and that all its
// revocations were passed to RevokeAtVersion, or that the version is active.
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

// Reset drops the times of all confirmations, and all reports, after a pause of the
// process, during which the monotonic clock may have stopped. Versions and
// revocations are kept.
func (c *Checker) Reset() {
	c.confirmedAt = minInstant
	c.validityEndsAt = minInstant
	c.newerConfirmation.at = minInstant
	clear(c.peers)
}

// Confirm records that the store held version v at most age ago, as read from the
// store or reported by a peer. For a read, age is the time since the request was
// sent. For a peer's message it is the result of AgeBound, or UnknownAge when the
// message has no echo, and Confirm must be called before OnPeerReport. A version
// below the known one comes from a stale read and is ignored.
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

// OnPeerReport records a message of a peer in the given region, whose latest
// confirmation has the given age. This is the age that the peer reports, without
// the delay of the message: with a bound from AgeBound, a slow network would look
// as if the peer couldn't read the store. A message of a peer without any
// confirmation has no information about the store and must not be passed.
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

// updateValidity updates validityEndsAt. It must be called after every event.
func (c *Checker) updateValidity(now core.Instant) {
	mode, until := c.currentMode(now)
	if mode == Fresh || mode == StoreOutage {
		c.validityEndsAt = until
		return
	}
	c.validityEndsAt = min(c.validityEndsAt, now)
}

// currentMode returns the mode. For Fresh and StoreOutage, it also returns the
// instant until which one of these two modes holds without further events; for the
// other modes, it returns now.
func (c *Checker) currentMode(now core.Instant) (Mode, core.Instant) {
	freshUntil := c.confirmedAt.Add(c.params.ConfirmationTTL)
	outageEnd := c.outageEnd(now)
	switch {
	case c.knownVersion == 0:
		return Partitioned, now
	case now < freshUntil:
		return Fresh, max(freshUntil, outageEnd)
	case now < outageEnd && c.outagePermitsService(now):
		return StoreOutage, outageEnd
	case c.regionReachable(now):
		return Behind, now
	}
	return Partitioned, now
}

// outagePermitsService reports whether keyed requests are served in a store outage.
// An Instance that has refused keyed requests, and then learns from the first peer
// that it reaches that a newer version exists, must read its root before it serves
// again, since the version may revoke keys. An Instance that has served without
// interruption continues, since the only Instance that has the root may have
// stopped.
func (c *Checker) outagePermitsService(now core.Instant) bool {
	return c.newerConfirmation.version == 0 || now < c.validityEndsAt.Add(c.params.PartitionGrace)
}

// outageEnd returns the instant at which the last of the reachable peers of the
// store's region is no longer reachable without a further report, or minInstant when
// there is none or one of them has a recent confirmation.
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

// LatestConfirmation returns the latest confirmation of the highest version and its
// age, for the heartbeat. The version is 0 when there is none.
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

// RevokeAtVersion refuses a key while the Snapshot is older than version v, which
// revokes the key.
func (c *Checker) RevokeAtVersion(v core.Version, account core.AccountID, key core.KeyID) {
	name := keyName{account, key}
	c.revoked[name] = max(c.revoked[name], v)
}

// Check decides whether a credential may use a service. It returns nil when the
// request is allowed. With a nil service, the account's access to a service is not
// checked.
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

// placeholderKey replaces a key that does not exist, so that the check takes as long
// as for one that does.
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
	revokedEarly := c.revoked[keyName{cred.Account, cred.Key}] > snap.Version()
	if key.Revoked || revokedEarly {
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

// prune drops revocations that a Snapshot of version v contains.
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

// UnknownAge is the age of a confirmation whose message has no echo yet. It reports
// the version, but is too old to make the configuration fresh.
const UnknownAge = 24 * time.Hour

// AgeBound returns an upper bound of the age of a confirmation in a peer's message.
// The message echoes one that this Instance sent at echoedAt. holdTime, the time from
// the arrival of that message to the sending of the echo, and age are on the peer's
// clock. The bound covers any network delay and clock rates that are off by 1%.
func AgeBound(now, echoedAt core.Instant, holdTime, age time.Duration) time.Duration {
	const margin = 40 // 1/40 = 2.5%, over the 2.02% between clock rates of 1.01 and 0.99
	roundTrip := now.Sub(echoedAt)
	return age + age/margin + max(0, roundTrip-holdTime+holdTime/margin)
}
