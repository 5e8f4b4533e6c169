package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// Lease is the store's object that names the VM which may send orders.
type Lease struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	// Fence grows with each new holder, and is above all fences of earlier eras.
	Fence uint64 `json:"fence"`
	// Renewal grows with each renewal, so that each write changes the object.
	Renewal  uint64 `json:"renewal"`
	Released bool   `json:"released"`
	// OrdersInMS and HandoverInMS are the times from the write until the holder may
	// send its first order, and its first one to an engine that the previous holder
	// was changing. A holder that does not know that its write took effect, or that
	// restarts, still has to wait.
	OrdersInMS   int64 `json:"orders_in_ms,omitempty"`
	HandoverInMS int64 `json:"handover_in_ms,omitempty"`
	// Era is the store's era in which the lease was written. One of an earlier era
	// is from a copy: another VM may have held the lease since.
	Era uint64 `json:"era,omitempty"`
	// Desired holds the desired versions with their ages at WrittenMS, the writer's time
	// of day in Unix milliseconds. Only earlier builds read them: the writer's clock, or
	// the reader's, may be wrong.
	Desired   []roster.DesiredAge `json:"named,omitempty"`
	WrittenMS int64               `json:"written_ms,omitempty"`
	// Targets holds the IDs of the engines that may get an order under this lease
	// until the next write, or may have got one so recently that another VM must not
	// order them yet. It is nil if the writer is of a build that does not record them:
	// then it may be any engine.
	Targets []string `json:"targets"`
	// Revision is the object's revision in the store, or 0 if it is not stored yet.
	Revision uint64 `json:"-"`
	// ReadEra is the store's era in the response that held the lease.
	ReadEra uint64 `json:"-"`
}

// LeaseStore reads and writes the lease. Its implementations are safe for
// concurrent use.
type LeaseStore interface {
	// Read returns the lease, or registry.ErrNotFound.
	Read(ctx context.Context) (Lease, error)
	// Write replaces the lease if its revision is still l.Revision, and returns
	// it with its new one. The errors registry.ErrConflict and
	// registry.ErrRefused mean that nothing was written; after any other the
	// lease may have been written.
	Write(ctx context.Context, l Lease) (Lease, error)
	// Era returns the store's era, as far as known.
	Era() uint64
}

// Clock gives access to both clocks of a VM.
type Clock struct {
	// Now returns the present time with a monotonic clock reading, which may
	// stand still while the VM is suspended.
	Now func() time.Time
	// Boot returns the time since the VM's boot, time in suspension included.
	Boot func() time.Duration
}

// ElectorOptions sets up an Elector. All but DesiredAges, LastRenewal, OnRead
// and Log are required.
type ElectorOptions struct {
	Store       LeaseStore
	Clock       Clock
	Holder      string
	Incarnation int64
	// HandoverDelay is the minimum time between the orders of two holders.
	HandoverDelay time.Duration
	// SteppedDown reports whether a holder has announced that it no longer holds
	// the lease with this fence.
	SteppedDown func(holder string, incarnation int64, fence uint64) bool
	// DesiredAges, if it is set, returns the desired versions with their ages for VMs of
	// earlier builds.
	DesiredAges func(now time.Time) roster.DesiredAges
	// Targets returns the engines to which this VM is about to send an order, and
	// those to which it may have sent one within HandoverPeriod.
	Targets func(now time.Time) []string
	// LastRenewal, if it is set, returns the last renewal of the lease with a fence
	// that peers have reported, and when this VM first heard of it. It returns a
	// zero time if there is none.
	LastRenewal func(fence uint64) (renewal uint64, heardAt time.Time)
	// OnRead, if it is set, is called with each lease that was read from the store.
	OnRead func(now time.Time, l Lease)
	Log    zerolog.Logger
}

const (
	// leaseTerm is how long a holder may send orders after it has sent a renewal
	// that the store confirmed. It is shorter than HandoverDelay so that a failed
	// holder is replaced sooner.
	leaseTerm = 1500 * time.Millisecond
	// renewInterval leaves time for two more attempts within a term.
	renewInterval = 450 * time.Millisecond
	// handoverMargin covers clocks that run at slightly different speeds, and
	// the network time of an order to its engine.
	handoverMargin   = 300 * time.Millisecond
	leaseCallTimeout = 800 * time.Millisecond
)

