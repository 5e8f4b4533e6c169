package costmodel_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/costmodel"
	"github.com/hibiscuscove/hibiscuscove/internal/peerload"
	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
)

// Guards against learnt figures that change a choice, or an estimate, where no upstream
// differs: deployments with equal upstreams must be served as before.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var before, after []costmodel.Candidate
		for i := range rapid.IntRange(1, 12).Draw(t, "upstreams") {
			id := fmt.Sprint("i-", i)
			c := costmodel.Candidate{
				ID: id, IDHash: costmodel.Hash(id), Pickable: rapid.Bool().Draw(t, "pickable"), Local: rapid.Bool().Draw(t, "local"),
				Slots: 4, Cached: promptcache.New(), CacheTokens: 40_000, Avoided: rapid.IntRange(0, 9).Draw(t, "avoided") == 0,
				Load: peerload.Load{
					Requests: rapid.IntRange(0, 6).Draw(t, "requests"), WaitingTokens: rapid.IntRange(0, 20_000).Draw(t, "waiting"),
					Tokens: rapid.IntRange(0, 60_000).Draw(t, "tokens"),
				},
			}
			before = append(before, c)
			c.Speed, c.Weight = 1, 1
			after = append(after, c)
		}
		p := prompt
		if rapid.Bool().Draw(t, "plain") {
			p = costmodel.Prompt{}
		}
		model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults(), PartialView: rapid.Bool().Draw(t, "partial"), TieKey: rapid.Uint64().Draw(t, "tie")}
		want, _ := model.Choose(start, before, p)
		got, _ := model.Choose(start, after, p)
		if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(costmodel.Choice{})); diff != "" {
			t.Fatalf("choice (-without +with figures):\n%s", diff)
		}
	})
}

// Guards against waits that do not follow the learnt speed, and against the speed in
// PrefillMS, from which the speed is learnt.
func TestSpeedDividesWaits(t *testing.T) {
	for name, partial := range map[string]bool{"full view": false, "partial view": true} {
		t.Run(name, func(t *testing.T) {
			model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults(), PartialView: partial}
			l := candidates()[:1]
			l[0].Load.WaitingTokens = 3_000
			usual, _ := model.Choose(start, l, prompt)
			l[0].Speed = 0.5
			slow, _ := model.Choose(start, l, prompt)
			want := costmodel.Choice{WaitMS: 2 * usual.WaitMS, FirstTokenMS: 80 + 2*(usual.FirstTokenMS-80)}
			got := costmodel.Choice{WaitMS: slow.WaitMS, FirstTokenMS: slow.FirstTokenMS}
			if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(costmodel.Choice{}), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
				t.Errorf("estimates (-want +got):\n%s", diff)
			}
		})
	}
}

// Load: a prompt is requested everywhere, and its home is slow. Guards against an engine that
// gets requests which another one would answer sooner.
func TestSlowHomeIsLeft(t *testing.T) {
	model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults(), PartialView: true}
	for speed, want := range map[float64]string{1: "a", 0.25: "c"} {
		l := candidates()
		l[0].Speed = speed
		got, _ := model.Choose(start, l, prompt)
		if diff := cmp.Diff(want, got.ID); diff != "" {
			t.Errorf("engine with a home of speed %v (-want +got):\n%s", speed, diff)
		}
	}
}

// Guards against a fast engine that does not get its larger share of the prompts, and against
// prompts that move between the others when its weight changes.
func TestWeightsOfHomes(t *testing.T) {
	const prompts, engines = 6_000, 20
	homes := func(weight float64) []string {
		model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults(), PartialView: true}
		var list []costmodel.Candidate
		for i := range engines {
			id := fmt.Sprint("i-", i)
			list = append(list, costmodel.Candidate{ID: id, IDHash: costmodel.Hash(id), Pickable: true, Slots: 9, Cached: promptcache.New()})
		}
		list[3].Weight = weight
		var ids []string
		for i := range prompts {
			c, _ := model.Choose(start, list, costmodel.Prompt{Model: "m", Parts: []promptcache.Part{{ID: fmt.Sprint("p", i), Tokens: 5_000}}})
			ids = append(ids, c.ID)
		}
		return ids
	}
	usual := homes(0)
	for _, weight := range []float64{0.44, 1, 2.25} {
		got, share := homes(weight), 0.0
		for i, id := range got {
			if id == "i-3" {
				share += 1.0 / prompts
			}
			if id != usual[i] && id != "i-3" && usual[i] != "i-3" {
				t.Errorf("prompt %d moved from %s to %s", i, usual[i], id)
			}
		}
		if diff := cmp.Diff(weight/(weight+engines-1), share, cmpopts.EquateApprox(0.15, 0)); diff != "" {
			t.Errorf("share of the prompts with weight %v (-want +got):\n%s", weight, diff)
		}
	}
}

// Load: plain requests, one upstream slows down from the third one on. Guards against requests
// beyond its learnt number while another upstream is below its own, and against refusing them
// when all are beyond theirs.
func TestConcurrentRequests(t *testing.T) {
	model := costmodel.Model{Policy: costmodel.Policy{}.WithDefaults()}
	for name, test := range map[string]struct {
		requests, concurrent [2]int
		want                 string
	}{
		"below":          {[2]int{1, 3}, [2]int{2, 0}, "a"},
		"beyond":         {[2]int{2, 5}, [2]int{2, 0}, "b"},
		"both beyond":    {[2]int{2, 5}, [2]int{2, 4}, "a"},
		"other one full": {[2]int{2, 6}, [2]int{2, 0}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			l := candidates()[:2]
			for i := range l {
				l[i].Slots, l[i].Load.Requests, l[i].Concurrent = 6, test.requests[i], test.concurrent[i]
			}
			got, _ := model.Choose(start, l, costmodel.Prompt{})
			if diff := cmp.Diff(test.want, got.ID); diff != "" {
				t.Errorf("upstream (-want +got):\n%s", diff)
			}
		})
	}
}
