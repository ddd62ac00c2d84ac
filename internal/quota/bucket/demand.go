package bucket

import (
	"math"
	"time"
)

// window is the time constant of the demand estimate. The shorter averages have a quarter and an eighth of it.
const window = 500 * time.Millisecond

// averages is the number of averages of a Demand.
const averages = 3

// divisors give the time constant of each average as a fraction of window.
var divisors = [averages]float64{1, 4, 8}

// Demand estimates the requests per second for one quota with exponentially weighted averages. The zero value is ready
// for use.
type Demand struct {
	at   time.Time
	seen [averages]float64 // Weighted number of requests within the time constant of each average.
}

// Add counts n requests at now.
func (d *Demand) Add(now time.Time, n float64) {
	d.settle(now)
	for i := range d.seen {
		d.seen[i] += n
	}
}

func (d *Demand) settle(now time.Time) {
	gap := now.Sub(d.at)
	if gap <= 0 {
		return
	}
	d.at = now
	if gap > 20*window {
		d.seen = [averages]float64{}
		return
	}
	slow := math.Exp(-gap.Seconds() / window.Seconds())
	fourth := slow * slow * slow * slow
	d.seen[0] *= slow
	d.seen[1] *= fourth
	d.seen[2] *= fourth * fourth
}

// Rate returns the demand in requests per second: the average over the longest window, bounded by what the shorter ones
// show. A sudden rise or fall is followed within a few of the shorter windows. The bounds are one standard deviation
// below each short average and one and a half above, so that single requests and short gaps do not count as a change.
func (d *Demand) Rate(now time.Time) float64 {
	d.settle(now)
	rate := d.seen[0] / window.Seconds()
	for i := 1; i < averages; i++ {
		deviation := math.Sqrt(d.seen[i])
		perSecond := divisors[i] / window.Seconds()
		rate = max(rate, (d.seen[i]-deviation)*perSecond)
	}
	for i := 1; i < averages; i++ {
		deviation := math.Sqrt(d.seen[i])
		perSecond := divisors[i] / window.Seconds()
		rate = min(rate, (d.seen[i]+1.5*deviation+1)*perSecond)
	}
	return rate
}

// Average returns the average over the longest window in requests per second.
func (d *Demand) Average(now time.Time) float64 {
	d.settle(now)
	return d.seen[0] / window.Seconds()
}

// Tokens returns the tokens that last for the duration at a demand in requests per second, with a margin of two
// standard deviations of a Poisson process.
func Tokens(demand float64, duration time.Duration) float64 {
	mean := demand * duration.Seconds()
	return mean + 2*math.Sqrt(mean)
}

// UpperDemand returns a demand in requests per second that the true one exceeds rarely, given an estimate over the longest
// window: one and a half standard deviations of the estimate above it.
func UpperDemand(demand float64) float64 {
	return demand + 1.5*math.Sqrt(demand/window.Seconds())
}
