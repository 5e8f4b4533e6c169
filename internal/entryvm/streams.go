package entryvm

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
)

const (
	streamsPath = "/v1/streams"
	// maxStreamsBytes limits a question for a stream and its answer.
	maxStreamsBytes = 16 << 10
)

// newStreamsClient returns the client that asks other VMs for streams. Each question has a
// connection of its own: there is no time to find out that a kept one has fallen silent.
func newStreamsClient() *http.Client {
	return &http.Client{Timeout: peerTimeout, Transport: exchange.Transport{RoundTripper: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxPeerHeadBytes}}}
}

func (v *VM) buildStreams() {
	v.streamsClient = newStreamsClient()
	started, booted := v.opts.Now(), v.opts.Boot()
	v.streams = lineage.NewAgent(lineage.AgentOptions{
		Now: v.opts.Now, AwakeNow: func() time.Time { return started.Add(v.opts.Boot() - booted) }, Peers: v.streamPeers, Ask: v.askForStream, Log: v.log,
		Send: func(vm string, facts []lineage.Fact) { v.beacon.SendStreams(v.settings.Name, vm, facts) },
	})
}

// streamPeers returns the other VMs that run and don't stop.
func (v *VM) streamPeers(now time.Time) []lineage.Peer {
	alive := v.beacon.Alive(now)
	peers := make([]lineage.Peer, 0, len(alive))
	for _, p := range alive {
		if p.State != beacon.Leaving {
			peers = append(peers, lineage.Peer{Name: p.Name, Incarnation: p.Incarnation})
		}
	}
	return peers
}

// askForStream asks another VM at its control address which build began a stream.
func (v *VM) askForStream(ctx context.Context, vm string, q lineage.Question) (lineage.Answer, error) {
	var out lineage.Answer
	control := v.beacon.Control(vm)
	if control == "" {
		return out, errUnknownVM
	}
	raw, err := json.Marshal(q)
	if err != nil {
		return out, fmt.Errorf("entryvm: streams: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+streamsPath, bytes.NewReader(raw))
	if err != nil {
		return out, fmt.Errorf("entryvm: streams: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := v.streamsClient.Do(r)
	if err != nil {
		return out, fmt.Errorf("entryvm: streams: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return out, nil // an older build knows no streams
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("entryvm: streams: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStreamsBytes)).Decode(&out); err != nil {
		return out, fmt.Errorf("entryvm: streams: %w", err)
	}
	return out, nil
}

// serveStreams answers other VMs' questions for streams.
func (v *VM) serveStreams(w http.ResponseWriter, r *http.Request) {
	var q lineage.Question
	if err := json.NewDecoder(io.LimitReader(r.Body, maxStreamsBytes)).Decode(&q); err != nil {
		http.Error(w, "want a question for a stream as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, v.streams.Handle(v.opts.Now(), q))
}

// receiveStreams records what another VM has sent of streams.
func (v *VM) receiveStreams(now time.Time, m beacon.Message) { v.streams.Learn(now, m.Streams) }

// updateBuilds records which builds serve each service.
func (v *VM) updateBuilds(now time.Time) {
	serving := make(map[string][]string)
	for _, u := range v.upstreams.All() {
		serving[u.Service] = append(serving[u.Service], u.Build)
	}
	v.streams.UpdateBuilds(now, serving, v.knowsAllUpstreams(now))
	status := v.streams.Status(now)
	metrics.GetOrRegisterGauge("streams_known", v.metrics).Update(int64(status.Streams))
	metrics.GetOrRegisterGauge("streams_open", v.metrics).Update(int64(status.Open))
}

// knowsAllUpstreams reports whether this VM knows of all upstreams that any VM knows,
// but for the delay with which news spread: it watches the store itself, or receives
// beacons of a VM that does, and lacks no change that a peer has. A VM that receives
// no beacons of half of the others is cut off and may not have noticed that its calls
// to the store hang.
func (v *VM) knowsAllUpstreams(now time.Time) bool {
	alive := v.beacon.Alive(now)
	if v.upstreamFollower.Revision() == 0 || !v.upstreamFollower.Healthy() || 2*(len(alive)+1) <= v.beacon.KnownCount() {
		return false
	}
	own := v.upstreamFollower.Position()
	watched := v.shouldWatch(now) || v.watchers.Watched(now)
	for _, p := range alive {
		_, theirs, _ := p.Revisions.Positions()
		if own.Before(theirs) {
			return false
		}
	}
	return watched
}

// countedStreams logs and counts what becomes of streams.
type countedStreams struct{ *VM }

var _ lineage.Streams = countedStreams{}

// Resolve implements lineage.Streams.
func (v countedStreams) Resolve(ctx context.Context, now time.Time, q lineage.Query) lineage.Resolution {
	r := v.streams.Resolve(ctx, now, q)
	if r.Action == lineage.Any {
		return r
	}
	metrics.GetOrRegisterCounter("streams_taken_up."+string(r.Action)+"_"+string(r.Source), v.metrics).Inc(1)
	v.log.Info().Str("resumes", q.Stream).Str("organisation", q.Organisation).Str("action", string(r.Action)).Str("known", string(r.Source)).
		Str("peer", r.Peer).Str("service", r.Service).Str("build", r.Build).Int("asked", r.Asked).Int("answered", r.Answered).
		Dur("retry_after", r.RetryAfter).Int64("took_ms", v.opts.Now().Sub(now).Milliseconds()).Msg("stream taken up")
	return r
}

// Begin implements lineage.Streams.
func (v countedStreams) Begin(now time.Time, s lineage.Stream, build string) {
	v.streams.Begin(now, s, build)
	v.log.Info().Str("stream", s.ID).Str("organisation", s.Organisation).Str("service", s.Service).Str("build", build).Msg("stream begun")
	metrics.GetOrRegisterCounter("streams_begun", v.metrics).Inc(1)
}

// End implements lineage.Streams.
func (v countedStreams) End(now time.Time, s lineage.Stream) { v.streams.End(now, s) }
