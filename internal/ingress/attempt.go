package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/eventstream"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/hedge"
	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
	"github.com/hibiscuscove/hibiscuscove/internal/relay"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// reasonCut is the reason of an attempt whose upstream broke off the response.
const reasonCut = "broken"

// receive handles what a leg has read. done is set once the caller has the whole
// answer; otherwise err is the error of a leg that has ended.
func (j *job) receive(ctx context.Context, r leg.Received) (done bool, err error) {
	l := r.Leg
	switch {
	case !slices.Contains(j.legs, l):
		return false, nil // the leg has been dropped
	case r.Err != nil && errors.Is(r.Err, io.EOF) && l.Begun && l.Head.IsStream(l.Response) && j.headSent && j.mayEndStream(l):
		j.runs++
		j.endLeg(l)
		if len(j.legs) > 0 && !l.Forwarded {
			return false, errors.New("the stream ended without an event, and another one goes on")
		}
		j.dropOthers(l)
		l.InFlight.CompleteStream(j.h.opts.Now())
		j.h.selector.ObserveOutcome(j.h.opts.Now(), l.Upstream, j.Fingerprint, health.Sound)
		return true, nil
	case r.Err != nil && errors.Is(r.Err, io.EOF) && l.Begun && l.Head.IsStream(l.Response) && l.Response.Delimited:
		// Without a length or chunks, the end before the first event may be a crash.
		j.dropOthers(l)
		j.runs++
		j.endLeg(l)
		j.write(bufferedAnswer{response: l.Response})
		return true, nil
	case errors.Is(r.Err, leg.ErrWithheld):
		return false, j.handleWithheld(l)
	case r.Err != nil && ctx.Err() != nil:
		return false, j.endLegs(ctx) // it failed since its time is over
	case r.Err != nil:
		return false, j.handleBroken(ctx, l, r.Err)
	case r.Response != nil:
		l.Response, l.Head = *r.Response, r.Head
		return false, j.handleHead(ctx, l)
	case r.Event != nil && j.continues(l) && r.Event.ID == "" && !r.Event.Comment:
		return false, j.handleBroken(ctx, l, errors.New("an event without an ID in place of the next one of the stream"))
	case r.Event != nil:
		return false, j.forwardEvent(l, *r.Event)
	default:
		body := l.TakeBody()
		defer body.Release()
		return j.forwardBody(ctx, l, body.Bytes())
	}
}

// continues reports whether a leg has yet to go on with a stream that another one, or another
// request of the caller, has begun.
func (j *job) continues(l *leg.Leg) bool { return j.lastEvent != "" && !l.Forwarded }

// mayEndStream reports whether the end of a leg's events is that of the stream, or can be
// passed over since another leg is under way. Without a length or chunks, an end before the
// first event may be a crash.
func (j *job) mayEndStream(l *leg.Leg) bool {
	return l.Forwarded || l.Response.Delimited || len(j.legs) > 1
}

// handleHead handles the head of a response.
func (j *job) handleHead(ctx context.Context, l *leg.Leg) error {
	now, head := j.h.opts.Now(), l.Head
	if head.Foreign {
		return j.handleBroken(ctx, l, errors.New("the response belongs to another request"))
	}
	l.AliveAt = now
	j.h.opts.CrashTracker.RecordAlive(l.SentAt, l.Upstream.Incarnation())
	if !head.Misdirected {
		j.h.selector.ObserveLimit(now, l.Upstream, head, l.SentAt)
	}
	j.h.opts.Upstreams.ReportReachable(now, l.Upstream.ID)
	if head.Version > 0 {
		j.h.opts.Upstreams.ObserveVersion(now, l.Upstream.ID, l.Upstream.Born, head.Version)
	}
	if head.NotRun {
		return j.handleRejection(l)
	}
	if head.IsStream(l.Response) && (!head.Signed || head.Encoded) {
		return j.handleBroken(ctx, l, errors.New("the event stream is unsigned or has a content encoding"))
	}
	l.Begun, l.BegunAt = true, now
	j.watchSilence()
	return nil
}

// handleRejection handles an upstream's statement that it has not run the
// request, and returns the error of the attempt.
func (j *job) handleRejection(l *leg.Leg) error {
	if l.Beside {
		j.attempted = slices.DeleteFunc(j.attempted, func(id string) bool { return id == l.Upstream.ID })
	} else {
		j.rejected++
	}
	now := j.h.opts.Now()
	switch {
	case l.Head.Misdirected:
		j.h.opts.Upstreams.ReportMismatch(now, l.Upstream.ID)
	case j.Service.Engine:
		// The engine is full, loads weights, or has other weights than requested.
		j.h.opts.Upstreams.SetLoading(now, l.Upstream.ID)
	}
	j.h.incCounter("rejections." + strconv.Itoa(l.Response.Status))
	l.Lease.Rejected()
	j.endLeg(l)
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRejected,
		fmt.Sprintf("the upstream turned the request away with status %d", l.Response.Status))
}

