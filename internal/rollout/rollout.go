// Package rollout brings all model engines to the version of the weights that
// operators desire. One VM at a time sends the orders: the holder of a lease.
//
// An order may be carried out late, or although no response arrived. It carries
// the number of orders that the engine has taken, so that only one of two copies
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

// Report is an engine's state as the engine reports it.
type Report struct {
	Version int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// Orders is the number of orders that the engine has taken.
	Orders int64
	// Active is the number of requests that the engine runs.
	Active int
}

// Order makes an engine load a version of the weights.
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
	// ErrFenced means that the engine has seen the order of a later lease holder.
	ErrFenced = errors.New("rollout: a later lease holder sends orders")

	errNotHeld = errors.New("rollout: the lease is not held")
)

// Engines sends calls to model engines. Its implementations are safe for
// concurrent use.
type Engines interface {
	Report(ctx context.Context, u roster.Upstream) (Report, error)
	// LoadWeights sends an order. After an error other than ErrDeclined and ErrFenced
	// the engine may still carry out the order, also later.
	LoadWeights(ctx context.Context, o Order) error
}

// Options sets up a Rollout. All but LeaderLost, CutOff and Log are required.
type Options struct {
	Elector   *Elector
	Engines   Engines
	Upstreams *roster.Table
	Clock     Clock
	Holder    string
	// Rank returns this VM's position in the order in which VMs try to take the
	// lease, 0 for the first.
	Rank func(now time.Time) int
	// LeaderLost, if it is set, reports whether the last leader has lost the lease, and since
	// when this VM knows that.
	LeaderLost func() (since time.Time, lost bool)
	// CutOff, if it is set, reports whether this VM does not reach the engines while other
	// VMs do: then one of those is to change their weights.
	CutOff func() bool
	// OnChanged is called after each successful change, with the time from the
	// selection of the engine until its new weights were reported. While this VM
	// stops, the time ends with its last call to the engine.
	OnChanged func(took time.Duration)
	Log       zerolog.Logger
}

// The timing of a rollout that package experiment simulates as well.
const (
	// TickInterval is the interval at which the lease holder selects engines.
	TickInterval = 60 * time.Millisecond
	// AnnounceLead is how long before an order it is announced to the peers, so
	// that none of them sends new requests to the engine.
	AnnounceLead = 200 * time.Millisecond
	// DrainTimeout is how long an engine has to finish its requests before the
	// order is sent. The engine finishes the remaining ones before it loads.
	DrainTimeout = 2500 * time.Millisecond
	// ReportInterval is the interval at which an engine that changes is polled.
	ReportInterval = 220 * time.Millisecond
)

const (
	// rankDelay is how long a VM waits for each VM with a lower rank before it
	// tries to take the lease.
	rankDelay = 1200 * time.Millisecond
	// lostRankDelay is the same once the leader has said that it has lost the lease. It is
	// enough for the lease of another VM to be seen in the store.
	lostRankDelay = 250 * time.Millisecond
	// peerChangeTTL is how long an entry of Rollout.peerChanges counts. It is
	// longer than the time in which two VMs must not both send orders to one
	// engine.
	peerChangeTTL = time.Minute
	// lastOrdersPeriod is how long a VM that stops continues to send orders.
	lastOrdersPeriod = 200 * time.Millisecond
	// leaseCheckInterval is the time between two reads of a lease that another VM
	// holds. It is short compared with leaseTerm, so that an expired lease is
	// noticed soon.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseBackoff is the mean time until the next attempt after a call for the
	// lease has failed.
	leaseBackoff = 250 * time.Millisecond
	callTimeout  = 500 * time.Millisecond
	// targetInterval is the time between two checks whether the stored lease has an
	// engine as its target.
	targetInterval = 20 * time.Millisecond
	// uncertaintyInterval is how long an order without an effect is not repeated,
	// since it may still be carried out.
	uncertaintyInterval = 900 * time.Millisecond
	// changeTimeout limits the change of one engine.
	changeTimeout = 12 * time.Second
	// maxLoadingShare is the share of the engines that may load at the same time:
	// more of them slow one another down. Half as many more may drain meanwhile.
	maxLoadingShare = 0.22
	minLoading      = 3
)

