package command

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/camphormill/explain"
	"camphormill.dev/parts/commandline"
)

func explainVerb() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explain the outcome of a request from logs", ArgsUsage: "REQUEST [FILE...]", Action: runExplain,
		UsageText: "camphormill explain 9c41d07be2a35f68 entry-*.log",
	}
}

// runExplain reads the named log files, or standard input if none is named, and prints the
// lines and the outcome of the request.
func runExplain(_ context.Context, c *cli.Command) error {
	request := c.Args().First()
	if request == "" {
		return commandline.NewExitError(commandline.ExitUsage, errors.New("no request ID is given; see camphormill explain --help"))
	}
	var lines []explain.Line
	read := func(r io.Reader, name string) error {
		found, skipped, err := explain.Read(r, request)
		if err != nil {
			return commandline.NewExitError(commandline.ExitFailed, errors.Wrap(err, name))
		}
		if skipped > 0 {
			_, _ = io.WriteString(c.Root().ErrWriter, name+": some lines that contain the request ID are not JSON and were skipped\n")
		}
		lines = append(lines, found...)
		return nil
	}
	files := c.Args().Tail()
	if len(files) == 0 {
		if err := read(os.Stdin, "standard input"); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readLogFile(name, read); err != nil {
			return err
		}
	}
	return explain.WriteReport(c.Root().Writer, request, lines)
}

func readLogFile(name string, read func(r io.Reader, name string) error) error {
	file, err := os.Open(name)
	if err != nil {
		return commandline.NewExitError(commandline.ExitUsage, errors.Wrap(err, "log file cannot be opened; name an existing file"))
	}
	defer func() { _ = file.Close() }() // nothing was written, so no error matters
	return read(file, name)
}
