package roster

import (
	"sync"
	"time"
)

// Sent says that a prompt's shared parts were sent to an upstream.
type Sent struct {
	Upstream string
	Parts    []Part
}

const maxSent = 256

// Stay is one request's time on an upstream.
type Stay struct {
	table    *Table
	id       string
	load     Load
	first    sync.Once
	end      sync.Once
	upstream Upstream
}

// Begin counts a request on an upstream, and takes its shared parts for kept there.
func (t *Table) Begin(now time.Time, u Upstream, load Load, shared []Part) *Stay {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[u.ID]; m != nil {
		m.own = m.own.plus(load)
		m.kept.use(now, shared, t.caches[u.Service])
	}
	if len(shared) > 0 && len(t.sent) < maxSent {
		t.sent = append(t.sent, Sent{u.ID, shared})
	}
	return &Stay{table: t, id: u.ID, load: load, upstream: u}
}

// First says that the first token has come.
func (s *Stay) First() {
	s.first.Do(func() { s.take(Load{WaitingTokens: -s.load.WaitingTokens}) })
}

// End says that the request has left the upstream. It may be called twice.
func (s *Stay) End() {
	s.First()
	s.end.Do(func() { s.take(Load{Requests: -s.load.Requests, Tokens: -s.load.Tokens}) })
}

func (s *Stay) take(l Load) {
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

// TakeSent returns what has been sent since the last call, and forgets it.
func (t *Table) TakeSent() []Sent {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := t.sent
	t.sent = nil
	return sent
}

// PeerNews takes what a peer has on the upstreams and what it has sent there.
func (t *Table) PeerNews(now time.Time, peer string, loads map[string]Load, sent []Sent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, m := range t.members {
		if load, found := loads[id]; found {
			m.peers[peer] = peerLoad{load, now}
			continue
		}
		delete(m.peers, peer)
	}
	for _, s := range sent {
		if m := t.members[s.Upstream]; m != nil {
			m.kept.use(now, s.Parts, t.caches[m.upstream.Service])
		}
	}
}

// total is what this VM and its peers have on the upstream.
func (m *member) total(now time.Time) Load {
	sum := m.own
	for _, p := range m.peers {
		if now.Sub(p.at) < peerLoadLifetime {
			sum = sum.plus(p.load)
		}
	}
	return sum
}

// keptParts estimates which parts an upstream keeps: those used last, up to
// the share of its memory that running requests leave.
type keptParts struct {
	used   map[string]keptPart
	tokens int
}

type keptPart struct {
	tokens int
	at     time.Time
}

// keptShare is the part of an engine's memory that is counted on for kept parts.
const keptShare = 0.7

func newKeptParts() *keptParts { return &keptParts{used: make(map[string]keptPart)} }

func (k *keptParts) use(now time.Time, parts []Part, capacity int) {
	for _, p := range parts {
		old, known := k.used[p.ID]
		if !known {
			k.tokens += p.Tokens
		}
		if now.After(old.at) {
			k.used[p.ID] = keptPart{p.Tokens, now}
		}
	}
	for float64(k.tokens) > keptShare*float64(capacity) && len(k.used) > 1 {
		oldest := ""
		for id, p := range k.used {
			if oldest == "" || p.at.Before(k.used[oldest].at) {
				oldest = id
			}
		}
		k.tokens -= k.used[oldest].tokens
		delete(k.used, oldest)
	}
}

// have returns how many tokens of the parts, from the first on, are kept.
func (k *keptParts) have(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		if _, known := k.used[p.ID]; !known {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// TotalLoad returns what this VM and its peers have on each upstream.
func (t *Table) TotalLoad(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load, len(t.members))
	for id, m := range t.members {
		loads[id] = m.total(now)
	}
	return loads
}
