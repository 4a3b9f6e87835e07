// Package command reads targetd's command line and settings and starts its services.
package command

import (
	"context"
	"time"

	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/settings"
)

// Main runs targetd and returns its exit code.
func Main(ctx context.Context, args []string) int {
	program := daemon.Program[Settings]{
		Name:     "targetd",
		Usage:    "the gate before a model engine or service",
		Defaults: Defaults,
		Checked:  func(s *Settings) settings.Checkable { return s },
		Common: func(s Settings) daemon.Settings {
			return daemon.Settings{Name: s.Name, LogLevel: s.LogLevel, MemoryMB: s.MemoryMB, StopTimeout: time.Duration(s.StopTimeout)}
		},
		Kernel: newKernel,
	}
	return program.Main(ctx, args)
}
