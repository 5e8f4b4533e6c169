package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

// admit waits until the engine may load: there is room, and its work is done.
func (r *Rollout) admit(ctx context.Context, u roster.Upstream) error {
	start := r.opts.Clock.Now()
	for {
		if !wait.For(ctx, Tick) {
			return ctx.Err()
		}
		now := r.opts.Clock.Now()
		if _, may := r.opts.Elector.May(now); !may {
			return errNotHeld
		}
		named, _ := r.opts.Upstreams.Desired(u.Model)
		r.opts.Upstreams.RecordAnnouncement(now, u.ID, named)
		age := now.Sub(start)
		if r.closing.Load() && r.enter() {
			// What is free of work, or soon will be, changes while the next VM
			// takes the lease.
			return nil
		}
		if age < AnnounceLead || age < DrainTimeout && r.opts.Upstreams.TotalLoad(now)[u.ID].Requests > 0 {
			continue
		}
		if r.enter() {
			return nil
		}
	}
}

// enter takes a place among the engines that load.
func (r *Rollout) enter() bool {
	loads := MaxLoading(r.engines())
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading >= loads && !r.closing.Load() {
		return false
	}
	r.loading++
	return true
}

func (r *Rollout) exit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading--
}

// change brings one engine up to date, or gives up for now.
func (r *Rollout) change(ctx context.Context, u roster.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	begun := r.opts.Clock.Now()
	err := r.order(ctx, u)
	now := r.opts.Clock.Now()
	if err == nil {
		r.opts.OnChanged(now.Sub(begun))
	} else {
		r.opts.Log.Warn().Str("upstream", u.ID).Err(err).Msg("engine not brought up to date")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.changing, u.ID)
	r.progress = now
	if err != nil {
		r.failed[u.ID] = now
	}
}

// order gives the order and follows the engine's reports until it holds.
func (r *Rollout) order(ctx context.Context, u roster.Upstream) error {
	var given time.Time // when the last order was given
	var at int64        // the count that it expected
	if err := r.admit(ctx, u); err != nil {
		return err
	}
	defer r.exit()
	if r.closing.Load() {
		return r.giveLast(ctx, u)
	}
	for {
		report, err := r.report(ctx, u)
		if err != nil {
			return err
		}
		r.opts.Upstreams.ObserveVersion(r.opts.Clock.Now(), u.ID, u.Born, report.Version)
		named, _ := r.opts.Upstreams.Desired(u.Model)
		if report.Version >= named {
			r.opts.Log.Info().Str("upstream", u.ID).Int64("version", report.Version).Msg("engine is up to date")
			return nil
		}
		now := r.opts.Clock.Now()
		r.opts.Upstreams.RecordAnnouncement(now, u.ID, named)
		inDoubt := !given.IsZero() && report.Orders == at && now.Sub(given) < doubtPeriod
		if report.Busy || inDoubt {
			if !wait.For(ctx, ReportInterval) {
				return ctx.Err()
			}
			continue
		}
		if err := r.give(ctx, u, named, report.Orders); err != nil {
			return err
		}
		given, at = r.opts.Clock.Now(), report.Orders
		if !wait.For(ctx, ReportInterval) {
			return ctx.Err()
		}
	}
}

// giveLast gives an order that another VM will follow up.
func (r *Rollout) giveLast(ctx context.Context, u roster.Upstream) error {
	report, err := r.report(ctx, u)
	if err != nil || report.Busy {
		return err
	}
	named, _ := r.opts.Upstreams.Desired(u.Model)
	return r.give(ctx, u, named, report.Orders)
}

func (r *Rollout) report(ctx context.Context, u roster.Upstream) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.opts.Engines.Report(ctx, u)
}

// give gives one order. An order in doubt is no error: reports tell.
func (r *Rollout) give(ctx context.Context, u roster.Upstream, version, expected int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, may := r.opts.Elector.May(r.opts.Clock.Now())
	if !may {
		return errNotHeld
	}
	err := r.opts.Engines.Load(ctx, Order{Upstream: u, Version: version, Holder: r.opts.Holder, Fence: fence, Expected: expected})
	r.opts.Log.Info().Str("upstream", u.ID).Int64("version", version).Int64("expected", expected).Uint64("fence", fence).
		AnErr("error", err).Msg("order given")
	if errors.Is(err, ErrDeclined) || errors.Is(err, ErrFenced) {
		return err
	}
	return nil
}
