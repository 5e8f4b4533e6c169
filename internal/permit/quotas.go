package permit

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

const (
	// quotaAttempts is the number of messages that are sent to an issuer for one request,
	// and quotaReplyTimeout how long each waits for its reply.
	quotaAttempts     = 2
	quotaReplyTimeout = 25 * time.Millisecond
	// lastReplyTimeout is how long a request that this VM can't grant by itself waits for
	// the reply to a further message. A VM that is short of processor time may get replies
	// that late, and to refuse the request would be worse.
	lastReplyTimeout = 100 * time.Millisecond
	// quotaJoinPeriod is how long a VM that has started delegates nothing. It is longer
	// than the share of its process before may count, quotaTTL, and than VMs that start
	// together need to find one another.
	quotaJoinPeriod = 1500 * time.Millisecond
	// quietPeriod is how long a VM that has started grants nothing by itself: it does not
	// know all other VMs yet, so that its share would be too large.
	quietPeriod = 500 * time.Millisecond
	// targetInterval is the time between two choices of the VM to delegate to.
	targetInterval = 500 * time.Millisecond
	// silentHold is how long requests do not wait for an issuer that has not replied.
	silentHold = 100 * time.Millisecond
	// maxQuotaFailures is the number of failed renewals in a row after which another issuer
	// is chosen. Each takes quotaAttempts * lastReplyTimeout. The share counts at the old
	// one for the rest of its lifetime in any case, so that a VM which was only busy for
	// half a second is not replaced.
	maxQuotaFailures = 3
	// minWait is the shortest wait for which a VM refuses requests without asking. Shorter
	// ones are over when the next reply comes.
	minWait = 30 * time.Millisecond
	// advancePeriod is the time for which a VM asks in advance, if it is going to send at
	// least one request more. What is not used within advanceTTL is given back: early enough
	// that the bucket has room for it, also if an organisation sends a burst each second.
	advancePeriod = 250 * time.Millisecond
	advanceTTL    = 500 * time.Millisecond
	// maxRefundAge is the age after which the units of a request that did not run are not
	// given back: the window in which they were granted is nearly over, and they would
	// count in the next one.
	maxRefundAge = 2 * time.Second
	// belowAfter is the time without a refusal after which an organisation counts as below
	// its limit again.
	belowAfter = 3 * time.Second
	// forgiveInterval is the least time between two changes of an issuer at which owed units
	// are forgotten. After a crash nobody has granted what a VM granted by itself instead. A
	// VM that is cut off again and again owes what it has granted.
	forgiveInterval = 8 * time.Second
	// maxReturned limits the organisations in one QuotaReturn, and maxReturnBytes the sum of
	// their names, so that it fits into a datagram.
	maxReturned    = 32
	maxReturnBytes = 700
)

// QuotaOptions configures Quotas. All fields but Log are required.
type QuotaOptions struct {
	// Name, Process, Now, FleetSize and Candidates are as in AgentOptions. Candidates are
	// VMs that issue quotas.
	Name       string
	Process    int64
	Now        func() time.Time
	FleetSize  func(now time.Time) int
	Candidates func(now time.Time) []string
	// Limits returns the quotas of the configuration in force, nil if there is none yet. It
	// returns the same pointer as long as they are the same. Only Renew calls it.
	Limits func() *quota.Limits
	// Tolerance is what may be granted beyond the limits. It is the same at all VMs.
	Tolerance quota.Tolerance
	// Exchange sends a request to another VM and returns its response.
	Exchange func(ctx context.Context, vm string, q QuotaRequest) (QuotaResponse, error)
	// Return sends a message to another VM. It may be lost.
	Return func(vm string, r QuotaReturn)
	Log    zerolog.Logger
}

// Quotas is this VM's part in the quotas of organisations. It is safe for concurrent use.
type Quotas struct {
	opts      QuotaOptions
	startedAt time.Time
	issuer    *quotaIssuer

	mu sync.Mutex
	// limits and fleetSize are those of the last Renew.
	limits    *quota.Limits
	fleetSize int
	shards    [QuotaShards]quotaShard
	states    map[string]*organisation
	returns   map[issuerProcess]map[string]uint64
	lastID    uint64
}

