package suspect

import (
	"slices"
	"time"
)

// Limits on the evidence against a prompt part. Requests that hold it and run beside
// the one that crashes an upstream break as well, so that it takes more than against a
// whole request.
const (
	// crashesToBlockPart is the number of crashed upstreams, and of bursts of crashes if
	// the part was in whole answers shortly before.
	crashesToBlockPart = 3
	// manyCrashes and manyBursts block a part as well, both together.
	manyCrashes = 4
	manyBursts  = 2
	// burstLength is the time in which crashes may have one cause, such as the loss of a
	// rack.
	burstLength = 300 * time.Millisecond
	// partHoldPeriod is how long a response that was broken off counts against a part
	// if the upstream has not been heard of since.
	partHoldPeriod = 30 * time.Second
	// trustPeriod is how long a whole answer speaks for a part.
	trustPeriod = 30 * time.Second
)

// Evidence is what is known against a request or a prompt part. It is a plain value.
type Evidence struct {
	// Broken is the number of incarnations that did not complete their response,
	// CutLately the number of those that broke it off a short time ago, and Crashes the
	// number of those that are known to have crashed.
	Broken    int `json:"broken"`
	CutLately int `json:"cut_lately"`
	Crashes   int `json:"crashes"`
	// Part is set for a prompt part. Trusted is set if it was in a whole answer shortly
	// before the first crash. Bursts is the number of bursts of the known crashes,
	// LikelyBursts that of the known ones and those of CutLately, and Likely the number
	// of these.
	Part         bool `json:"part,omitempty"`
	Trusted      bool `json:"trusted,omitempty"`
	Bursts       int  `json:"bursts,omitempty"`
	LikelyBursts int  `json:"likely_bursts,omitempty"`
	Likely       int  `json:"likely,omitempty"`
	// Trials is the number of requests that were sent although the part is blocked.
	Trials int `json:"trials,omitempty"`
}

// Blocked reports whether upstreams are known to crash on it.
func (e Evidence) Blocked() bool {
	if e.Part {
		return e.suffices(e.Crashes, e.Bursts)
	}
	return e.Crashes >= crashesToBlock
}

// Held reports whether upstreams seem to crash on it and the list of upstreams does not
// show it yet.
func (e Evidence) Held() bool {
	if e.Blocked() {
		return false
	}
	if e.Part {
		return e.suffices(e.Likely, e.LikelyBursts)
	}
	return e.CutLately >= cutsToHold
}

// suffices reports whether crashes in bursts speak against a part.
func (e Evidence) suffices(crashes, bursts int) bool {
	if crashes >= manyCrashes && bursts >= manyBursts {
		return true
	}
	if e.Trusted {
		return bursts >= crashesToBlockPart
	}
	return crashes >= crashesToBlockPart
}

// isUncertain reports whether the crashes may have another cause than the part: it was
// sound before, or all crashed at one moment.
func (e Evidence) isUncertain() bool { return e.Trusted || e.LikelyBursts <= 1 }

// weight orders suspects by how urgent their news is.
func (e Evidence) weight() int { return 2*e.Crashes + e.CutLately }

// evidence returns what is known against a fingerprint. The caller must hold t.mu.
func (t *Tracker) evidence(now time.Time, fingerprint string) Evidence {
	e := Evidence{Part: isPart(fingerprint)}
	s := t.suspects[fingerprint]
	if s == nil {
		return e
	}
	hold := holdPeriod
	if e.Part {
		hold = partHoldPeriod
	}
	var crashed, likely []time.Time
	for incarnation, b := range s.broken {
		age := now.Sub(b.aliveAt)
		if age > TTL || !b.aliveAt.After(s.completedAt) {
			continue
		}
		e.Broken++
		cutLately := b.cut && age < hold && (!e.Part || !t.heardAfter(incarnation, b.aliveAt))
		if cutLately {
			e.CutLately++
		}
		if b.crashed {
			e.Crashes++
			crashed = append(crashed, b.aliveAt)
		}
		if b.crashed || cutLately {
			likely = append(likely, b.aliveAt)
		}
	}
	if !e.Part {
		return e
	}
	e.Likely, e.Bursts, e.LikelyBursts, e.Trials = len(likely), countBursts(crashed), countBursts(likely), s.trials
	if len(likely) > 0 && !s.completedAt.IsZero() {
		e.Trusted = slices.MinFunc(likely, time.Time.Compare).Sub(s.completedAt) < trustPeriod
	}
	return e
}

// countBursts returns the number of bursts in a list of times, which it sorts.
func countBursts(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range times {
		if n == 0 || at.Sub(start) > burstLength {
			start = at
			n++
		}
	}
	return n
}
