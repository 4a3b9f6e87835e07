package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/camphormill/publish"
	"camphormill.dev/parts/commandline"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
)

// defaultTimeout bounds a verb that publishes or reads once.
const defaultTimeout = 15 * time.Second

func bytesReader(text []byte) io.Reader {
	return bytes.NewReader(text)
}

// argument returns the only argument, or a usage error if there is not exactly one.
func argument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", commandline.NewExitError(commandline.ExitUsage, errors.Errorf("exactly one %s is required; see %s --help", what, c.FullName()))
	}
	return c.Args().First(), nil
}

func checkVerb() *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		p, err := presetArgument(c)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.Root().Writer, "preset %s is fine\n", p.Name)
		return err
	}
	return &cli.Command{
		Name: "check", Usage: "check a preset file without publishing it", ArgsUsage: "FILE", Action: action,
		UsageText: "camphormill preset check examples/majlis/ordinary.jsonc",
	}
}

// presetArgument reads the preset file that the only argument names and validates it.
func presetArgument(c *cli.Command) (preset.Preset, error) {
	path, err := argument(c, "preset file")
	if err != nil {
		return preset.Preset{}, err
	}
	var p preset.Preset
	if err := readFile(path, &p); err != nil {
		return p, err
	}
	if f := p.Check(); f != nil {
		return p, commandline.NewExitError(commandline.ExitUsage, errors.Wrap(f, path))
	}
	return p, nil
}

func publishVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		p, err := presetArgument(c)
		if err != nil {
			return err
		}
		return publishRecord(ctx, c, preset.Record{Kind: preset.RecordPreset, Preset: &p})
	}
	return &cli.Command{
		Name: "publish", Usage: "create or replace a preset", ArgsUsage: "FILE", Action: action,
		Flags:     []cli.Flag{logFlag(), baseFlag(), timeoutFlag(defaultTimeout), jsonFlag()},
		UsageText: "camphormill preset publish --log http://127.0.0.1:7100 examples/majlis/ordinary.jsonc",
	}
}

func changeVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		path, err := argument(c, "change file")
		if err != nil {
			return err
		}
		var change preset.Change
		if err := readFile(path, &change); err != nil {
			return err
		}
		return publishRecord(ctx, c, preset.Record{Kind: preset.RecordChange, Change: &change})
	}
	return &cli.Command{
		Name: "change", Usage: "change parts of a preset", ArgsUsage: "FILE", Action: action,
		Flags:     []cli.Flag{logFlag(), baseFlag(), timeoutFlag(defaultTimeout), jsonFlag()},
		UsageText: "camphormill preset change --log http://127.0.0.1:7100 change.jsonc",
	}
}

func activateVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		name, err := argument(c, "preset")
		if err != nil {
			return err
		}
		return publishRecord(ctx, c, preset.Record{Kind: preset.RecordActivate, Activate: name})
	}
	return &cli.Command{
		Name: "activate", Usage: "make a preset the active one", ArgsUsage: "NAME", Action: action,
		Flags:     []cli.Flag{logFlag(), baseFlag(), timeoutFlag(defaultTimeout), jsonFlag()},
		UsageText: "camphormill preset activate --log http://127.0.0.1:7100 peak",
	}
}

func showVerb() *cli.Command {
	action := func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		state, err := publish.New(platform.NewHTTPLog(c.String("log"))).Load(ctx)
		if err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Version int64                          `json:"version"`
			Active  string                         `json:"active"`
			Presets map[string]preset.StoredPreset `json:"presets"`
		}{state.Offset, state.Active, state.Presets})
	}
	return &cli.Command{
		Name: "show", Usage: "print the presets and the name of the active one, as JSON", Action: action,
		Flags:     []cli.Flag{logFlag(), timeoutFlag(defaultTimeout)},
		UsageText: "camphormill preset show --log http://127.0.0.1:7100",
	}
}
