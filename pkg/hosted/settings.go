package hosted

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"

	"github.com/rhubarbsill/rhubarbsill/pkg/admission"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// Settings are the settings of a hosted Instance, a file in JSON with comments.
type Settings struct {
	Instance    core.InstanceID                         `json:"instance"`
	DataCentre  core.DataCentreName                     `json:"data_centre"`
	Region      core.RegionName                         `json:"region"`
	DataCentres map[core.DataCentreName]core.RegionName `json:"data_centres"`

	CallerAddr    string `json:"caller_addr"`
	ReadyAddr     string `json:"ready_addr"`
	DirectoryAddr string `json:"directory_addr"`
	PeerAddr      string `json:"peer_addr"`
	MetricsAddr   string `json:"metrics_addr"`
	// PeerListenAddr is the address to listen on for peers, if PeerAddr is that of a forwarder.
	PeerListenAddr string `json:"peer_listen_addr"`
	// Seeds are peer addresses from which to fetch the members at the start, in case
	// the store is unavailable.
	Seeds     []string `json:"seeds"`
	StoreAddr string   `json:"store_addr"`

	// GraceSeconds is the time from the shutdown request to the end of the process.
	GraceSeconds float64 `json:"grace_seconds"`
	// MaxAddressTTLSeconds bounds the TTL of address responses.
	MaxAddressTTLSeconds float64 `json:"addresses_max_seconds"`
	// The retry budget of the fleet: RetryRatio retries per request, plus
	// RetryAllowance retries in each RetryWindowSeconds.
	RetryRatio         float64 `json:"retry_ratio"`
	RetryAllowance     float64 `json:"retry_allowance"`
	RetryWindowSeconds float64 `json:"retry_window_seconds"`

	// ConfigApplyMS is the time within which a new configuration is in force at every Instance, in
	// milliseconds.
	ConfigApplyMS float64 `json:"config_apply_ms"`
	// ContactMS is the time without a contact after which an Instance counts as cut off, in
	// milliseconds. It bounds the time for which a dead Instance is named to callers.
	ContactMS float64 `json:"contact_ms"`

	// In any second, a cold Upstream gets at most ColdOverage times the rate that its service has while
	// it is cold, plus ColdSlack requests, from all Instances together.
	ColdOverage float64 `json:"cold_overage"`
	ColdSlack   float64 `json:"cold_slack"`

	// EvacuateMS is the time within which the evacuation of a DataCentre binds every Instance, in
	// milliseconds. 0 if the deployment has no evacuations: the store is not asked for them then.
	EvacuateMS float64 `json:"evacuate_ms"`

	// In any QuotaWindowSeconds, the platform tolerates QuotaOverage times the allowance of an account and
	// QuotaSlack tokens beyond it. QuotaTolerancePart of that may be used for requests over the rate of
	// their account while Upstreams are idle. 0: nothing of it.
	QuotaWindowSeconds float64 `json:"quota_window_s"`
	QuotaOverage       float64 `json:"quota_overage"`
	QuotaSlack         float64 `json:"quota_slack"`
	QuotaTolerancePart float64 `json:"quota_tolerance_part"`
	// DrainMS is the time within which an Upstream that leaves or is gone gets no more requests from any
	// Instance, in milliseconds.
	DrainMS float64 `json:"drain_ms"`
	// FollowReaders has the Instances of a fleet of more than 8 rely on the readers of their Region for the
	// configuration and the Upstreams (docs/design/followers.md). Otherwise each one watches the store.
	FollowReaders bool `json:"follow_readers"`

	// MemoryMB and MaxFDs are the memory and the descriptors of the machine. 0 or missing: not known. The
	// limits of connections are then those of the largest machine, and the runtime has no memory limit.
	MemoryMB MachineFigure `json:"memory_mb"`
	MaxFDs   MachineFigure `json:"max_fds"`

	// TakeOverLostShares has survivors take over the quota shares of lost Instances
	// (docs/design/quota-after-losses.md). All Instances of a fleet must have the same value. Default:
	// true.
	TakeOverLostShares *bool `json:"take_over_lost_shares,omitempty"`

	// WeighHeldPrompts prefers prefill engines that are expected to hold a part of a prompt
	// (docs/design/held-prompts.md). Default: true.
	WeighHeldPrompts bool `json:"weigh_held_prompts"`

	// LogLevel is debug, info, warn or error. Default: info.
	LogLevel string `json:"log_level"`
}

// MachineFigure is a figure of the machine, 0 if it is not known. In JSON it is a number, or a list of at
// most one: a template that has no value for it then still gives valid JSON.
type MachineFigure float64

// UnmarshalJSON implements json.Unmarshaler.
func (f *MachineFigure) UnmarshalJSON(text []byte) error {
	var list []*float64
	if len(text) == 0 || text[0] != '[' {
		list = make([]*float64, 1)
		if err := json.Unmarshal(text, &list[0]); err != nil {
			return err
		}
	} else if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	if len(list) > 1 {
		return errorx.IllegalArgument.New("%s has more than one value", text)
	}
	*f = 0
	if len(list) == 1 && list[0] != nil {
		*f = MachineFigure(*list[0])
	}
	return nil
}

