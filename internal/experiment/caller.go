package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/admission"
	"github.com/hibiscuscove/hibiscuscove/internal/enginemodel"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// The limits of one attempt of a caller are those of package ingress: maxRejected
	// engines that reject the request, and maxNotSent engines that can't be reached
	// within connectTimeout.
	maxRejected    = 3
	maxNotSent     = 4
	connectTimeout = 60 * time.Millisecond
	// busyRetryAfter is the time until a caller repeats a request that was refused
	// because no engine was available.
	busyRetryAfter = 150 * time.Millisecond
	// outdatedGrace is the time after a change of the desired version in which a
	// response of older weights has its full utility. After that, it loses the share
	// outdatedCost of it.
	outdatedGrace = 1500 * time.Millisecond
	outdatedCost  = 0.2
	// impatientRepeats is the maximum number of repeats of an impatient caller, without delay.
	impatientRepeats = 3
)

// callerRequest is one request of a caller, over all its attempts.
type callerRequest struct {
	fleet  *fleet
	class  Class
	prompt prompt
	sentAt time.Time
	// attempts counts the caller's attempts. vm, attempted, rejected and notSent
	// belong to the current one.
	attempts int
	vm       *vm
	// attempted has the IDs of the engines chosen so far.
	attempted []string
	rejected  int
	notSent   int
	// runs counts the runs that broke on an engine.
	runs int
	// estimateMS is the estimated time to the first token from startedAt on.
	estimateMS float64
	startedAt  time.Time
	// finished is set once the request has been counted in the result.
	finished      bool
	gotFirstToken bool
}

// scheduleArrival schedules the next request of a class.
func (f *fleet) scheduleArrival(class int) {
	p := f.prompts[class]
	f.loop.After(p.interarrival(f.loadFactor), func() {
		if f.loop.Now().After(f.endsAt) {
			return
		}
		c := &callerRequest{fleet: f, class: p.class, prompt: p.next(f.hotShare), sentAt: f.loop.Now()}
		f.result.Requests++
		f.loop.After(p.class.Timeout, func() { c.finish(&f.result.Failed) })
		c.sendToVM()
		f.scheduleArrival(class)
	})
}

// finish counts the end of the request in one of the counters of the result. Later
// calls do nothing.
func (c *callerRequest) finish(counter *int) {
	if !c.finished {
		c.finished = true
		*counter++
	}
}

// sendToVM starts an attempt of the caller on a random VM that is up.
func (c *callerRequest) sendToVM() {
	if c.finished {
		return
	}
	var up []*vm
	for _, v := range c.fleet.vms {
		if v.up {
			up = append(up, v)
		}
	}
	if len(up) == 0 {
		c.refuse(busyRetryAfter)
		return
	}
	c.attempts++
	c.vm = up[c.fleet.rng.IntN(len(up))]
	c.attempted, c.rejected, c.notSent = nil, 0, 0
	c.sendToEngine()
}

// sendToEngine sends the request to the engine that the VM picks.
func (c *callerRequest) sendToEngine() {
	f, now := c.fleet, c.fleet.loop.Now()
	if c.finished || !c.vm.up {
		return
	}
	query := roster.Query{
		Service: service, Model: model, Parts: c.prompt.shared, UnsharedTokens: c.prompt.unsharedTokens, OutputTokens: c.prompt.outputTokens, Exclude: c.attempted,
	}
	choice, found := c.vm.table.Pick(now, query)
	if !found && len(c.attempted) > 0 {
		query.Exclude = nil
		choice, found = c.vm.table.Pick(now, query)
	}
	if !found {
		c.refuse(busyRetryAfter)
		return
	}
	if len(c.attempted) == 0 {
		if delay, late := admission.Late(choice.FirstToken(), c.class.Target); late {
			retryAfter := admission.RetryAfter(delay, c.class.Timeout-now.Sub(c.sentAt), f.rng.Int64N)
			c.refuse(retryAfter)
			return
		}
	}
	c.attempted = append(c.attempted, choice.Upstream.ID)
	e := f.engineByID(choice.Upstream.ID)
	v, delay := c.vm, f.networkDelay(c.vm.dataCentre, e.dataCentre)
	if !e.Up() || e.upstream.ID != choice.Upstream.ID {
		f.loop.After(connectTimeout, func() {
			v.table.ReportUnreachable(f.loop.Now(), choice.Upstream.ID)
			c.notSent++
			if c.notSent < maxNotSent {
				c.sendToEngine()
				return
			}
			c.refuse(busyRetryAfter)
		})
		return
	}
	shared := 0
	for _, p := range c.prompt.shared {
		shared += p.Tokens
	}
	inFlight := v.table.Start(now, choice.Upstream, roster.Load{
		Requests: 1, WaitingTokens: choice.MissingTokens, Tokens: shared + c.prompt.unsharedTokens + c.prompt.outputTokens,
	}, c.prompt.shared, c.prompt.unsharedTokens+c.prompt.outputTokens)
	c.estimateMS, c.startedAt = choice.FirstTokenMS, now
	f.loop.After(delay, func() {
		if e.Offer(c.engineRequest(e, choice, inFlight, delay)) {
			return
		}
		f.loop.After(delay, func() { c.retryRejected(e, inFlight) })
	})
}

