package health_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/health"
)

func members(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("node-%04d", i))
	}
	return list
}

// TestRanking removes a member and checks that only the keys assigned to it move
// to other members.
func TestRanking(t *testing.T) {
	all := members(9)
	before, after := health.NewRanking(all), health.NewRanking(all[1:])
	for i := range 200 {
		key := fmt.Sprint("duty ", i)
		first := before.First(key, 2)
		if len(first) != 2 || first[0] == first[1] {
			t.Fatalf("%s: %v", key, first)
		}
		if first[0] == all[0] || first[1] == all[0] {
			continue
		}
		if diff := cmp.Diff(first, after.First(key, 2)); diff != "" {
			t.Errorf("%s moved:\n%s", key, diff)
		}
	}
	if got := health.NewRanking(all[:1]).First("duty", 2); len(got) != 1 {
		t.Errorf("one member: %v", got)
	}
}

// BenchmarkSlopeWatchers measures the assignment of 10,000 upstreams to members.
func BenchmarkSlopeWatchers(b *testing.B) {
	for _, n := range []int{9, 910} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			list := members(n)
			for b.Loop() {
				ranking := health.NewRanking(list)
				for i := range 10_000 {
					ranking.First(fmt.Sprint("engine-", i), 2)
				}
			}
		})
	}
}
