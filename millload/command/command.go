// Package command implements the command line of millload: its verbs, their flags and
// their output.
package command

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/millload/caller"
	"camphormill.dev/millload/replay"
	"camphormill.dev/millload/trace"
	"camphormill.dev/parts/commandline"
)

// Main runs millload with the arguments, of which the first is the program's name, and
// returns the exit code as package commandline defines it.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "millload",
		Usage:    "replay traces of callers, run experiments, measure overhead and run daemons under faults",
		Commands: []*cli.Command{traceVerb(), replayVerb(), experimentVerb(), overheadVerb(), soakVerb(), commandline.VersionCommand("millload")},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func traceVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		events := trace.GenerateDay(trace.DayConfig{
			Seed:          c.Uint64("seed"),
			Events:        c.Int("events"),
			LengthMS:      c.Duration("length").Milliseconds(),
			Organisations: c.StringSlice("organisation"),
			Model:         c.String("model"),
			Service:       c.String("service"),
		})
		return trace.Write(c.Root().Writer, events)
	}
	return &cli.Command{
		Name: "trace", Usage: "generate the trace of a working day", Action: action,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "draw the day from `SEED`"},
			&cli.IntFlag{Name: "events", Value: 600, Usage: "generate `N` events"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "compress the day into `TIME`"},
			&cli.StringSliceFlag{Name: "organisation", Required: true, Usage: "let organisation `NAME` send; may be repeated"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "draft with model `NAME`"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "call service `NAME`"},
		},
		UsageText: "millload trace --seed 1 --organisation muscat --model brief-model --service roster-app > day.jsonl",
	}
}

func replayVerb() *cli.Command {
	return &cli.Command{
		Name: "replay", Usage: "send a trace at its recorded times and check every answer", ArgsUsage: "FILE", Action: runReplay,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "seed-address", Required: true, Usage: "resolve addresses from the entry at `URL`; may be repeated"},
			&cli.StringSliceFlag{Name: "key", Required: true, Usage: "`ORGANISATION=KEY`; may be repeated"},
			&cli.StringFlag{Name: "effects", Usage: "check effects at the stand-in service at `URL`"},
			&cli.BoolFlag{Name: "allow-unfinished", Usage: "accept a final \"not run\" or \"unknown\", as expected under faults"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		UsageText: "millload replay --seed-address http://127.0.0.1:7001 --key muscat=KEY examples/traces/majlis_day.jsonl",
	}
}

func runReplay(ctx context.Context, c *cli.Command) error {
	events, err := readTrace(c.Args().First())
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, err)
	}
	keys := map[string]string{}
	for _, pair := range c.StringSlice("key") {
		organisation, key, _ := strings.Cut(pair, "=")
		keys[organisation] = key
	}
	results := replay.Run(ctx, caller.New(caller.Config{Seeds: c.StringSlice("seed-address"), Keys: keys}), events)
	var effects map[string]int
	if url := c.String("effects"); url != "" {
		if effects, err = replay.FetchEffects(ctx, url); err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
	}
	report := replay.Summarise(results, effects, c.Bool("allow-unfinished"))
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = report.Print(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	if !report.AllCorrect() {
		return commandline.NewExitError(commandline.ExitFailed, errors.New("some requests had an incorrect outcome; see the problems above"))
	}
	return nil
}

func readTrace(path string) ([]trace.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "trace file cannot be opened; name an existing file")
	}
	defer file.Close()
	return trace.Read(file)
}
