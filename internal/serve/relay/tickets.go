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

// reasonNotKept refuses a repeat whose request has run and whose answer was too large to keep.
const reasonNotKept steer.Reason = "answer-not-kept"

// serveTicket runs a request with a ticket at the process that owns the ticket.
func (h *Handler) serveTicket(x *exchange) error {
	k, err := h.conf.Tickets.Open(x.ticket)
	if err != nil {
		return err
	}
	if !h.conf.Tickets.Owns(k) {
		return h.toOwner(x, k)
	}
	if k.Service != x.name {
		x.ticketChecked = true
		return refuse(steer.NotRun, steer.ReasonTicket, nil)
	}
	action, stored := h.conf.Tickets.Begin(h.conf.Now(), k, identity(x))
	x.ticketChecked = true
	switch action {
	case ticket.Execute:
		return h.executeTicket(x, k)
	case ticket.Stored:
		return h.repeat(x, stored)
	case ticket.InProgress:
		return refuse(steer.MayHaveRun, steer.ReasonTicketBusy, nil)
	case ticket.Full:
		return refuse(steer.NotRun, steer.ReasonTicketFull, nil)
	case ticket.Expired:
		// Before its expiry, the ticket may have run; the table does not remember that any more.
		return refuse(steer.MayHaveRun, steer.ReasonTicket, nil)
	default:
		return refuse(steer.NotRun, steer.ReasonTicket, nil)
	}
}

// identity tells the requests of callers apart. It has a fixed size, since the table holds many.
func identity(x *exchange) string {
	d := sha256.New()
	for _, part := range []string{x.customer, x.name, x.r.Method, x.escaped, x.r.URL.RawQuery} {
		d.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return string(d.Sum(nil))
}

// ticketBegan reports whether an earlier request with the ticket of x may have begun somewhere.
func (h *Handler) ticketBegan(x *exchange) bool {
	if x.ticket == "" || x.ticketChecked {
		return false
	}
	k, err := h.conf.Tickets.Open(x.ticket)
	return err == nil && h.conf.Tickets.MayHaveBegun(h.conf.Now(), k)
}

// executeTicket runs a request and stores what became of it, also when the handler panics.
func (h *Handler) executeTicket(x *exchange, k ticket.Ticket) error {
	x.capture = &capture{}
	result := ticket.Result{
		Verdict: steer.MayHaveRun,
		Reason:  steer.ReasonTargetFailed,
	}
	defer func() { h.conf.Tickets.Finish(h.conf.Now(), k, result) }()
	err := h.execute(x)
	if x.capture.complete {
		result = x.capture.Result
		result.Verdict = steer.Ran
		return err
	}
	r := h.refusal(x, err)
	result.Verdict = r.Verdict
	result.Reason = r.Reason
	return err
}

// repeat answers with what is stored for a ticket.
func (h *Handler) repeat(x *exchange, stored ticket.Result) error {
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
		return errors.Join(errAbort, errCallerGone)
	}
	for name, values := range stored.Trailer {
		head[name] = slices.Clone(values)
	}
	return nil
}

// toOwner forwards a request to the process that owns its ticket. When that does not answer, the request may have run
// there before, and no other process may run it.
func (h *Handler) toOwner(x *exchange, k ticket.Ticket) error {
	gone := refuse(steer.MayHaveRun, steer.ReasonTicketGone, nil)
	if x.kind == forwardTicket {
		return gone
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
			return refuse(steer.NotRun, steer.ReasonCapacity, errNoLink)
		}
		rp, err := h.forward(x, m, forwardTicket)
		if err == nil {
			return h.answer(x, rp)
		}
		if asRefusal(err).Reason == steer.ReasonForwardFailed {
			gone.Cause = err
			return gone
		}
		return err
	}
	return gone
}

// capture keeps an answer for repeats.
type capture struct {
	ticket.Result
	complete bool
	over     bool // Larger than what is stored.
}

func (c *capture) start(id string, status int, head http.Header) {
	if c == nil {
		return
	}
	c.Status = status
	c.Header = head.Clone()
	c.Header.Set(headerRepeatOf, id)
	c.Header.Del("Trailer")
}

func (c *capture) write(p []byte) {
	if c == nil || c.over {
		return
	}
	if len(c.Body)+len(p) > ticket.MaxResponseSize {
		c.over = true
		c.Body = nil
		return
	}
	c.Body = append(c.Body, p...)
}

func (c *capture) end(trailer http.Header) {
	if c == nil {
		return
	}
	c.complete = true
	c.Trailer = trailer
	if c.over {
		c.Status = 0
		c.Header = nil
		c.Trailer = nil
	}
}
