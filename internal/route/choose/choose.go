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
	DataCentre string // The data centre of this host; targets in others are never chosen.
	Source     steer.Source
	Reports    steer.Reports    // Nil means no reports.
	HostCount  func() int       // Returns the number of entry hosts in the data centre; nil means 1. Called every 100 ms.
	Seed       uint64           // Seeds the random choices.
	Logger     log.Logger       // Nil means no logging.
	Metrics    metrics.Registry // Nil means a private registry.
}

// State is the state of a target as this host sees it.
type State string

// States.
const (
	Ready   State = "ready"
	Warming State = "warming" // In slow start.
	Ejected State = "ejected" // Gets no requests except single probes.
	Leaving State = "leaving" // Gets no new requests.
)

// Status is the state of one target for the operator API.
type Status struct {
	ID           string
	Service      string
	State        State
	InFlight     int
	Latency      time.Duration // Average, failures not counted.
	ReportedLoad float64       // Busy slots as a fraction of all slots; -1 without a report.
	ReportAge    time.Duration // -1 without a report.
}

// Picker implements steer.Chooser.
type Picker struct {
	config  Config
	logger  log.Logger
	epoch   time.Time // Times in targetState are nanoseconds since the epoch.
	mu      sync.Mutex
	current atomic.Pointer[snapshot]

	ejections    metrics.Counter
	readmissions metrics.Counter
	probes       metrics.Counter
	refusals     metrics.Counter
}

// snapshot holds the services of one version of the configuration.
type snapshot struct {
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
		config:       c,
		logger:       log.With(c.Logger, "part", "choose"),
		epoch:        time.Now().Add(-time.Nanosecond), // Makes all later times positive, since 0 stands for never.
		ejections:    metrics.GetOrRegisterCounter("choose-ejections", c.Metrics),
		readmissions: metrics.GetOrRegisterCounter("choose-returns", c.Metrics),
		probes:       metrics.GetOrRegisterCounter("choose-probes", c.Metrics),
		refusals:     metrics.GetOrRegisterCounter("choose-refusals", c.Metrics),
	}
	p.current.Store(&snapshot{})
	return p
}

// Choose implements steer.Chooser. The Done function of the choice counts an outcome as a success if its verdict is Ran
// and neither Failed nor Shed is set.
func (p *Picker) Choose(now time.Time, service string, tried []string) (steer.Choice, error) {
	if s := p.snapshot(now).services[service]; s != nil && len(tried) == 0 {
		s.retryBudget.deposit()
	}
	choice, err := p.choose(now, service, tried)
	return choice, p.countRefusal(err)
}

func (p *Picker) choose(now time.Time, service string, tried []string) (steer.Choice, error) {
	s := p.snapshot(now).services[service]
	if s == nil {
		return steer.Choice{}, newRefusal(steer.ReasonNoTarget)
	}
	at := p.sinceEpoch(now)
	s.maintain(at)
	pl := s.pool.Load()
	// A retry is not used as a probe, since the request has already failed once.
	if len(tried) == 0 {
		if m := s.dueProbe(pl, at); m != nil {
			p.probes.Inc(1)
			return s.newChoice(m, at, true), nil
		}
	}
	if m := s.pickOfTwo(pl, at, tried); m != nil && m.acquire(at, s.inFlightLimit(m, at, pl.ramp)) {
		return s.newChoice(m, at, false), nil
	}
	m, reason := s.leastLoaded(pl, at, tried)
	if reason == steer.ReasonNoTarget && m == nil {
		// All targets that are not ejected may have started to leave since the last maintenance.
		s.enforceEjectionLimit(at)
		m, reason = s.leastLoaded(pl, at, tried)
	}
	if m == nil {
		return steer.Choice{}, newRefusal(reason)
	}
	return s.newChoice(m, at, false), nil
}

// Ready implements steer.Chooser. Targets at their in-flight bound count as ready, since they stay there only for
// milliseconds.
func (p *Picker) Ready(now time.Time, service string) int {
	s := p.snapshot(now).services[service]
	if s == nil {
		return 0
	}
	at := p.sinceEpoch(now)
	count := 0
	for _, m := range s.pool.Load().members {
		if !s.isLeaving(m, at) && m.ejectedUntil.Load() == 0 {
			count++
		}
	}
	return count
}

// Retry implements steer.Chooser.
func (p *Picker) Retry(service string) bool {
	s := p.current.Load().services[service]
	return s != nil && s.retryBudget.withdraw()
}

// State returns the status of each target in the data centre of this host, ordered by service and ID.
func (p *Picker) State(now time.Time) []Status {
	var all []Status
	at := p.sinceEpoch(now)
	for name, s := range p.snapshot(now).services {
		pl := s.pool.Load()
		for _, m := range pl.members {
			all = append(all, s.status(name, m, at, pl.ramp))
		}
	}
	slices.SortFunc(all, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// snapshot returns the snapshot for the configuration in force. It applies a new version before the choice is made, so
// that a target that the new version marks as leaving gets no more requests.
func (p *Picker) snapshot(now time.Time) *snapshot {
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
	next := &snapshot{
		config:   config,
		services: make(map[string]*service, len(config.Services)),
	}
	for name, spec := range config.Services {
		s := v.services[name]
		if s == nil {
			s = newService(p, name)
		}
		// Targets in the first configuration have been serving other hosts, so they are not cold.
		if s.updateTargets(spec, p.sinceEpoch(now), v.config != nil) {
			next.services[name] = s
		}
	}
	p.current.Store(next)
	_ = level.Info(p.logger).Log("msg", "Targets in force.", "version", config.Version, "services", len(next.services))
	return next
}

// sinceEpoch converts a time to nanoseconds since the epoch, at least 1.
func (p *Picker) sinceEpoch(now time.Time) int64 { return max(int64(now.Sub(p.epoch)), 1) }

// countRefusal counts err as a refusal unless it is nil, and returns it.
func (p *Picker) countRefusal(err error) error {
	if err != nil {
		p.refusals.Inc(1)
	}
	return err
}

func newRefusal(reason steer.Reason) error {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     503,
		RetryAfter: time.Second,
	}
}
