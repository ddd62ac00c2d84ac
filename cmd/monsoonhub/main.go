// Command monsoonhub runs an entry host, publishes steering files and shows the state of a host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"monsoonhub.example/steer/internal/ops/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
