// Command quickstart runs a whole fleet in one process on loopback addresses:
// three nodes, four model engines, a plain service, the platform's object API
// and the list of VMs. It applies a configuration, sends requests whose prompts
// share long prefixes, sends a filing that must run only once, and prints the
// results.
//
// # Usage
//
//	go run ./examples/quickstart
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
)

const (
	nodeCount   = 3
	engineCount = 4
	// timeLimit limits the whole run.
	timeLimit = time.Minute
)

func main() {
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		printf(os.Stderr, "quickstart: %v\n", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, w io.Writer) error {
	deployment, err := standin.NewDeployment(standin.DeploymentOptions{
		Engines:          engineCount,
		FirstByteTimeout: 10 * time.Second,
		EventTimeout:     5 * time.Second,
		Engine: modelengine.Options{
			TokenInterval:   2 * time.Millisecond,
			PrefillPerBlock: 2 * time.Millisecond,
		},
	})
	if err != nil {
		return err
	}
	defer deployment.Close()
	f, err := startFleet(deployment)
	if err != nil {
		return err
	}
	defer f.stop()
	generation, err := f.applyConfiguration(ctx)
	if err != nil {
		return err
	}
	printf(w, "configuration generation %d is in force on %d nodes\n", generation, nodeCount)
	// More than engineCount: the plain service must be live as well.
	if err := f.waitUpstreams(ctx, engineCount); err != nil {
		return err
	}
	entry, err := f.entry(ctx)
	if err != nil {
		return err
	}
	printf(w, "/v1/entry says: use %s (%s) for %d ms\n\n", entry.Address, entry.Node, entry.TTLMS)
	if err := sendPrompts(ctx, w, f); err != nil {
		return err
	}
	return lodgeFiling(ctx, w, f)
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
