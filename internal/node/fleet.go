package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
)

const maxAlternates = 2

var (
	_ request.Fleet = (*Node)(nil)
	_ ledger.Peers  = (*Node)(nil)
)

// Entry implements request.Fleet: a random serving node, in the data centre
// asked for or else in this node's, if there is one.
func (n *Node) Entry(_ time.Time, dataCentre string) (request.Entry, bool) {
	if dataCentre == "" {
		dataCentre = n.settings.DataCentre
	}
	var near, far []*peerrpc.Member
	for _, m := range n.members.Serving() {
		if m.GetDataCentre() == dataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	shuffle(near)
	shuffle(far)
	list := append(near, far...)
	if len(list) == 0 {
		return request.Entry{}, false
	}
	entry := request.Entry{
		Node:       list[0].GetName(),
		Address:    list[0].GetAddress(),
		DataCentre: list[0].GetDataCentre(),
		TTLMS:      n.settings.EntryTTL().Milliseconds(),
	}
	for _, m := range list[1:min(len(list), 1+maxAlternates)] {
		entry.Alternates = append(entry.Alternates, m.GetAddress())
	}
	return entry, true
}

func shuffle(list []*peerrpc.Member) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// ServingCount implements request.Fleet.
func (n *Node) ServingCount() int { return n.members.ServingCount() }

// AnnounceTrial implements request.Fleet.
func (n *Node) AnnounceTrial(ctx context.Context, now time.Time, trial request.Trial) (upstreamTaken bool) {
	q := &peerrpc.AccuseRequest{
		Fingerprint:        trial.Fingerprint,
		Deaths:             deathMessages(n.quarantine.Crashes(trial.Fingerprint)),
		TrialHolder:        trial.Holder,
		TrialExpiresUnixMs: trial.Until.UnixMilli(),
		TrialUpstream:      trial.Upstream,
	}
	var taken atomic.Bool
	n.eachPeer(func(m *peerrpc.Member) {
		reply, err := n.link.Accuse(ctx, m, q)
		if err != nil {
			return
		}
		for _, d := range reply.GetDeaths() {
			n.quarantine.AttributeCrash(now, trial.Fingerprint, deathOf(d))
		}
		if other := reply.GetTrialHolder(); other != "" && other != trial.Holder {
			n.quarantine.EndTrial(trial.Fingerprint, trial.Holder)
		}
		if reply.GetUpstreamTaken() {
			taken.Store(true)
		}
	})
	return taken.Load()
}

func deathMessages(deaths []quarantine.Crash) []*peerrpc.Death {
	list := make([]*peerrpc.Death, 0, len(deaths))
	for _, d := range deaths {
		list = append(list, &peerrpc.Death{
			Upstream:    d.Upstream,
			Incarnation: d.Incarnation,
			DataCentre:  d.DataCentre,
			AtUnixMs:    d.At.UnixMilli(),
		})
	}
	return list
}

func deathOf(d *peerrpc.Death) quarantine.Crash {
	return quarantine.Crash{
		Upstream:    d.GetUpstream(),
		Incarnation: d.GetIncarnation(),
		DataCentre:  d.GetDataCentre(),
		At:          time.UnixMilli(d.GetAtUnixMs()),
	}
}

// AnnounceCrash implements request.Fleet.
func (n *Node) AnnounceCrash(now time.Time, fingerprint string, d quarantine.Crash) {
	raw, err := json.Marshal(deathFact{Fingerprint: fingerprint, Death: d})
	if err != nil {
		return
	}
	n.members.SetFact(now, factDeath, fingerprint+"/"+d.Incarnation, raw, quarantineMemory)
	n.log.Warn().Str("upstream", d.Upstream).Str("fingerprint", fingerprint).Msg("upstream died under a request")
}

// AnnounceCleared implements request.Fleet.
func (n *Node) AnnounceCleared(now time.Time, fingerprint string) {
	n.members.SetFact(now, factAbsolved, fingerprint, nil, quarantineMemory)
}

// Commit implements ledger.Peers.
func (n *Node) Commit(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	writer := n.writer(shard)
	if writer == nil || writer.GetName() == n.settings.Name {
		return nil, ledger.ErrLocal
	}
	return n.link.Commit(ctx, writer, shard, entries)
}

// writer returns the member that usually writes a ledger shard.
func (n *Node) writer(shard uint32) *peerrpc.Member {
	serving := n.members.Serving()
	byName := make(map[string]*peerrpc.Member, len(serving))
	names := make([]string, 0, len(serving))
	for _, m := range serving {
		byName[m.GetName()] = m
		names = append(names, m.GetName())
	}
	best := health.NewRanking(names).First(fmt.Sprintf("ledger-%d", shard), 1)
	if len(best) == 0 {
		return nil
	}
	return byName[best[0]]
}

// Live implements ledger.Peers.
func (n *Node) Live(name string, incarnation uint64) bool { return n.members.Live(name, incarnation) }

// peerService serves the calls of other nodes.
type peerService struct {
	n *Node
}

var _ peerrpc.Peer = peerService{}

// Exchange implements peerrpc.Peer.
func (s peerService) Exchange(_ context.Context, q *peerrpc.ExchangeRequest) (*peerrpc.ExchangeResponse, error) {
	return &peerrpc.ExchangeResponse{Gossip: s.n.agent.HandleExchange(q.GetGossip())}, nil
}

// Relay implements peerrpc.Peer.
func (s peerService) Relay(ctx context.Context, q *peerrpc.RelayRequest) (*peerrpc.RelayResponse, error) {
	return &peerrpc.RelayResponse{Reached: s.n.agent.HandleRelay(ctx, q.GetTarget())}, nil
}

// Synchronize implements peerrpc.Peer.
func (s peerService) Synchronize(_ context.Context, q *peerrpc.SynchronizeRequest) (*peerrpc.SynchronizeResponse, error) {
	return &peerrpc.SynchronizeResponse{Gossip: s.n.agent.HandleSynchronize(q.GetGossip(), q.GetMembersOnly())}, nil
}

// FetchConfiguration implements peerrpc.Peer.
func (s peerService) FetchConfiguration(_ context.Context, q *peerrpc.FetchConfigurationRequest) (*peerrpc.FetchConfigurationResponse, error) {
	state := s.n.holder.Current()
	delta := state.Document.Since(q.GetSince())
	raw, err := json.Marshal(delta)
	if err != nil {
		return nil, fmt.Errorf("node: encode delta: %w", err)
	}
	return &peerrpc.FetchConfigurationResponse{
		Generation: delta.Generation,
		Since:      delta.Since,
		Document:   raw,
		Digest:     state.Digest,
	}, nil
}

// Commit implements peerrpc.Peer.
func (s peerService) Commit(ctx context.Context, q *peerrpc.CommitRequest) (*peerrpc.CommitResponse, error) {
	results, err := s.n.ledger.CommitLocal(ctx, q.GetShard(), q.GetEntries())
	if err != nil {
		return nil, fmt.Errorf("node: commit: %w", err)
	}
	return &peerrpc.CommitResponse{Results: results}, nil
}

// Accuse implements peerrpc.Peer.
func (s peerService) Accuse(_ context.Context, q *peerrpc.AccuseRequest) (*peerrpc.AccuseResponse, error) {
	now := s.n.opts.Now()
	book := s.n.quarantine
	known := book.Crashes(q.GetFingerprint())
	for _, d := range q.GetDeaths() {
		book.AttributeCrash(now, q.GetFingerprint(), deathOf(d))
	}
	reply := &peerrpc.AccuseResponse{
		Deaths:        deathMessages(known),
		UpstreamTaken: !book.AvailableForTrial(now, q.GetTrialUpstream(), q.GetFingerprint()),
	}
	until := time.UnixMilli(q.GetTrialExpiresUnixMs())
	if !book.StartTrial(now, q.GetFingerprint(), q.GetTrialHolder(), q.GetTrialUpstream(), until) {
		reply.TrialHolder = book.TrialHolder(now, q.GetFingerprint())
	}
	return reply, nil
}

// generations asks every member for the generation it has in force.
func (n *Node) generations(ctx context.Context) map[string]uint64 {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	answers := make(chan memberGeneration, len(n.members.Members()))
	g := &peerrpc.Gossip{From: n.settings.Name}
	n.eachPeer(func(m *peerrpc.Member) {
		if reply, err := n.link.Exchange(ctx, m, g); err == nil {
			answers <- memberGeneration{name: m.GetName(), generation: reply.GetConfigurationGeneration()}
		}
	})
	close(answers)
	list := map[string]uint64{n.settings.Name: n.holder.Generation()}
	for a := range answers {
		list[a.name] = a.generation
	}
	return list
}

type memberGeneration struct {
	name       string
	generation uint64
}
