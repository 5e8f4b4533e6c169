package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
	"github.com/hibiscuscove/hibiscuscove/internal/logline"
)

// settingsEnv is the environment variable with the path of the settings file on
// the users' platform.
const settingsEnv = "HIBISCUSCOVE_CONFIG"

// settingsPollInterval is the interval of checks for a changed settings file. The
// file is polled because it may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// runOnPlatform runs an entry VM, or only checks its settings, and returns the
// exit code.
func runOnPlatform(path string, check bool, stderr io.Writer) int {
	if path == "" {
		path = os.Getenv(settingsEnv)
	}
	if path == "" {
		_, _ = fmt.Fprintln(stderr, "hibiscuscove: neither -settings nor "+settingsEnv+" names a file")
		return exitUsage
	}
	s, problems, err := entryvm.LoadSettings(path)
	if !checkSettings(stderr, problems, err) {
		return exitUsage
	}
	if check {
		return 0
	}
	return serveOnPlatform(s, path)
}

// serveOnPlatform runs an entry VM until SIGINT or SIGTERM and returns the exit
// code. The log goes to stdout at a limited rate. The log writer has a context of
// its own, so that it also writes what is logged during the stop.
func serveOnPlatform(s entryvm.Settings, path string) int {
	writer := logline.NewWriter(os.Stdout, logline.Options{PerSecond: s.LogLinesPerS})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(writer).With().Timestamp().Logger()
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	writerCtx, stopWriter := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { writer.Run(writerCtx) })
	defer wg.Wait()
	defer stopWriter()
	vm, err := entryvm.New(s, entryvm.Options{Now: time.Now, Boot: bootClock, Log: log})
	if err != nil {
		log.Error().Err(err).Msg("VM not started")
		return exitFailure
	}
	go watchSettings(ctx, path, vm, log)
	if err := vm.Run(ctx); err != nil {
		log.Error().Err(err).Msg("VM failed")
		return exitFailure
	}
	return 0
}

// watchSettings reloads the settings on SIGHUP and when the file's modification
// time changes, until ctx is done. Invalid settings are logged and not applied.
func watchSettings(ctx context.Context, path string, vm *entryvm.VM, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(path).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(path)
		s, problems, err := entryvm.LoadSettings(path)
		if err != nil || len(problems) > 0 {
			log.Error().Err(err).Interface("problems", problems).Msg("settings not usable, keeping the previous ones")
			continue
		}
		vm.Reload(s)
	}
}

// modTime returns the file's modification time, or the zero time if the file can't
// be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// bootClock returns the time since boot, including the time for which the VM was
// suspended. If that clock can't be read, it returns the wall clock.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
