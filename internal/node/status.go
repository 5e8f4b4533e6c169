package node

import (
	"net/http"
	"runtime"
	"strings"

	"github.com/hibiscuscove/hibiscuscove/internal/admin"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

var _ admin.Node = (*Node)(nil)

// Ready implements admin.Node.
func (n *Node) Ready() bool { return n.ready.Load() && n.configuration.Generation() > 0 }

// Status implements admin.Node.
func (n *Node) Status(r *http.Request, fleet bool) admin.Status {
	generations := map[string]uint64{n.settings.Name: n.configuration.Generation()}
	if fleet {
		generations = n.follower.Generations(r.Context())
	}
	s := admin.Status{
		Node:       n.settings.Name,
		Generation: n.configuration.Generation(),
		Ready:      n.Ready(),
		Leaving:    n.leaving.Load(),
	}
	for _, m := range n.members.Members() {
		s.Members = append(s.Members, admin.Member{
			Name:       m.GetName(),
			Address:    m.GetAddress(),
			DataCentre: m.GetDataCentre(),
			State:      stateName(m.GetState()),
			Generation: generations[m.GetName()],
		})
	}
	for _, u := range n.upstreams.Statuses() {
		s.Upstreams = append(s.Upstreams, admin.Upstream{
			Name:           u.Name,
			Pool:           u.Pool,
			DataCentre:     u.DataCentre,
			State:          string(u.Report.State),
			WeightsVersion: u.Report.WeightsVersion,
			InFlight:       u.InFlight,
		})
	}
	for _, e := range n.quarantine.Entries(n.opts.Now()) {
		if e.Quarantined {
			s.Quarantined++
		}
	}
	return s
}

// stateName returns a member's state without the prefix of the protobuf enum, in
// lower case.
func stateName(s peerrpc.MemberState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "MEMBER_STATE_"))
}

// dump is a snapshot of a node's state for operators.
type dump struct {
	Settings    settings.Settings         `json:"settings"`
	Incarnation uint64                    `json:"incarnation"`
	Generation  uint64                    `json:"generation"`
	Digest      uint64                    `json:"digest"`
	Leaving     bool                      `json:"leaving"`
	Members     []dumpMember              `json:"members"`
	Facts       int                       `json:"facts"`
	Upstreams   []upstream.Status         `json:"upstreams"`
	Quarantine  []quarantine.Entry        `json:"quarantine"`
	Gates       map[string]dumpGate       `json:"gates"`
	Ledger      any                       `json:"ledger"`
	Goroutines  int                       `json:"goroutines"`
	HeapBytes   uint64                    `json:"heap_bytes"`
	Metrics     map[string]map[string]any `json:"metrics"`
}

type dumpMember struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Address     string `json:"address"`
	Control     string `json:"control_address"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	Refutation  uint32 `json:"refutation"`
}

type dumpGate struct {
	Inside  int `json:"inside"`
	Waiting int `json:"waiting"`
}

// Dump implements admin.Node. Secrets in the settings have a type that masks them
// when the dump is encoded.
func (n *Node) Dump() any {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	d := dump{
		Settings:    n.settings,
		Incarnation: n.incarnation,
		Generation:  n.configuration.Generation(),
		Digest:      n.configuration.Current().Digest,
		Leaving:     n.leaving.Load(),
		Facts:       n.members.FactCount(),
		Upstreams:   n.upstreams.Statuses(),
		Quarantine:  n.quarantine.Entries(n.opts.Now()),
		Gates:       make(map[string]dumpGate),
		Ledger:      n.ledger.Status(),
		Goroutines:  runtime.NumGoroutine(),
		HeapBytes:   memory.HeapAlloc,
		Metrics:     n.Metrics(),
	}
	for _, m := range n.members.Members() {
		d.Members = append(d.Members, dumpMember{
			Name:        m.GetName(),
			State:       stateName(m.GetState()),
			Address:     m.GetAddress(),
			Control:     m.GetControlAddress(),
			DataCentre:  m.GetDataCentre(),
			Incarnation: m.GetIncarnation(),
			Refutation:  m.GetRefutation(),
		})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pool, g := range n.gates {
		inside, waiting := g.Load()
		d.Gates[pool] = dumpGate{Inside: inside, Waiting: waiting}
	}
	return d
}

// Metrics implements admin.Node.
func (n *Node) Metrics() map[string]map[string]any { return n.metrics.GetAll() }
