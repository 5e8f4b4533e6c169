package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one play of a case: the platform's store, workers, VMs and callers.
type lab struct {
	trouble bool
	start   time.Time
	prefix  string
	folder  string
	store   *store
	address string
	vms     []*vm
	mu      sync.Mutex
	out     *os.File
}

// answer is what a caller got.
type answer struct {
	id             string
	sentAt, doneAt time.Time
	status         int
	signed, whole  bool
	body           string
	err            error
}

// vm is one entry VM.
type vm struct {
	lab      *lab
	name, ip string
	bounds   map[string]any
	file     string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newLab(folder string) *lab {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l := &lab{
		trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), out: out, folder: temporary, store: newStore(),
		prefix: freePrefix(),
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		l.cannot("ended early")
	}()
	listener, err := net.Listen("tcp", l.ip(250)+":0")
	if err != nil {
		l.cannot("store: %v", err)
	}
	l.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, l.store) }()
	return l
}

// The ports of a VM, on an address of its own.
const (
	portDirectory = 8780
	portCallers   = 8782
	portControl   = 8783
	portReady     = 8789
	portMetrics   = 9464
	portPeers     = 7340
)

// freePrefix returns the first three bytes of loopback addresses at which the ports of the
// VMs are free.
func freePrefix() string {
	for {
		prefix := fmt.Sprintf("127.%d.%d.", 60+rand.IntN(150), 1+rand.IntN(250))
		free := true
		for n := range 3 {
			for _, port := range []int{portDirectory, portCallers, portControl, portReady, portMetrics} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, n+1, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix
		}
	}
}

func (l *lab) ip(n int) string { return fmt.Sprint(l.prefix, n) }

// record writes a line of the record, with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannot ends a play that could not run.
func (l *lab) cannot(format string, args ...any) {
	l.record("could not run: "+format, args...)
	l.end(2)
}

// end ends all processes and exits.
func (l *lab) end(code int) {
	for _, v := range l.vms {
		v.kill()
	}
	verdict := map[int]string{0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
	l.record("end: %s", verdict)
	fmt.Println(verdict)
	_ = os.RemoveAll(l.folder)
	os.Exit(code)
}

// bounds are those of the customers' pages.
func bounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "lost_slack_ms": 200,
		"config_apply_ms": 2000, "rollback_slack_ms": 250, "skew_max_ms": 5000, "revoke_strict": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "budget_slack": 56, "recover_s": 12, "transit_ms": 120, "reuse_window_s": 10, "require_fence": false, "lease_ms": 3000,
		"thaw_ms": 300, "version_ms": 15000, "version_all_ms": 21000, "ttl_max_s": 5,
	}
}

// addVM sets up a VM. It is not started.
func (l *lab) addVM(zone string) *vm {
	n := len(l.vms) + 1
	v := &vm{lab: l, name: fmt.Sprintf("edge-%s-%d", zone, n), ip: l.ip(n), bounds: bounds()}
	v.file = filepath.Join(l.folder, v.name+".json")
	l.vms = append(l.vms, v)
	return v
}

// writeSettings fills in the template of the deploy file.
func (v *vm) writeSettings() {
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		v.lab.cannot("%v", err)
	}
	var seeds []any
	for _, other := range v.lab.vms[:min(3, len(v.lab.vms))] {
		seeds = append(seeds, other.ip+fmt.Sprintf(":%d", portControl))
	}
	fields := map[string]any{
		"node": v.name, "role": "entry", "machine_class": "edge", "serves": []any{"edge", "control_plane", "directory"}, "ip": v.ip,
		"zone": "sur-a", "region": "uy-sur", "port_range": []any{portPeers, portPeers + 15}, "seeds": seeds, "bootstrap": true, "fault_counted": false,
		"discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		"zones":     map[string]any{"sur-a": "uy-sur"},
		"listen": map[string]any{
			"front": fmt.Sprint(v.ip, ":", portCallers), "ready": fmt.Sprint(v.ip, ":", portReady), "control": fmt.Sprint(v.ip, ":", portControl), "directory": fmt.Sprint(v.ip, ":", portDirectory),
		},
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000, "disk_mb": 0},
		"bounds":   v.bounds,
		"platform": map[string]any{"address": v.lab.address, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "ttl_min_ms": 1000},
	}
	// Figures are as in JSON: whole numbers without a fraction.
	raw, _ := json.Marshal(fields)
	var plain any
	_ = json.Unmarshal(raw, &plain)
	if err := os.WriteFile(v.file+".new", []byte(render(string(template), plain)), 0o600); err != nil {
		v.lab.cannot("%v", err)
	}
	if err := os.Rename(v.file+".new", v.file); err != nil {
		v.lab.cannot("%v", err)
	}
}

