package dispatch

import (
	"slices"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

const (
	// outputWork is the work of an output token in tokens of prefill: a step takes as long as
	// the prefill of 250 to 360 tokens and is shared by the 12 to 24 requests that run.
	outputWork = 16
	// reservedMemory is the part of an engine's memory that less urgent requests may use
	// while more urgent ones come, and urgentMemory how long these are waited for.
	reservedMemory = 0.9
	urgentMemory   = 3 * time.Second
	// minOvertakenPart is the least part of the less urgent work that counts in the choice of
	// an upstream: whoever is overtaken is late. In the estimate of the first token counts only
	// what requests were seen to wait for.
	minOvertakenPart = 0.25
	// urgentPart is the part of the target of more urgent requests that the work waiting at an
	// engine may take up, as far as they were seen to wait for less urgent work. Of 0.4, 0.5,
	// 0.6, 0.8 and 1.0, 0.5 gave most first tokens in time at 1.3 times the usual load in the
	// simulated fleet of the tests.
	urgentPart = 0.5
	// engineQueue limits the leases of an engine, in its slots. Engines queue three times
	// their slots beside the running requests and reject more; those are brought by VMs that
	// decide by themselves.
	engineQueue = 3
	// plainQueue is the inverse of the part of a plain upstream's slots that may queue there.
	plainQueue = 3
	// maxMeanBodies limits the bytes of bodies in flight to an upstream: its slots times as
	// many bodies of the mean size. Upstreams that hold more than their memory crash.
	maxMeanBodies = 4
	// retryPart is the part of the route's timeout below which the time left shows that the
	// caller retries.
	retryPart = 0.95
	// The factors on the target for the latest first token of a request.
	overShareFactor = 0.5
	retryFactor     = 1.05
	underFactor     = 1.05
	maxFactor       = 1.25
	// maxPromise is the latest time at which a refused request is told to come back, and
	// minPromise the least. promisePart is the part of the time that a caller has left which
	// it may spend on waiting: callers honour up to a third.
	minPromise  = 20 * time.Millisecond
	maxPromise  = 2 * time.Second
	promisePart = 0.3
	// interferedStreamMS is the cost of a running stream that meets a prefill of
	// interferingPrefillMS or more, which is half of the longest gap between events that the
	// deployments call in time. recentPrefillWeight is the weight of recent prefill for a
	// request that would meet the next one. On a quarter of a deployment with uneven engines
	// 40 and 0.5 gave 0.827 of what was owed, 100 and 1 gave 0.831 with more prompts
	// recomputed, nothing 0.814.
	interferedStreamMS   = 40
	interferingPrefillMS = 200
	recentPrefillWeight  = 0.5
	// homeMissShare is the part of the shared tokens that is taken to be recomputed there.
	homeMissShare = 0.3
	// defaultHold is the time that a lease lasts as long as none has ended.
	defaultHold = 100 * time.Millisecond
)

// Place decides on a request of a VM. A repeated request gets the same placement.
func (b *Board) Place(now time.Time, vm string, q Request) Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	key := leaseKey{vm, q.ID}
	if known := b.leases[key]; known != nil {
		return known.reply
	}
	s := b.services[q.Service]
	if s == nil || len(b.leases) >= maxLeases {
		return b.unknown()
	}
	g := s.group(now, groupKey{q.Group, max(1, q.Groups)})
	level := levelOf(q.Priority)
	g.seenAt[level], g.target[level] = now, q.Target()
	g.meanUnshared[level] += bodyWeight * (float64(q.UnsharedTokens) - g.meanUnshared[level])
	b.decisions++
	d := b.survey(now, s, g, q)
	st := g.shares.standing(now, q.Organisation, level)
	fits := d.fits
	if !s.Engine {
		fits = func(m *member) bool { return d.fits(m) && m.total() < plainRoom(m, q, st) }
	}
	choice, found := d.choose(fits)
	room := roomy
	if !found || !choice.Healthy {
		room = crowded
		choice, found = d.choose(d.fitsBody)
	}
	if !found || !choice.Healthy {
		room = noRoom
		if choice, found = d.choose(nil); !found || !choice.Healthy {
			return b.unknown()
		}
	}
	m := s.members[choice.ID]
	reply := d.reply(m, choice)
	work := workOf(s, q, choice.MissingTokens)
	if reason := d.obstacle(m, &reply, st, room); reason != "" {
		reply.Kind, reply.Reason, reply.SharePercent = Refusal, reason, st.percent
		reply.MemoryTokens = m.tokens
		reply.RetryAfterMS = int(d.promise(reply, work) / time.Millisecond)
		b.counts.Refusals[reason]++
		if !q.Again {
			g.shares.record(now, q.Organisation, level, work, true)
		}
		return reply
	}
	b.counts.Placements++
	g.shares.record(now, q.Organisation, level, work, false)
	aheadMS, overtakenMS := d.waits(m, choice)
	l := b.lease(now, key, s, g, m, q, reply)
	l.aheadMS, l.overtakenMS = aheadMS, overtakenMS
	return reply
}

