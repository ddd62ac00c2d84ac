package choose

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

// Constants of ejection.
const (
	failureLimit = 5   // Consecutive failures.
	slowFactor   = 3.0 // Latency relative to the median of the service.
	slowSamples  = 10  // Answers before a target is judged by latency.
	slowTargets  = 3   // Targets with answers before a median means something.

	firstBackoff = time.Second // Before the first probe.
	maxBackoff   = 30 * time.Second
	upkeepEvery  = 100 * time.Millisecond

	// drainHold is how long an answer with the draining header holds against health answers, which lag. A target
	// restarted in place under the same address comes back after it.
	drainHold = time.Minute
	// absence is the time without a success after which a target that was failing counts as restarted, hence cold.
	absence = 2 * time.Second
	// shedFactor is what an answer that refuses for lack of capacity counts as, relative to the median.
	shedFactor = 2.0
)

// start returns the choice of a target that has been taken.
func (s *service) start(m *member, at int64, probe bool) steer.Choice {
	return steer.Choice{
		Target: m.target,
		Done: func(o steer.Outcome) {
			s.finish(m, at, s.picker.since(time.Now()), probe, o)
		},
	}
}

// due returns an ejected target whose back-off has passed, taken for one probe, or nil.
func (s *service) due(r *roster, at int64) *member {
	if s.ejected.Load() == 0 {
		return nil
	}
	for _, m := range r.members {
		until := m.ejectedUntil.Load()
		if until == 0 || at < until && !s.revived(m, at) || s.leaving(m, at) {
			continue
		}
		if m.probing.CompareAndSwap(false, true) {
			// An ejected target may still have requests in flight from before; they don't count against the probe.
			m.take(at, math.MaxInt64)
			return m
		}
	}
	return nil
}

// revived reports once that an ejected target whose reports were bad has a good one. Without it a region that comes back
// after a long outage would wait for the end of the longest back-off. A target that always says that it is healthy never
// gets a probe this way.
func (s *service) revived(m *member, at int64) bool {
	report := s.report(m)
	if !report.Healthy || at-s.picker.since(report.At) > int64(reportSpan)/2 {
		m.mute.Store(true)
		return false
	}
	return m.mute.CompareAndSwap(true, false)
}

// finish records the outcome of a request.
func (s *service) finish(m *member, started, at int64, probe bool, o steer.Outcome) {
	m.release(started)
	defer s.wake()
	if o.Draining {
		m.drained.Store(at)
	}
	seconds := o.Latency.Seconds()
	success := o.Verdict == steer.Ran && !o.Failed && !o.Shed
	switch {
	case o.Failed:
		// A target that fails fast must not look better than one that answers.
		m.sample(at, max(seconds, slowFactor*s.typical()), s.typical())
		m.failures.Add(1)
	case o.Shed:
		m.sample(at, max(seconds, shedFactor*s.typical()), s.typical())
	case success:
		s.succeed(m, at, seconds)
	case seconds > s.typical():
		// The caller gave up, so the answer would have taken longer still.
		m.sample(at, seconds, s.typical())
		m.answers.add(at, seconds)
	}
	if probe {
		s.judge(m, at, success, seconds <= slowFactor*s.typical(), o.Failed || success)
	}
	if m.failures.Load() >= failureLimit && m.ejectedUntil.Load() == 0 {
		s.eject(m, at, false)
	}
}

func (s *service) succeed(m *member, at int64, seconds float64) {
	last := m.answered.Swap(at)
	failures := m.failures.Swap(0)
	// The floor keeps some failing targets in the choice. When they come back they are as cold as ejected ones.
	if failures >= failureLimit && at-last > int64(absence) && m.ejectedUntil.Load() == 0 {
		m.reset()
		m.warm.Store(at)
	}
	m.sample(at, seconds, s.typical())
	m.answers.add(at, seconds)
}

