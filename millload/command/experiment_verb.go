package command

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/millload/experts"
	"camphormill.dev/millload/limits"
	"camphormill.dev/millload/overload"
	"camphormill.dev/millload/targetchoice"
	"camphormill.dev/parts/commandline"
)

// experiments returns every kind of experiment by name.
func experiments() map[string]experiment.Kind {
	kinds := map[string]experiment.Kind{}
	for _, kind := range []experiment.Kind{experts.Kind(), limits.Kind(), overload.Kind(), targetchoice.Kind()} {
		kinds[kind.Name] = kind
	}
	return kinds
}

func experimentVerb() *cli.Command {
	return &cli.Command{
		Name: "experiment", Usage: "run an experiment from a file", ArgsUsage: "FILE", Action: runExperiment,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "write the report as JSON and its plot as SVG into `FOLDER`"},
		},
		UsageText: "millload experiment --out out examples/experiments/experts_16.jsonc",
	}
}

func runExperiment(_ context.Context, c *cli.Command) error {
	path := c.Args().First()
	text, err := os.ReadFile(path)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, errors.Wrap(err, "experiment file cannot be read; name an existing file"))
	}
	report, err := experiment.Run(experiments(), text)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, err)
	}
	if folder := c.String("out"); folder != "" {
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		if err := writeReport(report, filepath.Join(folder, name)); err != nil {
			return commandline.NewExitError(commandline.ExitFailed, err)
		}
	}
	return report.Print(c.Root().Writer)
}

// writeReport writes BASE.json and, if the report has a plot, BASE.svg.
func writeReport(r *experiment.Report, base string) error {
	if err := os.MkdirAll(filepath.Dir(base), 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(base+".json", data, 0o644); err != nil {
		return err
	}
	if r.Plot == nil {
		return nil
	}
	return r.Plot.WriteFile(base + ".svg")
}
