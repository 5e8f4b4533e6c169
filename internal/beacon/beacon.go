// Package beacon exchanges heartbeats between the entry VMs: several times a
// second each VM sends datagrams with its state, the revisions that it has and
// its requests on the upstreams. The nodes of package node use package
// membership instead.
//
// A lost beacon is not sent again: the next one replaces it. VMs find one
// another by the addresses given to Add, and by the peers that beacons list.
//
// # Usage
//
//	b := beacon.New(beacon.Options{Conn: conn, Now: time.Now, Compose: compose, Receive: receive})
//	b.Add(time.Now(), "10.1.0.31:7340")
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

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/leader"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
	"github.com/hibiscuscove/hibiscuscove/internal/roster"
	"github.com/hibiscuscove/hibiscuscove/internal/suspect"
	"github.com/hibiscuscove/hibiscuscove/internal/watchers"
)

// State is the stage of a VM's life.
type State string

// The states of a VM.
const (
	Starting State = "starting"
	Serving  State = "serving"
	Leaving  State = "leaving"
)

// Revisions holds the revision of the last change that a VM has of each
// collection of the store.
type Revisions struct {
	Configuration uint64 `json:"configuration" cbor:"1,keyasint"`
	Upstreams     uint64 `json:"upstreams" cbor:"2,keyasint"`
	Versions      uint64 `json:"versions" cbor:"3,keyasint"`
	// The eras are those of the revisions.
	ConfigurationEra uint64 `json:"configuration_era,omitempty" cbor:"4,keyasint,omitempty"`
	UpstreamsEra     uint64 `json:"upstreams_era,omitempty" cbor:"5,keyasint,omitempty"`
	VersionsEra      uint64 `json:"versions_era,omitempty" cbor:"6,keyasint,omitempty"`
}

// Positions returns the positions of the configuration, the upstreams and the
// versions.
func (r Revisions) Positions() (configuration, upstreams, versions registry.Position) {
	return registry.Position{Era: r.ConfigurationEra, Revision: r.Configuration},
		registry.Position{Era: r.UpstreamsEra, Revision: r.Upstreams},
		registry.Position{Era: r.VersionsEra, Revision: r.Versions}
}

// NewRevisions returns the Revisions of three positions.
func NewRevisions(configuration, upstreams, versions registry.Position) Revisions {
	return Revisions{
		Configuration: configuration.Revision, Upstreams: upstreams.Revision, Versions: versions.Revision,
		ConfigurationEra: configuration.Era, UpstreamsEra: upstreams.Era, VersionsEra: versions.Era,
	}
}

// Suspicion reports that an incarnation of an upstream broke off its response to
// the request with this fingerprint.
type Suspicion struct {
	Fingerprint string `json:"fingerprint" cbor:"1,keyasint"`
	Incarnation string `json:"incarnation" cbor:"2,keyasint"`
}

