package region

import (
	"maps"
	"math"
	"sync"
	"time"
)

const (
	// demandTimeConstant is the time constant of the mean demand. Each object that moves to another region is loaded there once, by a
	// request that takes three times as long. Shares that follow a swing of 55 % with a period of 36 s cost more late answers than
	// they prevent, so the mean outlasts several periods.
	demandTimeConstant = 2 * time.Minute

	// demandInterval is the time between two updates of the mean demand.
	demandInterval = time.Second

	// minDemand is the smallest fraction of all requests that a region is taken to have. A region without callers for a while must
	// not get shares that are wrong when they return.
	minDemand = 0.02
)

// Demand is the mean fraction of all requests that comes from each region. It is equal for all regions at first. It is safe for
// concurrent use.
type Demand struct {
	mu        sync.Mutex
	mean      map[string]float64
	updatedAt time.Time
}

// NewDemand returns the equal demand of the given regions.
func NewDemand(regions []string) *Demand {
	d := &Demand{
		mean: make(map[string]float64, len(regions)),
	}
	for _, name := range regions {
		d.mean[name] = 1
	}
	d.normalise()
	return d
}

// Update includes the present requests per second by region in the mean, at most once in demandInterval, and reports whether it did. A
// region that is missing is not heard and keeps its mean. Without a request in any region nothing is known.
func (d *Demand) Update(now time.Time, rates func() map[string]float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	elapsed := now.Sub(d.updatedAt)
	if elapsed < demandInterval {
		return false
	}
	first := d.updatedAt.IsZero()
	d.updatedAt = now
	if first {
		return false
	}
	heard := rates()
	total, share := 0.0, 0.0 // Of the regions that are heard.
	for name, rate := range heard {
		if mean, ok := d.mean[name]; ok && rate >= 0 {
			total += rate
			share += mean
		}
	}
	if !(total > 0) {
		return false
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	for name, rate := range heard {
		if mean, ok := d.mean[name]; ok && rate >= 0 {
			d.mean[name] = math.Max(minDemand, mean+weight*(share*rate/total-mean))
		}
	}
	d.normalise()
	return true
}

// normalise scales the fractions so that their sum is 1.
func (d *Demand) normalise() {
	sum := 0.0
	for _, mean := range d.mean {
		sum += mean
	}
	for name := range d.mean {
		d.mean[name] /= sum
	}
}

// Fractions returns the mean fraction of all requests that comes from each region. Their sum is 1.
func (d *Demand) Fractions() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.mean)
}
