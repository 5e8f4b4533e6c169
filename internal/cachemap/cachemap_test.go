package cachemap_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/cachemap"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// fakeSource answers event calls by a script for each upstream.
type fakeSource struct {
	mu     sync.Mutex
	script map[string]func(n int, since uint64) (cachemap.Batch, error)
	calls  map[string]int
}

func (s *fakeSource) Events(ctx context.Context, u roster.Upstream, since uint64, _ time.Duration) (cachemap.Batch, error) {
	s.mu.Lock()
	n := s.calls[u.ID]
	s.calls[u.ID]++
	answer := s.script[u.ID]
	s.mu.Unlock()
	if answer == nil {
		<-ctx.Done()
		return cachemap.Batch{}, ctx.Err()
	}
	return answer(n, since)
}

func (s *fakeSource) called(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[id]
}

var parts = []roster.Part{{ID: "p", Tokens: 4_000}}

func missing(t *testing.T, table *roster.Table) int {
	t.Helper()
	c, found := table.Pick(time.Now(), roster.Query{Service: "lm", Model: "m", Parts: parts, UnsharedTokens: 100})
	if !found {
		t.Fatal("no engine found")
	}
	return c.MissingTokens
}

func run(t *testing.T, source *fakeSource, share float64) *roster.Table {
	t.Helper()
	table := roster.New(roster.Options{})
	table.SetCacheTokens("lm", 100_000)
	table.Put(time.Now(), roster.Upstream{ID: "e", Service: "lm", Model: "m", Version: 1, Slots: 8, Born: 1})
	m := cachemap.New(cachemap.Options{
		Source: source, Upstreams: table, Now: time.Now, FollowShare: func(roster.Upstream) float64 { return share }, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return table
}

func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func kept(tokens int) []roster.CachedPart {
	return []roster.CachedPart{{ID: "p", Tokens: tokens, Version: 1}}
}

// TestEventsCorrectWhatIsKept: parts are known as engines tell of them, and
// forgotten when they are dropped or the engine starts anew.
func TestEventsCorrectWhatIsKept(t *testing.T) {
	tests := map[string]cachemap.Batch{
		"dropped":          {Epoch: 1, Next: 3, Parts: kept(0)},
		"started anew":     {Epoch: 2, Next: 1},
		"of other weights": {Epoch: 1, Next: 3, Parts: append(kept(0), roster.CachedPart{ID: "p", Tokens: 4_000, Version: 2})},
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			source := &fakeSource{calls: make(map[string]int)}
			step := make(chan struct{})
			source.script = map[string]func(int, uint64) (cachemap.Batch, error){"e": func(n int, _ uint64) (cachemap.Batch, error) {
				if n == 0 {
					return cachemap.Batch{Epoch: 1, Next: 2, Parts: kept(4_000)}, nil
				}
				<-step
				return second, nil
			}}
			table := run(t, source, 1)
			await(t, "the part is known", func() bool { return missing(t, table) == 100 })
			close(step)
			await(t, "the part is forgotten", func() bool { return missing(t, table) > 100 })
		})
	}
}

// TestDarkEngine: one that answers no call is passed over before a request
// finds out.
func TestDarkEngine(t *testing.T) {
	source := &fakeSource{calls: make(map[string]int)}
	table := run(t, source, 1)
	await(t, "the engine is avoided", func() bool { return len(table.Avoided(time.Now())) == 1 })
}

// TestOthersFollow: an engine that is others' to follow gets no calls.
func TestOthersFollow(t *testing.T) {
	source := &fakeSource{calls: make(map[string]int), script: map[string]func(int, uint64) (cachemap.Batch, error){
		"e": func(int, uint64) (cachemap.Batch, error) { return cachemap.Batch{}, errors.New("turned away") },
	}}
	run(t, source, 0)
	time.Sleep(500 * time.Millisecond)
	if diff := cmp.Diff(0, source.called("e")); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestStoreOfKeptPrompts: a store that is lost and comes back is empty.
func TestStoreOfKeptPrompts(t *testing.T) {
	source := &fakeSource{calls: make(map[string]int)}
	lost := make(chan struct{})
	source.script = map[string]func(int, uint64) (cachemap.Batch, error){"store": func(n int, _ uint64) (cachemap.Batch, error) {
		if n == 0 {
			return cachemap.Batch{Epoch: 1, Next: 2, Parts: kept(4_000)}, nil
		}
		<-lost
		if n == 1 {
			return cachemap.Batch{}, errors.New("no answer")
		}
		return cachemap.Batch{Epoch: 2, Next: 1}, nil
	}}
	table := run(t, source, 1)
	table.SetStore(roster.Upstream{ID: "store", Address: "10.9.0.1:80"}, 100_000)
	await(t, "the store is a source", func() bool { return missing(t, table) == 100 })
	close(lost)
	await(t, "the store is no source", func() bool { return missing(t, table) > 100 })
}
