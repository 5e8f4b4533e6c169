package selection

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/admission"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// maxPermitRequests limits the upstreams for which an attempt asks for a permit.
const maxPermitRequests = 3

// Choose picks the upstream of the next attempt. Upstreams that have announced a
// limit get requests that no other one can serve in time, and now and then one that
// shows whether the limit has ended; in both cases only with a permit. The error is a
// *verdict.Error with one of the codes of this package.
func (s *Selector) Choose(ctx context.Context, now time.Time, r Request) (roster.Choice, error) {
	limits, query := s.opts.Limits, r.Query
	if !limits.Any(now) {
		return s.chooseUnlimited(ctx, now, r, query)
	}
	query.Allow = func(u roster.Upstream) bool { return !limits.Limited(now, u.Incarnation()) }
	free, found := s.pick(now, r, &query)
	trial := found && free.Healthy && free.FreeSlots > 0 && !r.isLate(free)
	if limited, granted := s.pickLimited(ctx, now, r, query, trial); granted {
		return limited, nil
	}
	if !found {
		query.Allow = nil
		if limited, exists := s.Pick(now, query); exists {
			return limited, s.refuseLimited(now, r, limited.Upstream)
		}
	}
	return free, s.checkChoice(now, r, free, found)
}

// pick picks an upstream, an ejected one if the request is a trial.
func (s *Selector) pick(now time.Time, r Request, query *roster.Query) (roster.Choice, bool) {
	if trial, started := s.pickTrial(now, r, *query); started {
		return trial, true
	}
	return s.pickUntried(now, r, query)
}

// pickUntried picks an upstream that has not been attempted. If all have been attempted and
// the request has not run, all may be picked again.
func (s *Selector) pickUntried(now time.Time, r Request, query *roster.Query) (roster.Choice, bool) {
	choice, found := s.Pick(now, *query)
	if !found && len(query.Exclude) > 0 && r.Reattempt != nil {
		r.Reattempt()
		query.Exclude = nil
		choice, found = s.Pick(now, *query)
	}
	return choice, found
}

// pickLimited picks a limited upstream for which there is a permit. With trial it
// considers only those whose limit was last announced a while ago.
func (s *Selector) pickLimited(ctx context.Context, now time.Time, r Request, query roster.Query, trial bool) (roster.Choice, bool) {
	limits := s.opts.Limits
	query.Allow = func(u roster.Upstream) bool { return limits.Available(now, u.Incarnation(), trial) }
	for range maxPermitRequests {
		choice, found := s.Pick(now, query)
		if !found || !choice.Healthy || r.isLate(choice) {
			return roster.Choice{}, false
		}
		grant := limits.Acquire(ctx, now, choice.Upstream.Incarnation(), permit.Want{
			Organisation: r.Organisation, Priority: r.Priority, Retry: r.Retry, Trial: trial,
		})
		if grant.Granted {
			s.incCounter("permits.granted")
			return choice, true
		}
		s.incCounter("permits.denied")
		query.Exclude = append(query.Exclude[:len(query.Exclude):len(query.Exclude)], choice.Upstream.ID)
	}
	return roster.Choice{}, false
}

// refuseLimited returns the error for a request that only limited upstreams could
// take. u is the best one.
func (s *Selector) refuseLimited(now time.Time, r Request, u roster.Upstream) error {
	// When there is room does not depend on the time that this caller has left.
	retryAfter := admission.RetryAfter(s.opts.Limits.RetryAfter(now, u.Incarnation()), 0, rand.Int64N)
	r.LogEvent(now).Str("upstream", u.ID).Func(s.LogLimit(u)).Str("issuer", s.opts.Limits.IssuerOf(u.Incarnation())).Int64("retry_after_ms", retryAfter.Milliseconds()).Msg("upstreams at their limits")
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeLimited, "all upstreams of the service are at the limits that they have announced").
		WithObject("upstream/"+u.ID, "").WithRetryAfter(retryAfter)
}

// isLate reports whether a new request is expected to get its first token too late.
// Attempts after the first are never late.
func (r Request) isLate(c roster.Choice) bool {
	_, late := r.delay(c)
	return late
}

// delay returns after what time a late request should come back.
func (r Request) delay(c roster.Choice) (delay time.Duration, late bool) {
	if !r.New {
		return 0, false
	}
	return admission.Late(c.FirstToken(), r.TargetLatency)
}

// checkChoice returns an error if there is no upstream, or if no engine is expected
// to answer a new request in time: it would only delay the others.
func (s *Selector) checkChoice(now time.Time, r Request, c roster.Choice, found bool) error {
	if !found {
		return s.noUpstreamError(now, r.Query.Service)
	}
	delay, late := r.delay(c)
	if !late {
		return nil
	}
	retryAfter := admission.RetryAfter(delay, r.TimeLeft, rand.Int64N)
	r.LogEvent(now).Float64("first_ms", c.FirstTokenMS).Float64("cost_ms", c.CostMS).Int("candidates", c.Candidates).Msg("no engine in time")
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeBusy, "no engine can answer in time").WithRetryAfter(retryAfter)
}
