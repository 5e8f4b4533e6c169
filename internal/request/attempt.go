package request

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/answer"
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	// retryBackoff is the base of the exponential backoff between attempts,
	// maxRetryBackoff its maximum.
	retryBackoff    = 10 * time.Millisecond
	maxRetryBackoff = time.Second
	// retryAfterBase is the default Retry-After of errors, before jitter.
	retryAfterBase = 2 * time.Second
	// crashProbes is the number of failed probes after which an upstream is
	// considered crashed.
	crashProbes        = 3
	crashProbeInterval = 30 * time.Millisecond
	// announceTimeout limits the announcement of a trial to the other nodes.
	announceTimeout = 300 * time.Millisecond
)

// Error codes of attempts that the router itself refuses.
const (
	codeNoUpstream  = "no_upstream"
	codeQuarantined = "request_quarantined"
	codeOnTrial     = "request_on_trial"
)

// runAttempts makes attempts until one succeeds or no further attempt is allowed.
func (j *job) runAttempts(ctx context.Context) error {
	j.h.opts.RetryBudget.Deposit(j.h.opts.Now(), j.budgetName())
	defer j.refundRetry()
	for {
		err := j.runAttempt(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, answer.ErrCallerGone) {
			return err
		}
		if verdict.Of(err) != verdict.NotRun {
			j.mayHaveRun = true
		}
		if !j.shouldRetry(ctx, err) {
			return j.finalError(err)
		}
		j.h.metrics.retries.Inc(1)
	}
}

// budgetName returns the name of the retry budget that the request draws on.
func (j *job) budgetName() string { return j.route.Name + "/" + j.organisation.Name }

// runAttempt makes one attempt.
func (j *job) runAttempt(ctx context.Context) error {
	candidate, err := j.chooseUpstream(ctx)
	if err != nil {
		return err
	}
	j.crashed = false
	j.retryWithdrawn = false
	j.attempted[candidate.Name] = true
	j.h.metrics.attempts.Inc(1)
	inFlight := j.h.opts.Upstreams.Start(candidate.Name)
	defer inFlight.Finish()
	a := &attempt{job: j, candidate: candidate, inFlight: inFlight, call: j.nextCall(), incarnation: candidate.Incarnation}
	j.attempt++
	if j.response == nil {
		err = a.runService(ctx)
	} else {
		err = a.runStream(ctx)
	}
	if err != nil && !errors.Is(err, answer.ErrCallerGone) {
		a.attributeCrash(ctx, err)
	}
	j.endTrial(err)
	return err
}

// shouldRetry reports whether another attempt is allowed after err. If so, it
// first waits for the backoff. Attempts that got no connection or whose
// upstream crashed don't draw on the retry budget.
func (j *job) shouldRetry(ctx context.Context, err error) bool {
	v := verdict.FromError(err)
	safe := v.Verdict == verdict.NotRun || j.route.Idempotent
	if !safe || j.attempt == 0 || j.attempt >= j.route.MaxAttempts || refusedByRouter(v) || !j.canContinue() {
		return false
	}
	now := j.h.opts.Now()
	if notConnected(v) || j.crashed {
		j.refundRetry()
	} else if !j.withdrawRetry(now) {
		return false
	}
	backoff := jitter(j.maxBackoff())
	if now.Add(backoff).After(j.deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(backoff):
		return true
	}
}

// maxBackoff returns the longest wait before the next attempt.
func (j *job) maxBackoff() time.Duration {
	// The limit on the shift prevents an overflow.
	return min(maxRetryBackoff, retryBackoff<<min(j.attempt, 10))
}

// withdrawRetry reports whether the retry budget allows another attempt. It
// withdraws at most one retry for each attempt.
func (j *job) withdrawRetry(now time.Time) bool {
	if !j.retryWithdrawn {
		j.retryWithdrawn = j.h.opts.RetryBudget.Withdraw(now, j.budgetName())
	}
	return j.retryWithdrawn
}

// refundRetry gives back a retry that was withdrawn and not made.
func (j *job) refundRetry() {
	if j.retryWithdrawn {
		j.h.opts.RetryBudget.Refund(j.h.opts.Now(), j.budgetName())
		j.retryWithdrawn = false
	}
}

// prepareSuccessor reports whether another attempt on another upstream may take
// the place of the present one, whose upstream is silent. If so, it withdraws
// the retry.
func (j *job) prepareSuccessor(now time.Time) bool {
	if !j.route.Idempotent || j.attempt >= j.route.MaxAttempts || !j.canContinue() {
		return false
	}
	if now.Add(j.maxBackoff()).After(j.deadline) || j.h.opts.Quarantine.Check(now, j.fingerprint) != quarantine.Clear {
		return false
	}
	another := slices.ContainsFunc(j.h.opts.Upstreams.Candidates(now, j.pool.Name), func(c upstream.Candidate) bool {
		return !j.attempted[c.Name] && !j.hasOtherWeights(c)
	})
	return another && j.withdrawRetry(now)
}

