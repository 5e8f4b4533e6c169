// Package quarantine finds requests that crash the upstreams that run them.
//
// A request that ran on an upstream when it died is suspect. A suspect may run
// once more, as a trial that the whole fleet knows of and on an upstream that
// no other trial uses. If that upstream dies too, the request is quarantined
// everywhere. A request whose answer had begun when the upstream died is less
// suspect: it goes on without a trial, apart from the trials of others. Many
// upstreams of a data centre that die together accuse nobody.
//
// # Usage
//
//	tracker := quarantine.NewTracker(quarantine.Options{})
//	switch tracker.Check(now, fingerprint) {
//	case quarantine.Quarantined:
//		// Refuse.
//	case quarantine.Suspect:
//		// Ask the fleet, then run it as a trial.
//	}
//
// A Tracker is safe for concurrent use. Each function that decides takes the
// present time as an argument.
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
	defaultMemory      = time.Hour
	defaultMassWindow  = 2 * time.Second
	defaultMassLeast   = 3
	defaultMassShare   = 0.3
	defaultMaxSuspects = 10_000
	deathsToQuarantine = 2
)

// Options sets up a Tracker. The zero value works.
type Options struct {
	// Memory is how long a death counts. The default is 1 h.
	Memory time.Duration
	// MassWindow is how close together the deaths of a mass are. The default is 2 s.
	MassWindow time.Duration
	// MassLeast is the least number of upstreams in a mass. The default is 3.
	MassLeast int
	// MassShare is the least share of a data centre's upstreams in a mass. The default is 0.3.
	MassShare float64
	// MaxSuspects bounds the suspects remembered. The default is 10,000.
	MaxSuspects int
}

// Status is what is known of a request.
type Status uint8

const (
	// Clear means that nothing speaks against the request.
	Clear Status = iota
	// Suspect means that one upstream has died while it ran the request.
	Suspect
	// OnTrial means that another attempt of the suspect is running somewhere.
	OnTrial
	// Quarantined means that the request must not run any more.
	Quarantined
)

// Crash is the end of one incarnation of an upstream.
type Crash struct {
	Upstream    string    `json:"upstream"`
	Incarnation string    `json:"incarnation"`
	DataCentre  string    `json:"data_centre"`
	At          time.Time `json:"at"`
}

// NewCrash returns the death of an upstream's incarnation. Incarnations of
// different upstreams never share a name in the book.
func NewCrash(at time.Time, upstream, dataCentre, incarnation string) Crash {
	return Crash{Upstream: upstream, Incarnation: upstream + "@" + incarnation, DataCentre: dataCentre, At: at}
}

type suspect struct {
	deaths      map[string]Crash
	absolved    time.Time
	trialHolder string
	trialOn     string
	trialEnds   time.Time
	touched     time.Time
}

// Tracker is what one node knows of deaths and suspects.
type Tracker struct {
	opts Options

	mu       sync.Mutex
	suspects map[string]*suspect
	deaths   map[string]Crash
	sizes    map[string]int
	// guests counts the suspects that this node runs on an upstream without a trial.
	guests map[string]int
}

// NewTracker returns an empty Tracker.
func NewTracker(opts Options) *Tracker {
	if opts.Memory <= 0 {
		opts.Memory = defaultMemory
	}
	if opts.MassWindow <= 0 {
		opts.MassWindow = defaultMassWindow
	}
	if opts.MassLeast <= 0 {
		opts.MassLeast = defaultMassLeast
	}
	if opts.MassShare <= 0 {
		opts.MassShare = defaultMassShare
	}
	if opts.MaxSuspects <= 0 {
		opts.MaxSuspects = defaultMaxSuspects
	}
	return &Tracker{
		opts:     opts,
		suspects: make(map[string]*suspect),
		deaths:   make(map[string]Crash),
		guests:   make(map[string]int),
	}
}

// Fingerprint returns the digest of a request: its organisation, route and body.
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

// SetUpstreamCounts tells how many upstreams each data centre has.
func (b *Tracker) SetUpstreamCounts(sizes map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sizes = sizes
}

// RecordCrash counts the end of an upstream's incarnation, whatever ran on it.
func (b *Tracker) RecordCrash(now time.Time, d Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if _, known := b.deaths[d.Incarnation]; !known {
		b.deaths[d.Incarnation] = d
	}
}

// AttributeCrash says that the request ran on an upstream when it died.
func (b *Tracker) AttributeCrash(now time.Time, fingerprint string, d Crash) {
	b.RecordCrash(now, d)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspect(now, fingerprint)
	if _, known := s.deaths[d.Incarnation]; !known {
		s.deaths[d.Incarnation] = d
	}
}

func (b *Tracker) suspect(now time.Time, fingerprint string) *suspect {
	s := b.suspects[fingerprint]
	if s == nil {
		b.makeRoom()
		s = &suspect{deaths: make(map[string]Crash)}
		b.suspects[fingerprint] = s
	}
	s.touched = now
	return s
}

func (b *Tracker) makeRoom() {
	if len(b.suspects) < b.opts.MaxSuspects {
		return
	}
	oldest := ""
	for fingerprint, s := range b.suspects {
		if oldest == "" || s.touched.Before(b.suspects[oldest].touched) {
			oldest = fingerprint
		}
	}
	delete(b.suspects, oldest)
}

