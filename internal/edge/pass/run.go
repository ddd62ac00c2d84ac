package pass

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/front"
	"monsoonhub.example/steer/internal/edge/place"
)

// sendWithRetries sends a request to targets until one gives a final response or no further attempt is allowed.
func (h *Handler) sendWithRetries(ctx context.Context, j *job) (front.Response, *steer.Refusal) {
	h.retryBudget.Deposit(j.service)
	mayHaveRun := false
	var lastResult *back.Result // The last signed response of a target that ran the request.
	for range maxAttempts {
		choice, refusal := h.pickTarget(j)
		if refusal != nil {
			return h.giveUp(j, mayHaveRun, lastResult, refusal)
		}
		result := h.attempt(ctx, j, choice)
		if result.Sent {
			j.sent++
		}
		mayHaveRun = mayHaveRun || result.Verdict != steer.NotRun
		if isFinal(j, &result) {
			lastResult.Discard()
			return h.responseOf(&result), nil
		}
		if isDeliverable(j, &result) {
			lastResult.Discard()
			lastResult = &result
		} else {
			result.Discard()
		}
		refusal = h.checkRetry(ctx, j, &result, mayHaveRun)
		if refusal != nil {
			return h.giveUp(j, mayHaveRun, lastResult, refusal)
		}
	}
	return h.giveUp(j, mayHaveRun, lastResult, newRefusal(steer.ReasonTargetFailed, http.StatusServiceUnavailable, minRetryAfter))
}

// isFinal reports whether a target's response goes to the caller without further attempts: the target ran the request and
// signed the response, which is no server error or belongs to a request that must not run twice.
func isFinal(j *job, r *back.Result) bool {
	return isDeliverable(j, r) && (r.Status < http.StatusInternalServerError || !j.route.Kind.Idempotent())
}

// isDeliverable reports whether the caller may get a target's response: the target ran the request and signed the response,
// whose status does not make the caller send a request again that must not run twice.
func isDeliverable(j *job, r *back.Result) bool {
	return r.Verdict == steer.Ran && r.Signed && (j.route.Kind.Idempotent() || !meansNotRun(r.Status))
}

// meansNotRun reports whether callers conclude from a status that their request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// pickTarget picks the target of the next attempt.
func (h *Handler) pickTarget(j *job) (place.Choice, *steer.Refusal) {
	now := time.Now()
	criteria := h.criteria(now, j)
	if criteria.TimeLeft < minTimeLeft {
		return place.Choice{}, newRefusal(steer.ReasonDeadline, http.StatusServiceUnavailable, minRetryAfter)
	}
	j.fallbackHash = rand.Uint64() // A further attempt goes elsewhere.
	choice, refusal := h.config.Placer.Pick(now, criteria)
	h.observePick(now, j, choice, refusal)
	if refusal != nil {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = addJitter(refusal.RetryAfter)
	}
	return choice, refusal
}

// criteria describes a request to the placer.
func (h *Handler) criteria(now time.Time, j *job) place.Request {
	criteria := place.Request{
		Service:      j.service,
		Class:        j.route.Name,
		Objective:    j.route.Objective,
		FallbackHash: j.fallbackHash,
		Regions:      j.route.Regions,
		Priority:     j.priority,
		Tried:        j.triedTargets,
		TimeLeft:     j.deadline.Sub(now),
		LargeAnswer:  j.route.Kind == steer.KindLarge,
		BodyBytes:    int64(len(j.request.Body)),
	}
	if j.customer != nil {
		criteria.AlsoRegions = j.customer.Regions
	}
	if j.affinityKey != "" {
		criteria.Key = j.route.Name + "/" + j.affinityKey
	}
	return criteria
}

