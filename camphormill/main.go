// Command camphormill is the operators' tool: publish presets and changes, watch
// them take effect, and look at the fleet.
package main

import (
	"context"
	"os"

	"camphormill.dev/camphormill/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
