package relay

import (
	"context"
	"errors"
	"time"

	"monsoonhub.example/steer"
)

// errSuperseded is the cancellation cause of an attempt when the other attempt of a hedged request was answered first.
var errSuperseded = errors.New("another attempt has answered first")

// attemptResult is the result of one of the two attempts of a hedged request.
type attemptResult struct {
	rp  *response
	err error
	n   int // 0 for the first attempt, 1 for the hedge.
}

// sendOrHedge makes one attempt. If the service has hedging on and the request is idempotent and has no body, it starts a
// second one when the first is not answered within the usual latency. It returns tried with the target of the hedge added.
func (h *Handler) sendOrHedge(x *exchange, s send, tried []string) (*response, []string, error) {
	delay := h.latency(x.serviceName).value()
	wanted := x.service.Hedge && x.idempotent && x.body == nil && !s.last && delay > 0
	if !wanted || h.conf.Chooser.Ready(h.conf.Now(), x.serviceName) < 2 {
		rp, err := h.sendToTarget(x.ctx, x, s)
		return rp, tried, err
	}
	s.hedged = true
	results := make(chan attemptResult, 2)
	var cancels [2]context.CancelCauseFunc
	start := func(n int, s send, after func()) {
		ctx, cancel := context.WithCancelCause(x.ctx)
		cancels[n] = cancel
		go func() {
			rp, err := h.sendToTarget(ctx, x, s)
			if err != nil {
				cancel(nil)
				after()
			} else {
				rp.onFinish(func() { cancel(nil) })
				rp.onFinish(after)
			}
			results <- attemptResult{
				rp:  rp,
				err: err,
				n:   n,
			}
		}()
	}
	start(0, s, func() {})
	timer := time.NewTimer(max(delay, minHedgeDelay))
	defer timer.Stop()
	select {
	case o := <-results:
		return o.rp, tried, o.err
	case <-timer.C:
	}
	hedge, release, ok := h.hedge(x, tried)
	if !ok {
		o := <-results
		return o.rp, tried, o.err
	}
	tried = append(tried, hedge.choice.Target.ID)
	start(1, hedge, release)
	o := <-results
	if o.err != nil {
		x.mayHaveRun = x.mayHaveRun || steer.VerdictOf(o.err) != steer.NotRun
		o = <-results
		return o.rp, tried, o.err
	}
	// Cancelling the other attempt ends it at once and closes its connection.
	cancels[1-o.n](errSuperseded)
	if other := <-results; other.rp != nil {
		other.rp.finish()
	}
	return o.rp, tried, nil
}

// hedge chooses the target of the second attempt. It fails without a token of the retry budget or without a unit of
// capacity that is free immediately.
func (h *Handler) hedge(x *exchange, tried []string) (s send, release func(), ok bool) {
	if !h.conf.Chooser.Retry(x.serviceName) {
		return send{}, nil, false
	}
	release, err := h.acquire(x, 0)
	if err != nil {
		return send{}, nil, false
	}
	choice, err := h.conf.Chooser.Choose(h.conf.Now(), x.serviceName, tried)
	if err != nil {
		release()
		return send{}, nil, false
	}
	h.counts.hedges.Inc(1)
	return send{
		choice:    choice,
		singleUse: true, // The first attempt's pooled connection may be dead, and so may other pooled ones.
		hedged:    true,
	}, release, true
}
