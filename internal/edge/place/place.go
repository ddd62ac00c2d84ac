package place

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// Config configures a Placer.
type Config struct {
	DataCentre string
	Region     string
	Regions    map[string]string // Region by data centre.
	Ejection   func(Ejection)    // Called when a target is left alone. It must not block. Nil means none.
}

// Ejection says that a target is left alone.
type Ejection struct {
	Target    string
	Period    time.Duration
	Failures  int  // Failures in a row.
	FromPeers bool // Other hosts saw the last ones.
	SlowStart bool // It may have started anew, and gets few requests afterwards.
}

// Request describes a request that needs a target.
type Request struct {
	Service      string
	Class        string        // Requests of one class take about the same work.
	Objective    time.Duration // Time within which the answer is in time.
	Key          string        // Object of the request; requests for the same one go to the same target while it has room.
	FallbackHash uint64        // Stands in for the key when there is none.
	Regions      []string      // Regions in which it may run; empty allows all.
	AlsoRegions  []string      // A second such bound.
	Priority     int           // 0 is the most urgent.
	Tried        []string      // Targets that it was sent to.
	TimeLeft     time.Duration
}

// Choice is a target that a request is sent to. Done must be called exactly once.
type Choice struct {
	Target        *belief.RegisteredTarget
	EstimatedLoad float64       // Load of the target that decided, in requests.
	ReportAge     time.Duration // Age of the report behind it; negative without one.
	Home          bool          // It is the first choice for the key.
	class         string
	use           float64
	node          *node
	started       time.Time
}

// Outcome is what became of a request at a target.
type Outcome struct {
	Latency        time.Duration
	Load           *steer.TargetLoad // What the target reported; nil for nothing.
	Failed         bool              // No answer, or one that says that the target is unwell.
	TimedOut       bool              // No answer within the time that the request had.
	ConnectionLost bool              // No connection, or one that ended without an answer: the target may have started anew.
	Shed           bool              // The target refused.
	Gone           bool              // Another target has the address.
	Inconclusive   bool              // It says nothing of the target: the caller left, or an idle connection was forgotten.
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	config   Config
	mu       sync.Mutex
	services map[string]*service
}

// New returns a placer that knows no target yet.
func New(c Config) *Placer {
	if c.Ejection == nil {
		c.Ejection = func(Ejection) {}
	}
	return &Placer{
		config:   c,
		services: map[string]*service{},
	}
}

// Fleet is the number of hosts that share the targets.
type Fleet struct {
	Hosts    int // As far as this host knows.
	MaxHosts int // That there may be: each sends no more to cold targets than they tolerate from so many.
}

// Update takes a new view and the hosts that share the targets.
func (p *Placer) Update(now time.Time, view *belief.View, hosts Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts.Hosts = max(hosts.Hosts, 1)
	hosts.MaxHosts = max(hosts.Hosts, hosts.MaxHosts)
	for name, s := range p.services {
		if len(view.Targets[name]) == 0 {
			s.adopt(now, nil, view, p.config, hosts)
		}
	}
	for name, list := range view.Targets {
		s := p.services[name]
		if s == nil {
			s = newService(p.config.Ejection)
			p.services[name] = s
		}
		s.adopt(now, list, view, p.config, hosts)
	}
}

// Pick chooses a target. It fails with a refusal that says when to return.
func (p *Placer) Pick(now time.Time, ask Request) (Choice, *steer.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[ask.Service]
	if s == nil || len(s.nodes) == 0 {
		return Choice{}, refuse(steer.ReasonNoTarget, absentReturn)
	}
	s.move(now)
	position, hash := keyOf(ask)
	best, home, reason := s.choose(now, ask, position, hash, p.config)
	if best == nil {
		return Choice{}, refuse(reason, s.returnAfter())
	}
	choice := Choice{
		Target:        best.target,
		EstimatedLoad: best.estimate(now),
		ReportAge:     best.age(now),
		Home:          home,
		class:         ask.Class,
		use:           best.use(now),
		node:          best,
		started:       now,
	}
	best.flight++
	return choice, nil
}

// Done takes the outcome of a request.
func (p *Placer) Done(now time.Time, c Choice, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[c.Target.Service] // Services are never dropped.
	c.node.finish(now, c.started, o)
	if o.Inconclusive {
		return
	}
	switch {
	case o.TimedOut:
		s.learn(c.class, o.Latency, c.use, false)
	case !o.Failed && !o.Shed:
		s.learn(c.class, o.Latency, c.use, true)
	}
}

// Notes returns what this host saw of targets since the last call and other hosts should know.
func (p *Placer) Notes(now time.Time) []steer.TargetObservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notes []steer.TargetObservation
	for _, s := range p.services {
		for _, n := range s.nodes {
			if note, ok := n.note(now); ok {
				notes = append(notes, note)
			}
		}
	}
	return notes
}

// MergeNotes takes notes of other hosts.
func (p *Placer) MergeNotes(now time.Time, notes []steer.TargetObservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		for _, s := range p.services {
			if n := s.nodes[note.Target]; n != nil {
				n.learn(now, note)
			}
		}
	}
}

// refuse returns a refusal of a request that was not sent.
func refuse(reason steer.Reason, after time.Duration) *steer.Refusal {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		RetryAfter: after,
	}
}

// keyOf returns the position of a key in [0, 1), which decides its region, and its hash, which decides its target there.
func keyOf(ask Request) (float64, uint64) {
	hash := ask.FallbackHash
	if ask.Key != "" {
		hash = xxhash.Sum64String(ask.Key)
	}
	hash = mix(hash)
	return float64(mix(hash^positionSalt)>>11) / (1 << 53), hash
}

// positionSalt makes the position of a key independent of its order of targets.
const positionSalt = 0x9e3779b97f4a7c15

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// allowed reports whether a request may run in a region.
func (a *Request) allowed(region string) bool {
	return (len(a.Regions) == 0 || slices.Contains(a.Regions, region)) &&
		(len(a.AlsoRegions) == 0 || slices.Contains(a.AlsoRegions, region))
}

// only returns the region if the request may run in one only.
func (a *Request) only() string {
	switch {
	case len(a.Regions) == 1:
		return a.Regions[0]
	case len(a.AlsoRegions) == 1:
		return a.AlsoRegions[0]
	default:
		return ""
	}
}
