package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// runNumber takes a key away by a new version that also sets a time-out. With trouble the
// number of milliseconds is written as 4000.0, as JSON allows, otherwise as 4000. Looked for
// are requests with the key that run later than the bound after the confirmation.
func runNumber(rec *recorder, dir string, trouble bool) (broken bool, err error) {
	st := newStore()
	addresses, err := serveStore(st, 3)
	if err != nil {
		return false, err
	}
	north, south := tenant{"north", "key-north", false}, tenant{"south", "key-south", false}
	st.put("config", "main", wallConfiguration(1, []tenant{north, south}))
	st.put("versions", "m0", map[string]any{"model": "m0", "version": 1})
	for i := range 3 {
		if _, err := startEngine(fmt.Sprintf("i-lm%d", i), "lm", "127.0.0.1", "sur-a", "m0", st, rec); err != nil {
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
	if status := sendManyParts(rec, vms[0], south, 3); status != http.StatusOK {
		return false, fmt.Errorf("status %d for a key that is held", status)
	}
	timeout := "4000"
	if trouble {
		timeout = "4000.0"
	}
	second := wallConfiguration(2, []tenant{north})
	second["routes"].([]any)[0].(map[string]any)["timeout_ms"] = json.RawMessage(timeout)
	st.put("config", "main", second)
	confirmed := time.Now()
	rec.logf("the store has confirmed configuration 2: the key of south is gone, timeout_ms is %s", timeout)
	run := 0
	for time.Since(confirmed) < 20*time.Second {
		time.Sleep(500 * time.Millisecond)
		for _, v := range vms {
			sentAt := time.Now()
			status := sendManyParts(rec, v, south, 3)
			if status == http.StatusOK && sentAt.After(confirmed.Add(configApply)) {
				run++
				rec.logf("CONFIG broken: %s has let a request with the dropped key run, sent %.1f s after the confirmation", v.name, sentAt.Sub(confirmed).Seconds())
			}
		}
	}
	rec.logf("%d requests with the dropped key ran later than the bound", run)
	return run > 0, nil
}
