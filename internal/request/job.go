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
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// RequestIDHeader is the response header with the router's ID of the request.
const RequestIDHeader = "Hibiscuscove-Request-Id"

// ReplayedHeader marks a response that is replayed from the ledger.
const ReplayedHeader = "Hibiscuscove-Replayed"

// bytesPerToken is the approximate length of a token's text.
const bytesPerToken = 4

var errSilent = errors.New("request: no data from the upstream within the timeout")

// job is one request in progress. It must be used by one goroutine only.
type job struct {
	h *Handler
	w http.ResponseWriter
	r *http.Request

	id               string
	startedAt        time.Time
	deadline         time.Time
	organisation     contract.Organisation
	route            contract.Route
	pool             contract.Pool
	weightsVersion   string
	level            int
	path             string
	body             []byte
	placementRequest placement.Request
	fingerprint      string
	grant            *ledger.Grant
	// response receives the events of a model. It is nil for plain services.
	response answer.Response

	// attempt is the number of the next attempt, from 0.
	attempt int
	// attempted holds the names of the upstreams that were attempted.
	attempted map[string]bool
	// suspect is set if an upstream is known to have crashed while it ran the request.
	suspect bool
	// releaseUpstream allows trials again on the upstream on which this suspect
	// runs without a trial. It is nil otherwise.
	releaseUpstream func()
	// onTrial is set if the current attempt is a trial.
	onTrial bool
	// crashedAfterStart is set if an event had arrived when an upstream crashed.
	crashedAfterStart bool
	// crashed is set if the upstream crashed during the last attempt.
	crashed bool
	// retryWithdrawn is set if a retry was taken from the budget and not made yet.
	retryWithdrawn bool
	// mayHaveRun is set if an attempt may have run.
	mayHaveRun bool
	// outcome is the response for the ledger.
	outcome ledger.Outcome
}

func (h *Handler) newJob(now time.Time, w http.ResponseWriter, r *http.Request, c *contract.Catalogue, o contract.Organisation, rt contract.Route, body []byte) *job {
	pool, _ := c.Pool(rt.Pool)
	return &job{
		h:            h,
		w:            w,
		r:            r,
		id:           uuid.NewString(),
		startedAt:    now,
		deadline:     now.Add(rt.Deadline()),
		organisation: o,
		route:        rt,
		pool:         pool,
		level:        c.Level(rt.Priority),
		path:         r.URL.Path,
		body:         body,
		attempted:    make(map[string]bool),
	}
}

// prepareModel sets the fields that only requests to a model use, such as the
// prompt's prefixes and the response. The engine always streams, so the body of a
// request that does not ask for a stream is changed.
func (j *job) prepareModel(c *contract.Catalogue, parsed openai.Request) error {
	version, _ := c.ModelVersion(j.pool.ModelVersion)
	j.weightsVersion = version.WeightsVersion
	salt := prefix.Salt{Organisation: j.organisation.Name, Model: version.Model, WeightsVersion: version.WeightsVersion}
	levels := parsed.Levels()
	j.placementRequest.Chain = prefix.NewChain(salt, levels)
	for _, level := range levels {
		j.placementRequest.Sizes = append(j.placementRequest.Sizes, len(level)/bytesPerToken)
	}
	j.fingerprint = quarantine.Fingerprint(j.organisation.Name, j.route.Name+" "+j.path, j.body)
	opts := answer.Options{
		W:            j.w,
		Now:          j.h.opts.Now,
		WriteTimeout: j.h.callerTimeout(),
		MaxBytes:     j.h.opts.MaxResponseBytes,
		Continuable:  j.pool.ContinuesResponses && parsed.Choices == 1,
		Chat:         j.path == "/v1/chat/completions",
	}
	if parsed.Stream {
		j.response = answer.NewStream(opts)
		return nil
	}
	streamed, err := openai.WithStreaming(j.body)
	if err != nil {
		return verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_json", "the body is not a JSON object").WithObject("body", "").WithCause(err)
	}
	j.body = streamed
	j.response = answer.NewBuffered(opts)
	return nil
}

