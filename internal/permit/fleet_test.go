package permit_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/permit"
)

const (
	upstream = "i-1@1"
	window   = 4 * time.Second
	// maxSaved is the number of permits beyond the limit that all VMs together may
	// grant in a window. The users allow half of the limit and 5 requests more.
	maxSaved = 3.0
)

var errLost = errors.New("message lost")

// fleet is a set of VMs in virtual time that exchange messages by function calls.
type fleet struct {
	now     time.Time
	vms     map[string]*permit.Agent
	process int64
	// size is what VMs believe to be the size of the fleet, and view which candidates a
	// VM sees. Nil means the present ones.
	size func(vm string) int
	view func(vm string) []string
	// fate decides what becomes of a message.
	fate func(from, to string) messageFate
	// late are requests that arrive after their sender has given up.
	late []func()
	// stalled VMs do nothing.
	stalled map[string]bool
	granted []time.Time
}

type messageFate int

const (
	delivered messageFate = iota
	requestLost
	requestLate
	responseLost
)

func newFleet(n int) *fleet {
	f := &fleet{now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), vms: make(map[string]*permit.Agent), stalled: make(map[string]bool)}
	for i := range n {
		f.start("vm-" + strconv.Itoa(i))
	}
	return f
}

func (f *fleet) names() []string {
	var names []string
	for name := range f.vms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start starts or restarts a VM.
func (f *fleet) start(name string) {
	f.process++
	f.vms[name] = permit.NewAgent(permit.AgentOptions{
		Name: name, Process: f.process, Now: func() time.Time { return f.now },
		FleetSize: func(time.Time) int {
			if f.size != nil {
				return f.size(name)
			}
			return len(f.vms)
		},
		Candidates: func(time.Time) []string {
			if f.view != nil {
				return f.view(name)
			}
			return f.names()
		},
		Exchange: func(_ context.Context, to string, q permit.Request) (permit.Response, error) {
			fate := delivered
			if f.fate != nil {
				fate = f.fate(name, to)
			}
			target := f.vms[to]
			if target == nil || fate == requestLost {
				return permit.Response{}, errLost
			}
			if fate == requestLate {
				f.late = append(f.late, func() { target.Handle(f.now, q) })
				return permit.Response{}, errLost
			}
			r := target.Handle(f.now, q)
			if fate == responseLost {
				return permit.Response{}, errLost
			}
			return r, nil
		},
	})
}

// announce lets all VMs know of a limit.
func (f *fleet) announce(rate float64) {
	for _, name := range f.names() {
		f.vms[name].Observe(f.now, upstream, rate, f.now.Add(-time.Millisecond))
	}
}

func (f *fleet) renew(name string) { f.vms[name].Renew(context.Background()) }

// request asks for a permit at a VM and records it if it is granted.
func (f *fleet) request(name string, w permit.Want) bool {
	vm := f.vms[name]
	if vm.Limited(f.now, upstream) && (!vm.Available(f.now, upstream, false) || !vm.Acquire(context.Background(), f.now, upstream, w).Granted) {
		return false
	}
	f.granted = append(f.granted, f.now)
	return true
}

// inWindow returns the largest number of permits in any window that begins after from.
func (f *fleet) inWindow(from time.Time) int {
	most, end := 0, 0
	for i, at := range f.granted {
		for end < len(f.granted) && f.granted[end].Sub(at) < window {
			end++
		}
		if !at.Before(from) {
			most = max(most, end-i)
		}
	}
	return most
}

// run advances time in steps, with a renewal of each VM every 100 ms, and calls
// request for each arrival.
func (f *fleet) run(d time.Duration, perSecond float64, request func(n int)) {
	const step = 5 * time.Millisecond
	due := 0.0
	n := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += step {
		f.now = f.now.Add(step)
		if elapsed%(100*time.Millisecond) == 0 {
			for _, name := range f.names() {
				if !f.stalled[name] {
					f.renew(name)
				}
			}
		}
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			request(n)
			n++
		}
	}
}

