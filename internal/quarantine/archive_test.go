package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
)

var archiveStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func crashesAt(at time.Time) []quarantine.Crash {
	return []quarantine.Crash{quarantine.NewCrash(at, "engine", "dc-1", fmt.Sprint(at.UnixMilli()))}
}

// TestArchive checks that requests of several nodes are kept, that expired ones are
// dropped, and that an object that can't be decoded does not stop the archive.
func TestArchive(t *testing.T) {
	tests := map[string]struct {
		before string
		want   map[string][]quarantine.Crash
	}{
		"empty":           {"", map[string][]quarantine.Crash{"new": crashesAt(archiveStart)}},
		"of another node": {`{"old":[{"upstream":"engine","incarnation":"engine@1796371199000","data_centre":"dc-1","at":"2026-12-04T07:59:59Z"}]}`, map[string][]quarantine.Crash{"new": crashesAt(archiveStart), "old": crashesAt(archiveStart.Add(-time.Second))}},
		"expired":         {`{"old":[{"upstream":"engine","incarnation":"x","data_centre":"dc-1","at":"2026-12-04T06:00:00Z"}]}`, map[string][]quarantine.Crash{"new": crashesAt(archiveStart)}},
		"not decodable":   {"[", map[string][]quarantine.Crash{"new": crashesAt(archiveStart)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			store := objectstore.NewMemory()
			if test.before != "" {
				if _, err := store.Put(ctx, "quarantine/requests", []byte(test.before), 0); err != nil {
					t.Fatal(err)
				}
			}
			archive := quarantine.NewArchive(store)
			if err := archive.Add(ctx, archiveStart, time.Hour, map[string][]quarantine.Crash{"new": crashesAt(archiveStart)}); err != nil {
				t.Fatal(err)
			}
			got, _, err := archive.Load(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("archived (-want +got):\n%s", diff)
			}
		})
	}
}

// TestArchiveIsLimited checks that the latest crashes are kept.
func TestArchiveIsLimited(t *testing.T) {
	ctx := context.Background()
	requests := make(map[string][]quarantine.Crash)
	for i := range 1500 {
		requests[fmt.Sprintf("%04d", i)] = crashesAt(archiveStart.Add(-time.Duration(i) * time.Second))
	}
	archive := quarantine.NewArchive(objectstore.NewMemory())
	if err := archive.Add(ctx, archiveStart, time.Hour, requests); err != nil {
		t.Fatal(err)
	}
	got, _, err := archive.Load(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 1000 || got["0999"] == nil || got["1000"] != nil {
		t.Errorf("%d requests archived", len(got))
	}
}

// conflictingStore rejects the first writes, as if another node had written.
type conflictingStore struct {
	objectstore.Store
	conflicts int
}

func (s *conflictingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if s.conflicts > 0 {
		s.conflicts--
		return objectstore.Object{}, objectstore.ErrConflict
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// TestArchiveConflicts checks that a write is repeated after a conflict, but not for
// ever.
func TestArchiveConflicts(t *testing.T) {
	for conflicts, want := range map[int]error{1: nil, 4: nil, 50: objectstore.ErrConflict} {
		archive := quarantine.NewArchive(&conflictingStore{objectstore.NewMemory(), conflicts})
		err := archive.Add(context.Background(), archiveStart, time.Hour, map[string][]quarantine.Crash{"new": crashesAt(archiveStart)})
		if !errors.Is(err, want) {
			t.Errorf("after %d conflicts: %v, want %v", conflicts, err, want)
		}
	}
}
