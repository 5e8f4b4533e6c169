package membership

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

func factKey(f *peerrpc.Fact) string { return f.GetKind() + "/" + f.GetName() }

// SetFact sets a fact and spreads it. Its version is the present time in Unix
// milliseconds, or one more than the known version if that is higher. A
// lifetime of 0 means that the fact does not expire.
func (t *Table) SetFact(now time.Time, kind, name string, value []byte, lifetime time.Duration) {
	t.mu.Lock()
	f := &peerrpc.Fact{Kind: kind, Name: name, Value: value, Version: uint64(now.UnixMilli())}
	if lifetime > 0 {
		f.ExpiresUnixMs = now.Add(lifetime).UnixMilli()
	}
	if old := t.facts[factKey(f)]; old != nil {
		f.Version = max(f.Version, old.GetVersion()+1)
	}
	t.storeFact(f)
	t.mu.Unlock()
	t.notifyListeners([]*peerrpc.Fact{f})
}

// storeFact stores a fact and queues it for sending. The caller holds the lock.
func (t *Table) storeFact(f *peerrpc.Fact) {
	t.facts[factKey(f)] = f
	t.queueUpdate("fact/"+factKey(f), &update{fact: f})
}

// notifyListeners calls the listeners for each fact. No lock may be held.
func (t *Table) notifyListeners(facts []*peerrpc.Fact) {
	for _, f := range facts {
		for _, listener := range t.listeners {
			listener(f)
		}
	}
}

// Fact returns the fact with a kind and a name.
func (t *Table) Fact(kind, name string) (*peerrpc.Fact, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, found := t.facts[kind+"/"+name]
	return f, found
}

// FactCount returns the number of known facts.
func (t *Table) FactCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.facts)
}

// mergeFact stores a received fact if it is newer than the known one and has
// not expired, and reports whether it did. The caller holds the lock.
func (t *Table) mergeFact(now time.Time, f *peerrpc.Fact) bool {
	old := t.facts[factKey(f)]
	if old != nil && old.GetVersion() >= f.GetVersion() {
		return false
	}
	if f.GetExpiresUnixMs() > 0 && f.GetExpiresUnixMs() <= now.UnixMilli() {
		return false
	}
	t.storeFact(f)
	return true
}
