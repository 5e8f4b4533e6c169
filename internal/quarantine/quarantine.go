// Package quarantine detects requests that crash the upstreams that run them.
//
// A request that was running on an upstream when the upstream crashed is
// suspect. A suspect may run once more, as a trial that is announced to the whole
// fleet, on an upstream that runs no other trial. If that upstream crashes too,
// the request is quarantined on all nodes. A request whose response had started
// when the upstream crashed is less likely to be the cause: it continues without a
// trial, but not on an upstream that runs another request's trial. If many
// upstreams of a data centre crash together, no request is held responsible.
//
// # Usage
//
//	tracker := quarantine.NewTracker(quarantine.Options{})
//	switch tracker.Check(now, fingerprint) {
//	case quarantine.Quarantined:
//		// Reject the request.
//	case quarantine.Suspect:
//		// Announce a trial to the fleet, then run it.
//	}
//
// A Tracker is safe for concurrent use. Functions that depend on the present
// time take it as an argument.
package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultRetention             = time.Hour
	defaultMassCrashWindow       = 2 * time.Second
	defaultMassCrashMinUpstreams = 3
	defaultMassCrashMinShare     = 0.3
	defaultMaxSuspects           = 10_000
	crashesToQuarantine          = 2
)

// Options configures a Tracker. The zero value is valid.
type Options struct {
	// Retention is how long a crash counts. The default is 1 h.
	Retention time.Duration
	// MassCrashWindow is the maximum time between a crash and the other crashes
	// that count as one mass crash with it: the crash of many upstreams of a data
	// centre at about the same time. The default is 2 s.
	MassCrashWindow time.Duration
	// MassCrashMinUpstreams is the minimum number of upstreams in a mass crash.
	// The default is 3.
	MassCrashMinUpstreams int
	// MassCrashMinShare is the minimum share of a data centre's upstreams in a
	// mass crash. The default is 0.3.
	MassCrashMinShare float64
	// MaxSuspects limits the suspects that are tracked. The default is 10,000.
	MaxSuspects int
}

// Status says whether a request may run.
type Status uint8

const (
	// Clear means that no crash counts against the request.
	Clear Status = iota
	// Suspect means that one upstream has crashed while it ran the request.
	Suspect
	// OnTrial means that a trial of the suspect is running on some node.
	OnTrial
	// Quarantined means that the request must not run again.
	Quarantined
)

// Crash is the end of one incarnation of an upstream. At is when it was noticed.
type Crash struct {
	Upstream    string    `json:"upstream"`
	Incarnation string    `json:"incarnation"`
	DataCentre  string    `json:"data_centre"`
	At          time.Time `json:"at"`
}

// NewCrash returns the crash of an upstream's incarnation. Its Incarnation is
// prefixed with the upstream's name, so that it is unique among all upstreams.
func NewCrash(at time.Time, upstream, dataCentre, incarnation string) Crash {
	return Crash{Upstream: upstream, Incarnation: upstream + "@" + incarnation, DataCentre: dataCentre, At: at}
}

// hasIncarnation reports whether the incarnation is known. Otherwise crashes of several
// incarnations have the same Incarnation.
func (c Crash) hasIncarnation() bool { return c.Incarnation != c.Upstream+"@" }

// suspect holds the crashes attributed to a request and its last trial.
type suspect struct {
	crashes       map[string]Crash
	clearedAt     time.Time
	trialHolder   string
	trialUpstream string
	trialEnds     time.Time
	usedAt        time.Time
}

// Tracker holds the crashes and suspects that one node knows.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// suspects holds the suspects by fingerprint, crashes all crashes by
	// incarnation, upstreamCounts the number of upstreams by data centre.
	suspects       map[string]*suspect
	crashes        map[string]Crash
	upstreamCounts map[string]int
	// withoutTrial is the number of suspects that this node runs without a trial, by
	// upstream.
	withoutTrial map[string]int
}

