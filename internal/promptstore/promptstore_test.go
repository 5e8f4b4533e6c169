package promptstore_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/promptcache"
	"github.com/hibiscuscove/hibiscuscove/internal/promptstore"
)

func TestReadyTokens(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	written := promptcache.Generation{Version: 3, Build: "1.2"}
	prompt := []promptcache.Part{{ID: "p", Tokens: 800}}
	tests := map[string]struct {
		generation promptcache.Generation
		change     func(*promptstore.Parts)
		want       int
	}{
		"reported":      {written, func(*promptstore.Parts) {}, 800},
		"other version": {promptcache.Generation{Version: 4, Build: "1.2"}, func(*promptstore.Parts) {}, 0},
		"other build":   {promptcache.Generation{Version: 3, Build: "1.3"}, func(*promptstore.Parts) {}, 0},
		"evicted":       {written, func(p *promptstore.Parts) { p.Set(now, written, promptcache.Part{ID: "p"}) }, 0},
		"still up":      {written, func(p *promptstore.Parts) { p.SetUp(true) }, 800},
		"back up":       {written, func(p *promptstore.Parts) { p.SetUp(false); p.SetUp(true) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := promptstore.New()
			p.SetUp(true)
			p.Set(now, written, prompt[0])
			test.change(p)
			if diff := cmp.Diff(test.want, p.ReadyTokens(now, test.generation, prompt)); diff != "" {
				t.Errorf("tokens (-want +got):\n%s", diff)
			}
		})
	}
}