// quotaShard is this VM's share of one shard of organisations.
type quotaShard struct {
	delegation
	// target is the VM that this one would delegate to, chosen at targetAt.
	target   string
	targetAt time.Time
	// probe is the last stamp of a target that is not the issuer yet. The share moves only
	// to a VM that replies.
	probe struct {
		issuer string
		stamp  Stamp
		at     time.Time
	}
	probeFailures int
	// forgivenAt is when owed units were last forgotten, other than those of the time
	// before the first issuer, which hadIssuer ends.
	forgivenAt time.Time
	hadIssuer  bool
	// silentUntil is when requests wait for a reply again.
	silentUntil time.Time
	// doubtful is set while the last exchange has failed. Then the share is renewed at once.
	doubtful bool
}

// issuerProcess is one process of an issuer.
type issuerProcess struct {
	vm      string
	process int64
}

// organisation is what a VM knows of the quota of one organisation.
type organisation struct {
	local quota.Local
	// used measures the units that requests at this VM ask for, asked the requests.
	used, asked quota.Meter
	// advance holds units that an issuer has granted in advance, until a time.
	advance      uint64
	advanceFrom  issuerProcess
	advanceUntil time.Time
	// owed is what was granted here while this VM's share counted at an issuer.
	owed uint64
	// waitUntil is when requests may be granted again, and spread tells those that are
	// refused until then when to come back.
	waitUntil time.Time
	spread    quota.Spread
	// refused counts refusals since the organisation reached its limit, and refusedAt is
	// when the last one was, zero if it is below.
	refused   int
	refusedAt time.Time
	limit     quota.Limit
	position  registry.Position
}

// NewQuotas returns Quotas.
func NewQuotas(opts QuotaOptions) *Quotas {
	now := opts.Now()
	return &Quotas{
		opts: opts, startedAt: now, issuer: newQuotaIssuer(now, opts.Process, opts.Tolerance), fleetSize: max(1, opts.FleetSize(now)),
		states: make(map[string]*organisation), returns: make(map[issuerProcess]map[string]uint64),
		// IDs differ from those of an earlier process of this VM, and take few bytes.
		lastID: uint64(uint32(opts.Process)) << 8 & 0xffffffff,
	}
}

// Joined reports whether this VM has been running long enough to delegate its shares and
// to issue quotas.
func (q *Quotas) Joined(now time.Time) bool { return now.Sub(q.startedAt) >= quotaJoinPeriod }

// Close makes the other VMs choose another issuer.
func (q *Quotas) Close() { q.issuer.close() }

// Handle handles a request of another VM.
func (q *Quotas) Handle(now time.Time, from string, r QuotaRequest) QuotaResponse {
	q.mu.Lock()
	fleetSize := q.fleetSize
	q.mu.Unlock()
	return q.issuer.handle(now, from, fleetSize, r)
}

// TakeBack handles what another VM gives back.
func (q *Quotas) TakeBack(now time.Time, from string, r QuotaReturn) {
	q.issuer.takeBack(now, from, r)
}

// Run keeps this VM's shares delegated until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		q.Renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Renew does what is due: it follows the configuration, exchanges with issuers and gives
// back what was not used. Run calls it several times per second.
func (q *Quotas) Renew(ctx context.Context) {
	now := q.opts.Now()
	limits := q.opts.Limits()
	q.mu.Lock()
	before := q.limits
	q.mu.Unlock()
	if limits == nil || len(limits.ByOrganisation) == 0 && (before == nil || len(before.ByOrganisation) == 0) {
		return
	}
	fleetSize := max(1, q.opts.FleetSize(now))
	if limits != before {
		q.issuer.setLimits(now, fleetSize, limits)
	}
	q.issuer.maintain(now, fleetSize)
	q.mu.Lock()
	q.limits, q.fleetSize = limits, fleetSize
	q.maintain(now)
	returns := q.drainReturns()
	q.mu.Unlock()
	for _, r := range returns {
		q.giveBack(now, r.to.vm, r.message)
	}
	if len(limits.ByOrganisation) == 0 {
		return
	}
	var used [QuotaShards]bool
	for name := range limits.ByOrganisation {
		used[quotaShardOf(name)] = true
	}
	q.chooseTargets(now, used)
	var wg sync.WaitGroup
	for shard := range used {
		if used[shard] && q.isDue(now, shard) {
			wg.Go(func() { q.renew(ctx, shard) })
		}
	}
	wg.Wait()
}

