package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/ticket"
)

// Config configures a Handler. FleetSecret must not be empty.
type Config struct {
	Source      steer.Source
	Auth        steer.Authenticator
	Tickets     *ticket.Table
	Limiter     steer.Limiter
	Capacity    steer.Capacity
	Chooser     steer.Chooser
	Peers       steer.Peers
	HostID      string
	DataCentre  string
	Region      string
	FleetSecret []byte
	Bounds      Bounds           // Zero fields select defaults.
	Dial        steer.Dial       // Opens connections to targets and hosts. Nil selects a net.Dialer.
	Now         func() time.Time // Nil selects time.Now. Called immediately before each write to a target or host.
	Random      func() float64   // Uniform in [0,1), safe for concurrent use. Nil selects math/rand/v2.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
	Tracer      trace.Tracer     // Nil means no traces.
}

// Handler is the http.Handler of the caller listener for /s/<service>/... It is safe for concurrent use.
type Handler struct {
	conf Config

	signer        *signer
	replays       *replayCache
	forwardDelays forwardDelays
	view          atomic.Pointer[view]
	pool          pool
	counts        counts
	propagator    propagation.TraceContext
	latencies     sync.Map // Service name to *quantile.

	inFlight  atomic.Int64
	stopping  atomic.Bool
	drained   chan struct{} // Closed once the handler is stopping and no request is in flight.
	drainOnce sync.Once
}

// New returns a Handler. It fails when the fleet secret is empty.
func New(c Config) (*Handler, error) {
	if len(c.FleetSecret) == 0 {
		return nil, eris.New("fleet secret is empty")
	}
	s, err := newSigner(c.FleetSecret, c.HostID)
	if err != nil {
		return nil, err
	}
	c.Bounds = c.Bounds.withDefaults()
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	c.Logger = log.With(c.Logger, "part", "relay")
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("relay")
	}
	c.FleetSecret = nil // Only the derived key is needed from here on.
	h := &Handler{
		conf:    c,
		signer:  s,
		replays: newReplayCache(c.Bounds.ReplayCacheSize),
		counts:  newCounts(c.Metrics),
		drained: make(chan struct{}),
	}
	h.forwardDelays.start = c.Now()
	c.Metrics.GetOrRegister("requests-in-progress", metrics.NewFunctionalGauge(h.inFlight.Load))
	h.pool.dial = c.Dial
	h.pool.dialTimeout = c.Bounds.DialTimeout
	return h, nil
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Shutdown makes the handler refuse new requests and waits for those in flight. If ctx ends first, it returns the error
// of ctx, and the requests continue.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.stopping.Store(true)
	if h.inFlight.Load() == 0 {
		h.drainOnce.Do(func() { close(h.drained) })
	}
	defer h.pool.closeAllIdle()
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%d requests in progress", h.InFlight())
	}
}

// beginRequest counts a request as in flight. It fails when the host is stopping or has too many requests in flight.
// The caller must call endRequest even after a failure.
func (h *Handler) beginRequest() error {
	n := h.inFlight.Add(1)
	if h.stopping.Load() {
		return refuse(steer.NotRun, steer.ReasonStopping, nil)
	}
	if n > int64(h.conf.Bounds.MaxInFlight) {
		return refuse(steer.NotRun, steer.ReasonBounds, errTooManyRequests)
	}
	return nil
}

func (h *Handler) endRequest() {
	if h.inFlight.Add(-1) == 0 && h.stopping.Load() {
		h.drainOnce.Do(func() { close(h.drained) })
	}
}
