package place

import (
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/speed"
)

const (
	// maxReferences bounds the classes and regions of a service whose usual work is tracked.
	maxReferences = 1024

	// maxSpeedNotes bounds the targets of which other hosts are told in one round.
	maxSpeedNotes = 64

	// foundSlow is the slowness from which a target is reported as slow, and foundRecovered that below which it is reported as recovered.
	foundSlow      = 2.0
	foundRecovered = 1.4

	// tellFirst is the factor from 1 from which the samples of a target are told before those of others.
	tellFirst = 1.25

	// overdueKnown and overdueUncertain are the multiples of the usual work after which a request without an answer counts as a sample, for an
	// object that the target knows and for others. A work factor of 2.5, and an unknown object, do not reach them. Each time the
	// multiple has doubled it counts again. Without that, a target that is 12 times slower is known only after the timeout of its requests.
	overdueKnown     = 3.0
	overdueUncertain = 4.5

	// lowCapacity is the fraction of its slots below which the capacity of a target counts as low in SpeedSummary.
	lowCapacity = 0.75
)

// SpeedChange says that a target was found slow, or recovered.
type SpeedChange struct {
	Target      string // ID of the target.
	Slow        bool
	Slowness    float64 // As in speed.Estimator.
	Capacity    float64 // Requests in progress that it takes without slowing down.
	OwnSamples  int     // Samples of this host behind the estimate.
	PeerSamples int     // Samples of other hosts behind it.
}

// SpeedSummary counts targets by their speed.
type SpeedSummary struct {
	Measured    int // Targets with samples.
	Slow        int // Targets that are reported as slow.
	LowCapacity int // Targets whose capacity is well below their slots.
}

// TargetSpeed is what is known of the speed of a target.
type TargetSpeed struct {
	Target string // ID.
	InUse  bool   // Requests are placed by it.
	speed.Explanation
}

// targetSpeed is the estimate of a target.
type targetSpeed struct {
	estimator *speed.Estimator // Nil without samples.
	slow      bool             // The target was reported as slow.
	sent      []sentRequest    // Requests of this host in progress.
}

// sentRequest is a request in progress.
type sentRequest struct {
	started time.Time
	class   string
	object  uint64
	load    float64       // Requests at the target, this one included.
	overdue time.Duration // Age at which it counts as a sample; 0 if it was not computed yet.
}

// serviceSpeeds is what the estimates of a service's targets have in common.
type serviceSpeeds struct {
	workFactors bool // A target reported a work factor.
	onChange    func(SpeedChange)
	references  map[referenceKey]*speed.Reference
}

// referenceKey identifies requests of about the same work at the same distance.
type referenceKey struct {
	class  string
	region string // Home region of the targets.
}

func newServiceSpeeds(c Config) serviceSpeeds {
	return serviceSpeeds{
		onChange:   c.SpeedChange,
		references: map[referenceKey]*speed.Reference{},
	}
}

// reportsWorkFactor reports whether a target of the service has reported a work factor.
func (s *service) reportsWorkFactor() bool { return s.speeds.workFactors }

// usesSpeed reports whether the speed of targets is learned and used.
func (s *service) usesSpeed() bool { return s.uses(s.features.TargetSpeed) }

// uses reports whether a feature with the given mode is in use for the service.
func (s *service) uses(mode steer.Mode) bool {
	return mode.Enabled(s.contested || s.reportsWorkFactor())
}

// slowness returns the time that the target takes relative to the median target of the service: above 1 it is slower. It is 1
// while nothing is known, or the feature is not in use.
func (t *targetState) slowness(now time.Time) float64 {
	if t.speed.estimator == nil || !t.service.usesSpeed() {
		return 1
	}
	return t.speed.estimator.Slowness(now)
}

// capacity returns the number of requests in progress up to which the target does not slow down, from 1 to its slots. It is the
// number of its slots while nothing is known, or the feature is not in use.
func (t *targetState) capacity(now time.Time) float64 {
	if t.speed.estimator == nil || !t.service.usesSpeed() {
		return t.slots()
	}
	return t.speed.estimator.Capacity(now)
}

// estimator returns the estimator of the target, and creates it if needed.
func (t *targetState) estimator() *speed.Estimator {
	if t.speed.estimator == nil {
		t.speed.estimator = speed.New(speed.Config{
			Slots: t.slots(),
		})
	}
	t.speed.estimator.SetSlots(t.slots())
	return t.speed.estimator
}

// recordSent records that a request was sent.
func (s *service) recordSent(c *Choice) {
	if !s.usesSpeed() {
		return
	}
	t := c.targetState
	t.speed.sent = append(t.speed.sent, sentRequest{
		started: c.started,
		class:   c.class,
		object:  c.object,
		load:    c.EstimatedLoad + 1,
	})
}

// recordEnd records that a request is no longer in progress.
func (t *targetState) recordEnd(c *Choice) {
	same := func(r sentRequest) bool {
		return r.started.Equal(c.started) && r.object == c.object && r.class == c.class
	}
	if i := slices.IndexFunc(t.speed.sent, same); i >= 0 {
		t.speed.sent = slices.Delete(t.speed.sent, i, i+1)
	}
}

