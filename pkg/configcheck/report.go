package configcheck

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Options are what a configuration does not say about its deployment. The zero value of each means
// that it is not known; checks that need it are left out then.
type Options struct {
	// MemoryBytes is the memory of the smallest machine.
	MemoryBytes int64
	// DataCentres holds the region of each DataCentre.
	DataCentres map[core.DataCentreName]core.RegionName
	// EngineTokens is the number of tokens a second, prompt and output, that one engine serves.
	EngineTokens int64
	// Upstreams are the registered ones of a host platform.
	Upstreams []catalog.Upstream
}

// Report is the result of the check of one configuration.
type Report struct {
	Findings           []Finding
	Services, Accounts int
	// entries are what Compare compares; nil if there are errors.
	entries *entries
}

// HasErrors reports whether the loader rejects the configuration.
func (r *Report) HasErrors() bool { return Count(r.Findings, SeverityError) > 0 }

// kind is the kind of an entry.
type kind string

const (
	kindDocument   kind = "document"
	kindDataCentre kind = "data-centre"
	kindService    kind = "service"
	kindUpstream   kind = "upstream"
	kindRoute      kind = "route"
	kindAccount    kind = "account"
	kindKey        kind = "key"
)

type entryID struct {
	kind kind
	name string
}

// entry is an entry of a configuration in the form that Compare needs.
type entry struct {
	entryID
	// owner is the entry that holds the list of this one, the zero value for the configuration itself.
	owner entryID
	list  string // name of the list in the owner
	path  string
	label string // replaces the name in messages
	// fields are compared one by one.
	fields []entryField
}

// entryField is a field of an entry. Its value is shown in messages, so it is no secret.
type entryField struct {
	name string // in operators' words
	path string // relative to the entry
	// value is compared and shown, unless isSecret is set.
	value    string
	isSecret bool
	// limit is limitRate or limitBurst for a limit, whose direction of change matters. number is its value.
	limit  string
	number int64
	// effect is the code of the effect of a change if that depends on the field.
	effect string
}

// entries are the entries of one configuration in the order of its text.
type entries struct {
	places *Places
	list   []entry
	byID   map[entryID]entry
}

func newEntries(places *Places) *entries { return &entries{places: places, byID: map[entryID]entry{}} }

func (e *entries) add(item entry) {
	if _, duplicate := e.byID[item.entryID]; duplicate {
		return // the check of the configuration reports it
	}
	e.byID[item.entryID] = item
	e.list = append(e.list, item)
}

// listPath returns the path of the list of these entries that would hold an entry of other ones.
func (e *entries) listPath(item entry, other *entries) string {
	if item.owner == (entryID{}) {
		return item.list
	}
	if owner, found := e.byID[item.owner]; found {
		return join(owner.path, item.list)
	}
	return e.listPath(other.byID[item.owner], other)
}

func join(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}
