// Package crashreport shares what a node of package node knows of requests that
// crash upstreams: it announces crashes, trials and cleared requests to the other
// nodes, applies what they announce to the node's quarantine.Tracker, and archives
// quarantined requests for a restart of all nodes. Entry VMs use package suspect
// instead.
//
// # Usage
//
//	reporter := crashreport.NewReporter(crashreport.Options{Now: time.Now, Tracker: tracker, Members: members, ...})
//	members.OnFact(reporter.ApplyFact)
//	go reporter.Run(ctx, false)
//	reporter.AnnounceCrash(now, fingerprint, crash)
//
// A Reporter is safe for concurrent use.
package crashreport

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove/internal/membership"
	"github.com/hibiscuscove/hibiscuscove/internal/objectstore"
	"github.com/hibiscuscove/hibiscuscove/internal/peerrpc"
	"github.com/hibiscuscove/hibiscuscove/internal/quarantine"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
)

// The kinds of facts that nodes gossip about requests.
const (
	factCrash   = "death"
	factCleared = "absolved"
)

// retention is how long a crash or a cleared request is remembered.
const retention = time.Hour

// Transport calls another node. Its implementations are safe for concurrent use.
type Transport interface {
	// Accuse sends the crashes and the trial of a suspect request to a node and
	// returns what the node knows of them.
	Accuse(ctx context.Context, to *peerrpc.Member, q *peerrpc.AccuseRequest) (*peerrpc.AccuseResponse, error)
}

// Options sets up a Reporter. All fields but Log are required.
type Options struct {
	Now       func() time.Time
	Log       zerolog.Logger
	Store     objectstore.Store
	Tracker   *quarantine.Tracker
	Members   *membership.Table
	Transport Transport
}

// Reporter shares the content of one node's quarantine.Tracker.
type Reporter struct {
	opts Options

	mu sync.Mutex
	// own holds the fingerprints of the requests to which this node has attributed
	// a crash and that may still have to be archived.
	own map[string]bool
}

// NewReporter returns a Reporter.
func NewReporter(opts Options) *Reporter {
	return &Reporter{opts: opts, own: make(map[string]bool)}
}

// AnnounceTrial sends a request's trial and the crashes attributed to the request to
// every peer and adds the crashes that the peers know of. If a peer has another trial
// of the same request, the trial here ends. It reports whether the upstream is in use
// according to a peer. It returns when every peer has responded or its call has
// failed, which the end of ctx forces.
func (r *Reporter) AnnounceTrial(ctx context.Context, now time.Time, trial request.Trial) (upstreamInUse bool) {
	tracker := r.opts.Tracker
	q := &peerrpc.AccuseRequest{
		Fingerprint:        trial.Fingerprint,
		Deaths:             encodeCrashes(tracker.Crashes(trial.Fingerprint)),
		TrialHolder:        trial.Holder,
		TrialExpiresUnixMs: trial.Until.UnixMilli(),
		TrialUpstream:      trial.Upstream,
	}
	var inUse atomic.Bool
	r.opts.Members.ForEachPeer(func(m *peerrpc.Member) {
		reply, err := r.opts.Transport.Accuse(ctx, m, q)
		if err != nil {
			return
		}
		for _, d := range reply.GetDeaths() {
			tracker.AttributeCrash(now, trial.Fingerprint, decodeCrash(d))
		}
		if other := reply.GetTrialHolder(); other != "" && other != trial.Holder {
			tracker.EndTrial(trial.Fingerprint, trial.Holder)
		}
		if reply.GetUpstreamTaken() {
			inUse.Store(true)
		}
	})
	return inUse.Load()
}

// HandleAccuse answers a peer's AnnounceTrial.
func (r *Reporter) HandleAccuse(q *peerrpc.AccuseRequest) *peerrpc.AccuseResponse {
	now := r.opts.Now()
	tracker := r.opts.Tracker
	known := tracker.Crashes(q.GetFingerprint())
	for _, d := range q.GetDeaths() {
		tracker.AttributeCrash(now, q.GetFingerprint(), decodeCrash(d))
	}
	reply := &peerrpc.AccuseResponse{
		Deaths:        encodeCrashes(known),
		UpstreamTaken: !tracker.AvailableForTrial(now, q.GetTrialUpstream(), q.GetFingerprint()),
	}
	until := time.UnixMilli(q.GetTrialExpiresUnixMs())
	if !tracker.StartTrial(now, q.GetFingerprint(), q.GetTrialHolder(), q.GetTrialUpstream(), until) {
		reply.TrialHolder = tracker.TrialHolder(now, q.GetFingerprint())
	}
	return reply
}

func encodeCrashes(crashes []quarantine.Crash) []*peerrpc.Death {
	list := make([]*peerrpc.Death, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, &peerrpc.Death{
			Upstream:    c.Upstream,
			Incarnation: c.Incarnation,
			DataCentre:  c.DataCentre,
			AtUnixMs:    c.At.UnixMilli(),
		})
	}
	return list
}

func decodeCrash(d *peerrpc.Death) quarantine.Crash {
	return quarantine.Crash{
		Upstream:    d.GetUpstream(),
		Incarnation: d.GetIncarnation(),
		DataCentre:  d.GetDataCentre(),
		At:          time.UnixMilli(d.GetAtUnixMs()),
	}
}

// crashFact is the JSON value of a fact of kind factCrash.
type crashFact struct {
	Fingerprint string           `json:"fingerprint"`
	Crash       quarantine.Crash `json:"death"`
}

// AnnounceCrash gossips a crash under a request of this node as a fact.
func (r *Reporter) AnnounceCrash(now time.Time, fingerprint string, crash quarantine.Crash) {
	r.mu.Lock()
	r.own[fingerprint] = true
	r.mu.Unlock()
	raw, err := json.Marshal(crashFact{Fingerprint: fingerprint, Crash: crash})
	if err != nil {
		return
	}
	r.opts.Members.SetFact(now, factCrash, fingerprint+"/"+crash.Incarnation, raw, retention)
	r.opts.Log.Warn().Str("upstream", crash.Upstream).Str("fingerprint", fingerprint).Msg("upstream died under a request")
}

// AnnounceCleared gossips as a fact that a request is cleared of crashes.
func (r *Reporter) AnnounceCleared(now time.Time, fingerprint string) {
	r.opts.Members.SetFact(now, factCleared, fingerprint, nil, retention)
}

// ApplyFact applies a fact that a node has announced with AnnounceCrash or
// AnnounceCleared. It ignores facts of other kinds and facts that can't be decoded.
func (r *Reporter) ApplyFact(f *peerrpc.Fact) {
	switch f.GetKind() {
	case factCrash:
		var fact crashFact
		if err := json.Unmarshal(f.GetValue(), &fact); err != nil {
			return
		}
		r.opts.Tracker.AttributeCrash(r.opts.Now(), fact.Fingerprint, fact.Crash)
	case factCleared:
		r.opts.Tracker.Clear(time.UnixMilli(int64(f.GetVersion())), f.GetName())
	}
}
