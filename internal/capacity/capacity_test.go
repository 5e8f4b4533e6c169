package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/capacity"
)

var start = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

// tick is the time between two steps of a simulated fleet, and refreshInterval that between
// two updates of its figures.
const tick, refreshInterval = 100 * time.Millisecond, 500 * time.Millisecond

// upstreams returns engines of one service.
func upstreams(n int) []capacity.Upstream {
	var list []capacity.Upstream
	for i := range n {
		list = append(list, capacity.Upstream{Incarnation: name(i), Service: "lm", Slots: 12})
	}
	return list
}

func name(i int) string { return fmt.Sprintf("e%02d@1", i) }

// load is what happens to the engines of a service.
type load struct {
	engines int
	// speed returns the speed of an engine at a time after the start.
	speed func(engine int, at time.Duration) float64
	// perS is the number of observations of each engine that the fleet sees in a second.
	// Observations spread by a factor of e^spread.
	perS, spread float64
	length       time.Duration
}

// firstToken draws an expected and an observed wait.
func (l load) firstToken(rng *rand.Rand, engine int, at time.Duration) (expected, observed time.Duration) {
	expected = time.Duration((20 + 180*rng.Float64()) * float64(time.Millisecond))
	noise := math.Exp(l.spread*rng.NormFloat64() - l.spread*l.spread/2)
	return expected, time.Duration(float64(expected) / l.speed(engine, at) * noise)
}

// play lets one book see all observations, and calls look after each tick.
func (l load) play(b *capacity.Book, look func(at time.Duration)) {
	rng := rand.New(rand.NewPCG(3, 4))
	b.Retain(start, upstreams(l.engines))
	for at := time.Duration(0); at < l.length; at += tick {
		for i := range l.engines {
			if rng.Float64() < l.perS*tick.Seconds() {
				expected, observed := l.firstToken(rng, i, at)
				b.Observe(start.Add(at), name(i), expected, observed)
			}
		}
		if at%refreshInterval == 0 {
			b.Refresh(start.Add(at))
		}
		if look != nil {
			look(at)
		}
	}
}

// even returns equal speeds.
func even(int, time.Duration) float64 { return 1 }

// thirds are the speeds 0.7, 0.7 and 1.7.
func thirds(i int, _ time.Duration) float64 { return []float64{0.7, 0.7, 1.7}[i%3] }

// meanFactor returns the mean of the factors of the engines that have a property.
func meanFactor(b *capacity.Book, engines int, has func(int) bool) float64 {
	sum, n := 0.0, 0.0
	for i := range engines {
		if has(i) {
			sum += b.Speed(name(i)).Factor
			n++
		}
	}
	return sum / n
}

// Load: engines of three speeds. Guards against figures that are off by more than a tenth
// after 200 requests, and against weights that do not follow.
func TestThreeSpeeds(t *testing.T) {
	b := capacity.NewBook()
	load{engines: 90, speed: thirds, perS: 4, spread: 0.5, length: 50 * time.Second}.play(b, nil)
	for class, want := range map[string]struct {
		has    func(int) bool
		factor float64
	}{
		"slow": {func(i int) bool { return i%3 < 2 }, 0.7},
		"fast": {func(i int) bool { return i%3 == 2 }, 1.7},
	} {
		if diff := cmp.Diff(want.factor, meanFactor(b, 90, want.has), cmpopts.EquateApprox(0.1, 0)); diff != "" {
			t.Errorf("%s engines (-want +got):\n%s", class, diff)
		}
	}
	if !b.Uneven("lm") {
		t.Error("the service is not uneven")
	}
	for i := range 90 {
		want := 1.0
		if i%3 == 2 {
			want = 2.25
		}
		if f := b.Speed(name(i)); f.Weight != want || f.Fast != (i%3 == 2) || f.Slow {
			t.Errorf("engine %d: %+v, want weight %v", i, f, want)
		}
	}
}

