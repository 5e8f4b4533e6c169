package memaccount_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/memaccount"
	"github.com/hibiscuscove/hibiscuscove/internal/readlimit"
)

const (
	mebibyte = 1 << 20
	total    = 16 * mebibyte
)

var start = time.Unix(1_700_000_000, 0)

// body is a body of a test that has arrived in part.
type body struct {
	source string
	bytes  int64
	// lastAt is when its last bytes arrived, after the first ones. With a rate it arrives
	// until the end.
	rate     int64
	complete bool
	// wants is what it asks for in vain before the request of the test.
	wants int64
}

// Guards against a full account: which bodies give way to a new one, and that none does that
// still arrives or is passed on.
func TestEviction(t *testing.T) {
	const small, large = 64 << 10, 4 * mebibyte
	tests := map[string]struct {
		held    []body
		after   time.Duration
		request int64
		source  string
		want    error
		// evicted lists the indices of those that give way.
		evicted []int
	}{
		"room":                                {[]body{{bytes: large}}, time.Second, large, "b", nil, nil},
		"stopped body gives way":              {[]body{{bytes: 6 * mebibyte, source: "a"}, {bytes: 6 * mebibyte, rate: 100 << 10, source: "b"}}, 3 * time.Second, large, "c", nil, []int{0}},
		"larger of two stopped":               {[]body{{bytes: 4 * mebibyte, source: "a"}, {bytes: 8 * mebibyte, source: "b"}}, 3 * time.Second, large, "c", nil, []int{1}},
		"too soon to have stopped":            {[]body{{bytes: 6 * mebibyte, source: "a"}, {bytes: 6 * mebibyte, source: "b"}}, 100 * time.Millisecond, large, "c", memaccount.ErrFull, nil},
		"honest slow callers stay":            {[]body{{bytes: 6 * mebibyte, rate: 100 << 10, source: "a"}, {bytes: 6 * mebibyte, rate: 100 << 10, source: "b"}}, 3 * time.Second, large, "c", memaccount.ErrFull, nil},
		"passed on stays":                     {[]body{{bytes: 6 * mebibyte, complete: true, source: "a"}, {bytes: 6 * mebibyte, complete: true, source: "b"}}, time.Hour, large, "c", memaccount.ErrFull, nil},
		"small body beside passed on":         {[]body{{bytes: 6 * mebibyte, complete: true, source: "a"}, {bytes: 6 * mebibyte, complete: true, source: "b"}}, time.Hour, small, "c", nil, nil},
		"one source":                          {[]body{{bytes: 8 * mebibyte, complete: true, source: "a"}}, time.Hour, large, "a", memaccount.ErrFull, nil},
		"one source, another one has room":    {[]body{{bytes: 8 * mebibyte, complete: true, source: "a"}}, time.Hour, large, "b", nil, nil},
		"one source, its stopped give way":    {[]body{{bytes: 6 * mebibyte, source: "a"}, {bytes: 3 * mebibyte, source: "b"}, {bytes: 2 * mebibyte, complete: true, source: "a"}}, time.Hour, large, "a", nil, []int{0}},
		"small body instead of a waiting one": {append(many(38, 240<<10, true), body{bytes: 7 * mebibyte, source: "z", rate: 1 << 20, wants: 7 * mebibyte}), 300 * time.Millisecond, 250 << 10, "c", nil, []int{38}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account := memaccount.New(total)
			now := start
			var evicted []int
			var held []*memaccount.Holding
			for i, b := range test.held {
				h := account.Open(now, memaccount.Owner{Source: b.source}, func() { evicted = append(evicted, i) })
				if err := h.Grow(now, b.bytes); err != nil {
					t.Fatalf("body %d: %v", i, err)
				}
				h.Received(now, b.bytes)
				held = append(held, h)
				if b.complete {
					if err := h.Complete(); err != nil {
						t.Fatal(err)
					}
				}
			}
			for passed := time.Duration(0); passed < min(test.after, 10*time.Second); passed += 100 * time.Millisecond {
				for i, b := range test.held {
					held[i].Received(now.Add(passed), b.rate/10)
				}
			}
			now = now.Add(test.after)
			for i, b := range test.held {
				if b.wants > 0 && !errors.Is(held[i].Grow(now, b.wants), memaccount.ErrFull) {
					t.Fatalf("body %d got more", i)
				}
			}
			err := account.Open(now, memaccount.Owner{Source: test.source}, func() {}).Grow(now, test.request)
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
			if diff := cmp.Diff(test.evicted, evicted); diff != "" {
				t.Errorf("evicted (-want +got):\n%s", diff)
			}
		})
	}
}

