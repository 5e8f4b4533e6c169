package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/hibiscuscove/hibiscuscove"
	"github.com/hibiscuscove/hibiscuscove/internal/admin"
	"github.com/hibiscuscove/hibiscuscove/internal/publication"
	"github.com/hibiscuscove/hibiscuscove/internal/request"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

const (
	adminToken   = "quickstart-admin-token"
	peerToken    = "quickstart-peer-token"
	pollInterval = 20 * time.Millisecond
	entryTTLMS   = 200
)

// fleet runs the nodes in this process.
type fleet struct {
	deployment *standin.Deployment
	nodes      []*hibiscuscove.Node
	settings   []hibiscuscove.Settings
	// done receives the result of each node's Run.
	done   []chan error
	cancel context.CancelFunc
}

// startFleet starts nodeCount nodes and adds them to the deployment's list of VMs.
func startFleet(d *standin.Deployment) (*fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{deployment: d, cancel: cancel}
	for i := range nodeCount {
		s, err := nodeSettings(d, i)
		if err != nil {
			cancel()
			return nil, err
		}
		n, err := hibiscuscove.NewNode(s, nil)
		if err != nil {
			cancel()
			return nil, err
		}
		d.AddEntryVM(s.Name, s.DataCentre, s.ControlListen)
		done := make(chan error, 1)
		go func() { done <- n.Run(ctx) }()
		f.nodes = append(f.nodes, n)
		f.settings = append(f.settings, s)
		f.done = append(f.done, done)
	}
	return f, nil
}

func nodeSettings(d *standin.Deployment, i int) (hibiscuscove.Settings, error) {
	s := hibiscuscove.DefaultSettings()
	s.Name = fmt.Sprintf("node-%d", i+1)
	s.DataCentre = "dc-1"
	s.PlatformURL = d.StoreURL()
	s.VMListURL = d.VMListURL()
	s.AdminToken = adminToken
	s.PeerToken = peerToken
	s.HeartbeatMS = 100
	s.ProbeMS = 100
	s.EntryTTLMS = entryTTLMS
	var err error
	if s.Listen, err = freeAddress(); err != nil {
		return s, err
	}
	s.ControlListen, err = freeAddress()
	return s, err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// stop stops all nodes gracefully and waits for them.
func (f *fleet) stop() {
	f.cancel()
	for i, done := range f.done {
		if err := <-done; err != nil {
			printf(os.Stderr, "quickstart: %s: %v\n", f.settings[i].Name, err)
		}
	}
}

// callAdmin calls an endpoint of the operators' API on the first node and decodes
// the response into result.
func (f *fleet) callAdmin(ctx context.Context, method, path string, body any, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	url := "http://" + f.settings[0].ControlListen + "/admin/v1/" + path
	return call(ctx, method, url, adminToken, raw, result)
}

// call sends an HTTP request and decodes the JSON of the response into result. A
// status of 400 or more is returned as an error.
func call(ctx context.Context, method, url, token string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, raw)
	}
	return json.Unmarshal(raw, result)
}

// applyConfiguration applies the deployment's configuration and returns its
// generation once it is in force on all nodes.
func (f *fleet) applyConfiguration(ctx context.Context) (uint64, error) {
	var result publication.Result
	change := admin.ApplyRequest{ID: uuid.NewString(), Author: "quickstart", Set: f.deployment.ConfigurationJSON()}
	if err := f.callAdmin(ctx, http.MethodPost, "apply", change, &result); err != nil {
		return 0, err
	}
	return result.Generation, f.waitStatus(ctx, func(s admin.Status) bool {
		for _, m := range s.Members {
			if m.Generation < result.Generation || m.State != "live" {
				return false
			}
		}
		return len(s.Members) == nodeCount
	})
}

// waitUpstreams waits until more than count upstreams are live.
func (f *fleet) waitUpstreams(ctx context.Context, count int) error {
	return f.waitStatus(ctx, func(s admin.Status) bool {
		live := 0
		for _, u := range s.Upstreams {
			if u.State == "live" {
				live++
			}
		}
		return live > count
	})
}

// waitStatus waits until the condition holds for the fleet's status.
func (f *fleet) waitStatus(ctx context.Context, condition func(admin.Status) bool) error {
	for {
		var s admin.Status
		if err := f.callAdmin(ctx, http.MethodGet, "status?fleet=true", nil, &s); err == nil && condition(s) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// entry returns the node to which the next request should go.
func (f *fleet) entry(ctx context.Context) (request.Entry, error) {
	var e request.Entry
	err := call(ctx, http.MethodGet, "http://"+f.settings[0].Listen+"/v1/entry", "", nil, &e)
	return e, err
}

// sumCounter returns the sum of a counter over all nodes.
func (f *fleet) sumCounter(ctx context.Context, name string) (int64, error) {
	total := int64(0)
	for _, s := range f.settings {
		var metrics map[string]map[string]any
		url := "http://" + s.ControlListen + "/admin/v1/metrics"
		if err := call(ctx, http.MethodGet, url, adminToken, nil, &metrics); err != nil {
			return 0, err
		}
		count, _ := metrics[name]["count"].(float64)
		total += int64(count)
	}
	return total, nil
}
