// Package site builds test sites: the fakes together with a configuration document,
// client accounts with keys, and settings files for entry Instances.
package site

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
)

// Names and secrets of the test site.
const (
	Region     = core.RegionName("north")
	DataCentre = core.DataCentreName("north-a")
	Model      = "trial-model"
	Credential = "upstream-credential"
	ResumeKey  = "resume-1"

	// FleetSecret, CredentialText and ResumeSecret may be constants because the site
	// listens on loopback only.
	FleetSecret    = "trial-fleet-secret-0123456789"
	CredentialText = "trial-upstream-credential"
	ResumeSecret   = "0123456789abcdef0123456789abcdef"
)

// Upstreams holds the base URLs of the fakes.
type Upstreams struct {
	Prefill []string
	Decode  []string
	Plain   []string
}

// Account is a client account of the test site with its key in clear text.
type Account struct {
	ID    core.AccountID
	Rate  int64 // tokens per second
	Burst int64 // tokens
	Key   string
}

// NewAccount returns an account with a new key, and its entry for the document. rate
// is in tokens per second, burst in tokens.
func NewAccount(id core.AccountID, rate, burst int64) (Account, config.ClientAccount, error) {
	text, entry, err := keys.Generate(rand.Reader, id, "k1")
	if err != nil {
		return Account{}, config.ClientAccount{}, err
	}
	account := config.ClientAccount{
		ID:                  id,
		Weight:              1,
		RateTokensPerSecond: rate,
		BurstTokens:         burst,
		Services:            []core.ServiceName{"models", "orders"},
		Keys:                []config.Key{entry},
	}
	return Account{ID: id, Rate: rate, Burst: burst, Key: text}, account, nil
}

// Document returns the configuration of the test site: a model service and a plain
// service.
func Document(up Upstreams, accounts []config.ClientAccount) *config.Document {
	models := config.Service{
		Name:            "models",
		Kind:            config.ServiceModel,
		Models:          []core.ModelName{Model},
		Targets:         config.Targets{FirstTokenMS: 1900, BetweenTokensMS: 37},
		PartitionPolicy: config.PartitionRefuse,
		Policy:          config.PolicyGoodput,
	}
	for i, url := range up.Prefill {
		models.Upstreams = append(models.Upstreams, engineUpstream(fmt.Sprintf("prefill-%d", i+1), url, config.RolePrefill, 0))
	}
	for i, url := range up.Decode {
		models.Upstreams = append(models.Upstreams, engineUpstream(fmt.Sprintf("decode-%d", i+1), url, config.RoleDecode, 20))
	}
	orders := config.Service{
		Name:            "orders",
		Kind:            config.ServicePlain,
		PartitionPolicy: config.PartitionRefuse,
		Policy:          config.PolicyFair,
		Routes: []config.Route{
			{Path: "/call", Methods: []string{"POST"}, CostTokens: 10},
			{Path: "/lookup/*", Methods: []string{"GET"}, Idempotent: true, CostTokens: 1},
			{Path: "/public/*", Methods: []string{"GET"}, Public: true, Idempotent: true},
		},
	}
	for i, url := range up.Plain {
		orders.Upstreams = append(orders.Upstreams, config.Upstream{
			ID: core.UpstreamID(fmt.Sprintf("orders-%d", i+1)), URL: url, Role: config.RolePlain, DataCentre: DataCentre,
		})
	}
	return &config.Document{
		Environment:        "trial-site",
		StoreRegion:        Region,
		DataCentres:        []config.DataCentre{{Name: DataCentre, Region: Region, LinkMbps: 8000}},
		Services:           []config.Service{models, orders},
		Accounts:           accounts,
		UpstreamCredential: Credential,
		ResumeKeys:         []config.ResumeKey{{ID: "r1", Secret: ResumeKey}},
	}
}

func engineUpstream(id, url string, role config.Role, slots int) config.Upstream {
	return config.Upstream{
		ID:         core.UpstreamID(id),
		URL:        url,
		Role:       role,
		DataCentre: DataCentre,
		Slots:      slots,
		Models:     []core.ModelName{Model},
	}
}

// settingsFile mirrors server.Settings, whose secrets are not encoded.
type settingsFile struct {
	Instance    string            `json:"instance"`
	DataCentre  string            `json:"data_centre"`
	Region      string            `json:"region"`
	StoreRegion string            `json:"store_region"`
	CallerAddr  string            `json:"caller_addr"`
	PeerAddr    string            `json:"peer_addr"`
	StatusAddr  string            `json:"status_addr"`
	Platform    string            `json:"platform"`
	FleetSecret string            `json:"fleet_secret"`
	Secrets     map[string]string `json:"secrets"`
	LogLevel    string            `json:"log_level"`
}

// Settings returns the settings file of an Instance that listens on free loopback
// ports.
func Settings(instance, platformURL, logLevel string) []byte {
	const anyPort = "127.0.0.1:0"
	text, err := json.MarshalIndent(settingsFile{
		Instance:    instance,
		DataCentre:  string(DataCentre),
		Region:      string(Region),
		StoreRegion: string(Region),
		CallerAddr:  anyPort,
		PeerAddr:    anyPort,
		StatusAddr:  anyPort,
		Platform:    platformURL,
		FleetSecret: FleetSecret,
		Secrets:     map[string]string{Credential: CredentialText, ResumeKey: ResumeSecret},
		LogLevel:    logLevel,
	}, "", "  ")
	if err != nil {
		panic(err) // strings and maps of strings always encode
	}
	return append([]byte("// Settings of a trial instance.\n"), text...)
}

// Prompt returns a prompt of about the given number of tokens.
func Prompt(topic string, tokens int) string {
	const sentence = "Describe the house style of the client in detail. "
	return topic + ": " + strings.Repeat(sentence, max(1, tokens*4/len(sentence)))
}
