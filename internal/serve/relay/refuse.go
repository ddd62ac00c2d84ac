package relay

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

// maxDrain is the most of an unread request body that the server reads to keep the connection, in bytes. It is the
// bound of net/http itself.
const maxDrain = 256 << 10

// errAbort means that the answer has begun and cannot be completed, so the connection to the caller must be cut.
var errAbort = errors.New("answer was cut")

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail"`
}

// reasonInfo is the HTTP status and the detail of a reason.
type reasonInfo struct {
	status int
	detail string
}

// reasons tells callers about each reason. Details are fixed texts: causes may name addresses of targets.
var reasons = map[steer.Reason]reasonInfo{
	steer.ReasonBounds:        {http.StatusServiceUnavailable, "A size, time or connection bound was exceeded."},
	steer.ReasonBadRequest:    {http.StatusBadRequest, "The request has an invalid path, method or header."},
	steer.ReasonNoRoute:       {http.StatusNotFound, "No service or route matches the request."},
	steer.ReasonNoConfig:      {http.StatusServiceUnavailable, "The host has no configuration yet."},
	steer.ReasonKey:           {http.StatusUnauthorized, "The key is missing, unknown or withdrawn."},
	steer.ReasonIsolated:      {http.StatusServiceUnavailable, "The host cannot tell whether the key is still good."},
	steer.ReasonRate:          {http.StatusTooManyRequests, "The customer's rate is used up."},
	steer.ReasonCapacity:      {http.StatusServiceUnavailable, "No capacity became free in time."},
	steer.ReasonNoTarget:      {http.StatusServiceUnavailable, "No target can take the request."},
	steer.ReasonTicket:        {http.StatusBadRequest, "The ticket is malformed, forged, expired or used for another request."},
	steer.ReasonTicketGone:    {http.StatusGatewayTimeout, "The process that owns the ticket does not answer."},
	steer.ReasonTicketBusy:    {http.StatusConflict, "The request with this ticket is in progress."},
	steer.ReasonTicketFull:    {http.StatusServiceUnavailable, "The host remembers too many tickets."},
	steer.ReasonDeadline:      {http.StatusGatewayTimeout, "The deadline passed."},
	steer.ReasonStopping:      {http.StatusServiceUnavailable, "The host is shutting down."},
	steer.ReasonTargetFailed:  {http.StatusBadGateway, "The target did not answer, or its answer was cut short."},
	steer.ReasonForwardFailed: {http.StatusBadGateway, "The host of another data centre did not answer."},
}

func infoOf(r steer.Reason) reasonInfo {
	k, ok := reasons[r]
	if !ok {
		return reasonInfo{
			status: http.StatusBadGateway,
			detail: "The request failed.",
		}
	}
	return k
}

// refuse returns a refusal with the usual status of its reason.
func refuse(v steer.Verdict, r steer.Reason, cause error) *steer.Refusal {
	return &steer.Refusal{
		Verdict: v,
		Reason:  r,
		Status:  infoOf(r).status,
		Cause:   cause,
	}
}

// refuseStatus returns a not-run refusal with a status of its own.
func refuseStatus(status int, r steer.Reason, cause error) *steer.Refusal {
	return &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  r,
		Status:  status,
		Cause:   cause,
	}
}

// asRefusal returns the refusal in err. An error without one promises nothing.
func asRefusal(err error) *steer.Refusal {
	var r *steer.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refuse(steer.MayHaveRun, steer.ReasonTargetFailed, err)
}

// refusal returns the refusal for the caller. A claim that the request has not run is dropped when an earlier attempt,
// or an earlier request with the same ticket, may have run.
func (h *Handler) refusal(x *exchange, err error) *steer.Refusal {
	r := *asRefusal(err)
	if r.Verdict == steer.NotRun && (x.mayHaveRun || h.ticketBegan(x)) {
		r.Verdict = steer.MayHaveRun
	}
	if r.Status == 0 {
		r.Status = infoOf(r.Reason).status
	}
	return &r
}

// writeRefusal answers with the verdict headers and the JSON body of a refusal.
func (h *Handler) writeRefusal(x *exchange, r *steer.Refusal) {
	h.counts.refused(r.Reason)
	_ = level.Debug(h.conf.Logger).Log("msg", "Request refused.", "request", x.id, "service", x.name, "reason", r.Reason,
		"verdict", r.Verdict, "cause", r.Cause)
	head := x.w.Header()
	head.Set(headerVerdict, r.Verdict.String())
	head.Set(headerReason, string(r.Reason))
	head.Set("Content-Type", "application/json")
	if x.id != "" {
		head.Set(headerRequestID, x.id)
	}
	if r.RetryAfter > 0 {
		head.Set("Retry-After", strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10))
	}
	if x.r.ContentLength > maxDrain || x.r.ContentLength < 0 {
		head.Set("Connection", "close")
	}
	body, err := json.Marshal(refusalBody{
		Verdict: r.Verdict.String(),
		Reason:  string(r.Reason),
		Detail:  infoOf(r.Reason).detail,
	})
	if err != nil {
		body = nil
	}
	head.Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(h.conf.Bounds.HeaderReadTimeout))
	x.w.WriteHeader(r.Status)
	_, _ = x.w.Write(body)
}