// saturate runs the fleet for some time with more requests than the limit allows, at
// all VMs that are not stalled.
func (f *fleet) saturate(d time.Duration) {
	const perVM = 40
	f.run(d, float64(perVM*len(f.vms)), func(n int) {
		if name := f.names()[n%len(f.vms)]; !f.stalled[name] {
			f.request(name, permit.Want{Organisation: strconv.Itoa(n % 3), Priority: n % 2})
		}
	})
}

// see makes the VMs for which group returns the same name choose that one as issuer.
func (f *fleet) see(group func(vm string) string) {
	f.view = func(vm string) []string { return []string{group(vm)} }
}

// deliverLate lets all late messages arrive.
func (f *fleet) deliverLate() {
	late := f.late
	f.late = nil
	for _, arrive := range late {
		arrive()
	}
}

// checkSum fails if more permits than allowed were granted in any window.
func (f *fleet) checkSum(t interface {
	Fatalf(format string, args ...any)
}, rate float64) {
	if got, bound := f.inWindow(time.Time{}), rate*window.Seconds()+maxSaved; float64(got) > bound {
		t.Fatalf("%d permits in %v, allowed %.1f", got, window, bound)
	}
}

// Guards against LIMIT: a share that counts at two issuers, or saved permits that
// outlive the share they were saved for. Most VMs go from one issuer to another in each
// case, and both have more requests than they may send.
func TestShareCountsOnce(t *testing.T) {
	const first, second = "vm-0", "vm-1"
	all := func(name string) func(string) string { return func(string) string { return name } }
	// One VM stays with the first issuer, the others go to the second.
	leave := func(vm string) string {
		if vm == first {
			return first
		}
		return second
	}
	tests := map[string]struct {
		rate   float64
		change func(f *fleet)
	}{
		"VMs move": {10, func(f *fleet) { f.see(leave) }},
		"VMs move while messages to the first are lost": {10, func(f *fleet) {
			f.fate = func(_, to string) messageFate { return choose(to == first, requestLost, delivered) }
			f.see(leave)
		}},
		"shares arrive at the first after they were withdrawn": {20, func(f *fleet) {
			f.fate = func(_, to string) messageFate { return choose(to == first, requestLate, delivered) }
			f.run(550*time.Millisecond, 0, nil)
			late := f.late
			f.fate = nil
			f.see(leave)
			f.saturate(100 * time.Millisecond)
			f.late = late
			f.deliverLate()
		}},
		"shares arrive at the first long after": {10, func(f *fleet) {
			f.fate = func(_, to string) messageFate { return choose(to == first, requestLate, delivered) }
			f.run(600*time.Millisecond, 0, nil)
			late := f.late
			f.see(leave)
			f.saturate(4 * time.Second)
			f.late = late
			f.deliverLate()
		}},
		"VMs restart": {10, func(f *fleet) {
			for _, name := range f.names() {
				if name != first {
					f.start(name)
					f.vms[name].Observe(f.now, upstream, 10, f.now)
				}
			}
			f.see(leave)
		}},
		"the first restarts": {10, func(f *fleet) {
			f.start(first)
			f.vms[first].Observe(f.now, upstream, 10, f.now)
		}},
		"the first leaves": {10, func(f *fleet) {
			f.vms[first].Close()
			f.see(all(second))
		}},
		"thirds, with time to save": {0.2, func(f *fleet) {
			f.see(func(vm string) string { return "vm-" + strconv.Itoa(int(vm[len(vm)-1]-'0')%3) })
			f.run(time.Minute, 0, nil)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(9)
			f.see(all(first))
			f.announce(tt.rate)
			f.run(20*time.Second, 0, nil)
			if tt.rate > 1 {
				f.saturate(2 * time.Second)
			}
			tt.change(f)
			f.saturate(10 * time.Second)
			f.checkSum(t, tt.rate)
			if len(f.granted) < 3 {
				t.Errorf("%d permits in all", len(f.granted))
			}
		})
	}
}

func choose[T any](condition bool, a, b T) T {
	if condition {
		return a
	}
	return b
}

