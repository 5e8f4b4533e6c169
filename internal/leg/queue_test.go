package leg_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/eventstream"
	"github.com/hibiscuscove/hibiscuscove/internal/leg"
	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
)

func event(n int) leg.Received {
	return leg.Received{Event: &eventstream.Event{Raw: make([]byte, n)}}
}

// Guards against upstreams that cut off a response because its caller reads slowly, and
// against events that wait without bound or are never given back.
func TestQueue(t *testing.T) {
	const size = 1000
	account := memaccount.New(10 * size)
	q := leg.NewQueue(account)
	for i := range 12 { // two are free
		if !q.Add(t.Context(), event(size)) {
			t.Fatalf("event %d not added", i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if q.Add(ctx, event(size)) {
		t.Error("an event was added beyond the account")
	}
	added := make(chan bool)
	go func() { added <- q.Add(t.Context(), leg.Received{Err: io.EOF}) }()
	taken := 0
	for {
		<-q.Ready()
		for r, found := q.Take(); found; r, found = q.Take() {
			if errors.Is(r.Err, io.EOF) {
				if taken != 12 || !<-added {
					t.Errorf("%d events before the end", taken)
				}
				if held := account.Status().Held[memaccount.Responses]; held != 0 {
					t.Errorf("%d bytes held after the end", held)
				}
				return
			}
			taken++
		}
	}
}

// Guards against memory that stays held when a request ends before its response is read.
func TestQueueClose(t *testing.T) {
	account := memaccount.New(10_000)
	q := leg.NewQueue(account)
	for range 8 {
		q.Add(t.Context(), event(1000))
	}
	q.Close()
	q.Add(t.Context(), event(1000))
	if held := account.Status().Held[memaccount.Responses]; held != 0 {
		t.Errorf("%d bytes held after Close", held)
	}
	if _, found := q.Take(); found {
		t.Error("an event after Close")
	}
}
