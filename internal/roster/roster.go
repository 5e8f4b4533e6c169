// Package roster keeps the upstreams of host-and-path traffic: who they are,
// what this VM and its peers have on them, what prompt text they hold, and
// which of them a request goes to.
//
// # Usage
//
//	table := roster.New(roster.Options{})
//	table.Replace(now, upstreams)
//	u, found := table.Pick(now, roster.Query{Service: "lm", Parts: parts})
//	inFlight := table.Start(now, u, load)
//	defer inFlight.Finish()
//
// A Table is safe for concurrent use. Each function that decides takes the
// present time as an argument.
package roster

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscove/hibiscuscove/internal/kept"
	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

// Part is a run of a prompt's tokens that requests share.
type Part = kept.Part

// Upstream is one model engine or plain service.
type Upstream struct {
	ID, Service, Address, DataCentre string
	Slots                            int
	// Leaving upstreams take no new work.
	Leaving bool
	// Born tells the starts of one ID apart.
	Born int64
	// Model and Version are the weights of an engine. Both are empty for plain services.
	Model   string
	Version int64
}

// Incarnation names one start of the upstream.
func (u Upstream) Incarnation() string { return u.ID + "@" + strconv.FormatInt(u.Born, 10) }

// Load is what requests weigh on an upstream.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// WaitingTokens are the tokens that must be read before the first tokens
	// of the requests come.
	WaitingTokens int
	// Tokens are all tokens of the requests, in and out.
	Tokens int
}

func (l Load) plus(m Load) Load {
	return Load{l.Requests + m.Requests, l.WaitingTokens + m.WaitingTokens, l.Tokens + m.Tokens}
}

func (l Load) minus(m Load) Load {
	return Load{l.Requests - m.Requests, l.WaitingTokens - m.WaitingTokens, l.Tokens - m.Tokens}
}

const (
	avoidLeast = 700 * time.Millisecond
	avoidMost  = 5 * time.Second
	// lapseHold is how long an upstream whose entry went during an outage of the
	// store stays a last resort. Entries of live ones are back within 2 s.
	lapseHold = 1800 * time.Millisecond
	// loadingHold bounds the belief that an engine is changing its weights. The
	// VM that changes it says so again several times in this time.
	loadingHold = time.Second
)

type member struct {
	upstream Upstream
	// seed is the hash of the ID, for ranks.
	seed uint64
	own  Load
	kept *kept.Parts
	// avoid is until when the upstream is passed over, after a failed connection.
	avoid    time.Time
	failures int
	// lapsed is when the entry was lost during an outage of the store.
	lapsed  time.Time
	loading time.Time
	// announced is when the VM that changes the engine last said so, and becomes
	// the version that it will have.
	announced time.Time
	becomes   int64
	// heard is when the upstream last said anything.
	heard time.Time
	// updated is when new weights were seen.
	updated time.Time
	// since is when this start, or these weights, were first seen.
	since time.Time
}

func newMember(now time.Time, u Upstream) *member {
	return &member{upstream: u, since: now, seed: xxhash.Sum64String(u.ID), kept: kept.New()}
}

// Options sets up a Table. The zero value works.
type Options struct {
	// DataCentre is this VM's.
	DataCentre string
	// Policy weighs the upstreams.
	Policy Policy
	// VersionLimits bound how long after newer weights were named an engine with
	// older ones may be given requests.
	VersionLimits VersionLimits
}

// Table holds the upstreams.
type Table struct {
	opts Options

	mu      sync.Mutex
	members map[string]*member
	// named are the versions that operators have named.
	named *weights.Book
	// caches are the tokens of memory of each service's upstreams.
	caches map[string]int
	sent   []Sent
	store  *store
	// peers is what peers have said lately.
	peers peerNews
	// pace is how first tokens compare with their estimates.
	pace pace
	// sparse says that the fleet is too large for each VM to know what all others do.
	sparse bool
	// disturbed is when the platform was seen to be disturbed.
	disturbed weights.Disturbances
}

// New returns an empty Table.
func New(opts Options) *Table {
	opts.Policy = opts.Policy.withDefaults()
	return &Table{
		opts:    opts,
		members: make(map[string]*member),
		named:   weights.NewBook(),
		caches:  make(map[string]int),
		peers:   newPeerNews(),
	}
}

// SetCacheTokens tells how many tokens the engines of a service keep.
func (t *Table) SetCacheTokens(service string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caches[service] = tokens
}

// MaxFullViewVMs is the size of a fleet over which a VM no longer hears from all
// others several times a second.
const MaxFullViewVMs = 12

