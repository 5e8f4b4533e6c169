// Package health watches the upstreams. Each upstream is probed by a couple of
// nodes, computed from the membership; the others hear of changes from them.
//
// # Usage
//
//	watcher := health.NewWatcher(health.Options{Node: "node-1", Members: members, ...})
//	go watcher.Run(ctx)
//
// A Watcher is for one goroutine.
package health

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

// FactKind is the kind of the facts that watchers spread.
const FactKind = "upstream"

const (
	watchersPerUpstream = 2
	failuresToDown      = 2
	parallelProbes      = 64
	defaultPeriod       = 500 * time.Millisecond
	// probeBytes is about what one probe costs on the network.
	probeBytes = 700
	// probeBytesPerSecond bounds what all probes of a node cost.
	probeBytesPerSecond = 2_500
	// freeProbes are not bounded, so that small fleets learn quickly.
	freeProbes = 20
)

// Observation is what a watcher tells the fleet of an upstream.
type Observation struct {
	Watcher string          `json:"watcher"`
	Report  upstream.Report `json:"report"`
}

// DecodeObservation decodes the value of a fact.
func DecodeObservation(raw []byte) (Observation, error) {
	var n Observation
	err := json.Unmarshal(raw, &n)
	return n, err
}

// Options sets up a Watcher. All but ProbeInterval are required.
type Options struct {
	Node      string
	Now       func() time.Time
	Client    upstream.Client
	Upstreams *upstream.Table
	// Members returns the names of the nodes that share the watching.
	Members func() []string
	// Announce tells the fleet of a change.
	Announce func(now time.Time, upstream string, n Observation)
	// ProbeInterval is the least time between two probes of an upstream. The default is 500 ms.
	ProbeInterval time.Duration
}

// Watcher probes this node's share of the upstreams.
type Watcher struct {
	opts Options
	// members are those that share was computed for: whether an upstream is
	// among this node's.
	members  []string
	share    map[string]bool
	mu       sync.Mutex
	failures map[string]int
}

// NewWatcher returns a Watcher.
func NewWatcher(opts Options) *Watcher {
	if opts.ProbeInterval <= 0 {
		opts.ProbeInterval = defaultPeriod
	}
	return &Watcher{opts: opts, share: make(map[string]bool), failures: make(map[string]int)}
}

// Ranking computes which members do a duty, by rendezvous hashing. It hashes
// the members once for any number of duties. It is immutable.
type Ranking struct {
	members []string
	hashes  []uint64
}

// NewRanking returns a Ranking of the members.
func NewRanking(members []string) Ranking {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = prefix.Hash(m)
	}
	return Ranking{members: members, hashes: hashes}
}

// First returns the first n members for a duty, in order. It takes n times as
// long as a look at each member.
func (r Ranking) First(duty string, n int) []string {
	digest := prefix.Hash(duty)
	chosen := make([]string, 0, n)
	for range min(n, len(r.members)) {
		best, weight := "", uint64(0)
		for i, m := range r.members {
			w := prefix.Weight(digest, r.hashes[i])
			ahead := best == "" || w > weight || w == weight && m < best
			if ahead && !slices.Contains(chosen, m) {
				best, weight = m, w
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// Run probes until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		mine := w.mine()
		w.probeAll(ctx, mine)
		select {
		case <-ctx.Done():
			return
		case <-time.After(period(w.opts.ProbeInterval, len(mine))):
		}
	}
}

// period stretches the time between two rounds when a node watches so many
// upstreams that probes would cost too much.
func period(least time.Duration, watched int) time.Duration {
	extra := max(0, watched-freeProbes)
	cost := time.Duration(extra) * time.Second * probeBytes / probeBytesPerSecond
	return max(least, cost)
}

// mine returns this node's share of the upstreams. It is computed anew only
// when the members change.
func (w *Watcher) mine() []upstream.Status {
	if members := w.opts.Members(); !slices.Equal(members, w.members) {
		w.members = members
		w.share = make(map[string]bool)
	}
	ranking := NewRanking(w.members)
	var mine []upstream.Status
	for _, s := range w.opts.Upstreams.Statuses() {
		own, known := w.share[s.Name]
		if !known {
			own = slices.Contains(ranking.First(s.Name, watchersPerUpstream), w.opts.Node)
			w.share[s.Name] = own
		}
		if own {
			mine = append(mine, s)
		}
	}
	return mine
}

func (w *Watcher) probeAll(ctx context.Context, list []upstream.Status) {
	slots := make(chan struct{}, parallelProbes)
	var wg sync.WaitGroup
	for _, s := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			w.probe(ctx, s)
		})
	}
	wg.Wait()
}

func (w *Watcher) probe(ctx context.Context, s upstream.Status) {
	report, err := w.opts.Client.Probe(ctx, s.Address)
	if ctx.Err() != nil {
		return
	}
	now := w.opts.Now()
	if err != nil {
		if !w.failed(s.Name) {
			return
		}
		report = s.Report.WithState(upstream.StateDown)
	} else {
		w.succeeded(s.Name)
	}
	if w.opts.Upstreams.Observe(now, upstream.SourceProbe, s.Name, report) {
		w.opts.Announce(now, s.Name, Observation{Watcher: w.opts.Node, Report: report})
	}
}

func (w *Watcher) failed(name string) (down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[name]++
	return w.failures[name] >= failuresToDown
}

func (w *Watcher) succeeded(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failures, name)
}
