// Package command implements the command line of camphormill: its verbs, their flags
// and their output.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"camphormill.dev/camphormill/publish"
	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
)

// Main runs camphormill with the arguments, of which the first is the program's name,
// and returns the exit code of package commandline.
func Main(ctx context.Context, args []string) int {
	root := &cli.Command{
		Name:     "camphormill",
		Usage:    "publish presets and watch them take effect",
		Commands: []*cli.Command{presetVerb(), statusVerb(), explainVerb(), commandline.VersionCommand("camphormill")},
	}
	return commandline.Run(ctx, root, args, os.Stderr)
}

func presetVerb() *cli.Command {
	return &cli.Command{
		Name: "preset", Usage: "publish, change, activate, show and watch presets",
		Commands: []*cli.Command{checkVerb(), publishVerb(), changeVerb(), activateVerb(), showVerb(), watchVerb()},
	}
}

func logFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "log", Required: true, Usage: "the platform's log is at `URL`",
		Sources: cli.EnvVars("CAMPHORMILL_LOG"),
	}
}

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "entry", Required: true, Usage: "query the entry whose operations address is `ADDRESS`; may be repeated",
		Sources: cli.EnvVars("CAMPHORMILL_ENTRIES"),
	}
}

func timeoutFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: value, Usage: "give up after `TIME`"}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func baseFlag() cli.Flag {
	return &cli.Int64Flag{Name: "base", Value: newestVersion, Usage: "publish on top of version `OFFSET` instead of the newest"}
}

// newestVersion selects the newest version in the log. A version is the offset of its
// record, or preset.NoOffset, so it is -1 or more and never newestVersion.
const newestVersion int64 = -2

// readFile decodes a file of JSON with comments into value and rejects unknown fields.
func readFile(path string, value any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, errors.Wrap(err, "file cannot be read; name an existing file"))
	}
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, errors.Wrapf(err, "%s: invalid JSON; fix the syntax", path))
	}
	decoder := json.NewDecoder(bytesReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return commandline.NewExitError(commandline.ExitUsage, errors.Wrapf(err, "%s: invalid field; fix or remove it", path))
	}
	return nil
}

// publishRecord publishes the record on top of the version of the flag base and prints
// the result.
func publishRecord(ctx context.Context, c *cli.Command, r preset.Record) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	p := publish.New(platform.NewHTTPLog(c.String("log")))
	state, err := p.Load(ctx)
	if err != nil {
		return commandline.NewExitError(commandline.ExitFailed, err)
	}
	base := c.Int64("base")
	if base == newestVersion {
		base = state.Offset
	}
	result, err := p.Publish(ctx, r, base)
	if err != nil {
		return commandline.NewExitError(commandline.ExitFailed, err)
	}
	return printResult(c.Root().Writer, c.Bool("json"), result)
}

// printResult prints the result and returns an error with ExitRefused if the record was
// refused. Without asJSON it prints nothing for a refused record.
func printResult(w io.Writer, asJSON bool, v preset.ChangeResult) error {
	if asJSON {
		if err := json.NewEncoder(w).Encode(v); err != nil {
			return err
		}
	}
	if v.Failure != nil {
		return commandline.NewExitError(commandline.ExitRefused, refusal(v.Failure))
	}
	if asJSON {
		return nil
	}
	_, err := fmt.Fprintf(w, "accepted as version %d\n", v.Offset)
	return err
}

// refusal returns the error that reports the failure. Its version is the one on which
// to base the change instead.
func refusal(f *contract.Failure) error {
	if f.Offset > 0 {
		return errors.Errorf("refused: %s (version %d)", f.Error(), f.Offset)
	}
	return errors.Errorf("refused: %s", f.Error())
}
