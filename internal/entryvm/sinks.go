package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/internal/weights"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

// configurationSink applies configurations from the store to the router.
type configurationSink struct{ *VM }

// Replace implements registry.Sink.
func (v configurationSink) Replace(now time.Time, page registry.Page[routing.Document], _ bool) {
	v.Apply(now, page, false)
}

// Apply implements registry.Sink. If a configuration is invalid or has been
// deleted, the previous one stays in force.
func (v configurationSink) Apply(_ time.Time, page registry.Page[routing.Document], _ bool) {
	for _, item := range page.Items {
		if item.Deleted || item.Problem != "" {
			v.log.Error().Str("object", item.Name).Uint64("revision", item.Revision).Bool("deleted", item.Deleted).
				Str("problem", item.Problem).Msg("configuration not usable")
			continue
		}
		c := routing.New(item.Revision, item.Value).WithEra(page.Era)
		if !v.configuration.Offer(c) {
			if current := v.configuration.Current(); current.Era() < page.Era {
				v.log.Warn().Uint64("era", page.Era).Uint64("revision", item.Revision).Int64("version", c.Version()).
					Int64("in_force", current.Version()).Msg("older configuration of a copy not used")
			}
			continue
		}
		v.applyServices(c)
		v.log.Info().Uint64("revision", c.Revision()).Int64("version", c.Version()).Int("routes", len(item.Value.Routes)).
			Msg("configuration in force")
	}
}

// applyServices passes the services of a configuration that has come into force on to
// the roster.
func (v *VM) applyServices(c *routing.Config) {
	var store roster.Upstream
	for _, s := range c.Services() {
		if s.StoreAddress != "" {
			store = roster.Upstream{ID: s.Name, Service: s.Name, Address: s.StoreAddress, DataCentre: s.DataCentre}
		}
		v.upstreams.SetCacheTokens(s.Name, s.CacheTokens)
	}
	v.upstreams.SetStore(store)
}

// upstreamSink applies the upstreams' entries in the store to the roster.
type upstreamSink struct{ *VM }

// Replace implements registry.Sink.
func (v upstreamSink) Replace(now time.Time, page registry.Page[roster.Upstream], afterOutage bool) {
	var list []roster.Upstream
	for _, item := range page.Items {
		if v.usable(item) {
			list = append(list, item.Value)
		}
	}
	if page.Era > v.upstreamsEra && v.upstreamsListed {
		v.recordUpstreamChanges(now, v.upstreams.ReplaceFromCopy(now, list))
	} else {
		v.recordUpstreamChanges(now, v.upstreams.Replace(now, list, afterOutage))
	}
	v.upstreamsListed, v.upstreamsEra = true, page.Era
}

// Apply implements registry.Sink.
func (v upstreamSink) Apply(now time.Time, page registry.Page[roster.Upstream], afterOutage bool) {
	for _, item := range page.Items {
		switch {
		case item.Deleted:
			v.recordUpstreamChanges(now, v.upstreams.Remove(now, item.Name, afterOutage))
		case v.usable(item):
			v.recordUpstreamChanges(now, v.upstreams.Put(now, item.Value))
		default:
			// An invalid entry does not remove the upstream it replaces.
		}
	}
}

func (v upstreamSink) usable(item registry.Item[roster.Upstream]) bool {
	if item.Problem != "" {
		v.log.Warn().Str("object", item.Name).Uint64("revision", item.Revision).Str("problem", item.Problem).Msg("upstream entry not usable")
		return false
	}
	return !item.Deleted
}

// recordUpstreamChanges logs changes of upstreams and passes them on to the crash
// tracker.
func (v *VM) recordUpstreamChanges(now time.Time, changes []roster.Change) {
	for _, c := range changes {
		v.log.Info().Str("upstream", c.Upstream.ID).Str("change", string(c.Kind)).Str("service", c.Upstream.Service).
			Bool("leaving", c.Upstream.Leaving).Int64("version", c.Upstream.Version).Msg("upstream changed")
	}
	v.crashTracker.RecordEnded(now, changes)
}

// versionSink applies the desired versions of weights that operators have set.
type versionSink struct{ *VM }

// Replace implements registry.Sink.
func (v versionSink) Replace(now time.Time, page registry.Page[platform.DesiredVersion], _ bool) {
	v.Apply(now, page, false)
}

// Apply implements registry.Sink. The versions in the first list may have been desired
// for any time; peers that know for how long tell it. Later ones were set after
// page.After, or after the beginning of a pause of this VM.
func (v versionSink) Apply(now time.Time, page registry.Page[platform.DesiredVersion], _ bool) {
	after := page.After
	if lastRun := v.pauses.LastRun(now); lastRun.Before(after) {
		after = lastRun
	}
	v.upstreams.DesiredListed()
	settled := v.versionsSettledAt()
	if after.IsZero() {
		v.log.Info().Int("versions", len(page.Items)).Dur("settled_in", settled.Sub(now)).Msg("versions found, their ages are not known")
	}
	for _, item := range page.Items {
		if item.Deleted || item.Problem != "" {
			v.log.Warn().Str("object", item.Name).Str("problem", item.Problem).Msg("desired version not usable")
			continue
		}
		record := func(model string, version int64) bool { return v.upstreams.SeeDesired(now, after, model, version) }
		if after.IsZero() {
			record = func(model string, version int64) bool { return v.upstreams.FindDesired(now, model, version, settled) }
		}
		if record(item.Value.Model, item.Value.Version) {
			v.log.Info().Str("model", item.Value.Model).Int64("version", item.Value.Version).Msg("version named")
		}
	}
}

// versionsSettledAt returns until when this VM may wait for what the store and peers know of
// desired versions.
func (v *VM) versionsSettledAt() time.Time {
	return weights.SettledAt(v.startedAt, milliseconds(v.settings.ContactMS))
}
