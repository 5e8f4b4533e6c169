package roster

import (
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/kept"
	"github.com/hibiscuscove/hibiscuscove/internal/weights"
)

// DesiredAge is a version of a model's weights and how long ago it was named.
type DesiredAge = weights.Age

// VersionLimits bound the use of weights after newer ones have been named.
type VersionLimits = weights.Limits

// SetDesired takes a version of a model's weights that was named at a time, and
// reports whether it is newer than those known.
func (t *Table) SetDesired(at time.Time, model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named.Set(at, model, version)
}

// AssumeDesired takes a version that has been named for a time that this VM can
// only guess. A peer's word on it replaces the guess.
func (t *Table) AssumeDesired(at time.Time, model string, version int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named.Assume(at, model, version)
}

// DesiredAges returns the versions named last, with their ages.
func (t *Table) DesiredAges(now time.Time) []DesiredAge {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named.Ages(now)
}

// Desired returns the newest version of a model's weights and since when this
// VM has known it.
func (t *Table) Desired(model string) (int64, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named.Newest(model)
}

// ObserveVersion takes the weights that an answer or a report of an upstream shows.
func (t *Table) ObserveVersion(now time.Time, id string, born, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Born != born || version <= m.upstream.Version {
		return
	}
	m.upstream.Version = version
	m.kept = kept.New()
	m.loaded(now)
	m.updated = now
}

// ObservedVersion is the weights that an engine was seen to have.
type ObservedVersion struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Born    int64  `json:"born" cbor:"2,keyasint"`
	Version int64  `json:"version" cbor:"3,keyasint"`
}

// updatePeriod is how long new weights are told to peers. The store's list says
// the same soon after.
const updatePeriod = 900 * time.Millisecond

// UpdatedVersions returns the engines that were seen to have new weights lately.
func (t *Table) UpdatedVersions(now time.Time) []ObservedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ObservedVersion
	for _, m := range t.members {
		if !m.updated.IsZero() && now.Sub(m.updated) < updatePeriod {
			list = append(list, ObservedVersion{m.upstream.ID, m.upstream.Born, m.upstream.Version})
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
	ID      string `json:"id" cbor:"1,keyasint"`
	Version int64  `json:"version" cbor:"2,keyasint"`
	AgeMS   int64  `json:"age_ms" cbor:"3,keyasint"`
}

// RecordAnnouncement takes the word of the VM that changes an engine, given at a time. It
// counts for nothing if the engine is known to have that version.
func (t *Table) RecordAnnouncement(at time.Time, id string, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[id]
	if m == nil || m.upstream.Version >= version || at.Sub(m.announced) <= announceStep {
		return
	}
	m.announced, m.becomes = at, version
}

// Announcements returns the engines that are being changed, for peers that have not
// heard it from the VM that does so.
func (t *Table) Announcements(now time.Time) []Announcement {
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
