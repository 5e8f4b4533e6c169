package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// faultyStore is a Store that fails its next writes with the queued faults, and
// all calls while it is down. The faults are:
//
//   - "response lost": the write takes effect, but its response is lost;
//   - "write lost": the write never takes effect, but its outcome is unknown;
//   - "late": the write takes effect 3 ms after its outcome was reported as
//     unknown;
//   - "very late": the write takes effect after the claim timeout;
//   - "refused": the store rejects the write.
type faultyStore struct {
	*objectstore.Memory
	mu     sync.Mutex
	faults []string
	// down makes all calls fail with ErrUnavailable.
	down   atomic.Bool
	writes atomic.Int64
	reads  atomic.Int64
}

func (s *faultyStore) nextFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return ""
	}
	f := s.faults[0]
	s.faults = s.faults[1:]
	return f
}

func (s *faultyStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Memory.Get(ctx, key)
}

func (s *faultyStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	s.writes.Add(1)
	if s.down.Load() {
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	switch s.nextFault() {
	case "response lost":
		_, _ = s.Memory.Put(ctx, key, value, ifVersion)
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "write lost":
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "late":
		time.AfterFunc(3*time.Millisecond, func() { _, _ = s.Memory.Put(context.Background(), key, value, ifVersion) })
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "very late":
		time.AfterFunc(2*claimTimeout, func() { _, _ = s.Memory.Put(context.Background(), key, value, ifVersion) })
		<-ctx.Done()
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	case "refused":
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.Memory.Put(ctx, key, value, ifVersion)
}

const claimTimeout = 200 * time.Millisecond

func newLedger(store objectstore.Store, holder string) *ledger.Ledger {
	return ledger.New(ledger.Options{
		Store:        store,
		Now:          time.Now,
		Holder:       holder,
		Incarnation:  1,
		Shards:       1,
		Interval:     time.Nanosecond,
		ClaimTimeout: claimTimeout,
	})
}

func newKey() ledger.Key {
	return ledger.Key{Organisation: "first", Key: uuid.Must(uuid.NewV7()).String()}
}

// TestAtMostOneDispatch checks that no key is ever dispatched twice, that no key
// has two grants at a time, and that no key is granted after its dispatch. Two
// nodes write the same shard, in random order with lost responses, lost and late
// writes, and replaced nodes.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &faultyStore{Memory: objectstore.NewMemory()}
		nodes := []*ledger.Ledger{newLedger(store, "a"), newLedger(store, "b")}
		defer func() {
			for _, n := range nodes {
				n.Close(context.Background())
			}
		}()
		keys := []ledger.Key{newKey(), newKey()}
		dispatched := make(map[ledger.Key]int)
		grants := make(map[ledger.Key][]heldGrant)
		ctx := context.Background()
		rt.Repeat(map[string]func(*rapid.T){
			"fault": func(rt *rapid.T) {
				f := rapid.SampledFrom([]string{"response lost", "write lost", "late", "refused"}).Draw(rt, "fault")
				store.mu.Lock()
				store.faults = append(store.faults, f)
				store.mu.Unlock()
			},
			"claim": func(rt *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(rt, "node")
				key := rapid.SampledFrom(keys).Draw(rt, "key")
				grant, err := nodes[i].Claim(ctx, time.Now(), ledger.Claim{Key: key, Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)})
				if err == nil {
					grants[key] = append(grants[key], heldGrant{nodes[i], grant})
				}
				if len(grants[key]) > 1 {
					rt.Fatalf("a key has two grants")
				}
				if err == nil && dispatched[key] > 0 {
					rt.Fatalf("a key was granted after its request was dispatched")
				}
			},
			"dispatch": func(rt *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(rt, "key")
				for _, h := range grants[key] {
					dispatched[key]++
					h.ledger.RecordOutcome(time.Now(), h.grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200})
				}
				grants[key] = nil
			},
			"release": func(rt *rapid.T) {
				key := rapid.SampledFrom(keys).Draw(rt, "key")
				for _, h := range grants[key] {
					h.ledger.Release(time.Now(), h.grant)
				}
				grants[key] = nil
			},
			"takeover": func(rt *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(rt, "node")
				nodes[i].Close(ctx)
				nodes[i] = newLedger(store, fmt.Sprint("n", time.Now().UnixNano()))
			},
			"": func(rt *rapid.T) {
				for key, n := range dispatched {
					if n > 1 {
						rt.Fatalf("%v was dispatched %d times", key, n)
					}
				}
			},
		})
	})
}

type heldGrant struct {
	ledger *ledger.Ledger
	grant  ledger.Grant
}

// TestReleasedKeyCanBeClaimed checks that a released key can be claimed on
// another node, even if writes of the release fail.
func TestReleasedKeyCanBeClaimed(t *testing.T) {
	tests := map[string][]string{
		"no fault":           nil,
		"response lost":      {"response lost"},
		"write lost":         {"write lost"},
		"late write":         {"late"},
		"all faults":         {"write lost", "response lost", "late", "refused"},
		"refused many times": {"refused", "refused", "refused", "refused"},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			store := &faultyStore{Memory: objectstore.NewMemory()}
			a, b := newLedger(store, "a"), newLedger(store, "b")
			defer a.Close(context.Background())
			defer b.Close(context.Background())
			claim := ledger.Claim{Key: newKey(), Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)}
			grant, err := a.Claim(context.Background(), time.Now(), claim)
			if err != nil {
				t.Fatal(err)
			}
			store.mu.Lock()
			store.faults = faults
			store.mu.Unlock()
			a.Release(time.Now(), grant)
			waitForClaim(t, b, claim)
		})
	}
}

