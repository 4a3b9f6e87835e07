// Command targetd is the daemon on each target host. It controls all access to the model
// engine or service beside it.
package main

import (
	"context"
	"os"

	"camphormill.dev/targetd/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
