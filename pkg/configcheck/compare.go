package configcheck

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// Compare returns the differences of a configuration from the one that it replaces, with their effect
// on running requests. Their places are in the new one. Both must have the same format. Without a
// configuration to replace, or with errors in one of them, there is nothing to compare.
func Compare(from, to *Report) []Finding {
	if from == nil || from.entries == nil || to.entries == nil {
		return nil
	}
	r := NewReporter(to.entries.places)
	for _, old := range from.entries.list {
		updated, found := to.entries.byID[old.entryID]
		if !found {
			r.note(string(old.kind), "removed", to.entries.listPath(old, from.entries), old.title()+" is removed")
			continue
		}
		r.compareFields(old, updated)
	}
	for _, item := range to.entries.list {
		if _, found := from.entries.byID[item.entryID]; !found {
			r.note(string(item.kind), "added", item.path, item.title()+" is added")
		}
	}
	return r.Findings()
}

func (e entry) title() string {
	if e.kind == kindDocument {
		return "the configuration"
	}
	return strings.ReplaceAll(string(e.kind), "-", " ") + " " + cmp.Or(e.label, e.name)
}

func (r *Reporter) compareFields(old, updated entry) {
	before := map[string]entryField{}
	for _, field := range old.fields {
		before[field.name] = field
	}
	for _, field := range updated.fields {
		previous := before[field.name]
		if previous.value == field.value {
			continue
		}
		path, what := join(updated.path, field.path), field.name+" of "+updated.title()
		switch {
		case field.limit != "" && field.isBelow(previous):
			r.note(field.limit, "lowered", path, what+" is lowered "+change(previous, field))
		case field.limit != "":
			r.note(field.limit, "raised", path, what+" is raised "+change(previous, field))
		case field.effect != "":
			r.note(field.effect, "changed", path, what+" changes "+change(previous, field))
		default:
			r.note(string(updated.kind), "changed", path, what+" changes "+change(previous, field))
		}
	}
}

func change(from, to entryField) string {
	if to.isSecret {
		return "(not shown)"
	}
	return "from " + shown(from.value) + " to " + shown(to.value)
}

func shown(value string) string {
	const limit = 120
	switch {
	case value == "":
		return "none"
	case len(value) > limit:
		return value[:limit] + "..."
	}
	return value
}

// isBelow reports whether a limit is tighter than the previous one. The value 0 of a rate means no limit.
func (f entryField) isBelow(previous entryField) bool {
	if f.limit == limitRate && (f.number == 0 || previous.number == 0) {
		return previous.number == 0
	}
	return f.number < previous.number
}

const (
	limitRate  = "rate"
	limitBurst = "burst"
)

// integer returns a field with a whole number.
func integer[N ~int | ~int64](name, path string, value N) entryField {
	return entryField{name: name, path: path, value: strconv.FormatInt(int64(value), 10)}
}

// text returns a field with any other value.
func text(name, path string, value any) entryField {
	return entryField{name: name, path: path, value: fmt.Sprint(value)}
}

func limit(code, path string, value int64) entryField {
	f := integer(code, path, value)
	f.limit, f.number = code, value
	return f
}

// withEffect sets the code of the effect of a change.
func (f entryField) withEffect(effect string) entryField {
	f.effect = effect
	return f
}

// Codes of effects, without "-changed".
const (
	effectRegions = "allowed-regions"
	effectAccount = "key-account"
	effectNeed    = "need-of-keys"
	effectState   = "key-state"
	effectAddress = "upstream-address"
)

const endOfKey = "as soon as an instance knows it, at the latest when the version is in force: waiting requests with the key are " +
	"refused, and no stream can be resumed with it; responses that run are finished"

// effects says what a difference does to running requests, by the code of its note.
var effects = map[string]string{
	"service-added":            "it takes requests once the version is in force and an upstream serves it",
	"service-removed":          "it drains: responses that run are finished, new requests are refused",
	"service-changed":          "applies to requests that are placed after the version is in force",
	"upstream-added":           "it gets requests once the version is in force",
	"upstream-removed":         "it gets nothing new; responses that run there are finished",
	"upstream-changed":         "applies to requests that are placed after the version is in force",
	"upstream-address-changed": "requests that run at the former address are finished, new ones go to the new address",
	"route-added":              "matches requests that arrive after the version is in force",
	"route-removed":            "responses that run are finished; a new request goes to another route that matches, or is refused",
	"route-changed":            "applies to requests that arrive after the version is in force",
	"allowed-regions-changed":  "waiting requests, and those with a hold, go by the new list; those that run continue",
	"account-added":            "its keys work once the version is in force; its bucket starts empty",
	"account-removed":          "its keys end " + endOfKey,
	"account-changed":          "applies to requests that arrive after the version is in force; those that run continue",
	"key-added":                "it works once the version is in force",
	"key-removed":              "it ends " + endOfKey,
	"key-changed":              "the former key ends " + endOfKey,
	"key-account-changed":      "its requests are charged to the new account once the version is in force; it goes on working",
	"key-state-changed":        "a key that is revoked ends " + endOfKey,
	"need-of-keys-changed":     "without a list of accounts, no route needs a key; with one, waiting requests without a valid key are refused once the version is in force",
	"rate-lowered":             "binds one quota window after the version is in force, since what was admitted before counts by the former rate; no running request ends",
	"rate-raised":              "applies once the version is in force",
	"burst-lowered":            "requests that cost more are refused once the version is in force; what was admitted before keeps its tokens",
	"burst-raised":             "applies once the version is in force; the bucket fills at the rate",
	"data-centre-added":        "has no effect until an upstream or an instance is in it",
	"data-centre-removed":      "nothing is placed there any more",
	"data-centre-changed":      "applies to transfers that begin after the version is in force",
	"document-changed":         "applies once the version is in force; responses that run are finished",
}

// note adds a difference with its effect.
func (r *Reporter) note(what, change, path, message string) {
	code := what + "-" + change
	r.add(SeverityNote, Code(code), path, "%s: %s", message, effects[code])
}