// chooseTargets chooses the targets of shards for which that is due. In a large fleet the
// choice among all VMs takes more time than an exchange.
func (q *Quotas) chooseTargets(now time.Time, used [QuotaShards]bool) {
	var candidates []string
	for shard := range used {
		q.mu.Lock()
		s := &q.shards[shard]
		due := used[shard] && (s.target == "" || now.Before(s.avoided[s.target]) || now.Sub(s.targetAt) >= targetInterval)
		q.mu.Unlock()
		if !due {
			continue
		}
		if candidates == nil {
			candidates = q.opts.Candidates(now)
		}
		q.mu.Lock()
		s.target, s.targetAt = s.preferred(now, Shards+shard, candidates), now
		q.mu.Unlock()
	}
}

// isDue reports whether it is time for an exchange with the issuer of a shard.
func (q *Quotas) isDue(now time.Time, shard int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.shards[shard]
	if !q.Joined(now) {
		return false
	}
	if s.target != s.issuer || s.doubtful || !s.boundUntil.After(now) {
		return true
	}
	return now.Sub(s.triedAt) >= quotaTTLOf(q.fleetSize)/renewalsPerTTL
}

// renew exchanges with the issuer of a shard: it probes a new target, takes the share back
// from an old issuer, or delegates it again.
func (q *Quotas) renew(ctx context.Context, shard int) {
	// A share that moves needs a probe, a withdrawal and an exchange that delegates it.
	for range 3 {
		now := q.opts.Now()
		q.mu.Lock()
		s := &q.shards[shard]
		target := s.target
		probed := s.probe.issuer == target && now.Sub(s.probe.at) < quotaTTLOf(q.fleetSize)/2
		if target != "" && target != s.issuer && !probed {
			q.mu.Unlock()
			if !q.probe(ctx, shard, target) {
				return
			}
			continue
		}
		before := s.issuer
		issuer, withdraw := s.next(now, shard, nonEmpty(target))
		if issuer != before {
			if issuer == s.probe.issuer {
				s.stamp, s.stampAt = s.probe.stamp, s.probe.at
			}
			q.forgive(now, shard)
			q.opts.Log.Info().Int("shard", shard).Str("issuer", issuer).Str("before", before).Int("vms", q.fleetSize).Msg("issuer of quotas chosen")
		}
		if issuer == "" {
			q.mu.Unlock()
			return
		}
		r := q.request(now, shard, withdraw)
		q.mu.Unlock()
		// Nobody waits for this exchange, so that a slow reply does not count as none.
		if _, err := q.exchange(ctx, issuer, r, lastReplyTimeout); err != nil {
			q.mu.Lock()
			s.fail(q.opts.Now(), issuer, maxQuotaFailures)
			q.mu.Unlock()
			return
		}
		q.mu.Lock()
		finished := s.issuer == s.target && s.boundUntil.After(now)
		q.mu.Unlock()
		if finished {
			return
		}
	}
}

// forgive forgets what this VM owes to the issuer of a shard that it has left. The caller
// holds the lock.
func (q *Quotas) forgive(now time.Time, shard int) {
	s := &q.shards[shard]
	if now.Sub(s.forgivenAt) < forgiveInterval {
		return
	}
	for name, o := range q.states {
		if quotaShardOf(name) == shard && o.owed > 0 {
			o.owed = 0
			if s.hadIssuer {
				s.forgivenAt = now
			}
		}
	}
	s.hadIssuer = true
}

// nonEmpty returns a list of the name, unless it is empty.
func nonEmpty(name string) []string {
	if name == "" {
		return nil
	}
	return []string{name}
}

