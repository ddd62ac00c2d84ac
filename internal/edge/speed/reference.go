package speed

import (
	"math"
	"time"
)

const (
	// minReferenceRate is the smallest step of a Reference, in bits. It is small so that a third of the targets that become
	// slow for seconds do not become the measure.
	minReferenceRate = 0.03

	// maxReferenceWeight bounds the weight of a response and its inverse.
	maxReferenceWeight = 4.0

	// referenceQuantile is the quantile of the work of all targets that is the usual work. It is above lowerQuantile because that of
	// the median target lies higher among the samples of all targets, where some are faster and some slower.
	referenceQuantile = 0.45

	// gapRate is the weight of the newest gap in the mean gap.
	gapRate = 0.05

	// minKnownSamples is the number of responses for known objects from which others do not count.
	minKnownSamples = 8
)

// Reference is the usual work of a class of requests for objects that their targets know, over all targets of a service. The
// median target has a slowness of about 1 in relation to it. The zero value has no samples.
type Reference struct {
	gap     float64 // Mean time in seconds between the responses of one target.
	bits    float64 // Binary logarithm of the work in seconds.
	samples int     // Samples that count, up to the number from which the step is the smallest.
	known   int     // Those for known objects, up to minKnownSamples.
}

// Work returns the usual work, or 0 before the first sample.
func (r *Reference) Work() time.Duration {
	if r.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp2(r.bits) * float64(time.Second))
}

// Observe records the work of an answered request. The gap is the time since the response before it of the same target, 0 if there
// was none, and determines the weight: each target should count the same, however many requests it gets. Requests for objects
// that the target may not know count only until enough others are known.
func (r *Reference) Observe(work, gap time.Duration, knownObject bool) {
	if work <= 0 || !knownObject && r.known >= minKnownSamples {
		return
	}
	if knownObject && r.known < minKnownSamples {
		r.known++
	}
	weight := 1.0
	if gap > 0 {
		if r.gap == 0 {
			r.gap = gap.Seconds()
		}
		r.gap += gapRate * (gap.Seconds() - r.gap)
		weight = math.Max(1/maxReferenceWeight, math.Min(maxReferenceWeight, gap.Seconds()/r.gap))
	}
	bits := math.Log2(work.Seconds())
	r.samples++
	if r.samples == 1 {
		r.bits = bits
		return
	}
	step := weight * math.Max(minReferenceRate, 1/float64(r.samples))
	if bits > r.bits {
		r.bits = math.Min(bits, r.bits+step*referenceQuantile)
	} else {
		r.bits = math.Max(bits, r.bits-step*(1-referenceQuantile))
	}
}
