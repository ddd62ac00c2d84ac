package choose

import (
	"math"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
)

// Constants of the expected wait.
const (
	latencyTimeConstant   = time.Second      // Time constant of the exponentially weighted latency average.
	maxReportAge          = 3 * time.Second  // Age at which reported load no longer counts.
	idleDecayTimeConstant = 10 * time.Second // Time constant with which an idle target's latency decays to the median.

	// reportWeight is the weight of a new report in the average of the other hosts' load. Requests end before the next
	// report arrives, so a single report is mostly chance.
	reportWeight = 0.2

	// maxSampleWeight bounds the weight of one answer in the average. Without it a target with one request a second would
	// be judged by its last answer alone.
	maxSampleWeight = 0.2
	// defaultLatency, in seconds, is used until a service has had its first answer.
	defaultLatency = 0.01
	// minSlowStartFraction is the fraction of its full share that a target gets at the beginning of its slow start.
	minSlowStartFraction = 0.1
	// latencyTolerance is the deviation from the median, as a fraction of it, within which the median is used instead of
	// the target's own latency, so that noise in the averages doesn't keep some targets idle while load is low.
	latencyTolerance = 0.25
	// unhealthyFactor multiplies the expected wait of a target that reports itself as unhealthy and has not answered a
	// request of this host successfully since. Health answers lag and can mislead, so they never exclude a target.
	unhealthyFactor = 8
)

// member is a target in one version of the configuration.
type member struct {
	*targetState
	target steer.Target
}

// targetState is the state of a target that is kept across versions of the configuration. Times are nanoseconds since the
// epoch of the Picker; 0 means never.
type targetState struct {
	inFlight            atomic.Int64
	startTimeSum        atomic.Int64 // Sum of the start times of the requests in flight.
	latency             ewma         // All outcomes; failures count as longer than they took.
	successLatency      ewma         // Successes and slow abandoned requests, so that failures can't raise the median.
	lastSuccess         atomic.Int64
	consecutiveFailures atomic.Int64
	slowStartAt         atomic.Int64 // Beginning of the slow start; 0 outside it.
	drainAnnouncedAt    atomic.Int64 // Time of the last answer with the draining header.
	wasLeaving          atomic.Bool  // Result of the last call to isLeaving.

	ejectedUntil  atomic.Int64 // Time of the next probe; 0 if not ejected.
	probing       atomic.Bool
	badReportSeen atomic.Bool   // Since the ejection a report was missing, old or unhealthy.
	backoff       time.Duration // Guarded by the mutex of the service, as is slowEjection.
	slowEjection  bool          // Ejected for latency rather than for failures.

	loadEstimate atomic.Pointer[loadEstimate]
}

// loadEstimate is an estimate of the load on a target that this host did not cause.
type loadEstimate struct {
	at   time.Time // Time of the last report in it.
	busy float64   // Average of busy slots.
}

// acquire counts one more request in flight unless the limit is reached.
func (t *targetState) acquire(at int64, limit int64) bool {
	// The order of the changes to startTimeSum and inFlight, here and in release, makes a concurrent reader of both see the
	// requests as younger than they are, never as older.
	t.startTimeSum.Add(at)
	for {
		count := t.inFlight.Load()
		if count >= limit {
			t.startTimeSum.Add(-at)
			return false
		}
		if t.inFlight.CompareAndSwap(count, count+1) {
			return true
		}
	}
}

func (t *targetState) release(at int64) {
	t.inFlight.Add(-1)
	t.startTimeSum.Add(-at)
}

// ewma is an exponentially weighted moving average of latencies in seconds.
type ewma struct {
	bits  atomic.Uint64 // Bits of the average.
	count atomic.Int64  // Samples since the last reset.
	at    atomic.Int64  // Time of the last sample.
}

func (a *ewma) add(at int64, seconds float64) {
	gap := at - a.at.Swap(at)
	weight := min(1-math.Exp(-float64(max(gap, 0))/float64(latencyTimeConstant)), maxSampleWeight)
	// The first answers count equally.
	weight = max(weight, 1/float64(a.count.Add(1)))
	for {
		old := a.bits.Load()
		value := math.Float64frombits(old)
		if a.bits.CompareAndSwap(old, math.Float64bits(value+weight*(seconds-value))) {
			return
		}
	}
}

