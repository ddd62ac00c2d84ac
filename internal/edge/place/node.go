package place

import (
	"math"
	"math/rand/v2"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

const (
	// reportWorks is the age from which a reported load says nothing any more, in times the mean work of a request: a queue
	// of one or two requests for each slot is worked off by then. reportLeast and reportMost bound it.
	reportWorks = 2.0
	reportLeast = 800 * time.Millisecond
	reportMost  = 4 * time.Second

	// failLimit is the number of failures in a row from which a target is left alone.
	failLimit = 3

	// ejectFirst and ejectMost bound the time for which it is left alone; it doubles while trials fail.
	ejectFirst = 700 * time.Millisecond
	ejectMost  = 6 * time.Second

	// averageWeight is the weight of one sample in a moving average.
	averageWeight = 0.1
)

// average is an exponentially weighted moving average.
type average struct {
	value float64
	count int
}

func (a *average) add(x float64) {
	a.count++
	weight := math.Max(averageWeight, 1/float64(a.count))
	a.value += weight * (x - a.value)
}

// node is what this host knows of one target.
type node struct {
	target   *belief.RegisteredTarget
	service  *service
	flight   int // Requests of this host in progress.
	others   float64
	reported time.Time // When the last report came; zero for never.
	fails    int       // In a row.
	ejected  time.Time // Left alone until then.
	pause    time.Duration
	gentle   time.Time // Treated as cold until then.
	seed     uint64    // Hash of its id.
	gone     bool      // Another target has its address.
	total    float64   // Requests at the target as this host last saw reported, its own included.
	answered int       // Requests of this host since the last note.
	failed   int
	broke    bool      // One of them had no connection, or one that ended.
	told     bool      // The last note said that the target is busy.
	tokens   float64   // Of a cold target.
	filled   time.Time // When tokens was reckoned; zero while the target is warm.
}

func (n *node) age(now time.Time) time.Duration {
	if n.reported.IsZero() {
		return -1
	}
	return now.Sub(n.reported)
}

// estimate is the number of requests at the target: those of this host, and those of others as last reported, which count
// for less as the report ages.
func (n *node) estimate(now time.Time) float64 {
	load := float64(n.flight)
	if age := n.age(now); age >= 0 && age < n.service.life {
		load += n.others * (1 - age.Seconds()/n.service.life.Seconds())
	}
	return load
}

// slots is the number of requests that the target works on at once.
func (n *node) slots() float64 { return float64(max(n.target.Slots, 1)) }

// use is the load of the target relative to its slots.
func (n *node) use(now time.Time) float64 { return n.estimate(now) / n.slots() }

// usable reports whether the target may be sent a request at all.
func (n *node) usable(now time.Time) bool {
	return !n.gone && !now.Before(n.ejected)
}

// coldBurst is the number of requests that a cold target may get at once from one host.
const coldBurst = 1

// cold reports whether the target tolerates few requests. One that was silent and answers again may have started anew.
func (n *node) cold(now time.Time) bool {
	return now.Before(n.target.ColdUntil) || now.Before(n.gentle)
}

// warm reports whether the target is warm, or cold with a token left at the given rate per second.
func (n *node) warm(now time.Time, rate float64) bool {
	if !n.cold(now) {
		n.filled = time.Time{}
		return true
	}
	if n.filled.IsZero() {
		n.tokens, n.filled = rand.Float64(), now // Hosts send their first request at different times.
	}
	n.tokens = math.Min(coldBurst, n.tokens+rate*now.Sub(n.filled).Seconds())
	n.filled = now
	return n.tokens >= 1
}

// spend takes a token of a cold target.
func (n *node) spend(now time.Time) {
	if n.cold(now) {
		n.tokens--
	}
}

func (n *node) finish(now, started time.Time, o Outcome) {
	n.flight--
	if o.Load != nil {
		n.report(now, *o.Load)
	}
	if o.Gone {
		n.gone = true
		return
	}
	if o.Inconclusive {
		return
	}
	if o.Failed {
		n.failed++
		n.broke = n.broke || o.ConnectionLost
	} else {
		n.answered++
	}
	if n.judge(now, started, o.Failed) {
		n.leave(now, o.ConnectionLost, false)
	}
}

// leave notes that the target is left alone from now on.
func (n *node) leave(now time.Time, broke, told bool) {
	if broke {
		n.gentle = n.ejected.Add(n.service.warmup)
	}
	n.service.alone(Ejection{
		Target:    n.target.ID,
		Period:    n.ejected.Sub(now),
		Failures:  n.fails + 1,
		FromPeers: told,
		SlowStart: broke,
	})
}

// report takes a reported load.
func (n *node) report(at time.Time, load steer.TargetLoad) {
	n.total = float64(load.Running + load.Waiting)
	n.others = math.Max(0, n.total-float64(n.flight))
	n.reported = at
}

// noteUse is the use from which other hosts are told the load of a target: below it nobody needs to know.
const noteUse = 0.7

// note returns what other hosts should know of the target since the last note, and reports whether there is anything.
func (n *node) note(now time.Time) (steer.TargetObservation, bool) {
	age := n.age(now)
	fresh := age >= 0 && age < n.service.life
	busy := fresh && n.total >= noteUse*n.slots()
	note := steer.TargetObservation{
		Target:   n.target.ID,
		Answered: n.answered,
		Failed:   n.failed,
		Broke:    n.broke,
	}
	if fresh {
		note.Age = age
		note.Load = steer.TargetLoad{
			Running: int(math.Min(n.total, n.slots())),
			Waiting: int(math.Max(0, n.total-n.slots())),
			Slots:   n.target.Slots,
		}
	}
	tell := n.failed > 0 || (n.answered > 0 && (busy || n.told || n.fails > 0))
	if tell {
		n.told = busy
	}
	n.answered, n.failed, n.broke = 0, 0, false
	return note, tell
}

// learn takes the note of another host.
func (n *node) learn(now time.Time, note steer.TargetObservation) {
	if at := now.Add(-note.Age); note.Load.Slots > 0 && at.After(n.reported) {
		n.report(at, note.Load)
	}
	if note.Answered > 0 {
		n.judge(now, now, false)
		return
	}
	for range min(note.Failed, failLimit) {
		if n.judge(now, now, true) {
			n.leave(now, note.Broke, true)
		}
	}
}

// judge counts failures in a row, and reports whether the target is left alone from now on. A failure of a request that
// started before it was left alone tells nothing new.
func (n *node) judge(now, started time.Time, failed bool) bool {
	if !failed {
		n.fails, n.pause = 0, 0
		return false
	}
	if started.Before(n.ejected) {
		return false
	}
	n.fails++
	if n.fails < failLimit {
		return false
	}
	n.pause = min(max(2*n.pause, ejectFirst), ejectMost)
	n.ejected = now.Add(n.pause)
	n.fails = failLimit - 1 // One more failure after the pause ejects it again.
	return true
}
