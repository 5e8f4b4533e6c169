package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/dispatch"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// after returns the time some milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// engines returns a service of engines with 12 slots and the given memory.
func engines(n, cacheTokens int) dispatch.Service {
	return serviceOf("lm", true, n, 12, cacheTokens)
}

// plain returns a plain service whose upstreams have 6 slots.
func plain(n int) dispatch.Service { return serviceOf("desk", false, n, 6, 0) }

func serviceOf(name string, engine bool, n, slots, cacheTokens int) dispatch.Service {
	s := dispatch.Service{Name: name, Engine: engine, CacheTokens: cacheTokens}
	for i := range n {
		id := fmt.Sprintf("%s-%02d", name, i)
		u := roster.Upstream{ID: id, Service: name, Slots: slots, Born: 1, DataCentre: "a"}
		if engine {
			u.Model, u.Version = "m", 1
		}
		s.Members = append(s.Members, roster.Candidate{
			Upstream: u,
			State:    costmodel.Candidate{ID: id, IDHash: costmodel.Hash(id), Slots: slots, Pickable: true, Generation: u.Generation()},
		})
	}
	return s
}

// newBoard returns a board with one group of each service.
func newBoard(services ...dispatch.Service) *dispatch.Board {
	b := dispatch.NewBoard(dispatch.BoardOptions{Policy: costmodel.Policy{PrefillTokensPerMS: 50}})
	b.Sync(start, services)
	return b
}

// long is a long prompt of 2,890 unshared tokens, with a target of 1,200 ms.
func long(id uint64, prompt string) dispatch.Request {
	return dispatch.Request{
		ID: id, Service: "lm", Model: "m", Parts: []promptcache.Part{{ID: "outer", Tokens: 2_500}, {ID: prompt, Tokens: 3_800}},
		UnsharedTokens: 2_890, OutputTokens: 9, BodyBytes: 40_000, Priority: 2, Organisation: "acme",
		TargetMS: 1_200, TimeLeftMS: 5_000, TimeoutMS: 5_000, New: true, DataCentre: "a",
	}
}

// short is a short prompt of the most urgent priority, with a target of 400 ms.
func short(id uint64) dispatch.Request {
	return dispatch.Request{
		ID: id, Service: "lm", Model: "m", Parts: []promptcache.Part{{ID: "small", Tokens: 198}}, UnsharedTokens: 628, OutputTokens: 49,
		BodyBytes: 4_000, Organisation: "acme", TargetMS: 400, TimeLeftMS: 15_000, TimeoutMS: 15_000, New: true, DataCentre: "a",
	}
}

// call is a request to a plain service.
func call(id uint64) dispatch.Request {
	return dispatch.Request{
		ID: id, Service: "desk", BodyBytes: 2_000, Priority: 2, Organisation: "acme", TargetMS: 150, TimeLeftMS: 1_500, TimeoutMS: 1_500, New: true, DataCentre: "a",
	}
}

// fill places requests until one is refused, and returns the number that was placed and the
// refusal.
func fill(t *testing.T, b *dispatch.Board, now time.Time, next func(id uint64) dispatch.Request, firstID uint64) (int, dispatch.Reply) {
	t.Helper()
	for n := range 1_000 {
		if r := b.Place(now, "vm", next(firstID+uint64(n))); r.Kind != dispatch.Placement {
			return n, r
		}
	}
	t.Fatal("1,000 requests placed, none refused")
	return 0, dispatch.Reply{}
}

// Guards against urgent requests that are refused because of queues of less urgent prompts,
// which engines let them overtake: with 400 ms of less urgent work at each engine, an urgent
// request with a target of 400 ms must be placed. The other way round it must not.
func TestOnlyAsUrgentWorkCounts(t *testing.T) {
	tests := map[string]struct {
		first, then func(id uint64) dispatch.Request
		want        dispatch.Kind
	}{
		"urgent after less urgent": {func(id uint64) dispatch.Request { return long(id, "p") }, short, dispatch.Placement},
		"less urgent after urgent": {short, func(id uint64) dispatch.Request {
			q := short(id)
			q.Priority = 1
			return q
		}, dispatch.Refusal},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBoard(engines(4, 1_000_000))
			fill(t, b, start, test.first, 1)
			got := b.Place(start, "vm", test.then(5_000))
			if diff := cmp.Diff(test.want, got.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s\n%+v", diff, got)
			}
		})
	}
}

