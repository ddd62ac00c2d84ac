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

// body is a request body that streams to a target and can be sent again while all that was read is still kept.
type body struct {
	mu      sync.Mutex
	src     io.Reader
	control *http.ResponseController
	stall   time.Duration // Longest time without a byte.
	end     time.Time     // End of the request.
	limit   int64         // Largest size, in bytes.
	keep    int           // Most bytes kept.
	kept    []byte
	total   int64 // Bytes read from src.
	err     error // Error of src; later reads return it again.
}

// newBody returns the body of a request, nil if it has none.
func (h *Handler) newBody(w http.ResponseWriter, r *http.Request, end time.Time) *body {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	return &body{
		src:     r.Body,
		control: http.NewResponseController(w),
		stall:   h.conf.Bounds.BodyIdleTimeout,
		end:     end,
		limit:   h.conf.Bounds.MaxBodySize,
		keep:    h.conf.Bounds.MaxRetryBodySize,
	}
}

// resendable reports whether another attempt can send the body from its start.
func (b *body) resendable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total == int64(len(b.kept)) && (b.err == nil || b.err == io.EOF)
}

// failure returns the refusal for a body that could not be read, nil if it could. Whether the target ran what it got is
// for the caller of this function to say.
func (b *body) failure() *steer.Refusal {
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

// fetch reads from the caller. The mutex is held.
func (b *body) fetch(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	// Not every ResponseWriter has deadlines; the request deadline holds in any case.
	limit := time.Now().Add(b.stall)
	if b.end.Before(limit) {
		limit = b.end
	}
	_ = b.control.SetReadDeadline(limit)
	n, err := b.src.Read(p)
	if err != nil {
		// The server's own wait for the next request must not run into this deadline.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errBodyTimeout
	}
	if b.total+int64(n) > b.limit {
		n = 0
		err = errBodySize
	}
	if b.total == int64(len(b.kept)) && len(b.kept)+n <= b.keep {
		b.kept = append(b.kept, p[:n]...)
	}
	b.total += int64(n)
	b.err = err
	return n, err
}

// reader returns a reader of the whole body for one attempt. The function atEnd runs after the last byte.
func (b *body) reader(atEnd func()) *bodyReader {
	return &bodyReader{
		b:     b,
		atEnd: atEnd,
	}
}

// bodyReader reads a body for one attempt. The transport may still read while the next attempt begins, so a closed
// reader gives nothing more.
type bodyReader struct {
	b      *body
	offset int64
	closed atomic.Bool
	atEnd  func()
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
	n, err := r.b.fetch(p)
	r.offset += int64(n)
	if err == io.EOF {
		r.atEnd()
	}
	return n, err
}

// Close implements io.Closer.
func (r *bodyReader) Close() error {
	r.closed.Store(true)
	return nil
}
