// Package peerload sums the loads that peers put on upstreams, as they report them.
//
// # Usage
//
//	peers := peerload.New()
//	peers.SetFleetSize(8)
//	peers.Set(now, "vm-2", peerload.State{Loads: loads, Avoided: ids})
//	load := peers.Load("i-1")
//
// A Peers is not safe for concurrent use.
package peerload

import "time"

// Load is the work that requests put on an upstream.
type Load struct {
	Requests int
	// WaitingTokens is the number of tokens to prefill before the first tokens
	// of the requests.
	WaitingTokens int
	// Tokens is the number of input and output tokens of the requests.
	Tokens int
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{l.Requests + m.Requests, l.WaitingTokens + m.WaitingTokens, l.Tokens + m.Tokens}
}

// Minus returns the difference of two loads.
func (l Load) Minus(m Load) Load {
	return Load{l.Requests - m.Requests, l.WaitingTokens - m.WaitingTokens, l.Tokens - m.Tokens}
}

// State is the latest report of a peer.
type State struct {
	// Loads are the peer's loads by upstream ID. Idle upstreams are left out.
	Loads map[string]Load
	// Avoided are the IDs of upstreams that the peer could not reach lately.
	Avoided []string
}

const (
	// TTL is how long a received state counts.
	TTL = time.Second
	// expireInterval is the shortest time between two checks for expired
	// states. It is short compared to TTL.
	expireInterval = 50 * time.Millisecond
	// maxExtrapolation limits how many VMs each received state stands for.
	maxExtrapolation = 4
	// minUnreachableReports is the number of peers that must have failed to
	// reach an upstream before this VM avoids it without an attempt of its own.
	// One peer is not enough because it may itself be cut off from the upstream.
	minUnreachableReports = 2
)

// Peers holds the received states that have not expired, and their sums.
type Peers struct {
	byPeer map[string]received
	// sums are the summed loads by upstream ID.
	sums map[string]Load
	// avoidedBy counts the peers that avoid each upstream.
	avoidedBy map[string]int
	// fleetSize is the number of VMs, this one included.
	fleetSize int
	// lastExpiry is the time of the last check for expired states.
	lastExpiry time.Time
}

// received is a peer's state and the time of its arrival.
type received struct {
	at    time.Time
	state State
}

// New returns an empty Peers.
func New() *Peers {
	return &Peers{byPeer: make(map[string]received), sums: make(map[string]Load), avoidedBy: make(map[string]int)}
}

// Set replaces the state of a peer.
func (p *Peers) Set(now time.Time, peer string, state State) {
	p.Expire(now)
	p.remove(peer)
	p.byPeer[peer] = received{now, state}
	for id, l := range state.Loads {
		p.sums[id] = p.sums[id].Plus(l)
	}
	for _, id := range state.Avoided {
		p.avoidedBy[id]++
	}
}

// remove removes a peer's state and subtracts it from the sums.
func (p *Peers) remove(peer string) {
	old, known := p.byPeer[peer]
	if !known {
		return
	}
	delete(p.byPeer, peer)
	for id, l := range old.state.Loads {
		rest := p.sums[id].Minus(l)
		if rest.Requests <= 0 {
			delete(p.sums, id)
			continue
		}
		p.sums[id] = rest
	}
	for _, id := range old.state.Avoided {
		if p.avoidedBy[id]--; p.avoidedBy[id] <= 0 {
			delete(p.avoidedBy, id)
		}
	}
}

// Expire removes states older than TTL.
func (p *Peers) Expire(now time.Time) {
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	for peer, r := range p.byPeer {
		if now.Sub(r.at) >= TTL {
			p.remove(peer)
		}
	}
}

// Load returns the load of all peers on an upstream. If states of only some of
// the peers were received in time, the sum is scaled up: the other peers are
// assumed to have the same load on average, up to maxExtrapolation VMs for each
// received state.
func (p *Peers) Load(id string) Load {
	l, known := p.sums[id], len(p.byPeer)
	peers := min(p.fleetSize-1, maxExtrapolation*known)
	if known == 0 || known >= peers {
		return l
	}
	return Load{l.Requests * peers / known, l.WaitingTokens * peers / known, l.Tokens * peers / known}
}

// SetFleetSize sets the number of VMs, this one included.
func (p *Peers) SetFleetSize(vms int) { p.fleetSize = vms }

// Unreachable reports whether minUnreachableReports peers could not reach an upstream
// lately.
func (p *Peers) Unreachable(id string) bool { return p.avoidedBy[id] >= minUnreachableReports }
