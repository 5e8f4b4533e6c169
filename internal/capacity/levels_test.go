package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
)

// playPlain sends 60 requests of 60 ms a second to each of three plain upstreams, with one to
// six in flight. slowdown returns the factor on the time at an upstream. Every fifth response
// is a fast failure, which must not be observed.
func playPlain(b *capacity.Book, length time.Duration, slowdown func(upstream, inFlight int) float64) {
	rng := rand.New(rand.NewPCG(7, 8))
	var list []capacity.Upstream
	for i := range 3 {
		list = append(list, capacity.Upstream{Incarnation: name(i), Service: "plain", Slots: 6})
	}
	b.Retain(start, list)
	for at := time.Duration(0); at < length; at += tick {
		for i := range 3 {
			for range 6 {
				inFlight := 1 + rng.IntN(6)
				ms := 60 * slowdown(i, inFlight) * math.Exp(0.5*rng.NormFloat64())
				b.ObservePlain(start.Add(at), name(i), inFlight, time.Duration(ms*float64(time.Millisecond)))
			}
		}
		b.Refresh(start.Add(at))
	}
}

// Load: one plain upstream slows down from the third request on. Guards against requests that
// are piled up there, and against a learnt number without effect or where all are alike.
func TestConcurrentRequests(t *testing.T) {
	fromThird := func(inFlight int) float64 { return max(1, float64(inFlight)/2) * choose(inFlight > 2, 1.3, 1) }
	tests := map[string]struct {
		slowdown func(upstream, inFlight int) float64
		want     []int
	}{
		"one slows down": {func(i, n int) float64 { return choose(i == 0, fromThird(n), 1) }, []int{2, 0, 0}},
		"all alike":      {func(_, n int) float64 { return fromThird(n) }, []int{0, 0, 0}},
		"constant":       {func(int, int) float64 { return 1 }, []int{0, 0, 0}},
	}
	for what, test := range tests {
		t.Run(what, func(t *testing.T) {
			b := capacity.NewBook()
			playPlain(b, 10*time.Second, test.slowdown)
			var got []int
			for i := range 3 {
				got = append(got, b.Speed(name(i)).Concurrent)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("learnt numbers (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a learnt number that stays when the upstream has recovered and gets no more
// requests beyond it.
func TestConcurrentIsTriedAgain(t *testing.T) {
	b := capacity.NewBook()
	playPlain(b, 10*time.Second, func(i, n int) float64 { return choose(i == 0 && n > 2, 3.0, 1) })
	if got := b.Speed(name(0)).Concurrent; got != 2 {
		t.Fatalf("learnt number %d, want 2", got)
	}
	for at := 10 * time.Second; at < 60*time.Second; at += tick {
		b.ObservePlain(start.Add(at), name(0), 1, 60*time.Millisecond)
		b.Refresh(start.Add(at))
	}
	if got := b.Speed(name(0)).Concurrent; got != 0 {
		t.Errorf("learnt number %d after 50 s, want none", got)
	}
}

// Load: one of three plain upstreams takes 2.5 times as long. Guards against one that gets as
// many requests as the others.
func TestSlowPlainUpstream(t *testing.T) {
	b := capacity.NewBook()
	playPlain(b, 10*time.Second, func(i, _ int) float64 { return choose(i == 0, 2.5, 1) })
	for i := range 3 {
		if f := b.Speed(name(i)); f.Slow != (i == 0) || f.Fast {
			t.Errorf("upstream %d: %+v", i, f)
		}
	}
}

// Guards against reports beyond the bytes that a beacon has for them.
func TestReportSize(t *testing.T) {
	b := capacity.NewBook()
	load{engines: 90, speed: even, perS: 4, spread: 0.5, length: 10 * time.Minute}.play(b, nil)
	seen := make(map[uint32]bool)
	now := start.Add(10 * time.Minute)
	for range 8 {
		r := b.Reports(now)
		if size := packed(t, r); size > 260 || len(r.Engines) > 12 {
			t.Errorf("%d reports of %d bytes", len(r.Engines), size)
		}
		for _, e := range r.Engines {
			seen[e.ID] = true
		}
	}
	if len(seen) < 85 {
		t.Errorf("8 beacons report %d of 90 upstreams", len(seen))
	}
	plain := capacity.NewBook()
	playPlain(plain, time.Minute, func(int, int) float64 { return 1 })
	if size := packed(t, plain.Reports(start.Add(time.Minute))); size > 260 {
		t.Errorf("reports of plain upstreams take %d bytes", size)
	}
	if r := b.Reports(now.Add(time.Minute)); r != nil {
		t.Errorf("sums that have not changed lately are reported: %+v", r)
	}
}

// packed returns the size of reports in a beacon.
func packed(t *testing.T, r *capacity.Reports) int {
	t.Helper()
	raw, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

func choose[T any](condition bool, a, b T) T {
	if condition {
		return a
	}
	return b
}

// BenchmarkRefresh measures the work that a VM does five times a second, and that for each
// report of a peer.
func BenchmarkRefresh(b *testing.B) {
	for _, engines := range []int{18, 140, 1_000} {
		book, sender := capacity.NewBook(), capacity.NewBook()
		l := load{engines: engines, speed: thirds, perS: 4, spread: 0.5, length: 15 * time.Second}
		l.play(book, nil)
		l.play(sender, nil)
		now := start.Add(l.length)
		b.Run(fmt.Sprintf("refresh/engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				book.Refresh(now)
			}
		})
		b.Run(fmt.Sprintf("report/engines=%d", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				book.Learn(now, "vm", 1, sender.Reports(now))
			}
		})
	}
}
