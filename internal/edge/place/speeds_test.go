package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/place"
)

// speedFleet simulates hosts that send requests for objects to targets of different speeds. Targets keep the last objects.
type speedFleet struct {
	random   *rand.Rand
	list     []*belief.RegisteredTarget
	placers  []*place.Placer
	slowness []float64 // By target.
	factor   float64   // Reported work factor; 0 for none.
	objects  []map[string]time.Time
	changes  []place.SpeedChange
	pending  []speedAnswer
	due      float64
}

type speedAnswer struct {
	at      time.Time
	host    int
	choice  place.Choice
	outcome place.Outcome
}

const (
	speedHosts   = 12
	speedTargets = 12
	keepObject   = 15 * time.Second
	objectWork   = 80 * time.Millisecond // Work for a known object at a target that is as fast as usual.
)

func newSpeedFleet(t *testing.T, mode steer.Mode, contested bool) *speedFleet {
	t.Helper()
	seed := rand.Uint64() % 1000
	t.Logf("seed %d", seed)
	f := &speedFleet{random: rand.New(rand.NewPCG(seed, 7))}
	for i := range speedTargets {
		f.list = append(f.list, newTarget(i, "golfo-a"))
		f.slowness = append(f.slowness, 1)
		f.objects = append(f.objects, map[string]time.Time{})
	}
	for range speedHosts {
		p := place.New(place.Config{
			DataCentre:  "golfo-a",
			Region:      "golfo",
			Regions:     regions,
			Features:    steer.Features{TargetSpeed: mode},
			Deployment:  steer.Deployment{ContestedCapacity: contested},
			SpeedChange: func(c place.SpeedChange) { f.changes = append(f.changes, c) },
		})
		p.Update(start, newView(t, f.list...), place.Fleet{Hosts: speedHosts})
		f.placers = append(f.placers, p)
	}
	return f
}

// play sends 100 requests a second. Hosts exchange notes, except the first if it is cut off.
func (f *speedFleet) play(from, to time.Duration, cutOff bool) {
	for at := from; at < to; at += tick {
		now := start.Add(at)
		f.pending = slices.DeleteFunc(f.pending, func(a speedAnswer) bool {
			if a.at.After(now) {
				return false
			}
			f.placers[a.host].Done(now, a.choice, a.outcome)
			return true
		})
		for f.due += 100 * tick.Seconds(); f.due >= 1; f.due-- {
			f.send(now)
		}
		if at%noteInterval != 0 {
			continue
		}
		for i, p := range f.placers {
			notes := p.SpeedNotes(now)
			for j, q := range f.placers {
				if i != j && !(cutOff && min(i, j) == 0) {
					q.MergeSpeedNotes(now, notes)
				}
			}
		}
	}
}

// send sends a request for a random object, of which one in 33 is heavy.
func (f *speedFleet) send(now time.Time) {
	host := f.random.IntN(speedHosts)
	request := newRequest(fmt.Sprint(f.random.IntN(12 * speedTargets)))
	choice, refusal := f.placers[host].Pick(now, request)
	if refusal != nil {
		return
	}
	target := slices.IndexFunc(f.list, func(r *belief.RegisteredTarget) bool { return r.ID == choice.Target.ID })
	work := objectWork.Seconds() * f.slowness[target] * (0.8 + 0.4*f.random.Float64())
	if now.Sub(f.objects[target][request.Key]) > keepObject {
		work *= 3
	}
	f.objects[target][request.Key] = now
	if f.random.IntN(33) == 0 {
		work *= 7
	}
	latency := min(time.Duration(work*float64(time.Second)), requestTimeout)
	outcome := place.Outcome{Latency: latency, Load: &steer.TargetLoad{Slots: slots, WorkFactor: f.factor}}
	if latency == requestTimeout {
		outcome = place.Outcome{Latency: latency, Failed: true, TimedOut: true}
	}
	f.pending = append(f.pending, speedAnswer{at: now.Add(latency), host: host, choice: choice, outcome: outcome})
}

// speeds returns what a host knows of the targets, by position.
func (f *speedFleet) speeds(host int, at time.Duration) []place.TargetSpeed {
	list := f.placers[host].TargetSpeeds(start.Add(at), service)
	slices.SortFunc(list, func(a, b place.TargetSpeed) int { return f.position(a.Target) - f.position(b.Target) })
	return list
}

func (f *speedFleet) position(target string) int {
	return slices.IndexFunc(f.list, func(r *belief.RegisteredTarget) bool { return r.ID == target })
}

