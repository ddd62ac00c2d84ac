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

// waiting is a request at a target of the fleet test.
type waiting struct {
	host   int
	choice place.Choice
	object string
	sent   time.Time
	began  time.Time // Zero in the queue.
	work   time.Duration
}

// crowd is a target that many hosts send to: it works on slots requests at once, ends those that have used their time, and
// works three times as long on an object that it does not know.
type crowd struct {
	known    map[string]bool
	requests []*waiting
}

const (
	crowdCold    = 1160 * time.Millisecond
	crowdWarm    = 348 * time.Millisecond
	crowdLimit   = 2 * time.Second
	crowdAim     = 800 * time.Millisecond
	crowdTick    = 10 * time.Millisecond
	crowdRound   = 250 * time.Millisecond
	crowdDelay   = 10 * time.Millisecond
	crowdObjects = 600
)

// step works for one tick and returns the requests that are over, those in time among them last.
func (c *crowd) step(now time.Time) (over, done []*waiting) {
	busy := 0
	var left []*waiting
	for _, w := range c.requests {
		switch {
		case !w.began.IsZero() && now.Sub(w.began) >= w.work:
			c.known[w.object] = true
			done = append(done, w)
		case now.Sub(w.sent) >= crowdLimit:
			over = append(over, w)
		default:
			if w.began.IsZero() && busy < slots {
				w.began, w.work = now, crowdCold
				if c.known[w.object] {
					w.work = crowdWarm
				}
			}
			if !w.began.IsZero() {
				busy++
			}
			left = append(left, w)
		}
	}
	c.requests = left
	return over, done
}

func (c *crowd) load() *steer.TargetLoad {
	running := min(len(c.requests), slots)
	return &steer.TargetLoad{
		Running: running,
		Waiting: len(c.requests) - running,
		Slots:   slots,
	}
}

// playCrowd plays 24 hosts that start with targets that know nothing. It returns the parts of the requests that were answered
// in time, and that ran into their time limit at a target, which wastes its work.
func playCrowd(t *testing.T, rate float64, share bool) (inTime, wasted float64) {
	t.Helper()
	const hosts, targets = 24, 40
	random := rand.New(rand.NewPCG(3, 4))
	var list []*belief.RegisteredTarget
	crowds := map[string]*crowd{}
	for i := range targets {
		r := target(i, "golfo-a")
		list = append(list, r)
		crowds[r.ID] = &crowd{
			known: map[string]bool{},
		}
	}
	placers := make([]*place.Placer, hosts)
	for i := range placers {
		placers[i] = placer(t, hosts, list...)
	}
	all, good, lost := 0, 0, 0
	for now := start; now.Before(start.Add(15 * time.Second)); now = now.Add(crowdTick) {
		for _, c := range crowds {
			over, done := c.step(now)
			for _, w := range over {
				lost++
				placers[w.host].Done(now, w.choice, place.Outcome{Failed: true, TimedOut: true, Latency: now.Sub(w.sent)})
			}
			for _, w := range done {
				took := now.Sub(w.sent) + 2*crowdDelay
				if took <= crowdAim {
					good++
				}
				placers[w.host].Done(now, w.choice, place.Outcome{Latency: took, Load: c.load()})
			}
		}
		for n := rate*crowdTick.Seconds() + random.NormFloat64(); n >= 1; n-- {
			all++
			host := random.IntN(hosts)
			a := ask(fmt.Sprint(random.IntN(crowdObjects)))
			a.Objective, a.TimeLeft, a.Priority = crowdAim, crowdLimit, 2
			c, refusal := placers[host].Pick(now, a)
			if refusal != nil {
				continue
			}
			crowds[c.Target.ID].requests = append(crowds[c.Target.ID].requests, &waiting{
				host:   host,
				choice: c,
				object: a.Key,
				sent:   now,
			})
		}
		if share && now.Sub(start)%crowdRound == 0 {
			for i, p := range placers {
				notes := p.Notes(now)
				for j, q := range placers {
					if i != j {
						q.MergeNotes(now, notes)
					}
				}
			}
		}
	}
	return float64(good) / float64(all), float64(lost) / float64(all)
}

// Guards against hosts that each see a small part of a target's load and together fill its queue until requests run into
// their time limits. Load: 24 hosts start with 40 targets that know none of 600 objects, 800 requests a second: the targets
// carry 310 a second of objects that they do not know and 1030 of others.
func TestHostsShareWhatTheySeeOfTargets(t *testing.T) {
	alone, wastedAlone := playCrowd(t, 800, false)
	together, wasted := playCrowd(t, 800, true)
	t.Logf("in time: %.3f, alone %.3f; wasted: %.3f, alone %.3f", together, alone, wasted, wastedAlone)
	assert.Assert(t, wasted < wastedAlone/2)
	assert.Assert(t, together >= alone)
}
