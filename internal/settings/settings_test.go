package settings_test

import (
	"strings"
	"testing"

	"github.com/hibiscuscove/hibiscuscove/internal/settings"
)

// Guards against answers that are cut at max_answer_bytes and recorded as whole, which
// needs a larger ledger_answer_bytes.
func TestAnswerSizesFit(t *testing.T) {
	tests := map[string]struct {
		maximum, ledger int
		wantProblem     bool
	}{
		"ledger below":           {16 << 20, 16 << 10, false},
		"equal":                  {16 << 10, 16 << 10, false},
		"ledger above":           {8 << 10, 16 << 10, true},
		"ledger zero, too small": {8 << 10, 0, true},
		"ledger zero":            {16 << 10, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := settings.Default()
			s.MaxAnswerBytes, s.LedgerAnswerBytes = tt.maximum, tt.ledger
			found := false
			for _, p := range s.Check() {
				if p.Field == "ledger_answer_bytes" && strings.Contains(p.Reason, "max_answer_bytes") {
					found = true
				}
			}
			if found != tt.wantProblem {
				t.Errorf("problem found: %v, want %v; all: %v", found, tt.wantProblem, s.Check())
			}
		})
	}
}
