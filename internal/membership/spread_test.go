package membership_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
)

// httpBytes is the approximate size in bytes of the HTTP headers of a call and its
// response.
const httpBytes = 450

// network connects nodes in memory and counts their calls and bytes.
type network struct {
	mu    sync.RWMutex
	nodes map[string]*testNode
	// cut holds pairs "from>to" of nodes that can't reach each other.
	cut map[string]bool
	// silent makes a lost heartbeat block until its sender's timeout.
	silent bool
	bytes  atomic.Int64
	calls  atomic.Int64
}

type testNode struct {
	name    string
	network *network
	table   *membership.Table
	agent   *membership.Agent
	holder  *publication.Holder
	inForce atomic.Int64
	stop    context.CancelFunc
}

var errLost = errors.New("lost")

func (n *network) reach(from, to string) (*testNode, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	node := n.nodes[to]
	if node == nil || n.cut[from+">"+to] || n.cut[to+">"+from] {
		return nil, errLost
	}
	return node, nil
}

// reachOrWait is reach, but if silent is set it waits until ctx ends before it
// returns an error.
func (n *network) reachOrWait(ctx context.Context, from, to string) (*testNode, error) {
	node, err := n.reach(from, to)
	if err != nil && n.silent {
		<-ctx.Done()
	}
	return node, err
}

func (n *network) countCall(messages ...proto.Message) {
	n.calls.Add(1)
	n.bytes.Add(httpBytes)
	for _, m := range messages {
		n.bytes.Add(int64(proto.Size(m)))
	}
}

// transport implements membership.Transport for one node of a network.
type transport struct {
	self *testNode
}

func (t transport) Exchange(ctx context.Context, to *peerrpc.Member, g *peerrpc.Gossip) (*peerrpc.Gossip, error) {
	peer, err := t.self.network.reachOrWait(ctx, t.self.name, to.GetName())
	if err != nil {
		return nil, err
	}
	reply := peer.agent.HandleExchange(g)
	t.self.network.countCall(g, reply)
	return reply, nil
}

func (t transport) Relay(ctx context.Context, via *peerrpc.Member, target string) (bool, error) {
	peer, err := t.self.network.reach(t.self.name, via.GetName())
	if err != nil {
		return false, err
	}
	t.self.network.countCall()
	return peer.agent.HandleRelay(ctx, target), nil
}

func (t transport) Synchronize(_ context.Context, address string, g *peerrpc.Gossip, membersOnly bool) (*peerrpc.Gossip, error) {
	peer, err := t.self.network.reach(t.self.name, address)
	if err != nil {
		return nil, err
	}
	reply := peer.agent.HandleSynchronize(g, membersOnly)
	t.self.network.countCall(g, reply)
	return reply, nil
}

// startNode adds a node and runs it.
func (n *network) startNode(name string, incarnation uint64, interval time.Duration) *testNode {
	node := &testNode{name: name, network: n, holder: publication.NewHolder()}
	self := &peerrpc.Member{Name: name, Address: "10.0.0.1:8001", ControlAddress: name, DataCentre: "dc-1", Incarnation: incarnation}
	node.table = membership.NewTable(self, membership.TableOptions{SuspicionTimeout: 2 * interval})
	node.table.MarkServing()
	node.holder.OnChange(func(s publication.State) {
		node.inForce.Store(time.Now().UnixNano())
		node.table.SetGeneration(s.Document.Generation)
	})
	node.agent = membership.NewAgent(node.table, transport{node}, membership.AgentOptions{
		Now:               time.Now,
		HeartbeatInterval: interval,
		OnGeneration:      func(from *peerrpc.Member, _ uint64) { node.fetch(from.GetName()) },
	})
	n.mu.Lock()
	n.nodes[name] = node
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	node.stop = cancel
	go node.agent.Run(ctx)
	return node
}

// fetch fetches and applies a peer's newer configuration.
func (t *testNode) fetch(from string) {
	peer, err := t.network.reach(t.name, from)
	if err != nil {
		return
	}
	state := peer.holder.Current()
	delta := state.Document.Since(t.holder.Generation())
	raw, _ := json.Marshal(delta)
	t.network.countCall()
	t.network.bytes.Add(int64(len(raw)))
	_, _ = t.holder.OfferDelta(delta, state.Digest)
}

// newNetwork returns a network of nodes that join one after the other.
func newNetwork(nodes int, interval time.Duration) (*network, []*testNode) {
	n := &network{nodes: make(map[string]*testNode), cut: make(map[string]bool)}
	var list []*testNode
	for i := range nodes {
		node := n.startNode(fmt.Sprintf("node-%03d", i), 1, interval)
		if i > 0 {
			node.agent.Join(context.Background(), []string{list[0].name, list[i/2].name})
		}
		list = append(list, node)
	}
	return n, list
}

