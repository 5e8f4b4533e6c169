// Package health probes the upstreams and records their state in an
// upstream.Table. Each upstream is probed by two nodes, which rendezvous hashing
// chooses from the membership. The probing nodes announce changes to the others.
//
// # Usage
//
//	watcher := health.NewWatcher(health.Options{Node: "node-1", Members: members, ...})
//	go watcher.Run(ctx)
//
// A Watcher must be used from one goroutine only.
//
// On the users' platform upstreams are not probed. There package selection records in a
// Drains what their responses announce.
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

// FactKind is the gossip fact kind under which watchers announce observations.
const FactKind = "upstream"

const (
	watchersPerUpstream = 2
	// failuresUntilDown is the number of consecutive failed probes after which an
	// upstream is down.
	failuresUntilDown    = 2
	maxParallelProbes    = 64
	defaultProbeInterval = 500 * time.Millisecond
	// probeBytes is the approximate network traffic of one probe.
	probeBytes = 700
	// probeBytesPerSecond limits the probe traffic of a node for the upstreams
	// beyond exemptProbes.
	probeBytesPerSecond = 2_500
	// exemptProbes is the number of upstreams whose probes do not count towards the
	// limit, so that small fleets detect changes quickly.
	exemptProbes = 20
)

// Observation is a report on an upstream, as a watcher announces it to the fleet.
type Observation struct {
	Watcher string          `json:"watcher"`
	Report  upstream.Report `json:"report"`
}

// DecodeObservation decodes the value of a fact of kind FactKind.
func DecodeObservation(raw []byte) (Observation, error) {
	var o Observation
	err := json.Unmarshal(raw, &o)
	return o, err
}

// Options configures a Watcher. All fields except ProbeInterval are required.
type Options struct {
	Node      string
	Now       func() time.Time
	Client    upstream.Client
	Upstreams *upstream.Table
	// Members returns the names of the nodes that share the upstreams among them.
	Members func() []string
	// Announce sends a changed observation to the fleet. It is called concurrently.
	Announce func(now time.Time, upstream string, o Observation)
	// ProbeInterval is the minimum time between two probes of an upstream. The
	// default is 500 ms.
	ProbeInterval time.Duration
}

// Watcher probes the upstreams that are assigned to this node.
type Watcher struct {
	opts Options
	// members are the members for which assignment was computed.
	members []string
	// assignment maps the name of an upstream to whether this node probes it.
	assignment map[string]bool
	// mu protects failures, which concurrent probes update.
	mu sync.Mutex
	// failures maps the name of an upstream to its consecutive failed probes.
	failures map[string]int
}

// NewWatcher returns a Watcher.
func NewWatcher(opts Options) *Watcher {
	if opts.ProbeInterval <= 0 {
		opts.ProbeInterval = defaultProbeInterval
	}
	return &Watcher{opts: opts, assignment: make(map[string]bool), failures: make(map[string]int)}
}

// Ranking orders the members for a key by rendezvous hashing. The members are
// hashed once, for any number of keys. It is immutable.
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

// First returns the first n members for a key, in order, or all members if there
// are fewer. Its running time is proportional to n times the number of members.
func (r Ranking) First(key string, n int) []string {
	keyHash := prefix.Hash(key)
	chosen := make([]string, 0, n)
	for range min(n, len(r.members)) {
		best, weight := "", uint64(0)
		for i, m := range r.members {
			w := prefix.Weight(keyHash, r.hashes[i])
			better := best == "" || w > weight || w == weight && m < best
			if better && !slices.Contains(chosen, m) {
				best, weight = m, w
			}
		}
		chosen = append(chosen, best)
	}
	return chosen
}

// Run probes the assigned upstreams in rounds until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for {
		assigned := w.assignedUpstreams()
		w.probeAll(ctx, assigned)
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundInterval(w.opts.ProbeInterval, len(assigned))):
		}
	}
}

// roundInterval returns the time between two rounds of probes. It is longer than
// minInterval if the node watches so many upstreams that their probes would exceed
// probeBytesPerSecond.
func roundInterval(minInterval time.Duration, watched int) time.Duration {
	extra := max(0, watched-exemptProbes)
	trafficInterval := time.Duration(extra) * time.Second * probeBytes / probeBytesPerSecond
	return max(minInterval, trafficInterval)
}

// assignedUpstreams returns the upstreams that are assigned to this node. The
// assignment is cached until the members change.
func (w *Watcher) assignedUpstreams() []upstream.Status {
	if members := w.opts.Members(); !slices.Equal(members, w.members) {
		w.members = members
		w.assignment = make(map[string]bool)
	}
	ranking := NewRanking(w.members)
	var assigned []upstream.Status
	for _, s := range w.opts.Upstreams.Statuses() {
		isAssigned, known := w.assignment[s.Name]
		if !known {
			isAssigned = slices.Contains(ranking.First(s.Name, watchersPerUpstream), w.opts.Node)
			w.assignment[s.Name] = isAssigned
		}
		if isAssigned {
			assigned = append(assigned, s)
		}
	}
	return assigned
}

func (w *Watcher) probeAll(ctx context.Context, list []upstream.Status) {
	slots := make(chan struct{}, maxParallelProbes)
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
		if !w.recordFailure(s.Name) {
			return
		}
		report = s.Report.WithState(upstream.StateDown)
	} else {
		w.recordSuccess(s.Name)
	}
	if w.opts.Upstreams.Observe(now, upstream.SourceProbe, s.Name, report) {
		w.opts.Announce(now, s.Name, Observation{Watcher: w.opts.Node, Report: report})
	}
}

func (w *Watcher) recordFailure(name string) (down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[name]++
	return w.failures[name] >= failuresUntilDown
}

func (w *Watcher) recordSuccess(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failures, name)
}
