package relay

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"time"

	"monsoonhub.example/steer"
)

// Causes of failures between hosts.
var (
	errNoVerdict   = errors.New("response of the peer has no verdict")
	errPeerRefused = errors.New("refused by a peer")
	errForwardKind = errors.New("forwarded request has an unknown kind")
	errNoCustomer  = errors.New("forwarded request to a keyed route has no customer")
)

// peerHandler serves forwarded requests.
type peerHandler struct {
	h *Handler
}

// PeerHandler returns the http.Handler of the peer listener for /f/<service>/...
func (h *Handler) PeerHandler() http.Handler {
	return &peerHandler{
		h: h,
	}
}

// ServeHTTP implements http.Handler.
func (p *peerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.h.counts.received.Inc(1)
	x := &exchange{
		w:    w,
		r:    r,
		ctx:  r.Context(),
		kind: forwardKind(r.Header.Get(headerForwardKind)),
	}
	var err error
	if x.startTime, err = p.h.verifyForward(r); err != nil {
		p.h.counts.rejected.Inc(1)
		p.h.writeRefusal(x, p.h.refusal(x, err))
		return
	}
	x.id = r.Header.Get(headerRequestID)
	x.customer = r.Header.Get(headerCustomer)
	x.ticket = r.Header.Get(headerTicket)
	p.h.serve(x, peerPrefix, p.h.servePeer)
}

// verifyForward checks the signature and the send time of a forwarded request, and that it is no replay. It returns the
// time from which the remaining time of the request counts.
func (h *Handler) verifyForward(r *http.Request) (time.Time, error) {
	if err := h.signer.verify(r); err != nil {
		return time.Time{}, err
	}
	now := h.conf.Now()
	startTime, err := h.estimateSendTime(now, r.Header)
	if err != nil {
		return time.Time{}, err
	}
	// The signature was verified above, so its encoding is valid and it covers the nonce.
	raw, err := base64.RawURLEncoding.DecodeString(r.Header.Get(headerForwardMAC))
	if err != nil {
		return time.Time{}, refuse(steer.NotRun, steer.ReasonBadRequest, err)
	}
	return startTime, h.replays.add(now, [sha256.Size]byte(raw), h.conf.Bounds.ForwardWindow)
}

// servePeer serves a forwarded request. The host that received it from the caller has checked the key.
func (h *Handler) servePeer(x *exchange) error {
	if x.route.open {
		x.customer = ""
	} else if x.customer == "" {
		return refuse(steer.NotRun, steer.ReasonKey, errNoCustomer)
	}
	switch x.kind {
	case forwardTicket:
		return h.serveTicket(x)
	case forwardSite:
		rp, err := h.sendLocal(x, x.service.QueueLimit)
		if err != nil {
			return err
		}
		return h.respond(x, rp)
	default:
		return refuse(steer.NotRun, steer.ReasonBadRequest, errForwardKind)
	}
}
