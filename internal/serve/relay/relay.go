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

// Config configures a Handler.
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
	Now         func() time.Time // Nil selects time.Now. Read again immediately before each write to a target.
	Random      func() float64   // Uniform in [0,1), safe for concurrent use. Nil selects math/rand/v2.
	Logger      log.Logger       // Nil means no logging.
	Metrics     metrics.Registry // Nil means a private registry.
	Tracer      trace.Tracer     // Nil means no traces.
}

// Handler is the http.Handler of the caller listener for /s/<service>/... It is safe for concurrent use.
type Handler struct {
	conf Config

	signer    *signer
	replays   *replayCache
	arrivals  arrivals
	view      atomic.Pointer[view]
	pool      pool
	counts    counts
	propagate propagation.TraceContext
	latencies sync.Map // Service name to *quantile.

	inFlight atomic.Int64
	stopping atomic.Bool
	idle     chan struct{} // Closed when stopping and nothing is in progress.
	idleOnce sync.Once
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
		idle:    make(chan struct{}),
	}
	h.arrivals.start = c.Now()
	c.Metrics.GetOrRegister("requests-in-progress", metrics.NewFunctionalGauge(h.inFlight.Load))
	h.pool.dial = c.Dial
	h.pool.limit = c.Bounds.DialTimeout
	return h, nil
}

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Shutdown refuses new requests from now on and waits for the requests in progress. It fails with the error of ctx when
// that ends first; the requests then go on.
func (h *Handler) Shutdown(ctx context.Context) error {
	h.stopping.Store(true)
	if h.inFlight.Load() == 0 {
		h.idleOnce.Do(func() { close(h.idle) })
	}
	defer h.pool.closeIdle()
	select {
	case <-h.idle:
		return nil
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "%d requests in progress", h.InFlight())
	}
}

// enter counts a request. It fails when the host is stopping or has too many requests in progress. Leave must be called
// in any case.
func (h *Handler) enter() error {
	n := h.inFlight.Add(1)
	if h.stopping.Load() {
		return refuse(steer.NotRun, steer.ReasonStopping, nil)
	}
	if n > int64(h.conf.Bounds.MaxInFlight) {
		return refuse(steer.NotRun, steer.ReasonBounds, errInProgress)
	}
	return nil
}

func (h *Handler) leave() {
	if h.inFlight.Add(-1) == 0 && h.stopping.Load() {
		h.idleOnce.Do(func() { close(h.idle) })
	}
}
