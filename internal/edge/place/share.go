package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// moveRate is the largest part of the requests of a region that changes its region within one second because capacity
	// changed. A fleet is held to 15 % within two seconds; this and spillStep together use 9 %, and the rest is left for
	// requests that arrive in clumps.
	moveRate = 0.025
)

// share is the part of this host's requests that goes to one place, with places in a fixed order.
type share struct {
	place string
	part  float64
}

// spread divides the demand of one place among all places by their capacity. Every place has the same demand. The own place
// keeps what it can carry at the mean use of all; the rest goes to the others in proportion to the room that they have left.
// The own place comes first.
func spread(own string, capacity map[string]float64) []share {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total == 0 {
		return nil
	}
	demand := 1 / float64(len(capacity))
	room := map[string]float64{}
	rest := 0.0
	for name, c := range capacity {
		kept := math.Min(demand, c/total)
		if name == own {
			rest = demand - kept
			continue
		}
		if left := c/total - kept; left > 0 {
			room[name] = left
		}
	}
	shares := []share{
		{
			place: own,
			part:  1 - rest/demand,
		},
	}
	sum := 0.0
	for _, r := range room {
		sum += r
	}
	for _, name := range slices.Sorted(maps.Keys(room)) {
		if sum > 0 {
			shares = append(shares, share{
				place: name,
				part:  rest / demand * room[name] / sum,
			})
		}
	}
	return shares
}

// pick returns the place at a position in [0, 1).
func pick(shares []share, position float64) string {
	for _, s := range shares {
		if position < s.part {
			return s.place
		}
		position -= s.part
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[0].place
}

// approach moves shares towards a goal by at most the given part of all requests. Places without capacity are left at once.
func approach(now, goal []share, step float64, capacity map[string]float64) []share {
	current := map[string]float64{}
	freed := 0.0
	for _, s := range now {
		if capacity[s.place] > 0 {
			current[s.place] = s.part
		} else {
			freed += s.part
		}
	}
	distance, lacking := 0.0, 0.0
	for _, s := range goal {
		if d := s.part - current[s.place]; d > 0 {
			distance += d
			lacking += d
		}
	}
	if lacking == 0 {
		return goal
	}
	part := math.Min(1, (step+freed)/distance)
	var moved []share
	for _, s := range goal {
		moved = append(moved, share{
			place: s.place,
			part:  current[s.place] + part*(s.part-current[s.place]),
		})
		delete(current, s.place)
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if left := current[name] * (1 - part); left > 0 {
			moved = append(moved, share{
				place: name,
				part:  left,
			})
		}
	}
	return moved
}

// stepOf is the part that may move in a span of time.
func stepOf(d time.Duration) float64 { return moveRate * d.Seconds() }