// decayTowards returns the average after its decay towards the median since the last sample.
func (a *ewma) decayTowards(medianLatency float64, at int64) float64 {
	idle := float64(max(at-a.at.Load(), 0))
	return medianLatency + (a.seconds()-medianLatency)*math.Exp(-idle/float64(idleDecayTimeConstant))
}

func (a *ewma) seconds() float64 { return math.Float64frombits(a.bits.Load()) }

// recordLatency adds the latency of an outcome. It first makes the decay since the last sample permanent: otherwise a
// target that is seldom drawn would need many outcomes, with a long time between them, to become typical again.
func (t *targetState) recordLatency(at int64, seconds, medianLatency float64) {
	if t.latency.count.Load() > 0 {
		t.latency.bits.Store(math.Float64bits(t.latency.decayTowards(medianLatency, at)))
	}
	t.latency.add(at, seconds)
}

// reset makes the next sample replace the averages.
func (t *targetState) reset() {
	t.latency.count.Store(0)
	t.successLatency.count.Store(0)
}

// meanInFlightAge returns the mean age of the requests in flight, in seconds. It returns 0 without any, or if their number
// changes during the call.
func (t *targetState) meanInFlightAge(at int64) float64 {
	count := t.inFlight.Load()
	sum := t.startTimeSum.Load()
	if count == 0 || t.inFlight.Load() != count {
		return 0
	}
	return max(float64(at)-float64(sum)/float64(count), 0) / 1e9
}

// expectedLatency returns the expected latency of a request, in seconds.
func (t *targetState) expectedLatency(at int64, medianLatency float64) float64 {
	latency := medianLatency
	if t.latency.count.Load() > 0 {
		recent := t.latency.decayTowards(medianLatency, at)
		if math.Abs(recent-medianLatency) > latencyTolerance*medianLatency {
			latency = recent
		}
	}
	// Requests that stay unanswered for long reveal a slow or silent target before its answers do. Only half of their age
	// counts, since the mean over a few requests is often above the average by chance.
	return max(latency, t.meanInFlightAge(at)/2)
}

// slowStartFraction returns the fraction of its full share that a target in slow start gets, and 1 outside slow start. A
// failing target that the limit on ejections keeps in use gets the minimum: when it recovers, it is already cold before
// its first answer shows the recovery.
func (t *targetState) slowStartFraction(at int64, ramp time.Duration) float64 {
	if t.consecutiveFailures.Load() >= maxConsecutiveFailures && at-t.lastSuccess.Load() > int64(restartGap) {
		return minSlowStartFraction
	}
	start := t.slowStartAt.Load()
	if start == 0 {
		return 1
	}
	if at-start >= int64(ramp) {
		t.slowStartAt.CompareAndSwap(start, 0)
		return 1
	}
	return max(float64(at-start)/float64(ramp), minSlowStartFraction)
}

// otherHostsLoad returns the number of the target's slots that other hosts keep busy, discounted by the age of the report.
func (m *member) otherHostsLoad(report steer.Report, now time.Time) float64 {
	if report.At.IsZero() {
		return 0
	}
	seen := m.loadEstimate.Load()
	if seen == nil || !seen.at.Equal(report.At) {
		// The current in-flight count of this host stands in for the count when the report was made. It is read only once
		// for each report: a fall of this host's count must not look like a rise of the other hosts' load.
		next := &loadEstimate{
			at:   report.At,
			busy: max(float64(report.Busy)-float64(m.inFlight.Load()), 0),
		}
		if seen != nil && report.At.Sub(seen.at) < maxReportAge {
			next.busy = seen.busy + reportWeight*(next.busy-seen.busy)
		}
		seen = next
		m.loadEstimate.Store(seen)
	}
	discount := 1 - float64(now.Sub(report.At))/float64(maxReportAge)
	// The load is capped at the number of slots, so that a false report does not outweigh this host's own count.
	return min(seen.busy, float64(m.slots(report))) * min(max(discount, 0), 1)
}

// slots returns the number of requests that the target processes concurrently, at least 1.
func (m *member) slots(report steer.Report) int64 {
	if m.target.Slots > 0 {
		return int64(m.target.Slots)
	}
	return int64(max(report.Slots, 1))
}
