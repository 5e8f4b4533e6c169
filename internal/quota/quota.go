// Package quota decides which requests of an organisation are within its quota: a rate
// per second plus a burst, over all VMs together. Package permit carries the decisions
// between VMs.
//
// The VM that issues the quota of an organisation keeps a Bucket, which fills at the rate
// times the share of the fleet that delegates to that VM. A VM that gets no reply from an
// issuer decides by a Local bucket, which fills at the rate times this VM's own share.
//
// # Usage
//
//	bucket := quota.NewBucket(now, limit)
//	bucket.Advance(now, share)
//	decision := bucket.Take(now, limit.Cost(promptTokens, outputTokens))
//	if !decision.Granted {
//		// Refuse the request, with decision.RetryAfter.
//	}
//
// Nothing here reads a clock or a network. A Bucket, a Local and a Meter are not safe for
// concurrent use, a Limits is immutable.
package quota

import (
	"math"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// Limit is the quota of one organisation. The zero value is no limit.
type Limit struct {
	// Rate is in units per second, and Burst in units. A request may be larger than Burst.
	Rate, Burst uint64
	// Tokens is set if the unit is tokens, otherwise it is requests.
	Tokens bool
	// PlainTokens is what a request without declared sizes counts if the unit is tokens.
	PlainTokens uint64

	// Tolerance is what may be granted beyond the limit. It is no part of a configuration.
	Tolerance Tolerance `json:"-"`
}

// Tolerance is what an organisation may get beyond its limit in a window of 8 s: a part of
// what the limit allows, and a number of units. The zero value allows nothing that is told.
type Tolerance struct {
	Over  float64
	Units uint64
}

// WithTolerance returns the limit with what may be granted beyond it. Requests that exceed
// the limit by less are granted: a refusal costs their callers more than it spares others.
func (l Limit) WithTolerance(t Tolerance) Limit {
	if l.Limited() {
		l.Tolerance = t
	}
	return l
}

// UnitTokens is the name of the unit of quotas in tokens. All other units are requests.
const UnitTokens = "token_stream"

// maxConfigured limits the numbers of a configuration, so that sums do not overflow.
const maxConfigured = 1 << 40

// NewLimit returns the Limit of an entry of a configuration. Without a rate there is none.
// Without a burst it is a tenth of the rate, since no request would fit otherwise.
func NewLimit(rate, burst float64, unit string, plainTokens float64) Limit {
	whole := func(n float64) uint64 { return uint64(max(0, min(n, maxConfigured))) }
	l := Limit{Rate: whole(rate), Burst: whole(burst), Tokens: unit == UnitTokens, PlainTokens: whole(plainTokens)}
	if l.Rate == 0 {
		return Limit{}
	}
	if l.Burst == 0 {
		l.Burst = max(1, l.Rate/10)
	}
	return l
}

const (
	// rateMargin is by how much issuers grant more than the rate. It makes up for shares
	// that count nowhere while they move from one issuer to another.
	rateMargin = 1.01
	// overdraft is the largest number of units by which requests may exceed what is in a
	// bucket, which is never more than the burst. Within it requests of all sizes are
	// granted alike: if each had to wait for its size, small requests would leave nothing
	// for large ones.
	overdraft = 20_000
	// localSlack and localWindow limit what all Local buckets together hold beyond what
	// issuers grant: localSlack units, but no more than the burst, and localWindow at the
	// rate. The users allow 110,000 units and a tenth of rate x 8 s + burst.
	localSlack  = 30_000
	localWindow = 450 * time.Millisecond
	// The parts of a Tolerance that issuers grant. The rest is for Local buckets, which do
	// not know what issuers grant.
	rateTolerance      = 0.4
	burstTolerance     = 0.8
	overdraftTolerance = 0.55
	// maxRetryAfter limits how far ahead callers are told to come back.
	maxRetryAfter = 30 * time.Second
	// retrySpread is the time over which callers that are refused come back.
	retrySpread = 3 * time.Second
)

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Cost returns what a request counts that declares these sizes, 0 for none.
func (l Limit) Cost(promptTokens, outputTokens int) uint64 {
	switch sum := max(0, promptTokens) + max(0, outputTokens); {
	case !l.Tokens:
		return 1
	case sum > 0:
		return uint64(sum)
	}
	return l.PlainTokens
}

func (l Limit) rate() float64 {
	return float64(l.Rate) * max(rateMargin, 1+rateTolerance*l.Tolerance.Over)
}

func (l Limit) burst() float64 { return float64(l.Burst) * (1 + burstTolerance*l.Tolerance.Over) }

// overdraft returns the units by which requests may exceed what is in a bucket.
func (l Limit) overdraft() float64 {
	return min(max(overdraft, overdraftTolerance*float64(l.Tolerance.Units)), l.burst())
}

// need returns the level that a bucket with the given share of the fleet must have for a
// request: what the overdraft does not cover, and no more than the bucket can hold.
func (l Limit) need(share, capacity, units float64) float64 {
	return max(0, min(units-share*l.overdraft(), capacity))
}

// Limits holds the quotas of one configuration.
type Limits struct {
	// Position is that of the configuration in the store.
	Position registry.Position
	// ByOrganisation holds the organisations that have a quota.
	ByOrganisation map[string]Limit
}

// Decision is the decision on a request.
type Decision struct {
	Granted bool
	// RetryAfter is when a refused request should come back. Requests that are refused one
	// after the other get different times.
	RetryAfter time.Duration
	// Wait is for how long every request is refused.
	Wait time.Duration
}

// Spread gives requests that are refused different times to come back. The zero value
// works.
type Spread struct{ next time.Time }

// Next returns the time for a request that may be granted after wait at the earliest, if
// requests like it can be granted once per interval.
func (s *Spread) Next(now time.Time, wait, interval time.Duration) time.Duration {
	earliest := now.Add(wait)
	if s.next.Before(earliest) || s.next.After(earliest.Add(retrySpread)) {
		s.next = earliest
	}
	at := s.next
	s.next = at.Add(interval)
	// A response of 0 would mean that a retry does not help.
	return max(time.Millisecond, min(maxRetryAfter, at.Sub(now)))
}

// duration returns the time after which units are available at a rate, rounded up.
func duration(units, rate float64) time.Duration {
	if units <= 0 {
		return 0
	}
	return time.Duration(min(maxRetryAfter.Seconds(), units/max(rate, math.SmallestNonzeroFloat32))*float64(time.Second)) + time.Microsecond
}