// attempt sends the request to one target and reports the outcome to the placer.
func (h *Handler) attempt(ctx context.Context, j *job, choice place.Choice) back.Result {
	started := time.Now()
	result := h.config.Targets.Do(ctx, back.Call{
		Endpoint:      &choice.Target.Endpoint,
		Method:        j.request.Method,
		Target:        j.request.Target,
		Host:          j.request.Host,
		Header:        j.header,
		Body:          j.request.Body,
		HasBody:       j.request.HasBody,
		RequestID:     j.id,
		SizeClass:     j.route.Name,
		Deadline:      j.deadline,
		Retryable:     j.route.Kind.Idempotent() && j.sent+1 < j.route.MaxAttempts,
		AtMostOnce:    !j.route.Kind.Idempotent(),
		NewConnection: j.staleConn,
	})
	now := time.Now()
	elapsed := now.Sub(started)
	switch {
	case result.Broke:
		h.config.Poison.RecordCrash(now, j.key(), &choice.Target.Endpoint)
	case result.Signed && result.Verdict == steer.Ran && h.config.Poison.InUse():
		h.config.Poison.RecordAnswer(now, j.key())
	}
	timedOut := result.Status == 0 && errors.Is(result.Err, context.DeadlineExceeded)
	unfinished := errors.Is(result.Err, back.ErrUnfinished)
	hostExhausted := errors.Is(result.Err, back.ErrNoMemory) || errors.Is(result.Err, back.ErrNoConnection)
	connFailed := result.Status == 0 && !timedOut && !unfinished
	// A target that closed an idle connection is healthy: the request may go to it again, over a new connection.
	j.staleConn = result.StaleConnection
	outcome := place.Outcome{
		Latency:        elapsed,
		Load:           result.Load,
		Limit:          result.Limit,
		Failed:         result.Status == 0 || result.Verdict == steer.Ran && result.Status >= http.StatusInternalServerError,
		TimedOut:       timedOut,
		ConnectionLost: connFailed,
		Shed:           result.Verdict == steer.NotRun && result.Status != 0,
		Gone:           result.Gone,
		Inconclusive:   ctx.Err() != nil || j.staleConn || hostExhausted,
	}
	h.config.Placer.Done(now, choice, outcome)
	h.observeResult(now, j, choice, &result, outcome)
	if !j.staleConn {
		j.triedTargets = append(j.triedTargets, choice.Target.ID)
	}
	j.attempts = append(j.attempts, attempt{
		target:        choice.Target.ID,
		estimatedLoad: choice.EstimatedLoad,
		loadAge:       choice.ReportAge,
		firstChoice:   choice.Home,
		limit:         choice.Limit,
		reused:        result.Reused,
		broke:         result.Broke,
		status:        result.Status,
		verdict:       result.Verdict,
		elapsed:       elapsed,
		err:           result.Err,
	})
	return result
}

// checkRetry decides whether a request without a final response is sent again. It returns nil if so, otherwise the refusal.
func (h *Handler) checkRetry(ctx context.Context, j *job, r *back.Result, mayHaveRun bool) *steer.Refusal {
	if ctx.Err() != nil {
		return newRefusal(steer.ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if errors.Is(r.Err, back.ErrNoMemory) {
		return newRefusal(steer.ReasonMemory, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	if errors.Is(r.Err, back.ErrNoConnection) {
		return newRefusal(steer.ReasonBounds, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	if errors.Is(r.Err, context.DeadlineExceeded) || !time.Now().Before(j.deadline) {
		return newRefusal(steer.ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if mayHaveRun && !j.route.Kind.Idempotent() {
		return newRefusal(steer.ReasonTargetFailed, http.StatusBadGateway, 0)
	}
	if refusal := h.checkDeadly(j); refusal != nil {
		return refusal
	}
	if j.sent >= j.route.MaxAttempts {
		return newRefusal(steer.ReasonCapacity, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	if r.Sent && !h.retryBudget.Withdraw(j.service, r.Verdict == steer.NotRun && !mayHaveRun && !j.isRetry) {
		return newRefusal(steer.ReasonCapacity, http.StatusServiceUnavailable, addJitter(minRetryAfter))
	}
	return nil
}

// giveUp returns what the caller gets when there are no further attempts. A failure that a target reported takes precedence
// over a refusal by the host, and a request that may have run is never reported as not run.
func (h *Handler) giveUp(
	j *job, mayHaveRun bool, lastResult *back.Result, refusal *steer.Refusal,
) (front.Response, *steer.Refusal) {
	if lastResult != nil {
		return h.responseOf(lastResult), nil
	}
	if !mayHaveRun {
		refusal.Verdict = steer.NotRun
		if refusal.Status != http.StatusServiceUnavailable {
			refusal.Status = http.StatusServiceUnavailable
			refusal.RetryAfter = minRetryAfter
		}
		h.refundQuota(j)
		return front.Response{}, refusal
	}
	refusal.Verdict = steer.MayHaveRun
	refusal.RetryAfter = 0
	if refusal.Reason == steer.ReasonCapacity {
		refusal.Reason = steer.ReasonTargetFailed // The cause is the earlier failure, not the missing retry.
	}
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.Status = http.StatusBadGateway
	}
	return front.Response{}, refusal
}

// responseOf returns a target's response without its hop-by-hop headers and otherwise unchanged.
func (h *Handler) responseOf(r *back.Result) front.Response {
	header := endToEnd(r.Header)
	if length, ok := r.Header["Content-Length"]; ok {
		header["Content-Length"] = length // For a response to HEAD; otherwise package front writes its own.
	}
	return front.Response{
		Status: r.Status,
		Reason: r.Reason,
		Header: header,
		Body:   r.Body,

		Release: r.Release,
	}
}

// endToEnd returns a copy of the headers without the hop-by-hop ones.
func endToEnd(header http.Header) http.Header {
	out := make(http.Header, len(header))
	for name, values := range header {
		if !back.IsHopByHop(name) {
			out[name] = values
		}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
