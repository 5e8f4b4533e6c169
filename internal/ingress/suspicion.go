package ingress

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// checkSuspicion returns the refusal of a request that crashes upstreams, or holds a
// prompt part that does, and nil if it may be sent.
func (j *job) checkSuspicion(now time.Time) *verdict.Error {
	rank := func(fingerprint string) int { return j.h.opts.Fleet.TrialRank(now, fingerprint) }
	f, blocked := j.h.opts.CrashTracker.Check(now, j.Fingerprint, j.Parts, rank)
	if !blocked {
		return nil
	}
	line := j.logEvent(now).Str("fingerprint", f.Fingerprint).Int("broken", f.Evidence.Broken).Int("crashes", f.Evidence.Crashes)
	reason := "upstreams have crashed while they ran this request"
	if f.Part >= 0 {
		j.h.incCounter("parts_blocked")
		line = line.Str("part", j.Head.SharedParts()[f.Part].ID).Int("likely", f.Evidence.Likely).Int("trials", f.Evidence.Trials)
		reason = "upstreams have crashed while they ran requests with this part of the prompt"
	}
	line.Msg("request blocked")
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "crashes_upstreams", reason).WithRetryAfter(f.RetryAfter)
}

// isSuspected reports whether the request must not be sent once more.
func (j *job) isSuspected(now time.Time) bool {
	return j.h.opts.CrashTracker.IsBlocked(now, j.Fingerprint) || j.h.opts.CrashTracker.IsBlocked(now, j.Parts...)
}

// recordSuspicion records an attempt without a complete response against the request and
// the parts of its prompt.
func (j *job) recordSuspicion(now, aliveAt time.Time, l *leg.Leg, cut bool) {
	tracker, incarnation := j.h.opts.CrashTracker, l.Upstream.Incarnation()
	tracker.RecordUnanswered(now, aliveAt, j.Fingerprint, incarnation, cut)
	for _, part := range j.Parts {
		tracker.RecordUnanswered(now, aliveAt, part, incarnation, cut)
	}
}

// breaksSeveral reports whether several upstreams have lately broken off their responses
// to the request, or to requests with a part of its prompt, and none has completed one
// since. Such responses tell nothing about the upstreams.
func (j *job) breaksSeveral(now time.Time) bool {
	tracker := j.h.opts.CrashTracker
	several := func(fingerprint string) bool { return tracker.Evidence(now, fingerprint).CutLately > 1 }
	return several(j.Fingerprint) || slices.ContainsFunc(j.Parts, several)
}

// clearSuspicion records that the request has got its whole answer.
func (j *job) clearSuspicion(now time.Time) {
	j.h.opts.CrashTracker.RecordCompleted(now, j.Fingerprint)
	if j.failed {
		return // an upstream that rejects a request has not begun to answer it
	}
	for _, part := range j.Parts {
		j.h.opts.CrashTracker.RecordCompleted(now, part)
	}
}

// recordRefused records a connection that was refused: the upstream has ended.
func (h *Handler) recordRefused(now time.Time, u roster.Upstream, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) && !u.Leaving && !h.opts.Drains.Leaving(u.Incarnation()) {
		h.opts.CrashTracker.RecordRefused(now, u.Incarnation())
	}
}

// logSuspicion logs that a request is sent against which something is known.
func (j *job) logSuspicion(now time.Time, u roster.Upstream) {
	for _, fingerprint := range append([]string{j.Fingerprint}, j.Parts...) {
		if e := j.h.opts.CrashTracker.Evidence(now, fingerprint); e.Broken > 0 {
			j.h.incCounter("suspects_sent")
			j.logEvent(now).Str("incarnation", u.Incarnation()).Str("fingerprint", fingerprint).Int("broken", e.Broken).
				Int("crashes", e.Crashes).Int("trials", e.Trials).Msg("suspect request sent")
			return
		}
	}
}
