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

// Lease is the stored word on who may give orders.
type Lease struct {
	Holder      string `json:"holder"`
	Incarnation int64  `json:"incarnation"`
	// Fence grows with each new holder.
	Fence uint64 `json:"fence"`
	// Renewal grows with each renewal, so that each write changes the object.
	Renewal  uint64 `json:"renewal"`
	Released bool   `json:"released"`
	// Desired are the versions known to the writer, and WrittenMS its time of day
	// in Unix milliseconds, for VMs that start when no other runs.
	Desired   []roster.DesiredAge `json:"named,omitempty"`
	WrittenMS int64               `json:"written_ms,omitempty"`
	// Revision is the object's revision in the store. Zero stands for none.
	Revision uint64 `json:"-"`
}

// MostDowntime bounds what is believed of the time since a lease was written:
// times of day may differ and jump.
const MostDowntime = 30 * time.Second

// DesiredAges returns for how long versions have been named, at the reader's
// time of day.
func (l Lease) DesiredAges(now time.Time) []roster.DesiredAge {
	since := min(MostDowntime, max(0, now.Sub(time.UnixMilli(l.WrittenMS))))
	ages := slices.Clone(l.Desired)
	for i := range ages {
		ages[i].AgeMS += since.Milliseconds()
	}
	return ages
}

// LeaseStore keeps the lease in the store.
type LeaseStore interface {
	// Read returns the lease, or registry.ErrNotFound.
	Read(ctx context.Context) (Lease, error)
	// Write replaces the lease if its revision is still l.Revision, and returns
	// it with its new one. The errors registry.ErrConflict and
	// registry.ErrRefused mean that nothing was written; after any other the
	// lease may have been written.
	Write(ctx context.Context, l Lease) (Lease, error)
}

// Clock tells both clocks of a VM.
type Clock struct {
	// Now is the present time, with the steady clock's reading.
	Now func() time.Time
	// Boot is the time since the VM's start, with the time that it slept.
	Boot func() time.Duration
}

// ElectorOptions sets up an Elector. All are required but the log.
type ElectorOptions struct {
	Store       LeaseStore
	Clock       Clock
	Holder      string
	Incarnation int64
	// HandoverDelay is the least time between the orders of two holders.
	HandoverDelay time.Duration
	// SteppedDown reports whether a holder has said itself that it holds the lease
	// of this number no longer.
	SteppedDown func(holder string, incarnation int64, fence uint64) bool
	// DesiredAges returns for how long versions have been named, and MergeDesiredAges takes what
	// the lease of another holder says of it, before that is replaced.
	DesiredAges      func(now time.Time) []roster.DesiredAge
	MergeDesiredAges func(now time.Time, ages []roster.DesiredAge)
	Log              zerolog.Logger
}

const (
	// term is how long a holder may give orders after it has sent a renewal
	// that was confirmed. It is shorter than HandoverDelay so that a lost holder is
	// replaced sooner.
	term = 1500 * time.Millisecond
	// renewEvery leaves two more tries within a term.
	renewEvery = 450 * time.Millisecond
	// turnMargin covers clocks that run at slightly different speeds, and the
	// way of an order to its engine.
	turnMargin = 300 * time.Millisecond
	leaseCall  = 800 * time.Millisecond
)

// Elector holds the lease for one VM. It is safe for concurrent use.
type Elector struct {
	opts ElectorOptions

	mu   sync.Mutex
	held bool
	// lease is the last one known, seen since when it has been unchanged.
	lease Lease
	seen  time.Time
	// sent is when the last confirmed renewal was sent, by both clocks.
	sent     time.Time
	sentBoot time.Duration
	// opens is when the first order may be given, waits when the first to an
	// engine that the last holder may have given one.
	opens, waits time.Time
}

// NewElector returns an Elector that holds nothing.
func NewElector(opts ElectorOptions) *Elector { return &Elector{opts: opts} }

// May reports whether this VM may give an order at this moment, and under
// which number.
func (k *Elector) May(now time.Time) (fence uint64, may bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.valid(now) || now.Before(k.opens) {
		return 0, false
	}
	return k.lease.Fence, true
}

// Waits returns when an engine that the last holder was changing may be given
// an order.
func (k *Elector) Waits() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.waits
}

// Holds reports whether this VM holds the lease, though it may have to wait
// before its first order.
func (k *Elector) Holds(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.valid(now)
}

// valid compares both clocks: the steady one stands still while the VM sleeps.
func (k *Elector) valid(now time.Time) bool {
	return k.held && now.Sub(k.sent) < term && k.opts.Clock.Boot()-k.sentBoot < term
}

