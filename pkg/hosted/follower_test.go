package hosted

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against large configurations that cross a slow link once for each Instance and version: a
// follower leaves the next versions to its peers while they send some, and does not read those again.
// It watches again in time when they send none.
func TestFollowerDoesNotReadWhatPeersHaveSent(t *testing.T) {
	is := is.New(t)
	const apply, gap, versions = 800 * time.Millisecond, 250 * time.Millisecond, 6
	store := newFakeStore(plainRouting(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDaemonWith(t, store, zap.NewNop(), func(s *Settings) { s.ConfigApplyMS = float64(apply.Milliseconds()) })
	d.follower.Store(true)
	d.setLiveInstances(62)
	go d.syncRouting(ctx, 0)
	watches := func() []core.StoreRevision {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.from
	}
	for len(watches()) == 0 {
		time.Sleep(time.Millisecond)
	}
	for version := range core.Version(versions) {
		store.setConfig(plainRouting(2 + version))
		if version > 0 {
			d.config.Store(newHeldConfig(*store.config)) // as sent by a peer
		}
		time.Sleep(gap)
		is.Equal(len(watches()), 1)
	}
	time.Sleep(apply)
	is.Equal(len(watches()), 2)
	is.Equal(watches()[1], store.revision)

	store.setConfig(plainRouting(2 + versions))
	time.Sleep(gap / 2)
	d.config.Store(newHeldConfig(*store.config)) // of the own watch, put in force late
	time.Sleep(apply * 3 / 4)
	is.Equal(len(watches()), 3)
}
