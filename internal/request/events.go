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
	// reattachDelay is the minimum delay before reattaching, which may be up to
	// twice as long, and the minimum of the timeouts for silence.
	reattachDelay  = 20 * time.Millisecond
	cancelTimeout  = 2 * time.Second
	cancelAttempts = 5
)

// errStreamEnd stops the copying of events after the event that ends the stream.
var errStreamEnd = errors.New("request: end of stream")

// runStream runs an attempt on a model engine: it sends the request and copies
// the numbered events to the response. If the connection breaks or is silent
// for too long, it reattaches: it opens a new connection to the same
// incarnation and resumes after the last event that arrived in order.
func (a *attempt) runStream(ctx context.Context) error {
	a.lastEventAt = a.h.opts.Now()
	a.prepareResponse()
	sequencer := stream.NewSequencer(a.id, a.call.Attempt)
	err := a.openAndCopy(ctx, sequencer, a.send)
	for a.shouldReattach(ctx, err) {
		if !a.waitReattach(ctx) {
			break
		}
		a.h.metrics.reattached.Inc(1)
		reattachErr := a.openAndCopy(ctx, sequencer, func(ctx context.Context) (upstream.Response, error) {
			return a.h.opts.Client.Resume(ctx, a.candidate.Address, a.call, sequencer.Next()-1)
		})
		if errors.Is(reattachErr, errAttemptLost) {
			break
		}
		err = reattachErr
	}
	a.h.metrics.dropped.Inc(int64(sequencer.Dropped()))
	if err == nil {
		return nil
	}
	if a.sent {
		a.cancelUpstream(ctx)
	}
	if a.response.Finished() && a.endResponse(a.h.opts.Now()) == nil {
		return nil
	}
	return a.streamError(ctx, err)
}

// prepareResponse prepares the response for a new attempt: the engine continues
// the text so far if the pool allows it, and the response restarts otherwise.
func (a *attempt) prepareResponse() {
	if text := a.continuationText(); text != "" {
		a.call.ContinueFrom = text
		a.h.metrics.continued.Inc(1)
		return
	}
	a.response.Restart()
}

// errAttemptLost means that the engine doesn't know the attempt or is another
// incarnation.
var errAttemptLost = errors.New("request: the upstream has lost the attempt")

// send sends the request and records whether the upstream may have received it.
func (a *attempt) send(ctx context.Context) (upstream.Response, error) {
	resp, err := a.h.opts.Client.Send(ctx, a.candidate.Address, a.call)
	a.sent = a.sent || err == nil || verdict.Of(err) != verdict.NotRun
	return resp, err
}

