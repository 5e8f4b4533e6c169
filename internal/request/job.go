package request

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/answer"
	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/limit"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/route"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// RequestIDHeader carries the ID that the router gave a request.
const RequestIDHeader = "Hibiscuscove-Request-Id"

// ReplayedHeader marks an answer that comes from the ledger.
const ReplayedHeader = "Hibiscuscove-Replayed"

// bytesPerToken is about how much text a token holds.
const bytesPerToken = 4

var errSilent = errors.New("request: the upstream is silent")

// job is one request on its way. It is for one goroutine.
type job struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	id           string
	started      time.Time
	deadline     time.Time
	organisation contract.Organisation
	route        contract.Route
	pool         contract.Pool
	weights      string
	level        int
	path         string
	body         []byte
	placement    route.Request
	fingerprint  string
	grant        *ledger.Grant
	// answer takes the events of a model's answer. It is nil for plain services.
	answer answer.Answer

	attempt int
	tried   map[string]bool
	// suspect says that an upstream had died under the request.
	suspect bool
	// leaveUpstream ends the stay of a suspect that is not on trial.
	leaveUpstream func()
	// onTrial says that the present attempt is a trial.
	onTrial bool
	// progressed says that the answer had begun when an upstream died.
	progressed bool
	// died says that the last attempt ended with the upstream's incarnation.
	died bool
	// exposed says that an attempt may have run.
	exposed bool
	outcome ledger.Outcome
}

func (h *Handler) newJob(now time.Time, w http.ResponseWriter, r *http.Request, c *contract.Catalogue, o contract.Organisation, rt contract.Route, body []byte) *job {
	pool, _ := c.Pool(rt.Pool)
	return &job{
		h:            h,
		w:            w,
		r:            r,
		id:           uuid.NewString(),
		started:      now,
		deadline:     now.Add(rt.Deadline()),
		organisation: o,
		route:        rt,
		pool:         pool,
		level:        c.Level(rt.Priority),
		path:         r.URL.Path,
		body:         body,
		tried:        make(map[string]bool),
	}
}

func (j *job) prepareModel(c *contract.Catalogue, parsed openai.Request) error {
	version, _ := c.ModelVersion(j.pool.ModelVersion)
	j.weights = version.WeightsVersion
	salt := prefix.Salt{Organisation: j.organisation.Name, Model: version.Model, WeightsVersion: version.WeightsVersion}
	levels := parsed.Levels()
	j.placement.Chain = prefix.NewChain(salt, levels)
	for _, level := range levels {
		j.placement.Sizes = append(j.placement.Sizes, len(level)/bytesPerToken)
	}
	j.fingerprint = quarantine.Fingerprint(j.organisation.Name, j.route.Name+" "+j.path, j.body)
	opts := answer.Options{
		W:            j.w,
		Now:          j.h.opts.Now,
		WriteTimeout: j.h.callerTimeout(),
		MaxBytes:     j.h.opts.MaxResponseBytes,
		KeepText:     j.pool.ContinuesResponses && parsed.Choices == 1,
		Chat:         j.path == "/v1/chat/completions",
	}
	if parsed.Stream {
		j.answer = answer.NewStream(opts)
		return nil
	}
	streamed, err := openai.Streamed(j.body)
	if err != nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_json", "the body is not a JSON object").WithObject("body", "").WithCause(err)
	}
	j.body = streamed
	j.answer = answer.NewWhole(opts)
	return nil
}

// serve runs the request to its end and answers the caller.
func (j *job) serve() {
	j.h.metrics.inFlight.Inc(1)
	defer j.h.metrics.inFlight.Dec(1)
	j.w.Header().Set(RequestIDHeader, j.id)
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	ticket, err := j.admit(ctx)
	if err != nil {
		j.h.refuse(j.w, err)
		return
	}
	defer ticket.Release()
	if j.route.Idempotent {
		j.finish(j.run(ctx))
		return
	}
	if err := j.claim(ctx); err != nil {
		j.answerTaken(err)
		return
	}
	// A request that must not repeat goes on without its caller, so that its
	// outcome is known when the caller asks again.
	alone, cancelAlone := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancelAlone()
	err = j.run(alone)
	j.settle(err)
	j.finish(err)
}

