package main

import (
	"fmt"
	"net/http"
	"time"
)

// runEmpty takes the last tenant, and so the last keys, out of the configuration. Looked for
// are requests that run later than the bound after the confirmation, with the key that is
// gone or with one that no configuration ever held.
func runEmpty(rec *recorder, dir string, trouble bool) (broken bool, err error) {
	st := newStore()
	addresses, err := serveStore(st, 3)
	if err != nil {
		return false, err
	}
	south, stranger := tenant{"south", "key-south", false}, tenant{"south", "key-that-never-was", false}
	st.put("config", "main", wallConfiguration(1, []tenant{south}))
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
	if status := sendManyParts(rec, vms[0], stranger, 3); status != http.StatusUnauthorized {
		return false, fmt.Errorf("status %d for an unknown key before the change", status)
	}
	if trouble {
		st.put("config", "main", wallConfiguration(2, []tenant{}))
		rec.logf("the store has confirmed configuration 2: its tenants are an empty list")
	}
	time.Sleep(configApply + time.Second)
	run := 0
	for range 10 {
		for _, v := range vms {
			for _, t := range []tenant{south, stranger} {
				if t == south && !trouble {
					continue // its key is still held
				}
				if status := sendManyParts(rec, v, t, 3); status == http.StatusOK {
					run++
					rec.logf("ROUTE broken: %s has let a request with the key %q run", v.name, t.key)
				}
			}
		}
	}
	rec.logf("%d requests ran without a key that the configuration holds", run)
	return run > 0, nil
}