// Rollout brings engines up to date while its VM holds the lease.
type Rollout struct {
	opts Options

	// retryAt is when the next attempt to acquire the lease is due. Only Run's
	// goroutine uses it.
	retryAt time.Time

	// wake makes Run store a new target without waiting for the next tick.
	wake chan struct{}

	// stopping is set when this VM stops and is about to release the lease.
	stopping atomic.Bool

	mu sync.Mutex
	// changing holds the IDs of the engines that this VM is changing.
	changing map[string]bool
	// loading holds the IDs of the engines whose slots are in use, see MaxLoading, and
	// loadedAt when those of other engines were last freed.
	loading  map[string]bool
	loadedAt map[string]time.Time
	// ordersSent is the number of orders sent under the lease with the fence ordersFence.
	ordersFence uint64
	ordersSent  int
	// lastProgress is when the rollout last progressed: the number of outdated
	// engines changed, a change ended, or another VM reported work.
	lastProgress time.Time
	// outdatedCount is the number of outdated engines.
	outdatedCount int
	// peerChanges is when another VM last announced that it changes an engine,
	// by the engine's ID.
	peerChanges map[string]time.Time
	// failedAt is when the last change of an engine failed, by the engine's ID.
	failedAt map[string]time.Time
}

// New returns a Rollout.
func New(opts Options) *Rollout {
	return &Rollout{opts: opts, wake: make(chan struct{}, 1), changing: make(map[string]bool), loading: make(map[string]bool), loadedAt: make(map[string]time.Time), failedAt: make(map[string]time.Time), peerChanges: make(map[string]time.Time)}
}

// RecordProgress records that another VM was changing the engines at the given
// time.
func (r *Rollout) RecordProgress(at time.Time, engines ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.lastProgress) {
		r.lastProgress = at
	}
	for _, id := range engines {
		if !r.changing[id] && at.After(r.peerChanges[id]) {
			r.peerChanges[id] = at
		}
	}
}

// Changing returns the sorted IDs of the engines that this VM is changing.
func (r *Rollout) Changing() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.changing))
}

// Targets returns the engines that this VM is about to send an order to, and those to
// which it may have sent one within the Elector's HandoverPeriod.
func (r *Rollout) Targets(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.loadedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= r.opts.Elector.HandoverPeriod() })
	return slices.AppendSeq(slices.Collect(maps.Keys(r.loading)), maps.Keys(r.loadedAt))
}

// Run brings engines up to date until ctx ends. Then it continues for
// lastOrdersPeriod and releases the lease.
func (r *Rollout) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	changes, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stopping.Store(true)
			r.renewUntil(context.WithoutCancel(ctx), r.opts.Clock.Now().Add(lastOrdersPeriod))
			stop()
			wg.Wait()
			if err := r.opts.Elector.Release(context.WithoutCancel(ctx)); err != nil {
				r.opts.Log.Warn().Err(err).Msg("lease not released")
			}
			return
		case <-ticker.C:
			r.step(ctx, changes, &wg)
		case <-r.wake:
			r.step(ctx, changes, &wg)
		}
	}
}

// renewUntil keeps the lease for the last orders of a VM that stops.
func (r *Rollout) renewUntil(ctx context.Context, end time.Time) {
	for now := r.opts.Clock.Now(); now.Before(end); now = r.opts.Clock.Now() {
		if r.opts.Elector.Holds(now) {
			if err := r.opts.Elector.Acquire(ctx); err != nil {
				r.opts.Log.Warn().Err(err).Msg("lease not renewed")
			}
		}
		wait.For(ctx, targetInterval)
	}
}

