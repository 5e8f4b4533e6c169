package ingress

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/hedge"
	"github.com/hibiscuscove/hibiscuscove/internal/intake"
	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/selection"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	// maxConnectAttempts limits the connection attempts per request. Nothing was
	// sent on those that failed.
	maxConnectAttempts = 4
	// maxRejections limits the upstreams that may reject one request.
	maxRejections = 3
	// silenceRecheckInterval is the time between two checks of a silent upstream whose
	// request could not be sent elsewhere as well.
	silenceRecheckInterval = 200 * time.Millisecond
	// roomCheckInterval is the time between two looks for room at brittle upstreams.
	roomCheckInterval = 5 * time.Millisecond
	// maxKeptFailure limits the body of a failure that is kept while another upstream
	// is tried.
	maxKeptFailure = 16 << 10
	// callerWriteGrace is how long after the deadline of a request a caller may still
	// receive an answer.
	callerWriteGrace = time.Second
	// maxTriesBeside limits the upstreams that a request is sent to beside a silent one.
	maxTriesBeside = 3
	// maxOverlap limits how long a silent upstream keeps a stream that another one
	// has begun to go on with.
	maxOverlap = 250 * time.Millisecond
	// engineAliveWindow is the age up to which the last contact with an engine
	// proves that it is running. A running engine responds to polls for its cache
	// events more often than that.
	engineAliveWindow = 900 * time.Millisecond
)

// Error codes that decide whether a request is retried.
const (
	codeUnreachable = "upstream_unreachable"
	codeRejected    = "upstream_rejected"
	codeBroken      = "upstream_broken"
	codeDeadline    = "deadline_passed"
	codeFailed      = "upstream_failed"
	codeNotTaken    = "answer_not_taken"
	codeStopping    = "stopping"
	codeCallerGone  = "caller_gone"
	// codeUnknownStream is the code of a stream that is taken up and whose build is not
	// known.
	codeUnknownStream = "unknown_stream"
)

// Parameters of the exponentially decaying samples of the latency histograms.
const (
	latencySampleSize  = 1028
	latencySampleAlpha = 0.015
)

// job is one request in progress. It must be used by one goroutine only.
type job struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	intake.Request

	// attempted lists the IDs of the upstreams that were attempted. The next attempt
	// excludes them.
	attempted []string
	// runs counts the attempts that may have run, rejected those that an
	// upstream rejected, notSent those that got no connection.
	runs, rejected, notSent int
	// quota is what the request got of its organisation's quota, and answered is set once an
	// upstream has answered it.
	quota    permit.QuotaGrant
	answered bool
	// responding is set once a part of an answer may have been sent.
	responding bool
	// headSent is set once the head of a stream was sent to the caller. lastEvent is
	// the ID of the last event that was sent.
	headSent  bool
	lastEvent string

	// legs are the attempts under way, the oldest first. There are two while another
	// upstream may take the place of a silent one.
	legs     []*leg.Leg
	received *leg.Queue
	// stream names the stream for other VMs, and build is the only build at which it
	// may go on, nil before its first event.
	stream      lineage.Stream
	build       *string
	streamBegun bool
	// silence fires when the upstreams have sent nothing for too long.
	silence *time.Timer
	// failure is the answer of an upstream that failed, for the caller if no other one
	// answers. It has maxKeptFailure bytes at most.
	failure *bufferedAnswer
	// failed is set if the answer that the caller got is an upstream's failure.
	failed bool
	// recheckAt is when a silent upstream is looked at again. triedBeside lists the
	// upstreams that the request was sent to beside it.
	recheckAt   time.Time
	triedBeside []string
	// callerDone is closed when the caller's connection ends, nil if that is not watched.
	// end is what is known since, and callerTimer fires when it has to be looked at.
	callerDone  <-chan struct{}
	end         callerEnd
	callerTimer *time.Timer
	// kept is the obstacle that was last logged while an upstream was silent.
	kept hedge.Obstacle
}

