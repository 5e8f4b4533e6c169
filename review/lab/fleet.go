package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	uses  []use
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) use(u use) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.uses = append(r.uses, u)
}

// since returns a time of the record.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// vm is an entry VM: a process of the deploy file's command with its own loopback address.
type vm struct {
	name, ip, settings string
	ports              []int
	cmd                *exec.Cmd
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, v.ports[port]) }

// Indexes of vm.ports.
const (
	callersPort = iota
	readyPort
	directoryPort
	controlPort
	peerPort
	metricsPort
	portCount
)

// freePorts returns ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var list []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().(*net.TCPAddr).Port)
	}
	return list, nil
}

// startVMs starts n VMs with the settings of a small deployment and waits until they are
// ready.
func startVMs(storeAddresses []string, dir string) ([]*vm, error) {
	n := len(storeAddresses)
	ports, err := freePorts("127.0.77.1", portCount)
	if err != nil {
		return nil, err
	}
	zones := []string{"sur-a", "sur-b", "sur-c"}
	var list []*vm
	for i := range n {
		v := &vm{name: fmt.Sprintf("edge-%s-1", zones[i%len(zones)]), ip: fmt.Sprintf("127.0.77.%d", i+1), ports: ports}
		v.settings = filepath.Join(dir, v.name+".json")
		raw, err := json.Marshal(map[string]any{
			"name": v.name, "data_centre": zones[i%len(zones)], "ip": v.ip, "callers_listen": v.address(callersPort), "ready_listen": v.address(readyPort),
			"directory_listen": v.address(directoryPort), "control_listen": v.address(controlPort), "metrics_listen": v.address(metricsPort), "peer_port": ports[peerPort],
			"seeds": []string{fmt.Sprintf("127.0.77.1:%d", ports[controlPort])}, "store_address": storeAddresses[i], "memory_mb": 284, "link_mbps": 1000,
			"stop_ms": 8000, "drain_ms": 2000, "contact_ms": 3000, "lease_ms": 3000, "version_ms": 15000, "version_total_ms": 21000,
			"retry_ratio": 0.2, "retry_slack": 56, "retry_window_ms": 10000,
			"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		})
		if err != nil {
			return list, err
		}
		if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
			return list, err
		}
		if err := v.start(); err != nil {
			return list, err
		}
		list = append(list, v)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, v := range list {
			if resp, err := http.Get("http://" + v.address(readyPort) + "/api/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == n {
			return list, nil
		}
		if time.Now().After(end) {
			return list, fmt.Errorf("%d of %d VMs ready after 20 s", ready, n)
		}
	}
}

// start runs the command of deploy/system.toml in the repository's root.
func (v *vm) start() error {
	log, err := os.OpenFile(v.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.cmd = exec.Command("target/hibiscuscove", "-platform")
	v.cmd.Env = []string{"HIBISCUSCOVE_CONFIG=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	defer started.Unlock()
	started.processes = append(started.processes, v.cmd.Process)
	return nil
}

// started holds the processes that were started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// killStarted ends all processes that were started, for a run that is ended itself.
func killStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Kill() // it may have ended
	}
}

// kill ends the process.
func (v *vm) kill() {
	_ = v.cmd.Process.Kill() // it may have ended
	_ = v.cmd.Wait()
}

// resolve asks a VM where to connect, as a consumer does.
func resolve(v *vm, host string) ([]string, error) {
	resp, err := http.Get("http://" + v.address(directoryPort) + "/api/resolve?name=" + host + "&region=uy-sur&zone=sur-a")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(resp.Body).Decode(&found)
	if err == nil && len(found.Addresses) == 0 {
		err = fmt.Errorf("no addresses")
	}
	return found.Addresses, err
}
