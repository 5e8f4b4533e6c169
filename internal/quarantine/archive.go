package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
)

const (
	archiveKey = "quarantine/requests"
	// maxArchived limits the archived requests, so that they fit into one object.
	maxArchived = 1000
	// archiveAttempts limits the writes of one call while others write as well.
	archiveAttempts = 5
)

// Archive keeps the crashes of quarantined requests in the platform's object API,
// for fleets whose nodes all restart. It is safe for concurrent use.
type Archive struct{ store objectstore.Store }

// NewArchive returns an Archive.
func NewArchive(store objectstore.Store) Archive { return Archive{store} }

// Load returns the archived crashes by fingerprint, and the object's version.
func (a Archive) Load(ctx context.Context) (map[string][]Crash, uint64, error) {
	archived := make(map[string][]Crash)
	o, err := a.store.Get(ctx, archiveKey)
	if errors.Is(err, objectstore.ErrNotFound) {
		return archived, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("quarantine: load: %w", err)
	}
	if err := json.Unmarshal(o.Value, &archived); err != nil {
		return nil, o.Version, fmt.Errorf("quarantine: load: %w", err)
	}
	return archived, o.Version, nil
}

// Add archives the crashes of requests, and drops those whose crashes are all older
// than retention. An archive that can't be decoded is replaced.
func (a Archive) Add(ctx context.Context, now time.Time, retention time.Duration, requests map[string][]Crash) error {
	var err error
	for range archiveAttempts {
		archived, version, loadErr := a.Load(ctx)
		if loadErr != nil && version == 0 {
			return loadErr
		}
		if archived == nil {
			archived = make(map[string][]Crash)
		}
		maps.Copy(archived, requests)
		maps.DeleteFunc(archived, func(_ string, crashes []Crash) bool { return now.Sub(lastCrash(crashes)) > retention })
		limitArchived(archived)
		raw, encodeErr := json.Marshal(archived)
		if encodeErr != nil {
			return fmt.Errorf("quarantine: add: %w", encodeErr)
		}
		if _, err = a.store.Put(ctx, archiveKey, raw, version); err == nil {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) {
			break
		}
	}
	return fmt.Errorf("quarantine: add: %w", err)
}

// limitArchived drops the requests whose crashes are longest ago.
func limitArchived(archived map[string][]Crash) {
	if len(archived) <= maxArchived {
		return
	}
	fingerprints := slices.SortedFunc(maps.Keys(archived), func(a, b string) int {
		if c := lastCrash(archived[b]).Compare(lastCrash(archived[a])); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	for _, fingerprint := range fingerprints[maxArchived:] {
		delete(archived, fingerprint)
	}
}

func lastCrash(crashes []Crash) time.Time {
	var last time.Time
	for _, c := range crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}