// Message is the content of a beacon. Its CBOR keys are part of the protocol
// between VMs. Incarnation increases with each start of a VM, as far as its clock is right,
// Sequence with each of its beacons.
type Message struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	Sequence    uint64 `json:"sequence" cbor:"3,keyasint"`
	Address     string `json:"address" cbor:"4,keyasint"`
	Control     string `json:"control" cbor:"5,keyasint"`
	Callers     string `json:"callers" cbor:"6,keyasint"`
	DataCentre  string `json:"data_centre" cbor:"7,keyasint"`
	State       State  `json:"state" cbor:"8,keyasint"`
	// Watching is set if the VM receives updates from the store itself.
	Watching  bool      `json:"watching,omitempty" cbor:"9,keyasint,omitempty"`
	Revisions Revisions `json:"revisions" cbor:"10,keyasint"`
	// Loads holds the VM's load on each upstream in use, by the upstream's ID: the
	// fields Requests, WaitingTokens and Tokens of a roster.Load.
	Loads map[string][3]int `json:"loads,omitempty" cbor:"11,keyasint,omitempty"`
	Sent  []roster.Sent     `json:"sent,omitempty" cbor:"12,keyasint,omitempty"`
	// LastFence is the fence of the last lease that the VM held. Leading is the
	// same fence while the VM holds that lease, otherwise 0. Loading holds the IDs of the
	// engines that it is changing.
	LastFence uint64   `json:"last_fence,omitempty" cbor:"13,keyasint,omitempty"`
	Leading   uint64   `json:"leading,omitempty" cbor:"14,keyasint,omitempty"`
	Loading   []string `json:"loading,omitempty" cbor:"15,keyasint,omitempty"`
	// Changing holds the announcements of all VMs' engine changes that the sender
	// has received.
	Changing []roster.Announcement    `json:"changing,omitempty" cbor:"16,keyasint,omitempty"`
	Updated  []roster.ObservedVersion `json:"updated,omitempty" cbor:"17,keyasint,omitempty"`
	Avoided  []string                 `json:"avoided,omitempty" cbor:"18,keyasint,omitempty"`
	// Suspected holds the responses broken off since the last beacon.
	Suspected []Suspicion `json:"suspected,omitempty" cbor:"19,keyasint,omitempty"`
	// Desired holds the desired versions with their ages: a VM that starts can't
	// find out from the store for how long they have been desired.
	Desired []roster.DesiredAge `json:"named,omitempty" cbor:"20,keyasint,omitempty"`
	// Peers holds addresses of other VMs, in every peersEvery-th beacon.
	Peers []string `json:"peers,omitempty" cbor:"21,keyasint,omitempty"`
	// SuspectReports holds news of requests that may crash upstreams, from any VM, and
	// repeats some of what is known of those that do.
	SuspectReports []suspect.Report `json:"suspect_reports,omitempty" cbor:"22,keyasint,omitempty"`
	// Retained is the version of the configuration in force if the store came back
	// from a copy without it, and 0 otherwise.
	Retained int64 `json:"retained,omitempty" cbor:"23,keyasint,omitempty"`
	// Limits holds what the VM knows of the limits of upstreams, from any VM.
	Limits []permit.Report `json:"limits,omitempty" cbor:"24,keyasint,omitempty"`
	// IssuesPermits is set if other VMs may choose this one to issue permits.
	IssuesPermits bool `json:"issues_permits,omitempty" cbor:"25,keyasint,omitempty"`
	// Streams holds which builds began streams.
	Streams []lineage.Fact `json:"streams,omitempty" cbor:"26,keyasint,omitempty"`
	// FactsFrom is the sender of a message that carries only Streams or Peers and is not
	// the sender's state; otherwise it is empty. Name is not sent then, so that builds
	// that do not know such messages ignore them.
	FactsFrom string `json:"facts_from,omitempty" cbor:"27,keyasint,omitempty"`
	// UpstreamsLeaving holds the upstreams that have announced to any VM that they leave.
	UpstreamsLeaving []health.DrainReport `json:"upstreams_leaving,omitempty" cbor:"28,keyasint,omitempty"`
	// LinkMbps is the bandwidth of the VM's link in Mbit/s, 0 from a VM of an older build.
	LinkMbps int `json:"link_mbps,omitempty" cbor:"29,keyasint,omitempty"`
	// Ejections holds the upstreams whose responses to this VM have broken lately.
	Ejections []health.EjectionReport `json:"ejections,omitempty" cbor:"30,keyasint,omitempty"`
	// CutOff is set while the VM reaches the upstreams of a service only through others.
	CutOff bool `json:"cut_off,omitempty" cbor:"31,keyasint,omitempty"`
	// Known is the number of VMs that the sender knows, itself included. It is 0 from a
	// VM of an older build.
	Known int `json:"known,omitempty" cbor:"32,keyasint,omitempty"`
	// Watchers holds which VMs watch the store, in a large fleet.
	Watchers []watchers.Report `json:"watchers,omitempty" cbor:"33,keyasint,omitempty"`
	// LetGo is the last lease that any VM has let go of, as far as the sender knows.
	LetGo *leader.LetGo `json:"let_go,omitempty" cbor:"34,keyasint,omitempty"`
	// Leader is the last VM that led the rollout, as far as the sender knows.
	Leader *leader.Leading `json:"leader,omitempty" cbor:"35,keyasint,omitempty"`
	// Direct is set in a message from Call or Notify, which carries nothing else.
	Direct *Direct `json:"-" cbor:"36,keyasint,omitempty"`
	// Calls is set if the sender serves direct messages.
	Calls bool `json:"calls,omitempty" cbor:"37,keyasint,omitempty"`
	// IssuesQuotas is set if other VMs may choose this one to issue quotas.
	IssuesQuotas bool `json:"issues_quotas,omitempty" cbor:"38,keyasint,omitempty"`
	// Dispatches is set if other VMs may choose this one to dispatch requests.
	Dispatches bool `json:"dispatches,omitempty" cbor:"39,keyasint,omitempty"`
	// Capacity holds sums of what the VM has observed of upstreams, see capacity.Book.
	Capacity *capacity.Reports `json:"capacity,omitempty" cbor:"40,keyasint,omitempty"`
	// DesiredUncertain holds which of the ages in Desired are too high, and by how much at
	// most. Builds that do not know it take these for the ages.
	DesiredUncertain []roster.DesiredUncertainty `json:"desired_uncertain,omitempty" cbor:"41,keyasint,omitempty"`
}

