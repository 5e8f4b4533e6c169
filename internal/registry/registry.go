// Package registry follows collections of the platform's store for an entry VM:
// it lists them, watches for changes, and accepts newer states from peers, so
// that the VM stays current while the store is unreachable or others watch it.
//
// # Usage
//
//	f := registry.NewFollower(registry.Options[roster.Upstream]{
//		Name: "upstreams", Feed: feed, Sink: sink, Now: time.Now, ShouldWatch: shouldWatch,
//	})
//	go f.Run(ctx)
//
// A Follower is safe for concurrent use. A state never replaces one of a higher
// Position. After the store has come back from a copy the Follower lists again: a
// state holds no changes of two eras.
package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// The errors of a Feed and of a rollout.LeaseStore.
var (
	// ErrHistoryGone means that the store no longer has the requested changes.
	ErrHistoryGone = errors.New("registry: history is gone")
	// ErrConflict means that the object has changed meanwhile. Nothing was written.
	ErrConflict = errors.New("registry: conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("registry: not found")
	// ErrLateResponse means that the response is from before the store came back
	// from a copy. It must not be used.
	ErrLateResponse = errors.New("registry: response of an earlier era")
	// ErrRefused means that the store rejected the call. Nothing was written.
	ErrRefused = errors.New("registry: refused")
	// ErrUnavailable means that the store said that it is not available, or that no
	// connection to it could be opened. Nothing was written.
	ErrUnavailable = errors.New("registry: unavailable")
)

// Item is one object of a collection.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	Value    T      `json:"value"`
	// Problem says why the object can't be used. It is empty for a usable object.
	Problem string `json:"problem,omitempty"`
}

// Page is the whole state of a collection at a revision, or the changes up to
// that revision, all in one era.
type Page[T any] struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// Since is the revision after which the changes start, or 0 for a whole state.
	Since uint64    `json:"since,omitempty"`
	Items []Item[T] `json:"items"`
	// After is the time after which the Items that the Sink has not received yet were
	// changed, or zero if they may have been changed at any time. Only a Follower sets it.
	After time.Time `json:"-"`
}

// Feed reads one collection. Its implementations are safe for concurrent use.
type Feed[T any] interface {
	// List returns the whole collection. It returns ErrLateResponse if the store
	// has come back from a copy meanwhile.
	List(ctx context.Context) (Page[T], error)
	// Watch waits up to wait for changes after a revision and returns them, and ends
	// with ctx if no response arrives. It
	// returns a Page without items if there are none, and ErrHistoryGone if the
	// store no longer has these changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page[T], error)
}

// Sink receives the states and changes of a collection. It is called by one
// goroutine at a time, under the lock of the Follower, whose methods it must not
// call.
type Sink[T any] interface {
	// Replace receives a whole state. With afterOutage, missing items may have
	// expired during an outage of the store and may come back. A page of a higher
	// era than the last one is from a copy: it may be older than what is known,
	// until what is missing is written again.
	Replace(now time.Time, page Page[T], afterOutage bool)
	// Apply receives changes. With afterOutage, deleted items may come back.
	Apply(now time.Time, page Page[T], afterOutage bool)
}

const (
	// defaultMaxSilence is the default of Options.MaxSilence.
	defaultMaxSilence = 5 * time.Second
	// maxWatchMargin is the longest time after the end of its wait in which the response
	// to a watch may still arrive. It is well over the response time of a slow store.
	maxWatchMargin = 700 * time.Millisecond
	// retryRoom is left of Options.MaxSilence for the first call after a lost one.
	retryRoom = 300 * time.Millisecond
	// outageWait is how long a watch waits after a failed call. An outage may lose it too,
	// and so may a reset of this VM's connections while it waits.
	outageWait = 50 * time.Millisecond
	// minBackoff and maxBackoff limit the backoff after a failed call.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// idleInterval is how often a VM that does not watch checks whether it should.
	idleInterval = 150 * time.Millisecond
	// returnPeriod is how long after an outage expired items may come back.
	returnPeriod = 2 * time.Second
	// minOutage is the least time between the first and the last of several failed calls in
	// a row from which on the store counts as disrupted. minUnavailable of them must show
	// that it is not available, or there must be minLostCalls: a reset or a silence of this
	// VM's connections loses a call, and the next one goes out on a new connection.
	minOutage      = time.Second
	minUnavailable = 2
	minLostCalls   = 6
	// minExpiryOutage is the shortest outage in which items expire.
	minExpiryOutage = 500 * time.Millisecond
	// maxGap is the longest time between two calls, or by which a response may be late,
	// for changes to count as made when they were seen.
	maxGap = 300 * time.Millisecond
	// peerDelay is the longest time in which a change reaches a VM through peers: those that
	// watch the store may have to notice a lost response first.
	peerDelay = defaultMaxSilence
	// newEraSpread is the time over which VMs list again when they notice a new era.
	newEraSpread = 400 * time.Millisecond
)

