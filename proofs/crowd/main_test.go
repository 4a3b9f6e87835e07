//go:build crowd

package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

// run builds the program and runs the tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "platform")
	build := exec.Command("go", "build", "-o", program, "./platform")
	build.Dir = filepath.Join("..", "..")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "cannot build the program:", err)
		return 1
	}
	return m.Run()
}
