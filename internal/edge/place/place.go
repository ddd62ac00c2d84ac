package place

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// Config configures a Placer.
type Config struct {
	Host       string // ID of this host.
	DataCentre string
	Region     string
	Regions    map[string]string // Region by data centre.
	Ejection   func(Ejection)    // Called for each ejection of a target; must not block. Nil means none.

	LimitChange func(LimitChange) // Called when the limit of a target changes; must not block. Nil means none.
	SpeedChange func(SpeedChange) // Called when a target is found slow or recovered; must not block. Nil means none.

	Features   steer.Features
	Deployment steer.Deployment
}

// Ejection says that a target gets no requests for some time after consecutive failures.
type Ejection struct {
	Target    string // ID of the target.
	Period    time.Duration
	Failures  int  // Consecutive failures.
	FromPeers bool // Other hosts observed the last failures.
	SlowStart bool // The target may have restarted, and gets few requests at first after the ejection.
}

// Request describes a request for which a target is chosen.
type Request struct {
	Service      string
	Class        string        // Requests of one class take about the same work.
	Objective    time.Duration // Latency objective; 0 means none.
	Key          string        // Object of the request. Requests for one object go to one target while it has room.
	FallbackHash uint64        // Used in place of the key's hash if Key is empty.
	Regions      []string      // Regions in which the request may run; empty allows all.
	AlsoRegions  []string      // Second restriction of the regions, which applies besides Regions; empty allows all.
	Priority     int           // 0 is the most urgent.
	Tried        []string      // IDs of the targets that the request was already sent to.
	TimeLeft     time.Duration // Time until the deadline of the request.
	LargeAnswer  bool          // The answer is large, so it should not cross data centres.

	BodyBytes int64 // Size of the request's body.

	avoidsLimits bool // The request leaves targets with limits to more urgent ones.
}

// Choice is the target chosen for a request. The caller passes it to Placer.Done exactly once.
type Choice struct {
	Target        *belief.RegisteredTarget
	EstimatedLoad float64           // Load of the target on which the choice is based, in requests.
	ReportAge     time.Duration     // Age of the report behind that load; negative without a report.
	Home          bool              // The target is the first choice for the key.
	Limit         steer.TargetLimit // Limit that the target is known to have named.
	class         string
	loadPerSlot   float64
	object        uint64 // Hash of the object; 0 if the request concerns none.
	bodyBytes     int64
	targetState   *targetState
	started       time.Time
}

// Outcome is the result of a request at a target.
type Outcome struct {
	Latency        time.Duration
	Load           *steer.TargetLoad  // Load that the target reported; nil if it reported none.
	Limit          *steer.TargetLimit // Limit in the answer; nil without an answer, or if it is malformed.
	Failed         bool               // No answer, or one that shows a fault of the target.
	TimedOut       bool               // No answer before the deadline of the request.
	ConnectionLost bool               // No connection, or one that ended without an answer. The target may have restarted.
	Shed           bool               // The target refused the request.
	Gone           bool               // Another target has the address.
	Inconclusive   bool               // Says nothing about the target: the caller left, or an idle connection had ended.
}

// Placer chooses targets. It is safe for concurrent use.
type Placer struct {
	config   Config
	mu       sync.Mutex
	services map[string]*service
	entries  []steer.HostEntry // Registered hosts of the last view.
	hosts    []fleetHost       // The hosts of entries.
}

// New returns a placer without targets. Update sets them.
func New(c Config) *Placer {
	if c.Ejection == nil {
		c.Ejection = func(Ejection) {}
	}
	if c.LimitChange == nil {
		c.LimitChange = func(LimitChange) {}
	}
	if c.SpeedChange == nil {
		c.SpeedChange = func(SpeedChange) {}
	}
	return &Placer{
		config:   c,
		services: map[string]*service{},
	}
}

// Fleet is the number of hosts that share the targets, this host included.
type Fleet struct {
	Hosts    int // Known hosts.
	MaxHosts int // Upper bound on the hosts that may exist. The rate to cold targets is divided by it.
}

// Update replaces the targets by those of a view, and sets the number of hosts that share them.
func (p *Placer) Update(now time.Time, view *belief.View, fleet Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fleet.Hosts = max(fleet.Hosts, 1)
	fleet.MaxHosts = max(fleet.Hosts, fleet.MaxHosts)
	for name, s := range p.services {
		if len(view.Targets[name]) == 0 {
			s.update(now, nil, view, p.config, fleet)
		}
	}
	for name, list := range view.Targets {
		s := p.services[name]
		if s == nil {
			s = newService(p.config)
			p.services[name] = s
		}
		s.update(now, list, view, p.config, fleet)
		s.hosts = p.hosts
	}
	if !slices.Equal(view.Hosts, p.entries) {
		p.setHosts(view.Hosts)
	}
}

// setHosts sets the registered hosts and recomputes the shares of limits.
func (p *Placer) setHosts(entries []steer.HostEntry) {
	p.entries, p.hosts = entries, newFleetHosts(entries, p.config.Host)
	for _, s := range p.services {
		s.hosts = p.hosts
		for _, t := range s.targets {
			t.updateLimitShare()
		}
	}
}

