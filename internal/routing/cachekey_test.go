package routing_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/hibiscuscove/hibiscuscove/internal/routing"
)

// Guards against WALL: organisations keep using the cached prompts of one that has become
// isolated. Organisations are added, removed, isolated and shared again in any order, and
// all prompts ever cached are kept, as by a prompt store.
func TestIsolatedOrganisationsShareNoCachedPrompts(t *testing.T) {
	// The names include those that resemble keys.
	names := []string{"", "acme", "bean", "/", "/1", "a/b", "a%2Fb"}
	rapid.Check(t, func(t *rapid.T) {
		// makers holds the organisations whose prompts lie under each key.
		makers := make(map[string][]string)
		for range 40 {
			var d routing.Document
			isolated := make(map[string]bool)
			for _, name := range names[1:] {
				if rapid.IntRange(0, 4).Draw(t, "state of "+name) > 0 {
					isolated[name] = rapid.Bool().Draw(t, name+" isolated")
					d.Organisations = append(d.Organisations, routing.Organisation{Name: name, Isolated: isolated[name]})
				}
			}
			c := routing.New(1, d)
			for range 4 {
				// A request of an organisation that the configuration has dropped
				// may still wait for an upstream.
				user := rapid.SampledFrom(names).Draw(t, "user")
				key := c.CacheKey(user)
				for _, maker := range makers[key] {
					if maker != user && (isolated[maker] || isolated[user]) {
						t.Fatalf("%q finds cached prompts of %q; isolated are %v", user, maker, isolated)
					}
				}
				if !slices.Contains(makers[key], user) {
					makers[key] = append(makers[key], user)
				}
			}
		}
	})
}

// TestCacheKeyChangesOnlyWithIsolation checks that organisations which are not isolated
// share cached prompts, and go on to do so when the configuration changes otherwise.
func TestCacheKeyChangesOnlyWithIsolation(t *testing.T) {
	organisations := func(change func([]routing.Organisation) []routing.Organisation) *routing.Config {
		list := []routing.Organisation{{Name: "acme"}, {Name: "bean", Keys: []string{"k"}}, {Name: "cove", Isolated: true}}
		return routing.New(1, routing.Document{Organisations: change(list)})
	}
	before := organisations(func(list []routing.Organisation) []routing.Organisation { return list })
	tests := map[string]struct {
		change func([]routing.Organisation) []routing.Organisation
		want   bool
	}{
		"organisation added": {func(list []routing.Organisation) []routing.Organisation {
			return append(list, routing.Organisation{Name: "new"})
		}, true},
		"organisation removed": {func(list []routing.Organisation) []routing.Organisation { return list[1:] }, true},
		"other order": {func(list []routing.Organisation) []routing.Organisation {
			slices.Reverse(list)
			return list
		}, true},
		"key added": {func(list []routing.Organisation) []routing.Organisation {
			list[1].Keys = []string{"k", "l"}
			return list
		}, true},
		"organisation isolated": {func(list []routing.Organisation) []routing.Organisation {
			list[0].Isolated = true
			return list
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			after := organisations(test.change)
			if diff := cmp.Diff(after.CacheKey("bean"), after.CacheKey("")); diff != "" {
				t.Errorf("keys of two that are not isolated (-first +second):\n%s", diff)
			}
			if diff := cmp.Diff(test.want, before.CacheKey("bean") == after.CacheKey("bean")); diff != "" {
				t.Errorf("the key stays (-want +got):\n%s", diff)
			}
		})
	}
}
