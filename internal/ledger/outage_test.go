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

// TestOutageLengths takes the platform away for a second to six hours, in virtual
// time. Claims are refused at once all the time; an outcome that fell into the
// outage is written after it; claims are granted again within a second and a half.
func TestOutageLengths(t *testing.T) {
	tests := map[string]struct {
		outage time.Duration
		hangs  bool
	}{
		"a second":              {time.Second, false},
		"a minute":              {time.Minute, false},
		"an hour":               {time.Hour, false},
		"six hours":             {6 * time.Hour, false},
		"a minute without word": {time.Minute, true},
		"an hour without word":  {time.Hour, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { outage(t, tt.outage, tt.hangs) })
		})
	}
}

// hangingStore answers nothing while it is down.
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

func outage(t *testing.T, length time.Duration, hangs bool) {
	faulty := &faultyStore{Memory: objectstore.NewMemory()}
	var store objectstore.Store = faulty
	if hangs {
		store = hangingStore{faulty}
	}
	l := ledger.New(ledger.Options{Store: store, Now: time.Now, Holder: "a", Incarnation: 1, Shards: 1, Retention: 48 * time.Hour})
	defer l.Close(context.Background())
	key := virtualKey()
	grant, err := l.Claim(context.Background(), time.Now(), claimOf(key))
	if err != nil {
		t.Fatal(err)
	}
	faulty.down.Store(true)
	l.RecordOutcome(time.Now(), grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200})
	ended := time.Now().Add(length)
	refused := 0
	var slowest time.Duration
	for time.Now().Before(ended) {
		asked := time.Now()
		_, err := l.Claim(context.Background(), asked, claimOf(virtualKey()))
		if e := verdict.As(err); e.Verdict != verdict.NotRun || e.RetryAfter <= 0 {
			t.Fatalf("during the outage: %v", err)
		}
		refused++
		if took := time.Since(asked); refused > 1 {
			slowest = max(slowest, took)
		}
		time.Sleep(max(length/100, 7*time.Millisecond))
	}
	if slowest > 0 {
		t.Errorf("a refusal during a known outage took %s", slowest)
	}
	faulty.down.Store(false)
	time.Sleep(1500 * time.Millisecond)
	if _, err := l.Claim(context.Background(), time.Now(), claimOf(virtualKey())); err != nil {
		t.Errorf("after the outage: %v", err)
	}
	time.Sleep(3 * time.Second)
	record, err := l.Lookup(context.Background(), time.Now(), key)
	if err != nil || record.State != ledger.StateRan {
		t.Errorf("the outcome that fell into the outage: %+v, %v", record, err)
	}
}

// TestHolderPausedPastRetention claims a key that was fresh when its holder
// checked it and has left the retention since. Its record may have been
// dropped, so nobody may run it.
func TestHolderPausedPastRetention(t *testing.T) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	l := newLedger(store, "a")
	defer l.Close(context.Background())
	old := time.Now().Add(-l.Retention() - time.Minute)
	_, err := l.Claim(context.Background(), old, claimOf(keyAt(old)))
	if e := verdict.As(err); e.Code != "idempotency_key_expired" || e.Verdict != verdict.MayHaveRun {
		t.Errorf("got %v", err)
	}
}

// virtualKey returns a key of the bubble's time.
func virtualKey() ledger.Key { return keyAt(time.Now()) }

func keyAt(made time.Time) ledger.Key {
	id := uuid.New()
	ms := made.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = id[6]&0x0f | 0x70
	return ledger.Key{Organisation: "first", Key: id.String()}
}

func claimOf(key ledger.Key) ledger.Claim {
	return ledger.Claim{Key: key, Fingerprint: []byte("x"), Deadline: time.Now().Add(time.Minute)}
}
