package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/crashreport"
	"github.com/hibiscuscove/hibiscuscove/internal/health"
	"github.com/hibiscuscove/hibiscuscove/internal/ledger"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
)

// maxAlternates is the number of further addresses in the response of /v1/entry.
const maxAlternates = 2

var _ ledger.Peers = (*Node)(nil)

// fleet implements request.Fleet.
type fleet struct {
	*Node
	*crashreport.Reporter
}

var _ request.Fleet = fleet{}

// Entry implements request.Fleet. It returns a random serving node and up to
// maxAlternates others, preferably in the given data centre. An empty name stands for
// this node's data centre.
func (n *Node) Entry(_ time.Time, dataCentre string) (request.Entry, bool) {
	if dataCentre == "" {
		dataCentre = n.settings.DataCentre
	}
	var local, remote []*peerrpc.Member
	for _, m := range n.members.Serving() {
		if m.GetDataCentre() == dataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	shuffle(local)
	shuffle(remote)
	list := append(local, remote...)
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

// Commit implements ledger.Peers. It returns ledger.ErrLocal if this node is the
// shard's usual writer or no node serves.
func (n *Node) Commit(ctx context.Context, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	writer := n.writer(shard)
	if writer == nil || writer.GetName() == n.settings.Name {
		return nil, ledger.ErrLocal
	}
	return n.link.Commit(ctx, writer, shard, entries)
}

// writer returns the serving member that usually writes a ledger shard, chosen by
// rendezvous hashing, or nil if none serves.
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

// peerService implements the RPCs that other nodes call.
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
	reply, err := s.n.follower.HandleFetch(q)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	return reply, nil
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
	return s.n.crashes.HandleAccuse(q), nil
}
