package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// The bounds are those of the small deployments.
const configApply = 2000 * time.Millisecond

// tenant is one of the operator's tenants.
type tenant struct {
	name, key string
	isolated  bool
}

// wallConfiguration returns a version of the configuration.
func wallConfiguration(version int, tenants []tenant) map[string]any {
	list := []any{}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "isolated": t.isolated})
	}
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "r-read", "hostname": "read.example", "path_prefix": "/read/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500,
			"priority": 1, "backend": "lm", "max_attempts": 2, "public": false, "session_affinity": true, "resumable": true, "gap_target_ms": 300}},
		"services": []any{map[string]any{"name": "lm", "health_check": "/healthz", "max_connections": 620, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 128, "kv_capacity_tokens": 143148, "kv_token_bytes": 35136, "link_mbps": 740000.0, "moves": true, "backups": true, "stride": 4,
				"max_in_flight": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5, "models": []any{map[string]any{"name": "m0"}}}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": list,
	}
}

// runWall makes one tenant isolated by a new version of the configuration, and looks for
// kept parts that are used across the wall later than the bound after the confirmation.
func runWall(rec *recorder, dir string, trouble bool) (broken bool, err error) {
	st := newStore()
	addresses, err := serveStore(st, 3)
	if err != nil {
		return false, err
	}
	tenants := []tenant{{"north", "key-north", false}, {"south", "key-south", false}, {"east", "key-east", true}}
	st.put("config", "main", wallConfiguration(1, tenants))
	st.put("versions", "m0", map[string]any{"model": "m0", "version": 1})
	for i, zone := range []string{"sur-a", "sur-b", "sur-c"} {
		if _, err := startEngine(fmt.Sprintf("i-lm%d", i), "lm", "127.0.0.1", zone, "m0", st, rec); err != nil {
			return false, err
		}
	}
	vms, err := startVMs(addresses, dir)
	for _, v := range vms {
		defer v.kill()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	served := 0
	send := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
			t := tenants[rand.IntN(len(tenants))]
			if sendPrompt(rec, vms[rand.IntN(len(vms))], t) {
				served++
			}
		}
	}
	send(4 * time.Second)
	isolatedFrom := map[string]time.Time{"east": rec.start}
	if trouble {
		tenants[0].isolated = true
		st.put("config", "main", wallConfiguration(2, tenants))
		confirmed := time.Now()
		isolatedFrom["north"] = confirmed.Add(configApply)
		rec.logf("the store has confirmed configuration 2: north is isolated; in force from %.3f s on", rec.since(isolatedFrom["north"]))
	}
	send(10 * time.Second)
	if served < 100 {
		return false, fmt.Errorf("only %d requests were served", served)
	}
	rec.mu.Lock()
	uses := append([]use(nil), rec.uses...)
	rec.mu.Unlock()
	across, shared := 0, 0
	for _, u := range uses {
		if u.Tenant == u.Maker.Tenant {
			continue
		}
		shared++
		for _, name := range []string{u.Tenant, u.Maker.Tenant} {
			if from, isolated := isolatedFrom[name]; isolated && u.At.After(from) {
				across++
				if across <= 20 {
					rec.logf("WALL broken: at %.3f s request %s of tenant %s used part %s at %s, which request %s of tenant %s had made at %.3f s; %s is isolated (salt %q)",
						rec.since(u.At), u.User, u.Tenant, u.Part, u.Engine, u.Maker.Request, u.Maker.Tenant, rec.since(u.Maker.At), name, u.Salt)
				}
				break
			}
		}
	}
	rec.logf("%d requests served, %d uses of parts of another tenant, %d of them across a wall in force", served, shared, across)
	return across > 0, nil
}

// sendPrompt sends a request with a shared part of the prompt, one of eight that all tenants
// have in common, and reports whether it was served.
func sendPrompt(rec *recorder, v *vm, t tenant) bool {
	addresses, err := resolve(v, "read.example")
	if err != nil {
		rec.logf("no address from %s: %v", v.name, err)
		return false
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	shared := fmt.Sprintf("5c1e07%02x", rand.IntN(8))
	r, err := http.NewRequest(http.MethodPost, "http://"+addresses[rand.IntN(len(addresses))]+"/read/2f", bytes.NewReader([]byte(strings.Repeat("x", 600))))
	if err != nil {
		return false
	}
	r.Host = "read.example"
	for name, value := range map[string]string{"Request-Attempt-Id": id, "Model": "m0", "Token-Count": "1050,10", "Prompt-Prefix": shared + ":800," + id[:8] + ":250", "Deadline-Ms": "5000", "Credential": t.key} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		rec.logf("%s of %s: %v", id, t.name, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	rec.logf("%s of %s with part %s: status %d, %d bytes, error %v", id, t.name, shared, resp.StatusCode, len(body), err)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Response-Signature") != ""
}
