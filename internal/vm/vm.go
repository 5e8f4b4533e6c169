// Package vm reads the platform's list of live and leaving VMs. The list lags.
//
// # Usage
//
//	lister := vm.NewHTTPLister("http://127.0.0.1:7001")
//	list, err := lister.List(ctx)
//
// All types are safe for concurrent use.
package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Role is what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// State says whether a VM stays.
type State string

// The states of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	DataCentre string `json:"data_centre"`
	// Address is where an upstream serves, or an entry VM's control address.
	Address string `json:"address"`
}

// Lister reads the list.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

const (
	listTimeout  = 2 * time.Second
	maxListBytes = 8 << 20
)

// HTTPLister reads the list from an HTTP endpoint that answers with JSON.
type HTTPLister struct {
	url    string
	client *http.Client
}

// NewHTTPLister returns a Lister for the endpoint below url.
func NewHTTPLister(url string) *HTTPLister {
	return &HTTPLister{url: strings.TrimSuffix(url, "/") + "/vms", client: &http.Client{Timeout: listTimeout}}
}

// List implements Lister.
func (l *HTTPLister) List(ctx context.Context) ([]VM, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("vm: list: %w", err)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, fmt.Errorf("vm: list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("vm: list: status %d", resp.StatusCode)
	}
	var body struct {
		VMs []VM `json:"vms"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&body); err != nil {
		return nil, fmt.Errorf("vm: list: %w", err)
	}
	return body.VMs, nil
}
