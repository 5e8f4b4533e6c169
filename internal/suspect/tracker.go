// Package suspect finds out which requests crash the upstreams that run them, so that
// no VM sends them again: a request that is repeated, or any request whose prompt holds
// a certain part.
//
// Evidence is held against the fingerprint of a request and against those of the shared
// parts of its prompt. A whole answer speaks for the parts of its prompt, at all VMs, so
// that parts that only stood beside the one that crashes upstreams are not blocked. Now
// and then one VM sends a request although a part of it is blocked, as a trial.
//
// # Usage
//
//	tracker := suspect.NewTracker()
//	parts := suspect.PartFingerprints(organisation, model, shared)
//	if finding, blocked := tracker.Check(now, fingerprint, parts, rank); blocked {
//		// Reject the request.
//	}
//	// and when it has been sent
//	tracker.RecordAlive(sentAt, incarnation)
//	tracker.RecordUnanswered(now, aliveAt, fingerprint, incarnation, true)
//	tracker.RecordCompleted(now, fingerprint)
//	tracker.RecordEnded(now, changes) // of the list of upstreams
//
// VMs exchange what they know: Reports returns what to tell, Merge takes it.
package suspect

import (
	"maps"
	"slices"
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
	// heldRetryAfter is when a request should come back that is held until it is known
	// whether upstreams have crashed.
	heldRetryAfter = 2 * time.Second
	// TTL is how long a broken response counts against a request.
	TTL         = 10 * time.Minute
	maxSuspects = 4096
	// suspectsAfterEviction leaves room, so that not each new suspect evicts another.
	suspectsAfterEviction = maxSuspects * 3 / 4
	// maxEndDelay limits the time from the last sign of life of an incarnation to
	// the observed end. A later end does not count as a crash. Ends are observed
	// late when the store was away.
	maxEndDelay = 30 * time.Second
	// maxIncarnations limits the incarnations recorded per suspect, maxHeard those of
	// which it is recorded when they last responded.
	maxIncarnations = 64
	maxHeard        = 1024
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
	// heard holds, for each incarnation that has broken off a response, when the last
	// request was sent that it has responded to.
	heard map[string]time.Time
	// sound holds when prompt parts were last part of a whole answer.
	sound recent
	// candidates holds which requests may be the next trials.
	candidates candidates
}

// entry holds what is known against one request.
type entry struct {
	// broken is keyed by incarnation.
	broken map[string]brokenResponse
	// completedAt is when the request last ran to completion on this VM, or a request
	// with the part on any VM. Earlier broken responses do not count.
	completedAt time.Time
	// triedAt is when the last trial was sent. trials is the number of trials since
	// completedAt that crashed an upstream, and failedTrial when the last of these was
	// sent.
	trials               int
	triedAt, failedTrial time.Time
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
		heard:      make(map[string]time.Time),
	}
}

// RecordUnanswered records that an incarnation did not complete its response to a
// request of this VM. aliveAt is the last sign of life of the incarnation. cut is set
// if the incarnation broke the response off.
func (t *Tracker) RecordUnanswered(now, aliveAt time.Time, fingerprint, incarnation string, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordBroken(now, aliveAt, fingerprint, incarnation, cut)
	s := t.suspects[fingerprint]
	s.own = true
	if cut && isPart(fingerprint) && s.broken[incarnation].aliveAt.After(s.completedAt) {
		// Crashes of a part are spread over VMs of which each may see only one.
		t.markFresh(fingerprint)
	}
}

// RecordAlive records that an incarnation has responded to a request sent at sentAt.
func (t *Tracker) RecordAlive(sentAt time.Time, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, cut := t.heard[incarnation]; cut && sentAt.After(at) {
		t.heard[incarnation] = sentAt
	}
}

// heardAfter reports whether an incarnation has responded to a request that was sent
// after a time. The caller holds the lock.
func (t *Tracker) heardAfter(incarnation string, at time.Time) bool {
	return t.heard[incarnation].After(at)
}

