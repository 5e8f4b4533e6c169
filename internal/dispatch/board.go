package dispatch

import (
	"container/heap"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

const (
	// levels is the number of priorities that are told apart. Less urgent ones count as the
	// last.
	levels = 8
	// rejectHold is how long an upstream that has turned a request away gets no others.
	rejectHold = 250 * time.Millisecond
	// A lease whose first token is not reported counts as waiting for firstTokenGrace and
	// firstTokenFactor times the estimate: notices are lost now and then, and what no longer
	// waits would otherwise be counted until the deadline of its request.
	firstTokenGrace  = 2 * time.Second
	firstTokenFactor = 4
	// maxLeaseTime limits the time until a lease expires.
	maxLeaseTime = time.Minute
	// maxLeases limits the leases of a board, so that no sender can take up its memory.
	maxLeases = 100_000
	// bodyWeight is the weight of a request in the moving means of sizes, and holdWeight that of a lease in the moving mean of the times that leases last.
	bodyWeight = 1.0 / 64
	holdWeight = 1.0 / 32
	// blockedWeight is the weight of an observation in group.blocked, and minOvertakenMS the
	// least work that makes one.
	blockedWeight  = 1.0 / 32
	minOvertakenMS = 20
	// prefillHalfLife is the half-life of member.prefill.
	prefillHalfLife = time.Second
	// groupTTL is how long a group that is not asked for is kept.
	groupTTL = 10 * time.Second
)

// BoardOptions configures a Board. The zero value works.
type BoardOptions struct {
	Policy costmodel.Policy
	// StoredTokens returns how many leading tokens of the parts the prompt store has, and
	// false if it can't be used. Nil means that there is none.
	StoredTokens func(now time.Time, g promptcache.Generation, parts []promptcache.Part) (tokens int, up bool)
}

// Service is a service with the upstreams that may get its requests.
type Service struct {
	Name string
	// Engine is set if the upstreams are model engines, and CacheTokens is the size of an
	// engine's KV cache in tokens, 0 if it is not known.
	Engine      bool
	CacheTokens int
	// Members are the upstreams that have not left. Those that must get no requests now are
	// not pickable.
	Members []roster.Candidate
}

// Board decides on requests for the groups that this VM dispatches.
type Board struct {
	opts BoardOptions

	mu       sync.Mutex
	services map[string]*service
	leases   map[leaseKey]*lease
	// expiry orders the leases by their nextAt.
	expiry leaseHeap
	// decisions counts the calls of Place, see costmodel.Model.TieKey.
	decisions uint64
	counts    Counts
}

// Counts are the numbers of a board's decisions.
type Counts struct {
	Placements int64            `json:"placements"`
	Unknown    int64            `json:"unknown"`
	Refusals   map[Reason]int64 `json:"refusals"`
}

// service is a service with its upstreams and its groups.
type service struct {
	Service
	members map[string]*member
	groups  map[groupKey]*group
	// meanBody is the moving mean of the sizes of bodies, 0 at first.
	meanBody float64
}

// groupKey is a group among so many.
type groupKey struct{ group, groups int }

// group is a group of upstreams with what its requests had.
type group struct {
	members []*member
	// listed is unset when the members of the service have changed.
	listed bool
	usedAt time.Time
	shares *shares
	// slowdown holds that of each priority: less urgent requests are overtaken, which says
	// nothing about more urgent ones. blocked holds the part of the less urgent work that
	// requests of a priority were seen to wait for.
	slowdown [levels]costmodel.Slowdown
	blocked  [levels]float64
	// seenAt is when each priority was last asked for, and target the last target.
	seenAt [levels]time.Time
	target [levels]time.Duration
	// meanUnshared is the moving mean of the unshared tokens of each priority's requests.
	meanUnshared [levels]float64
	// meanHold is the moving mean of how long leases last.
	meanHold time.Duration
	// promisedAt is the last time at which a refused request was told to come back.
	promisedAt time.Time
}

// member is an upstream with its leases.
type member struct {
	upstream roster.Upstream
	state    costmodel.Candidate
	cached   *promptcache.Estimate
	leases   map[*lease]struct{}
	// requests and waiting are the leases and the tokens that they wait for, by priority.
	requests, waiting [levels]int
	// tokens is the memory that the leases take up. A shared part counts once.
	tokens, bodyBytes int
	parts             map[string]usedPart
	rejectedUntil     time.Time
	// prefill is the time of the prefill that was placed lately, decayed to prefillAt.
	prefill   float64
	prefillAt time.Time
}

// recentPrefillMS returns the time of the prefill that was placed lately.
func (m *member) recentPrefillMS(now time.Time) float64 {
	return m.prefill * math.Exp2(-float64(now.Sub(m.prefillAt))/float64(prefillHalfLife))
}

// usedPart is a shared part that leases use. Its tokens are those that the first of them
// declared.
type usedPart struct{ users, tokens int }

// usePart counts a further user of a part.
func (m *member) usePart(p promptcache.Part) {
	used := m.parts[p.ID]
	if used.users == 0 {
		used.tokens = p.Tokens
		m.tokens += used.tokens
	}
	used.users++
	m.parts[p.ID] = used
}

// releasePart counts a user less.
func (m *member) releasePart(p promptcache.Part) {
	used := m.parts[p.ID]
	if used.users--; used.users > 0 {
		m.parts[p.ID] = used
		return
	}
	m.tokens -= used.tokens
	delete(m.parts, p.ID)
}

// leaseKey identifies a lease.
type leaseKey struct {
	vm string
	id uint64
}

// lease is a request on an upstream.
type lease struct {
	key     leaseKey
	group   *group
	member  *member
	request Request
	reply   Reply
	level   int
	waiting int
	// aheadMS and overtakenMS are the estimated times for the work of requests that were as
	// urgent or more urgent, this one's included, and for that of the others.
	aheadMS, overtakenMS float64
	startedAt            time.Time
	deadline             time.Time
	// nextAt is when the lease stops waiting or expires, and index its place in the heap.
	nextAt time.Time
	index  int
}

// NewBoard returns an empty Board.
func NewBoard(opts BoardOptions) *Board {
	opts.Policy = opts.Policy.WithDefaults()
	return &Board{
		opts: opts, services: make(map[string]*service), leases: make(map[leaseKey]*lease),
		counts: Counts{Refusals: make(map[Reason]int64)},
	}
}

// Sync replaces the services and their upstreams. The leases of incarnations that have
// ended end with them.
func (b *Board) Sync(now time.Time, services []Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	listed := make(map[string]bool, len(services))
	for _, s := range services {
		listed[s.Name] = true
		known := b.services[s.Name]
		if known == nil {
			known = &service{members: make(map[string]*member), groups: make(map[groupKey]*group)}
			b.services[s.Name] = known
		}
		known.Service = s
		b.syncMembers(known)
		for key, g := range known.groups {
			if now.Sub(g.usedAt) > groupTTL {
				delete(known.groups, key)
			}
		}
	}
	for name, s := range b.services {
		if !listed[name] {
			for id := range s.members {
				b.removeMember(s, id)
			}
			delete(b.services, name)
		}
	}
}

func (b *Board) syncMembers(s *service) {
	seen := make(map[string]bool, len(s.Members))
	changed := false
	for _, c := range s.Members {
		u := c.Upstream
		seen[u.ID] = true
		m := s.members[u.ID]
		if m != nil && (m.upstream.Born != u.Born || m.upstream.Address != u.Address) {
			b.removeMember(s, u.ID)
			m = nil
		}
		if m == nil {
			m = &member{cached: promptcache.New(), leases: make(map[*lease]struct{}), parts: make(map[string]usedPart)}
			s.members[u.ID] = m
			changed = true
		} else if m.upstream.Generation() != u.Generation() {
			m.cached = promptcache.New()
		}
		m.upstream, m.state = u, c.State
	}
	for id := range s.members {
		if !seen[id] {
			b.removeMember(s, id)
			changed = true
		}
	}
	if changed {
		for _, g := range s.groups {
			g.listed = false
		}
	}
}

// removeMember removes an upstream with its leases.
func (b *Board) removeMember(s *service, id string) {
	for l := range s.members[id].leases {
		b.end(l)
	}
	delete(s.members, id)
	for _, g := range s.groups {
		g.listed = false
	}
}

// group returns a group of a service with its members in the order of their IDs.
func (s *service) group(now time.Time, key groupKey) *group {
	g := s.groups[key]
	if g == nil {
		g = &group{shares: newShares()}
		s.groups[key] = g
	}
	g.usedAt = now
	if !g.listed {
		g.listed = true
		g.members = g.members[:0]
		for _, m := range s.members {
			if GroupOf(m.state.IDHash, key.groups) == key.group {
				g.members = append(g.members, m)
			}
		}
		slices.SortFunc(g.members, func(x, y *member) int { return strings.Compare(x.upstream.ID, y.upstream.ID) })
	}
	return g
}

// Placed records a request that a VM has sent to an upstream. It replaces a lease of the VM
// with the same ID.
func (b *Board) Placed(now time.Time, vm string, p Placed) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	key := leaseKey{vm, p.Request.ID}
	if old := b.leases[key]; old != nil {
		b.end(old)
	}
	s := b.services[p.Request.Service]
	if s == nil || len(b.leases) >= maxLeases {
		return
	}
	m := s.members[p.Upstream]
	if m == nil || m.upstream.Born != p.Born {
		return
	}
	g := s.group(now, groupKey{p.Request.Group, max(1, p.Request.Groups)})
	l := b.lease(now, key, s, g, m, p.Request, Reply{Kind: Placement, Upstream: p.Upstream, Born: p.Born, MissingTokens: p.MissingTokens})
	if p.Begun {
		l.stopWaiting()
	} else {
		g.shares.record(now, p.Request.Organisation, l.level, workOf(s, p.Request, p.MissingTokens), false)
	}
}

