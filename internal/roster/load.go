package roster

import (
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/kept"
)

// Sent says that a prompt was sent to an upstream.
type Sent struct {
	Upstream string `json:"upstream" cbor:"1,keyasint"`
	// Parts are its shared parts, Unshared the tokens of the request alone.
	Parts    []Part `json:"parts" cbor:"2,keyasint"`
	Unshared int    `json:"own" cbor:"3,keyasint"`
}

const maxSent = 256

// InFlight is one request's time on an upstream.
type InFlight struct {
	table    *Table
	id       string
	load     Load
	first    sync.Once
	end      sync.Once
	upstream Upstream
	began    time.Time
}

// Start counts a request on an upstream, and takes its shared parts for kept there.
func (t *Table) Start(now time.Time, u Upstream, load Load, shared []Part, own int) *InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[u.ID]; m != nil {
		m.own = m.own.plus(load)
		if !t.sparse {
			m.kept.Use(now, shared, own, t.caches[u.Service])
		}
	}
	if !t.sparse && len(shared) > 0 && len(t.sent) < maxSent {
		t.sent = append(t.sent, Sent{u.ID, shared, own})
	}
	return &InFlight{table: t, id: u.ID, load: load, upstream: u, began: now}
}

// FirstToken says that the first token has come. waitMS is the wait that had been
// estimated.
func (s *InFlight) FirstToken(now time.Time, waitMS float64) {
	s.first.Do(func() {
		s.take(Load{WaitingTokens: -s.load.WaitingTokens})
		s.table.mu.Lock()
		defer s.table.mu.Unlock()
		s.table.pace = s.table.pace.with(now.Sub(s.began), s.table.opts.Policy.StartMS, waitMS)
	})
}

// Finish says that the request has left the upstream. It may be called twice.
func (s *InFlight) Finish() {
	s.first.Do(func() { s.take(Load{WaitingTokens: -s.load.WaitingTokens}) })
	s.end.Do(func() { s.take(Load{Requests: -s.load.Requests, Tokens: -s.load.Tokens}) })
}

func (s *InFlight) take(l Load) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	if m := s.table.members[s.id]; m != nil {
		m.own = m.own.plus(l)
		m.own.Requests = max(0, m.own.Requests)
		m.own.Tokens = max(0, m.own.Tokens)
		m.own.WaitingTokens = max(0, m.own.WaitingTokens)
	}
}

// OwnLoad returns what this VM has on each upstream, without the idle ones.
func (t *Table) OwnLoad() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, m := range t.members {
		if m.own.Requests > 0 {
			loads[id] = m.own
		}
	}
	return loads
}

// DrainSent returns what has been sent since the last call, and forgets it.
func (t *Table) DrainSent() []Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.sent
	t.sent = nil
	return sent
}

// SetPeerState takes what a peer has on the upstreams and what it has sent there.
func (t *Table) SetPeerState(now time.Time, peer string, news PeerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.take(now, peer, news)
	if t.sparse {
		return
	}
	for _, s := range news.Sent {
		if m := t.members[s.Upstream]; m != nil {
			m.kept.Use(now, s.Parts, s.Unshared, t.caches[m.upstream.Service])
		}
	}
}

// total is what this VM and its peers have on the upstream.
func (t *Table) total(m *member) Load { return m.own.plus(t.peers.load(m.upstream.ID)) }

// TotalLoad returns what this VM and its peers have on each upstream.
func (t *Table) TotalLoad(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers.expire(now)
	loads := make(map[string]Load, len(t.members))
	for id, m := range t.members {
		loads[id] = t.total(m)
	}
	return loads
}

// CachedPart is what an engine says of one part that it keeps.
type CachedPart struct {
	// ID has the wall's name before it where there is a wall.
	ID string
	// Tokens are those kept now; 0 stands for none.
	Tokens int
	// Version is that of the weights which made it.
	Version int64
}

// IsolatedID returns the name of a part behind a wall, under which organisations
// that share nothing keep their parts apart. The empty wall is everybody's.
func IsolatedID(wall, id string) string {
	if wall == "" {
		return id
	}
	return wall + "/" + id
}

// SetCached takes what an engine says of its parts.
func (t *Table) SetCached(now time.Time, id string, born int64, parts []CachedPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Born != born {
		return
	}
	m.kept.Follow()
	for _, p := range parts {
		if p.Version == m.upstream.Version {
			m.kept.Set(now, Part{ID: p.ID, Tokens: p.Tokens})
		}
	}
}

// ForgetCached forgets the parts of an engine.
func (t *Table) ForgetCached(id string, born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil && m.upstream.Born == born {
		m.kept = kept.New()
	}
}
