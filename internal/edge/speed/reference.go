package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// minReferenceRate is the smallest step of a Reference, in bits. It is small so that a third of the targets that become
	// slow for seconds do not become the measure.
	minReferenceRate = 0.03

	// referenceQuantile is the quantile of the work of all targets that is the usual work. It is above lowerQuantile because that of
	// the median target lies higher among the samples of all targets, where some are faster and some slower.
	referenceQuantile = 0.45

	// maxReferenceWeight bounds the weight of a response and its inverse.
	maxReferenceWeight = 4.0

	// gapRate is the weight of the newest gap in the mean gap.
	gapRate = 0.05

	// firstSamples is the number of responses from which the usual work counts as known.
	firstSamples = 9
)

// Reference is the usual work of a class of requests for objects that their targets know, over all targets of a service. The
// median target has a slowness of about 1 in relation to it. The zero value has no samples.
type Reference struct {
	gap     float64 // Mean time in seconds between the responses of one target.
	bits    float64 // Binary logarithm of the work in seconds.
	samples int     // Samples that count; 0 before the first quantile.
	known   bool    // Only samples for known objects count.

	first      []float64 // Logarithms of the first samples; nil once there are enough.
	firstKnown []float64 // Those for known objects.
}

// Work returns the usual work, or 0 before there are enough samples.
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
	if work <= 0 || !knownObject && r.known {
		return
	}
	weight := r.weight(gap)
	bits := math.Log2(work.Seconds())
	if knownObject && !r.known {
		r.firstKnown = append(r.firstKnown, bits)
		if r.known = r.begin(r.firstKnown); r.known {
			r.first, r.firstKnown = nil, nil
			return
		}
	}
	if r.samples == 0 {
		r.first = append(r.first, bits)
		r.begin(r.first)
		return
	}
	r.samples++
	step := weight * math.Max(minReferenceRate, 1/float64(r.samples))
	if bits > r.bits {
		r.bits = math.Min(bits, r.bits+step*referenceQuantile)
	} else {
		r.bits = math.Max(bits, r.bits-step*(1-referenceQuantile))
	}
}

// begin sets the usual work to the quantile of the first samples, and reports whether there are enough.
func (r *Reference) begin(first []float64) bool {
	if len(first) < firstSamples {
		return false
	}
	sorted := slices.Sorted(slices.Values(first))
	r.bits, r.samples = sorted[int(referenceQuantile*float64(len(sorted)))], firstSamples
	return true
}

// weight returns the weight of a response, given the time since the one before it of the same target.
func (r *Reference) weight(gap time.Duration) float64 {
	if gap <= 0 {
		return 1
	}
	if r.gap == 0 {
		r.gap = gap.Seconds()
	}
	r.gap += gapRate * (gap.Seconds() - r.gap)
	return math.Max(1/maxReferenceWeight, math.Min(maxReferenceWeight, gap.Seconds()/r.gap))
}
