package permit_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/permit"
	"github.com/hibiscuscove/hibiscuscove/internal/quota"
	"github.com/hibiscuscove/hibiscuscove/internal/registry"
)

const (
	customer = "reef"
	// quotaWindow and the two figures of bound are those that the users state.
	quotaWindow = 8 * time.Second
)

// small is the quota of the smallest organisations, large that of a large one.
var (
	medium = quota.Limit{Rate: 200_000, Burst: 200_000, Tokens: true, PlainTokens: 200}
	small  = quota.Limit{Rate: 29_000, Burst: 29_000, Tokens: true, PlainTokens: 200}
	large  = quota.Limit{Rate: 1_529_913, Burst: 1_529_913, Tokens: true, PlainTokens: 200}
)

func bound(l quota.Limit) float64 {
	return (float64(l.Rate)*quotaWindow.Seconds()+float64(l.Burst))*1.1 + 110_000
}

// quotaFleet is a set of VMs in virtual time that exchange messages by function calls.
type quotaFleet struct {
	now     time.Time
	order   []string
	vms     map[string]*permit.Quotas
	limits  map[string]*quota.Limits
	process int64
	// size is what VMs believe to be the size of the fleet.
	size int
	// cut reports whether a message from one VM to another is lost.
	cut func(from, to string) bool
	// repeat delivers each message twice.
	repeat bool
	frozen map[string]bool
	// replyTime is how long replies take. Those that take longer than the caller waits count
	// as lost.
	replyTime time.Duration
	spent     []spending
	// candidates are those at candidatesAt.
	candidates   []string
	candidatesAt time.Time

	mu           sync.Mutex
	calls, bytes int
	served       map[string]int
}

// spending is a request that was granted.
type spending struct {
	at    time.Time
	units uint64
}

func newQuotaFleet(n int, l quota.Limit) *quotaFleet {
	f := &quotaFleet{
		now: time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC), vms: make(map[string]*permit.Quotas), limits: make(map[string]*quota.Limits),
		size: n, frozen: make(map[string]bool), served: make(map[string]int),
	}
	for i := range n {
		f.order = append(f.order, "vm-"+strconv.Itoa(i))
	}
	f.publish(1, l)
	for _, name := range f.order {
		f.start(name)
	}
	return f
}

// publish puts a configuration in force at the given VMs, at all without any.
func (f *quotaFleet) publish(revision uint64, l quota.Limit, names ...string) {
	limits := &quota.Limits{Position: registry.Position{Revision: revision}, ByOrganisation: map[string]quota.Limit{}}
	if l.Limited() {
		limits.ByOrganisation[customer] = l
	}
	f.publishAll(limits, names...)
}

func (f *quotaFleet) publishAll(limits *quota.Limits, names ...string) {
	if len(names) == 0 {
		names = f.order
	}
	for _, name := range names {
		f.limits[name] = limits
	}
}

