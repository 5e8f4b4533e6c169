// Package membership maintains the list of live nodes of package node and spreads
// facts among them. Entry VMs use package beacon instead.
//
// It follows SWIM (Das, Gupta, Motivala, 2002): per period each node sends a
// heartbeat to one other node and one to its successor. If a node does not
// respond, other nodes are asked to send it a heartbeat; if these fail too, the
// node becomes suspect and later dead. Updates are carried by heartbeats, and
// new ones are also pushed at once to the successor and a few random nodes. A
// node's cost does not depend on the size of the fleet.
//
// # Usage
//
//	table := membership.NewTable(self, membership.TableOptions{})
//	agent := membership.NewAgent(table, transport, membership.AgentOptions{Now: time.Now})
//	go agent.Run(ctx)
//	for _, m := range table.Serving() {
//		fmt.Println(m.GetName())
//	}
//
// A Table is safe for concurrent use. Functions that depend on the present time
// take it as an argument.
package membership

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	defaultSuspicionTimeout = 2 * time.Second
	defaultTombstoneTTL     = 2 * time.Minute
	maxUpdatesPerSend       = 64
	// spreadFactor times about log2 of the fleet's size is how often a node sends
	// an update.
	spreadFactor = 3
)

// The states of a member. A later one replaces an earlier one that has the same
// incarnation and refutation.
const (
	joining = peerrpc.MemberState_MEMBER_STATE_JOINING
	live    = peerrpc.MemberState_MEMBER_STATE_LIVE
	suspect = peerrpc.MemberState_MEMBER_STATE_SUSPECT
	leaving = peerrpc.MemberState_MEMBER_STATE_LEAVING
	dead    = peerrpc.MemberState_MEMBER_STATE_DEAD
)

// TableOptions sets up a Table. The zero value works.
type TableOptions struct {
	// SuspicionTimeout is how long a suspect has to refute before it is dead. The
	// default is 2 s.
	SuspicionTimeout time.Duration
	// TombstoneTTL is how long a dead member stays in the table. The default is 2 min.
	TombstoneTTL time.Duration
}

// record is a member and when this node last changed its state.
type record struct {
	member *peerrpc.Member
	since  time.Time
}

// update is a member or a fact that heartbeats carry, and how often it was sent.
type update struct {
	member    *peerrpc.Member
	fact      *peerrpc.Fact
	sendCount int
}

// Table holds the members and facts that one node knows.
type Table struct {
	opts TableOptions

	mu   sync.Mutex
	self *peerrpc.Member
	// members holds the other members by name.
	members map[string]record
	// facts holds the facts by factKey. updates holds the updates to be sent, by
	// the key that queueUpdate gets.
	facts      map[string]*peerrpc.Fact
	updates    map[string]*update
	generation uint64
	// probeOrder holds the names of the other members in the order of heartbeats.
	probeOrder  []string
	changeCount uint64
	// digest is the XOR of all members' digests, selfDigest included.
	digest     uint64
	selfDigest uint64
	// spreadOff is set while a message is merged whose content is not spread. A
	// refutation by this node still is.
	spreadOff bool
	listeners []func(*peerrpc.Fact)
}

// NewTable returns a Table that holds only this node, in the state joining.
func NewTable(self *peerrpc.Member, opts TableOptions) *Table {
	if opts.SuspicionTimeout <= 0 {
		opts.SuspicionTimeout = defaultSuspicionTimeout
	}
	if opts.TombstoneTTL <= 0 {
		opts.TombstoneTTL = defaultTombstoneTTL
	}
	self = proto.Clone(self).(*peerrpc.Member)
	self.State = joining
	t := &Table{
		opts:    opts,
		self:    self,
		members: make(map[string]record),
		facts:   make(map[string]*peerrpc.Fact),
		updates: make(map[string]*update),
	}
	t.announceSelf()
	return t
}

// OnFact registers f, which is called without locks held for each new fact.
// OnFact must be called before the table is shared.
func (t *Table) OnFact(f func(*peerrpc.Fact)) { t.listeners = append(t.listeners, f) }

// Self returns this node.
func (t *Table) Self() *peerrpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.Clone(t.self).(*peerrpc.Member)
}

// announceSelf updates the digest and queues this node's own state for sending.
// The caller holds the lock.
func (t *Table) announceSelf() {
	t.digest ^= t.selfDigest
	t.selfDigest = memberDigest(t.self)
	t.digest ^= t.selfDigest
	t.queueMember(proto.Clone(t.self).(*peerrpc.Member))
}

