package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// unsentTries bounds the connections tried for one attempt; no byte has left
	// on those that failed.
	unsentTries = 4
	// rejectedTries bounds the upstreams that may turn one request away.
	rejectedTries = 3
	// plainSilence and streamSilence are the least times that a repeatable
	// request waits for the first byte before it goes to another upstream.
	plainSilence  = 150 * time.Millisecond
	streamSilence = 800 * time.Millisecond
	// gapSilence is the least pause in a stream after which it is resumed elsewhere.
	gapSilence = time.Second
)

// The causes that end an attempt from this side.
var (
	errCallerGone = errors.New("ingress: the caller has left")
	errSilent     = errors.New("ingress: the upstream is silent")
)

// The codes of errors that decide whether another attempt is made.
const (
	codeUnreachable = "upstream_unreachable"
	codeRejected    = "upstream_rejected"
	codeNoUpstream  = "no_upstream"
	codeBroken      = "upstream_broken"
	codeDeadline    = "deadline_passed"
	codeBusy        = "busy"
)

// job is one request on its way. It is for one goroutine.
type job struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	started      time.Time
	deadline     time.Time
	request      Request
	route        routing.Route
	organisation routing.Organisation
	service      routing.Service
	revision     uint64
	body         []byte
	fingerprint  string

	tried []string
	// runs counts the attempts that may have run, rejected those that an
	// upstream turned away, unsent those that found no connection.
	runs, rejected, unsent int
	// begun says that the caller has got the head of a stream, lastEvent is the
	// last event that it has.
	begun     bool
	lastEvent string
}

// serve sends the request to upstreams until it is answered, and answers it
// with an error if that can't be done.
func (j *job) serve() {
	h := j.h
	h.opts.RetryBudget.Request(j.started, j.service.Name)
	if h.opts.CrashTracker.Stopped(j.started, j.fingerprint) {
		h.refuse(j.w, j.request, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "crashes_upstreams", "upstreams have crashed while they ran this request"))
		return
	}
	ctx := j.r.Context()
	if j.route.Kind == routing.NonIdempotent {
		// What must not repeat is run to its end, whether or not its caller stays.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.lastEvent = j.request.ResumeAfter
	for {
		err := j.attempt(ctx)
		if err == nil {
			j.done()
			return
		}
		now := h.opts.Now()
		if j.callerGone() {
			h.count("callers_gone")
			j.line(now).Msg("caller gone")
			panic(http.ErrAbortHandler)
		}
		e := verdict.As(err)
		if j.again(now, e) {
			h.count("attempts_again." + e.Code)
			j.line(now).Str("code", e.Code).AnErr("cause", e.Err).Msg("request tried again")
			continue
		}
		j.fail(now, e)
		return
	}
}

func (j *job) done() {
	now := j.h.opts.Now()
	metrics.GetOrRegisterHistogram("answer_us."+j.route.Kind.String(), j.h.opts.Metrics, metrics.NewExpDecaySample(1028, 0.015)).
		Update(now.Sub(j.started).Microseconds())
	j.h.count("answers")
	j.line(now).Msg("request answered")
}

// line begins a log line on the request.
func (j *job) line(now time.Time) *zerolog.Event {
	return j.h.opts.Log.Info().Str("request", j.request.ID).Str("route", j.route.Name).Str("organisation", j.organisation.Name).
		Uint64("configuration", j.revision).Int64("age_ms", now.Sub(j.started).Milliseconds()).
		Int("runs", j.runs).Int("rejected", j.rejected).Int("unsent", j.unsent).Str("tried", strings.Join(j.tried, ","))
}

func (j *job) callerGone() bool { return errors.Is(j.r.Context().Err(), context.Canceled) }

// again decides whether the request goes to another upstream after an error.
func (j *job) again(now time.Time, e *verdict.Error) bool {
	if !now.Before(j.deadline) || e.Code == codeDeadline {
		return false
	}
	switch e.Code {
	case codeNoUpstream, codeBusy:
		return false
	case codeUnreachable:
		return j.unsent < unsentTries
	case codeRejected:
		return j.rejected < rejectedTries && j.h.opts.RetryBudget.Allow(now, j.service.Name)
	}
	return j.mayRepeat() && j.h.opts.RetryBudget.Allow(now, j.service.Name)
}

// mayRepeat reports whether the request may run once more.
func (j *job) mayRepeat() bool {
	if j.begun && (!j.route.Resumable || j.lastEvent == "") {
		return false
	}
	return j.route.Repeatable() && j.runs < j.route.MaxAttempts
}