// Peer is another VM, as described by its last beacon.
type Peer struct {
	Message
	// ReceivedAt is when the beacon was received.
	ReceivedAt time.Time `json:"Heard"`
}

// DefaultInterval is the time between two beacons.
const DefaultInterval = 150 * time.Millisecond

const (
	// fanOut limits the datagrams of one round, so that a VM's cost does not
	// grow with the fleet. In a larger fleet all but farFanOut go to VMs of the
	// same data centre, which send requests to the same upstreams.
	fanOut    = 12
	farFanOut = 4
	// maxMissedBeacons is the number of missing beacons after which a VM counts as
	// dead.
	maxMissedBeacons = 8
	// addressTTL is how long beacons are still sent to a silent VM.
	addressTTL = 30 * time.Second
	// maxPeersListed is the maximum number of addresses in Message.Peers.
	maxPeersListed = 4
	// Every peersEvery-th beacon lists peers.
	peersEvery = 5
	// maxAddressesSent is the maximum number of addresses in one answer to a VM that knows
	// few others, and maxAddressAnswers that of such answers in one interval.
	maxAddressesSent = 48
	// An address from which no beacon has been received gets the first unheardFirstRounds
	// rounds and then every unheardEvery-th one, or every unheardRarely-th one if peers have
	// named others: when all VMs start at once, all of them know the same few addresses.
	unheardFirstRounds = 2
	unheardEvery       = 4
	unheardRarely      = 16
	maxAddressAnswers  = 64
	// knownPart is the inverse of the part of the VMs that a VM may lack without being told.
	knownPart = 20
	// maxAddresses limits the known addresses, and the peers.
	maxAddresses = 2048
)

// Options configures a Beacon. All but Name, Interval, ReceiveStreams, Serve and Log are
// required.
type Options struct {
	// Name is the name of this VM. It is required for direct messages.
	Name string
	// Conn sends and receives the datagrams.
	Conn net.PacketConn
	Now  func() time.Time
	// Interval is the time between two beacons. The default is 150 ms.
	Interval time.Duration
	// Compose returns the next message. The Beacon sets its Sequence and Peers.
	Compose func(now time.Time) Message
	// Receive is called with each message that is newer than its sender's last one.
	Receive func(now time.Time, m Message)
	// ReceiveStreams is called with each message from SendStreams. Nil ignores them.
	ReceiveStreams func(now time.Time, m Message)
	// Serve handles a direct message of another VM and returns the reply to it, nil for
	// none. It runs on the goroutine that receives all datagrams. Nil serves none.
	Serve func(now time.Time, from, kind string, body []byte) []byte
	// Cut is called with the number of entries left out of a beacon that would be too long
	// for a datagram, see Fit. Nil ignores it.
	Cut func(entries int)
	// Reject is called for each datagram that is no message. Nil ignores them.
	Reject func(now time.Time, from net.Addr)
	Log    zerolog.Logger
}

