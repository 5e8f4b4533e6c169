// Package roster holds the upstreams of host-and-path traffic, the load that
// this VM and its peers put on them and the prompt parts that they have cached.
// Package selection uses it to pick the upstream for a request. For the router's
// own API, packages upstream and placement do the same.
//
// # Usage
//
//	table := roster.New(roster.Options{})
//	table.Replace(now, upstreams, false)
//	choice, found := table.Pick(now, roster.Query{Service: "lm", Parts: parts})
//	request := table.Start(now, choice.Upstream, load, parts, unsharedTokens)
//	defer request.Finish()
//
// A Table is safe for concurrent use. Methods that depend on the time take it
// as an argument.
package roster

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/reachability"
	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

// Part is a run of prompt tokens that several requests share.
type Part = promptcache.Part

// Upstream is a model engine or an instance of a plain service.
type Upstream struct {
	ID, Service, Address, DataCentre string
	Slots                            int
	// Leaving reports that the upstream takes no new requests.
	Leaving bool
	// Born distinguishes the incarnations of one ID.
	Born int64
	// Model and Version identify the weights of an engine. Both are zero for
	// plain services.
	Model   string
	Version int64
	// Build is the version of the upstream's software, or empty if it is unknown.
	Build string
}

// Incarnation returns the name of this start of the upstream.
func (u Upstream) Incarnation() string { return u.ID + "@" + strconv.FormatInt(u.Born, 10) }

// Generation returns the generation of the parts that the upstream caches.
func (u Upstream) Generation() promptcache.Generation {
	return promptcache.Generation{Version: u.Version, Build: u.Build}
}

// Load is the work that requests put on an upstream.
type Load = peerload.Load

// expiredEntryHold is how long an upstream whose entry in the platform's
// store expired during an outage of the store stays a last resort. Entries
// of live upstreams are back within 2 s, and reach this VM a little later.
const expiredEntryHold = 2300 * time.Millisecond

// member is an upstream with its state on this VM.
type member struct {
	upstream Upstream
	// idHash is the hash of the ID, for rendezvous weights.
	idHash  uint64
	ownLoad Load
	cached  *promptcache.Estimate
	reach   reachability.State
	// leavingSince is when the upstream was first seen to leave, or zero.
	leavingSince time.Time
	// buildsDiffer is set if entries of this incarnation name different builds.
	buildsDiffer bool
	// entryExpiredAt is when the entry expired during a store outage, or zero.
	entryExpiredAt time.Time
	loading        weights.Loading
	// updatedAt is when a response or a report of the upstream last showed a
	// new version.
	updatedAt time.Time
	// firstSeen is when this incarnation or its present weights were first seen.
	firstSeen time.Time
	// capacity is what is learnt of this incarnation.
	capacity Capacity
}

func newMember(now time.Time, u Upstream) *member {
	m := &member{upstream: u, firstSeen: now, idHash: costmodel.Hash(u.ID), cached: promptcache.New()}
	if u.Leaving {
		m.leavingSince = now
	}
	return m
}

// Options configures a Table. The zero value works.
type Options struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// Policy holds the weights of the costs.
	Policy costmodel.Policy
	// VersionLimits limit how long an engine with older weights gets requests
	// after a newer version became the desired one.
	VersionLimits VersionLimits
	// Seed differs between VMs, so that they order upstreams of equal cost differently.
	Seed uint64
	// Observer gets what requests show of the upstreams' capacity. It may be nil. It is
	// called without the table's lock.
	Observer Observer
}

