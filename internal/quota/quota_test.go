package quota_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/quota"
)

var start = time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)

var tokens = quota.Limit{Rate: 100_000, Burst: 100_000, Tokens: true, PlainTokens: 200}

// full returns a full bucket with a share.
func full(l quota.Limit, share float64) *quota.Bucket {
	b := quota.NewBucket(start, l)
	b.Fill(start, share)
	return b
}

func TestCost(t *testing.T) {
	requests := quota.Limit{Rate: 5, Burst: 5, PlainTokens: 200}
	tests := map[string]struct {
		limit          quota.Limit
		prompt, output int
		want           uint64
	}{
		"both sizes":       {tokens, 9190, 7, 9197},
		"no sizes":         {tokens, 0, 0, 200},
		"output alone":     {tokens, 0, 7, 7},
		"unit is requests": {requests, 9190, 7, 1},
	}
	for name, test := range tests {
		if diff := cmp.Diff(test.want, test.limit.Cost(test.prompt, test.output)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against starvation: at the limit, large requests get their part beside small ones,
// and the rate is kept.
func TestLargeBesideSmall(t *testing.T) {
	b := full(tokens, 1)
	granted := map[uint64]int{}
	sum := uint64(0)
	const seconds = 20
	for ms := range seconds * 1000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b.Advance(now, 1)
		for _, units := range []uint64{9_190, 826, 200} {
			// Ten times the limit, in an order that changes.
			if ms%10 == int(units)%10 && b.Take(now, units).Granted {
				granted[units]++
				sum += units
			}
		}
	}
	if limit := tokens.Rate*seconds*102/100 + tokens.Burst + 9_190; sum > limit || sum < tokens.Rate*seconds*95/100 {
		t.Errorf("%d units granted, limit %d", sum, limit)
	}
	if granted[9_190]*2 < granted[200] {
		t.Errorf("requests granted by size: %v", granted)
	}
}

func TestBucket(t *testing.T) {
	tests := map[string]struct {
		run  func() *quota.Bucket
		want float64
	}{
		"new":                     {func() *quota.Bucket { return quota.NewBucket(start, tokens) }, 0},
		"full, half of the share": {func() *quota.Bucket { return full(tokens, 0.5) }, 50_000},
		"share falls": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Advance(start.Add(time.Second), 0.25)
			return b
		}, 25_000},
		"share has just risen": {func() *quota.Bucket {
			b := quota.NewBucket(start, tokens)
			b.Advance(start.Add(time.Second), 1)
			return b
		}, 0},
		"larger than the burst": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Take(start, 250_000)
			return b
		}, -150_000},
		"larger than the burst, not full": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Take(start, 1)
			b.Take(start, 250_000)
			return b
		}, 99_999},
		"limit lowered while units are owed": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Take(start, 200_000)
			b.SetLimit(start, quota.Limit{Rate: 20_000, Burst: 20_000})
			return b
		}, -20_000},
		"more returned than the bucket holds": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Return(start, 10)
			return b
		}, 100_000},
		"advance from a bucket that is less than half full": {func() *quota.Bucket {
			b := full(tokens, 1)
			b.Charge(start, 40_000)
			b.TakeAdvance(start, 20_000)
			return b
		}, 60_000},
	}
	for name, test := range tests {
		if diff := cmp.Diff(test.want, test.run().Level()); diff != "" {
			t.Errorf("%s: level (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against a Retry-After at which there is still no quota.
func TestRetryAfterHolds(t *testing.T) {
	b := full(tokens, 1)
	b.Charge(start, 130_000)
	d := b.Take(start, 9_190)
	if d.Granted || d.Wait <= 0 {
		t.Fatalf("decision %+v", d)
	}
	for _, test := range []struct {
		after   time.Duration
		granted bool
	}{{d.Wait - time.Millisecond, false}, {d.RetryAfter, true}} {
		now := start.Add(test.after)
		b.Advance(now, 1)
		if got := b.Take(now, 9_190).Granted; got != test.granted {
			t.Errorf("after %v: granted %t", test.after, got)
		}
	}
}

func TestSpread(t *testing.T) {
	var s quota.Spread
	var got []time.Duration
	for range 5 {
		got = append(got, s.Next(start, 100*time.Millisecond, time.Second))
	}
	// After the spread is used up, it begins again.
	want := []time.Duration{100 * time.Millisecond, 1100 * time.Millisecond, 2100 * time.Millisecond, 3100 * time.Millisecond, 100 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times to come back (-want +got):\n%s", diff)
	}
}

// Guards against QUOTA: what VMs grant by themselves, all of them at once, for 8 s after a
// start. Half of the rate counts while the shares may count at an issuer too.
func TestLocal(t *testing.T) {
	const vms = 74
	tests := map[string]struct {
		bound    bool
		min, max float64
	}{
		"shares may count elsewhere": {true, 4, 4 + 0.8},
		"shares count nowhere":       {false, 8, 8 + 0.9},
	}
	for name, test := range tests {
		sum := 0.0
		for range vms {
			var l quota.Local
			for ms := range 8000 {
				if l.Take(start.Add(time.Duration(ms)*time.Millisecond), tokens, 1.0/vms, test.bound, 200).Granted {
					sum += 200
				}
			}
		}
		if got := sum / float64(tokens.Rate); got < test.min || got > test.max {
			t.Errorf("%s: %.2f times the rate in 8 s, want %.1f to %.1f", name, got, test.min, test.max)
		}
	}
}

// Guards against a division by zero and sums that overflow.
func TestExtremeLimits(t *testing.T) {
	for _, l := range []quota.Limit{quota.NewLimit(1, 0, "", 0), quota.NewLimit(1e300, 1e300, quota.UnitTokens, 1e300), {Rate: 1, Burst: 1}} {
		for _, share := range []float64{0, 1.0 / 910, 1} {
			b := full(l, share)
			for range 3 {
				if d := b.Take(start, 1<<40); d.RetryAfter < 0 || d.Wait < 0 || !d.Granted && d.RetryAfter == 0 {
					t.Errorf("limit %+v, share %g: %+v", l, share, d)
				}
			}
		}
	}
}
