package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/trace"

	"monsoonhub.example/steer"
)

const (
	// maxAttempts bounds the number of targets that one request is sent to, so that retries do not flood a data centre that
	// is shedding load.
	maxAttempts = 3

	// The timeout of an attempt of an idempotent request is attemptTimeoutFactor times the 95th percentile of the latency,
	// but at least minAttemptTimeout. Before the first response it is initialAttemptTimeout. It is never more than half of
	// the remaining time.
	attemptTimeoutFactor = 4
	// An attempt that fails sooner, for example because of a caller's short deadline, is no sign of a dead connection.
	minAttemptTimeout     = 250 * time.Millisecond
	initialAttemptTimeout = time.Second

	// maxShedBody bounds how much of the body of a not-run response is read, in bytes.
	maxShedBody = 4 << 10

	// minHedgeDelay keeps scheduling jitter from spending the retry budget of fast services.
	minHedgeDelay = 2 * time.Millisecond
)

// sendLocal acquires a unit of capacity, waiting at most the given time, and sends the request to targets of this data
// centre. The unit is released when the response is finished.
func (h *Handler) sendLocal(x *exchange, wait time.Duration) (*response, error) {
	release, err := h.acquire(x, wait)
	if err != nil {
		return nil, err
	}
	handedOver := false
	defer func() {
		if !handedOver { // Also after a panic, which the server survives.
			release()
		}
	}()
	rp, err := h.sendToTargets(x)
	if err != nil {
		return nil, err
	}
	handedOver = true
	rp.onFinish(release)
	return rp, nil
}

// acquire takes a unit of the service's concurrency quota in this data centre. It returns the function that releases it.
func (h *Handler) acquire(x *exchange, wait time.Duration) (func(), error) {
	ctx, span := h.conf.Tracer.Start(x.ctx, "capacity", trace.WithSpanKind(trace.SpanKindInternal))
	defer span.End()
	return h.conf.Capacity.Acquire(ctx, steer.Work{
		Quota:    steer.WorkQuota(x.serviceName, h.conf.DataCentre),
		Customer: x.customer,
		Weight:   x.view.weight(x.customer),
		Class:    x.route.class,
		Deadline: x.deadline,
		Wait:     wait,
	})
}

// sendToTargets sends the request to a target and, if it fails and may be retried, to others.
func (h *Handler) sendToTargets(x *exchange) (*response, error) {
	var backing [maxAttempts + 1]string // One additional entry for a hedge.
	tried := backing[:0]
	var lastErr error
	for n := range maxAttempts {
		choice, err := h.chooseTarget(x, tried, lastErr)
		if err != nil {
			return nil, err
		}
		tried = append(tried, choice.Target.ID)
		s := send{
			choice:    choice,
			singleUse: !x.idempotent || n > 0, // After a failure, other pooled connections may be dead too.
			last:      n+1 == maxAttempts,
		}
		var rp *response
		rp, tried, err = h.sendOrHedge(x, s, tried)
		if err == nil {
			return rp, nil
		}
		lastErr = err
		if !s.last && !h.mayRetryTarget(x, err) {
			break
		}
	}
	return nil, lastErr
}

// chooseTarget chooses a target that has not been tried. If no other target is left and the last attempt only timed out,
// it may choose one that has been tried, which is then reached over a new connection.
func (h *Handler) chooseTarget(x *exchange, tried []string, lastErr error) (steer.Choice, error) {
	if lastErr == nil {
		// There may be more units of capacity than free slots at targets, because units include the slots of ejected targets.
		ctx, cancel := context.WithTimeout(x.ctx, x.service.QueueLimit)
		defer cancel()
		return h.conf.Chooser.Await(ctx, x.serviceName, tried)
	}
	choice, err := h.conf.Chooser.Choose(h.conf.Now(), x.serviceName, tried)
	if err == nil {
		return choice, nil
	}
	if asRefusal(lastErr).Cause != errAttemptTimeout {
		return steer.Choice{}, lastErr
	}
	choice, err = h.conf.Chooser.Choose(h.conf.Now(), x.serviceName, nil)
	if err != nil {
		return steer.Choice{}, lastErr
	}
	return choice, nil
}

// mayRetryTarget is like mayRetry, except that an attempt that timed out has already taken its token of the retry budget.
func (h *Handler) mayRetryTarget(x *exchange, err error) bool {
	r := asRefusal(err)
	if r.Cause == errAttemptTimeout {
		x.mayHaveRun = true
		return x.ctx.Err() == nil
	}
	return h.mayRetry(x, err)
}