// Table holds the upstreams and picks among them.
type Table struct {
	opts Options

	mu      sync.Mutex
	members map[string]*member
	// picks counts the calls of Pick.
	picks uint64
	// candidates is the list of the last pick, whose memory the next one uses.
	candidates []costmodel.Candidate
	// ended holds when incarnations were last seen to have ended. heldBack holds
	// entries of such incarnations in a copy of the store, by ID.
	ended    map[string]time.Time
	heldBack map[string]heldEntry
	// desired holds the versions that operators have set.
	desired *weights.History
	// cacheTokens is the cache size in tokens of each service's upstreams.
	cacheTokens map[string]int
	// sent are the prompts sent since the last call of DrainSent.
	sent        []Sent
	promptStore *promptStore
	// peers holds the recent states of the peers.
	peers *peerload.Peers
	// slowdown is the ratio of the measured to the estimated waits for first
	// tokens.
	slowdown costmodel.Slowdown
	// partialView reports that the fleet is too large for each VM to receive
	// the states of all others in time.
	partialView bool
	// disruptions are the periods in which the platform's store did not
	// respond.
	disruptions weights.Disruptions
}

// New returns an empty Table.
func New(opts Options) *Table {
	opts.Policy = opts.Policy.WithDefaults()
	return &Table{
		opts:        opts,
		members:     make(map[string]*member),
		ended:       make(map[string]time.Time),
		heldBack:    make(map[string]heldEntry),
		desired:     weights.NewHistory(),
		cacheTokens: make(map[string]int),
		peers:       peerload.New(),
	}
}

// SetCacheTokens sets the cache size, in tokens, of the engines of a service.
func (t *Table) SetCacheTokens(service string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cacheTokens[service] = tokens
}

// MaxFullViewVMs is the largest fleet in which a VM receives the states of all
// others several times a second. In a larger fleet each VM has only a partial
// view.
const MaxFullViewVMs = 12

// SetFleetSize sets the number of VMs.
func (t *Table) SetFleetSize(vms int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.partialView = vms > MaxFullViewVMs
	t.peers.SetFleetSize(vms)
}

// PartialView reports whether the fleet is larger than MaxFullViewVMs, so that
// prompts are placed by rendezvous hashing.
func (t *Table) PartialView() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partialView
}

// RecordDisruption records that the platform's store has not responded since from. It
// extends the time for which old weights may be used, so that from must be certain.
func (t *Table) RecordDisruption(from, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disruptions = t.disruptions.With(from, now)
}

// Change is a change of one upstream in the platform's store.
type Change struct {
	Upstream Upstream
	Kind     ChangeKind
	// EndedIncarnation is the incarnation that has ended, or empty.
	EndedIncarnation string
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes. Expired means that the entry is missing after a store
// outage and the upstream is kept as a last resort.
const (
	Added     ChangeKind = "added"
	Changed   ChangeKind = "changed"
	Restarted ChangeKind = "restarted"
	Removed   ChangeKind = "removed"
	Expired   ChangeKind = "lapsed"
)

// Replace sets the complete list of upstreams. Upstreams that it lacks are
// removed. With keepExpired they stay a last resort until RemoveExpired removes
// them, since the entries of live upstreams come back after a store outage. A
// leaving upstream is removed in any case. Replace returns what has changed.
func (t *Table) Replace(now time.Time, list []Upstream, keepExpired bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.heldBack)
	var changes []Change
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
		changes = t.putEntry(changes, now, u)
	}
	return t.removeUnlisted(changes, now, listed, keepExpired)
}

func (t *Table) removeUnlisted(changes []Change, now time.Time, listed map[string]bool, keepExpired bool) []Change {
	for id := range t.members {
		if !listed[id] {
			changes = t.removeEntry(changes, now, id, keepExpired)
		}
	}
	return changes
}

// Put adds or updates one upstream.
func (t *Table) Put(now time.Time, u Upstream) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.heldBack, u.ID)
	return t.putEntry(nil, now, u)
}

// Remove removes one upstream. With keepExpired it stays a last resort as in
// Replace.
func (t *Table) Remove(now time.Time, id string, keepExpired bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.heldBack, id)
	return t.removeEntry(nil, now, id, keepExpired)
}

