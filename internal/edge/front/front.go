package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/conns"
	"monsoonhub.example/steer/internal/edge/meter"
	"monsoonhub.example/steer/internal/edge/stall"
	"monsoonhub.example/steer/internal/ops/guard"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress at once. Callers pipeline a few.
	maxPipelined = 16

	// heldFraction is the fraction of the process's memory that the responses for one connection may take: 2.9 of 184 MB, which is
	// more than maxPipelined responses of 90 KB with the margin of their reservations.
	heldFraction = 1.0 / 64

	// defaultResponseBytes is the expected size of a response if nothing else is configured.
	defaultResponseBytes = 64 << 10

	// maxUnsent bounds the bytes of responses to one caller that the kernel holds and has not sent, where they are in no budget.
	maxUnsent = 128 << 10

	// lingerTimeout is the time for which a half-closed connection is still read, so that the caller gets the last response:
	// a connection that is closed with unread bytes is reset.
	lingerTimeout = time.Second

	// writeTimeout bounds the time for writing one response to a caller that does not read.
	writeTimeout = 10 * time.Second

	// shutdownIdleTimeout is the time without a byte after which a connection counts as idle during shutdown: two round trips
	// between regions.
	shutdownIdleTimeout = 100 * time.Millisecond

	// acceptIdleTimeout is the time without a new connection after which a server that shuts down stops accepting. Once the
	// shutdown has lasted for shortAcceptAfter, shortAcceptIdleTimeout replaces it: the shortest timeout that ends at a moment
	// at which no connection waits to be accepted. Callers that connect faster than that must not keep the server from stopping:
	// after noIdleTimeoutAfter it stops at the first such moment.
	acceptIdleTimeout      = 10 * time.Millisecond
	shortAcceptIdleTimeout = time.Millisecond
	shortAcceptAfter       = 100 * time.Millisecond
	noIdleTimeoutAfter     = 300 * time.Millisecond

	// finalFlushTime is the time for which a server that must stop waits until the handlers have returned and their responses are
	// written. Handlers return as soon as their context ends.
	finalFlushTime = 150 * time.Millisecond
)

// Defaults of the request limits, which apply until the first plan.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Request is a request of a caller, with its whole body.
type Request struct {
	Method  string
	Target  string // Request target as the caller sent it, without scheme and host.
	Host    string
	Path    string // Target without the query.
	Header  http.Header
	Body    []byte
	HasBody bool      // The request has a body, which may be empty.
	Arrived time.Time // When its last byte was read, or arrived in the kernel if the host has let the connection wait.

	// BodyRefused means that the body was not read because the memory for bodies is exhausted. The connection closes after the
	// response.
	BodyRefused bool

	// ExcessConn means that the host has too many connections, none of which is idle. The connection closes after the response.
	ExcessConn bool
}

// Response is the response to a request.
type Response struct {
	Status    int
	Reason    string // Reason phrase of the status line; empty selects the standard one.
	Header    http.Header
	Body      []byte
	CloseConn bool // Closes the connection without a response.

	// Release returns the memory of the response. It is called after the response is written or dropped, possibly twice. Nil
	// means that there is nothing to release.
	Release func()
}

func (r *Response) release() {
	if r.Release != nil {
		r.Release()
	}
}

// Handler answers a request. The context is cancelled when the caller disconnects. Handlers run concurrently.
type Handler func(ctx context.Context, r *Request) Response

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Handler  Handler
	Limits   func() steer.RequestLimits // Zero fields select defaults.
	Memory   int64                      // Memory of the process in bytes, a fraction of which may hold bodies. 0 selects 128 MB.

	// ExpectedBytes returns the memory that the response to a request is expected to take. It is called before the
	// handlers of requests that are sent ahead, or that others follow. Nil expects defaultResponseBytes.
	ExpectedBytes func(r *Request) int64

	Slow    *stall.Book      // Holds the responses that are being written. Nil selects a book of its own.
	Conns   *conns.Budget    // Counts the connections. Nil selects a budget of its own.
	Traffic *meter.Traffic   // Counts the bytes read and written. Optional.
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Server accepts connections of callers and serves their requests.
type Server struct {
	config             Config
	listener           *conns.Listener
	logger             log.Logger
	guard              *guard.Guard
	openConns          metrics.Gauge
	accepted           metrics.Counter
	noMemory           metrics.Counter
	heldWaits          metrics.Counter // Requests that waited because their connection had enough responses to read.
	unread             metrics.Counter // Responses that were not read within writeTimeout.
	maxHeld            int64           // Bound in bytes on the responses for one connection.
	bodyMemory         *semaphore.Weighted
	maxBodyBytes       int64                     // Largest body whose buffer can be moved to a larger one.
	keepAlivesDisabled atomic.Bool               // Responses close their connections.
	shuttingDown       atomic.Bool               // Idle connections are closed.
	shutdownStarted    atomic.Pointer[time.Time] // When shuttingDown was set.
	acceptDone         chan struct{}             // Closed when the server has stopped accepting connections.
	mu                 sync.Mutex
	conns              map[*conn]struct{}
	connGroup          sync.WaitGroup
}

