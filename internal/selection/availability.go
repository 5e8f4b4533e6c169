package selection

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/admission"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/message"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// leavingRetryAfter is about the Retry-After of a request whose upstreams have all
	// left: until others appear.
	leavingRetryAfter = time.Second
	// minBackoffRetryAfter is the least Retry-After of a request for which all upstreams
	// are backed off from. Up to half of the time is added, and maxReturnJitter at most,
	// so that callers don't return all at once.
	minBackoffRetryAfter = 100 * time.Millisecond
	maxReturnJitter      = time.Second
)

// ObserveAvailability records what a response says about the availability of its
// upstream.
func (s *Selector) ObserveAvailability(now time.Time, u roster.Upstream, status int, head message.ResponseHead) {
	if head.Foreign {
		return
	}
	if status == http.StatusMisdirectedRequest && head.InstanceID != u.ID && (head.InstanceID != "" || head.Version == 0) {
		// Another instance may have the address now.
		return
	}
	s.observeLeaving(now, u, head)
	s.observeBrittle(now, u, head)
	if status == http.StatusServiceUnavailable {
		s.observeBackoff(now, u, head)
	}
}

// observeBackoff records for how long an upstream that turns a request away wants none.
func (s *Selector) observeBackoff(now time.Time, u roster.Upstream, head message.ResponseHead) {
	problem := head.RetryAfterProblem
	if head.RetryAfter > health.MaxBackoff {
		problem = fmt.Sprintf("%v is longer than %v", head.RetryAfter, health.MaxBackoff)
	}
	if problem != "" && s.opts.Backoffs.RecordProblem(u.Incarnation(), problem) {
		s.incCounter("backoffs.unusable")
		s.opts.Log.Warn().Str("upstream", u.ID).Str("problem", problem).Msg("time of an upstream to come back not usable")
	}
	if s.opts.Backoffs.Observe(now, u.Incarnation(), head.RetryAfter) {
		s.incCounter("backoffs.observed")
		s.opts.Log.Info().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Int64("retry_after_ms", head.RetryAfter.Milliseconds()).Msg("upstream wants nothing")
	}
}

func (s *Selector) observeLeaving(now time.Time, u roster.Upstream, head message.ResponseHead) {
	if head.Leaving {
		s.RecordLeaving(now, u)
	}
	if head.LeavingProblem != "" && s.opts.Drains.RecordProblem(u.Incarnation(), head.LeavingProblem) {
		s.incCounter("leaving.unusable")
		s.opts.Log.Warn().Str("upstream", u.ID).Str("problem", head.LeavingProblem).Msg("notice of an upstream that it leaves not usable")
	}
}

// RecordLeaving records that an upstream has announced that it leaves.
func (s *Selector) RecordLeaving(now time.Time, u roster.Upstream) {
	if s.opts.Drains.Observe(now, u.Incarnation()) {
		s.incCounter("leaving.observed")
		s.opts.Log.Info().Str("upstream", u.ID).Str("incarnation", u.Incarnation()).Msg("upstream leaving")
	}
}

// Pick picks an upstream that is not ejected, if one is healthy. It does not start trials.
func (s *Selector) Pick(now time.Time, query roster.Query) (roster.Choice, bool) {
	ejected := s.opts.Ejections.InForce(now)
	if ejected == nil {
		return s.pickAvailable(now, query)
	}
	others := query
	others.Allow = func(u roster.Upstream) bool {
		return (query.Allow == nil || query.Allow(u)) && !ejected[u.Incarnation()]
	}
	choice, found := s.pickAvailable(now, others)
	if found && choice.Healthy {
		return choice, true
	}
	if other, exists := s.pickAvailable(now, query); exists && (!found || other.Healthy) {
		return other, true
	}
	return choice, found
}

// pickAvailable picks an upstream that takes requests and has not announced that it
// leaves. Those that leave are picked only while no other one of the service is healthy.
// The cached prompt parts of all may be fetched.
func (s *Selector) pickAvailable(now time.Time, query roster.Query) (roster.Choice, bool) {
	if !s.opts.Drains.Any() && !s.opts.Backoffs.Any(now) && !s.opts.Brittle.Any() {
		return s.opts.Upstreams.Pick(now, query)
	}
	allow := query.Allow
	allowed := func(u roster.Upstream) bool {
		return (allow == nil || allow(u)) && s.opts.Backoffs.Available(now, u.Incarnation()) &&
			s.opts.Brittle.HasRoom(now, placeOf(u))
	}
	staying := func(u roster.Upstream) bool { return !s.opts.Drains.Leaving(u.Incarnation()) }
	query.Allow = func(u roster.Upstream) bool { return staying(u) && allowed(u) }
	choice, found := s.opts.Upstreams.Pick(now, query)
	if found && choice.Healthy || !s.opts.Drains.Any() {
		return choice, found
	}
	others := query
	others.Exclude, others.Allow = nil, staying
	if other, exists := s.opts.Upstreams.Pick(now, others); exists && other.Healthy {
		return choice, found
	}
	query.Allow = func(u roster.Upstream) bool { return s.opts.Drains.Serving(now, u.Incarnation()) && allowed(u) }
	if leaving, exists := s.opts.Upstreams.Pick(now, query); exists && (!found || leaving.Healthy) {
		return leaving, true
	}
	return choice, found
}

// Withhold returns why a request must not be sent to the upstream that was picked at
// pickedAt, because of what became known since: leaving, ejected, backoff, or nothing. A request
// that isn't withheld must be sent.
func (s *Selector) Withhold(now, pickedAt time.Time, u roster.Upstream) string {
	switch {
	case s.opts.Drains.LearnedAfter(pickedAt, u.Incarnation()):
		return "leaving"
	case s.opts.Ejections.EjectedAfter(pickedAt, u.Incarnation()) && s.opts.Ejections.InForce(now)[u.Incarnation()]:
		return "ejected"
	case !s.opts.Backoffs.Acquire(now, u.Incarnation()):
		return "backoff"
	}
	return ""
}

// noUpstreamError returns the error for a request for which no upstream of the service was
// found.
func (s *Selector) noUpstreamError(now time.Time, service string) error {
	if retryAfter := s.BackoffRetryAfter(now, service); retryAfter > 0 {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeBackingOff, "the upstreams of the service want no requests for a while").
			WithRetryAfter(retryAfter)
	}
	for _, u := range s.opts.Upstreams.All() {
		if u.Service == service && s.opts.Brittle.InService(service) {
			return s.noRoomError(u)
		}
		if u.Service == service && s.opts.Drains.Leaving(u.Incarnation()) {
			return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeLeaving, "the upstreams of the service leave").
				WithObject("upstream/"+u.ID, "").WithRetryAfter(admission.RetryAfter(leavingRetryAfter, 0, rand.Int64N))
		}
	}
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, CodeNoUpstream, "no upstream of the service is known")
}

// BackoffRetryAfter returns when a request should come back because all upstreams of its
// service that stay are backed off from, and 0 if they are not.
func (s *Selector) BackoffRetryAfter(now time.Time, service string) time.Duration {
	first := time.Duration(0)
	for _, u := range s.opts.Upstreams.All() {
		if u.Service != service || u.Leaving || s.opts.Drains.Leaving(u.Incarnation()) {
			continue
		}
		d := s.opts.Backoffs.RetryAfter(now, u.Incarnation())
		if d <= 0 {
			return 0
		}
		if first == 0 || d < first {
			first = d
		}
	}
	if first == 0 {
		return 0
	}
	first = max(first, minBackoffRetryAfter)
	return first + time.Duration(rand.Int64N(int64(min(maxReturnJitter, first/2))))
}
