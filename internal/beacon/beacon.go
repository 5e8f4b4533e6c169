// Package beacon tells the other VMs, several times a second and in datagrams,
// that this one is there, what it knows and what it has on the upstreams.
//
// A beacon that is lost is made good by the next. VMs find one another by
// addresses given to Add, and by the peers that beacons name.
//
// # Usage
//
//	b := beacon.New(beacon.Options{Conn: conn, Now: time.Now, Compose: compose, Receive: receive})
//	b.Add("10.1.0.31:7340")
//	go b.Run(ctx)
//
// A Beacon is safe for concurrent use.
package beacon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/roster"
)

// State is what a VM does.
type State string

// The states of a VM.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Leaving  State = "leaving"
)

// Revisions are those of the last changes that a VM knows of each collection.
type Revisions struct {
	Configuration uint64 `json:"configuration" cbor:"1,keyasint"`
	Upstreams     uint64 `json:"upstreams" cbor:"2,keyasint"`
	Versions      uint64 `json:"versions" cbor:"3,keyasint"`
}

// Suspicion says that an incarnation broke off while it ran a request.
type Suspicion struct {
	Fingerprint string `json:"fingerprint" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// Message is one beacon.
type Message struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	Sequence    uint64 `json:"sequence" cbor:"3,keyasint"`
	Address     string `json:"address" cbor:"4,keyasint"`
	Control     string `json:"control" cbor:"5,keyasint"`
	Callers     string `json:"callers" cbor:"6,keyasint"`
	DataCentre  string `json:"data_centre" cbor:"7,keyasint"`
	State       State  `json:"state" cbor:"8,keyasint"`
	// Watching says that the VM hears news from the store itself.
	Watching  bool      `json:"watching,omitempty" cbor:"9,keyasint,omitempty"`
	Revisions Revisions `json:"revisions" cbor:"10,keyasint"`
	// Loads holds requests, waiting tokens and tokens for each upstream in use.
	Loads map[string][3]int `json:"loads,omitempty" cbor:"11,keyasint,omitempty"`
	Sent  []roster.Sent     `json:"sent,omitempty" cbor:"12,keyasint,omitempty"`
	// LastFence is the number of the last lease that the VM had. Leading is the
	// same while it may give orders under it, else 0. Loading are the engines
	// that it is changing.
	LastFence uint64   `json:"last_fence,omitempty" cbor:"13,keyasint,omitempty"`
	Leading   uint64   `json:"leading,omitempty" cbor:"14,keyasint,omitempty"`
	Loading   []string `json:"loading,omitempty" cbor:"15,keyasint,omitempty"`
	// Changing are the engines that some VM is changing, as the sender has heard.
	Changing  []roster.Announcement    `json:"changing,omitempty" cbor:"16,keyasint,omitempty"`
	Updated   []roster.ObservedVersion `json:"updated,omitempty" cbor:"17,keyasint,omitempty"`
	Avoided   []string                 `json:"avoided,omitempty" cbor:"18,keyasint,omitempty"`
	Suspected []Suspicion              `json:"suspected,omitempty" cbor:"19,keyasint,omitempty"`
	// Desired are the versions that operators named last. A VM that starts can't
	// tell from the store for how long they have been in force.
	Desired []roster.DesiredAge `json:"named,omitempty" cbor:"20,keyasint,omitempty"`
	// Peers are addresses of other VMs.
	Peers []string `json:"peers,omitempty" cbor:"21,keyasint,omitempty"`
}

// Peer is another VM as this one knows it.
type Peer struct {
	Message
	// ReceivedAt is when its last beacon came.
	ReceivedAt time.Time `json:"Heard"`
}

const (
	defaultPeriod = 150 * time.Millisecond
	// fanOut bounds the datagrams of one period, so that a VM's cost does not
	// grow with the fleet. In a larger fleet most go to VMs of the own data
	// centre, whose requests meet on the same upstreams.
	fanOut    = 12
	farFanOut = 4
	// missedPeriods is how many beacons a VM may miss before it is thought dead.
	missedPeriods = 8
	// forgetAfter is how long a silent VM is still tried.
	forgetAfter = 30 * time.Second
	peersNamed  = 4
	peersEvery  = 5
	maxPeers    = 2048
)

// Options sets up a Beacon. All but the period and the log are required.
type Options struct {
	// Conn is where datagrams come and go.
	Conn net.PacketConn
	Now  func() time.Time
	// Period is the time between two beacons. The default is 150 ms.
	Period time.Duration
	// Compose returns the next message. Sequence and Peers are filled in.
	Compose func(now time.Time) Message
	// Receive takes a peer's message, newer than its last one.
	Receive func(now time.Time, m Message)
	Log     zerolog.Logger
}

// Beacon is the exchange of one VM.
type Beacon struct {
	opts Options

	mu       sync.Mutex
	self     string
	sequence uint64
	peers    map[string]*Peer
	// addresses are when each address was last known to be of use.
	addresses map[string]time.Time
	// near are the addresses in this VM's data centre.
	near  map[string]bool
	own   string
	turns RoundRobin[netip.AddrPort]
}

// New returns a Beacon.
func New(opts Options) *Beacon {
	if opts.Period <= 0 {
		opts.Period = defaultPeriod
	}
	return &Beacon{opts: opts, peers: make(map[string]*Peer), addresses: make(map[string]time.Time), near: make(map[string]bool)}
}

// Add names an address where a VM may be.
func (b *Beacon) Add(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(now, address)
}

func (b *Beacon) add(now time.Time, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil || address == b.self || len(b.addresses) >= maxPeers {
		return
	}
	if _, known := b.addresses[address]; !known {
		b.addresses[address] = now
	}
}

// Alive returns the peers that have been heard lately, ordered by name. They
// are not to be changed.
func (b *Beacon) Alive(now time.Time) []*Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*Peer, 0, len(b.peers))
	for _, p := range b.peers {
		if now.Sub(p.ReceivedAt) < b.patience(p.Address) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *Peer) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// KnownCount returns how many VMs there are, this one and those lately dead included.
func (b *Beacon) KnownCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return 1 + len(b.peers)
}

// patience is how long the VM at an address may be silent. In a large fleet
// each VM hears from another one only now and then.
func (b *Beacon) patience(address string) time.Duration {
	peers, share := len(b.addresses), fanOut
	if peers > fanOut {
		peers, share = len(b.near), fanOut-farFanOut
		if !b.near[address] {
			peers, share = len(b.addresses)-len(b.near), farFanOut
		}
	}
	rounds := max(1, (peers+share-1)/share)
	return time.Duration(rounds*missedPeriods) * b.opts.Period
}

// Run sends and receives until ctx ends.
func (b *Beacon) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.receive(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = b.opts.Conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	ticker := time.NewTicker(b.opts.Period)
	defer ticker.Stop()
	for {
		b.Send(b.opts.Now())
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
		}
	}
}

// Send sends one beacon at once.
func (b *Beacon) Send(now time.Time) {
	m := b.opts.Compose(now)
	b.mu.Lock()
	b.self = m.Address
	b.own = m.DataCentre
	b.sequence++
	m.Sequence = b.sequence
	targets := b.targets(now)
	if b.sequence%peersEvery == 0 {
		m.Peers = b.named(now)
	}
	b.mu.Unlock()
	raw, err := Pack(m)
	if err != nil {
		b.opts.Log.Error().Err(err).Msg("beacon not sent")
		return
	}
	for _, target := range targets {
		// A lost datagram is made good by the next beacon.
		_, _ = b.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(target))
	}
}

// targets returns the addresses of this period and forgets those out of use.
func (b *Beacon) targets(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for address, at := range b.addresses {
		if now.Sub(at) > forgetAfter {
			delete(b.addresses, address)
			delete(b.near, address)
			continue
		}
		if address == b.self {
			continue
		}
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			list = append(list, parsed)
		}
	}
	if len(list) <= fanOut {
		return list
	}
	var near, far []netip.AddrPort
	for _, target := range list {
		if b.near[target.String()] {
			near = append(near, target)
		} else {
			far = append(far, target)
		}
	}
	// The near ones take turns, so that Rounds periods reach them all.
	slices.SortFunc(near, netip.AddrPort.Compare)
	return b.turns.Next(near, far, rand.Shuffle)
}

// RoundRobin says whom a VM of a large fleet tells in each period.
type RoundRobin[T any] struct{ next int }

// Next returns the next near ones in turn and some far ones by chance.
func (t *RoundRobin[T]) Next(near, far []T, shuffle func(n int, swap func(i, j int))) []T {
	far = slices.Clone(far)
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	list := far[:min(farFanOut, len(far))]
	for i := range min(fanOut-farFanOut, len(near)) {
		list = append(list, near[(t.next+i)%len(near)])
	}
	t.next += fanOut - farFanOut
	return list
}

// Rounds returns in how many periods a message reaches every VM whose requests
// meet this one's on the same upstreams.
func (b *Beacon) Rounds() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) <= fanOut {
		return 1
	}
	return NearRounds(len(b.near))
}

// NearRounds returns in how many periods a RoundRobin reaches so many near ones.
func NearRounds(near int) int {
	const perPeriod = fanOut - farFanOut
	return max(1, (near+perPeriod-1)/perPeriod)
}

func (b *Beacon) named(now time.Time) []string {
	var list []string
	for _, p := range b.peers {
		if len(list) < peersNamed && now.Sub(p.ReceivedAt) < b.patience(p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

func (b *Beacon) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, _, err := b.opts.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		m, err := Unpack(buffer[:n])
		if err != nil {
			b.opts.Log.Debug().Err(err).Msg("datagram not understood")
			continue
		}
		now := b.opts.Now()
		if b.Take(now, m) {
			b.opts.Receive(now, m)
		}
	}
}

// Take takes a message and reports whether it was newer than the last one of
// its sender.
func (b *Beacon) Take(now time.Time, m Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Address == b.self {
		return false
	}
	old, known := b.peers[m.Name]
	if known && (m.Incarnation < old.Incarnation || m.Incarnation == old.Incarnation && m.Sequence <= old.Sequence) {
		return false
	}
	if known && old.Address != m.Address {
		delete(b.addresses, old.Address)
	}
	b.peers[m.Name] = &Peer{m, now}
	b.add(now, m.Address)
	b.addresses[m.Address] = now
	if m.DataCentre == b.own {
		b.near[m.Address] = true
	}
	for _, address := range m.Peers {
		b.add(now, address)
	}
	b.forget(now)
	return true
}

func (b *Beacon) forget(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.ReceivedAt) > forgetAfter {
			delete(b.peers, name)
		}
	}
}