// Load: a ninth of the engines becomes 2.5 times slower. Guards against a change that is
// noticed late, or not undone: 3 s after it the factor is within a tenth, then the engines
// are found slow, and after their recovery as fast as others.
func TestEngineSlowsDown(t *testing.T) {
	const changeAt, backAt = 30 * time.Second, 60 * time.Second
	slowed := func(i int) bool { return i%9 == 0 }
	l := load{engines: 90, perS: 4, spread: 0.25, length: 75 * time.Second, speed: func(i int, at time.Duration) float64 {
		if slowed(i) && at >= changeAt && at < backAt {
			return 0.4
		}
		return 1
	}}
	b := capacity.NewBook()
	l.play(b, func(at time.Duration) {
		check := map[time.Duration]float64{changeAt - tick: 1, changeAt + 3*time.Second: 0.4, backAt - tick: 0.4, backAt + 3*time.Second: 1}
		if want, due := check[at]; due {
			got := meanFactor(b, 90, slowed)
			t.Logf("%v: %.3f", at, got)
			if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0.1, 0)); diff != "" {
				t.Errorf("factor after %v (-want +got):\n%s", at, diff)
			}
		}
		if at == changeAt+8*time.Second || at == l.length-tick {
			for i := range l.engines {
				if f := b.Speed(name(i)); f.Slow != (slowed(i) && at < backAt) || f.Fast {
					t.Errorf("after %v engine %d: %+v", at, i, f)
				}
			}
		}
	})
}

// Guards against figures that noise, a short disturbance or a load of all engines alike
// gives: then every choice must be as without figures.
func TestNothingIsMarked(t *testing.T) {
	pulse := func(slow float64, period, length time.Duration, which func(int) bool) func(int, time.Duration) float64 {
		return func(i int, at time.Duration) float64 {
			if which(i) && at%period < length {
				return 1 / slow
			}
			return 1
		}
	}
	all := func(int) bool { return true }
	for what, speed := range map[string]func(int, time.Duration) float64{
		"noise alone":                        even,
		"all equally slow":                   func(int, time.Duration) float64 { return 0.3 },
		"all 2.5 times slower now and then":  pulse(2.5, 4*time.Second, 600*time.Millisecond, all),
		"one 2.5 times slower for 0.6 s":     pulse(2.5, 20*time.Second, 600*time.Millisecond, func(i int) bool { return i == 5 }),
		"all 4 times slower for 5 s of 20 s": pulse(4, 20*time.Second, 5*time.Second, all),
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			b := capacity.NewBook()
			load{engines: 140, speed: speed, perS: 4, spread: 1, length: 2 * time.Minute}.play(b, func(at time.Duration) {
				if at%refreshInterval != 0 {
					return
				}
				for _, f := range b.Figures() {
					if f.Relative != 1 || f.Weight != 1 || f.Slow || f.Fast {
						t.Fatalf("after %v: %+v", at, f)
					}
				}
			})
			if b.Uneven("lm") {
				t.Error("the service is uneven")
			}
		})
	}
}

// Failure: an upstream is replaced at the same ID. Guards against a new process that
// inherits the figures of the old one.
func TestReplacementStartsAnew(t *testing.T) {
	b := capacity.NewBook()
	l := load{engines: 10, perS: 4, spread: 0.5, length: 30 * time.Second, speed: func(i int, _ time.Duration) float64 {
		return []float64{0.3, 1}[min(i, 1)]
	}}
	l.play(b, nil)
	if f := b.Speed(name(0)); !f.Slow || f.Relative > 0.5 {
		t.Fatalf("slow engine: %+v", f)
	}
	list := upstreams(10)
	list[0].Incarnation = "e00@2"
	b.Retain(start.Add(l.length), list)
	b.Refresh(start.Add(l.length))
	for _, incarnation := range []string{"e00@1", "e00@2"} {
		if f := b.Speed(incarnation); f.Relative != 1 || f.Weight != 1 || f.Samples != 0 {
			t.Errorf("%s: %+v", incarnation, f)
		}
	}
}