// start starts or restarts a VM.
func (f *quotaFleet) start(name string) {
	f.process++
	f.vms[name] = permit.NewQuotas(permit.QuotaOptions{
		Name: name, Process: f.process, Now: func() time.Time { return f.now },
		FleetSize: func(time.Time) int { return f.size }, Tolerance: quota.Tolerance{Over: 0.1, Units: 110_000},
		Limits: func() *quota.Limits { return f.limits[name] },
		Candidates: func(now time.Time) []string {
			if !f.candidatesAt.Equal(now) {
				f.candidates, f.candidatesAt = nil, now
				for _, other := range f.order {
					// Beacons take long to tell that a VM is gone.
					if vm := f.vms[other]; vm == nil || vm.Joined(now) {
						f.candidates = append(f.candidates, other)
					}
				}
			}
			return f.candidates
		},
		Exchange: func(ctx context.Context, to string, q permit.QuotaRequest) (permit.QuotaResponse, error) {
			// VMs wait by the real clock, so that only the length of the wait counts here.
			deadline, _ := ctx.Deadline()
			patience := time.Until(deadline)
			f.mu.Lock()
			defer f.mu.Unlock()
			raw, err := q.Encode()
			if err != nil {
				return permit.QuotaResponse{}, err
			}
			target := f.vms[to]
			f.calls++
			f.bytes += len(raw)
			if target == nil || f.frozen[to] || f.lost(name, to) {
				return permit.QuotaResponse{}, errLost
			}
			f.served[to]++
			q, err = permit.DecodeQuota[permit.QuotaRequest](raw)
			if err != nil {
				return permit.QuotaResponse{}, err
			}
			if f.repeat {
				target.Handle(f.now, name, q)
			}
			raw, err = target.Handle(f.now, name, q).Encode()
			if err != nil || f.lost(to, name) || patience < f.replyTime {
				return permit.QuotaResponse{}, errLost
			}
			f.bytes += len(raw)
			return permit.DecodeQuota[permit.QuotaResponse](raw)
		},
		Return: func(to string, r permit.QuotaReturn) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if target := f.vms[to]; target != nil && !f.frozen[to] && !f.lost(name, to) {
				target.TakeBack(f.now, name, r)
				if f.repeat {
					target.TakeBack(f.now, name, r)
				}
			}
		},
	})
}

func (f *quotaFleet) lost(from, to string) bool { return f.cut != nil && f.cut(from, to) }

// request asks for units at a VM and records what is granted.
func (f *quotaFleet) request(name string, units uint64) permit.QuotaGrant {
	g := f.ask(name, units)
	if g.Granted {
		f.spent = append(f.spent, spending{f.now, units})
	}
	return g
}

func (f *quotaFleet) ask(name string, units uint64) permit.QuotaGrant {
	limits := f.limits[name]
	l := limits.ByOrganisation[customer]
	return f.vms[name].Acquire(context.Background(), f.now, permit.QuotaWant{Organisation: customer, Limit: l, Position: limits.Position, Units: units})
}

// run advances time in steps, with a renewal of each VM every 100 ms, and calls step
// after each.
func (f *quotaFleet) run(d time.Duration, step func(elapsed time.Duration)) {
	const length = 5 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < d; elapsed += length {
		f.now = f.now.Add(length)
		for i, name := range f.order {
			// VMs do not renew at the same time.
			if phase := time.Duration(i%20) * length; (elapsed+phase)%(100*time.Millisecond) == 0 && f.running(name) {
				f.vms[name].Renew(context.Background())
			}
		}
		if step != nil {
			step(elapsed)
		}
	}
}

func (f *quotaFleet) running(name string) bool { return f.vms[name] != nil && !f.frozen[name] }

// load sends units per second in requests of two sizes, at all VMs in turn that run.
func (f *quotaFleet) load(perSecond float64) func(time.Duration) {
	due, n := 0.0, 0
	sizes := []uint64{826, 9_190, 826, 200}
	return func(time.Duration) {
		for due += perSecond * 0.005; due > 0; n++ {
			units := sizes[n%len(sizes)]
			due -= float64(units)
			if name := f.order[n*7%len(f.order)]; f.running(name) {
				f.request(name, units)
			}
		}
	}
}

// saturate sends three times what the limit allows.
func (f *quotaFleet) saturate(d time.Duration, l quota.Limit) { f.run(d, f.load(3*float64(l.Rate))) }

// since returns the units granted since a time.
func (f *quotaFleet) since(from time.Time) float64 {
	sum := 0.0
	for _, s := range f.spent {
		if s.at.After(from) {
			sum += float64(s.units)
		}
	}
	return sum
}

// mostInWindow returns the largest number of units in any window that begins after from.
func (f *quotaFleet) mostInWindow(from time.Time) float64 {
	most, sum, end := 0.0, 0.0, 0
	for _, first := range f.spent {
		for ; end < len(f.spent) && f.spent[end].at.Sub(first.at) < quotaWindow; end++ {
			sum += float64(f.spent[end].units)
		}
		if !first.at.Before(from) {
			most = max(most, sum)
		}
		sum -= float64(first.units)
	}
	return most
}

