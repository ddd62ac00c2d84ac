package place

import (
	"math"
	"time"
)

const (
	// copyMargin is by how much less time a request must take at the alternate target, relative to the mean work of a request, if the
	// alternate has the object in its cache. It keeps requests at the first target while both are about equal, since loads are
	// known with a delay.
	copyMargin = 0.2

	// uncachedMargin is by how much shorter the queue of the alternate must be, in requests for each slot, if it has to load the
	// object. Such a request moves only if it would be late at the first target anyway.
	uncachedMargin = 0.3

	// uncachedCost is the work for an object that is not in the cache of its target, relative to that for one that is.
	uncachedCost = 3.0
)

// usesCopies reports whether an object has two targets in its region.
func (s *service) usesCopies() bool { return s.uses(s.features.ObjectCopies) }

// copies are the two targets of a region that keep an object, in different data centres.
type copies struct {
	first     *targetState
	alternate *targetState // Nil if the region has usable targets in one data centre only.
}

// copiesOf returns the targets of a region for an object: the one that the object prefers, and the one that it prefers in the
// other data centres. A request with a large answer takes the target in this host's data centre first, so that the answer does
// not cross data centres.
func (s *service) copiesOf(now time.Time, request *Request, hash uint64, region string) copies {
	type candidate struct {
		target *targetState
		score  float64
	}
	var best []candidate // Of each data centre; a region has few.
	for t := range s.usable(now, *request, func(other string) bool { return other == region }) {
		score := t.score(hash)
		known := false
		for i := range best {
			b := &best[i]
			if b.target.target.DataCentre != t.target.DataCentre {
				continue
			}
			known = true
			if score > b.score {
				b.target, b.score = t, score
			}
		}
		if !known {
			best = append(best, candidate{
				target: t,
				score:  score,
			})
		}
	}
	var result copies
	firstScore, alternateScore := 0.0, 0.0
	for _, b := range best {
		score := b.score
		if request.LargeAnswer && b.target.target.DataCentre == s.ownDataCentre {
			score = math.Inf(1)
		}
		switch {
		case result.first == nil || score > firstScore:
			result.alternate, alternateScore = result.first, firstScore
			result.first, firstScore = b.target, score
		case result.alternate == nil || score > alternateScore:
			result.alternate, alternateScore = b.target, score
		}
	}
	return result
}

// chooseCopy returns the first target for an object in a region, the alternate, which is nil if there is none, and the one of them at
// which a request is expected to take less time. If the alternate does not have the object in its cache, it counts only if the request
// would miss its objective at the first target, and then only for its shorter queue, or if the first target is so slow that loading the
// object takes less time.
func (s *service) chooseCopy(now time.Time, request *Request, hash uint64, region string) (first, alternate, chosen *targetState) {
	c := s.copiesOf(now, request, hash, region)
	if c.alternate == nil {
		return c.first, c.alternate, c.first
	}
	queue, alternateQueue := c.first.queue(now), c.alternate.queue(now)
	slowness, alternateSlowness := c.first.noticedSlowness(now), c.alternate.noticedSlowness(now)
	work, own := s.work.value, s.expectedWork(request.Class)
	expected := slowness * (own + work*queue)
	better := false
	if request.Key == "" || s.objects.knows(now, c.alternate, hash) {
		better = alternateSlowness*(own+work*alternateQueue)+copyMargin*work < expected
	} else if request.Objective > 0 && expected > request.Objective.Seconds() {
		better = alternateQueue+uncachedMargin < queue || slowness > uncachedCost*alternateSlowness
	}
	if better {
		return c.first, c.alternate, c.alternate
	}
	return c.first, c.alternate, c.first
}

// queue returns the length of the queue that one more request finds, in requests for each slot.
func (t *targetState) queue(now time.Time) float64 {
	capacity := t.capacity(now)
	return math.Max(0, t.estimatedLoad(now)+1-capacity) / capacity
}
