package ledger_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// TestOutageLengths checks outages of the object store from a second to six
// hours, in virtual time. During the outage claims fail at once. 1.5 s after it
// claims succeed again, and an outcome recorded during it is written after it.
func TestOutageLengths(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		hangs  bool
	}{
		"1 s":               {time.Second, false},
		"1 min":             {time.Minute, false},
		"1 h":               {time.Hour, false},
		"6 h":               {6 * time.Hour, false},
		"1 min, calls hang": {time.Minute, true},
		"1 h, calls hang":   {time.Hour, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testOutage(t, tt.outage, tt.hangs) })
		})
	}
}

// hangingStore blocks calls while it is down, until their context is done.
type hangingStore struct{ *faultyStore }

func (s hangingStore) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if s.down.Load() {
		<-ctx.Done()
		return objectstore.Object{}, objectstore.ErrUnavailable
	}
	return s.faultyStore.Get(ctx, key)
}

func (s hangingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if s.down.Load() {
		<-ctx.Done()
		return objectstore.Object{}, objectstore.ErrOutcomeUnknown
	}
	return s.faultyStore.Put(ctx, key, value, ifVersion)
}

// testOutage checks an outage of the given length. If hangs is set, calls of
// the store block instead of failing.
func testOutage(t *testing.T, length time.Duration, hangs bool) {
	faulty := &faultyStore{Memory: objectstore.NewMemory()}
	var store objectstore.Store = faulty
	if hangs {
		store = hangingStore{faulty}
	}
	l := ledger.New(ledger.Options{Store: store, Now: time.Now, Holder: "a", Incarnation: 1, Shards: 1, Retention: 48 * time.Hour})
	defer l.Close(context.Background())
	key := virtualKey()
	grant, err := l.Claim(context.Background(), time.Now(), newClaim(key))
	if err != nil {
		t.Fatal(err)
	}
	faulty.down.Store(true)
	l.RecordOutcome(time.Now(), grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200})
	end := time.Now().Add(length)
	refused := 0
	var slowest time.Duration
	for time.Now().Before(end) {
		started := time.Now()
		_, err := l.Claim(context.Background(), started, newClaim(virtualKey()))
		if e := verdict.FromError(err); e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("during the outage: %v", err)
		}
		refused++
		if took := time.Since(started); refused > 1 {
			slowest = max(slowest, took)
		}
		time.Sleep(max(length/100, 7*time.Millisecond))
	}
	if slowest > 0 {
		t.Errorf("a refused claim took %s after the outage was detected, want 0", slowest)
	}
	faulty.down.Store(false)
	time.Sleep(1500 * time.Millisecond)
	if _, err := l.Claim(context.Background(), time.Now(), newClaim(virtualKey())); err != nil {
		t.Errorf("after the outage: %v", err)
	}
	time.Sleep(3 * time.Second)
	record, err := l.Lookup(context.Background(), time.Now(), key)
	if err != nil || record.State != ledger.StateRan {
		t.Errorf("outcome recorded during the outage: %+v, %v", record, err)
	}
}

// TestHolderPausedPastRetention claims a key that exceeded the retention after
// ParseKey accepted it, as when the node is paused in between. Its entry may
// have been removed, so the claim must fail with the verdict MayHaveRun.
func TestHolderPausedPastRetention(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	l := newLedger(store, "a")
	defer l.Close(context.Background())
	old := time.Now().Add(-l.Retention() - time.Minute)
	_, err := l.Claim(context.Background(), old, newClaim(keyAt(old)))
	if e := verdict.FromError(err); e.Code != "idempotency_key_expired" || e.Verdict != verdict.MayHaveRun {
		t.Errorf("got %v", err)
	}
}

// Guards against a claim that was answered as expired, "may have run", although its key
// is only ahead of this node's clock, as when that was set back after the key's check.
func TestKeyAheadOfClockIsNotExpired(t *testing.T) {
	l := newLedger(&faultyStore{Memory: objectstore.NewMemory()}, "a")
	defer l.Close(context.Background())
	ahead := time.Now().Add(2 * ledger.MaxClockSkew)
	if _, err := l.Claim(context.Background(), ahead, newClaim(keyAt(ahead))); err != nil {
		t.Errorf("got %v", err)
	}
}

// virtualKey returns a key created at the current virtual time.
func virtualKey() ledger.Key { return keyAt(time.Now()) }

// keyAt returns a key created at the given time.
func keyAt(created time.Time) ledger.Key {
	id := uuid.New()
	ms := created.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return ledger.Key{Organisation: "first", Key: id.String()}
}

func newClaim(key ledger.Key) ledger.Claim {
	return ledger.Claim{Key: key, Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)}
}
