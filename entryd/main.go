// Command entryd is the process of each entry host: the callers' door, limits,
// routing and retries.
package main

import (
	"context"
	"os"

	"camphormill.dev/entryd/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
