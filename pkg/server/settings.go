package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/peer"
)

// Settings are the contents of the settings file of an Instance, JSON with
// comments. They identify the Instance and its location; services, accounts and
// limits are in the configuration document.
type Settings struct {
	Instance   core.InstanceID     `json:"instance"`
	DataCentre core.DataCentreName `json:"data_centre"`
	Region     core.RegionName     `json:"region"`
	// StoreRegion is the region of the platform's object store.
	StoreRegion core.RegionName `json:"store_region"`

	// CallerAddr, PeerAddr and StatusAddr are listen addresses, IP:port.
	CallerAddr string `json:"caller_addr"`
	PeerAddr   string `json:"peer_addr"`
	StatusAddr string `json:"status_addr"`

	// Platform is the base URL of the platform's object API.
	Platform string `json:"platform"`
	// Environment names the environment of the platform whose configuration is
	// used. Default "production".
	Environment string `json:"environment"`

	// FleetSecret authenticates peers to each other.
	FleetSecret Secret `json:"fleet_secret"`
	// Secrets holds, by name, the secrets that the configuration document refers
	// to: the credential for Upstreams and the keys that seal SSE event ids (32
	// bytes each).
	Secrets map[string]Secret `json:"secrets"`

	Callers CallerLimits `json:"callers"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level"`
}

// CallerLimits bounds the resources of an Instance that callers can use.
type CallerLimits struct {
	// MaxBodyBytes bounds a request body. Default 4 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxHeaderBytes bounds the header of a request. Default 16 KiB.
	MaxHeaderBytes int `json:"max_header_bytes"`
	// MaxConnections bounds the open connections of all callers. Default 4,096.
	MaxConnections int `json:"max_connections"`
	// HeaderSeconds and BodySeconds bound the time in which a caller sends the
	// header and the body. Defaults 5 and 30.
	HeaderSeconds int `json:"header_seconds"`
	BodySeconds   int `json:"body_seconds"`
	// WriteSeconds bounds each write to a caller that reads slowly. Default 10.
	WriteSeconds int `json:"write_seconds"`
	// RequestSeconds bounds a whole request. Default 600.
	RequestSeconds int `json:"request_seconds"`
}

// Secret is a value that never appears in logs, errors or JSON output.
type Secret struct{ value string }

// NewSecret returns a Secret with the value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value.
func (s Secret) Reveal() string { return s.value }

// String returns "[redacted]".
func (s Secret) String() string { return "[redacted]" }

// GoString returns "[redacted]".
func (s Secret) GoString() string { return "[redacted]" }

// MarshalJSON writes "[redacted]".
func (s Secret) MarshalJSON() ([]byte, error) { return []byte(`"[redacted]"`), nil }

// envPrefix marks a secret whose value is read from an environment variable.
const envPrefix = "env:"

// UnmarshalJSON reads a string: the value or, after "env:", the name of the
// environment variable that holds it, which must not be empty.
func (s *Secret) UnmarshalJSON(text []byte) error {
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return err
	}
	if name, ok := strings.CutPrefix(value, envPrefix); ok {
		value = os.Getenv(name)
		if value == "" {
			return fmt.Errorf("environment variable %s is empty", name)
		}
	}
	s.value = value
	return nil
}

const (
	defaultEnvironment    = "production"
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxConnections = 4096
	defaultHeaderSeconds  = 5
	defaultBodySeconds    = 30
	defaultWriteSeconds   = 10
	defaultRequestSeconds = 600
)

// ReadSettings reads and validates a settings file. The error joins all invalid
// fields.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errorx.Decorate(err, "settings")
	}
	settings, err := ParseSettings(text)
	if err != nil {
		return Settings{}, errorx.Decorate(err, "settings %s", path)
	}
	return settings, nil
}

// ParseSettings parses settings, sets defaults and validates every field.
func ParseSettings(text []byte) (Settings, error) {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return Settings{}, err
	}
	decoder := json.NewDecoder(strings.NewReader(string(standard)))
	decoder.DisallowUnknownFields()
	var settings Settings
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, err
	}
	settings.fillDefaults()
	return settings, settings.validate()
}

func (s *Settings) fillDefaults() {
	if s.Environment == "" {
		s.Environment = defaultEnvironment
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	setDefault(&s.Callers.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&s.Callers.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&s.Callers.MaxConnections, defaultMaxConnections)
	setDefault(&s.Callers.HeaderSeconds, defaultHeaderSeconds)
	setDefault(&s.Callers.BodySeconds, defaultBodySeconds)
	setDefault(&s.Callers.WriteSeconds, defaultWriteSeconds)
	setDefault(&s.Callers.RequestSeconds, defaultRequestSeconds)
}

func setDefault[N int | int64](field *N, value N) {
	if *field == 0 {
		*field = value
	}
}

func (s *Settings) validate() error {
	var errs []error
	addError := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf(field+": "+format, args...))
	}
	for field, value := range map[string]string{
		"instance":     string(s.Instance),
		"data_centre":  string(s.DataCentre),
		"region":       string(s.Region),
		"store_region": string(s.StoreRegion),
	} {
		if value == "" {
			addError(field, "must be set")
		}
	}
	for field, addr := range map[string]string{
		"caller_addr": s.CallerAddr,
		"peer_addr":   s.PeerAddr,
		"status_addr": s.StatusAddr,
	} {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			addError(field, "%q is not IP:port", addr)
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		addError("platform", "%q is not an HTTP URL", s.Platform)
	}
	if len(s.FleetSecret.value) < peer.MinSecret {
		addError("fleet_secret", "needs at least %d bytes", peer.MinSecret)
	}
	for name, secret := range s.Secrets {
		if secret.value == "" {
			addError("secrets."+name, "must not be empty")
		}
	}
	if s.Callers.MaxBodyBytes < 0 || s.Callers.MaxHeaderBytes < 0 || s.Callers.MaxConnections < 0 ||
		s.Callers.HeaderSeconds < 0 || s.Callers.BodySeconds < 0 || s.Callers.WriteSeconds < 0 ||
		s.Callers.RequestSeconds < 0 {
		addError("callers", "limits must not be negative")
	}
	return errors.Join(sortErrors(errs)...)
}

func (l CallerLimits) requestTimeout() time.Duration {
	return time.Duration(l.RequestSeconds) * time.Second
}

func (l CallerLimits) writeTimeout() time.Duration {
	return time.Duration(l.WriteSeconds) * time.Second
}
