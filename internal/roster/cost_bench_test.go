package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// busyTable returns the table of one VM under load, with queries and the load
// and sent prompts of one peer.
func busyTable(vms, engineCount int) (*roster.Table, []roster.Query, map[string]roster.Load, []roster.Sent) {
	tb := table(engines(engineCount, 1)...)
	tb.SetFleetSize(vms)
	rng := rand.New(rand.NewPCG(1, 2))
	var queries []roster.Query
	for i := range 1_600 {
		q := query()
		q.Parts = []roster.Part{{ID: fmt.Sprint("outer", i%4), Tokens: 2_500}, {ID: fmt.Sprint("inner", i), Tokens: 3_800}}
		queries = append(queries, q)
	}
	loads := make(map[string]roster.Load)
	for i := range engineCount / 3 {
		loads[fmt.Sprintf("e%02d", i*3)] = roster.Load{Requests: 1, WaitingTokens: 3_000, Tokens: 9_000}
	}
	var sent []roster.Sent
	for range 40 {
		sent = append(sent, roster.Sent{Upstream: fmt.Sprintf("e%02d", rng.IntN(engineCount)), Parts: queries[rng.IntN(len(queries))].Parts, Unshared: 2_900})
	}
	for p := range vms {
		tb.SetPeerState(start, fmt.Sprint("vm", p), roster.PeerState{Loads: loads, Sent: sent})
	}
	for range 4_000 {
		u := engine(fmt.Sprintf("e%02d", rng.IntN(engineCount)), 1)
		tb.Start(start, u, roster.Load{}, queries[rng.IntN(len(queries))].Parts, 2_900).Finish()
	}
	return tb, queries, loads, sent
}

// BenchmarkCost measures the work of the table as the fleet grows.
func BenchmarkCost(b *testing.B) {
	for _, size := range []struct{ vms, engines int }{{8, 18}, {30, 64}, {65, 140}, {84, 140}} {
		tb, queries, loads, sent := busyTable(size.vms, size.engines)
		name := fmt.Sprintf("vms=%d/engines=%d", size.vms, size.engines)
		b.Run("pick/"+name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				tb.Pick(start.Add(10*time.Millisecond), queries[i%len(queries)])
				i++
			}
		})
		b.Run("peer state/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tb.SetPeerState(start, "vm1", roster.PeerState{Loads: loads, Sent: sent})
			}
		})
	}
}
