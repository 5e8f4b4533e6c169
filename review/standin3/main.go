// Command standin3 starts a small deployment of the daemon on loopback addresses, with
// stand-ins for the platform's store, the workers and the consumers that follow the users'
// pages, and plays one case of the review. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case couldn't run.
//
//	cd REPOSITORY && target/review-3/standin3 -case silent-crash -record FILE
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	machines = 3
	apiKey   = "ctnfzs989anu6wsjnban"
	// contact is contact_ms of the site sccia-cove.
	contact = 3 * time.Second
	// maxGap is how long consumers wait for the next event of a stream: two seconds, four
	// times the objective or eight times the pause of 300 ms, whichever is longest.
	maxGap = 2400 * time.Millisecond
)

var cleanUp []func()

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	exit(2)
}

func exit(code int) {
	for i := len(cleanUp) - 1; i >= 0; i-- {
		cleanUp[i]()
	}
	os.Exit(code)
}

// fleet is the deployment and the record of the case.
type fleet struct {
	store     *store
	trouble   bool
	backAfter time.Duration
	start     time.Time
	record    io.Writer
	// dir holds the settings and logs of the machines.
	dir, storeAddress string
	template          []byte

	mu       sync.Mutex
	boots    int
	workers  []*worker
	machines []*machine
	crashes  []time.Time
	arrivals []time.Time
	// ordersSeen counts the orders, and lateTo holds the workers that leave one unanswered.
	ordersSeen int
	lateTo     []string
	// loads counts the loads under way, which share their time if shareLoads is set.
	loads      int
	shareLoads bool
}

// machine is an entry VM: a process of the daemon.
type machine struct {
	name, ip string
	ports    map[string]int
	cmd      *exec.Cmd
	// ended is closed when cmd has ended.
	ended chan struct{}
}

func (m *machine) address(listener string) string {
	return fmt.Sprintf("%s:%d", m.ip, m.ports[listener])
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteLocked(format, args...)
}

