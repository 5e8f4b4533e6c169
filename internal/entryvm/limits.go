package entryvm

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/hibiscuscove/hibiscuscove/internal/beacon"
	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
	"github.com/hibiscuscove/hibiscuscove/internal/keepalive"
	"github.com/hibiscuscove/hibiscuscove/internal/permit"
)

const (
	permitsPath = "/v1/permits"
	// maxPermitBytes limits a request for a permit and its response.
	maxPermitBytes = 4 << 10
	// maxPermitConns is the number of idle connections kept to each issuer.
	maxPermitConns = 8
	// maxPermitIdle is how long such a connection is kept. Issuers are asked twice a second.
	maxPermitIdle = 5 * time.Second
	// knownVMsPeriod is how long a VM that has started counts all VMs that the store
	// lists: it has not heard from all that run.
	knownVMsPeriod = 30 * time.Second
)

var errUnknownVM = errors.New("entryvm: the VM is not known any more")

// newPermitClient returns the client that asks other VMs for permits, which it does often
// while a limit is in force.
func newPermitClient() *http.Client {
	pooled := &http.Transport{MaxIdleConnsPerHost: maxPermitConns, IdleConnTimeout: maxPermitIdle, MaxResponseHeaderBytes: maxPeerHeadBytes}
	return &http.Client{Timeout: peerTimeout, Transport: exchange.Transport{RoundTripper: keepalive.Pool{Transport: pooled}}}
}

func (v *VM) buildLimits() {
	v.permitClient = newPermitClient()
	v.limits = permit.NewAgent(permit.AgentOptions{
		Name: v.settings.Name, Process: v.incarnation, Now: v.opts.Now, FleetSize: v.fleetSize,
		Candidates: v.issuerCandidates, Exchange: v.exchangePermit, Log: v.log,
	})
}

// fleetSize returns the number of VMs. VMs that have fallen silent lately are counted.
func (v *VM) fleetSize(now time.Time) int {
	n := v.beacon.KnownCount()
	if now.Sub(v.startedAt) < knownVMsPeriod {
		n = max(n, v.beacon.AddressCount())
	}
	return n
}

// issuerCandidates returns the names of the VMs that may issue permits.
func (v *VM) issuerCandidates(now time.Time) []string {
	var names []string
	if v.issuesPermits(now) {
		names = append(names, v.settings.Name)
	}
	for _, p := range v.beacon.Alive(now) {
		if p.IssuesPermits {
			names = append(names, p.Name)
		}
	}
	return names
}

func (v *VM) issuesPermits(now time.Time) bool { return v.ready() && v.limits.Joined(now) }

// exchangePermit sends a request for permits to another VM.
func (v *VM) exchangePermit(ctx context.Context, vm string, q permit.Request) (permit.Response, error) {
	control := ""
	for _, p := range v.beacon.Alive(v.opts.Now()) {
		if p.Name == vm {
			control = p.Control
		}
	}
	if control == "" {
		return permit.Response{}, errUnknownVM
	}
	raw, err := json.Marshal(q)
	if err != nil {
		return permit.Response{}, fmt.Errorf("entryvm: permits: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+control+permitsPath, bytes.NewReader(raw))
	if err != nil {
		return permit.Response{}, fmt.Errorf("entryvm: permits: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := v.permitClient.Do(r)
	if err != nil {
		metrics.GetOrRegisterCounter("permits.failed", v.metrics).Inc(1)
		return permit.Response{}, fmt.Errorf("entryvm: permits: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out permit.Response
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("entryvm: permits: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPermitBytes)).Decode(&out); err != nil {
		return out, fmt.Errorf("entryvm: permits: %w", err)
	}
	return out, nil
}

// servePermits serves requests of other VMs.
func (v *VM) servePermits(w http.ResponseWriter, r *http.Request) {
	var q permit.Request
	if err := json.NewDecoder(io.LimitReader(r.Body, maxPermitBytes)).Decode(&q); err != nil {
		http.Error(w, "want a permit request as JSON: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, v.limits.Handle(v.opts.Now(), q))
}

// learnLimits records a peer's reports of limits.
func (v *VM) learnLimits(now time.Time, m beacon.Message) {
	for _, r := range m.Limits {
		if v.limits.Learn(now, r) {
			metrics.GetOrRegisterCounter("limits.learned", v.metrics).Inc(1)
			v.log.Info().Str("peer", m.Name).Str("incarnation", r.Incarnation).Float64("rate", r.Rate).Msg("upstream limit learned")
		}
	}
}

// maintainLimits forgets the limits of upstreams that are gone.
func (v *VM) maintainLimits(now time.Time) {
	listed := make(map[string]bool)
	for _, u := range v.upstreams.All() {
		listed[u.Incarnation()] = true
	}
	v.limits.Retain(now, listed)
	rates, sum := v.limits.Limits(), 0.0
	for _, rate := range rates {
		sum += rate
	}
	metrics.GetOrRegisterGauge("limits_in_force", v.metrics).Update(int64(len(rates)))
	metrics.GetOrRegisterGauge("limits_per_minute", v.metrics).Update(int64(sum * 60))
}