func (b *Board) unknown() Reply {
	b.counts.Unknown++
	return Reply{Kind: Unknown}
}

// workOf returns the work of a request: tokens of prefill for engines, else 1.
func workOf(s *service, q Request, missingTokens int) float64 {
	if !s.Engine {
		return 1
	}
	return float64(missingTokens + outputWork*q.OutputTokens)
}

// plainRoom returns how many requests a plain upstream may have for a request to be sent
// there: its slots and a small queue, which requests of an organisation above its share
// can't use, and which is twice as long for one below it and for a caller that retries.
func plainRoom(m *member, q Request, st standing) int {
	queue := max(1, m.state.Slots/plainQueue)
	switch {
	case st.restricted():
		queue = 0
	case st.under || st.starved || q.retries():
		queue *= 2
	}
	return m.state.Slots + queue
}

// retries reports whether the caller has sent the request before.
func (q Request) retries() bool {
	return q.TimeLeftMS > 0 && float64(q.TimeLeftMS) < retryPart*float64(q.TimeoutMS)
}

// room is the room that there is for a request.
type room uint8

const (
	// roomy means that an upstream has slots and memory.
	roomy room = iota
	// crowded means that each one would have to queue the request, or evict cached parts.
	crowded
	// noRoom means that each one might crash under the bodies of its requests.
	noRoom
)

// survey is what a decision on one request depends on.
type survey struct {
	board      *Board
	now        time.Time
	service    *service
	group      *group
	request    Request
	level      int
	candidates []costmodel.Candidate
	members    []*member
	model      costmodel.Model
	memory     float64
	// slots, taken and waiting are sums over the group: slots, leases, and the tokens that
	// requests as urgent or more urgent wait for.
	slots, taken, waiting int
}

// survey returns the state of a group for a decision on a request.
func (b *Board) survey(now time.Time, s *service, g *group, q Request) *survey {
	d := &survey{board: b, now: now, service: s, group: g, request: q, level: levelOf(q.Priority), memory: float64(s.CacheTokens)}
	for i := range d.level {
		if seen := g.seenAt[i]; !seen.IsZero() && now.Sub(seen) < urgentMemory {
			d.memory = reservedMemory * float64(s.CacheTokens)
		}
	}
	d.model = costmodel.Model{Policy: b.opts.Policy, CopiesEvict: true, Slowdown: g.slowdown[d.level], TieKey: b.decisions * 0x9e3779b97f4a7c15, StoredTokens: b.storedTokens(now, q.Parts)}
	for _, m := range g.members {
		if slices.Contains(q.Exclude, m.upstream.ID) {
			continue
		}
		c := b.candidate(now, g, m, d.level)
		if s.Engine {
			c.InterferenceMS = d.interferenceMS(m)
		}
		c.Local = m.upstream.DataCentre == q.DataCentre
		d.slots += c.Slots
		d.taken += m.total()
		d.waiting += c.Load.WaitingTokens
		d.candidates, d.members = append(d.candidates, c), append(d.members, m)
	}
	return d
}

// candidate returns the state of a member for a request of a level. Only requests that are
// as urgent or more urgent wait ahead of it.
func (b *Board) candidate(now time.Time, g *group, m *member, level int) costmodel.Candidate {
	c := m.state
	c.Cached, c.CacheTokens = m.cached, 0 // the board counts the memory itself
	c.Load = peerload.Load{Requests: m.total(), WaitingTokens: upTo(m.waiting, level) + int(g.overtakenPart(level)*float64(overtaken(m, level))), Tokens: m.tokens}
	c.OwnRequests = m.total()
	c.Pickable = c.Pickable && !m.rejectedUntil.After(now)
	return c
}

// interferenceMS returns the cost of what the request and the streams that run at a member do
// to each other: engines prefill between the events of streams, which then come late though
// their first ones were in time. So long prompts and streams go to different engines where
// there is a choice.
func (d *survey) interferenceMS(m *member) float64 {
	running := 0
	for l := range m.leases {
		if l.waiting == 0 {
			running++
		}
	}
	prefillMS := d.board.prefillMS(m, d.request.UnsharedTokens+int(homeMissShare*float64(d.request.sharedTokens())))
	return interferedStreamMS*float64(running)*min(1, prefillMS/interferingPrefillMS) + recentPrefillWeight*m.recentPrefillMS(d.now)
}

