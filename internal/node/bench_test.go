package node_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/openai"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/stream"
)

const benchTokens = 100

// stampEngine streams benchTokens events a millisecond apart. The text of each is
// the time at which it was written, in Unix nanoseconds.
func stampEngine(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderIncarnation, "stamp")
	if r.URL.Path == "/health" {
		_, _ = fmt.Fprint(w, `{"state":"live","incarnation":"stamp"}`)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	attempt, _ := strconv.Atoi(r.Header.Get(engineapi.HeaderAttempt))
	tag := stream.Tag{Request: r.Header.Get(engineapi.HeaderRequest), Attempt: attempt}
	for tag.Index = 0; tag.Index < benchTokens; tag.Index++ {
		_, _ = fmt.Fprintf(w, "id: %s\ndata: {\"choices\":[{\"index\":0,\"text\":\"%d\"}]}\n\n", tag, time.Now().UnixNano())
		w.(http.Flusher).Flush()
		time.Sleep(time.Millisecond)
	}
	_, _ = fmt.Fprintf(w, "id: %s\ndata: [DONE]\n\n", tag)
}

// streamTimes reads a stream of stampEngine and returns the time to the first event
// and the age of each further event at its arrival.
func streamTimes(b *testing.B, client *http.Client, address string) (first time.Duration, ages []time.Duration) {
	started := time.Now()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completionBody(benchTokens, true)))
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
		now := time.Now()
		text := openai.ParseDelta(bytes.TrimPrefix(line, []byte("data: "))).Text
		switch at, err := strconv.ParseInt(text, 10, 64); {
		case string(line) == "data: [DONE]\n":
			return first, ages
		case err != nil:
		case first == 0:
			first = now.Sub(started)
		default:
			ages = append(ages, now.Sub(time.Unix(0, at)))
		}
	}
}

// percentile sorts times and returns the value below which the given share (0 to 1) of
// them lies, in microseconds.
func percentile(times []time.Duration, share float64) float64 {
	slices.Sort(times)
	return float64(times[int(share*float64(len(times)-1))]) / float64(time.Microsecond)
}

// BenchmarkAddedTime alternates between requests to the engine and the same requests
// through the router. It reports the time to the first event and the time from the
// writing of an event to its arrival, both in microseconds.
func BenchmarkAddedTime(b *testing.B) {
	engine := httptest.NewServer(http.HandlerFunc(stampEngine))
	defer engine.Close()
	f := newBenchFleet(b, standin.DeploymentOptions{Engines: 1})
	set := f.Configuration()
	set.Pools[0].Upstreams[0].Address = engine.Listener.Addr().String()
	raw, err := json.Marshal(set)
	if err != nil {
		b.Fatal(err)
	}
	f.apply(raw)
	f.eventually("the engine is live", func() bool { return f.seesAllLive(f.nodes[0], 1) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var directFirst, routedFirst, directAges, routedAges []time.Duration
	for b.Loop() {
		first, ages := streamTimes(b, client, engine.Listener.Addr().String())
		directFirst = append(directFirst, first)
		directAges = append(directAges, ages...)
		first, ages = streamTimes(b, client, f.nodes[0].settings.Listen)
		routedFirst = append(routedFirst, first)
		routedAges = append(routedAges, ages...)
	}
	for name, share := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		b.ReportMetric(percentile(directFirst, share), "direct_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share), "routed_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share)-percentile(directFirst, share), "added_first_us_"+name)
		b.ReportMetric(percentile(routedFirst, share)/percentile(directFirst, share), "ratio_first_"+name)
		b.ReportMetric(percentile(directAges, share), "direct_event_us_"+name)
		b.ReportMetric(percentile(routedAges, share), "routed_event_us_"+name)
		b.ReportMetric(percentile(routedAges, share)-percentile(directAges, share), "added_event_us_"+name)
	}
}

// BenchmarkOpenStreams opens 1,000 streams on one node. It reports the memory per
// stream of router, engine and client together, and the number of streams that did
// not arrive complete.
func BenchmarkOpenStreams(b *testing.B) {
	const streams, tokens = 1000, 40
	f := newBenchFleet(b, standin.DeploymentOptions{
		Engines:          2,
		Engine:           modelengine.Options{TokenInterval: 100 * time.Millisecond},
		FirstByteTimeout: 30 * time.Second,
		EventTimeout:     30 * time.Second,
		Deadline:         time.Minute,
	})
	for b.Loop() {
		before := heapBytes()
		var wg sync.WaitGroup
		failures := make(chan error, streams)
		for range streams {
			wg.Go(func() { failures <- f.complete(f.nodes[0], tokens).check(tokens) })
		}
		time.Sleep(2 * time.Second)
		during := heapBytes()
		wg.Wait()
		close(failures)
		broken := 0
		for err := range failures {
			if err != nil {
				broken++
			}
		}
		b.ReportMetric(float64(during-before)/streams/1024, "KiB/stream")
		b.ReportMetric(float64(broken), "broken_streams")
	}
}

// heapBytes returns the bytes in use by the heap and by stacks after a collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkSlopeRequest measures a complete request with 10 and with 100 events,
// including caller and engine. The difference is the cost per event.
func BenchmarkSlopeRequest(b *testing.B) {
	for _, tokens := range []int{10, 100} {
		b.Run(fmt.Sprintf("events=%d", tokens), func(b *testing.B) {
			f := newBenchFleet(b, standin.DeploymentOptions{Engines: 1})
			b.ReportAllocs()
			for b.Loop() {
				if err := f.complete(f.nodes[0], tokens).check(tokens); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