// Progress records what became of a lease.
func (b *Board) Progress(now time.Time, vm string, p Progress) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	l := b.leases[leaseKey{vm, p.ID}]
	if l == nil {
		return
	}
	if p.Begun {
		l.stopWaiting()
		l.group.learn(l, milliseconds(p.FirstTokenMS), b.opts.Policy.IdleFirstTokenMS)
	}
	if p.Rejected {
		l.member.rejectedUntil = now.Add(rejectHold)
	}
	if p.Ended {
		if hold := now.Sub(l.startedAt); !p.Rejected && hold > 0 {
			if l.group.meanHold == 0 {
				l.group.meanHold = hold
			}
			l.group.meanHold += time.Duration(holdWeight * float64(hold-l.group.meanHold))
		}
		b.end(l)
	}
}

// lease adds a lease of a request on a member.
func (b *Board) lease(now time.Time, key leaseKey, s *service, g *group, m *member, q Request, reply Reply) *lease {
	l := &lease{key: key, group: g, member: m, request: q, reply: reply, level: levelOf(q.Priority), waiting: reply.MissingTokens, startedAt: now}
	l.deadline = now.Add(min(maxLeaseTime, max(time.Second, milliseconds(q.TimeLeftMS))))
	l.nextAt = now.Add(firstTokenGrace + firstTokenFactor*milliseconds(reply.FirstTokenMS))
	if l.nextAt.After(l.deadline) {
		l.nextAt = l.deadline
	}
	m.leases[l] = struct{}{}
	m.prefill, m.prefillAt = m.recentPrefillMS(now)+b.prefillMS(m, reply.MissingTokens), now
	m.requests[l.level]++
	m.waiting[l.level] += l.waiting
	m.tokens += q.UnsharedTokens + q.OutputTokens
	for _, p := range q.Parts {
		m.usePart(p)
	}
	m.bodyBytes += q.BodyBytes
	if s.meanBody == 0 {
		s.meanBody = float64(q.BodyBytes)
	}
	s.meanBody += bodyWeight * (float64(q.BodyBytes) - s.meanBody)
	m.cached.RecordUse(now, q.Parts, q.UnsharedTokens+q.OutputTokens, s.CacheTokens)
	b.leases[key] = l
	heap.Push(&b.expiry, l)
	return l
}