// send is one attempt at a target.
type send struct {
	choice    steer.Choice
	singleUse bool // Sent over a new connection.
	last      bool // No other attempt follows.
	hedged    bool // A second attempt is started instead of abandoning this one after a timeout.
}

// timeout returns how long an attempt waits for a response before it is abandoned for another target; 0 means no limit.
func (h *Handler) timeout(x *exchange, s send) time.Duration {
	if !x.idempotent || x.body != nil || s.last || s.hedged {
		return 0
	}
	limit := x.deadline.Sub(h.conf.Now()) / 2
	p95 := h.latency(x.serviceName).value()
	if p95 == 0 {
		return min(limit, initialAttemptTimeout)
	}
	return min(limit, max(minAttemptTimeout, attemptTimeoutFactor*p95))
}

// latency returns the latency estimator of a service.
func (h *Handler) latency(service string) *quantile {
	found, ok := h.latencies.Load(service)
	if !ok {
		found, _ = h.latencies.LoadOrStore(service, &quantile{})
	}
	return found.(*quantile)
}

// sendToTarget sends the request to one target and reports the outcome to the chooser.
func (h *Handler) sendToTarget(ctx context.Context, x *exchange, s send) (*response, error) {
	startTime := h.conf.Now()
	ctx, span := h.conf.Tracer.Start(ctx, "target", trace.WithSpanKind(trace.SpanKindClient))
	resp, p, err := h.transmit(ctx, x, destination{
		address:   s.choice.Target.Address,
		header:    h.targetHeader(ctx, x),
		singleUse: s.singleUse,
		timeout:   h.timeout(x, s),
		reason:    steer.ReasonTargetFailed,
	})
	o := steer.Outcome{
		Latency: h.conf.Now().Sub(startTime),
	}
	var rp *response
	if err == nil {
		o.Draining = resp.Header.Get(headerDraining) == "true"
		rp, err = h.targetResponse(x, resp, p, &o)
	}
	if err != nil {
		o.Verdict = steer.VerdictOf(err)
		o.Failed = o.Failed || isTargetFailure(ctx, x, p, err)
		s.choice.Done(o)
		span.RecordError(err)
		span.End()
		return nil, err
	}
	h.latency(x.serviceName).add(o.Latency)
	o.Verdict = steer.Ran
	o.Failed = resp.StatusCode >= http.StatusInternalServerError
	rp.onFinish(func() {
		o.Failed = o.Failed || rp.truncated
		s.choice.Done(o)
		span.End()
	})
	return rp, nil
}

// isTargetFailure reports whether a failed attempt counts as a failure of the target. It does not if this host was late,
// the target had no capacity, the request was invalid or exceeded a bound, the caller disconnected, or the other attempt
// of a hedged request was answered first.
func isTargetFailure(ctx context.Context, x *exchange, p *attempt, err error) bool {
	reason := asRefusal(err).Reason
	if p.lateWritePrevented.Load() || reason == steer.ReasonCapacity {
		return false
	}
	if reason == steer.ReasonBounds || reason == steer.ReasonBadRequest {
		return false
	}
	if context.Cause(ctx) == errSuperseded {
		return false
	}
	return x.ctx.Err() != context.Canceled
}

// targetResponse converts the HTTP response of a target to a response or, if the target shed the request, a refusal. It
// records in o whether the request was shed.
func (h *Handler) targetResponse(x *exchange, resp *http.Response, p *attempt, o *steer.Outcome) (*response, error) {
	if steer.ParseVerdict(resp.Header.Get(headerVerdict)) == steer.NotRun {
		verdict := p.verdictOf(resp)
		if verdict != steer.NotRun {
			p.end(resp)
			return nil, refuse(verdict, steer.ReasonTargetFailed, errShedInDoubt)
		}
		o.Shed = true
		// A short body is read to its end so that the connection can be reused.
		_, _ = io.CopyN(io.Discard, resp.Body, maxShedBody)
		p.end(resp)
		return nil, refuse(steer.NotRun, steer.ReasonCapacity, errShed)
	}
	return h.readResponse(x, resp, p, steer.ReasonTargetFailed)
}

// targetHeader returns the header of the request to a target.
func (h *Handler) targetHeader(ctx context.Context, x *exchange) http.Header {
	head := h.commonHeader(ctx, x, h.conf.Now())
	if x.customer != "" {
		head[headerCustomer] = []string{x.customer}
	}
	return head
}

// closeSilentConns closes the idle connections of an address after an attempt over a pooled connection has failed late,
// which suggests that the connection is dead.
func (h *Handler) closeSilentConns(address netip.AddrPort) {
	h.counts.silentConns.Inc(1)
	h.pool.closeIdleTo(address)
}
