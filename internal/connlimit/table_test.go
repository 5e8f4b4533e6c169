package connlimit_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/connlimit"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	first  = netip.MustParseAddr("10.0.0.1")
	second = netip.MustParseAddr("10.0.0.2")
)

// Guards against too many connections: which one is closed for a new one, and that none is
// that has a request.
func TestTable(t *testing.T) {
	type connection struct {
		name   string
		source netip.Addr
		state  connlimit.State
		// age is how long it has been in its state.
		age time.Duration
	}
	const safeIdle = 12 * time.Second
	tests := map[string]struct {
		open   []connection
		source netip.Addr
		added  bool
		closed string
	}{
		"room":                                {[]connection{{"a", first, connlimit.Idle, time.Hour}}, first, true, ""},
		"idle too long for its client":        {[]connection{{"slow", first, connlimit.Waiting, 2 * time.Second}, {"old", first, connlimit.Idle, 13 * time.Second}, {"a", second, connlimit.Active, 0}}, second, true, "old"},
		"slow head before an idle connection": {[]connection{{"slow", first, connlimit.Waiting, 2 * time.Second}, {"idle", first, connlimit.Idle, 11 * time.Second}, {"a", second, connlimit.Active, 0}}, second, true, "slow"},
		"head just begun stays":               {[]connection{{"new", first, connlimit.Waiting, 100 * time.Millisecond}, {"idle", first, connlimit.Idle, time.Second}, {"a", second, connlimit.Active, 0}}, second, true, "idle"},
		"flood of new connections":            {[]connection{{"oldest", first, connlimit.Waiting, 100 * time.Millisecond}, {"new", second, connlimit.Waiting, 10 * time.Millisecond}, {"idle", second, connlimit.Idle, time.Second}}, first, true, "oldest"},
		"only new ones beside active":         {[]connection{{"new", first, connlimit.Waiting, 10 * time.Millisecond}, {"a", first, connlimit.Active, 0}, {"b", second, connlimit.Active, 0}}, second, true, "new"},
		"all in use":                          {[]connection{{"a", first, connlimit.Active, time.Hour}, {"b", second, connlimit.Active, time.Hour}, {"c", second, connlimit.Active, time.Hour}}, first, false, ""},
		"one source, its own is closed":       {[]connection{{"other", second, connlimit.Idle, time.Hour}, {"own", first, connlimit.Idle, time.Second}, {"a", first, connlimit.Active, 0}}, first, true, "own"},
		"one source, all in use":              {[]connection{{"other", second, connlimit.Idle, time.Hour}, {"a", first, connlimit.Active, 0}, {"b", first, connlimit.Active, 0}}, first, false, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := connlimit.NewTable(connlimit.TableOptions{Max: 3, MaxPerSource: 2})
			closed := ""
			entries := make([]*connlimit.Entry, len(test.open))
			now := start.Add(time.Hour)
			for i, c := range test.open {
				entry, evicted := table.Add(now.Add(-c.age), c.source, safeIdle, func() { closed += c.name })
				if entry == nil || evicted {
					t.Fatalf("%s is not added", c.name)
				}
				entry.SetState(now.Add(-c.age), c.state)
				entries[i] = entry
			}
			entry, evicted := table.Add(now, test.source, safeIdle, func() {})
			if diff := cmp.Diff([]any{test.added, test.closed, test.closed != ""}, []any{entry != nil, closed, evicted}); diff != "" {
				t.Errorf("added, closed (-want +got):\n%s", diff)
			}
			for _, e := range append(entries, entry) {
				if e != nil {
					e.Remove()
					e.Remove()
				}
			}
			if diff := cmp.Diff(connlimit.Status{Max: 3}, table.Status()); diff != "" {
				t.Errorf("after the end (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a process that can accept nothing more since clients hold all descriptors.
func TestCloseLeastUseful(t *testing.T) {
	table := connlimit.NewTable(connlimit.TableOptions{Max: 10, MaxPerSource: 10})
	closed := 0
	for _, state := range []connlimit.State{connlimit.Active, connlimit.Idle} {
		entry, _ := table.Add(start, first, time.Second, func() { closed++ })
		entry.SetState(start, state)
	}
	got := []bool{table.CloseLeastUseful(start, time.Second), table.CloseLeastUseful(start, time.Second)}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" || closed != 1 {
		t.Errorf("closed %d (-want +got):\n%s", closed, diff)
	}
}

// Guards against bodies that hardly arrive, and against cutting off callers that are merely
// slow, behind a link that loses packets, or suspended for some seconds.
func TestPace(t *testing.T) {
	type arrival struct {
		after time.Duration
		bytes int
	}
	repeat := func(n int, a ...arrival) []arrival {
		var list []arrival
		for range n {
			list = append(list, a...)
		}
		return list
	}
	tests := map[string]struct {
		arrivals []arrival
		slow     bool
	}{
		"a byte at a time":         {repeat(60, arrival{200 * time.Millisecond, 1}), true},
		"a little now and then":    {repeat(10, arrival{4 * time.Second, 500}), true},
		"100 KB/s":                 {repeat(600, arrival{100 * time.Millisecond, 10 << 10}), false},
		"2 KB/s":                   {repeat(60, arrival{time.Second, 2 << 10}), false},
		"lost packets for 8 s":     {append(append(repeat(20, arrival{100 * time.Millisecond, 10 << 10}), repeat(8, arrival{time.Second, 300})...), repeat(100, arrival{100 * time.Millisecond, 10 << 10})...), false},
		"suspended for 8 s":        {append(append(repeat(20, arrival{100 * time.Millisecond, 10 << 10}), arrival{8 * time.Second, 1}), repeat(100, arrival{100 * time.Millisecond, 10 << 10})...), false},
		"fast, then byte by byte":  {append(repeat(1, arrival{time.Second, 4 << 20}), repeat(80, arrival{200 * time.Millisecond, 1})...), true},
		"short body that is quick": {repeat(1, arrival{time.Millisecond, 100}), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			pace, now, slow := connlimit.NewPace(start), start, false
			for _, a := range test.arrivals {
				now = now.Add(a.after)
				slow = slow || pace.Received(now, a.bytes)
			}
			if slow != test.slow {
				t.Errorf("too slow: %t, want %t", slow, test.slow)
			}
		})
	}
}