// Guards against LIMIT: the sum of what all VMs send must hold the limit whatever
// they believe of one another, and whatever is lost, late, restarted or joins.
func TestSumHoldsInAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 5, 8, 16}).Draw(t, "vms")
		rate := rapid.SampledFrom([]float64{0.2, 1, 2.4, 20}).Draw(t, "rate")
		f := newFleet(n)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lossy := false
		cut := map[string]bool{}
		f.fate = func(from, to string) messageFate {
			if cut[from] != cut[to] {
				return requestLost
			}
			if f.stalled[to] {
				return requestLate
			}
			if lossy {
				return messageFate(rng.IntN(4))
			}
			return delivered
		}
		// VMs that have ended count for a while, new ones at once.
		size := n
		f.size = func(string) int { return size }
		f.announce(rate)
		anyVM := func() string { return f.names()[rng.IntN(len(f.vms))] }
		start := func(name string) {
			f.start(name)
			f.vms[name].Observe(f.now, upstream, rate, f.now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"time passes":   func(*rapid.T) { f.run(time.Duration(rng.IntN(4000))*time.Millisecond, 0, nil) },
			"requests":      func(*rapid.T) { f.saturate(time.Duration(200+rng.IntN(1500)) * time.Millisecond) },
			"messages fail": func(*rapid.T) { lossy = !lossy },
			"views differ": func(*rapid.T) {
				first, second, parts := anyVM(), anyVM(), 1+rng.IntN(3)
				f.see(func(vm string) string { return choose(int(vm[len(vm)-1])%(parts+1) == 0, first, second) })
			},
			"views agree":     func(*rapid.T) { f.view = nil },
			"a VM is cut off": func(*rapid.T) { name := anyVM(); cut[name] = !cut[name] },
			"a VM stalls":     func(*rapid.T) { f.stalled[anyVM()] = true },
			"stalled VMs go on": func(*rapid.T) {
				clear(f.stalled)
				f.deliverLate()
			},
			"late messages arrive": func(*rapid.T) { f.deliverLate() },
			"a VM restarts":        func(*rapid.T) { start(anyVM()) },
			"all but one restart": func(*rapid.T) {
				stays := anyVM()
				for _, name := range f.names() {
					if name != stays {
						start(name)
					}
				}
			},
			"an issuer leaves": func(*rapid.T) { f.vms[anyVM()].Close() },
			"a VM joins": func(*rapid.T) {
				if size <= 20 {
					size++
					start(fmt.Sprintf("new-%d", size))
				}
			},
			"": func(t *rapid.T) { f.checkSum(t, rate) },
		})
	})
}

// TestLimitIsUsed plays load patterns on fleets of several sizes: whichever VMs the
// callers choose, the limit is used and holds.
func TestLimitIsUsed(t *testing.T) {
	const minUse = 0.9
	patterns := map[string]func(f *fleet, n int) string{
		"all at one VM": func(f *fleet, _ int) string { return f.names()[0] },
		"spread":        func(f *fleet, n int) string { return f.names()[n%len(f.vms)] },
	}
	for pattern, choose := range patterns {
		for _, vms := range []int{1, 8, 16, 65} {
			for _, rate := range []float64{0.2, 2, 50} {
				t.Run(fmt.Sprintf("%s, %d VMs, %v per second", pattern, vms, rate), func(t *testing.T) {
					f := newFleet(vms)
					f.announce(rate)
					f.run(5*time.Second, 0, nil)
					begin := f.now
					d := max(20*time.Second, time.Duration(20/rate)*time.Second)
					f.run(d, 10*rate+20, func(n int) { f.request(choose(f, n), permit.Want{}) })
					use := float64(len(f.granted)) / (rate * f.now.Sub(begin).Seconds())
					most := f.inWindow(time.Time{})
					t.Logf("%.2f of the limit used, at most %d in %v", use, most, window)
					if use < minUse || float64(most) > rate*window.Seconds()+maxSaved {
						t.Errorf("%.2f used, %d in %v", use, most, window)
					}
				})
			}
		}
	}
}

