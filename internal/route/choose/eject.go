package choose

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

// Constants of outlier detection and ejection.
const (
	maxConsecutiveFailures = 5   // Failures in a row at which a target is ejected.
	outlierLatencyFactor   = 3.0 // Multiple of the service's median latency above which a target is too slow.
	minOutlierSamples      = 10  // Answers that a target needs before it is judged by latency.
	minOutlierTargets      = 3   // Targets with answers that a meaningful median needs.

	initialBackoff      = time.Second // Time from the ejection to the first probe.
	maxBackoff          = 30 * time.Second
	maintenanceInterval = 100 * time.Millisecond

	// drainHold is how long an answer with the draining header overrides health answers, which lag behind. A target that
	// is restarted in place under the same address gets requests again after this time.
	drainHold = time.Minute
	// restartGap is the time without a success after which a failing target counts as restarted, and so as cold.
	restartGap = 2 * time.Second
	// shedLatencyFactor is the multiple of the median latency that a refusal for lack of capacity counts as, if it did not
	// take longer.
	shedLatencyFactor = 2.0
)

// newChoice returns the choice for a target at which a request has been acquired.
func (s *service) newChoice(m *member, at int64, probe bool) steer.Choice {
	return steer.Choice{
		Target: m.target,
		Done: func(o steer.Outcome) {
			s.recordOutcome(m, at, s.picker.sinceEpoch(time.Now()), probe, o)
		},
	}
}

// dueProbe acquires a probe at an ejected target whose back-off has passed or whose reports have recovered. It returns
// nil if there is none.
func (s *service) dueProbe(pl *pool, at int64) *member {
	if s.ejectedCount.Load() == 0 {
		return nil
	}
	for _, m := range pl.members {
		until := m.ejectedUntil.Load()
		if until == 0 || at < until && !s.reportRecovered(m, at) || s.isLeaving(m, at) {
			continue
		}
		if m.probing.CompareAndSwap(false, true) {
			// Requests that are still in flight from before the ejection must not prevent the probe.
			m.acquire(at, math.MaxInt64)
			return m
		}
	}
	return nil
}

// reportRecovered reports, once, that the reports of an ejected target have changed from bad to good. Without it a region
// that returns after a long outage would wait for the end of the maximum back-off. A target that always reports healthy
// never gets a probe this way.
func (s *service) reportRecovered(m *member, at int64) bool {
	report := s.report(m)
	if !report.Healthy || at-s.picker.sinceEpoch(report.At) > int64(maxReportAge)/2 {
		m.badReportSeen.Store(true)
		return false
	}
	return m.badReportSeen.CompareAndSwap(true, false)
}

// recordOutcome ends a request: it updates the target's averages and failure count, ends a probe, and ejects a target
// that fails too often.
func (s *service) recordOutcome(m *member, started, at int64, probe bool, o steer.Outcome) {
	m.release(started)
	defer s.wakeWaiters()
	if o.Draining {
		m.drainAnnouncedAt.Store(at)
	}
	seconds := o.Latency.Seconds()
	success := o.Verdict == steer.Ran && !o.Failed && !o.Shed
	switch {
	case o.Failed:
		// A target that fails fast must not look better than one that answers.
		m.recordLatency(at, max(seconds, outlierLatencyFactor*s.typicalLatency()), s.typicalLatency())
		m.consecutiveFailures.Add(1)
	case o.Shed:
		m.recordLatency(at, max(seconds, shedLatencyFactor*s.typicalLatency()), s.typicalLatency())
	case success:
		s.recordSuccess(m, at, seconds)
	case seconds > s.typicalLatency():
		// The caller gave up, so the answer would have taken longer still.
		m.recordLatency(at, seconds, s.typicalLatency())
		m.successLatency.add(at, seconds)
	}
	if probe {
		s.finishProbe(m, at, success, seconds <= outlierLatencyFactor*s.typicalLatency(), o.Failed || success)
	}
	if m.consecutiveFailures.Load() >= maxConsecutiveFailures && m.ejectedUntil.Load() == 0 {
		s.eject(m, at, false)
	}
}

func (s *service) recordSuccess(m *member, at int64, seconds float64) {
	last := m.lastSuccess.Swap(at)
	consecutiveFailures := m.consecutiveFailures.Swap(0)
	// The limit on ejections keeps some failing targets in use. When they recover, they are as cold as ejected ones.
	if consecutiveFailures >= maxConsecutiveFailures && at-last > int64(restartGap) && m.ejectedUntil.Load() == 0 {
		m.reset()
		m.slowStartAt.Store(at)
	}
	m.recordLatency(at, seconds, s.typicalLatency())
	m.successLatency.add(at, seconds)
}

