package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
	"github.com/hibiscuscove/hibiscuscove/internal/hedge"
	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// halfCloseGrace is how long a request goes on for a caller that sends nothing more
	// and may still receive. Upstreams must have stopped half a second after a caller
	// has closed its connection.
	halfCloseGrace = 200 * time.Millisecond
	// resetTime is how long after a write a closed connection has been reset.
	resetTime = 50 * time.Millisecond
	// maxUnsentAge is how old the last byte of a request may be at most for it to be
	// sent for the first time after its caller has ended its sending side. Callers that
	// give up have waited longer.
	maxUnsentAge = 100 * time.Millisecond
)

// callerEnd is what is known of a caller whose sending side has ended. Whether it still
// receives is only known from writes: the first one to a closed connection is answered
// with a reset, and the next one fails. The zero value is a caller that may still send.
type callerEnd struct {
	at time.Time
	// firstWrite and lastWrite are the first and last write since that did not fail.
	firstWrite, lastWrite time.Time
}

// WithWrite returns the state after a write that did not fail.
func (e callerEnd) WithWrite(now time.Time) callerEnd {
	if e.firstWrite.IsZero() {
		e.firstWrite = now
	}
	e.lastWrite = now
	return e
}

// GoneAt returns when the caller counts as gone unless more is written. found is false if
// it is known to receive.
func (e callerEnd) GoneAt() (at time.Time, found bool) {
	if e.at.IsZero() || e.lastWrite.Sub(e.firstWrite) >= resetTime {
		return time.Time{}, false
	}
	if e.lastWrite.After(e.at) {
		return e.lastWrite.Add(halfCloseGrace), true
	}
	return e.at.Add(halfCloseGrace), true
}

// handleCallerEnd is called when the caller's connection has ended. cancel ends the
// attempts if the caller can't receive an answer.
func (j *job) handleCallerEnd(cancel context.CancelFunc) {
	j.callerDone = nil
	if !connend.Of(j.r.Context()).IsHalfOpen() {
		cancel()
		return
	}
	j.end.at = j.h.opts.Now()
	j.checkCaller(cancel)
}

// checkCaller ends the attempts if the caller counts as gone, or sets when to check again.
func (j *job) checkCaller(cancel context.CancelFunc) {
	at, found := j.end.GoneAt()
	if !found {
		return
	}
	if left := at.Sub(j.h.opts.Now()); left > 0 {
		j.callerTimer.Reset(left)
		return
	}
	cancel()
}

// recordUnwritten records an answer that the caller's connection has not taken.
func (j *job) recordUnwritten(err error) {
	end := connend.Of(j.r.Context())
	j.h.incCounter("requests_unanswered.not_written")
	j.h.incCounter("writes_failed." + string(end.Write))
	j.logEvent(j.h.opts.Now()).Str("read_end", string(end.Read)).Str("write_end", string(end.Write)).Err(err).Msg("response not written to the caller")
}

// callerEnded reports whether the caller's connection has ended in at least one direction.
func (j *job) callerEnded() bool { return errors.Is(j.r.Context().Err(), context.Canceled) }

// checkUnsent returns an error if a request that has not been sent need not be, since
// its caller has given up.
func (j *job) checkUnsent() error {
	ctx := j.r.Context()
	halfOpen := connend.Of(ctx).IsHalfOpen()
	if !j.callerEnded() {
		if !connend.PeerEnded(ctx) {
			return nil
		}
		halfOpen = true
	}
	ago, known := connend.ReceivedAgo(ctx)
	if j.runs+j.rejected == 0 && !j.headSent && halfOpen && known && ago <= maxUnsentAge {
		return nil
	}
	return callerGoneError()
}

// withhold reports whether a request whose first byte has not been sent yet need not be
// sent: its caller has ended its sending side, and not just now. It is safe for concurrent
// use.
func withhold(ctx context.Context) bool {
	if !connend.PeerEnded(ctx) && ctx.Err() == nil {
		return false
	}
	ago, known := connend.ReceivedAgo(ctx)
	return !known || ago > maxUnsentAge
}

// handleWithheld ends a leg whose request was not sent, since its caller has given up.
func (j *job) handleWithheld(l *leg.Leg) error {
	j.notSent++
	j.h.incCounter("withheld." + codeCallerGone)
	j.logEvent(j.h.opts.Now()).Str("upstream", l.Upstream.ID).Str("reason", codeCallerGone).Msg("request not sent")
	j.endLeg(l)
	return callerGoneError()
}

// callerGoneError is the error of a request that has not been sent, as its caller has given up.
func callerGoneError() error {
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeCallerGone, "the caller has disconnected").WithRetryAfter(noUpstreamRetryAfter)
}

// abandon ends a request whose caller's connection has ended with the error of its last
// attempt, which a caller that has only closed its sending side receives. underWay is the
// number of attempts that were under way.
func (j *job) abandon(now time.Time, err error, underWay int) {
	end := connend.Of(j.r.Context())
	j.h.incCounter("callers_gone")
	j.h.incCounter("callers_gone_by." + string(end.Read))
	line := j.logEvent(now).Str("read_end", string(end.Read)).Str("write_end", string(end.Write)).Int("open", underWay).Bool("head_sent", j.headSent)
	if !end.WrittenAt.IsZero() {
		line.Int64("written_ago_ms", now.Sub(end.WrittenAt).Milliseconds())
	}
	if ago, known := connend.ReceivedAgo(j.r.Context()); known {
		line.Int64("received_ago_ms", ago.Milliseconds())
	}
	line.Msg("caller gone")
	if j.headSent {
		j.abort("caller_gone")
	}
	j.respondError(now, verdict.FromError(err), hedge.Caller)
}

// abort ends the caller's connection without a complete answer.
func (j *job) abort(reason string) {
	j.h.incCounter("requests_unanswered." + reason)
	j.h.abort(j.r)
}