// ReadSettings reads and checks a settings file. Its error lists every finding.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	s := Settings{LogLevel: "info", GraceSeconds: 8, MaxAddressTTLSeconds: 5, RetryRatio: 0.1, RetryWindowSeconds: 10, ConfigApplyMS: 3000, ContactMS: 4000, DrainMS: 4000}
	s.WeighHeldPrompts = true
	s.ColdOverage, s.ColdSlack = warmup.DefaultOverage, warmup.DefaultSlack
	if err := json.Unmarshal(standard, &s); err != nil {
		return Settings{}, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, s.check(path)
}

func (s Settings) check(path string) error {
	var findings []error
	add := func(format string, args ...any) {
		findings = append(findings, errorx.IllegalArgument.New(format, args...))
	}
	if s.Instance == "" {
		add("instance: must not be empty")
	}
	if s.DataCentre == "" {
		add("data_centre: must not be empty")
	}
	for name, addr := range map[string]string{
		"caller_addr": s.CallerAddr, "ready_addr": s.ReadyAddr, "directory_addr": s.DirectoryAddr,
		"peer_addr": s.PeerAddr, "store_addr": s.StoreAddr,
	} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			add("%s: %q is not HOST:PORT", name, addr)
		}
	}
	if _, _, err := net.SplitHostPort(s.peerListenAddr()); err != nil {
		add("peer_listen_addr: %q is not HOST:PORT", s.PeerListenAddr)
	}
	if s.GraceSeconds <= 0 {
		add("grace_seconds: %v must be above 0", s.GraceSeconds)
	}
	if s.RetryWindowSeconds <= 0 {
		add("retry_window_seconds: %v must be above 0", s.RetryWindowSeconds)
	}
	if s.ConfigApplyMS <= 0 {
		add("config_apply_ms: %v must be above 0", s.ConfigApplyMS)
	}
	if s.ContactMS <= 0 {
		add("contact_ms: %v must be above 0", s.ContactMS)
	}
	if s.ColdOverage <= 0 {
		add("cold_overage: %v must be above 0", s.ColdOverage)
	}
	if s.ColdSlack < 0 {
		add("cold_slack: %v must not be below 0", s.ColdSlack)
	}
	if s.EvacuateMS < 0 {
		add("evacuate_ms: %v must not be below 0", s.EvacuateMS)
	}
	if s.QuotaTolerancePart < 0 || s.QuotaTolerancePart > 1 {
		add("quota_tolerance_part: %v must be between 0 and 1", s.QuotaTolerancePart)
	}
	if s.QuotaTolerancePart > 0 && (s.QuotaWindowSeconds <= 0 || s.QuotaOverage < 0 || s.QuotaSlack < 0) {
		add("quota_tolerance_part: needs quota_window_s above 0, and quota_overage and quota_slack not below 0")
	}
	if s.DrainMS < 0 || s.FollowReaders && s.DrainMS == 0 {
		add("drain_ms: %v must be above 0 with follow_readers, and not below 0", s.DrainMS)
	}
	if s.MemoryMB < 0 {
		add("memory_mb: %v must not be below 0", s.MemoryMB)
	}
	if s.MaxFDs < 0 {
		add("max_fds: %v must not be below 0", s.MaxFDs)
	}
	if len(findings) == 0 {
		return nil
	}
	return errorx.DecorateMany("settings "+path, findings...)
}

func (s Settings) configApplyTime() time.Duration {
	return time.Duration(s.ConfigApplyMS * float64(time.Millisecond))
}

func (s Settings) contactTime() time.Duration {
	return time.Duration(s.ContactMS * float64(time.Millisecond))
}

func (s Settings) evacuationBound() time.Duration {
	return time.Duration(s.EvacuateMS * float64(time.Millisecond))
}

func (s Settings) quotaTolerance() quota.Tolerance {
	return quota.Tolerance{
		Window: secondsToDuration(s.QuotaWindowSeconds), Overage: s.QuotaOverage, Slack: s.QuotaSlack, Part: s.QuotaTolerancePart,
	}
}

// followBounds returns the bounds of followers for the configuration and for the Upstreams, 0 if there are
// no followers.
func (s Settings) followBounds() (config, upstreams time.Duration) {
	if !s.FollowReaders {
		return 0, 0
	}
	return s.configApplyTime(), time.Duration(s.DrainMS * float64(time.Millisecond))
}

// memoryBytes returns the memory of the machine, or that of the largest one if it is not known.
func (s Settings) memoryBytes() int64 {
	if s.MemoryMB <= 0 {
		return admission.DefaultMemoryBytes
	}
	return int64(float64(s.MemoryMB) * (1 << 20))
}

func (s Settings) admissionLimits() admission.Limits {
	return admission.LimitsFor(s.memoryBytes(), int(s.MaxFDs))
}

func (s Settings) peerListenAddr() string { return cmp.Or(s.PeerListenAddr, s.PeerAddr) }

func (s Settings) gracePeriod() time.Duration { return secondsToDuration(s.GraceSeconds) }

// addressTTL returns the TTL of address responses. It is short, so that callers leave
// a dead Instance within seconds; one query per second and caller costs less than a
// request.
func (s Settings) addressTTL() time.Duration {
	return min(time.Second, secondsToDuration(s.MaxAddressTTLSeconds))
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// takesOverShares reports whether survivors take over the quota shares of lost Instances.
func (s Settings) takesOverShares() bool { return s.TakeOverLostShares == nil || *s.TakeOverLostShares }
