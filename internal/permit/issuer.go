package permit

import (
	"math"
	"sync"
	"time"
)

// Issuer grants permits to the VMs that delegate their shares to this one.
type Issuer struct {
	process   int64
	startedAt time.Time
	book      *Book

	mu      sync.Mutex
	closed  bool
	shards  [Shards]shares
	buckets map[string]*bucket
}

// NewIssuer returns an Issuer. process tells this process from others of the same VM.
func NewIssuer(now time.Time, process int64, book *Book) *Issuer {
	i := &Issuer{process: process, startedAt: now, book: book, buckets: make(map[string]*bucket)}
	for shard := range i.shards {
		i.shards[shard] = make(shares)
	}
	return i
}

// Close makes the issuer give back all shares, and accept none.
func (i *Issuer) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// Handle handles a request of a VM, which may be this one. fleetSize is the number of
// VMs that this VM knows.
func (i *Issuer) Handle(now time.Time, fleetSize int, q Request) Response {
	if q.Shard < 0 || q.Shard >= Shards || q.VM == "" {
		return Response{}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	r := Response{Stamp: Stamp{i.process, now.Sub(i.startedAt).Milliseconds()}}
	r.Withdrawn = i.closed || q.Withdraw
	d := i.shards[q.Shard].record(now, i.startedAt, i.process, claim{q.VM, q.Stamp, q.FleetSize, shareTTL, r.Withdrawn})
	share := i.share(now, q.Shard, fleetSize)
	i.advanceAll(now, q.Shard, share)
	if q.Want == nil {
		return r
	}
	r.Grant = i.grant(now, share, q, d)
	if report, known := i.book.report(now, q.Want.Limit.Incarnation); known {
		r.Limit = &report
	}
	return r
}

// grant decides on a permit. The caller holds the lock.
func (i *Issuer) grant(now time.Time, share float64, q Request, d delegated) Grant {
	if !d.until.After(now) {
		// The VM may count its share elsewhere.
		return Grant{RetryAfterMS: renewInterval.Milliseconds(), HoldMS: retryInterval.Milliseconds()}
	}
	i.book.Learn(now, q.Want.Limit)
	incarnation := q.Want.Limit.Incarnation
	rate := i.book.enforcedRate(now, incarnation)
	if math.IsInf(rate, 1) {
		return Grant{Granted: true}
	}
	return i.bucket(now, incarnation).take(now, rate, share, *q.Want)
}

// advanceAll fills the buckets of a shard. It is called whenever its share may have
// changed.
func (i *Issuer) advanceAll(now time.Time, shard int, share float64) {
	rates := i.book.enforcedRates(now)
	for incarnation := range i.buckets {
		if _, limited := rates[incarnation]; !limited {
			delete(i.buckets, incarnation)
		}
	}
	for incarnation, rate := range rates {
		if shardOf(incarnation) == shard {
			i.bucket(now, incarnation).advance(now, rate, share)
		}
	}
}

// bucket returns the bucket of an incarnation, an empty one if it is new.
func (i *Issuer) bucket(now time.Time, incarnation string) *bucket {
	b := i.buckets[incarnation]
	if b == nil {
		b = newBucket(now)
		i.buckets[incarnation] = b
	}
	return b
}

// share returns the share of the fleet that delegates a shard to this issuer.
func (i *Issuer) share(now time.Time, shard, fleetSize int) float64 {
	return i.shards[shard].sum(now, shareTTL, fleetSize)
}

// IssuerStatus is what an Issuer knows of one upstream.
type IssuerStatus struct {
	// Share is the share of the fleet that delegates to this issuer, from 0 to 1.
	Share float64 `json:"share"`
	// Saved is the number of permits that could be granted at once.
	Saved float64 `json:"saved"`
}

// Status returns the state of the buckets, by incarnation.
func (i *Issuer) Status(now time.Time, fleetSize int) map[string]IssuerStatus {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make(map[string]IssuerStatus, len(i.buckets))
	for incarnation, b := range i.buckets {
		out[incarnation] = IssuerStatus{i.share(now, shardOf(incarnation), fleetSize), b.level}
	}
	return out
}
