package relay

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer/internal/edge/answer"
)

// Errors of guardedConn.Write.
var (
	errPastDeadline = errors.New("deadline passed before the write")
	errNoAttempt    = errors.New("connection is not bound to a request")
)

// States of an attempt.
const (
	attemptWaiting uint32 = iota
	attemptAnswered
	attemptAbandoned
)

// Bits of attempt.writes.
const (
	writeStarted uint32 = 1 << iota // Something may have been written.
	writeSealed                     // Nothing may be written any more.
)

// attempt is one attempt to send a request over a connection. It records whether anything was written.
type attempt struct {
	now                func() time.Time
	deadline           time.Time
	cancel             context.CancelFunc
	state              atomic.Uint32
	writes             atomic.Uint32
	reused             atomic.Bool
	conn               atomic.Pointer[guardedConn]
	closeBody          func()      // Closes the reader of the request body; set once the response header has arrived.
	lateWritePrevented atomic.Bool // A write was prevented because the deadline had passed.
}

// clientTrace returns a trace that binds the connection chosen by the transport to the attempt.
func (a *attempt) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			a.reused.Store(info.Reused)
			if c, ok := info.Conn.(*guardedConn); ok {
				_ = c.ExpectHead(nil) // Fails for buffered bytes only.
				c.current.Store(a)
				a.conn.Store(c)
			}
		},
	}
}

// allowWrite returns an error if the deadline has passed or the attempt is sealed. It is called immediately before each
// write: the process may have been paused since the request was admitted, and after a pause the write may run before the
// context's timer fires.
func (a *attempt) allowWrite() error {
	if !a.now().Before(a.deadline) {
		a.lateWritePrevented.Store(true)
		return errPastDeadline
	}
	// The bit is set before the write, because a failed write may still have sent bytes.
	if a.writes.Or(writeStarted)&writeSealed != 0 {
		return errAbandoned
	}
	return nil
}

// seal prevents all further writes and reports whether a write was started before. The transport's write loop may still
// be running after its RoundTrip has failed, so "nothing was written" is certain only once the attempt is sealed.
func (a *attempt) seal() (wrote bool) { return a.writes.Or(writeSealed)&writeStarted != 0 }

// guardedConn refuses writes when no attempt is bound to it, after the attempt's deadline, and after the attempt is sealed.
type guardedConn struct {
	*answer.Conn
	current atomic.Pointer[attempt]
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	a := c.current.Load()
	if a == nil {
		return 0, errNoAttempt
	}
	if err := a.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
