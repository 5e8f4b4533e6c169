package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
)

const (
	// staleLookups is how many lifetimes of a look-up some callers keep it.
	staleLookups = 3
	departSlack  = 400 * time.Millisecond
	// closeTimeout bounds the servers' own stop, when no request is left.
	closeTimeout = 300 * time.Millisecond
	// lastWord is how long before the platform's kill the VM ends by itself.
	lastWord   = 500 * time.Millisecond
	departTick = 25 * time.Millisecond
)

// stage is how far the VM's stop has come.
func (v *VM) stage(now time.Time) ingress.Stage {
	at := v.departed.Load()
	switch {
	case at == 0:
		return ingress.Serving
	case now.UnixNano()-at < int64(v.lookupsEnd()+departSlack):
		return ingress.Draining
	default:
		return ingress.Closing
	}
}

// lookupsEnd is how long callers may still come by an old look-up.
func (v *VM) lookupsEnd() time.Duration { return staleLookups * milliseconds(v.settings.EntryTTLMS) }

// depart leaves the look-ups and readiness, serves those that still come, and
// returns when no request is left, or just before the platform's kill.
func (v *VM) depart() {
	start := v.opts.Now()
	v.departed.Store(start.UnixNano())
	v.log.Info().Int64("active", v.active.Load()).Msg("VM is leaving")
	v.beacon.Send(start)
	end := start.Add(milliseconds(v.settings.StopMS) - lastWord)
	ticker := time.NewTicker(departTick)
	defer ticker.Stop()
	for range ticker.C {
		now := v.opts.Now()
		idle := v.active.Load() == 0 && now.Sub(start) > v.lookupsEnd()+departSlack
		if idle || now.After(end) {
			v.log.Info().Int64("active", v.active.Load()).Dur("after", now.Sub(start)).Msg("VM has left")
			return
		}
	}
}

// Reload takes settings that have changed: where the store is, and seeds. The
// others hold from the next start on.
func (v *VM) Reload(s Settings) {
	v.store.SetAddress(s.StoreAddress)
	v.addSeeds(s)
	v.log.Info().Str("settings", s.String()).Msg("settings read again")
}
