// Command camphormill is the operators' tool. It publishes presets and changes, watches
// them take effect, shows the state of the fleet and explains single requests.
package main

import (
	"context"
	"os"

	"camphormill.dev/camphormill/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args))
}
