package telem

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// NewLogger returns a structured logger that writes logfmt lines of minLevel and above. Levels are debug, info, warn and
// error; an unknown level selects info.
func NewLogger(w io.Writer, minLevel string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = log.With(logger, "time", log.DefaultTimestampUTC)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}

// TraceConfig configures the export of spans.
type TraceConfig struct {
	HostID      string
	Exporter    string         // One of none, stdout and otlp.
	Endpoint    netip.AddrPort // For the exporter otlp, over HTTP.
	SampleRatio float64        // Fraction of new traces that are recorded, 0 to 1.
	Output      io.Writer      // For the exporter stdout.
}

// NewTracer returns a tracer and a function that exports the remaining spans and stops the exporter. Without an
// exporter, spans are discarded.
func NewTracer(ctx context.Context, c TraceConfig) (trace.Tracer, func(context.Context) error, error) {
	exporter, err := newExporter(ctx, c)
	if err != nil {
		return nil, nil, fmt.Errorf("start trace exporter: %w", err)
	}
	if exporter == nil {
		return noop.NewTracerProvider().Tracer("monsoonhub"), func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(c.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			semconv.ServiceName("monsoonhub"),
			semconv.ServiceInstanceID(c.HostID),
		)),
	)
	return provider.Tracer("monsoonhub"), provider.Shutdown, nil
}

// newExporter returns the exporter that c selects, or nil for none.
func newExporter(ctx context.Context, c TraceConfig) (sdktrace.SpanExporter, error) {
	switch c.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(c.Output))
	case "otlp":
		return otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(c.Endpoint.String()),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithTimeout(5*time.Second),
		)
	default:
		return nil, nil
	}
}

// MetricsHandler serves the metrics of a registry in the Prometheus text format, sorted by name. Hyphens in names become
// underscores, since that format doesn't allow hyphens. Times are in nanoseconds.
func MetricsHandler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = io.WriteString(w, strings.Join(metricLines(registry), ""))
	})
}

func metricLines(registry metrics.Registry) []string {
	var lines []string
	add := func(name string, value float64) {
		name = "monsoonhub_" + strings.ReplaceAll(name, "-", "_")
		lines = append(lines, name+" "+strconv.FormatFloat(value, 'g', -1, 64)+"\n")
	}
	registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.Gauge:
			add(name, float64(m.Value()))
		case metrics.GaugeFloat64:
			add(name, m.Value())
		case metrics.Meter:
			add(name+"-total", float64(m.Count()))
			add(name+"-rate1", m.Rate1())
		case metrics.Timer:
			s := m.Snapshot()
			add(name+"-count", float64(s.Count()))
			add(name+"-p50", s.Percentile(0.5))
			add(name+"-p99", s.Percentile(0.99))
		case metrics.Histogram:
			s := m.Snapshot()
			add(name+"-count", float64(s.Count()))
			add(name+"-p50", s.Percentile(0.5))
			add(name+"-p99", s.Percentile(0.99))
		}
	})
	sort.Strings(lines)
	return lines
}
