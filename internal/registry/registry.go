// Package registry follows collections of the platform's store: it lists them,
// watches for changes, and takes newer states from peers when the store is out
// of reach.
//
// # Usage
//
//	f := registry.NewFollower(registry.Options[roster.Upstream]{Name: "upstreams", Feed: feed, Sink: sink, Now: time.Now})
//	go f.Run(ctx)
//
// A Follower is safe for concurrent use. Revisions are the store's: they grow
// with every change, and a lower one never replaces a higher one.
package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// The errors of a Feed and of a rollout.LeaseStore.
var (
	// ErrHistoryGone means that the store has dropped the changes asked for.
	ErrHistoryGone = errors.New("registry: history is gone")
	// ErrConflict means that the object has changed. Nothing was written.
	ErrConflict = errors.New("registry: conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("registry: not found")
	// ErrRefused means that the store did not take the call. Nothing was written.
	ErrRefused = errors.New("registry: refused")
)

// Item is one object of a collection.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Value    T      `json:"value"`
	// Problem says why the object can't be used, if it can't.
	Problem string `json:"problem,omitempty"`
}

// Page is a state of a collection, or the changes up to it.
type Page[T any] struct {
	Revision uint64 `json:"revision"`
	// Since is the revision that the changes start from. 0 marks a whole state.
	Since uint64    `json:"since,omitempty"`
	Items []Item[T] `json:"items"`
}

// Feed reads one collection. Its implementations are safe for concurrent use.
type Feed[T any] interface {
	// List returns the whole collection.
	List(ctx context.Context) (Page[T], error)
	// Watch waits for changes after a revision, for at most wait, and returns
	// them. It returns a Page without items if there are none.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page[T], error)
}

// Sink takes what a Follower learns. It is called by one goroutine at a time.
type Sink[T any] interface {
	// Replace takes a whole state. With lapse, items that it lacks may have
	// expired during an outage of the store, and may come back.
	Replace(now time.Time, page Page[T], lapse bool)
	// Apply takes changes.
	Apply(now time.Time, page Page[T], lapse bool)
}

const (
	// watchWait is how long a watch waits. Some watch of the fleet is renewed
	// often enough to notice that all open connections have gone silent.
	watchWait = 4 * time.Second
	retryMin  = 60 * time.Millisecond
	retryMost = 700 * time.Millisecond
	// passivePause is how often a VM that does not watch looks whether it should.
	passivePause = 150 * time.Millisecond
	// returnPeriod is how long after an outage expired entries may come back.
	returnPeriod = 2 * time.Second
	// lastingOutage is the shortest outage in which entries expire.
	lastingOutage = 500 * time.Millisecond
)

// Options sets up a Follower. All but CollectInterval are required.
type Options[T any] struct {
	// Name is the collection's name in logs.
	Name string
	Feed Feed[T]
	Sink Sink[T]
	Now  func() time.Time
	// ShouldWatch reports whether this VM is one of those that watch the store. The
	// others hear from them, so that calls don't grow with the fleet.
	ShouldWatch func(now time.Time) bool
	// CollectInterval, if it is set, returns how long changes may gather before the next watch.
	CollectInterval func() time.Duration
	Log             zerolog.Logger
}

// Follower keeps up with one collection.
type Follower[T any] struct {
	opts Options[T]

	mu       sync.Mutex
	revision uint64
	// changed is the revision at which the collection last differed.
	changed uint64
	items   map[string]Item[T]
	// deleted are the items that went last, for peers that know less; those
	// that went up to the revision forgotten are not among them.
	deleted   []Item[T]
	forgotten uint64
	// failing is since when calls have failed; returned is when they worked again.
	failing, returned time.Time
}

// NewFollower returns a Follower that knows nothing yet.
func NewFollower[T any](opts Options[T]) *Follower[T] {
	return &Follower[T]{opts: opts, items: make(map[string]Item[T])}
}

// Revision returns how far the Follower has come, or 0.
func (f *Follower[T]) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// LastChangeRevision returns the revision by which the last known change had been made.
// Revision grows also while nothing changes here.
func (f *Follower[T]) LastChangeRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Healthy reports whether the last call to the store worked.
func (f *Follower[T]) Healthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing.IsZero()
}

// maxDeleted bounds the items remembered that are gone.
const maxDeleted = 256

