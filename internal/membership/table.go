// Package membership keeps the list of live nodes and spreads facts among them.
//
// It follows SWIM (Das, Gupta, Motivala, 2002): each node sends a heartbeat to
// one other node per period and one to its successor, asks others to try a node
// that does not answer, and calls it suspect before it calls it dead. Changes travel on heartbeats,
// and at once to a few random nodes when they are new. A node's cost does not
// depend on the size of the fleet.
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
// A Table is safe for concurrent use. Each function that decides takes the
// present time as an argument.
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
	defaultSuspicion  = 2 * time.Second
	defaultTombstone  = 2 * time.Minute
	maxUpdatesPerSend = 64
	spreadFactor      = 3
)

// The states of a member, in the order in which one replaces another.
const (
	joining = peerrpc.MemberState_MEMBER_STATE_JOINING
	live    = peerrpc.MemberState_MEMBER_STATE_LIVE
	suspect = peerrpc.MemberState_MEMBER_STATE_SUSPECT
	leaving = peerrpc.MemberState_MEMBER_STATE_LEAVING
	dead    = peerrpc.MemberState_MEMBER_STATE_DEAD
)

// TableOptions sets up a Table. The zero value works.
type TableOptions struct {
	// SuspicionTimeout is how long a suspect has to answer before it is dead. The default is 2 s.
	SuspicionTimeout time.Duration
	// Tombstone is how long a dead member is remembered. The default is 2 min.
	Tombstone time.Duration
}

type record struct {
	member *peerrpc.Member
	since  time.Time
}

type update struct {
	member *peerrpc.Member
	fact   *peerrpc.Fact
	sent   int
}

// Table is what one node knows of the fleet.
type Table struct {
	opts TableOptions

	mu         sync.Mutex
	self       *peerrpc.Member
	members    map[string]record
	facts      map[string]*peerrpc.Fact
	updates    map[string]*update
	generation uint64
	order      []string
	changes    uint64
	digest     uint64
	selfDigest uint64
	// quiet keeps what is merged from being passed on.
	quiet     bool
	listeners []func(*peerrpc.Fact)
}

// NewTable returns a Table that knows this node only, as one that joins.
func NewTable(self *peerrpc.Member, opts TableOptions) *Table {
	if opts.SuspicionTimeout <= 0 {
		opts.SuspicionTimeout = defaultSuspicion
	}
	if opts.Tombstone <= 0 {
		opts.Tombstone = defaultTombstone
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

// OnFact has f called, without locks held, for each fact that is new here.
// It must be called before the table is shared.
func (t *Table) OnFact(f func(*peerrpc.Fact)) { t.listeners = append(t.listeners, f) }

// Self returns this node.
func (t *Table) Self() *peerrpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return proto.Clone(t.self).(*peerrpc.Member)
}

func (t *Table) announceSelf() {
	t.digest ^= t.selfDigest
	t.selfDigest = digestOf(t.self)
	t.digest ^= t.selfDigest
	t.queueMember(proto.Clone(t.self).(*peerrpc.Member))
}

func (t *Table) queueMember(m *peerrpc.Member) {
	t.queue("member/"+m.GetName(), &update{member: m})
}

func (t *Table) queue(key string, u *update) {
	if t.quiet && u.member.GetName() != t.self.GetName() {
		return
	}
	t.updates[key] = u
	t.changes++
}

// SetGeneration sets the configuration generation that heartbeats carry.
func (t *Table) SetGeneration(generation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation > t.generation {
		t.generation = generation
		t.changes++
	}
}

// Generation returns the configuration generation that heartbeats carry.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// Changes counts what this node has learnt. It grows with each change that is
// worth telling others at once.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Merge takes what another node has sent.
func (t *Table) Merge(now time.Time, g *peerrpc.Gossip) { t.merge(now, g, true) }

// Learn takes what another node has told this one when it joined, or when it
// had missed something. It is no news to the others, so it is not passed on.
func (t *Table) Learn(now time.Time, g *peerrpc.Gossip) { t.merge(now, g, false) }

func (t *Table) merge(now time.Time, g *peerrpc.Gossip, passOn bool) {
	t.mu.Lock()
	t.quiet = !passOn
	for _, m := range g.GetMembers() {
		t.mergeMember(now, m)
	}
	var news []*peerrpc.Fact
	for _, f := range g.GetFacts() {
		if t.mergeFact(now, f) {
			news = append(news, f)
		}
	}
	t.quiet = false
	t.mu.Unlock()
	t.tell(news)
}

func (t *Table) mergeMember(now time.Time, m *peerrpc.Member) {
	if m.GetName() == "" {
		return
	}
	if m.GetName() == t.self.GetName() {
		t.refute(m)
		return
	}
	old, known := t.members[m.GetName()]
	if known && compare(m, old.member) <= 0 {
		return
	}
	if !known && m.GetState() == dead {
		return
	}
	t.setMember(now, proto.Clone(m).(*peerrpc.Member))
}

func (t *Table) setMember(now time.Time, m *peerrpc.Member) {
	old, known := t.members[m.GetName()]
	if known {
		t.digest ^= digestOf(old.member)
	}
	t.digest ^= digestOf(m)
	t.members[m.GetName()] = record{member: m, since: now}
	if !known {
		at := rand.IntN(len(t.order) + 1)
		t.order = slices.Insert(t.order, at, m.GetName())
	}
	t.queueMember(m)
}

// digestOf returns a digest of what is said of a member. Members that are dead
// count for nothing, since they are forgotten at different times.
func digestOf(m *peerrpc.Member) uint64 {
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

// Differs reports whether the sender of a heartbeat knows other members than
// this node, although neither has news to send.
func (t *Table) Differs(g *peerrpc.Gossip) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return g.GetSettled() && len(t.updates) == 0 && g.GetMembersDigest() != t.digest
}

// compare orders what is said of one member: a later process, then a later
// refutation, then the state.
func compare(a, b *peerrpc.Member) int {
	return cmp.Or(
		cmp.Compare(a.GetIncarnation(), b.GetIncarnation()),
		cmp.Compare(a.GetRefutation(), b.GetRefutation()),
		cmp.Compare(a.GetState(), b.GetState()),
	)
}

// refute answers what others say of this node, if it is wrong. What they say
// of another incarnation of the name makes this one the later.
func (t *Table) refute(said *peerrpc.Member) {
	if compare(said, t.self) <= 0 {
		return
	}
	if said.GetIncarnation() > t.self.GetIncarnation() {
		return
	}
	t.self.Refutation = said.GetRefutation() + 1
	t.announceSelf()
}

// MarkServing says that this node serves callers from now on.
func (t *Table) MarkServing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.GetState() != joining {
		return
	}
	t.self.State = live
	t.announceSelf()
}

