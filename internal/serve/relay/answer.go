package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

// bufferSize is the size in bytes up to which a response is buffered completely before it is forwarded.
const bufferSize = 16 << 10

var buffers = sync.Pool{
	New: func() any { return new([bufferSize]byte) },
}

// response is a response of a target or host whose header and first body bytes have been read.
type response struct {
	resp      *http.Response
	buffer    *[bufferSize]byte
	prefix    []byte // First bytes of the body, stored in buffer.
	complete  bool   // Whether prefix is the entire body.
	truncated bool   // Whether the body ended early.
	cleanups  []func()

	repeatOf string // ID of the request that ran, if this is the stored response of an earlier request.
}

// onFinish registers a function that finish runs.
func (rp *response) onFinish(f func()) { rp.cleanups = append(rp.cleanups, f) }

// finish runs the functions registered with onFinish. A second call does nothing.
func (rp *response) finish() {
	for _, f := range rp.cleanups {
		f()
	}
	rp.cleanups = nil
}

// minWriteTimeout is the minimum time for writing a response. A response that becomes ready at the deadline needs several
// round trips between regions.
const minWriteTimeout = time.Second

// respond streams a response to the caller. It fails with errResponseAborted when the caller has received part of the
// response and the rest cannot be sent.
func (h *Handler) respond(x *exchange, rp *response) error {
	defer rp.finish()
	// The write deadline keeps a caller that does not read from holding a unit of capacity much beyond the request's
	// deadline, and still lets a late response be delivered. The server resets it for the next request. The error is
	// ignored because not every ResponseWriter supports deadlines.
	limit := max(x.deadline.Sub(h.conf.Now()), minWriteTimeout)
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(limit))
	h.writeHeader(x, rp)
	callerGone := rp.write(x, rp.prefix)
	if !rp.complete {
		var err error
		callerGone, err = h.stream(x, rp, callerGone)
		if err != nil {
			rp.truncated = true
			return errors.Join(errResponseAborted, err)
		}
	}
	x.recorder.end(rp.writeTrailer(x))
	if callerGone {
		return errors.Join(errResponseAborted, errCallerGone)
	}
	return nil
}

// writeHeader writes the status and the header to the caller.
func (h *Handler) writeHeader(x *exchange, rp *response) {
	head := x.w.Header()
	copyHeader(head, rp.resp.Header, "")
	x.recorder.start(x.id, rp.resp.StatusCode, head)
	head[headerVerdict] = []string{steer.Ran.String()}
	head[headerRequestID] = []string{x.id}
	if rp.repeatOf != "" {
		head[headerRepeatOf] = []string{rp.repeatOf}
	}
	for name := range trailerNames(rp.resp.Trailer) {
		head.Add("Trailer", name)
	}
	x.w.WriteHeader(rp.resp.StatusCode)
}

// write writes p to the recorder and the caller, and reports whether the caller has disconnected. The recorder still needs
// the rest of the body then, because a repeated request with the same ticket gets the recorded response.
func (rp *response) write(x *exchange, p []byte) (callerGone bool) {
	if len(p) == 0 {
		return false
	}
	x.recorder.write(p)
	_, err := x.w.Write(p)
	return err != nil
}

// stream copies the rest of the body to the caller and the recorder, until the deadline. It reports whether the caller has
// disconnected.
func (h *Handler) stream(x *exchange, rp *response, callerGone bool) (bool, error) {
	control := http.NewResponseController(x.w)
	unknownLength := rp.resp.ContentLength < 0
	for {
		if unknownLength && !callerGone {
			callerGone = control.Flush() != nil
		}
		n, err := rp.resp.Body.Read(rp.buffer[:])
		if !callerGone {
			callerGone = rp.write(x, rp.buffer[:n])
		} else {
			x.recorder.write(rp.buffer[:n])
		}
		if callerGone && x.recorder == nil {
			return true, errCallerGone
		}
		if err == io.EOF {
			return callerGone, nil
		}
		if err != nil {
			return callerGone, err
		}
	}
}

// writeTrailer sets the announced trailers in the caller's response and returns them. The body must have been read.
func (rp *response) writeTrailer(x *exchange) http.Header {
	trailer := trailerNames(rp.resp.Trailer)
	fillTrailer(trailer, rp.resp.Trailer, "")
	head := x.w.Header()
	for name, values := range trailer {
		head[name] = values
	}
	return trailer
}

var errCallerGone = errors.New("caller disconnected")
