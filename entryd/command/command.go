// Package command is the command line of entryd: it reads the settings file and builds
// the services of the daemon, with the order in which they start and stop. It also
// divides the budgets of gossip and log appends among the entries.
package command

import (
	"context"
	"time"

	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/settings"
)

// Main runs entryd and returns its exit code.
func Main(ctx context.Context, args []string) int {
	program := daemon.Program[Settings]{
		Name:     "entryd",
		Usage:    "the daemon of an entry host: accepts requests and sends them to targets",
		Defaults: Defaults,
		Checked:  func(s *Settings) settings.Checkable { return s },
		Common: func(s Settings) daemon.Settings {
			return daemon.Settings{Name: s.Name, LogLevel: s.LogLevel, MemoryMB: s.MemoryMB, StopTimeout: time.Duration(s.StopTimeout)}
		},
		Kernel: newKernel,
	}
	return program.Main(ctx, args)
}
