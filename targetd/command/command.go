// Package command reads targetd's command line and settings and wires its
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

// Main runs targetd and returns its exit code.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "targetd",
		Usage:    "the gate before a model engine or service",
		Commands: []*cli.Command{runVerb(), checkVerb(), commandline.VersionVerb("targetd")},
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
		UsageText: "targetd run --settings targetd.jsonc",
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
		UsageText: "targetd check --settings targetd.jsonc",
	}
}

func load(c *cli.Command) (Settings, error) {
	s := Defaults()
	if err := settings.Load(c.String("settings"), &s); err != nil {
		return s, commandline.Exit(commandline.ExitUsage, err)
	}
	return s, nil
}
