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

// settingsVariable names the settings file on the users' platform.
const settingsVariable = "HIBISCUSCOVE_CONFIG"

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 2 * time.Second

// runOnPlatform runs an entry VM.
func runOnPlatform(path string, check bool, stderr io.Writer) int {
	if path == "" {
		path = os.Getenv(settingsVariable)
	}
	if path == "" {
		_, _ = fmt.Fprintln(stderr, "hibiscuscove: neither -settings nor "+settingsVariable+" names a file")
		return exitUsage
	}
	s, problems, err := entryvm.LoadSettings(path)
	if !usable(stderr, problems, err) {
		return exitUsage
	}
	if check {
		return 0
	}
	return serveOnPlatform(s, path)
}

func serveOnPlatform(s entryvm.Settings, path string) int {
	writer := logline.NewWriter(os.Stdout, logline.Options{PerSecond: s.LogLinesPerS})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(writer).With().Timestamp().Logger()
	klog.SetLogger(klog.NewStdLogger(io.Discard))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	writing, stopWriting := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { writer.Run(writing) })
	defer wg.Wait()
	defer stopWriting()
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

// watchSettings reads the settings again on SIGHUP and when the file changes.
func watchSettings(ctx context.Context, path string, vm *entryvm.VM, log zerolog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := changedAt(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if changedAt(path).Equal(last) {
				continue
			}
		}
		last = changedAt(path)
		s, problems, err := entryvm.LoadSettings(path)
		if err != nil || len(problems) > 0 {
			log.Error().Err(err).Interface("problems", problems).Msg("settings not usable, the last ones stay")
			continue
		}
		vm.Reload(s)
	}
}

func changedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// bootClock reads the clock that goes on while the VM sleeps.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
