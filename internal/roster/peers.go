package roster

import "time"

// PeerState is what a peer says of its own requests.
type PeerState struct {
	// Loads are the peer's on each upstream that it uses.
	Loads map[string]Load
	Sent  []Sent
	// Avoided are the upstreams that the peer could not reach lately.
	Avoided []string
}

const (
	// newsLifetime is how long a peer's word counts.
	newsLifetime = time.Second
	// expireEvery is short against newsLifetime.
	expireEvery = 50 * time.Millisecond
	// mostUnheard bounds for how many VMs one that is heard stands.
	mostUnheard = 4
	// witnesses is how many peers must have failed to reach an upstream before
	// this VM passes it over untried.
	witnesses = 2
)

// peerNews sums up what peers have said lately.
type peerNews struct {
	of      map[string]heard
	sums    map[string]Load
	avoided map[string]int
	fleet   int
	expired time.Time
}

type heard struct {
	at   time.Time
	news PeerState
}

func newPeerNews() peerNews {
	return peerNews{of: make(map[string]heard), sums: make(map[string]Load), avoided: make(map[string]int)}
}

func (p *peerNews) take(now time.Time, peer string, news PeerState) {
	p.expire(now)
	p.forget(peer)
	p.of[peer] = heard{now, news}
	for id, l := range news.Loads {
		p.sums[id] = p.sums[id].plus(l)
	}
	for _, id := range news.Avoided {
		p.avoided[id]++
	}
}

// forget takes a peer's word back.
func (p *peerNews) forget(peer string) {
	old, known := p.of[peer]
	if !known {
		return
	}
	delete(p.of, peer)
	for id, l := range old.news.Loads {
		left := p.sums[id].minus(l)
		if left.Requests <= 0 {
			delete(p.sums, id)
			continue
		}
		p.sums[id] = left
	}
	for _, id := range old.news.Avoided {
		if p.avoided[id]--; p.avoided[id] <= 0 {
			delete(p.avoided, id)
		}
	}
}

// expire drops what is too old to count.
func (p *peerNews) expire(now time.Time) {
	if now.Sub(p.expired) < expireEvery {
		return
	}
	p.expired = now
	for peer, h := range p.of {
		if now.Sub(h.at) >= newsLifetime {
			p.forget(peer)
		}
	}
}

// load is what all peers have on an upstream. In a fleet in which only some of
// them are heard in time the others are taken to have as much.
func (p *peerNews) load(id string) Load {
	l, n := p.sums[id], len(p.of)
	others := min(p.fleet-1, mostUnheard*n)
	if n == 0 || n >= others {
		return l
	}
	return Load{l.Requests * others / n, l.WaitingTokens * others / n, l.Tokens * others / n}
}
