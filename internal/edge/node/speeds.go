package node

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/place"
)

const (
	// speedLinesPerSecond and speedLineBurst bound the log lines about changes of speed. A fault of shared machines changes many targets at
	// once, and each host sees it.
	speedLinesPerSecond = 1
	speedLineBurst      = 8
)

// speedReporter passes samples of the speed of targets between the placer and other hosts, and shows what they say in metrics and
// log lines.
type speedReporter struct {
	logger     log.Logger
	limiter    *rate.Limiter
	suppressed atomic.Int64 // Changes without a line since the last one.

	slow, lowCapacity, measured metrics.Gauge
	foundSlow, told, heard      metrics.Counter
}

func newSpeedReporter(logger log.Logger, registry metrics.Registry) *speedReporter {
	return &speedReporter{
		logger:      logger,
		limiter:     rate.NewLimiter(speedLinesPerSecond, speedLineBurst),
		slow:        metrics.GetOrRegisterGauge("speed-slow-targets", registry),
		lowCapacity: metrics.GetOrRegisterGauge("speed-low-capacity-targets", registry),
		measured:    metrics.GetOrRegisterGauge("speed-measured-targets", registry),
		foundSlow:   metrics.GetOrRegisterCounter("speed-found-slow", registry),
		told:        metrics.GetOrRegisterCounter("speed-samples-told", registry),
		heard:       metrics.GetOrRegisterCounter("speed-samples-heard", registry),
	}
}

// change records that a target was found slow or recovered.
func (r *speedReporter) change(c place.SpeedChange) {
	if c.Slow {
		r.foundSlow.Inc(1)
	}
	if !r.limiter.Allow() {
		r.suppressed.Add(1)
		return
	}
	_ = level.Info(r.logger).Log("msg", "Speed of target changed.", "target", c.Target, "slow", c.Slow, "slowness", c.Slowness,
		"capacity", c.Capacity, "own-samples", c.OwnSamples, "peer-samples", c.PeerSamples, "suppressed", r.suppressed.Swap(0))
}

// notes returns the samples of the placer for other hosts, and updates the metrics.
func (r *speedReporter) notes(now time.Time, placer *place.Placer) []steer.SpeedObservation {
	list := placer.SpeedNotes(now)
	r.told.Inc(sampleCount(list))
	summary := placer.SpeedSummary(now)
	r.slow.Update(int64(summary.Slow))
	r.lowCapacity.Update(int64(summary.LowCapacity))
	r.measured.Update(int64(summary.Measured))
	return list
}

// merge passes the samples of other hosts to the placer.
func (r *speedReporter) merge(now time.Time, placer *place.Placer, list []steer.SpeedObservation) {
	r.heard.Inc(sampleCount(list))
	placer.MergeSpeedNotes(now, list)
}

func sampleCount(list []steer.SpeedObservation) int64 {
	n := 0
	for _, o := range list {
		n += len(o.Samples)
	}
	return int64(n)
}