// handleBroken handles an attempt that may have run but gave no complete
// response, and returns its error.
func (j *job) handleBroken(ctx context.Context, l *leg.Leg, err error) error {
	j.runs++
	j.endLeg(l)
	now := j.h.opts.Now()
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		j.recordBroken(now, l, "deadline", err)
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeDeadline, "the time for the request is over").WithCause(err)
	case ctx.Err() != nil:
		j.recordBroken(now, l, "caller_gone", err)
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeCallerGone, "the caller has disconnected").WithCause(err)
	}
	if panicked := (*leg.PanicError)(nil); errors.As(err, &panicked) {
		j.h.incCounter("panics.attempt")
		j.h.opts.Log.Error().Str("request", j.Head.ID).Str("upstream", l.Upstream.ID).Str("cause", fmt.Sprint(panicked.Cause)).Bytes("stack", panicked.Stack).Msg("attempt panicked")
		j.recordBroken(now, l, "panic", err)
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "the router failed").WithCause(err)
	}
	if errors.Is(err, relay.ErrLost) {
		j.recordLost(now, l, err)
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "the way to the upstream broke off").WithCause(err)
	}
	j.recordBroken(now, l, reasonCut, err)
	j.h.opts.Fleet.ReportSuspect(now, j.Fingerprint, l.Upstream)
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "the upstream broke off").WithObject("upstream/"+l.Upstream.ID, "").WithCause(err)
}

// recordLost records an attempt whose way to the upstream has ended amid it, which speaks
// against neither the upstream nor the request.
func (j *job) recordLost(now time.Time, l *leg.Leg, err error) {
	j.h.incCounter("attempts_broken.lost")
	j.logEvent(now).Str("upstream", l.Upstream.ID).Bool("begun", l.Begun).AnErr("cause", err).Msg("way to the upstream lost")
}

// recordBroken records an attempt without a complete response. reason is
// reasonCut, deadline, stopping, panic or caller_gone: an upstream that crashes may do so in silence.
func (j *job) recordBroken(now time.Time, l *leg.Leg, reason string, err error) {
	j.h.incCounter("attempts_broken." + reason)
	if tooLong := (*readlimit.Error)(nil); errors.As(err, &tooLong) {
		j.h.incCounter("attempts_too_long." + tooLong.Kind)
	}
	aliveAt := l.AliveAt
	if reason == reasonCut {
		aliveAt = now
	}
	j.recordSuspicion(now, aliveAt, l, reason == reasonCut)
	e := j.h.opts.CrashTracker.Evidence(now, j.Fingerprint)
	if reason == reasonCut && !j.breaksSeveral(now) && !impliesNotRun(l.Response.Status) {
		j.h.selector.ObserveOutcome(now, l.Upstream, j.Fingerprint, health.Broken)
	}
	j.logEvent(now).Str("incarnation", l.Upstream.Incarnation()).Str("fingerprint", j.Fingerprint).Str("reason", reason).
		Str("parts", j.Head.SharedIDs()).Bool("begun", l.Begun).Bool("forwarded", l.Forwarded).Int("broken", e.Broken).Int("crashes", e.Crashes).AnErr("cause", err).Msg("attempt without a complete response")
}

// forwardBody sends a response that has been read whole to the caller.
func (j *job) forwardBody(ctx context.Context, l *leg.Leg, body []byte) (done bool, err error) {
	status := l.Response.Status
	switch {
	case j.headSent:
		return false, j.handleBroken(ctx, l, fmt.Errorf("a response with status %d and no events amid a stream", status))
	case !l.Head.Signed || l.Head.Encoded:
		return false, j.handleBroken(ctx, l, fmt.Errorf("the response with status %d is unsigned or has a content encoding", status))
	case status >= http.StatusInternalServerError && !impliesNotRun(status) && (len(j.legs) > 1 || j.mayReplaceFailure()):
		j.h.selector.ObserveOutcome(j.h.opts.Now(), l.Upstream, j.Fingerprint, health.Failed)
		j.runs++
		j.endLeg(l)
		if len(body) <= maxKeptFailure {
			j.failure = &bufferedAnswer{l.Response, slices.Clone(body)}
		}
		return false, verdict.New(verdict.Ran, http.StatusBadGateway, codeFailed, fmt.Sprintf("the upstream failed with status %d", status))
	case impliesNotRun(status):
		return false, j.handleBroken(ctx, l, fmt.Errorf("the upstream responded with status %d but did not state that the request has not run", status))
	}
	outcome := health.Sound
	if status >= http.StatusInternalServerError {
		outcome = health.Failed
	}
	j.h.selector.ObserveOutcome(j.h.opts.Now(), l.Upstream, j.Fingerprint, outcome)
	j.dropOthers(l)
	j.runs++
	j.failed = status >= http.StatusBadRequest
	if !j.failed && !j.Service.Engine {
		l.InFlight.Complete(j.h.opts.Now())
	}
	j.endLeg(l)
	j.write(bufferedAnswer{l.Response, body})
	return true, nil
}