// openAndCopy opens a connection and copies events from it. It returns nil at
// the end of the stream, and an error if the connection breaks or is silent for
// too long.
func (a *attempt) openAndCopy(ctx context.Context, sequencer *stream.Sequencer, open func(context.Context) (upstream.Response, error)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// Opening a connection has a timeout of its own. The timeout for silence
	// starts once it is open.
	watchdog := time.AfterFunc(a.openTimeout(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	a.call.Connected = func() { watchdog.Reset(a.silenceTimeout()) }
	resp, err := open(ctx)
	if err != nil {
		return a.openError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Status != http.StatusOK {
		return a.handleNonStream(resp)
	}
	if err := a.checkResponse(resp); err != nil {
		return err
	}
	err = a.copyEvents(resp, sequencer, watchdog)
	if cause := context.Cause(ctx); cause != nil && !errors.Is(err, answer.ErrCallerGone) && err != nil {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// openError returns the error of a connection that could not be opened.
func (a *attempt) openError(ctx context.Context, err error) error {
	var e *verdict.Error
	if errors.As(err, &e) && e.Status == http.StatusNotFound {
		return errAttemptLost
	}
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) && verdict.Of(err) != verdict.NotRun {
		return fmt.Errorf("%w: %w", err, cause)
	}
	return err
}

// checkResponse returns an error if the response is from another incarnation or
// other weights. It records the first response of the attempt.
func (a *attempt) checkResponse(resp upstream.Response) error {
	if a.weightsVersion != "" && resp.WeightsVersion != "" && resp.WeightsVersion != a.weightsVersion {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "wrong_weights",
			"the upstream answered by other weights").WithObject("upstream/"+a.candidate.Name, "weights_version")
	}
	if a.responseStarted && resp.Incarnation != a.incarnation {
		return errAttemptLost
	}
	if !a.responseStarted {
		a.h.metrics.cachedTokens.Inc(int64(resp.CachedTokens))
		a.h.metrics.promptTokens.Inc(int64(resp.PromptTokens))
	}
	a.responseStarted = true
	a.incarnation = resp.Incarnation
	return nil
}

// openTimeout returns how long the opening of a connection may take.
func (a *attempt) openTimeout() time.Duration {
	if left := a.eventTimeLeft(); left > 0 {
		return max(reattachDelay, left)
	}
	return a.h.opts.SilenceTimeout
}

// silenceTimeout returns how long a connection may be silent before it is replaced.
func (a *attempt) silenceTimeout() time.Duration {
	return min(a.h.opts.SilenceTimeout, a.openTimeout())
}

// eventTimeLeft returns the time left for the first event or for the next one.
func (a *attempt) eventTimeLeft() time.Duration {
	limit := a.route.EventTimeout()
	if !a.gotEvent {
		limit = a.route.FirstByteTimeout()
	}
	return limit - a.h.opts.Now().Sub(a.lastEventAt)
}

// copyEvents copies events from the upstream to the response until the stream
// ends. It flushes the response whenever no more input is buffered.
func (a *attempt) copyEvents(resp upstream.Response, sequencer *stream.Sequencer, watchdog *time.Timer) error {
	reader := stream.NewReader(resp.Body, stream.ReaderOptions{})
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
			if err := a.deliverEvent(now, data); errors.Is(err, errStreamEnd) {
				return nil
			} else if err != nil {
				return err
			}
		}
		if sequencer.Next() > before {
			a.lastEventAt = now
			if !a.gotEvent {
				a.gotEvent = true
				a.inFlight.FirstToken()
			}
			watchdog.Reset(a.silenceTimeout())
		}
		if reader.Buffered() == 0 {
			if err := a.response.Flush(); err != nil {
				return err
			}
		}
	}
}

// deliverEvent writes one event to the response. It returns errStreamEnd after
// the event that ends the stream.
func (a *attempt) deliverEvent(now time.Time, data []byte) error {
	a.h.metrics.events.Inc(1)
	if !a.response.Started() {
		a.h.metrics.firstEvent.Update(now.Sub(a.startedAt).Microseconds())
	}
	if string(data) != stream.Done {
		return a.response.WriteEvent(now, data)
	}
	if err := a.endResponse(now); err != nil {
		return err
	}
	return errStreamEnd
}

// endResponse completes the response and records it for the ledger.
func (a *attempt) endResponse(now time.Time) error {
	if err := a.response.End(now); err != nil {
		return err
	}
	record := a.response.Record()
	a.outcome = ledger.Outcome{Verdict: verdict.Ran, Status: record.Status, ContentType: record.ContentType, Body: record.Body}
	return nil
}

// handleNonStream handles a response that is not a stream, which is an error of
// the engine. Statuses 5xx and 429 are returned as errors, so that the request may
// be retried. Other responses are forwarded to the caller.
func (a *attempt) handleNonStream(resp upstream.Response) error {
	if resp.Status >= http.StatusInternalServerError || resp.Status == http.StatusTooManyRequests {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_failed",
			fmt.Sprintf("the upstream answered with status %d", resp.Status))
	}
	if a.response.Started() {
		return errAttemptLost
	}
	return a.deliverBuffered(resp)
}

// shouldReattach reports whether the same incarnation may still have the rest of
// the stream. A silent one keeps the request after its time if nothing may take
// its place.
func (a *attempt) shouldReattach(ctx context.Context, err error) bool {
	if err == nil || !a.sent || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, answer.ErrCallerGone) || errors.Is(err, errAttemptLost) {
		return false
	}
	silent := errors.Is(err, errSilent)
	if a.eventTimeLeft() <= 0 {
		return silent && !a.response.Finished() && !a.prepareSuccessor(a.h.opts.Now())
	}
	if silent {
		return true
	}
	var e *verdict.Error
	if errors.As(err, &e) {
		return e.Code == upstream.CodeCut
	}
	return true
}

// waitReattach waits before reattaching. It returns false if ctx is done.
func (a *attempt) waitReattach(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(jitter(2 * reattachDelay)):
		return true
	}
}

// streamError converts the error that ended the attempt into one with a verdict.
func (a *attempt) streamError(ctx context.Context, err error) error {
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

// callerGone reports whether the caller has disconnected. It is false for
// requests with a claimed key, which are completed anyway.
func (a *attempt) callerGone() bool {
	return a.grant == nil && errors.Is(a.r.Context().Err(), context.Canceled)
}

// cancelUpstream asks the engine to stop, in the background. It uses a new
// connection because the old one may be silent. It does nothing for requests
// with a claimed key.
func (a *attempt) cancelUpstream(ctx context.Context) {
	if a.grant != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// The engine does not know the request until it has read it, so the first
		// calls may fail.
		for range cancelAttempts {
			if a.h.opts.Client.Cancel(ctx, a.candidate.Address, a.call) == nil || !a.waitReattach(ctx) {
				return
			}
		}
	}()
}
