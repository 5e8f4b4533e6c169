package placement_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/contract"
	"github.com/hibiscuscove/hibiscuscove/internal/placement"
	"github.com/hibiscuscove/hibiscuscove/internal/prefix"
	"github.com/hibiscuscove/hibiscuscove/internal/upstream"
)

func candidates(n int) []upstream.Candidate {
	list := make([]upstream.Candidate, n)
	for i := range list {
		name := workerName(i)
		list[i] = upstream.Candidate{Upstream: contract.Upstream{Name: name}, Slots: 16, NameHash: prefix.Hash(name)}
	}
	return list
}

// request returns a request whose prefix levels have 1,000 tokens each.
func request(organisation, weights string, levels ...string) placement.Request {
	var texts [][]byte
	var sizes []int
	for _, l := range levels {
		texts = append(texts, []byte(l))
		sizes = append(sizes, 1000)
	}
	salt := prefix.Salt{Organisation: organisation, Model: "m", WeightsVersion: weights}
	return placement.Request{Chain: prefix.NewChain(salt, texts), Sizes: sizes}
}

// TestNestedSets checks that requests that share more text share workers.
func TestNestedSets(t *testing.T) {
	p := placement.NewPicker(placement.PickerOptions{FirstShare: 0.2})
	list := candidates(40)
	used := make(map[string]bool)
	for lot := range 200 {
		r := request("a", "v1", "standard", fmt.Sprint("member ", lot%10), fmt.Sprint("lot ", lot))
		first, _ := p.Pick(r, list, nil)
		second, _ := p.Pick(r, list, nil)
		if diff := cmp.Diff(first, second); diff != "" {
			t.Fatalf("two picks differ:\n%s", diff)
		}
		used[first.Name] = true
	}
	if len(used) > 8 {
		t.Errorf("requests with the same first level are spread over %d workers, want at most 8", len(used))
	}
}

// TestSpill checks that requests leave the workers of a prefix when these are
// busy, and return when they are free again.
func TestSpill(t *testing.T) {
	p := placement.NewPicker(placement.PickerOptions{})
	list := candidates(20)
	r := request("a", "v1", "standard", "member", "lot")
	home, _ := p.Pick(r, list, nil)
	for i := range list {
		if list[i].Name == home.Name {
			list[i].Queued = 8
		}
	}
	next, _ := p.Pick(r, list, nil)
	if next.Name == home.Name {
		t.Error("the pick stays on a worker with a long queue")
	}
	returned, _ := p.Pick(r, candidates(20), nil)
	if returned.Name != home.Name {
		t.Error("the pick does not return to the free worker")
	}
	only, found := p.Pick(r, list, func(c upstream.Candidate) bool { return c.Name != home.Name })
	if !found || only.Name != home.Name {
		t.Error("the only candidate left is not picked")
	}
	if _, found := p.Pick(r, nil, nil); found {
		t.Error("picked a worker without candidates")
	}
}

// TestSalt checks that organisations and versions of the weights have digests
// and workers of their own.
func TestSalt(t *testing.T) {
	p := placement.NewPicker(placement.PickerOptions{})
	list := candidates(200)
	base := request("a", "v1", "standard", "member")
	for name, other := range map[string]placement.Request{
		"organisation": request("b", "v1", "standard", "member"),
		"weights":      request("a", "v2", "standard", "member"),
		"split":        request("a", "v1", "standardm", "ember"),
	} {
		if other.Chain.At(0) == base.Chain.At(0) {
			t.Errorf("%s: the digests are the same", name)
		}
		one, _ := p.Pick(base, list, nil)
		two, _ := p.Pick(other, list, nil)
		if name != "split" && one.Name == two.Name {
			t.Errorf("%s: both prefixes are on the same worker", name)
		}
	}
}

// BenchmarkSlopePick measures a pick, including the digests of the prompt,
// against the number of workers and of tokens.
func BenchmarkSlopePick(b *testing.B) {
	p := placement.NewPicker(placement.PickerOptions{})
	for _, workers := range []int{20, 400, 10_000} {
		list := candidates(workers)
		for _, tokens := range []int{1_000, 32_000, 128_000} {
			text := make([]byte, 4*tokens)
			levels := [][]byte{text[:len(text)/2], text[len(text)/2 : len(text)*3/4], text[len(text)*3/4:]}
			sizes := []int{tokens / 2, tokens / 4, tokens / 4}
			b.Run(fmt.Sprintf("workers=%d/tokens=%d", workers, tokens), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					chain := prefix.NewChain(prefix.Salt{Organisation: "a"}, levels)
					p.Pick(placement.Request{Chain: chain, Sizes: sizes}, list, nil)
				}
			})
		}
	}
}