// watchForLife begins to record when an incarnation responds. The caller holds the lock.
func (t *Tracker) watchForLife(incarnation string) {
	if _, watched := t.heard[incarnation]; watched {
		return
	}
	if len(t.heard) >= maxHeard {
		clear(t.heard)
	}
	t.heard[incarnation] = time.Time{}
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
		s = &entry{broken: make(map[string]brokenResponse), completedAt: t.sound.get(fingerprint)}
		t.suspects[fingerprint] = s
	}
	old, known := s.broken[incarnation]
	if known && (b.aliveAt.IsZero() || old.aliveAt.After(s.completedAt)) {
		// The first time is closest to the crash.
		b = brokenResponse{aliveAt: old.aliveAt, cut: old.cut || b.cut, crashed: old.crashed || b.crashed}
	}
	if b == old {
		return
	}
	if !known && len(s.broken) >= maxIncarnations {
		maps.DeleteFunc(s.broken, func(_ string, b brokenResponse) bool {
			return now.Sub(b.aliveAt) > TTL || !b.aliveAt.After(s.completedAt)
		})
	}
	if !known && len(s.broken) >= maxIncarnations {
		return
	}
	s.broken[incarnation] = b
	if b.cut {
		t.watchForLife(incarnation)
	}
	if (b.cut || b.crashed) && b.aliveAt.After(s.triedAt) && s.triedAt.After(s.failedTrial) {
		s.trials++
		s.failedTrial = s.triedAt
	}
	e := t.evidence(now, fingerprint)
	if e.Blocked() {
		t.mayBlock[fingerprint] = true
	}
	if (b.crashed || b.cut && e.CutLately >= reportedCrashes) && b.aliveAt.After(s.completedAt) {
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
	var ended []string
	for _, c := range changes {
		if c.EndedIncarnation != "" && c.Kind != roster.Expired && !c.Upstream.Leaving {
			ended = append(ended, c.EndedIncarnation)
		}
	}
	t.recordEnds(now, ended...)
}

// RecordRefused records that the machine of an upstream that does not leave has refused a
// connection: the incarnation has ended, whatever its entry says. It may be back under the
// same entry.
func (t *Tracker) RecordRefused(now time.Time, incarnation string) {
	t.mu.Lock()
	_, cut := t.heard[incarnation]
	t.mu.Unlock()
	if cut {
		t.recordEnds(now, incarnation)
	}
}

// recordEnds records the ends of incarnations.
func (t *Tracker) recordEnds(now time.Time, incarnations ...string) {
	if len(incarnations) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, incarnation := range incarnations {
		t.ended[incarnation] = now
	}
	for fingerprint, s := range t.suspects {
		for _, incarnation := range incarnations {
			if b, known := s.broken[incarnation]; known && isCrash(b.aliveAt, now) {
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

// RecordCompleted records that an upstream completed its response to a request. What
// was known before against the request, or against a part of its prompt, does not count
// any more: on this VM, and in the case of a part on all VMs.
func (t *Tracker) RecordCompleted(now time.Time, fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	part := isPart(fingerprint)
	if part {
		t.sound.put(fingerprint, now)
	}
	s := t.suspects[fingerprint]
	if s == nil {
		return
	}
	if part && t.evidence(now, fingerprint).Likely >= reportedCrashes {
		t.markFresh(fingerprint)
	}
	s.complete(now)
}

// complete records that a response was completed.
func (s *entry) complete(at time.Time) {
	if !at.After(s.completedAt) {
		return
	}
	s.completedAt = at
	if !s.triedAt.After(at) {
		s.trials = 0
	}
}

// IsBlocked reports whether a request with one of the fingerprints must not be sent
// again: too many upstreams have crashed on it, or several have broken off their
// responses to it lately.
func (t *Tracker) IsBlocked(now time.Time, fingerprints ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(fingerprints, func(fingerprint string) bool {
		e := t.evidence(now, fingerprint)
		return e.Blocked() || e.Held()
	})
}

// Evidence returns what is known against the request.
func (t *Tracker) Evidence(now time.Time, fingerprint string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence(now, fingerprint)
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
