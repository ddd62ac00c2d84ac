package region

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

// Share is the fraction of the requests of one region that goes to a region. Lists of shares keep regions in a fixed order.
type Share struct {
	Region   string
	Fraction float64
}

// Divide divides the requests of one region among all regions by their capacity. The demand holds the fraction of all requests that
// comes from each region; without one for each region with capacity, demand counts as equal. The own region keeps what it can carry
// at the mean load of all regions. The rest goes to the others in proportion to their spare capacity. The own region comes first. The
// result is nil if no region has capacity.
func Divide(ownRegion string, capacity, demand map[string]float64) []Share {
	total := 0.0
	for _, c := range capacity {
		total += c
	}
	if total == 0 {
		return nil
	}
	if !complete(capacity, demand) {
		demand = equalDemand(capacity)
	}
	own := demand[ownRegion]
	room := map[string]float64{}
	excess := 0.0
	for name, c := range capacity {
		kept := math.Min(demand[name], c/total)
		if name == ownRegion {
			excess = own - kept
			continue
		}
		if left := c/total - kept; left > 0 {
			room[name] = left
		}
	}
	shares := []Share{
		{
			Region:   ownRegion,
			Fraction: 1 - excess/own,
		},
	}
	sum := 0.0
	for _, r := range room {
		sum += r
	}
	for _, name := range slices.Sorted(maps.Keys(room)) {
		if sum > 0 {
			shares = append(shares, Share{
				Region:   name,
				Fraction: excess / own * room[name] / sum,
			})
		}
	}
	return shares
}

// complete reports whether the demand of each region is known.
func complete(capacity, demand map[string]float64) bool {
	for name := range capacity {
		if !(demand[name] > 0) {
			return false
		}
	}
	return true
}

func equalDemand(capacity map[string]float64) map[string]float64 {
	demand := make(map[string]float64, len(capacity))
	for name := range capacity {
		demand[name] = 1 / float64(len(capacity))
	}
	return demand
}

// At returns the region at a position in [0, 1), or "" if there are no shares.
func At(shares []Share, position float64) string {
	for _, s := range shares {
		if position < s.Fraction {
			return s.Region
		}
		position -= s.Fraction
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[0].Region
}

// MoveTowards moves shares towards a goal by at most the given fraction of all requests. Regions without capacity lose their
// share at once.
func MoveTowards(shares, goal []Share, step float64, capacity map[string]float64) []Share {
	current := map[string]float64{}
	freed := 0.0
	for _, s := range shares {
		if capacity[s.Region] > 0 {
			current[s.Region] = s.Fraction
		} else {
			freed += s.Fraction
		}
	}
	distance, lacking := 0.0, 0.0
	for _, s := range goal {
		if d := s.Fraction - current[s.Region]; d > 0 {
			distance += d
			lacking += d
		}
	}
	if lacking == 0 {
		return goal
	}
	fraction := math.Min(1, (step+freed)/distance)
	var moved []Share
	for _, s := range goal {
		moved = append(moved, Share{
			Region:   s.Region,
			Fraction: current[s.Region] + fraction*(s.Fraction-current[s.Region]),
		})
		delete(current, s.Region)
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if left := current[name] * (1 - fraction); left > 0 {
			moved = append(moved, Share{
				Region:   name,
				Fraction: left,
			})
		}
	}
	return moved
}

// MaxStep returns the fraction of requests that may move within a span of time.
func MaxStep(d time.Duration) float64 { return maxShareChange * d.Seconds() }
