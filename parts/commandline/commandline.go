// Package commandline holds what the command lines of all programs share: the exit
// codes, the output of errors, the version command and the settings flag.
package commandline

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Version is the release version of all programs of the workspace.
const Version = "0.1.0"

// The exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the work failed
	ExitUsage   = 2 // the command line or the settings are invalid
	ExitRefused = 3 // the system refused the work with a reason
)

// ExitError is an error with the exit code of the program.
type ExitError struct {
	Code  int
	Cause error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string {
	return e.Cause.Error()
}

// NewExitError returns an ExitError with the code and the cause.
func NewExitError(code int, cause error) error {
	return &ExitError{Code: code, Cause: cause}
}

// Run runs a command and returns its exit code. It writes an error to stderr with
// the name of the command. An error that is no ExitError gives ExitUsage.
func Run(ctx context.Context, c *cli.Command, args []string, stderr io.Writer) int {
	c.EnableShellCompletion = true
	c.ErrWriter = stderr
	// An empty handler keeps the library from ending the process itself.
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := c.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", c.Name, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitUsage
}

// VersionCommand returns a command that prints the versions of the program and of Go.
func VersionCommand(program string) *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		_, err := fmt.Fprintf(c.Root().Writer, "%s %s (%s)\n", program, Version, runtime.Version())
		return err
	}
	return &cli.Command{Name: "version", Usage: "print the version", Action: action}
}

// SettingsFlag returns the required flag with the path of the settings file.
func SettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "read settings from `FILE` (JSON with comments)"}
}