// serve runs the request and responds to the caller.
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
		j.respondError(j.runAttempts(ctx))
		return
	}
	if err := j.claim(ctx); err != nil {
		j.respondAlreadyClaimed(err)
		return
	}
	// A request that must not be repeated is completed even if its caller
	// disconnects, so that the outcome is known when the caller asks for it.
	detached, cancelDetached := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancelDetached()
	err = j.runAttempts(detached)
	j.recordOutcome(err)
	j.respondError(err)
}

// admit waits at the pool's gate until the request may run. Each node allows its
// share of the organisation's limit, rounded up.
func (j *job) admit(ctx context.Context) (*limit.Ticket, error) {
	now := j.h.opts.Now()
	perNode := 0
	if maxInFlight := j.organisation.MaxInFlight; maxInFlight > 0 {
		nodes := max(1, j.h.opts.Fleet.ServingCount())
		perNode = (maxInFlight + nodes - 1) / nodes
	}
	ticket, err := j.h.opts.Gate(j.pool.Name).Acquire(now, limit.Request{
		Organisation: j.organisation.Name,
		Share:        j.organisation.Share,
		Level:        j.level,
		MaxInFlight:  perNode,
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

// claim claims the request's idempotency key in the ledger.
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
	if j.response != nil {
		j.response.SetClaimed()
	}
	return nil
}

// respondAlreadyClaimed responds to a request whose key could not be claimed.
// It replays the recorded response if there is one.
func (j *job) respondAlreadyClaimed(err error) {
	var claimed *ledger.AlreadyClaimed
	if !errors.As(err, &claimed) || claimed.Record.State != ledger.StateRan || claimed.Record.BodyDropped {
		j.h.refuse(j.w, err)
		return
	}
	j.h.metrics.replayed.Inc(1)
	j.w.Header().Set(verdict.Header, verdict.Ran.String())
	j.w.Header().Set(ReplayedHeader, "true")
	answer.WriteRecord(j.w, answer.Record{Status: claimed.Record.Status, ContentType: claimed.Record.ContentType, Body: claimed.Record.Body})
}

// recordOutcome records the outcome of a request with a claimed key, or
// releases the key if the request has not run and will not run.
func (j *job) recordOutcome(err error) {
	now := j.h.opts.Now()
	if err != nil && !j.mayHaveRun && verdict.Of(err) == verdict.NotRun {
		j.h.opts.Ledger.Release(now, *j.grant)
		return
	}
	outcome := j.outcome
	if err != nil {
		outcome = ledger.Outcome{Verdict: verdict.MayHaveRun}
	}
	j.h.opts.Ledger.RecordOutcome(now, *j.grant, outcome)
}

// respondError sends an error to the caller, if there is one. A response that has
// started is aborted, so that the caller can't mistake it for a complete one. A caller
// that counts as gone may have ended its sending side only.
func (j *job) respondError(err error) {
	if err == nil {
		return
	}
	if errors.Is(err, answer.ErrCallerGone) {
		if j.response != nil && j.response.Started() {
			panic(http.ErrAbortHandler)
		}
		openai.WriteError(j.w, verdict.New(verdict.MayHaveRun, http.StatusBadGateway, "caller_gone", "the caller has disconnected"))
		return
	}
	if j.response != nil && j.response.Started() {
		j.h.metrics.refusals.Inc(1)
		j.response.SendError(err)
		panic(http.ErrAbortHandler)
	}
	j.h.refuse(j.w, err)
}

// nextCall returns the call to the upstream for the next attempt.
func (j *job) nextCall() upstream.Call {
	return upstream.Call{
		Request:        j.id,
		Attempt:        j.attempt,
		Method:         j.r.Method,
		Path:           j.path,
		Header:         forwardedHeader(j.r.Header),
		Body:           j.body,
		Level:          j.level,
		WeightsVersion: j.weightsVersion,
	}
}
