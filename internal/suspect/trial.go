package suspect

import (
	"slices"
	"time"
)

// Trials of a blocked part: one request that shows whether it still crashes upstreams.
const (
	// firstTrialDelay is the time from the last crash to the first trial, and from a trial
	// that did not run to the next one. uncertainTrialDelay is that of a part that may
	// have met crashes with another cause. After each trial that crashes an
	// upstream the delay is trialDelayFactor times the one before.
	firstTrialDelay     = 5 * time.Second
	uncertainTrialDelay = time.Second
	trialDelayFactor    = 6
	maxTrialDelay       = TTL
	maxTrials           = 16
	// maxTrialSkew is how much the time of one trial may differ between VMs.
	maxTrialSkew = 500 * time.Millisecond
	// trialRankDelay is the time between the VMs that may make a trial. It is long
	// enough for the news of one to reach the others.
	trialRankDelay = time.Second
)

// Finding is what speaks against a request.
type Finding struct {
	// Fingerprint is that of the request or the prompt part, Part the index of that part
	// or -1.
	Fingerprint string
	Part        int
	Evidence    Evidence
	// RetryAfter is when the request may be sent again, or 0 if that is not known.
	RetryAfter time.Duration
}

// Check returns what blocks a request with the given fingerprint and those of the parts
// of its prompt, if anything does. rank returns this VM's place in the order in which VMs
// may make a trial of a part, 0 for the first; it is called only for blocked parts.
//
// A request may be a trial: then nothing blocks it, and Check records it. It must be sent.
// The crash of a trial counts against all parts of its prompt, so that a request gives way
// to one that is less likely to crash for another reason than the blocked part.
func (t *Tracker) Check(now time.Time, request string, parts []string, rank func(fingerprint string) int) (Finding, bool) {
	own := t.Evidence(now, request)
	if own.Blocked() || own.Held() {
		f := Finding{Fingerprint: request, Part: -1, Evidence: own}
		if own.Held() {
			f.RetryAfter = heldRetryAfter
		}
		return f, true
	}
	blocked := t.blockedParts(now, parts)
	if len(blocked) == 0 {
		return Finding{}, false
	}
	ranks := make([]int, len(blocked))
	for i, f := range blocked {
		ranks[i] = rank(f.Fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var due time.Time
	for i, f := range blocked {
		at := t.nextTrial(f.Fingerprint, f.Evidence.isUncertain()).Add(time.Duration(ranks[i]) * trialRankDelay)
		if f.RetryAfter = at.Sub(now); f.RetryAfter > 0 {
			t.addCandidate(now, own, parts)
			return f, true
		}
		if at.After(due) {
			due = at
		}
	}
	if now.Before(due.Add(maxDeferral)) && t.betterExpected(now, own, parts, blocked, time.Duration(slices.Max(ranks))*trialRankDelay) {
		t.addCandidate(now, own, parts)
		f := blocked[0]
		f.RetryAfter = trialRankDelay
		return f, true
	}
	for _, f := range blocked {
		if s := t.suspects[f.Fingerprint]; s != nil {
			s.triedAt = now
			t.markFresh(f.Fingerprint)
		}
	}
	return Finding{}, false
}

// addCandidate records a refused request that may come again and be a trial, unless it
// seems to crash upstreams itself. The caller holds the lock.
func (t *Tracker) addCandidate(now time.Time, own Evidence, parts []string) {
	if own.Broken == 0 {
		t.candidates.add(now, parts)
	}
}

// blockedParts returns a finding for each blocked part.
func (t *Tracker) blockedParts(now time.Time, parts []string) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked []Finding
	for i, part := range parts {
		if e := t.evidence(now, part); e.Blocked() || e.Held() {
			blocked = append(blocked, Finding{Fingerprint: part, Part: i, Evidence: e})
		}
	}
	return blocked
}

// nextTrial returns when the VM with rank 0 may make the next trial of a part. The caller
// holds the lock.
func (t *Tracker) nextTrial(part string, uncertain bool) time.Time {
	s := t.suspects[part]
	if s == nil {
		return time.Time{}
	}
	last := s.triedAt
	for _, b := range s.broken {
		if b.aliveAt.After(last) {
			last = b.aliveAt
		}
	}
	delay := firstTrialDelay
	if uncertain {
		delay = uncertainTrialDelay
	}
	for range s.trials {
		delay = min(delay*trialDelayFactor, maxTrialDelay)
	}
	return last.Add(delay)
}
