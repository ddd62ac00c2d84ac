package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// newSpeedLoad returns the load of 8 hosts on 20 targets in two data centres, 60 objects and 200 requests a second: 39 % of what the
// targets carry if all work at the usual speed. Answers count from 5 s on.
func newSpeedLoad() fleetLoad {
	l := fleetLoad{
		hosts:         8,
		objects:       60,
		rate:          200,
		exchangeNotes: true,
		objectCopies:  steer.ModeOn,
		warmup:        5 * time.Second,
	}
	for i := range 10 {
		l.targets = append(l.targets, newTarget(i, "golfo-a"), newTarget(i, "golfo-b"))
	}
	return l
}

// Guards against requests that go on waiting at targets that have become slow, while the objects' other targets are fast, and
// against recovered targets that get no requests any more. Load: four of 20 targets work 8 times slower from 6 to 18 s.
func TestRequestsLeaveSlowTargets(t *testing.T) {
	l := newSpeedLoad()
	l.slowness = func(target int, elapsed time.Duration) float64 {
		if target < 4 && elapsed >= 6*time.Second && elapsed < 18*time.Second {
			return 8
		}
		return 1
	}
	l.length = 24 * time.Second
	l.warmup, l.until = 9*time.Second, 18*time.Second // Slow targets are to be known after 2 s, and alternates load objects for a second.
	unaware := l.run(t)
	l.targetSpeed = steer.ModeOn
	aware := l.run(t)
	t.Logf("in time %.3f, without %.3f; reached their deadline %.3f, without %.3f", aware.inTime, unaware.inTime, aware.wasted, unaware.wasted)
	assert.Assert(t, aware.inTime > unaware.inTime+0.02)
	assert.Assert(t, aware.wasted < unaware.wasted)

	l.length, l.warmup, l.until = 30*time.Second, 22*time.Second, 0
	recovered := l.run(t)
	for _, r := range l.targets[:4] {
		assert.Assert(t, recovered.byTarget[r.ID] > 0, "%s gets no requests 4 s after it has recovered", r.ID)
	}
}

// Guards against targets that get as many objects as others although they are slower for good. Load: targets whose work takes 0.5, 1
// and 2 times as long as usual, for two and a half minutes.
func TestTargetsGetObjectsByTheirSpeed(t *testing.T) {
	l := newSpeedLoad()
	l.length, l.warmup = 150*time.Second, 120*time.Second
	l.objects, l.rate = 400, 160
	speeds := []float64{0.5, 1, 1, 2}
	l.slowness = func(target int, _ time.Duration) float64 { return speeds[target%len(speeds)] }
	l.targetSpeed = steer.ModeOn
	result := l.run(t)
	requests := map[float64]float64{}
	for i, r := range l.targets {
		requests[speeds[i%len(speeds)]] += float64(result.byTarget[r.ID])
	}
	usual := requests[1] / 2
	t.Logf("requests of fast targets %.2f and of slow ones %.2f of those of usual ones", requests[0.5]/usual, requests[2]/usual)
	assert.Assert(t, requests[0.5] > 1.3*usual)
	assert.Assert(t, requests[2] < 0.75*usual)
}

// Guards against a placement that differs while the feature is off, or all targets work at the usual speed.
func TestEqualTargetsHaveEqualWeights(t *testing.T) {
	l := newSpeedLoad()
	without := l.run(t)
	l.targetSpeed = steer.ModeOn
	with := l.run(t)
	moved, all := 0, 0
	for id, n := range without.byTarget {
		all += n
		moved += max(0, n-with.byTarget[id])
	}
	t.Logf("%d of %d requests run elsewhere", moved, all)
	assert.Assert(t, moved*20 < all, "%d of %d requests run elsewhere", moved, all)
}