// errNewEra means that a watch has returned changes of a new era.
var errNewEra = errors.New("registry: the store has come back from a copy")

// Options configures a Follower. All but MaxSilence, Dated, CollectInterval and Log are required.
type Options[T any] struct {
	// Name is the collection's name in logs.
	Name string
	Feed Feed[T]
	Sink Sink[T]
	Now  func() time.Time
	// ShouldWatch reports whether this VM is one of those that watch the store.
	// The others receive updates from them, so that the number of calls to the
	// store does not grow with the fleet.
	ShouldWatch func(now time.Time) bool
	// MaxSilence, if it is set, returns within what time a Follower must have noticed
	// that the response to a watch is lost, and made another call. The shorter it is,
	// the more calls are made while nothing changes. The default is 5 s.
	MaxSilence func() time.Duration
	// Dated is set if the Sink needs a close Page.After. A watch after a gap then waits only
	// shortly, so that the next one follows without a gap.
	Dated bool
	// CollectInterval, if it is set, returns how long changes are collected in the
	// store before the next watch.
	CollectInterval func() time.Duration
	Log             zerolog.Logger
}

// Follower holds the current state of one collection and passes changes to a Sink.
type Follower[T any] struct {
	opts Options[T]

	mu sync.Mutex
	// position is that of the state, and zero if there is none. lastChange is the
	// position of the last known change.
	position   Position
	lastChange Position
	// firstEra is the era of the first state.
	firstEra uint64
	items    map[string]Item[T]
	// deleted holds the items deleted after the revision deletedAfter, in order,
	// for peers with an older state. Both are of the state's era.
	deleted      []Item[T]
	deletedAfter uint64
	// failingSince is when calls started to fail, or zero. failedAt is when the last of
	// the failedCalls since then failed; the error of unavailable of them was
	// ErrUnavailable. recoveredAt is when calls worked again after an outage in which items
	// may have expired.
	failingSince, failedAt, recoveredAt time.Time
	failedCalls, unavailable            int
	// checkedAt is when the state was last known to hold all changes, or zero.
	checkedAt time.Time
}

// NewFollower returns a Follower without any state, at revision 0.
func NewFollower[T any](opts Options[T]) *Follower[T] {
	return &Follower[T]{opts: opts, items: make(map[string]Item[T])}
}

// Revision returns the revision of the current state, or 0 if there is none.
func (f *Follower[T]) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.Revision
}

// Position returns the position of the current state, or zero if there is none.
func (f *Follower[T]) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// FirstEra returns the era of the first state. The store has not come back from a
// copy since, if the present state is of the same.
func (f *Follower[T]) FirstEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstEra
}

// LastChange returns the position of the last known change of this collection.
// Position also moves on while the collection does not change.
func (f *Follower[T]) LastChange() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange
}

// Healthy reports whether the last call to the store worked. It is also true
// before the first call, and when the VM has stopped watching.
func (f *Follower[T]) Healthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failingSince.IsZero()
}

// Outage reports whether the store does not respond or is out of reach, and since when.
// A few lost calls do not tell that: this VM's connections may have been reset.
func (f *Follower[T]) Outage() (since time.Time, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found = !f.failingSince.IsZero() && f.failedAt.Sub(f.failingSince) >= minOutage && (f.unavailable >= minUnavailable || f.failedCalls >= minLostCalls)
	return f.failingSince, found
}

// maxDeleted limits the deleted items that are kept for peers.
const maxDeleted = 256

