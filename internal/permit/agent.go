package permit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
)

const (
	// renewInterval is the time between two exchanges with an issuer. Several fit into
	// shareTTL.
	renewInterval = 500 * time.Millisecond
	// retryInterval is the time to the next exchange after one that failed or gave the
	// first stamp.
	retryInterval = 100 * time.Millisecond
	// exchangeTimeout limits an exchange, and so how long a request waits for a permit.
	exchangeTimeout = 100 * time.Millisecond
	// joinPeriod is how long a VM that has started delegates nothing: its share may
	// still count where its process before has delegated it, and it does not know all
	// other VMs yet.
	joinPeriod = 3 * time.Second
	// failedHold is how long no permit is asked for after a failed exchange.
	failedHold = 300 * time.Millisecond
	// trialAge is the age of the last news of a limit from which on a request is sent
	// to find out whether it has ended.
	trialAge = 2 * time.Second
)

// AgentOptions configures an Agent. All fields but Log are required.
type AgentOptions struct {
	// Name is the name of this VM, unique in the fleet.
	Name string
	// Process tells this process from others of the same VM.
	Process int64
	Now     func() time.Time
	// FleetSize returns the number of VMs, this one included. It must rather be too high
	// than too low.
	FleetSize func(now time.Time) int
	// Candidates returns the names of the VMs that may issue permits.
	Candidates func(now time.Time) []string
	// Exchange sends a request to another VM.
	Exchange func(ctx context.Context, vm string, q Request) (Response, error)
	Log      zerolog.Logger
}

// Agent is this VM's part in the limits of upstreams.
type Agent struct {
	*Book

	opts      AgentOptions
	startedAt time.Time
	issuer    *Issuer
	// wake makes Run exchange at once.
	wake chan struct{}

	mu          sync.Mutex
	delegations [Shards]delegation
	holds       map[string]*hold
}

// hold is when permits for an upstream may be asked for.
type hold struct {
	// until is when somebody may get a permit, and advised when the request that was
	// denied last is expected to.
	until, advised time.Time
	// promised is the last time at which a rejected request was told to come back.
	promised time.Time
	trialAt  time.Time
}

// NewAgent returns an Agent.
func NewAgent(opts AgentOptions) *Agent {
	now := opts.Now()
	book := NewBook(opts.Name)
	return &Agent{
		Book: book, opts: opts, startedAt: now, issuer: NewIssuer(now, opts.Process, book),
		wake: make(chan struct{}, 1), holds: make(map[string]*hold),
	}
}

// Joined reports whether this VM has been running long enough to delegate its share
// and to issue permits.
func (a *Agent) Joined(now time.Time) bool { return now.Sub(a.startedAt) >= joinPeriod }

// Close makes the other VMs choose another issuer.
func (a *Agent) Close() { a.issuer.Close() }

// Handle handles a request of another VM.
func (a *Agent) Handle(now time.Time, q Request) Response {
	return a.issuer.Handle(now, a.opts.FleetSize(now), q)
}

// Observe records the rate that a response announces. It reports whether the rate in
// force has changed.
func (a *Agent) Observe(now time.Time, incarnation string, rate float64, sentAt time.Time) bool {
	return a.wakeIf(a.Book.Observe(now, incarnation, rate, sentAt))
}

// Learn records a report of a peer. It reports whether the rate in force has changed.
func (a *Agent) Learn(now time.Time, r Report) bool { return a.wakeIf(a.Book.Learn(now, r)) }

func (a *Agent) wakeIf(changed bool) bool {
	if changed {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	return changed
}

// Run keeps this VM's share of the limits delegated until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		a.Renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-a.wake:
		}
	}
}

// Renew exchanges with the issuers of the shards in use for which it is time. Run
// calls it several times per second.
func (a *Agent) Renew(ctx context.Context) {
	now := a.opts.Now()
	used := a.shardsInUse(now)
	if !a.Joined(now) || len(used) == 0 {
		return
	}
	candidates := a.opts.Candidates(now)
	var wg sync.WaitGroup
	for shard := range used {
		wg.Go(func() {
			// The first exchange with an issuer gives a stamp, the second one uses it.
			for range 2 {
				if !a.renew(ctx, shard, candidates) {
					return
				}
			}
		})
	}
	wg.Wait()
}

// renew exchanges with the issuer of a shard, if it is time. It reports whether the
// share does not count there yet.
func (a *Agent) renew(ctx context.Context, shard int, candidates []string) (unfinished bool) {
	now := a.opts.Now()
	a.mu.Lock()
	d := &a.delegations[shard]
	before := d.issuer
	issuer, withdraw := d.next(now, shard, candidates)
	if issuer != before {
		a.opts.Log.Info().Int("shard", shard).Str("issuer", issuer).Str("before", before).Int("candidates", len(candidates)).Msg("issuer of permits chosen")
	}
	delegated := d.stamp != (Stamp{}) && !withdraw && d.failures == 0
	if issuer == "" || delegated && now.Sub(d.triedAt) < renewInterval && !d.boundUntil.IsZero() {
		a.mu.Unlock()
		return false
	}
	q := Request{VM: a.opts.Name, Shard: shard, FleetSize: a.opts.FleetSize(now), Withdraw: withdraw}
	if withdraw {
		d.triedAt = now
	} else {
		q.Stamp = d.prepare(now, shareTTL)
	}
	a.mu.Unlock()
	_, err := a.exchange(ctx, issuer, q)
	return err == nil && q.Stamp == (Stamp{})
}