// Beacon sends the beacons of one VM and receives those of the others.
type Beacon struct {
	opts Options

	mu        sync.Mutex
	self      string
	sequence  uint64
	peers     map[string]*Peer
	addresses map[string]*addressState
	// near holds the addresses in this VM's data centre.
	near       map[string]bool
	dataCentre string
	roundRobin RoundRobin[netip.AddrPort]
	// answers is the number of address lists sent since the last beacon.
	answers int
	// calls holds the calls that wait for a reply, by ID. nextCall is the last ID used.
	calls    map[uint64]pendingCall
	nextCall uint64
}

// addressState is what is known of an address at which a VM may run.
type addressState struct {
	// seen is when a beacon from it was last received, or when it was added.
	seen time.Time
	// heard is set if a beacon from it has been received, and vouched if a peer has named
	// it, which peers do with those that they hear.
	heard, vouched bool
	// unheardRounds is the number of rounds before the first beacon from it.
	unheardRounds int
}

// New returns a Beacon.
func New(opts Options) *Beacon {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	return &Beacon{opts: opts, peers: make(map[string]*Peer), addresses: make(map[string]*addressState), near: make(map[string]bool), calls: make(map[uint64]pendingCall)}
}

// Add adds an IP address with a port at which a VM may run. Invalid addresses are
// ignored, and so are further ones if maxAddresses are known.
func (b *Beacon) Add(now time.Time, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(now, address)
}

// add adds an address, unless it can't be used, and returns what is known of it. The caller
// holds the lock.
func (b *Beacon) add(now time.Time, address string) (state *addressState, usable bool) {
	if state, usable = b.addresses[address]; usable {
		return state, true
	}
	if _, err := netip.ParseAddrPort(address); err != nil || address == b.self || len(b.addresses) >= maxAddresses {
		return nil, false
	}
	state = &addressState{seen: now}
	b.addresses[address] = state
	return state, true
}

// addVouched adds addresses that a peer has named. The caller holds the lock.
func (b *Beacon) addVouched(now time.Time, addresses []string) {
	for _, address := range addresses[:min(maxAddressesSent, len(addresses))] {
		if state, usable := b.add(now, address); usable {
			state.vouched = true
		}
	}
}

// Alive returns the peers whose beacons have been received lately, ordered by
// name. The caller must not change them.
func (b *Beacon) Alive(now time.Time) []*Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*Peer, 0, len(b.peers))
	for _, p := range b.peers {
		if now.Sub(p.ReceivedAt) < b.silenceLimit(p.Address) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(x, y *Peer) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// Control returns the control address of a peer, or "" if the peer is not known.
func (b *Beacon) Control(peer string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.peers[peer]; p != nil {
		return p.Control
	}
	return ""
}

// KnownCount returns the number of known VMs, this one and those that have died
// lately included. VMs that only peers have heard yet count as well.
func (b *Beacon) KnownCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.knownCount()
}

func (b *Beacon) knownCount() int {
	n := 1
	for address, state := range b.addresses {
		if address != b.self && (state.heard || state.vouched) {
			n++
		}
	}
	return n
}

// AddressCount returns the number of addresses at which VMs may run, including this
// one's.
func (b *Beacon) AddressCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.addresses)
	if _, listed := b.addresses[b.self]; !listed {
		n++
	}
	return n
}

// silenceLimit returns how long the VM at an address may be silent before it
// counts as dead. In a large fleet not every beacon goes to every VM, so that
// the limit is longer. The caller holds the lock.
func (b *Beacon) silenceLimit(address string) time.Duration {
	peers, share := len(b.addresses), fanOut
	if peers > fanOut {
		peers, share = len(b.near), fanOut-farFanOut
		if !b.near[address] {
			peers, share = len(b.addresses)-len(b.near), farFanOut
		}
	}
	rounds := max(1, (peers+share-1)/share)
	return time.Duration(rounds*maxMissedBeacons) * b.opts.Interval
}

