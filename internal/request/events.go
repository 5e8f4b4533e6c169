package request

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/answer"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	reattachPause = 20 * time.Millisecond
	cancelTimeout = 2 * time.Second
	cancelTries   = 5
)

// errDone ends the copying of events at the explicit end of the stream.
var errDone = errors.New("request: end of stream")

// events runs an attempt on a model engine: it sends the request and copies
// the numbered events to the answer. A connection that breaks or falls silent is
// replaced by a new one to the same incarnation, after the last event that
// arrived in order.
func (a *attempt) events(ctx context.Context) error {
	a.progress = a.h.opts.Now()
	a.prepareAnswer()
	sequencer := stream.NewSequencer(a.id, a.call.Attempt)
	err := a.connect(ctx, sequencer, a.send)
	for a.worthReattaching(ctx, err) {
		if !a.pause(ctx) {
			break
		}
		a.h.metrics.reattached.Inc(1)
		next := a.connect(ctx, sequencer, func(ctx context.Context) (upstream.Answer, error) {
			return a.h.opts.Client.Resume(ctx, a.candidate.Address, a.call, sequencer.Next()-1)
		})
		if errors.Is(next, errLost) {
			break
		}
		err = next
	}
	a.h.metrics.dropped.Inc(int64(sequencer.Dropped()))
	if err == nil {
		return nil
	}
	if a.sent {
		a.cancel(ctx)
	}
	if a.answer.Finished() && a.end(a.h.opts.Now()) == nil {
		return nil
	}
	return a.explain(ctx, err)
}

// prepareAnswer readies the answer for a new attempt: it goes on from the text so
// far where the pool allows it, and starts anew otherwise.
func (a *attempt) prepareAnswer() {
	if text := a.continuation(); text != "" {
		a.call.Continue = text
		a.h.metrics.continued.Inc(1)
		return
	}
	a.answer.Restart()
}

// errLost means that the engine doesn't know the attempt, or is another incarnation.
var errLost = errors.New("request: the upstream has lost the attempt")

func (a *attempt) send(ctx context.Context) (upstream.Answer, error) {
	head, err := a.h.opts.Client.Send(ctx, a.candidate.Address, a.call)
	a.sent = a.sent || err == nil || verdict.Of(err) != verdict.NotRun
	return head, err
}

