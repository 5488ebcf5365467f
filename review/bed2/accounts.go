package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	// storeValueBytes is the largest value that the store takes.
	storeValueBytes = 1 << 20
	// survivors are the machines that nothing happens to, callersEach the callers of each of them.
	survivors   = 3
	callersEach = 15
	// warmUp is the time before the loss, after which more than contact_ms have passed. lossGap is the time
	// between two losses, newMachineAfter that until a lost machine is replaced.
	warmUp          = 8 * time.Second
	lossGap         = 8 * time.Second
	newMachineAfter = time.Second
	observed        = 60 * time.Second
	// serviceTime is the time for which a replica works on a request.
	serviceTime = 1500 * time.Millisecond
	// allowedCuts is the number of channels without an answer that the rule allows.
	allowedCuts = 3
	// platformRestart is the short delay after which the platform starts a process again.
	platformRestart = 500 * time.Millisecond
)

// lostMachine replaces machines of a fleet whose configuration has many accounts, and counts the requests on
// kept channels that were passed on to a sound engine and whose channel ended without an answer.
func lostMachine(r *record, dir string, accounts, losses int) (broken bool, err error) {
	size := 0
	f, err := startFleet(r, dir, func(c *wire.Config) {
		for i := range accounts {
			c.Tenants = append(c.Tenants, wire.Tenant{
				Name: fmt.Sprintf("shop-%05d", i), Keys: []string{fmt.Sprintf("key-%016d", i)},
				DefaultCostTokens: 200, RatePerS: 100_000, Burst: 100_000, Unit: wire.UnitTokens,
			})
		}
		text, _ := json.Marshal(c) // plain values
		size = len(text)
	})
	if err != nil {
		return false, err
	}
	defer f.close()
	if size > storeValueBytes {
		return false, fmt.Errorf("the configuration has %d bytes", size)
	}
	var engines []*plainEngine
	for i := range 2 {
		e, err := f.addPlainEngine(fmt.Sprintf("desk-%d", i), serviceTime)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for i := range survivors + 1 {
		if _, err := f.addInstance(fmt.Sprintf("entry-%d", i)); err != nil {
			return false, err
		}
	}
	if !waitReady(20*time.Second, f.instances...) {
		return false, fmt.Errorf("the instances are not ready")
	}
	r.line("ready: %d machines of %d MB, %d accounts, configuration of %d bytes", survivors+1, memoryMB, accounts+1, size)
	stayers := append([]*instance{}, f.instances[:survivors]...)
	last := f.instances[survivors]

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var counts tally
	var cuts atomic.Int64
	var callers sync.WaitGroup
	for _, in := range stayers {
		for range callersEach {
			callers.Go(func() {
				callOver(ctx, in.caller, &counts, func(id string, err error) {
					runs := ran(engines, id)
					if runs > 0 {
						cuts.Add(1)
					}
					r.line("no answer: %s at %s, sent on a kept channel, passed on to %d engine, channel ended: %v", id, in.name, runs, err)
				})
			})
		}
	}
	began := time.Now()
	lost, nextLog := 0, time.Duration(0)
	names := survivors + 1
	for elapsed := time.Duration(0); elapsed < warmUp+observed; elapsed = time.Since(began) {
		if isTroubled() && lost < losses && elapsed >= warmUp+time.Duration(lost)*lossGap {
			lost++
			r.line("DISRUPTION: machine %s is removed for good", last.name)
			last.kill()
			time.Sleep(newMachineAfter)
			if last, err = f.addInstance(fmt.Sprintf("entry-%d", names)); err != nil {
				return false, err
			}
			names++
		}
		if elapsed >= nextLog {
			nextLog += 2 * time.Second
			logState(r, &counts, stayers)
		}
		if err := f.enforceMemory(stayers); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	logState(r, &counts, stayers)
	r.line("requests on kept channels that were passed on to a sound engine and got no answer: %d, allowed are %d", cuts.Load(), allowedCuts)
	return cuts.Load() > allowedCuts, nil
}

func logState(r *record, counts *tally, list []*instance) {
	text := ""
	for _, in := range list {
		text += fmt.Sprintf(" %s=%.0f", in.name, in.memory("RssAnon"))
	}
	r.line("sent=%d served=%d refused=%d cut=%d, anonymous memory in MB:%s",
		counts.sent.Load(), counts.served.Load(), counts.refused.Load(), counts.cut.Load(), text)
}

// enforceMemory does what the platform does with a process that exceeds the memory of its machine: it is
// killed, and started again after a short delay. Only memory that is no file counts here.
func (f *fleet) enforceMemory(list []*instance) error {
	for _, in := range list {
		used := in.memory("RssAnon")
		if used <= memoryMB {
			continue
		}
		f.record.line("PLATFORM: %s has %.0f MB, more than the %d MB of its machine: killed", in.name, used, memoryMB)
		_ = in.cmd.Process.Signal(syscall.SIGKILL)
		<-in.done
		time.Sleep(platformRestart)
		if err := f.start(in); err != nil {
			return err
		}
	}
	return nil
}
