package command

import (
	"context"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"camphormill.dev/camphormill/story"
	"camphormill.dev/parts/commandline"
)

func explainVerb() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell from logs what became of a request", ArgsUsage: "REQUEST [FILE...]", Action: explain,
		UsageText: "camphormill explain 9c41d07be2a35f68 entry-*.log",
	}
}

// explain reads the files, or standard input without any.
func explain(_ context.Context, c *cli.Command) error {
	request := c.Args().First()
	if request == "" {
		return commandline.Exit(commandline.ExitUsage, errors.New("name a request's id; see camphormill explain --help"))
	}
	var lines []story.Line
	read := func(r io.Reader, name string) error {
		found, unread, err := story.Read(r, request)
		if err != nil {
			return commandline.Exit(commandline.ExitFailed, errors.Wrap(err, name))
		}
		if unread > 0 {
			_, _ = io.WriteString(c.Root().ErrWriter, name+": some lines that name the request are no JSON and were passed over\n")
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
		if err := readLogs(name, read); err != nil {
			return err
		}
	}
	return story.Tell(c.Root().Writer, request, lines)
}

func readLogs(name string, read func(r io.Reader, name string) error) error {
	file, err := os.Open(name)
	if err != nil {
		return commandline.Exit(commandline.ExitUsage, errors.Wrap(err, "name an existing file"))
	}
	defer func() { _ = file.Close() }() // it was only read
	return read(file, name)
}