// connect opens a connection and copies events from it until the stream ends
// (nil), the connection breaks or it is silent for too long.
func (a *attempt) connect(ctx context.Context, sequencer *stream.Sequencer, open func(context.Context) (upstream.Answer, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Opening a connection has a limit of its own; silence counts from then on.
	watchdog := time.AfterFunc(max(reattachPause, a.timeLeft()), func() { cancel(errSilent) })
	defer watchdog.Stop()
	a.call.Connected = func() { watchdog.Reset(a.silence()) }
	head, err := open(ctx)
	if err != nil {
		return a.openError(ctx, err)
	}
	defer func() { _ = head.Body.Close() }()
	if head.Status != http.StatusOK {
		return a.plain(head)
	}
	if err := a.check(head); err != nil {
		return err
	}
	err = a.copy(head, sequencer, watchdog)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, answer.ErrCallerGone) && err != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

func (a *attempt) openError(ctx context.Context, err error) error {
	var e *verdict.Error
	if errors.As(err, &e) && e.Status == http.StatusNotFound {
		return errLost
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) && verdict.Of(err) != verdict.NotRun {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// check refuses an answer of another incarnation or of other weights.
func (a *attempt) check(head upstream.Answer) error {
	if a.weights != "" && head.WeightsVersion != "" && head.WeightsVersion != a.weights {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_weights",
			"the upstream answered by other weights").WithObject("upstream/"+a.candidate.Name, "weights_version")
	}
	if a.attached && head.Incarnation != a.incarnation {
		return errLost
	}
	if !a.attached {
		a.h.metrics.cachedTokens.Inc(int64(head.CachedTokens))
		a.h.metrics.promptTokens.Inc(int64(head.PromptTokens))
	}
	a.attached = true
	a.incarnation = head.Incarnation
	return nil
}

// silence is how long a connection may carry nothing before it is tried anew.
func (a *attempt) silence() time.Duration {
	return max(reattachPause, min(a.h.opts.Silence, a.timeLeft()))
}

// timeLeft is what remains of the limit for the first event or the next one.
func (a *attempt) timeLeft() time.Duration {
	limit := a.route.EventTimeout()
	if !a.arrived {
		limit = a.route.FirstByteTimeout()
	}
	return limit - a.h.opts.Now().Sub(a.progress)
}

// copy moves events from the upstream to the answer.
func (a *attempt) copy(head upstream.Answer, sequencer *stream.Sequencer, watchdog *time.Timer) error {
	reader := stream.NewReader(head.Body, stream.ReaderOptions{})
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		before := sequencer.Next()
		ready, err := sequencer.Accept(event)
		if err != nil {
			return err
		}
		now := a.h.opts.Now()
		for data := range ready {
			if err := a.deliver(now, data); errors.Is(err, errDone) {
				return nil
			} else if err != nil {
				return err
			}
		}
		if sequencer.Next() > before {
			a.progress = now
			if !a.arrived {
				a.arrived = true
				a.stay.Answered()
			}
			watchdog.Reset(a.silence())
		}
		if reader.Buffered() == 0 {
			if err := a.answer.Flush(); err != nil {
				return err
			}
		}
	}
}

func (a *attempt) deliver(now time.Time, data []byte) error {
	a.h.metrics.events.Inc(1)
	if !a.answer.Begun() {
		a.h.metrics.firstEvent.Update(now.Sub(a.started).Microseconds())
	}
	if string(data) != stream.Done {
		return a.answer.Event(now, data)
	}
	if err := a.end(now); err != nil {
		return err
	}
	return errDone
}

// end ends the answer and keeps it for the ledger.
func (a *attempt) end(now time.Time) error {
	if err := a.answer.End(now); err != nil {
		return err
	}
	record := a.answer.Recorded()
	a.outcome = ledger.Outcome{Verdict: verdict.Ran, Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	return nil
}

// plain passes on an answer that is no stream: an error of the engine's.
func (a *attempt) plain(head upstream.Answer) error {
	if head.Status >= http.StatusInternalServerError || head.Status == http.StatusTooManyRequests {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_failed",
			fmt.Sprintf("the upstream answered with status %d", head.Status))
	}
	if a.answer.Begun() {
		return errLost
	}
	return a.deliverWhole(head)
}

// worthReattaching reports whether the same incarnation may still have the rest.
func (a *attempt) worthReattaching(ctx context.Context, err error) bool {
	if err == nil || !a.sent || ctx.Err() != nil || a.timeLeft() <= 0 {
		return false
	}
	if errors.Is(err, answer.ErrCallerGone) || errors.Is(err, errLost) {
		return false
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Code == upstream.CodeCut
	}
	return true
}

func (a *attempt) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(jitter(2 * reattachPause)):
		return true
	}
}

// explain turns what ended the attempt into an error with a verdict.
func (a *attempt) explain(ctx context.Context, err error) error {
	var e *verdict.Error
	switch {
	case errors.Is(err, answer.ErrCallerGone) || a.callerGone():
		a.h.metrics.cancelled.Inc(1)
		return answer.ErrCallerGone
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "deadline_passed", "the deadline has passed").WithCause(err)
	case errors.As(err, &e):
		return e
	case errors.Is(err, errSilent):
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "upstream_silent", "the upstream has fallen silent").WithCause(err)
	default:
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "stream_broken", "the upstream's stream broke off").WithCause(err)
	}
}

// callerGone reports whether the caller of an idempotent request has left.
func (a *attempt) callerGone() bool {
	return a.grant == nil && errors.Is(a.r.Context().Err(), context.Canceled)
}

// cancel tells the engine to stop, in the background and on a new connection:
// the old one may be silent.
func (a *attempt) cancel(ctx context.Context) {
	if a.grant != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// The engine may still be reading the request and not know it yet.
		for range cancelTries {
			if a.h.opts.Client.Cancel(ctx, a.candidate.Address, a.call) == nil || !a.pause(ctx) {
				return
			}
		}
	}()
}