type failer interface {
	Helper()
	Errorf(format string, args ...any)
}

func (f *quotaFleet) checkBound(t failer, from time.Time, l quota.Limit) {
	t.Helper()
	if got := f.mostInWindow(from); got > bound(l) {
		t.Errorf("%.0f units in %v, allowed %.0f", got, quotaWindow, bound(l))
	}
}

// issuerOf returns the VM that most VMs delegate the customer's shard to.
func (f *quotaFleet) issuerOf() string {
	votes := make(map[string]int)
	for _, name := range f.order {
		if f.running(name) {
			if issuer := f.vms[name].Status(f.now).Organisations[customer].Issuer; issuer != "" {
				votes[issuer]++
			}
		}
	}
	best := ""
	for name, n := range votes {
		if n > votes[best] {
			best = name
		}
	}
	return best
}

// Guards against QUOTA: each failure by itself must neither let more pass than the users
// allow nor, once it is over or another VM issues, leave the quota unused.
func TestQuotaFailures(t *testing.T) {
	cutOff := func(victim string) func(from, to string) bool {
		return func(from, to string) bool { return (from == victim) != (to == victim) }
	}
	// Each failure begins under load at three times the limit; recovery is how long after
	// its begin the fleet grants the full rate again.
	tests := map[string]struct {
		fail     func(f *quotaFleet, issuer string)
		recovery time.Duration
	}{
		"none": {func(*quotaFleet, string) {}, 0},
		"issuer crashes": {func(f *quotaFleet, issuer string) {
			f.vms[issuer] = nil
		}, 1500 * time.Millisecond},
		"issuer is frozen for 3 s": {func(f *quotaFleet, issuer string) {
			f.frozen[issuer] = true
			f.saturate(3*time.Second, f.limits[issuer].ByOrganisation[customer])
			f.frozen[issuer] = false
		}, 5 * time.Second},
		"issuer is cut off": {func(f *quotaFleet, issuer string) {
			f.cut = cutOff(issuer)
		}, 1500 * time.Millisecond},
		"issuer receives nothing": {func(f *quotaFleet, issuer string) {
			f.cut = func(_, to string) bool { return to == issuer }
		}, 1500 * time.Millisecond},
		"issuer's replies are lost": {func(f *quotaFleet, issuer string) {
			f.cut = func(from, _ string) bool { return from == issuer }
		}, 1500 * time.Millisecond},
		"issuer stops": {func(f *quotaFleet, issuer string) {
			f.vms[issuer].Close()
		}, 1500 * time.Millisecond},
		"issuer restarts": {func(f *quotaFleet, issuer string) {
			f.start(issuer)
		}, 2 * time.Second},
		"all restart at once": {func(f *quotaFleet, _ string) {
			for _, name := range f.order {
				f.start(name)
			}
		}, 2 * time.Second},
		"half is cut off for 12 s": {func(f *quotaFleet, issuer string) {
			half := func(name string) bool { return slices.Index(f.order, name) < len(f.order)/2 }
			f.cut = func(from, to string) bool { return half(from) != half(to) }
			f.saturate(12*time.Second, f.limits[issuer].ByOrganisation[customer])
			f.cut = nil
		}, 14 * time.Second},
		"all are cut off from one another for 12 s": {func(f *quotaFleet, issuer string) {
			f.cut = func(string, string) bool { return true }
			f.saturate(12*time.Second, f.limits[issuer].ByOrganisation[customer])
			f.cut = nil
		}, 14 * time.Second},
		"messages arrive twice": {func(f *quotaFleet, _ string) { f.repeat = true }, 0},
		"a quarter of the messages is lost": {func(f *quotaFleet, _ string) {
			n := 0
			f.cut = func(string, string) bool { n++; return n%4 == 0 }
		}, 0},
		"half of the fleet restarts every second": {func(f *quotaFleet, issuer string) {
			for n := range 12 {
				for i, name := range f.order {
					if i%2 == n%2 {
						f.start(name)
					}
				}
				f.saturate(time.Second, f.limits[issuer].ByOrganisation[customer])
			}
		}, 15 * time.Second},
	}
	fleets := map[string]struct {
		vms   int
		limit quota.Limit
	}{"small, 3 VMs": {3, small}, "large, 20 VMs": {20, large}, "small, 74 VMs": {74, small}}
	for name, test := range tests {
		for fleet, of := range fleets {
			t.Run(name+", "+fleet, func(t *testing.T) {
				n, l := of.vms, of.limit
				f := newQuotaFleet(n, l)
				f.saturate(6*time.Second, l)
				began := f.now
				test.fail(f, f.issuerOf())
				f.saturate(began.Add(test.recovery).Sub(f.now), l)
				recovered := f.now
				f.saturate(5*time.Second, l)
				f.checkBound(t, time.Time{}, l)
				if got, want := f.since(recovered), 0.95*5*float64(l.Rate)*float64(n-1)/float64(n); got < want {
					t.Errorf("%.0f units in the 5 s after recovery, want %.0f", got, want)
				}
			})
		}
	}
}

