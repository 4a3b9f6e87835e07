// Command standin serves small stand-ins for the services that entryd and targetd use, for the
// demo, tests and measurements: the append-only log, the host list, a batching model engine, the
// engines of a lock-step group, and a plain service.
package main

import (
	"context"
	"os"

	"camphormill.dev/standin/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