// start starts the process of the VM.
func (v *vm) start() {
	log, err := os.OpenFile(v.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.lab.cannot("%v", err)
	}
	v.cmd = exec.Command("target/hibiscuscove", "-platform")
	v.cmd.Env = []string{"HIBISCUSCOVE_CONFIG=" + v.file, "PATH=" + os.Getenv("PATH"), "HOME=" + v.lab.folder}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		v.lab.cannot("%v", err)
	}
	v.lab.record("vm      %s starts", v.name)
	done, cmd := make(chan struct{}), v.cmd
	v.done = done
	go func() {
		_ = cmd.Wait()
		v.lab.record("vm      %s has ended: %s", v.name, cmd.ProcessState)
		if cmd.ProcessState.ExitCode() > 0 {
			raw, _ := os.ReadFile(v.file + ".log")
			lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
			v.lab.record("vm      %s said: %s", v.name, lines[len(lines)-1])
		}
		close(done)
	}()
}

func (v *vm) signal(s os.Signal) {
	v.lab.record("vm      %s gets %v", v.name, s)
	_ = v.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (v *vm) running() bool {
	select {
	case <-v.done:
		return false
	default:
		return true
	}
}

func (v *vm) kill() {
	if v.cmd == nil || v.cmd.Process == nil {
		return
	}
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	<-v.done
}

// isReady asks the VM at its ready address, as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", v.ip, portReady))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func (l *lab) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range l.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(l.vms) {
			return true
		}
	}
	return false
}

// request is what a caller sends.
type request struct {
	id, method, host, path, body string
	header                       map[string]string
	timeLeft                     time.Duration
}

// send sends a request to a VM on a new channel and waits for the answer.
func (l *lab) send(to string, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeLeft)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+to+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		l.cannot("%v", err)
	}
	r.Host = q.host
	r.Header.Set("Request-Attempt-Id", q.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.timeLeft.Milliseconds()))
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	a := answer{id: q.id, sentAt: time.Now()}
	l.record("sent    %s to %s: %s %s", q.id, to, q.method, q.path)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err == nil {
		a.status, a.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body = string(raw)
	}
	a.err, a.whole, a.doneAt = err, err == nil, time.Now()
	text := ""
	if a.status >= 300 {
		text = strings.TrimSpace(a.body)
	}
	l.record("answer  %s: %d signed %v whole %v %s", q.id, a.status, a.signed, a.whole, text)
	return a
}

// configuration returns the operator's first configuration, for changes by a case.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-book", "hostname": "app.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "backend": "plant-app", "max_attempts": 1, "public": false},
			map[string]any{"name": "r-look", "hostname": "app.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 600, "target_latency_ms": 100, "priority": 2, "backend": "plant-app", "max_attempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "plant-app", "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "t-one", "api_keys": []any{"k-one"}, "priority": 1, "isolated": false},
			map[string]any{"name": "t-two", "api_keys": []any{"k-two"}, "priority": 1, "isolated": true},
		},
	}
}

// lookRequest returns a request that may be repeated.
func lookRequest(id string) request {
	return request{id: id, method: http.MethodGet, host: "app.example", path: "/look/" + id, timeLeft: 600 * time.Millisecond, header: map[string]string{"Credential": "k-one"}}
}
