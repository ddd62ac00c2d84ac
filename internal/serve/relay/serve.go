package relay

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"monsoonhub.example/steer"
)

// callerPrefix is the path prefix of requests from callers.
const callerPrefix = "/s/"

// exchange is the state of one request in flight. Only the goroutine of its handler modifies it.
type exchange struct {
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context // Ends at the deadline; carries the span of the request.
	kind      forwardKind     // Empty for a request from a caller.
	startTime time.Time       // Start of the timeout; for a forwarded request, its send time plus the minimum network delay.
	id        string

	view        *view
	service     *service
	route       *route
	serviceName string
	escapedPath string // Path below the service as received.
	decodedPath string // Path below the service without escapes.
	idempotent  bool
	deadline    time.Time
	body        *body // Nil if the request has none.

	key      string // Removed from everything sent to targets and hosts.
	customer string // Empty on open routes.

	ticket        string // Encoded ticket; empty if the request has none.
	ticketChecked bool   // Whether the ticket has been looked up in its owner's table.
	recorder      *recorder

	mayHaveRun bool // Whether an earlier attempt may have run.
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		w:         w,
		r:         r,
		ctx:       r.Context(),
		startTime: h.conf.Now(),
		id:        rand.Text(),
		key:       r.Header.Get(headerKey),
		ticket:    r.Header.Get(headerTicket),
	}
	h.counts.requests.Inc(1)
	h.serve(x, callerPrefix, h.serveCaller)
}

// serve handles a request and writes a refusal if it fails. It panics with http.ErrAbortHandler if the response cannot be
// completed.
func (h *Handler) serve(x *exchange, prefix string, next func(*exchange) error) {
	defer h.endRequest()
	err := h.beginRequest()
	if err == nil {
		err = h.serveWithDeadline(x, prefix, next)
	}
	if err == nil {
		return
	}
	if errors.Is(err, errCallerGone) {
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, errResponseAborted) {
		h.counts.answersCut.Inc(1)
		_ = level.Warn(h.conf.Logger).Log("msg", "Response is incomplete, closing the connection to the caller.", "request", x.id,
			"service", x.serviceName, "cause", err)
		panic(http.ErrAbortHandler)
	}
	h.writeRefusal(x, h.refusal(x, err))
}

// serveWithDeadline prepares the exchange and calls next with a context that ends at the deadline.
func (h *Handler) serveWithDeadline(x *exchange, prefix string, next func(*exchange) error) error {
	if err := h.prepare(x, prefix); err != nil {
		return err
	}
	base := x.r.Context()
	if x.ticket != "" {
		// The request continues if the caller disconnects, because the caller can get the response later with its ticket.
		base = context.WithoutCancel(base)
	}
	remaining := x.deadline.Sub(h.conf.Now())
	x.body = h.newBody(x.w, x.r, time.Now().Add(remaining))
	base = h.propagator.Extract(base, propagation.HeaderCarrier(x.r.Header))
	ctx, cancel := context.WithTimeout(base, remaining)
	defer cancel()
	ctx, span := h.conf.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	x.ctx = ctx
	err := next(x)
	if span.IsRecording() {
		h.setSpanAttributes(x, span, err)
	}
	return err
}

// setSpanAttributes sets the attributes of the span of a request. It omits the path and the headers, because they may
// contain secrets.
func (h *Handler) setSpanAttributes(x *exchange, span trace.Span, err error) {
	span.SetAttributes(
		attribute.String("host", h.conf.HostID),
		attribute.String("service", x.serviceName),
		attribute.String("method", x.r.Method),
		attribute.String("route", x.route.prefix+"/"),
		attribute.String("request-id", x.id),
		attribute.String("customer", x.customer),
	)
	if err == nil {
		span.SetAttributes(attribute.String("verdict", steer.Ran.String()))
		return
	}
	r := h.refusal(x, err)
	span.SetAttributes(attribute.String("verdict", r.Verdict.String()))
	span.SetStatus(codes.Error, string(r.Reason))
}

// prepare checks the bounds and sets the route and the deadline of the exchange.
func (h *Handler) prepare(x *exchange, prefix string) error {
	if err := h.checkBounds(x); err != nil {
		return err
	}
	serviceName, escapedPath, decodedPath, err := splitPath(x.r.URL, prefix)
	if err != nil {
		return err
	}
	x.serviceName = serviceName
	x.escapedPath = escapedPath
	x.decodedPath = decodedPath
	x.view = h.currentView()
	if x.view == nil {
		return refuse(steer.NotRun, steer.ReasonNoConfig, nil)
	}
	x.service, x.route, err = findRoute(x.view, serviceName, x.r.Method, decodedPath)
	if err != nil {
		return err
	}
	x.idempotent = x.route.isIdempotent(x.r.Method)
	x.deadline, err = h.deadline(x.startTime, x.r, x.service.Service)
	if err == nil && x.kind != "" && !h.conf.Now().Before(x.deadline) {
		return refuse(steer.NotRun, steer.ReasonDeadline, errLate)
	}
	return err
}

// serveCaller serves a request from a caller.
func (h *Handler) serveCaller(x *exchange) error {
	if err := h.authenticate(x); err != nil {
		return err
	}
	if x.ticket != "" {
		return h.serveTicket(x)
	}
	return h.execute(x)
}

// execute runs an authenticated request: it takes a token of the customer's rate, sends the request to a site, and sends
// the response to the caller.
func (h *Handler) execute(x *exchange) error {
	if err := h.takeRateToken(x); err != nil {
		return err
	}
	rp, err := h.trySites(x)
	if err != nil {
		return err
	}
	return h.respond(x, rp)
}