// Snapshot returns what a peer at the position since lacks: the changes after it, or
// the whole state if it is of another era or deletions after it are no longer known.
// Deleted items come first. Pages of one position with the same Since are equal, apart
// from the order of items, and peers that lack the same changes get the same Since.
func (f *Follower[T]) Snapshot(since Position) Page[T] {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := Page[T]{Era: f.position.Era, Revision: f.position.Revision, Items: []Item[T]{}}
	if since.Era == f.position.Era && since.Revision > 0 && since.Revision >= f.deletedAfter {
		// The last change that the peer has.
		page.Since = f.deletedAfter
		for _, item := range f.deleted {
			if item.Revision > since.Revision {
				page.Items = append(page.Items, item)
			} else {
				page.Since = max(page.Since, item.Revision)
			}
		}
		for _, item := range f.items {
			if item.Revision <= since.Revision {
				page.Since = max(page.Since, item.Revision)
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

// Offer applies a peer's whole state, or its changes, if they are newer than the
// current state. It ignores changes of another era and those that start after the
// current revision, since those before them are missing. It reports whether it
// applied anything.
func (f *Follower[T]) Offer(now time.Time, page Page[T]) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.position.Before(Position{page.Era, page.Revision}) {
		return false
	}
	if page.Since > 0 && (page.Era != f.position.Era || page.Since > f.position.Revision) {
		return false
	}
	page.After = time.Time{}
	if f.position.Revision > 0 {
		page.After = now.Add(-peerDelay)
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
	backoff := minBackoff
	for ctx.Err() == nil {
		if !list && f.Revision() > 0 && !f.opts.ShouldWatch(f.opts.Now()) {
			f.recordPassive()
			wait.For(ctx, idleInterval)
			continue
		}
		called := f.opts.Now()
		err := f.listOrWatch(ctx, list)
		switch {
		case err == nil:
			list = false
			backoff = minBackoff
			continue
		case f.mustList(err):
			list = true
			if errors.Is(err, errNewEra) {
				wait.For(ctx, rand.N(newEraSpread))
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.recordFailure(f.opts.Now(), called, err)
		wait.For(ctx, backoff/2+rand.N(backoff))
		backoff = min(maxBackoff, 2*backoff)
	}
}

// mustList reports whether a failed watch can't go on and the next call must be a
// list.
func (f *Follower[T]) mustList(err error) bool {
	if errors.Is(err, ErrHistoryGone) {
		p := f.Position()
		f.opts.Log.Warn().Str("collection", f.opts.Name).Uint64("era", p.Era).Uint64("revision", p.Revision).Msg("history gone, listing again")
		return true
	}
	return errors.Is(err, errNewEra)
}

// listOrWatch makes one call to the store and applies its result. It lists if
// list is set or no state is known, and watches otherwise.
func (f *Follower[T]) listOrWatch(ctx context.Context, list bool) error {
	if list || f.Revision() == 0 {
		called := f.opts.Now()
		page, err := f.opts.Feed.List(ctx)
		if err != nil {
			return err
		}
		f.applyList(f.opts.Now(), called, page)
		return nil
	}
	after, called := f.Position(), f.opts.Now()
	maxWait, timeout := f.watchTimes(called)
	page, err := f.watch(ctx, after.Revision, maxWait, timeout)
	if err != nil {
		return err
	}
	if page.Era > after.Era {
		return errNewEra
	}
	f.applyWatch(f.opts.Now(), called, maxWait, after, page)
	if f.opts.CollectInterval != nil && len(page.Items) > 0 {
		wait.For(ctx, f.opts.CollectInterval())
	}
	return nil
}

// watchTimes returns how long the store is to wait for changes, and within what time its
// response must arrive. After a failed call the wait is short: a response that an outage
// loses must not keep the next call waiting.
func (f *Follower[T]) watchTimes(now time.Time) (maxWait, timeout time.Duration) {
	maxSilence := defaultMaxSilence
	if f.opts.MaxSilence != nil {
		maxSilence = f.opts.MaxSilence()
	}
	margin := min(maxWatchMargin, maxSilence/4)
	longest := max(outageWait, maxSilence-margin-retryRoom)
	switch {
	case !f.Healthy():
		// The store may be slow rather than away.
		longest, margin = outageWait, maxWatchMargin
	case f.opts.Dated && f.hasGap(now):
		longest = outageWait
	}
	maxWait = longest - rand.N(longest/4)
	return maxWait, maxWait + margin
}

// hasGap reports whether changes may have been made unseen before a call.
func (f *Follower[T]) hasGap(called time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return called.Sub(f.checkedAt) > maxGap
}

// watch waits for changes after a revision.
func (f *Follower[T]) watch(ctx context.Context, after uint64, maxWait, timeout time.Duration) (Page[T], error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f.opts.Feed.Watch(ctx, after, maxWait)
}

// recordFailure records that a call to the store, made at called, has failed.
func (f *Follower[T]) recordFailure(now, called time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince, f.failedCalls, f.unavailable = now, 0, 0
		f.opts.Log.Warn().Str("collection", f.opts.Name).Uint64("era", f.position.Era).Uint64("revision", f.position.Revision).Int64("waited_ms", now.Sub(called).Milliseconds()).Err(err).Msg("store lost")
	}
	f.failedAt = now
	f.failedCalls++
	if errors.Is(err, ErrUnavailable) {
		f.unavailable++
	}
}

// recordPassive clears a recorded failure because other VMs watch instead of
// this one. Without calls of its own this VM would never notice that the store
// is reachable again.
func (f *Follower[T]) recordPassive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failingSince.IsZero() {
		f.failingSince = time.Time{}
		f.opts.Log.Info().Str("collection", f.opts.Name).Msg("other VMs watch the store")
	}
}

// recordSuccess records that a call to the store has worked. The caller holds
// the lock.
func (f *Follower[T]) recordSuccess(now time.Time) {
	if f.failingSince.IsZero() {
		return
	}
	outage := now.Sub(f.failingSince)
	f.failingSince = time.Time{}
	if outage >= minExpiryOutage {
		f.recoveredAt = now
	}
	f.opts.Log.Info().Str("collection", f.opts.Name).Dur("outage", outage).Int("failed_calls", f.failedCalls).Int("unavailable", f.unavailable).Msg("store reachable again")
}

// afterOutage reports whether an outage of the store ended so recently that
// missing items may come back. The caller holds the lock.
func (f *Follower[T]) afterOutage(now time.Time) bool {
	return !f.recoveredAt.IsZero() && now.Sub(f.recoveredAt) < returnPeriod
}

// applyList replaces the state by a list that was requested at called, unless a peer's
// state is newer.
func (f *Follower[T]) applyList(now, called time.Time, page Page[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordSuccess(now)
	page.After, f.checkedAt = f.checkedAt, called
	if !(Position{page.Era, page.Revision}).Before(f.position) {
		f.replace(now, page)
	}
}

// replace replaces the whole state and passes it to the Sink. The caller holds
// the lock.
func (f *Follower[T]) replace(now time.Time, page Page[T]) {
	if page.Era > f.position.Era {
		f.lastChange = Position{Era: page.Era}
		if f.position.Revision > 0 {
			// What the copy lacks is written again by those who wrote it.
			f.recoveredAt = now
			f.opts.Log.Warn().Str("collection", f.opts.Name).Uint64("era", f.position.Era).Uint64("revision", f.position.Revision).
				Uint64("new_era", page.Era).Uint64("new_revision", page.Revision).Msg("state of a new era")
		}
	}
	if f.position.Revision == 0 {
		f.firstEra = page.Era
	}
	f.position = Position{page.Era, page.Revision}
	f.deletedAfter = page.Revision
	f.deleted = nil
	clear(f.items)
	for _, item := range page.Items {
		f.items[item.Name] = item
		f.lastChange.Revision = max(f.lastChange.Revision, item.Revision)
	}
	f.opts.Sink.Replace(now, page, f.afterOutage(now))
}

// applyWatch applies the changes of a watch that started at called after a position, and
// waited for them up to maxWait.
func (f *Follower[T]) applyWatch(now, called time.Time, maxWait time.Duration, after Position, page Page[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordSuccess(now)
	// A response that arrives later was on the way, or this VM stood still.
	latest := called.Add(maxWait + maxGap)
	page.After = now
	if called.Sub(f.checkedAt) > maxGap || now.After(latest) {
		page.After = f.checkedAt
	}
	f.checkedAt = now
	if now.After(latest) {
		f.checkedAt = latest
	}
	// A peer's newer state may have been applied meanwhile.
	if page.Era != f.position.Era || page.Revision < f.position.Revision || after != f.position {
		return
	}
	f.apply(now, page)
}

// apply applies changes and passes them to the Sink. The caller holds the lock.
func (f *Follower[T]) apply(now time.Time, page Page[T]) {
	f.position.Revision = page.Revision
	for _, item := range page.Items {
		if !item.Deleted {
			f.items[item.Name] = item
			// A peer that has the new item must not get the earlier deletion, whose
			// revision is not known exactly.
			f.deleted = slices.DeleteFunc(f.deleted, func(d Item[T]) bool { return d.Name == item.Name })
			continue
		}
		delete(f.items, item.Name)
		// The store may give a deleted item the revision of its last change, which
		// is lower than that of its deletion.
		item.Revision = page.Revision
		f.deleted = append(f.deleted, item)
	}
	if excess := len(f.deleted) - maxDeleted; excess > 0 {
		f.deletedAfter = f.deleted[excess-1].Revision
		f.deleted = f.deleted[excess:]
	}
	if len(page.Items) > 0 {
		f.lastChange.Revision = page.Revision
		f.opts.Sink.Apply(now, page, f.afterOutage(now))
	}
}
