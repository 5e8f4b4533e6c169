package entryvm_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hibiscuscove/hibiscuscove/internal/entryvm"
)

// Guards against callers that are sent to VMs which have lost the upstreams while others
// could take them, and against all callers sent to a few VMs.
func TestLookUpsLeaveOutVMsThatAreCutOff(t *testing.T) {
	vm := func(name, dataCentre string, cutOff bool) entryvm.Candidate {
		return entryvm.Candidate{Callers: name, DataCentre: dataCentre, CutOff: cutOff}
	}
	tests := map[string]struct {
		vms  []entryvm.Candidate
		want []string
	}{
		"none is cut off":      {[]entryvm.Candidate{vm("a1", "a", false), vm("a2", "a", false), vm("b1", "b", false)}, []string{"a1", "a2"}},
		"one is cut off":       {[]entryvm.Candidate{vm("a1", "a", true), vm("a2", "a", false), vm("a3", "a", false), vm("b1", "b", false)}, []string{"a2", "a3"}},
		"a whole data centre":  {[]entryvm.Candidate{vm("a1", "a", true), vm("a2", "a", true), vm("b1", "b", false), vm("b2", "b", false)}, []string{"b1", "b2"}},
		"most, a third remain": {[]entryvm.Candidate{vm("a1", "a", true), vm("a2", "a", true), vm("a3", "a", true), vm("b1", "b", true), vm("b2", "b", false), vm("b3", "b", false)}, []string{"b2", "b3"}},
		"too few remain":       {[]entryvm.Candidate{vm("a1", "a", true), vm("a2", "a", true), vm("b1", "b", true), vm("b2", "b", false)}, []string{"a1", "a2"}},
		"all":                  {[]entryvm.Candidate{vm("a1", "a", true), vm("a2", "a", true), vm("b1", "b", true)}, []string{"a1", "a2"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, entryvm.SelectVMs(test.vms, "a")); diff != "" {
				t.Errorf("addresses (-want +got):\n%s", diff)
			}
		})
	}
}
