// Package standin has stand-ins for the systems around the router: the platform's
// object API, the list of VMs, and a whole deployment with engines and services.
//
// # Usage
//
//	d, err := standin.NewDeployment(standin.DeploymentOptions{Engines: 2})
//	defer d.Close()
//	d.Engines[0].SetFault(modelengine.Fault{CutAt: 3})
//
// All stand-ins are safe for concurrent use.
package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/plainservice"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
)

const (
	loopback          = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
	deploymentSlots   = 64
)

// Names, keys and versions in the configuration of a Deployment.
const (
	DeploymentKey          = "key-of-the-first-organisation"
	DeploymentOtherKey     = "key-of-the-second-organisation"
	DeploymentThirdKey     = "key-of-the-third-organisation"
	DeploymentModelRoute   = "lot-replies"
	DeploymentServiceRoute = "filings"
	DeploymentLookupRoute  = "lookups"
	DeploymentDraftRoute   = "drafts"
	DeploymentWeights      = "v1"
)

// DeploymentOptions configure a Deployment. Zero fields get the defaults.
type DeploymentOptions struct {
	// Engines and Services are the numbers of upstreams. The defaults are 2 and 1.
	Engines, Services int
	Engine            modelengine.Options
	// DataCentres are assigned to the upstreams of a pool in rotation. The default is
	// one named "dc-1".
	DataCentres []string
	// FirstByteTimeout and EventTimeout apply to all routes. The defaults are 2 s and 1 s.
	FirstByteTimeout, EventTimeout time.Duration
	// Deadline is the limit of all requests. The default is 10 s.
	Deadline time.Duration
	// NoContinuation configures the engines as unable to continue from the text of a
	// cut response.
	NoContinuation bool
}

// Deployment runs all stand-ins on loopback addresses.
type Deployment struct {
	Store    *Store
	VMs      *VMList
	Engines  []*modelengine.Engine
	Services []*plainservice.Service

	opts             DeploymentOptions
	servers          []*http.Server
	storeAddress     string
	vmsAddress       string
	engineAddresses  []string
	serviceAddresses []string
	wg               sync.WaitGroup
}

// NewDeployment starts the stand-ins. Close stops them. An error means that an address
// could not be listened on.
func NewDeployment(opts DeploymentOptions) (*Deployment, error) {
	opts = opts.withDefaults()
	d := &Deployment{Store: NewStore(), VMs: NewVMList(), opts: opts}
	var err error
	if d.storeAddress, err = d.startServer(d.Store); err != nil {
		return nil, err
	}
	if d.vmsAddress, err = d.startServer(d.VMs); err != nil {
		return nil, err
	}
	for i := range opts.Engines {
		engine := opts.Engine
		engine.Name = fmt.Sprintf("engine-%d", i+1)
		engine.WeightsVersion = DeploymentWeights
		e := modelengine.New(engine)
		address, err := d.startServer(e)
		if err != nil {
			return nil, err
		}
		d.Engines = append(d.Engines, e)
		d.engineAddresses = append(d.engineAddresses, address)
	}
	for i := range opts.Services {
		s := plainservice.New(fmt.Sprintf("service-%d", i+1))
		address, err := d.startServer(s)
		if err != nil {
			return nil, err
		}
		d.Services = append(d.Services, s)
		d.serviceAddresses = append(d.serviceAddresses, address)
	}
	return d, nil
}

func (o DeploymentOptions) withDefaults() DeploymentOptions {
	if o.Engines == 0 {
		o.Engines = 2
	}
	if o.Services == 0 {
		o.Services = 1
	}
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"dc-1"}
	}
	if o.FirstByteTimeout == 0 {
		o.FirstByteTimeout = 2 * time.Second
	}
	if o.EventTimeout == 0 {
		o.EventTimeout = time.Second
	}
	if o.Deadline == 0 {
		o.Deadline = 10 * time.Second
	}
	return o
}