// Guards against prompts that are recomputed at engine after engine: while none is busy, the
// requests for one prompt go to the engine that has it.
func TestPromptStaysWhereItIsCached(t *testing.T) {
	b := newBoard(engines(16, 92_000))
	first := b.Place(start, "vm", long(1, "p"))
	b.Progress(after(200), "vm", dispatch.Progress{ID: 1, Begun: true, FirstTokenMS: 200})
	b.Progress(after(300), "vm", dispatch.Progress{ID: 1, Ended: true})
	second := b.Place(after(400), "vm", long(2, "p"))
	if diff := cmp.Diff(first.Upstream, second.Upstream); diff != "" {
		t.Errorf("upstream of the second request (-first +second):\n%s", diff)
	}
	if diff := cmp.Diff(2_890, second.MissingTokens); diff != "" {
		t.Errorf("tokens to compute (-want +got):\n%s", diff)
	}
}

// Guards against an engine whose requests need more memory than it has: it would evict the
// shared parts of all. A shared part takes up memory once.
func TestMemory(t *testing.T) {
	const memory = 40_000 // 6,300 shared and 11 times 2,899 unshared tokens
	b := newBoard(engines(1, memory))
	next := func(id uint64) dispatch.Request {
		q := long(id, "p")
		q.TargetMS = 60_000
		return q
	}
	placed, refusal := fill(t, b, start, next, 1)
	if diff := cmp.Diff(11, placed); diff != "" {
		t.Errorf("requests placed (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(dispatch.NoMemory, refusal.Reason); diff != "" {
		t.Errorf("reason (-want +got):\n%s", diff)
	}
	if refusal.RetryAfterMS <= 0 || refusal.MemoryTokens <= 0 || refusal.MemoryTokens > memory {
		t.Errorf("refusal without a time, or with wrong memory: %+v", refusal)
	}
	// Once a request has ended there is memory for another one.
	b.Progress(after(500), "vm", dispatch.Progress{ID: 1, Ended: true})
	if got := b.Place(after(500), "vm", next(100)); got.Kind != dispatch.Placement {
		t.Errorf("not placed after one has ended: %+v", got)
	}
}

// Guards against urgent requests that find the memory taken: while they come, less urgent
// ones leave a tenth of it.
func TestMemoryForUrgentRequests(t *testing.T) {
	next := func(id uint64) dispatch.Request {
		q := long(id, "p")
		q.TargetMS = 60_000
		return q
	}
	b := newBoard(engines(1, 40_000))
	b.Place(start, "vm", short(1_000))
	b.Progress(start, "vm", dispatch.Progress{ID: 1_000, Ended: true})
	if placed, _ := fill(t, b, start, next, 1); placed != 10 {
		t.Errorf("%d less urgent requests placed beside urgent ones, want 10", placed)
	}
	if got := b.Place(start, "vm", short(1_001)); got.Kind != dispatch.Placement {
		t.Errorf("urgent request: %+v", got)
	}
}

// Guards against upstreams that crash under the bodies of their requests: what is in flight
// to one stays under its slots times four average bodies, but for a single request.
func TestBodies(t *testing.T) {
	b := newBoard(plain(1))
	for id := range uint64(200) {
		b.Place(start, "vm", call(id+1))
		b.Progress(start, "vm", dispatch.Progress{ID: id + 1, Ended: true})
	}
	huge := func(id uint64) dispatch.Request {
		q := call(id)
		q.BodyBytes = 100_000
		return q
	}
	if got := b.Place(start, "vm", huge(1_000)); got.Kind != dispatch.Placement {
		t.Errorf("single request with a large body: %+v", got)
	}
	if got := b.Place(start, "vm", huge(1_001)); got.Reason != dispatch.NoMemory {
		t.Errorf("second request with a large body: %+v", got)
	}
}

// Guards against long queues at plain upstreams: beyond their slots and a small queue
// requests are refused with a time, and none while an upstream has room.
func TestPlainUpstreamsAreFull(t *testing.T) {
	b := newBoard(plain(3))
	placed, refusal := fill(t, b, start, call, 1)
	if diff := cmp.Diff(3*(6+2), placed); diff != "" {
		t.Errorf("requests placed (-want +got):\n%s", diff)
	}
	if refusal.Reason != dispatch.Full || refusal.RetryAfterMS <= 0 {
		t.Errorf("refusal: %+v", refusal)
	}
	perUpstream := make(map[string]int)
	for _, g := range b.Status(start).Groups {
		for _, m := range g.Members {
			perUpstream[m.Upstream] = m.Requests
		}
	}
	if diff := cmp.Diff(map[string]int{"desk-00": 8, "desk-01": 8, "desk-02": 8}, perUpstream); diff != "" {
		t.Errorf("requests by upstream (-want +got):\n%s", diff)
	}
	// A caller that comes back goes before new requests.
	back := call(900)
	back.TimeLeftMS = 1_300
	if got := b.Place(start, "vm", back); got.Kind != dispatch.Placement {
		t.Errorf("caller that retries: %+v", got)
	}
}

// A refusal while under half of the slots are taken and nothing waits is wrong, whatever the
// board has learnt about first tokens that were late.
func TestNoRefusalWhileHalfEmpty(t *testing.T) {
	b := newBoard(engines(4, 92_000))
	for id := range uint64(300) {
		b.Place(start, "vm", long(id+1, fmt.Sprint("p", id)))
		b.Progress(start, "vm", dispatch.Progress{ID: id + 1, Begun: true, FirstTokenMS: 4_000})
		b.Progress(start, "vm", dispatch.Progress{ID: id + 1, Ended: true})
	}
	for id := range uint64(4) {
		q := long(1_000+id, fmt.Sprint("q", id))
		q.TargetMS = 100
		if got := b.Place(start, "vm", q); got.Kind != dispatch.Placement {
			t.Errorf("request %d at idle engines: %+v", id, got)
		}
	}
}

// Guards against callers that are all told to come back at the same time.
func TestRetryTimesAreSpread(t *testing.T) {
	b := newBoard(engines(2, 1_000_000))
	_, first := fill(t, b, start, short, 1)
	seen := map[int]int{first.RetryAfterMS: 1}
	last := first.RetryAfterMS
	for id := range uint64(40) {
		r := b.Place(start, "vm", short(5_000+id))
		if r.Kind != dispatch.Refusal || r.RetryAfterMS < last {
			t.Fatalf("refusal %d: %+v, the one before named %d ms", id, r, last)
		}
		last = r.RetryAfterMS
		seen[last]++
	}
	for ms, n := range seen {
		if n > 3 {
			t.Errorf("%d callers are told to come back after %d ms", n, ms)
		}
	}
}

// Guards against a caller that honours a retry time and is refused again: with the queue as
// it was, it goes before new requests.
func TestCallersThatRetryGoFirst(t *testing.T) {
	b := newBoard(engines(2, 1_000_000))
	fill(t, b, start, short, 1)
	again := short(5_000)
	again.TimeLeftMS = 14_000
	if got := b.Place(start, "vm", again); got.Kind != dispatch.Placement {
		t.Errorf("caller that retries: %+v", got)
	}
	if got := b.Place(start, "vm", short(5_001)); got.Kind != dispatch.Refusal {
		t.Errorf("new request: %+v", got)
	}
}

// A repeated datagram must not take up an engine twice, and a report of what was sent must
// replace a placement whose reply was lost.
func TestRepeatedAndLostMessages(t *testing.T) {
	b := newBoard(engines(2, 92_000))
	first := b.Place(start, "vm", long(1, "p"))
	if diff := cmp.Diff(first, b.Place(after(1), "vm", long(1, "p"))); diff != "" {
		t.Errorf("repeated request (-first +second):\n%s", diff)
	}
	other := "lm-00"
	if first.Upstream == other {
		other = "lm-01"
	}
	b.Placed(after(2), "vm", dispatch.Placed{Request: long(1, "p"), Upstream: other, Born: 1, MissingTokens: 2_890})
	got := make(map[string]int)
	for _, m := range b.Status(after(2)).Groups[0].Members {
		got[m.Upstream] = m.Requests
	}
	if diff := cmp.Diff(map[string]int{first.Upstream: 0, other: 1}, got); diff != "" {
		t.Errorf("requests by upstream (-want +got):\n%s", diff)
	}
}

// Guards against load that is counted for ever because a notice was lost: a lease without a
// first token stops waiting, and ends at the deadline of its request.
func TestLeasesExpire(t *testing.T) {
	b := newBoard(engines(1, 92_000))
	b.Place(start, "vm", long(1, "p"))
	type load struct{ Requests, Waiting int }
	at := func(ms int) load {
		m := b.Status(after(ms)).Groups[0].Members[0]
		return load{m.Requests, m.WaitingTokens}
	}
	want := []load{{1, 4_780}, {1, 0}, {0, 0}}
	if diff := cmp.Diff(want, []load{at(0), at(4_500), at(5_000)}); diff != "" {
		t.Errorf("load at the start, after 4.5 s and at the deadline (-want +got):\n%s", diff)
	}
}

// An engine crashes with leases: they end with its incarnation, and what it had cached is
// gone.
func TestEngineCrashesWithLeases(t *testing.T) {
	s := engines(1, 92_000)
	b := newBoard(s)
	fill(t, b, start, func(id uint64) dispatch.Request { return long(id, "p") }, 1)
	s.Members[0].Upstream.Born = 2
	b.Sync(after(100), []dispatch.Service{s})
	if diff := cmp.Diff(0, b.Status(after(100)).Leases); diff != "" {
		t.Errorf("leases after the crash (-want +got):\n%s", diff)
	}
	got := b.Place(after(200), "vm", long(900, "p"))
	want := dispatch.Reply{Kind: dispatch.Placement, Upstream: "lm-00", Born: 2}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(dispatch.Reply{}, "Home", "FirstTokenMS", "WaitMS", "CostMS", "MissingTokens", "FreeSlots", "Candidates")); diff != "" {
		t.Errorf("placement (-want +got):\n%s", diff)
	}
}