// retryRejected sends the request to another engine after a rejection, up to
// maxRejected times.
func (c *callerRequest) retryRejected(e *engine, inFlight *roster.InFlight) {
	inFlight.Finish()
	c.fleet.result.RejectedAttempts++
	c.vm.table.SetLoading(c.fleet.loop.Now(), e.upstream.ID)
	c.rejected++
	if c.rejected < maxRejected {
		c.sendToEngine()
		return
	}
	c.refuse(busyRetryAfter)
}

// refuse ends an attempt that no engine ran. The caller repeats it once after
// retryAfter; impatient callers repeat it impatientRepeats times without delay. A
// request that has already run and broken is not repeated.
func (c *callerRequest) refuse(retryAfter time.Duration) {
	maxAttempts := 2
	if c.fleet.impatient {
		maxAttempts, retryAfter = 1+impatientRepeats, 0
	}
	if c.attempts >= maxAttempts || c.runs > 0 {
		c.finish(&c.fleet.result.Refused)
		return
	}
	c.fleet.loop.After(retryAfter, c.sendToVM)
}

// engineRequest returns the request for an engine. The VM receives the first token and
// the end after delay, the one-way network delay between them.
func (c *callerRequest) engineRequest(e *engine, choice roster.Choice, inFlight *roster.InFlight, delay time.Duration) *enginemodel.Request {
	f := c.fleet
	version := choice.Upstream.Version
	r := &enginemodel.Request{
		OutputTokens: c.prompt.outputTokens, Priority: c.class.Priority, Version: version,
		Unshared: enginemodel.Part{ID: partKey(version, c.prompt.unsharedID), Tokens: c.prompt.unsharedTokens},
	}
	for _, p := range c.prompt.shared {
		r.Parts = append(r.Parts, enginemodel.Part{ID: partKey(version, p.ID), Tokens: p.Tokens})
	}
	switch source := choice.Source; {
	case source.ID == "store":
		r.Source = f.store
	case source.ID != "":
		from := f.engineByID(source.ID)
		r.Source, r.SourceRemote = from, from.dataCentre != e.dataCentre
	}
	if choice.SaveTo != "" {
		r.SaveTo = f.store
	}
	r.OnPrefill = f.countPrefill
	// The delay of the network is the same for all events of a stream.
	r.OnToken = func() { inFlight.Event(f.loop.Now()) }
	r.OnFirstToken = func() {
		f.loop.After(delay, func() {
			inFlight.FirstToken(f.loop.Now(), choice.WaitMS)
			c.countFirstToken(version)
		})
	}
	r.OnFinish = func() {
		f.loop.After(delay, func() {
			inFlight.CompleteStream(f.loop.Now())
			inFlight.Finish()
			c.countOutdated(version)
		})
	}
	r.OnBroken = func() { f.loop.After(delay, func() { c.retryBroken(inFlight) }) }
	return r
}

// countPrefill counts the tokens of a shared part that an engine has to compute.
func (f *fleet) countPrefill(p enginemodel.Part, tokens int) {
	now := f.loop.Now()
	f.result.SharedTokens += p.Tokens
	f.result.PrefillTokens += tokens
	if last, known := f.lastUse[p.ID]; known && now.Sub(last) < recomputeWindow {
		f.result.RecomputedTokens += tokens
	}
	f.lastUse[p.ID] = now
}

// countFirstToken counts the utility, the time to the first token and the error of
// its estimate. It does nothing if the caller has given up.
func (c *callerRequest) countFirstToken(version int64) {
	now := c.fleet.loop.Now()
	if c.finished || c.gotFirstToken {
		return
	}
	c.gotFirstToken = true
	utility := 1.0
	if now.Sub(c.sentAt) > c.class.Target {
		utility = c.class.LateUtility
	}
	if version < c.fleet.desiredVersion && now.Sub(c.fleet.desiredAt) > outdatedGrace {
		utility *= 1 - outdatedCost
	}
	c.fleet.result.Utility += utility
	c.fleet.result.firstTokenTimes = append(c.fleet.result.firstTokenTimes, now.Sub(c.sentAt))
	c.fleet.result.estimateErrors = append(c.fleet.result.estimateErrors, c.estimateMS-float64(now.Sub(c.startedAt))/float64(time.Millisecond))
	if now.Sub(c.sentAt) <= c.class.Target {
		c.finish(&c.fleet.result.InTarget)
		return
	}
	c.finish(&c.fleet.result.Late)
}

// countOutdated counts the run if it ended on outdated weights.
func (c *callerRequest) countOutdated(version int64) {
	if version < c.fleet.desiredVersion {
		c.fleet.result.Outdated++
	}
}

// retryBroken sends a broken request to another engine if it may run once more.
func (c *callerRequest) retryBroken(inFlight *roster.InFlight) {
	inFlight.Finish()
	c.runs++
	if c.gotFirstToken {
		return // the first token is counted; whether the stream resumes is not simulated
	}
	if c.class.Resumable && c.runs < c.class.MaxAttempts {
		c.sendToEngine()
		return
	}
	c.finish(&c.fleet.result.Failed)
}

// engineByID returns the engine with an ID. The ID may be that of another
// incarnation: each restart appends a "+".
func (f *fleet) engineByID(id string) *engine {
	id = strings.TrimRight(id, "+")
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return strings.TrimRight(e.upstream.ID, "+") == id })
	return f.engines[i]
}