// prefillMS returns the time to prefill tokens at a member.
func (b *Board) prefillMS(m *member, tokens int) float64 {
	ms := float64(tokens) / b.opts.Policy.PrefillTokensPerMS
	if m.state.Speed > 0 {
		ms /= m.state.Speed
	}
	return ms
}

// overtaken returns the tokens that less urgent requests than those of a level wait for.
func overtaken(m *member, level int) int { return upTo(m.waiting, levels-1) - upTo(m.waiting, level) }

// overtakenPart returns the part of the less urgent work that counts in the choice of an
// upstream.
func (g *group) overtakenPart(level int) float64 { return max(minOvertakenPart, g.blocked[level]) }

// storedTokens returns what costmodel.Model.StoredTokens is to be.
func (b *Board) storedTokens(now time.Time, parts []promptcache.Part) func(promptcache.Generation, []promptcache.Part) int {
	if b.opts.StoredTokens == nil || len(parts) == 0 {
		return nil
	}
	if _, up := b.opts.StoredTokens(now, promptcache.Generation{}, nil); !up {
		return nil
	}
	return func(g promptcache.Generation, parts []promptcache.Part) int {
		tokens, _ := b.opts.StoredTokens(now, g, parts)
		return tokens
	}
}

// choose returns the candidate with the lowest cost among those that fit, or among all.
func (d *survey) choose(fits func(m *member) bool) (costmodel.Choice, bool) {
	candidates := make([]costmodel.Candidate, len(d.candidates))
	copy(candidates, d.candidates)
	if fits != nil {
		for i := range candidates {
			candidates[i].Pickable = candidates[i].Pickable && fits(d.members[i])
		}
	}
	return d.model.Choose(d.now, candidates, d.request.prompt())
}

// sharedTokens returns the number of tokens in the shared parts.
func (q Request) sharedTokens() int {
	sum := 0
	for _, p := range q.Parts {
		sum += p.Tokens
	}
	return sum
}

func (q Request) prompt() costmodel.Prompt {
	return costmodel.Prompt{Model: q.Model, Parts: q.Parts, UnsharedTokens: q.UnsharedTokens, OutputTokens: q.OutputTokens}
}

// fitsBody reports whether the bodies in flight to a member leave room for that of the
// request. One request always fits.
func (d *survey) fitsBody(m *member) bool {
	limit := maxMeanBodies * d.service.meanBody * float64(max(1, m.state.Slots))
	return m.total() == 0 || limit <= 0 || float64(m.bodyBytes+d.request.BodyBytes) <= limit
}

// fits reports whether a member has room and memory for the request. One request always
// fits.
func (d *survey) fits(m *member) bool {
	if m.total() == 0 {
		return true
	}
	if !d.fitsBody(m) {
		return false
	}
	if !d.service.Engine {
		return true
	}
	q := d.request
	need := m.tokens + q.UnsharedTokens + q.OutputTokens
	for _, p := range q.Parts {
		if m.parts[p.ID].users == 0 {
			need += p.Tokens
		}
	}
	return (d.memory <= 0 || float64(need) <= d.memory) && m.total() < engineQueue*max(1, m.state.Slots)
}

// reply returns the reply that names a member, with the estimates.
func (d *survey) reply(m *member, c costmodel.Choice) Reply {
	aheadMS, overtakenMS := d.waits(m, c)
	waitMS := aheadMS + d.group.blocked[d.level]*overtakenMS
	c.FirstTokenMS += d.model.Slowdown.Factor() * (waitMS - c.WaitMS)
	c.WaitMS = waitMS
	return Reply{
		Kind: Placement, Upstream: m.upstream.ID, Born: m.upstream.Born, Source: c.SourceID, FromStore: c.FromStore, Save: c.Save, Home: c.Home,
		FirstTokenMS: int(max(c.FirstTokenMS, d.slotWaitMS(m))), WaitMS: int(c.WaitMS), CostMS: int(c.CostMS), MissingTokens: c.MissingTokens,
		FreeSlots: c.FreeSlots, Candidates: len(d.candidates),
	}
}

// waits returns the estimated times for the work at a member of requests that are as urgent
// or more urgent, with this one, and for that of the others.
func (d *survey) waits(m *member, c costmodel.Choice) (aheadMS, overtakenMS float64) {
	tokensPerMS := d.model.Policy.PrefillTokensPerMS
	if m.state.Speed > 0 {
		tokensPerMS *= m.state.Speed
	}
	overtakenMS = float64(overtaken(m, d.level)) / tokensPerMS
	return c.WaitMS - float64(int(d.group.overtakenPart(d.level)*float64(overtaken(m, d.level))))/tokensPerMS, overtakenMS
}

