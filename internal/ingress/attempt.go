package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// aliveWithin is over the time between two words of an engine that is there:
	// it answers calls for its events at least that often.
	aliveWithin  = 900 * time.Millisecond
	silenceCheck = 200 * time.Millisecond
)

// maxAnswerBytes bounds an answer that is held whole.
const maxAnswerBytes = 8 << 20

// attempt is one run of a job on one upstream.
type attempt struct {
	*job
	upstream roster.Upstream
	choice   roster.Choice
	stay     *roster.InFlight
	cancel   context.CancelCauseFunc
}

// run sends the request and passes the answer on.
func (a *attempt) run(ctx context.Context, conn *exchange.Conn) error {
	var watchdog *time.Timer
	if limit, set := a.silence(); set {
		watchdog = time.AfterFunc(limit, func() {
			// One that speaks to others is busy, not gone; to send the request
			// elsewhere as well would only add to the load.
			if a.service.Engine && a.h.opts.Upstreams.RespondedWithin(a.h.opts.Now(), a.upstream.ID, aliveWithin) {
				watchdog.Reset(silenceCheck)
				return
			}
			a.cancel(errSilent)
		})
		defer watchdog.Stop()
	}
	answer, err := conn.Do(a.call(a.h.opts.Now()))
	if err != nil {
		return a.broken(ctx, err)
	}
	head := a.h.opts.Codec.DecodeResponseHead(a.request.ID, answer)
	if head.Foreign {
		return a.broken(ctx, errors.New("the answer is another request's"))
	}
	a.h.opts.Upstreams.ReportReachable(a.h.opts.Now(), a.upstream.ID)
	if head.NotRun {
		return a.turnedAway(answer, head)
	}
	if head.Version > 0 {
		a.h.opts.Upstreams.ObserveVersion(a.h.opts.Now(), a.upstream.ID, a.upstream.Born, head.Version)
	}
	if head.EventStream && answer.Status == http.StatusOK {
		if !head.Signed || head.Encoded {
			return a.broken(ctx, errors.New("nobody vouches for the answer"))
		}
		return a.stream(ctx, answer, watchdog)
	}
	return a.whole(ctx, answer, head)
}

// silence is how long the upstream may be silent before the request goes
// elsewhere, if it may.
func (a *attempt) silence() (limit time.Duration, set bool) {
	if !a.route.Repeatable() || a.runs+1 >= a.route.MaxAttempts {
		return 0, false
	}
	if a.route.Kind == routing.Streaming {
		return max(streamSilence, 2*a.route.TargetLatency), true
	}
	return max(plainSilence, a.route.TargetLatency), true
}

// turnedAway says that the upstream has not run the request.
func (a *attempt) turnedAway(answer exchange.Response, head ResponseHead) error {
	a.rejected++
	now := a.h.opts.Now()
	switch {
	case head.Misdirected:
		a.h.opts.Upstreams.ReportMismatch(now, a.upstream.ID)
	case a.service.Engine:
		// It is full, loads weights, or has others than were asked for.
		a.h.opts.Upstreams.SetLoading(now, a.upstream.ID)
	}
	if head.Version > 0 {
		a.h.opts.Upstreams.ObserveVersion(now, a.upstream.ID, a.upstream.Born, head.Version)
	}
	a.h.count("rejections." + strconv.Itoa(answer.Status))
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeRejected,
		fmt.Sprintf("the upstream turned the request away with status %d", answer.Status))
}

// broken says that the attempt may have run and brought no whole answer.
func (a *attempt) broken(ctx context.Context, err error) error {
	a.runs++
	now := a.h.opts.Now()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, codeDeadline, "the time for the request is over").WithCause(err)
	case a.callerGone():
		return errCallerGone
	case errors.Is(cause, errSilent):
		a.h.opts.Upstreams.ReportUnreachable(now, a.upstream.ID)
		err = fmt.Errorf("%w: %w", cause, err)
	default:
		a.h.opts.CrashTracker.RecordBroken(now, a.fingerprint, a.upstream.Incarnation())
		a.h.opts.Fleet.ReportSuspect(now, a.fingerprint, a.upstream)
	}
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "the upstream broke off").WithObject("upstream/"+a.upstream.ID, "").WithCause(err)
}