// NewTracker returns an empty Tracker.
func NewTracker(opts Options) *Tracker {
	if opts.Retention <= 0 {
		opts.Retention = defaultRetention
	}
	if opts.MassCrashWindow <= 0 {
		opts.MassCrashWindow = defaultMassCrashWindow
	}
	if opts.MassCrashMinUpstreams <= 0 {
		opts.MassCrashMinUpstreams = defaultMassCrashMinUpstreams
	}
	if opts.MassCrashMinShare <= 0 {
		opts.MassCrashMinShare = defaultMassCrashMinShare
	}
	if opts.MaxSuspects <= 0 {
		opts.MaxSuspects = defaultMaxSuspects
	}
	return &Tracker{
		opts:         opts,
		suspects:     make(map[string]*suspect),
		crashes:      make(map[string]Crash),
		withoutTrial: make(map[string]int),
	}
}

// Fingerprint returns a digest of a request's organisation, route and body, as
// 32 hex digits.
func Fingerprint(organisation, route string, body []byte) string {
	h := xxhash.New()
	for _, text := range []string{organisation, route} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(text)
	}
	first := h.Sum64()
	_, _ = h.Write(body)
	sum := binary.BigEndian.AppendUint64(nil, first^uint64(len(body)))
	return hex.EncodeToString(binary.BigEndian.AppendUint64(sum, h.Sum64()))
}

// SetUpstreamCounts sets the number of upstreams of each data centre. The caller
// must not change the map afterwards.
func (t *Tracker) SetUpstreamCounts(counts map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstreamCounts = counts
}

// RecordCrash records the crash of an upstream, whatever requests ran on it.
func (t *Tracker) RecordCrash(now time.Time, c Crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if first, known := t.crashes[c.Incarnation]; !known || c.hasIncarnation() && c.At.Before(first.At) {
		t.crashes[c.Incarnation] = c
	}
}

// AttributeCrash records that a request ran on an upstream when it crashed.
func (t *Tracker) AttributeCrash(now time.Time, fingerprint string, c Crash) {
	t.RecordCrash(now, c)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getSuspect(now, fingerprint)
	if _, known := s.crashes[c.Incarnation]; !known {
		s.crashes[c.Incarnation] = c
	}
}

// getSuspect returns the suspect with a fingerprint, a new one if there is none.
// The caller holds the lock.
func (t *Tracker) getSuspect(now time.Time, fingerprint string) *suspect {
	s := t.suspects[fingerprint]
	if s == nil {
		t.evictOldest()
		s = &suspect{crashes: make(map[string]Crash)}
		t.suspects[fingerprint] = s
	}
	s.usedAt = now
	return s
}

// evictOldest removes the least recently used suspect if there are MaxSuspects.
// The caller holds the lock.
func (t *Tracker) evictOldest() {
	if len(t.suspects) < t.opts.MaxSuspects {
		return
	}
	oldest := ""
	for fingerprint, s := range t.suspects {
		if oldest == "" || s.usedAt.Before(t.suspects[oldest].usedAt) {
			oldest = fingerprint
		}
	}
	delete(t.suspects, oldest)
}

// expire removes crashes and suspects older than Retention. The caller holds
// the lock.
func (t *Tracker) expire(now time.Time) {
	for incarnation, c := range t.crashes {
		if now.Sub(c.At) > t.opts.Retention {
			delete(t.crashes, incarnation)
		}
	}
	for fingerprint, s := range t.suspects {
		if now.Sub(s.usedAt) > t.opts.Retention {
			delete(t.suspects, fingerprint)
		}
	}
}

// Check returns the status of a request.
func (t *Tracker) Check(now time.Time, fingerprint string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		return Clear
	}
	switch crashes := t.countCrashes(now, s); {
	case crashes >= crashesToQuarantine:
		return Quarantined
	case now.Before(s.trialEnds):
		return OnTrial
	case crashes > 0:
		return Suspect
	default:
		return Clear
	}
}

// countCrashes returns the number of crashes that count against a suspect: those
// within Retention and since it was last cleared that are not part of a mass
// crash. The caller holds the lock.
func (t *Tracker) countCrashes(now time.Time, s *suspect) int {
	n := 0
	for _, c := range s.crashes {
		if now.Sub(c.At) <= t.opts.Retention && c.At.After(s.clearedAt) && !t.inMassCrash(c) {
			n++
		}
	}
	return n
}

