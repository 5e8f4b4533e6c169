package permit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxEntries limits the incarnations in a Book.
	maxEntries = 4096
	// maxReports limits the reports in one message to peers.
	maxReports = 48
	// unknownTTL is how long an incarnation stays that is not on the list of upstreams:
	// news from peers may arrive before the list does.
	unknownTTL = 10 * time.Second
	// releasePeriod is the time after the end of a limit in which VMs return one after
	// the other to sending without permits. Meanwhile the rate of permits doubles
	// releaseDoublings times a second.
	releasePeriod    = 4 * time.Second
	releaseDoublings = 2
	// endedReportTTL is how long peers are told about the end of a limit.
	endedReportTTL = 30 * time.Second
)

// Book holds the limits of all upstreams that have announced one. It is safe for
// concurrent use.
type Book struct {
	vm string

	mu      sync.Mutex
	entries map[string]*bookEntry
	// problems holds the last limit of each incarnation that could not be decoded.
	problems map[string]string
	// next is the index at which the next Reports begin if there are too many.
	next int
}

// bookEntry is what a Book holds about one incarnation.
type bookEntry struct {
	limit Limit
	// last is the last rate, and endedAt when this VM learned of the end of the limit,
	// or zero while there is one.
	last    float64
	endedAt time.Time
	// listedAt is when the incarnation was last on the list of upstreams.
	listedAt time.Time
}

// NewBook returns the empty Book of a VM.
func NewBook(vm string) *Book {
	return &Book{vm: vm, entries: make(map[string]*bookEntry), problems: make(map[string]string)}
}

// Observe records the rate that a response announces, +Inf if it announces none. It
// reports whether the rate in force has changed.
func (b *Book) Observe(now time.Time, incarnation string, rate float64, sentAt time.Time) bool {
	return b.merge(now, incarnation, newLimit(rate, sentAt, now))
}

// Learn records a report of a peer. It reports whether the rate in force has changed.
func (b *Book) Learn(now time.Time, r Report) bool {
	l, ok := r.limit(now)
	return ok && !b.isEcho(r.Incarnation, l) && b.merge(now, r.Incarnation, l)
}

// isEcho reports whether a report says what is known already and may look newer only
// since it was on its way. VMs that tell one another would make it ever newer.
func (b *Book) isEcho(incarnation string, l Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	return e != nil && e.limit.Rate == l.Rate && l.ReceivedAt.Sub(e.limit.ReceivedAt) <= peerDelay
}

func (b *Book) merge(now time.Time, incarnation string, l Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	if e == nil {
		if !l.Limited() || len(b.entries) >= maxEntries {
			return false
		}
		b.entries[incarnation] = &bookEntry{limit: l, last: l.Rate, listedAt: now}
		return true
	}
	before := e.limit
	e.limit = before.Merge(l)
	switch {
	case e.limit.Limited():
		e.last, e.endedAt = e.limit.Rate, time.Time{}
	case before.Limited():
		e.endedAt = now
	}
	return e.limit.Rate != before.Rate
}

// Rate returns the rate in force, +Inf if there is no limit.
func (b *Book) Rate(incarnation string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[incarnation]; e != nil {
		return e.limit.Rate
	}
	return math.Inf(1)
}

// enforcedRate returns the rate at which permits are issued, +Inf without a limit.
func (b *Book) enforcedRate(now time.Time, incarnation string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[incarnation]; e != nil && e.inForce(now) {
		return e.enforced(now)
	}
	return math.Inf(1)
}

// enforcedRates returns the rates at which permits are issued, by incarnation.
func (b *Book) enforcedRates(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rates := make(map[string]float64)
	for incarnation, e := range b.entries {
		if e.inForce(now) {
			rates[incarnation] = e.enforced(now)
		}
	}
	return rates
}

// Limited reports whether requests of this VM to an upstream need a permit. After the
// end of a limit they still do for a while, which differs between VMs so that not all
// return at once.
func (b *Book) Limited(now time.Time, incarnation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	return e != nil && (e.limit.Limited() || now.Sub(e.endedAt) < releaseDelay(b.vm, incarnation))
}

// Any reports whether permits are needed for any upstream.
func (b *Book) Any(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.entries {
		if e.inForce(now) {
			return true
		}
	}
	return false
}

// enforced returns the rate of permits.
func (e *bookEntry) enforced(now time.Time) float64 {
	if e.limit.Limited() {
		return e.last
	}
	return e.last * math.Exp2(releaseDoublings*now.Sub(e.endedAt).Seconds())
}

// inForce reports whether permits are issued at a limited rate.
func (e *bookEntry) inForce(now time.Time) bool {
	return e.limit.Limited() || now.Sub(e.endedAt) < releasePeriod
}

// shardsInUse returns the shards of the upstreams for which permits are needed.
func (b *Book) shardsInUse(now time.Time) map[int]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := make(map[int]bool)
	for incarnation, e := range b.entries {
		if e.inForce(now) {
			used[shardOf(incarnation)] = true
		}
	}
	return used
}

// announcedAt returns when the last news of an incarnation's limit was announced.
func (b *Book) announcedAt(incarnation string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[incarnation]; e != nil {
		return e.limit.ReceivedAt
	}
	return time.Time{}
}

// report returns what is known of an incarnation.
func (b *Book) report(now time.Time, incarnation string) (r Report, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[incarnation]
	if e == nil {
		return Report{}, false
	}
	return e.limit.report(now, incarnation), true
}

// Reports returns reports for peers: of the limits in force, and of those that have
// ended lately. If there are more than maxReports, calls return them in turn.
func (b *Book) Reports(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Report
	for incarnation, e := range b.entries {
		if e.limit.Limited() || now.Sub(e.endedAt) < endedReportTTL {
			list = append(list, e.limit.report(now, incarnation))
		}
	}
	slices.SortFunc(list, func(x, y Report) int { return cmp.Compare(x.Incarnation, y.Incarnation) })
	if len(list) <= maxReports {
		return list
	}
	b.next %= len(list)
	rotated := append(slices.Clone(list[b.next:]), list[:b.next]...)
	b.next += maxReports
	return rotated[:maxReports]
}

// Retain removes the incarnations that are not on the list of upstreams, after a
// delay.
func (b *Book) Retain(now time.Time, listed map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, e := range b.entries {
		if listed[incarnation] {
			e.listedAt = now
		} else if now.Sub(e.listedAt) > unknownTTL {
			delete(b.entries, incarnation)
		}
	}
	for incarnation := range b.problems {
		if !listed[incarnation] {
			delete(b.problems, incarnation)
		}
	}
}

// RecordProblem records a limit that can't be decoded. The limit in force stays. It
// reports whether the problem is a new one of that incarnation.
func (b *Book) RecordProblem(incarnation, problem string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.problems[incarnation] == problem || len(b.problems) >= maxEntries {
		return false
	}
	b.problems[incarnation] = problem
	return true
}

// Limits returns the rates in force, by incarnation.
func (b *Book) Limits() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rates := make(map[string]float64)
	for incarnation, e := range b.entries {
		if e.limit.Limited() {
			rates[incarnation] = e.limit.Rate
		}
	}
	return rates
}
