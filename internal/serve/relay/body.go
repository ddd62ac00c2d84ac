package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
)

var errAbandoned = errors.New("attempt was abandoned")

// body is a request body that is streamed to a target. It can be sent again as long as everything read is still kept.
type body struct {
	mu          sync.Mutex
	src         io.Reader
	control     *http.ResponseController
	idleTimeout time.Duration // Maximum time without a byte.
	deadline    time.Time     // Deadline of the request.
	maxSize     int64         // In bytes.
	maxKept     int           // Maximum length of kept, in bytes.
	kept        []byte
	total       int64 // Bytes read from src.
	err         error // First error of src; later reads return it again.
}

// newBody returns the body of a request, or nil if it has none.
func (h *Handler) newBody(w http.ResponseWriter, r *http.Request, deadline time.Time) *body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &body{
		src:         r.Body,
		control:     http.NewResponseController(w),
		idleTimeout: h.conf.Bounds.BodyIdleTimeout,
		deadline:    deadline,
		maxSize:     h.conf.Bounds.MaxBodySize,
		maxKept:     h.conf.Bounds.MaxRetryBodySize,
	}
}

// rewindable reports whether another attempt can send the body from its start. A nil body is rewindable.
func (b *body) rewindable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total == int64(len(b.kept)) && (b.err == nil || b.err == io.EOF)
}

// readRefusal returns the refusal for a body that could not be read, or nil if there was no read error. Its verdict is
// not-run; the caller of readRefusal must change it if the target may have run what it received.
func (b *body) readRefusal() *steer.Refusal {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err == nil || b.err == io.EOF:
		return nil
	case errors.Is(b.err, errBodySize):
		return refuseStatus(http.StatusRequestEntityTooLarge, steer.ReasonBounds, b.err)
	case errors.Is(b.err, errBodyTimeout):
		return refuseStatus(http.StatusRequestTimeout, steer.ReasonBounds, b.err)
	default:
		return refuse(steer.NotRun, steer.ReasonBadRequest, b.err)
	}
}

// readSource reads from the caller of the request. The mutex must be held.
func (b *body) readSource(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	// The error is ignored because not every ResponseWriter supports deadlines; the request's deadline applies anyway.
	readDeadline := time.Now().Add(b.idleTimeout)
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
	}
	_ = b.control.SetReadDeadline(readDeadline)
	n, err := b.src.Read(p)
	if err != nil {
		// The deadline must not end the server's wait for the next request.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errBodyTimeout
	}
	if b.total+int64(n) > b.maxSize {
		n = 0
		err = errBodySize
	}
	if b.total == int64(len(b.kept)) && len(b.kept)+n <= b.maxKept {
		b.kept = append(b.kept, p[:n]...)
	}
	b.total += int64(n)
	b.err = err
	return n, err
}

// reader returns a reader of the entire body for one attempt. It calls onEOF at the end of the body.
func (b *body) reader(onEOF func()) *bodyReader {
	return &bodyReader{
		b:     b,
		onEOF: onEOF,
	}
}

// bodyReader reads a body for one attempt. A closed reader returns no more data, because the transport may still be
// reading when the next attempt begins.
type bodyReader struct {
	b      *body
	offset int64
	closed atomic.Bool
	onEOF  func()
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.b.mu.Lock()
	defer r.b.mu.Unlock()
	if r.closed.Load() {
		return 0, errAbandoned
	}
	if r.offset < int64(len(r.b.kept)) {
		n := copy(p, r.b.kept[r.offset:])
		r.offset += int64(n)
		return n, nil
	}
	if r.offset != r.b.total {
		return 0, errAbandoned
	}
	n, err := r.b.readSource(p)
	r.offset += int64(n)
	if err == io.EOF {
		r.onEOF()
	}
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