// inMassCrash reports whether so many upstreams of c's data centre crashed
// around the time of c that something other than a request must be the cause. The
// caller holds the lock.
func (t *Tracker) inMassCrash(c Crash) bool {
	// A request may notice the end of its upstream seconds after others have, in silence.
	if first, known := t.crashes[c.Incarnation]; known && c.hasIncarnation() && first.At.Before(c.At) {
		c.At = first.At
	}
	upstreams := make(map[string]bool)
	for _, other := range t.crashes {
		distance := other.At.Sub(c.At).Abs()
		if other.DataCentre == c.DataCentre && distance <= t.opts.MassCrashWindow {
			upstreams[other.Upstream] = true
		}
	}
	minByShare := int(math.Ceil(float64(t.upstreamCounts[c.DataCentre]) * t.opts.MassCrashMinShare))
	return len(upstreams) >= max(t.opts.MassCrashMinUpstreams, minByShare)
}

// StartTrial records that holder runs a trial of a request on an upstream. The
// trial expires at until. It returns false if another holder runs one.
func (t *Tracker) StartTrial(now time.Time, fingerprint, holder, upstream string, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getSuspect(now, fingerprint)
	if now.Before(s.trialEnds) && s.trialHolder != holder {
		return false
	}
	s.trialHolder = holder
	s.trialUpstream = upstream
	s.trialEnds = until
	return true
}

// StartSuspect records that this node runs a suspect on an upstream without a
// trial, until finish is called. Call HasOtherTrial after StartSuspect, not before
// it: at least one of the two requests then notices the other if a trial starts at
// the same time.
func (t *Tracker) StartSuspect(upstream string) (finish func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withoutTrial[upstream]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.withoutTrial[upstream]--
		if t.withoutTrial[upstream] == 0 {
			delete(t.withoutTrial, upstream)
		}
	}
}

// AvailableForTrial reports whether a trial of the request may run on the
// upstream: it runs no trial of another request and no suspect of this node.
func (t *Tracker) AvailableForTrial(now time.Time, upstream, fingerprint string) bool {
	t.mu.Lock()
	withoutTrial := t.withoutTrial[upstream]
	t.mu.Unlock()
	return withoutTrial == 0 && !t.HasOtherTrial(now, upstream, fingerprint)
}

// HasOtherTrial reports whether the upstream runs a trial of another request.
func (t *Tracker) HasOtherTrial(now time.Time, upstream, fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, s := range t.suspects {
		if other != fingerprint && s.trialUpstream == upstream && now.Before(s.trialEnds) {
			return true
		}
	}
	return false
}

// EndTrial records that holder's trial of a request has ended.
func (t *Tracker) EndTrial(fingerprint, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[fingerprint]; s != nil && s.trialHolder == holder {
		s.trialEnds = time.Time{}
	}
}

// TrialHolder returns the holder that runs a trial of the request, or "".
func (t *Tracker) TrialHolder(now time.Time, fingerprint string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil || !now.Before(s.trialEnds) {
		return ""
	}
	return s.trialHolder
}

// Clear clears a request that has run to completion: crashes up to now no
// longer count against it. A trial of the request ends.
func (t *Tracker) Clear(now time.Time, fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[fingerprint]; s != nil {
		s.clearedAt = now
		s.trialEnds = time.Time{}
	}
}

// Crashes returns all crashes attributed to a request, ordered by time.
func (t *Tracker) Crashes(fingerprint string) []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[fingerprint]
	if s == nil {
		return nil
	}
	list := make([]Crash, 0, len(s.crashes))
	for _, c := range s.crashes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Crash) int { return a.At.Compare(b.At) })
	return list
}

// Entry describes one suspect to operators.
type Entry struct {
	Fingerprint string  `json:"fingerprint"`
	Quarantined bool    `json:"quarantined"`
	Crashes     []Crash `json:"deaths"`
}

// Entries returns the suspects against which crashes count, ordered by
// fingerprint.
func (t *Tracker) Entries(now time.Time) []Entry {
	t.mu.Lock()
	var fingerprints []string
	for fingerprint, s := range t.suspects {
		if t.countCrashes(now, s) > 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	t.mu.Unlock()
	slices.Sort(fingerprints)
	entries := make([]Entry, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		entries = append(entries, Entry{
			Fingerprint: fingerprint,
			Quarantined: t.Check(now, fingerprint) == Quarantined,
			Crashes:     t.Crashes(fingerprint),
		})
	}
	return entries
}