// Run sends and receives beacons until ctx ends.
func (b *Beacon) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { b.receive(ctx) })
	stop := context.AfterFunc(ctx, func() { _ = b.opts.Conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	ticker := time.NewTicker(b.opts.Interval)
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

// Send sends one beacon immediately.
func (b *Beacon) Send(now time.Time) {
	m := b.opts.Compose(now)
	b.mu.Lock()
	b.self = m.Address
	b.dataCentre = m.DataCentre
	b.sequence++
	b.answers = 0
	m.Sequence = b.sequence
	m.Known = b.knownCount()
	m.Calls = b.opts.Serve != nil
	targets := b.targets(now)
	if b.sequence%peersEvery == 0 {
		m.Peers = b.peerAddresses(now, maxPeersListed)
	}
	b.mu.Unlock()
	raw, cut, err := Fit(m)
	if err != nil {
		b.opts.Log.Error().Err(err).Msg("beacon not sent")
		return
	}
	if cut > 0 && b.opts.Cut != nil {
		b.opts.Cut(cut)
	}
	for _, target := range targets {
		// The next beacon replaces a lost datagram.
		_, _ = b.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(target))
	}
}

// SendStreams sends facts to one peer immediately, in a message that is not this VM's
// state. It does nothing if the peer is not known.
func (b *Beacon) SendStreams(from, peer string, facts []lineage.Fact) {
	b.mu.Lock()
	p := b.peers[peer]
	b.mu.Unlock()
	if p == nil {
		return
	}
	target, err := netip.ParseAddrPort(p.Address)
	if err != nil {
		return
	}
	raw, err := Pack(Message{FactsFrom: from, Streams: facts})
	if err != nil {
		b.opts.Log.Error().Err(err).Msg("facts not sent")
		return
	}
	// Facts are sent again while they matter.
	_, _ = b.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(target))
}

// targets returns the addresses that get this round's beacon, and removes
// addresses that have been silent for too long. The caller holds the lock.
func (b *Beacon) targets(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	every := unheardEvery
	if b.knownCount() > fanOut {
		every = unheardRarely
	}
	for address, state := range b.addresses {
		if now.Sub(state.seen) > addressTTL {
			delete(b.addresses, address)
			delete(b.near, address)
			continue
		}
		if address == b.self || state.skipUnheard(every) {
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
	// A fixed order is needed to reach all near VMs in as many rounds as Rounds returns.
	slices.SortFunc(near, netip.AddrPort.Compare)
	return b.roundRobin.Next(near, far, rand.Shuffle)
}

// skipUnheard counts a round and reports whether it leaves out the address, because neither
// a beacon from it has been received nor a peer has named it.
func (s *addressState) skipUnheard(every int) bool {
	if s.heard || s.vouched {
		return false
	}
	s.unheardRounds++
	return s.unheardRounds > unheardFirstRounds && s.unheardRounds%every != 0
}

// RoundRobin selects the VMs that get a beacon in each round of a large fleet.
// The zero value works. It is not safe for concurrent use.
type RoundRobin[T any] struct{ next int }

// Next returns the next VMs of near in their order, and farFanOut random ones of
// far, or more if there are few near ones.
func (r *RoundRobin[T]) Next(near, far []T, shuffle func(n int, swap func(i, j int))) []T {
	far = slices.Clone(far)
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	nearTargets := min(fanOut-farFanOut, len(near))
	list := far[:min(fanOut-nearTargets, len(far))]
	for i := range nearTargets {
		list = append(list, near[(r.next+i)%len(near)])
	}
	r.next += fanOut - farFanOut
	return list
}

// Rounds returns the number of rounds in which beacons reach every VM that
// sends requests to the same upstreams as this one.
func (b *Beacon) Rounds() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.addresses) <= fanOut {
		return 1
	}
	return NearRounds(len(b.near))
}

