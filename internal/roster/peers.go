package roster

import "time"

// PeerState is the latest report of a peer about its own requests.
type PeerState struct {
	// Loads are the peer's loads by upstream ID. Idle upstreams are left out.
	Loads map[string]Load
	// Sent are the prompts that the peer has sent lately.
	Sent []Sent
	// Avoided are the IDs of upstreams that the peer could not reach lately.
	Avoided []string
}

const (
	// peerStateTTL is how long a received state counts.
	peerStateTTL = time.Second
	// expireInterval is the shortest time between two checks for expired
	// states. It is short compared to peerStateTTL.
	expireInterval = 50 * time.Millisecond
	// maxExtrapolation limits how many VMs each received state stands for.
	maxExtrapolation = 4
	// minUnreachableReports is the number of peers that must have failed to
	// reach an upstream before this VM avoids it without an attempt of its own.
	// One peer is not enough because it may itself be cut off from the upstream.
	minUnreachableReports = 2
)

// peerStates holds the received states that have not expired, and their sums.
type peerStates struct {
	byPeer map[string]receivedState
	// sums are the summed loads by upstream ID.
	sums map[string]Load
	// avoidedBy counts the peers that avoid each upstream.
	avoidedBy map[string]int
	// fleetSize is the number of VMs, this one included.
	fleetSize int
	// lastExpiry is the time of the last check for expired states.
	lastExpiry time.Time
}

// receivedState is a peer's state and the time of its arrival.
type receivedState struct {
	receivedAt time.Time
	state      PeerState
}

func newPeerStates() peerStates {
	return peerStates{byPeer: make(map[string]receivedState), sums: make(map[string]Load), avoidedBy: make(map[string]int)}
}

// set replaces the state of a peer.
func (p *peerStates) set(now time.Time, peer string, state PeerState) {
	p.expire(now)
	p.remove(peer)
	p.byPeer[peer] = receivedState{now, state}
	for id, l := range state.Loads {
		p.sums[id] = p.sums[id].plus(l)
	}
	for _, id := range state.Avoided {
		p.avoidedBy[id]++
	}
}

// remove removes a peer's state and subtracts it from the sums.
func (p *peerStates) remove(peer string) {
	old, known := p.byPeer[peer]
	if !known {
		return
	}
	delete(p.byPeer, peer)
	for id, l := range old.state.Loads {
		rest := p.sums[id].minus(l)
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

// expire removes states older than peerStateTTL.
func (p *peerStates) expire(now time.Time) {
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	for peer, r := range p.byPeer {
		if now.Sub(r.receivedAt) >= peerStateTTL {
			p.remove(peer)
		}
	}
}

// load returns the load of all peers on an upstream. If states of only some of
// the peers were received in time, the sum is scaled up: the other peers are
// assumed to have the same load on average, up to maxExtrapolation VMs for each
// received state.
func (p *peerStates) load(id string) Load {
	l, received := p.sums[id], len(p.byPeer)
	peers := min(p.fleetSize-1, maxExtrapolation*received)
	if received == 0 || received >= peers {
		return l
	}
	return Load{l.Requests * peers / received, l.WaitingTokens * peers / received, l.Tokens * peers / received}
}