// Guards against QUOTA: what is below the limit and refused is lost. The organisation sends
// its rate exactly.
func TestQuotaBelowLimit(t *testing.T) {
	tests := map[string]func(f *quotaFleet, l quota.Limit) func(time.Duration){
		"evenly": func(f *quotaFleet, l quota.Limit) func(time.Duration) { return f.load(float64(l.Rate)) },
		"in a burst each second": func(f *quotaFleet, l quota.Limit) func(time.Duration) {
			return func(elapsed time.Duration) {
				if elapsed%time.Second == 0 {
					for sum, n := uint64(0), 0; sum+500 <= l.Burst; n++ {
						f.request(f.order[n%len(f.order)], 500)
						sum += 500
					}
				}
			}
		},
		"through one VM": func(f *quotaFleet, l quota.Limit) func(time.Duration) {
			due := 0.0
			return func(time.Duration) {
				for due += float64(l.Rate) * 0.005; due >= 826; due -= 826 {
					f.request(f.order[len(f.order)-1], 826)
				}
			}
		},
		"in requests that are larger than the burst": func(f *quotaFleet, l quota.Limit) func(time.Duration) {
			return func(elapsed time.Duration) {
				if elapsed%(2*time.Second) == 0 {
					f.request(f.order[0], 2*l.Rate)
				}
			}
		},
	}
	for name, pattern := range tests {
		for size, l := range map[string]quota.Limit{"small": small, "large": large} {
			t.Run(name+", "+size, func(t *testing.T) {
				f := newQuotaFleet(74, l)
				f.run(4*time.Second, nil)
				f.spent = nil
				from := f.now
				f.run(12*time.Second, pattern(f, l))
				if got, want := f.since(from), 0.99*12*float64(l.Rate); got < want {
					t.Errorf("%.0f units granted, want %.0f", got, want)
				}
			})
		}
	}
}

