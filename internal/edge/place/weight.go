package place

import (
	"math"
	"time"
)

const (
	// minNoticed is the factor by which a target must be slower or faster than the median one to be treated differently. Estimates of
	// targets that are as fast as the others vary by less, and each object that moves is loaded anew.
	minNoticed = 1.5

	// weightTimeConstant is the time constant of the mean slowness that determines the weight of a target. A target that is slow for
	// some seconds keeps its objects, and their requests go to the alternate target for that time.
	weightTimeConstant = time.Minute

	// weightSteps is the number of steps of a weight for each factor of 2, and weightHysteresis how many steps beyond the middle
	// between two of them the mean must be for the weight to change.
	weightSteps      = 2.0
	weightHysteresis = 0.25

	// minWeight and maxWeight bound the weight of a target.
	minWeight = 1.0 / 8
	maxWeight = 4.0
)

// weights are the weights of a service's targets.
type weights struct {
	updatedAt time.Time
	differ    bool // At least one weight is not 1.
}

// targetWeight is the weight of a target in the choice for an object: it has as many objects as it is fast.
type targetWeight struct {
	meanBits float64 // Binary logarithm of the mean slowness.
	steps    float64 // Binary logarithm of the weight, in units of 1/weightSteps.
}

// of returns the weight of a target, which is 1 while its speed is not known to differ.
func (w *weights) of(t *targetState) float64 {
	if !w.differ {
		return 1
	}
	return math.Exp2(t.weight.steps / weightSteps)
}

// updateWeights brings the weights of the targets up to date.
func (s *service) updateWeights(now time.Time) {
	elapsed := now.Sub(s.weights.updatedAt)
	s.weights.updatedAt = now
	if !s.usesSpeed() {
		return
	}
	share := 1 - math.Exp(-min(elapsed, weightTimeConstant).Seconds()/weightTimeConstant.Seconds())
	differ, changed := false, false
	for _, t := range s.targets {
		w := &t.weight
		w.meanBits += share * (math.Log2(t.noticedSlowness(now)*t.slots()/t.capacity(now)) - w.meanBits)
		bits := math.Max(math.Log2(minWeight), math.Min(math.Log2(maxWeight), -w.meanBits))
		if steps := bits * weightSteps; math.Abs(steps-w.steps) > 0.5+weightHysteresis {
			w.steps, changed = math.Round(steps), true
		}
		differ = differ || w.steps != 0
	}
	s.weights.differ = differ
	if changed {
		s.updateCapacities()
	}
}

// noticedSlowness returns the slowness of the target, or 1 if it differs too little from that of the median target.
func (t *targetState) noticedSlowness(now time.Time) float64 {
	if slowness := t.slowness(now); slowness >= minNoticed || slowness <= 1/minNoticed {
		return slowness
	}
	return 1
}

// score returns the preference of a key with the given hash for the target. The target with the highest score is the first choice;
// each target is that for a part of the keys that is proportional to its weight.
func (t *targetState) score(hash uint64) float64 {
	random := mix(hash ^ t.idHash)
	if !t.service.weights.differ {
		return float64(random)
	}
	uniform := (float64(random>>11) + 0.5) / (1 << 53)
	return t.service.weights.of(t) / -math.Log(uniform)
}
