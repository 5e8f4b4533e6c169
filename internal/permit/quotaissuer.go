package permit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

const (
	// shareRefresh is how long the sum of the shares of a shard is used again. Adding up
	// 910 shares for each call would take more time than the rest of the call.
	shareRefresh = 20 * time.Millisecond
	// rememberedAsks is the number of decisions that an issuer remembers for each VM, in
	// case that a request arrives twice.
	rememberedAsks = 16
	// maxUnits limits the units in one message, so that sums do not overflow.
	maxUnits = 1 << 40
	// currentAfter is the time from its start after which a VM that learns of a new quota
	// takes it for one that has just been published. Before, its configuration may lag
	// behind.
	currentAfter = 10 * time.Second
)

// quotaIssuer grants parts of quotas to the VMs. It is safe for concurrent use.
type quotaIssuer struct {
	process   int64
	startedAt time.Time
	tolerance quota.Tolerance

	mu      sync.Mutex
	closed  bool
	limits  *quota.Limits
	shards  [QuotaShards]issuedShard
	buckets map[string]*issuedBucket
	asks    map[string]*askHistory
}

// issuedShard is the part of the fleet that delegates one shard.
type issuedShard struct {
	shares shares
	sum    float64
	// summedAt is when sum was computed, zero if shares have changed since.
	summedAt time.Time
}

// issuedBucket is the bucket of one organisation with the position of the configuration
// that its limit is from.
type issuedBucket struct {
	*quota.Bucket
	shard    int
	position registry.Position
}

// askHistory holds the last decisions for one VM.
type askHistory struct {
	at   time.Time
	next int
	list [rememberedAsks]decidedAsk
}

// decidedAsk is a decision, or the ID of a message that must not count again.
type decidedAsk struct {
	id           uint64
	organisation string
	// charged is what was taken from the bucket.
	charged  uint64
	response QuotaResponse
}

func newQuotaIssuer(now time.Time, process int64, tolerance quota.Tolerance) *quotaIssuer {
	i := &quotaIssuer{process: process, startedAt: now, tolerance: tolerance, buckets: make(map[string]*issuedBucket), asks: make(map[string]*askHistory)}
	for n := range i.shards {
		i.shards[n].shares = make(shares)
	}
	return i
}

func quotaShardOf(organisation string) int {
	return int(xxhash.Sum64String(organisation) % QuotaShards)
}

func (i *quotaIssuer) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// setLimits replaces the limits of this VM's configuration.
func (i *quotaIssuer) setLimits(now time.Time, fleetSize int, l *quota.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	first := i.limits == nil
	i.limits = l
	for n := range i.shards {
		i.refresh(now, n, fleetSize)
	}
	for organisation, b := range i.buckets {
		if _, limited := l.ByOrganisation[organisation]; !limited && !l.Position.Before(b.position) {
			delete(i.buckets, organisation)
		}
	}
	for organisation, limit := range l.ByOrganisation {
		i.setLimit(now, organisation, limit, l.Position, !first && now.Sub(i.startedAt) >= currentAfter)
	}
}

// setLimit applies a limit, unless a newer one is known. An organisation that had none
// until now gets a full bucket if published is set, otherwise an empty one.
func (i *quotaIssuer) setLimit(now time.Time, organisation string, l quota.Limit, position registry.Position, published bool) *issuedBucket {
	l = l.WithTolerance(i.tolerance)
	b := i.buckets[organisation]
	if b == nil {
		b = &issuedBucket{quota.NewBucket(now, l), quotaShardOf(organisation), position}
		i.buckets[organisation] = b
		sum := i.shards[b.shard].sum
		if published {
			b.Fill(now, sum)
		}
		b.Advance(now, sum)
		return b
	}
	if b.position.Before(position) {
		b.position = position
		if b.Limit() != l {
			b.SetLimit(now, l)
		}
	}
	return b
}

// refresh adds up the shares of a shard if that is due, and fills its buckets if the sum
// has changed.
func (i *quotaIssuer) refresh(now time.Time, shard, fleetSize int) {
	s := &i.shards[shard]
	if !s.summedAt.IsZero() && now.Sub(s.summedAt) < shareRefresh {
		return
	}
	before := s.sum
	s.sum, s.summedAt = s.shares.sum(now, maxQuotaTTL, fleetSize), now
	if s.sum == before {
		return
	}
	for _, b := range i.buckets {
		if b.shard == shard {
			b.Advance(now, s.sum)
		}
	}
}

