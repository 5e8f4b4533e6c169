package enginemodel

import "container/list"

// Part is a consecutive run of a prompt's tokens. The ID is its cache key, which
// includes the isolation key and the version of the weights.
type Part struct {
	ID     string
	Tokens int
}

// Event reports how many tokens of a part are cached now. Zero means that it was
// evicted.
type Event struct {
	ID     string
	Tokens int
}

// promptCache caches parts of prompts and evicts the least recently used in blocks.
type promptCache struct {
	capacity, block int
	parts           map[string]*cachedPart
	// order lists the *cachedPart by last use, the most recent at the back.
	order list.List
	// tokens is the sum over the parts.
	tokens int
	// events are the changes that drainEvents has not returned yet.
	events []Event
}

type cachedPart struct {
	id     string
	tokens int
	// users is the number of running requests that use the part. It is evicted only
	// at zero.
	users   int
	element *list.Element
}

func newPromptCache(capacity, block int) *promptCache {
	return &promptCache{capacity: capacity, block: block, parts: make(map[string]*cachedPart)}
}

// cachedTokens returns how many tokens of the parts are cached without a gap, from
// the first part on. A part that lacks at most one block is not a gap.
func (c *promptCache) cachedTokens(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		found := c.parts[p.ID]
		if found == nil {
			break
		}
		tokens += min(found.tokens, p.Tokens)
		if found.tokens+c.block < p.Tokens {
			break
		}
	}
	return tokens
}

// touch marks the cached parts as just used.
func (c *promptCache) touch(parts []Part) {
	for _, p := range parts {
		if found := c.parts[p.ID]; found != nil {
			c.order.MoveToBack(found.element)
		}
	}
}

// addUsers adds n, which may be negative, to the users of the cached parts.
func (c *promptCache) addUsers(parts []Part, n int) {
	for _, p := range parts {
		if found := c.parts[p.ID]; found != nil {
			found.users = max(0, found.users+n)
		}
	}
}

// insert caches a part and marks it as just used. It doesn't evict others.
func (c *promptCache) insert(p Part) {
	found := c.parts[p.ID]
	if found == nil {
		found = &cachedPart{id: p.ID}
		found.element = c.order.PushBack(found)
		c.parts[p.ID] = found
	}
	c.order.MoveToBack(found.element)
	if found.tokens < p.Tokens {
		c.tokens += p.Tokens - found.tokens
		found.tokens = p.Tokens
		c.events = append(c.events, Event(p))
	}
}

// evict removes blocks of unused parts until at most limit tokens are cached, and
// reports whether that was possible.
func (c *promptCache) evict(limit int) bool {
	for element := c.order.Front(); element != nil && c.tokens > limit; {
		part := element.Value.(*cachedPart)
		element = element.Next()
		if part.users > 0 {
			continue
		}
		removed := (c.tokens - limit + c.block - 1) / c.block * c.block
		removed = min(removed, part.tokens)
		part.tokens -= removed
		c.tokens -= removed
		c.events = append(c.events, Event{part.id, part.tokens})
		if part.tokens == 0 {
			c.order.Remove(part.element)
			delete(c.parts, part.id)
		}
	}
	return c.tokens <= limit
}

// clear evicts all parts. The order of its events is fixed, since runs with the same
// seed must lose the same ones.
func (c *promptCache) clear() {
	for element := c.order.Front(); element != nil; element = element.Next() {
		c.events = append(c.events, Event{ID: element.Value.(*cachedPart).id})
	}
	c.parts = make(map[string]*cachedPart)
	c.order.Init()
	c.tokens = 0
}

// drainEvents returns the events since the last call.
func (c *promptCache) drainEvents() []Event {
	events := c.events
	c.events = nil
	return events
}