// Pick chooses a target. If none can serve the request in time, it returns a refusal with the time to retry after.
func (p *Placer) Pick(now time.Time, request Request) (Choice, *steer.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[request.Service]
	if s == nil || len(s.targets) == 0 {
		return Choice{}, newRefusal(steer.ReasonNoTarget, noTargetRetryAfter)
	}
	s.refresh(now)
	position, hash := positionAndHash(request)
	d := s.choose(now, request, position, hash, p.config)
	best := d.target
	if best == nil {
		if d.reason == steer.ReasonCapacity || d.reason == steer.ReasonTargetLimit {
			s.yielding.record(now, request.Priority, false)
		}
		return Choice{}, newRefusal(d.reason, s.retryAfter())
	}
	s.yielding.record(now, request.Priority, true)
	choice := Choice{
		Target:        best.target,
		EstimatedLoad: best.estimatedLoad(now),
		ReportAge:     best.reportAge(now),
		Home:          best == d.first,
		Limit:         best.namedLimit(),
		class:         request.Class,
		loadPerSlot:   best.loadPerSlot(now),
		bodyBytes:     request.BodyBytes,
		targetState:   best,
		started:       now,
	}
	if request.Key != "" {
		choice.object = hash
	}
	best.inFlight++
	best.bodyBytes += request.BodyBytes
	s.recordSent(&choice)
	return choice, nil
}

// Done records the outcome of a request.
func (p *Placer) Done(now time.Time, c Choice, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[c.Target.Service] // Services are never dropped.
	c.targetState.bodyBytes -= c.bodyBytes
	c.targetState.finish(now, c.started, o)
	s.observeSpeed(now, &c, &o)
	if o.Inconclusive {
		return
	}
	// The work of a class is that at the median target.
	latency := time.Duration(float64(o.Latency) / c.targetState.noticedSlowness(now))
	switch {
	case o.TimedOut:
		s.recordLatency(c.class, latency, c.loadPerSlot, false)
	case !o.Failed && !o.Shed:
		if s.usesCopies() || s.usesSpeed() {
			s.objects.remember(now, c.targetState, c.object)
		}
		s.recordLatency(c.class, latency, c.loadPerSlot, true)
	}
}

// Notes returns the observations of targets since the last call that other hosts need.
func (p *Placer) Notes(now time.Time) []steer.TargetObservation {
	return collect(p, func(t *targetState) (steer.TargetObservation, bool) { return t.note(now) })
}

// MergeNotes applies the notes of other hosts.
func (p *Placer) MergeNotes(now time.Time, notes []steer.TargetObservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		for t := range p.target(note.Target) {
			t.merge(now, note)
		}
	}
}

// LimitNotes returns the limits of targets that other hosts must learn.
func (p *Placer) LimitNotes(now time.Time) []steer.LimitObservation {
	return collect(p, func(t *targetState) (steer.LimitObservation, bool) { return t.limitNote(now) })
}

// MergeLimitNotes applies the limits that other hosts saw.
func (p *Placer) MergeLimitNotes(now time.Time, notes []steer.LimitObservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		for t := range p.target(note.Target) {
			t.mergeLimit(now, note)
		}
	}
}

// collect returns the notes of all targets that have one.
func collect[N any](p *Placer, note func(t *targetState) (N, bool)) []N {
	p.mu.Lock()
	defer p.mu.Unlock()
	var notes []N
	for _, s := range p.services {
		for _, t := range s.targets {
			if n, ok := note(t); ok {
				notes = append(notes, n)
			}
		}
	}
	return notes
}

// target yields what is known of the target with an ID, by service. The caller holds the mutex.
func (p *Placer) target(id string) iter.Seq[*targetState] {
	return func(yield func(*targetState) bool) {
		for _, s := range p.services {
			if t := s.targets[id]; t != nil && !yield(t) {
				return
			}
		}
	}
}

// ReportsWorkFactor reports whether a target of a service has reported a work factor.
func (p *Placer) ReportsWorkFactor(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	return s != nil && s.reportsWorkFactor()
}

// RegionOf returns the region at whose targets a request is tried first, or "" if there is none.
func (p *Placer) RegionOf(_ time.Time, request Request) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[request.Service]
	if s == nil {
		return ""
	}
	position, _ := positionAndHash(request)
	return s.regionOf(request, position, p.config)
}

// SetDemand sets the mean fraction of all requests that comes from each region.
func (p *Placer) SetDemand(demand map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.demand = nil
		if s.uses(s.features.DemandShares) {
			s.demand = demand
		}
	}
}

// newRefusal returns a refusal of a request that was not sent.
func newRefusal(reason steer.Reason, retryAfter time.Duration) *steer.Refusal {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// positionAndHash returns the position of a request's key in [0, 1), which selects its region, and its hash, which selects
// its target there.
func positionAndHash(request Request) (float64, uint64) {
	hash := request.FallbackHash
	if request.Key != "" {
		hash = xxhash.Sum64String(request.Key)
	}
	hash = mix(hash)
	return float64(mix(hash^positionSalt)>>11) / (1 << 53), hash
}

// positionSalt makes the position of a key independent of the order in which it prefers targets.
const positionSalt = 0x9e3779b97f4a7c15

// mix mixes the bits of a hash. It is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// allowsRegion reports whether the request may run in a region.
func (r *Request) allowsRegion(region string) bool {
	return (len(r.Regions) == 0 || slices.Contains(r.Regions, region)) &&
		(len(r.AlsoRegions) == 0 || slices.Contains(r.AlsoRegions, region))
}

// onlyRegion returns the region of a request that may run in one region only, and "" for other requests.
func (r *Request) onlyRegion() string {
	switch {
	case len(r.Regions) == 1:
		return r.Regions[0]
	case len(r.AlsoRegions) == 1:
		return r.AlsoRegions[0]
	default:
		return ""
	}
}
