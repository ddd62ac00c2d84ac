package speed

import (
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// MaxReportSamples bounds the samples of a Report.
	MaxReportSamples = 8

	// pendingTime is the time for which samples are kept for other hosts.
	pendingTime = 2 * time.Second

	// maxReportAge is the age up to which samples of other hosts count: pendingTime with a timeout of a request and the way.
	maxReportAge = 8 * time.Second

	// watchTime is the time for which other hosts are told all samples after the slowness, or one sample of any host, differed from 1.
	watchTime = 2 * time.Second

	// watchedSlowness and watchedSample are the factors from 1 from which a slowness and the ratio of a sample start watchTime.
	watchedSlowness = 1.25
	watchedSample   = 1.6
)

// Report holds samples for other hosts, at most MaxReportSamples in the order in which they were recorded.
type Report struct {
	Samples []steer.SpeedSample
}

// pendingPoint is an own sample that other hosts have not been told.
type pendingPoint struct {
	point
	addedAt time.Time
}

// addPending keeps an own sample for the next report.
func (e *Estimator) addPending(now time.Time, p pendingPoint) {
	if len(e.pending) == MaxReportSamples {
		e.pending = slices.Delete(e.pending, 0, 1)
	}
	e.pending = append(e.pending, p)
	e.watch(now, &p.point)
}

// watch starts watchTime if a sample differs from 1.
func (e *Estimator) watch(now time.Time, p *point) {
	if math.Abs(p.bits) > math.Log2(watchedSample) && p.weight() == 1 {
		e.watchedUntil = now.Add(watchTime)
	}
}

// Report returns the own samples that other hosts need and have not been told, and reports whether there are any. They need none of a
// target that is as fast as usual. After a sample that is not, of whichever host, they are told all, those of the last two
// seconds included: if only unusual samples were told, disturbances of single requests would make a target slow.
func (e *Estimator) Report(now time.Time) (Report, bool) {
	e.pending = slices.DeleteFunc(e.pending, func(p pendingPoint) bool { return now.Sub(p.addedAt) > pendingTime })
	if math.Abs(e.slownessBits(now)) > math.Log2(watchedSlowness) {
		e.watchedUntil = now.Add(watchTime)
	}
	if len(e.pending) == 0 || !now.Before(e.watchedUntil) {
		return Report{}, false
	}
	report := Report{
		Samples: make([]steer.SpeedSample, 0, len(e.pending)),
	}
	for _, p := range e.pending {
		report.Samples = append(report.Samples, steer.SpeedSample{
			Ratio:       math.Exp2(p.bits),
			LoadPerSlot: p.load,
			Uncertain:   p.uncertain,
			Age:         now.Sub(p.at),
		})
	}
	e.pending = e.pending[:0]
	return report, true
}

// Merge records the samples that another host reported. Each must be merged once only. Samples that no target can have caused are
// left out.
func (e *Estimator) Merge(now time.Time, r Report) {
	for _, s := range r.Samples[:min(len(r.Samples), MaxReportSamples)] {
		if !(s.Ratio > 0) || !(s.LoadPerSlot >= 0) || s.Age < 0 || s.Age > maxReportAge {
			continue
		}
		p := point{
			at:        now.Add(-s.Age),
			bits:      math.Max(-maxBits, math.Min(maxBits, math.Log2(s.Ratio))),
			load:      s.LoadPerSlot,
			uncertain: s.Uncertain,
			peer:      true,
		}
		e.add(now, p)
		e.watch(now, &p)
	}
}
