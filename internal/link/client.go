// Package link provides the client and the handler for calls between the nodes of
// a fleet, over Twirp.
//
// # Usage
//
//	client := link.NewClient(link.ClientOptions{Token: token})
//	reply, err := client.Exchange(ctx, member, gossip)
//
//	http.Handle(link.PathPrefix, link.NewHandler(handlers, token))
//
// A Client is safe for concurrent use. All calls are safe to retry.
package link

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/connend"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

const (
	dialTimeout    = 300 * time.Millisecond
	idleTimeout    = 10 * time.Second
	maxIdlePerPeer = 2
	// maxPeers is the maximum number of cached peerClients. All are removed when it
	// is reached.
	maxPeers = 4096
	// maxHeadBytes and maxReplyBytes limit a response.
	maxHeadBytes  = 16 << 10
	maxReplyBytes = 16 << 20
	bearerScheme  = "Bearer"
)

// ClientOptions configures a Client. The zero value is for nodes without a token.
type ClientOptions struct {
	// Token is the bearer token for calls between nodes.
	Token string
}

// Client calls other nodes. A call that fails on a pooled connection is retried
// once on a new one, because a pooled connection may have stopped carrying data
// without being closed.
type Client struct {
	// pooled reuses connections. fresh opens a connection for each call.
	pooled *http.Client
	fresh  *http.Client

	mu    sync.Mutex
	peers map[string]peerClients
}

type peerClients struct {
	pooled peerrpc.Peer
	fresh  peerrpc.Peer
}

// NewClient returns a Client.
func NewClient(opts ClientOptions) *Client {
	dial := connend.DialFunc((&net.Dialer{Timeout: dialTimeout}).DialContext).DialContext
	pooled := &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: maxIdlePerPeer, MaxResponseHeaderBytes: maxHeadBytes}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{
		pooled: &http.Client{Transport: tokenTransport{token: opts.Token, next: exchange.Transport{RoundTripper: pooled}}},
		fresh:  &http.Client{Transport: tokenTransport{token: opts.Token, next: exchange.Transport{RoundTripper: fresh}}},
		peers:  make(map[string]peerClients),
	}
}

type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerScheme+" "+t.token)
	resp, err := t.next.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxReplyBytes)
	}
	return resp, err
}

func (c *Client) clientsFor(address string) peerClients {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, found := c.peers[address]
	if found {
		return p
	}
	if len(c.peers) >= maxPeers {
		clear(c.peers)
	}
	p = peerClients{
		pooled: peerrpc.NewPeerProtobufClient("http://"+address, c.pooled),
		fresh:  peerrpc.NewPeerProtobufClient("http://"+address, c.fresh),
	}
	c.peers[address] = p
	return p
}

// callWithRetry sends a request on a pooled connection with half of the time until
// the deadline. If that fails, it sends the request on a new connection.
func callWithRetry[Q, R any](ctx context.Context, p peerClients, q Q, f func(peerrpc.Peer, context.Context, Q) (R, error)) (R, error) {
	firstCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		halfCtx, cancel := context.WithTimeout(ctx, time.Until(deadline)/2)
		defer cancel()
		firstCtx = halfCtx
	}
	r, err := f(p.pooled, firstCtx, q)
	if err == nil || ctx.Err() != nil {
		return r, err
	}
	return f(p.fresh, ctx, q)
}

// Exchange implements membership.Transport.
func (c *Client) Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error) {
	reply, err := callWithRetry(ctx, c.clientsFor(to.GetControlAddress()), &peerrpc.ExchangeRequest{Gossip: g}, peerrpc.Peer.Exchange)
	if err != nil {
		return nil, fmt.Errorf("link: exchange: %w", err)
	}
	return reply.GetGossip(), nil
}

// Relay implements membership.Transport.
func (c *Client) Relay(ctx context.Context, via *peerrpc.Member, target string) (bool, error) {
	reply, err := callWithRetry(ctx, c.clientsFor(via.GetControlAddress()), &peerrpc.RelayRequest{Target: target}, peerrpc.Peer.Relay)
	if err != nil {
		return false, fmt.Errorf("link: relay: %w", err)
	}
	return reply.GetReached(), nil
}

// Synchronize implements membership.Transport.
func (c *Client) Synchronize(ctx context.Context, controlAddress string, g *peerrpc.Gossip, membersOnly bool) (*peerrpc.Gossip, error) {
	q := &peerrpc.SynchronizeRequest{Gossip: g, MembersOnly: membersOnly}
	reply, err := callWithRetry(ctx, c.clientsFor(controlAddress), q, peerrpc.Peer.Synchronize)
	if err != nil {
		return nil, fmt.Errorf("link: synchronize: %w", err)
	}
	return reply.GetGossip(), nil
}

// FetchConfiguration returns the changes of a node's configuration since a
// generation.
func (c *Client) FetchConfiguration(ctx context.Context, from *peerrpc.Member, since uint64) (*peerrpc.FetchConfigurationResponse, error) {
	reply, err := callWithRetry(ctx, c.clientsFor(from.GetControlAddress()), &peerrpc.FetchConfigurationRequest{Since: since}, peerrpc.Peer.FetchConfiguration)
	if err != nil {
		return nil, fmt.Errorf("link: fetch configuration: %w", err)
	}
	return reply, nil
}

// Commit sends ledger entries of a shard to another node and returns one result
// for each entry.
func (c *Client) Commit(ctx context.Context, to *peerrpc.Member, shard uint32, entries []*peerrpc.Entry) ([]*peerrpc.CommitResult, error) {
	q := &peerrpc.CommitRequest{Shard: shard, Entries: entries}
	reply, err := callWithRetry(ctx, c.clientsFor(to.GetControlAddress()), q, peerrpc.Peer.Commit)
	if err != nil {
		return nil, fmt.Errorf("link: commit: %w", err)
	}
	return reply.GetResults(), nil
}

// Accuse sends the crashes and the trial of a suspect request to another node. It
// returns the crashes and trials that the other node knows.
func (c *Client) Accuse(ctx context.Context, to *peerrpc.Member, q *peerrpc.AccuseRequest) (*peerrpc.AccuseResponse, error) {
	reply, err := callWithRetry(ctx, c.clientsFor(to.GetControlAddress()), q, peerrpc.Peer.Accuse)
	if err != nil {
		return nil, fmt.Errorf("link: accuse: %w", err)
	}
	return reply, nil
}
