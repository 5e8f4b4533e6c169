// Command lab runs the scripted cases of the review: stand-ins for the platform's store,
// workers and consumers around processes of the daemon. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD, in the repository's root")
		os.Exit(2)
	}
	cases := map[string]func(*recorder, string, bool) (bool, error){"wall": runWall, "parts": runParts, "number": runNumber, "smuggle": runSmuggle}
	run, found := cases[os.Args[1]]
	if !found {
		_, _ = fmt.Fprintln(os.Stderr, "lab: unknown case "+os.Args[1])
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2]))
}

func runCase(run func(*recorder, string, bool) (bool, error), path string) int {
	out, err := os.Create(path)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		killStarted()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	rec := &recorder{out: out, start: time.Now()}
	broken, err := run(rec, dir, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.logf("the case could not run: %v", err)
		return 2
	case broken:
		rec.logf("result: the rule was broken")
		return 1
	}
	rec.logf("result: the rule held")
	return 0
}

// serveStore serves the store on one loopback address for each VM.
func serveStore(st *store, vms int) ([]string, error) {
	var list []string
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(l, door{st, doorOf(i)}) }() // ends with the process
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func doorOf(vm int) string { return fmt.Sprintf("door-%d", vm) }