// NearRounds returns the number of rounds in which a RoundRobin reaches the
// given number of near VMs.
func NearRounds(near int) int {
	const perRound = fanOut - farFanOut
	return max(1, (near+perRound-1)/perRound)
}

// answerNewcomer sends addresses of other VMs to the sender of a message, if it knows far
// fewer than this VM. VMs that all start at once know only a few seeds at first, and
// those would otherwise get the beacons of all.
func (b *Beacon) answerNewcomer(now time.Time, m Message) {
	b.mu.Lock()
	known := b.knownCount()
	if m.Known == 0 || m.Known*knownPart >= known*(knownPart-1) || b.answers >= maxAddressAnswers {
		b.mu.Unlock()
		return
	}
	b.answers++
	list := b.peerAddresses(now, maxAddressesSent)
	from := b.self
	b.mu.Unlock()
	target, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		return
	}
	raw, err := Pack(Message{FactsFrom: from, Peers: list})
	if err != nil {
		b.opts.Log.Error().Err(err).Msg("addresses not sent")
		return
	}
	// A VM that still knows few asks again by its next beacon.
	_, _ = b.opts.Conn.WriteTo(raw, net.UDPAddrFromAddrPort(target))
}

// peerAddresses returns the addresses of up to n peers that are alive. The caller
// holds the lock.
func (b *Beacon) peerAddresses(now time.Time, n int) []string {
	var list []string
	for _, p := range b.peers {
		if len(list) < n && now.Sub(p.ReceivedAt) < b.silenceLimit(p.Address) {
			list = append(list, p.Address)
		}
	}
	return list
}

// receive passes new messages to Options.Receive until ctx ends.
func (b *Beacon) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := b.opts.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		m, err := Unpack(buffer[:n])
		if err != nil {
			if b.opts.Reject != nil {
				b.opts.Reject(b.opts.Now(), from)
			}
			continue
		}
		now := b.opts.Now()
		switch {
		case m.Direct != nil:
			b.handleDirect(now, from, m.Direct)
		case m.FactsFrom != "":
			b.mu.Lock()
			b.addVouched(now, m.Peers)
			b.mu.Unlock()
			if b.opts.ReceiveStreams != nil && len(m.Streams) > 0 {
				b.opts.ReceiveStreams(now, m)
			}
		case b.Accept(now, m):
			b.answerNewcomer(now, m)
			b.opts.Receive(now, m)
		}
	}
}

// Accept records a received message and reports whether it was newer than the
// last one of its sender. Older ones and the VM's own are ignored, and so are those of
// new peers if maxAddresses are known.
func (b *Beacon) Accept(now time.Time, m Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Address == b.self {
		return false
	}
	old, known := b.peers[m.Name]
	if known && !old.replacedBy(now, m, maxMissedBeacons*b.opts.Interval) {
		return false
	}
	if !known && len(b.peers) >= maxAddresses {
		return false
	}
	if known && old.Address != m.Address {
		delete(b.addresses, old.Address)
		delete(b.near, old.Address)
	}
	b.peers[m.Name] = &Peer{m, now}
	if state, usable := b.add(now, m.Address); usable {
		state.seen, state.heard = now, true
		if m.DataCentre == b.dataCentre {
			b.near[m.Address] = true
		}
	}
	b.addVouched(now, m.Peers)
	b.removeSilent(now)
	return true
}

// replacedBy reports whether a message is newer than the last one of a peer. Incarnations are
// times of day. So one that seems to be older is a new start if the peer has been silent for
// longer than messages are on the way.
func (p *Peer) replacedBy(now time.Time, m Message, silence time.Duration) bool {
	if m.Incarnation == p.Incarnation {
		return m.Sequence > p.Sequence
	}
	return m.Incarnation > p.Incarnation || now.Sub(p.ReceivedAt) >= silence
}

// removeSilent removes peers that have been silent for longer than addressTTL.
// The caller holds the lock.
func (b *Beacon) removeSilent(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.ReceivedAt) > addressTTL {
			delete(b.peers, name)
		}
	}
}