// Fence returns the number of the last lease that this VM had, or 0.
func (k *Elector) Fence() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease.Holder != k.opts.Holder || k.lease.Incarnation != k.opts.Incarnation {
		return 0
	}
	return k.lease.Fence
}

// Acquire takes or renews the lease if that is due and possible.
func (k *Elector) Acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	now := k.opts.Clock.Now()
	k.mu.Lock()
	if k.held && !k.valid(now) {
		k.lose(now, "not renewed in time")
	}
	held, lease, due := k.held, k.lease, now.Sub(k.sent) >= renewEvery
	k.mu.Unlock()
	if held {
		if !due {
			return nil
		}
		lease.Renewal++
		return k.write(ctx, lease, time.Time{}, time.Time{})
	}
	return k.take(ctx)
}

// take reads the lease and takes it over if its holder has let it go or lapse.
func (k *Elector) take(ctx context.Context) error {
	found, err := k.opts.Store.Read(ctx)
	now := k.opts.Clock.Now()
	if errors.Is(err, registry.ErrNotFound) {
		return k.write(ctx, Lease{Holder: k.opts.Holder, Incarnation: k.opts.Incarnation, Fence: 1}, now, now)
	}
	if err != nil {
		return fmt.Errorf("rollout: read lease: %w", err)
	}
	k.opts.MergeDesiredAges(now, found.DesiredAges(now))
	k.mu.Lock()
	if found.Revision != k.lease.Revision || k.seen.IsZero() {
		k.lease = found
		k.seen = now
	}
	unchanged := now.Sub(k.seen)
	k.mu.Unlock()
	own := found.Holder == k.opts.Holder
	free := found.Released || k.opts.SteppedDown(found.Holder, found.Incarnation, found.Fence)
	if !own && !free && unchanged < term+turnMargin {
		return nil
	}
	opens, waits := now, now
	if !own {
		// The last holder may have given an order until just now. One that has
		// let the lease go had named the engines that it gave orders to.
		waits = now.Add(k.opts.HandoverDelay + turnMargin)
		if !free {
			opens = waits
		}
	}
	next := Lease{
		Holder: k.opts.Holder, Incarnation: k.opts.Incarnation, Revision: found.Revision,
		Fence: found.Fence + 1, Renewal: found.Renewal + 1,
	}
	return k.write(ctx, next, opens, waits)
}

// write stores the lease. The times count for a lease that is not held yet.
func (k *Elector) write(ctx context.Context, l Lease, opens, waits time.Time) error {
	now, boot := k.opts.Clock.Now(), k.opts.Clock.Boot()
	l.Released = false
	l.Desired, l.WrittenMS = k.opts.DesiredAges(now), now.UnixMilli()
	written, err := k.opts.Store.Write(ctx, l)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		// A renewal in doubt does not count. The lease runs out by itself unless
		// somebody else has it.
		if errors.Is(err, registry.ErrConflict) && k.held {
			k.lose(now, "taken by another")
		}
		return fmt.Errorf("rollout: write lease: %w", err)
	}
	if k.held && !k.valid(k.opts.Clock.Now()) {
		// Others may have been told meanwhile that the lease is lost.
		k.lose(now, "renewed too late")
		return nil
	}
	if !k.held {
		k.opts.Log.Info().Uint64("fence", written.Fence).Time("opens", opens).Msg("lease taken")
		k.opens = opens
		k.waits = waits
	}
	k.held = true
	k.lease = written
	k.seen = now
	k.sent = now
	k.sentBoot = boot
	return nil
}

// lose forgets the lease. The next one needs a new number.
func (k *Elector) lose(now time.Time, reason string) {
	k.held = false
	k.seen = time.Time{}
	k.opts.Log.Warn().Uint64("fence", k.lease.Fence).Dur("since_renewal", now.Sub(k.sent)).Str("reason", reason).Msg("lease lost")
}

// Release lets the lease go, so that another VM need not wait for its end.
func (k *Elector) Release(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	k.mu.Lock()
	held, lease := k.held, k.lease
	k.held = false
	k.seen = time.Time{}
	k.mu.Unlock()
	if !held {
		return nil
	}
	lease.Released = true
	lease.Renewal++
	if _, err := k.opts.Store.Write(ctx, lease); err != nil {
		return fmt.Errorf("rollout: release lease: %w", err)
	}
	k.opts.Log.Info().Uint64("fence", lease.Fence).Msg("lease released")
	return nil
}
