package entryvm

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// drainNoticeMargin is subtracted from the time for which upstreams that leave go on
// serving: the last requests must end in it.
const drainNoticeMargin = 250 * time.Millisecond

// recordLeaving records that a report or cache events of an upstream announce that it
// leaves.
func (v *VM) recordLeaving(u roster.Upstream) { v.handler.RecordLeaving(v.opts.Now(), u) }

// learnDrains records a peer's reports of upstreams that leave.
func (v *VM) learnDrains(now time.Time, m beacon.Message) {
	for _, r := range m.UpstreamsLeaving {
		if v.drains.Learn(now, r) {
			metrics.GetOrRegisterCounter("leaving.learned", v.metrics).Inc(1)
			v.log.Info().Str("peer", m.Name).Str("incarnation", r.Incarnation).Int64("age_ms", r.AgeMS).Msg("upstream leaving, learned from a peer")
		}
	}
}

// learnEjections records a peer's reports of upstreams whose responses break.
func (v *VM) learnEjections(now time.Time, m beacon.Message) {
	for _, incarnation := range v.ejections.Learn(now, m.Name, m.Ejections) {
		metrics.GetOrRegisterCounter("ejections.learned", v.metrics).Inc(1)
		v.log.Warn().Str("peer", m.Name).Str("incarnation", incarnation).Msg("upstream ejected, learned from peers")
	}
}

// peerNames returns the names of the other VMs that serve.
func (v *VM) peerNames() []string {
	var names []string
	for _, p := range v.beacon.Alive(v.opts.Now()) {
		if p.State == beacon.Serving {
			names = append(names, p.Name)
		}
	}
	return names
}

// maintainAvailability forgets what is known of upstreams that are gone.
func (v *VM) maintainAvailability(now time.Time) {
	listed, services := make(map[string]bool), make(map[string]string)
	for _, u := range v.upstreams.All() {
		listed[u.Incarnation()] = true
		services[u.Incarnation()] = u.Service
	}
	v.drains.Retain(now, listed)
	v.backoffs.Retain(now, listed)
	v.ejections.Retain(now, services)
	v.brittle.Retain(listed)
	metrics.GetOrRegisterGauge("upstreams_brittle", v.metrics).Update(int64(len(v.brittle.Numbers())))
	metrics.GetOrRegisterGauge("upstreams_leaving", v.metrics).Update(int64(len(v.drains.Ages(now))))
	metrics.GetOrRegisterGauge("upstreams_backing_off", v.metrics).Update(int64(len(v.backoffs.Remaining(now))))
	metrics.GetOrRegisterGauge("upstreams_ejected", v.metrics).Update(int64(len(v.ejections.Ages(now))))
}
