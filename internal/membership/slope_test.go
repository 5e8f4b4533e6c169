package membership_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// liveHeapBytes returns the number of bytes of heap objects after a garbage
// collection.
func liveHeapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSlopeTable reports the memory of a node's table per member and per
// fact, and the processor time to handle one heartbeat.
func BenchmarkSlopeTable(b *testing.B) {
	for _, size := range []int{100, 910} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			now := time.Now()
			empty := liveHeapBytes()
			table := membership.NewTable(&peerrpc.Member{Name: "self"}, membership.TableOptions{})
			g := &peerrpc.Gossip{}
			for i := range size {
				g.Members = append(g.Members, &peerrpc.Member{Name: fmt.Sprintf("node-%04d", i), Address: "10.0.0.1:8001", ControlAddress: "10.0.0.1:8101", DataCentre: "dc-1", Incarnation: 1, State: peerrpc.MemberState_MEMBER_STATE_LIVE})
			}
			table.Merge(now, g)
			members := liveHeapBytes()
			facts := 10 * size
			for i := range facts {
				table.SetFact(now, "upstream", fmt.Sprintf("upstream-%05d", i), make([]byte, 120), 0)
			}
			perMember := float64(members-empty) / float64(size)
			perFact := float64(liveHeapBytes()-members) / float64(facts)
			for range 40 * facts / 24 {
				table.NextGossip()
			}
			for b.Loop() {
				table.Merge(now, &peerrpc.Gossip{From: "node-0001"})
				table.NextGossip()
			}
			b.ReportMetric(perMember, "B/member")
			b.ReportMetric(perFact, "B/fact")
		})
	}
}
