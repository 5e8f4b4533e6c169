package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// BoardStatus is the state of a board, for the dump of a VM.
type BoardStatus struct {
	Counts
	Leases int           `json:"leases"`
	Groups []GroupStatus `json:"groups"`
}

// GroupStatus is the state of a group that the VM was asked for lately.
type GroupStatus struct {
	Service string `json:"service"`
	Group   int    `json:"group"`
	Groups  int    `json:"groups"`
	// HoldMS is how long leases last, and Slowdown by how much first tokens are later than
	// estimated, by priority.
	HoldMS   int64           `json:"hold_ms"`
	Slowdown [levels]float64 `json:"slowdown"`
	// Blocked holds the part of the less urgent work that requests were seen to wait for, by
	// priority.
	Blocked [levels]float64 `json:"blocked"`
	// Served is the part of the requests that was not refused, by priority, 1 if there were
	// few.
	Served [levels]float64 `json:"served"`
	// Work and Refused hold the work that organisations had and were refused lately, in
	// tokens.
	Work    map[string]int `json:"work"`
	Refused map[string]int `json:"refused"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the load of an upstream by the leases.
type MemberStatus struct {
	Upstream      string `json:"upstream"`
	Requests      int    `json:"requests"`
	WaitingTokens int    `json:"waiting_tokens"`
	Tokens        int    `json:"tokens"`
	BodyBytes     int    `json:"body_bytes"`
}

// Status returns the state of the board.
func (b *Board) Status(now time.Time) BoardStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	status := BoardStatus{Counts: b.counts, Leases: len(b.leases)}
	status.Refusals = make(map[Reason]int64, len(b.counts.Refusals))
	for reason, n := range b.counts.Refusals {
		status.Refusals[reason] = n
	}
	for name, s := range b.services {
		for key, g := range s.groups {
			status.Groups = append(status.Groups, s.group(g.usedAt, key).status(now, name, key))
		}
	}
	slices.SortFunc(status.Groups, func(x, y GroupStatus) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Groups, y.Groups), cmp.Compare(x.Group, y.Group))
	})
	return status
}

func (g *group) status(now time.Time, service string, key groupKey) GroupStatus {
	status := GroupStatus{
		Service: service, Group: key.group, Groups: key.groups, Blocked: g.blocked, HoldMS: g.meanHold.Milliseconds(),
		Work: make(map[string]int), Refused: make(map[string]int),
	}
	for i := range levels {
		status.Slowdown[i] = g.slowdown[i].Factor()
		g.shares.classes[i].decay(now, classHalfLife)
		status.Served[i] = g.shares.classes[i].served()
	}
	for name, o := range g.shares.organisations {
		o.decay(now, shareHalfLife)
		status.Work[name], status.Refused[name] = int(o.work), int(o.refusedWork)
	}
	for _, m := range g.members {
		status.Members = append(status.Members, MemberStatus{
			Upstream: m.upstream.ID, Requests: m.total(), WaitingTokens: upTo(m.waiting, levels-1), Tokens: m.tokens, BodyBytes: m.bodyBytes,
		})
	}
	return status
}

// Counts returns the numbers of decisions.
func (b *Board) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Refusals = make(map[Reason]int64, len(b.counts.Refusals))
	for reason, n := range b.counts.Refusals {
		c.Refusals[reason] = n
	}
	return c
}

// AgentStatus is the state of an Agent and its board, for the dump of a VM.
type AgentStatus struct {
	// Dispatchers holds the VM that dispatches each group, by service and group.
	Dispatchers map[string]string `json:"dispatchers"`
	// Avoided holds the milliseconds for which VMs that did not reply are not asked.
	Avoided map[string]int64 `json:"avoided"`
	// OpenLeases is the number of this VM's requests that dispatchers count.
	OpenLeases int         `json:"open_leases"`
	Board      BoardStatus `json:"board"`
}

// Status returns the state of the agent and its board.
func (a *Agent) Status(now time.Time) AgentStatus {
	status := AgentStatus{Dispatchers: make(map[string]string), Avoided: make(map[string]int64), Board: a.opts.Board.Status(now)}
	a.mu.Lock()
	defer a.mu.Unlock()
	status.OpenLeases = len(a.leases)
	for key, name := range a.chosen {
		status.Dispatchers[key.service+"/"+strconv.Itoa(key.group)] = name
	}
	for name, f := range a.failures {
		if f.until.After(now) {
			status.Avoided[name] = f.until.Sub(now).Milliseconds()
		}
	}
	return status
}
