package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minUnknownRatio and maxUnknownRatio bound the ratios that say little if it is uncertain whether the target knows the object: an unknown
	// one takes about three times the work. The lower bound is closer to 3, so that targets that are twice as slow are found.
	minUnknownRatio = 2.25
	maxUnknownRatio = 4.3

	// unknownWeight is the part of the weight of a sample with such a ratio that counts at it. The rest counts at 1, so that a
	// target does not count as slow because it gets unknown objects only.
	unknownWeight = 0.45

	// decayTime is the time after which the weight of a sample has fallen to 1/e. With lowerQuantile, a slowdown is known
	// after about 1 s of steady samples, and a machine that is busy with other work for 0.6 s is not taken for one.
	decayTime = time.Second

	// maxGap bounds the time that one sample stands for, and the time between two samples in the decay of the older one. Three
	// samples that are further apart are enough to find a target slow, and two are not.
	maxGap = 400 * time.Millisecond

	// minGap is the time that a sample stands for at least.
	minGap = 20 * time.Millisecond

	// priorWeight is the weight, in seconds, up to which an assumed ratio of 1 completes the samples. minPriorWeight is its weight
	// if there are enough samples, and once the target counts as slow: few samples then suffice to confirm it.
	priorWeight    = 1.25
	minPriorWeight = 0.2

	// lowerQuantile is the quantile of the ratios that is the estimate. It is below the median because disturbances of single
	// requests make them slower.
	lowerQuantile = 0.4

	// slowBits is the binary logarithm of the slowness from which minPriorWeight applies.
	slowBits = 0.5

	// idleDelay and idleDecayTime say how an estimate without new samples approaches 1: after idleDelay, its logarithm falls with
	// the time constant idleDecayTime. The target gets more requests again step by step, and is found slow if it still is.
	idleDelay     = time.Second
	idleDecayTime = 3 * time.Second

	// maxRecoveryRate is the rate, in bits per second, at which the slowness of a recovered target falls. From 12 to 1 it takes 1.4 s.
	maxRecoveryRate = 2.5

	// maxSampleAge is the age from which samples do not count.
	maxSampleAge = 15 * time.Second

	// maxSamples bounds the samples of a target. thinInterval is the time within which only one of two samples is kept, so
	// that they cover a multiple of decayTime.
	maxSamples   = 40
	thinInterval = 50 * time.Millisecond

	// maxBits bounds the binary logarithm of the ratio of a sample, and minSlownessBits and maxSlownessBits that of the slowness.
	maxBits         = 6.0
	minSlownessBits = -2.0
	maxSlownessBits = 4.0

	// minWorkFactor and maxWorkFactor bound the work factors that are believed.
	minWorkFactor = 0.25
	maxWorkFactor = 10.0

	// factorLife is the time for which a target's work factor stays the same. The reported one holds for the last part of the
	// request.
	factorLife = 600 * time.Millisecond

	// usualFactorTime is the time constant of the usual work factor of a target. A factor counts relative to it, so that a target
	// that always reports the same factor is judged by its latencies alone.
	usualFactorTime = 5 * time.Second
)

// Binary logarithms of the bounds of the same names.
var (
	minUnknownBits = math.Log2(minUnknownRatio)
	maxUnknownBits = math.Log2(maxUnknownRatio)
)

// Config configures an Estimator.
type Config struct {
	Slots float64 // Requests that the target processes concurrently; at least 1 is assumed.
}

// Sample is the result of one request at the target.
type Sample struct {
	Latency      time.Duration
	Load         float64       // Requests at the target when it was sent, this one included.
	ExpectedWork time.Duration // Usual work of its class for an object that the target knows; 0 if unknown, then nothing is learned.
	KnownObject  bool          // The target probably knows the object. False if that is uncertain.
	WorkFactor   float64       // Work factor in the response; 0 if none was reported.
	Answered     bool          // False if there was no answer before the deadline, or is none yet. Latency is then a lower bound.
	InProgress   bool          // There is no answer yet. The sample is replaced by the next one of the request.
}

// Estimator estimates the slowness and the capacity of one target. It must be made with New. It is not safe for concurrent use.
type Estimator struct {
	slots       float64
	points      []point   // In the order of time.
	heardAt     time.Time // When the last sample was recorded.
	keepOlder   bool      // Which of two samples within thinInterval is kept next.
	knee        knee
	usualFactor float64   // Binary logarithm of the mean reported work factor.
	factorAt    time.Time // When usualFactor was last updated; zero if no factor was reported.

	bits       float64 // Binary logarithm of the slowness when the last sample was recorded.
	loadedBits float64 // The same with the effect of loads above the capacity.
	stale      bool    // Both must be computed again.
	slow       bool    // The target counted as slow at the last computation.

	slowness float64 // Slowness that was last returned; 0 if none was.
	shown    float64 // Its binary logarithm.
	shownAt  time.Time

	observedAt   time.Time      // When the last own sample was recorded; zero if there was none.
	pending      []pendingPoint // Own samples that other hosts have not been told.
	watchedUntil time.Time      // Until when other hosts are told all own samples.
}

