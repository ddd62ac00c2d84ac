// Command mhstore serves an in-memory stand-in for the platform's key-value service until it gets SIGINT, SIGTERM or SIGHUP. It
// prints one JSON line with its address when it listens.
package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/sigs"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/plat/kvmem"
)

func main() {
	var listen string
	var seed uint64
	command := &cobra.Command{
		Use:          "mhstore",
		Short:        "Serve the store stand-in; /v1/faults sets faults to inject",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c.Context(), listen, seed)
		},
	}
	command.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the injected faults")
	ctx := sigs.WithHangup(sigs.WithStop(context.Background()))
	if err := command.ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func serve(ctx context.Context, listen string, seed uint64) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	store := kvmem.New(kvmem.Config{
		Seed:   seed,
		Logger: log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)),
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/store/", kvhttp.Handler(store))
	mux.Handle("/", store.Control())
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: 5 * time.Second,
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := json.NewEncoder(os.Stdout).Encode(map[string]string{
		"address": l.Addr().String(),
	}); err != nil {
		return err
	}
	if err := server.Serve(l); ctx.Err() == nil {
		return err
	}
	return nil
}
