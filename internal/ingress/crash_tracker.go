package ingress

import (
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// crashesToBlock is the number of upstream crashes after which a request is
	// blocked on all VMs.
	crashesToBlock = 2
	suspectTTL     = 10 * time.Minute
	maxSuspects    = 4096
	// maxEndDelay limits the time from a broken response to the observed end
	// of the incarnation. A later end does not count as a crash.
	maxEndDelay = 8 * time.Second
	// maxIncarnations limits the incarnations recorded per request.
	maxIncarnations = 64
)

// CrashTracker detects requests that crash the upstreams that run them. A request
// becomes suspect when its upstream breaks off the response. The broken response
// counts as a crash when that incarnation of the upstream is seen to have ended
// within maxEndDelay. Requests are identified by their fingerprint. A
// CrashTracker is safe for concurrent use.
type CrashTracker struct {
	mu sync.Mutex
	// suspects is keyed by fingerprint.
	suspects map[string]*suspect
	// ended maps an incarnation to when its end was seen.
	ended map[string]time.Time
}

// suspect holds the broken responses of one request.
type suspect struct {
	// brokenAt maps an incarnation to when it broke off the response.
	brokenAt   map[string]time.Time
	lastBroken time.Time
}

// NewCrashTracker returns a CrashTracker without suspects.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{suspects: make(map[string]*suspect), ended: make(map[string]time.Time)}
}

// RecordBroken records that an incarnation broke off its response to the request.
func (t *CrashTracker) RecordBroken(now time.Time, fingerprint, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictSuspects(now)
		s = &suspect{brokenAt: make(map[string]time.Time)}
		t.suspects[fingerprint] = s
	}
	s.lastBroken = now
	if _, known := s.brokenAt[incarnation]; !known && len(s.brokenAt) < maxIncarnations {
		s.brokenAt[incarnation] = now
	}
}

// RecordEnded records the incarnations that ended according to changes of the
// upstream list.
func (t *CrashTracker) RecordEnded(now time.Time, changes []roster.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		if c.EndedIncarnation != "" {
			t.ended[c.EndedIncarnation] = now
		}
	}
	for incarnation, at := range t.ended {
		if now.Sub(at) > suspectTTL {
			delete(t.ended, incarnation)
		}
	}
}

// IsBlocked reports whether the request has crashed so many upstreams that it is blocked.
func (t *CrashTracker) IsBlocked(now time.Time, fingerprint string) bool {
	return t.Evidence(now, fingerprint).Crashes >= crashesToBlock
}

// Evidence is what is known against a request.
type Evidence struct {
	// Broken is the number of incarnations that broke off their response to the
	// request, Crashes the number of those that are known to have crashed.
	Broken  int `json:"broken"`
	Crashes int `json:"crashes"`
}

// Evidence returns what is known against the request.
func (t *CrashTracker) Evidence(now time.Time, fingerprint string) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evidence(now, fingerprint)
}

// evidence implements Evidence. The caller holds the lock.
func (t *CrashTracker) evidence(now time.Time, fingerprint string) Evidence {
	s := t.suspects[fingerprint]
	if s == nil || now.Sub(s.lastBroken) > suspectTTL {
		return Evidence{}
	}
	e := Evidence{Broken: len(s.brokenAt)}
	for incarnation, at := range s.brokenAt {
		if end, ended := t.ended[incarnation]; ended && end.Sub(at) < maxEndDelay {
			e.Crashes++
		}
	}
	return e
}

// Entries returns the evidence against all suspects by fingerprint, for operators.
func (t *CrashTracker) Entries(now time.Time) map[string]Evidence {
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

// evictSuspects makes room for a new suspect if the limit is reached: it deletes
// expired suspects, and arbitrary ones while the limit is still reached. The
// caller holds the lock.
func (t *CrashTracker) evictSuspects(now time.Time) {
	if len(t.suspects) < maxSuspects {
		return
	}
	for fingerprint, s := range t.suspects {
		if now.Sub(s.lastBroken) > suspectTTL || len(t.suspects) >= maxSuspects {
			delete(t.suspects, fingerprint)
		}
	}
}
