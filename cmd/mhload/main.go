// Command mhload sends look-ups or requests to a host or target on loopback and prints their latency.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/load"
	"monsoonhub.example/steer/internal/ops/sigs"
)

func main() {
	ctx := sigs.WithHangup(sigs.WithStop(context.Background()))
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use:          "mhload",
		Short:        "Generate load on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
	}
	root.AddCommand(newModeCommand(load.ModeLookup, "Send look-ups"),
		newModeCommand(load.ModeRequest, "Send requests to a service"))
	return root
}

func newModeCommand(mode load.Mode, short string) *cobra.Command {
	var baseline, clientPrefix, output string
	c := load.Config{
		Mode: mode,
	}
	cmd := &cobra.Command{
		Use:   string(mode) + " ADDRESS",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := parseAddresses(&c, args[0], baseline, clientPrefix); err != nil {
				return err
			}
			return run(cmd, c, output)
		},
	}
	f := cmd.Flags()
	f.StringVar(&baseline, "compare", "", "second address, IP:port, that gets the same load")
	f.StringVar(&c.Service, "service", "", "service (required)")
	f.DurationVar(&c.Duration, "duration", 10*time.Second, "time for which latencies are recorded")
	f.DurationVar(&c.Warmup, "warm-up", time.Second, "time to send before recording starts")
	f.Float64Var(&c.Rate, "rate", 0, "requests per second to each address; 0 sends on each connection without a pause")
	f.IntVar(&c.Connections, "connections", 16, "open connections to each address")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the intervals between requests and of the client addresses")
	f.StringVar(&output, "output", "table", "table or json")
	if mode == load.ModeLookup {
		f.StringVar(&clientPrefix, "clients", "0.0.0.0/0", "prefix from which client addresses are drawn")
		return cmd
	}
	f.StringVar(&c.Method, "method", "GET", "GET or POST")
	f.StringVar(&c.Path, "path", "/", "path and query below the service")
	f.StringVar(&c.Key, "key", "", "API key of a test customer; empty sends none")
	return cmd
}

// parseAddresses sets the addresses and the client prefix of c from their text. Empty optional values leave c unchanged.
func parseAddresses(c *load.Config, address, baseline, clientPrefix string) (err error) {
	if c.Address, err = netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if baseline != "" {
		if c.Baseline, err = netip.ParseAddrPort(baseline); err != nil {
			return fmt.Errorf("--compare: %w", err)
		}
	}
	if clientPrefix != "" {
		if c.ClientPrefix, err = netip.ParsePrefix(clientPrefix); err != nil {
			return fmt.Errorf("--clients: %w", err)
		}
	}
	return nil
}

func run(cmd *cobra.Command, c load.Config, output string) error {
	if output != "table" && output != "json" {
		return fmt.Errorf("--output: %q is neither table nor json", output)
	}
	report, err := load.Run(cmd.Context(), c)
	if err != nil {
		return err
	}
	if output == "json" {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteTable(cmd.OutOrStdout())
}
