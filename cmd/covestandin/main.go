// Command covestandin runs a stand-in for one of the systems around the router:
// the platform's store, the list of VMs, a model engine or a plain service. It is
// for tests and experiments.
//
// # Usage
//
//	covestandin -kind store -listen 127.0.0.1:7000
//	covestandin -kind vms -listen 127.0.0.1:7001 -vms vms.json
//	covestandin -kind engine -listen 127.0.0.1:9001 -name engine-1 -weights v1
//	covestandin -kind service -listen 127.0.0.1:9101 -name filings-1
//
// POST /fault injects faults; docs/DEVELOPING.md lists them. The exit code is 1
// after a failure and 2 for an invalid command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/plainservice"
	"github.com/hibiscuscove/hibiscuscove/internal/vm"
)

const (
	exitFailure       = 1
	exitUsage         = 2
	readHeaderTimeout = 10 * time.Second
)

var errNoListen = errors.New("want -listen with an IP address and a port")

func main() {
	kind := flag.String("kind", "", "kind of stand-in: store, vms, engine or service")
	listen := flag.String("listen", "", "IP address and port to listen on")
	name := flag.String("name", "standin", "name of an engine or service")
	weights := flag.String("weights", "v1", "weights version of an engine")
	tokens := flag.Int("tokens", 0, "tokens in an engine's response if the request sets no limit; 0 for the default")
	tokenInterval := flag.Duration("token_time", 0, "time between two tokens of an engine")
	prefill := flag.Duration("prefill", 0, "prefill time of a block of the prompt that is not cached")
	slots := flag.Int("slots", 0, "maximum number of concurrent requests of an engine; 0 for no limit")
	vmsPath := flag.String("vms", "", "JSON file with the list of VMs")
	flag.Parse()
	engine := modelengine.Options{
		Name:            *name,
		WeightsVersion:  *weights,
		Tokens:          *tokens,
		TokenInterval:   *tokenInterval,
		PrefillPerBlock: *prefill,
		Slots:           *slots,
	}
	handler, err := newHandler(*kind, engine, *vmsPath)
	if err == nil && *listen == "" {
		err = errNoListen
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "covestandin:", err)
		os.Exit(exitUsage)
	}
	if err := serve(*listen, handler); err != nil {
		fmt.Fprintln(os.Stderr, "covestandin:", err)
		os.Exit(exitFailure)
	}
}

func newHandler(kind string, engine modelengine.Options, vmsPath string) (http.Handler, error) {
	switch kind {
	case "store":
		return standin.NewStore(), nil
	case "vms":
		return newVMList(vmsPath)
	case "engine":
		return modelengine.New(engine), nil
	case "service":
		return plainservice.New(engine.Name), nil
	default:
		return nil, fmt.Errorf("unknown kind %q: want -kind store, vms, engine or service", kind)
	}
}

// newVMList returns a list of the VMs in a JSON file, or an empty list if path is
// empty.
func newVMList(path string) (http.Handler, error) {
	if path == "" {
		return standin.NewVMList(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var body struct {
		VMs []vm.VM `json:"vms"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return standin.NewVMList(body.VMs...), nil
}

// serve serves HTTP until SIGINT or SIGTERM, which cut open requests.
func serve(address string, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
