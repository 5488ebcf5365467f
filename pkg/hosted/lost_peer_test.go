package hosted

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// Guards against memory that grows with each heartbeat to a peer that is gone, whose address refuses or
// swallows connections.
func TestHeartbeatsToALostPeerAreNotKept(t *testing.T) {
	is := is.New(t)
	const accounts = 6000
	routing := plainRouting(1)
	for i := range accounts {
		routing.Accounts = append(routing.Accounts, config.HostedAccount{
			ID: core.AccountID(fmt.Sprintf("account-%d", i)), Keys: []config.KeyDigest{config.DigestKey(fmt.Sprint(i))}, Rate: 100, Burst: 100,
		})
	}
	store := newFakeStore(routing)
	store.members = []fleet.Member{
		{Ref: core.InstanceRef{ID: "lost", Incarnation: 1}, DataCentre: "a", Region: "r", CallerAddr: "127.0.0.1:1", PeerAddr: freeAddr(t)},
		{Ref: core.InstanceRef{ID: "mute", Incarnation: 1}, DataCentre: "a", Region: "r", CallerAddr: "127.0.0.1:1", PeerAddr: muteAddr(t)},
	}
	startDaemonWith(t, store, zap.NewNop(), func(*Settings) {})
	time.Sleep(2 * time.Second)
	before := liveHeap()
	time.Sleep(6 * time.Second)
	grown := liveHeap() - before
	is.True(grown < 8<<20) // 80 heartbeats of 0.3 MB or more each were due
}

// liveHeap returns the bytes in use after a garbage collection.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// muteAddr returns an address that takes connections and answers nothing.
func muteAddr(t *testing.T) string {
	t.Helper()
	addr := freeAddr(t)
	listener, err := listen(addr)
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	return addr
}
