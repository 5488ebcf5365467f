package platform

import (
	"context"
	"errors"
	"time"
)

// FollowOptions are the settings of Follow. Zero fields take the default.
type FollowOptions struct {
	// ResyncInterval bounds the time between two reads, whatever the watch says: a
	// watch can be silent for ever while other calls work. Default 10 s.
	ResyncInterval time.Duration
	// BackOff spaces the repeats of failed calls. Default 50 ms to 5 s.
	BackOff BackOff
}

// Follow calls changed for every newer version of an object that it sees, in the
// order of versions, until ctx ends. Versions may be left out, and a stale read is
// never reported. failed, if not nil, is told of each failed call.
func Follow(ctx context.Context, client Client, name string, opts FollowOptions, changed func(Object), failed func(error)) {
	if opts.ResyncInterval <= 0 {
		opts.ResyncInterval = 10 * time.Second
	}
	if opts.BackOff.Min <= 0 {
		opts.BackOff.Min = 50 * time.Millisecond
	}
	if opts.BackOff.Max < opts.BackOff.Min {
		opts.BackOff.Max = max(5*time.Second, opts.BackOff.Min)
	}
	f := &follower{client: client, name: name, opts: opts, onChange: changed, onError: failed}
	for ctx.Err() == nil {
		f.read(ctx)
		f.watch(ctx)
	}
}

type follower struct {
	client   Client
	name     string
	opts     FollowOptions
	onChange func(Object)
	onError  func(error)
	version  uint64
}

func (f *follower) read(ctx context.Context) {
	object, err := f.client.Get(ctx, f.name)
	if errors.Is(err, ErrNotFound) {
		err = nil
	}
	f.handleResult(ctx, object, err)
}

// watch watches until the next read is due.
func (f *follower) watch(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, f.opts.ResyncInterval)
	defer cancel()
	for limited.Err() == nil {
		object, err := f.client.Watch(limited, f.name, f.version)
		if limited.Err() != nil {
			return
		}
		if errors.Is(err, ErrNotModified) {
			continue
		}
		if errors.Is(err, ErrNotFound) {
			// The object is gone or the answer is stale. Only a higher version
			// is of interest, so that the next read decides.
			<-limited.Done()
			return
		}
		f.handleResult(limited, object, err)
	}
}

// handleResult reports a newer object, or waits after a failure.
func (f *follower) handleResult(ctx context.Context, object Object, err error) {
	if err != nil && ctx.Err() == nil {
		if f.onError != nil {
			f.onError(err)
		}
		sleep(ctx, f.opts.BackOff.Next())
		return
	}
	if err != nil {
		return
	}
	f.opts.BackOff.Reset()
	if object.Version > f.version {
		f.version = object.Version
		f.onChange(object)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
