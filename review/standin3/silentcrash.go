package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	workerCount    = 18
	maxHeaderBytes = 16384
	service        = "huvo11a"
	// crashingBody is the body of the request that crashes each worker that begins to run it.
	crashingBody  = "the prompt that crashes workers"
	crashingParts = "5c1e07a2:119,e4402b7d:79,00ff00ff00ff:628"
	// crashesKnown is how many workers have to have crashed for the rule, maxRetries how many
	// retries may reach workers later than contact after that.
	crashesKnown = 3
	maxRetries   = 3
)

// putConfiguration writes the configuration: a route for short replies, as on the sheet.
func (f *fleet) putConfiguration() {
	f.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-z9frge9", "hostname": "hulo84.example", "path_prefix": "/xapu221/ny95/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 400,
			"priority": 0, "backend": service, "max_attempts": 1, "public": false, "session_affinity": true, "resumable": false, "gap_target_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": service, "health_check": "/healthz", "max_connections": 310, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": slots, "kv_capacity_tokens": 116169, "kv_token_bytes": 35136, "max_in_flight": 12, "models": []any{map[string]any{"name": model}}},
		}},
		"limits":  map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "sese880", "api_keys": []string{apiKey}, "priority": 1, "isolated": false}},
	})
	f.store.put("versions", model, map[string]any{"model": model, "version": 1})
}

// playSilentCrash lets a request come again that crashes each worker which begins to run it,
// in silence: until it has crashed three workers, then a little more than contact_ms later.
func (f *fleet) playSilentCrash() int {
	for range workerCount {
		f.startWorker(service)
	}
	f.awaitReady()
	time.Sleep(contact + 2*time.Second) // all machines are in touch
	stop := make(chan struct{})
	var done sync.WaitGroup
	var sent, served int
	f.sendOrdinary(stop, &done, &sent, &served)
	time.Sleep(3 * time.Second)
	f.awaitHeartbeats()
	copies := 0
	send := func(n int, spacing time.Duration) {
		for range n {
			copies++
			id, m := fmt.Sprintf("c0%04d", copies), f.machines[copies%machines]
			f.note("copy %s sent to %s", id, m.name)
			done.Go(func() {
				status, whole := f.send(m, id, crashingBody, crashingParts)
				f.note("copy %s: status %d, whole %v", id, status, whole)
			})
			time.Sleep(spacing)
		}
	}
	const spacing = 60 * time.Millisecond
	if f.trouble {
		for f.crashCount() < crashesKnown {
			if copies == 12 {
				fail("%d copies have crashed %d workers", copies, f.crashCount())
			}
			send(1, spacing)
		}
	} else {
		send(crashesKnown, spacing)
	}
	third := time.Now()
	if f.trouble {
		f.mu.Lock()
		third = f.crashes[crashesKnown-1]
		f.mu.Unlock()
	}
	time.Sleep(time.Until(third.Add(contact + 50*time.Millisecond)))
	send(8, 25*time.Millisecond)
	time.Sleep(time.Until(third.Add(2 * contact)))
	send(3, spacing)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	done.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	retries := 0
	for _, at := range f.arrivals {
		if at.After(third.Add(contact)) {
			retries++
		}
	}
	f.noteLocked("%d ordinary requests, %d served; %d copies crashed %d workers", sent, served, copies, len(f.crashes))
	if served == 0 {
		fail("no ordinary request is served")
	}
	if !f.trouble {
		f.noteLocked("without the disruption: %d copies reached workers, no worker crashed", len(f.arrivals))
		if len(f.arrivals) != copies {
			fail("not all copies reached a worker")
		}
		return 0
	}
	f.noteLocked("%d retries reached workers later than %v after the third crash, %d are allowed", retries, contact, maxRetries)
	if retries > maxRetries {
		f.noteLocked("BUDGET broken")
		return 1
	}
	f.noteLocked("BUDGET held")
	return 0
}

// awaitHeartbeats waits until all workers have just written their entries.
func (f *fleet) awaitHeartbeats() {
	f.mu.Lock()
	first := f.workers[0]
	f.mu.Unlock()
	first.mu.Lock()
	sequence := first.sequence
	first.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		first.mu.Lock()
		next := first.sequence
		first.mu.Unlock()
		if next > sequence {
			time.Sleep(50 * time.Millisecond)
			return
		}
	}
}
