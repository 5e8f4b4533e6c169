package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// outerStretch is by how much an unstable core stretches the bound of the configuration
	// at most (`skew_max_ms`).
	outerStretch = 5000 * time.Millisecond
	refusal      = 9 * time.Second
	// streamsPerS is about the rate of streams of sccia-cove.
	streamsPerS = 130
)

// runParts lets the store turn one VM of three away while a key is taken away. The other VMs
// know the new configuration. Looked for are requests with the key that run although they
// were sent later than the bound, stretched as for an unstable core, after the confirmation.
func runParts(rec *recorder, dir string, trouble bool) (broken bool, err error) {
	parts := 48
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = n
	}
	st := newStore()
	addresses, err := serveStore(st, 3)
	if err != nil {
		return false, err
	}
	keep, gone := tenant{"north", "key-north", false}, tenant{"south", "key-south", false}
	st.put("config", "main", wallConfiguration(1, []tenant{keep, gone}))
	st.put("versions", "m0", map[string]any{"model": "m0", "version": 1})
	for i := range 4 {
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
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / streamsPerS)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				wg.Go(func() { sendManyParts(rec, vms[n%len(vms)], keep, parts) })
			}
		}
	})
	time.Sleep(6 * time.Second)
	away := len(vms) - 1
	if trouble {
		st.refuse(doorOf(away), true)
		rec.logf("the store turns %s away", vms[away].name)
	}
	time.Sleep(300 * time.Millisecond)
	st.put("config", "main", wallConfiguration(2, []tenant{keep}))
	confirmed := time.Now()
	rec.logf("the store has confirmed configuration 2: the key of %s is gone", gone.name)
	var late []string
	for end := confirmed.Add(refusal - 300*time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, v := range vms {
			sentAt := time.Now()
			status := sendManyParts(rec, v, gone, 3)
			if status == http.StatusOK && sentAt.After(confirmed.Add(configApply+outerStretch)) {
				late = append(late, fmt.Sprintf("%s, sent at %.3f s", v.name, rec.since(sentAt)))
			}
		}
	}
	st.refuse(doorOf(away), false)
	close(stop)
	wg.Wait()
	for i, text := range late {
		if i < 20 {
			rec.logf("CONFIG broken: a request with a key that is gone was run by %s, %.1f s and more after the confirmation", text, (configApply + outerStretch).Seconds())
		}
	}
	rec.logf("%d requests with the key were run later than the bound", len(late))
	return len(late) > 0, nil
}

// sendManyParts sends a request whose prompt has a number of parts to one VM, and returns the
// status of the answer, 0 if there is none.
func sendManyParts(rec *recorder, v *vm, t tenant, parts int) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	var prefix []string
	subject := rand.IntN(200)
	for i := range parts {
		prefix = append(prefix, fmt.Sprintf("%x:105", sha256.Sum256(fmt.Append(nil, subject, i))))
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+v.address(callersPort)+"/read/2f", bytes.NewReader([]byte("prompt")))
	if err != nil {
		return 0
	}
	r.Host = "read.example"
	for name, value := range map[string]string{"Request-Attempt-Id": id, "Model": "m0", "Token-Count": strconv.Itoa(105*parts) + ",10", "Prompt-Prefix": strings.Join(prefix, ","), "Deadline-Ms": "5000", "Credential": t.key} {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.ReadAll(resp.Body) // the status tells whether it was run
	if t.name == "south" {
		rec.logf("%s of %s sent to %s: status %d", id, t.name, v.name, resp.StatusCode)
	}
	return resp.StatusCode
}
