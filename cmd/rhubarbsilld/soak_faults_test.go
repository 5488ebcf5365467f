package main

import (
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/faultnet"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// drawFault begins one fault. Those of links end by themselves or in heal.
func (s *soak) drawFault() {
	link, name := s.drawLink()
	length := time.Duration(200+s.rng.IntN(1500)) * time.Millisecond
	share := []float64{0.3, 1}[s.rng.IntN(2)]
	e := s.entries[s.rng.IntN(len(s.entries))]
	switch s.rng.IntN(10) {
	case 0, 1, 2:
		s.note("reset %.1f of %s", share, name)
		link.Reset(share)
	case 3:
		s.note("silence %.1f of %s", share, name)
		link.Silence(share)
	case 4:
		s.note("delay %s for %s", name, length)
		link.Delay(time.Duration(20+s.rng.IntN(200)) * time.Millisecond)
		time.AfterFunc(length, func() { link.Delay(0) })
	case 5:
		d := faultnet.Direction(s.rng.IntN(2))
		s.note("hold direction %d of %s for %s", d, name, length)
		link.Hold(d, true)
		time.AfterFunc(length, func() { link.Hold(d, false) })
	case 6:
		s.note("kill %s", e.settings)
		e.signal(syscall.SIGKILL)
		s.restart(e, length)
	case 7:
		s.note("stop %s", e.settings)
		e.signal(syscall.SIGTERM)
		s.restart(e, length)
	case 8:
		s.note("freeze %s for %s", e.settings, length)
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { e.signal(syscall.SIGCONT) })
	case 9:
		changes := 1 + s.rng.IntN(2)
		s.note("the store loses %d changes", changes)
		s.platform.Store.Restore(changes)
	}
}

// drawLink draws the proxy of an Upstream, of the store, or of the callers or peers of an Instance.
func (s *soak) drawLink() (*faultnet.Proxy, string) {
	e := s.entries[s.rng.IntN(len(s.entries))]
	switch s.rng.IntN(5) {
	case 0:
		return s.store, "the store"
	case 1:
		return e.entry, "callers of " + e.settings
	case 2:
		return e.peer, "peers of " + e.settings
	}
	link := s.upstream[s.rng.IntN(len(s.upstream))]
	return link, "Upstream " + link.Addr()
}

// heal ends all faults.
func (s *soak) heal() {
	s.note("heal")
	links := append([]*faultnet.Proxy{s.store}, s.upstream...)
	for _, e := range s.entries {
		links = append(links, e.entry, e.peer)
		e.signal(syscall.SIGCONT)
	}
	for _, link := range links {
		link.Delay(0)
		link.Hold(faultnet.ToTarget, false)
		link.Hold(faultnet.FromTarget, false)
	}
}

// checkServed checks that nearly all requests inside their account's rate are served.
func (s *soak) checkServed() {
	before := s.counts()
	time.Sleep(soakServeTime)
	after := s.counts()
	served, asked := 0, 0
	for outcome, n := range after {
		if outcome == "429" { // the limited account asks for more than its rate
			continue
		}
		asked += n - before[outcome]
		if outcome == "200" {
			served += n - before[outcome]
		}
	}
	s.note("served %d of %d after the faults", served, asked)
	if asked == 0 || float64(served) < minSoakServed*float64(asked) {
		s.t.Errorf("after the faults, %d of %d requests are served: %v, then %v", served, asked, before, after)
	}
}

// checkWithdrawnKey withdraws a key while connections to the store are reset.
func (s *soak) checkWithdrawnKey() {
	s.setConfig(func(c *wire.Config) { c.Tenants[0].Keys = c.Tenants[0].Keys[:1] })
	s.mu.Lock()
	s.keyDeadline = time.Now().Add(soakApply)
	s.mu.Unlock()
	s.note("key withdrawn")
	for range 3 {
		time.Sleep(soakApply / 3)
		s.store.Reset(1)
	}
	time.Sleep(soakServeTime / 2)
}

// checkNothingHeld checks that no memory of an engine is held once all requests have ended.
func (s *soak) checkNothingHeld() {
	deadline := time.Now().Add(soakContact)
	for _, id := range []string{"prefill-0", "prefill-1", "decode-0", "decode-1", "decode-2"} {
		for s.platform.Engine(id).UsedTokens() > 0 {
			if time.Now().After(deadline) {
				s.t.Errorf("%s still holds %d tokens", id, s.platform.Engine(id).UsedTokens())
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
