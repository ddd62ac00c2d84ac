package pass

import (
	"sync"
	"time"
)

const (
	// minTimeLost is the minimum difference between the longest time that callers of a route have left and the time of a caller
	// that retries after a refusal. It is the minimum retry delay, less an allowance for the rounding of clocks.
	minTimeLost = minRetryAfter * 8 / 10

	// longestDecay is the fraction by which the longest time of a route's callers decays towards the present caller's with
	// each request.
	longestDecay = 0.001

	// maxTracked bounds the groups of callers whose longest times are kept. It is several times the routes of a plan, and allows
	// for the larger customers of each.
	maxTracked = 16384
)

// retryDetector distinguishes callers that retry after a refusal from others. All callers of a group start with the same
// timeout, so a caller that retries has less time left, by as much as it has spent.
type retryDetector struct {
	mu           sync.Mutex
	longestTimes map[string]time.Duration // By group: the longest recent time that a caller had left.
}

func newRetryDetector() *retryDetector {
	return &retryDetector{
		longestTimes: map[string]time.Duration{},
	}
}

// timeLost records the time that a caller has left, and returns the time that it seems to have spent on attempts that were
// refused; 0 for a caller that does not seem to retry.
func (d *retryDetector) timeLost(group string, timeLeft time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest, ok := d.longestTimes[group]
	switch {
	case !ok && len(d.longestTimes) >= maxTracked:
		clear(d.longestTimes)
		d.longestTimes[group] = timeLeft
	case !ok || timeLeft >= longest:
		d.longestTimes[group] = timeLeft
	default:
		d.longestTimes[group] = longest - time.Duration(longestDecay*float64(longest-timeLeft))
	}
	if lost := longest - timeLeft; ok && lost >= minTimeLost {
		return lost
	}
	return 0
}
