package lineage

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// MaxLife is how long a fact is kept after its stream was last known to be open.
	MaxLife = time.Minute
	// maxFacts and maxFactBytes limit the facts of a Tracker and their texts.
	maxFacts     = 24 << 10
	maxFactBytes = 4 << 20
	// evictedShare is the share of the facts, one in evictedShare, that are evicted
	// at once when a limit is reached.
	evictedShare = 8
)

// Tracker holds facts. Merging facts gives the same result in any order: the builds
// that were named for a stream are joined, and of two different ones neither counts.
type Tracker struct {
	entries map[Stream]*entry
	bytes   int
}

// entry is what is known of one stream.
type entry struct {
	build string
	// seenAt is when the stream was last known to be open.
	seenAt time.Time
	// open counts the answers of this VM that are in progress.
	open int
	// announceAt is when an open stream is announced again.
	announceAt time.Time
	// key is the hash of the stream, and first holds the hashes of the VMs that come
	// first for it, then zeros.
	key   uint64
	first ranking
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{entries: make(map[Stream]*entry)} }

// Len returns the number of streams.
func (t *Tracker) Len() int { return len(t.entries) }

// Merge adds a fact from another VM. It reports whether that changed which build
// counts. Facts out of bounds are ignored.
func (t *Tracker) Merge(now time.Time, f Fact) bool {
	if !f.usable() {
		return false
	}
	_, changed := t.join(f.Stream, f.Build, now.Add(-time.Duration(f.IdleMS)*time.Millisecond))
	return changed
}

// join adds a build to a stream. It returns nil if there is no room for the stream.
func (t *Tracker) join(s Stream, build string, seenAt time.Time) (e *entry, changed bool) {
	e = t.entries[s]
	if e == nil {
		size := s.size() + len(build)
		if len(t.entries) >= maxFacts || t.bytes+size > maxFactBytes {
			t.evict()
		}
		if len(t.entries) >= maxFacts || t.bytes+size > maxFactBytes {
			return nil, false
		}
		e = &entry{build: build, seenAt: seenAt, key: s.key()}
		t.entries[s] = e
		t.bytes += size
		return e, true
	}
	if seenAt.After(e.seenAt) {
		e.seenAt = seenAt
	}
	if e.build == build || e.build == "" {
		return e, false
	}
	t.bytes -= len(e.build)
	e.build = ""
	return e, true
}

func (s Stream) size() int { return len(s.ID) + len(s.Organisation) + len(s.Service) }

// Open records that an answer of this VM has an event of the build. It reports false
// if there is no room.
func (t *Tracker) Open(now time.Time, s Stream, build string) bool {
	e, _ := t.join(s, build, now)
	if e == nil {
		return false
	}
	e.open++
	e.announceAt = now.Add(repeatDelay)
	return true
}

// Close records that an answer of this VM has ended.
func (t *Tracker) Close(now time.Time, s Stream) {
	if e := t.entries[s]; e != nil && e.open > 0 {
		e.open--
		e.seenAt = now
	}
}

// Lookup returns the fact about a stream.
func (t *Tracker) Lookup(now time.Time, s Stream) (f Fact, known bool) {
	e := t.entries[s]
	if e == nil || e.expired(now) {
		return Fact{}, false
	}
	return e.fact(now, s), true
}

func (e *entry) fact(now time.Time, s Stream) Fact {
	idle := now.Sub(e.seenAt)
	if e.open > 0 {
		idle = 0
	}
	return Fact{Stream: s, Build: e.build, IdleMS: max(0, idle.Milliseconds())}
}

func (e *entry) expired(now time.Time) bool { return e.open == 0 && now.Sub(e.seenAt) >= MaxLife }

// byAge orders streams by the time since they were open, the latest first.
func (t *Tracker) byAge(a, b Stream) int {
	return cmp.Or(t.entries[b].seenAt.Compare(t.entries[a].seenAt), strings.Compare(a.ID, b.ID))
}

// due returns the open streams that are to be announced now, and sets their next
// announcements.
func (t *Tracker) due(now time.Time) []Stream {
	var list []Stream
	for s, e := range t.entries {
		if e.open > 0 && !now.Before(e.announceAt) {
			e.announceAt = now.Add(announceInterval)
			list = append(list, s)
		}
	}
	return list
}

// Expire removes what has expired.
func (t *Tracker) Expire(now time.Time) {
	for s, e := range t.entries {
		if e.expired(now) {
			t.remove(s)
		}
	}
}

func (t *Tracker) remove(s Stream) {
	t.bytes -= s.size() + len(t.entries[s].build)
	delete(t.entries, s)
}

// evict removes the streams that have not been open for the longest time. Open ones
// stay.
func (t *Tracker) evict() {
	var idle []Stream
	for s, e := range t.entries {
		if e.open == 0 {
			idle = append(idle, s)
		}
	}
	slices.SortFunc(idle, t.byAge)
	for _, s := range idle[max(0, len(idle)-len(t.entries)/evictedShare-1):] {
		t.remove(s)
	}
}
