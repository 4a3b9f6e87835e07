package preset_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of rapid's checks, unless the command line
// sets them, so that test results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if isSet[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
