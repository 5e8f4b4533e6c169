package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Report is what a VM knows against a request. Its CBOR keys are part of
// the protocol between VMs, its JSON fields part of what is kept in the store.
type Report struct {
	Fingerprint string         `json:"fingerprint" cbor:"1,keyasint"`
	Broken      []BrokenReport `json:"broken" cbor:"2,keyasint"`
	// CompletedAgeMS is the time since the prompt part was last part of a whole answer, 0
	// if it is not known to have been. Trials is the number of trials since then that
	// crashed an upstream, and TriedAgeMS the time since the last trial, 0 if there was
	// none. They are sent for prompt parts only.
	CompletedAgeMS int64 `json:"completed_age_ms,omitempty" cbor:"3,keyasint,omitempty"`
	Trials         int   `json:"trials,omitempty" cbor:"4,keyasint,omitempty"`
	TriedAgeMS     int64 `json:"tried_age_ms,omitempty" cbor:"5,keyasint,omitempty"`
}

// BrokenReport tells that an incarnation did not complete a response.
type BrokenReport struct {
	Incarnation string `json:"incarnation" cbor:"1,keyasint"`
	// AgeMS is the time since the incarnation's last sign of life.
	AgeMS   int64 `json:"age_ms" cbor:"2,keyasint"`
	Crashed bool  `json:"crashed,omitempty" cbor:"3,keyasint,omitempty"`
	// Cut is set if the incarnation broke the response off.
	Cut bool `json:"cut,omitempty" cbor:"4,keyasint,omitempty"`
}

// Older returns the report after some more time.
func (r Report) Older(by time.Duration) Report {
	r.Broken = slices.Clone(r.Broken)
	for i := range r.Broken {
		r.Broken[i].AgeMS += by.Milliseconds()
	}
	if r.CompletedAgeMS > 0 {
		r.CompletedAgeMS += by.Milliseconds()
	}
	if r.TriedAgeMS > 0 {
		r.TriedAgeMS += by.Milliseconds()
	}
	return r
}

const (
	// reportRounds is the number of beacons that carry news of a suspect. Each VM
	// passes news on, so two beacons to a dozen peers reach the whole fleet.
	reportRounds = 2
	// maxReports limits the reports of one call of Reports. repeatedReports of them
	// are repeated reports of blocked requests, for VMs that started later or missed
	// the news.
	maxReports      = 32
	repeatedReports = 4
	// reportedCrashes is the number of crashes from which all VMs are told what is known
	// of a part, for and against it.
	reportedCrashes = 2
	// maxReported limits the responses in a report.
	maxReported = 4
)

// markFresh makes the next reports include a suspect. The caller holds the lock.
func (t *Tracker) markFresh(fingerprint string) {
	if t.roundsLeft[fingerprint] == 0 {
		t.fresh = append(t.fresh, fingerprint)
	}
	t.roundsLeft[fingerprint] = reportRounds
}

// Reports returns what the next beacon tells peers: news first, then some of the
// blocked requests, in turn.
func (t *Tracker) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sortFresh(now)
	var list []Report
	var later []string
	for i, fingerprint := range t.fresh {
		if len(list) == maxReports-repeatedReports {
			later = append(later, t.fresh[i:]...)
			break
		}
		if t.suspects[fingerprint] == nil {
			continue
		}
		list = append(list, t.report(now, fingerprint))
		if t.roundsLeft[fingerprint]--; t.roundsLeft[fingerprint] > 0 {
			later = append(later, fingerprint)
		} else {
			delete(t.roundsLeft, fingerprint)
		}
	}
	t.fresh = later
	for _, fingerprint := range t.nextBlocked(now) {
		list = append(list, t.report(now, fingerprint))
	}
	return list
}

// sortFresh puts those with the most evidence first, if not all can be told at once: a
// mass crash makes many suspects. The caller holds the lock.
func (t *Tracker) sortFresh(now time.Time) {
	if len(t.fresh) <= maxReports-repeatedReports {
		return
	}
	weights := make(map[string]int, len(t.fresh))
	for _, fingerprint := range t.fresh {
		weights[fingerprint] = t.evidence(now, fingerprint).weight()
	}
	slices.SortStableFunc(t.fresh, func(a, b string) int { return cmp.Compare(weights[b], weights[a]) })
}

// nextBlocked returns the blocked requests whose turn it is to be repeated. The
// caller holds the lock.
func (t *Tracker) nextBlocked(now time.Time) []string {
	blocked := t.blocked(now)
	if len(blocked) <= repeatedReports {
		return blocked
	}
	first, found := slices.BinarySearch(blocked, t.repeatAfter)
	if found {
		first++
	}
	next := make([]string, repeatedReports)
	for i := range next {
		next[i] = blocked[(first+i)%len(blocked)]
	}
	t.repeatAfter = next[repeatedReports-1]
	return next
}