// bufferedAnswer is an upstream's whole answer.
type bufferedAnswer struct {
	response exchange.Response
	body     []byte
}

// write sends an upstream's whole answer to the caller.
func (j *job) write(a bufferedAnswer) {
	j.responding = true
	j.h.opts.Codec.CopyResponseHeader(j.w.Header(), a.response.Header)
	if j.r.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if length := a.response.Header.Get("Content-Length"); length != "" {
		j.w.Header().Set("Content-Length", length)
	}
	j.w.WriteHeader(a.response.Status)
	_, err := j.w.Write(a.body)
	if err == nil {
		err = http.NewResponseController(j.w).Flush()
	}
	if err != nil {
		j.recordUnwritten(err)
	}
}

// mayReplaceFailure reports whether another attempt may be made in place of one that
// has failed. It takes a retry from the budget for it.
func (j *job) mayReplaceFailure() bool {
	now := j.h.opts.Now()
	return j.state(now).RunObstacle() == hedge.None && j.budgetObstacle(now) == hedge.None
}

// impliesNotRun reports whether callers take the status to mean that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// forwardEvent sends an event to the caller, unless it got the event from an earlier
// attempt.
func (j *job) forwardEvent(l *leg.Leg, event eventstream.Event) error {
	defer j.watchSilence()
	l.AliveAt = j.h.opts.Now()
	j.h.opts.Upstreams.ReportReachable(l.AliveAt, l.Upstream.ID)
	if j.headSent && j.lastEvent != "" && event.ID != "" && !isLaterEvent(event.ID, j.lastEvent) {
		return nil
	}
	if j.continues(l) && event.Comment {
		return nil // the stream has not gone on
	}
	j.dropOthers(l)
	if !j.headSent {
		j.startStream(l)
	}
	l.Forwarded = true
	l.InFlight.FirstToken(l.AliveAt, l.Choice.WaitMS)
	l.InFlight.Event(l.AliveAt)
	l.Lease.FirstToken(l.AliveAt)
	_, err := j.w.Write(event.Raw)
	if err == nil {
		err = http.NewResponseController(j.w).Flush()
	}
	if err != nil {
		j.runs++
		j.endLeg(l)
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeNotTaken, "the caller takes no more of the answer").WithCause(err)
	}
	l.AliveAt = j.h.opts.Now() // a slow caller is no silent upstream
	if !j.end.at.IsZero() {
		j.end = j.end.WithWrite(l.AliveAt)
	}
	if event.ID != "" {
		j.lastEvent = event.ID
	}
	return nil
}

// startStream sends the head of a stream. It is the head of the first upstream,
// also if the stream is later resumed on another one.
func (j *job) startStream(l *leg.Leg) {
	j.responding, j.headSent = true, true
	now := j.h.opts.Now()
	j.beginStream(now, j.h.opts.Upstreams.BuildOf(l.Upstream))
	j.logEvent(now).Str("upstream", l.Upstream.ID).Float64("cost_ms", l.Choice.CostMS).Msg("first event")
	j.h.opts.Codec.CopyResponseHeader(j.w.Header(), l.Response.Header)
	j.w.WriteHeader(l.Response.Status)
	metrics.GetOrRegisterHistogram("first_event_us", j.h.opts.Metrics, metrics.NewExpDecaySample(latencySampleSize, latencySampleAlpha)).
		Update(j.h.opts.Now().Sub(j.StartedAt).Microseconds())
}

// isLaterEvent reports whether event ID a comes after b. IDs that are not
// numbers are only compared for equality.
func isLaterEvent(a, b string) bool {
	m, errA := strconv.ParseUint(a, 10, 64)
	n, errB := strconv.ParseUint(b, 10, 64)
	if errA != nil || errB != nil {
		return a != b
	}
	return m > n
}
