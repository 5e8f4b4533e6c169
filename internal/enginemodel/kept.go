package enginemodel

import "container/list"

// Part is a run of a prompt's tokens under the name that it is kept by, which
// holds wall and weights.
type Part struct {
	ID     string
	Tokens int
}

// Event says how many tokens of a part are kept now.
type Event struct {
	ID     string
	Tokens int
}

// kept is prompt memory that yields, in blocks, the least recently used first.
type kept struct {
	capacity, block int
	parts           map[string]*keptPart
	// order has the parts by last use, the latest at the end.
	order  list.List
	tokens int
	events []Event
}

type keptPart struct {
	id     string
	tokens int
	// users are the running requests that read the part; it can't yield.
	users int
	place *list.Element
}

func newKept(capacity, block int) *kept {
	return &kept{capacity: capacity, block: block, parts: make(map[string]*keptPart)}
}

// have returns how many tokens of the parts are kept, from the first on.
func (k *kept) have(parts []Part) int {
	tokens := 0
	for _, p := range parts {
		found := k.parts[p.ID]
		if found == nil {
			break
		}
		tokens += min(found.tokens, p.Tokens)
		if found.tokens+k.block < p.Tokens {
			break
		}
	}
	return tokens
}

// use marks the parts as just used.
func (k *kept) use(parts []Part) {
	for _, p := range parts {
		if found := k.parts[p.ID]; found != nil {
			k.order.MoveToBack(found.place)
		}
	}
}

// hold keeps the parts from yielding, or lets them go.
func (k *kept) hold(parts []Part, n int) {
	for _, p := range parts {
		if found := k.parts[p.ID]; found != nil {
			found.users = max(0, found.users+n)
		}
	}
}

// put keeps a part that was read, if there is room.
func (k *kept) put(p Part) {
	found := k.parts[p.ID]
	if found == nil {
		found = &keptPart{id: p.ID}
		found.place = k.order.PushBack(found)
		k.parts[p.ID] = found
	}
	k.order.MoveToBack(found.place)
	if found.tokens < p.Tokens {
		k.tokens += p.Tokens - found.tokens
		found.tokens = p.Tokens
		k.events = append(k.events, Event(p))
	}
}

// shrink drops blocks until at most room tokens are kept, and reports whether
// that was possible.
func (k *kept) shrink(room int) bool {
	for place := k.order.Front(); place != nil && k.tokens > room; {
		part := place.Value.(*keptPart)
		place = place.Next()
		if part.users > 0 {
			continue
		}
		drop := (k.tokens - room + k.block - 1) / k.block * k.block
		drop = min(drop, part.tokens)
		part.tokens -= drop
		k.tokens -= drop
		k.events = append(k.events, Event{part.id, part.tokens})
		if part.tokens == 0 {
			k.order.Remove(part.place)
			delete(k.parts, part.id)
		}
	}
	return k.tokens <= room
}

// clear drops everything.
func (k *kept) clear() {
	for id := range k.parts {
		k.events = append(k.events, Event{ID: id})
	}
	k.parts = make(map[string]*keptPart)
	k.order.Init()
	k.tokens = 0
}

// takeEvents returns the events since the last call.
func (k *kept) takeEvents() []Event {
	events := k.events
	k.events = nil
	return events
}