// serve sends the request to upstreams until one responds, and responds with an
// error if none does.
func (j *job) serve() {
	h := j.h
	if refusal := j.checkSuspicion(j.StartedAt); refusal != nil {
		j.refuse(refusal)
		return
	}
	// What the end of the caller's connection means is decided in handleCallerEnd.
	ctx := context.WithoutCancel(j.r.Context())
	if err := j.resolveStream(ctx); err != nil {
		j.respondError(h.opts.Now(), verdict.FromError(err), hedge.NoUpstream)
		return
	}
	h.opts.RetryBudget.RecordRequest(j.StartedAt, j.Service.Name)
	defer j.endStream()
	controller := http.NewResponseController(j.w)
	_ = controller.SetWriteDeadline(j.Deadline.Add(callerWriteGrace)) // fails only without a connection
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	ctx, cancel := context.WithDeadline(ctx, j.Deadline)
	defer cancel()
	if j.Route.Kind != routing.NonIdempotent {
		// A request that must not be repeated is completed even if its caller
		// disconnects.
		j.callerDone = j.r.Context().Done()
	}
	j.callerTimer = time.NewTimer(time.Hour)
	defer j.callerTimer.Stop()
	j.lastEvent = j.Head.ResumeAfter
	j.received = j.newQueue()
	defer j.received.Close()
	j.silence = time.NewTimer(time.Hour)
	defer j.silence.Stop()
	defer func() {
		for _, l := range j.legs {
			l.End()
		}
	}()
	for {
		underWay := len(j.legs)
		done, err := j.step(ctx, cancel)
		if done {
			j.answered = true
			j.recordSuccess()
			return
		}
		if err == nil || len(j.legs) > 0 {
			continue
		}
		now := h.opts.Now()
		if j.callerEnded() {
			j.abandon(now, err, underWay)
			return
		}
		e := verdict.FromError(err)
		obstacle := j.retryObstacle(now, e)
		if obstacle == hedge.None {
			h.incCounter("attempts_again." + e.Code)
			j.logEvent(now).Str("code", e.Code).AnErr("cause", e.Err).Msg("request retried")
			continue
		}
		j.respondError(now, e, obstacle)
		return
	}
}

// newQueue returns a queue for what legs read ahead of the caller.
func (j *job) newQueue() *leg.Queue {
	if j.h.opts.Callers == nil {
		return leg.NewQueue(nil)
	}
	return leg.NewQueue(j.h.opts.Callers)
}

// step starts an attempt if none is under way, or else waits for one thing to happen.
// It returns the error of an attempt that has ended.
func (j *job) step(ctx context.Context, cancel context.CancelFunc) (done bool, err error) {
	if len(j.legs) == 0 {
		return false, j.startLeg(ctx)
	}
	// What has been read comes before any clock.
	if r, found := j.received.Take(); found {
		return j.receive(ctx, r)
	}
	select {
	case <-j.received.Ready():
		return false, nil
	case <-j.silence.C:
		j.handleSilence(ctx)
		return false, nil
	case <-j.callerDone:
		j.handleCallerEnd(cancel)
		return false, nil
	case <-j.callerTimer.C:
		j.checkCaller(cancel)
		return false, nil
	case <-ctx.Done():
		return false, j.endLegs(ctx)
	case <-j.h.stopping:
		return false, j.endForStop()
	}
}

// recordSuccess updates the metrics and logs a request that was answered.
func (j *job) recordSuccess() {
	now := j.h.opts.Now()
	j.clearSuspicion(now)
	metrics.GetOrRegisterHistogram("answer_us."+j.Route.Kind.String(), j.h.opts.Metrics, metrics.NewExpDecaySample(latencySampleSize, latencySampleAlpha)).
		Update(now.Sub(j.StartedAt).Microseconds())
	j.h.incCounter("answers")
	j.logEvent(now).Msg("request answered")
}

