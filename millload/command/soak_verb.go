package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/millload/soak"
	"camphormill.dev/parts/commandline"
)

func soakVerb() *cli.Command {
	flags := []cli.Flag{
		&cli.StringFlag{Name: "program", Value: "bin/platform", Usage: "run the daemons of `FILE`"},
		&cli.StringFlag{Name: "work", Usage: "keep settings and logs in `FOLDER`; a new temporary one if empty"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "draw faults from seed `N`"},
		&cli.IntFlag{Name: "seeds", Value: 1, Usage: "run `COUNT` seeds, one after the other"},
		&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "inject faults for `TIME`"},
		&cli.IntFlag{Name: "entries", Value: 4, Usage: "run `COUNT` entry daemons"},
		&cli.IntFlag{Name: "targets", Value: 4, Usage: "run `COUNT` target daemons"},
		&cli.IntFlag{Name: "services", Value: 3, Usage: "run `COUNT` plain targets"},
		&cli.IntFlag{Name: "callers", Value: 16, Usage: "run `COUNT` callers"},
		&cli.IntFlag{Name: "net", Value: 77, Usage: "use the addresses 127.`N`.0.x"},
	}
	return &cli.Command{Name: "soak", Usage: "run the daemons under random faults and check what callers are guaranteed", Flags: flags, Action: runSoak}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	// A cancelled context lets an interrupted run end the processes that it started.
	ctx, cancel := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer cancel()
	failed := 0
	for n := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(n)
		work := c.String("work")
		if work == "" {
			var err error
			if work, err = os.MkdirTemp("", "soak-"); err != nil {
				return commandline.NewExitError(commandline.ExitFailed, err)
			}
		}
		work = filepath.Join(work, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(work, 0o700); err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
		report, err := soak.Run(ctx, soak.Config{
			Program: c.String("program"), WorkDir: work, Seed: seed, FaultTime: c.Duration("for"), Entries: c.Int("entries"),
			Targets: c.Int("targets"), Services: c.Int("services"), Callers: c.Int("callers"), SubnetOctet: c.Int("net"),
		})
		if err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
		fmt.Fprintf(c.Root().Writer, "seed %d: %d faults, %d sent, %d served, %d refused, %d failed, %d map changes, %.2f served after recovery, %d guarantees violated\n",
			seed, len(report.Faults), report.Sent, report.Served, report.Refused, report.Failed, report.MapChanges, report.RecoveredShare, len(report.Violations))
		if len(report.Violations) == 0 {
			continue
		}
		failed++
		for _, line := range append(report.Faults, report.Violations...) {
			fmt.Fprintln(c.Root().Writer, "  "+line)
		}
		fmt.Fprintln(c.Root().Writer, "  logs are in "+work)
	}
	if failed > 0 {
		return commandline.NewExitError(commandline.ExitFailed, errors.Errorf("%d seeds violated a guarantee; their logs are kept", failed))
	}
	return nil
}