// many returns bodies of different sources.
func many(n int, size int64, complete bool) []body {
	var list []body
	for i := range n {
		list = append(list, body{source: fmt.Sprint("s", i), bytes: size, complete: complete})
	}
	return list
}

// Guards against bytes that are counted twice or never given back, over random sequences.
func TestHeldReturnsToZero(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	account := memaccount.New(total)
	now := start
	var held []*memaccount.Holding
	for range 20_000 {
		now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
		switch i := rng.IntN(6); {
		case i == 0 || len(held) == 0:
			held = append(held, account.Open(now, memaccount.Owner{Source: fmt.Sprint(rng.IntN(3)), Organisation: fmt.Sprint(rng.IntN(3))}, func() {}))
		case i < 4:
			h := held[rng.IntN(len(held))]
			if h.Grow(now, rng.Int64N(mebibyte)) == nil {
				h.Received(now, rng.Int64N(mebibyte))
			}
		case i == 4:
			_ = held[rng.IntN(len(held))].Complete()
		default:
			n := rng.IntN(len(held))
			held[n].Release()
			held = append(held[:n], held[n+1:]...)
		}
		if s := account.Status(); s.Held[memaccount.Bodies] > total || s.Held[memaccount.Bodies] < 0 || s.Large > s.Held[memaccount.Bodies] {
			t.Fatalf("status %+v", s)
		}
	}
	for _, h := range held {
		h.Release()
		h.Release()
	}
	if s := account.Status(); s.Held[memaccount.Bodies] != 0 || s.Large != 0 || s.Arriving != 0 {
		t.Errorf("after the end: %+v", s)
	}
}

// Guards against bodies that are allocated by the promised length, grow without limit, or
// arrive changed.
func TestReadAll(t *testing.T) {
	data := make([]byte, 3*mebibyte)
	for i := range data {
		data[i] = byte(i * 7)
	}
	var tooLong *readlimit.Error
	tests := map[string]struct {
		reader        io.Reader
		length, limit int64
		want          []byte
		err           any
		maxHeld       int64
	}{
		"with a length":          {bytes.NewReader(data), int64(len(data)), 4 * mebibyte, data, nil, 6 * mebibyte},
		"in chunks":              {bytes.NewReader(data), -1, 4 * mebibyte, data, nil, 6 * mebibyte},
		"byte by byte":           {iotest.OneByteReader(bytes.NewReader(data[:50_000])), 50_000, 4 * mebibyte, data[:50_000], nil, 128 << 10},
		"empty":                  {bytes.NewReader(nil), -1, 4 * mebibyte, []byte{}, nil, 4 << 10},
		"exactly the limit":      {bytes.NewReader(data), -1, int64(len(data)), data, nil, 6 * mebibyte},
		"declared too long":      {bytes.NewReader(data), int64(len(data)), mebibyte, nil, &tooLong, 0},
		"too long in chunks":     {bytes.NewReader(data), -1, mebibyte, nil, &tooLong, 2 * mebibyte},
		"stops after a little":   {io.MultiReader(bytes.NewReader(data[:100]), iotest.ErrReader(io.ErrUnexpectedEOF)), 4 * mebibyte, 4 * mebibyte, nil, io.ErrUnexpectedEOF, 16 << 10},
		"stops short of the end": {io.MultiReader(bytes.NewReader(data[:len(data)-10]), iotest.ErrReader(io.ErrUnexpectedEOF)), int64(len(data)), 4 * mebibyte, nil, io.ErrUnexpectedEOF, 6 * mebibyte},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			account := memaccount.New(total)
			h := account.Open(start, memaccount.Owner{}, func() {})
			maxHeld := int64(0)
			reader := readerFunc(func(p []byte) (int, error) {
				maxHeld = max(maxHeld, account.Status().Held[memaccount.Bodies])
				return test.reader.Read(p)
			})
			got, err := h.ReadAll(context.Background(), func() time.Time { return start }, reader, test.length, test.limit)
			switch want := test.err.(type) {
			case nil:
				if err != nil {
					t.Error(err)
				}
			case error:
				if !errors.Is(err, want) {
					t.Errorf("got %v, want %v", err, want)
				}
			default:
				if !errors.As(err, want) {
					t.Errorf("got %v", err)
				}
			}
			if !bytes.Equal(got, test.want) || (got == nil) != (test.want == nil) {
				t.Errorf("got %d bytes, want %d", len(got), len(test.want))
			}
			if maxHeld > test.maxHeld {
				t.Errorf("%d bytes held, want %d at most", maxHeld, test.maxHeld)
			}
		})
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
