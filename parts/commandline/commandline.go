// Package commandline holds what the command lines of all programs share: exit
// codes, the version verb, and how errors are shown.
package commandline

import (
	"context"
	"fmt"
	"io"
	"runtime"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Version is the release of all programs of the workspace.
const Version = "0.1.0"

// The exit codes.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the work was tried and failed
	ExitUsage   = 2 // the command line or settings are wrong
	ExitRefused = 3 // the system refused the work, and said why
)

// ExitError ends a program with a code.
type ExitError struct {
	Code  int
	Cause error
}

// Error gives the cause.
func (e *ExitError) Error() string {
	return e.Cause.Error()
}

// Exit returns an error that ends the program with the code.
func Exit(code int, cause error) error {
	return &ExitError{Code: code, Cause: cause}
}

// Run runs a command and returns its exit code. Errors go to stderr in one line
// each.
func Run(ctx context.Context, c *cli.Command, args []string, stderr io.Writer) int {
	c.EnableShellCompletion = true
	c.ErrWriter = stderr
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

// VersionVerb prints the version of the program.
func VersionVerb(program string) *cli.Command {
	action := func(_ context.Context, c *cli.Command) error {
		_, err := fmt.Fprintf(c.Root().Writer, "%s %s (%s)\n", program, Version, runtime.Version())
		return err
	}
	return &cli.Command{Name: "version", Usage: "print the version", Action: action}
}

// SettingsFlag is the flag that names the settings file.
func SettingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "read settings from `FILE` (JSON with comments)"}
}
