package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"

	"monsoonhub.example/steer/internal/edge/node"
	"monsoonhub.example/steer/internal/edge/setup"
	"monsoonhub.example/steer/internal/ops/sigs"
	"monsoonhub.example/steer/internal/ops/telem"
	"monsoonhub.example/steer/platform"
)

const (
	// memoryLimitFraction is the fraction of a host's memory that is set as the soft memory limit of the Go runtime. Above it
	// the garbage collector runs more often.
	memoryLimitFraction = 0.6

	// defaultGCPercent is the growth of the heap in percent that starts a garbage collection, unless GOGC is set. The heap is a
	// few MB, so collecting less often than by default costs little memory.
	defaultGCPercent = 200
)

func newServeCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "serve --settings FILE",
		Short: "Run one host on the platform",
		Long: "Runs one host on the platform: it serves callers, the directory, readiness checks, " +
			"peers and metrics. SIGTERM and SIGINT start a graceful shutdown, SIGHUP loads the settings, and SIGQUIT " +
			"writes the stacks of all goroutines before a graceful shutdown. No other signal ends it.",
		Example:     "  monsoonhub serve --settings settings.yaml",
		Args:        asUsageError(cobra.NoArgs),
		Annotations: map[string]string{daemonAnnotation: ""},
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				return newUsageError(errors.New("--settings: is required"))
			}
			return runServe(c, path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file of the host (required)")
	return c
}

func runServe(c *cobra.Command, path string) error {
	// Before the settings are read, so that a SIGHUP for a change of theirs is never lost.
	ctx, hangups := sigs.Daemon(c.Context(), c.ErrOrStderr())
	settings, err := setup.Load(path)
	if err != nil {
		return newUsageError(err)
	}
	output := telem.NewAsyncWriter(c.OutOrStdout())
	defer output.Close()
	logger := log.With(telem.NewLogger(output, settings.LogLevel), "host", settings.HostID)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * (1 << 20)))
	if _, set := os.LookupEnv("GOGC"); !set {
		debug.SetGCPercent(defaultGCPercent)
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

		Deployment: platform.Deployment(settings.Contracts),
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
	watchSettings(ctx, hangups, path, logger, host.Reload)
	if err := host.Shutdown(context.WithoutCancel(ctx)); err != nil {
		_ = level.Warn(logger).Log("part", "node", "msg", "Requests were cut off at shutdown.", "err", err)
	}
	return nil
}

const (
	// settingsPollInterval is the interval at which the settings file is checked, since it may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second

	// minReloadInterval is the minimum time between two loads of the settings. Signals that arrive meanwhile share one.
	minReloadInterval = 200 * time.Millisecond
)

// watchSettings loads and applies the settings on SIGHUP and when the file has changed, until the context ends. Settings
// with an error are logged and not applied.
func watchSettings(ctx context.Context, hangups <-chan os.Signal, path string, logger log.Logger, apply func(setup.Settings)) {
	logger = log.With(logger, "part", "settings")
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	previous := fileVersion(path)
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			forced = true
			_ = level.Info(logger).Log("msg", "SIGHUP received.")
		case <-ticker.C:
		}
		current := fileVersion(path)
		if current == previous && !forced {
			continue
		}
		previous = current
		if settings, err := setup.Load(path); err != nil {
			_ = level.Error(logger).Log("msg", "Settings not loaded; the previous settings stay in force.", "err", err)
		} else {
			apply(settings)
		}
		select {
		case <-ctx.Done():
		case <-time.After(minReloadInterval):
		}
	}
}

// fileVersion returns the size and modification time of a file as text, to detect a change. It returns an empty string
// if the file cannot be read, which Load then reports.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
