package node_test

import (
	"bufio"
	"context"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
)

// streamTimes reads a streamed completion and returns the time to its first
// event and to its end.
func streamTimes(b *testing.B, client *http.Client, address, body string) (first, whole time.Duration) {
	started := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+standin.DeploymentKey)
	resp, err := client.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			b.Fatal(err)
		}
		if first == 0 && strings.HasPrefix(string(line), "data: ") {
			first = time.Since(started)
		}
		if string(line) == "data: [DONE]\n" {
			return first, time.Since(started)
		}
	}
}

func percentile(times []time.Duration, share float64) float64 {
	slices.Sort(times)
	return float64(times[int(share*float64(len(times)-1))]) / float64(time.Microsecond)
}

// BenchmarkAddedTime compares a request through the router with the same
// request to the engine, turn by turn: added microseconds to the first event,
// and added microseconds per event of the rest.
func BenchmarkAddedTime(b *testing.B) {
	const tokens = 200
	f := newBenchFleet(b, standin.DeploymentOptions{Engines: 1})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	body := completionBody(tokens, true)
	var directFirst, routedFirst, directRest, routedRest []time.Duration
	for b.Loop() {
		first, whole := streamTimes(b, client, f.EngineAddress(0), body)
		directFirst = append(directFirst, first)
		directRest = append(directRest, (whole-first)/tokens)
		first, whole = streamTimes(b, client, f.nodes[0].settings.Listen, body)
		routedFirst = append(routedFirst, first)
		routedRest = append(routedRest, (whole-first)/tokens)
	}
	for name, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		b.ReportMetric(percentile(directFirst, share), "direct_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share), "routed_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share)-percentile(directFirst, share), "added_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share)/percentile(directFirst, share), "ratio_first_"+name)
		b.ReportMetric(percentile(routedRest, share)-percentile(directRest, share), "added_event_us_"+name)
	}
}

// BenchmarkOpenStreams opens 1,000 streams on one node and reports what a
// stream holds in memory, router, engine and client together, and whether any
// byte was lost.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 1000, 40
	f := newBenchFleet(b, standin.DeploymentOptions{
		Engines:          2,
		Engine:           standin.EngineOptions{TokenTime: 100 * time.Millisecond},
		FirstByteTimeout: 30 * time.Second,
		EventTimeout:     30 * time.Second,
		Deadline:         time.Minute,
	})
	for b.Loop() {
		before := heap()
		var wg sync.WaitGroup
		failures := make(chan error, streams)
		for range streams {
			wg.Go(func() { failures <- f.complete(f.nodes[0], tokens).check(tokens) })
		}
		time.Sleep(2 * time.Second)
		during := heap()
		wg.Wait()
		close(failures)
		lost := 0
		for err := range failures {
			if err != nil {
				lost++
			}
		}
		b.ReportMetric(float64(during-before)/streams/1024, "KiB/stream")
		b.ReportMetric(float64(lost), "broken_streams")
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