// New starts a server on the configured listener.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Memory <= 0 {
		c.Memory = defaultMemory
	}
	if c.Conns == nil {
		c.Conns = conns.New(conns.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		})
	}
	if c.Slow == nil {
		c.Slow = stall.New(stall.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		})
	}
	if c.ExpectedBytes == nil {
		c.ExpectedBytes = func(*Request) int64 { return defaultResponseBytes }
	}
	bodyMemory := int64(bodyFraction * float64(c.Memory))
	s := &Server{
		config:   c,
		listener: c.Conns.Listen(c.Listener),
		logger:   log.With(c.Logger, "part", "front"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		openConns:    metrics.GetOrRegisterGauge("front-connections", c.Metrics),
		accepted:     metrics.GetOrRegisterCounter("front-accepted", c.Metrics),
		noMemory:     metrics.GetOrRegisterCounter("front-no-memory", c.Metrics),
		heldWaits:    metrics.GetOrRegisterCounter("front-held-waits", c.Metrics),
		unread:       metrics.GetOrRegisterCounter("front-unread", c.Metrics),
		maxHeld:      int64(heldFraction * float64(c.Memory)),
		bodyMemory:   semaphore.NewWeighted(bodyMemory),
		maxBodyBytes: bodyMemory/2 - 1,
		conns:        map[*conn]struct{}{},
		acceptDone:   make(chan struct{}),
	}
	go func() {
		defer close(s.acceptDone)
		s.accept()
	}()
	return s
}

func (s *Server) accept() {
	for {
		if s.shutdownLasts(noIdleTimeoutAfter) && !hasPendingConns(s.config.Listener) {
			_ = s.listener.Close() // Without delay: a connection that arrives before the close would be reset.
			return
		}
		socket, err := s.listener.Accept()
		var netErr net.Error
		if s.shuttingDown.Load() && errors.As(err, &netErr) && netErr.Timeout() {
			if hasPendingConns(s.config.Listener) {
				s.setAcceptDeadline() // The deadline passed before this goroutine ran.
				continue
			}
			_ = s.listener.Close() // Without delay: a connection that arrives before the close would be reset.
			return
		}
		if err != nil {
			return // The listener is closed.
		}
		s.accepted.Inc(1)
		if s.shuttingDown.Load() {
			s.setAcceptDeadline()
		}
		c := newConn(s, socket)
		counted, ok := s.config.Conns.Add(c.closeUnused)
		c.counted, c.excess, c.late = counted, !ok, s.listener.Late()
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.openConns.Update(int64(len(s.conns)))
		s.mu.Unlock()
		s.connGroup.Add(1)
		go func() {
			defer s.connGroup.Done()
			defer counted.Remove()
			if !s.guard.Do("connection of a caller", c.run) {
				c.abort()
			}
			s.mu.Lock()
			delete(s.conns, c)
			s.openConns.Update(int64(len(s.conns)))
			s.mu.Unlock()
		}()
	}
}

func (s *Server) limits() steer.RequestLimits {
	l := s.config.Limits()
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// DisableKeepAlives makes each further response close its connection. New connections are still accepted.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// shutdownLasts reports whether the server has been shutting down for longer than d.
func (s *Server) shutdownLasts(d time.Duration) bool {
	return s.shuttingDown.Load() && time.Since(*s.shutdownStarted.Load()) > d
}

// setAcceptDeadline makes the server stop accepting soon, but not at once: closing the listener would reset the connections
// that wait to be accepted, with the requests on them.
func (s *Server) setAcceptDeadline() {
	idleTimeout := acceptIdleTimeout
	if s.shutdownLasts(shortAcceptAfter) {
		idleTimeout = shortAcceptIdleTimeout
	}
	listener, ok := s.config.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || listener.SetDeadline(time.Now().Add(idleTimeout)) != nil {
		_ = s.listener.Close() // A listener without deadlines cannot be drained.
	}
}

// Close shuts the server down: it accepts the connections that are pending, closes idle ones, and waits until all requests in
// progress are answered. If ctx ends first, it ends the contexts of the handlers, waits for their responses for finalFlushTime,
// aborts the remaining connections and returns the error of ctx.
func (s *Server) Close(ctx context.Context) error {
	s.DisableKeepAlives()
	started := time.Now()
	s.shutdownStarted.Store(&started)
	s.shuttingDown.Store(true)
	s.setAcceptDeadline()
	s.eachConn((*conn).closeIdle)
	select {
	case <-s.acceptDone:
	case <-ctx.Done():
		_ = s.listener.Close() // There is no time left for pending connections.
		<-s.acceptDone
	}
	done := make(chan struct{})
	go func() {
		s.connGroup.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.eachConn(func(c *conn) { c.stopHandlers() })
	timer := time.NewTimer(finalFlushTime)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	s.eachConn((*conn).abort)
	return ctx.Err()
}

// eachConn calls a function for each open connection.
func (s *Server) eachConn(f func(c *conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		f(c)
	}
}
