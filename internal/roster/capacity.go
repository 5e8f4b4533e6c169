package roster

import "time"

// Capacity is what is learnt of an incarnation, see the fields of costmodel.Candidate. The
// zero value has no effect.
type Capacity struct {
	Speed, Weight float64
	Concurrent    int
}

// settleTime is how long after a change of its weights the first tokens of an engine say
// nothing about its speed: it recomputes prompts that the estimates take as cached, and
// requests have waited for it.
const settleTime = 4 * time.Second

// Observer gets sound responses, with which upstreams are compared.
type Observer interface {
	// Observe is called with a first token: the estimated prefill time of all that waited
	// and of the prompt at the configured speed, and the time to the first token without
	// that of an idle engine.
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

// ExpectPrefill sets the estimated prefill time at the configured speed, the PrefillMS of
// the Choice. Without it the first token says nothing about the upstream's speed. It must be
// called before FirstToken.
func (f *InFlight) ExpectPrefill(ms float64) { f.prefillMS = ms }

// observeFirstToken passes the time of the first token to the observer.
func (f *InFlight) observeFirstToken(now time.Time) {
	opts := f.table.opts
	if opts.Observer == nil || f.prefillMS <= 0 || f.unsettled {
		return
	}
	idle := time.Duration(opts.Policy.IdleFirstTokenMS * float64(time.Millisecond))
	expected := time.Duration(f.prefillMS * float64(time.Millisecond))
	opts.Observer.Observe(now, f.incarnation, expected, now.Sub(f.startedAt)-idle)
}

// Complete records the complete and sound response of a plain upstream. Failures must not
// be recorded: they may be fast.
func (f *InFlight) Complete(now time.Time) {
	if observer := f.table.opts.Observer; observer != nil && f.inFlight > 0 {
		observer.ObservePlain(now, f.incarnation, f.inFlight, now.Sub(f.startedAt))
	}
}