// blocked returns the fingerprints of the requests that have crashed too many
// upstreams, in order. The caller holds the lock.
func (t *Tracker) blocked(now time.Time) []string {
	var list []string
	for fingerprint := range t.mayBlock {
		if t.evidence(now, fingerprint).Blocked() {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	return list
}

// OwnBlocked returns the reports of blocked requests that have run through this
// VM, for the store.
func (t *Tracker) OwnBlocked(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for _, fingerprint := range t.blocked(now) {
		if t.suspects[fingerprint].own {
			list = append(list, t.report(now, fingerprint))
		}
	}
	return list
}

// report returns the report of a suspect with its crashes first and the latest
// responses next. The caller holds the lock.
func (t *Tracker) report(now time.Time, fingerprint string) Report {
	r := Report{Fingerprint: fingerprint}
	s := t.suspects[fingerprint]
	part := isPart(fingerprint)
	if part && !s.completedAt.IsZero() && now.Sub(s.completedAt) < TTL {
		r.CompletedAgeMS = max(1, now.Sub(s.completedAt).Milliseconds())
	}
	if !s.triedAt.IsZero() && now.Sub(s.triedAt) < TTL {
		r.Trials, r.TriedAgeMS = s.trials, max(1, now.Sub(s.triedAt).Milliseconds())
	}
	for _, incarnation := range slices.Sorted(maps.Keys(s.broken)) {
		b := s.broken[incarnation]
		if part && !b.aliveAt.After(s.completedAt) {
			continue
		}
		r.Broken = append(r.Broken, BrokenReport{Incarnation: incarnation, AgeMS: now.Sub(b.aliveAt).Milliseconds(), Crashed: b.crashed, Cut: b.cut})
	}
	slices.SortStableFunc(r.Broken, func(a, b BrokenReport) int {
		if a.Crashed != b.Crashed {
			if a.Crashed {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.AgeMS, b.AgeMS)
	})
	if part {
		r.Broken = selectBursts(r.Broken)
	}
	r.Broken = r.Broken[:min(maxReported, len(r.Broken))]
	return r
}

// selectBursts returns maxReported elements of a list, known crashes first, which are
// evenly spaced in time so that they show its bursts.
func selectBursts(list []BrokenReport) []BrokenReport {
	crashed := slices.IndexFunc(list, func(b BrokenReport) bool { return !b.Crashed })
	if crashed < 0 {
		crashed = len(list)
	}
	chosen := spread(list[:crashed], maxReported)
	return append(chosen, spread(list[crashed:], maxReported-len(chosen))...)
}

// spread returns up to n elements of a list, evenly spaced.
func spread(list []BrokenReport, n int) []BrokenReport {
	if len(list) <= n {
		return slices.Clone(list)
	}
	chosen := make([]BrokenReport, n)
	for i := range chosen {
		chosen[i] = list[i*len(list)/n]
	}
	return chosen
}

// Merge adds a report of a peer or of the store. It reports whether the report
// told anything new, and passes news on with the next reports.
func (t *Tracker) Merge(now time.Time, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.evidence(now, r.Fingerprint)
	t.mergeHistory(now, r)
	for _, b := range r.Broken {
		age := time.Duration(b.AgeMS) * time.Millisecond
		if age < 0 || age > TTL {
			continue
		}
		t.merge(now, r.Fingerprint, b.Incarnation, brokenResponse{aliveAt: now.Add(-age), cut: b.Cut, crashed: b.Crashed})
	}
	after := t.evidence(now, r.Fingerprint)
	return after.Broken > before.Broken || after.Crashes > before.Crashes
}

// mergeHistory adds what a report says of whole answers and trials. The caller holds the
// lock.
func (t *Tracker) mergeHistory(now time.Time, r Report) {
	s := t.suspects[r.Fingerprint]
	if !isPart(r.Fingerprint) || s == nil && len(r.Broken) == 0 {
		return
	}
	if s == nil {
		t.evictSuspects(now)
		s = &entry{broken: make(map[string]brokenResponse), completedAt: t.sound.get(r.Fingerprint)}
		t.suspects[r.Fingerprint] = s
	}
	if age := time.Duration(r.CompletedAgeMS) * time.Millisecond; age > 0 && age < TTL {
		before := t.evidence(now, r.Fingerprint).Likely
		s.complete(now.Add(-age))
		if before >= reportedCrashes && t.evidence(now, r.Fingerprint).Likely < before {
			t.markFresh(r.Fingerprint)
		}
	}
	age := time.Duration(r.TriedAgeMS) * time.Millisecond
	if triedAt := now.Add(-age); age > 0 && age < TTL && triedAt.After(s.completedAt) {
		if triedAt.Sub(s.triedAt) > maxTrialSkew {
			s.triedAt = triedAt
			t.markFresh(r.Fingerprint)
		}
		if r.Trials > s.trials {
			s.trials, s.failedTrial = min(r.Trials, maxTrials), s.triedAt
			t.markFresh(r.Fingerprint)
		}
	}
}
