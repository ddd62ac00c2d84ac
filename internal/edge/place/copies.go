package place

import (
	"math"
	"time"
)

const (
	// copyMargin is by how much shorter the queue of the alternate target must be, in requests for each slot, if it has the object in
	// its cache. It keeps requests at the first target while both queues are about equal, since loads are known with a delay.
	copyMargin = 0.2

	// uncachedMargin is the same if the alternate has to load the object, which takes about three times as long. Such a request
	// moves only if it would be late at the first target anyway.
	uncachedMargin = 0.3

	// objectMemory is the time for which a target is taken to keep an object that this host sent there: at least one and at most
	// two times objectMemory.
	objectMemory = 10 * time.Second

	// maxRecentObjects bounds the objects that are remembered for a target within objectMemory. Targets keep some tens of objects.
	maxRecentObjects = 64
)

// usesCopies reports whether an object has two targets in its region.
func (s *service) usesCopies() bool {
	return s.features.ObjectCopies.Enabled(s.contested || s.reportsWorkFactor)
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
		weight uint64
	}
	var best []candidate // Of each data centre; a region has few.
	for t := range s.usable(now, *request, func(other string) bool { return other == region }) {
		weight := mix(hash ^ t.idHash)
		known := false
		for i := range best {
			b := &best[i]
			if b.target.target.DataCentre != t.target.DataCentre {
				continue
			}
			known = true
			if weight > b.weight {
				b.target, b.weight = t, weight
			}
		}
		if !known {
			best = append(best, candidate{
				target: t,
				weight: weight,
			})
		}
	}
	var result copies
	firstWeight, alternateWeight := uint64(0), uint64(0)
	for _, b := range best {
		weight := b.weight
		if request.LargeAnswer && b.target.target.DataCentre == s.ownDataCentre {
			weight = math.MaxUint64
		}
		switch {
		case result.first == nil || weight > firstWeight:
			result.alternate, alternateWeight = result.first, firstWeight
			result.first, firstWeight = b.target, weight
		case result.alternate == nil || weight > alternateWeight:
			result.alternate, alternateWeight = b.target, weight
		}
	}
	return result
}

// chooseCopy returns the first target for an object in a region, and the one with the shorter queue of the two that keep the object.
// The queue of the alternate counts only if it has the object in its cache, or if the request would miss its objective at the
// first target anyway.
func (s *service) chooseCopy(now time.Time, request *Request, hash uint64, region string) (first, chosen *targetState) {
	c := s.copiesOf(now, request, hash, region)
	if c.alternate == nil {
		return c.first, c.first
	}
	chosen = c.first
	wait, alternateWait := c.first.queue(now), c.alternate.queue(now)
	if c.alternate.objects.contains(now, hash) {
		if alternateWait+copyMargin < wait {
			chosen = c.alternate
		}
	} else if s.lateAfter(wait, request) && alternateWait+uncachedMargin < wait {
		chosen = c.alternate
	}
	chosen.objects.add(now, hash)
	return c.first, chosen
}

// lateAfter reports whether a request is expected to miss its objective behind a queue, given in requests for each slot.
func (s *service) lateAfter(queue float64, request *Request) bool {
	return request.Objective > 0 && s.expectedWork(request.Class)+s.work.value*queue > request.Objective.Seconds()
}

// queue returns the length of the queue that one more request finds, in requests for each slot.
func (t *targetState) queue(now time.Time) float64 {
	return math.Max(0, t.estimatedLoad(now)+1-t.slots()) / t.slots()
}

// recentObjects remembers the objects that were sent to a target lately. It drops the older half of them at a time.
type recentObjects struct {
	current, previous map[uint64]struct{}
	rotatedAt         time.Time
}

func (r *recentObjects) add(now time.Time, hash uint64) {
	r.rotate(now)
	if len(r.current) >= maxRecentObjects {
		r.previous, r.current = r.current, nil
	}
	if r.current == nil {
		r.current = map[uint64]struct{}{}
	}
	r.current[hash] = struct{}{}
}

func (r *recentObjects) contains(now time.Time, hash uint64) bool {
	r.rotate(now)
	if _, ok := r.current[hash]; ok {
		return true
	}
	_, ok := r.previous[hash]
	return ok
}

func (r *recentObjects) rotate(now time.Time) {
	elapsed := now.Sub(r.rotatedAt)
	if elapsed < objectMemory {
		return
	}
	r.previous, r.current, r.rotatedAt = r.current, nil, now
	if elapsed >= 2*objectMemory {
		r.previous = nil
	}
}
