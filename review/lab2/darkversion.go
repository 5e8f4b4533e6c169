//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// versionNamedInTheDark plays the case in which all machines lose power twice, and new
// weights are named while they are down for the first time.
func versionNamedInTheDark(l *lab) bool {
	const (
		workers   = 12
		machines  = 3
		consumers = 160
		dark      = 2 * time.Second
		firstUp   = 6500 * time.Millisecond
		lateFor   = 7 * time.Second
		contact   = 3 * time.Second
		versionMS = 15 * time.Second
	)
	for i := range workers {
		l.startServer(fmt.Sprintf("i-e%02d", i), "lm", "m0", 128, answerPrompt)
	}
	l.configure(1)
	l.nameVersion(1)
	l.startVMs(machines)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range consumers {
		wg.Go(func() { l.consume(i, stop) })
	}
	time.Sleep(4 * time.Second)
	lose := func(meanwhile func()) {
		for _, v := range l.vms {
			v.kill()
		}
		time.Sleep(dark / 4)
		meanwhile()
		time.Sleep(dark * 3 / 4)
		for _, v := range l.vms {
			v.start()
		}
		l.lateOrders.Store(true)
		l.record("from now on every second order gets no answer and is carried out late")
		time.AfterFunc(lateFor, func() { l.lateOrders.Store(false) })
	}
	var named time.Time
	if l.trouble {
		lose(func() { named = l.nameVersion(2) })
		time.Sleep(firstUp)
		lose(func() {})
	} else {
		named = l.nameVersion(2)
	}
	time.Sleep(time.Until(named.Add(versionMS + 4*time.Second)))
	close(stop)
	wg.Wait()
	started := make(map[string]time.Time)
	for _, v := range l.vms {
		started[v.name] = v.startedAt
	}
	broken := 0
	for _, r := range l.allRuns() {
		vm, _, _ := strings.Cut(r.id, ".")
		if r.version >= 2 || r.at.Sub(named) <= versionMS || r.at.Sub(started[vm]) < contact {
			continue
		}
		broken++
		l.record("VERSION: %s begins %s on version %d, %.3f s after version 2 was confirmed; %s has run for %.1f s", r.server, r.id, r.version, r.at.Sub(named).Seconds(), vm, r.at.Sub(started[vm]).Seconds())
	}
	l.report("%d requests began on version 1 later than %v after version 2 was confirmed, sent by machines in touch; none may", broken, versionMS)
	return broken > 0
}

// consume sends requests one after the other until stop is closed, each to another machine.
func (l *lab) consume(consumer int, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		v := l.vms[(consumer+n)%len(l.vms)]
		c, err := v.dial()
		if err != nil {
			continue
		}
		q := request{
			id: fmt.Sprintf("%s.%d.%d", v.name, consumer, n), method: "POST", path: "/sum/x", timeLimit: 15 * time.Second, body: strings.Repeat("x", 1800),
			prefix: fmt.Sprintf("a%d:119,b%d:80,c%x:429", consumer%4, consumer, consumer*100_000+n),
		}
		if consumer%2 == 0 {
			q.path, q.timeLimit = "/spec/x", 5*time.Second
			q.prefix = fmt.Sprintf("d%d:2520,e%x:3780,f%x:2890", consumer%4, consumer*100_000+n, consumer*100_000+n)
		}
		if c.send(q) == nil {
			c.receive(q)
		}
		c.close()
	}
}

// answerPrompt answers a long prompt with a short stream, and others with a long one.
func answerPrompt(s *server, w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/spec/") {
		stream(13, 40*time.Millisecond)(s, w, r)
		return
	}
	stream(73, 60*time.Millisecond)(s, w, r)
}
