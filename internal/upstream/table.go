package upstream

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
)

const (
	// avoidPeriod is how long an upstream gets no new requests after a failed connection.
	avoidPeriod = time.Second
	// loadLifetime is how long the load in a report is used.
	loadLifetime = 5 * time.Second
	// maxReportAge is the age at which a report is removed.
	maxReportAge = time.Minute
)

// Candidate is an upstream that a request can be sent to.
type Candidate struct {
	contract.Upstream
	Incarnation    string
	WeightsVersion string
	// Load is the number of requests running or queued on the upstream: those
	// that this node sent or, if it is larger, the number in a recent report.
	Load int
	// Queued is the number of those requests that have no first token yet.
	Queued int
	// Slots is the number of requests that the upstream runs at a time.
	Slots int
	// NameHash is the hash of the name. If it is zero, Hash computes it.
	NameHash uint64
}

// Hash returns the hash of the candidate's name.
func (c *Candidate) Hash() uint64 {
	if c.NameHash != 0 {
		return c.NameHash
	}
	return prefix.Hash(c.Name)
}

// Status is the state of an upstream as shown to operators.
type Status struct {
	contract.Upstream
	Pool       string    `json:"pool"`
	Report     Report    `json:"report"`
	InFlight   int       `json:"in_flight"`
	ObservedAt time.Time `json:"observed_at"`
}

// entry holds an upstream with its reports and counters. The Table's mutex protects
// all fields except the counters.
type entry struct {
	upstream contract.Upstream
	pool     string
	slots    int
	nameHash uint64
	// reports maps a source to its last report.
	reports map[string]observation
	// merged is the combination of the reports, and observedAt the time of the newest.
	merged     Report
	observedAt time.Time
	avoidUntil time.Time
	// leaving is true if the VM list marks the upstream as leaving.
	leaving bool
	// inFlight and queued count requests that this node has sent.
	inFlight atomic.Int64
	queued   atomic.Int64
}

type observation struct {
	report     Report
	receivedAt time.Time
}

// Table holds the upstreams of the current configuration. It is safe for
// concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[string]*entry
	pools   map[string][]*entry
	onEnd   func(now time.Time, u contract.Upstream, incarnation string)
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{entries: make(map[string]*entry), pools: make(map[string][]*entry)}
}

// OnIncarnationEnd registers f, which is called without locks held when an
// incarnation of an upstream ends: the upstream goes down or reports a new
// incarnation. OnIncarnationEnd must be called before the table is shared.
func (t *Table) OnIncarnationEnd(f func(now time.Time, u contract.Upstream, incarnation string)) {
	t.onEnd = f
}

// SetCatalogue replaces the set of upstreams. Upstreams that are in both sets
// keep their reports and counters, unless their address changes.
func (t *Table) SetCatalogue(c *contract.Catalogue) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[string]*entry)
	t.pools = make(map[string][]*entry)
	for _, pool := range c.Pools() {
		for _, u := range pool.Upstreams {
			e := old[u.Name]
			if e == nil || e.upstream.Address != u.Address {
				e = &entry{reports: make(map[string]observation), merged: Report{State: StateUnknown}}
			}
			e.upstream = u
			e.pool = pool.Name
			e.slots = pool.Slots
			e.nameHash = prefix.Hash(u.Name)
			t.entries[u.Name] = e
			t.pools[pool.Name] = append(t.pools[pool.Name], e)
		}
	}
	for _, list := range t.pools {
		slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.upstream.Name, b.upstream.Name) })
	}
}

// Observe records a report on the upstream that came from source. It returns
// true if the upstream's state or incarnation changed. Reports on upstreams that
// are not in the table are ignored.
func (t *Table) Observe(now time.Time, source, name string, report Report) bool {
	before, after, u := t.observe(now, source, name, report)
	ended := before.Incarnation != "" && (after.Incarnation != before.Incarnation || after.State == StateDown)
	if t.onEnd != nil && ended && before.State != StateDown {
		t.onEnd(now, u, before.Incarnation)
	}
	return before.State != after.State || before.Incarnation != after.Incarnation
}

func (t *Table) observe(now time.Time, source, name string, report Report) (before, after Report, u contract.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	if e == nil {
		return Report{}, Report{}, contract.Upstream{}
	}
	e.reports[source] = observation{report: report, receivedAt: now}
	if report.State == StateLive {
		e.avoidUntil = time.Time{}
	}
	before = e.merged
	e.mergeReports(now)
	return before, e.merged, e.upstream
}

