package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/answer"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// runService runs an attempt on a plain service. The complete response is read
// before any of it is sent to the caller.
func (a *attempt) runService(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	resp, err := a.sendToService(ctx, cancel)
	if err != nil {
		return a.serviceError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Incarnation != "" {
		a.incarnation = resp.Incarnation
	}
	failed := resp.Status >= http.StatusInternalServerError
	if failed && a.route.Idempotent && a.attempt < a.route.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_failed", "the upstream failed")
	}
	if err := a.deliverBuffered(resp); err != nil {
		return a.serviceError(ctx, err)
	}
	return nil
}

// sendToService sends the request and waits for the response. If the service is
// silent for FirstByteTimeout, the attempt is cancelled only if another one may
// take its place.
func (a *attempt) sendToService(ctx context.Context, cancel context.CancelCauseFunc) (upstream.Response, error) {
	type result struct {
		resp upstream.Response
		err  error
	}
	done := make(chan result, 1)
	go func() {
		resp, err := a.h.opts.Client.Send(ctx, a.candidate.Address, a.call)
		done <- result{resp, err}
	}()
	watchdog := time.NewTicker(a.route.FirstByteTimeout())
	defer watchdog.Stop()
	for {
		select {
		case r := <-done:
			return r.resp, r.err
		case <-watchdog.C:
			if a.prepareSuccessor(a.h.opts.Now()) {
				cancel(errSilent)
			}
		}
	}
}

// serviceError converts the error of an attempt into one with a verdict.
func (a *attempt) serviceError(ctx context.Context, err error) error {
	if verdict.Of(err) == verdict.NotRun {
		return err
	}
	if a.callerGone() {
		a.h.metrics.cancelled.Inc(1)
		return answer.ErrCallerGone
	}
	if errors.Is(context.Cause(ctx), errSilent) {
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "upstream_silent", "the upstream did not answer in time").WithCause(err)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.MayHaveRun, http.StatusGatewayTimeout, "deadline_passed", "the deadline has passed").WithCause(err)
	}
	return err
}

// deliverBuffered reads the complete response, sends it to the caller and records it.
func (a *attempt) deliverBuffered(resp upstream.Response) error {
	limit := a.h.opts.MaxResponseBytes
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_cut", "the upstream's answer broke off").WithCause(err)
	}
	if n > limit {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	v := verdict.Ran
	if resp.Status >= http.StatusInternalServerError {
		v = verdict.MayHaveRun
	}
	a.outcome = ledger.Outcome{Verdict: v, Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: body.Bytes()}
	copyHeader(a.w.Header(), resp.Header)
	a.w.Header().Set(verdict.Header, v.String())
	answer.WriteRecord(a.w, answer.Record{Status: resp.Status, ContentType: a.outcome.ContentType, Body: body.Bytes()})
	return nil
}