// Snapshot returns what a peer lacks that has come as far as since: the changes
// from there, or the whole state.
func (f *Follower[T]) Snapshot(since uint64) Page[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page[T]{Revision: f.revision, Items: []Item[T]{}}
	if since > 0 && since >= f.forgotten {
		page.Since = since
		for _, item := range f.deleted {
			if item.Revision > since {
				page.Items = append(page.Items, item)
			}
		}
	}
	for _, item := range f.items {
		if item.Revision > page.Since {
			page.Items = append(page.Items, item)
		}
	}
	return page
}

// Offer takes a peer's state or changes, and reports whether they were newer.
func (f *Follower[T]) Offer(now time.Time, page Page[T]) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if page.Revision <= f.revision || page.Since > f.revision {
		return false
	}
	if page.Since == 0 {
		f.replace(now, page)
		return true
	}
	f.apply(now, page)
	return true
}

// Run follows the collection until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	list := true
	pause := retryMin
	for ctx.Err() == nil {
		if !list && f.Revision() > 0 && !f.opts.ShouldWatch(f.opts.Now()) {
			f.rest()
			wait.For(ctx, passivePause)
			continue
		}
		err := f.step(ctx, list)
		switch {
		case err == nil:
			list = false
			pause = retryMin
			continue
		case errors.Is(err, ErrHistoryGone):
			f.opts.Log.Warn().Str("collection", f.opts.Name).Uint64("revision", f.Revision()).Msg("history gone, listing again")
			list = true
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(f.opts.Now(), err)
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(retryMost, 2*pause)
	}
}

func (f *Follower[T]) step(ctx context.Context, list bool) error {
	if list || f.Revision() == 0 {
		page, err := f.opts.Feed.List(ctx)
		if err != nil {
			return err
		}
		f.listed(f.opts.Now(), page)
		return nil
	}
	after := f.Revision()
	page, err := f.opts.Feed.Watch(ctx, after, watchWait-rand.N(watchWait/4))
	if err != nil {
		return err
	}
	f.watched(f.opts.Now(), after, page)
	if f.opts.CollectInterval != nil && len(page.Items) > 0 {
		wait.For(ctx, f.opts.CollectInterval())
	}
	return nil
}

func (f *Follower[T]) failed(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		f.failing = now
		f.opts.Log.Warn().Str("collection", f.opts.Name).Uint64("revision", f.revision).Err(err).Msg("store lost")
	}
}

// rest notes that others watch in this VM's place. It makes no calls that could
// show that the store is there again.
func (f *Follower[T]) rest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing.IsZero() {
		f.failing = time.Time{}
		f.opts.Log.Info().Str("collection", f.opts.Name).Msg("others watch the store")
	}
}

// worked notes that a call has worked.
func (f *Follower[T]) worked(now time.Time) {
	if f.failing.IsZero() {
		return
	}
	outage := now.Sub(f.failing)
	f.failing = time.Time{}
	if outage >= lastingOutage {
		f.returned = now
	}
	f.opts.Log.Info().Str("collection", f.opts.Name).Dur("outage", outage).Msg("store regained")
}

// lapse reports whether missing items may come back.
func (f *Follower[T]) lapse(now time.Time) bool {
	return !f.returned.IsZero() && now.Sub(f.returned) < returnPeriod
}

func (f *Follower[T]) listed(now time.Time, page Page[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worked(now)
	if page.Revision >= f.revision {
		f.replace(now, page)
	}
}

func (f *Follower[T]) replace(now time.Time, page Page[T]) {
	f.revision = page.Revision
	f.forgotten = page.Revision
	f.deleted = nil
	clear(f.items)
	for _, item := range page.Items {
		f.items[item.Name] = item
		f.changed = max(f.changed, item.Revision)
	}
	f.opts.Sink.Replace(now, page, f.lapse(now))
}

func (f *Follower[T]) watched(now time.Time, after uint64, page Page[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.worked(now)
	// A peer's newer state may have come in meanwhile.
	if page.Revision < f.revision || after != f.revision {
		return
	}
	f.apply(now, page)
}

// apply takes changes. The caller holds the lock.
func (f *Follower[T]) apply(now time.Time, page Page[T]) {
	f.revision = page.Revision
	for _, item := range page.Items {
		if !item.Deleted {
			f.items[item.Name] = item
			continue
		}
		delete(f.items, item.Name)
		// The item's own revision may be that of its last change.
		item.Revision = page.Revision
		f.deleted = append(f.deleted, item)
	}
	if drop := len(f.deleted) - maxDeleted; drop > 0 {
		f.forgotten = f.deleted[drop-1].Revision
		f.deleted = f.deleted[drop:]
	}
	if len(page.Items) > 0 {
		f.changed = page.Revision
		f.opts.Sink.Apply(now, page, f.lapse(now))
	}
}