// step runs once per TickInterval. If engines are outdated, it acquires or renews
// the lease and starts the next changes, each in a goroutine of wg with the
// context changes. If no engine is outdated or changing, it releases the lease.
func (r *Rollout) step(ctx, changes context.Context, wg *sync.WaitGroup) {
	now := r.opts.Clock.Now()
	outdated := r.outdated()
	r.recordOutdated(now, len(outdated))
	if len(outdated) == 0 || r.opts.CutOff != nil && r.opts.CutOff() {
		if r.idle() {
			if err := r.opts.Elector.Release(ctx); err != nil {
				r.opts.Log.Warn().Err(err).Msg("lease not released")
			}
		}
		return
	}
	if !r.opts.Elector.Holds(now) && !r.isDue(now) {
		return
	}
	if now.Before(r.retryAt) {
		return
	}
	if err := r.opts.Elector.Acquire(ctx); err != nil {
		r.opts.Log.Warn().Err(err).Msg("lease not acquired")
		r.retryAt = r.opts.Clock.Now().Add(leaseBackoff/2 + rand.N(leaseBackoff))
		return
	}
	if !r.opts.Elector.Holds(now) {
		// Another VM holds the lease. Each check costs a call to the store.
		r.retryAt = now.Add(leaseCheckInterval)
		return
	}
	if _, may := r.opts.Elector.MaySend(r.opts.Clock.Now()); !may {
		return
	}
	for _, u := range r.selectEngines(now, outdated) {
		wg.Go(func() { r.changeEngine(changes, u) })
	}
}

// idle reports whether this VM is changing no engine.
func (r *Rollout) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changing) == 0
}

// recordOutdated records the number of outdated engines. A changed number
// counts as progress.
func (r *Rollout) recordOutdated(now time.Time, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if count != r.outdatedCount {
		r.outdatedCount = count
		r.lastProgress = now
	}
}

// isDue reports whether this VM may try to take the lease: no VM has made
// progress for rankDelay per VM with a lower rank, so that those could try
// first, or the leader has lost the lease some time ago.
func (r *Rollout) isDue(now time.Time) bool {
	rank := r.opts.Rank(now)
	if r.opts.LeaderLost != nil {
		if since, lost := r.opts.LeaderLost(); lost && now.Sub(since) >= time.Duration(rank)*lostRankDelay {
			return true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastProgress) >= time.Duration(rank)*rankDelay
}

// outdated returns the engines whose weights are older than the desired version.
func (r *Rollout) outdated() []roster.Upstream {
	var list []roster.Upstream
	for _, u := range r.opts.Upstreams.All() {
		if u.Model == "" || u.Leaving {
			continue
		}
		if u.Version < r.opts.Upstreams.Desired(u.Model) {
			list = append(list, u)
		}
	}
	return list
}

// selectEngines marks and returns the engines whose change starts now: those
// with the oldest weights first, then those with the fewest requests. It leaves
// out engines that the previous lease holder may still be changing.
func (r *Rollout) selectEngines(now time.Time, candidates []roster.Upstream) []roster.Upstream {
	const failedBackoff = 700 * time.Millisecond
	maxChanging := MaxChanging(r.engineCount())
	avoided := r.opts.Upstreams.Avoided(now)
	load := r.opts.Upstreams.TotalLoad(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	slots := maxChanging - len(r.changing)
	candidates = slices.DeleteFunc(candidates, func(u roster.Upstream) bool {
		return r.changing[u.ID] || now.Sub(r.failedAt[u.ID]) < failedBackoff || slices.Contains(avoided, u.ID) ||
			r.opts.Elector.InHandover(now, u.ID, now.Sub(r.peerChanges[u.ID]) < peerChangeTTL)
	})
	slices.SortFunc(candidates, func(a, b roster.Upstream) int {
		// The oldest weights are the first that are no longer allowed to serve.
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(load[a.ID].Requests, load[b.ID].Requests), cmp.Compare(a.ID, b.ID))
	})
	candidates = candidates[:max(0, min(slots, len(candidates)))]
	for _, u := range candidates {
		r.changing[u.ID] = true
	}
	return candidates
}

// engineCount returns the number of model engines.
func (r *Rollout) engineCount() int {
	n := 0
	for _, u := range r.opts.Upstreams.All() {
		if u.Model != "" {
			n++
		}
	}
	return n
}

// MaxLoading returns how many of the given number of engines may load at the
// same time.
func MaxLoading(engines int) int {
	return max(minLoading, int(math.Ceil(maxLoadingShare*float64(engines))))
}

// MaxChanging returns how many of the given number of engines may load, or drain
// before they load, at the same time.
func MaxChanging(engines int) int {
	loading := MaxLoading(engines)
	return loading + (loading+1)/2
}