// whole reads an answer to its end before the caller sees any of it.
func (a *attempt) whole(ctx context.Context, answer exchange.Response, head ResponseHead) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = fmt.Errorf("answer over %d bytes", maxAnswerBytes)
	}
	if err != nil {
		return a.broken(ctx, err)
	}
	if !head.Signed || head.Encoded {
		return a.broken(ctx, fmt.Errorf("nobody vouches for the answer with status %d", answer.Status))
	}
	failed := answer.Status >= http.StatusInternalServerError
	if failed && a.route.Repeatable() && a.runs+1 < a.route.MaxAttempts && a.h.opts.RetryBudget.Allow(a.h.opts.Now(), a.service.Name) {
		a.runs++
		a.h.count("attempts_again.upstream_failed")
		return a.attempt(ctx)
	}
	if promisesNotRun(answer.Status) {
		return a.broken(ctx, fmt.Errorf("the upstream answered with status %d and does not say that it has not run", answer.Status))
	}
	a.runs++
	a.h.opts.Codec.CopyResponseHeader(a.w.Header(), answer.Header)
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(answer.Status)
	if _, err := a.w.Write(body); err != nil {
		a.line(a.h.opts.Now()).Err(err).Msg("answer not taken")
	}
	return nil
}

// promisesNotRun reports whether callers read a status as "has not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// stream passes events on as they come.
func (a *attempt) stream(ctx context.Context, answer exchange.Response, watchdog *time.Timer) error {
	events := newEventReader(answer.Body)
	flush := http.NewResponseController(a.w)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && a.begun {
			a.runs++
			return nil
		}
		if err != nil {
			return a.broken(ctx, err)
		}
		if a.begun && a.lastEvent != "" && event.id != "" && !later(event.id, a.lastEvent) {
			continue
		}
		if !a.begun {
			a.begin(answer)
		}
		a.stay.FirstToken(a.h.opts.Now(), a.choice.WaitMS)
		a.h.opts.Upstreams.ReportReachable(a.h.opts.Now(), a.upstream.ID)
		if _, err := a.w.Write(event.raw); err != nil {
			return a.unread(err)
		}
		if err := flush.Flush(); err != nil {
			return a.unread(err)
		}
		if event.id != "" {
			a.lastEvent = event.id
		}
		if watchdog != nil {
			watchdog.Reset(max(gapSilence, 3*a.route.TargetEventGap))
		}
	}
}

// unread says that the caller takes no more of its answer.
func (a *attempt) unread(err error) error {
	a.runs++
	return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeDeadline, "the caller takes no more of the answer").WithCause(err)
}

// begin sends the head of a stream. The head of its first upstream stays.
func (a *attempt) begin(answer exchange.Response) {
	a.begun = true
	now := a.h.opts.Now()
	a.line(now).Str("upstream", a.upstream.ID).Float64("cost_ms", a.choice.CostMS).Msg("first event")
	a.h.opts.Codec.CopyResponseHeader(a.w.Header(), answer.Header)
	a.w.WriteHeader(answer.Status)
	metrics.GetOrRegisterHistogram("first_event_us", a.h.opts.Metrics, metrics.NewExpDecaySample(1028, 0.015)).
		Update(a.h.opts.Now().Sub(a.started).Microseconds())
}

// later reports whether the event ID a comes after b.
func later(a, b string) bool {
	m, errA := strconv.ParseUint(a, 10, 64)
	n, errB := strconv.ParseUint(b, 10, 64)
	if errA != nil || errB != nil {
		return a != b
	}
	return m > n
}
