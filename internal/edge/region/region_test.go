package region_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/edge/region"
)

var (
	start   = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
	regions = []string{"centro", "norte", "sur"}
)

// swing returns the requests per second of three regions, which swing by 55 % around their means with a period of 36 s, one
// after the other.
func swing(elapsed time.Duration, means [3]float64) map[string]float64 {
	rates := map[string]float64{}
	for i, name := range regions {
		phase := 2 * math.Pi * (elapsed.Seconds()/36 + float64(i)/3)
		rates[name] = means[i] * (1 + 0.55*math.Sin(phase))
	}
	return rates
}

// play updates the demand for some time and calls a function each second.
func play(d *region.Demand, from time.Time, length time.Duration, means [3]float64, each func(elapsed time.Duration)) time.Time {
	now := from
	for ; now.Sub(from) < length; now = now.Add(250 * time.Millisecond) {
		elapsed := now.Sub(start)
		if d.Update(now, func() map[string]float64 { return swing(elapsed, means) }) {
			each(elapsed)
		}
	}
	return now
}

// Guards against shares that follow each swing of the demand: every object that moves costs a request that loads it in the other
// region. Load: three regions with the same mean demand, one with a quarter of the targets of the others, swinging by 55 % out of phase.
func TestSwingMovesFewObjects(t *testing.T) {
	capacity := map[string]float64{"norte": 448, "centro": 96, "sur": 376}
	d := region.NewDemand(regions)
	d.Update(start, nil)
	shares := region.Divide("centro", capacity, d.Fractions())
	lowest, highest, worst := 1.0, 0.0, 0.0
	play(d, start, 5*time.Minute, [3]float64{546, 546, 546}, func(elapsed time.Duration) {
		shares = region.MoveTowards(shares, region.Divide("centro", capacity, d.Fractions()), region.MaxStep(time.Second), capacity)
		own := shares[0].Fraction
		lowest, highest = math.Min(lowest, own), math.Max(highest, own)
		demand := swing(elapsed, [3]float64{546, 546, 546})
		worst = math.Max(worst, demand["centro"]*own/capacity["centro"]/(3*546/(448.0+96+376)))
	})
	t.Logf("own share between %.3f and %.3f, load of the small region at most %.2f of the mean load", lowest, highest, worst)
	assert.Assert(t, highest-lowest < 0.1)
	assert.Assert(t, worst < 1.75, "the best division keeps it at 1, equal shares without moves at 1.55")
}

// Guards against a region that keeps too much or too little for ever because its callers ask more or less than those of others.
func TestMeanDemandIsFollowed(t *testing.T) {
	capacity := map[string]float64{"norte": 100, "centro": 100, "sur": 100}
	d := region.NewDemand(regions)
	d.Update(start, nil)
	before := region.Divide("centro", capacity, d.Fractions())
	assert.Equal(t, before[0].Fraction, 1.0)
	end := play(d, start, 10*time.Minute, [3]float64{600, 200, 200}, func(time.Duration) {})
	fractions := d.Fractions()
	assert.Assert(t, math.Abs(fractions["centro"]-0.6) < 0.05, "%v", fractions)
	shares := region.Divide("centro", capacity, fractions)
	assert.Assert(t, math.Abs(shares[0].Fraction-1.0/3/0.6) < 0.05, "%v", shares)
	assert.Equal(t, len(shares), 3)
	assert.Equal(t, region.Divide("norte", capacity, fractions)[0].Fraction, 1.0)

	play(d, end, 10*time.Minute, [3]float64{200, 200, 200}, func(time.Duration) {})
	back := region.Divide("centro", capacity, d.Fractions())
	assert.Assert(t, back[0].Fraction > 0.93, "%v", back)
}

// Guards against a region that counts as without demand because it is not heard, which would move the requests of all others there.
func TestUnheardRegionKeepsItsDemand(t *testing.T) {
	d := region.NewDemand(regions)
	now := play(d, start, 10*time.Minute, [3]float64{600, 200, 200}, func(time.Duration) {})
	before := d.Fractions()["centro"]
	for range 600 {
		now = now.Add(time.Second)
		d.Update(now, func() map[string]float64 { return map[string]float64{"norte": 300, "sur": 100} })
	}
	after := d.Fractions()
	assert.Assert(t, math.Abs(after["centro"]-before) < 0.01, "%v", after)
	assert.Assert(t, after["norte"] > 1.5*after["sur"], "%v", after)
}

// Guards against shares from rates that say nothing: none at the start, at a host that is cut off, or of unknown regions.
func TestDemandIsEqualWithoutRates(t *testing.T) {
	d := region.NewDemand(regions)
	for i := range 60 {
		d.Update(start.Add(time.Duration(i)*time.Second), func() map[string]float64 {
			return map[string]float64{"elsewhere": 100, "norte": math.NaN(), "sur": 0}
		})
	}
	for _, name := range regions {
		assert.Assert(t, math.Abs(d.Fractions()[name]-1.0/3) < 1e-9)
	}
	assert.Equal(t, region.Divide("norte", map[string]float64{"norte": 1, "sur": 1}, map[string]float64{"norte": 0.1})[0].Fraction, 1.0)
	assert.Assert(t, region.Divide("norte", nil, nil) == nil)
}
