package roster

import (
	"cmp"
	"slices"
	"time"
)

type namedVersion struct {
	version int64
	since   time.Time
	// assumed says that since is a guess, which no peer is told.
	assumed bool
	// earlier are the versions named before, oldest first.
	earlier []namedVersion
}

// floor is the newest version that has been named for longer than the limits
// allow, in time that was not disturbed.
func (n namedVersion) floor(now time.Time, d disturbances, limits VersionLimits) int64 {
	if limits.Span <= 0 {
		return 0
	}
	if n.version > 0 && d.exceeded(n.since, now, limits) {
		return n.version
	}
	for _, e := range slices.Backward(n.earlier) {
		if d.exceeded(e.since, now, limits) {
			return e.version
		}
	}
	return 0
}

// maxEarlier bounds the versions remembered for each model.
const maxEarlier = 32

// NamedAge is a version of a model's weights and how long ago it was named.
type NamedAge struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// SetNamed takes a version of a model's weights that was named at a time, and
// reports whether it is newer than those known. Of two times the earlier holds.
func (t *Table) SetNamed(at time.Time, model string, version int64) bool {
	return t.setNamed(model, namedVersion{version: version, since: at})
}

// AssumeNamed takes a version that has been named for a time that this VM can
// only guess. A peer's word on it replaces the guess.
func (t *Table) AssumeNamed(at time.Time, model string, version int64) bool {
	return t.setNamed(model, namedVersion{version: version, since: at, assumed: true})
}

func (t *Table) setNamed(model string, n namedVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.named[model]
	if n.version > old.version {
		earlier := slices.Clone(old.earlier)
		if old.version > 0 {
			earlier = append(earlier, namedVersion{version: old.version, since: old.since, assumed: old.assumed})
		}
		n.earlier = earlier[max(0, len(earlier)-maxEarlier):]
		t.named[model] = n
		return true
	}
	if n.version == old.version {
		t.named[model] = old.corrected(n)
		return false
	}
	i, known := slices.BinarySearchFunc(old.earlier, n.version, func(e namedVersion, version int64) int {
		return cmp.Compare(e.version, version)
	})
	switch {
	case known:
		old.earlier[i] = old.earlier[i].corrected(n)
	case n.version > 0 && len(old.earlier) < maxEarlier:
		// A VM that has just started has listed the newest version only.
		old.earlier = slices.Insert(old.earlier, i, n)
		t.named[model] = old
	}
	return false
}

// corrected returns what is known after another word on the same version.
func (n namedVersion) corrected(by namedVersion) namedVersion {
	if !by.assumed && (n.assumed || by.since.Before(n.since)) {
		n.since, n.assumed = by.since, false
	}
	return n
}

// namedTold is how many versions of a model are told to peers.
const namedTold = 4

// NamedAges returns the versions named last, with their ages.
func (t *Table) NamedAges(now time.Time) []NamedAge {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ages []NamedAge
	add := func(model string, n namedVersion) {
		if !n.assumed {
			ages = append(ages, NamedAge{model, n.version, now.Sub(n.since).Milliseconds()})
		}
	}
	for model, n := range t.named {
		add(model, n)
		for _, e := range n.earlier[max(0, len(n.earlier)-namedTold+1):] {
			add(model, e)
		}
	}
	return ages
}

// Named returns the newest version of a model's weights and since when this
// VM has known it.
func (t *Table) Named(model string) (int64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.named[model]
	return n.version, n.since
}

// SawVersion takes the weights that an answer or a report of an upstream shows.
func (t *Table) SawVersion(now time.Time, id string, born, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Born != born || version <= m.upstream.Version {
		return
	}
	m.upstream.Version = version
	m.kept = newKeptParts()
	m.loaded(now)
	m.updated = now
}

// Seen is the weights that an engine was seen to have.
type Seen struct {
	ID      string `json:"id"`
	Born    int64  `json:"born"`
	Version int64  `json:"version"`
}

// updatePeriod is how long new weights are told to peers. The store's list says
// the same soon after.
const updatePeriod = 900 * time.Millisecond

// Updated returns the engines that were seen to have new weights lately.
func (t *Table) Updated(now time.Time) []Seen {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Seen
	for _, m := range t.members {
		if !m.updated.IsZero() && now.Sub(m.updated) < updatePeriod {
			list = append(list, Seen{m.upstream.ID, m.upstream.Born, m.upstream.Version})
		}
	}
	return list
}

// SetLoading says that an engine seems to change its weights.
func (t *Table) SetLoading(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.loading = now
	}
}

const (
	// announceStep is over the time that a relayed word is on its way, so that VMs
	// which tell one another don't keep it young.
	announceStep = 200 * time.Millisecond
	// relayPeriod is how long a word is passed on: two or three beacons of each
	// VM, which reach all.
	relayPeriod = 450 * time.Millisecond
)

// Announcement says that an engine is being changed to a version, and how long
// ago the VM that does so said it.
type Announcement struct {
	ID      string `json:"id"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
}

// Announce takes the word of the VM that changes an engine, given at a time. It
// counts for nothing if the engine is known to have that version.
func (t *Table) Announce(at time.Time, id string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Version >= version || at.Sub(m.announced) <= announceStep {
		return
	}
	m.announced, m.becomes = at, version
}

// Announced returns the engines that are being changed, for peers that have not
// heard it from the VM that does so.
func (t *Table) Announced(now time.Time) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Announcement
	for id, m := range t.members {
		if within(now, m.announced, relayPeriod) {
			list = append(list, Announcement{id, m.becomes, now.Sub(m.announced).Milliseconds()})
		}
	}
	return list
}

// Loading returns the engines that are changing their weights.
func (t *Table) Loading(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, m := range t.members {
		if m.isLoading(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *member) isLoading(now time.Time) bool {
	return within(now, m.loading, loadingHold) || within(now, m.announced, loadingHold)
}

// loaded says that the engine has new weights.
func (m *member) loaded(now time.Time) {
	m.loading, m.announced, m.since = time.Time{}, time.Time{}, now
}

func within(now, at time.Time, d time.Duration) bool { return !at.IsZero() && now.Sub(at) < d }
