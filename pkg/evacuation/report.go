package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Report is what a heartbeat carries of the evacuations. Times are in milliseconds, which take fewer
// bytes.
type Report struct {
	// At is the revision of the store that is described, its number 0 if nothing is known.
	At core.StoreRevision
	// AgeMS is the time since the state was known to be complete in the store, when the report was
	// made. SentMS is the instant of that on the clock of the sender.
	AgeMS  int64
	SentMS int64
	// InForce holds the data centres in the store, with the time since an Instance first knew.
	InForce []ReportedZone
	// Kept holds those that an earlier era of the store listed, with the time for which they stay in
	// force.
	Kept []ReportedZone
}

// ReportedZone is a data centre in a Report.
type ReportedZone struct {
	DataCentre core.DataCentreName
	MS         int64
}

// Report returns what peers are told, nil if the deployment has no evacuations.
func (s *State) Report(now core.Instant) *Report {
	if !s.Enabled() {
		return nil
	}
	report := &Report{SentMS: time.Duration(now).Milliseconds()}
	if !s.known || s.confirmedAt == neverConfirmed {
		return report
	}
	report.At = s.at
	report.AgeMS = now.Sub(s.confirmedAt).Milliseconds() + 1
	for _, dc := range slices.Sorted(maps.Keys(s.listed)) {
		report.InForce = append(report.InForce, ReportedZone{dc, now.Sub(s.listed[dc]).Milliseconds()})
	}
	for _, dc := range slices.Sorted(maps.Keys(s.kept)) {
		if left := s.kept[dc].Sub(now); left > 0 {
			report.Kept = append(report.Kept, ReportedZone{dc, left.Milliseconds()})
		}
	}
	return report
}

// delay tracks how long the reports of one incarnation of a peer are on their way.
type delay struct {
	incarnation core.Incarnation
	// offset is the smallest difference seen between the clock of this Instance at the arrival of a
	// report and that of its sender when it was made.
	offset core.Instant
	lastAt core.Instant
}

// maxDrift is the rate at which the clocks of two machines may drift apart.
const maxDrift = 0.001

// extraDelay returns by how much a report was later than the fastest one of its sender. It reports
// false for the first one, which has nothing to compare with.
func (s *State) extraDelay(now core.Instant, from core.InstanceRef, sentMS int64) (time.Duration, bool) {
	offset := now.Add(-time.Duration(sentMS) * time.Millisecond)
	d := s.delays[from.ID]
	if d == nil || d.incarnation < from.Incarnation {
		s.delays[from.ID] = &delay{incarnation: from.Incarnation, offset: offset, lastAt: now}
		return 0, false
	}
	if from.Incarnation < d.incarnation {
		return 0, false
	}
	d.offset = min(offset, d.offset.Add(time.Duration(float64(now.Sub(d.lastAt))*maxDrift)))
	d.lastAt = now
	return offset.Sub(d.offset), true
}

// OnReport processes the report of a peer. The list of a later revision is taken over in any case; the
// confirmation counts with the time for which the report was on its way, so that one that a partition
// has delayed keeps no Instance from reading the store.
func (s *State) OnReport(now core.Instant, from core.InstanceRef, report *Report) []Event {
	if !s.Enabled() || report == nil {
		return nil
	}
	extra, measured := s.extraDelay(now, from, report.SentMS)
	if report.At.Number == 0 {
		return nil
	}
	age := time.Duration(report.AgeMS)*time.Millisecond + extra
	events := s.ObserveEra(now, report.At.Era)
	if report.At.Era < s.era {
		return events
	}
	if !s.known || !report.At.Before(s.at) {
		events = append(events, s.applyReport(now, from.ID, report, extra)...)
	}
	if measured {
		s.confirm(now.Add(-age))
	}
	s.isRecent = s.isRecent || age <= s.params.Bound
	return events
}

// applyReport takes over the list of a report that was on its way for extra.
func (s *State) applyReport(now core.Instant, from core.InstanceID, report *Report, extra time.Duration) []Event {
	listed := make(map[core.DataCentreName]core.Instant, len(report.InForce))
	for _, zone := range report.InForce {
		listed[zone.DataCentre] = now.Add(-time.Duration(zone.MS)*time.Millisecond - extra)
	}
	events := s.replace(now, report.At, listed, from)
	return append(events, s.keepReported(now, from, report.Kept)...)
}

// keepReported takes over what peers have kept of an earlier era that this Instance has not seen.
func (s *State) keepReported(now core.Instant, from core.InstanceID, kept []ReportedZone) []Event {
	var events []Event
	for _, zone := range kept {
		left := min(time.Duration(zone.MS)*time.Millisecond, s.params.Bound)
		if s.hasKept[zone.DataCentre] || left <= 0 {
			continue
		}
		if !s.InForce(zone.DataCentre) {
			events = append(events, s.event(now, EventBegan, zone.DataCentre, from))
		}
		s.kept[zone.DataCentre], s.hasKept[zone.DataCentre] = now.Add(left), true
	}
	return events
}

// Forget removes what is known of a peer that is gone.
func (s *State) Forget(id core.InstanceID) { delete(s.delays, id) }
