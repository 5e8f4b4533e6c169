// Package vm fetches the platform's list of live and leaving VMs. The list is
// eventually consistent: changes appear in it with a delay.
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

	"github.com/hibiscuscove/hibiscuscove/internal/exchange"
)

// Role is the purpose of a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry    Role = "entry"
	RoleUpstream Role = "upstream"
)

// State says whether a VM is about to be removed.
type State string

// The states of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one VM in the list.
type VM struct {
	Name       string `json:"name"`
	Role       Role   `json:"role"`
	State      State  `json:"state"`
	DataCentre string `json:"data_centre"`
	// Address is the address of an upstream, or the control address of an entry VM.
	Address string `json:"address"`
}

// Lister fetches the list.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}

const (
	listTimeout  = 2 * time.Second
	idleTimeout  = 90 * time.Second
	maxListBytes = 8 << 20
	maxHeadBytes = 16 << 10
)

// HTTPLister fetches the list as JSON from an HTTP endpoint.
type HTTPLister struct {
	url    string
	client *http.Client
}

// NewHTTPLister returns an HTTPLister for the endpoint /vms under url.
func NewHTTPLister(url string) *HTTPLister {
	return &HTTPLister{url: strings.TrimSuffix(url, "/") + "/vms", client: &http.Client{
		Timeout: listTimeout, Transport: exchange.Transport{RoundTripper: &http.Transport{IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes}},
	}}
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
