package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonhub.example/steer/internal/edge/answer"
	"monsoonhub.example/steer/internal/edge/conns"
	"monsoonhub.example/steer/internal/edge/meter"
)

// conn is one connection of a caller. One goroutine reads the requests. Responses are written in order, by the goroutine of
// the handler that completes the oldest request.
type conn struct {
	server *Server
	socket net.Conn
	meter  *meter.Reader
	reader *bufio.Reader
	ctx    context.Context // Ends with the connection.
	cancel context.CancelFunc

	counted *conns.Conn // In the budget of the host.
	excess  bool        // The budget is exceeded, so requests are refused.
	late    bool        // The next request may have waited in the kernel. Used by the reader only.

	handlerCtx   context.Context // Ends with the connection, or when the handlers must return.
	stopHandlers context.CancelFunc

	mu      sync.Mutex
	notFull *sync.Cond
	queue   []*exchange // Requests in progress, oldest first.
	writing bool        // A goroutine is writing responses.
	closing bool        // The connection closes after the responses in the queue, or is closed.
	idle    bool        // The reader waits for the first byte of a request.
	used    bool        // A request has begun to arrive.
	waiting bool        // The reader has a request that waits for room in the queue.
	aborted bool        // No further responses are written.
}

// exchange is a request and its response.
type exchange struct {
	request    *Request
	body       *requestBody // Of the request, until the handler has returned.
	response   *Response    // Nil while the handler runs.
	size       int64        // Bytes that the response takes, or is expected to take while the handler runs.
	callerLeft bool         // The caller had closed the connection when the request was read.
	closeAfter bool         // The connection closes after this exchange.
}

// readBufferSize is the size of a connection's read buffer in bytes. There are some hundred connections, and requests are
// short.
const readBufferSize = 2 << 10

// headBufferSize is the size in bytes of the buffer for the head of a response. Most heads fit, together with short bodies.
const headBufferSize = 4 << 10

// maxCopiedBody is the size in bytes up to which a body is copied into the buffer of its head: writing one buffer is cheaper
// than writing two.
const maxCopiedBody = 16 << 10

// writeStep is the number of bytes of a large body that are written at a time, which shows how fast the caller reads.
const writeStep = maxUnsent

func newConn(s *Server, socket net.Conn) *conn {
	boundUnsent(socket)
	m := meter.New(socket)
	m.CountIn(s.config.Traffic)
	ctx, cancel := context.WithCancel(context.Background())
	handlerCtx, stopHandlers := context.WithCancel(ctx)
	c := &conn{
		server:       s,
		socket:       socket,
		meter:        m,
		reader:       bufio.NewReaderSize(m, readBufferSize),
		ctx:          ctx,
		cancel:       cancel,
		handlerCtx:   handlerCtx,
		stopHandlers: stopHandlers,
	}
	c.notFull = sync.NewCond(&c.mu)
	return c
}

// run reads requests and starts their handlers until the connection ends.
func (c *conn) run() {
	defer c.cancel()
	for {
		e, err := c.readRequest()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.enqueue(e) {
			return
		}
		if e.closeAfter {
			c.drain()
			return
		}
	}
}

// readRequest reads one request with its whole body.
func (c *conn) readRequest() (e *exchange, err error) {
	limits := c.server.limits()
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, err
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	// Buffered bytes do not count, so a header may exceed the limit by up to readBufferSize.
	c.meter.SetLimit(int64(limits.HeaderBytes))
	r, err := http.ReadRequest(c.reader)
	c.meter.RemoveLimit() // Bodies have their own limit.
	if err == nil {
		err = answer.CheckNames(r.Header) // Otherwise a body whose length is ignored is read as the next request.
	}
	if err != nil {
		return nil, classifyReadError(err)
	}
	body := &requestBody{
		server: c.server,
	}
	defer func() {
		if e == nil { // Also after a panic.
			body.release()
		}
	}()
	err = c.readBody(body, r, limits)
	bodyRefused := errors.Is(err, errNoMemory)
	switch {
	case bodyRefused:
		body.release()
	case err != nil:
		return nil, err
	}
	requestTarget := r.RequestURI
	if !strings.HasPrefix(requestTarget, "/") {
		requestTarget = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(requestTarget, "?")
	var age time.Duration
	callerLeft := false
	if c.late {
		age, callerLeft = socketState(c.socket)
		c.late = false
	}
	return &exchange{
		request: &Request{
			Method:  r.Method,
			Target:  requestTarget,
			Host:    r.Host,
			Path:    path,
			Header:  r.Header,
			Body:    body.data,
			HasBody: r.ContentLength != 0,
			Arrived: time.Now().Add(-age),

			BodyRefused: bodyRefused,
			ExcessConn:  c.excess,
		},
		body:       body,
		callerLeft: callerLeft,
		closeAfter: bodyRefused || c.excess || r.Close || !r.ProtoAtLeast(1, 1),
	}, nil
}

// awaitRequest waits for the first byte of a request. It returns an error if the connection is idle for longer than
// idleTimeout. A connection with requests in progress is not idle.
func (c *conn) awaitRequest(idleTimeout time.Duration) error {
	c.setIdle(true)
	defer c.setIdle(false)
	for {
		if c.server.shuttingDown.Load() {
			idleTimeout = shutdownIdleTimeout
		}
		if err := c.socket.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		var netErr net.Error
		if !errors.As(err, &netErr) || !netErr.Timeout() || !c.hasInFlight() {
			return err
		}
	}
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	c.used = c.used || !idle
	c.updateCounted()
}

// updateCounted tells the budget whether the connection is unused. Its caller holds mu.
func (c *conn) updateCounted() {
	switch {
	case !c.unused():
		c.counted.SetUsed()
	case c.used:
		c.counted.SetIdle()
	default:
		c.counted.SetNew()
	}
}

// unused reports whether the connection has no request in progress and nothing to write. Its caller holds mu.
func (c *conn) unused() bool { return len(c.queue) == 0 && (c.idle || c.closing) }

// closeUnused closes the connection if it is unused, and reports whether it is closed.
func (c *conn) closeUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unused() {
		return false
	}
	c.abortLocked()
	return true
}