// Guards against QUOTA: a limit that changes. The lower one binds from one window after all
// VMs have it, a higher one and none at once, whichever VM has it first.
func TestQuotaChanges(t *testing.T) {
	fifth := quota.Limit{Rate: large.Rate / 5, Burst: large.Burst / 5, Tokens: true}
	f := newQuotaFleet(20, large)
	f.saturate(6*time.Second, large)
	f.publish(2, fifth)
	lowered := f.now
	f.saturate(15*time.Second, large)
	f.checkBound(t, lowered, fifth)
	if got, want := f.since(lowered.Add(2*time.Second)), 0.95*13*float64(fifth.Rate); got < want {
		t.Errorf("lowered limit: %.0f units granted, want %.0f", got, want)
	}
	// One VM has the new configuration, and it is not the issuer.
	first := f.order[0]
	if first == f.issuerOf() {
		first = f.order[1]
	}
	f.publish(3, large, first)
	f.run(time.Second, nil)
	f.request(first, 1)
	f.run(time.Second, nil)
	if g := f.request(first, large.Burst/2); !g.Granted {
		t.Errorf("raised limit: request refused (%s)", g.Source)
	}
	f.publish(4, quota.Limit{}, f.issuerOf())
	f.run(200*time.Millisecond, nil)
	for range 20 {
		if g := f.ask(first, large.Burst); !g.Granted {
			t.Fatalf("limit removed at the issuer: request refused (%s)", g.Source)
		}
	}
	f.publish(5, quota.Limit{})
	f.run(time.Second, nil)
	f.calls = 0
	for range 20 {
		if g := f.ask(first, large.Burst); !g.Granted {
			t.Fatalf("no limit: request refused (%s)", g.Source)
		}
	}
	f.run(2*time.Second, nil)
	if f.calls != 0 {
		t.Errorf("no limit: %d calls", f.calls)
	}
	f.run(6*time.Second, nil)
	f.publish(6, small)
	f.run(time.Second, nil)
	if g := f.ask(first, small.Burst/2); !g.Granted {
		t.Errorf("limit of an organisation that had none: first request refused (%s)", g.Source)
	}
}

// Guards against QUOTA: in a healthy fleet a VM that has just started refuses requests of an
// organisation that is far below its limit.
func TestQuotaAtNewVM(t *testing.T) {
	for _, n := range []int{3, 74} {
		f := newQuotaFleet(n, small)
		f.run(4*time.Second, nil)
		started := f.order[0]
		if started == f.issuerOf() {
			started = f.order[1]
		}
		f.start(started)
		f.run(3*time.Second, func(elapsed time.Duration) {
			if elapsed > 100*time.Millisecond && elapsed%(500*time.Millisecond) == 0 {
				if g := f.request(started, 9_190); !g.Granted {
					t.Errorf("%d VMs, after %v: refused (%s, retry after %v)", n, elapsed, g.Source, g.RetryAfter)
				}
			}
		})
	}
}

// Guards against QUOTA: VMs that are short of processor time, so that replies take longer
// than two attempts wait, must not refuse what is below the limit, nor count it twice.
func TestQuotaLateReplies(t *testing.T) {
	f := newQuotaFleet(74, small)
	f.run(4*time.Second, nil)
	f.replyTime = 60 * time.Millisecond
	n := 0
	f.run(8*time.Second, func(elapsed time.Duration) {
		if elapsed%(400*time.Millisecond) == 0 {
			n++
			if g := f.request(f.order[n*7%74], 9_190); !g.Granted {
				t.Errorf("after %v: refused (%s, retry after %v)", elapsed, g.Source, g.RetryAfter)
			}
		}
	})
}

// Guards against QUOTA: requests that were admitted and did not run must not use up the
// quota, nor may they give back more than they took.
func TestQuotaRefund(t *testing.T) {
	f := newQuotaFleet(20, small)
	f.run(4*time.Second, nil)
	f.run(4*time.Second, func(time.Duration) {
		g := f.ask(f.order[3], 20_000)
		f.vms[f.order[3]].Refund(f.now, g)
		f.vms[f.order[3]].Renew(context.Background())
		if !g.Granted {
			t.Errorf("refused (%s) although nothing has run", g.Source)
		}
	})
	f.saturate(8*time.Second, small)
	f.checkBound(t, time.Time{}, small)
}