// TestScarcePermits checks who gets the permits when more are asked for.
func TestScarcePermits(t *testing.T) {
	const rate = 2.0
	type class struct {
		vm        string
		want      permit.Want
		perSecond int
	}
	tests := map[string]struct {
		classes []class
		// minServed is the least share of its requests that each class gets permits for.
		minServed []float64
	}{
		"urgent before others": {[]class{
			{"vm-0", permit.Want{Organisation: "a", Priority: 5}, 20}, {"vm-1", permit.Want{Organisation: "a", Priority: 1}, 1},
		}, []float64{0, 0.8}},
		"organisations alike, whatever they ask for": {[]class{
			{"vm-0", permit.Want{Organisation: "large"}, 40}, {"vm-1", permit.Want{Organisation: "small"}, 4},
		}, []float64{0.02, 0.2}},
		"first attempts before retries": {[]class{
			{"vm-0", permit.Want{Organisation: "a", Retry: true}, 20}, {"vm-1", permit.Want{Organisation: "a"}, 1},
		}, []float64{0, 0.8}},
		"retries if nobody else asks": {[]class{
			{"vm-0", permit.Want{Organisation: "a", Retry: true}, 20},
		}, []float64{0.09}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3)
			f.announce(rate)
			f.run(5*time.Second, 0, nil)
			got, asked := make([]float64, len(tt.classes)), make([]float64, len(tt.classes))
			total := 0
			for _, c := range tt.classes {
				total += c.perSecond
			}
			rng := rand.New(rand.NewPCG(1, 1))
			f.run(60*time.Second, float64(total), func(int) {
				at := rng.IntN(total)
				for i, c := range tt.classes {
					if at < c.perSecond {
						asked[i]++
						if f.request(c.vm, c.want) {
							got[i]++
						}
						break
					}
					at -= c.perSecond
				}
			})
			for i, n := range got {
				if share := n / asked[i]; share < tt.minServed[i] {
					t.Errorf("class %d: %.3f of its requests got permits, want %.3f; all: %v of %v", i, share, tt.minServed[i], got, asked)
				}
			}
		})
	}
}

// TestEndIsFound checks that VMs find out that a limit has ended, also those that see
// no response, and do not all return at the same moment.
func TestEndIsFound(t *testing.T) {
	f := newFleet(16)
	f.announce(2)
	f.run(5*time.Second, 0, nil)
	first := f.vms["vm-0"]
	if first.Available(f.now, upstream, true) != true {
		t.Fatal("no trial although the last news is old")
	}
	sentAt := f.now
	f.now = f.now.Add(20 * time.Millisecond)
	first.Observe(f.now, upstream, math.Inf(1), sentAt)
	for _, r := range first.Reports(f.now) {
		for _, name := range f.names()[1:] {
			f.vms[name].Learn(f.now, r)
		}
	}
	var limited []int
	for range 5 {
		n := 0
		for _, vm := range f.vms {
			if vm.Limited(f.now, upstream) {
				n++
			}
		}
		limited = append(limited, n)
		f.now = f.now.Add(time.Second)
	}
	if limited[0] < 12 || limited[2] < 3 || limited[2] > 13 || limited[4] != 0 {
		t.Errorf("VMs that need permits in each second after the end: %v", limited)
	}
}

// TestRejectedComeBackOneByOne checks that those who are rejected at the same moment
// are told different times, no sooner than there is room.
func TestRejectedComeBackOneByOne(t *testing.T) {
	const rate = 2.0
	f := newFleet(3)
	f.announce(rate)
	f.run(5*time.Second, 0, nil)
	for f.request("vm-0", permit.Want{}) {
	}
	last := time.Duration(0)
	for i := range 10 {
		at := f.vms["vm-0"].RetryAfter(f.now, upstream)
		if least := time.Duration(float64(time.Second) / rate); at < last+least {
			t.Errorf("caller %d: back after %v, the one before after %v; want %v between them", i, at, last, least)
		}
		last = at
	}
}
