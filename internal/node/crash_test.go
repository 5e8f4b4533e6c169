package node_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hibiscuscove/hibiscuscove/internal/standin"
	"github.com/hibiscuscove/hibiscuscove/internal/standin/modelengine"
)

const poison = "this text crashes engines"

func poisonedBody(i int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"%s %d","max_tokens":2,"stream":true}`, standin.DeploymentModelRoute, poison, i)
}

// TestCrashingRequest sends a request that crashes its upstream to every node,
// again and again, with and without pauses. At most two incarnations die of
// it, and requests that ran beside it are not punished.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"at once": 0, "with pauses": 100 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, fleetOptions{nodes: 3, dep: standin.DeploymentOptions{
				Engines: 6,
				Engine:  modelengine.Options{TokenTime: 20 * time.Millisecond},
			}})
			deaths := f.countDeaths(poison)
			var wg sync.WaitGroup
			beside := make(chan error, 100)
			for i := range 20 {
				wg.Go(func() {
					body := fmt.Sprintf(`{"model":%q,"prompt":"beside %d","max_tokens":30,"stream":true}`, standin.DeploymentModelRoute, i)
					c := f.completeBody(f.nodes[i%3], body)
					if !c.done {
						beside <- fmt.Errorf("request %d: %w %v", i, c.err, c.errors)
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			for i := range 9 {
				c := f.completeBody(f.nodes[i%3], poisonedBody(0))
				if c.done {
					t.Errorf("a request that crashes engines was answered")
				}
				time.Sleep(pause)
			}
			wg.Wait()
			close(beside)
			for err := range beside {
				t.Errorf("beside: %v", err)
			}
			if got := deaths(); got > 2 {
				t.Errorf("%d incarnations died of one request", got)
			}
			last := f.completeBody(f.nodes[0], poisonedBody(0))
			if !strings.Contains(fmt.Sprint(last.errors), "request_quarantined") {
				t.Errorf("the request is not quarantined: %v", last.errors)
			}
			again := f.completeBody(f.nodes[1], fmt.Sprintf(`{"model":%q,"prompt":"beside 1","max_tokens":1,"stream":true}`, standin.DeploymentModelRoute))
			if !again.done {
				t.Errorf("a request like those beside it is refused: %v", again.errors)
			}
		})
	}
}

// countDeaths has engines crash on a text and come back, and counts.
func (f *fleet) countDeaths(text string) func() int {
	var mu sync.Mutex
	deaths := 0
	for _, e := range f.Engines {
		e.OnCrash = func() {
			mu.Lock()
			deaths++
			mu.Unlock()
			time.Sleep(150 * time.Millisecond)
			e.Restart()
		}
		e.SetFault(modelengine.Fault{CrashOn: text})
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return deaths
	}
}

// TestDataCentreDies crashes all engines of a data centre within half a second
// under load. Nothing is quarantined by it.
func TestDataCentreDies(t *testing.T) {
	t.Parallel()
	f := newFleet(t, fleetOptions{nodes: 2, dep: standin.DeploymentOptions{
		Engines:     8,
		DataCentres: []string{"dc-1", "dc-2"},
		Engine:      modelengine.Options{TokenTime: 20 * time.Millisecond},
	}})
	var wg sync.WaitGroup
	bodies := make([]string, 40)
	for i := range bodies {
		bodies[i] = fmt.Sprintf(`{"model":%q,"prompt":"lot %d","max_tokens":30,"stream":true}`, standin.DeploymentModelRoute, i)
		wg.Go(func() { f.completeBody(f.nodes[i%2], bodies[i]) })
	}
	time.Sleep(200 * time.Millisecond)
	// One after another, so that requests move to engines that die next.
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
	f.eventually("all engines are live again", func() bool { return f.sees(f.nodes[0], 2) && f.sees(f.nodes[1], 2) })
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
		t.Errorf("after the data centre's death: %v", err)
	}
	for _, n := range f.nodes {
		if got := f.status(n).Quarantined; got != 0 {
			t.Errorf("%s has %d requests in quarantine", n.settings.Name, got)
		}
	}
}