// Guards against QUOTA: callers that are refused and all come back at the same time.
func TestQuotaRetryAfter(t *testing.T) {
	f := newQuotaFleet(20, small)
	f.run(4*time.Second, nil)
	bySecond := make(map[int]int)
	for n := range 200 {
		if g := f.request(f.order[n%20], 5_800); !g.Granted {
			if g.RetryAfter <= 0 {
				t.Fatalf("retry after %v", g.RetryAfter)
			}
			bySecond[int(g.RetryAfter/time.Second)]++
		}
	}
	for second := range 3 {
		if got := bySecond[second]; got < 20 || got > 120 {
			t.Errorf("callers told to come back, by second: %v", bySecond)
			break
		}
	}
}

// Guards against SCALE: what quotas take of an issuer and of the network. Each VM gets the
// requests of one of 16 organisations in turn, as many as in the users' deployments.
func TestQuotaCost(t *testing.T) {
	tests := map[string]struct {
		vms int
		// perSecond is the number of requests at all VMs.
		perSecond float64
		// maxServed limits the calls that a VM serves per second, maxBytes the bytes of the
		// messages per second and VM.
		maxServed, maxBytes float64
	}{
		"8 VMs":   {8, 110, 200, 6_000},
		"74 VMs":  {74, 1040, 1_000, 6_000},
		"195 VMs": {195, 2_700, 1_500, 6_000},
		"910 VMs": {910, 5_400, 3_000, 6_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newQuotaFleet(test.vms, large)
			limits := &quota.Limits{Position: registry.Position{Revision: 2}, ByOrganisation: make(map[string]quota.Limit)}
			for n := range 16 {
				limits.ByOrganisation[fmt.Sprintf("organisation-%d", n)] = large
			}
			f.publishAll(limits)
			f.run(2500*time.Millisecond, nil)
			f.calls, f.bytes = 0, 0
			clear(f.served)
			due, n := 0.0, 0
			// Three renewals of each VM fall into it.
			const seconds = 2.4
			f.run(2400*time.Millisecond, func(time.Duration) {
				for due += test.perSecond * 0.005; due >= 1; due-- {
					n++
					name := f.order[n*7%len(f.order)]
					f.vms[name].Acquire(context.Background(), f.now, permit.QuotaWant{
						Organisation: fmt.Sprintf("organisation-%d", n%16), Limit: large, Position: limits.Position, Units: 826,
					})
				}
			})
			most := 0
			for _, served := range f.served {
				most = max(most, served)
			}
			served, bytes := float64(most)/seconds, float64(f.bytes)/seconds/float64(test.vms)
			t.Logf("calls per second and VM %.1f, served by the busiest %.0f, bytes per second and VM %.0f", float64(f.calls)/seconds/float64(test.vms), served, bytes)
			if served > test.maxServed || bytes > test.maxBytes {
				t.Errorf("the busiest VM serves %.0f calls per second, allowed %.0f; %.0f bytes per second and VM, allowed %.0f", served, test.maxServed, bytes, test.maxBytes)
			}
		})
	}
}

// Guards against a change of the protocol between VMs of two builds: numbers of fields, and
// fields that another build does not know.
func TestQuotaMessages(t *testing.T) {
	want := permit.QuotaRequest{Shard: 3, FleetSize: 74, Stamp: permit.Stamp{Process: 1_780_000_000_000, MS: 5000}, TTLMS: 1200, Ask: &permit.QuotaAsk{
		ID: 7, Organisation: customer, Units: 9190, Revision: 12, Rate: large.Rate, Burst: large.Burst, Tokens: true, PlainTokens: 200,
	}}
	raw, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > 100 {
		t.Errorf("a request of %d bytes", len(raw))
	}
	got, err := permit.DecodeQuota[permit.QuotaRequest](raw)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded request differs (-want +got):\n%s", diff)
	}
	if _, err := permit.DecodeQuota[permit.QuotaResponse]([]byte("\xa2\x03\xf5\x18\x63\x01")); err != nil {
		t.Errorf("response with an unknown field: %v", err)
	}
	for _, raw := range []string{"", "\xff", "\xa1\x01\x61a"} {
		if _, err := permit.DecodeQuota[permit.QuotaRequest]([]byte(raw)); err == nil {
			t.Errorf("%q decoded", raw)
		}
	}
}

