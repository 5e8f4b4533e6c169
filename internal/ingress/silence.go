package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
	"github.com/hibiscuscove/hibiscuscove/internal/hedge"
	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// watchSilence sets when the upstreams under way have been silent for too long. It is
// called after each change of the legs and after each sign of life. Requests that must
// not be repeated wait until their deadline.
func (j *job) watchSilence() {
	if at, watched := j.silentAt(); watched {
		j.silence.Reset(at.Sub(j.h.opts.Now()))
		return
	}
	j.silence.Stop()
}

// silentAt returns when handleSilence has something to decide.
func (j *job) silentAt() (at time.Time, watched bool) {
	switch {
	case !j.Route.Repeatable() || len(j.legs) == 0:
		return time.Time{}, false
	case len(j.legs) == 1:
		at = j.legs[0].LastSign().Add(hedge.SilenceTimeout(j.Route, j.headSent))
		if at.Before(j.recheckAt) {
			at = j.recheckAt
		}
		return at, true
	default:
		// Two upstreams must not generate the same stream for long.
		beside := j.legs[1]
		return beside.BegunAt.Add(maxOverlap), beside.Begun && beside.Head.IsStream(beside.Response)
	}
}

// handleSilence is called when the upstreams under way may have sent nothing for too
// long. The silent one keeps the request until another one has taken its place.
func (j *job) handleSilence(ctx context.Context) {
	defer j.watchSilence()
	now := j.h.opts.Now()
	if at, watched := j.silentAt(); !watched || now.Before(at) {
		return
	}
	silent := j.legs[0]
	if len(j.legs) > 1 {
		if beside := j.legs[1]; silent.LastSign().After(beside.SentAt) {
			j.dropOthers(silent)
		} else {
			j.dropOthers(beside)
		}
		return
	}
	j.recheckAt = now.Add(silenceRecheckInterval)
	// An engine that still communicates is busy. Sending the request to another one
	// as well would only add load.
	if j.Service.Engine && j.h.opts.Upstreams.RespondedWithin(now, silent.Upstream.ID, engineAliveWindow) {
		return
	}
	if o := j.sendBeside(ctx, now); o != hedge.None {
		if o != j.kept {
			j.kept = o
			j.h.incCounter("silent_kept." + string(o))
			j.logEvent(now).Str("upstream", silent.Upstream.ID).Str("obstacle", string(o)).Msg("silent upstream keeps the request")
		}
		return
	}
	j.h.incCounter("silent_beside")
	j.h.opts.Upstreams.ReportSilent(now, silent.Upstream.ID, silent.LastSign())
	j.logEvent(now).Str("upstream", silent.Upstream.ID).Str("beside", j.legs[1].Upstream.ID).Msg("request of a silent upstream sent to another one as well")
}

// sendBeside sends the request to a second upstream if one has room. Upstreams that
// have announced a limit are spared. What fails beside the first attempt costs the
// request none of its tries.
func (j *job) sendBeside(ctx context.Context, now time.Time) hedge.Obstacle {
	if j.callerEnded() || connend.PeerEnded(j.r.Context()) {
		return hedge.Caller
	}
	if o := j.state(now).BesideObstacle(); o != hedge.None {
		return o
	}
	if len(j.triedBeside) >= maxTriesBeside {
		return hedge.Tries
	}
	query := j.upstreamQuery()
	query.Exclude = slices.Concat(query.Exclude, j.triedBeside)
	query.Allow = func(u roster.Upstream) bool { return !j.h.opts.Limits.Limited(now, u.Incarnation()) }
	choice, found := j.h.selector.Pick(now, query)
	if !found || !choice.Healthy || choice.FreeSlots <= 0 {
		return hedge.NoUpstream
	}
	if o := j.budgetObstacle(now); o != hedge.None {
		return o
	}
	j.triedBeside = append(j.triedBeside, choice.Upstream.ID)
	if err := j.send(ctx, now, choice, query); err != nil {
		j.h.opts.RetryBudget.Refund(now, j.Service.Name)
		return hedge.Unreachable
	}
	return hedge.None
}

// dropOthers ends all attempts but that of l, which has the answer or goes on with it.
func (j *job) dropOthers(l *leg.Leg) {
	for _, other := range slices.Clone(j.legs) {
		if other == l {
			continue
		}
		now := j.h.opts.Now()
		if other.SentAt.Before(l.SentAt) {
			// It may have crashed in silence.
			j.recordSuspicion(now, other.LastSign(), other, false)
		}
		j.h.incCounter("attempts_dropped")
		j.logEvent(now).Str("upstream", other.Upstream.ID).Str("goes_on_at", l.Upstream.ID).Msg("attempt dropped for another one")
		j.runs++
		j.endLeg(other)
	}
}

// endLeg ends an attempt and what it occupies.
func (j *job) endLeg(l *leg.Leg) {
	l.End()
	j.legs = slices.DeleteFunc(j.legs, func(other *leg.Leg) bool { return other == l })
	j.watchSilence()
}

// endLegs ends all attempts since the time is over or the caller has gone.
func (j *job) endLegs(ctx context.Context) error {
	var err error
	for _, l := range slices.Clone(j.legs) {
		err = j.handleBroken(ctx, l, context.Cause(ctx))
	}
	return err
}

// stoppingError is the error of a request that is not sent since the VM is about to end.
func stoppingError() *verdict.Error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeStopping, "the VM stops").WithRetryAfter(notReadyRetryAfter)
}

// endForStop ends all attempts since the VM is about to end.
func (j *job) endForStop() error {
	err := stoppingError()
	for _, l := range slices.Clone(j.legs) {
		j.runs++
		j.endLeg(l)
		j.recordBroken(j.h.opts.Now(), l, "stopping", nil)
		err = verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeStopping, "the VM stops before the upstream has responded")
	}
	return err
}
