// Command millload generates load: it replays traces of callers, simulates decision parts
// in experiments, measures the overhead of the daemons, and soaks the platform's daemons
// under faults.
package main

import (
	"context"
	"os"

	"camphormill.dev/millload/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