// observeOverdue learns from requests without an answer that take much longer than usual.
func (s *service) observeOverdue(now time.Time, t *targetState) {
	for i := range t.speed.sent {
		r := &t.speed.sent[i]
		known := s.objects.knows(now, t, r.object)
		work := s.speeds.reference(r.class, t.target.HomeRegion).Work()
		age := now.Sub(r.started)
		if r.overdue == 0 {
			multiple := overdueUncertain
			if known {
				multiple = overdueKnown
			}
			r.overdue = time.Duration(multiple * float64(work) * math.Max(1, r.load/t.slots()))
		}
		if work == 0 || age < r.overdue {
			continue
		}
		r.overdue = 2 * age
		t.estimator().Observe(now, speed.Sample{
			Latency:      age,
			Load:         r.load,
			ExpectedWork: work,
			KnownObject:  known,
			InProgress:   true,
		})
	}
}

// observeSpeed learns from the outcome of a request. Refusals, failures and lost connections say nothing about the speed.
func (s *service) observeSpeed(now time.Time, c *Choice, o *Outcome) {
	factor := 0.0
	if o.Load != nil {
		factor = o.Load.WorkFactor
	}
	s.speeds.workFactors = s.speeds.workFactors || factor > 0
	c.targetState.recordEnd(c)
	if !s.usesSpeed() || o.Inconclusive || o.Gone || o.Shed || o.Failed && !o.TimedOut {
		return
	}
	t := c.targetState
	e := t.estimator()
	sample := speed.Sample{
		Latency:     o.Latency,
		Load:        c.EstimatedLoad + 1,
		KnownObject: s.objects.knows(now, t, c.object),
		WorkFactor:  factor,
		Answered:    !o.TimedOut,
	}
	reference := s.speeds.reference(c.class, t.target.HomeRegion)
	sample.ExpectedWork = reference.Work()
	if sample.Answered {
		reference.Observe(e.Work(sample), e.Gap(now), sample.KnownObject)
	}
	e.Observe(now, sample)
}

// reference returns the usual work of a class at the targets of a region.
func (p *serviceSpeeds) reference(class, region string) *speed.Reference {
	key := referenceKey{
		class:  class,
		region: region,
	}
	r := p.references[key]
	if r == nil {
		if len(p.references) >= maxReferences {
			clear(p.references)
		}
		r = &speed.Reference{}
		p.references[key] = r
	}
	return r
}

// SpeedNotes returns the samples of targets that other hosts need, at most maxSpeedNotes targets. Slow and fast targets come first. The
// others wait for the next call in a random order.
func (p *Placer) SpeedNotes(now time.Time) []steer.SpeedObservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		for _, t := range s.targets {
			s.observeOverdue(now, t)
		}
	}
	var notes, later []*targetState
	for t := range p.estimated() {
		t.reportSpeed(now)
		if math.Abs(math.Log(t.slowness(now))) > math.Log(tellFirst) {
			notes = append(notes, t)
		} else {
			later = append(later, t)
		}
	}
	var out []steer.SpeedObservation
	for _, t := range append(notes, later...) {
		if len(out) == maxSpeedNotes {
			break
		}
		if report, ok := t.speed.estimator.Report(now); ok {
			out = append(out, steer.SpeedObservation{
				Target:  t.target.ID,
				Samples: report.Samples,
			})
		}
	}
	return out
}

// MergeSpeedNotes applies the samples that other hosts saw. Each note must be merged once only.
func (p *Placer) MergeSpeedNotes(now time.Time, notes []steer.SpeedObservation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, note := range notes {
		for t := range p.target(note.Target) {
			if t.service.usesSpeed() {
				t.estimator().Merge(now, speed.Report{
					Samples: note.Samples,
				})
			}
		}
	}
}

// estimated yields the targets with an estimate that is in use. The caller holds the mutex.
func (p *Placer) estimated() func(yield func(*targetState) bool) {
	return func(yield func(*targetState) bool) {
		for _, s := range p.services {
			if !s.usesSpeed() {
				continue
			}
			for _, t := range s.targets {
				if t.speed.estimator != nil && !yield(t) {
					return
				}
			}
		}
	}
}

// reportSpeed reports that the target was found slow or recovered.
func (t *targetState) reportSpeed(now time.Time) {
	slowness := t.slowness(now)
	if t.speed.slow == (slowness > foundRecovered) || !t.speed.slow && slowness < foundSlow {
		return
	}
	t.speed.slow = !t.speed.slow
	x := t.speed.estimator.Explain(now)
	t.service.speeds.onChange(SpeedChange{
		Target:      t.target.ID,
		Slow:        t.speed.slow,
		Slowness:    x.Slowness,
		Capacity:    x.Capacity,
		OwnSamples:  x.OwnSamples,
		PeerSamples: x.PeerSamples,
	})
}

// SpeedSummary counts targets by their speed, as of the last SpeedNotes.
func (p *Placer) SpeedSummary(now time.Time) SpeedSummary {
	p.mu.Lock()
	defer p.mu.Unlock()
	var summary SpeedSummary
	for t := range p.estimated() {
		summary.Measured++
		if t.speed.slow {
			summary.Slow++
		}
		if t.capacity(now) < lowCapacity*t.slots() {
			summary.LowCapacity++
		}
	}
	return summary
}

// TargetSpeeds returns what is known of the speed of the targets of a service.
func (p *Placer) TargetSpeeds(now time.Time, name string) []TargetSpeed {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return nil
	}
	out := make([]TargetSpeed, 0, len(s.targets))
	for id, t := range s.targets {
		e := t.speed.estimator
		if e == nil {
			e = speed.New(speed.Config{
				Slots: t.slots(),
			})
		}
		out = append(out, TargetSpeed{
			Target:      id,
			InUse:       s.usesSpeed(),
			Explanation: e.Explain(now),
		})
	}
	return out
}
