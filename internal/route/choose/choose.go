package choose

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

// Config configures a Picker.
type Config struct {
	DataCentre string // The own data centre; targets elsewhere are never chosen.
	Source     steer.Source
	Reports    steer.Reports    // Nil means no reports.
	HostCount  func() int       // Entry hosts of the data centre, this one included; nil means 1. Called every 100 ms.
	Seed       uint64           // Of the random choices.
	Logger     log.Logger       // Nil means no logging.
	Metrics    metrics.Registry // Nil means a private registry.
}

// State of a target as this host sees it.
type State string

// States.
const (
	Ready   State = "ready"
	Warming State = "warming" // In slow start.
	Ejected State = "ejected" // Gets no work but single probes.
	Leaving State = "leaving" // Gets no new work.
)

// Status is the state of one target for the operator API.
type Status struct {
	ID           string
	Service      string
	State        State
	InFlight     int
	Latency      time.Duration // Average.
	ReportedLoad float64       // Busy slots as a fraction of all; -1 without a report.
	ReportAge    time.Duration // -1 without a report.
}

// Picker implements steer.Chooser.
type Picker struct {
	config  Config
	logger  log.Logger
	epoch   time.Time // Times of targets are kept in nanoseconds since the epoch.
	mu      sync.Mutex
	current atomic.Pointer[view]

	ejections metrics.Counter
	returns   metrics.Counter
	probes    metrics.Counter
	refusals  metrics.Counter
}

// view is the state for one version of the configuration.
type view struct {
	config   *steer.Config
	services map[string]*service
}

// New returns a Picker. It starts no goroutine.
func New(c Config) *Picker {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.HostCount == nil {
		c.HostCount = func() int { return 1 }
	}
	p := &Picker{
		config:    c,
		logger:    log.With(c.Logger, "part", "choose"),
		epoch:     time.Now().Add(-time.Nanosecond), // So that no time of use is 0, which stands for never.
		ejections: metrics.GetOrRegisterCounter("choose-ejections", c.Metrics),
		returns:   metrics.GetOrRegisterCounter("choose-returns", c.Metrics),
		probes:    metrics.GetOrRegisterCounter("choose-probes", c.Metrics),
		refusals:  metrics.GetOrRegisterCounter("choose-refusals", c.Metrics),
	}
	p.current.Store(&view{})
	return p
}

// Choose implements steer.Chooser. Done takes an outcome with the verdict Ran and without Failed or Shed as a success.
func (p *Picker) Choose(now time.Time, service string, tried []string) (steer.Choice, error) {
	if s := p.view(now).services[service]; s != nil && len(tried) == 0 {
		s.budget.earn()
	}
	choice, err := p.choose(now, service, tried)
	return choice, p.refused(err)
}

func (p *Picker) choose(now time.Time, service string, tried []string) (steer.Choice, error) {
	s := p.view(now).services[service]
	if s == nil {
		return steer.Choice{}, refuse(steer.ReasonNoTarget)
	}
	at := p.since(now)
	s.upkeep(at)
	r := s.roster.Load()
	// A retry is not used as a probe, since it has failed once already.
	if len(tried) == 0 {
		if m := s.due(r, at); m != nil {
			p.probes.Inc(1)
			return s.start(m, at, true), nil
		}
	}
	if m := s.better(r, at, tried); m != nil && m.take(at, s.limit(m, at, r.ramp)) {
		return s.start(m, at, false), nil
	}
	m, reason := s.best(r, at, tried)
	if reason == steer.ReasonNoTarget && m == nil {
		// All that are not ejected may have left since the last upkeep.
		s.keepFloor(at)
		m, reason = s.best(r, at, tried)
	}
	if m == nil {
		return steer.Choice{}, refuse(reason)
	}
	return s.start(m, at, false), nil
}

// Ready implements steer.Chooser. Targets at their in-flight bound are counted, since that lasts for milliseconds.
func (p *Picker) Ready(now time.Time, service string) int {
	s := p.view(now).services[service]
	if s == nil {
		return 0
	}
	at := p.since(now)
	count := 0
	for _, m := range s.roster.Load().members {
		if !s.leaving(m, at) && m.ejectedUntil.Load() == 0 {
			count++
		}
	}
	return count
}

// Retry implements steer.Chooser.
func (p *Picker) Retry(service string) bool {
	s := p.current.Load().services[service]
	return s != nil && s.budget.spend()
}

// State returns the state of all targets of the own data centre, ordered by service and id.
func (p *Picker) State(now time.Time) []Status {
	var all []Status
	at := p.since(now)
	for name, s := range p.view(now).services {
		r := s.roster.Load()
		for _, m := range r.members {
			all = append(all, s.status(name, m, at, r.ramp))
		}
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// view returns the state for the configuration in force. A version that has just come into force is taken up before the
// choice, so that a target marked as leaving gets nothing more.
func (p *Picker) view(now time.Time) *view {
	v := p.current.Load()
	if config := p.config.Source.Current(); config == nil || v.config == config {
		return v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v = p.current.Load()
	config := p.config.Source.Current()
	if v.config == config {
		return v
	}
	next := &view{
		config:   config,
		services: make(map[string]*service, len(config.Services)),
	}
	for name, spec := range config.Services {
		s := v.services[name]
		if s == nil {
			s = newService(p, name)
		}
		// Targets of the first configuration have been serving other hosts, so they are not cold.
		if s.adopt(spec, p.since(now), v.config != nil) {
			next.services[name] = s
		}
	}
	p.current.Store(next)
	_ = level.Info(p.logger).Log("msg", "Targets in force.", "version", config.Version, "services", len(next.services))
	return next
}

// since turns a time into nanoseconds since the epoch, at least 1.
func (p *Picker) since(now time.Time) int64 { return max(int64(now.Sub(p.epoch)), 1) }

// refused counts a refusal.
func (p *Picker) refused(err error) error {
	if err != nil {
		p.refusals.Inc(1)
	}
	return err
}

func refuse(reason steer.Reason) error {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     503,
		RetryAfter: time.Second,
	}
}
