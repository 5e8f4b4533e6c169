package quota

import (
	"math"
	"time"
)

// meterPeriod is the time after which what a Meter has counted weighs 1/e.
const meterPeriod = time.Second

// Meter measures a rate per second with an exponentially decaying sum. The zero value
// works.
type Meter struct {
	sum float64
	at  time.Time
}

// Add counts n.
func (m *Meter) Add(now time.Time, n float64) {
	m.sum = max(0, m.decayed(now)+n)
	m.at = now
}

// Rate returns the rate per second.
func (m *Meter) Rate(now time.Time) float64 { return m.decayed(now) / meterPeriod.Seconds() }

func (m *Meter) decayed(now time.Time) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterPeriod.Seconds())
}
