// Package virtualtime plays events in the order of a time of its own, so that
// minutes of a fleet's life take moments and repeat exactly.
//
// # Usage
//
//	loop := virtualtime.New(start)
//	loop.After(time.Second, func() { ... })
//	loop.Run(start.Add(time.Minute))
//
// A Loop is for one goroutine.
package virtualtime

import (
	"container/heap"
	"time"
)

// Loop holds the events to come.
type Loop struct {
	now    time.Time
	events queue
	count  uint64
}

// New returns a Loop whose time is start.
func New(start time.Time) *Loop { return &Loop{now: start} }

// Now returns the present time.
func (l *Loop) Now() time.Time { return l.now }

// After plays f once d has passed. Events of one moment are played in the
// order in which they were asked for.
func (l *Loop) After(d time.Duration, f func()) {
	l.count++
	heap.Push(&l.events, event{l.now.Add(max(0, d)), l.count, f})
}

// Every plays f each d, first after d.
func (l *Loop) Every(d time.Duration, f func()) {
	l.After(d, func() {
		f()
		l.Every(d, f)
	})
}

// Run plays the events up to a time, which is then the present.
func (l *Loop) Run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.play()
	}
	l.now = until
}

type event struct {
	at    time.Time
	count uint64
	play  func()
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].count < q[j].count
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(e any) { *q = append(*q, e.(event)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}