// SetFleetSize tells how many VMs there are.
func (t *Table) SetFleetSize(vms int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sparse = vms > MaxFullViewVMs
	t.peers.fleet = vms
}

// PartialView reports whether the fleet is so large that prompts go by agreement.
func (t *Table) PartialView() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sparse
}

// RecordDisruption says that the platform's store does not answer.
func (t *Table) RecordDisruption(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disturbed = t.disturbed.With(now)
}

// Change is what the store's news did to one upstream.
type Change struct {
	Upstream Upstream
	Kind     ChangeKind
	// EndedIncarnation is the incarnation that has ended, or empty.
	EndedIncarnation string
}

// ChangeKind tells the changes apart.
type ChangeKind string

// The kinds of changes.
const (
	Added     ChangeKind = "added"
	Changed   ChangeKind = "changed"
	Restarted ChangeKind = "restarted"
	Removed   ChangeKind = "removed"
	Expired   ChangeKind = "lapsed"
)

// Replace takes the store's whole list. Upstreams that it lacks are gone, or,
// with lapse, stay a last resort for a moment: after an outage of the store the
// entries of live upstreams come back.
func (t *Table) Replace(now time.Time, list []Upstream, lapse bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		changes = t.put(changes, now, u)
	}
	for id := range t.members {
		if !listed[id] {
			changes = t.drop(changes, now, id, lapse)
		}
	}
	return changes
}

// Put takes one upstream's entry.
func (t *Table) Put(now time.Time, u Upstream) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(nil, now, u)
}

// Remove takes the end of an upstream's entry.
func (t *Table) Remove(now time.Time, id string, lapse bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drop(nil, now, id, lapse)
}

func (t *Table) put(changes []Change, now time.Time, u Upstream) []Change {
	m := t.members[u.ID]
	if m == nil {
		t.members[u.ID] = newMember(now, u)
		return append(changes, Change{Upstream: u, Kind: Added})
	}
	old := m.upstream
	m.lapsed = time.Time{}
	if old == u {
		return changes
	}
	m.upstream = u
	switch {
	case old.Born != u.Born || old.Address != u.Address:
		own := m.own
		*m = *newMember(now, u)
		m.own = own
		return append(changes, Change{Upstream: u, Kind: Restarted, EndedIncarnation: old.Incarnation()})
	case old.Version > u.Version:
		// What an answer or a report said of the weights is newer than the list.
		m.upstream.Version = old.Version
	case old.Version != u.Version:
		m.kept = kept.New()
		m.loaded(now)
	}
	return append(changes, Change{Upstream: u, Kind: Changed})
}

func (t *Table) drop(changes []Change, now time.Time, id string, lapse bool) []Change {
	m := t.members[id]
	if m == nil {
		return changes
	}
	if lapse && !m.upstream.Leaving {
		if m.lapsed.IsZero() {
			m.lapsed = now
			changes = append(changes, Change{Upstream: m.upstream, Kind: Expired, EndedIncarnation: m.upstream.Incarnation()})
		}
		return changes
	}
	delete(t.members, id)
	return append(changes, Change{Upstream: m.upstream, Kind: Removed, EndedIncarnation: m.upstream.Incarnation()})
}

// RemoveExpired drops the upstreams whose entries have not come back.
func (t *Table) RemoveExpired(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for id, m := range t.members {
		if !m.lapsed.IsZero() && now.Sub(m.lapsed) > lapseHold {
			changes = t.drop(changes, now, id, false)
		}
	}
	return changes
}

// All returns the upstreams, ordered by ID.
func (t *Table) All() []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Upstream, 0, len(t.members))
	for _, m := range t.members {
		list = append(list, m.upstream)
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// ReportUnreachable says that a connection to the upstream failed. It is passed over
// for a time that doubles with each failure.
func (t *Table) ReportUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil && !m.avoid.After(now) {
		m.avoid = now.Add(min(avoidMost, avoidLeast<<m.failures))
		m.failures = min(m.failures+1, 4)
	}
}

// ReportMismatch says that the upstream is not the one listed at its address.
func (t *Table) ReportMismatch(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.avoid = now.Add(avoidMost)
	}
}

// Avoided returns the upstreams that this VM passes over.
func (t *Table) Avoided(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, m := range t.members {
		if m.avoid.After(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RespondedWithin reports whether the upstream has said anything lately.
func (t *Table) RespondedWithin(now time.Time, id string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	return m != nil && !m.heard.IsZero() && now.Sub(m.heard) < d
}

// ReportReachable says that the upstream has answered.
func (t *Table) ReportReachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.heard = now
		m.avoid = time.Time{}
		m.failures = 0
	}
}