// fail answers the caller with an error. "Not run" is said only if no attempt
// can have run.
func (j *job) fail(now time.Time, e *verdict.Error) {
	if j.begun {
		j.h.count("streams_cut")
		j.line(now).Str("code", e.Code).AnErr("cause", e.Err).Msg("stream cut")
		panic(http.ErrAbortHandler)
	}
	if j.runs > 0 {
		if e.Verdict == verdict.NotRun {
			e = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "an attempt may have run").WithCause(e)
		}
	} else if e.Code == codeUnreachable || e.Code == codeRejected || e.Code == codeNoUpstream {
		e = e.WithRetryAfter(noPlaceRetryAfter)
	}
	j.line(now).Str("code", e.Code).Msg("request failed")
	j.h.refuse(j.w, j.request, e)
}

// query asks for an upstream for the next attempt.
func (j *job) query() roster.Query {
	q := roster.Query{Service: j.service.Name, Exclude: j.tried}
	if j.service.Engine {
		q.Model = j.request.Model
		q.Parts = j.walled()
		for _, p := range q.Parts {
			q.UnsharedTokens -= p.Tokens
		}
		q.UnsharedTokens = max(0, q.UnsharedTokens+j.request.PromptTokens)
		q.OutputTokens = j.request.OutputTokens
	}
	return q
}

// walled returns the shared parts under names that differ for organisations
// that share none.
func (j *job) walled() []roster.Part {
	shared := j.request.Shared()
	if !j.organisation.Isolated || len(shared) == 0 {
		return shared
	}
	parts := make([]roster.Part, len(shared))
	for i, p := range shared {
		parts[i] = roster.Part{ID: roster.IsolatedID(j.organisation.Name, p.ID), Tokens: p.Tokens}
	}
	return parts
}

// admitted refuses a request that no engine can answer in time: it would only
// make the others wait as well.
func (j *job) admitted(now time.Time, c roster.Choice) error {
	if !j.service.Engine || j.runs+j.rejected+j.unsent > 0 || j.begun {
		return nil
	}
	back, late := c.Late(j.route.TargetLatency, j.request.TimeLeft, rand.Int64N)
	if !late {
		return nil
	}
	j.line(now).Float64("first_ms", c.FirstTokenMS).Float64("cost_ms", c.CostMS).Int("candidates", c.Candidates).Msg("no engine in time")
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeBusy, "no engine can answer in time").WithRetryAfter(back)
}

// attempt sends the request to one upstream and passes its answer on.
func (j *job) attempt(ctx context.Context) error {
	now := j.h.opts.Now()
	query := j.query()
	choice, found := j.h.opts.Upstreams.Pick(now, query)
	if !found && len(j.tried) > 0 && j.runs == 0 {
		j.tried = nil
		query.Exclude = nil
		choice, found = j.h.opts.Upstreams.Pick(now, query)
	}
	if !found {
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoUpstream, "no upstream of the service is known")
	}
	if err := j.admitted(now, choice); err != nil {
		return err
	}
	u := choice.Upstream
	j.tried = append(j.tried, u.ID)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := j.h.opts.Dialer.Connect(ctx, u.Address)
	if err != nil {
		j.unsent++
		if ctx.Err() == nil {
			j.h.opts.Upstreams.ReportUnreachable(j.h.opts.Now(), u.ID)
			j.h.opts.Log.Warn().Str("upstream", u.ID).Err(err).Msg("upstream unreachable")
		}
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeUnreachable, "the upstream can't be reached").WithCause(err)
	}
	defer conn.Close()
	stay := j.h.opts.Upstreams.Start(now, u, roster.Load{
		Requests:      1,
		WaitingTokens: choice.MissingTokens,
		Tokens:        j.request.PromptTokens + j.request.OutputTokens,
	}, query.Parts, query.UnsharedTokens+query.OutputTokens)
	defer stay.Finish()
	a := attempt{job: j, upstream: u, choice: choice, stay: stay, cancel: cancel}
	j.line(now).Str("upstream", u.ID).Float64("cost_ms", choice.CostMS).Int("missing_tokens", choice.MissingTokens).
		Int("places", choice.FreeSlots).Int("candidates", choice.Candidates).Bool("fit", choice.Healthy).Bool("home", choice.Home).Float64("first_ms", choice.FirstTokenMS).Str("fetch_from", choice.Source.ID).Int64("version", u.Version).Msg("request sent")
	return a.run(ctx, conn)
}

// call is what is sent to the upstream.
func (a *attempt) call(now time.Time) exchange.Request {
	priority := a.route.Priority
	if a.organisation.Priority != nil {
		priority = *a.organisation.Priority
	}
	wall := ""
	if a.organisation.Isolated {
		wall = a.organisation.Name
	}
	header := a.h.opts.Codec.EncodeHeader(UpstreamCall{
		Request:      a.request,
		Upstream:     a.upstream,
		Organisation: a.organisation.Name,
		IsolationKey: wall,
		TimeLeft:     a.deadline.Sub(now),
		ResumeAfter:  a.lastEvent,
		Priority:     priority,
		FetchFrom:    a.choice.Source.Address,
		SaveTo:       a.choice.SaveTo,
	})
	return exchange.Request{Method: a.r.Method, Target: a.r.RequestURI, Host: a.r.Host, Header: header, Body: a.body}
}
