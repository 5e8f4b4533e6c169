package weights

import "time"

const (
	// loadingTimeout is how long an engine counts as loading after the last
	// sign of it. The VM that changes the engine repeats its announcement
	// several times in this period.
	loadingTimeout = time.Second
	// minAnnouncementGap is the minimum time by which an announcement must be
	// newer than the last one. It exceeds the delay of a relayed announcement,
	// so that VMs which relay to each other do not keep refreshing an old one.
	minAnnouncementGap = 200 * time.Millisecond
	// relayPeriod is how long an announcement is relayed: two or three beacons
	// of each VM, which is enough to reach all.
	relayPeriod = 450 * time.Millisecond
)

// Loading holds the signs that an engine is changing its weights. It is immutable. The
// zero value is of an engine that is not.
type Loading struct {
	// seenAt is when the engine last appeared to be loading weights.
	seenAt time.Time
	// announcedAt is when the VM that changes the engine last announced it, and
	// version the version that the engine will have.
	announcedAt time.Time
	version     int64
}

// WithSign returns the signs with the engine appearing to load weights at now.
func (l Loading) WithSign(now time.Time) Loading {
	l.seenAt = now
	return l
}

// WithAnnouncement returns the signs with the announcement of a version at the given
// time. It is ignored if it is hardly newer than the last one.
func (l Loading) WithAnnouncement(at time.Time, version int64) Loading {
	if at.Sub(l.announcedAt) > minAnnouncementGap {
		l.announcedAt, l.version = at, version
	}
	return l
}

// Active reports whether the engine counts as loading weights.
func (l Loading) Active(now time.Time) bool {
	return within(now, l.seenAt, loadingTimeout) || within(now, l.announcedAt, loadingTimeout)
}

// Relayed returns the announced version and its age, to be relayed to peers that did
// not receive the announcement. It returns false if there is none or it is too old.
func (l Loading) Relayed(now time.Time) (version int64, age time.Duration, ok bool) {
	if !within(now, l.announcedAt, relayPeriod) {
		return 0, 0, false
	}
	return l.version, now.Sub(l.announcedAt), true
}

// within reports whether at is set and less than d before now.
func within(now, at time.Time, d time.Duration) bool { return !at.IsZero() && now.Sub(at) < d }
