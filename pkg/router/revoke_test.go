package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// Guards against a request that waits in a queue when its key is revoked and is
// started afterwards (G5). Running requests must complete.
func TestRevokedKeyLeavesTheQueue(t *testing.T) {
	is := is.New(t)
	opts := smallFleet(3)
	opts.Document.Services[0].Policy = config.PolicyFair // queues instead of refusing
	w := virtual.New(opts)
	waitUntilReady(t, w)
	entry := w.Instances()[0].View().Instance.ID
	const sent = 160 // more than the 80 slots of the region
	for range sent {
		w.Send(entry, completion("a", 200, 400))
		w.RunUntil(w.Now() + 5*time.Millisecond)
	}
	w.RunUntil(w.Now() + 300*time.Millisecond)
	opts.Document.Accounts[0].Keys[0].Revoked = true
	w.Promote(opts.Document)
	w.RunUntil(w.Now() + 4*time.Second)
	waiting := map[core.RequestID]int{}
	for _, r := range w.Sequence {
		waiting[r.ID] = r.Sent
	}
	w.RunUntil(w.Now() + 40*time.Second)
	completed, refused := 0, 0
	for _, r := range w.Sequence {
		switch {
		case r.Completed:
			completed++
			if r.Sent != waiting[r.ID] {
				t.Errorf("%s was started after its key was revoked", r.ID)
			}
		case r.Refusal != nil:
			refused++
			is.Equal(r.Refusal.Code, core.CodeKeyRevoked)
			is.Equal(r.Refusal.Ran, core.NotRun)
		}
	}
	is.Equal(completed+refused, sent)
	t.Logf("%d completed, %d refused", completed, refused)
	is.True(completed > 0)
	is.True(refused > 0)
}
