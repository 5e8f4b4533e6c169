package quota

import "time"

// advancePart is the part of the burst that a grant in advance must leave.
const advancePart = 0.5

// Bucket is an issuer's token bucket for one organisation.
type Bucket struct {
	limit  Limit
	level  float64
	at     time.Time
	share  float64
	spread Spread
	used   Meter
}

// NewBucket returns an empty Bucket. What the issuer before has granted is not known.
func NewBucket(now time.Time, l Limit) *Bucket { return &Bucket{limit: l, at: now} }

// Fill fills the bucket as far as its share allows, for an organisation that has had no
// quota until now.
func (b *Bucket) Fill(now time.Time, share float64) {
	b.Advance(now, share)
	b.level = b.capacity()
}

// Advance fills the bucket until now. Of two shares at the ends of a period the lower one
// counts, since nothing tells when it changed.
func (b *Bucket) Advance(now time.Time, share float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += elapsed.Seconds() * b.limit.rate() * min(b.share, share)
		b.at = now
	}
	b.share = share
	b.level = min(b.level, b.capacity())
}

// SetLimit replaces the limit. What is owed is reduced with the rate, otherwise a lower
// limit would refuse everything until it has made up for requests of the higher one.
func (b *Bucket) SetLimit(now time.Time, l Limit) {
	b.Advance(now, b.share)
	if b.level < 0 && l.Rate < b.limit.Rate {
		b.level *= float64(l.Rate) / float64(b.limit.Rate)
	}
	b.limit = l
	b.level = min(b.level, b.capacity())
}

// Limit returns the limit.
func (b *Bucket) Limit() Limit { return b.limit }

func (b *Bucket) capacity() float64 { return b.limit.burst() * b.share }

// Take decides on a request. The bucket must have been advanced to now.
func (b *Bucket) Take(now time.Time, units uint64) Decision {
	n := float64(units)
	need := b.limit.need(b.share, b.capacity(), n)
	if b.share > 0 && b.level >= need {
		b.Charge(now, units)
		return Decision{Granted: true}
	}
	rate := b.limit.rate() * b.share
	return Decision{
		RetryAfter: b.spread.Next(now, duration(need-b.level, rate), duration(n, rate)),
		Wait:       duration(-b.level, rate),
	}
}

// TakeAdvance takes units that a VM is going to need, if enough of the burst remains. It
// returns the units taken.
func (b *Bucket) TakeAdvance(now time.Time, units uint64) uint64 {
	if b.share <= 0 || b.level-float64(units) < advancePart*b.capacity() {
		return 0
	}
	b.Charge(now, units)
	return units
}

// Charge takes units that have been used already.
func (b *Bucket) Charge(now time.Time, units uint64) {
	b.level -= float64(units)
	b.used.Add(now, float64(units))
}

// Return gives units back that were taken and not used.
func (b *Bucket) Return(now time.Time, units uint64) {
	b.level = min(b.level+float64(units), b.capacity())
	b.used.Add(now, -float64(units))
}

// Level returns the units that can be taken, and Used those that were taken per second
// lately.
func (b *Bucket) Level() float64 { return b.level }

// Used returns the units that were taken per second lately.
func (b *Bucket) Used(now time.Time) float64 { return b.used.Rate(now) }

// Local is a VM's own bucket for one organisation, for requests on which no issuer has
// decided. The zero value has never been used.
type Local struct {
	limit  Limit
	level  float64
	at     time.Time
	spread Spread
}

// boundPart is the part of its share of the rate that a VM uses by itself while the share
// may still count at an issuer.
const boundPart = 0.5

// Take decides on a request. share is this VM's part of the fleet. bound is set while it
// may count at an issuer as well.
func (l *Local) Take(now time.Time, limit Limit, share float64, bound bool, units uint64) Decision {
	rate := limit.rate() * share
	capacity := share * (min(localSlack, limit.burst()) + localWindow.Seconds()*limit.rate())
	if bound {
		rate *= boundPart
	} else {
		capacity = max(capacity, share*limit.burst())
	}
	if l.limit != limit {
		// A VM starts with what the slack of all VMs allows it, so that it can serve
		// requests before it knows an issuer.
		first := l.at.IsZero()
		l.limit = limit
		l.level = min(l.level, capacity)
		if first {
			l.level = share * (min(localSlack, limit.burst()) + localWindow.Seconds()*limit.rate())
			l.at = now
		}
	}
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.level += elapsed.Seconds() * rate
		l.at = now
	}
	l.level = min(l.level, capacity)
	n := float64(units)
	// There is no overdraft: each VM's would be a request.
	if l.level >= n {
		l.level -= n
		return Decision{Granted: true}
	}
	return Decision{RetryAfter: l.spread.Next(now, duration(min(n, capacity)-l.level, rate), duration(n, rate))}
}

// Return gives units back that were taken and not used.
func (l *Local) Return(units uint64) { l.level += float64(units) }
