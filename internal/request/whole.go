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

// whole runs an attempt on a plain service. The answer is read whole before
// the caller sees any of it.
func (a *attempt) whole(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(a.route.FirstByteTimeout(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	head, err := a.h.opts.Client.Send(ctx, a.candidate.Address, a.call)
	if err != nil {
		return a.wholeError(ctx, err)
	}
	watchdog.Stop()
	defer func() { _ = head.Body.Close() }()
	if head.Incarnation != "" {
		a.incarnation = head.Incarnation
	}
	failed := head.Status >= http.StatusInternalServerError
	if failed && a.route.Idempotent && a.attempt < a.route.MaxAttempts {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_failed", "the upstream failed")
	}
	if err := a.deliverWhole(head); err != nil {
		return a.wholeError(ctx, err)
	}
	return nil
}

func (a *attempt) wholeError(ctx context.Context, err error) error {
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

// deliverWhole reads an answer to its end and gives it to the caller.
func (a *attempt) deliverWhole(head upstream.Answer) error {
	limit := a.h.opts.MaxResponseBytes
	var body bytes.Buffer
	n, err := io.Copy(&body, io.LimitReader(head.Body, limit+1))
	if err != nil {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "upstream_cut", "the upstream's answer broke off").WithCause(err)
	}
	if n > limit {
		return verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "answer_too_large", "the upstream's answer is too large")
	}
	v := verdict.Ran
	if head.Status >= http.StatusInternalServerError {
		v = verdict.MayHaveRun
	}
	a.outcome = ledger.Outcome{Verdict: v, Status: head.Status, ContentType: head.Header.Get("Content-Type"), Body: body.Bytes()}
	copyHeader(a.w.Header(), head.Header)
	a.w.Header().Set(verdict.Header, v.String())
	answer.WriteWhole(a.w, answer.Record{Status: head.Status, ContentType: a.outcome.ContentType, Body: body.Bytes()})
	return nil
}
