package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/propagation"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/answer"
)

// deadlineRounding is how much earlier the peer may reach the deadline: the remaining time is sent in whole milliseconds,
// rounded down.
const deadlineRounding = 2 * time.Millisecond

// Causes of failed attempts.
var (
	errAttemptTimeout    = errors.New("attempt timed out before a response")
	errShed              = errors.New("target shed the request")
	errShedInDoubt       = errors.New("response that the request has not run may be that of another request")
	errRequestIDMismatch = errors.New("response has the ID of another request")
	errTruncated         = errors.New("response was truncated")
	errNoLength          = errors.New("response has no length, so truncation could not be detected")
	errUpgrade           = errors.New("target switched protocols")
)

// destination is the host or target that an attempt is sent to, with the options of the attempt.
type destination struct {
	address   netip.AddrPort
	prefix    string // Path prefix before the path below the service.
	header    http.Header
	singleUse bool          // Sent over a new connection that is used once.
	timeout   time.Duration // When the attempt is abandoned if the retry budget allows another one; 0 means never.
	reason    steer.Reason  // Reason given in the refusal if the attempt fails.
}

// commonHeader returns the headers that are sent to both targets and hosts, with the remaining time as of now.
func (h *Handler) commonHeader(ctx context.Context, x *exchange, now time.Time) http.Header {
	head := make(http.Header, len(x.r.Header)+4)
	copyHeader(head, x.r.Header, x.key)
	if _, ok := head["User-Agent"]; !ok {
		head["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	head[headerRequestID] = []string{x.id}
	remaining := max(x.deadline.Sub(now).Milliseconds(), 1)
	head[headerDeadline] = []string{strconv.FormatInt(remaining, 10)}
	h.propagator.Inject(ctx, propagation.HeaderCarrier(head))
	return head
}

// request returns the HTTP request of one attempt and a function that closes its body reader.
func (x *exchange) request(ctx context.Context, to destination) (*http.Request, func()) {
	r := &http.Request{
		Method: x.r.Method,
		URL: &url.URL{
			Scheme:   "http",
			Host:     to.address.String(),
			Path:     to.prefix + x.decodedPath,
			RawPath:  to.prefix + x.escapedPath,
			RawQuery: x.r.URL.RawQuery,
		},
		Host:       x.r.Host,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     to.header,
	}
	closeBody := func() {}
	if x.body != nil {
		trailer := trailerNames(x.r.Trailer)
		reader := x.body.reader(func() { fillTrailer(trailer, x.r.Trailer, x.key) })
		r.Body = reader
		r.ContentLength = x.r.ContentLength
		r.Trailer = trailer
		closeBody = func() { _ = reader.Close() }
	}
	return r.WithContext(ctx), closeBody
}

// transmit sends the request once and waits for the header of the response. Its error is a *steer.Refusal with the verdict
// not-run only if nothing was written. On success, the caller must call end on the attempt.
func (h *Handler) transmit(ctx context.Context, x *exchange, to destination) (*http.Response, *attempt, error) {
	startTime := h.conf.Now()
	p := &attempt{
		now:      h.conf.Now,
		deadline: x.deadline,
	}
	ctx, p.cancel = context.WithCancel(ctx)
	r, closeBody := x.request(httptrace.WithClientTrace(ctx, p.clientTrace()), to)
	if to.timeout > 0 {
		timer := time.AfterFunc(to.timeout, func() { h.abandon(x.serviceName, p) })
		defer timer.Stop()
	}
	resp, err := h.pool.get(time.Now(), to.address, to.singleUse).RoundTrip(r)
	if p.state.CompareAndSwap(attemptWaiting, attemptAnswered) && err == nil {
		p.closeBody = closeBody
		if err := h.checkAnswer(x, resp); err != nil {
			p.abort(resp)
			return nil, p, refuse(steer.MayHaveRun, to.reason, err)
		}
		return resp, p, nil
	}
	if err == nil {
		// The attempt was abandoned just as the response arrived.
		_ = resp.Body.Close()
	}
	closeBody()
	failure := h.failure(x, p, to.reason, err)
	p.cancel()
	if p.reused.Load() && !p.lateWritePrevented.Load() && h.conf.Now().Sub(startTime) >= minAttemptTimeout {
		h.closeSilentConns(to.address)
	}
	return nil, p, failure
}

// checkAnswer returns an error if the header of a response cannot be that of one response to the request. It comes before
// anything is concluded from the response.
func (h *Handler) checkAnswer(x *exchange, resp *http.Response) error {
	if err := answer.CheckHead(resp, headerRequestID, headerVerdict, headerReason, headerDraining, headerRepeatOf, "Retry-After",
		"Content-Type", "Date"); err != nil {
		return err
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != x.id {
		h.counts.answersCrossed.Inc(1)
		return errRequestIDMismatch
	}
	return nil
}

// verdictOf returns the verdict that a response states. It does not believe that the request has not run if the status
// contradicts this, or if the response may be the late copy of an earlier one: it has no ID, and its connection was reused.
func (a *attempt) verdictOf(resp *http.Response) steer.Verdict {
	verdict := steer.ParseVerdict(resp.Header.Get(headerVerdict))
	inDoubt := resp.StatusCode < http.StatusBadRequest || resp.Header.Get(headerRequestID) == "" && a.reused.Load()
	if verdict == steer.NotRun && inDoubt {
		return steer.MayHaveRun
	}
	return verdict
}

// abandon cancels an attempt that has no response yet, if the retry budget allows another one.
func (h *Handler) abandon(service string, p *attempt) {
	if p.state.Load() != attemptWaiting || !h.conf.Chooser.Retry(service) {
		return
	}
	if p.state.CompareAndSwap(attemptWaiting, attemptAbandoned) {
		h.counts.retries.Inc(1)
		p.cancel()
	}
}

// failure returns the refusal for an attempt that got no response.
func (h *Handler) failure(x *exchange, p *attempt, reason steer.Reason, err error) *steer.Refusal {
	verdict := steer.NotRun
	if p.seal() {
		verdict = steer.MayHaveRun
	}
	switch {
	case p.state.Load() == attemptAbandoned:
		return refuse(verdict, reason, errAttemptTimeout)
	case p.lateWritePrevented.Load():
		h.counts.lateWritePrevented.Inc(1)
		return refuse(verdict, steer.ReasonDeadline, errPastDeadline)
	case h.isPastDeadline(x):
		return refuse(verdict, steer.ReasonDeadline, err)
	}
	if r := x.body.readRefusal(); r != nil {
		r.Verdict = verdict
		return r
	}
	return refuse(verdict, reason, err)
}

// isPastDeadline reports whether the deadline of the request has passed, here or at the peer.
func (h *Handler) isPastDeadline(x *exchange) bool {
	return x.ctx.Err() == context.DeadlineExceeded || !h.conf.Now().Add(deadlineRounding).Before(x.deadline)
}

// end releases the resources of an attempt that got a response. Its connection is reused only if the response was read to
// its end.
func (a *attempt) end(resp *http.Response) {
	_ = resp.Body.Close()
	a.closeBody()
	a.cancel()
}

// abort is like end, and closes the connection, which the transport would use again after a response without a body.
func (a *attempt) abort(resp *http.Response) {
	if c := a.conn.Load(); c != nil {
		_ = c.Close()
	}
	a.end(resp)
}

// readResponse reads the first part of a response. A response of known length up to bufferSize is read completely, so that a
// truncated one can still be refused or retried. For others, it reads once.
func (h *Handler) readResponse(x *exchange, resp *http.Response, p *attempt, reason steer.Reason) (*response, error) {
	fail := func(cause error) (*response, error) {
		p.end(resp)
		return nil, refuse(steer.MayHaveRun, reason, cause)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return fail(errUpgrade)
	}
	rp := &response{
		resp:   resp,
		buffer: buffers.Get().(*[bufferSize]byte),
	}
	rp.onFinish(func() {
		p.end(resp)
		buffers.Put(rp.buffer)
	})
	err := rp.readPrefix(x.r.Method)
	if err == nil {
		err = answer.CheckBody(rp.prefix, answer.Following{}, headerRequestID, headerVerdict)
	}
	if err == nil {
		return rp, nil
	}
	rp.finish()
	if h.isPastDeadline(x) {
		reason = steer.ReasonDeadline
	}
	return nil, refuse(steer.MayHaveRun, reason, err)
}

// readPrefix reads the first part of the body into the buffer.
func (rp *response) readPrefix(method string) error {
	resp := rp.resp
	noBody := method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
	switch {
	case noBody || resp.ContentLength == 0:
		rp.complete = true
		return nil
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return errNoLength
	case resp.ContentLength > 0 && resp.ContentLength <= bufferSize:
		n, err := io.ReadFull(resp.Body, rp.buffer[:resp.ContentLength])
		rp.prefix = rp.buffer[:n]
		rp.complete = err == nil
		if err != nil {
			return errors.Join(errTruncated, err)
		}
		return nil
	default:
		n, err := resp.Body.Read(rp.buffer[:])
		rp.prefix = rp.buffer[:n]
		rp.complete = err == io.EOF
		if err != nil && err != io.EOF {
			return errors.Join(errTruncated, err)
		}
		return nil
	}
}
