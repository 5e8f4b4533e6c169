// Package cachemap follows what model engines say of the prompt memory that
// they keep, so that requests go where their shared parts lie.
//
// An engine's events come late and a few never come. They correct what is
// known from sending; they are no base for anything that must be right.
//
// # Usage
//
//	m := cachemap.New(cachemap.Options{Source: source, Upstreams: table, Now: time.Now})
//	go m.Run(ctx)
//
// A Follower is safe for concurrent use.
package cachemap

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Batch is a run of events of one start of an engine.
type Batch struct {
	// Epoch changes when the engine starts anew.
	Epoch uint64
	// Next is where the following batch begins.
	Next uint64
	// Dropped says that events before these are gone.
	Dropped bool
	Parts   []roster.CachedPart
}

// Source reads events. Its implementations are safe for concurrent use.
type Source interface {
	// Events waits for events since a number, at most for wait.
	Events(ctx context.Context, u roster.Upstream, since uint64, wait time.Duration) (Batch, error)
}

const (
	// scanEvery is how often new engines are looked for.
	scanEvery = 300 * time.Millisecond
	eventWait = 500 * time.Millisecond
	callSlack = 400 * time.Millisecond
	// restPeriod gathers events, so that a busy engine costs few calls.
	restPeriod = 120 * time.Millisecond
	failPause  = time.Second
)

// Options sets up a Follower. All are required but the log.
type Options struct {
	Source    Source
	Upstreams *roster.Table
	Now       func() time.Time
	// FollowShare returns the share of VMs like this one that follow an upstream, 0 to
	// 1. An engine turns more than a few followers away.
	FollowShare func(u roster.Upstream) float64
	Log         zerolog.Logger
}

// Follower follows the engines' events.
type Follower struct {
	opts Options

	mu        sync.Mutex
	following map[string]context.CancelFunc
	draws     map[string]float64
}

// New returns a Follower.
func New(opts Options) *Follower {
	return &Follower{opts: opts, following: make(map[string]context.CancelFunc), draws: make(map[string]float64)}
}

// Run follows engines until ctx ends.
func (m *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(scanEvery)
	defer ticker.Stop()
	wg.Go(func() { m.followStore(ctx) })
	for {
		m.scan(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// scan begins to follow engines that are new and leaves those that are gone.
func (m *Follower) scan(ctx context.Context, wg *sync.WaitGroup) {
	listed := make(map[string]bool)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range m.opts.Upstreams.All() {
		if u.Model == "" {
			continue
		}
		key := u.Incarnation()
		if _, drawn := m.draws[key]; !drawn {
			m.draws[key] = rand.Float64()
		}
		listed[key] = true
		wanted := m.draws[key] < m.opts.FollowShare(u)
		cancel := m.following[key]
		switch {
		case wanted && cancel == nil:
			following, cancel := context.WithCancel(ctx)
			m.following[key] = cancel
			wg.Go(func() { m.follow(following, u) })
		case !wanted && cancel != nil:
			// The fleet has turned out larger, and others follow the engine.
			cancel()
			delete(m.following, key)
		}
	}
	for key := range m.draws {
		if listed[key] {
			continue
		}
		delete(m.draws, key)
		if cancel := m.following[key]; cancel != nil {
			cancel()
			delete(m.following, key)
		}
	}
}

// follow takes the events of one start of an engine.
func (m *Follower) follow(ctx context.Context, u roster.Upstream) {
	var since, epoch uint64
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventWait+callSlack)
		batch, err := m.opts.Source.Events(call, u, since, eventWait)
		cancel()
		if err != nil {
			m.opts.Log.Debug().Str("upstream", u.ID).Err(err).Msg("cache events not read")
			if ctx.Err() == nil && !m.opts.Upstreams.RespondedWithin(m.opts.Now(), u.ID, eventWait+callSlack) {
				m.opts.Upstreams.ReportUnreachable(m.opts.Now(), u.ID)
			}
			wait.For(ctx, failPause/2+rand.N(failPause))
			continue
		}
		m.opts.Upstreams.ReportReachable(m.opts.Now(), u.ID)
		if epoch != 0 && batch.Epoch != epoch {
			m.opts.Upstreams.ForgetCached(u.ID, u.Born)
			since = 0
		}
		if batch.Dropped && since > 0 {
			m.opts.Log.Debug().Str("upstream", u.ID).Uint64("since", since).Msg("cache events lost")
		}
		epoch, since = batch.Epoch, batch.Next
		m.opts.Upstreams.SetCached(m.opts.Now(), u.ID, u.Born, batch.Parts)
		wait.For(ctx, restPeriod)
	}
}

// followStore takes the events of the store of kept prompts, if there is one,
// and whether it answers at all.
func (m *Follower) followStore(ctx context.Context) {
	var since, epoch uint64
	for ctx.Err() == nil {
		u, found := m.opts.Upstreams.Store()
		if !found || rand.Float64() >= m.opts.FollowShare(u) {
			wait.For(ctx, scanEvery)
			continue
		}
		call, cancel := context.WithTimeout(ctx, eventWait+callSlack)
		batch, err := m.opts.Source.Events(call, u, since, eventWait)
		cancel()
		if err != nil {
			m.opts.Upstreams.SetStoreUp(false)
			m.opts.Log.Warn().Str("store", u.Address).Err(err).Msg("store of kept prompts lost")
			since, epoch = 0, 0
			wait.For(ctx, failPause/2+rand.N(failPause))
			continue
		}
		if batch.Epoch != epoch {
			m.opts.Upstreams.SetStoreUp(false)
			m.opts.Upstreams.SetStoreUp(true)
			m.opts.Log.Info().Str("store", u.Address).Uint64("epoch", batch.Epoch).Msg("store of kept prompts follows")
			if epoch != 0 {
				since, epoch = 0, batch.Epoch
				continue
			}
		}
		epoch, since = batch.Epoch, batch.Next
		m.opts.Upstreams.SetStoreParts(m.opts.Now(), batch.Parts)
		wait.For(ctx, restPeriod)
	}
}