func (c *conn) hasInFlight() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// errClosing means that a request is not read to its end because the connection closes after an earlier response.
var errClosing = errors.New("connection closes")

// awaitResponses waits until the responses to all earlier requests are written. It returns errClosing if the connection closes.
func (c *conn) awaitResponses() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.queue) > 0 && !c.closing {
		c.late = true
		c.notFull.Wait()
	}
	if c.closing {
		return errClosing
	}
	return nil
}

// statusError reports a request that cannot be read, and the status that is sent before the connection closes.
type statusError struct {
	status int
	cause  error
}

func (e *statusError) Error() string { return e.cause.Error() }

func (e *statusError) Unwrap() error { return e.cause }

func classifyReadError(err error) error {
	var netErr net.Error
	switch {
	case errors.Is(err, meter.ErrTooLarge):
		return &statusError{
			status: http.StatusRequestHeaderFieldsTooLarge,
			cause:  err,
		}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &statusError{
			status: http.StatusRequestTimeout,
			cause:  err,
		}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return &statusError{
			status: http.StatusBadRequest,
			cause:  err,
		}
	}
}

// handleReadError handles the error that ended the reading of requests. A request that cannot be read is answered after the
// earlier ones. Any other error means that the caller has disconnected or was idle for too long.
func (c *conn) handleReadError(err error) {
	if errors.Is(err, errClosing) {
		c.drain()
		return
	}
	var status *statusError
	if !errors.As(err, &status) {
		c.abort()
		return
	}
	e := &exchange{
		response: &Response{
			Status: status.status,
		},
		closeAfter: true,
	}
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	c.flush()
	c.drain()
}

// enqueue starts the handler of a request, and waits first if too many are in progress or the caller has too many responses to
// read. It returns false if the connection is closing, in which case the request is dropped.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	if len(c.queue) > 0 || c.reader.Buffered() > 0 {
		c.mu.Unlock() // ExpectedBytes is not called with the mutex held. Only this goroutine adds to the queue.
		e.size = c.server.config.ExpectedBytes(e.request)
		c.mu.Lock()
		if c.exceedsHeld(e.size) {
			c.server.heldWaits.Inc(1)
		}
	}
	for (len(c.queue) >= maxPipelined || c.exceedsHeld(e.size)) && !c.closing {
		c.late, c.waiting = true, true
		c.notFull.Wait()
	}
	c.waiting = false
	if c.closing {
		c.mu.Unlock()
		e.body.release()
		c.drain()
		return false
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	if e.callerLeft {
		c.cancel()
	}
	go func() {
		r := Response{
			Status: http.StatusBadGateway,
		}
		c.server.guard.Do("handler", func() { r = c.server.config.Handler(c.handlerCtx, e.request) })
		e.request.Body = nil // The exchange waits in the queue until earlier responses are written.
		e.body.release()
		c.mu.Lock()
		e.response, e.size = &r, int64(len(r.Body))
		c.notFull.Broadcast() // The response may be smaller than expected.
		aborted := c.aborted
		c.mu.Unlock()
		if aborted {
			r.release()
			return
		}
		c.flush()
	}()
	return true
}

// held returns the bytes that the responses in the queue take or are expected to take. Its caller holds mu.
func (c *conn) held() int64 {
	total := int64(0)
	for _, e := range c.queue {
		total += e.size
	}
	return total
}

// exceedsHeld reports whether one more response of the given size has to wait until others are read. One is always allowed. Its
// caller holds mu.
func (c *conn) exceedsHeld(size int64) bool {
	return len(c.queue) > 0 && c.held()+size > c.server.maxHeld
}

