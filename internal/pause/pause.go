// Package pause finds out when a VM stood still. A frozen process does not notice what
// happens, and takes it for new afterwards. A suspended VM's monotonic clock stands still as
// well, so that all times that it keeps seem more recent than they are.
//
// # Usage
//
//	d := pause.NewDetector(time.Now(), boot)
//	suspended := d.Beat(time.Now()) // regularly, and before times from others are used
//	after := d.LastRun(time.Now())  // what is noticed now did not happen before
//
// A Detector is safe for concurrent use.
package pause

import (
	"sync"
	"time"
)

const (
	// minInterval is the time within which Beat does not read the boot clock again.
	minInterval = 20 * time.Millisecond
	// maxInterval is the longest time between two beats of a VM that runs.
	maxInterval = 500 * time.Millisecond
	// catchUpPeriod is how long after a pause a VM may notice what happened meanwhile.
	catchUpPeriod = time.Second
	// minSuspension is more than two readings of both clocks differ by.
	minSuspension = 20 * time.Millisecond
)

// Detector holds when a VM last ran and when it last stood still.
type Detector struct {
	// bootTime returns the time since the VM's boot, time in suspension included.
	bootTime func() time.Duration

	mu sync.Mutex
	// beatAt and beatBoot are the time of the last beat by both clocks.
	beatAt   time.Time
	beatBoot time.Duration
	// pausedFrom and pausedTo are the last beat before the last pause and the first one
	// after it, by the boot clock.
	pausedFrom, pausedTo time.Duration
}

// NewDetector returns a Detector of a VM that runs now. bootTime returns the time since the
// VM's boot, time in suspension included.
func NewDetector(now time.Time, bootTime func() time.Duration) *Detector {
	boot := bootTime()
	return &Detector{bootTime: bootTime, beatAt: now, beatBoot: boot, pausedFrom: boot, pausedTo: boot}
}

// Beat records that the VM runs now. It returns for how long the monotonic clock stood still
// since the last call, 0 if the VM was not suspended.
func (d *Detector) Beat(now time.Time) (suspended time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.beatAt) < minInterval {
		return 0
	}
	boot := d.bootTime()
	if boot-d.beatBoot > maxInterval {
		d.pausedFrom, d.pausedTo = d.beatBoot, boot
	}
	suspended = boot - d.beatBoot - now.Sub(d.beatAt)
	d.beatAt, d.beatBoot = now, boot
	if suspended < minSuspension {
		return 0
	}
	return suspended
}

// LastRun returns the time, by the clock of now, before which nothing happened that a VM
// notices only now. It is now unless the VM has just stood still.
func (d *Detector) LastRun(now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	boot := d.bootTime()
	switch {
	case boot-d.beatBoot > maxInterval:
		return now.Add(d.beatBoot - boot)
	case d.pausedTo > d.pausedFrom && boot-d.pausedTo < catchUpPeriod:
		return now.Add(d.pausedFrom - boot)
	}
	return now
}
