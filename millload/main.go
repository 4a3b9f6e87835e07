// Command millload replays recorded traces of callers and runs experiments on the
// decision parts.
package main

import (
	"context"
	"os"

	"camphormill.dev/millload/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