// Elector acquires and renews the lease for one VM. It is safe for concurrent
// use.
type Elector struct {
	opts ElectorOptions

	mu   sync.Mutex
	held bool
	// lost is set if the last lease that this VM held was lost rather than released.
	lost bool
	// lease is the last lease that was read or written. It has been unchanged
	// since unchangedSince.
	lease          Lease
	unchangedSince time.Time
	// renewedAt and renewedBoot are when the last confirmed write of the lease
	// was sent, by both clocks.
	renewedAt   time.Time
	renewedBoot time.Duration
	takeoverTerms
}

// takeoverTerms are the terms under which a VM took over the lease.
type takeoverTerms struct {
	// ordersFrom is when the first order may be sent. handoverEnd is when the
	// first one may be sent to an engine that the previous holder was changing.
	ordersFrom, handoverEnd time.Time
	// inherited holds the targets of the lease that was replaced, and is nil if it recorded
	// none. They stay targets until inheritedUntil, so that the next holder waits for them
	// as well.
	inherited      []string
	inheritedUntil time.Time
	// interrupted is set if the previous holder did not release its lease.
	interrupted bool
}

// NewElector returns an Elector that does not hold the lease.
func NewElector(opts ElectorOptions) *Elector { return &Elector{opts: opts} }

// MaySend reports whether this VM may send an order at this moment, and with
// which fence.
func (e *Elector) MaySend(now time.Time) (fence uint64, may bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.valid(now) || now.Before(e.ordersFrom) {
		return 0, false
	}
	return e.lease.Fence, true
}

// MayOrder reports whether this VM may send an order to an engine at this moment, and
// with which fence. The engine must be a target of the stored lease, so that the next
// holder knows that it may have got an order.
func (e *Elector) MayOrder(now time.Time, engine string) (fence uint64, may bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.valid(now) || now.Before(e.ordersFrom) || !slices.Contains(e.lease.Targets, engine) ||
		now.Before(e.handoverEnd) && slices.Contains(e.inherited, engine) {
		return 0, false
	}
	return e.lease.Fence, true
}

// InHandover reports whether the previous holder may have sent an order to an engine
// so recently that this VM must still wait. announced tells whether a peer has announced
// that it changes the engine, which counts if the previous holder recorded no targets.
func (e *Elector) InHandover(now time.Time, engine string, announced bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.handoverEnd) && (slices.Contains(e.inherited, engine) || announced && e.inherited == nil)
}

// Interrupted reports whether the holder before this VM did not release its lease: it
// failed, or could not renew the lease.
func (e *Elector) Interrupted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.interrupted
}

// HandoverPeriod is the time between the last order that a holder may have sent to an
// engine and the first one of the next holder.
func (e *Elector) HandoverPeriod() time.Duration { return e.opts.HandoverDelay + handoverMargin }

// Holds reports whether this VM holds the lease. It may still have to wait
// before its first order, see MaySend.
func (e *Elector) Holds(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.valid(now)
}

// Held returns the fence and the last confirmed renewal of the lease if this VM holds it,
// and zeros otherwise.
func (e *Elector) Held(now time.Time) (fence, renewal uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.valid(now) {
		return 0, 0
	}
	return e.lease.Fence, e.lease.Renewal
}

// valid reports whether the lease is held, the store has not come back from a copy
// since, and the term has not ended by either clock: the monotonic one stands still
// while the VM is suspended. The caller holds the lock.
func (e *Elector) valid(now time.Time) bool {
	return e.held && e.opts.Store.Era() == e.lease.Era && now.Sub(e.renewedAt) < leaseTerm && e.opts.Clock.Boot()-e.renewedBoot < leaseTerm
}

// Lost reports whether this VM has lost the last lease that it held, rather than released it.
func (e *Elector) Lost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.held && e.lost || e.held && !e.valid(e.opts.Clock.Now())
}

// Fence returns the fence of the last lease that this VM held. It returns 0 if
// there is none, or if this VM has read another holder's lease since.
func (e *Elector) Fence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lease.Holder != e.opts.Holder || e.lease.Incarnation != e.opts.Incarnation {
		return 0
	}
	return e.lease.Fence
}

