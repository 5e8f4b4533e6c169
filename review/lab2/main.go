//go:build review

// Command lab2 plays the cases of the second review: it starts daemons of the project as
// processes on loopback addresses, between stand-ins of the platform's store, of workers and
// of consumers, and checks one rule.
//
// # Usage
//
//	lab2 -case NAME -root REPOSITORY -record FILE -trouble=true
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
	// maxTime is the longest time that a case may take.
	maxTime = 110 * time.Second
)

// lab holds what runs in a case.
type lab struct {
	root, dir, ip string
	trouble       bool
	store         *store
	storeAddress  string
	started       time.Time
	vms           []*vm

	// starting is held while processes are started or ended. ending is set once none may
	// be started any more.
	starting sync.Mutex
	ending   bool

	// lateOrders is set while every second order to a worker is late.
	lateOrders atomic.Bool
	orderCount atomic.Int64

	mu   sync.Mutex
	file *os.File
	runs []run
}

// run is a request that a server has begun.
type run struct {
	id, server string
	version    int64
	at         time.Time
}

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*lab) bool{
	"version-named-in-the-dark": versionNamedInTheDark,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "the repository")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	play, found := cases[*name]
	if !found {
		_, _ = fmt.Fprintln(os.Stderr, "lab2: no such case:", *name)
		os.Exit(exitNoResult)
	}
	os.Exit(playCase(play, *root, *record, *trouble))
}

// playCase plays a case and returns the exit code.
func playCase(play func(*lab) bool, root, record string, trouble bool) int {
	file, err := os.Create(record)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNoResult
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "lab2")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "lab2:", err)
		return exitNoResult
	}
	if os.Getenv("LAB_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if root, err = filepath.Abs(root); err != nil {
		return exitNoResult
	}
	pid := os.Getpid()
	l := &lab{
		root: root, dir: dir, ip: fmt.Sprintf("127.%d.%d.1", 100+pid/250%100, 1+pid%250), trouble: trouble, store: newStore(), started: time.Now(),
		file: file,
	}
	return l.play(play)
}

// errNoResult is the panic of a case that can't go on.
type errNoResult struct{ reason string }

// play plays the case and ends all processes.
func (l *lab) play(play func(*lab) bool) (code int) {
	defer l.killAll()
	go l.endEarly()
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		reason, ok := cause.(errNoResult)
		if !ok {
			panic(cause)
		}
		l.record("the case could not run: %s", reason.reason)
		_, _ = fmt.Fprintln(os.Stderr, "lab2: the case could not run:", reason.reason)
		code = exitNoResult
	}()
	l.startStore()
	if play(l) {
		return exitBroken
	}
	return exitHeld
}

// endEarly ends the case and its processes if it is interrupted or takes too long.
func (l *lab) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		l.record("the case ends early: %v", s)
	case <-time.After(maxTime):
		l.record("the case ends early: it takes over %v", maxTime)
	}
	l.killAll()
	_ = os.RemoveAll(l.dir) // it is in the folder for temporary files
	os.Exit(exitNoResult)
}

// fail ends the case without a result.
func (l *lab) fail(format string, args ...any) { panic(errNoResult{fmt.Sprintf(format, args...)}) }

// record writes a line into the record.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.file, "%8.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// report records a line and prints it.
func (l *lab) report(format string, args ...any) {
	l.record(format, args...)
	fmt.Printf(format+"\n", args...)
}

// ran records that a server has begun a request.
func (l *lab) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// allRuns returns the requests that servers have begun.
func (l *lab) allRuns() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *lab) startStore() {
	listener := l.listen()
	l.storeAddress = listener.Addr().String()
	go serve(listener, l.store)
}

// await waits until a condition holds.
func (l *lab) await(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			l.fail("%s: not within %v", what, limit)
		}
	}
}

// vm is a process of the daemon.
type vm struct {
	lab                          *lab
	name, ip, settings           string
	callers, ready, dir, control string
	cmd                          *exec.Cmd
	ended                        chan struct{}
	// startedAt is when the process was last started.
	startedAt time.Time
}