// MarkLeaving says that this node is leaving.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = leaving
	t.announceSelf()
}

// Outgoing returns the message of a heartbeat: this node, and the updates that
// have been sent the least.
func (t *Table) Outgoing() *peerrpc.Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := &peerrpc.Gossip{From: t.self.GetName(), ConfigurationGeneration: t.generation}
	limit := spreadFactor * (bits.Len(uint(len(t.members)+1)) + 1)
	keys := make([]string, 0, len(t.updates))
	for key := range t.updates {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.updates[a].sent, t.updates[b].sent), strings.Compare(a, b))
	})
	g.MembersDigest = t.digest
	g.Settled = len(keys) == 0
	for _, key := range keys[:min(len(keys), maxUpdatesPerSend)] {
		u := t.updates[key]
		u.sent++
		if u.member != nil {
			g.Members = append(g.Members, u.member)
		}
		if u.fact != nil {
			g.Facts = append(g.Facts, u.fact)
		}
		if u.sent >= limit {
			delete(t.updates, key)
		}
	}
	return g
}

// AllMembers returns all members that this node knows.
func (t *Table) AllMembers() *peerrpc.Gossip {
	g := t.Everything()
	g.Facts = nil
	return g
}

// Everything returns all that this node knows.
func (t *Table) Everything() *peerrpc.Gossip {
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

// NextProbe returns the member that the next heartbeat goes to. All members
// come up once in a round, in a random order.
func (t *Table) NextProbe() (*peerrpc.Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.order) > 0 {
		name := t.order[0]
		t.order = t.order[1:]
		r, known := t.members[name]
		if !known {
			continue
		}
		at := len(t.order) - rand.IntN(len(t.order)/2+1)
		t.order = slices.Insert(t.order, at, name)
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

// Unreachable says that a member has not answered. A live one becomes suspect,
// a leaving one dead.
func (t *Table) Unreachable(now time.Time, name string) {
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

// Reached says that a member has answered in the incarnation that is known.
// It tells a suspect so that the member can refute it.
func (t *Table) Reached(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, known := t.members[name]; known && r.member.GetState() == suspect {
		t.queueMember(r.member)
	}
}

// Expire turns suspects into dead members and forgets what is out of date.
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
		case r.member.GetState() == dead && age >= t.opts.Tombstone:
			t.digest ^= digestOf(r.member)
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

// Random returns up to n random members that are neither suspect nor dead,
// without this node and the one named.
func (t *Table) Random(n int, without string) []*peerrpc.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerrpc.Member
	for name, r := range t.members {
		state := r.member.GetState()
		if name != without && state != dead && state != suspect {
			list = append(list, r.member)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