func (j *job) admit(ctx context.Context) (*limit.Ticket, error) {
	now := j.h.opts.Now()
	bound := 0
	if most := j.organisation.MaxInFlight; most > 0 {
		nodes := max(1, j.h.opts.Fleet.ServingCount())
		bound = (most + nodes - 1) / nodes
	}
	ticket, err := j.h.opts.Gate(j.pool.Name).Acquire(now, limit.Request{
		Organisation: j.organisation.Name,
		Share:        j.organisation.Share,
		Level:        j.level,
		MaxInFlight:  bound,
		Deadline:     j.deadline,
	})
	if err != nil {
		return nil, err
	}
	select {
	case <-ticket.Admitted():
		return ticket, nil
	case <-ctx.Done():
		ticket.Release()
		return nil, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "queue_deadline",
			"the request was still waiting at its deadline").WithRetryAfter(jitter(2 * time.Second))
	}
}

func (j *job) claim(ctx context.Context) error {
	now := j.h.opts.Now()
	text := j.r.Header.Get("Idempotency-Key")
	if text == "" {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "missing_idempotency_key",
			"the route is not idempotent: send an Idempotency-Key").WithObject("header", "Idempotency-Key")
	}
	key, err := ledger.ParseKey(now, j.organisation.Name, text, j.h.opts.Ledger.Retention())
	if err != nil {
		return err
	}
	fingerprint, err := hex.DecodeString(j.fingerprint)
	if err != nil {
		return err
	}
	grant, err := j.h.opts.Ledger.Claim(ctx, now, ledger.Claim{Key: key, Fingerprint: fingerprint, Deadline: j.deadline})
	if err != nil {
		return err
	}
	j.grant = &grant
	if j.answer != nil {
		j.answer.Claimed()
	}
	return nil
}

// answerTaken answers a request whose key could not be claimed. A recorded
// answer is given again.
func (j *job) answerTaken(err error) {
	var taken *ledger.AlreadyClaimed
	if !errors.As(err, &taken) || taken.Record.State != ledger.StateRan || taken.Record.BodyDropped {
		j.h.refuse(j.w, err)
		return
	}
	j.h.metrics.replayed.Inc(1)
	j.w.Header().Set(verdict.Header, verdict.Ran.String())
	j.w.Header().Set(ReplayedHeader, "true")
	answer.WriteWhole(j.w, answer.Record{Status: taken.Record.Status, ContentType: taken.Record.ContentType, Body: taken.Record.Body})
}

// settle writes the outcome of a claimed request, or releases its key if it
// has not run and never will.
func (j *job) settle(err error) {
	now := j.h.opts.Now()
	if err != nil && !j.exposed && verdict.Of(err) == verdict.NotRun {
		j.h.opts.Ledger.Release(now, *j.grant)
		return
	}
	outcome := j.outcome
	if err != nil {
		outcome = ledger.Outcome{Verdict: verdict.MayHaveRun}
	}
	j.h.opts.Ledger.RecordOutcome(now, *j.grant, outcome)
}

// finish tells the caller of an error. An answer that has begun is broken off
// in a way that can't be taken for its end.
func (j *job) finish(err error) {
	if err == nil || errors.Is(err, answer.ErrCallerGone) {
		return
	}
	if j.answer != nil && j.answer.Begun() {
		j.h.metrics.refusals.Inc(1)
		j.answer.Fail(err)
		panic(http.ErrAbortHandler)
	}
	j.h.refuse(j.w, err)
}

// call returns the message of the next attempt.
func (j *job) call() upstream.Call {
	return upstream.Call{
		Request:        j.id,
		Attempt:        j.attempt,
		Method:         j.r.Method,
		Path:           j.path,
		Header:         forwardedHeader(j.r.Header),
		Body:           j.body,
		Level:          j.level,
		Repeatable:     j.route.Idempotent,
		WeightsVersion: j.weights,
	}
}
