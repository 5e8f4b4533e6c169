package ledger_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed and the number of checks of property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261203", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
