// Package virtualtime provides an event loop with a virtual clock, for discrete-event
// simulation. Minutes of a fleet's operation run in a short time and are exactly
// reproducible.
//
// # Usage
//
//	loop := virtualtime.New(start)
//	loop.After(time.Second, func() { ... })
//	loop.Run(start.Add(time.Minute))
//
// A Loop must be used from one goroutine only.
package virtualtime

import (
	"container/heap"
	"time"
)

// Loop is a virtual clock with a queue of scheduled events.
type Loop struct {
	now       time.Time
	events    eventQueue
	scheduled uint64
}

// New returns a Loop whose clock is at start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the current virtual time.
func (l *Loop) Now() time.Time { return l.now }

// After schedules f to run once d has passed. A negative d counts as zero. Events
// at the same time run in the order in which they were scheduled.
func (l *Loop) After(d time.Duration, f func()) {
	l.scheduled++
	heap.Push(&l.events, event{l.now.Add(max(0, d)), l.scheduled, f})
}

// Every schedules f to run repeatedly with the interval d. The first run is after d.
func (l *Loop) Every(d time.Duration, f func()) {
	l.After(d, func() {
		f()
		l.Every(d, f)
	})
}

// Run runs all events scheduled up to and including the time until, and sets the
// clock to it.
func (l *Loop) Run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = until
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
