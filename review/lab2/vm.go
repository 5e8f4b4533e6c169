//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// serve serves HTTP on a listener.
func serve(listener net.Listener, handler http.Handler) {
	_ = (&http.Server{Handler: handler}).Serve(listener) // ends with the process
}

// freePorts returns free ports on an address.
func (l *lab) freePorts(ip string, n int) []int {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			l.fail("no free port: %v", err)
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// startVMs starts daemons as the deploy file does, and waits until all are ready.
func (l *lab) startVMs(count int) {
	base := strings.TrimSuffix(l.ip, ".1")
	ports := l.freePorts(base+".11", 6)
	address := func(ip string, i int) string { return ip + ":" + strconv.Itoa(ports[i]) }
	for i := range count {
		ip := fmt.Sprintf("%s.%d", base, 11+i)
		v := &vm{lab: l, name: fmt.Sprintf("edge-a-%d", i+1), ip: ip, callers: address(ip, 0), ready: address(ip, 1), dir: address(ip, 2), control: address(ip, 3)}
		raw, err := json.Marshal(map[string]any{
			"name": v.name, "data_centre": "a", "ip": ip, "callers_listen": v.callers, "ready_listen": v.ready, "directory_listen": v.dir,
			"control_listen": v.control, "metrics_listen": address(ip, 4), "peer_port": ports[5], "seeds": []string{address(base+".11", 3)},
			"store_address": l.storeAddress, "memory_mb": 284, "link_mbps": 1000.0, "stop_s": 8, "drain_ms": 2000, "contact_ms": 3000, "lease_ms": 3000,
			"version_ms": 15000, "version_total_ms": 21000, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10,
			"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"},
		})
		if err != nil {
			l.fail("settings: %v", err)
		}
		v.settings = filepath.Join(l.dir, v.name+".json")
		if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
			l.fail("settings: %v", err)
		}
		l.vms = append(l.vms, v)
		v.start()
	}
	for _, v := range l.vms {
		l.await(v.name+" is ready", 15*time.Second, v.isReady)
	}
	l.record("%d machines are ready", count)
}

// start starts the process.
func (v *vm) start() {
	v.lab.starting.Lock()
	defer v.lab.starting.Unlock()
	if v.lab.ending {
		return
	}
	log, err := os.OpenFile(filepath.Join(v.lab.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		v.lab.fail("log: %v", err)
	}
	cmd := exec.Command(filepath.Join(v.lab.root, "target", "hibiscuscove"), "-platform")
	cmd.Dir = v.lab.root
	cmd.Env = []string{"HIBISCUSCOVE_CONFIG=" + v.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		v.lab.fail("start of %s: %v", v.name, err)
	}
	ended := make(chan struct{})
	v.cmd, v.ended, v.startedAt = cmd, ended, time.Now()
	v.lab.record("%s starts", v.name)
	go func() {
		_ = cmd.Wait() // it is killed at the end
		_ = log.Close()
		v.lab.record("%s has ended", v.name)
		close(ended)
	}()
}

// signal sends a signal to the process.
func (v *vm) signal(s syscall.Signal) {
	v.lab.record("%s gets the signal %v", v.name, s)
	_ = v.cmd.Process.Signal(s) // it may have ended
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	v.lab.record("%s is killed", v.name)
	_ = v.cmd.Process.Kill() // it may have ended
	<-v.ended
}

// killAll ends all processes and waits for their end.
func (l *lab) killAll() {
	l.starting.Lock()
	defer l.starting.Unlock()
	l.ending = true
	for _, v := range l.vms {
		if v.cmd == nil {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
		<-v.ended
	}
}

// route returns a route of the configuration.
func route(name, kind, service string, timeout, target time.Duration, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "hostname": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": target.Milliseconds(), "priority": 0, "backend": service, "max_attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		r["session_affinity"], r["resumable"], r["gap_target_ms"] = true, resumable, 300
	}
	return r
}

// configure writes the configuration of a small deployment.
func (l *lab) configure(version int) {
	l.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("spec", "streaming", "lm", 5*time.Second, 500*time.Millisecond, 2, true),
			route("sum", "streaming", "lm", 15*time.Second, 400*time.Millisecond, 1, false),
			route("book", "non_idempotent", "app", 600*time.Millisecond, 100*time.Millisecond, 1, false),
			route("look", "idempotent", "app", 600*time.Millisecond, 100*time.Millisecond, 2, false),
		},
		"services": []any{
			map[string]any{"name": "lm", "health_check": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 128, "kv_capacity_tokens": 143148, "kv_token_bytes": 35136, "models": []any{map[string]any{"name": "m0"}}, "max_in_flight": 12,
			}},
			map[string]any{"name": "app", "health_check": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "planta", "api_keys": []string{"key-of-planta"}, "priority": 1}},
	})
	l.record("configuration %d is confirmed", version)
}

// nameVersion names new weights and returns when the store has confirmed them.
func (l *lab) nameVersion(version int64) time.Time {
	l.store.put("versions", "m0", map[string]any{"model": "m0", "version": version})
	l.record("version %d is named and confirmed", version)
	return time.Now()
}
