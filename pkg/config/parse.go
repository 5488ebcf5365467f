package config

import (
	"fmt"
	"regexp"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/tailscale/hujson"
)

// Limits of a document. The maximum numbers of accounts, models, engines and data
// centres exceed the target size of 27,000, 35, 1,300 and 5 by a factor of three
// or more.
const (
	maxDocumentBytes = 64 << 20
	maxDepth         = 16 // a valid document has a depth of 6
	maxDataCentres   = 64
	maxServices      = 128
	maxModels        = 128 // of a service
	maxUpstreams     = 4096
	maxRoutes        = 256 // of a service
	maxAccounts      = 100_000
	maxKeys          = 32 // of an account
	maxResumeKeys    = 2
	maxSlots         = 4096
	maxNameLength    = 64
	maxModelLength   = 128
	maxPathLength    = 512
	maxMilliseconds  = 600_000
	maxLinkMbps      = 1_000_000
	maxWeight        = 1000
	maxPriority      = 100
	// maxTokens limits rates and bursts. Buckets count token-nanoseconds in signed
	// 64-bit integers, which overflow at 9.2e9 tokens.
	maxTokens = 1_000_000_000
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/:-]*[A-Za-z0-9])?$`)
	secretPattern = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_.-]*$`)
)

const (
	nameRule   = "lower-case letters, digits and inner hyphens"
	modelRule  = "letters, digits and inner . _ / : -"
	secretRule = "the name of an environment variable or settings entry, not the secret"
)

// Parse reads a document in JSON with comments. The name is the file name for the
// findings. It returns the findings of the complete document, up to a limit; the
// document is nil if there are any.
func Parse(name string, text []byte) (*Document, Findings) {
	r := newReader(name, nil)
	if len(text) > maxDocumentBytes {
		r.report(CodeTooLarge, 0, "", fmt.Sprintf("document has %d bytes, at most %d are allowed", len(text), maxDocumentBytes))
		return nil, r.finish()
	}
	r = newReader(name, text)
	// hujson.Parse is recursive: without this limit, 64 MB of brackets overflow the stack.
	if depth, offset := depthOf(text); depth > maxDepth {
		r.report(CodeTooLarge, offset, "", fmt.Sprintf("nesting of %d levels, at most %d are allowed", depth, maxDepth))
		return nil, r.finish()
	}
	value, err := hujson.Parse(text)
	if err != nil {
		r.reportSyntax(err)
		return nil, r.finish()
	}
	p := newParser()
	doc := p.document(field{r: r, offset: value.StartOffset, value: value.Value, present: true})
	if findings := r.finish(); len(findings) > 0 {
		return nil, findings
	}
	return doc, nil
}

// IsNestedTooDeep reports whether Parse rejects a text for its nesting. Other parsers that recurse need
// the check too.
func IsNestedTooDeep(text []byte) bool {
	depth, _ := depthOf(text)
	return depth > maxDepth
}