// Guards against requests that are sent to an upstream which turns them away.
func TestUpstreamThatRejects(t *testing.T) {
	b := newBoard(plain(2))
	first := b.Place(start, "vm", call(1))
	b.Progress(after(3), "vm", dispatch.Progress{ID: 1, Ended: true, Rejected: true})
	for id := range uint64(5) {
		if got := b.Place(after(4), "vm", call(10+id)); got.Upstream == first.Upstream || got.Kind != dispatch.Placement {
			t.Errorf("request %d after a rejection by %s: %+v", id, first.Upstream, got)
		}
	}
	if got := b.Place(after(500), "vm", call(100)); got.Upstream != first.Upstream {
		t.Errorf("500 ms after the rejection the idle upstream is not used: %+v", got)
	}
}

// A board that can't decide must say so, so that the VM decides by itself.
func TestUnknown(t *testing.T) {
	loading := engines(1, 92_000)
	loading.Members[0].State.Loading = true
	tests := map[string]struct {
		board   *dispatch.Board
		request dispatch.Request
	}{
		"service not known":     {newBoard(plain(1)), long(1, "p")},
		"only a loading engine": {newBoard(loading), long(1, "p")},
		"all attempted":         {newBoard(engines(1, 92_000)), dispatch.Request{ID: 1, Service: "lm", Exclude: []string{"lm-00"}}},
		"empty group":           {newBoard(engines(1, 92_000)), dispatch.Request{ID: 1, Service: "lm", Group: 1 - dispatch.GroupOf(costmodel.Hash("lm-00"), 2), Groups: 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(dispatch.Reply{}, test.board.Place(start, "vm", test.request)); diff != "" {
				t.Errorf("reply (-want +got):\n%s", diff)
			}
		})
	}
}

