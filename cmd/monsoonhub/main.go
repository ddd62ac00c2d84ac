// Command monsoonhub runs an entry host, publishes steering files and shows the state of a host.
package main

import (
	"context"
	"os"

	"monsoonhub.example/steer/internal/ops/cmds"
	"monsoonhub.example/steer/internal/ops/sigs"
)

func main() {
	os.Exit(cmds.Run(sigs.WithStop(context.Background()), os.Args[1:], os.Stdout, os.Stderr))
}
