package daemon

import (
	"context"
	"fmt"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/settings"
)

// Common is what every daemon's settings hold.
type Common struct {
	Name     string
	LogLevel string
}

// Program is the command line of a daemon whose settings are of type S: the
// verbs run, check and version.
type Program[S any] struct {
	Name     string
	Usage    string
	Defaults func() S
	// Checked gives the settings as what settings.Load reads into.
	Checked func(s *S) settings.Checked
	Common  func(s S) Common
	Kernel  func(s S, log zerolog.Logger) *kernel.Kernel
}

// Main runs the program and returns its exit code.
func (p Program[S]) Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name: p.Name, Usage: p.Usage,
		Commands: []*cli.Command{p.runVerb(), p.checkVerb(), commandline.VersionVerb(p.Name)},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func (p Program[S]) runVerb() *cli.Command {
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
	log, err := NewLogger(os.Stderr, common.LogLevel, common.Name)
	if err != nil {
		return commandline.Exit(commandline.ExitUsage, err)
	}
	if err := Run(ctx, p.Kernel(s, log), Part(log, "kernel")); err != nil {
		return commandline.Exit(commandline.ExitFailed, err)
	}
	return nil
}

func (p Program[S]) checkVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		s, err := p.load(c)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are fine\n", p.Common(s).Name)
		return err
	}
	return &cli.Command{
		Name: "check", Usage: "check a settings file and tell every fault", Action: action,
		Flags:     []cli.Flag{commandline.SettingsFlag()},
		UsageText: p.Name + " check --settings " + p.Name + ".jsonc",
	}
}

func (p Program[S]) load(c *cli.Command) (S, error) {
	s := p.Defaults()
	if err := settings.Load(c.String("settings"), p.Checked(&s)); err != nil {
		return s, commandline.Exit(commandline.ExitUsage, err)
	}
	return s, nil
}
