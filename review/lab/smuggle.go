package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// channels is the number of channels on which a request is smuggled.
const channels = 9

// runSmuggle sends, on each of some channels, a proper request and then one whose head has both
// Content-Length and Transfer-Encoding. Read by its length, its body holds a third request,
// which nobody has sent. With trouble the first half of the second head comes together with
// the first request, otherwise after the answer to it. Looked for are third requests that run.
func runSmuggle(rec *recorder, dir string, trouble bool) (broken bool, err error) {
	st := newStore()
	addresses, err := serveStore(st, 3)
	if err != nil {
		return false, err
	}
	north := tenant{"north", "key-north", false}
	st.put("config", "main", wallConfiguration(1, []tenant{north}))
	st.put("versions", "m0", map[string]any{"model": "m0", "version": 1})
	var engines []*engine
	for i := range 3 {
		e, err := startEngine(fmt.Sprintf("i-lm%d", i), "lm", "127.0.0.1", "sur-a", "m0", st, rec)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	vms, err := startVMs(addresses, dir)
	for _, v := range vms {
		defer v.kill()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range channels {
		if err := smuggle(rec, vms[i%len(vms)], north, trouble); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	proper, smuggled := 0, 0
	for _, e := range engines {
		for _, id := range e.ids() {
			switch {
			case strings.HasPrefix(id, "proper-"):
				proper++
			case strings.HasPrefix(id, "smuggled-"):
				smuggled++
				rec.logf("UNASKED broken: %s ran %s, which stands in the body of another request", e.id, id)
			}
		}
	}
	rec.logf("%d proper requests ran, and %d that were smuggled", proper, smuggled)
	if proper < channels {
		return false, fmt.Errorf("only %d of %d proper requests ran", proper, channels)
	}
	return smuggled > 0, nil
}

// smuggle misuses one channel.
func smuggle(rec *recorder, v *vm, t tenant, ahead bool) error {
	c, err := net.DialTimeout("tcp", v.address(callersPort), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	n := rand.Uint32()
	head := func(id, fields string) string {
		return "POST /read/2f HTTP/1.1\r\nHost: read.example\r\nRequest-Attempt-Id: " + id + "\r\nModel: m0\r\nToken-Count: 100,5\r\nPrompt-Prefix: aa:50,bb:50\r\nDeadline-Ms: 5000\r\nCredential: " + t.key + "\r\n" + fields
	}
	proper := head(fmt.Sprintf("proper-%d", n), "Content-Length: 2\r\n\r\n") + "hi"
	third := head(fmt.Sprintf("smuggled-%d", n), "Content-Length: 2\r\n\r\n") + "hi"
	end := "0\r\n\r\n"
	half := head(fmt.Sprintf("ambiguous-%d", n), fmt.Sprintf("Content-Length: %d\r\n", len(end+third)))
	writes := []string{proper, half, "Transfer-Encoding: chunked\r\n\r\n" + end, third}
	if ahead {
		writes = []string{proper + half, "Transfer-Encoding: chunked\r\n\r\n" + end, third}
	}
	for _, text := range writes {
		if _, err := io.WriteString(c, text); err != nil {
			break // the VM has closed the channel
		}
		rec.logf("sent to %s on channel %d: %q", v.name, n, text)
		time.Sleep(200 * time.Millisecond)
	}
	_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
	raw, _ := io.ReadAll(c) // ends with the deadline
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "HTTP/1.1 ") || strings.HasPrefix(line, "Request-Attempt-Id") {
			rec.logf("channel %d answered: %s", n, strings.TrimSpace(line))
		}
	}
	return nil
}
