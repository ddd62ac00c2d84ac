package bucket

import (
	"math"
	"time"
)

// window is the time constant of the longest average of a Demand. The shorter averages use a quarter and an eighth of it.
const window = 500 * time.Millisecond

// numAverages is the number of exponentially weighted averages in a Demand.
const numAverages = 3

// divisors[i] divides window to give the time constant of average i.
var divisors = [numAverages]float64{1, 4, 8}

// Demand estimates the requests per second for one quota with exponentially weighted averages. The zero value is ready
// for use.
type Demand struct {
	settledAt time.Time            // The counts are decayed to this time.
	counts    [numAverages]float64 // Weighted number of requests within the time constant of each average.
}

// Add counts n requests at now.
func (d *Demand) Add(now time.Time, n float64) {
	d.settle(now)
	for i := range d.counts {
		d.counts[i] += n
	}
}

func (d *Demand) settle(now time.Time) {
	elapsed := now.Sub(d.settledAt)
	if elapsed <= 0 {
		return
	}
	d.settledAt = now
	if elapsed > 20*window {
		d.counts = [numAverages]float64{}
		return
	}
	decay := math.Exp(-elapsed.Seconds() / window.Seconds())
	decay4 := decay * decay * decay * decay
	d.counts[0] *= decay
	d.counts[1] *= decay4
	d.counts[2] *= decay4 * decay4
}

// Rate returns the demand in requests per second: the average over the longest window, bounded by the shorter averages
// so that it follows a sudden rise or fall within a few of the shorter windows. The bounds lie one standard deviation
// below each short average and one and a half above it, so that single requests and short gaps do not count as a change.
func (d *Demand) Rate(now time.Time) float64 {
	d.settle(now)
	rate := d.counts[0] / window.Seconds()
	for i := 1; i < numAverages; i++ {
		deviation := math.Sqrt(d.counts[i])
		perSecond := divisors[i] / window.Seconds()
		rate = max(rate, (d.counts[i]-deviation)*perSecond)
	}
	for i := 1; i < numAverages; i++ {
		deviation := math.Sqrt(d.counts[i])
		perSecond := divisors[i] / window.Seconds()
		rate = min(rate, (d.counts[i]+1.5*deviation+1)*perSecond)
	}
	return rate
}

// Average returns the average demand over the longest window in requests per second.
func (d *Demand) Average(now time.Time) float64 {
	d.settle(now)
	return d.counts[0] / window.Seconds()
}

// Tokens returns the number of tokens that cover the duration at a demand in requests per second, with a margin of two
// standard deviations of a Poisson process.
func Tokens(demand float64, duration time.Duration) float64 {
	mean := demand * duration.Seconds()
	return mean + 2*math.Sqrt(mean)
}

// UpperDemand returns a bound that the true demand rarely exceeds, in requests per second, given an estimate over the
// longest window. The bound lies one and a half standard deviations above the estimate.
func UpperDemand(demand float64) float64 {
	return demand + 1.5*math.Sqrt(demand/window.Seconds())
}
