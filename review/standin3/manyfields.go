package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// manyFields is the number of fields beyond the usual ones, of which a tenth are sent without
	// the disruption. Together they take a sixth of max_header_bytes.
	manyFields   = 110
	fieldsSent   = 60
	maxDenied    = 5
	deniedPerAll = 500
)

// playManyFields sends requests whose heads have many short fields, well within
// max_header_bytes.
func (f *fleet) playManyFields() int {
	for range 4 {
		f.startWorker(service)
	}
	f.awaitReady()
	time.Sleep(contact + 2*time.Second) // all machines are in touch
	n := manyFields
	if !f.trouble {
		n /= 10
	}
	extra := make(http.Header)
	bytes := 0
	for i := range n {
		name, value := fmt.Sprintf("X-Batch-%03d", i), fmt.Sprintf("lot %05d", 7*i)
		extra.Set(name, value)
		bytes += len(name) + len(value) + len(": \r\n")
	}
	f.note("%d further fields of %d bytes together, max_header_bytes is %d", n, bytes, maxHeaderBytes)
	denied, served := 0, 0
	for i := range fieldsSent {
		m, id := f.machines[i%machines], fmt.Sprintf("d0%04d", i)
		status, whole := f.sendWith(m, id, "prompt "+id, fmt.Sprintf("5c1e07a2:119,91bd3f%02x:79,%s:628", i, strings.Repeat("0", 6)+id), extra)
		f.note("request %s at %s: status %d, whole %v", id, m.name, status, whole)
		switch {
		case status == http.StatusOK && whole:
			served++
		case status >= 300 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest && status != http.StatusTooManyRequests:
			denied++
		}
		time.Sleep(30 * time.Millisecond)
	}
	f.note("%d requests, %d served, %d ended with a 3xx or 4xx of the system's own; %d are allowed", fieldsSent, served, denied, maxDenied+fieldsSent/deniedPerAll)
	if denied > maxDenied+fieldsSent/deniedPerAll {
		f.note("DENIED broken")
		return 1
	}
	if served == 0 {
		fail("no request is served")
	}
	f.note("DENIED held")
	return 0
}
