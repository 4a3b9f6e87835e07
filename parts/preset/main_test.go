package preset_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and number of rapid's schedules, unless the command
// line names others, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