// mergeReports combines the reports of all sources. The newest report wins, but an
// upstream is leaving if any source has reported its current incarnation as
// leaving. Reports older than maxReportAge are removed.
func (e *entry) mergeReports(now time.Time) {
	var newest observation
	for source, o := range e.reports {
		if now.Sub(o.receivedAt) > maxReportAge {
			delete(e.reports, source)
			continue
		}
		if !o.receivedAt.Before(newest.receivedAt) {
			newest = o
		}
	}
	merged := newest.report
	for _, o := range e.reports {
		sameIncarnation := o.report.Incarnation == merged.Incarnation
		if sameIncarnation && o.report.State == StateLeaving && merged.State == StateLive {
			merged.State = StateLeaving
		}
	}
	e.merged = merged
	e.observedAt = newest.receivedAt
}

// SetLeaving replaces the set of upstreams, by address, that the VM list marks
// as leaving.
func (t *Table) SetLeaving(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.leaving = addresses[e.upstream.Address]
	}
}

// Avoid excludes the upstream from the candidates for avoidPeriod, unless there
// are no others. It is called after a failed connection.
func (t *Table) Avoid(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[name]; e != nil {
		e.avoidUntil = now.Add(avoidPeriod)
	}
}

// InFlight is a request that this node has sent to an upstream. It is safe for
// concurrent use.
type InFlight struct {
	entry          *entry
	firstTokenOnce sync.Once
	finishOnce     sync.Once
}

// Start counts a request on the upstream until Finish is called on the returned
// value. A name that is not in the table counts nothing.
func (t *Table) Start(name string) *InFlight {
	t.mu.RLock()
	defer t.mu.RUnlock()
	f := &InFlight{entry: t.entries[name]}
	if f.entry != nil {
		f.entry.inFlight.Add(1)
		f.entry.queued.Add(1)
	}
	return f
}

// FirstToken records that the response has started: the request no longer
// counts as queued. It may be called more than once.
func (f *InFlight) FirstToken() {
	if f.entry != nil {
		f.firstTokenOnce.Do(func() { f.entry.queued.Add(-1) })
	}
}

// Finish records that the request has left the upstream. It may be called more
// than once.
func (f *InFlight) Finish() {
	f.FirstToken()
	if f.entry != nil {
		f.finishOnce.Do(func() { f.entry.inFlight.Add(-1) })
	}
}

// Report returns the merged report on an upstream, and false if the upstream is
// not in the table.
func (t *Table) Report(name string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil {
		return Report{}, false
	}
	return e.merged, true
}

// Candidates returns the pool's upstreams that accept new requests, ordered by
// name. If there are none, it returns those that are live or in an unknown state
// and not leaving, including those to be avoided after a failed connection.
func (t *Table) Candidates(now time.Time, pool string) []Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entries := t.pools[pool]
	candidates := make([]Candidate, 0, len(entries))
	for _, e := range entries {
		if e.merged.State == StateLive && !e.leaving && !now.Before(e.avoidUntil) {
			candidates = append(candidates, e.candidate(now))
		}
	}
	if len(candidates) > 0 {
		return candidates
	}
	for _, e := range entries {
		usable := e.merged.State == StateUnknown || e.merged.State == StateLive
		if usable && !e.leaving {
			candidates = append(candidates, e.candidate(now))
		}
	}
	return candidates
}

func (e *entry) candidate(now time.Time) Candidate {
	load := int(e.inFlight.Load())
	queued := int(e.queued.Load())
	if now.Sub(e.observedAt) < loadLifetime {
		load = max(load, e.merged.Running+e.merged.Queued)
		queued = max(queued, e.merged.Queued)
	}
	return Candidate{
		Upstream:       e.upstream,
		Incarnation:    e.merged.Incarnation,
		WeightsVersion: e.merged.WeightsVersion,
		Load:           load,
		Queued:         queued,
		Slots:          e.slots,
		NameHash:       e.nameHash,
	}
}

// Statuses returns the status of every upstream, ordered by name.
func (t *Table) Statuses() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		report := e.merged
		if e.leaving {
			report = report.WithState(StateLeaving)
		}
		list = append(list, Status{
			Upstream:   e.upstream,
			Pool:       e.pool,
			Report:     report,
			InFlight:   int(e.inFlight.Load()),
			ObservedAt: e.observedAt,
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return list
}
