package pass

import (
	"net/http"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
	"monsoonhub.example/steer/internal/edge/back"
	"monsoonhub.example/steer/internal/edge/place"
)

// checkCapacity asks the admission control about a request. It returns a refusal if the request is not to be served while there
// is not enough capacity.
func (h *Handler) checkCapacity(now time.Time, j *job) *steer.Refusal {
	if !h.config.Admission.InUse(j.service) {
		return nil
	}
	j.usesAdmission = true
	j.region = h.config.RegionOf(now, h.criteria(now, j))
	request := admit.Request{
		Service:   j.service,
		Region:    j.region,
		Priority:  j.priority,
		Objective: j.route.Objective,
		TimeLeft:  j.deadline.Sub(now),
	}
	if j.customer != nil {
		request.Customer = j.customer.Name
	}
	// The timeouts of customers differ. A caller with a short one must not count as one that has lost time.
	request.TimeLost = h.timeDetector.timeLost(j.route.Name+"/"+request.Customer, h.callerTimeout(j.request))
	j.admission = h.config.Admission.Decide(now, request)
	if !j.admission.Refused {
		return nil
	}
	return newRefusal(steer.ReasonCapacity, http.StatusServiceUnavailable, j.admission.RetryAfter)
}

// defaultRegion returns the region of a request that may run in one region only, and the region of this host for others.
func (c *Config) defaultRegion(r place.Request) string {
	switch {
	case len(r.Regions) == 1:
		return r.Regions[0]
	case len(r.AlsoRegions) == 1:
		return r.AlsoRegions[0]
	default:
		return c.Region
	}
}

// observePick tells the admission control whether a target was found for a request.
func (h *Handler) observePick(now time.Time, j *job, choice place.Choice, refusal *steer.Refusal) {
	if !j.usesAdmission {
		return
	}
	outcome := admit.Outcome{
		Kind:     admit.Placed,
		Priority: j.priority,
	}
	switch {
	case refusal == nil:
		outcome.Load, outcome.LoadKnown = loadPerSlot(choice)
	case refusal.Reason == steer.ReasonCapacity || refusal.Reason == steer.ReasonTargetLimit:
		outcome.Kind = admit.NoRoom
	default:
		return // The refusal says nothing about the capacity.
	}
	h.config.Admission.Observe(now, j.service, j.region, outcome)
}

// observeResult tells the admission control what became of an attempt.
func (h *Handler) observeResult(now time.Time, j *job, choice place.Choice, result *back.Result, o place.Outcome) {
	if !j.usesAdmission || o.Inconclusive {
		return
	}
	outcome := admit.Outcome{
		Priority:  j.priority,
		Latency:   now.Sub(j.request.Arrived),
		Objective: j.route.Objective,
	}
	outcome.Load, outcome.LoadKnown = loadPerSlot(choice)
	switch {
	case o.TimedOut:
		outcome.Kind = admit.TimedOut
	case o.Shed:
		outcome.Kind = admit.Shed
	case result.Signed && result.Verdict == steer.Ran:
		outcome.Kind = admit.Answered
	default:
		return
	}
	h.config.Admission.Observe(now, j.service, j.region, outcome)
}

// loadPerSlot returns the load per slot of a chosen target, and whether it is known.
func loadPerSlot(c place.Choice) (float64, bool) {
	if c.Target.Slots <= 0 || c.ReportAge < 0 {
		return 0, false
	}
	return c.EstimatedLoad / float64(c.Target.Slots), true
}
