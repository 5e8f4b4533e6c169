// Package cacheevents follows the cache events of model engines and of the
// prompt store and records them in a roster.Table, so that requests are sent to
// the engines that have their shared prompt parts cached.
//
// Events arrive late, and a few are lost. They correct the estimates based on
// the requests sent; correctness must not depend on them.
//
// # Usage
//
//	f := cacheevents.New(cacheevents.Options{Source: source, Upstreams: table, Now: time.Now, FollowShare: share})
//	go f.Run(ctx)
//
// A Follower is safe for concurrent use.
package cacheevents

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Batch is a sequence of events from one run of an engine or store.
type Batch struct {
	// Epoch changes when the engine or store restarts.
	Epoch uint64
	// Next is the event number to continue from.
	Next uint64
	// Dropped reports that earlier events are no longer available.
	Dropped bool
	// Parts are the parts cached or evicted since the previous batch.
	Parts []roster.CachedPart
}

// ErrRefused means that an engine or store responds, and has as many followers as it takes.
var ErrRefused = errors.New("cacheevents: too many followers")

// Source reads events. Its implementations are safe for concurrent use.
type Source interface {
	// Events returns the events from the number since on. If there are none, it
	// waits for new ones for at most wait. An error wraps ErrRefused if there are too many
	// followers.
	Events(ctx context.Context, u roster.Upstream, since uint64, wait time.Duration) (Batch, error)
}

const (
	// scanInterval is the time between two checks for new engines.
	scanInterval = 300 * time.Millisecond
	// eventWait is how long a call waits for events, callTimeoutMargin the
	// additional time after which the call fails.
	eventWait         = 500 * time.Millisecond
	callTimeoutMargin = 400 * time.Millisecond
	// idleInterval is the pause between two calls. Events accumulate meanwhile, so
	// that a busy engine needs few calls.
	idleInterval = 120 * time.Millisecond
	// backoff is the mean pause after a failed call, with a jitter of half of
	// it either way.
	backoff = time.Second
	// maxRefusedBackoff limits the mean pause after calls that were rejected, which doubles
	// with each in a row.
	maxRefusedBackoff = 16 * time.Second
)

// Options configures a Follower. All fields but Log are required.
type Options struct {
	Source    Source
	Upstreams *roster.Table
	Now       func() time.Time
	// FollowShare returns the share of VMs that should follow an upstream, from
	// 0 to 1. An engine rejects all but a few followers.
	FollowShare func(u roster.Upstream) float64
	Log         zerolog.Logger
}

// Follower follows the events of the engines and of the prompt store.
type Follower struct {
	opts Options

	mu sync.Mutex
	// following holds the cancel functions of the followed engines by incarnation.
	following map[string]context.CancelFunc
	// draws holds a random number from 0 to 1 for each incarnation. The engine is
	// followed while the number is below its FollowShare.
	draws map[string]float64
}

// New returns a Follower. Run starts it.
func New(opts Options) *Follower {
	return &Follower{opts: opts, following: make(map[string]context.CancelFunc), draws: make(map[string]float64)}
}