// point is a sample after normalisation.
type point struct {
	at        time.Time // When the request was sent: a slow answer says nothing about the time at which it arrives.
	bits      float64   // Binary logarithm of the ratio of the work to the expected work.
	load      float64   // Requests at the target for each slot.
	progress  bool      // The request was in progress.
	uncertain bool      // The target may not know the object.
	peer      bool      // Another host sent the request.
}

// New returns an Estimator without samples: its slowness is 1, its capacity the slots of the target.
func New(c Config) *Estimator {
	return &Estimator{
		slots: math.Max(c.Slots, 1),
	}
}

// SetSlots sets the number of requests that the target processes concurrently.
func (e *Estimator) SetSlots(slots float64) { e.slots = math.Max(slots, 1) }

// Work returns the work of a request: its latency without the wait in the target's queue.
func (e *Estimator) Work(s Sample) time.Duration {
	return time.Duration(float64(s.Latency) / math.Max(1, s.Load/e.slots))
}

// Observe records the result of a request.
func (e *Estimator) Observe(now time.Time, s Sample) {
	if s.ExpectedWork <= 0 || s.Latency <= 0 {
		return
	}
	bits := math.Log2(e.Work(s).Seconds() / s.ExpectedWork.Seconds())
	bits = e.withoutFactor(now, bits, s)
	bits = math.Max(-maxBits, math.Min(maxBits, bits))
	if !s.Answered && bits <= math.Max(0, e.slownessBits(now)) {
		return // A lower bound that says nothing new.
	}
	p := point{
		at:        now.Add(-s.Latency),
		bits:      bits,
		load:      math.Max(0, s.Load) / e.slots,
		progress:  s.InProgress,
		uncertain: !s.KnownObject,
	}
	e.add(now, p)
	e.addPending(now, pendingPoint{
		point:   p,
		addedAt: now,
	})
	e.observedAt = now
}

// Clone returns a copy that shares no state with the estimator. It has no samples for other hosts.
func (e *Estimator) Clone() *Estimator {
	c := *e
	c.points, c.pending = slices.Clone(e.points), nil
	return &c
}

// Gap returns the time since the last own sample, or 0 if there was none.
func (e *Estimator) Gap(now time.Time) time.Duration {
	if e.observedAt.IsZero() {
		return 0
	}
	return now.Sub(e.observedAt)
}

// withoutFactor returns a logarithmic ratio without the effect of the reported work factor, and updates the usual factor of the
// target. The factor brings the ratio closer to 1 and not beyond, so that a target gains nothing by a false one.
func (e *Estimator) withoutFactor(now time.Time, bits float64, s Sample) float64 {
	if !(s.WorkFactor > 0) {
		return bits
	}
	factor := math.Log2(math.Max(minWorkFactor, math.Min(maxWorkFactor, s.WorkFactor)))
	excess := factor - e.usualFactor
	if !e.factorAt.IsZero() {
		elapsed := min(max(now.Sub(e.factorAt), 0), factorLife) // One response says nothing about a longer time.
		e.usualFactor += (factor - e.usualFactor) * (1 - math.Exp(-elapsed.Seconds()/usualFactorTime.Seconds()))
	}
	e.factorAt = now
	// The factor changed at a random time within the last factorLife. Before that it is taken to be the usual one.
	latency := e.Work(s).Seconds()
	covered := math.Min(latency, factorLife.Seconds())
	share := (covered - covered*covered/(2*factorLife.Seconds())) / latency
	corrected := bits + math.Log2(share*math.Exp2(-excess)+1-share)
	return math.Max(math.Min(bits, 0), math.Min(math.Max(bits, 0), corrected))
}

// add inserts a sample in the order of time and learns the capacity from it.
func (e *Estimator) add(now time.Time, p point) {
	expected := e.slownessBits(now)
	if !p.progress && math.Abs(e.unloaded(&p, e.Capacity(now))-expected) < maxKneeBits {
		e.knee.add(now, p, e.loadedBits)
	}
	i := len(e.points)
	for i > 0 && e.points[i-1].at.After(p.at) {
		i--
	}
	e.stale, e.heardAt = true, now
	if i > 0 && e.points[i-1].progress && p.at.Equal(e.points[i-1].at) {
		e.points[i-1] = p // The same request, of which more is known now.
		return
	}
	if i > 0 && p.at.Sub(e.points[i-1].at) < thinInterval {
		if e.keepOlder = !e.keepOlder; !e.keepOlder {
			e.points[i-1] = p
		}
		return
	}
	if len(e.points) == maxSamples {
		if i == 0 {
			return
		}
		e.points = slices.Delete(e.points, 0, 1)
		i--
	}
	e.points = slices.Insert(e.points, i, p)
}

