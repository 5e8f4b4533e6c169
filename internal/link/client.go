// Package link carries calls between the nodes of a fleet, over twirp.
//
// # Usage
//
//	client := link.NewClient(link.ClientOptions{Token: token})
//	reply, err := client.Exchange(ctx, member, gossip)
//
//	http.Handle(link.PathPrefix, link.NewHandler(handlers, token))
//
// A Client is safe for concurrent use. All calls may be repeated.
package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	dialTimeout  = 300 * time.Millisecond
	idleTimeout  = 10 * time.Second
	maxIdle      = 2
	maxClients   = 4096
	bearerPrefix = "Bearer "
)

// ClientOptions sets up a Client. The zero value works between nodes without a token.
type ClientOptions struct {
	// Token is the credential between nodes.
	Token string
}

// Client calls other nodes. A call that fails on a kept connection is sent
// once more on a new one, since a connection may have gone silent.
type Client struct {
	pooled *http.Client
	fresh  *http.Client

	mu    sync.Mutex
	peers map[string]pair
}

type pair struct {
	pooled peerrpc.Peer
	fresh  peerrpc.Peer
}

// NewClient returns a Client.
func NewClient(opts ClientOptions) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	pooled := &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdle}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return &Client{
		pooled: &http.Client{Transport: authorized{token: opts.Token, next: pooled}},
		fresh:  &http.Client{Transport: authorized{token: opts.Token, next: fresh}},
		peers:  make(map[string]pair),
	}
}

type authorized struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (a authorized) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+a.token)
	return a.next.RoundTrip(r)
}

func (c *Client) peer(address string) pair {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.peers[address]
	if found {
		return p
	}
	if len(c.peers) >= maxClients {
		clear(c.peers)
	}
	p = pair{
		pooled: peerrpc.NewPeerProtobufClient("http://"+address, c.pooled),
		fresh:  peerrpc.NewPeerProtobufClient("http://"+address, c.fresh),
	}
	c.peers[address] = p
	return p
}

// call sends a request on a kept connection for half of the time left, and on
// a new one after that.
func call[Q, R any](ctx context.Context, p pair, q Q, f func(peerrpc.Peer, context.Context, Q) (R, error)) (R, error) {
	first := ctx
	if deadline, ok := ctx.Deadline(); ok {
		half, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		first = half
	}
	r, err := f(p.pooled, first, q)
	if err == nil || ctx.Err() != nil {
		return r, err
	}
	return f(p.fresh, ctx, q)
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error) {
	reply, err := call(ctx, c.peer(to.GetControlAddress()), &peerrpc.ExchangeRequest{Gossip: g}, peerrpc.Peer.Exchange)
	if err != nil {
		return nil, fmt.Errorf("link: exchange: %w", err)
	}
	return reply.GetGossip(), nil
}

// Relay implements membership.Transport.
func (c *Client) Relay(ctx context.Context, via *peerrpc.Member, target string) (bool, error) {
	reply, err := call(ctx, c.peer(via.GetControlAddress()), &peerrpc.RelayRequest{Target: target}, peerrpc.Peer.Relay)
	if err != nil {
		return false, fmt.Errorf("link: relay: %w", err)
	}
	return reply.GetReached(), nil
}

// Synchronize implements membership.Transport.
func (c *Client) Synchronize(ctx context.Context, controlAddress string, g *peerrpc.Gossip, membersOnly bool) (*peerrpc.Gossip, error) {
	q := &peerrpc.SynchronizeRequest{Gossip: g, MembersOnly: membersOnly}
	reply, err := call(ctx, c.peer(controlAddress), q, peerrpc.Peer.Synchronize)
	if err != nil {
		return nil, fmt.Errorf("link: synchronize: %w", err)
	}
	return reply.GetGossip(), nil
}

// FetchConfiguration asks a node for what has changed after a generation.
func (c *Client) FetchConfiguration(ctx context.Context, from *peerrpc.Member, since uint64) (*peerrpc.FetchConfigurationResponse, error) {
	reply, err := call(ctx, c.peer(from.GetControlAddress()), &peerrpc.FetchConfigurationRequest{Since: since}, peerrpc.Peer.FetchConfiguration)
	if err != nil {
		return nil, fmt.Errorf("link: fetch configuration: %w", err)
	}
	return reply, nil
}

// Commit passes ledger records to another node.
func (c *Client) Commit(ctx context.Context, to *peerrpc.Member, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	q := &peerrpc.CommitRequest{Shard: shard, Entries: entries}
	reply, err := call(ctx, c.peer(to.GetControlAddress()), q, peerrpc.Peer.Commit)
	if err != nil {
		return nil, fmt.Errorf("link: commit: %w", err)
	}
	return reply.GetResults(), nil
}

// Accuse tells another node of a suspect and returns what it knows.
func (c *Client) Accuse(ctx context.Context, to *peerrpc.Member, q *peerrpc.AccuseRequest) (*peerrpc.AccuseResponse, error) {
	reply, err := call(ctx, c.peer(to.GetControlAddress()), q, peerrpc.Peer.Accuse)
	if err != nil {
		return nil, fmt.Errorf("link: accuse: %w", err)
	}
	return reply, nil
}
