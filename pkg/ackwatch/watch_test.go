package ackwatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// playWatch observes a connection at instants 1 s apart and returns the largest time for which an
// acknowledgement was owed.
func playWatch(length time.Duration, at func(now time.Duration) Sample) time.Duration {
	var w Watch
	var longest time.Duration
	start := time.Now()
	for now := time.Duration(0); now <= length; now += time.Second {
		longest = max(longest, w.Observe(start.Add(now), at(now)))
	}
	return longest
}

// roundTrip is how long an answer takes in these tests.
const roundTrip = 60 * time.Millisecond

// lastSend returns when data was last sent before now if the intervals between two sends double.
func lastSend(now time.Duration) time.Duration {
	sent := time.Duration(0)
	for gap := 200 * time.Millisecond; sent+gap <= now; gap *= 2 {
		sent += gap
	}
	return sent
}

// Guards against a caller that is counted as gone because it reads nothing for long: it answers each
// probe of its closed window, which come ever more seldom.
func TestPeerWithAClosedWindowIsNotGone(t *testing.T) {
	is := is.New(t)
	for offset := time.Duration(0); offset < time.Second; offset += 10 * time.Millisecond { // of the samples
		longest := playWatch(10*time.Minute, func(now time.Duration) Sample {
			now += offset
			answered := lastSend(max(0, now-roundTrip))
			s := Sample{SinceSend: now, SinceAck: now - answered - min(roundTrip, now)}
			if lastSend(now) > answered {
				s.Probes = 1
			}
			return s
		})
		is.True(longest <= time.Second)
	}
}

// Guards against the same where the kernel sends data again as a probe.
func TestPeerThatAcknowledgesRepeatedDataIsNotGone(t *testing.T) {
	is := is.New(t)
	longest := playWatch(10*time.Minute, func(now time.Duration) Sample {
		sent := lastSend(now)
		return Sample{SinceSend: now - sent, SinceAck: max(0, now-lastSend(max(0, now-roundTrip))-roundTrip)}
	})
	is.True(longest <= time.Second)
}

// Guards against a caller that is gone and not noticed, with data on the way or with a closed window.
func TestSilentPeerIsGone(t *testing.T) {
	is := is.New(t)
	is.True(playWatch(8*time.Second, func(now time.Duration) Sample {
		return Sample{SinceSend: now - lastSend(now), SinceAck: now + 10*time.Millisecond}
	}) >= 6*time.Second)
	is.True(playWatch(8*time.Second, func(now time.Duration) Sample {
		return Sample{SinceSend: now + 10*time.Millisecond, SinceAck: now + 10*time.Millisecond, Probes: 3}
	}) >= 6*time.Second)
}

// Guards against a peer that is counted as gone while nothing is sent to it.
func TestQuietPeerIsNotGone(t *testing.T) {
	is := is.New(t)
	is.Equal(playWatch(time.Hour, func(now time.Duration) Sample { return Sample{SinceSend: now + roundTrip, SinceAck: now} }), time.Duration(0))
}