// logEvent starts a log line about the request.
func (j *job) logEvent(now time.Time) *zerolog.Event {
	return j.h.opts.Log.Info().Str("request", j.Head.ID).Str("route", j.Route.Name).Str("organisation", j.Organisation.Name).
		Uint64("configuration", j.Revision).Int64("age_ms", now.Sub(j.StartedAt).Milliseconds()).
		Int("runs", j.runs).Int("rejected", j.rejected).Int("unsent", j.notSent).Str("tried", strings.Join(j.attempted, ","))
}

// retryObstacle returns why the request is not retried on another upstream after an
// error, hedge.None if it is.
func (j *job) retryObstacle(now time.Time, e *verdict.Error) hedge.Obstacle {
	if !now.Before(j.Deadline) || e.Code == codeDeadline {
		return hedge.Deadline
	}
	switch e.Code {
	case codeNotTaken:
		return hedge.Caller
	case codeStopping:
		return hedge.Stopping
	case selection.CodeNoUpstream, selection.CodeBusy, selection.CodeScarce, selection.CodeLimited, selection.CodeLeaving, selection.CodeBackingOff, selection.CodeNoRoom:
		return hedge.NoUpstream
	case codeUnreachable:
		if j.notSent >= maxConnectAttempts {
			return hedge.Tries
		}
		return hedge.None
	case codeFailed:
		return hedge.None // the retry has been taken from the budget
	case codeRejected:
		if j.rejected >= maxRejections {
			return hedge.Tries
		}
	}
	if o := j.state(now).RunObstacle(); o != hedge.None && (j.runs > 0 || e.Code != codeRejected) {
		return o
	}
	return j.budgetObstacle(now)
}

// budgetObstacle takes a retry from the budget.
func (j *job) budgetObstacle(now time.Time) hedge.Obstacle {
	if !j.h.opts.RetryBudget.Allow(now, j.Service.Name) {
		return hedge.Budget
	}
	return hedge.None
}

// state returns what further attempts depend on.
func (j *job) state(now time.Time) hedge.State {
	return hedge.State{
		Route: j.Route, Runs: j.runs, Open: len(j.legs), HeadSent: j.headSent, AfterEvent: j.lastEvent != "",
		Blocked: j.isSuspected(now), TimeLeft: j.Deadline.Sub(now),
	}
}

// respondError sends an error to the caller, or aborts a stream that has
// started. The verdict is "not run" only if no attempt can have run.
func (j *job) respondError(now time.Time, e *verdict.Error, o hedge.Obstacle) {
	if j.headSent {
		j.h.incCounter("streams_cut")
		j.h.incCounter("streams_cut_by." + string(o))
		j.logEvent(now).Str("code", e.Code).Str("obstacle", string(o)).AnErr("cause", e.Err).Msg("stream cut")
		j.abort("stream_cut")
	}
	if j.failure != nil {
		j.logEvent(now).Str("code", e.Code).Str("obstacle", string(o)).AnErr("cause", e.Err).Msg("failure of an upstream passed on")
		j.write(*j.failure)
		return
	}
	if j.runs > 0 {
		if e.Verdict == verdict.NotRun {
			e = verdict.New(verdict.MayHaveRun, http.StatusBadGateway, codeBroken, "an attempt may have run").WithCause(e)
		}
	} else if e.Code == codeUnreachable || e.Code == codeRejected || e.Code == selection.CodeNoUpstream {
		e = e.WithRetryAfter(max(noUpstreamRetryAfter, j.h.selector.BackoffRetryAfter(now, j.Service.Name)))
	}
	j.logEvent(now).Str("code", e.Code).Str("obstacle", string(o)).AnErr("cause", e.Err).Msg("request failed")
	j.refuse(e)
}

// refuse sends an error of the router to the caller.
func (j *job) refuse(e *verdict.Error) {
	j.responding = true
	if err := j.h.refuse(j.w, j.Head, e); err != nil {
		j.recordUnwritten(err)
	}
}

