package main

import (
	"fmt"
	"syscall"
	"time"
)

// playBounds changes the settings file, with a SIGHUP, and then stops and starts the VMs in
// turn. It checks RECOVER.
func playBounds(l *lab) {
	const (
		interval = 50 * time.Millisecond
		recoverS = 12 * time.Second
	)
	l.store.put("config", "main", configuration(7))
	for i := range 2 {
		l.startWorker(workerOptions{id: fmt.Sprintf("i-app%d", i), service: "plant-app", ip: l.ip(150 + i), zone: "sur-a", health: "/healthz", slots: 6, work: 15 * time.Millisecond})
	}
	for range 2 {
		l.addVM("sur-a")
	}
	for _, v := range l.vms {
		v.writeSettings()
		v.start()
	}
	if !l.awaitReady(10 * time.Second) {
		l.cannot("the VMs are not ready")
	}
	time.Sleep(time.Second)
	n := 0
	load := func(lasts time.Duration) (sent, served int) {
		answers := make(chan answer, 10000)
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(interval) {
			n++
			sent++
			go func() {
				answers <- l.send(fmt.Sprint(l.vms[n%2].ip, ":", portCallers), lookRequest(fmt.Sprintf("q%04d", n)))
			}()
		}
		for range sent {
			if a := <-answers; a.status == 200 && a.whole && a.signed {
				served++
			}
		}
		return sent, served
	}
	sentBefore, servedBefore := load(3 * time.Second)
	for _, v := range l.vms {
		if l.trouble {
			v.bounds["grace_s"] = 7.5
			v.writeSettings()
			l.record("vm      %s: the settings file has grace_s 7.5 now", v.name)
		}
		v.signal(syscall.SIGHUP)
	}
	sentChanged, servedChanged := load(3 * time.Second)
	for _, v := range l.vms {
		v.signal(syscall.SIGTERM)
		select {
		case <-v.done:
		case <-time.After(7500 * time.Millisecond):
			v.signal(syscall.SIGKILL)
			<-v.done
		}
		for range 3 { // a process that exits is restarted after a short delay
			time.Sleep(300 * time.Millisecond)
			v.start()
			time.Sleep(time.Second)
			if v.running() {
				break
			}
		}
	}
	time.Sleep(recoverS)
	for _, v := range l.vms {
		if !v.running() {
			v.start()
		}
	}
	time.Sleep(time.Second)
	sentAfter, servedAfter := load(3 * time.Second)
	l.record("served: %d of %d before, %d of %d after the change, %d of %d later than %v after the VMs were started again", servedBefore, sentBefore, servedChanged, sentChanged, servedAfter, sentAfter, recoverS)
	if 4*servedBefore < sentBefore {
		l.cannot("too little is served before")
	}
	if 4*servedAfter < sentAfter {
		l.record("RECOVER: less than a quarter is served")
		l.end(1)
	}
	l.end(0)
}
