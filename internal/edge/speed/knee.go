package speed

import (
	"math"
	"time"
)

const (
	// kneeBins is the number of ranges of load per slot, from 0 to 1, for which work is learned separately.
	kneeBins = 8

	// kneeMemory is the time constant with which the samples of a range are forgotten. The load from which a target slows down
	// changes less often than its speed.
	kneeMemory = 20 * time.Second

	// minBinSamples is the number of samples from which a range counts, and maxBinSamples the number from which its weight no
	// longer grows.
	minBinSamples = 3.0
	maxBinSamples = 12.0

	// maxKneeBits bounds the difference of a sample from what is expected, in bits. Beyond it the target has changed its speed, which
	// says nothing about its capacity.
	maxKneeBits = 1.7

	// minKneeRate is the smallest step of the quantile of a range, in bits.
	minKneeRate = 0.2

	// minKneeGain is the reduction of the mean error, in bits, that a capacity below the slots must bring.
	minKneeGain = 0.1

	// kneeInterval is the time between two computations of the capacity.
	kneeInterval = 250 * time.Millisecond
)

// knee learns the load from which a target slows down. The work of a request is constant below it, and proportional to the
// load above it.
type knee struct {
	bins       [kneeBins]kneeBin
	updatedAt  time.Time // When the samples of bins were last reduced by age.
	computedAt time.Time // When part was last computed; zero if it was not.
	part       float64   // Capacity as a fraction of the slots.
}

// kneeBin is the work at a range of loads.
type kneeBin struct {
	samples float64
	bits    float64 // Quantile of the logarithmic ratio of the work to the slowness of the target.
	load    float64 // Mean load per slot.
}

// add records a sample at a target with the given logarithmic slowness, which includes the effect of loads in the last second: what
// changes with the load within that time is due to the load, and not to a change of speed that changes the load as well.
func (k *knee) add(now time.Time, p point, slowness float64) {
	excess := p.bits - slowness
	if p.load <= 0 || p.weight() < 1 {
		return
	}
	k.forget(now)
	// The wait at loads above the slots has been removed from the ratio.
	b := &k.bins[min(int(math.Ceil(math.Min(p.load, 1)*kneeBins))-1, kneeBins-1)]
	b.samples++
	share := 1 / math.Min(b.samples, maxBinSamples)
	b.load += share * (math.Min(p.load, 1) - b.load)
	if b.samples == 1 {
		b.bits = excess
		return
	}
	step := math.Max(minKneeRate, 2*share)
	if excess > b.bits {
		b.bits = math.Min(excess, b.bits+step*lowerQuantile)
	} else {
		b.bits = math.Max(excess, b.bits-step*(1-lowerQuantile))
	}
}

// forget reduces the number of samples by their age.
func (k *knee) forget(now time.Time) {
	if k.updatedAt.IsZero() {
		k.updatedAt = now
	}
	elapsed := now.Sub(k.updatedAt)
	if elapsed < kneeInterval {
		return
	}
	k.updatedAt = now
	factor := math.Exp(-elapsed.Seconds() / kneeMemory.Seconds())
	for i := range k.bins {
		k.bins[i].samples *= factor
	}
}

// fraction returns the capacity of the target as a fraction of its slots.
func (k *knee) fraction(now time.Time) float64 {
	if k.updatedAt.IsZero() {
		return 1
	}
	if k.computedAt.IsZero() || now.Sub(k.computedAt) >= kneeInterval {
		k.forget(now)
		k.part, k.computedAt = k.fit(), now
	}
	return k.part
}

// fit returns the fraction of the slots that explains the work at all loads best.
func (k *knee) fit() float64 {
	best := 1.0
	least := k.meanError(1)
	for i := kneeBins - 1; i >= 1; i-- {
		part := float64(i) / kneeBins
		// The gain must be larger the further the capacity is below the slots, since few samples fit many curves.
		if e := k.meanError(part) + minKneeGain*math.Log2(1/part); e < least {
			best, least = part, e
		}
	}
	return best
}

// meanError returns the mean deviation of the work from a constant one, in bits, if the capacity is the given fraction of the
// slots.
func (k *knee) meanError(part float64) float64 {
	var residuals, weights [kneeBins]float64
	n, sum, mean := 0, 0.0, 0.0
	for _, b := range k.bins {
		if b.samples < minBinSamples {
			continue
		}
		residuals[n] = b.bits - queueBits(b.load, part)
		weights[n] = math.Min(b.samples, maxBinSamples)
		sum += weights[n]
		mean += weights[n] * residuals[n]
		n++
	}
	if n < 2 {
		return 0
	}
	mean /= sum
	deviation := 0.0
	for i := range n {
		deviation += weights[i] * math.Abs(residuals[i]-mean)
	}
	return deviation / sum
}
