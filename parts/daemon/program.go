package daemon

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/settings"
)

// Settings holds the settings that all daemons have.
type Settings struct {
	Name     string
	LogLevel string
	MemoryMB float64 // memory of the process in MiB; 0 if it is not known
	// StopTimeout bounds a graceful shutdown.
	StopTimeout time.Duration
}

// Program is the command line of a daemon with settings of type S. Its commands are
// run, check and version.
type Program[S any] struct {
	Name     string
	Usage    string
	Defaults func() S // the settings before the file is read
	// Checked returns s as a settings.Checkable. settings.Load decodes the file into
	// it and checks it.
	Checked func(s *S) settings.Checkable
	Common  func(s S) Settings // the settings in s that all daemons have
	// Kernel returns the kernel with the services of the daemon registered.
	Kernel func(s S, log zerolog.Logger) *kernel.Kernel
}

// Main runs the command in args and returns the exit code.
func (p Program[S]) Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name: p.Name, Usage: p.Usage,
		Commands: []*cli.Command{p.runCommand(), p.checkCommand(), commandline.VersionCommand(p.Name)},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func (p Program[S]) runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "run the daemon until SIGTERM", Action: p.run,
		Flags:     []cli.Flag{commandline.SettingsFlag()},
		UsageText: p.Name + " run --settings " + p.Name + ".jsonc",
	}
}

func (p Program[S]) run(ctx context.Context, c *cli.Command) error {
	s, err := p.load(c)
	if err != nil {
		return err
	}
	common := p.Common(s)
	limitHeap(common.MemoryMB)
	log, err := NewLogger(os.Stderr, common.LogLevel, common.Name)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, err)
	}
	if err := Run(ctx, p.Kernel(s, log), PartLogger(log, "kernel"), common.StopTimeout); err != nil {
		return commandline.NewExitError(commandline.ExitFailed, err)
	}
	return nil
}

// limitHeap makes the garbage collector run more often as the heap approaches the memory of the process, in MiB.
func limitHeap(memoryMB float64) {
	const heapShare = 0.6 // the rest is left for stacks, sockets and the runtime
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * memoryMB * (1 << 20)))
	}
}

func (p Program[S]) checkCommand() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		s, err := p.load(c)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are fine\n", p.Common(s).Name)
		return err
	}
	return &cli.Command{
		Name: "check", Usage: "check a settings file and report all faults", Action: action,
		Flags:     []cli.Flag{commandline.SettingsFlag()},
		UsageText: p.Name + " check --settings " + p.Name + ".jsonc",
	}
}

func (p Program[S]) load(c *cli.Command) (S, error) {
	s := p.Defaults()
	if err := settings.Load(c.String("settings"), p.Checked(&s)); err != nil {
		return s, commandline.NewExitError(commandline.ExitUsage, err)
	}
	return s, nil
}
