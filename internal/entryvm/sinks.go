package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/routing"
	"github.com/hibiscuscove/hibiscuscove/platform"
)

// configurationSink puts configurations in force.
type configurationSink struct{ *VM }

// Replace implements registry.Sink.
func (v configurationSink) Replace(now time.Time, page registry.Page[routing.Document], _ bool) {
	v.Apply(now, page, false)
}

// Apply implements registry.Sink. A configuration that can't be read or has
// been deleted leaves the last one in force.
func (v configurationSink) Apply(_ time.Time, page registry.Page[routing.Document], _ bool) {
	for _, item := range page.Items {
		if item.Deleted || item.Problem != "" {
			v.log.Error().Str("object", item.Name).Uint64("revision", item.Revision).Bool("deleted", item.Deleted).
				Str("problem", item.Problem).Msg("configuration not usable")
			continue
		}
		c := routing.New(item.Revision, item.Value)
		if !v.configuration.Offer(c) {
			continue
		}
		var store roster.Upstream
		stored := 0
		for _, s := range c.Services() {
			if s.StoreAddress != "" {
				store = roster.Upstream{ID: s.Name, Service: s.Name, Address: s.StoreAddress, DataCentre: s.DataCentre}
				stored = s.CacheTokens
			}
			v.upstreams.SetCacheTokens(s.Name, s.CacheTokens)
		}
		v.upstreams.SetStore(store, stored)
		v.log.Info().Uint64("revision", c.Revision()).Int64("version", c.Version()).Int("routes", len(item.Value.Routes)).
			Msg("configuration in force")
	}
}

// upstreamSink takes the upstreams' entries.
type upstreamSink struct{ *VM }

// Replace implements registry.Sink.
func (v upstreamSink) Replace(now time.Time, page registry.Page[roster.Upstream], lapse bool) {
	var list []roster.Upstream
	for _, item := range page.Items {
		if v.usable(item) {
			list = append(list, item.Value)
		}
	}
	v.changed(now, v.upstreams.Replace(now, list, lapse))
}

// Apply implements registry.Sink.
func (v upstreamSink) Apply(now time.Time, page registry.Page[roster.Upstream], lapse bool) {
	for _, item := range page.Items {
		switch {
		case item.Deleted:
			v.changed(now, v.upstreams.Remove(now, item.Name, lapse))
		case v.usable(item):
			v.changed(now, v.upstreams.Put(now, item.Value))
		default:
			// An entry that names no upstream takes none away by itself.
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

func (v *VM) changed(now time.Time, changes []roster.Change) {
	for _, c := range changes {
		v.log.Info().Str("upstream", c.Upstream.ID).Str("change", string(c.Kind)).Str("service", c.Upstream.Service).
			Bool("leaving", c.Upstream.Leaving).Int64("version", c.Upstream.Version).Msg("upstream changed")
	}
	v.suspects.RecordEnded(now, changes)
}

// versionSink takes the weights that operators name.
type versionSink struct{ *VM }

// Replace implements registry.Sink.
// What the first list names may have been in force for long; until peers tell
// for how long, half of the limit counts as passed.
func (v versionSink) Replace(now time.Time, page registry.Page[platform.DesiredVersion], _ bool) {
	take := v.upstreams.SetDesired
	if !v.listed {
		take = v.upstreams.AssumeDesired
		now = now.Add(-milliseconds(v.settings.VersionMS) / 2)
		v.listed = true
	}
	v.named(now, page, take)
}

// Apply implements registry.Sink.
func (v versionSink) Apply(now time.Time, page registry.Page[platform.DesiredVersion], _ bool) {
	v.named(now, page, v.upstreams.SetDesired)
}

func (v versionSink) named(at time.Time, page registry.Page[platform.DesiredVersion], take func(time.Time, string, int64) bool) {
	for _, item := range page.Items {
		if item.Deleted || item.Problem != "" {
			v.log.Warn().Str("object", item.Name).Str("problem", item.Problem).Msg("named version not usable")
			continue
		}
		if take(at, item.Value.Model, item.Value.Version) {
			v.log.Info().Str("model", item.Value.Model).Int64("version", item.Value.Version).Msg("version named")
		}
	}
}
