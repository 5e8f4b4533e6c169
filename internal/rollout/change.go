package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// awaitSlot waits until the engine may load: AnnounceLead has passed, a slot is
// free, and the engine has no requests left or DrainTimeout has passed. It
// announces the coming order to peers meanwhile.
func (r *Rollout) awaitSlot(ctx context.Context, u roster.Upstream) error {
	start := r.opts.Clock.Now()
	for {
		if !wait.For(ctx, TickInterval) {
			return ctx.Err()
		}
		now := r.opts.Clock.Now()
		if _, may := r.opts.Elector.MaySend(now); !may {
			return errNotHeld
		}
		desired := r.opts.Upstreams.Desired(u.Model)
		r.opts.Upstreams.RecordAnnouncement(now, u.ID, desired)
		age := now.Sub(start)
		if r.stopping.Load() && r.acquireSlot(u.ID) {
			// This VM is stopping. The engine gets its order at once, even with
			// requests left, which it finishes first. So it changes while the
			// next VM takes over the lease.
			return nil
		}
		if age < AnnounceLead || age < DrainTimeout && r.opts.Upstreams.TotalLoad(now)[u.ID].Requests > 0 && !r.hurried() {
			continue
		}
		if r.acquireSlot(u.ID) {
			return nil
		}
	}
}

// acquireSlot takes one of the slots for engines that load at the same time. A
// VM that is stopping takes one even if none is free.
func (r *Rollout) acquireSlot(id string) bool {
	maxLoading := MaxLoading(r.engineCount())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.loading) >= maxLoading && !r.stopping.Load() {
		return false
	}
	r.loading[id] = true
	select {
	case r.wake <- struct{}{}:
	default: // Run is about to look
	}
	return true
}

// releaseSlot frees the slot of an engine.
func (r *Rollout) releaseSlot(id string) {
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loading, id)
	r.loadedAt[id] = now
}

// hurried reports whether engines get their orders with requests left: the holder before
// was lost, and what an engine has taken is not lost if this VM is lost as well.
func (r *Rollout) hurried() bool {
	if !r.opts.Elector.Interrupted() {
		return false
	}
	maxLoading, fence := MaxLoading(r.engineCount()), r.opts.Elector.Fence()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ordersFence != fence || r.ordersSent < maxLoading
}

// recordOrder counts an order that is about to be sent.
func (r *Rollout) recordOrder(fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ordersFence != fence {
		r.ordersFence, r.ordersSent = fence, 0
	}
	r.ordersSent++
}

// awaitTarget waits until the stored lease has the engine as a target, and returns the
// lease's fence.
func (r *Rollout) awaitTarget(ctx context.Context, id string) (fence uint64, err error) {
	for {
		now := r.opts.Clock.Now()
		if fence, may := r.opts.Elector.MayOrder(now, id); may {
			return fence, nil
		}
		if _, may := r.opts.Elector.MaySend(now); !may || r.opts.Elector.InHandover(now, id, false) {
			return 0, errNotHeld
		}
		if !wait.For(ctx, targetInterval) {
			return 0, ctx.Err()
		}
	}
}

// changeEngine brings one engine up to date. After a failure or changeTimeout
// the engine becomes a candidate again later.
func (r *Rollout) changeEngine(ctx context.Context, u roster.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := r.opts.Clock.Now()
	err := r.updateEngine(ctx, u)
	now := r.opts.Clock.Now()
	if err == nil {
		r.opts.OnChanged(now.Sub(started))
	} else {
		r.opts.Log.Warn().Str("upstream", u.ID).Err(err).Msg("engine not brought up to date")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.changing, u.ID)
	r.lastProgress = now
	if err != nil {
		r.failedAt[u.ID] = now
	}
}

// updateEngine sends the order and polls the engine's reports until the engine
// has the desired version. It repeats the order if the reports show that the
// engine has not taken it.
func (r *Rollout) updateEngine(ctx context.Context, u roster.Upstream) error {
	var sentAt time.Time // when the last order was sent
	var expected int64   // the order count that it expected
	if err := r.awaitSlot(ctx, u); err != nil {
		return err
	}
	defer r.releaseSlot(u.ID)
	if r.stopping.Load() {
		return r.sendLastOrder(ctx, u)
	}
	for {
		report, err := r.fetchReport(ctx, u)
		if err != nil {
			return err
		}
		r.opts.Upstreams.ObserveVersion(r.opts.Clock.Now(), u.ID, u.Born, report.Version)
		desired := r.opts.Upstreams.Desired(u.Model)
		if report.Version >= desired {
			r.opts.Log.Info().Str("upstream", u.ID).Int64("version", report.Version).Msg("engine is up to date")
			return nil
		}
		now := r.opts.Clock.Now()
		r.opts.Upstreams.RecordAnnouncement(now, u.ID, desired)
		uncertain := !sentAt.IsZero() && report.Orders == expected && now.Sub(sentAt) < uncertaintyInterval
		if report.Busy || uncertain {
			if !wait.For(ctx, ReportInterval) {
				return ctx.Err()
			}
			continue
		}
		if err := r.sendOrder(ctx, u, desired, report.Orders); err != nil {
			return err
		}
		sentAt, expected = r.opts.Clock.Now(), report.Orders
		if !wait.For(ctx, ReportInterval) {
			return ctx.Err()
		}
	}
}

// sendLastOrder sends an order and does not wait for its effect. The next lease
// holder polls the engine.
func (r *Rollout) sendLastOrder(ctx context.Context, u roster.Upstream) error {
	report, err := r.fetchReport(ctx, u)
	if err != nil || report.Busy {
		return err
	}
	desired := r.opts.Upstreams.Desired(u.Model)
	return r.sendOrder(ctx, u, desired, report.Orders)
}

func (r *Rollout) fetchReport(ctx context.Context, u roster.Upstream) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.opts.Engines.Report(ctx, u)
}

// sendOrder sends one order. An order whose outcome is unknown is no error: the
// engine's next reports show whether it took effect.
func (r *Rollout) sendOrder(ctx context.Context, u roster.Upstream, version, expected int64) error {
	fence, err := r.awaitTarget(ctx, u.ID)
	if err != nil {
		return err
	}
	r.recordOrder(fence)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.opts.Engines.LoadWeights(ctx, Order{Upstream: u, Version: version, Holder: r.opts.Holder, Fence: fence, Expected: expected})
	r.opts.Log.Info().Str("upstream", u.ID).Int64("version", version).Int64("expected", expected).Uint64("fence", fence).
		AnErr("error", err).Msg("order given")
	if errors.Is(err, ErrDeclined) || errors.Is(err, ErrFenced) {
		return err
	}
	return nil
}