// upstreamQuery describes the request for choosing the upstream of the next attempt.
func (j *job) upstreamQuery() roster.Query {
	q := j.Query(j.h.opts.Configuration.Current())
	q.Exclude, q.Build = j.attempted, j.build
	return q
}

// selectionRequest describes the request for choosing the upstream of its next attempt.
func (j *job) selectionRequest(query roster.Query) selection.Request {
	r := selection.Request{
		Query: query, Organisation: j.Organisation.Name, Priority: j.Priority(),
		Retry: j.runs+j.rejected+j.notSent > 0, New: j.Service.Engine && j.isFirst(),
		TargetLatency: j.Route.TargetLatency, TimeLeft: j.Head.TimeLeft, Repeatable: j.isFirst() && j.Route.Repeatable() && j.Route.MaxAttempts > 1, LogEvent: j.logEvent,
		ID: j.Head.ID, Dispatch: j.dispatchRequest(query),
	}
	if j.runs == 0 {
		r.Reattempt = func() { j.attempted = nil }
	}
	return r
}

// dispatchRequest describes the request to dispatchers.
func (j *job) dispatchRequest(query roster.Query) dispatch.Request {
	return dispatch.Request{
		Service: query.Service, Model: query.Model, Parts: query.Parts, UnsharedTokens: query.UnsharedTokens, OutputTokens: query.OutputTokens,
		BodyBytes: len(j.Body), Priority: j.Priority(), Organisation: j.Organisation.Name, TargetMS: int(j.Route.TargetLatency / time.Millisecond),
		TimeLeftMS: int(j.Deadline.Sub(j.h.opts.Now()) / time.Millisecond), TimeoutMS: int(j.RouteTimeout() / time.Millisecond),
		New: j.isFirst(), Exclude: query.Exclude, DataCentre: j.h.opts.DataCentre,
	}
}

// isFirst reports whether the request has not been attempted yet, at any VM.
func (j *job) isFirst() bool {
	return j.runs+j.rejected+j.notSent == 0 && !j.headSent && j.Head.ResumeAfter == ""
}

// tooLate reports whether the VM ends too soon for the next attempt. One that has run before
// is still tried, since its caller may not send it again.
func (j *job) tooLate(now time.Time) bool {
	return j.h.isStopping() || j.runs == 0 && len(j.legs) == 0 && !j.headSent && j.h.opts.Stage(now) == Ending
}

// startLeg sends the request to one upstream.
func (j *job) startLeg(ctx context.Context) error {
	if err := j.checkUnsent(); err != nil {
		return err
	}
	if j.tooLate(j.h.opts.Now()) {
		return stoppingError()
	}
	err := j.chooseAndSend(ctx)
	for waitUntil := j.StartedAt.Add(j.Route.TargetLatency / 2); hasCode(err, selection.CodeNoRoom) && j.h.opts.Now().Before(waitUntil); {
		wait.For(ctx, roomCheckInterval)
		if err := j.checkUnsent(); err != nil {
			return err
		}
		err = j.chooseAndSend(ctx)
	}
	return err
}

// hasCode reports whether an error is one of the router with a code.
func hasCode(err error, code string) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == code
}

// chooseAndSend sends the request to the best upstream.
func (j *job) chooseAndSend(ctx context.Context) error {
	now := j.h.opts.Now()
	query := j.upstreamQuery()
	choice, err := j.h.selector.Choose(ctx, now, j.selectionRequest(query))
	if err != nil {
		return err
	}
	if err := j.send(ctx, now, choice, query); err != nil {
		j.h.opts.Dispatch.Drop(choice.Lease)
		if hasCode(err, selection.CodeNoRoom) {
			return err
		}
		return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeUnreachable, "the upstream can't be reached").WithCause(err)
	}
	return nil
}