// learn updates what is known of the waits of a priority by the time to a first token.
func (g *group) learn(l *lease, took time.Duration, idleMS float64) {
	slowdown, blocked := &g.slowdown[l.level], &g.blocked[l.level]
	if l.overtakenMS >= minOvertakenMS {
		waited := float64(took)/float64(time.Millisecond) - idleMS - slowdown.Factor()*l.aheadMS
		*blocked += blockedWeight * (min(1, max(0, waited/l.overtakenMS)) - *blocked)
	}
	*slowdown = slowdown.With(took, idleMS, l.aheadMS+*blocked*l.overtakenMS)
}

// stopWaiting records that the first token has come.
func (l *lease) stopWaiting() {
	l.member.waiting[l.level] -= l.waiting
	l.waiting = 0
}

// end removes a lease and what it takes up.
func (b *Board) end(l *lease) {
	l.stopWaiting()
	m := l.member
	delete(m.leases, l)
	m.requests[l.level]--
	m.tokens -= l.request.UnsharedTokens + l.request.OutputTokens
	for _, p := range l.request.Parts {
		m.releasePart(p)
	}
	m.bodyBytes -= l.request.BodyBytes
	delete(b.leases, l.key)
	heap.Remove(&b.expiry, l.index)
}

// expire ends the leases whose time is over. The caller holds the lock.
func (b *Board) expire(now time.Time) {
	for len(b.expiry) > 0 && !b.expiry[0].nextAt.After(now) {
		l := b.expiry[0]
		if !l.deadline.After(now) {
			b.end(l)
			continue
		}
		l.stopWaiting()
		l.nextAt = l.deadline
		heap.Fix(&b.expiry, 0)
	}
}

// levelOf returns the level of a priority.
func levelOf(priority int) int { return min(max(0, priority), levels-1) }

// total returns the number of leases of the member.
func (m *member) total() int { return len(m.leases) }

// upTo returns the sum of the values of the priorities up to a level, which are as urgent
// or more urgent.
func upTo(values [levels]int, level int) int {
	sum := 0
	for _, v := range values[:level+1] {
		sum += v
	}
	return sum
}

// leaseHeap implements heap.Interface, the lease with the earliest nextAt first.
type leaseHeap []*lease

func (h leaseHeap) Len() int           { return len(h) }
func (h leaseHeap) Less(i, j int) bool { return h[i].nextAt.Before(h[j].nextAt) }

func (h leaseHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *leaseHeap) Push(x any) {
	l := x.(*lease)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *leaseHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}