// handle handles a request of a VM, which may be this one. fleetSize is the number of VMs
// that this VM knows.
func (i *quotaIssuer) handle(now time.Time, from string, fleetSize int, q QuotaRequest) QuotaResponse {
	if q.Shard < 0 || q.Shard >= QuotaShards || from == "" {
		return QuotaResponse{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s := &i.shards[q.Shard]
	i.refresh(now, q.Shard, fleetSize)
	r := QuotaResponse{Stamp: Stamp{i.process, now.Sub(i.startedAt).Milliseconds()}, Withdrawn: i.closed || q.Withdraw}
	if q.Stamp != (Stamp{}) || r.Withdrawn {
		ttl := min(maxQuotaTTL, time.Duration(q.TTLMS)*time.Millisecond)
		counted := s.shares[from].until.After(now)
		if d := s.shares.record(now, i.startedAt, i.process, claim{from, q.Stamp, q.FleetSize, ttl, r.Withdrawn}); d.until.After(now) != counted {
			s.summedAt = time.Time{}
			i.refresh(now, q.Shard, fleetSize)
		}
	}
	if q.Ask == nil || q.Ask.Organisation == "" || quotaShardOf(q.Ask.Organisation) != q.Shard {
		return r
	}
	h := i.history(now, from)
	for n := range h.list {
		if h.list[n].id == q.Ask.ID {
			repeated := h.list[n].response
			repeated.Stamp, repeated.Withdrawn = r.Stamp, r.Withdrawn
			return repeated
		}
	}
	decided := i.decide(now, s, q.Ask, &r)
	decided.response = r
	h.add(decided)
	return r
}

// decide decides on what a VM asks for.
func (i *quotaIssuer) decide(now time.Time, s *issuedShard, q *QuotaAsk, r *QuotaResponse) decidedAsk {
	decided := decidedAsk{id: q.ID, organisation: q.Organisation}
	limit, position := q.limit()
	if i.limits != nil && !i.limits.Position.Before(position) {
		limit, position = i.limits.ByOrganisation[q.Organisation], i.limits.Position
	}
	b := i.buckets[q.Organisation]
	if b == nil || b.position.Before(position) {
		if !limit.Limited() {
			delete(i.buckets, q.Organisation)
			r.Granted, r.Lifted = true, true
			return decided
		}
		b = i.setLimit(now, q.Organisation, limit, position, i.limits != nil && now.Sub(i.startedAt) >= currentAfter)
	}
	b.Advance(now, s.sum)
	if s.sum == 0 {
		r.Undecided = true
		return decided
	}
	if owed := min(q.Owed, maxUnits); owed > 0 {
		b.Charge(now, owed)
		decided.charged = owed
	}
	units := min(q.Units, maxUnits)
	d := b.Take(now, units)
	r.Granted = d.Granted
	if !d.Granted {
		// Rounded up, so that the VM and the caller do not ask too early.
		r.RetryAfterMS, r.WaitMS = d.RetryAfter.Milliseconds()+1, (d.Wait + time.Millisecond - 1).Milliseconds()
		return decided
	}
	decided.charged += units
	if q.Advance > 0 {
		r.Advance = b.TakeAdvance(now, min(q.Advance, maxUnits))
		decided.charged += r.Advance
	}
	return decided
}

// takeBack handles what a VM gives back. It may arrive more than once.
func (i *quotaIssuer) takeBack(now time.Time, from string, q QuotaReturn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	h := i.history(now, from)
	if q.Cancelled != 0 {
		for n := range h.list {
			if d := &h.list[n]; d.id == q.Cancelled {
				i.giveBack(now, d.organisation, d.charged)
				d.charged, d.response = 0, QuotaResponse{Undecided: true}
				return
			}
		}
		// The request may still arrive.
		h.add(decidedAsk{id: q.Cancelled, response: QuotaResponse{Undecided: true}})
	}
	if q.Process != i.process {
		return
	}
	for n := range h.list {
		if h.list[n].id == q.ID {
			return
		}
	}
	h.add(decidedAsk{id: q.ID})
	for _, u := range q.Units {
		i.giveBack(now, u.Organisation, min(u.Units, maxUnits))
	}
}

func (i *quotaIssuer) giveBack(now time.Time, organisation string, units uint64) {
	if b := i.buckets[organisation]; b != nil && units > 0 {
		b.Advance(now, i.shards[b.shard].sum)
		b.Return(now, units)
	}
}

// history returns the last decisions for a VM.
func (i *quotaIssuer) history(now time.Time, vm string) *askHistory {
	h := i.asks[vm]
	if h == nil {
		h = &askHistory{}
		i.asks[vm] = h
	}
	h.at = now
	return h
}

func (h *askHistory) add(d decidedAsk) {
	h.list[h.next] = d
	h.next = (h.next + 1) % len(h.list)
}

// maintain adds up shares that have expired, and forgets the decisions for VMs that have
// not asked for long.
func (i *quotaIssuer) maintain(now time.Time, fleetSize int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for n := range i.shards {
		i.refresh(now, n, fleetSize)
	}
	for vm, h := range i.asks {
		if now.Sub(h.at) > maxQuotaTTL {
			delete(i.asks, vm)
		}
	}
}
