package entry

import (
	"cmp"
	"math"
	"slices"

	"monsoonhub.example/steer"
)

const (
	// wideFactor is the factor by which the link of a host must be narrower than the widest one of its data centre for the host to
	// count as narrow. With even callers, a host of a quarter of the link queues responses long before the others do.
	wideFactor = 4

	// minNamed is the number of hosts of a data centre that are named at least, if there are as many, so that callers have another
	// one when a host dies.
	minNamed = 2
)

// known returns a registered capacity, and infinity if it is unknown: a host of unknown capacity counts as wide.
func known(capacity float64) float64 {
	if !(capacity > 0) {
		return math.Inf(1)
	}
	return capacity
}

// compareCapacity orders hosts by capacity, the largest first, and by id.
func compareCapacity(a, b *steer.HostEntry) int {
	return cmp.Or(
		cmp.Compare(known(b.LinkMbps), known(a.LinkMbps)),
		cmp.Compare(known(b.CPUCores), known(a.CPUCores)),
		cmp.Compare(a.ID, b.ID),
	)
}

// sortByCapacity sorts the hosts of one data centre by capacity. It returns the number of hosts that are named whatever their
// load: the wide ones, but at least minNamed.
func sortByCapacity(hosts []*steer.HostEntry) int {
	slices.SortFunc(hosts, compareCapacity)
	widest := 0.0
	for _, h := range hosts {
		if h.LinkMbps > 0 {
			widest = h.LinkMbps // The first known one.
			break
		}
	}
	wide := 0
	for _, h := range hosts {
		if known(h.LinkMbps)*wideFactor > widest {
			wide++
		}
	}
	return min(max(wide, minNamed), len(hosts))
}