func (t *Table) queueMember(m *peerrpc.Member) {
	t.queueUpdate("member/"+m.GetName(), &update{member: m})
}

// queueUpdate queues an update for sending, in place of an older one with the
// same key. The caller holds the lock.
func (t *Table) queueUpdate(key string, u *update) {
	if t.spreadOff && u.member.GetName() != t.self.GetName() {
		return
	}
	t.updates[key] = u
	t.changeCount++
}

// SetGeneration sets the configuration generation that heartbeats carry.
func (t *Table) SetGeneration(generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation > t.generation {
		t.generation = generation
		t.changeCount++
	}
}

// Generation returns the configuration generation that heartbeats carry.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// ChangeCount returns the number of changes so far that are to be pushed to
// other nodes at once.
func (t *Table) ChangeCount() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changeCount
}

// Merge merges a message of another node and spreads its new content.
func (t *Table) Merge(now time.Time, g *peerrpc.Gossip) { t.mergeGossip(now, g, true) }

// MergeWithoutSpread merges the state that another node sent when this node
// joined, or had missed an update. The other nodes know it already, so it
// is not spread.
func (t *Table) MergeWithoutSpread(now time.Time, g *peerrpc.Gossip) { t.mergeGossip(now, g, false) }

func (t *Table) mergeGossip(now time.Time, g *peerrpc.Gossip, spread bool) {
	t.mu.Lock()
	t.spreadOff = !spread
	for _, m := range g.GetMembers() {
		t.mergeMember(now, m)
	}
	var newFacts []*peerrpc.Fact
	for _, f := range g.GetFacts() {
		if t.mergeFact(now, f) {
			newFacts = append(newFacts, f)
		}
	}
	t.spreadOff = false
	t.mu.Unlock()
	t.notifyListeners(newFacts)
}

// mergeMember applies a received state of a member if it is newer than the known
// one. The caller holds the lock.
func (t *Table) mergeMember(now time.Time, m *peerrpc.Member) {
	if m.GetName() == "" {
		return
	}
	if m.GetName() == t.self.GetName() {
		t.refute(m)
		return
	}
	old, known := t.members[m.GetName()]
	if known && compareStates(m, old.member) <= 0 {
		return
	}
	if !known && m.GetState() == dead {
		return
	}
	t.setMember(now, proto.Clone(m).(*peerrpc.Member))
}

// setMember sets a member's state and queues it for sending. The caller holds
// the lock.
func (t *Table) setMember(now time.Time, m *peerrpc.Member) {
	old, known := t.members[m.GetName()]
	if known {
		t.digest ^= memberDigest(old.member)
	}
	t.digest ^= memberDigest(m)
	t.members[m.GetName()] = record{member: m, since: now}
	if !known {
		position := rand.IntN(len(t.probeOrder) + 1)
		t.probeOrder = slices.Insert(t.probeOrder, position, m.GetName())
	}
	t.queueMember(m)
}

// memberDigest returns a digest of a member's state. It is 0 for dead members,
// since nodes remove these at different times.
func memberDigest(m *peerrpc.Member) uint64 {
	if m.GetState() == dead {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(m.GetName())
	var fields [16]byte
	binary.LittleEndian.PutUint64(fields[:], m.GetIncarnation())
	binary.LittleEndian.PutUint32(fields[8:], m.GetRefutation())
	binary.LittleEndian.PutUint32(fields[12:], uint32(m.GetState()))
	_, _ = h.Write(fields[:])
	return h.Sum64()
}

// MembersDiffer reports whether the sender of a heartbeat knows other members
// than this node, although neither has updates to send.
func (t *Table) MembersDiffer(g *peerrpc.Gossip) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return g.GetSettled() && len(t.updates) == 0 && g.GetMembersDigest() != t.digest
}

// compareStates orders two states of one member by incarnation, then refutation,
// then state.
func compareStates(a, b *peerrpc.Member) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetRefutation(), b.GetRefutation()),
		cmp.Compare(a.GetState(), b.GetState()),
	)
}

// refute raises this node's refutation above that of a received state of this
// node which would replace its own, such as suspect. The state of a later
// incarnation with the same name can't be refuted. The caller holds the lock.
func (t *Table) refute(reported *peerrpc.Member) {
	if compareStates(reported, t.self) <= 0 {
		return
	}
	if reported.GetIncarnation() > t.self.GetIncarnation() {
		return
	}
	t.self.Refutation = reported.GetRefutation() + 1
	t.announceSelf()
}

