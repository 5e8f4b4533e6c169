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
	// avoidPeriod is how long an upstream is passed over after a failed connection.
	avoidPeriod = time.Second
	// reportLifetime is how long a report of load counts.
	reportLifetime = 5 * time.Second
)

// Candidate is one upstream as the choice of a route sees it.
type Candidate struct {
	contract.Upstream
	Incarnation    string
	WeightsVersion string
	// Load is the number of requests known to be on the upstream.
	Load int
	// Queued is the number of those that wait for their first token.
	Queued int
	// Slots is how many it works on at a time.
	Slots int
	// NameHash is the hash of the name. Zero stands for one not computed yet.
	NameHash uint64
}

// Hash returns the hash of the candidate's name.
func (c *Candidate) Hash() uint64 {
	if c.NameHash != 0 {
		return c.NameHash
	}
	return prefix.Hash(c.Name)
}

// Running is one request that this node has on an upstream.
type Running struct {
	Fingerprint string
	Incarnation string
}

// Status is what is known of one upstream, for operators.
type Status struct {
	contract.Upstream
	Pool       string    `json:"pool"`
	Report     Report    `json:"report"`
	InFlight   int       `json:"in_flight"`
	ObservedAt time.Time `json:"observed_at"`
}

type entry struct {
	upstream contract.Upstream
	pool     string
	slots    int
	hash     uint64
	reports  map[string]observation
	merged   Report
	at       time.Time
	avoid    time.Time
	gone     bool
	inFlight atomic.Int64
	waiting  atomic.Int64
}

type observation struct {
	report Report
	at     time.Time
}

// Table holds the upstreams of the configuration in force.
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

// OnIncarnationEnd has f called, without locks held, when an upstream's incarnation is
// seen to have ended. It must be called before the table is shared.
func (t *Table) OnIncarnationEnd(f func(now time.Time, u contract.Upstream, incarnation string)) {
	t.onEnd = f
}

// SetCatalogue replaces the set of upstreams. What is known of those that stay
// is kept, unless their address changes.
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
			e.hash = prefix.Hash(u.Name)
			t.entries[u.Name] = e
			t.pools[pool.Name] = append(t.pools[pool.Name], e)
		}
	}
	for _, list := range t.pools {
		slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.upstream.Name, b.upstream.Name) })
	}
}

// Observe takes a report that source has had from the upstream, and reports
// whether the state or incarnation is new.
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
	e.reports[source] = observation{report: report, at: now}
	if report.State == StateLive {
		e.avoid = time.Time{}
	}
	before = e.merged
	e.merge(now)
	return before, e.merged, e.upstream
}

// merge joins the reports of several sources. The newest report decides, but
// an upstream that any source has seen leaving in this incarnation is leaving.
func (e *entry) merge(now time.Time) {
	var newest observation
	for source, o := range e.reports {
		if now.Sub(o.at) > time.Minute {
			delete(e.reports, source)
			continue
		}
		if !o.at.Before(newest.at) {
			newest = o
		}
	}
	merged := newest.report
	for _, o := range e.reports {
		same := o.report.Incarnation == merged.Incarnation
		if same && o.report.State == StateLeaving && merged.State == StateLive {
			merged.State = StateLeaving
		}
	}
	e.merged = merged
	e.at = newest.at
}

// SetLeaving marks the upstreams that the VM list names as leaving.
func (t *Table) SetLeaving(leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.gone = leaving[e.upstream.Address]
	}
}

// Avoid passes the upstream over for a short time, after a failed connection.
func (t *Table) Avoid(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[name]; e != nil {
		e.avoid = now.Add(avoidPeriod)
	}
}

// InFlight is one request of this node on an upstream.
type InFlight struct {
	entry *entry
	first sync.Once
	last  sync.Once
}

// Start counts a request on the upstream until its InFlight is finished.
func (t *Table) Start(name string) *InFlight {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &InFlight{entry: t.entries[name]}
	if s.entry != nil {
		s.entry.inFlight.Add(1)
		s.entry.waiting.Add(1)
	}
	return s
}

// FirstToken says that the answer has begun. It may be called more than once.
func (s *InFlight) FirstToken() {
	if s.entry != nil {
		s.first.Do(func() { s.entry.waiting.Add(-1) })
	}
}

// Finish says that the request has left the upstream. It may be called more than once.
func (s *InFlight) Finish() {
	s.FirstToken()
	if s.entry != nil {
		s.last.Do(func() { s.entry.inFlight.Add(-1) })
	}
}

// Report returns what is known of an upstream.
func (t *Table) Report(name string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[name]
	if e == nil {
		return Report{}, false
	}
	return e.merged, true
}

// Candidates returns the pool's upstreams that may get new work, in the order
// of their names. Upstreams in an unknown state come only if no other is there.
func (t *Table) Candidates(now time.Time, pool string) []Candidate {
	t.mu.RLock()
	defer t.mu.RUnlock()
	entries := t.pools[pool]
	live := make([]Candidate, 0, len(entries))
	for _, e := range entries {
		if e.merged.State == StateLive && !e.gone && !now.Before(e.avoid) {
			live = append(live, e.candidate(now))
		}
	}
	if len(live) > 0 {
		return live
	}
	for _, e := range entries {
		usable := e.merged.State == StateUnknown || e.merged.State == StateLive
		if usable && !e.gone {
			live = append(live, e.candidate(now))
		}
	}
	return live
}

func (e *entry) candidate(now time.Time) Candidate {
	load := int(e.inFlight.Load())
	queued := int(e.waiting.Load())
	if now.Sub(e.at) < reportLifetime {
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
		NameHash:       e.hash,
	}
}

// Statuses returns all upstreams, ordered by name.
func (t *Table) Statuses() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Status, 0, len(t.entries))
	for _, e := range t.entries {
		report := e.merged
		if e.gone {
			report = report.WithState(StateLeaving)
		}
		list = append(list, Status{
			Upstream:   e.upstream,
			Pool:       e.pool,
			Report:     report,
			InFlight:   int(e.inFlight.Load()),
			ObservedAt: e.at,
		})
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return list
}
