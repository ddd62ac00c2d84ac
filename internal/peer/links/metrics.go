package links

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
)

// traceSize is the size of an encoded trace id, span id and trace flags, in bytes.
const traceSize = 16 + 8 + 1

// meshMetrics holds the metrics of a mesh.
type meshMetrics struct {
	links              metrics.Gauge
	members            metrics.Gauge
	suspects           metrics.Gauge
	heartbeatsSent     metrics.Counter
	heartbeatsReceived metrics.Counter
	bytesSent          metrics.Counter // Payload of WebSocket messages.
	bytesReceived      metrics.Counter
	calls              metrics.Counter
	callFailures       metrics.Counter
	dialFailures       metrics.Counter
	handshakesRefused  metrics.Counter
	messagesDropped    metrics.Counter
	messagesMalformed  metrics.Counter
	silentLinks        metrics.Counter
}

func newMeshMetrics(r metrics.Registry) *meshMetrics {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &meshMetrics{
		links:              metrics.GetOrRegisterGauge("peer-links", r),
		members:            metrics.GetOrRegisterGauge("peer-members", r),
		suspects:           metrics.GetOrRegisterGauge("peer-members-suspect", r),
		heartbeatsSent:     metrics.GetOrRegisterCounter("peer-heartbeats-sent", r),
		heartbeatsReceived: metrics.GetOrRegisterCounter("peer-heartbeats-received", r),
		bytesSent:          metrics.GetOrRegisterCounter("peer-bytes-sent", r),
		bytesReceived:      metrics.GetOrRegisterCounter("peer-bytes-received", r),
		calls:              metrics.GetOrRegisterCounter("peer-calls", r),
		callFailures:       metrics.GetOrRegisterCounter("peer-call-failures", r),
		dialFailures:       metrics.GetOrRegisterCounter("peer-dial-failures", r),
		handshakesRefused:  metrics.GetOrRegisterCounter("peer-handshakes-refused", r),
		messagesDropped:    metrics.GetOrRegisterCounter("peer-messages-dropped", r),
		messagesMalformed:  metrics.GetOrRegisterCounter("peer-messages-malformed", r),
		silentLinks:        metrics.GetOrRegisterCounter("peer-links-silent", r),
	}
}

// encodeTrace returns the trace context of a call as sent in a request. It returns nil if the call has none.
func encodeTrace(ctx context.Context) []byte {
	s := trace.SpanContextFromContext(ctx)
	if !s.IsValid() {
		return nil
	}
	traceID, spanID := s.TraceID(), s.SpanID()
	data := append(traceID[:], spanID[:]...)
	return append(data, byte(s.TraceFlags()))
}

// withRemoteTrace returns a context with the trace context that encodeTrace has encoded. It returns ctx if there is none.
func withRemoteTrace(ctx context.Context, data []byte) context.Context {
	if len(data) != traceSize {
		return ctx
	}
	return trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{
		TraceID:    trace.TraceID(data[:16]),
		SpanID:     trace.SpanID(data[16:24]),
		TraceFlags: trace.TraceFlags(data[24]),
		Remote:     true,
	}))
}
