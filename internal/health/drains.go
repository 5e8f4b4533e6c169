package health

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxIncarnations limits the incarnations in a Drains.
	maxIncarnations = 4096
	// maxDrainReports limits the reports in one message to peers.
	maxDrainReports = 48
	// maxDrainAge limits the age of a notice that a peer reports.
	maxDrainAge = time.Hour
	// unlistedTTL is how long an incarnation stays that is not on the list of upstreams:
	// news from peers may arrive before the list does.
	unlistedTTL = 10 * time.Second
)

// DrainReport tells a peer that an incarnation of an upstream leaves.
type DrainReport struct {
	Incarnation string `json:"incarnation" cbor:"1,keyasint"`
	// AgeMS is the time since the first notice, in milliseconds.
	AgeMS int64 `json:"age_ms" cbor:"2,keyasint"`
}

// Drains holds the incarnations of upstreams that have announced in a response that
// they leave. An announcement can't be taken back. A Drains is safe for concurrent use.
type Drains struct {
	period time.Duration

	mu      sync.Mutex
	entries map[string]*drain
	// problems holds the last announcement of each incarnation that could not be decoded.
	problems map[string]string
	// next is the index at which the next Reports begin if there are too many.
	next int
}

// drain is what a Drains holds about one incarnation.
type drain struct {
	// since is when the first VM received the announcement, and learnedAt when this one
	// learned of it.
	since, learnedAt time.Time
	// listed is set while the incarnation is on the list of upstreams, and listedAt is
	// when it last was.
	listed   bool
	listedAt time.Time
}

// NewDrains returns an empty Drains. Upstreams serve for period after the announcement.
func NewDrains(period time.Duration) *Drains {
	return &Drains{period: period, entries: make(map[string]*drain), problems: make(map[string]string)}
}

// Observe records that a response announces that an incarnation leaves. It reports
// whether that is new.
func (d *Drains) Observe(now time.Time, incarnation string) bool {
	return d.record(now, now, incarnation, true)
}

// Learn records a report of a peer. It reports whether it is new.
func (d *Drains) Learn(now time.Time, r DrainReport) bool {
	age := time.Duration(min(r.AgeMS, maxDrainAge.Milliseconds())) * time.Millisecond
	if r.Incarnation == "" || age < 0 {
		return false
	}
	// A report of an incarnation that is not listed is not passed on: VMs would keep it
	// alive among them.
	return d.record(now, now.Add(-age), r.Incarnation, false)
}

func (d *Drains) record(now, since time.Time, incarnation string, listed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[incarnation]
	if e != nil {
		if since.Before(e.since) {
			e.since = since
		}
		return false
	}
	if len(d.entries) >= maxIncarnations {
		return false
	}
	d.entries[incarnation] = &drain{since: since, learnedAt: now, listed: listed, listedAt: now}
	return true
}

// Any reports whether any incarnation leaves.
func (d *Drains) Any() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries) > 0
}

// Leaving reports whether an incarnation leaves.
func (d *Drains) Leaving(incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[incarnation] != nil
}

// Serving reports whether an incarnation that leaves still takes requests that no other
// upstream can take.
func (d *Drains) Serving(now time.Time, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[incarnation]
	return e != nil && now.Sub(e.since) < d.period
}

// LearnedAfter reports whether this VM learned later than at that an incarnation leaves.
func (d *Drains) LearnedAfter(at time.Time, incarnation string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[incarnation]
	return e != nil && e.learnedAt.After(at)
}

// RecordProblem records an announcement that can't be decoded. It reports whether it is
// a new one of that incarnation.
func (d *Drains) RecordProblem(incarnation, problem string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.problems[incarnation] == problem || len(d.problems) >= maxIncarnations {
		return false
	}
	d.problems[incarnation] = problem
	return true
}

// Reports returns reports for peers. If there are more than maxDrainReports, calls
// return them in turn.
func (d *Drains) Reports(now time.Time) []DrainReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []DrainReport
	for incarnation, e := range d.entries {
		if e.listed {
			list = append(list, DrainReport{Incarnation: incarnation, AgeMS: now.Sub(e.since).Milliseconds()})
		}
	}
	slices.SortFunc(list, func(x, y DrainReport) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	if len(list) <= maxDrainReports {
		return list
	}
	d.next %= len(list)
	rotated := append(slices.Clone(list[d.next:]), list[:d.next]...)
	d.next += maxDrainReports
	return rotated[:maxDrainReports]
}

// Retain removes the incarnations that are not on the list of upstreams, after a delay.
func (d *Drains) Retain(now time.Time, listed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for incarnation, e := range d.entries {
		e.listed = listed[incarnation]
		if e.listed {
			e.listedAt = now
		}
	}
	maps.DeleteFunc(d.entries, func(_ string, e *drain) bool { return now.Sub(e.listedAt) > unlistedTTL })
	maps.DeleteFunc(d.problems, func(incarnation, _ string) bool { return !listed[incarnation] })
}

// Ages returns the time since the first announcement in milliseconds, by incarnation.
func (d *Drains) Ages(now time.Time) map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	ages := make(map[string]int64, len(d.entries))
	for incarnation, e := range d.entries {
		ages[incarnation] = now.Sub(e.since).Milliseconds()
	}
	return ages
}
