package enginemodel

// Store is a store of kept prompts. It outlives the engines that fill it.
type Store struct {
	kept *kept
	link link
	up   bool
	// Epoch grows with each restart.
	Epoch uint64
}

// NewStore returns an empty store with room for so many tokens.
func NewStore(tokens, blockTokens int, linkTokensPerMS float64) *Store {
	return &Store{kept: newKept(tokens, blockTokens), link: link{tokensPerMS: linkTokensPerMS}, up: true, Epoch: 1}
}

// SetUp takes the store away or brings it back, empty.
func (s *Store) SetUp(up bool) {
	s.up = up
	s.kept.clear()
	if up {
		s.Epoch++
	}
}

// Up reports whether the store answers.
func (s *Store) Up() bool { return s.up }

// Events returns what has changed since a number, and the next one.
func (s *Store) Events(since int) ([]Event, int) {
	all := s.kept.events
	return all[min(since, len(all)):], len(all)
}

func (s *Store) save(p Part) {
	if !s.up {
		return
	}
	s.kept.put(p)
	s.kept.shrink(s.kept.capacity)
}
