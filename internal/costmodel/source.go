package costmodel

import (
	"cmp"
	"strings"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// source is an engine or the prompt store that has a part of a prompt cached.
// The store has no candidate.
type source struct {
	candidate *Candidate
	tokens    int
}

// setSource makes s the source of the choice.
func (c *Choice) setSource(s source) {
	if s.candidate == nil {
		c.FromStore = true
		return
	}
	c.SourceID = s.candidate.ID
}

// sources returns the best healthy source for each generation of parts. The
// store is used only if no engine has as much of the prompt.
func (m Model) sources(now time.Time, candidates []Candidate, parts []promptcache.Part) map[promptcache.Generation]source {
	best := make(map[promptcache.Generation]source)
	if len(parts) == 0 {
		return best
	}
	for i := range candidates {
		c := &candidates[i]
		current, seen := best[c.Generation]
		if !seen {
			current = m.storeSource(c.Generation, parts)
			best[c.Generation] = current
		}
		if !c.healthy() {
			continue
		}
		if s := (source{c, c.Cached.ReadyTokens(now, parts)}); s.tokens > 0 && s.betterThan(current) {
			best[c.Generation] = s
		}
	}
	return best
}

// betterThan reports whether s has more of the prompt cached than the other
// source. With equal amounts it prefers an engine to the store, then this data
// centre, then fewer of this VM's requests.
func (s source) betterThan(other source) bool {
	if s.tokens != other.tokens || other.candidate == nil {
		return s.tokens >= other.tokens
	}
	if s.candidate.Local != other.candidate.Local {
		return s.candidate.Local
	}
	return cmp.Or(cmp.Compare(other.candidate.OwnRequests, s.candidate.OwnRequests),
		strings.Compare(other.candidate.ID, s.candidate.ID)) > 0
}

// storeSource returns the prompt store as a source, or an empty source if there
// is no store or it does not respond.
func (m Model) storeSource(g promptcache.Generation, parts []promptcache.Part) source {
	if m.StoredTokens == nil {
		return source{}
	}
	return source{tokens: m.StoredTokens(g, parts)}
}
