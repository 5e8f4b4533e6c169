// Package suspect finds out which requests crash the upstreams that run them, so that
// no VM sends them again.
//
// # Usage
//
//	tracker := suspect.NewTracker()
//	tracker.RecordUnanswered(now, aliveAt, fingerprint, incarnation, true)
//	tracker.RecordEnded(now, changes) // of the list of upstreams
//	if tracker.IsBlocked(now, fingerprint) {
//		// Reject the request.
//	}
//
// VMs exchange what they know: Reports returns what to tell, Merge takes it.
package suspect

import (
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// crashesToBlock is the number of upstream crashes after which a request is
	// blocked on all VMs. cutsToHold is the number of upstreams that broke off the
	// response after which it is blocked for holdPeriod, since the list of upstreams
	// shows a crash only seconds later.
	crashesToBlock = 2
	cutsToHold     = 4
	holdPeriod     = 8 * time.Second
	// TTL is how long a broken response counts against a request.
	TTL         = 10 * time.Minute
	maxSuspects = 4096
	// suspectsAfterEviction leaves room, so that not each new suspect evicts another.
	suspectsAfterEviction = maxSuspects * 3 / 4
	// maxEndDelay limits the time from the last sign of life of an incarnation to
	// the observed end. A later end does not count as a crash. Ends are observed
	// late when the store was away.
	maxEndDelay = 30 * time.Second
	// maxIncarnations limits the incarnations recorded per request.
	maxIncarnations = 64
)

// Tracker detects requests that crash the upstreams that run them. A request
// becomes suspect when an upstream does not complete the response. This counts as
// a crash when that incarnation of the upstream is seen to have ended within
// maxEndDelay. Requests are identified by their fingerprint. VMs exchange what
// they know as Reports. A Tracker is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// suspects is keyed by fingerprint.
	suspects map[string]*entry
	// ended maps an incarnation to when its end was seen.
	ended map[string]time.Time
	// mayBlock holds the fingerprints with enough crashes to block the request, also
	// those whose crashes no longer count.
	mayBlock map[string]bool
	// fresh holds the fingerprints of suspects that peers are still to be told
	// about, in order, and roundsLeft in how many reports.
	fresh      []string
	roundsLeft map[string]int
	// repeatAfter is the fingerprint of the blocked request that was last repeated
	// to peers.
	repeatAfter string
}

// entry holds what is known against one request.
type entry struct {
	// broken is keyed by incarnation.
	broken map[string]brokenResponse
	// completedAt is when the request last ran to completion on this VM. Earlier
	// broken responses do not count.
	completedAt time.Time
	// own reports whether the request has run through this VM.
	own bool
}

// brokenResponse is a response that an incarnation did not complete.
type brokenResponse struct {
	// aliveAt is when the incarnation last showed a sign of life to the VM that
	// sent the request.
	aliveAt time.Time
	// cut is set if the upstream broke the response off. Otherwise the time was
	// over, the caller left, or the upstream was silent.
	cut     bool
	crashed bool
}

// NewTracker returns a Tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{
		suspects:   make(map[string]*entry),
		ended:      make(map[string]time.Time),
		mayBlock:   make(map[string]bool),
		roundsLeft: make(map[string]int),
	}
}

// RecordUnanswered records that an incarnation did not complete its response to a
// request of this VM. aliveAt is the last sign of life of the incarnation. cut is set
// if the incarnation broke the response off.
func (t *Tracker) RecordUnanswered(now, aliveAt time.Time, fingerprint, incarnation string, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordBroken(now, aliveAt, fingerprint, incarnation, cut)
	t.suspects[fingerprint].own = true
}

// RecordBroken records that an incarnation broke off its response to a request,
// according to a peer.
func (t *Tracker) RecordBroken(now time.Time, fingerprint, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordBroken(now, now, fingerprint, incarnation, true)
}

func (t *Tracker) recordBroken(now, aliveAt time.Time, fingerprint, incarnation string, cut bool) {
	end, ended := t.ended[incarnation]
	t.merge(now, fingerprint, incarnation, brokenResponse{aliveAt: aliveAt, cut: cut, crashed: ended && isCrash(aliveAt, end)})
}

// merge adds what is known of one response. The caller holds the lock.
func (t *Tracker) merge(now time.Time, fingerprint, incarnation string, b brokenResponse) {
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictSuspects(now)
		s = &entry{broken: make(map[string]brokenResponse)}
		t.suspects[fingerprint] = s
	}
	old, known := s.broken[incarnation]
	if known {
		// The first time is closest to the crash.
		b = brokenResponse{aliveAt: old.aliveAt, cut: old.cut || b.cut, crashed: old.crashed || b.crashed}
	}
	if b == old || !known && len(s.broken) >= maxIncarnations {
		return
	}
	s.broken[incarnation] = b
	e := t.evidence(now, fingerprint)
	if e.Blocked() {
		t.mayBlock[fingerprint] = true
	}
	if b.crashed || b.cut && e.CutLately > 1 {
		t.markFresh(fingerprint)
	}
}

