package connlimit

import "time"

const (
	// paceWindow is the period over which the rate of a client is measured. A client is
	// slow after maxSlowWindows in a row, since a link that loses packets and a machine
	// that was suspended make single windows slow.
	paceWindow     = 5 * time.Second
	maxSlowWindows = 2
	// minBodyRate and minResponseRate are the least rates in bytes per second. Honest slow
	// callers send at 100 KB/s and read at 2 KB/s.
	minBodyRate     = 1 << 10
	minResponseRate = 512
	// bodySilence is how long a body may go without a byte.
	bodySilence = maxSlowWindows * paceWindow
	// writeGrace is the time for any write, to which the least rate adds. It allows for
	// clients that are suspended for some seconds.
	writeGrace = 15 * time.Second
	// writePiece is the largest part of a response that is written at a time, so that
	// progress is seen.
	writePiece = 64 << 10
)

// Pace measures the rate of a body that arrives. The zero value is not valid; see NewPace.
type Pace struct {
	windowAt time.Time
	bytes    int64
	slow     int
}

// NewPace returns the pace of a body whose reading begins now.
func NewPace(now time.Time) Pace { return Pace{windowAt: now} }

// Received records n bytes and reports whether the body arrives too slowly.
func (p *Pace) Received(now time.Time, n int) (tooSlow bool) {
	p.bytes += int64(n)
	elapsed := now.Sub(p.windowAt)
	if elapsed < paceWindow {
		return false
	}
	if float64(p.bytes) < minBodyRate*elapsed.Seconds() {
		p.slow++
	} else {
		p.slow = 0
	}
	p.windowAt, p.bytes = now, 0
	return p.slow >= maxSlowWindows
}

// WriteTimeout returns the time that a client has to take n bytes.
func WriteTimeout(n int) time.Duration {
	return writeGrace + time.Duration(n)*time.Second/minResponseRate
}
