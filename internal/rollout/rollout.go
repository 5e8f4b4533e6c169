// Package rollout brings all model engines to the newest weights that operators
// have named. One VM at a time gives the orders: the holder of a lease.
//
// An order may be carried out although it was not answered, and late. It names
// the number of orders that the engine has had, so that of two copies only one
// can take effect, and the engine's own report decides what happens next.
//
// # Usage
//
//	r := rollout.New(rollout.Options{Elector: elector, Engines: engines, Upstreams: table, ...})
//	go r.Run(ctx)
//
// A Rollout is safe for concurrent use.
package rollout

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// Report is what an engine says of itself.
type Report struct {
	Version int64
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders that the engine has taken.
	Orders int64
	Active int
}

// Order tells an engine to load weights.
type Order struct {
	Upstream roster.Upstream
	Version  int64
	Holder   string
	Fence    uint64
	// Expected is the number of orders that the engine has taken so far.
	Expected int64
}

// The errors of Engines.
var (
	// ErrDeclined means that the engine has not taken the order.
	ErrDeclined = errors.New("rollout: order declined")
	// ErrFenced means that the engine has seen a later holder.
	ErrFenced = errors.New("rollout: a later holder gives orders")

	errNotHeld = errors.New("rollout: the lease is not held")
)

// Engines speaks to model engines.
type Engines interface {
	Report(ctx context.Context, u roster.Upstream) (Report, error)
	// Load gives an order. After an error other than ErrDeclined and ErrFenced
	// the order may be carried out, also later.
	Load(ctx context.Context, o Order) error
}

// Options sets up a Rollout. All are required but the log.
type Options struct {
	Elector   *Elector
	Engines   Engines
	Upstreams *roster.Table
	Clock     Clock
	Holder    string
	// Rank returns this VM's place in the order in which VMs try to take the
	// lease, 0 for the first.
	Rank func(now time.Time) int
	// OnChanged hears how long each engine's change took, from its choice until its
	// new weights were seen.
	OnChanged func(took time.Duration)
	Log       zerolog.Logger
}

// The figures of a rollout that a model of one needs as well.
const (
	// Tick is how often the VM that leads looks what to do.
	Tick = 60 * time.Millisecond
	// AnnounceLead is how long before an order the peers are told of it, so
	// that none of them sends new work there.
	AnnounceLead = 200 * time.Millisecond
	// DrainTimeout is how long an engine is given to become free of work before
	// its order, which then waits for the rest.
	DrainTimeout = 2500 * time.Millisecond
	// ReportInterval is the time between two looks at an engine that changes.
	ReportInterval = 220 * time.Millisecond
)

const (
	// turnPeriod is how long a VM waits for each one that comes before it.
	turnPeriod = 1200 * time.Millisecond
	// othersMemory is over the time in which two VMs may not both give orders to
	// one engine.
	othersMemory = time.Minute
	// lastOrders is how long the last orders of a VM that stops may take.
	lastOrders = 150 * time.Millisecond
	// lookEvery is short against the term of a lease that may have lapsed.
	lookEvery = 100 * time.Millisecond
	// leasePause is the mean time between two tries to have the lease.
	leasePause  = 250 * time.Millisecond
	callTimeout = 500 * time.Millisecond
	// doubtPeriod is how long an order without an answer is left alone.
	doubtPeriod = 900 * time.Millisecond
	// changeTimeout bounds one engine's change.
	changeTimeout = 12 * time.Second
	// loadsShare is the part of the engines that may load at once; more of them
	// slow one another down. Half as many more are made free of work beforehand.
	loadsShare = 0.22
	leastLoads = 3
)

// Rollout is one VM's part in bringing engines up to date.
type Rollout struct {
	opts Options

	// retryAt is when the lease is tried again after a failure. Only Run's
	// goroutine uses it.
	retryAt time.Time

	// closing says that this VM is about to let the lease go.
	closing atomic.Bool

	mu       sync.Mutex
	changing map[string]bool
	// loading counts the engines that have been given an order.
	loading int
	// progress is when an engine was last seen to change.
	progress time.Time
	behind   int
	// others is when another VM last said that it changes each engine.
	others map[string]time.Time
	// failed is when each engine's last change did not work.
	failed map[string]time.Time
}

// New returns a Rollout.
func New(opts Options) *Rollout {
	return &Rollout{opts: opts, changing: make(map[string]bool), failed: make(map[string]time.Time), others: make(map[string]time.Time)}
}

// RecordProgress notes that another VM was at work at a time, and on which engines.
func (r *Rollout) RecordProgress(at time.Time, engines ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.progress) {
		r.progress = at
	}
	for _, id := range engines {
		if !r.changing[id] && at.After(r.others[id]) {
			r.others[id] = at
		}
	}
}