// exchange sends a request to an issuer, which may be this VM, and records the
// outcome.
func (a *Agent) exchange(ctx context.Context, issuer string, q Request) (Response, error) {
	var r Response
	var err error
	if issuer == a.opts.Name {
		r = a.Handle(a.opts.Now(), q)
	} else {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		r, err = a.opts.Exchange(ctx, issuer, q)
	}
	now := a.opts.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	d := &a.delegations[q.Shard]
	if err != nil {
		a.opts.Log.Debug().Int("shard", q.Shard).Str("issuer", issuer).Err(err).Msg("no response from the issuer of permits")
		d.fail(now, issuer, maxExchangeFailures)
		return r, err
	}
	d.complete(now, issuer, q.Withdraw, r)
	return r, nil
}

// Available reports whether an upstream is limited and a permit may be had. With trial
// it reports whether one is needed to find out if the limit has ended.
func (a *Agent) Available(now time.Time, incarnation string, trial bool) bool {
	if !a.Limited(now, incarnation) || trial && now.Sub(a.announcedAt(incarnation)) < trialAge {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holds[incarnation]
	return h == nil || !h.until.After(now) && (!trial || now.Sub(h.trialAt) >= trialInterval)
}

// Acquire asks the issuer for a permit to send one request to an upstream. The Limit
// of w is filled in. Without a permit the upstream is not Available until room is
// expected.
func (a *Agent) Acquire(ctx context.Context, now time.Time, incarnation string, w Want) Grant {
	report, known := a.report(now, incarnation)
	if !known {
		return Grant{Granted: true}
	}
	w.Limit = report
	shard := shardOf(incarnation)
	a.mu.Lock()
	h := a.holds[incarnation]
	if h == nil {
		h = &hold{}
		a.holds[incarnation] = h
	}
	if w.Trial {
		h.trialAt = now
	}
	d := &a.delegations[shard]
	issuer := d.issuer
	if issuer == "" || d.stamp == (Stamp{}) {
		h.until = now.Add(retryInterval)
		a.mu.Unlock()
		return Grant{RetryAfterMS: renewInterval.Milliseconds()}
	}
	q := Request{VM: a.opts.Name, Shard: shard, FleetSize: a.opts.FleetSize(now), Stamp: d.prepare(now, shareTTL), Want: &w}
	a.mu.Unlock()
	r, err := a.exchange(ctx, issuer, q)
	if err != nil {
		r.Grant = Grant{RetryAfterMS: failedHold.Milliseconds(), HoldMS: failedHold.Milliseconds()}
	}
	if r.Limit != nil {
		a.Book.Learn(now, *r.Limit)
	}
	a.mu.Lock()
	h.until = laterOf(h.until, now.Add(time.Duration(r.Grant.HoldMS)*time.Millisecond))
	h.advised = laterOf(h.advised, now.Add(r.Grant.RetryAfter()))
	a.mu.Unlock()
	return r.Grant
}

// RetryAfter returns when a request that got no permit should come back. Each call
// names a later time, so that those who are rejected come back one after the other.
func (a *Agent) RetryAfter(now time.Time, incarnation string) time.Duration {
	rate := a.enforcedRate(now, incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holds[incarnation]
	if h == nil {
		return renewInterval
	}
	interval := time.Duration(float64(time.Second) / max(MinRate, rate))
	h.promised = laterOf(laterOf(h.promised, h.advised), now).Add(interval)
	if latest := now.Add(maxRetryAfter); h.promised.After(latest) {
		h.promised = latest
	}
	return h.promised.Sub(now)
}

// IssuerOf returns the VM that issues permits for an upstream to this one, "" for none.
func (a *Agent) IssuerOf(incarnation string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delegations[shardOf(incarnation)].issuer
}

// Retain forgets the incarnations that are not on the list of upstreams, after a
// delay.
func (a *Agent) Retain(now time.Time, listed map[string]bool) {
	a.Book.Retain(now, listed)
	a.mu.Lock()
	defer a.mu.Unlock()
	for incarnation := range a.holds {
		if _, known := a.report(now, incarnation); !known {
			delete(a.holds, incarnation)
		}
	}
}

// Status is what a VM knows of the limits, for its state dump.
type Status struct {
	// Rates holds the rates in force in requests per second, by incarnation.
	Rates map[string]float64 `json:"rates"`
	// Issuers holds the VM that this one delegates each shard to, "" for none.
	Issuers [Shards]string `json:"issuers"`
	// Issued holds what this VM issues, by incarnation.
	Issued map[string]IssuerStatus `json:"issued"`
}

// Status returns the present state.
func (a *Agent) Status(now time.Time) Status {
	s := Status{Rates: a.Limits(), Issued: a.issuer.Status(now, a.opts.FleetSize(now))}
	a.mu.Lock()
	defer a.mu.Unlock()
	for shard := range a.delegations {
		s.Issuers[shard] = a.delegations[shard].issuer
	}
	return s
}

// releaseDelay returns how long after the end of a limit a VM still needs permits.
func releaseDelay(vm, incarnation string) time.Duration {
	return time.Duration(xxhash.Sum64String(vm+" "+incarnation) % uint64(releasePeriod))
}