// delaysUrgent reports whether a more urgent request might be late if it came after this
// one, since it would have to wait for what waits at the member and for this one. A request
// of more unshared tokens than the mean counts as one of the mean, so that large requests are
// not refused more often than others. factor is that of lateness.
func (d *survey) delaysUrgent(m *member, reply *Reply, factor float64) bool {
	idle := time.Duration(d.model.Policy.IdleFirstTokenMS * float64(time.Millisecond))
	excess := max(0, float64(d.request.UnsharedTokens)-d.group.meanUnshared[d.level])
	waiting := (float64(upTo(m.waiting, levels-1)+reply.MissingTokens) - excess) / d.model.Policy.PrefillTokensPerMS
	for i := range d.level {
		g := d.group
		if g.seenAt[i].IsZero() || d.now.Sub(g.seenAt[i]) >= urgentMemory || g.target[i] <= idle {
			continue
		}
		if allowed := factor * urgentPart * float64(g.target[i]-idle) / float64(time.Millisecond); g.blocked[i]*g.slowdown[i].Factor()*waiting > allowed {
			return true
		}
	}
	return false
}

// slotWaitMS returns the estimated time to the first token of a request for which no slot
// is free: requests that are as urgent or more urgent have to end first.
func (d *survey) slotWaitMS(m *member) float64 {
	ahead := upTo(m.requests, d.level) - m.state.Slots + 1
	if ahead <= 0 || !d.service.Engine {
		return 0
	}
	hold := float64(d.group.hold()) / float64(time.Millisecond)
	return d.board.opts.Policy.IdleFirstTokenMS + hold*float64(ahead)/float64(max(1, m.state.Slots))
}

// hold returns how long a lease lasts.
func (g *group) hold() time.Duration {
	if g.meanHold <= 0 {
		return defaultHold
	}
	return g.meanHold
}

// obstacle returns why the request is refused, "" if it is not. It sets the LimitMS of the
// reply.
func (d *survey) obstacle(m *member, reply *Reply, st standing, r room) Reason {
	q := d.request
	if !q.New {
		return ""
	}
	halfEmpty := 2*d.taken < d.slots
	switch {
	case r == noRoom:
		return NoMemory
	case r == crowded && halfEmpty:
		return ""
	case r == crowded && d.service.Engine:
		return NoMemory
	case r == crowded && st.restricted():
		return OverShare
	case r == crowded:
		return Full
	}
	if !d.service.Engine || q.TargetMS <= 0 {
		return ""
	}
	if halfEmpty {
		return ""
	}
	factor, reason := d.lateness(st)
	reply.LimitMS = int(factor * float64(q.TargetMS))
	switch {
	case reply.FirstTokenMS > reply.LimitMS:
		return reason
	case !st.starved && d.delaysUrgent(m, reply, factor):
		return OverShare
	}
	return ""
}

// lateness returns the factor on the target for the latest first token, and the reason of a
// refusal.
func (d *survey) lateness(st standing) (factor float64, reason Reason) {
	switch {
	case st.starved:
		return maxFactor, Late
	case st.restricted():
		return overShareFactor, OverShare
	}
	factor = 1
	if d.request.retries() {
		factor *= retryFactor
	}
	if st.under {
		factor *= underFactor
	}
	return min(maxFactor, factor), Late
}

// promise returns when a refused request should come back: when enough of what waits will
// have been served. Requests that are refused one after the other come back likewise.
func (d *survey) promise(reply Reply, work float64) time.Duration {
	servers := float64(max(1, len(d.members)))
	var delay, step time.Duration
	if d.service.Engine && reply.Reason != NoMemory {
		delay = milliseconds(reply.FirstTokenMS - d.request.TargetMS/2)
		step = time.Duration(work / d.board.opts.Policy.PrefillTokensPerMS / servers * float64(time.Millisecond))
	} else {
		delay = time.Duration(float64(d.group.hold()) * max(1, float64(d.taken-d.slots)/float64(max(1, d.slots))))
		step = d.group.hold() / time.Duration(max(1, d.slots))
	}
	at := d.now.Add(max(minPromise, delay))
	if d.group.promisedAt.After(at) {
		at = d.group.promisedAt
	}
	at = at.Add(step)
	latest := maxPromise
	if left := milliseconds(d.request.TimeLeftMS); left > 0 {
		latest = min(latest, time.Duration(promisePart*float64(left)))
	}
	if at.Sub(d.now) > latest {
		return latest
	}
	d.group.promisedAt = at
	return at.Sub(d.now)
}