// Acquire renews the lease if it is held and due for renewal or lacks a target, and
// takes it over if it is free. A lease that another VM holds is no error: check with Holds.
func (e *Elector) Acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	now := e.opts.Clock.Now()
	e.mu.Lock()
	if e.held && !e.valid(now) {
		reason := "not renewed in time"
		if e.opts.Store.Era() != e.lease.Era {
			reason = "the store came back from a copy"
		}
		e.markLost(now, reason)
	}
	held, lease, due := e.held, e.lease, now.Sub(e.renewedAt) >= renewInterval
	e.mu.Unlock()
	if !held {
		return e.takeOver(ctx)
	}
	if !due && !e.lacksTarget(now, lease) {
		return nil
	}
	lease.Renewal++
	return e.writeLease(ctx, lease, takeoverTerms{})
}

// lacksTarget reports whether an engine to which this VM is about to send an order is no
// target of the lease.
func (e *Elector) lacksTarget(now time.Time, l Lease) bool {
	return slices.ContainsFunc(e.opts.Targets(now), func(id string) bool { return !slices.Contains(l.Targets, id) })
}

// takeOver reads the lease and takes it over if it was released, its holder has
// stepped down, or it has not been renewed in time.
func (e *Elector) takeOver(ctx context.Context) error {
	found, err := e.opts.Store.Read(ctx)
	now := e.opts.Clock.Now()
	if errors.Is(err, registry.ErrNotFound) {
		ordersFrom, era := now, e.opts.Store.Era()
		if era > 0 {
			// The copy may lack the lease of a VM that still holds it.
			ordersFrom = now.Add(leaseTerm + e.HandoverPeriod())
		}
		return e.writeLease(ctx, Lease{Holder: e.opts.Holder, Incarnation: e.opts.Incarnation, Era: era, Fence: nextFence(era, Lease{})},
			takeoverTerms{ordersFrom: ordersFrom, handoverEnd: ordersFrom})
	}
	if err != nil {
		return fmt.Errorf("rollout: read lease: %w", err)
	}
	if e.opts.OnRead != nil {
		e.opts.OnRead(now, found)
	}
	// What a copy says of its holder may have changed after the copy was made.
	copied := found.Era != found.ReadEra
	e.mu.Lock()
	if found.Revision != e.lease.Revision || found.ReadEra != e.lease.ReadEra || e.unchangedSince.IsZero() {
		e.lease = found
		e.unchangedSince = now
		if e.opts.LastRenewal != nil && !copied {
			// The store had this renewal already when a peer reported it.
			if renewal, heardAt := e.opts.LastRenewal(found.Fence); renewal == found.Renewal && !heardAt.IsZero() && heardAt.Before(now) {
				e.unchangedSince = heardAt
			}
		}
	}
	unchanged := now.Sub(e.unchangedSince)
	e.mu.Unlock()
	sameHolder := !copied && found.Holder == e.opts.Holder
	free := !copied && (found.Released || e.opts.SteppedDown(found.Holder, found.Incarnation, found.Fence))
	if !sameHolder && !free && unchanged < leaseTerm+handoverMargin {
		return nil
	}
	terms := takeoverTerms{
		ordersFrom:     now.Add(time.Duration(found.OrdersInMS) * time.Millisecond),
		handoverEnd:    now.Add(time.Duration(found.HandoverInMS) * time.Millisecond),
		inherited:      found.Targets,
		inheritedUntil: now.Add(e.HandoverPeriod()),
		interrupted:    !found.Released,
	}
	if !sameHolder {
		// The previous holder may have sent an order to a target until just now.
		terms.handoverEnd = terms.inheritedUntil
		if !free && (copied || found.Targets == nil) {
			// It is not known to which engines. A VM of a build that records no targets
			// announces them when it steps down or releases the lease.
			terms.ordersFrom = terms.handoverEnd
		}
	}
	next := Lease{
		Holder: e.opts.Holder, Incarnation: e.opts.Incarnation, Revision: found.Revision, Era: found.ReadEra,
		Fence: nextFence(found.ReadEra, found), Renewal: found.Renewal + 1,
	}
	return e.writeLease(ctx, next, terms)
}

// fenceEraBits is the number of bits of a fence below the era.
const fenceEraBits = 32

