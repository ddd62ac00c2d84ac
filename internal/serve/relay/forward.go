package relay

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"monsoonhub.example/steer"
)

// peerPrefix starts the path of forwarded requests.
const peerPrefix = "/f/"

// forwardKind is the reason why a request is forwarded.
type forwardKind string

// Kinds of forwarded requests.
const (
	forwardSite   forwardKind = "site"   // Admitted by the rate limit; needs capacity and a target of the receiving data centre.
	forwardTicket forwardKind = "ticket" // Authenticated; must run at the owner of its ticket.
)

// forward sends the request to another host and returns that host's response. If the host refuses the request, the error
// is a refusal with the host's verdict.
func (h *Handler) forward(x *exchange, m steer.Member, kind forwardKind) (*response, error) {
	ctx, span := h.conf.Tracer.Start(x.ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(attribute.String("to", m.ID), attribute.String("kind", string(kind)))
	rp, err := h.forwardOnce(ctx, x, m, kind)
	if err != nil {
		span.RecordError(err)
		span.End()
		return nil, err
	}
	rp.onFinish(func() { span.End() })
	return rp, nil
}

func (h *Handler) forwardOnce(ctx context.Context, x *exchange, m steer.Member, kind forwardKind) (*response, error) {
	h.counts.forwarded.Inc(1)
	prefix := peerPrefix + x.serviceName
	to := destination{
		address:   m.PeerAddress,
		prefix:    prefix,
		header:    h.forwardHeader(ctx, x, kind),
		singleUse: !x.idempotent || x.ticket != "",
		reason:    steer.ReasonForwardFailed,
	}
	if kind == forwardSite && x.idempotent && x.body == nil {
		to.timeout = x.deadline.Sub(h.conf.Now()) / 2
	}
	uri := (&url.URL{
		Path:     prefix + x.decodedPath,
		RawPath:  prefix + x.escapedPath,
		RawQuery: x.r.URL.RawQuery,
	}).RequestURI()
	mac := h.signer.sum(x.r.Method, uri, m.ID, to.header)
	to.header[headerForwardMAC] = []string{base64.RawURLEncoding.EncodeToString(mac)}
	resp, p, err := h.transmit(ctx, x, to)
	if err != nil {
		return nil, err
	}
	return h.peerResponse(x, resp, p, kind)
}

// forwardHeader returns the header of a forwarded request. It contains the customer but never the key.
func (h *Handler) forwardHeader(ctx context.Context, x *exchange, kind forwardKind) http.Header {
	// The remaining time and the send time come from one reading of the clock. With two readings, a pause between them would
	// lengthen the remaining time.
	now := h.conf.Now()
	head := h.commonHeader(ctx, x, now)
	head[headerCustomer] = []string{x.customer}
	head[headerForwardFrom] = []string{h.conf.HostID}
	head[headerForwardKind] = []string{string(kind)}
	head[headerForwardTime] = []string{strconv.FormatInt(now.UnixMilli(), 10)}
	head[headerForwardNonce] = []string{rand.Text()}
	if kind == forwardTicket {
		head[headerTicket] = []string{x.ticket}
	}
	return head
}

// peerResponse converts the HTTP response of a host to a response or, if the host refused, a refusal. A response without
// the headers that every host sets comes from something else.
func (h *Handler) peerResponse(x *exchange, resp *http.Response, p *attempt, kind forwardKind) (*response, error) {
	text := resp.Header.Get(headerVerdict)
	if text == "" {
		p.end(resp)
		return nil, refuse(steer.MayHaveRun, steer.ReasonForwardFailed, errNoVerdict)
	}
	reason := resp.Header.Get(headerReason)
	if reason == "" {
		rp, err := h.readResponse(x, resp, p, steer.ReasonForwardFailed)
		if err == nil && kind == forwardTicket {
			rp.repeatOf = resp.Header.Get(headerRepeatOf)
		}
		return rp, err
	}
	p.end(resp)
	x.ticketChecked = x.ticketChecked || kind == forwardTicket
	r := refuse(p.verdictOf(resp), steer.Reason(reason), errPeerRefused)
	r.Status = resp.StatusCode
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		r.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, r
}