func (d *Deployment) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("standin: listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	d.wg.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// Close stops the stand-ins and cuts their connections.
func (d *Deployment) Close() {
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.wg.Wait()
}

// StoreURL returns the base URL of the object API.
func (d *Deployment) StoreURL() string { return "http://" + d.storeAddress }

// VMListURL returns the base URL of the list of VMs.
func (d *Deployment) VMListURL() string { return "http://" + d.vmsAddress }

// EngineAddress returns the address of the engine with a zero-based index.
func (d *Deployment) EngineAddress(i int) string { return d.engineAddresses[i] }

// Upstream is a stand-in engine or service.
type Upstream interface {
	// Crash ends the incarnation. The upstream stays down until Restart.
	Crash()
	// Restart starts a crashed upstream in a new incarnation.
	Restart()
	// SetState sets the state that health checks report.
	SetState(upstream.State)
}

// Upstream returns the engine or service at an address.
func (d *Deployment) Upstream(address string) (Upstream, bool) {
	for i, a := range d.engineAddresses {
		if a == address {
			return d.Engines[i], true
		}
	}
	for i, a := range d.serviceAddresses {
		if a == address {
			return d.Services[i], true
		}
	}
	return nil, false
}

// ServiceAddress returns the address of the service with a zero-based index.
func (d *Deployment) ServiceAddress(i int) string { return d.serviceAddresses[i] }

// ServiceRuns returns the number of requests that have run on all services.
func (d *Deployment) ServiceRuns() int {
	total := 0
	for _, s := range d.Services {
		total += s.TotalRuns()
	}
	return total
}

// Runs returns how many times a request with this body has run on all services.
func (d *Deployment) Runs(body string) int {
	runs := 0
	for _, s := range d.Services {
		runs += s.Runs(body)
	}
	return runs
}

// EngineRuns returns the number of requests that have started on all engines.
func (d *Deployment) EngineRuns() int {
	total := 0
	for _, e := range d.Engines {
		total += e.Runs()
	}
	return total
}

// AddEntryVM adds a live entry VM with its control address to the list of VMs.
func (d *Deployment) AddEntryVM(name, dataCentre, controlAddress string) {
	d.VMs.mu.Lock()
	defer d.VMs.mu.Unlock()
	d.VMs.list = append(d.VMs.list, vm.VM{
		Name:       name,
		Role:       vm.RoleEntry,
		State:      vm.StateLive,
		DataCentre: dataCentre,
		Address:    controlAddress,
	})
}

// Configuration returns a configuration for the deployment with an idempotent and a
// non-idempotent route to each of the engines and the services. The first
// organisation may use all routes, the second only the lookup route, the third the
// idempotent ones.
func (d *Deployment) Configuration() contract.Set {
	route := func(name string, kind contract.RouteKind, pool string, idempotent bool) contract.Route {
		return contract.Route{
			Name:               name,
			Kind:               kind,
			Pool:               pool,
			Idempotent:         idempotent,
			Priority:           "normal",
			FirstByteTimeoutMS: int(d.opts.FirstByteTimeout.Milliseconds()),
			EventTimeoutMS:     int(d.opts.EventTimeout.Milliseconds()),
			DeadlineMS:         int(d.opts.Deadline.Milliseconds()),
			MaxAttempts:        3,
		}
	}
	return contract.Set{
		Organisations: []contract.Organisation{
			{
				Name:      "first",
				KeyHashes: []string{contract.HashKey(DeploymentKey)},
				Share:     10,
				Routes:    []string{DeploymentModelRoute, DeploymentServiceRoute, DeploymentLookupRoute, DeploymentDraftRoute},
			},
			{
				Name:      "second",
				KeyHashes: []string{contract.HashKey(DeploymentOtherKey)},
				Share:     1,
				Routes:    []string{DeploymentLookupRoute},
			},
			{
				Name:      "third",
				KeyHashes: []string{contract.HashKey(DeploymentThirdKey)},
				Share:     5,
				Routes:    []string{DeploymentModelRoute, DeploymentLookupRoute},
			},
		},
		ModelVersions: []contract.ModelVersion{{Name: "replies-v1", Model: "replies", WeightsVersion: DeploymentWeights}},
		Pools: []contract.Pool{
			d.pool("engines", contract.PoolEngine, d.engineAddresses),
			d.pool("desk", contract.PoolService, d.serviceAddresses),
		},
		Routes: []contract.Route{
			route(DeploymentModelRoute, contract.RouteModel, "engines", true),
			route(DeploymentDraftRoute, contract.RouteModel, "engines", false),
			route(DeploymentServiceRoute, contract.RouteService, "desk", false),
			route(DeploymentLookupRoute, contract.RouteService, "desk", true),
		},
		Priorities: []contract.Priority{{Name: "normal", Level: 3}},
	}
}

func (d *Deployment) pool(name string, kind contract.PoolKind, addresses []string) contract.Pool {
	pool := contract.Pool{Name: name, Kind: kind, Slots: deploymentSlots}
	if kind == contract.PoolEngine {
		pool.ModelVersion = "replies-v1"
		pool.ContinuesResponses = !d.opts.NoContinuation
	}
	for i, address := range addresses {
		pool.Upstreams = append(pool.Upstreams, contract.Upstream{
			Name:       fmt.Sprintf("%s-%d", name, i+1),
			Address:    address,
			DataCentre: d.opts.DataCentres[i%len(d.opts.DataCentres)],
		})
	}
	return pool
}

// ConfigurationJSON returns Configuration in the JSON form that operators write.
func (d *Deployment) ConfigurationJSON() json.RawMessage {
	raw, err := json.Marshal(d.Configuration())
	if err != nil {
		panic(err)
	}
	return raw
}