var syntaxErrorPattern = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (?s:(.*))$`)

func (r *reader) reportSyntax(err error) {
	finding := Finding{File: r.file, Line: 1, Column: 1, Code: CodeSyntax, Message: err.Error()}
	if m := syntaxErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		fmt.Sscan(m[1], &finding.Line)
		fmt.Sscan(m[2], &finding.Column)
		finding.Message = "syntax: " + m[3]
	}
	r.findings = append(r.findings, finding)
}

// parser holds the names that references and uniqueness are checked against.
type parser struct {
	regions     map[core.RegionName]bool
	dataCentres map[core.DataCentreName]core.RegionName
	services    map[core.ServiceName]string // path of the first use, as in the maps below
	models      map[core.ModelName]string
	upstreams   map[core.UpstreamID]string
	urls        map[string]string
	accounts    map[core.AccountID]string
	digests     map[string]string
	routes      routeSet
}

func newParser() *parser {
	return &parser{
		regions:     map[core.RegionName]bool{},
		dataCentres: map[core.DataCentreName]core.RegionName{},
		services:    map[core.ServiceName]string{},
		models:      map[core.ModelName]string{},
		upstreams:   map[core.UpstreamID]string{},
		urls:        map[string]string{},
		accounts:    map[core.AccountID]string{},
		digests:     map[string]string{},
	}
}

// checkUnique reports an id that is already in used, which maps ids to the path of
// their first use. The field must hold a string.
func checkUnique[K ~string](f field, used map[K]string, id K, what string) {
	if first, duplicate := used[id]; duplicate {
		code := CodeDuplicateName
		if what == "digest" {
			code = CodeKeyShared
		}
		f.fail(code, "%s %s is already used at %s", what, f.quoted(), first)
		return
	}
	used[id] = f.path
}

func (f field) name() string {
	text, _ := f.matchPattern(namePattern, maxNameLength, nameRule)
	return text
}

// document reads data centres before services and services before accounts,
// regardless of their order in the text, since accounts refer to services and services
// to data centres.
func (p *parser) document(f field) *Document {
	o, ok := f.object("environment", "store_region", "data_centres", "services", "accounts",
		"upstream_credential", "resume_keys")
	if !ok {
		return nil
	}
	doc := &Document{
		Environment: o.required("environment").name(),
		StoreRegion: core.RegionName(o.required("store_region").name()),
	}
	doc.UpstreamCredential, _ = o.member("upstream_credential").matchPattern(secretPattern, maxNameLength, secretRule)
	doc.DataCentres = p.dataCentreList(o.required("data_centres"))
	if region := o.member("store_region"); region.present && doc.StoreRegion != "" && !p.regions[doc.StoreRegion] {
		region.fail(CodeUnknownReference, "no data centre is in region %q", doc.StoreRegion)
	}
	for _, element := range o.member("services").list(maxServices) {
		doc.Services = append(doc.Services, p.service(element))
	}
	if len(p.upstreams) > maxUpstreams {
		o.member("services").fail(CodeTooLarge, "has %d upstreams, at most %d are allowed", len(p.upstreams), maxUpstreams)
	}
	for _, element := range o.member("accounts").list(maxAccounts) {
		doc.Accounts = append(doc.Accounts, p.account(element))
	}
	doc.ResumeKeys = p.resumeKeys(o.member("resume_keys"))
	return doc
}

func (p *parser) dataCentreList(f field) []DataCentre {
	var list []DataCentre
	used := map[core.DataCentreName]string{}
	for _, element := range f.list(maxDataCentres) {
		o, ok := element.object("name", "region", "link_mbps")
		if !ok {
			continue
		}
		dc := DataCentre{
			Name:     core.DataCentreName(o.required("name").name()),
			Region:   core.RegionName(o.required("region").name()),
			LinkMbps: o.required("link_mbps").integer(0, 1, maxLinkMbps),
		}
		if dc.Name != "" {
			checkUnique(o.member("name"), used, dc.Name, "data centre")
			p.dataCentres[dc.Name] = dc.Region
		}
		p.regions[dc.Region] = true
		list = append(list, dc)
	}
	return list
}

func (p *parser) resumeKeys(f field) []ResumeKey {
	var list []ResumeKey
	used := map[string]string{}
	for _, element := range f.list(maxResumeKeys) {
		o, ok := element.object("id", "secret")
		if !ok {
			continue
		}
		key := ResumeKey{ID: o.required("id").name()}
		key.Secret, _ = o.required("secret").matchPattern(secretPattern, maxNameLength, secretRule)
		if key.ID != "" {
			checkUnique(o.member("id"), used, key.ID, "resume key")
		}
		list = append(list, key)
	}
	return list
}

func (p *parser) account(f field) ClientAccount {
	o, ok := f.object("id", "weight", "priority", "rate_tokens_per_second", "burst_tokens", "services", "keys")
	if !ok {
		return ClientAccount{}
	}
	account := ClientAccount{
		ID:                  core.AccountID(o.required("id").name()),
		Weight:              int(o.member("weight").integer(1, 1, maxWeight)),
		Priority:            int(o.member("priority").integer(0, 0, maxPriority)),
		RateTokensPerSecond: o.required("rate_tokens_per_second").integer(0, 1, maxTokens),
		BurstTokens:         o.required("burst_tokens").integer(0, 1, maxTokens),
	}
	if account.ID != "" {
		checkUnique(o.member("id"), p.accounts, account.ID, "account")
	}
	account.Services = p.accountServices(o.member("services"))
	used := map[core.KeyID]string{}
	for _, element := range o.member("keys").list(maxKeys) {
		account.Keys = append(account.Keys, p.key(element, used))
	}
	return account
}

func (p *parser) accountServices(f field) []core.ServiceName {
	var list []core.ServiceName
	used := map[core.ServiceName]string{}
	for _, element := range f.list(maxServices) {
		text, ok := element.text()
		name := core.ServiceName(text)
		if !ok {
			continue
		}
		if _, found := p.services[name]; !found {
			element.fail(CodeUnknownReference, "service %s does not exist", quote(text))
			continue
		}
		checkUnique(element, used, name, "service")
		list = append(list, name)
	}
	return list
}

func (p *parser) key(f field, used map[core.KeyID]string) Key {
	o, ok := f.object("id", "salt", "digest", "revoked")
	if !ok {
		return Key{}
	}
	key := Key{ID: core.KeyID(o.required("id").name()), Revoked: o.member("revoked").boolean()}
	o.required("salt").decode(&key.Salt)
	o.required("digest").decode(&key.Digest)
	if key.ID != "" {
		checkUnique(o.member("id"), used, key.ID, "key")
	}
	// With an entry copied from another account, the secret of that account would also
	// be valid for this one.
	if key.Digest != (Digest{}) {
		checkUnique(o.member("digest"), p.digests, string(key.Digest[:]), "digest")
	}
	return key
}

// ValidName reports whether text may be the id of an account or a key.
func ValidName(text string) bool { return len(text) <= maxNameLength && namePattern.MatchString(text) }
