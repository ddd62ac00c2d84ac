package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

// bufferSize is the largest answer that is read whole before it is passed on, in bytes.
const bufferSize = 16 << 10

var buffers = sync.Pool{
	New: func() any { return new([bufferSize]byte) },
}

// reply is an answer whose start has been read.
type reply struct {
	resp    *http.Response
	buffer  *[bufferSize]byte
	start   []byte // Part of the buffer.
	whole   bool   // Whether start is the whole body.
	cut     bool   // Whether the body ended early.
	closers []func()

	repeatOf string // Id of the request that ran, when the answer repeats an earlier one.
}

// onFinish adds a function to run once when the reply is done with.
func (rp *reply) onFinish(f func()) { rp.closers = append(rp.closers, f) }

// finish runs the functions of onFinish. A second call does nothing.
func (rp *reply) finish() {
	for _, f := range rp.closers {
		f()
	}
	rp.closers = nil
}

// lateWrite is the least time for writing an answer: several round trips between regions, for one that is ready at the deadline.
const lateWrite = time.Second

// answer streams a reply to the caller. It fails with errAbort when the caller has got a part that cannot be completed.
func (h *Handler) answer(x *exchange, rp *reply) error {
	defer rp.finish()
	// A caller that does not read holds a unit of capacity hardly longer than the request lasts. An answer that is ready late
	// is delivered all the same. The server sets the deadline anew for the next request. Not every ResponseWriter has
	// deadlines.
	limit := max(x.deadline.Sub(h.conf.Now()), lateWrite)
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(limit))
	h.writeHead(x, rp)
	gone := rp.write(x, rp.start)
	if !rp.whole {
		var err error
		gone, err = h.stream(x, rp, gone)
		if err != nil {
			rp.cut = true
			return errors.Join(errAbort, err)
		}
	}
	x.capture.end(rp.writeTrailer(x))
	if gone {
		return errors.Join(errAbort, errCallerGone)
	}
	return nil
}

// writeHead writes status and header to the caller.
func (h *Handler) writeHead(x *exchange, rp *reply) {
	head := x.w.Header()
	copyHeader(head, rp.resp.Header, "")
	x.capture.start(x.id, rp.resp.StatusCode, head)
	head[headerVerdict] = []string{steer.Ran.String()}
	head[headerRequestID] = []string{x.id}
	if rp.repeatOf != "" {
		head[headerRepeatOf] = []string{rp.repeatOf}
	}
	for name := range announce(rp.resp.Trailer) {
		head.Add("Trailer", name)
	}
	x.w.WriteHeader(rp.resp.StatusCode)
}

// write passes a piece on and reports whether the caller is gone. Whoever repeats a ticket needs the rest all the same.
func (rp *reply) write(x *exchange, p []byte) (gone bool) {
	if len(p) == 0 {
		return false
	}
	x.capture.write(p)
	_, err := x.w.Write(p)
	return err != nil
}

// stream passes on the rest of the body until the deadline.
func (h *Handler) stream(x *exchange, rp *reply, gone bool) (bool, error) {
	control := http.NewResponseController(x.w)
	unbounded := rp.resp.ContentLength < 0
	for {
		if unbounded && !gone {
			gone = control.Flush() != nil
		}
		n, err := rp.resp.Body.Read(rp.buffer[:])
		if !gone {
			gone = rp.write(x, rp.buffer[:n])
		} else {
			x.capture.write(rp.buffer[:n])
		}
		if gone && x.capture == nil {
			return true, errCallerGone
		}
		if err == io.EOF {
			return gone, nil
		}
		if err != nil {
			return gone, err
		}
	}
}

// writeTrailer passes on the announced trailers once the body has been read.
func (rp *reply) writeTrailer(x *exchange) http.Header {
	trailer := announce(rp.resp.Trailer)
	fillTrailer(trailer, rp.resp.Trailer, "")
	head := x.w.Header()
	for name, values := range trailer {
		head[name] = values
	}
	return trailer
}

var errCallerGone = errors.New("caller is gone")