// notConnected reports whether the attempt got no connection. Such an attempt
// puts no load on the upstreams.
func notConnected(e *verdict.Error) bool {
	return e.Code == upstream.CodeUnreachable && e.Verdict == verdict.NotRun
}

// refusedByRouter reports whether the router itself refused the attempt.
func refusedByRouter(e *verdict.Error) bool {
	switch e.Code {
	case codeQuarantined, codeOnTrial, codeNoUpstream:
		return true
	default:
		return false
	}
}

// canContinue reports whether another attempt can still give one coherent response.
func (j *job) canContinue() bool {
	return j.response == nil || !j.response.Started() || j.continuationText() != ""
}

// continuationText returns the text that another upstream can continue the
// response from, or "". The pool is checked because a buffered response returns
// its text whether or not the pool can continue responses.
func (j *job) continuationText() string {
	if !j.pool.ContinuesResponses {
		return ""
	}
	return j.response.Text()
}

// finalError returns the error that is sent to the caller after the last attempt.
func (j *job) finalError(err error) error {
	e := verdict.FromError(err)
	if j.mayHaveRun {
		e = e.WithVerdict(verdict.MayHaveRun)
	}
	if e.RetryAfter == 0 && e.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(jitter(retryAfterBase))
	}
	return e
}

// pickUpstream picks an upstream that has the right weights and is not
// excluded. It prefers upstreams that were not attempted yet.
func (j *job) pickUpstream(query placement.Request, excluded func(upstream.Candidate) bool) (upstream.Candidate, error) {
	candidates := j.h.opts.Upstreams.Candidates(j.h.opts.Now(), j.pool.Name)
	unusable := func(c upstream.Candidate) bool {
		return j.hasOtherWeights(c) || excluded != nil && excluded(c)
	}
	c, found := j.h.opts.Picker.Pick(query, candidates, func(c upstream.Candidate) bool {
		return j.attempted[c.Name] || unusable(c)
	})
	if !found {
		c, found = j.h.opts.Picker.Pick(query, candidates, unusable)
	}
	if !found {
		return upstream.Candidate{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoUpstream,
			"no upstream of the pool takes the request").WithObject("pool/"+j.pool.Name, "").WithRetryAfter(jitter(retryAfterBase))
	}
	return c, nil
}

// hasOtherWeights reports whether the upstream is known to have other weights
// than the request's pool.
func (j *job) hasOtherWeights(c upstream.Candidate) bool {
	return j.weightsVersion != "" && c.WeightsVersion != "" && c.WeightsVersion != j.weightsVersion
}

// attempt is one attempt of a job on one upstream.
type attempt struct {
	*job
	candidate   upstream.Candidate
	inFlight    *upstream.InFlight
	call        upstream.Call
	incarnation string
	// sent is set if the upstream may have received the request.
	sent bool
	// responseStarted is set once a response has arrived. incarnation is then the
	// incarnation that sent it.
	responseStarted bool
	// gotEvent is set once an event has arrived in this attempt.
	gotEvent bool
	// lastEventAt is when the last event arrived, or when the attempt started.
	lastEventAt time.Time
}

// attributeCrash checks whether the upstream crashed during the failed attempt,
// and attributes the crash to the request if so.
func (a *attempt) attributeCrash(ctx context.Context, err error) {
	now := a.h.opts.Now()
	if notConnected(verdict.FromError(err)) {
		a.h.opts.Upstreams.Avoid(now, a.candidate.Name)
		return
	}
	if verdict.Of(err) != verdict.MayHaveRun || !a.probeCrash(ctx) {
		return
	}
	a.h.metrics.crashes.Inc(1)
	a.crashed = true
	a.crashedAfterStart = a.crashedAfterStart || a.gotEvent
	crash := quarantine.NewCrash(a.h.opts.Now(), a.candidate.Name, a.candidate.DataCentre, a.incarnation)
	a.h.opts.Quarantine.AttributeCrash(crash.At, a.fingerprint, crash)
	a.h.opts.Fleet.AnnounceCrash(crash.At, a.fingerprint, crash)
}

// probeCrash probes the upstream on new connections and reports whether it has
// crashed: all probes fail, or it responds as another incarnation.
func (a *attempt) probeCrash(ctx context.Context) bool {
	for range crashProbes {
		report, err := a.h.opts.Client.Probe(context.WithoutCancel(ctx), a.candidate.Address)
		now := a.h.opts.Now()
		if err == nil {
			a.h.opts.Upstreams.Observe(now, upstream.SourceRequest, a.candidate.Name, report)
			return a.incarnation != "" && report.Incarnation != a.incarnation
		}
		a.h.opts.Upstreams.Avoid(now, a.candidate.Name)
		time.Sleep(crashProbeInterval)
	}
	return true
}