// judge ends a probe. A probe without a result leaves the back-off as it is. A slow answer brings back a target that was
// ejected for failures, since its caches may be cold.
func (s *service) judge(m *member, at int64, success, fast, conclusive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer m.probing.Store(false)
	switch {
	case m.ejectedUntil.Load() == 0: // Brought back by the floor.
	case success && (fast || !m.slow):
		s.bringBack(m, at)
	case conclusive:
		m.backoff = min(2*m.backoff, maxBackoff)
		m.ejectedUntil.Store(at + int64(m.backoff))
	default:
		m.ejectedUntil.Store(at + int64(m.backoff))
	}
}

// eject takes a target out of the choice unless that would leave less than half of the targets.
func (s *service) eject(m *member, at int64, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ejected, all := s.tally(at)
	if m.ejectedUntil.Load() != 0 || 2*(ejected+1) > all || !slices.ContainsFunc(s.roster.Load().members, m.same) {
		return
	}
	m.backoff = firstBackoff
	m.slow = slow
	m.ejectedUntil.Store(at + int64(m.backoff))
	m.mute.Store(false)
	s.count()
	s.picker.ejections.Inc(1)
	_ = level.Warn(s.picker.logger).Log("msg", "Target ejected.", "service", s.name, "target", m.target.ID, "slow", slow,
		"latency", time.Duration(m.answers.seconds()*1e9), "median", time.Duration(s.typical()*1e9))
}

// bringBack ends an ejection. The mutex is held.
func (s *service) bringBack(m *member, at int64) {
	m.reset()
	m.failures.Store(0)
	m.warm.Store(at)
	m.ejectedUntil.Store(0)
	s.count()
	s.picker.returns.Inc(1)
	_ = level.Info(s.picker.logger).Log("msg", "Target came back.", "service", s.name, "target", m.target.ID)
}

func (m *member) same(o *member) bool { return m.node == o.node }

// tally returns the number of ejected targets and of all targets, those leaving not counted.
func (s *service) tally(at int64) (ejected, all int) {
	for _, m := range s.roster.Load().members {
		if s.leaving(m, at) {
			continue
		}
		all++
		if m.ejectedUntil.Load() != 0 {
			ejected++
		}
	}
	return ejected, all
}

// count refreshes the number of ejected targets. The mutex is held.
func (s *service) count() {
	count := int64(0)
	for _, m := range s.roster.Load().members {
		if m.ejectedUntil.Load() != 0 {
			count++
		}
	}
	s.ejected.Store(count)
}

// upkeep refreshes the median and ejects slow targets, every 100 ms by one of the requests.
func (s *service) upkeep(at int64) {
	next := s.next.Load()
	if at < next || !s.next.CompareAndSwap(next, at+int64(upkeepEvery)) {
		return
	}
	s.hosts.Store(int64(max(s.picker.config.HostCount(), 1)))
	s.keepFloor(at)
	r := s.roster.Load()
	var latencies []float64
	for _, m := range r.members {
		if m.ejectedUntil.Load() == 0 && m.answers.count.Load() > 0 && !s.leaving(m, at) {
			latencies = append(latencies, m.answers.seconds())
		}
	}
	if len(latencies) == 0 {
		return
	}
	slices.Sort(latencies)
	median := latencies[(len(latencies)-1)/2]
	s.median.Store(math.Float64bits(median))
	for _, m := range r.members {
		slow := m.answers.seconds() > slowFactor*median
		// A target in slow start may be slow because its caches are cold.
		if slow && len(latencies) >= slowTargets && m.answers.count.Load() >= slowSamples && m.ejectedUntil.Load() == 0 &&
			m.share(at, r.ramp) == 1 {
			s.eject(m, at, true)
		}
	}
}

// keepFloor brings targets back when leaving targets have made the ejected ones more than half.
func (s *service) keepFloor(at int64) {
	if s.ejected.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		ejected, all := s.tally(at)
		if 2*ejected <= all {
			return
		}
		var first *member
		for _, m := range s.roster.Load().members {
			until := m.ejectedUntil.Load()
			if until != 0 && !s.leaving(m, at) && (first == nil || until < first.ejectedUntil.Load()) {
				first = m
			}
		}
		s.bringBack(first, at)
	}
}
