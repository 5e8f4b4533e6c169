package roster_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// TestReplaceFromCopy checks that a copy of the store that is older than what is known
// neither brings upstreams back that have left nor takes away those that are missing,
// until the upstreams have had time to write their entries again.
func TestReplaceFromCopy(t *testing.T) {
	entry := func(id string, born int64, leaving bool) roster.Upstream {
		return roster.Upstream{ID: id, Service: "s", Address: id + ":1", Born: born, Leaving: leaving}
	}
	type state struct{ AtOnce, Later []roster.Upstream }
	tests := map[string]struct {
		// known are the upstreams before the return, removed those that have ended.
		known   []roster.Upstream
		removed []string
		// copied is the copy. written are the entries that are written again.
		copied, written []roster.Upstream
		want            state
	}{
		"unchanged": {
			known: []roster.Upstream{entry("a", 1, false)}, copied: []roster.Upstream{entry("a", 1, false)},
			want: state{[]roster.Upstream{entry("a", 1, false)}, []roster.Upstream{entry("a", 1, false)}},
		},
		"missing, written again": {
			known: []roster.Upstream{entry("a", 1, false)}, written: []roster.Upstream{entry("a", 1, false)},
			want: state{[]roster.Upstream{entry("a", 1, false)}, []roster.Upstream{entry("a", 1, false)}},
		},
		"missing, gone": {
			known: []roster.Upstream{entry("a", 1, false)},
			want:  state{[]roster.Upstream{entry("a", 1, false)}, nil},
		},
		"leaving, ready in the copy": {
			known: []roster.Upstream{entry("a", 1, true)}, copied: []roster.Upstream{entry("a", 1, false)},
			want: state{[]roster.Upstream{entry("a", 1, true)}, []roster.Upstream{entry("a", 1, true)}},
		},
		"leaving, missing in the copy": {
			known: []roster.Upstream{entry("a", 1, true)},
			want:  state{nil, nil},
		},
		"ended, ready in the copy, still listed later": {
			known: []roster.Upstream{entry("a", 1, false)}, removed: []string{"a"}, copied: []roster.Upstream{entry("a", 1, false)},
			want: state{nil, []roster.Upstream{entry("a", 1, false)}},
		},
		"ended, ready in the copy, written again": {
			known: []roster.Upstream{entry("a", 1, false)}, removed: []string{"a"}, copied: []roster.Upstream{entry("a", 1, false)},
			written: []roster.Upstream{entry("a", 1, false)},
			want:    state{nil, []roster.Upstream{entry("a", 1, false)}},
		},
		"restarted, earlier incarnation in the copy, written again": {
			known: []roster.Upstream{entry("a", 2, false)}, copied: []roster.Upstream{entry("a", 1, false)},
			written: []roster.Upstream{entry("a", 2, false)},
			want:    state{[]roster.Upstream{entry("a", 2, false)}, []roster.Upstream{entry("a", 2, false)}},
		},
		"new in the copy": {
			copied: []roster.Upstream{entry("a", 1, false)},
			want:   state{[]roster.Upstream{entry("a", 1, false)}, []roster.Upstream{entry("a", 1, false)}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table, now := roster.New(roster.Options{}), start
			table.Replace(now, test.known, false)
			for _, id := range test.removed {
				table.Remove(now, id, false)
			}
			now = now.Add(time.Second)
			table.ReplaceFromCopy(now, test.copied)
			table.RemoveExpired(now)
			var got state
			got.AtOnce = table.All()
			now = now.Add(time.Second)
			for _, u := range test.written {
				table.Put(now, u)
			}
			now = now.Add(5 * time.Second)
			table.RemoveExpired(now)
			got.Later = table.All()
			if len(got.AtOnce) == 0 {
				got.AtOnce = nil
			}
			if len(got.Later) == 0 {
				got.Later = nil
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("upstreams (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHeldBackEntryExpires checks that an entry of the copy whose upstream has ended is
// never used if the store removes it.
func TestHeldBackEntryExpires(t *testing.T) {
	table, u := roster.New(roster.Options{}), roster.Upstream{ID: "a", Service: "s", Address: "a:1", Born: 1}
	table.Put(start, u)
	table.Remove(start, "a", false)
	table.ReplaceFromCopy(start.Add(time.Second), []roster.Upstream{u})
	table.Remove(start.Add(4*time.Second), "a", false)
	table.RemoveExpired(start.Add(10 * time.Second))
	if got := table.All(); len(got) != 0 {
		t.Errorf("upstreams %v, want none", got)
	}
}
