package platform

import (
	"context"
	"errors"
	"time"
)

// FollowOptions are the settings of Follow. Zero values select the defaults.
type FollowOptions struct {
	// ResyncInterval is the time between two reads, which are made in addition to the
	// watch: a watch can hang indefinitely while other calls work. Default 10 s.
	ResyncInterval time.Duration
	// BackOff delays the retries of failed calls. Default 50 ms to 5 s.
	BackOff BackOff
}

// Follow calls onChange for each newer version of an object that it reads, in the
// order of versions, until ctx ends. It may skip versions and ignores stale reads.
// onError, if not nil, is called with the error of each failed call.
func Follow(ctx context.Context, client Client, name string, opts FollowOptions, onChange func(Object), onError func(error)) {
	if opts.ResyncInterval <= 0 {
		opts.ResyncInterval = 10 * time.Second
	}
	if opts.BackOff.Min <= 0 {
		opts.BackOff.Min = 50 * time.Millisecond
	}
	if opts.BackOff.Max < opts.BackOff.Min {
		opts.BackOff.Max = max(5*time.Second, opts.BackOff.Min)
	}
	f := &follower{client: client, name: name, opts: opts, onChange: onChange, onError: onError}
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

// watch applies changes until the next read is due.
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
			// The object was deleted or the reply is stale. Only a newer version
			// matters, so wait for the next read.
			<-limited.Done()
			return
		}
		f.handleResult(limited, object, err)
	}
}

// handleResult reports a newer object. After a failure it reports the error and waits
// for the next retry.
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