// Guards against hosts that do not know which targets are slow because each sends a target few requests, against healthy targets that count
// as slow, and against a host that learns nothing while it is cut off. Load: 12 hosts send each target 0.7 requests a second,
// 3 % of them heavy; targets know few objects at first.
func TestHostsLearnWhichTargetsAreSlow(t *testing.T) {
	f := newSpeedFleet(t, steer.ModeOn, false)
	f.play(0, 20*time.Second, false)
	f.slowness[3], f.slowness[4] = 5, 12
	f.play(20*time.Second, 25*time.Second, false)
	slow, healthy := 0, 0
	for host := range speedHosts {
		for i, s := range f.speeds(host, 25*time.Second) {
			switch known := i == 3 || i == 4; {
			case known && s.Slowness > 2:
				slow++
			case !known && s.Slowness < 1.5 && s.Slowness > 0.6:
				healthy++
			}
		}
	}
	t.Logf("%d of %d slow, %d of %d as usual", slow, 2*speedHosts, healthy, (speedTargets-2)*speedHosts)
	assert.Assert(t, slow >= 2*speedHosts*8/10)
	assert.Assert(t, healthy >= speedHosts*(speedTargets-2)*9/10)
	for _, id := range []string{f.list[3].ID, f.list[4].ID} {
		assert.Assert(t, slices.ContainsFunc(f.changes, func(c place.SpeedChange) bool { return c.Target == id && c.Slow }))
	}
	f.slowness[3], f.slowness[4] = 1, 1
	f.play(25*time.Second, 30*time.Second, false)
	assert.Equal(t, f.placers[1].SpeedSummary(start.Add(30*time.Second)).Slow, 0)
	f.slowness[5] = 5
	known := 0
	for at := 30 * time.Second; at < 60*time.Second; at += time.Second {
		f.play(at, at+time.Second, true)
		if f.speeds(0, at+time.Second)[5].Slowness > 2 {
			known++
		}
	}
	t.Logf("cut off: slow in %d of 30 s", known)
	assert.Assert(t, known > 10)
}

// Guards against a target whose requests run into their timeouts, so that nobody learns of it before the first of them. Load as above;
// the target takes 3.2 s for a request, the timeout is 2 s. Bound: half of the hosts know it 2.5 s after it became slow.
func TestRequestsInProgressTellOfSlowTarget(t *testing.T) {
	const slowness, runs = 40, 10
	slow := 0
	for range runs {
		f := newSpeedFleet(t, steer.ModeOn, false)
		f.play(0, 20*time.Second, false)
		f.slowness[3] = slowness
		f.play(20*time.Second, 22500*time.Millisecond, false)
		for host := range speedHosts {
			if f.speeds(host, 22500*time.Millisecond)[3].Slowness > 2 {
				slow++
			}
		}
	}
	t.Logf("known at %d of %d hosts", slow, runs*speedHosts)
	assert.Assert(t, slow > runs*speedHosts/2)
}

// Guards against deployments without these load patterns that are served otherwise than before, and against ones that have them and
// are not.
func TestSpeedIsUsedWhereItIsCalledFor(t *testing.T) {
	for _, c := range []struct {
		mode      steer.Mode
		contested bool
		factor    float64
		inUse     bool
	}{
		{mode: "", contested: true, factor: 1},
		{mode: steer.ModeOff, contested: true, factor: 1},
		{mode: steer.ModeAuto},
		{mode: steer.ModeAuto, contested: true, inUse: true},
		{mode: steer.ModeAuto, factor: 1, inUse: true},
		{mode: steer.ModeOn, inUse: true},
	} {
		f := newSpeedFleet(t, c.mode, c.contested)
		f.factor, f.slowness[3] = c.factor, 5
		f.play(0, 12*time.Second, false)
		slowness := 0.0
		for at := 12 * time.Second; at < 15*time.Second; at += time.Second {
			f.play(at, at+time.Second, false)
			slowness = max(slowness, f.speeds(1, at+time.Second)[3].Slowness)
		}
		s := f.speeds(1, 15*time.Second)[3]
		assert.Equal(t, s.InUse, c.inUse, "%+v", c)
		assert.Equal(t, slowness > 1.5, c.inUse, "%+v: %+v", c, s)
		assert.Equal(t, s.OwnSamples+s.PeerSamples > 0, c.inUse, "%+v", c)
		assert.Equal(t, len(f.changes) > 0, c.inUse, "%+v", c)
	}
}

// BenchmarkPickAndDone chooses among 120 targets and records the outcome, without and with estimates of speed.
func BenchmarkPickAndDone(b *testing.B) {
	for _, mode := range []steer.Mode{steer.ModeOff, steer.ModeOn} {
		b.Run(string(mode), func(b *testing.B) {
			var list []*belief.RegisteredTarget
			for i := range 120 {
				list = append(list, newTarget(i, "golfo-a"))
			}
			p := place.New(place.Config{DataCentre: "golfo-a", Region: "golfo", Regions: regions, Features: steer.Features{TargetSpeed: mode}})
			p.Update(start, newView(b, list...), place.Fleet{Hosts: 1})
			now := start
			outcome := place.Outcome{Latency: objectWork, Load: &steer.TargetLoad{Running: 2, Slots: slots, WorkFactor: 1}}
			request := newRequest("")
			for b.Loop() {
				now = now.Add(time.Millisecond)
				request.FallbackHash += 0x9e3779b97f4a7c15
				c, refusal := p.Pick(now, request)
				assert.Assert(b, refusal == nil)
				p.Done(now, c, outcome)
				if now.UnixMilli()%250 == 0 {
					p.SpeedNotes(now)
				}
			}
		})
	}
}