// finishProbe ends a probe: success readmits the target and failure doubles the back-off. An inconclusive probe leaves the
// back-off as it is. A slow answer readmits a target that was ejected for failures, since its caches may be cold.
func (s *service) finishProbe(m *member, at int64, success, fast, conclusive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer m.probing.Store(false)
	switch {
	case m.ejectedUntil.Load() == 0: // Already readmitted by enforceEjectionLimit.
	case success && (fast || !m.slowEjection):
		s.readmit(m, at)
	case conclusive:
		m.backoff = min(2*m.backoff, maxBackoff)
		m.ejectedUntil.Store(at + int64(m.backoff))
	default:
		m.ejectedUntil.Store(at + int64(m.backoff))
	}
}

// eject ejects a target unless more than half of the targets would then be ejected.
func (s *service) eject(m *member, at int64, slowEjection bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejectedCount, total := s.countEjected(at)
	if m.ejectedUntil.Load() != 0 || 2*(ejectedCount+1) > total || !slices.ContainsFunc(s.pool.Load().members, m.sharesState) {
		return
	}
	m.backoff = initialBackoff
	m.slowEjection = slowEjection
	m.ejectedUntil.Store(at + int64(m.backoff))
	m.badReportSeen.Store(false)
	s.count()
	s.picker.ejections.Inc(1)
	_ = level.Warn(s.picker.logger).Log("msg", "Target ejected.", "service", s.name, "target", m.target.ID,
		"slow", slowEjection, "latency", time.Duration(m.successLatency.seconds()*1e9),
		"median", time.Duration(s.typicalLatency()*1e9))
}

// readmit ends an ejection and begins a slow start. The caller holds the mutex.
func (s *service) readmit(m *member, at int64) {
	m.reset()
	m.consecutiveFailures.Store(0)
	m.slowStartAt.Store(at)
	m.ejectedUntil.Store(0)
	s.count()
	s.picker.readmissions.Inc(1)
	_ = level.Info(s.picker.logger).Log("msg", "Target readmitted.", "service", s.name, "target", m.target.ID)
}

func (m *member) sharesState(o *member) bool { return m.targetState == o.targetState }

// countEjected returns the numbers of ejected targets and of all targets, not counting those that are leaving.
func (s *service) countEjected(at int64) (ejectedCount, total int) {
	for _, m := range s.pool.Load().members {
		if s.isLeaving(m, at) {
			continue
		}
		total++
		if m.ejectedUntil.Load() != 0 {
			ejectedCount++
		}
	}
	return ejectedCount, total
}

// count updates the number of ejected targets. The caller holds the mutex.
func (s *service) count() {
	count := int64(0)
	for _, m := range s.pool.Load().members {
		if m.ejectedUntil.Load() != 0 {
			count++
		}
	}
	s.ejectedCount.Store(count)
}

// maintain updates the median latency and the host count, and ejects slow targets. One request does it every 100 ms.
func (s *service) maintain(at int64) {
	nextMaintenance := s.nextMaintenance.Load()
	if at < nextMaintenance || !s.nextMaintenance.CompareAndSwap(nextMaintenance, at+int64(maintenanceInterval)) {
		return
	}
	s.hostCount.Store(int64(max(s.picker.config.HostCount(), 1)))
	s.enforceEjectionLimit(at)
	pl := s.pool.Load()
	var latencies []float64
	for _, m := range pl.members {
		if m.ejectedUntil.Load() == 0 && m.successLatency.count.Load() > 0 && !s.isLeaving(m, at) {
			latencies = append(latencies, m.successLatency.seconds())
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	medianLatency := latencies[(len(latencies)-1)/2]
	s.medianLatency.Store(math.Float64bits(medianLatency))
	for _, m := range pl.members {
		slow := m.successLatency.seconds() > outlierLatencyFactor*medianLatency
		// A target in slow start may be slow because its caches are cold.
		if slow && len(latencies) >= minOutlierTargets && m.successLatency.count.Load() >= minOutlierSamples &&
			m.ejectedUntil.Load() == 0 && m.slowStartFraction(at, pl.ramp) == 1 {
			s.eject(m, at, true)
		}
	}
}

// enforceEjectionLimit readmits targets while more than half are ejected, which happens when other targets leave. The
// target with the earliest next probe comes first.
func (s *service) enforceEjectionLimit(at int64) {
	if s.ejectedCount.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		ejectedCount, total := s.countEjected(at)
		if 2*ejectedCount <= total {
			return
		}
		var first *member
		for _, m := range s.pool.Load().members {
			until := m.ejectedUntil.Load()
			if until != 0 && !s.isLeaving(m, at) && (first == nil || until < first.ejectedUntil.Load()) {
				first = m
			}
		}
		s.readmit(first, at)
	}
}