// Run follows the engines and the prompt store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	wg.Go(func() { f.followStore(ctx) })
	for {
		f.scanEngines(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// scanEngines starts to follow new engines, and stops following those that were
// removed or that other VMs should follow.
func (f *Follower) scanEngines(ctx context.Context, wg *sync.WaitGroup) {
	listed := make(map[string]bool)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.opts.Upstreams.All() {
		if u.Model == "" {
			continue
		}
		key := u.Incarnation()
		if _, drawn := f.draws[key]; !drawn {
			f.draws[key] = rand.Float64()
		}
		listed[key] = true
		wanted := f.draws[key] < f.opts.FollowShare(u)
		cancel := f.following[key]
		switch {
		case wanted && cancel == nil:
			followCtx, cancel := context.WithCancel(ctx)
			f.following[key] = cancel
			wg.Go(func() { f.followEngine(followCtx, u) })
		case !wanted && cancel != nil:
			// The fleet turned out to be larger, and enough other VMs follow
			// the engine.
			cancel()
			delete(f.following, key)
		}
	}
	for key := range f.draws {
		if listed[key] {
			continue
		}
		delete(f.draws, key)
		if cancel := f.following[key]; cancel != nil {
			cancel()
			delete(f.following, key)
		}
	}
}

// followEngine applies the events of one incarnation of an engine to Options.Upstreams.
func (f *Follower) followEngine(ctx context.Context, u roster.Upstream) {
	var since, epoch uint64
	refusedBackoff := backoff
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventWait+callTimeoutMargin)
		batch, err := f.opts.Source.Events(call, u, since, eventWait)
		cancel()
		if errors.Is(err, ErrRefused) {
			f.opts.Upstreams.ReportReachable(f.opts.Now(), u.ID)
			refusedBackoff = waitRefused(ctx, refusedBackoff)
			continue
		}
		refusedBackoff = backoff
		if err != nil {
			f.opts.Log.Debug().Str("upstream", u.ID).Err(err).Msg("reading cache events failed")
			if ctx.Err() == nil && !f.opts.Upstreams.RespondedWithin(f.opts.Now(), u.ID, eventWait+callTimeoutMargin) {
				f.opts.Upstreams.ReportUnreachable(f.opts.Now(), u.ID)
			}
			wait.For(ctx, backoff/2+rand.N(backoff))
			continue
		}
		f.opts.Upstreams.ReportReachable(f.opts.Now(), u.ID)
		if epoch != 0 && batch.Epoch != epoch {
			f.opts.Upstreams.ForgetCached(u.ID, u.Born)
			since = 0
		}
		if batch.Dropped && since > 0 {
			f.opts.Log.Debug().Str("upstream", u.ID).Uint64("since", since).Msg("some cache events are no longer available")
		}
		epoch, since = batch.Epoch, batch.Next
		f.opts.Upstreams.SetCached(f.opts.Now(), u.ID, u.Born, batch.Parts)
		wait.For(ctx, idleInterval)
	}
}

// waitRefused waits after a rejected call and returns the next such pause.
func waitRefused(ctx context.Context, pause time.Duration) time.Duration {
	wait.For(ctx, pause/2+rand.N(pause))
	return min(maxRefusedBackoff, 2*pause)
}

// followStore applies the events of the prompt store, if there is one, to
// Options.Upstreams, and records whether the store responds.
func (f *Follower) followStore(ctx context.Context) {
	var since, epoch uint64
	refusedBackoff := backoff
	for ctx.Err() == nil {
		u, found := f.opts.Upstreams.Store()
		if !found || rand.Float64() >= f.opts.FollowShare(u) {
			wait.For(ctx, scanInterval)
			continue
		}
		call, cancel := context.WithTimeout(ctx, eventWait+callTimeoutMargin)
		batch, err := f.opts.Source.Events(call, u, since, eventWait)
		cancel()
		if errors.Is(err, ErrRefused) {
			refusedBackoff = waitRefused(ctx, refusedBackoff)
			continue
		}
		refusedBackoff = backoff
		if err != nil {
			f.opts.Upstreams.SetStoreUp(false)
			f.opts.Log.Warn().Str("store", u.Address).Err(err).Msg("prompt store does not respond")
			since, epoch = 0, 0
			wait.For(ctx, backoff/2+rand.N(backoff))
			continue
		}
		if batch.Epoch != epoch {
			f.opts.Upstreams.SetStoreUp(false)
			f.opts.Upstreams.SetStoreUp(true)
			f.opts.Log.Info().Str("store", u.Address).Uint64("epoch", batch.Epoch).Msg("following the prompt store")
			if epoch != 0 {
				since, epoch = 0, batch.Epoch
				continue
			}
		}
		epoch, since = batch.Epoch, batch.Next
		f.opts.Upstreams.SetStoreParts(f.opts.Now(), batch.Parts)
		wait.For(ctx, idleInterval)
	}
}
