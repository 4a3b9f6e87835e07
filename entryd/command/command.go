// Package command reads entryd's command line and settings and wires its
// services.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/settings"
)

// Main runs entryd and returns its exit code.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "entryd",
		Usage:    "the door of an entry host",
		Commands: []*cli.Command{runVerb(), checkVerb(), commandline.VersionVerb("entryd")},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func runVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		s, err := load(c)
		if err != nil {
			return err
		}
		log, err := daemon.NewLogger(os.Stderr, s.LogLevel, s.Name)
		if err != nil {
			return commandline.Exit(commandline.ExitUsage, err)
		}
		if err := daemon.Run(ctx, newKernel(s, log), daemon.Part(log, "kernel")); err != nil {
			return commandline.Exit(commandline.ExitFailed, err)
		}
		return nil
	}
	return &cli.Command{
		Name: "run", Usage: "run the daemon until SIGTERM", Action: action,
		Flags:     []cli.Flag{commandline.SettingsFlag()},
		UsageText: "entryd run --settings entryd.jsonc",
	}
}

func checkVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		s, err := load(c)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Root().Writer, "settings of %s are fine\n", s.Name)
		return err
	}
	return &cli.Command{
		Name: "check", Usage: "check a settings file and tell every fault", Action: action,
		Flags:     []cli.Flag{commandline.SettingsFlag()},
		UsageText: "entryd check --settings entryd.jsonc",
	}
}

func load(c *cli.Command) (Settings, error) {
	s := Defaults()
	if err := settings.Load(c.String("settings"), &s); err != nil {
		return s, commandline.Exit(commandline.ExitUsage, err)
	}
	return s, nil
}
