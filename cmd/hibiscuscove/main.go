// Command hibiscuscove is the daemon of one node of the router.
//
// # Usage
//
//	hibiscuscove -settings node.json
//	hibiscuscove -settings node.json -check
//	hibiscuscove -platform
//
// The exit code is 0 after a graceful stop, 1 after a failure and 2 if the
// arguments or the settings are invalid.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"

	"github.com/hibiscuscove/hibiscuscove"
)

const (
	exitFailure = 1
	exitUsage   = 2

	// memoryShare is the fraction of the VM's memory used as the Go memory limit. The rest
	// is for the program itself and for socket buffers.
	memoryShare = 0.375
	mebibyte    = 1 << 20
)

func main() {
	os.Exit(run(os.Args[1:], os.Stderr))
}

func run(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("hibiscuscove", flag.ContinueOnError)
	flags.SetOutput(stderr)
	settingsPath := flags.String("settings", "", "JSON file with the node's settings (required)")
	onPlatform := flags.Bool("platform", false, "run as an entry VM on the users' platform; without -settings, HIBISCUSCOVE_CONFIG names the settings file")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *onPlatform && flags.NArg() == 0 {
		return runOnPlatform(*settingsPath, *check, stderr)
	}
	if *settingsPath == "" || flags.NArg() > 0 {
		_, _ = fmt.Fprintln(stderr, "hibiscuscove: want -settings FILE and nothing else")
		return exitUsage
	}
	s, problems, err := hibiscuscove.LoadSettings(*settingsPath)
	if !checkSettings(stderr, problems, err) {
		return exitUsage
	}
	if *check {
		return 0
	}
	return serve(s, stderr)
}

// checkSettings prints the errors and problems found in the settings, and reports
// whether there are none.
func checkSettings[P any](stderr io.Writer, problems []P, err error) bool {
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return false
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(stderr, p)
	}
	return len(problems) == 0
}

// serve runs the node until SIGINT or SIGTERM and returns the exit code. Logs go
// to stderr; those of Kratos are discarded.
func serve(s hibiscuscove.Settings, stderr io.Writer) int {
	log := zerolog.New(stderr).With().Timestamp().Logger()
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	debug.SetMemoryLimit(int64(memoryShare * mebibyte * float64(s.MemoryMB)))
	n, err := hibiscuscove.NewNode(s, &hibiscuscove.NodeOptions{Log: log})
	if err != nil {
		log.Error().Err(err).Msg("node not started")
		return exitFailure
	}
	if err := n.Run(ctx); err != nil {
		log.Error().Err(err).Msg("node failed")
		return exitFailure
	}
	return 0
}
