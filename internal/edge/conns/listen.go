package conns

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// acceptBackoff is the pause while no connection may be accepted.
	acceptBackoff = 20 * time.Millisecond

	// lateTime is the time after such a pause for which accepted connections are taken to have waited. Accepting all that have
	// waited takes less.
	lateTime = time.Second
)

// Listener repeats accepts that fail, after idle connections are closed if descriptors have run out. It does not count the
// connections.
type Listener struct {
	net.Listener
	budget *Budget
	waits  bool // Connections are accepted only while the budget has room.
	logger log.Logger
	closed atomic.Bool

	// Used by Accept and Late only, which are not called concurrently.
	pausedAt time.Time // End of the last pause.
	logged   time.Time // When a failure was last logged.
	failures int       // Since then.
}

// Listen returns a listener that accepts the connections of another one while the budget has room. Each must be counted.
func (b *Budget) Listen(l net.Listener) *Listener {
	listener := b.ListenReserved(l)
	listener.waits = true
	return listener
}

// ListenReserved returns a listener that accepts the connections of another one at any time. They use the descriptors that the
// budget reserves, so they are not counted.
func (b *Budget) ListenReserved(l net.Listener) *Listener {
	return &Listener{
		Listener: l,
		budget:   b,
		logger:   log.With(b.logger, "address", l.Addr()),
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		for l.waits && !l.budget.mayAccept() && !l.closed.Load() {
			l.pause()
		}
		socket, err := l.Listener.Accept()
		var netErr net.Error
		if err == nil || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr) && netErr.Timeout() {
			return socket, err
		}
		l.recordFailure(time.Now(), err)
		if !Exhausted(err) || !l.budget.MakeRoom() {
			l.pause()
		}
	}
}

func (l *Listener) pause() {
	time.Sleep(acceptBackoff)
	l.pausedAt = time.Now()
}

// Late reports whether the last accepted connection may have waited in the kernel, with requests on it.
func (l *Listener) Late() bool { return time.Since(l.pausedAt) < lateTime }

// recordFailure counts a failed accept. It logs one line each logInterval at most, with the failures since the last one.
func (l *Listener) recordFailure(now time.Time, err error) {
	l.budget.failedAccepts.Inc(1)
	l.failures++
	if now.Sub(l.logged) < logInterval {
		return
	}
	open, idle := l.budget.counts()
	_ = level.Warn(l.logger).Log("msg", "Accept failed.", "err", err, "failures", l.failures, "open", open, "idle", idle)
	l.logged, l.failures = now, 0
}

// ConnState returns the ConnState function of an http.Server whose connections are counted. Each server needs one of its own.
func (b *Budget) ConnState() func(net.Conn, http.ConnState) {
	var counted sync.Map // *Conn by net.Conn.
	return func(socket net.Conn, state http.ConnState) {
		if state == http.StateNew {
			c, _ := b.Add(func() bool { return socket.Close() == nil })
			counted.Store(socket, c)
			c.SetNew()
			return
		}
		value, ok := counted.Load(socket)
		if !ok {
			return
		}
		c := value.(*Conn)
		switch state {
		case http.StateIdle:
			c.SetIdle()
		case http.StateActive:
			c.SetUsed()
		default: // Closed, or hijacked by a handler that answers for it.
			counted.Delete(socket)
			c.Remove()
		}
	}
}
