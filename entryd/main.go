// Command entryd is the daemon of an entry host. It accepts callers' requests, applies
// the organisations' limits, sends each request to a target, and retries it where that
// is allowed.
package main

import (
	"context"
	"os"

	"camphormill.dev/entryd/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