func (t *Table) putEntry(changes []Change, now time.Time, u Upstream) []Change {
	m := t.members[u.ID]
	delete(t.ended, u.Incarnation())
	if m == nil {
		t.members[u.ID] = newMember(now, u)
		return append(changes, Change{Upstream: u, Kind: Added})
	}
	old := m.upstream
	m.entryExpiredAt = time.Time{}
	if old.Incarnation() == u.Incarnation() {
		u.Build = m.resolveBuild(u.Build)
	}
	if old == u {
		return changes
	}
	m.upstream = u
	if u.Leaving && m.leavingSince.IsZero() {
		m.leavingSince = now
	}
	switch {
	case old.Born != u.Born || old.Address != u.Address:
		own := m.ownLoad
		t.recordEnd(now, old)
		*m = *newMember(now, u)
		m.ownLoad = own
		return append(changes, Change{Upstream: u, Kind: Restarted, EndedIncarnation: old.Incarnation()})
	case old.Version > u.Version:
		// The version observed in a response or a report is newer than the
		// list.
		m.upstream.Version = old.Version
	case old.Version != u.Version:
		m.cached = promptcache.New()
		m.recordNewWeights(now)
	}
	return append(changes, Change{Upstream: u, Kind: Changed})
}

// resolveBuild returns the build of an incarnation whose entry now names the given
// one, which may be empty. An incarnation has one build: if its entries name two, the
// build is unknown.
func (m *member) resolveBuild(named string) string {
	known := m.upstream.Build
	if known != "" && named != "" && named != known {
		m.buildsDiffer = true
	}
	switch {
	case m.buildsDiffer:
		return ""
	case named == "":
		return known
	default:
		return named
	}
}

// BuildOf returns the build of the upstream that responds to a request sent to u, or ""
// if it is unknown. It is unknown also if another incarnation has the ID now: the request
// names the ID only, so either may have got it.
func (t *Table) BuildOf(u Upstream) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch m := t.members[u.ID]; {
	case m == nil:
		return u.Build
	case m.upstream.Incarnation() != u.Incarnation():
		return ""
	default:
		return m.upstream.Build
	}
}

func (t *Table) removeEntry(changes []Change, now time.Time, id string, keepExpired bool) []Change {
	m := t.members[id]
	if m == nil {
		return changes
	}
	if keepExpired && !m.upstream.Leaving {
		if m.entryExpiredAt.IsZero() {
			m.entryExpiredAt = now
			changes = append(changes, Change{Upstream: m.upstream, Kind: Expired, EndedIncarnation: m.upstream.Incarnation()})
		}
		return changes
	}
	delete(t.members, id)
	t.recordEnd(now, m.upstream)
	return append(changes, Change{Upstream: m.upstream, Kind: Removed, EndedIncarnation: m.upstream.Incarnation()})
}

// RemoveExpired removes the upstreams whose entries have not come back, and adds
// entries that were held back and have not expired.
func (t *Table) RemoveExpired(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.admitHeldBack(now)
	for id, m := range t.members {
		if !m.entryExpiredAt.IsZero() && now.Sub(m.entryExpiredAt) > expiredEntryHold {
			changes = t.removeEntry(changes, now, id, false)
		}
	}
	return changes
}

// All returns the upstreams in the order of their IDs.
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

// ReportUnreachable records that a connection to the upstream failed, see
// reachability.State.WithFailure.
func (t *Table) ReportUnreachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.reach = m.reach.WithFailure(now)
	}
}

// ReportSilent records that a request to the upstream has been sent elsewhere as well,
// since the upstream has sent nothing for it since a time, see
// reachability.State.WithSilence.
func (t *Table) ReportSilent(now time.Time, id string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.reach = m.reach.WithSilence(now, since)
	}
}

// ReportMismatch records that a different upstream responds at the address of
// this one, which is then avoided for the maximum period.
func (t *Table) ReportMismatch(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.reach = m.reach.WithMismatch(now)
	}
}

// Avoided returns the IDs of the upstreams that this VM avoids.
func (t *Table) Avoided(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, m := range t.members {
		if m.reach.Avoided(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RespondedWithin reports whether the upstream has responded within the last d.
func (t *Table) RespondedWithin(now time.Time, id string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	return m != nil && m.reach.RespondedWithin(now, d)
}

// ReportReachable records a response of the upstream. The upstream is no longer
// avoided.
func (t *Table) ReportReachable(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.reach = m.reach.WithResponse(now)
	}
}
