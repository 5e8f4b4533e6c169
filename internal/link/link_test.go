package link_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/link"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
)

// peer answers heartbeats and nothing else.
type peer struct {
	peerrpc.Peer
}

func (peer) Exchange(_ context.Context, q *peerrpc.ExchangeRequest) (*peerrpc.ExchangeResponse, error) {
	return &peerrpc.ExchangeResponse{Gossip: q.GetGossip()}, nil
}

// middlebox passes connections on, and can lose track of the open ones: they
// then carry nothing more, while new ones work.
type middlebox struct {
	net.Listener
	target string
	mu     sync.Mutex
	lost   []chan struct{}
}

func newMiddlebox(t *testing.T, target string) *middlebox {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &middlebox{Listener: l, target: target}
	t.Cleanup(func() { _ = l.Close() })
	go m.serve()
	return m
}

func (m *middlebox) serve() {
	for {
		in, err := m.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		lost := make(chan struct{})
		m.mu.Lock()
		m.lost = append(m.lost, lost)
		m.mu.Unlock()
		go pass(out, in, lost)
		go pass(in, out, lost)
	}
}

func pass(to io.Writer, from io.Reader, lost chan struct{}) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		select {
		case <-lost:
			continue
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (m *middlebox) loseTrack() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, lost := range m.lost {
		close(lost)
	}
	m.lost = nil
}

// TestSilentConnection has the connection between two nodes go silent. The
// call is answered on a new one, within its deadline.
func TestSilentConnection(t *testing.T) {
	const token = "token-between-nodes"
	server := httptest.NewServer(link.NewHandler(peer{}, token))
	defer server.CloseClientConnections()
	box := newMiddlebox(t, server.Listener.Addr().String())
	client := link.NewClient(link.ClientOptions{Token: token})
	to := &peerrpc.Member{ControlAddress: box.Addr().String()}
	for round := range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if _, err := client.Exchange(ctx, to, &peerrpc.Gossip{From: "a"}); err != nil {
			t.Errorf("round %d: %v", round, err)
		}
		cancel()
		if round%2 == 0 {
			box.loseTrack()
		}
	}
}

func TestToken(t *testing.T) {
	server := httptest.NewServer(link.NewHandler(peer{}, "right"))
	defer server.Close()
	for token, want := range map[string]bool{"right": true, "wrong": false, "": false} {
		client := link.NewClient(link.ClientOptions{Token: token})
		to := &peerrpc.Member{ControlAddress: server.Listener.Addr().String()}
		_, err := client.Exchange(context.Background(), to, &peerrpc.Gossip{})
		if got := err == nil; got != want {
			t.Errorf("token %q: %v", token, err)
		}
	}
	resp, err := http.Post(server.URL+link.PathPrefix+"Exchange", "application/json", nil)
	if err != nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("without a token: %v, %v", resp.Status, err)
	}
}