// Slowness returns the time that the target takes relative to the median target of its service: above 1 it is slower. After a
// recovery it falls gradually, since a target gets more requests the less slow it is, at all hosts at once, and those for objects that
// it no longer knows take longer.
func (e *Estimator) Slowness(now time.Time) float64 {
	bits := e.slownessBits(now)
	if e.shown > math.Max(bits, 0) {
		bits = math.Max(bits, e.shown-maxRecoveryRate*max(now.Sub(e.shownAt), 0).Seconds())
	}
	e.shownAt = now
	if bits != e.shown || e.slowness == 0 {
		e.shown, e.slowness = bits, math.Exp2(bits)
	}
	return e.slowness
}

// slownessBits returns the binary logarithm of the slowness that follows from the samples.
func (e *Estimator) slownessBits(now time.Time) float64 {
	if len(e.points) == 0 {
		return 0
	}
	if e.stale {
		e.estimate(now)
	}
	if e.bits == 0 {
		return 0
	}
	idle := now.Sub(e.heardAt) - idleDelay
	if idle <= 0 {
		return e.bits
	}
	return e.bits * math.Exp(-idle.Seconds()/idleDecayTime.Seconds())
}

// estimate computes bits and loadedBits from the samples.
func (e *Estimator) estimate(now time.Time) {
	e.stale = false
	for len(e.points) > 0 && now.Sub(e.points[0].at) > maxSampleAge {
		e.points = slices.Delete(e.points, 0, 1)
	}
	capacity := e.Capacity(now)
	e.loadedBits = e.quantile(e.slots)
	e.bits = e.loadedBits
	if capacity < e.slots {
		e.bits = e.quantile(capacity)
	}
	e.slow = e.bits > slowBits
}

// weighted is a logarithmic ratio with its weight in seconds.
type weighted struct {
	bits   float64
	weight float64
}

// quantile returns the quantile of the samples that is the slowness, in bits, if the target has the given capacity.
func (e *Estimator) quantile(capacity float64) float64 {
	var buffer [maxSamples + 1]weighted
	list := buffer[:0]
	sum, age, prior := 0.0, 0.0, 0.0
	for i := len(e.points) - 1; i >= 0; i-- {
		p := &e.points[i]
		gap := maxGap.Seconds()
		if i > 0 {
			gap = math.Min(gap, math.Max(minGap.Seconds(), p.at.Sub(e.points[i-1].at).Seconds()))
		}
		weight := gap * math.Exp(-age/decayTime.Seconds())
		age += gap
		sum += weight
		prior += weight * (1 - p.weight())
		list = append(list, weighted{
			bits:   e.unloaded(p, capacity),
			weight: weight * p.weight(),
		})
	}
	total := sum + minPriorWeight
	if !e.slow {
		total = math.Max(total, priorWeight)
	}
	list = append(list, weighted{
		weight: prior + total - sum,
	})
	slices.SortFunc(list, func(a, b weighted) int { return cmp.Compare(a.bits, b.bits) })
	left := lowerQuantile * total
	for _, w := range list {
		if left -= w.weight; left <= 0 {
			return math.Max(minSlownessBits, math.Min(maxSlownessBits, w.bits))
		}
	}
	return 0
}

// weight returns the weight of a sample relative to that of others.
func (p *point) weight() float64 {
	if p.uncertain && p.bits > minUnknownBits && p.bits < maxUnknownBits {
		return unknownWeight
	}
	return 1
}

// unloaded returns the logarithmic ratio of a sample without the effect of a load above the capacity. That of a load above the
// slots has been removed before.
func (e *Estimator) unloaded(p *point, capacity float64) float64 {
	return p.bits - queueBits(p.load, capacity/e.slots) + queueBits(p.load, 1)
}

// queueBits returns the binary logarithm of the factor by which requests take longer at a load above the capacity, both per slot.
func queueBits(load, capacity float64) float64 {
	if load <= capacity {
		return 0
	}
	return math.Log2(load / capacity)
}

// Capacity returns the number of requests in progress up to which the target does not slow down, from 1 to its slots.
func (e *Estimator) Capacity(now time.Time) float64 {
	return math.Max(1, e.slots*e.knee.fraction(now))
}

// Explanation says what an estimate is based on.
type Explanation struct {
	Slowness    float64
	Capacity    float64       // Requests.
	OwnSamples  int           // Samples of this host that count.
	PeerSamples int           // Samples of other hosts that count.
	Age         time.Duration // Time since the last sample was recorded; negative if there is none.
	UsualFactor float64       // Mean reported work factor; 0 if none was reported.
}

// Explain returns the estimates with what they are based on.
func (e *Estimator) Explain(now time.Time) Explanation {
	x := Explanation{
		Slowness: e.Slowness(now),
		Capacity: e.Capacity(now),
		Age:      -1,
	}
	for _, p := range e.points {
		switch {
		case now.Sub(p.at) > maxSampleAge:
			continue
		case p.peer:
			x.PeerSamples++
		default:
			x.OwnSamples++
		}
		x.Age = now.Sub(e.heardAt)
	}
	if !e.factorAt.IsZero() {
		x.UsualFactor = math.Exp2(e.usualFactor)
	}
	return x
}
