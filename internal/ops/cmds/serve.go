package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/edge/node"
	"monsoonhub.example/steer/internal/edge/setup"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/platform"
)

const (
	// memoryPart is the part of a host's memory from which the collector works harder.
	memoryPart = 0.6

	// collectAt is the growth of the heap in percent at which it is collected. The heap is a few MB, so less collecting
	// costs little memory.
	collectAt = 200
)

func newServe() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one host on the platform",
		Long: "Runs one host on the platform: callers, directory, readiness, peers and metrics. SIGTERM and SIGINT start a " +
			"graceful shutdown.",
		Example: "  monsoonhub serve --settings settings.yaml",
		Args:    wrapArgs(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return badInput(errors.New("--settings: is required"))
			}
			return runServe(c, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file of the host (required)")
	return c
}

func runServe(c *cobra.Command, path string) error {
	settings, err := setup.Load(path)
	if err != nil {
		return badInput(err)
	}
	output := telem.NewAsyncWriter(c.OutOrStdout())
	defer output.Close()
	logger := log.With(telem.NewLogger(output, settings.LogLevel), "host", settings.HostID)
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMB) * (1 << 20)))
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(collectAt)
	}
	registry := metrics.NewRegistry()
	client := platform.New(platform.Config{
		Address: settings.Store,
		Metrics: registry,
	})
	defer client.Stop()
	host, err := node.New(node.Config{
		Settings: settings,
		Catalog:  client,
		Headers:  platform.Headers(),
		PlatformAPI: node.PlatformAPI{
			Directory: func(lookup func(name, region, dataCentre string) ([]netip.AddrPort, time.Duration)) http.Handler {
				return platform.Directory(lookup, logger)
			},
			Readiness: platform.Readiness,
		},
		Logger:  logger,
		Metrics: registry,
	})
	if err != nil {
		return fmt.Errorf("start host: %w", err)
	}
	watchSettings(c.Context(), path, logger, host.Reload)
	if err := host.Shutdown(context.WithoutCancel(c.Context())); err != nil {
		_ = level.Warn(logger).Log("part", "node", "msg", "Requests were cut at shutdown.", "err", err)
	}
	return nil
}

// settingsEvery is the time between two looks at the settings file, which may change without a signal.
const settingsEvery = 2 * time.Second

// watchSettings loads the settings upon SIGHUP and when the file has changed, until the context ends. Settings with a fault
// are reported and not taken over.
func watchSettings(ctx context.Context, path string, logger log.Logger, apply func(setup.Settings)) {
	logger = log.With(logger, "part", "settings")
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	seen := stamp(path)
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
			_ = level.Info(logger).Log("msg", "SIGHUP received.")
		case <-ticker.C:
		}
		now := stamp(path)
		if now == seen && !asked {
			continue
		}
		seen = now
		settings, err := setup.Load(path)
		if err != nil {
			_ = level.Error(logger).Log("msg", "Settings not loaded, the old ones stay in force.", "err", err)
			continue
		}
		apply(settings)
	}
}

// stamp tells versions of a file apart; it is empty for a file that cannot be read, which Load reports.
func stamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