// An attempt after the first is never refused: its caller was promised a response.
func TestLaterAttemptsAreNotRefused(t *testing.T) {
	b := newBoard(engines(2, 92_000))
	fill(t, b, start, func(id uint64) dispatch.Request { return long(id, "p") }, 1)
	again := long(900, "p")
	again.New, again.Exclude = false, []string{"lm-00"}
	if got := b.Place(start, "vm", again); got.Kind != dispatch.Placement || got.Upstream != "lm-01" {
		t.Errorf("second attempt: %+v", got)
	}
}

// testClock is the clock of agents without a simulated fleet.
func testClock() time.Time { return start }

func packed(tb testing.TB, m any) []byte {
	tb.Helper()
	raw, err := cbor.Marshal(m)
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// A request with usual names must be far below the size of a datagram that is not
// fragmented.
func TestMessageSizes(t *testing.T) {
	q := long(1<<62, strings.Repeat("p", 40))
	q.Groups, q.Group, q.Organisation, q.Exclude = 9, 8, strings.Repeat("o", 24), []string{"engine-1234", "engine-5678"}
	if n := len(packed(t, q)); n > 400 {
		t.Errorf("a request takes %d bytes", n)
	}
	if n := len(packed(t, dispatch.Progress{ID: 1 << 62, Begun: true, FirstTokenMS: 300})); n > 32 {
		t.Errorf("a report of progress takes %d bytes", n)
	}
}

// The store is unavailable: prompts are placed as before, but nothing is fetched from it or
// saved there.
func TestStoreIsUnavailable(t *testing.T) {
	up := true
	b := dispatch.NewBoard(dispatch.BoardOptions{StoredTokens: func(_ time.Time, _ promptcache.Generation, parts []promptcache.Part) (int, bool) {
		if !up || len(parts) == 0 {
			return 0, up
		}
		return parts[0].Tokens, true
	}})
	b.Sync(start, []dispatch.Service{engines(16, 92_000)})
	with := b.Place(start, "vm", long(1, "p"))
	b.Progress(start, "vm", dispatch.Progress{ID: 1, Ended: true})
	up = false
	without := b.Place(start, "vm", long(2, "q"))
	type use struct {
		Kind            dispatch.Kind
		FromStore, Save bool
	}
	want := []use{{dispatch.Placement, true, true}, {dispatch.Placement, false, false}}
	if diff := cmp.Diff(want, []use{{with.Kind, with.FromStore, with.Save}, {without.Kind, without.FromStore, without.Save}}); diff != "" {
		t.Errorf("use of the store while it is up and while it is not (-want +got):\n%s", diff)
	}
}
