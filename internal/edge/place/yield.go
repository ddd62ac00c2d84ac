package place

import (
	"math"
	"time"
)

const (
	// priorityLevels is the number of priorities that are told apart. Larger priority values count as the last level.
	priorityLevels = 3

	// withholdStep is the fraction of the admitted requests of a level that are withheld after a more urgent one was refused.
	withholdStep = 0.5

	// maxWithheld bounds the fraction of requests that are withheld, so that no level is starved.
	maxWithheld = 0.75

	// withheldPerServed is the decrease of the fraction that is withheld, for each more urgent request that finds a target.
	// Together with withholdStep it lets a few in a hundred urgent requests be refused.
	withheldPerServed = 0.01

	// withheldDecay is the decrease of that fraction per second, for when no urgent requests come.
	withheldDecay = 0.02
)

// yielding withholds a fraction of the less urgent requests from targets with limits while more urgent requests are refused.
// The load of such a target says nothing about its limit, so the limits on loads do not keep room for urgent requests there.
type yielding struct {
	levels [priorityLevels]yieldLevel
}

// yieldLevel is the state of the requests of one priority.
type yieldLevel struct {
	withheld  float64 // Fraction of requests that are withheld.
	updatedAt time.Time
	credit    float64 // Sum of admitted fractions that have not yet become an admitted request.
}

// record records whether a request of a priority found a target.
func (y *yielding) record(now time.Time, priority int, served bool) {
	for i := priorityLevel(priority) + 1; i < priorityLevels; i++ {
		l := &y.levels[i]
		l.decay(now)
		if served {
			l.withheld = math.Max(0, l.withheld-withheldPerServed)
			continue
		}
		l.withheld = math.Min(maxWithheld, l.withheld+withholdStep*(1-l.withheld))
	}
}

// withholds reports whether the next request of a priority must leave targets with limits to more urgent requests.
func (y *yielding) withholds(now time.Time, priority int) bool {
	l := &y.levels[priorityLevel(priority)]
	l.decay(now)
	if l.withheld == 0 {
		return false
	}
	l.credit += 1 - l.withheld
	if l.credit >= 1 {
		l.credit--
		return false
	}
	return true
}

func (l *yieldLevel) decay(now time.Time) {
	l.withheld = math.Max(0, l.withheld-withheldDecay*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
}

func priorityLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }
