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

// run sends a request to targets until one answers or nothing more may be tried.
func (h *Handler) run(ctx context.Context, j *job) (front.Response, *steer.Refusal) {
	h.retries.Deposit(j.service)
	mayHaveRun := false
	var last *back.Result // The last answer that a target gave as its own.
	for range maxTries {
		choice, refusal := h.choose(j)
		if refusal != nil {
			return h.giveUp(j, mayHaveRun, last, refusal)
		}
		result := h.try(ctx, j, choice)
		if result.Sent {
			j.arrived++
		}
		mayHaveRun = mayHaveRun || result.Verdict != steer.NotRun
		if final(j, &result) {
			last.Discard()
			return h.deliver(&result), nil
		}
		if result.Signed && result.Verdict == steer.Ran {
			last.Discard()
			last = &result
		} else {
			result.Discard()
		}
		refusal = h.after(ctx, j, &result, mayHaveRun)
		if refusal != nil {
			return h.giveUp(j, mayHaveRun, last, refusal)
		}
	}
	return h.giveUp(j, mayHaveRun, last, refuse(steer.ReasonTargetFailed, http.StatusServiceUnavailable, leastReturn))
}

// final reports whether the answer of a target goes to the caller whatever else could be tried.
func final(j *job, r *back.Result) bool {
	if r.Verdict != steer.Ran || !r.Signed {
		return false
	}
	return r.Status < http.StatusInternalServerError || !j.route.Kind.Idempotent()
}

// choose picks the next target.
func (h *Handler) choose(j *job) (place.Choice, *steer.Refusal) {
	now := time.Now()
	left := j.deadline.Sub(now)
	if left < leastLeft {
		return place.Choice{}, refuse(steer.ReasonDeadline, http.StatusServiceUnavailable, leastReturn)
	}
	ask := place.Request{
		Service:      j.service,
		Class:        j.route.Name,
		Objective:    j.route.Objective,
		FallbackHash: rand.Uint64(),
		Regions:      j.route.Regions,
		Priority:     j.priority,
		Tried:        j.tried,
		TimeLeft:     left,
	}
	if j.customer != nil {
		ask.AlsoRegions = j.customer.Regions
	}
	if j.object != "" {
		ask.Key = j.route.Name + "/" + j.object
	}
	choice, refusal := h.config.Placer.Pick(now, ask)
	if refusal != nil {
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = spreadOut(refusal.RetryAfter)
	}
	return choice, refusal
}

// try sends the request to one target.
func (h *Handler) try(ctx context.Context, j *job, choice place.Choice) back.Result {
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
		Retryable:     j.route.Kind.Idempotent() && j.arrived+1 < j.route.MaxAttempts,
		AtMostOnce:    !j.route.Kind.Idempotent(),
		NewConnection: j.forgotten,
	})
	now := time.Now()
	took := now.Sub(started)
	late := result.Status == 0 && errors.Is(result.Err, context.DeadlineExceeded)
	unfinished := errors.Is(result.Err, back.ErrUnfinished)
	noRoom := errors.Is(result.Err, back.ErrNoMemory)
	broke := result.Status == 0 && !late && !unfinished
	// A target that forgot an idle connection is not unwell: the request goes to it again, over a new connection.
	j.forgotten = result.StaleConnection
	outcome := place.Outcome{
		Latency:        took,
		Load:           result.Load,
		Failed:         result.Status == 0 || result.Verdict == steer.Ran && result.Status >= http.StatusInternalServerError,
		TimedOut:       late,
		ConnectionLost: broke,
		Shed:           result.Verdict == steer.NotRun && result.Status != 0,
		Gone:           result.Gone,
		Inconclusive:   ctx.Err() != nil || j.forgotten || noRoom,
	}
	h.config.Placer.Done(now, choice, outcome)
	if !j.forgotten {
		j.tried = append(j.tried, choice.Target.ID)
	}
	j.tries = append(j.tries, try{
		target:   choice.Target.ID,
		estimate: choice.EstimatedLoad,
		age:      choice.ReportAge,
		home:     choice.Home,
		reused:   result.Reused,
		status:   result.Status,
		verdict:  result.Verdict,
		took:     took,
		err:      result.Err,
	})
	return result
}

// after decides whether a request without a final answer is sent again. It returns the reason if not.
func (h *Handler) after(ctx context.Context, j *job, r *back.Result, mayHaveRun bool) *steer.Refusal {
	if ctx.Err() != nil {
		return refuse(steer.ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if errors.Is(r.Err, back.ErrNoMemory) {
		return refuse(steer.ReasonMemory, http.StatusServiceUnavailable, spreadOut(leastReturn))
	}
	if errors.Is(r.Err, context.DeadlineExceeded) || !time.Now().Before(j.deadline) {
		return refuse(steer.ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if mayHaveRun && !j.route.Kind.Idempotent() {
		return refuse(steer.ReasonTargetFailed, http.StatusBadGateway, 0)
	}
	if j.arrived >= j.route.MaxAttempts {
		return refuse(steer.ReasonCapacity, http.StatusServiceUnavailable, spreadOut(leastReturn))
	}
	if r.Sent && !h.retries.Withdraw(j.service, r.Verdict == steer.NotRun && !mayHaveRun && !j.returned) {
		return refuse(steer.ReasonCapacity, http.StatusServiceUnavailable, spreadOut(leastReturn))
	}
	return nil
}

// giveUp returns what the caller gets when nothing more is tried. A target's own failure goes before one of the host, and a
// request that may have run is never answered as one that has not.
func (h *Handler) giveUp(
	j *job, mayHaveRun bool, last *back.Result, refusal *steer.Refusal,
) (front.Response, *steer.Refusal) {
	if last != nil {
		return h.deliver(last), nil
	}
	if !mayHaveRun {
		refusal.Verdict = steer.NotRun
		if refusal.Status != http.StatusServiceUnavailable {
			refusal.Status = http.StatusServiceUnavailable
			refusal.RetryAfter = leastReturn
		}
		if j.customer != nil {
			h.config.Quotas.Refund(time.Now(), j.customer.Name)
		}
		return front.Response{}, refusal
	}
	refusal.Verdict = steer.MayHaveRun
	refusal.RetryAfter = 0
	if refusal.Reason == steer.ReasonCapacity {
		refusal.Reason = steer.ReasonTargetFailed // What failed before is the cause, not what could not be tried any more.
	}
	if refusal.Status == http.StatusServiceUnavailable {
		refusal.Status = http.StatusBadGateway
	}
	return front.Response{}, refusal
}

// deliver returns a target's answer unchanged, but for headers that concern one connection.
func (h *Handler) deliver(r *back.Result) front.Response {
	header := endToEnd(r.Header)
	if length, ok := r.Header["Content-Length"]; ok {
		header["Content-Length"] = length // Of an answer to HEAD; otherwise the front writes its own.
	}
	return front.Response{
		Status: r.Status,
		Reason: r.Reason,
		Header: header,
		Body:   r.Body,

		Release: r.Release,
	}
}

// endToEnd returns a copy of headers without those that concern only one connection.
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
