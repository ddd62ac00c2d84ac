package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/meter"
)

// conn is one connection of a caller. One goroutine reads requests; answers are written in order by whichever handler
// completes the oldest one.
type conn struct {
	server *Server
	socket net.Conn
	meter  *meter.Reader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	room    *sync.Cond
	queue   []*exchange // Requests in progress, oldest first.
	writing bool        // A handler writes answers.
	last    bool        // The connection closes after the answers in the queue, or is closed.
	idle    bool        // The reader waits for the first byte of a request.
	dropped bool        // Nothing is written any more.
}

// exchange is one request and its answer.
type exchange struct {
	request *Request
	answer  *Response // Nil while the handler runs.
	final   bool      // The caller asked to close the connection after it.
}

// readBuffer is the size of a connection's buffer in bytes. There are some hundred connections, and requests are short.
const readBuffer = 2 << 10

// headBuffer is the size in bytes that most answers' heads fit into, and short bodies with them.
const headBuffer = 4 << 10

// copiedBody is the size of a body in bytes up to which it is copied behind its head: one buffer is cheaper to write than two.
const copiedBody = 16 << 10

func newConn(s *Server, socket net.Conn) *conn {
	m := meter.New(socket)
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{
		server: s,
		socket: socket,
		meter:  m,
		reader: bufio.NewReaderSize(m, readBuffer),
		ctx:    ctx,
		cancel: cancel,
	}
	c.room = sync.NewCond(&c.mu)
	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.cancel()
	for {
		e, err := c.next()
		if err != nil {
			c.end(err)
			return
		}
		if !c.enqueue(e) {
			return
		}
		if e.final {
			c.drain()
			return
		}
	}
}

// next reads one request whole.
func (c *conn) next() (*exchange, error) {
	limits := c.server.limits()
	if err := c.await(limits.IdleTimeout); err != nil {
		return nil, err
	}
	if err := c.socket.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	c.meter.SetLimit(int64(limits.HeaderBytes)) // Besides what is buffered, so a header may be longer by up to readBuffer.
	r, err := http.ReadRequest(c.reader)
	c.meter.RemoveLimit() // Bodies have a bound of their own.
	if err != nil {
		return nil, badRequest(err)
	}
	body, err := c.body(r, limits)
	if err != nil {
		return nil, err
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	return &exchange{
		request: &Request{
			Method:  r.Method,
			Target:  target,
			Host:    r.Host,
			Path:    path,
			Header:  r.Header,
			Body:    body,
			HasBody: r.ContentLength != 0,
			Arrived: time.Now(),
		},
		final: r.Close || !r.ProtoAtLeast(1, 1),
	}, nil
}

// await waits for the first byte of a request. A connection with requests in progress is not idle.
func (c *conn) await(limit time.Duration) error {
	c.setIdle(true)
	defer c.setIdle(false)
	for {
		if c.server.leaving.Load() {
			limit = stopQuiet
		}
		if err := c.socket.SetReadDeadline(time.Now().Add(limit)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !c.busy() {
			return err
		}
	}
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	c.idle = idle
	c.mu.Unlock()
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

func (c *conn) body(r *http.Request, limits steer.RequestLimits) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limits.BodyBytes {
		return nil, &statusError{
			status: http.StatusRequestEntityTooLarge,
			cause:  meter.ErrTooLarge,
		}
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	if err != nil {
		return nil, badRequest(err)
	}
	if int64(len(body)) > limits.BodyBytes {
		return nil, &statusError{
			status: http.StatusRequestEntityTooLarge,
			cause:  meter.ErrTooLarge,
		}
	}
	return body, nil
}

// statusError is a request that cannot be read and gets an answer before the connection closes.
type statusError struct {
	status int
	cause  error
}

func (e *statusError) Error() string { return e.cause.Error() }

func (e *statusError) Unwrap() error { return e.cause }

func badRequest(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, meter.ErrTooLarge):
		return &statusError{
			status: http.StatusRequestHeaderFieldsTooLarge,
			cause:  err,
		}
	case errors.As(err, &network) && network.Timeout():
		return &statusError{
			status: http.StatusRequestTimeout,
			cause:  err,
		}
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return err
	default:
		return &statusError{
			status: http.StatusBadRequest,
			cause:  err,
		}
	}
}

// end handles the end of reading: a request that cannot be read is answered in its turn, anything else means that the
// caller has left or was idle for too long.
func (c *conn) end(err error) {
	var status *statusError
	if !errors.As(err, &status) {
		c.abort()
		return
	}
	e := &exchange{
		answer: &Response{
			Status: status.status,
		},
		final: true,
	}
	c.mu.Lock()
	if c.last {
		c.mu.Unlock()
		return
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	c.flush()
	c.drain()
}

// enqueue starts the handler of a request. It reports false when the connection closes and the request does not count as
// read.
func (c *conn) enqueue(e *exchange) bool {
	c.mu.Lock()
	for len(c.queue) >= maxAhead && !c.last {
		c.room.Wait()
	}
	if c.last {
		c.mu.Unlock()
		c.drain()
		return false
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	go func() {
		a := Response{
			Status: http.StatusBadGateway,
		}
		c.server.guard.Do("handler", func() { a = c.server.config.Handler(c.ctx, e.request) })
		c.mu.Lock()
		e.answer = &a
		dropped := c.dropped
		c.mu.Unlock()
		if dropped {
			a.release()
			return
		}
		c.flush()
	}()
	return true
}

// flush writes the answers that are next in order.
func (c *conn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return
	}
	c.writing = true
	defer func() { c.writing = false }()
	for len(c.queue) > 0 && c.queue[0].answer != nil {
		e := c.queue[0]
		if e.answer.CloseConn || c.ctx.Err() != nil {
			c.cut()
			return
		}
		closes := e.final || len(c.queue) == 1 && c.server.closing.Load()
		if closes {
			c.last = true
		}
		c.mu.Unlock()
		err := c.write(e, closes)
		c.mu.Lock()
		e.answer.release()
		if err != nil {
			c.cut()
			return
		}
		if len(c.queue) == 0 {
			return // The connection was cut meanwhile.
		}
		c.queue = c.queue[1:]
		c.room.Broadcast()
		if closes {
			c.halfClose()
			return
		}
	}
}

// cut closes the connection at once. The caller holds mu.
func (c *conn) cut() {
	c.last, c.dropped = true, true
	for _, e := range c.queue {
		if e.answer != nil {
			e.answer.release()
		}
	}
	c.queue = nil
	c.room.Broadcast()
	c.cancel()
	_ = c.socket.Close() // Nothing can be told to the caller any more.
}

func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut()
}

// halfClose ends the answers; the reader goes on for a while so that the last one is not lost to a reset.
func (c *conn) halfClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // An error means that the connection is closed already.
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(lingerLimit)) // The reader ends at the latest then.
}