// isCrash reports whether an incarnation whose end was seen at end crashed while
// it ran a request. An incarnation that was still alive after its entry had gone
// has left as planned.
func isCrash(aliveAt, end time.Time) bool {
	delay := end.Sub(aliveAt)
	return delay >= 0 && delay < maxEndDelay
}

// RecordEnded records the incarnations that ended according to changes of the
// upstream list. The end of a leaving upstream is no crash, and an upstream whose
// entry has expired in an outage of the store may be alive.
func (t *Tracker) RecordEnded(now time.Time, changes []roster.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := make(map[string]bool)
	for _, c := range changes {
		if c.EndedIncarnation != "" && c.Kind != roster.Expired && !c.Upstream.Leaving {
			t.ended[c.EndedIncarnation] = now
			ended[c.EndedIncarnation] = true
		}
	}
	if len(ended) == 0 {
		return
	}
	for fingerprint, s := range t.suspects {
		for incarnation, b := range s.broken {
			if ended[incarnation] && isCrash(b.aliveAt, now) {
				t.merge(now, fingerprint, incarnation, brokenResponse{crashed: true})
			}
		}
	}
	for incarnation, at := range t.ended {
		if now.Sub(at) > TTL {
			delete(t.ended, incarnation)
		}
	}
}

// RecordCompleted records that an upstream completed its response to the request.
// What was known against the request before does not count any more on this VM.
func (t *Tracker) RecordCompleted(now time.Time, fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[fingerprint]; s != nil {
		s.completedAt = now
	}
}

// IsBlocked reports whether the request must not be sent: it has crashed too many
// upstreams, or several have broken off their responses to it lately.
func (t *Tracker) IsBlocked(now time.Time, fingerprint string) bool {
	e := t.Evidence(now, fingerprint)
	return e.Blocked() || e.Held()
}

// Evidence is what is known against a request.
type Evidence struct {
	// Broken is the number of incarnations that did not complete their response to
	// the request, CutLately the number of those that broke it off within holdPeriod,
	// and Crashes the number of those that are known to have crashed.
	Broken    int `json:"broken"`
	CutLately int `json:"cut_lately"`
	Crashes   int `json:"crashes"`
}

// Blocked reports whether the request has crashed too many upstreams.
func (e Evidence) Blocked() bool { return e.Crashes >= crashesToBlock }

// Held reports whether so many upstreams have broken off their responses lately that
// the request waits until it is known whether they have crashed.
func (e Evidence) Held() bool { return !e.Blocked() && e.CutLately >= cutsToHold }

// Evidence returns what is known against the request.
func (t *Tracker) Evidence(now time.Time, fingerprint string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence(now, fingerprint)
}

// evidence implements Evidence. The caller holds the lock.
func (t *Tracker) evidence(now time.Time, fingerprint string) Evidence {
	var e Evidence
	s := t.suspects[fingerprint]
	if s == nil {
		return e
	}
	for _, b := range s.broken {
		age := now.Sub(b.aliveAt)
		if age > TTL || !b.aliveAt.After(s.completedAt) {
			continue
		}
		e.Broken++
		if b.cut && age < holdPeriod {
			e.CutLately++
		}
		if b.crashed {
			e.Crashes++
		}
	}
	return e
}

// Entries returns the evidence against all suspects by fingerprint, for operators.
func (t *Tracker) Entries(now time.Time) map[string]Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make(map[string]Evidence, len(t.suspects))
	for fingerprint := range t.suspects {
		if e := t.evidence(now, fingerprint); e.Broken > 0 {
			entries[fingerprint] = e
		}
	}
	return entries
}

// evictSuspects makes room for new suspects if the limit is reached: it deletes
// those that no longer count, then arbitrary ones, blocked requests last. The caller
// holds the lock.
func (t *Tracker) evictSuspects(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	deleteWhere := func(condition func(fingerprint string) bool) {
		for fingerprint := range t.suspects {
			if len(t.suspects) > suspectsAfterEviction && condition(fingerprint) {
				delete(t.suspects, fingerprint)
				delete(t.mayBlock, fingerprint)
				delete(t.roundsLeft, fingerprint)
			}
		}
	}
	deleteWhere(func(fingerprint string) bool { return t.evidence(now, fingerprint).Broken == 0 })
	deleteWhere(func(fingerprint string) bool { return !t.mayBlock[fingerprint] })
	deleteWhere(func(string) bool { return true })
}
