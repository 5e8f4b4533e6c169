package entryvm

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/ingress"
)

const (
	// Some callers use a look-up for up to staleLookupFactor times its lifetime.
	staleLookupFactor = 3
	drainMargin       = 400 * time.Millisecond
	// closeTimeout limits the shutdown of the servers, which follows the end of the
	// last request.
	closeTimeout = 300 * time.Millisecond
	// A drain ends at the latest killMargin before the platform would kill the VM.
	killMargin        = 500 * time.Millisecond
	drainPollInterval = 25 * time.Millisecond
	// takingShare is the share of the time to stop in which a VM takes new requests. What it
	// takes later may not have ended when the VM must.
	takingShare = 0.35
	// sendingShare is the share of the time to stop in which a VM sends requests that have
	// waited.
	sendingShare = 0.6
	// lastAnswersTimeout limits the time in which requests that are ended get their
	// errors. It is well below killMargin.
	lastAnswersTimeout = 150 * time.Millisecond
)

// stage returns the VM's progress in stopping: it first keeps serving while
// callers may use an old look-up, then rejects new requests.
func (v *VM) stage(now time.Time) ingress.Stage {
	at := v.drainStarted.Load()
	if at == 0 {
		return ingress.Serving
	}
	return StopStage(time.Duration(now.UnixNano()-at), v.staleLookupPeriod(), milliseconds(v.settings.StopMS))
}

// StopStage returns the stage of a VM that began to stop some time ago and must have ended
// within stop, if callers may use a look-up that names it for staleLookup.
func StopStage(since, staleLookup, stop time.Duration) ingress.Stage {
	if since < min(staleLookup+drainMargin, time.Duration(takingShare*float64(stop))) {
		return ingress.Draining
	}
	if since >= time.Duration(sendingShare*float64(stop)) {
		return ingress.Ending
	}
	return ingress.Closing
}

// staleLookupPeriod returns how long after the VM has left the directory callers may
// still use a look-up that names it.
func (v *VM) staleLookupPeriod() time.Duration {
	return staleLookupFactor * milliseconds(v.settings.EntryTTLMS)
}

// drain makes the VM not ready, which removes it from the directory, and keeps
// serving requests that still arrive. It returns when no request is left and no
// caller can hold a look-up that names the VM, or just before the platform kills
// the VM.
func (v *VM) drain() {
	start := v.opts.Now()
	v.drainStarted.Store(start.UnixNano())
	v.log.Info().Int64("active", v.activeRequests.Load()).Msg("VM is leaving")
	v.limits.Close()
	v.quotas.Close()
	v.beacon.Send(start)
	v.streams.HandOver(start)
	end := start.Add(milliseconds(v.settings.StopMS) - killMargin)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for range ticker.C {
		now := v.opts.Now()
		idle := v.activeRequests.Load() == 0 && now.Sub(start) > v.staleLookupPeriod()+drainMargin
		if idle || now.After(end) {
			v.endRequests()
			v.log.Info().Int64("active", v.activeRequests.Load()).Dur("after", now.Sub(start)).Msg("VM has left")
			return
		}
	}
}

// endRequests ends the requests under way and lets their callers know.
func (v *VM) endRequests() {
	v.handler.Stop()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for range lastAnswersTimeout / drainPollInterval {
		if v.activeRequests.Load() == 0 {
			return
		}
		<-ticker.C
	}
}

// Reload applies the store's address and the seeds of changed settings. Other
// changes take effect only at the next start.
func (v *VM) Reload(s Settings) {
	v.store.SetAddress(s.StoreAddress)
	v.addSeeds(s)
	v.log.Info().Str("settings", s.String()).Msg("settings reloaded")
}
