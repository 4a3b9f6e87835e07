// Command targetd is the small process in the slot of each target host: the
// single gate before the model engine or service.
package main

import (
	"context"
	"os"

	"camphormill.dev/targetd/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