// Working reports whether this VM is changing engines.
func (r *Rollout) Working(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behind > 0 && r.opts.Elector.Holds(now)
}

// Changing returns the engines that this VM is changing.
func (r *Rollout) Changing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.changing))
}

// Run works until ctx ends.
func (r *Rollout) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	changes, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.closing.Store(true)
			wait.For(context.WithoutCancel(ctx), lastOrders)
			stop()
			wg.Wait()
			if err := r.opts.Elector.Release(context.WithoutCancel(ctx)); err != nil {
				r.opts.Log.Warn().Err(err).Msg("lease not released")
			}
			return
		case <-ticker.C:
			r.step(ctx, changes, &wg)
		}
	}
}

func (r *Rollout) step(ctx, changes context.Context, wg *sync.WaitGroup) {
	now := r.opts.Clock.Now()
	behind := r.outdated()
	r.note(now, len(behind))
	if len(behind) == 0 {
		if r.idle() {
			if err := r.opts.Elector.Release(ctx); err != nil {
				r.opts.Log.Warn().Err(err).Msg("lease not released")
			}
		}
		return
	}
	if !r.opts.Elector.Holds(now) && !r.due(now) {
		return
	}
	if now.Before(r.retryAt) {
		return
	}
	if err := r.opts.Elector.Acquire(ctx); err != nil {
		r.opts.Log.Warn().Err(err).Msg("lease not had")
		r.retryAt = r.opts.Clock.Now().Add(leasePause/2 + rand.N(leasePause))
		return
	}
	if !r.opts.Elector.Holds(now) {
		// Another VM has it. Each look costs a call to the store.
		r.retryAt = now.Add(lookEvery)
		return
	}
	if _, may := r.opts.Elector.May(r.opts.Clock.Now()); !may {
		return
	}
	for _, u := range r.next(now, behind) {
		wg.Go(func() { r.change(changes, u) })
	}
}

func (r *Rollout) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changing) == 0
}

// note keeps account of engines that have caught up.
func (r *Rollout) note(now time.Time, behind int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if behind != r.behind {
		r.behind = behind
		r.progress = now
	}
}

// due reports whether it is this VM's turn: nobody has made progress for as
// long as the VMs before it had to begin.
func (r *Rollout) due(now time.Time) bool {
	turn := r.opts.Rank(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.progress) >= time.Duration(turn)*turnPeriod
}

// outdated returns the engines with older weights than named.
func (r *Rollout) outdated() []roster.Upstream {
	var list []roster.Upstream
	for _, u := range r.opts.Upstreams.All() {
		if u.Model == "" || u.Leaving {
			continue
		}
		if named, _ := r.opts.Upstreams.Desired(u.Model); u.Version < named {
			list = append(list, u)
		}
	}
	return list
}

// next marks and returns the engines whose change begins now: the least busy first.
func (r *Rollout) next(now time.Time, behind []roster.Upstream) []roster.Upstream {
	const failedPause = 700 * time.Millisecond
	prepared := MaxChanging(r.engines())
	avoided := r.opts.Upstreams.Avoided(now)
	early := now.Before(r.opts.Elector.Waits())
	load := r.opts.Upstreams.TotalLoad(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	free := prepared - len(r.changing)
	behind = slices.DeleteFunc(behind, func(u roster.Upstream) bool {
		return r.changing[u.ID] || now.Sub(r.failed[u.ID]) < failedPause || slices.Contains(avoided, u.ID) ||
			early && now.Sub(r.others[u.ID]) < othersMemory
	})
	slices.SortFunc(behind, func(a, b roster.Upstream) int {
		// The oldest weights are the first that may no longer serve.
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(load[a.ID].Requests, load[b.ID].Requests), cmp.Compare(a.ID, b.ID))
	})
	behind = behind[:max(0, min(free, len(behind)))]
	for _, u := range behind {
		r.changing[u.ID] = true
	}
	return behind
}

// engines is how many model engines there are.
func (r *Rollout) engines() int {
	n := 0
	for _, u := range r.opts.Upstreams.All() {
		if u.Model != "" {
			n++
		}
	}
	return n
}

// MaxLoading is how many of so many engines may load at once.
func MaxLoading(engines int) int {
	return max(leastLoads, int(math.Ceil(loadsShare*float64(engines))))
}

// MaxChanging is how many of so many engines load or are made free for it.
func MaxChanging(engines int) int {
	loads := MaxLoading(engines)
	return loads + (loads+1)/2
}
