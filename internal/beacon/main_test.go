package beacon_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of property tests, so that all runs have the same verdict.
// Other seeds are played by hand with -rapid.seed.
func TestMain(m *testing.M) {
	seeded := false
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	defaults := map[string]string{"rapid.nofailfile": "true"}
	if !seeded {
		defaults["rapid.seed"] = "20261204"
	}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
