package permit

import "time"

// delegated is the share of one VM at an issuer.
type delegated struct {
	// until is when the share no longer counts.
	until time.Time
	// ignoreBefore is the time of the last withdrawal. Earlier stamps are not accepted.
	ignoreBefore time.Time
	fleetSize    int
}

// shares holds the shares of one shard that are delegated to an issuer, by VM.
type shares map[string]delegated

// claim is what a request says of its sender's share.
type claim struct {
	vm        string
	stamp     Stamp
	fleetSize int
	// ttl is how long the share counts after the stamp.
	ttl time.Duration
	// withdrawn is set if the share is taken back, or not accepted.
	withdrawn bool
}

// record records a claim at an issuer whose process has started at startedAt.
func (s shares) record(now, startedAt time.Time, process int64, c claim) delegated {
	d := s[c.vm]
	stampedAt := startedAt.Add(time.Duration(c.stamp.MS) * time.Millisecond)
	switch until := stampedAt.Add(c.ttl); {
	case c.withdrawn:
		d.until, d.ignoreBefore = time.Time{}, now
	case c.stamp.Process == process && stampedAt.After(d.ignoreBefore) && !stampedAt.After(now) && until.After(d.until):
		d.until, d.fleetSize = until, c.fleetSize
	}
	s[c.vm] = d
	return d
}

// sum returns the share of the fleet that counts. Of several opinions on the size of the
// fleet the largest counts.
func (s shares) sum(now time.Time, ttl time.Duration, fleetSize int) float64 {
	n := 0
	for vm, d := range s {
		if !d.until.After(now) {
			if now.Sub(d.ignoreBefore) > ttl {
				delete(s, vm)
			}
			continue
		}
		n++
		fleetSize = max(fleetSize, d.fleetSize)
	}
	return float64(n) / float64(max(1, n, fleetSize))
}
