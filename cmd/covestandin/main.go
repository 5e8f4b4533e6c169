// Command covestandin runs one of the stand-ins for what surrounds the router,
// for trials and tests.
//
// # Usage
//
//	covestandin -kind store -listen 127.0.0.1:7000
//	covestandin -kind vms -listen 127.0.0.1:7001 -vms vms.json
//	covestandin -kind engine -listen 127.0.0.1:9001 -name engine-1 -weights v1
//	covestandin -kind service -listen 127.0.0.1:9101 -name filings-1
//
// Faults are switched with POST /fault; docs/DEVELOPING.md lists them.
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

func main() {
	kind := flag.String("kind", "", "store, vms, engine or service")
	listen := flag.String("listen", "", "IP number and port")
	name := flag.String("name", "standin", "name of an engine or service")
	weights := flag.String("weights", "v1", "weights version of an engine")
	tokens := flag.Int("tokens", 0, "length of an engine's answer; 0 for the default")
	tokenTime := flag.Duration("token_time", 0, "time between two tokens")
	prefill := flag.Duration("prefill", 0, "time to compute a block that is not cached")
	slots := flag.Int("slots", 0, "requests an engine runs at a time; 0 for no bound")
	list := flag.String("vms", "", "JSON file with the list of VMs")
	flag.Parse()
	engine := modelengine.Options{
		Name:            *name,
		WeightsVersion:  *weights,
		Tokens:          *tokens,
		TokenInterval:   *tokenTime,
		PrefillPerBlock: *prefill,
		Slots:           *slots,
	}
	handler, err := newHandler(*kind, engine, *list)
	if err != nil || *listen == "" {
		fmt.Fprintln(os.Stderr, "covestandin: want -kind and -listen:", err)
		os.Exit(exitUsage)
	}
	if err := serve(*listen, handler); err != nil {
		fmt.Fprintln(os.Stderr, "covestandin:", err)
		os.Exit(exitFailure)
	}
}

func newHandler(kind string, engine modelengine.Options, list string) (http.Handler, error) {
	switch kind {
	case "store":
		return standin.NewStore(), nil
	case "vms":
		return newVMList(list)
	case "engine":
		return modelengine.New(engine), nil
	case "service":
		return plainservice.New(engine.Name), nil
	default:
		return nil, fmt.Errorf("unknown kind %q", kind)
	}
}

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