func (n *network) stopAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.nodes {
		node.stop()
	}
}

// kill removes a node that has not announced that it leaves.
func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[name].stop()
	delete(n.nodes, name)
}

// eventually waits until the condition holds and returns how long that took.
func eventually(t testing.TB, what string, condition func() bool) time.Duration {
	t.Helper()
	const timeLimit = 30 * time.Second
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeLimit {
			t.Fatalf("condition not met within %s: %s", timeLimit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(started)
}

// allServe reports whether each node of the list sees the wanted number of live
// members.
func allServe(list []*testNode, want int) bool {
	for _, node := range list {
		if len(node.table.Serving()) != want {
			return false
		}
	}
	return true
}

// newDocument returns a configuration of n organisations.
func newDocument(n int) contract.Document {
	var change contract.Change
	for i := range n {
		o := contract.Organisation{Name: fmt.Sprintf("organisation-%d", i), Share: 1, KeyHashes: []string{contract.HashKey(fmt.Sprint("key ", i))}}
		raw, _ := json.Marshal(o)
		change.Upserts = append(change.Upserts, contract.Object{Kind: contract.KindOrganisation, Name: o.Name, Spec: raw})
	}
	d, _ := contract.Document{}.WithChange(change)
	return d
}

// withShare returns the document with another share for its first organisation.
func withShare(d contract.Document, share int) contract.Document {
	o := contract.Organisation{Name: "organisation-0", Share: share, KeyHashes: []string{contract.HashKey("key 0")}}
	raw, _ := json.Marshal(o)
	next, _ := d.WithChange(contract.Change{Upserts: []contract.Object{{Kind: contract.KindOrganisation, Name: o.Name, Spec: raw}}})
	return next
}

// TestMembership covers nodes that are killed, leave, come back or are cut off,
// and the spread of configurations.
func TestMembership(t *testing.T) {
	const nodes, interval = 9, 50 * time.Millisecond
	tests := map[string]func(t *testing.T, n *network, list []*testNode){
		"killed node is not returned as serving": func(t *testing.T, n *network, list []*testNode) {
			n.kill(list[3].name)
			took := eventually(t, "the others drop it", func() bool { return allServe(append(slices.Clone(list[:3]), list[4:]...), nodes-1) })
			t.Logf("dropped after %s", took)
		},
		"leaving node is not returned as serving": func(t *testing.T, _ *network, list []*testNode) {
			list[3].table.MarkLeaving()
			eventually(t, "all drop it", func() bool { return allServe(list, nodes-1) })
		},
		"node comes back in a new incarnation": func(t *testing.T, n *network, list []*testNode) {
			n.kill(list[3].name)
			eventually(t, "the others drop it", func() bool { return allServe(list[:3], nodes-1) })
			list[3] = n.startNode(list[3].name, 2, interval)
			list[3].agent.Join(context.Background(), []string{list[0].name})
			eventually(t, "all list it again", func() bool { return allServe(list, nodes) })
			if !list[0].table.Live(list[3].name, 2) || list[0].table.Live(list[3].name, 1) {
				t.Error("the old incarnation counts as live")
			}
		},
		"one broken link makes no node dead": func(t *testing.T, n *network, list []*testNode) {
			n.mu.Lock()
			n.cut[list[0].name+">"+list[1].name] = true
			n.mu.Unlock()
			time.Sleep(20 * interval)
			if !allServe(list, nodes) {
				t.Error("a node was dropped because of one broken link")
			}
		},
		"node that was cut off refutes its death": func(t *testing.T, n *network, list []*testNode) {
			n.mu.Lock()
			for _, other := range list {
				n.cut[list[3].name+">"+other.name] = true
			}
			n.mu.Unlock()
			eventually(t, "both sides consider the other dead", func() bool {
				return allServe(list[:3], nodes-1) && len(list[3].table.Reachable()) == 1 && len(list[0].table.Reachable()) == nodes-1
			})
			n.mu.Lock()
			n.cut = make(map[string]bool)
			n.mu.Unlock()
			eventually(t, "all list it again", func() bool { return allServe(list, nodes) })
		},
		"configuration reaches all and never reverts": func(t *testing.T, _ *network, list []*testNode) {
			d := newDocument(20)
			for share := 2; share < 12; share++ {
				d = withShare(d, share)
				if _, err := list[share%nodes].holder.Offer(d); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "all have it in force", func() bool {
				return !slices.ContainsFunc(list, func(n *testNode) bool { return n.holder.Generation() != d.Generation })
			})
			old := newDocument(20)
			for _, n := range list {
				if applied, _ := n.holder.Offer(old); applied {
					t.Error("a node applied an older generation")
				}
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, list := newNetwork(nodes, interval)
			defer n.stopAll()
			eventually(t, "all see all", func() bool { return allServe(list, nodes) })
			run(t, n, list)
		})
	}
}

// TestDropTime removes one of nine nodes, with the default heartbeat interval.
// Heartbeats to it block until their timeout, as with a failed host. The others
// must stop returning it as serving within 2 s. It runs 50 times in virtual time.
func TestDropTime(t *testing.T) {
	for name, remove := range map[string]func(n *network, node *testNode){
		"killed":  func(n *network, node *testNode) { n.kill(node.name) },
		"leaving": func(_ *network, node *testNode) { node.table.MarkLeaving() },
	} {
		t.Run(name, func(t *testing.T) {
			var slowest time.Duration
			for range 50 {
				synctest.Test(t, func(t *testing.T) { slowest = max(slowest, dropTime(t, remove)) })
			}
			t.Logf("dropped by all after %s at most", slowest)
			if slowest > 2*time.Second {
				t.Errorf("dropped by all after %s, want at most 2s", slowest)
			}
		})
	}
}

// dropTime removes one node and returns the time until all others dropped it.
func dropTime(t *testing.T, remove func(n *network, node *testNode)) time.Duration {
	const nodes, interval = 9, 500 * time.Millisecond
	n, list := newNetwork(nodes, interval)
	n.silent = true
	defer n.stopAll()
	eventually(t, "all see all", func() bool { return allServe(list, nodes) })
	time.Sleep(time.Duration(rand.Int64N(int64(2 * interval))))
	remove(n, list[4])
	others := append(slices.Clone(list[:4]), list[5:]...)
	return eventually(t, "the others drop it", func() bool { return allServe(others, nodes-1) })
}

// TestSpreadToHundreds publishes a change on one of 200 nodes. It must be in
// force on all of them within the users' limit of 14 s.
func TestSpreadToHundreds(t *testing.T) {
	const nodes = 200
	n, list := newNetwork(nodes, time.Second)
	defer n.stopAll()
	eventually(t, "all see all", func() bool { return allServe(list, nodes) })
	times := measureSpread(t, list, newDocument(100))
	t.Logf("p50 %s, p99 %s, max %s", times[nodes/2], times[nodes*99/100], times[nodes-1])
	if last := times[nodes-1]; last > 14*time.Second {
		t.Errorf("in force everywhere after %s, want at most 14s", last)
	}
}

// measureSpread offers a document to the first node and returns, sorted, the time
// until it was in force on each node.
func measureSpread(t testing.TB, list []*testNode, d contract.Document) []time.Duration {
	started := time.Now()
	if _, err := list[0].holder.Offer(d); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all have it in force", func() bool {
		return !slices.ContainsFunc(list, func(n *testNode) bool { return n.holder.Generation() != d.Generation })
	})
	var times []time.Duration
	for _, n := range list {
		times = append(times, time.Unix(0, n.inForce.Load()).Sub(started))
	}
	slices.Sort(times)
	return times
}

