package enginemodel

// Store is a prompt store that engines share. It survives their crashes.
type Store struct {
	cache *promptCache
	link  link
	up    bool
	// Epoch increases with each restart.
	Epoch uint64
}

// NewStore returns an empty store that is up. tokens is its capacity, blockTokens
// the unit of eviction and linkTokensPerMS the transfer rate.
func NewStore(tokens, blockTokens int, linkTokensPerMS float64) *Store {
	return &Store{cache: newPromptCache(tokens, blockTokens), link: link{tokensPerMS: linkTokensPerMS}, up: true, Epoch: 1}
}

// SetUp stops or restarts the store. Both clear it.
func (s *Store) SetUp(up bool) {
	s.up = up
	s.cache.clear()
	if up {
		s.Epoch++
	}
}

// Up reports whether the store is running.
func (s *Store) Up() bool { return s.up }

// Events returns the events from index since on, and the index of the next event.
// All readers share one list.
func (s *Store) Events(since int) ([]Event, int) {
	all := s.cache.events
	return all[min(since, len(all)):], len(all)
}

// save caches a part if the store is up, and evicts others to stay within capacity.
func (s *Store) save(p Part) {
	if !s.up {
		return
	}
	s.cache.insert(p)
	s.cache.evict(s.cache.capacity)
}
