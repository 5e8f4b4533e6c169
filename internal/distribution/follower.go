// Package distribution brings each published configuration into force on a node of
// package node. A few nodes watch the platform; the others fetch the configuration
// from the first node from which they learn of a newer generation.
//
// # Usage
//
//	follower := distribution.NewFollower(distribution.Options{Publisher: publisher, Holder: holder, ...})
//	follower.Start(ctx)
//	go follower.Run(ctx)
//	follower.Request(member, generation) // a member has a newer configuration
//
// A Follower is safe for concurrent use.
package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/wait"
)

const (
	watchBackoff       = 500 * time.Millisecond
	fetchTimeout       = 5 * time.Second
	generationsTimeout = time.Second
)

// Transport calls another node. Its implementations are safe for concurrent use.
type Transport interface {
	// FetchConfiguration returns the changes of a node's configuration since a
	// generation.
	FetchConfiguration(ctx context.Context, from *peerrpc.Member, since uint64) (*peerrpc.FetchConfigurationResponse, error)
	// Exchange sends a heartbeat and returns the response.
	Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error)
}

// Options sets up a Follower. All fields but Log are required.
type Options struct {
	Log       zerolog.Logger
	Publisher *publication.Publisher
	// Holder gets the configurations.
	Holder    *publication.Holder
	Members   *membership.Table
	Transport Transport
	// IsWatcher reports whether this node is one of those that watch the platform.
	IsWatcher func() bool
}

// Follower keeps the configuration of one node up to date.
type Follower struct {
	opts          Options
	fetchRequests chan fetchRequest
}

// fetchRequest asks for the configuration of a generation, or a newer one, from a
// member that has it.
type fetchRequest struct {
	from       *peerrpc.Member
	generation uint64
}

// NewFollower returns a Follower.
func NewFollower(opts Options) *Follower {
	return &Follower{opts: opts, fetchRequests: make(chan fetchRequest, 1)}
}

// Start loads the configuration for which a Request is waiting, or else the one on the
// platform if none is in force. It returns without one if neither responds.
func (f *Follower) Start(ctx context.Context) {
	select {
	case request := <-f.fetchRequests:
		f.fetchFrom(ctx, request)
	default:
	}
	if f.opts.Holder.Generation() == 0 {
		f.loadFromPlatform(ctx)
	}
}

// Run watches the platform while this node is a watcher and fetches the requested
// configurations, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.watch(ctx) })
	wg.Go(func() { f.fetch(ctx) })
	wg.Wait()
}

// loadFromPlatform puts the platform's published configuration in force.
func (f *Follower) loadFromPlatform(ctx context.Context) {
	document, err := f.opts.Publisher.Load(ctx)
	if err != nil {
		f.opts.Log.Warn().Err(err).Msg("configuration not loaded from the platform")
		return
	}
	f.offerDocument(document)
}

// offerDocument puts a document in force if it is valid and newer than the current
// one.
func (f *Follower) offerDocument(d contract.Document) {
	if _, err := f.opts.Holder.Offer(d); err != nil {
		f.opts.Log.Error().Err(err).Msg("configuration rejected")
	}
}

// watch watches the published configuration while this node is a watcher.
func (f *Follower) watch(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		if !f.opts.IsWatcher() {
			wait.For(ctx, watchBackoff)
			continue
		}
		document, next, err := f.opts.Publisher.Await(ctx, version)
		if err != nil {
			wait.For(ctx, watchBackoff)
			continue
		}
		if next > version {
			version = next
			f.offerDocument(document)
		}
	}
}

// Request asks Run to fetch a newer configuration from a member and returns at once.
// It does nothing if another request is waiting.
func (f *Follower) Request(from *peerrpc.Member, generation uint64) {
	select {
	case f.fetchRequests <- fetchRequest{from: from, generation: generation}:
	default:
	}
}

// fetch fetches the requested configurations until ctx ends.
func (f *Follower) fetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-f.fetchRequests:
			f.fetchFrom(ctx, request)
		}
	}
}

// fetchFrom fetches the changes since this node's generation, or the whole
// document if they can't be applied.
func (f *Follower) fetchFrom(ctx context.Context, request fetchRequest) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	holder := f.opts.Holder
	for _, since := range []uint64{holder.Generation(), 0} {
		if request.generation <= holder.Generation() {
			return
		}
		reply, err := f.opts.Transport.FetchConfiguration(ctx, request.from, since)
		if err != nil {
			f.opts.Log.Warn().Err(err).Str("from", request.from.GetName()).Msg("configuration not fetched")
			return
		}
		var delta contract.Delta
		if err := json.Unmarshal(reply.GetDocument(), &delta); err != nil {
			continue
		}
		if _, err := holder.OfferDelta(delta, reply.GetDigest()); err == nil {
			return
		}
	}
}

// HandleFetch answers a peer that fetches this node's configuration. It returns an
// error if the configuration can't be encoded.
func (f *Follower) HandleFetch(q *peerrpc.FetchConfigurationRequest) (*peerrpc.FetchConfigurationResponse, error) {
	state := f.opts.Holder.Current()
	delta := state.Document.Since(q.GetSince())
	raw, err := json.Marshal(delta)
	if err != nil {
		return nil, fmt.Errorf("distribution: encode delta: %w", err)
	}
	return &peerrpc.FetchConfigurationResponse{
		Generation: delta.Generation,
		Since:      delta.Since,
		Document:   raw,
		Digest:     state.Digest,
	}, nil
}

// Generations asks every reachable member for the generation of its configuration
// in force, for at most a second. Members that don't respond are missing from the
// result, which has the members' names as keys.
func (f *Follower) Generations(ctx context.Context) map[string]uint64 {
	ctx, cancel := context.WithTimeout(ctx, generationsTimeout)
	defer cancel()
	responses := make(chan memberGeneration, len(f.opts.Members.Members()))
	self := f.opts.Members.Self().GetName()
	g := &peerrpc.Gossip{From: self}
	f.opts.Members.ForEachPeer(func(m *peerrpc.Member) {
		if reply, err := f.opts.Transport.Exchange(ctx, m, g); err == nil {
			responses <- memberGeneration{name: m.GetName(), generation: reply.GetConfigurationGeneration()}
		}
	})
	close(responses)
	byName := map[string]uint64{self: f.opts.Holder.Generation()}
	for r := range responses {
		byName[r.name] = r.generation
	}
	return byName
}

type memberGeneration struct {
	name       string
	generation uint64
}
