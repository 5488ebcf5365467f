package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a configuration that the Instances of a large fleet take up only when a heartbeat
// or their own watch tells them of it: the readers of each Region announce it at once. One that has
// read it and is then frozen does not delay the others by more than a hedged fetch.
func TestHostedReadersAnnounceAConfiguration(t *testing.T) {
	// A configuration must be in force within 3 s where the bound is shortest: a quarter is for the
	// notices, and half where readers do not answer.
	for frozen, maxSpread := range map[int]time.Duration{0: 750 * time.Millisecond, readersFrozen: 1500 * time.Millisecond} {
		for _, instances := range []int{8, 95, 330} {
			is := is.New(t)
			f := newHostedFleet(1, instances, largeAccount())
			f.runFor(time.Second)
			var readers []int
			for i, r := range f.routers {
				if r.hosted.fleet.IsReader() {
					readers = append(readers, i)
				}
			}
			for _, i := range readers {
				f.step(i, RoutingReceived{Routing: hostedRouting(2), Revision: storeRevision(20)})
			}
			if instances > 8 {
				for _, i := range readers[:frozen] {
					f.frozen[i] = true
				}
			}
			f.runFor(maxSpread)
			behind := 0
			for i, r := range f.routers {
				if !f.frozen[i] && r.hosted.activeVersion() != 2 {
					behind++
				}
			}
			t.Logf("%d of %d Instances are behind; %d readers, %d frozen", behind, instances, len(readers), frozen)
			is.Equal(behind, 0)
		}
	}
}

// readersFrozen is the number of readers that freeze once they have announced a configuration.
const readersFrozen = 2

// Guards against every Instance that announces the configuration to its whole Region, and against
// notices of an older configuration that cause fetches.
func TestHostedNoticesAreOfReadersOnly(t *testing.T) {
	is := is.New(t)
	f := newHostedFleet(1, 62, largeAccount())
	f.runFor(4 * time.Second)
	follower := 0
	for f.routers[follower].hosted.fleet.IsReader() {
		follower++
	}
	for _, effect := range f.routers[follower].Step(f.now, RoutingReceived{Routing: hostedRouting(2), Revision: storeRevision(20)}) {
		if sent, ok := effect.(SendPeerMessage); ok {
			is.True(sent.Message.State == nil)
		}
	}
	from := f.routers[(follower+2)%62].HostedMember()
	for _, effect := range f.routers[follower].Step(f.now, PeerMessageReceived{From: from.Ref, Message: Message{
		State: &StateNotice{Member: from, ConfigAt: StateStamp{Version: 1, Revision: storeRevision(10)}},
	}}) {
		_, fetches := effect.(FetchState)
		is.True(!fetches)
	}
}
