package registry_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

// Guards against one encoded page for each peer: positions of peers that lack the same
// changes differ, since they move on while the collection does not change.
func TestPeersThatLackTheSameGetEqualPages(t *testing.T) {
	f := registry.NewFollower(registry.Options[string]{Name: "test", Sink: &fakeSink{}, Now: time.Now, Log: zerolog.Nop()})
	for _, p := range []page{
		{Revision: 10, Items: []item{{Name: "a", Revision: 4}, {Name: "b", Revision: 7}}},
		{Revision: 20, Since: 10, Items: []item{{Name: "a", Revision: 20}}},
		{Revision: 30, Since: 20, Items: []item{{Name: "b", Revision: 7, Deleted: true}}},
		{Revision: 40, Since: 30, Items: []item{{Name: "c", Revision: 40}}},
		{Revision: 45, Since: 40},
	} {
		if !f.Offer(time.Now(), p) {
			t.Fatalf("page %+v not applied", p)
		}
	}
	for _, test := range []struct{ from, to, since uint64 }{{1, 9, 0}, {10, 19, 10}, {20, 29, 20}, {30, 39, 30}, {40, 45, 40}} {
		for since := test.from; since <= test.to; since++ {
			got := f.Snapshot(registry.Position{Revision: since})
			first := f.Snapshot(registry.Position{Revision: test.from})
			byName := cmpopts.SortSlices(func(a, b item) bool { return a.Name < b.Name })
			if diff := cmp.Diff(first, got, byName); diff != "" || got.Since != test.since {
				t.Errorf("since %d, page since %d, want %d (-since %d +got):\n%s", since, got.Since, test.since, test.from, diff)
			}
			peer := registry.NewFollower(registry.Options[string]{Name: "test", Sink: &fakeSink{}, Now: time.Now, Log: zerolog.Nop()})
			peer.Offer(time.Now(), page{Revision: since})
			if since < 45 && !peer.Offer(time.Now(), got) {
				t.Errorf("a peer at %d does not apply %+v", since, got)
			}
		}
	}
}