// probe asks a VM that is to become the issuer for a stamp, and reports whether it gave
// one. VMs that do not reply are avoided.
func (q *Quotas) probe(ctx context.Context, shard int, target string) bool {
	q.mu.Lock()
	r := QuotaRequest{Shard: shard, FleetSize: q.fleetSize}
	q.mu.Unlock()
	response, err := q.call(ctx, target, r, lastReplyTimeout)
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.shards[shard]
	if err != nil || response.Withdrawn || response.Stamp == (Stamp{}) {
		if s.probeFailures++; s.probeFailures >= quotaAttempts {
			s.probeFailures = 0
			s.avoid(now, target)
		}
		return false
	}
	s.probeFailures = 0
	s.probe.issuer, s.probe.stamp, s.probe.at = target, response.Stamp, now
	return true
}

// request returns a request to the issuer of a shard. The caller holds the lock.
func (q *Quotas) request(now time.Time, shard int, withdraw bool) QuotaRequest {
	ttl := quotaTTLOf(q.fleetSize)
	r := QuotaRequest{Shard: shard, FleetSize: q.fleetSize, TTLMS: ttl.Milliseconds(), Withdraw: withdraw}
	s := &q.shards[shard]
	if withdraw {
		s.triedAt = now
		return r
	}
	if now.Sub(s.stampAt) < ttl {
		r.Stamp = s.prepare(now, ttl)
	} else {
		// The stamp is too old to delegate the share. The response brings a new one.
		s.triedAt = now
	}
	return r
}

// exchange sends a request to the issuer of a shard and records the outcome.
func (q *Quotas) exchange(ctx context.Context, issuer string, r QuotaRequest, timeout time.Duration) (QuotaResponse, error) {
	response, err := q.call(ctx, issuer, r, timeout)
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.shards[r.Shard]
	if err != nil {
		s.silentUntil, s.doubtful = now.Add(silentHold), true
		return response, err
	}
	s.doubtful = false
	s.complete(now, issuer, r.Withdraw, Response{Stamp: response.Stamp, Withdrawn: response.Withdrawn})
	return response, nil
}

// call sends a request to a VM, which may be this one, quotaAttempts times if there is no
// reply within a time.
func (q *Quotas) call(ctx context.Context, vm string, r QuotaRequest, timeout time.Duration) (response QuotaResponse, err error) {
	if vm == q.opts.Name {
		return q.Handle(q.opts.Now(), vm, r), nil
	}
	for range quotaAttempts {
		response, err = q.callOnce(ctx, vm, r, timeout)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
	}
	return response, err
}

func (q *Quotas) callOnce(ctx context.Context, vm string, r QuotaRequest, timeout time.Duration) (QuotaResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return q.opts.Exchange(ctx, vm, r)
}

// exchangeLast sends a request once more to an issuer that has not replied to it.
func (q *Quotas) exchangeLast(ctx context.Context, issuer string, r QuotaRequest) (QuotaResponse, error) {
	response, err := q.callOnce(ctx, issuer, r, lastReplyTimeout)
	if err != nil {
		return response, err
	}
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	s := &q.shards[r.Shard]
	s.silentUntil = now
	s.doubtful = false
	s.complete(now, issuer, r.Withdraw, Response{Stamp: response.Stamp, Withdrawn: response.Withdrawn})
	return response, nil
}

// returned is a message for an issuer.
type returned struct {
	to      issuerProcess
	message QuotaReturn
}

// drainReturns returns the messages that give back what was not used. The caller holds the
// lock.
func (q *Quotas) drainReturns() []returned {
	var list []returned
	for to, units := range q.returns {
		var r QuotaReturn
		size := 0
		flush := func() {
			if len(r.Units) > 0 {
				q.lastID++
				r.ID, r.Process = q.lastID, to.process
				list = append(list, returned{to, r})
			}
			r, size = QuotaReturn{}, 0
		}
		for name, n := range units {
			if size += len(name); len(r.Units) >= maxReturned || size > maxReturnBytes {
				flush()
				size = len(name)
			}
			r.Units = append(r.Units, ReturnedUnits{Organisation: name, Units: n})
		}
		flush()
	}
	clear(q.returns)
	return list
}

func (q *Quotas) giveBack(now time.Time, vm string, r QuotaReturn) {
	if vm == q.opts.Name {
		q.issuer.takeBack(now, vm, r)
		return
	}
	q.opts.Return(vm, r)
}