// Failure: a slow upstream gets no requests any more. Guards against an old figure that
// keeps them away for ever.
func TestOldFigureLosesItsEffect(t *testing.T) {
	b := capacity.NewBook()
	l := load{engines: 10, perS: 4, spread: 0.5, length: 30 * time.Second, speed: func(i int, _ time.Duration) float64 {
		return []float64{0.3, 1}[min(i, 1)]
	}}
	l.play(b, nil)
	for at := l.length; at < l.length+40*time.Second; at += tick {
		b.Refresh(start.Add(at))
	}
	if f := b.Speed(name(0)); f.Relative != 1 || f.AgeMS < 39_000 {
		t.Errorf("after 40 s without a request: %+v", f)
	}
}

// Load: 74 VMs, each of which sees an engine every 20 s and hears a few others, with a tenth
// of the beacons lost. Guards against VMs that do not learn from one another, or whose
// weights differ: they would send a prompt to different homes.
func TestFleetAgrees(t *testing.T) {
	const vms, engines, length = 74, 90, 40 * time.Second
	const fanOut, perRound = 12, 2 // 12 datagrams per 150 ms and VM, here 24 per 300 ms
	l := load{engines: engines, speed: thirds, spread: 0.5}
	rng := rand.New(rand.NewPCG(5, 6))
	var books []*capacity.Book
	for range vms {
		b := capacity.NewBook()
		b.Retain(start, upstreams(engines))
		books = append(books, b)
	}
	for at := time.Duration(0); at < length; at += 3 * tick {
		now := start.Add(at)
		for range int(4 * engines * 3 * tick.Seconds()) {
			i := rng.IntN(engines)
			expected, observed := l.firstToken(rng, i, at)
			books[rng.IntN(vms)].Observe(now, name(i), expected, observed)
		}
		for v, b := range books {
			for range perRound {
				r := b.Reports(now)
				for range fanOut {
					if o := rng.IntN(vms); o != v && rng.Float64() > 0.1 {
						books[o].Learn(now, fmt.Sprint("vm", v), 1, r)
					}
				}
			}
			b.Refresh(now)
		}
	}
	wrong := 0
	for _, b := range books {
		if !b.Uneven("lm") {
			t.Error("a VM does not find the service uneven")
		}
		for i := range engines {
			want := 1.0
			if i%3 == 2 {
				want = 2.25
			}
			if b.Speed(name(i)).Weight != want {
				wrong++
			}
		}
	}
	share := float64(wrong) / vms / engines
	t.Logf("%.4f of the weights differ", share)
	if share > 0.05 {
		t.Errorf("%.3f of the weights differ from the right ones", share)
	}
}

// Guards against observations that are lost or count twice when beacons are lost, repeated
// or overtaken by a restart of their sender.
func TestReportsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := capacity.NewBook(), capacity.NewBook()
		sender.Retain(start, upstreams(3))
		receiver.Retain(start, upstreams(3))
		learned, now := 0, start
		sender.Observe(now, name(0), 100*time.Millisecond, 100*time.Millisecond)
		learned += receiver.Learn(now, "vm", 1, sender.Reports(now))
		sent := 1
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(tick)
			for range rapid.IntRange(0, 5).Draw(t, "observations") {
				sender.Observe(now, name(0), 100*time.Millisecond, 130*time.Millisecond)
				sent++
			}
			r := sender.Reports(now)
			for range rapid.IntRange(0, 2).Draw(t, "copies") {
				learned += receiver.Learn(now, "vm", 1, r)
			}
		}
		learned += receiver.Learn(now, "vm", 1, sender.Reports(now))
		if diff := cmp.Diff(sent, learned); diff != "" {
			t.Fatalf("observations (-sent +learned):\n%s", diff)
		}
		if n := receiver.Learn(now, "vm", 2, sender.Reports(now)); n > 4 {
			t.Fatalf("the first report of a process adds %d observations", n)
		}
	})
}