// send connects to the upstream of a choice made at pickedAt and starts a leg there. An
// error means that nothing was sent.
func (j *job) send(ctx context.Context, pickedAt time.Time, choice roster.Choice, query roster.Query) error {
	u := choice.Upstream
	release, err := j.h.selector.AcquireRoom(pickedAt, u)
	if err != nil {
		return err
	}
	j.attempted = append(j.attempted, u.ID)
	ctx, cancelContext := context.WithCancel(ctx)
	cancel := func() {
		cancelContext()
		release()
	}
	conn, err := j.h.opts.Connect(ctx, u, j.Head.ID)
	beside := len(j.legs) > 0
	if err != nil {
		if beside {
			j.attempted = j.attempted[:len(j.attempted)-1]
		} else {
			j.notSent++
		}
		if ctx.Err() == nil {
			j.h.opts.Upstreams.ReportUnreachable(j.h.opts.Now(), u.ID)
			j.h.recordRefused(j.h.opts.Now(), u, err)
			j.h.opts.Log.Warn().Str("upstream", u.ID).Err(err).Msg("upstream unreachable")
		}
		cancel()
		return err
	}
	if err := j.checkSend(pickedAt, u); err != nil {
		conn.Close()
		cancel()
		return err
	}
	now := j.h.opts.Now()
	inFlight := j.h.opts.Upstreams.Start(now, u, roster.Load{
		Requests:      1,
		WaitingTokens: choice.MissingTokens,
		Tokens:        j.Head.PromptTokens + j.Head.OutputTokens,
	}, query.Parts, query.UnsharedTokens+query.OutputTokens)
	lease := j.h.opts.Dispatch.Sent(now, choice.Lease, u, choice.MissingTokens, j.dispatchRequest(query))
	l := leg.New(leg.Options{
		Upstream: u, Choice: choice, InFlight: inFlight, Lease: lease, SentAt: now, Beside: beside, Cancel: cancel,
		Withhold: func() bool { return withhold(j.r.Context()) }, Observe: j.h.observeAvailability, Now: j.h.opts.Now, Codec: j.h.opts.Codec, Bodies: j.h.opts.Bodies,
	})
	j.legs = append(j.legs, l)
	j.watchSilence()
	j.logSuspicion(now, u)
	j.logEvent(now).Str("upstream", u.ID).Float64("cost_ms", choice.CostMS).Int("missing_tokens", choice.MissingTokens).
		Int("places", choice.FreeSlots).Int("candidates", choice.Candidates).Bool("fit", choice.Healthy).Bool("home", choice.Home).Float64("first_ms", choice.FirstTokenMS).Str("fetch_from", choice.Source.ID).Int64("version", u.Version).Str("build", u.Build).
		Int("open", len(j.legs)).Func(j.h.selector.LogLimit(u)).Msg("request sent")
	go l.Run(ctx, conn, j.upstreamRequest(now, choice), j.Head.ID, j.received)
	return nil
}

// checkSend returns an error if a request must not be sent to the upstream that was
// picked at pickedAt, because of what became known since.
func (j *job) checkSend(pickedAt time.Time, u roster.Upstream) error {
	now := j.h.opts.Now()
	reason := codeStopping
	if !j.tooLate(now) {
		reason = j.h.selector.Withhold(now, pickedAt, u)
	}
	if reason == "" && len(j.legs) == 0 && j.checkUnsent() != nil {
		reason = codeCallerGone
	}
	if reason == "" {
		return nil
	}
	j.notSent++
	j.h.incCounter("withheld." + reason)
	j.logEvent(now).Str("upstream", u.ID).Str("reason", reason).Msg("request not sent")
	return verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeUnreachable, "the upstream takes no more requests")
}

// upstreamRequest returns the request as it is sent to the upstream of a choice.
func (j *job) upstreamRequest(now time.Time, c roster.Choice) exchange.Request {
	header := j.h.opts.Codec.EncodeHeader(j.UpstreamCall(now, j.h.opts.Configuration.Current(), c, j.lastEvent))
	return exchange.Request{Method: j.r.Method, Target: j.r.RequestURI, Host: j.r.Host, Header: header, Body: j.Body}
}
