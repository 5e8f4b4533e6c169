// Package connlimit limits what clients may do with connections: how many they have open,
// how long they take for the head of a request, and at what rate they send bodies and read
// responses at least. A Table decides which connections are closed, without a network; a
// Listener applies the limits to the connections of a net/http server.
//
// # Usage
//
//	table := connlimit.NewTable(connlimit.TableOptions{Max: 1000, MaxPerSource: 750})
//	listener := connlimit.Listener{Listener: inner, Options: connlimit.Options{Table: table, ...}}
//	server.ReadHeaderTimeout, server.IdleTimeout = connlimit.ServerTimeout, connlimit.ServerTimeout
//	server.ConnState = listener.ConnState
//	server.Serve(listener)
//
// All types are safe for concurrent use.
package connlimit

import (
	"container/list"
	"net/netip"
	"sync"
	"time"
)

// minWaiting is how long a connection has not sent a whole head at least when it is closed
// in favour of an idle one. Ordinary callers send theirs at once.
const minWaiting = 250 * time.Millisecond

// State is what a connection does.
type State uint8

const (
	// Waiting connections have not sent the whole head of their next request.
	Waiting State = iota
	// Active connections have a request that is being served. They are never closed in
	// favour of others.
	Active
	// Idle connections have had the response to their last request.
	Idle
)

// TableOptions sets up a Table.
type TableOptions struct {
	// Max is the number of connections at a time, MaxPerSource that of those from one
	// address.
	Max, MaxPerSource int
}

// Table holds the open connections of a listener and decides which are closed when there
// are too many.
type Table struct {
	opts TableOptions

	mu sync.Mutex
	// waiting and idle hold the entries in these states, the longest first.
	waiting, idle list.List
	sources       map[netip.Addr]int
	count         int
}

// NewTable returns a Table without connections.
func NewTable(opts TableOptions) *Table {
	return &Table{opts: opts, sources: make(map[netip.Addr]int)}
}

// Entry is one connection of a Table.
type Entry struct {
	table  *Table
	source netip.Addr
	// close ends the connection.
	close func()

	// All below is guarded by the table's lock.
	state   State
	since   time.Time
	element *list.Element
	removed bool
}

// Add adds a connection that was opened now, closing the least useful one if there are too
// many. It returns nil if there are too many and all others are in use. safeIdle is the
// time after which clients don't use an idle connection again.
func (t *Table) Add(now time.Time, source netip.Addr, safeIdle time.Duration, closeConn func()) (entry *Entry, evicted bool) {
	t.mu.Lock()
	var victim *Entry
	switch {
	case t.sources[source] >= t.opts.MaxPerSource:
		victim = t.leastUseful(now, safeIdle, func(e *Entry) bool { return e.source == source })
	case t.count >= t.opts.Max:
		victim = t.leastUseful(now, safeIdle, func(*Entry) bool { return true })
	default:
		defer t.mu.Unlock()
		return t.insert(now, source, closeConn), false
	}
	if victim == nil {
		t.mu.Unlock()
		return nil, false
	}
	t.remove(victim)
	entry = t.insert(now, source, closeConn)
	t.mu.Unlock()
	victim.close()
	return entry, true
}

// CloseLeastUseful closes one connection because the process has no more descriptors. It
// reports whether there was one to close.
func (t *Table) CloseLeastUseful(now time.Time, safeIdle time.Duration) bool {
	t.mu.Lock()
	victim := t.leastUseful(now, safeIdle, func(*Entry) bool { return true })
	if victim != nil {
		t.remove(victim)
	}
	t.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.close()
	return true
}

func (t *Table) insert(now time.Time, source netip.Addr, closeConn func()) *Entry {
	e := &Entry{table: t, source: source, close: closeConn, state: Waiting, since: now}
	e.element = t.waiting.PushBack(e)
	t.sources[source]++
	t.count++
	return e
}

// leastUseful returns the connection to close: first an idle one that its client does not
// use again, then one that has been slow with its head. Without these it is the longest of
// those that wait for a head, or of the idle ones, whichever are more: after a flood of new
// connections the former, whose clients would keep all others out. The caller holds the
// lock.
func (t *Table) leastUseful(now time.Time, safeIdle time.Duration, within func(*Entry) bool) *Entry {
	first := func(l *list.List, minAge time.Duration) *Entry {
		for element := l.Front(); element != nil; element = element.Next() {
			e := element.Value.(*Entry)
			if now.Sub(e.since) < minAge {
				return nil
			}
			if within(e) {
				return e
			}
		}
		return nil
	}
	if e := first(&t.idle, safeIdle); e != nil {
		return e
	}
	if e := first(&t.waiting, minWaiting); e != nil {
		return e
	}
	larger, smaller := &t.idle, &t.waiting
	if t.waiting.Len() > t.idle.Len() {
		larger, smaller = smaller, larger
	}
	if e := first(larger, 0); e != nil {
		return e
	}
	return first(smaller, 0)
}

// remove takes an entry out. The caller holds the lock.
func (t *Table) remove(e *Entry) {
	if e.removed {
		return
	}
	e.removed = true
	e.unlink()
	t.count--
	if t.sources[e.source]--; t.sources[e.source] == 0 {
		delete(t.sources, e.source)
	}
}

func (e *Entry) unlink() {
	if e.element == nil {
		return
	}
	l := &e.table.waiting
	if e.state == Idle {
		l = &e.table.idle
	}
	l.Remove(e.element)
	e.element = nil
}

// SetState records what the connection does from now on.
func (e *Entry) SetState(now time.Time, s State) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.removed || e.state == s {
		return
	}
	e.unlink()
	e.state, e.since = s, now
	switch s {
	case Waiting:
		e.element = e.table.waiting.PushBack(e)
	case Idle:
		e.element = e.table.idle.PushBack(e)
	}
}

// Remove takes the connection out of the table. Calling it again has no effect.
func (e *Entry) Remove() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	e.table.remove(e)
}

// Status is the number of connections of a Table by state.
type Status struct {
	Max     int `json:"max"`
	Waiting int `json:"waiting"`
	Active  int `json:"active"`
	Idle    int `json:"idle"`
	Sources int `json:"sources"`
}

// Status returns the numbers of connections.
func (t *Table) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting, idle := t.waiting.Len(), t.idle.Len()
	return Status{Max: t.opts.Max, Waiting: waiting, Active: t.count - waiting - idle, Idle: idle, Sources: len(t.sources)}
}
