package lineage_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/lineage"
)

// Guards against ORDER: a VM stands still, or is cut off, for some seconds in which engines of
// another build join and begin streams. Taken up at this VM they went on at the build that it
// knew, since it took its view for complete.
func TestVMOutOfStepDoesNotGuessTheBuild(t *testing.T) {
	const (
		missed   = 4 * time.Second
		settling = life + 10*time.Second
	)
	tests := map[string]struct {
		// suspended is how long the VM stands still, with its steady clock.
		suspended time.Duration
		// peer is another VM that it still takes for alive. It knows the stream, knows
		// only its build, or does not answer.
		peer *lineage.Answer
		dead bool
		// after is the time between the return and the take-up, in which the VM follows
		// the builds again.
		after time.Duration
		want  lineage.Resolution
	}{
		"in step": {want: lineage.Resolution{Action: lineage.GoOn, Build: "v1"}},
		"stood still, alone": {
			suspended: missed, want: lineage.Resolution{Action: lineage.Refuse},
		},
		"stood still, alone, follows again": {
			suspended: missed, after: time.Second, want: lineage.Resolution{Action: lineage.Refuse},
		},
		"stood still, certain again": {
			suspended: missed, after: settling, want: lineage.Resolution{Action: lineage.GoOn, Build: "v1"},
		},
		"stood still, a peer knows the stream": {
			suspended: missed, peer: &lineage.Answer{Facts: []lineage.Fact{{Stream: lineage.Stream{ID: "s", Service: "lm"}, Build: "v2"}}},
			want: lineage.Resolution{Action: lineage.GoOn, Build: "v2"},
		},
		"stood still, a peer knows the build": {
			suspended: missed, peer: &lineage.Answer{Served: []lineage.Served{{Service: "lm", Builds: []string{"v1", "v2"}, WatchedMS: 60_000}}},
			want: lineage.Resolution{Action: lineage.Refuse},
		},
		"stood still, the peer has just started": {
			suspended: missed, peer: &lineage.Answer{Served: []lineage.Served{{Service: "lm", Builds: []string{"v1"}, WatchedMS: 1_000}}},
			want: lineage.Resolution{Action: lineage.Refuse},
		},
		"stood still, the peer is dead": {suspended: missed, dead: true, want: lineage.Resolution{Action: lineage.Refuse}},
		"cut off and not yet aware":     {dead: true, want: lineage.Resolution{Action: lineage.Refuse}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			steady, awake := start, start
			agent := lineage.NewAgent(lineage.AgentOptions{
				Now: func() time.Time { return steady }, AwakeNow: func() time.Time { return awake },
				Peers: func(time.Time) []lineage.Peer {
					if test.peer == nil && !test.dead {
						return nil
					}
					return []lineage.Peer{{Name: "b", Incarnation: 1}}
				},
				Ask: func(context.Context, string, lineage.Question) (lineage.Answer, error) {
					if test.dead {
						return lineage.Answer{}, errors.New("no answer")
					}
					return *test.peer, nil
				},
				Send: func(string, []lineage.Fact) {},
			})
			follow := func(d time.Duration) {
				for end := steady.Add(d); steady.Before(end); {
					steady, awake = steady.Add(tick), awake.Add(tick)
					agent.UpdateBuilds(steady, map[string][]string{"lm": {"v1"}}, true)
				}
			}
			follow(settling)
			awake = awake.Add(test.suspended)
			follow(test.after)
			got := agent.Resolve(t.Context(), steady, lineage.Query{Stream: "s", Services: []string{"lm"}, Begun: true, Life: life})
			if diff := cmp.Diff([]any{test.want.Action, test.want.Build}, []any{got.Action, got.Build}); diff != "" {
				t.Errorf("action and build (-want +got):\n%s", diff)
			}
		})
	}
}
