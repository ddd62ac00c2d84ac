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

// service is the state of the targets of one service.
type service struct {
	picker *Picker
	name   string
	roster atomic.Pointer[roster]
	random atomic.Uint64
	median atomic.Uint64 // Bits of the median latency in seconds; 0 without an answer.
	hosts  atomic.Int64
	next   atomic.Int64 // Time of the next upkeep.
	budget budget

	waiting atomic.Int64 // Requests in Await.
	freed   atomic.Pointer[chan struct{}]

	mu      sync.Mutex   // Guards changes of ejection.
	ejected atomic.Int64 // Number of ejected targets, those leaving included.
}

// roster is the list of targets in one version of the configuration.
type roster struct {
	ramp    time.Duration
	members []*member
}

func newService(p *Picker, name string) *service {
	s := &service{
		picker: p,
		name:   name,
	}
	s.random.Store(p.config.Seed ^ xxhash.Sum64String(name))
	s.hosts.Store(int64(max(p.config.HostCount(), 1)))
	s.budget.tenths.Store(10)
	s.roster.Store(&roster{})
	freed := make(chan struct{})
	s.freed.Store(&freed)
	return s
}

// adopt takes up the targets of the own data centre and reports whether there are any. New ones start slowly if cold.
func (s *service) adopt(spec *steer.Service, at int64, cold bool) bool {
	old := s.roster.Load().members
	r := &roster{ramp: spec.Ramp}
	for _, t := range spec.Targets {
		if t.DataCentre != s.picker.config.DataCentre {
			continue
		}
		i := slices.IndexFunc(old, func(m *member) bool {
			return m.target.ID == t.ID && m.target.Address == t.Address
		})
		n := &node{}
		if i >= 0 {
			n = old[i].node
		} else if cold {
			n.warm.Store(at)
		}
		r.members = append(r.members, &member{
			node:   n,
			target: t,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.Store(r)
	s.count()
	return len(r.members) > 0
}

func (s *service) report(m *member) steer.Report {
	if s.picker.config.Reports == nil {
		return steer.Report{}
	}
	return s.picker.config.Reports.Report(m.target.ID)
}

// leaving reports whether the target gets no new work. A target that stops leaving starts slowly.
func (s *service) leaving(m *member, at int64) bool {
	return s.leavingBy(m, s.report(m), at)
}

func (s *service) leavingBy(m *member, report steer.Report, at int64) bool {
	drained := m.drained.Load()
	leaving := m.target.Leaving || report.Draining || drained != 0 && at-drained < int64(drainHold)
	if leaving != m.left.Load() && m.left.CompareAndSwap(!leaving, leaving) {
		if !leaving {
			m.warm.Store(at)
		}
		_ = level.Info(s.picker.logger).Log("msg", "Target changed.", "service", s.name, "target", m.target.ID,
			"leaving", leaving)
	}
	return leaving
}

// usable reports whether the target may take a request that is not a probe.
func (s *service) usable(m *member, report steer.Report, at int64, tried []string) bool {
	return m.ejectedUntil.Load() == 0 && !s.leavingBy(m, report, at) && !slices.Contains(tried, m.target.ID)
}

// wait returns the expected wait of one more request, in seconds.
func (s *service) wait(m *member, report steer.Report, at int64) float64 {
	now := s.picker.epoch.Add(time.Duration(at))
	busy := float64(m.inFlight.Load()) + 1 + m.load(report, now)
	wait := busy * m.expected(at, s.typical()) / float64(m.slots(report))
	unwell := !report.At.IsZero() && !report.Healthy && now.Sub(report.At) < reportSpan
	if unwell && m.answered.Load() < s.picker.since(report.At) {
		wait *= unwellFactor
	}
	return wait
}

// limit returns the most requests that this host may have in flight at the target. The load of others lowers it, but
// not below an equal share of the slots; without a fresh report it is all slots, and the capacity units alone bound the
// sum over the hosts. In slow start it is an equal share only, since reports are too old to divide a few places.
func (s *service) limit(m *member, at int64, ramp time.Duration) int64 {
	report := s.report(m)
	slots := m.slots(report)
	equal := (slots + s.hosts.Load() - 1) / s.hosts.Load()
	if share := m.share(at, ramp); share < 1 {
		return max(int64(math.Ceil(float64(equal)*share)), 1)
	}
	rest := slots - int64(math.Round(m.load(report, s.picker.epoch.Add(time.Duration(at)))))
	return max(equal, rest, 1)
}

// better draws two targets and returns the usable one with the shorter expected wait, or nil.
func (s *service) better(r *roster, at int64, tried []string) *member {
	count := uint64(len(r.members))
	bits := s.draw()
	i := (bits >> 32) % count
	a := r.members[i]
	b := a
	if count > 1 {
		b = r.members[(i+1+(bits&math.MaxUint32)%(count-1))%count]
	}
	ra, rb := s.report(a), s.report(b)
	if !s.usable(a, ra, at, tried) || !s.admitted(a, at, r.ramp) {
		a = nil
	}
	if !s.usable(b, rb, at, tried) || !s.admitted(b, at, r.ramp) {
		return a
	}
	if a != nil && s.wait(a, ra, at) <= s.wait(b, rb, at) {
		return a
	}
	return b
}

// admitted lets a target in slow start be drawn in proportion to its share. The expected wait alone would keep it out
// while the others are idle.
func (s *service) admitted(m *member, at int64, ramp time.Duration) bool {
	share := m.share(at, ramp)
	return share == 1 || float64(s.draw()>>11)/(1<<53) < share
}

// best takes the usable target with the shortest expected wait of all that are below their limit. It is the way when
// both drawn targets were full or not usable.
func (s *service) best(r *roster, at int64, tried []string) (*member, steer.Reason) {
	for {
		reason := steer.ReasonNoTarget
		var best *member
		shortest := math.Inf(1)
		first := int(s.draw() % uint64(len(r.members)))
		for i := range r.members {
			m := r.members[(first+i)%len(r.members)]
			report := s.report(m)
			if !s.usable(m, report, at, tried) {
				continue
			}
			if m.inFlight.Load() >= s.limit(m, at, r.ramp) {
				reason = steer.ReasonCapacity
				continue
			}
			if wait := s.wait(m, report, at) / m.share(at, r.ramp); wait < shortest {
				best, shortest = m, wait
			}
		}
		// Another request may have taken the last place since; then the next best is tried.
		if best == nil || best.take(at, s.limit(best, at, r.ramp)) {
			return best, reason
		}
	}
}

// draw returns random bits. It is the splitmix64 generator, whose state advances by one atomic addition.
func (s *service) draw() uint64 {
	z := s.random.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// typical returns the median latency in seconds.
func (s *service) typical() float64 {
	if median := math.Float64frombits(s.median.Load()); median > 0 {
		return median
	}
	return assumedLatency
}

func (s *service) status(name string, m *member, at int64, ramp time.Duration) Status {
	report := s.report(m)
	status := Status{
		ID:           m.target.ID,
		Service:      name,
		State:        Ready,
		InFlight:     int(m.inFlight.Load()),
		Latency:      time.Duration(m.answers.seconds() * 1e9),
		ReportedLoad: -1,
		ReportAge:    -1,
	}
	switch {
	case s.leavingBy(m, report, at):
		status.State = Leaving
	case m.ejectedUntil.Load() != 0:
		status.State = Ejected
	case m.share(at, ramp) < 1:
		status.State = Warming
	}
	if !report.At.IsZero() {
		status.ReportedLoad = float64(report.Busy) / float64(m.slots(report))
		status.ReportAge = s.picker.epoch.Add(time.Duration(at)).Sub(report.At)
	}
	return status
}

// budget allows one retry for each ten requests.
type budget struct{ tenths atomic.Int64 }

// maxTenths lets the retries of one lost target pass at once, and no more after a quiet time.
const maxTenths = 500

func (b *budget) earn() {
	if b.tenths.Load() < maxTenths {
		b.tenths.Add(1)
	}
}

func (b *budget) spend() bool {
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
