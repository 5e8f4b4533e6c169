package node_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/engineapi"
	"github.com/hibiscuscove/hibiscuscove/internal/settings"
	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

const crashingText = "this text crashes engines"

func crashingBody(i int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"%s %d","max_tokens":2,"stream":true}`, standin.DeploymentModelRoute, crashingText, i)
}

// TestCrashingRequest repeatedly sends a request that crashes its upstream to every
// node, with and without pauses. It must be quarantined after it has crashed at most
// two upstream incarnations. Requests that ran on the same upstreams must complete
// and not be quarantined.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"at once": 0, "with pauses": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{nodes: 3, dep: standin.DeploymentOptions{
				Engines: 6,
				Engine:  modelengine.Options{TokenInterval: 20 * time.Millisecond},
			}})
			crashes := f.countCrashes(crashingText)
			var wg sync.WaitGroup
			concurrentErrors := make(chan error, 100)
			for i := range 20 {
				wg.Go(func() {
					body := fmt.Sprintf(`{"model":%q,"prompt":"beside %d","max_tokens":30,"stream":true}`, standin.DeploymentModelRoute, i)
					c := f.completeBody(f.nodes[i%3], body)
					if !c.done {
						concurrentErrors <- fmt.Errorf("request %d: %w %v", i, c.err, c.errors)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			for i := range 9 {
				c := f.completeBody(f.nodes[i%3], crashingBody(0))
				if c.done {
					t.Errorf("a request that crashes engines completed")
				}
				time.Sleep(pause)
			}
			wg.Wait()
			close(concurrentErrors)
			for err := range concurrentErrors {
				t.Errorf("concurrent request: %v", err)
			}
			if got := crashes(); got > 2 {
				t.Errorf("one request crashed %d incarnations, want at most 2", got)
			}
			last := f.completeBody(f.nodes[0], crashingBody(0))
			if !strings.Contains(fmt.Sprint(last.errors), "request_quarantined") {
				t.Errorf("the request is not quarantined: %v", last.errors)
			}
			repeat := f.completeBody(f.nodes[1], fmt.Sprintf(`{"model":%q,"prompt":"beside 1","max_tokens":1,"stream":true}`, standin.DeploymentModelRoute))
			if !repeat.done {
				t.Errorf("a repeat of a concurrent request failed: %v", repeat.errors)
			}
		})
	}
}

// countCrashes makes every engine crash on prompts that contain a text and restart
// 150 ms later. It returns a function that returns the number of crashes.
func (f *fleet) countCrashes(text string) func() int {
	var mu sync.Mutex
	crashes := 0
	for _, e := range f.Engines {
		e.OnCrash = func() {
			mu.Lock()
			crashes++
			mu.Unlock()
			time.Sleep(150 * time.Millisecond)
			e.Restart()
		}
		e.SetFault(modelengine.Fault{CrashOnText: text})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return crashes
	}
}

// failedAttempts records the attempts that got no response, with their causes.
type failedAttempts struct {
	mu    sync.Mutex
	lines strings.Builder
}

// client returns a client that records its failed attempts.
func (f *failedAttempts) client(*fleet) upstream.Client {
	return recordingClient{engineapi.NewClient(engineapi.ClientOptions{}), f}
}

// String implements fmt.Stringer.
func (f *failedAttempts) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lines.String()
}

type recordingClient struct {
	*engineapi.Client
	failed *failedAttempts
}

func (c recordingClient) Send(ctx context.Context, address string, call upstream.Call) (upstream.Response, error) {
	sentAt := time.Now()
	resp, err := c.Client.Send(ctx, address, call)
	if err != nil {
		c.failed.mu.Lock()
		defer c.failed.mu.Unlock()
		fmt.Fprintf(&c.failed.lines, "%s after %v: request %s, attempt %d at %s: %v: %v\n",
			sentAt.Format("15:04:05.000"), time.Since(sentAt), call.Request, call.Attempt, address, err, errors.Unwrap(err))
	}
	return resp, err
}

// TestDataCentreCrash crashes all engines of a data centre within half a second
// under load. No request may be quarantined for it, although requests that are
// retried see several upstreams crash.
func TestDataCentreCrash(t *testing.T) {
	t.Parallel()
	failed := &failedAttempts{}
	// The engines share this process. With the 150 ms of the other tests a busy machine
	// makes sound ones look silent, and each new connection adds to its load.
	defaultSilence := func(_ int, s *settings.Settings) { s.SilenceMS = settings.Default().SilenceMS }
	f := newFleet(t, fleetOptions{nodes: 2, client: failed.client, adjust: defaultSilence, dep: standin.DeploymentOptions{
		Engines:     8,
		DataCentres: []string{"dc-1", "dc-2"},
		Engine:      modelengine.Options{TokenInterval: 20 * time.Millisecond},
	}})
	defer func() {
		if t.Failed() {
			t.Logf("attempts without a response:\n%s", failed)
		}
	}()
	var wg sync.WaitGroup
	bodies := make([]string, 40)
	for i := range bodies {
		bodies[i] = fmt.Sprintf(`{"model":%q,"prompt":"lot %d","max_tokens":30,"stream":true}`, standin.DeploymentModelRoute, i)
		wg.Go(func() { f.completeBody(f.nodes[i%2], bodies[i]) })
	}
	time.Sleep(200 * time.Millisecond)
	// Crash the engines one by one, so that retried requests move to engines that
	// crash next.
	for i, e := range f.Engines {
		if i%2 == 0 {
			e.Crash()
			time.Sleep(120 * time.Millisecond)
		}
	}
	wg.Wait()
	for _, e := range f.Engines {
		e.Restart()
	}
	f.eventually("all engines are live again", func() bool { return f.seesAllLive(f.nodes[0], 2) && f.seesAllLive(f.nodes[1], 2) })
	failures := make(chan error, 2*len(bodies))
	for i, body := range bodies {
		for _, n := range f.nodes {
			wg.Go(func() {
				if c := f.completeBody(n, body); !c.done {
					failures <- fmt.Errorf("request %d: %v", i, c.errors)
				}
			})
		}
	}
	wg.Wait()
	close(failures)
	for err := range failures {
		t.Errorf("after the data centre crashed: %v", err)
	}
	for _, n := range f.nodes {
		if got := f.status(n).Quarantined; got != 0 {
			t.Errorf("%s has quarantined %d requests", n.settings.Name, got)
		}
	}
}

// Guards against BUDGET: after a restart of all nodes nobody knew the requests that
// crash upstreams.
func TestCrashingRequestIsQuarantinedAfterRestartOfAllNodes(t *testing.T) {
	t.Parallel()
	opts := fleetOptions{nodes: 3, dep: standin.DeploymentOptions{
		Engines: 6,
		Engine:  modelengine.Options{TokenInterval: 20 * time.Millisecond},
	}}
	f := newFleet(t, opts)
	crashes := f.countCrashes(crashingText)
	quarantined := func(n *testNode) bool {
		return strings.Contains(fmt.Sprint(f.completeBody(n, crashingBody(0)).errors), "request_quarantined")
	}
	f.eventually("the request is quarantined", func() bool { return quarantined(f.nodes[0]) })
	time.Sleep(2 * time.Second)
	f.stopAll()
	f.nodes = nil
	for i := range opts.nodes {
		f.start(i+opts.nodes, opts)
	}
	f.eventually("every node is ready", func() bool {
		for _, n := range f.nodes {
			if !n.Ready() || !f.seesAllLive(n, len(f.nodes)) {
				return false
			}
		}
		return true
	})
	before := crashes()
	for _, n := range f.nodes {
		if !quarantined(n) {
			t.Errorf("%s has not quarantined the request", n.settings.Name)
		}
	}
	if after := crashes(); after != before {
		t.Errorf("the request crashed %d incarnations before the restart and %d after it", before, after-before)
	}
}