func (f *fleet) noteLocked(format string, args ...any) {
	fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

func (f *fleet) recordArrival(w *worker, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
	f.noteLocked("copy %s reaches worker %s", id, w.id)
}

func (f *fleet) recordCrash(w *worker, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes = append(f.crashes, time.Now())
	f.noteLocked("copy %s crashes worker %s, the %d. one; its last heartbeat was %d ms ago", id, w.id, len(f.crashes), time.Since(w.beatAt).Milliseconds())
}

func (f *fleet) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// startStore serves the store.
func (f *fleet) startStore() (address string) {
	l, err := net.Listen("tcp", "127.84.1.1:0")
	if err != nil {
		fail("no address for the store: %v", err)
	}
	go func() { _ = http.Serve(l, f.store) }()
	return l.Addr().String()
}

// prepareMachines chooses free ports for all machines.
func (f *fleet) prepareMachines() {
	for i := range machines {
		m := &machine{name: fmt.Sprintf("edge-durban-a-%d", i+1), ip: fmt.Sprintf("127.84.3.%d", i+1), ports: make(map[string]int)}
		for _, name := range []string{"front", "ready", "control", "directory", "peers"} {
			l, err := net.Listen("tcp", m.ip+":0")
			if err != nil {
				fail("no address for a machine: %v", err)
			}
			defer func() { _ = l.Close() }()
			m.ports[name] = l.Addr().(*net.TCPAddr).Port
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines[1:] { // the ports between machines are the same on all
		m.ports["peers"] = f.machines[0].ports["peers"]
	}
}

// writeSettings writes the settings file of a machine, from the template of the deploy file.
func (f *fleet) writeSettings(m *machine) (path string) {
	var seeds []string
	for _, other := range f.machines {
		seeds = append(seeds, other.address("control"))
	}
	fields := map[string]any{
		"node": m.name, "zone": "durban-a", "ip": m.ip, "port_range": []int{m.ports["peers"], m.ports["peers"] + 15}, "seeds": seeds,
		"listen":    map[string]any{"front": m.address("front"), "ready": m.address("ready"), "control": m.address("control"), "directory": m.address("directory")},
		"platform":  map[string]any{"address": f.storeAddress},
		"limits":    map[string]any{"memory_mb": 134, "link_mbps": 1000.0},
		"bounds":    map[string]any{"grace_s": 8, "drain_ms": 2000, "contact_ms": 3000, "lease_ms": 3000, "version_ms": 15000, "version_all_ms": 21000, "retry_budget_ratio": 0.2, "budget_slack": 58, "budget_window_s": 10},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
	}
	path = filepath.Join(f.dir, m.name+".json")
	// The file is replaced in one step.
	if err := os.WriteFile(path+".new", []byte(render(string(f.template), fields)), 0o600); err != nil {
		fail("settings: %v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		fail("settings: %v", err)
	}
	return path
}

// startMachine starts the daemon with the command of the deploy file.
func (f *fleet) startMachine(m *machine) {
	path := f.writeSettings(m)
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	cmd := exec.Command("target/hibiscuscove", "-platform")
	cmd.Env = append(os.Environ(), "HIBISCUSCOVE_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	cleanUp = append(cleanUp, func() {
		_ = cmd.Process.Kill() // it may have ended
		<-ended
	})
}

// awaitReady waits until all machines say that they are ready.
func (f *fleet) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			resp, err := http.Get("http://" + m.address("ready") + "/api/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.machines) {
			return
		}
	}
	fail("the machines don't become ready")
}

// send sends a stream request to a machine and reads its answer as a consumer does. status is
// 0 without an answer; whole is set if the answer arrived whole.
func (f *fleet) send(m *machine, id, body, parts string) (status int, whole bool) {
	return f.sendWith(m, id, body, parts, nil)
}

// sendWith is send with further fields in the head.
func (f *fleet) sendWith(m *machine, id, body, parts string, extra http.Header) (status int, whole bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	patience := time.AfterFunc(maxGap, cancel)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address("front")+"/xapu221/ny95/2f", bytes.NewReader([]byte(body)))
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = "hulo84.example"
	r.Header = http.Header{
		"Request-Attempt-Id": {id}, "Model": {model}, "Token-Count": {"826,58"}, "Prompt-Prefix": {parts}, "Deadline-Ms": {"15000"}, "Credential": {apiKey},
	}
	for name, values := range extra {
		r.Header[name] = values
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	buffer := make([]byte, 4<<10)
	for {
		patience.Reset(maxGap)
		_, err := resp.Body.Read(buffer)
		if err != nil {
			return resp.StatusCode, err == io.EOF
		}
	}
}

// sendOrdinary sends ordinary requests until stop is closed, and counts those served.
func (f *fleet) sendOrdinary(stop chan struct{}, done *sync.WaitGroup, sent, served *int) {
	const clients = 9
	for c := range clients {
		done.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				id := fmt.Sprintf("%04x%012x", c, i)
				status, whole := f.send(f.machines[(c+i)%machines], id, "prompt "+id, fmt.Sprintf("5c1e07a2:119,91bd3f%02x:79,%s:628", c, id))
				f.mu.Lock()
				*sent++
				if status == http.StatusOK && whole {
					*served++
				}
				f.mu.Unlock()
			}
		})
	}
}

func main() {
	name := flag.String("case", "", "the case: versions, silent-crash, late-order or many-fields")
	recordPath := flag.String("record", "", "the file for the record")
	flag.Parse()
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		fail("not in the repository: %v", err)
	}
	record, err := os.Create(*recordPath)
	if err != nil {
		fail("record: %v", err)
	}
	cleanUp = append(cleanUp, func() { _ = record.Close() })
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		cleanUp = append(cleanUp, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	f := &fleet{store: newStore(), trouble: os.Getenv("TROUBLE") != "0", backAfter: 4 * time.Second, start: time.Now(), record: record}
	f.dir, f.template = dir, template
	f.putConfiguration()
	f.storeAddress = f.startStore()
	f.prepareMachines()
	for _, m := range f.machines {
		f.startMachine(m)
	}
	switch *name {
	case "silent-crash":
		exit(f.playSilentCrash())
	case "versions":
		exit(f.playVersions())
	case "late-order":
		exit(f.playLateOrder())
	case "many-fields":
		exit(f.playManyFields())
	default:
		fail("no case %q", *name)
	}
}