// Guards against QUOTA: sequences of traffic, crashes, restarts, cuts and limit changes in
// any order. Nothing lets more pass than the users allow, and after ten healthy seconds
// nearly all of the rate is used.
func TestQuotaProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 5, 12}).Draw(t, "VMs")
		l := rapid.SampledFrom([]quota.Limit{small, medium}).Draw(t, "limit")
		f := newQuotaFleet(n, l)
		revision := uint64(1)
		f.saturate(3*time.Second, l)
		vm := func() string { return f.order[rapid.IntRange(0, n-1).Draw(t, "VM")] }
		period := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths of a second")) * 100 * time.Millisecond
		}
		from := time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"load":    func(*rapid.T) { f.saturate(period(), l) },
			"silence": func(*rapid.T) { f.run(period(), nil) },
			"crash":   func(*rapid.T) { f.vms[vm()] = nil },
			"start":   func(*rapid.T) { f.start(vm()) },
			"stop": func(*rapid.T) {
				if name := vm(); f.running(name) {
					f.vms[name].Close()
				}
			},
			"freeze": func(*rapid.T) { f.frozen[vm()] = true },
			"thaw":   func(*rapid.T) { clear(f.frozen) },
			"cut": func(*rapid.T) {
				k := rapid.IntRange(1, n).Draw(t, "part")
				oneWay := rapid.Bool().Draw(t, "one way")
				first := func(name string) bool { return slices.Index(f.order, name) < k }
				f.cut = func(from, to string) bool { return first(from) != first(to) && (!oneWay || first(from)) }
			},
			"heal":   func(*rapid.T) { f.cut = nil },
			"repeat": func(*rapid.T) { f.repeat = !f.repeat },
			"change": func(t *rapid.T) {
				// The bound is that of the highest limit within a window.
				f.checkBound(t, from, l)
				revision++
				l = rapid.SampledFrom([]quota.Limit{small, medium, {Rate: 200_000, Burst: 50_000, Tokens: true}}).Draw(t, "limit")
				f.publish(revision, l, f.order[:n/2]...)
				f.saturate(500*time.Millisecond, l)
				f.publish(revision, l)
				f.run(9*time.Second, nil)
				f.spent = nil
			},
			"": func(t *rapid.T) { f.checkBound(t, from, l) },
		})
		f.cut, f.repeat = nil, false
		clear(f.frozen)
		for _, name := range f.order {
			f.start(name)
		}
		f.saturate(10*time.Second, l)
		healthy := f.now
		f.saturate(8*time.Second, l)
		f.checkBound(t, from, l)
		if got, want := f.since(healthy), 0.95*8*float64(l.Rate); got < want {
			t.Errorf("%.0f units in 8 healthy seconds, want %.0f", got, want)
		}
	})
}

// BenchmarkQuotaCall measures what an issuer does for a call: decoding, deciding, encoding.
func BenchmarkQuotaCall(b *testing.B) {
	for _, n := range []int{74, 910} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			f := newQuotaFleet(n, large)
			f.run(3*time.Second, nil)
			issuer := f.vms[f.vms[f.order[0]].Status(f.now).Issuers[permit.QuotaShardOf(customer)]]
			for i := 0; b.Loop(); i++ {
				q := permit.QuotaRequest{Shard: permit.QuotaShardOf(customer), FleetSize: n, TTLMS: 1200, Ask: &permit.QuotaAsk{
					ID: uint64(i + 1), Organisation: customer, Units: 1, Revision: 1, Rate: large.Rate, Burst: large.Burst, Tokens: true, PlainTokens: 200,
				}}
				raw, _ := q.Encode()
				q, err := permit.DecodeQuota[permit.QuotaRequest](raw)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := issuer.Handle(f.now, f.order[i%n], q).Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
