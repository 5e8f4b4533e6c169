package roster

import (
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Sent reports that a prompt was sent to an upstream.
type Sent struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// Parts are the shared parts of the prompt. Unshared is the number of its
	// other tokens.
	Parts    []Part `json:"parts" cbor:"2,keyasint"`
	Unshared int    `json:"own" cbor:"3,keyasint"`
}

// maxSent limits the prompts recorded between two calls of DrainSent. Further
// ones are not reported.
const maxSent = 256

// InFlight is a request on an upstream. It is safe for concurrent use.
type InFlight struct {
	table          *Table
	id             string
	load           Load
	firstTokenOnce sync.Once
	finishOnce     sync.Once
	startedAt      time.Time
	// incarnation is the upstream's, and inFlight the number of requests there at the
	// start, this one included.
	incarnation string
	inFlight    int
	pace        pace
}

// Start counts a request on an upstream and records its shared parts as cached
// there. With a partial view it only counts the request, since nothing uses the
// record.
func (t *Table) Start(now time.Time, u Upstream, load Load, shared []Part, unshared int) *InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &InFlight{table: t, id: u.ID, load: load, startedAt: now, incarnation: u.Incarnation()}
	if m := t.members[u.ID]; m != nil {
		m.ownLoad = m.ownLoad.Plus(load)
		f.inFlight = t.memberLoad(m).Requests
		if !t.partialView {
			m.cached.RecordUse(now, shared, unshared, t.cacheTokens[u.Service])
		}
	}
	if !t.partialView && len(shared) > 0 && len(t.sent) < maxSent {
		t.sent = append(t.sent, Sent{u.ID, shared, unshared})
	}
	return f
}

// FirstToken records the arrival of the first token. waitMS is the WaitMS of
// the Choice. Only the first call has an effect, and none after Finish.
func (f *InFlight) FirstToken(now time.Time, waitMS float64) {
	f.firstTokenOnce.Do(func() {
		f.addLoad(Load{WaitingTokens: -f.load.WaitingTokens})
		f.table.mu.Lock()
		defer f.table.mu.Unlock()
		f.table.slowdown = f.table.slowdown.With(now.Sub(f.startedAt), f.table.opts.Policy.IdleFirstTokenMS, waitMS)
	})
}

// Finish records that the request has left the upstream. It may be called more
// than once.
func (f *InFlight) Finish() {
	f.firstTokenOnce.Do(func() { f.addLoad(Load{WaitingTokens: -f.load.WaitingTokens}) })
	f.finishOnce.Do(func() { f.addLoad(Load{Requests: -f.load.Requests, Tokens: -f.load.Tokens}) })
}

// addLoad changes this VM's load on the upstream, which never falls below zero.
func (f *InFlight) addLoad(change Load) {
	f.table.mu.Lock()
	defer f.table.mu.Unlock()
	if m := f.table.members[f.id]; m != nil {
		m.ownLoad = m.ownLoad.Plus(change)
		m.ownLoad.Requests = max(0, m.ownLoad.Requests)
		m.ownLoad.Tokens = max(0, m.ownLoad.Tokens)
		m.ownLoad.WaitingTokens = max(0, m.ownLoad.WaitingTokens)
	}
}

// OwnLoad returns this VM's load on each upstream. Idle upstreams are left out.
func (t *Table) OwnLoad() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, m := range t.members {
		if m.ownLoad.Requests > 0 {
			loads[id] = m.ownLoad
		}
	}
	return loads
}

// DrainSent returns the prompts sent since the last call and clears the list.
func (t *Table) DrainSent() []Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.sent
	t.sent = nil
	return sent
}

// PeerState is the latest report of a peer about its own requests.
type PeerState struct {
	// Loads are the peer's loads by upstream ID. Idle upstreams are left out.
	Loads map[string]Load
	// Sent are the prompts that the peer has sent lately.
	Sent []Sent
	// Avoided are the IDs of upstreams that the peer could not reach lately.
	Avoided []string
}

// SetPeerState replaces the state last received from a peer and records the
// prompts that the peer has sent. With a partial view the prompts are ignored.
func (t *Table) SetPeerState(now time.Time, peer string, state PeerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Set(now, peer, peerload.State{Loads: state.Loads, Avoided: state.Avoided})
	if t.partialView {
		return
	}
	for _, s := range state.Sent {
		if m := t.members[s.Upstream]; m != nil {
			m.cached.RecordUse(now, s.Parts, s.Unshared, t.cacheTokens[m.upstream.Service])
		}
	}
}

// memberLoad returns the load of this VM and its peers on an upstream.
func (t *Table) memberLoad(m *member) Load { return m.ownLoad.Plus(t.peers.Load(m.upstream.ID)) }

// TotalLoad returns the load of this VM and its peers on each upstream.
func (t *Table) TotalLoad(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.Expire(now)
	loads := make(map[string]Load, len(t.members))
	for id, m := range t.members {
		loads[id] = t.memberLoad(m)
	}
	return loads
}

// CachedPart is a prompt part that an engine or the prompt store reports as
// cached or evicted.
type CachedPart struct {
	// ID begins with the cache key if there is one, see IsolatedID.
	ID string
	// Tokens is the number of tokens cached now; 0 means none.
	Tokens int
	// Version is the version of the weights that computed the part, Build the build of
	// the engine.
	Version int64
	Build   string
}

// IsolatedID returns the ID of a part under a cache key. Organisations with
// different keys never share cached parts.
func IsolatedID(key, id string) string {
	if key == "" {
		return id
	}
	return key + "/" + id
}

// SetCached records what an engine reports about its cached parts. From then on
// its evictions are no longer guessed. The report is ignored if born is of
// another incarnation, and so are parts of other generations.
func (t *Table) SetCached(now time.Time, id string, born int64, parts []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Born != born {
		return
	}
	m.cached.ExpectEvictionReports()
	for _, p := range parts {
		if (promptcache.Generation{Version: p.Version, Build: p.Build}) == m.upstream.Generation() {
			m.cached.Set(now, Part{ID: p.ID, Tokens: p.Tokens})
		}
	}
}

// ForgetCached removes all cached parts of an engine. It is ignored if born is
// of another incarnation.
func (t *Table) ForgetCached(id string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil && m.upstream.Born == born {
		m.cached = promptcache.New()
	}
}
