package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/place"
)

// targetRequest is a request at a simulatedTarget, queued or in progress.
type targetRequest struct {
	host   int
	choice place.Choice
	object string
	sent   time.Time
	begun  time.Time // Zero while it is queued.
	work   time.Duration
}

// simulatedTarget is a target to which many hosts send requests. It processes slots requests at once, ends those that reach
// their deadline, and takes more than three times as long for an object that is not in its cache.
type simulatedTarget struct {
	cached   map[string]bool // By object.
	requests []*targetRequest
	slowness float64 // Factor of the work; 0 means 1.
}

const (
	missWork         = 1160 * time.Millisecond
	hitWork          = 348 * time.Millisecond
	requestTimeout   = 2 * time.Second
	latencyObjective = 800 * time.Millisecond
	tick             = 10 * time.Millisecond
	noteInterval     = 250 * time.Millisecond
	networkDelay     = 10 * time.Millisecond
	fleetObjects     = 600
)

// step advances the target by one tick. It returns the requests that reached their deadline and those that were answered.
func (c *simulatedTarget) step(now time.Time) (timedOut, done []*targetRequest) {
	busy := 0
	var remaining []*targetRequest
	for _, w := range c.requests {
		switch {
		case !w.begun.IsZero() && now.Sub(w.begun) >= w.work:
			c.cached[w.object] = true
			done = append(done, w)
		case now.Sub(w.sent) >= requestTimeout:
			timedOut = append(timedOut, w)
		default:
			if w.begun.IsZero() && busy < slots {
				w.begun, w.work = now, missWork
				if c.cached[w.object] {
					w.work = hitWork
				}
				if c.slowness > 0 {
					w.work = time.Duration(c.slowness * float64(w.work))
				}
			}
			if !w.begun.IsZero() {
				busy++
			}
			remaining = append(remaining, w)
		}
	}
	c.requests = remaining
	return timedOut, done
}

func (c *simulatedTarget) load() *steer.TargetLoad {
	running := min(len(c.requests), slots)
	return &steer.TargetLoad{
		Running: running,
		Waiting: len(c.requests) - running,
		Slots:   slots,
	}
}

// fleetLoad describes hosts that send requests to targets whose caches are empty at first.
type fleetLoad struct {
	hosts         int
	targets       []*belief.RegisteredTarget
	objects       int
	rate          float64 // Requests per second of all hosts together.
	exchangeNotes bool
	objectCopies  steer.Mode
	targetSpeed   steer.Mode
	slowness      func(target int, elapsed time.Duration) float64 // Factor of the work of a target; nil means 1.
	warmup        time.Duration                                   // Requests that are sent before are not counted.
	until         time.Duration                                   // Requests that are sent later are not counted; 0 counts all.
	length        time.Duration                                   // At least 15 s.
}

// fleetResult holds fractions of all requests.
type fleetResult struct {
	inTime  float64
	refused float64
	wasted  float64 // Reached their deadline at a target, which wastes the target's work.

	byTarget map[string]int // Requests that were sent to each target.
}

// counts reports whether a request that is sent at the given time counts.
func (l *fleetLoad) counts(sent time.Time) bool {
	elapsed := sent.Sub(start)
	return elapsed >= l.warmup && (l.until == 0 || elapsed < l.until)
}

// run simulates the load.
func (l fleetLoad) run(t *testing.T) fleetResult {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 4))
	simulated := map[string]*simulatedTarget{}
	for _, r := range l.targets {
		simulated[r.ID] = &simulatedTarget{
			cached: map[string]bool{},
		}
	}
	placers := make([]*place.Placer, l.hosts)
	for i := range placers {
		placers[i] = place.New(place.Config{
			DataCentre: "golfo-a",
			Region:     "golfo",
			Regions:    regions,
			Features: steer.Features{
				ObjectCopies: l.objectCopies,
				TargetSpeed:  l.targetSpeed,
			},
		})
		placers[i].Update(start, newView(t, l.targets...), place.Fleet{Hosts: l.hosts})
	}
	all, answeredInTime, refused, wastedRequests := 0, 0, 0, 0
	byTarget := map[string]int{}
	length := max(l.length, 15*time.Second)
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for i, r := range l.targets {
			if l.slowness != nil {
				simulated[r.ID].slowness = l.slowness(i, now.Sub(start))
			}
		}
		for _, c := range simulated {
			timedOut, done := c.step(now)
			for _, w := range timedOut {
				if l.counts(w.sent) {
					wastedRequests++
				}
				placers[w.host].Done(now, w.choice, place.Outcome{Failed: true, TimedOut: true, Latency: now.Sub(w.sent)})
			}
			for _, w := range done {
				took := now.Sub(w.sent) + 2*networkDelay
				if took <= latencyObjective && l.counts(w.sent) {
					answeredInTime++
				}
				placers[w.host].Done(now, w.choice, place.Outcome{Latency: took, Load: c.load()})
			}
		}
		for n := l.rate*tick.Seconds() + random.NormFloat64(); n >= 1; n-- {
			counted := l.counts(now)
			if counted {
				all++
			}
			host := random.IntN(l.hosts)
			a := newRequest(fmt.Sprint(random.IntN(l.objects)))
			a.Objective, a.TimeLeft, a.Priority = latencyObjective, requestTimeout, 2
			c, refusal := placers[host].Pick(now, a)
			if refusal != nil {
				if counted {
					refused++
				}
				continue
			}
			if counted {
				byTarget[c.Target.ID]++
			}
			simulated[c.Target.ID].requests = append(simulated[c.Target.ID].requests, &targetRequest{
				host:   host,
				choice: c,
				object: a.Key,
				sent:   now,
			})
		}
		if l.exchangeNotes && now.Sub(start)%noteInterval == 0 {
			for i, p := range placers {
				notes, speeds := p.Notes(now), p.SpeedNotes(now)
				for j, q := range placers {
					if i != j {
						q.MergeNotes(now, notes)
						q.MergeSpeedNotes(now, speeds)
					}
				}
			}
		}
	}
	return fleetResult{
		inTime:  float64(answeredInTime) / float64(all),
		refused: float64(refused) / float64(all),
		wasted:  float64(wastedRequests) / float64(all),

		byTarget: byTarget,
	}
}

// simulateFleet simulates 24 hosts that start with targets whose caches are empty. It returns the fraction of requests that
// were answered in time, and the fraction that reached their deadline at a target, which wastes the target's work.
func simulateFleet(t *testing.T, rate float64, exchangeNotes bool) (inTime, wasted float64) {
	t.Helper()
	l := fleetLoad{
		hosts:         24,
		objects:       fleetObjects,
		rate:          rate,
		exchangeNotes: exchangeNotes,
	}
	for i := range 40 {
		l.targets = append(l.targets, newTarget(i, "golfo-a"))
	}
	r := l.run(t)
	return r.inTime, r.wasted
}

// Guards against hosts that each observe a small fraction of a target's load and together fill its queue until requests reach
// their deadlines. Load: 24 hosts and 40 targets with empty caches, 600 objects, 800 requests a second. The targets carry 310
// requests a second for uncached objects and 1030 for cached ones.
func TestExchangedNotesReduceWastedWork(t *testing.T) {
	alone, wastedAlone := simulateFleet(t, 800, false)
	shared, wasted := simulateFleet(t, 800, true)
	t.Logf("in time: %.3f, alone %.3f; wasted: %.3f, alone %.3f", shared, alone, wasted, wastedAlone)
	assert.Assert(t, wasted < wastedAlone/2)
	assert.Assert(t, shared >= alone)
}
