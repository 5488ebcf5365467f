// Package configcheck checks a configuration before it is sent: errors that its loader reports,
// entries that can never match, limits that contradict each other, and differences from another
// version. It does no I/O. It knows the product's documents (config.Document) and the decoded form of
// a host platform's configuration (config.Routing); the adapter of the platform reads its text.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Severity says what a finding means for the loader.
type Severity string

// The severities.
const (
	// SeverityError: the loader rejects the configuration.
	SeverityError Severity = "error"
	// SeverityWarning: the configuration loads, but an entry cannot work.
	SeverityWarning Severity = "warning"
	// SeverityNote: a difference from the other version.
	SeverityNote Severity = "note"
)

// Code names a kind of finding.
type Code = config.Code

// CodeUnreadable is an error of the loader that the check has not located.
const CodeUnreadable Code = "unreadable"

// The codes of warnings. CodeKeyShared, CodeRouteHidden, CodeDuplicateName, CodeDuplicateField and
// CodeUnknownField of package config are warnings where the loader of the format accepts them.
const (
	CodeUnknownValue       Code = "unknown-value"        // a word that the loader takes for its default
	CodeRouteNeverMatches  Code = "route-never-matches"  // no path begins with the prefix
	CodeRouteNoService     Code = "route-no-service"     // no request of the route has a service
	CodeRouteNoRegion      Code = "route-no-region"      // the allowed regions are none or unknown
	CodeRouteNoUpstream    Code = "route-no-upstream"    // no Upstream is registered where the route may run
	CodeRouteNoAccount     Code = "route-no-account"     // needs a key that no account has
	CodeRegionUnknown      Code = "region-unknown"       // a name among the allowed regions
	CodeShareNeverPicked   Code = "share-never-picked"   // unknown service or no weight
	CodeServiceUnused      Code = "service-unused"       // no route or account leads to it
	CodeUpstreamUnused     Code = "upstream-unused"      // an engine without a counterpart in its region
	CodeAccountNoRoute     Code = "account-no-route"     // nothing that the account may use
	CodeAccountNoKey       Code = "account-no-key"       // none, or only revoked ones
	CodeAccountNoRegion    Code = "account-no-region"    // its regions exclude all routes
	CodeBurstBelowRequest  Code = "burst-below-request"  // a request that a route allows is never admitted
	CodeBurstWithoutRate   Code = "burst-without-rate"   // no rate means no limit
	CodeLimitBelowOne      Code = "limit-below-one"      // a fraction that counts as 0
	CodeLimitNegative      Code = "limit-negative"       // a rate or burst below 0
	CodeRateAboveEngines   Code = "rate-above-engines"   // more than all engines serve
	CodeTimeoutNone        Code = "timeout-none"         // no attempt fits into the time
	CodeTargetAboveTimeout Code = "target-above-timeout" // a latency target above the timeout
	CodeAttemptsUnused     Code = "attempts-unused"      // several attempts of which only one can be made
	CodeColdRateWithout    Code = "cold-rate-without"    // a cold rate without a cold time
	CodeColdTimeWithout    Code = "cold-time-without"    // a cold time without a cold rate
	CodeBodyAboveMemory    Code = "body-above-memory"    // no instance can hold the largest body
)

// Finding is one finding with its place in the checked file.
type Finding struct {
	File string `json:"file"`
	// Line and Column start at 1; Column counts bytes. A field that is not present has the place of the
	// object that lacks it, a removed entry that of the list.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path names the field, as in accounts[3].keys[0]. It is empty for the document itself.
	Path     string   `json:"path"`
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	Message  string   `json:"message"`
	// more is the number of findings that this one stands for, 0 for itself.
	more int
}

// String returns the finding as one line. An error has the form of config.Finding.
func (f Finding) String() string {
	place := config.Finding{File: f.File, Line: f.Line, Column: f.Column, Path: f.Path, Message: f.Message}
	if f.Severity != SeverityError {
		place.Message = fmt.Sprintf("%s: %s [%s]", f.Severity, f.Message, f.Code)
	}
	return place.String()
}

// Count returns the number of findings of a severity, with those that are not listed.
func Count(list []Finding, severity Severity) int {
	n := 0
	for _, finding := range list {
		if finding.Severity == severity {
			n += max(1, finding.more)
		}
	}
	return n
}

// Sort orders findings by place.
func Sort(list []Finding) {
	slices.SortStableFunc(list, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// maxOfCode bounds the findings of one code, so that a change of 27,000 accounts does not hide
// findings of other kinds.
const maxOfCode = 1000

// Reporter collects findings of one file.
type Reporter struct {
	places   *Places
	findings []Finding
	count    map[Code]int
}

// NewReporter returns a Reporter without findings.
func NewReporter(places *Places) *Reporter {
	return &Reporter{places: places, count: map[Code]int{}}
}

// Warn adds a warning at a path.
func (r *Reporter) Warn(code Code, path, format string, args ...any) {
	r.add(SeverityWarning, code, path, format, args...)
}

func (r *Reporter) add(severity Severity, code Code, path, format string, args ...any) {
	if r.count[code] < maxOfCode { // finding the place costs a pass over the members
		r.addAt(severity, code, r.places.offset(path), path, format, args...)
		return
	}
	r.count[code]++
}

func (r *Reporter) addAt(severity Severity, code Code, offset int, path, format string, args ...any) {
	r.count[code]++
	if r.count[code] > maxOfCode {
		return
	}
	line, column := r.places.position(offset)
	r.findings = append(r.findings, Finding{
		File: r.places.file, Line: line, Column: column, Path: path, Severity: severity, Code: code, Message: fmt.Sprintf(format, args...),
	})
}

// Findings returns the findings in the order of the text. A code with more than maxOfCode findings
// has one more with the number of the others.
func (r *Reporter) Findings() []Finding {
	list := slices.Clone(r.findings)
	Sort(list)
	for i := len(list) - 1; i >= 0; i-- {
		last := list[i]
		if more := r.count[last.Code] - maxOfCode; more > 0 {
			last.Path, last.more, last.Message = "", more, fmt.Sprintf("%d more findings of this code are not listed", more)
			list = append(list, last)
			r.count[last.Code] = maxOfCode
		}
	}
	return list
}
