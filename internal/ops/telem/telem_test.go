package telem_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/ops/telem"
)

func TestLoggerDropsLowerLevels(t *testing.T) {
	var out bytes.Buffer
	logger := telem.NewLogger(&out, "warn")
	_ = level.Info(logger).Log("msg", "Hidden.")
	_ = level.Warn(logger).Log("msg", "Shown.")
	assert.Assert(t, !strings.Contains(out.String(), "Hidden"))
	assert.Assert(t, strings.Contains(out.String(), `msg=Shown.`))
}

func TestMetricsHandlerWritesSortedLines(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("relay-requests", registry).Inc(3)
	metrics.NewRegisteredGauge("follow-version", registry).Update(7)
	recorder := httptest.NewRecorder()
	telem.MetricsHandler(registry).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	assert.Equal(t, recorder.Body.String(), "monsoonhub_follow_version 7\nmonsoonhub_relay_requests 3\n")
}

// Spans must be exported before the process exits.
func TestTracerWritesSpansAtShutdown(t *testing.T) {
	var out bytes.Buffer
	tracer, stop, err := telem.NewTracer(context.Background(), telem.TraceConfig{
		HostID:      "golfo-1-a",
		Exporter:    "stdout",
		SampleRatio: 1,
		Output:      &out,
	})
	assert.NilError(t, err)
	_, span := tracer.Start(context.Background(), "request")
	span.End()
	assert.NilError(t, stop(context.Background()))
	assert.Assert(t, strings.Contains(out.String(), `"Name":"request"`))
}