// nextFence returns the fence of the lease that replaces found in an era. It is
// above all fences of earlier eras. Within an era no two leases have the same, since
// a lease can replace a revision only once, even if a VM that does not know the era
// yet has written the same fence again.
func nextFence(era uint64, found Lease) uint64 {
	if era == 0 {
		return found.Fence + 1
	}
	return max(found.Fence, era<<fenceEraBits+found.Revision) + 1
}

// writeLease stores the lease. terms take effect only if the lease was not held
// before.
func (e *Elector) writeLease(ctx context.Context, l Lease, terms takeoverTerms) error {
	now, boot := e.opts.Clock.Now(), e.opts.Clock.Boot()
	e.mu.Lock()
	if e.held {
		terms = e.takeoverTerms
	}
	e.mu.Unlock()
	l.OrdersInMS = max(0, terms.ordersFrom.Sub(now)).Milliseconds()
	l.HandoverInMS = max(0, terms.handoverEnd.Sub(now)).Milliseconds()
	l.Targets = e.targets(now, terms)
	l.Released = false
	if e.opts.DesiredAges != nil {
		l.Desired, l.WrittenMS = e.opts.DesiredAges(now).List, now.UnixMilli()
	}
	written, err := e.opts.Store.Write(ctx, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		// A renewal with an unknown outcome does not extend the term. The lease
		// expires at the end of its term, unless a conflict shows that another
		// VM holds it already.
		if errors.Is(err, registry.ErrConflict) && e.held {
			e.markLost(now, "taken by another")
		}
		return fmt.Errorf("rollout: write lease: %w", err)
	}
	if written.ReadEra != l.Era {
		// The condition may have held for another state, which has the same revision.
		if e.held {
			e.markLost(now, "the store came back from a copy")
		}
		return fmt.Errorf("rollout: write lease of era %d in era %d: %w", l.Era, written.ReadEra, registry.ErrConflict)
	}
	if e.held && !e.valid(e.opts.Clock.Now()) {
		// This VM may have announced meanwhile that it lost the lease.
		e.markLost(now, "renewed too late")
		return nil
	}
	if !e.held {
		e.opts.Log.Info().Uint64("fence", written.Fence).Time("opens", terms.ordersFrom).Strs("in_handover", terms.inherited).Bool("interrupted", terms.interrupted).Msg("lease taken")
		e.takeoverTerms = terms
	}
	e.held, e.lost = true, false
	e.lease = written
	e.unchangedSince = now
	e.renewedAt = now
	e.renewedBoot = boot
	return nil
}

// targets returns the targets of a lease that is written at now.
func (e *Elector) targets(now time.Time, terms takeoverTerms) []string {
	list := slices.Clone(e.opts.Targets(now))
	if now.Before(terms.inheritedUntil) {
		list = append(list, terms.inherited...)
	}
	slices.Sort(list)
	return append([]string{}, slices.Compact(list)...)
}

// markLost records that the lease is no longer held. The next one needs a new
// fence. The caller holds the lock.
func (e *Elector) markLost(now time.Time, reason string) {
	e.held, e.lost = false, true
	e.unchangedSince = time.Time{}
	e.opts.Log.Warn().Uint64("fence", e.lease.Fence).Dur("since_renewal", now.Sub(e.renewedAt)).Str("reason", reason).Msg("lease lost")
}

// Release gives up the lease, so that another VM does not have to wait for the
// end of its term. It does nothing if the lease is not held.
func (e *Elector) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	e.mu.Lock()
	held, lease, terms := e.held, e.lease, e.takeoverTerms
	e.held = false
	e.unchangedSince = time.Time{}
	e.mu.Unlock()
	if !held || lease.Era != e.opts.Store.Era() {
		return nil
	}
	now := e.opts.Clock.Now()
	lease.OrdersInMS = max(0, terms.ordersFrom.Sub(now)).Milliseconds()
	lease.Targets = e.targets(now, terms)
	lease.Released = true
	lease.Renewal++
	if _, err := e.opts.Store.Write(ctx, lease); err != nil {
		return fmt.Errorf("rollout: release lease: %w", err)
	}
	e.opts.Log.Info().Uint64("fence", lease.Fence).Msg("lease released")
	return nil
}
