package ledger_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/verdict"
)

// writeDelay is the duration of a write to slowStore.
const writeDelay = 3 * time.Millisecond

type slowStore struct{ *faultyStore }

func (s slowStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	time.Sleep(writeDelay)
	return s.faultyStore.Put(ctx, key, value, ifVersion)
}

// localPeers sends entries to the writer among the ledgers of this process.
type localPeers struct {
	self    int
	ledgers []*ledger.Ledger
}

func (p *localPeers) Commit(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	writer := int(shard) % len(p.ledgers)
	if writer == p.self {
		return nil, ledger.ErrLocal
	}
	return p.ledgers[writer].CommitLocal(ctx, shard, entries)
}

func (*localPeers) Live(string, uint64) bool { return true }

// benchmarkClaims claims keys on the given number of nodes, at the given number
// of claims per second over all nodes, for 3 s in each iteration.
func benchmarkClaims(b *testing.B, nodes, rate int) {
	store := &faultyStore{Memory: objectstore.NewMemory()}
	ledgers := make([]*ledger.Ledger, nodes)
	for i := range ledgers {
		ledgers[i] = ledger.New(ledger.Options{
			Store:       slowStore{store},
			Now:         time.Now,
			Holder:      fmt.Sprint("node-", i),
			Incarnation: 1,
			Peers:       &localPeers{self: i, ledgers: ledgers},
		})
	}
	var mu sync.Mutex
	var times []time.Duration
	for b.Loop() {
		writes, started := store.writes.Load(), time.Now()
		var wg sync.WaitGroup
		claims := 3 * rate
		for i := range claims {
			time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
			wg.Go(func() {
				at := time.Now()
				l := ledgers[i%nodes]
				grant, err := l.Claim(context.Background(), at, ledger.Claim{Key: newKey(), Deadline: at.Add(time.Minute)})
				took := time.Since(at)
				if err != nil {
					b.Error(err)
					return
				}
				l.RecordOutcome(time.Now(), grant, ledger.Outcome{Verdict: verdict.Ran, Status: 200})
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			})
		}
		wg.Wait()
		b.ReportMetric(float64(store.writes.Load()-writes)/time.Since(started).Seconds(), "writes/s")
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds()*1e3, "claim_p50_ms")
	b.ReportMetric(times[len(times)*99/100].Seconds()*1e3, "claim_p99_ms")
	for _, l := range ledgers {
		l.Close(context.Background())
	}
}

func FuzzDecodeHead(f *testing.F) {
	valid := &peerrpc.ShardHead{
		Entries:  []*peerrpc.Entry{{Organisation: "first", Key: "k", Nonce: []byte("n"), State: peerrpc.EntryState_ENTRY_STATE_CLAIMED, Sequence: 1}},
		Segments: []*peerrpc.SegmentRef{{Key: "ledger/0000/segment/x", Bytes: 10}},
	}
	raw, err := proto.Marshal(valid)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Add([]byte("\x0a\x00"))
	f.Add(raw[:len(raw)/2])
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := ledger.DecodeSegment(raw); err != nil {
			t.Log(err)
		}
		head, err := ledger.DecodeHead(raw)
		if err != nil {
			return
		}
		encoded, err := proto.Marshal(head)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := ledger.DecodeHead(encoded)
		if err != nil || !proto.Equal(head, redecoded) {
			t.Errorf("decoded head does not survive encoding and decoding: %v", err)
		}
		if keys := ledger.CountKeys(head.GetEntries()); keys > len(head.GetEntries()) {
			t.Errorf("%d keys in %d entries", keys, len(head.GetEntries()))
		}
	})
}
