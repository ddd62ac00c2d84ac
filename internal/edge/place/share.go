package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxShareChange is the largest fraction of a region's requests that may move to other regions per second after a change
	// of capacity. A fleet may move at most 15 % within two seconds. This rate and maxSpillChange together use 9 %; the rest
	// is a margin for bursts of requests.
	maxShareChange = 0.025
)

// share is the fraction of this host's requests that goes to one region. Lists of shares keep regions in a fixed order.
type share struct {
	region   string
	fraction float64
}

// divideDemand divides the demand of one region among all regions by their capacity. It assumes the same demand in every
// region. The own region keeps what it can carry at the mean load of all regions. The rest goes to the others in proportion
// to their spare capacity. The own region comes first. The result is nil if no region has capacity.
func divideDemand(ownRegion string, capacity map[string]float64) []share {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total == 0 {
		return nil
	}
	demand := 1 / float64(len(capacity))
	room := map[string]float64{}
	excess := 0.0
	for name, c := range capacity {
		kept := math.Min(demand, c/total)
		if name == ownRegion {
			excess = demand - kept
			continue
		}
		if left := c/total - kept; left > 0 {
			room[name] = left
		}
	}
	shares := []share{
		{
			region:   ownRegion,
			fraction: 1 - excess/demand,
		},
	}
	sum := 0.0
	for _, r := range room {
		sum += r
	}
	for _, name := range slices.Sorted(maps.Keys(room)) {
		if sum > 0 {
			shares = append(shares, share{
				region:   name,
				fraction: excess / demand * room[name] / sum,
			})
		}
	}
	return shares
}

// regionAt returns the region at a position in [0, 1), or "" if there are no shares.
func regionAt(shares []share, position float64) string {
	for _, s := range shares {
		if position < s.fraction {
			return s.region
		}
		position -= s.fraction
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[0].region
}

// moveTowards moves shares towards a goal by at most the given fraction of all requests. Regions without capacity lose their
// share at once.
func moveTowards(shares, goal []share, step float64, capacity map[string]float64) []share {
	current := map[string]float64{}
	freed := 0.0
	for _, s := range shares {
		if capacity[s.region] > 0 {
			current[s.region] = s.fraction
		} else {
			freed += s.fraction
		}
	}
	distance, lacking := 0.0, 0.0
	for _, s := range goal {
		if d := s.fraction - current[s.region]; d > 0 {
			distance += d
			lacking += d
		}
	}
	if lacking == 0 {
		return goal
	}
	fraction := math.Min(1, (step+freed)/distance)
	var moved []share
	for _, s := range goal {
		moved = append(moved, share{
			region:   s.region,
			fraction: current[s.region] + fraction*(s.fraction-current[s.region]),
		})
		delete(current, s.region)
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if left := current[name] * (1 - fraction); left > 0 {
			moved = append(moved, share{
				region:   name,
				fraction: left,
			})
		}
	}
	return moved
}

// maxStep returns the fraction of requests that may move within a span of time.
func maxStep(d time.Duration) float64 { return maxShareChange * d.Seconds() }
