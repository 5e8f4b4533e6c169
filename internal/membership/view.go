package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// maxParallelCalls limits the concurrent calls of ForEachPeer.
const maxParallelCalls = 32

// Members returns all known members, this node included, ordered by name.
func (t *Table) Members() []*peerrpc.Member {
	return t.filterMembers(func(*peerrpc.Member) bool { return true })
}

// Serving returns the live members, which may serve callers, ordered by name.
func (t *Table) Serving() []*peerrpc.Member {
	return t.filterMembers(func(m *peerrpc.Member) bool { return m.GetState() == live })
}

// ServingCount returns the number of live members, this node included.
func (t *Table) ServingCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	if t.self.GetState() == live {
		count++
	}
	for _, r := range t.members {
		if r.member.GetState() == live {
			count++
		}
	}
	return count
}

// Active returns the members that are neither leaving nor dead: joining, live
// and suspect ones, ordered by name.
func (t *Table) Active() []*peerrpc.Member {
	return t.filterMembers(func(m *peerrpc.Member) bool { return m.GetState() <= suspect })
}

// Reachable returns all members that are not dead, ordered by name.
func (t *Table) Reachable() []*peerrpc.Member {
	return t.filterMembers(func(m *peerrpc.Member) bool { return m.GetState() != dead })
}

// ForEachPeer calls f for every reachable member except this node, up to 32 at a
// time, and returns when all calls have returned.
func (t *Table) ForEachPeer(f func(*peerrpc.Member)) {
	self := t.Self().GetName()
	slots := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for _, m := range t.Reachable() {
		if m.GetName() == self {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(m)
		})
	}
	wg.Wait()
}

// filterMembers returns the members that include accepts, this node among them,
// ordered by name.
func (t *Table) filterMembers(include func(*peerrpc.Member) bool) []*peerrpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerrpc.Member
	if include(t.self) {
		list = append(list, proto.Clone(t.self).(*peerrpc.Member))
	}
	for _, r := range t.members {
		if include(r.member) {
			list = append(list, r.member)
		}
	}
	slices.SortFunc(list, func(a, b *peerrpc.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}

// Live reports whether a node is known in the given incarnation and not dead.
func (t *Table) Live(name string, incarnation uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.GetName() {
		return incarnation == t.self.GetIncarnation()
	}
	r, known := t.members[name]
	return known && r.member.GetState() != dead && r.member.GetIncarnation() == incarnation
}

// successor returns the member whose name follows this node's in a ring of all
// members ordered by name, without those in the excluded states.
func (t *Table) successor(excluded ...peerrpc.MemberState) (*peerrpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first, next *peerrpc.Member
	for name, r := range t.members {
		if slices.Contains(excluded, r.member.GetState()) {
			continue
		}
		if first == nil || name < first.GetName() {
			first = r.member
		}
		if name > t.self.GetName() && (next == nil || name < next.GetName()) {
			next = r.member
		}
	}
	if next == nil {
		next = first
	}
	return next, next != nil
}

// randomDead returns a random dead member.
func (t *Table) randomDead() (*peerrpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerrpc.Member
	for _, r := range t.members {
		if r.member.GetState() == dead {
			list = append(list, r.member)
		}
	}
	if len(list) == 0 {
		return nil, false
	}
	return list[rand.IntN(len(list))], true
}
