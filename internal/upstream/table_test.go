package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

var start = time.Unix(1_800_000_000, 0)

func newTable(t testing.TB, n int) *upstream.Table {
	document := contract.Document{}
	var upstreams string
	for i := range n {
		if i > 0 {
			upstreams += ","
		}
		upstreams += fmt.Sprintf(`{"name":"u%d","address":"10.0.%d.%d:80","data_centre":"dc"}`, i, i/250, i%250)
	}
	objects, _, problems := contract.Parse([]byte(`{"pools":[{"name":"desk","kind":"service","slots":4,"upstreams":[` + upstreams + `]}]}`))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	d, _ := document.WithChange(contract.Change{Upserts: objects})
	c, problems := contract.NewCatalogue(d)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	table := upstream.NewTable()
	table.SetCatalogue(c)
	return table
}

func candidateNames(list []upstream.Candidate) []string {
	var out []string
	for _, c := range list {
		out = append(out, c.Name)
	}
	return out
}

// TestCandidates checks which upstreams accept new requests after reports from
// several sources.
func TestCandidates(t *testing.T) {
	liveReport := upstream.Report{State: upstream.StateLive, Incarnation: "1"}
	tests := map[string]struct {
		setup func(*upstream.Table)
		want  []string
	}{
		"unknown are usable": {func(*upstream.Table) {}, []string{"u0", "u1"}},
		"live preferred to unknown": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceProbe, "u1", liveReport)
		}, []string{"u1"}},
		"leaving by one source, live by a later report of another": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceFleet, "u0", liveReport)
			t.Observe(start, upstream.SourceFleet, "u1", liveReport)
			t.Observe(start.Add(time.Second), upstream.SourceProbe, "u1", liveReport.WithState(upstream.StateLeaving))
			t.Observe(start.Add(2*time.Second), upstream.SourceFleet, "u1", liveReport)
		}, []string{"u0"}},
		"leaving, then live in a new incarnation": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceFleet, "u0", liveReport)
			t.Observe(start, upstream.SourceProbe, "u1", liveReport.WithState(upstream.StateLeaving))
			t.Observe(start.Add(time.Second), upstream.SourceProbe, "u1", upstream.Report{State: upstream.StateLive, Incarnation: "2"})
		}, []string{"u0", "u1"}},
		"leaving in the VM list": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceProbe, "u0", liveReport)
			t.Observe(start, upstream.SourceProbe, "u1", liveReport)
			t.SetLeaving(map[string]bool{"10.0.0.1:80": true})
		}, []string{"u0"}},
		"avoided after a failed connection": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceProbe, "u0", liveReport)
			t.Observe(start, upstream.SourceProbe, "u1", liveReport)
			t.Avoid(start.Add(2*time.Second), "u1")
		}, []string{"u0"}},
		"down": {func(t *upstream.Table) {
			t.Observe(start, upstream.SourceProbe, "u0", liveReport.WithState(upstream.StateDown))
		}, []string{"u1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, 2)
			tt.setup(table)
			if diff := cmp.Diff(tt.want, candidateNames(table.Candidates(start.Add(2*time.Second), "desk"))); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// TestLoad checks the counts of requests in flight and of requests without a
// first token. Repeated calls of FirstToken and Finish are counted once.
func TestLoad(t *testing.T) {
	table := newTable(t, 1)
	first, second := table.Start("u0"), table.Start("u0")
	second.FirstToken()
	second.FirstToken()
	check := func(load, queued int) {
		t.Helper()
		c := table.Candidates(start, "desk")[0]
		if c.Load != load || c.Queued != queued {
			t.Errorf("load %d, queued %d, want %d and %d", c.Load, c.Queued, load, queued)
		}
	}
	check(2, 1)
	first.Finish()
	first.Finish()
	check(1, 0)
	second.Finish()
	check(0, 0)
}

// BenchmarkSlopeCandidates measures the cost of listing the candidates of a pool.
func BenchmarkSlopeCandidates(b *testing.B) {
	for _, n := range []int{20, 400, 1200} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			table := newTable(b, n)
			b.ReportAllocs()
			for b.Loop() {
				table.Candidates(start, "desk")
			}
		})
	}
}
