// Package ackwatch tells a TCP peer that is gone from one that reads slowly. The kernel's own limit,
// TCP_USER_TIMEOUT, also ends a connection whose peer acknowledges every probe but keeps its window closed.
package ackwatch

import "time"

// Sample is the state of a TCP connection at one moment.
type Sample struct {
	// SinceAck is the time since the last acknowledgement was received.
	SinceAck time.Duration
	// SinceSend is the time since data was last sent or sent again.
	SinceSend time.Duration
	// Probes counts the probes of a closed window that were not answered.
	Probes int
}

// unanswered reports whether the peer was sent something that it has not acknowledged yet.
func (s Sample) unanswered() bool { return s.SinceSend < s.SinceAck || s.Probes > 0 }

// Watch follows the samples of one connection. The zero value has seen none.
type Watch struct {
	// waiting is set while something that was sent is unanswered, since is the instant of the first
	// sample that showed it.
	waiting bool
	since   time.Time
}

// Observe adds a sample and returns the time for which the peer is known to owe an acknowledgement, 0 if
// it owes none.
func (w *Watch) Observe(now time.Time, s Sample) time.Duration {
	if !s.unanswered() {
		w.waiting = false
		return 0
	}
	if !w.waiting || s.SinceAck < now.Sub(w.since) {
		w.waiting, w.since = true, now
	}
	return now.Sub(w.since)
}