// MarkServing announces that this node serves callers from now on. It does
// nothing unless the node is joining.
func (t *Table) MarkServing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.GetState() != joining {
		return
	}
	t.self.State = live
	t.announceSelf()
}

// MarkLeaving announces that this node is leaving.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = leaving
	t.announceSelf()
}

// NextGossip returns the message for a heartbeat, with up to maxUpdatesPerSend
// updates, starting with those sent the fewest times. It counts them as sent.
func (t *Table) NextGossip() *peerrpc.Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &peerrpc.Gossip{From: t.self.GetName(), ConfigurationGeneration: t.generation}
	limit := spreadFactor * (bits.Len(uint(len(t.members)+1)) + 1)
	keys := make([]string, 0, len(t.updates))
	for key := range t.updates {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.updates[a].sendCount, t.updates[b].sendCount), strings.Compare(a, b))
	})
	g.MembersDigest = t.digest
	g.Settled = len(keys) == 0
	for _, key := range keys[:min(len(keys), maxUpdatesPerSend)] {
		u := t.updates[key]
		u.sendCount++
		if u.member != nil {
			g.Members = append(g.Members, u.member)
		}
		if u.fact != nil {
			g.Facts = append(g.Facts, u.fact)
		}
		if u.sendCount >= limit {
			delete(t.updates, key)
		}
	}
	return g
}

// AllMembers returns all members that this node knows.
func (t *Table) AllMembers() *peerrpc.Gossip {
	g := t.FullState()
	g.Facts = nil
	return g
}

// FullState returns all members and facts that this node knows.
func (t *Table) FullState() *peerrpc.Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &peerrpc.Gossip{From: t.self.GetName(), ConfigurationGeneration: t.generation}
	g.Members = append(g.Members, proto.Clone(t.self).(*peerrpc.Member))
	for _, r := range t.members {
		g.Members = append(g.Members, r.member)
	}
	for _, f := range t.facts {
		g.Facts = append(g.Facts, f)
	}
	return g
}

// NextProbe returns the member that gets the next heartbeat. Each member is
// returned once per round, in a random order. Dead ones are skipped.
func (t *Table) NextProbe() (*peerrpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.probeOrder) > 0 {
		name := t.probeOrder[0]
		t.probeOrder = t.probeOrder[1:]
		r, known := t.members[name]
		if !known {
			continue
		}
		position := len(t.probeOrder) - rand.IntN(len(t.probeOrder)/2+1)
		t.probeOrder = slices.Insert(t.probeOrder, position, name)
		if r.member.GetState() != dead {
			return r.member, true
		}
		if t.allDead() {
			return nil, false
		}
	}
	return nil, false
}

func (t *Table) allDead() bool {
	for _, r := range t.members {
		if r.member.GetState() != dead {
			return false
		}
	}
	return true
}

// MarkUnreachable records that a member has not responded. A joining or live
// one becomes suspect, a leaving one dead.
func (t *Table) MarkUnreachable(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.members[name]
	if !known {
		return
	}
	next := suspect
	switch r.member.GetState() {
	case joining, live:
	case leaving:
		next = dead
	default:
		return
	}
	m := proto.Clone(r.member).(*peerrpc.Member)
	m.State = next
	t.setMember(now, m)
}

// MarkReachable records that a member has responded in the known incarnation. If
// it is suspect, that state is sent again so that the member can refute it.
func (t *Table) MarkReachable(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, known := t.members[name]; known && r.member.GetState() == suspect {
		t.queueMember(r.member)
	}
}

// Expire turns suspects into dead members after SuspicionTimeout, and removes
// dead members after TombstoneTTL and expired facts.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.members {
		age := now.Sub(r.since)
		switch {
		case r.member.GetState() == suspect && age >= t.opts.SuspicionTimeout:
			m := proto.Clone(r.member).(*peerrpc.Member)
			m.State = dead
			t.setMember(now, m)
		case r.member.GetState() == dead && age >= t.opts.TombstoneTTL:
			t.digest ^= memberDigest(r.member)
			delete(t.members, name)
		}
	}
	for key, f := range t.facts {
		if f.GetExpiresUnixMs() > 0 && f.GetExpiresUnixMs() <= now.UnixMilli() {
			delete(t.facts, key)
			delete(t.updates, "fact/"+key)
		}
	}
}

// RandomMembers returns up to n random members that are neither suspect nor
// dead, without this node and the one with the name exclude.
func (t *Table) RandomMembers(n int, exclude string) []*peerrpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerrpc.Member
	for name, r := range t.members {
		state := r.member.GetState()
		if name != exclude && state != dead && state != suspect {
			list = append(list, r.member)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
