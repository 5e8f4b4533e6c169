package ingress

import (
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// crashesToStop is how many upstreams a request may crash before it is
	// stopped everywhere.
	crashesToStop  = 2
	suspectMemory  = 10 * time.Minute
	maxSuspects    = 4096
	crashEvidence  = 8 * time.Second
	maxIncarnation = 64
)

// CrashTracker finds requests that crash the upstreams that run them. A request is
// suspected when its upstream breaks off, and the crash is proved when that
// incarnation is then seen to have ended. It is safe for concurrent use.
type CrashTracker struct {
	mu    sync.Mutex
	runs  map[string]*suspectRuns
	ended map[string]time.Time
}

type suspectRuns struct {
	// at holds when each incarnation broke off.
	at      map[string]time.Time
	touched time.Time
}

// NewCrashTracker returns an empty CrashTracker.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{runs: make(map[string]*suspectRuns), ended: make(map[string]time.Time)}
}

// RecordBroken says that an incarnation broke off while it ran the request.
func (s *CrashTracker) RecordBroken(now time.Time, fingerprint, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[fingerprint]
	if r == nil {
		s.makeRoom(now)
		r = &suspectRuns{at: make(map[string]time.Time)}
		s.runs[fingerprint] = r
	}
	r.touched = now
	if _, known := r.at[incarnation]; !known && len(r.at) < maxIncarnation {
		r.at[incarnation] = now
	}
}

// RecordEnded takes the incarnations that the store's news show to have ended.
func (s *CrashTracker) RecordEnded(now time.Time, changes []roster.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.EndedIncarnation != "" {
			s.ended[c.EndedIncarnation] = now
		}
	}
	for incarnation, at := range s.ended {
		if now.Sub(at) > suspectMemory {
			delete(s.ended, incarnation)
		}
	}
}

// Stopped reports whether the request has crashed enough upstreams.
func (s *CrashTracker) Stopped(now time.Time, fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[fingerprint]
	if r == nil || now.Sub(r.touched) > suspectMemory {
		return false
	}
	crashes := 0
	for incarnation, at := range r.at {
		if end, ended := s.ended[incarnation]; ended && end.Sub(at) < crashEvidence {
			crashes++
		}
	}
	return crashes >= crashesToStop
}

func (s *CrashTracker) makeRoom(now time.Time) {
	if len(s.runs) < maxSuspects {
		return
	}
	for fingerprint, r := range s.runs {
		if now.Sub(r.touched) > suspectMemory || len(s.runs) >= maxSuspects {
			delete(s.runs, fingerprint)
		}
	}
}
