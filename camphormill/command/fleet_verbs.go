package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/camphormill/fleet"
	"camphormill.dev/camphormill/publish"
	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/platform"
)

const (
	watchTimeout  = time.Minute
	watchInterval = 100 * time.Millisecond // pause between two queries of the fleet
)

func watchVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		offset := c.Int64("version")
		if offset == newestVersion {
			state, err := publish.New(platform.NewHTTPLog(c.String("log"))).Load(ctx)
			if err != nil {
				return commandline.NewExitError(commandline.ExitFailed, err)
			}
			offset = state.Offset
		}
		return watch(ctx, c, offset)
	}
	return &cli.Command{
		Name: "watch", Usage: "wait until a version is in force at every live daemon", Action: action,
		Flags: []cli.Flag{
			logFlag(), entryFlag(), timeoutFlag(watchTimeout),
			&cli.Int64Flag{Name: "version", Value: newestVersion, Usage: "wait for version `OFFSET` instead of the newest"},
		},
		UsageText: "camphormill preset watch --log http://127.0.0.1:7100 --entry 127.0.0.1:7003",
	}
}

// watch queries the fleet until every entry that answers has the version and so have the
// targets linked to it. It prints the daemons that lack the version whenever their list
// changes.
func watch(ctx context.Context, c *cli.Command, offset int64) error {
	start := time.Now()
	f := fleet.New(c.StringSlice("entry"))
	lastMissing := ""
	for {
		report, err := f.Query(ctx)
		outdated := report.Outdated(offset)
		if err == nil && len(outdated) == 0 {
			_, err := fmt.Fprintf(c.Root().Writer, "version %d is in force at %d entries and their targets after %d ms\n",
				offset, len(report.Entries), time.Since(start).Milliseconds())
			return err
		}
		if missing := strings.Join(outdated, ", "); missing != lastMissing {
			lastMissing = missing
			if _, err := fmt.Fprintf(c.Root().Writer, "version %d is missing at: %s\n", offset, missing); err != nil {
				return err
			}
		}
		select {
		case <-time.After(watchInterval):
		case <-ctx.Done():
			return commandline.NewExitError(commandline.ExitFailed,
				errors.Errorf("version %d is not in force everywhere yet; missing at: %s; look at these daemons' logs", offset, lastMissing))
		}
	}
}

func statusVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		report, err := fleet.New(c.StringSlice("entry")).Query(ctx)
		if err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
		if c.Bool("json") {
			return json.NewEncoder(c.Root().Writer).Encode(report)
		}
		return printReport(c.Root().Writer, report)
	}
	return &cli.Command{
		Name: "status", Usage: "show every entry, its version and its targets", Action: action,
		Flags:     []cli.Flag{entryFlag(), timeoutFlag(defaultTimeout), jsonFlag()},
		UsageText: "camphormill status --entry 127.0.0.1:7003",
	}
}

func printReport(w io.Writer, r fleet.Report) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tZONE\tVERSION\tPRESET\tTARGETS\tTARGETS AT LEAST")
	for _, s := range r.Entries {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\n", s.Entry, s.Zone, s.ConfigOffset, s.ActivePreset, s.Targets.Linked, s.Targets.MinOffset)
	}
	for _, address := range r.Unreachable {
		fmt.Fprintf(table, "%s\tsilent\t\t\t\t\n", address)
	}
	return table.Flush()
}
