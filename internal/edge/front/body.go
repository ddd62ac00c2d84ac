package front

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/meter"
)

const (
	// bodyFraction is the fraction of the process's memory that may hold the bodies of requests.
	bodyFraction = 0.08

	// defaultMemory is the memory of the process in bytes if none is configured.
	defaultMemory = 128 << 20

	// firstBodyBytes is the memory in bytes that is taken for a body at first. A larger body takes the rest as it arrives, so
	// that callers that announce much and send little take little.
	firstBodyBytes = 16 << 10

	// bodyGrowth is the growth of the buffer for a body without a declared length, each time that it is full.
	bodyGrowth = 4
)

// errNoMemory means that a body was not read because the memory for bodies is exhausted.
var errNoMemory = errors.New("memory for bodies is exhausted")

// requestBody is the body of a request, and the memory that is reserved for it.
type requestBody struct {
	server   *Server
	data     []byte
	reserved int64
}

// grow moves the data to a larger buffer, or returns errNoMemory. It does not wait: a caller that is refused can ask another
// host.
func (b *requestBody) grow(size int64) error {
	if !b.server.bodyMemory.TryAcquire(size) {
		b.server.noMemory.Inc(1)
		return errNoMemory
	}
	buffer := make([]byte, len(b.data), size)
	copy(buffer, b.data)
	b.server.bodyMemory.Release(b.reserved)
	b.data, b.reserved = buffer, size
	return nil
}

// release frees the memory. Further calls have no effect.
func (b *requestBody) release() {
	b.server.bodyMemory.Release(b.reserved)
	b.data, b.reserved = nil, 0
}

// readBody reads the whole body of a request into b, which must be released in any case. After errNoMemory, an unknown part of
// the body has been read.
func (c *conn) readBody(b *requestBody, r *http.Request, limits steer.RequestLimits) error {
	if r.ContentLength == 0 {
		return nil
	}
	maxBytes := min(limits.BodyBytes, c.server.maxBodyBytes)
	if r.ContentLength > maxBytes {
		return errBodyTooLarge
	}
	size := r.ContentLength
	if size < 0 {
		size = maxBytes + 1 // One byte more tells whether the body is larger.
	}
	expected := strings.EqualFold(r.Header.Get("Expect"), "100-continue")
	if expected {
		if err := c.awaitResponses(); err != nil {
			return err
		}
	}
	if err := b.grow(min(size, firstBodyBytes)); err != nil {
		return err
	}
	if expected {
		if err := c.sendContinue(limits); err != nil {
			return err
		}
	}
	if err := b.read(r, size); err != nil {
		return err
	}
	if int64(len(b.data)) > maxBytes {
		return errBodyTooLarge
	}
	return nil
}

// sendContinue tells the caller to send the body. No response may be in progress.
func (c *conn) sendContinue(limits steer.RequestLimits) error {
	now := time.Now()
	if err := c.socket.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return err
	}
	// The time for which earlier responses were awaited is not the caller's.
	if err := c.socket.SetReadDeadline(now.Add(limits.HeaderTimeout)); err != nil {
		return err
	}
	n, err := io.WriteString(c.socket, "HTTP/1.1 100 Continue\r\n\r\n")
	c.server.config.Traffic.AddSent(int64(n))
	return err
}

// read reads the body until its end or until it has the given size.
func (b *requestBody) read(r *http.Request, size int64) error {
	for {
		n, err := meter.ReadUpTo(r.Body, b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err != nil {
			return classifyReadError(err)
		}
		length := int64(len(b.data))
		if length < b.reserved || length == size {
			return nil
		}
		next := size
		if r.ContentLength < 0 {
			next = min(size, bodyGrowth*length)
		}
		if err := b.grow(next); err != nil {
			return err
		}
	}
}

// errBodyTooLarge reports a body that exceeds the limit of the plan, or all memory for bodies.
var errBodyTooLarge = &statusError{
	status: http.StatusRequestEntityTooLarge,
	cause:  meter.ErrTooLarge,
}