// closeSlow closes the connection of a caller that reads slowly, and returns the bytes that this frees. The kernel discards what
// it has not sent, and the caller sees a reset, never an end that looks complete.
func (c *conn) closeSlow() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	freed := int64(0)
	for _, e := range c.queue {
		if e.response != nil {
			freed += e.size
		}
	}
	c.discardUnsent()
	c.abortLocked()
	return freed
}

// discardUnsent makes closing the connection discard the bytes that the kernel has not sent.
func (c *conn) discardUnsent() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // An error means that the connection is already closed.
	}
}

// flush writes the completed responses that are next in order.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for len(c.queue) > 0 && c.queue[0].response != nil {
		e := c.queue[0]
		if e.response.CloseConn || c.ctx.Err() != nil {
			c.abortLocked()
			return
		}
		sendClose := e.closeAfter || len(c.queue) == 1 && !c.waiting && c.server.keepAlivesDisabled.Load()
		if sendClose {
			c.closing = true
		}
		c.mu.Unlock()
		err := c.write(e, sendClose)
		c.mu.Lock()
		e.response.release()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.server.unread.Inc(1)
				c.discardUnsent()
			}
			c.abortLocked()
			return
		}
		if len(c.queue) == 0 {
			return // The connection was aborted meanwhile.
		}
		c.queue = c.queue[1:]
		c.notFull.Broadcast()
		c.updateCounted()
		if sendClose {
			c.halfClose()
			return
		}
	}
}

// abortLocked closes the connection immediately and drops all pending responses. The caller of abortLocked holds mu.
func (c *conn) abortLocked() {
	c.closing, c.aborted = true, true
	for _, e := range c.queue {
		if e.response != nil {
			e.response.release()
		}
	}
	c.queue = nil
	c.notFull.Broadcast()
	c.cancel()
	_ = c.socket.Close() // An error could not be reported to the caller any more.
}

func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// halfClose closes the connection for writing. Reading goes on for lingerTimeout, so that a reset does not discard the last
// response.
func (c *conn) halfClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // An error means that the connection is already closed.
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout)) // The reader ends at the latest then.
}

// drain reads and discards what the caller still sends, until it closes the connection or lingerTimeout ends.
func (c *conn) drain() {
	for {
		c.mu.Lock()
		inFlight := len(c.queue) > 0
		c.mu.Unlock()
		if !inFlight {
			_ = c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
		} else {
			_ = c.socket.SetReadDeadline(time.Time{})
		}
		_, err := io.Copy(io.Discard, c.reader)
		var netErr net.Error
		if errors.As(err, &netErr) && netErr.Timeout() && inFlight {
			continue
		}
		break
	}
	c.abort()
}

// closeIdle makes a connection without requests in progress close soon. A request that arrives before that is still answered.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || len(c.queue) > 0 || !c.idle {
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(shutdownIdleTimeout)) // The reader ends at the latest then.
}

// write writes one response, with a "Connection: close" header if sendClose is set.
func (c *conn) write(e *exchange, sendClose bool) error {
	r := e.response
	reason := r.Reason
	if reason == "" {
		reason = http.StatusText(r.Status)
	}
	buffer := make([]byte, 0, headBufferSize)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(r.Status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, reason...)
	buffer = append(buffer, "\r\n"...)
	length := r.Header.Get("Content-Length")
	for name, values := range r.Header {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			buffer = append(append(append(append(buffer, name...), ": "...), value...), "\r\n"...)
		}
	}
	if sendClose {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	noBody := r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	isHead := e.request != nil && e.request.Method == http.MethodHead
	switch {
	case isHead && length != "":
		buffer = append(append(append(buffer, "Content-Length: "...), length...), "\r\n"...)
	case !noBody:
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(r.Body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	body := r.Body
	if isHead || noBody {
		body = nil
	}
	if len(body) <= maxCopiedBody {
		n, err := c.socket.Write(append(buffer, body...))
		c.server.config.Traffic.AddSent(int64(n))
		return err
	}
	return c.writeLarge(buffer, body)
}

// writeLarge writes a head and a large body in steps, and records how fast the caller reads.
func (c *conn) writeLarge(head, body []byte) error {
	w := c.server.config.Slow.Begin(time.Now(), c.closeSlow)
	defer w.End()
	for first := true; first || len(body) > 0; first = false {
		step := body[:min(len(body), writeStep)]
		body = body[len(step):]
		buffers := net.Buffers{step}
		if first {
			buffers = net.Buffers{head, step}
		}
		n, err := buffers.WriteTo(c.socket)
		c.server.config.Traffic.AddSent(n)
		if err != nil {
			return err
		}
		w.Advance(time.Now(), n)
	}
	return nil
}
