package choose

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
)

// service holds the targets of one service and their shared state.
type service struct {
	picker          *Picker
	name            string
	pool            atomic.Pointer[pool]
	randomState     atomic.Uint64
	medianLatency   atomic.Uint64 // Bits of the median latency in seconds; 0 without an answer.
	hostCount       atomic.Int64
	nextMaintenance atomic.Int64 // When maintain runs next.
	retryBudget     retryBudget

	waiters atomic.Int64 // Requests that wait in Await.
	freed   atomic.Pointer[chan struct{}]

	mu           sync.Mutex   // Held while targets are ejected or readmitted.
	ejectedCount atomic.Int64 // Number of ejected targets, including those that are leaving.
}

// pool is the list of a service's targets in one version of the configuration.
type pool struct {
	ramp    time.Duration
	members []*member
}

func newService(p *Picker, name string) *service {
	s := &service{
		picker: p,
		name:   name,
	}
	s.randomState.Store(p.config.Seed ^ xxhash.Sum64String(name))
	s.hostCount.Store(int64(max(p.config.HostCount(), 1)))
	s.retryBudget.tenths.Store(10)
	s.pool.Store(&pool{})
	freed := make(chan struct{})
	s.freed.Store(&freed)
	return s
}

// updateTargets replaces the pool with the targets in the data centre of this host and reports whether there are any.
// Targets that were not in the previous pool go into slow start if cold is set.
func (s *service) updateTargets(spec *steer.Service, at int64, cold bool) bool {
	old := s.pool.Load().members
	pl := &pool{ramp: spec.Ramp}
	for _, t := range spec.Targets {
		if t.DataCentre != s.picker.config.DataCentre {
			continue
		}
		i := slices.IndexFunc(old, func(m *member) bool {
			return m.target.ID == t.ID && m.target.Address == t.Address
		})
		state := &targetState{}
		if i >= 0 {
			state = old[i].targetState
		} else if cold {
			state.slowStartAt.Store(at)
		}
		pl.members = append(pl.members, &member{
			targetState: state,
			target:      t,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Store(pl)
	s.count()
	return len(pl.members) > 0
}

func (s *service) report(m *member) steer.Report {
	if s.picker.config.Reports == nil {
		return steer.Report{}
	}
	return s.picker.config.Reports.Report(m.target.ID)
}

// isLeaving reports whether the target is leaving and so gets no new requests. A target that is no longer leaving goes
// into slow start.
func (s *service) isLeaving(m *member, at int64) bool {
	return s.isLeavingByReport(m, s.report(m), at)
}

func (s *service) isLeavingByReport(m *member, report steer.Report, at int64) bool {
	drainAnnouncedAt := m.drainAnnouncedAt.Load()
	leaving := m.target.Leaving || report.Draining || drainAnnouncedAt != 0 && at-drainAnnouncedAt < int64(drainHold)
	if leaving != m.wasLeaving.Load() && m.wasLeaving.CompareAndSwap(!leaving, leaving) {
		if !leaving {
			m.slowStartAt.Store(at)
		}
		_ = level.Info(s.picker.logger).Log("msg", "Target changed.", "service", s.name, "target", m.target.ID,
			"leaving", leaving)
	}
	return leaving
}

// eligible reports whether the target may take a request that is not a probe, its in-flight limit aside.
func (s *service) eligible(m *member, report steer.Report, at int64, tried []string) bool {
	return m.ejectedUntil.Load() == 0 && !s.isLeavingByReport(m, report, at) && !slices.Contains(tried, m.target.ID)
}

// expectedWait returns the expected wait of one more request at the target, in seconds.
func (s *service) expectedWait(m *member, report steer.Report, at int64) float64 {
	now := s.picker.epoch.Add(time.Duration(at))
	busy := float64(m.inFlight.Load()) + 1 + m.otherHostsLoad(report, now)
	expectedWait := busy * m.expectedLatency(at, s.typicalLatency()) / float64(m.slots(report))
	unhealthy := !report.At.IsZero() && !report.Healthy && now.Sub(report.At) < maxReportAge
	if unhealthy && m.lastSuccess.Load() < s.picker.sinceEpoch(report.At) {
		expectedWait *= unhealthyFactor
	}
	return expectedWait
}

// inFlightLimit returns the maximum number of requests that this host may have in flight at the target. The load from
// other hosts lowers it, but not below an equal share of the slots. Without a fresh report it is all slots, and only the
// capacity units bound the sum over the hosts. In slow start it is a fraction of the equal share, since reports are too
// old to divide a few places between hosts.
func (s *service) inFlightLimit(m *member, at int64, ramp time.Duration) int64 {
	report := s.report(m)
	slots := m.slots(report)
	equalShare := (slots + s.hostCount.Load() - 1) / s.hostCount.Load()
	if slowStartFraction := m.slowStartFraction(at, ramp); slowStartFraction < 1 {
		return max(int64(math.Ceil(float64(equalShare)*slowStartFraction)), 1)
	}
	remaining := slots - int64(math.Round(m.otherHostsLoad(report, s.picker.epoch.Add(time.Duration(at)))))
	return max(equalShare, remaining, 1)
}

// pickOfTwo draws two targets at random and returns the eligible one with the shorter expected wait, or nil if neither is
// eligible.
func (s *service) pickOfTwo(pl *pool, at int64, tried []string) *member {
	count := uint64(len(pl.members))
	bits := s.randomBits()
	i := (bits >> 32) % count
	a := pl.members[i]
	b := a
	if count > 1 {
		b = pl.members[(i+1+(bits&math.MaxUint32)%(count-1))%count]
	}
	ra, rb := s.report(a), s.report(b)
	if !s.eligible(a, ra, at, tried) || !s.passesSlowStart(a, at, pl.ramp) {
		a = nil
	}
	if !s.eligible(b, rb, at, tried) || !s.passesSlowStart(b, at, pl.ramp) {
		return a
	}
	if a != nil && s.expectedWait(a, ra, at) <= s.expectedWait(b, rb, at) {
		return a
	}
	return b
}

// passesSlowStart reports whether a drawn target may be used. A target in slow start may be used at random, in proportion
// to its slow start fraction. The expected wait alone would keep it out while the others are idle.
func (s *service) passesSlowStart(m *member, at int64, ramp time.Duration) bool {
	slowStartFraction := m.slowStartFraction(at, ramp)
	return slowStartFraction == 1 || float64(s.randomBits()>>11)/(1<<53) < slowStartFraction
}

// leastLoaded acquires a request at the eligible target with the shortest expected wait among all that are below their
// in-flight limit. It is used when pickOfTwo found no eligible target or the one that it found was full. It returns nil and
// the reason if no target can take the request.
func (s *service) leastLoaded(pl *pool, at int64, tried []string) (*member, steer.Reason) {
	for {
		reason := steer.ReasonNoTarget
		var leastLoaded *member
		shortestWait := math.Inf(1)
		first := int(s.randomBits() % uint64(len(pl.members)))
		for i := range pl.members {
			m := pl.members[(first+i)%len(pl.members)]
			report := s.report(m)
			if !s.eligible(m, report, at, tried) {
				continue
			}
			if m.inFlight.Load() >= s.inFlightLimit(m, at, pl.ramp) {
				reason = steer.ReasonCapacity
				continue
			}
			if expectedWait := s.expectedWait(m, report, at) / m.slowStartFraction(at, pl.ramp); expectedWait < shortestWait {
				leastLoaded, shortestWait = m, expectedWait
			}
		}
		// Another request may have taken the last place in the meantime; then the search starts again.
		if leastLoaded == nil || leastLoaded.acquire(at, s.inFlightLimit(leastLoaded, at, pl.ramp)) {
			return leastLoaded, reason
		}
	}
}

// randomBits returns 64 random bits from a splitmix64 generator, whose state advances by one atomic addition.
func (s *service) randomBits() uint64 {
	z := s.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// typicalLatency returns the median latency in seconds, or defaultLatency before the first answer.
func (s *service) typicalLatency() float64 {
	if medianLatency := math.Float64frombits(s.medianLatency.Load()); medianLatency > 0 {
		return medianLatency
	}
	return defaultLatency
}

func (s *service) status(name string, m *member, at int64, ramp time.Duration) Status {
	report := s.report(m)
	status := Status{
		ID:           m.target.ID,
		Service:      name,
		State:        Ready,
		InFlight:     int(m.inFlight.Load()),
		Latency:      time.Duration(m.successLatency.seconds() * 1e9),
		ReportedLoad: -1,
		ReportAge:    -1,
	}
	switch {
	case s.isLeavingByReport(m, report, at):
		status.State = Leaving
	case m.ejectedUntil.Load() != 0:
		status.State = Ejected
	case m.slowStartFraction(at, ramp) < 1:
		status.State = Warming
	}
	if !report.At.IsZero() {
		status.ReportedLoad = float64(report.Busy) / float64(m.slots(report))
		status.ReportAge = s.picker.epoch.Add(time.Duration(at)).Sub(report.At)
	}
	return status
}

// retryBudget allows one retry for every ten requests.
type retryBudget struct{ tenths atomic.Int64 }

// maxTenths is enough to retry all requests of one lost target at once, and bounds what accumulates between failures.
const maxTenths = 500

func (b *retryBudget) deposit() {
	if b.tenths.Load() < maxTenths {
		b.tenths.Add(1)
	}
}

func (b *retryBudget) withdraw() bool {
	for {
		tenths := b.tenths.Load()
		if tenths < 10 {
			return false
		}
		if b.tenths.CompareAndSwap(tenths, tenths-10) {
			return true
		}
	}
}
