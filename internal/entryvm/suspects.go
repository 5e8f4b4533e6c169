package entryvm

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

// suspectsInterval is the interval between two looks for suspects to store or to
// delete.
const suspectsInterval = 300 * time.Millisecond

// mergeSuspect adds what a peer or the store reports of a request, and logs news.
func (v *VM) mergeSuspect(now time.Time, source string, r suspect.Report) {
	if !v.crashTracker.Merge(now, r) {
		return
	}
	metrics.GetOrRegisterCounter("suspects.learned", v.metrics).Inc(1)
	e := v.crashTracker.Evidence(now, r.Fingerprint)
	v.log.Info().Str("source", source).Str("fingerprint", r.Fingerprint).Int("broken", e.Broken).Int("crashes", e.Crashes).Msg("suspect request learned")
}

// TrialRank implements ingress.Fleet. The order is by rendezvous hashing over the VMs
// that serve.
func (v *VM) TrialRank(now time.Time, fingerprint string) int {
	own := xxhash.Sum64String(fingerprint + "/" + v.settings.Name)
	rank := 0
	for _, p := range v.beacon.Alive(now) {
		if p.State == beacon.Serving && xxhash.Sum64String(fingerprint+"/"+p.Name) < own {
			rank++
		}
	}
	return rank
}

// restoreSuspects reads the stored suspects: after a restart of all VMs no peer
// knows them.
func (v *VM) restoreSuspects(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := v.store.Suspects().List(ctx)
		if err != nil {
			wait.For(ctx, registerBackoff)
			continue
		}
		now := v.opts.Now()
		for _, item := range page.Items {
			if item.Problem != "" {
				v.log.Warn().Str("object", item.Name).Str("problem", item.Problem).Msg("stored suspect not usable")
				continue
			}
			age := max(0, now.Sub(time.UnixMilli(item.Value.WrittenMS)))
			v.mergeSuspect(now, "store", item.Value.Older(age))
			if age > 2*suspect.TTL {
				// Its writer no longer exists.
				v.deleteSuspect(ctx, item.Name)
			}
		}
		return
	}
}

// storeSuspects stores the blocked requests that have run through this VM, and
// deletes them when they have expired.
func (v *VM) storeSuspects(ctx context.Context) {
	stored := make(map[string]time.Time)
	storedEra := uint64(0)
	for wait.For(ctx, suspectsInterval) {
		now := v.opts.Now()
		if era := v.store.Era(); era != storedEra {
			// A copy may lack them.
			clear(stored)
			storedEra = era
		}
		for _, r := range v.crashTracker.OwnBlocked(now) {
			if _, known := stored[r.Fingerprint]; known {
				continue
			}
			if err := v.store.AddSuspect(ctx, platform.StoredSuspect{Report: r, WrittenMS: now.UnixMilli()}); err != nil {
				v.log.Warn().Str("fingerprint", r.Fingerprint).Err(err).Msg("suspect request not stored")
				wait.For(ctx, registerBackoff)
				break
			}
			stored[r.Fingerprint] = now
			v.log.Info().Str("fingerprint", r.Fingerprint).Msg("suspect request stored")
		}
		for fingerprint, at := range stored {
			if now.Sub(at) > suspect.TTL {
				delete(stored, fingerprint)
				v.deleteSuspect(ctx, fingerprint)
			}
		}
	}
}

// deleteSuspect deletes a stored suspect. Another VM may have done so.
func (v *VM) deleteSuspect(ctx context.Context, fingerprint string) {
	if err := v.store.DeleteSuspect(ctx, fingerprint); err != nil && !errors.Is(err, registry.ErrNotFound) {
		v.log.Warn().Str("fingerprint", fingerprint).Err(err).Msg("stored suspect not deleted")
	}
}
