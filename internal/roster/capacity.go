package roster

import (
	"slices"
	"time"
)

// Capacity is what is learnt of an incarnation, see the fields of costmodel.Candidate. The
// zero value has no effect.
type Capacity struct {
	Speed, Weight float64
	Concurrent    int
}

// Observer gets sound responses, with which upstreams are compared.
type Observer interface {
	// Observe is called with the time that some consecutive events of a stream took, and with
	// that at an engine with a factor of 1.
	Observe(now time.Time, incarnation string, expected, observed time.Duration)
	// ObservePlain is called with a response of a plain upstream: the number of requests
	// there when the request was sent, and the time since.
	ObservePlain(now time.Time, incarnation string, inFlight int, elapsed time.Duration)
}

// SetCapacities sets what is learnt of incarnations. It has no effect on those that the
// function does not know.
func (t *Table) SetCapacities(learnt func(incarnation string) Capacity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		m.capacity = learnt(m.upstream.Incarnation())
	}
}

const (
	// nominalGap is the gap between two events of an engine with a factor of 1.
	nominalGap = 20 * time.Millisecond
	// paceGaps is the number of gaps that make up a group. The prefill of other prompts
	// between events takes several times as long as a decoding step and is load, not speed.
	// So a group counts by its median, and a stream by its fastest group of minPaces or more.
	paceGaps = 6
	minPaces = 3
	// maxPaces limits the groups of one stream, each of which is an observation.
	maxPaces = 8
	// minGap is the shortest gap that tells anything: shorter ones are those of events that
	// arrived together.
	minGap = 2 * time.Millisecond
)

// pace is what the events of one stream say about the speed of its engine.
type pace struct {
	eventAt time.Time
	gaps    [paceGaps]time.Duration
	// n is the number of gaps of the present group, and groups that of the groups before.
	n, groups int
	// fastest is the lowest median of a group, 0 if there is none yet.
	fastest time.Duration
}

// add records an event.
func (p *pace) add(now time.Time) {
	last := p.eventAt
	p.eventAt = now
	if last.IsZero() || p.groups >= maxPaces {
		return
	}
	p.gaps[p.n] = now.Sub(last)
	if p.n++; p.n < paceGaps {
		return
	}
	p.n = 0
	slices.Sort(p.gaps[:])
	median := (p.gaps[paceGaps/2-1] + p.gaps[paceGaps/2]) / 2
	if median < minGap {
		return
	}
	p.groups++
	if p.fastest == 0 || median < p.fastest {
		p.fastest = median
	}
}

// Event records that an event of the stream has come. It must not be called concurrently.
func (f *InFlight) Event(now time.Time) { f.pace.add(now) }

// CompleteStream records the end of a complete and sound stream. Others must not be
// recorded: an engine that fails may send its events fast.
func (f *InFlight) CompleteStream(now time.Time) {
	observer := f.table.opts.Observer
	if observer == nil || f.pace.groups < minPaces {
		return
	}
	for range f.pace.groups {
		observer.Observe(now, f.incarnation, paceGaps*nominalGap, paceGaps*f.pace.fastest)
	}
	f.pace.groups = 0
}

// Complete records the complete and sound response of a plain upstream. Failures must not
// be recorded: they may be fast.
func (f *InFlight) Complete(now time.Time) {
	if observer := f.table.opts.Observer; observer != nil && f.inFlight > 0 {
		observer.ObservePlain(now, f.incarnation, f.inFlight, now.Sub(f.startedAt))
	}
}
