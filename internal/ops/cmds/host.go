package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/ops/config"
	"monsoonhub.example/steer/internal/ops/sigs"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/internal/plat/kvhttp"
	"monsoonhub.example/steer/internal/serve/daemon"
)

func newHostCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "host --settings FILE",
		Short: "Run the daemon of one entry host",
		Long: "Runs the daemon of one entry host. SIGTERM and SIGINT start a graceful shutdown, and SIGQUIT writes the " +
			"stacks of all goroutines before it. SIGHUP has no effect: the settings are read at the start only.",
		Example:     "  monsoonhub host --settings host.yaml",
		Args:        asUsageError(cobra.NoArgs),
		Annotations: map[string]string{daemonAnnotation: ""},
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return newUsageError(errors.New("--settings: is required"))
			}
			return runHost(c, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file of the host (required)")
	return c
}

func runHost(c *cobra.Command, path string) error {
	ctx, _ := sigs.Daemon(c.Context(), c.ErrOrStderr())
	settings, err := config.Load(path)
	if err != nil {
		return newUsageError(err)
	}
	secret, err := settings.Secret()
	if err != nil {
		return newUsageError(fmt.Errorf("%s: %w", path, err))
	}
	logger := telem.NewLogger(c.ErrOrStderr(), settings.LogLevel)
	registry := metrics.NewRegistry()
	tracer, stopTracer, err := telem.NewTracer(ctx, telem.TraceConfig{
		HostID:      settings.HostID,
		Exporter:    settings.Trace.Exporter,
		Endpoint:    settings.Trace.Endpoint,
		SampleRatio: settings.Trace.SampleRatio,
		Output:      c.OutOrStdout(),
	})
	if err != nil {
		return newUsageError(err)
	}
	store := kvhttp.New(kvhttp.Config{
		Address: settings.Store,
		Logger:  logger,
		Metrics: registry,
	})
	defer store.Stop()
	host, err := daemon.New(daemon.Config{
		Settings: settings,
		Secret:   secret,
		Store:    store,
		Seed:     rand.Uint64(),
		Logger:   logger,
		Metrics:  registry,
		Tracer:   tracer,
	})
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	if err := printAddresses(c.OutOrStdout(), host); err != nil {
		return err
	}
	<-ctx.Done()
	return stopHost(logger, host, stopTracer)
}

// listenAddresses is printed as one line of JSON once the host listens. A supervisor reads the ports from it, which the
// kernel chooses if the settings give port 0.
type listenAddresses struct {
	Listen      netip.AddrPort `json:"listen"`
	PeerListen  netip.AddrPort `json:"peer-listen"`
	AdminListen netip.AddrPort `json:"admin-listen"`
}

func printAddresses(w io.Writer, host *daemon.Host) error {
	return json.NewEncoder(w).Encode(listenAddresses{
		Listen:      host.Address(),
		PeerListen:  host.PeerAddress(),
		AdminListen: host.AdminAddress(),
	})
}

func stopHost(logger log.Logger, host *daemon.Host, stopTracer func(context.Context) error) error {
	if err := host.Shutdown(context.Background()); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// A missing trace collector must not turn a clean shutdown into a failure.
	if err := stopTracer(ctx); err != nil {
		_ = level.Warn(logger).Log("part", "telem", "msg", "Spans were lost at shutdown.", "err", err)
	}
	return nil
}