// TestFailedClaimWrittenLate checks that a key can be claimed again after the
// write of a failed claim takes effect late. The caller got the verdict NotRun,
// so it may send the request again. Releasing the failed claim makes this work.
func TestFailedClaimWrittenLate(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	a, b := newLedger(store, "a"), newLedger(store, "b")
	defer a.Close(context.Background())
	defer b.Close(context.Background())
	warmUp := ledger.Claim{Key: newKey(), Deadline: time.Now().Add(time.Minute)}
	if _, err := a.Claim(context.Background(), time.Now(), warmUp); err != nil {
		t.Fatal(err)
	}
	store.faults = []string{"very late"}
	claim := ledger.Claim{Key: newKey(), Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)}
	if _, err := a.Claim(context.Background(), time.Now(), claim); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("got %v, want not run", err)
	}
	time.Sleep(3 * claimTimeout)
	waitForClaim(t, b, claim)
}

// waitForClaim waits until the claim succeeds.
func waitForClaim(t *testing.T, l *ledger.Ledger, claim ledger.Claim) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		_, err := l.Claim(context.Background(), time.Now(), claim)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("claim of a key whose request has not run: %v", err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestOutage checks that claims during an outage of the object store fail with
// the verdict NotRun and few writes, and succeed again after it.
func TestOutage(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	l := newLedger(store, "a")
	defer l.Close(context.Background())
	claim := func() error {
		_, err := l.Claim(context.Background(), time.Now(), ledger.Claim{Key: newKey(), Deadline: time.Now().Add(time.Minute)})
		return err
	}
	if err := claim(); err != nil {
		t.Fatal(err)
	}
	store.down.Store(true)
	writes := store.writes.Load()
	for range 1000 {
		err := claim()
		e := verdict.FromError(err)
		if e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("during the outage: %v", err)
		}
	}
	if extra := store.writes.Load() - writes; extra > 20 {
		t.Errorf("%d writes for 1000 refused claims, want at most 20", extra)
	}
	store.down.Store(false)
	deadline := time.Now().Add(20 * time.Second)
	for claim() != nil {
		if time.Now().After(deadline) {
			t.Fatal("claims still fail after the outage")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestParseKey checks the format and the age limits of keys.
func TestParseKey(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	sec, nsec := id.Time().UnixTime()
	created := time.Unix(sec, nsec)
	const retention = time.Hour
	tests := map[string]struct {
		text string
		now  time.Time
		want string
	}{
		"fresh":                {id.String(), created, "ok"},
		"at the age limit":     {id.String(), created.Add(retention), "ok"},
		"older than retention": {id.String(), created.Add(retention + time.Second), "idempotency_key_expired may_have_run"},
		"far in the future":    {id.String(), created.Add(-ledger.MaxClockSkew - time.Second), "idempotency_key_in_future not_run"},
		"version 4":            {uuid.NewString(), created, "bad_idempotency_key not_run"},
		"not a UUID":           {"17", created, "bad_idempotency_key not_run"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := "ok"
			if _, err := ledger.ParseKey(tt.now, "first", tt.text, retention); err != nil {
				e := verdict.FromError(err)
				got = e.Code + " " + e.Verdict.String()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestSealedSegments writes enough entries to a shard to seal and merge
// segments, then checks that a new node finds the record of every key.
func TestSealedSegments(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	// Claims have the time that nodes give them by default. A claim that merges
	// segments takes longer than others.
	newLedger := func(holder string) *ledger.Ledger {
		return ledger.New(ledger.Options{Store: store, Now: time.Now, Holder: holder, Incarnation: 1, Shards: 1, Interval: time.Nanosecond})
	}
	a := newLedger("a")
	const n = 3000
	body := make([]byte, 4<<10)
	var keys []ledger.Key
	for i := range n {
		key := newKey()
		grant, err := a.Claim(context.Background(), time.Now(), ledger.Claim{Key: key, Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			a.RecordOutcome(time.Now(), grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200, Body: body})
		}
		keys = append(keys, key)
	}
	a.Close(context.Background())
	b := newLedger("b")
	defer b.Close(context.Background())
	for i, key := range keys {
		_, err := b.Claim(context.Background(), time.Now(), ledger.Claim{Key: key, Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)})
		var claimed *ledger.AlreadyClaimed
		if !errors.As(err, &claimed) {
			t.Fatalf("key %d: %v", i, err)
		}
		want := ledger.StateRunning
		if i%10 == 0 {
			want = ledger.StateRan
		}
		if claimed.Record.State != want {
			t.Fatalf("key %d: state %s, want %s", i, claimed.Record.State, want)
		}
	}
}

// BenchmarkSlopeClaims claims keys at a fixed rate. It reports the object store
// writes per second and the duration of a claim.
func BenchmarkSlopeClaims(b *testing.B) {
	for _, nodes := range []int{3, 9} {
		for _, rate := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("nodes=%d/rate=%d", nodes, rate), func(b *testing.B) { benchmarkClaims(b, nodes, rate) })
		}
	}
}
