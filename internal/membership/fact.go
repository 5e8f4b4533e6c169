package membership

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

func factKey(f *peerrpc.Fact) string { return f.GetKind() + "/" + f.GetName() }

// SetFact states a fact and spreads it. Its version is set above any known one.
func (t *Table) SetFact(now time.Time, kind, name string, value []byte, lifetime time.Duration) {
	t.mu.Lock()
	f := &peerrpc.Fact{Kind: kind, Name: name, Value: value, Version: uint64(now.UnixMilli())}
	if lifetime > 0 {
		f.ExpiresUnixMs = now.Add(lifetime).UnixMilli()
	}
	if old := t.facts[factKey(f)]; old != nil {
		f.Version = max(f.Version, old.GetVersion()+1)
	}
	t.takeFact(f)
	t.mu.Unlock()
	t.tell([]*peerrpc.Fact{f})
}

func (t *Table) takeFact(f *peerrpc.Fact) {
	t.facts[factKey(f)] = f
	t.queue("fact/"+factKey(f), &update{fact: f})
}

func (t *Table) tell(facts []*peerrpc.Fact) {
	for _, f := range facts {
		for _, listener := range t.listeners {
			listener(f)
		}
	}
}

// Fact returns the fact of a kind and name.
func (t *Table) Fact(kind, name string) (*peerrpc.Fact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.facts[kind+"/"+name]
	return f, found
}

// FactCount returns the number of facts that are known.
func (t *Table) FactCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.facts)
}

func (t *Table) mergeFact(now time.Time, f *peerrpc.Fact) bool {
	old := t.facts[factKey(f)]
	if old != nil && old.GetVersion() >= f.GetVersion() {
		return false
	}
	if f.GetExpiresUnixMs() > 0 && f.GetExpiresUnixMs() <= now.UnixMilli() {
		return false
	}
	t.takeFact(f)
	return true
}
