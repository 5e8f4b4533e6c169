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
	// Rejected callers get a random Retry-After from minRetryAfter to
	// minRetryAfter + retryAfterSpread, so that they don't all retry at once.
	minRetryAfter    = time.Second
	retryAfterSpread = 2 * time.Second
)

// GateOptions configures a Gate. The zero value is valid.
type GateOptions struct {
	// Capacity is the maximum number of admitted requests. The default is 4096.
	Capacity int
	// MaxQueue is the maximum number of waiting requests. The default is 4096.
	MaxQueue int
	// QueueShare is the maximum share of the queue that one organisation may
	// use while others wait too. The default is 0.5.
	QueueShare float64
}

// Request holds the properties of a request that determine its admission.
type Request struct {
	Organisation string
	// Share is the organisation's weight in fair queueing. Values below 1 count as 1.
	Share int
	// Level is the priority, 0 for the most urgent.
	Level int
	// MaxInFlight limits the organisation's requests, admitted and waiting ones.
	// Zero means no limit.
	MaxInFlight int
	// Deadline is when the request expires. Zero means never.
	Deadline time.Time
}

// Gate admits requests up to a capacity and lets the others wait in a queue of
// limited length: the most urgent priority first, and within a priority by
// start-time fair queueing (Goyal, Vin, Cheng, 1996) with the organisations'
// shares as weights.
type Gate struct {
	mu          sync.Mutex
	opts        GateOptions
	admitted    int
	waiting     waitQueue
	virtualTime float64
	// finishTags holds the finish tag of each organisation's last request.
	finishTags map[string]float64
	// inFlight counts the admitted and waiting requests of each organisation,
	// queued only the waiting ones.
	inFlight map[string]int
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
		opts:       opts,
		finishTags: make(map[string]float64),
		inFlight:   make(map[string]int),
		queued:     make(map[string]int),
	}
}

// Ticket is a slot of a Gate or a position in its queue.
type Ticket struct {
	gate     *Gate
	request  Request
	startTag float64
	sequence uint64
	index    int
	admitted chan struct{}
	state    ticketState
}

type ticketState uint8

const (
	ticketWaiting ticketState = iota
	ticketAdmitted
	ticketReleased
)

// Admitted returns a channel that is closed when the request is admitted.
func (t *Ticket) Admitted() <-chan struct{} { return t.admitted }

// SetCapacity changes the capacity, at least 1, and admits waiting requests that
// now fit.
func (g *Gate) SetCapacity(capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opts.Capacity = max(1, capacity)
	g.admit()
}

// Acquire admits the request or adds it to the queue. It does not wait. If the
// request is rejected, the error is a *verdict.Error with the verdict NotRun and
// the time after which to retry.
func (g *Gate) Acquire(now time.Time, r Request) (*Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return nil, rejection("deadline_passed", "the deadline has passed")
	}
	if r.MaxInFlight > 0 && g.inFlight[r.Organisation] >= r.MaxInFlight {
		return nil, rejection("organisation_limit", "the organisation has too many requests in flight")
	}
	if g.admitted >= g.opts.Capacity && !g.queueAccepts(r) {
		return nil, rejection("queue_full", "too many requests are waiting")
	}
	t := g.newTicket(r)
	g.inFlight[r.Organisation]++
	g.queued[r.Organisation]++
	heap.Push(&g.waiting, t)
	g.admit()
	return t, nil
}

// queueAccepts reports whether the request may wait: the queue is not full, and
// the organisation does not exceed QueueShare while others wait too. The caller
// holds the lock.
func (g *Gate) queueAccepts(r Request) bool {
	maxQueued := int(g.opts.QueueShare * float64(g.opts.MaxQueue))
	if len(g.queued) > 1 && g.queued[r.Organisation] >= maxQueued {
		return false
	}
	return len(g.waiting) < g.opts.MaxQueue
}

// rejection returns the error for a rejected request.
func rejection(code, reason string) *verdict.Error {
	wait := minRetryAfter + rand.N(retryAfterSpread)
	return verdict.New(verdict.NotRun, http.StatusTooManyRequests, code, reason).WithRetryAfter(wait)
}

// newTicket returns a ticket with its start tag and advances the organisation's
// finish tag. The caller holds the lock.
func (g *Gate) newTicket(r Request) *Ticket {
	startTag := max(g.virtualTime, g.finishTags[r.Organisation])
	g.finishTags[r.Organisation] = startTag + 1/float64(max(1, r.Share))
	g.sequence++
	return &Ticket{gate: g, request: r, startTag: startTag, sequence: g.sequence, admitted: make(chan struct{})}
}

// admit admits waiting requests while there is capacity. The caller holds the
// lock.
func (g *Gate) admit() {
	for g.admitted < g.opts.Capacity && len(g.waiting) > 0 {
		t := heap.Pop(&g.waiting).(*Ticket)
		g.admitted++
		g.virtualTime = max(g.virtualTime, t.startTag)
		t.state = ticketAdmitted
		g.countDequeued(t.request.Organisation)
		close(t.admitted)
	}
}

// countDequeued updates the queue length of an organisation. The caller holds
// the lock.
func (g *Gate) countDequeued(organisation string) {
	g.queued[organisation]--
	if g.queued[organisation] == 0 {
		delete(g.queued, organisation)
	}
}

// Release frees the slot, or removes the request from the queue. Further calls
// have no effect.
func (t *Ticket) Release() {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case ticketReleased:
		return
	case ticketAdmitted:
		g.admitted--
	case ticketWaiting:
		heap.Remove(&g.waiting, t.index)
		g.countDequeued(t.request.Organisation)
	}
	t.state = ticketReleased
	g.countReleased(t.request.Organisation)
	g.admit()
}

// countReleased updates the requests of an organisation, and removes its finish
// tag once that no longer has an effect. The caller holds the lock.
func (g *Gate) countReleased(organisation string) {
	g.inFlight[organisation]--
	if g.inFlight[organisation] > 0 {
		return
	}
	delete(g.inFlight, organisation)
	if g.finishTags[organisation] <= g.virtualTime {
		delete(g.finishTags, organisation)
	}
}

// Load returns the numbers of admitted and waiting requests.
func (g *Gate) Load() (admitted, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitted, len(g.waiting)
}

// waitQueue is a heap of the waiting tickets, the next to be admitted first.
type waitQueue []*Ticket

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.request.Level != b.request.Level {
		return a.request.Level < b.request.Level
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
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
