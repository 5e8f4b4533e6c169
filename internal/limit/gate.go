package limit

import (
	"container/heap"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

const (
	defaultGateCapacity = 4096
	defaultGateQueue    = 4096
	defaultQueueShare   = 0.5
	retryAfterLeast     = time.Second
	retryAfterSpread    = 2 * time.Second
)

// GateOptions sets up a Gate. The zero value works.
type GateOptions struct {
	// Capacity is how many requests are inside at a time. The default is 4096.
	Capacity int
	// MaxQueue is how many wait. The default is 4096.
	MaxQueue int
	// QueueShare is the largest part of the queue that one organisation may
	// hold while others wait too. The default is 0.5.
	QueueShare float64
}

// Request is a request that asks to enter.
type Request struct {
	Organisation string
	// Share weighs the organisation.
	Share int
	// Level is the priority, 0 for the most urgent.
	Level int
	// MaxInFlight bounds the organisation's requests inside and waiting. Zero sets no bound.
	MaxInFlight int
	// Deadline is when the request is of no more use.
	Deadline time.Time
}

// Gate admits requests up to a capacity and lets the rest wait in a bounded
// queue: the most urgent priority first, and within a priority by start-time
// fair queueing (Goyal, Vin, Cheng, 1996) over the organisations' shares.
type Gate struct {
	mu       sync.Mutex
	opts     GateOptions
	inside   int
	waiting  waitQueue
	virtual  float64
	finish   map[string]float64
	held     map[string]int
	queued   map[string]int
	sequence uint64
}

// NewGate returns a Gate.
func NewGate(opts GateOptions) *Gate {
	if opts.Capacity <= 0 {
		opts.Capacity = defaultGateCapacity
	}
	if opts.MaxQueue <= 0 {
		opts.MaxQueue = defaultGateQueue
	}
	if opts.QueueShare <= 0 {
		opts.QueueShare = defaultQueueShare
	}
	return &Gate{
		opts:   opts,
		finish: make(map[string]float64),
		held:   make(map[string]int),
		queued: make(map[string]int),
	}
}

// Ticket is a place inside the gate or in its queue.
type Ticket struct {
	gate     *Gate
	entrant  Request
	start    float64
	sequence uint64
	index    int
	admitted chan struct{}
	state    ticketState
}

type ticketState uint8

const (
	ticketWaiting ticketState = iota
	ticketInside
	ticketGone
)

// Admitted is closed once the request is inside.
func (t *Ticket) Admitted() <-chan struct{} { return t.admitted }

// SetCapacity changes the capacity and admits those that now fit.
func (g *Gate) SetCapacity(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opts.Capacity = max(1, capacity)
	g.admit()
}

// Acquire takes a place inside or in the queue, or refuses at once with the
// verdict NotRun and when to come back.
func (g *Gate) Acquire(now time.Time, e Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
		return nil, refusal("deadline_passed", "the deadline has passed")
	}
	if e.MaxInFlight > 0 && g.held[e.Organisation] >= e.MaxInFlight {
		return nil, refusal("organisation_limit", "the organisation has too many requests in flight")
	}
	if g.inside >= g.opts.Capacity && !g.room(e) {
		return nil, refusal("queue_full", "too many requests are waiting")
	}
	t := g.ticket(e)
	g.held[e.Organisation]++
	g.queued[e.Organisation]++
	heap.Push(&g.waiting, t)
	g.admit()
	return t, nil
}

// room reports whether the queue takes the entrant: there is a place, and the
// organisation does not hold more than its part while others wait too.
func (g *Gate) room(e Request) bool {
	most := int(g.opts.QueueShare * float64(g.opts.MaxQueue))
	if len(g.queued) > 1 && g.queued[e.Organisation] >= most {
		return false
	}
	return len(g.waiting) < g.opts.MaxQueue
}

func refusal(code, reason string) *verdict.Error {
	wait := retryAfterLeast + rand.N(retryAfterSpread)
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, code, reason).WithRetryAfter(wait)
}

func (g *Gate) ticket(e Request) *Ticket {
	start := max(g.virtual, g.finish[e.Organisation])
	g.finish[e.Organisation] = start + 1/float64(max(1, e.Share))
	g.sequence++
	return &Ticket{gate: g, entrant: e, start: start, sequence: g.sequence, admitted: make(chan struct{})}
}

func (g *Gate) admit() {
	for g.inside < g.opts.Capacity && len(g.waiting) > 0 {
		t := heap.Pop(&g.waiting).(*Ticket)
		g.inside++
		g.virtual = max(g.virtual, t.start)
		t.state = ticketInside
		g.unqueue(t.entrant.Organisation)
		close(t.admitted)
	}
}

func (g *Gate) unqueue(organisation string) {
	g.queued[organisation]--
	if g.queued[organisation] == 0 {
		delete(g.queued, organisation)
	}
}

// Release gives the place back, inside or in the queue. It may be called twice.
func (t *Ticket) Release() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketGone:
		return
	case ticketInside:
		g.inside--
	case ticketWaiting:
		heap.Remove(&g.waiting, t.index)
		g.unqueue(t.entrant.Organisation)
	}
	t.state = ticketGone
	g.release(t.entrant.Organisation)
	g.admit()
}

func (g *Gate) release(organisation string) {
	g.held[organisation]--
	if g.held[organisation] > 0 {
		return
	}
	delete(g.held, organisation)
	if g.finish[organisation] <= g.virtual {
		delete(g.finish, organisation)
	}
}

// Load returns how many requests are inside and waiting.
func (g *Gate) Load() (inside, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inside, len(g.waiting)
}

type waitQueue []*Ticket

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.entrant.Level != b.entrant.Level {
		return a.entrant.Level < b.entrant.Level
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *waitQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *waitQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return t
}
