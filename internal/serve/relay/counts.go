package relay

import (
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

// counts holds the metrics of the package. All are counters, because they are atomic; timers and histograms would take a
// lock shared by all requests.
type counts struct {
	requests           metrics.Counter
	forwarded          metrics.Counter
	received           metrics.Counter
	rejected           metrics.Counter // Forwarded requests with a wrong signature or time, or replayed ones.
	retries            metrics.Counter
	hedges             metrics.Counter
	answersCut         metrics.Counter
	answersCrossed     metrics.Counter
	lateWritePrevented metrics.Counter
	silentConns        metrics.Counter
	reasons            map[steer.Reason]metrics.Counter
	other              metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	c := counts{
		requests:           metrics.GetOrRegisterCounter("requests", r),
		forwarded:          metrics.GetOrRegisterCounter("requests-forwarded", r),
		received:           metrics.GetOrRegisterCounter("requests-received-from-peers", r),
		rejected:           metrics.GetOrRegisterCounter("forwards-rejected", r),
		retries:            metrics.GetOrRegisterCounter("retries", r),
		hedges:             metrics.GetOrRegisterCounter("hedges", r),
		answersCut:         metrics.GetOrRegisterCounter("answers-cut", r),
		answersCrossed:     metrics.GetOrRegisterCounter("answers-crossed", r),
		lateWritePrevented: metrics.GetOrRegisterCounter("writes-after-deadline-prevented", r),
		silentConns:        metrics.GetOrRegisterCounter("pooled-connections-timed-out", r),
		reasons:            make(map[steer.Reason]metrics.Counter, len(reasons)),
		other:              metrics.GetOrRegisterCounter("refused-other", r),
	}
	for reason := range reasons {
		c.reasons[reason] = metrics.GetOrRegisterCounter("refused-"+string(reason), r)
	}
	return c
}

func (c *counts) countRefusal(r steer.Reason) {
	if n := c.reasons[r]; n != nil {
		n.Inc(1)
		return
	}
	c.other.Inc(1)
}