// drain reads and drops what the caller still sends, until it closes or the lingering ends.
func (c *conn) drain() {
	for {
		c.mu.Lock()
		waiting := len(c.queue) > 0
		c.mu.Unlock()
		if !waiting {
			_ = c.socket.SetReadDeadline(time.Now().Add(lingerLimit))
		} else {
			_ = c.socket.SetReadDeadline(time.Time{})
		}
		_, err := io.Copy(io.Discard, c.reader)
		var network net.Error
		if errors.As(err, &network) && network.Timeout() && waiting {
			continue
		}
		break
	}
	c.abort()
}

// closeIdle lets a connection without requests in progress end soon. A request that is on its way is still answered.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last || len(c.queue) > 0 || !c.idle {
		return
	}
	_ = c.socket.SetReadDeadline(time.Now().Add(stopQuiet)) // The reader ends at the latest then.
}

// write writes one answer.
func (c *conn) write(e *exchange, closes bool) error {
	a := e.answer
	reason := a.Reason
	if reason == "" {
		reason = http.StatusText(a.Status)
	}
	buffer := make([]byte, 0, headBuffer)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(a.Status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, reason...)
	buffer = append(buffer, "\r\n"...)
	length := a.Header.Get("Content-Length")
	for name, values := range a.Header {
		if name == "Content-Length" {
			continue
		}
		for _, value := range values {
			buffer = append(append(append(append(buffer, name...), ": "...), value...), "\r\n"...)
		}
	}
	if closes {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	bodiless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	head := e.request != nil && e.request.Method == http.MethodHead
	switch {
	case head && length != "":
		buffer = append(append(append(buffer, "Content-Length: "...), length...), "\r\n"...)
	case !bodiless:
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(a.Body)), 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	if err := c.socket.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	body := a.Body
	if head || bodiless {
		body = nil
	}
	if len(body) <= copiedBody {
		_, err := c.socket.Write(append(buffer, body...))
		return err
	}
	_, err := (&net.Buffers{buffer, body}).WriteTo(c.socket)
	return err
}
