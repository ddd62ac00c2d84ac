package entry

import (
	"time"

	"monsoonhub.example/steer"
)

const (
	// reportTTL is the time for which the report of a host counts. It is some rounds of messages, which hosts with a small processor
	// share send late.
	reportTTL = 2 * time.Second

	// addAbove and removeBelow are the mean loads of the named hosts above which narrow hosts are added and below which they are
	// removed.
	addAbove    = 0.5
	removeBelow = 0.3

	// maxAfterRemoval is the largest load of a named host that a removal may lead to. It is below addAbove, so that a removal is not
	// undone at once.
	maxAfterRemoval = 0.4

	// minGain is the part by which a change under load must lower the largest load.
	minGain = 0.1

	// addAfter is the time for which the load must exceed addAbove, so that one late measurement adds no host.
	addAfter = time.Second

	// addInterval is the time between two additions. Callers keep an answer of the directory for up to three times maxDirectoryTTL
	// (1.5 s) of package node, so the effect of an addition shows after 4.5 s.
	addInterval = 5 * time.Second

	// A host is quiet if it has not reported for quietAfter, two rounds of messages. If the hosts that are always named are all quiet for
	// silentAfter, narrow ones are named too. Together this is shorter than the term of a registration, 4 s.
	quietAfter  = 500 * time.Millisecond
	silentAfter = 700 * time.Millisecond

	// followFor is the time for which the number in the report of another host is followed. The host may have died since.
	followFor = 800 * time.Millisecond

	// removeAfter is the time for which the load must stay below removeBelow, and that between two removals. A removal costs the callers
	// of the host their connections. Demand that oscillates with a period of 36 s, and exceeds addAbove at its peak, is below
	// removeBelow for 17 s of each period, which must not remove and add hosts each time.
	removeAfter = 20 * time.Second
)

// report is the last report of a host.
type report struct {
	load       steer.HostLoad
	receivedAt time.Time
}

// extra is the number of narrow hosts that are named for a data centre, with the times since which something has called for a change.
type extra struct {
	count      int
	changedAt  time.Time
	aboveSince time.Time // Zero while no named host is loaded too much.
	belowSince time.Time // Zero while the load is known and not below removeBelow.
	quietSince time.Time // Zero unless all hosts that are always named are quiet.
}

// set changes the number of hosts.
func (x *extra) set(now time.Time, count int) {
	if count != x.count {
		*x = extra{
			count:      count,
			changedAt:  now,
			quietSince: x.quietSince,
		}
	}
}

// follow takes over the number that another host has decided on.
func (x *extra) follow(now time.Time, count int) {
	x.set(now, count)
	x.aboveSince, x.belowSince, x.quietSince = time.Time{}, time.Time{}, time.Time{}
}

// update decides on the number of narrow hosts. The hosts of the data centre are in the order of sortByCapacity, which returned
// fixed. The loads are those that are known, by id of the host. The last parameter tells that all hosts that are always named are quiet.
func (x *extra) update(now time.Time, hosts []*steer.HostEntry, fixed int, loads map[string]steer.HostLoad, quiet bool) {
	narrow := len(hosts) - fixed
	x.count = min(x.count, narrow)
	x.quietSince = since(x.quietSince, now, quiet)
	if quiet && now.Sub(x.quietSince) >= silentAfter {
		x.set(now, narrow)
		return
	}
	named := hosts[:fixed+x.count]
	d := sumDemand(named, loads)
	mayAdd := d.meanLoad > addAbove
	x.aboveSince = since(x.aboveSince, now, d.known && (mayAdd || x.count > 0 && d.largestLoad(named) > addAbove))
	x.belowSince = since(x.belowSince, now, !d.known || d.meanLoad < removeBelow)
	switch {
	case !x.aboveSince.IsZero():
		if now.Sub(x.aboveSince) < addAfter || now.Sub(x.changedAt) < addInterval {
			return
		}
		maxCount := x.count
		if mayAdd {
			maxCount = narrow
		}
		x.set(now, d.countUnderLoad(hosts, fixed, x.count, maxCount))
	case x.count == 0 || x.belowSince.IsZero() || now.Sub(x.belowSince) < removeAfter:
	case !d.known:
		x.set(now, 0)
	default:
		x.set(now, d.countToRemove(hosts, fixed, x.count))
	}
}

// since returns the time since which a condition holds, given that time so far, and zero if the condition does not hold.
func since(start, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case start.IsZero():
		return now
	default:
		return start
	}
}

// demand is what callers take from the named hosts of a data centre.
type demand struct {
	known    bool    // At least half of the named hosts have reported.
	meanLoad float64 // Mean over these hosts of the larger share, of link or processor, in use.
	linkMbps float64
	cores    float64
}

// sumDemand returns the demand at the named hosts. Hosts that have not reported, or whose capacity is unknown, count as the mean of the
// others.
func sumDemand(named []*steer.HostEntry, loads map[string]steer.HostLoad) demand {
	var d demand
	var reported, withLink, withCores float64
	for _, h := range named {
		load, ok := loads[h.ID]
		if !ok {
			continue
		}
		reported++
		d.meanLoad += max(load.Link, load.CPU)
		if h.LinkMbps > 0 {
			withLink++
			d.linkMbps += load.Link * h.LinkMbps
		}
		if h.CPUCores > 0 {
			withCores++
			d.cores += load.CPU * h.CPUCores
		}
	}
	hosts := float64(len(named))
	d.known = reported > 0 && 2*reported >= hosts
	d.meanLoad /= max(reported, 1)
	d.linkMbps *= hosts / max(withLink, 1)
	d.cores *= hosts / max(withCores, 1)
	return d
}

// largestLoad returns the largest load of a host if callers spread the demand evenly over the given ones, or 0 if no capacity is
// known.
func (d demand) largestLoad(named []*steer.HostEntry) float64 {
	largest := 0.0
	for _, h := range named {
		largest = max(largest, share(d.linkMbps/float64(len(named)), h.LinkMbps), share(d.cores/float64(len(named)), h.CPUCores))
	}
	return largest
}

// countUnderLoad returns the number of narrow hosts, up to maxCount, with the smallest largest load, or, if that is more than count, the
// smallest number from there on with which no host is loaded above addAbove. The best number may be less than count: callers spread
// evenly, so a narrow host next to wide ones may get more than it can carry. It returns count if no other number lowers the largest load
// by minGain. If no capacity is known, it adds one host.
func (d demand) countUnderLoad(hosts []*steer.HostEntry, fixed, count, maxCount int) int {
	best, bestCount := d.largestLoad(hosts[:fixed+count])*(1-minGain), count
	if best == 0 {
		return min(count+1, maxCount)
	}
	for n := range maxCount + 1 {
		load := d.largestLoad(hosts[:fixed+n])
		if load >= best {
			continue
		}
		best, bestCount = load, n
		if n > count && load <= addAbove {
			break
		}
	}
	return bestCount
}

// countToRemove returns the next smaller number of narrow hosts with which no host is loaded above maxAfterRemoval, and count if there
// is none.
func (d demand) countToRemove(hosts []*steer.HostEntry, fixed, count int) int {
	for n := count - 1; n >= 0; n-- {
		if d.largestLoad(hosts[:fixed+n]) <= maxAfterRemoval {
			return n
		}
	}
	return count
}
