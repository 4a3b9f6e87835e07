package command

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/settings"
)

func TestExampleSettingsAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/targetd.jsonc")
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(paths), 2) // one per user
	for _, path := range paths {
		s := Defaults()
		is.NoErr(settings.Load(path, &s))
	}
}