// BenchmarkSlopeSpread reports for several numbers of nodes the time until a
// change is in force everywhere, and the bytes that a node sends while nothing
// changes and for one change.
func BenchmarkSlopeSpread(b *testing.B) {
	for _, nodes := range []int{9, 50, 100, 200, 400} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			n, list := newNetwork(nodes, time.Second)
			defer n.stopAll()
			eventually(b, "all see all", func() bool { return allServe(list, nodes) })
			time.Sleep(25 * time.Second)
			d := newDocument(100)
			_ = measureSpread(b, list, d)
			var idle, perChange float64
			var p50, p99, slowest time.Duration
			for b.Loop() {
				time.Sleep(3 * time.Second)
				before, started := n.bytes.Load(), time.Now()
				time.Sleep(5 * time.Second)
				idle = float64(n.bytes.Load()-before) / time.Since(started).Seconds() / float64(nodes)
				d = withShare(d, 2+int(d.Generation)%900)
				before, started = n.bytes.Load(), time.Now()
				times := measureSpread(b, list, d)
				time.Sleep(time.Second)
				perChange = float64(n.bytes.Load()-before)/float64(nodes) - idle*time.Since(started).Seconds()
				p50, p99, slowest = times[nodes/2], times[nodes*99/100], times[nodes-1]
			}
			b.ReportMetric(idle, "idle_B/s/node")
			b.ReportMetric(perChange, "B/change/node")
			b.ReportMetric(p50.Seconds()*1e3, "in_force_p50_ms")
			b.ReportMetric(p99.Seconds()*1e3, "in_force_p99_ms")
			b.ReportMetric(slowest.Seconds()*1e3, "in_force_max_ms")
		})
	}
}
