package suspect

import "time"

// maxRecent limits the elements of each of the two halves of a recent.
const maxRecent = 4096

// recent holds when things last happened, for the maxRecent latest things at least. The
// zero value is empty.
type recent struct {
	current, previous map[string]time.Time
}

// put records that something happened at a time.
func (r *recent) put(key string, at time.Time) {
	if r.current == nil || len(r.current) >= maxRecent {
		r.current, r.previous = make(map[string]time.Time), r.current
	}
	r.current[key] = at
}

// get returns when something last happened, the zero time if that is not known.
func (r *recent) get(key string) time.Time {
	if at, found := r.current[key]; found {
		return at
	}
	return r.previous[key]
}