func (b *Tracker) expire(now time.Time) {
	for incarnation, d := range b.deaths {
		if now.Sub(d.At) > b.opts.Memory {
			delete(b.deaths, incarnation)
		}
	}
	for fingerprint, s := range b.suspects {
		if now.Sub(s.touched) > b.opts.Memory {
			delete(b.suspects, fingerprint)
		}
	}
}

// Check says whether a request may run.
func (b *Tracker) Check(now time.Time, fingerprint string) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[fingerprint]
	if s == nil {
		return Clear
	}
	switch deaths := b.counted(now, s); {
	case deaths >= deathsToQuarantine:
		return Quarantined
	case now.Before(s.trialEnds):
		return OnTrial
	case deaths > 0:
		return Suspect
	default:
		return Clear
	}
}

// counted returns the number of a suspect's deaths that are not part of a mass.
func (b *Tracker) counted(now time.Time, s *suspect) int {
	n := 0
	for _, d := range s.deaths {
		if now.Sub(d.At) <= b.opts.Memory && d.At.After(s.absolved) && !b.inMass(d) {
			n++
		}
	}
	return n
}

// inMass reports whether so many upstreams of a data centre died around the
// time of d that something other than a request must be the cause.
func (b *Tracker) inMass(d Crash) bool {
	upstreams := make(map[string]bool)
	for _, other := range b.deaths {
		distance := other.At.Sub(d.At).Abs()
		if other.DataCentre == d.DataCentre && distance <= b.opts.MassWindow {
			upstreams[other.Upstream] = true
		}
	}
	share := int(math.Ceil(float64(b.sizes[d.DataCentre]) * b.opts.MassShare))
	return len(upstreams) >= max(b.opts.MassLeast, share)
}

// StartTrial says that holder runs a suspect on an upstream until the time
// given. It returns false if another holder runs it.
func (b *Tracker) StartTrial(now time.Time, fingerprint, holder, upstream string, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspect(now, fingerprint)
	if now.Before(s.trialEnds) && s.trialHolder != holder {
		return false
	}
	s.trialHolder = holder
	s.trialOn = upstream
	s.trialEnds = until
	return true
}

// StartSuspect says that this node runs a suspect on the upstream without a trial,
// until the returned function is called. The caller does that first and asks
// HasOtherTrial after that, so that a trial that starts in between is seen by one
// of the two.
func (b *Tracker) StartSuspect(upstream string) (leave func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guests[upstream]++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.guests[upstream]--
		if b.guests[upstream] == 0 {
			delete(b.guests, upstream)
		}
	}
}

// AvailableForTrial reports whether a trial of the request may run on the upstream: no
// other trial and no other suspect of this node is there.
func (b *Tracker) AvailableForTrial(now time.Time, upstream, fingerprint string) bool {
	b.mu.Lock()
	guests := b.guests[upstream]
	b.mu.Unlock()
	return guests == 0 && !b.HasOtherTrial(now, upstream, fingerprint)
}

// HasOtherTrial reports whether a trial of another request runs on the upstream.
func (b *Tracker) HasOtherTrial(now time.Time, upstream, fingerprint string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, s := range b.suspects {
		if other != fingerprint && s.trialOn == upstream && now.Before(s.trialEnds) {
			return true
		}
	}
	return false
}

// EndTrial says that holder's trial has ended.
func (b *Tracker) EndTrial(fingerprint, holder string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[fingerprint]; s != nil && s.trialHolder == holder {
		s.trialEnds = time.Time{}
	}
}

// TrialHolder returns who runs a trial of the request, if anybody does.
func (b *Tracker) TrialHolder(now time.Time, fingerprint string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[fingerprint]
	if s == nil || !now.Before(s.trialEnds) {
		return ""
	}
	return s.trialHolder
}

// Clear clears a request that has run to its end: the deaths before now do
// not count against it.
func (b *Tracker) Clear(now time.Time, fingerprint string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[fingerprint]; s != nil {
		s.absolved = now
		s.trialEnds = time.Time{}
	}
}

// Crashes returns the deaths that a request is accused of, ordered by time.
func (b *Tracker) Crashes(fingerprint string) []Crash {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[fingerprint]
	if s == nil {
		return nil
	}
	list := make([]Crash, 0, len(s.deaths))
	for _, d := range s.deaths {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b Crash) int { return a.At.Compare(b.At) })
	return list
}

// Entry is one suspect, for operators.
type Entry struct {
	Fingerprint string  `json:"fingerprint"`
	Quarantined bool    `json:"quarantined"`
	Crashes     []Crash `json:"deaths"`
}

// Entries returns all suspects that deaths count against.
func (b *Tracker) Entries(now time.Time) []Entry {
	b.mu.Lock()
	var fingerprints []string
	for fingerprint, s := range b.suspects {
		if b.counted(now, s) > 0 {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	b.mu.Unlock()
	slices.Sort(fingerprints)
	entries := make([]Entry, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		entries = append(entries, Entry{
			Fingerprint: fingerprint,
			Quarantined: b.Check(now, fingerprint) == Quarantined,
			Crashes:     b.Crashes(fingerprint),
		})
	}
	return entries
}
