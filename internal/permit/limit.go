package permit

import (
	"math"
	"time"
)

// Limit is what is known about the request rate that one incarnation of an upstream
// accepts from all VMs together. It is immutable.
type Limit struct {
	// Rate is in requests per second, and +Inf if the upstream announces no limit.
	Rate float64
	// SentAt is when the request was sent whose response announced Rate, and
	// ReceivedAt when the head of that response arrived. The upstream decided on the
	// rate at some time between the two.
	SentAt, ReceivedAt time.Time
}

const (
	// MinRate replaces lower rates, also zero: a request now and then is the only way
	// to find out that the limit has ended.
	MinRate = 0.1
	// MaxRate is the highest rate that is enforced. Higher ones count as no limit.
	MaxRate = 1_000
	// peerDelay is how long a report may have been on its way from a peer. It makes
	// reports look older with each VM that passes them on, never newer.
	peerDelay = 200 * time.Millisecond
)

// newLimit returns a Limit with the rate clamped to what is enforced.
func newLimit(rate float64, sentAt, receivedAt time.Time) Limit {
	rate = max(MinRate, rate)
	if rate > MaxRate {
		rate = math.Inf(1)
	}
	return Limit{rate, sentAt, receivedAt}
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return !math.IsInf(l.Rate, 1) }

// newerThan reports whether the limit was announced after m for certain: its request
// was sent when m had arrived already.
func (l Limit) newerThan(m Limit) bool { return !l.SentAt.Before(m.ReceivedAt) }

// Merge returns what is known from both. The newer one replaces the other. If their
// responses overlapped in time, so that either may be newer, the lower rate counts.
func (l Limit) Merge(m Limit) Limit {
	switch {
	case m.newerThan(l) && m.ReceivedAt.After(l.ReceivedAt):
		return m
	case l.newerThan(m) && l.ReceivedAt.After(m.ReceivedAt):
		return l
	case l.Rate == m.Rate:
		return Limit{l.Rate, laterOf(l.SentAt, m.SentAt), laterOf(l.ReceivedAt, m.ReceivedAt)}
	case m.Rate < l.Rate:
		return m
	}
	return l
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Report is a Limit as VMs send it to one another. VMs share no clock, so it carries
// ages in milliseconds.
type Report struct {
	Incarnation string `json:"incarnation" cbor:"1,keyasint"`
	// Rate is 0 if there is no limit any more.
	Rate          float64 `json:"rate,omitempty" cbor:"2,keyasint,omitempty"`
	SentAgeMS     int64   `json:"sent_age_ms" cbor:"3,keyasint"`
	ReceivedAgeMS int64   `json:"received_age_ms" cbor:"4,keyasint"`
}

// report returns the limit of an incarnation as a Report.
func (l Limit) report(now time.Time, incarnation string) Report {
	r := Report{Incarnation: incarnation, SentAgeMS: now.Sub(l.SentAt).Milliseconds(), ReceivedAgeMS: now.Sub(l.ReceivedAt).Milliseconds()}
	if l.Limited() {
		r.Rate = l.Rate
	}
	return r
}

// limit returns the Limit of a Report that has just arrived. ok is false if its
// numbers make no sense.
func (r Report) limit(now time.Time) (l Limit, ok bool) {
	const maxAgeMS = int64(30 * 24 * time.Hour / time.Millisecond)
	if r.Incarnation == "" || math.IsNaN(r.Rate) || r.Rate < 0 || r.ReceivedAgeMS < 0 || r.SentAgeMS < r.ReceivedAgeMS || r.SentAgeMS > maxAgeMS {
		return Limit{}, false
	}
	rate := r.Rate
	if rate == 0 {
		rate = math.Inf(1)
	}
	return newLimit(rate, now.Add(-time.Duration(r.SentAgeMS)*time.Millisecond-peerDelay), now.Add(-time.Duration(r.ReceivedAgeMS)*time.Millisecond)), true
}
