package pageserver

import (
	"sync"
	"time"
)

// Pacer spreads transfers over time, so that together they stay below a rate. It is
// safe for concurrent use.
type Pacer struct {
	bytesPerS float64

	mu sync.Mutex
	// freeAt is when the transfers so far have ended, at the rate.
	freeAt time.Time
}

// NewPacer returns a Pacer for a rate, which must be above 0.
func NewPacer(bytesPerS float64) *Pacer { return &Pacer{bytesPerS: bytesPerS} }

// Free reports whether a transfer that is reserved now would start within a time.
func (p *Pacer) Free(now time.Time, within time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.freeAt.Sub(now) <= within
}

// Reserve reserves a transfer and returns the delay after which it may start. If that
// is more than within, it reserves nothing and returns false.
func (p *Pacer) Reserve(now time.Time, bytes int, within time.Duration) (delay time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay = max(0, p.freeAt.Sub(now))
	if delay > within {
		return delay, false
	}
	p.freeAt = now.Add(delay + time.Duration(float64(bytes)/p.bytesPerS*float64(time.Second)))
	return delay, true
}
