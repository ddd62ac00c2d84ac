// Command mhtarget runs one target stand-in until it gets SIGINT, SIGTERM or SIGHUP. It prints one JSON line with its address
// when it listens.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/sigs"
	"monsoonhub.example/steer/internal/plat/target"
)

const (
	// shutdownTimeout bounds the wait for requests in progress at shutdown.
	shutdownTimeout = 10 * time.Second

	// readHeaderTimeout bounds the time in which a request header must arrive.
	readHeaderTimeout = 5 * time.Second
)

func main() {
	ctx := sigs.WithHangup(sigs.WithStop(context.Background()))
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var c target.Config
	var listen string
	cmd := &cobra.Command{
		Use:          "mhtarget",
		Short:        "Run a target stand-in",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd, listen, c) },
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	f.IntVar(&c.Slots, "slots", 9, "number of requests served concurrently")
	f.DurationVar(&c.ServiceTime, "service-time", 5*time.Millisecond, "median service time")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the service times")
	return cmd
}

func run(cmd *cobra.Command, listen string, c target.Config) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	c.ID = l.Addr().String()
	t := target.New(c)
	server := &http.Server{
		Handler:           t,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	if err := json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]string{"address": c.ID}); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	case <-cmd.Context().Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return errors.Join(t.Close(ctx), server.Shutdown(ctx))
}
