package request

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/answer"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/route"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	retryPause      = 10 * time.Millisecond
	retryPauseMost  = time.Second
	retryAfterBase  = 2 * time.Second
	deathProbes     = 3
	deathProbePause = 30 * time.Millisecond
	accuseTimeout   = 300 * time.Millisecond
)

// The codes with which the router itself refuses an attempt.
const (
	codeNoUpstream  = "no_upstream"
	codeQuarantined = "request_quarantined"
	codeOnTrial     = "request_on_trial"
)

// run makes attempts until one succeeds or no other is allowed.
func (j *job) run(ctx context.Context) error {
	j.h.opts.Budget.Deposit(j.h.opts.Now(), j.budgetName())
	for {
		err := j.try(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, answer.ErrCallerGone) {
			return err
		}
		if verdict.Of(err) != verdict.NotRun {
			j.exposed = true
		}
		if !j.again(ctx, err) {
			return j.final(err)
		}
		j.h.metrics.retries.Inc(1)
	}
}

func (j *job) budgetName() string { return j.route.Name + "/" + j.organisation.Name }

// try makes one attempt.
func (j *job) try(ctx context.Context) error {
	candidate, err := j.choose(ctx)
	if err != nil {
		return err
	}
	j.died = false
	j.tried[candidate.Name] = true
	j.h.metrics.attempts.Inc(1)
	stay := j.h.opts.Upstreams.Begin(candidate.Name)
	defer stay.End()
	a := &attempt{job: j, candidate: candidate, stay: stay, call: j.call(), incarnation: candidate.Incarnation}
	j.attempt++
	if j.answer == nil {
		err = a.whole(ctx)
	} else {
		err = a.events(ctx)
	}
	if err != nil && !errors.Is(err, answer.ErrCallerGone) {
		a.blame(ctx, err)
	}
	j.endTrial(err)
	return err
}

// again reports whether another attempt is allowed, and waits before it.
func (j *job) again(ctx context.Context, err error) bool {
	v := verdict.As(err)
	safe := v.Verdict == verdict.NotRun || j.route.Idempotent
	if !safe || j.attempt == 0 || j.attempt >= j.route.MaxAttempts || refused(v) || !j.resumable() {
		return false
	}
	now := j.h.opts.Now()
	if !unreached(v) && !j.died && !j.h.opts.Budget.Withdraw(now, j.budgetName()) {
		return false
	}
	pause := min(retryPauseMost, retryPause<<min(j.attempt, 10))
	pause = jitter(pause)
	if now.Add(pause).After(j.deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// unreached reports whether the attempt never had a connection. It then is no
// load on the upstreams.
func unreached(e *verdict.Error) bool {
	return e.Code == upstream.CodeUnreachable && e.Verdict == verdict.NotRun
}

// refused reports whether the router itself has refused the attempt.
func refused(e *verdict.Error) bool {
	switch e.Code {
	case codeQuarantined, codeOnTrial, codeNoUpstream:
		return true
	default:
		return false
	}
}

// resumable reports whether the answer can still become one coherent whole.
func (j *job) resumable() bool {
	return j.answer == nil || !j.answer.Begun() || j.continuation() != ""
}

// continuation returns the text that the answer can go on from, if there is
// one. A joined answer keeps its text whether or not the pool allows that.
func (j *job) continuation() string {
	if !j.pool.ContinuesResponses {
		return ""
	}
	return j.answer.Text()
}

// final returns the error that the caller gets after the last attempt.
func (j *job) final(err error) error {
	e := verdict.As(err)
	if j.exposed {
		e = e.WithVerdict(verdict.MayHaveRun)
	}
	if e.RetryAfter == 0 && e.Status >= http.StatusInternalServerError {
		e = e.WithRetryAfter(jitter(retryAfterBase))
	}
	return e
}

// pick chooses an upstream that has not been tried while there is one, has
// the right weights and passes the further condition.
func (j *job) pick(want route.Request, excluded func(upstream.Candidate) bool) (upstream.Candidate, error) {
	candidates := j.h.opts.Upstreams.Candidates(j.h.opts.Now(), j.pool.Name)
	unusable := func(c upstream.Candidate) bool {
		return j.otherWeights(c) || excluded != nil && excluded(c)
	}
	c, found := j.h.opts.Picker.Pick(want, candidates, func(c upstream.Candidate) bool {
		return j.tried[c.Name] || unusable(c)
	})
	if !found {
		c, found = j.h.opts.Picker.Pick(want, candidates, unusable)
	}
	if !found {
		return upstream.Candidate{}, verdict.New(verdict.NotRun, http.StatusServiceUnavailable, codeNoUpstream,
			"no upstream of the pool takes the request").WithObject("pool/"+j.pool.Name, "").WithRetryAfter(jitter(retryAfterBase))
	}
	return c, nil
}

func (j *job) otherWeights(c upstream.Candidate) bool {
	return j.weights != "" && c.WeightsVersion != "" && c.WeightsVersion != j.weights
}

// attempt is one dispatch of a job.
type attempt struct {
	*job
	candidate   upstream.Candidate
	stay        *upstream.Stay
	call        upstream.Call
	incarnation string
	// sent says that the upstream may have the request.
	sent bool
	// attached says that an answer has begun, in the incarnation noted.
	attached bool
	// arrived says that an event has arrived in this attempt.
	arrived bool
	// progress is when the last event arrived.
	progress time.Time
}

// blame finds out whether the upstream has died under the attempt, and accuses
// the request if so.
func (a *attempt) blame(ctx context.Context, err error) {
	now := a.h.opts.Now()
	if unreached(verdict.As(err)) {
		a.h.opts.Upstreams.Avoid(now, a.candidate.Name)
		return
	}
	if verdict.Of(err) != verdict.MayHaveRun || !a.died(ctx) {
		return
	}
	a.h.metrics.deaths.Inc(1)
	a.job.died = true
	a.progressed = a.progressed || a.arrived
	death := quarantine.NewCrash(a.h.opts.Now(), a.candidate.Name, a.candidate.DataCentre, a.incarnation)
	a.h.opts.Quarantine.AttributeCrash(death.At, a.fingerprint, death)
	a.h.opts.Fleet.AnnounceCrash(death.At, a.fingerprint, death)
}

// died probes the upstream on new connections. It has died if it refuses them
// or answers in another incarnation.
func (a *attempt) died(ctx context.Context) bool {
	for range deathProbes {
		report, err := a.h.opts.Client.Probe(context.WithoutCancel(ctx), a.candidate.Address)
		now := a.h.opts.Now()
		if err == nil {
			a.h.opts.Upstreams.Observe(now, upstream.SourceRequest, a.candidate.Name, report)
			return a.incarnation != "" && report.Incarnation != a.incarnation
		}
		a.h.opts.Upstreams.Avoid(now, a.candidate.Name)
		time.Sleep(deathProbePause)
	}
	return true
}
