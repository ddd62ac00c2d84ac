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

	// uncachedMargin is the same if the alternate has to load the object, which takes about three times as long. Such a request
	// moves only if it would be late at the first target anyway.
	uncachedMargin = 0.3
)

// usesCopies reports whether an object has two targets in its region.
func (s *service) usesCopies() bool {
	return s.features.ObjectCopies.Enabled(s.contested || s.reportsWorkFactor())
}

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

// chooseCopy returns the first target for an object in a region, and the one of its two targets at which a request is expected to take
// less time. The alternate counts only if it has the object in its cache, or if the request would miss its objective at the first
// target anyway.
func (s *service) chooseCopy(now time.Time, request *Request, hash uint64, region string) (first, chosen *targetState) {
	c := s.copiesOf(now, request, hash, region)
	if c.alternate == nil {
		return c.first, c.first
	}
	expected := s.expectedTime(now, c.first, request)
	margin := copyMargin
	if request.Key != "" && !s.objects.knows(now, c.alternate, hash) {
		if request.Objective == 0 || expected <= request.Objective.Seconds() {
			return c.first, c.first
		}
		margin = uncachedMargin
	}
	if s.expectedTime(now, c.alternate, request)+margin*s.work.value < expected {
		return c.first, c.alternate
	}
	return c.first, c.first
}

// expectedTime returns the time in seconds that a request for a cached object is expected to take at a target.
func (s *service) expectedTime(now time.Time, t *targetState, request *Request) float64 {
	capacity := t.capacity(now)
	queue := math.Max(0, t.estimatedLoad(now)+1-capacity) / capacity
	return t.noticedSlowness(now) * (s.expectedWork(request.Class) + s.work.value*queue)
}
