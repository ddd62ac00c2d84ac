package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/guard"
)

const (
	// maxAhead bounds the requests of one connection that are worked on at once. Callers send a few ahead.
	maxAhead = 16

	// lingerLimit is the time for which a closed connection is still read, so that the caller gets the last answer: a
	// connection that is closed with unread bytes is reset.
	lingerLimit = time.Second

	// writeLimit bounds the writing of one answer to a caller that does not read.
	writeLimit = 10 * time.Second

	// stopQuiet is the time without a byte after which a connection is idle once the server stops: two round trips between
	// regions.
	stopQuiet = 100 * time.Millisecond

	// acceptQuiet is the time without a new connection after which a stopping server accepts no more, and acceptLast that time
	// once it has stopped for stopAccept: the shortest that ends at a moment at which none waits to be accepted.
	acceptQuiet = 10 * time.Millisecond
	acceptLast  = time.Millisecond
	stopAccept  = 100 * time.Millisecond

	// acceptPause is the pause after a failed accept, as when descriptors run out.
	acceptPause = 20 * time.Millisecond
)

// Defaults until the first plan.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Request is one request of a caller, read whole.
type Request struct {
	Method  string
	Target  string // As the caller sent it, without scheme and host.
	Host    string
	Path    string // Target without the query.
	Header  http.Header
	Body    []byte
	HasBody bool      // The request has a body, perhaps an empty one.
	Arrived time.Time // When its last byte was read.
}

// Response is the answer to a request.
type Response struct {
	Status    int
	Reason    string // Text of the status line; empty selects the usual one.
	Header    http.Header
	Body      []byte
	CloseConn bool // Closes the connection without an answer.

	// Release gives back the memory of the answer. It is called once the answer is written or dropped, perhaps twice. Nil
	// means nothing to give back.
	Release func()
}

func (a *Response) release() {
	if a.Release != nil {
		a.Release()
	}
}

// Handler answers a request. The context ends when the caller leaves. Handlers run at the same time.
type Handler func(ctx context.Context, r *Request) Response

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Handler  Handler
	Limits   func() steer.RequestLimits // Zero fields select defaults.
	Logger   log.Logger                 // Nil means no logging.
	Metrics  metrics.Registry           // Nil means a private registry.
}

// Server accepts connections of callers.
type Server struct {
	config   Config
	logger   log.Logger
	guard    *guard.Guard
	open     metrics.Gauge
	accepted metrics.Counter
	closing  atomic.Bool               // Answers close their connections.
	leaving  atomic.Bool               // Idle connections are closed.
	left     atomic.Pointer[time.Time] // When leaving was set.
	taken    chan struct{}             // Closed when no connection is accepted any more.
	mu       sync.Mutex
	conns    map[*conn]struct{}
	wait     sync.WaitGroup
}

// New starts a server.
func New(c Config) *Server {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	s := &Server{
		config: c,
		logger: log.With(c.Logger, "part", "front"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		open:     metrics.GetOrRegisterGauge("front-connections", c.Metrics),
		accepted: metrics.GetOrRegisterCounter("front-accepted", c.Metrics),
		conns:    map[*conn]struct{}{},
		taken:    make(chan struct{}),
	}
	go func() {
		defer close(s.taken)
		s.accept()
	}()
	return s
}

func (s *Server) accept() {
	for {
		socket, err := s.config.Listener.Accept()
		var network net.Error
		if s.leaving.Load() && errors.As(err, &network) && network.Timeout() {
			if pending(s.config.Listener) {
				s.hurry() // The deadline passed before this goroutine ran.
				continue
			}
			_ = s.config.Listener.Close() // At once: a connection that comes before the close would be reset.
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = level.Warn(s.logger).Log("msg", "Accept failed.", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.accepted.Inc(1)
		if s.leaving.Load() {
			s.hurry()
		}
		c := newConn(s, socket)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.open.Update(int64(len(s.conns)))
		s.mu.Unlock()
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			if !s.guard.Do("connection of a caller", c.run) {
				c.abort()
			}
			s.mu.Lock()
			delete(s.conns, c)
			s.open.Update(int64(len(s.conns)))
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

// DisableKeepAlives makes each further answer close its connection. New connections are still accepted.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// pending reports whether connections wait to be accepted.
func pending(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(descriptor uintptr) {
		events := []unix.PollFd{{
			Fd:     int32(descriptor),
			Events: unix.POLLIN,
		}}
		n, err := unix.Poll(events, 0)
		waiting = err == nil && n > 0 && events[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}

// hurry lets the accepting end soon. Connections that wait to be accepted would be reset with the requests on them.
func (s *Server) hurry() {
	quiet := acceptQuiet
	if time.Since(*s.left.Load()) > stopAccept {
		quiet = acceptLast
	}
	listener, ok := s.config.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || listener.SetDeadline(time.Now().Add(quiet)) != nil {
		_ = s.config.Listener.Close() // It cannot be drained.
	}
}

// Close takes the connections that are on their way, closes idle ones, and waits until all requests in progress are answered or
// ctx ends.
func (s *Server) Close(ctx context.Context) error {
	s.DisableKeepAlives()
	begun := time.Now()
	s.left.Store(&begun)
	s.leaving.Store(true)
	s.hurry()
	s.mu.Lock()
	for c := range s.conns {
		c.closeIdle()
	}
	s.mu.Unlock()
	select {
	case <-s.taken:
	case <-ctx.Done():
		_ = s.config.Listener.Close() // There is no time left for those that wait.
		<-s.taken
	}
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			c.abort()
		}
		return ctx.Err()
	}
}
