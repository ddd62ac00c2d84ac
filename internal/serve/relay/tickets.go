package relay

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/serve/ticket"
)

// reasonNotKept is the reason for refusing a repeated request that has run and whose response was too large to store.
const reasonNotKept steer.Reason = "answer-not-kept"

// serveTicket runs a request with a ticket at the process that owns the ticket.
func (h *Handler) serveTicket(x *exchange) error {
	k, err := h.conf.Tickets.Open(x.ticket)
	if err != nil {
		return err
	}
	if !h.conf.Tickets.Owns(k) {
		return h.forwardToOwner(x, k)
	}
	if k.Service != x.serviceName {
		x.ticketChecked = true
		return refuse(steer.NotRun, steer.ReasonTicket, nil)
	}
	action, stored := h.conf.Tickets.Begin(h.conf.Now(), k, requestDigest(x))
	x.ticketChecked = true
	switch action {
	case ticket.Execute:
		return h.executeTicket(x, k)
	case ticket.Stored:
		return h.respondStored(x, stored)
	case ticket.InProgress:
		return refuse(steer.MayHaveRun, steer.ReasonTicketBusy, nil)
	case ticket.Full:
		return refuse(steer.NotRun, steer.ReasonTicketFull, nil)
	case ticket.Expired:
		// The request may have run before the ticket expired; the table no longer knows.
		return refuse(steer.MayHaveRun, steer.ReasonTicket, nil)
	default:
		return refuse(steer.NotRun, steer.ReasonTicket, nil)
	}
}

// requestDigest returns a digest of customer, service, method, path and query, which distinguishes the requests of callers.
// It has a fixed size because the ticket table holds many.
func requestDigest(x *exchange) string {
	d := sha256.New()
	for _, field := range []string{x.customer, x.serviceName, x.r.Method, x.escapedPath, x.r.URL.RawQuery} {
		d.Write([]byte(strconv.Itoa(len(field)) + ":" + field))
	}
	return string(d.Sum(nil))
}

// ticketMayHaveRun reports whether an earlier request with the ticket of x may have run on any host. It returns false once
// the ticket has been looked up in its owner's table.
func (h *Handler) ticketMayHaveRun(x *exchange) bool {
	if x.ticket == "" || x.ticketChecked {
		return false
	}
	k, err := h.conf.Tickets.Open(x.ticket)
	return err == nil && h.conf.Tickets.MayHaveBegun(h.conf.Now(), k)
}

// executeTicket runs a request and stores its result, even if the handler panics.
func (h *Handler) executeTicket(x *exchange, k ticket.Ticket) error {
	x.recorder = &recorder{}
	result := ticket.Result{
		Verdict: steer.MayHaveRun,
		Reason:  steer.ReasonTargetFailed,
	}
	defer func() { h.conf.Tickets.Finish(h.conf.Now(), k, result) }()
	err := h.execute(x)
	if x.recorder.complete {
		result = x.recorder.Result
		result.Verdict = steer.Ran
		return err
	}
	r := h.refusal(x, err)
	result.Verdict = r.Verdict
	result.Reason = r.Reason
	return err
}

// respondStored sends the result stored for a ticket to the caller.
func (h *Handler) respondStored(x *exchange, stored ticket.Result) error {
	if stored.Reason != "" {
		return refuse(stored.Verdict, stored.Reason, nil)
	}
	if stored.Status == 0 {
		r := refuse(stored.Verdict, reasonNotKept, nil)
		r.Status = http.StatusGone
		return r
	}
	head := x.w.Header()
	for name, values := range stored.Header {
		head[name] = slices.Clone(values)
	}
	head.Set(headerVerdict, stored.Verdict.String())
	head.Set(headerRequestID, x.id)
	for name := range stored.Trailer {
		head.Add("Trailer", name)
	}
	x.w.WriteHeader(stored.Status)
	if _, err := x.w.Write(stored.Body); err != nil && x.r.Method != http.MethodHead {
		return errors.Join(errResponseAborted, errCallerGone)
	}
	for name, values := range stored.Trailer {
		head[name] = slices.Clone(values)
	}
	return nil
}

// forwardToOwner forwards a request to the process that owns its ticket. If that process does not respond, the request may
// have run there before, so no other process may run it.
func (h *Handler) forwardToOwner(x *exchange, k ticket.Ticket) error {
	ownerGone := refuse(steer.MayHaveRun, steer.ReasonTicketGone, nil)
	if x.kind == forwardTicket {
		return ownerGone
	}
	for _, m := range h.conf.Peers.Members() {
		if m.ID != k.Host || m.Incarnation != k.Incarnation {
			continue
		}
		at := site{
			dataCentre: m.DataCentre,
			region:     m.Region,
		}
		if !h.takeLinkToken(at, false) {
			return refuse(steer.NotRun, steer.ReasonCapacity, errLinkBudget)
		}
		rp, err := h.forward(x, m, forwardTicket)
		if err == nil {
			return h.respond(x, rp)
		}
		if asRefusal(err).Reason == steer.ReasonForwardFailed {
			ownerGone.Cause = err
			return ownerGone
		}
		return err
	}
	return ownerGone
}

// recorder stores a response for repeated requests with the same ticket. A nil recorder stores nothing.
type recorder struct {
	ticket.Result
	complete bool
	tooLarge bool // Whether the body exceeds ticket.MaxAnswerSize and is not stored.
}

func (c *recorder) start(id string, status int, head http.Header) {
	if c == nil {
		return
	}
	c.Status = status
	c.Header = head.Clone()
	c.Header.Set(headerRepeatOf, id)
	c.Header.Del("Trailer")
}

func (c *recorder) write(p []byte) {
	if c == nil || c.tooLarge {
		return
	}
	if len(c.Body)+len(p) > ticket.MaxResponseSize {
		c.tooLarge = true
		c.Body = nil
		return
	}
	c.Body = append(c.Body, p...)
}

func (c *recorder) end(trailer http.Header) {
	if c == nil {
		return
	}
	c.complete = true
	c.Trailer = trailer
	if c.tooLarge {
		c.Status = 0
		c.Header = nil
		c.Trailer = nil
	}
}
