package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
)

const (
	// priorityLevels is the number of priorities that are told apart. Larger priority values count as the last level.
	priorityLevels = 3

	// customerDecay is the time constant of the demand of customers and priorities. In a large fleet, a host gets a request of
	// a small customer in some seconds.
	customerDecay = 3 * time.Second

	// probeFraction is the fraction of all admitted requests that each priority gets at least, as long as that is no more than
	// the same fraction of its own requests. The level falls when these find capacity.
	probeFraction = 0.005

	// minFairChance is the fraction of a customer's requests that is always admitted, as a fraction of the mean of its priority.
	// A quarter is promised. The rest covers the differences between hosts.
	minFairChance = 0.32

	// minOtherChance is the same for callers that have not returned twice, as a fraction of the chance of their customer.
	minOtherChance = 0.25

	// returnWeight is the weight of one request in the mean fraction of callers that have returned.
	returnWeight = 0.01

	// maxCustomers bounds the customers of a priority whose demand is kept.
	maxCustomers = 4096

	// minDemand is the demand, in requests, below which a customer is forgotten.
	minDemand = 0.05

	// fairShareSteps is the number of bisections that find the fair share. The result is within 1e-6 of the largest demand.
	fairShareSteps = 20
)

// priority is the state of the requests of one priority in a pool.
type priority struct {
	mean       float64 // Admitted fraction of the requests that can be answered in time.
	lateChance float64 // The same of the others.
	fairShare  float64 // Demand up to which a customer is admitted, in requests per second.
	minChance  float64 // Fraction of the requests that is always admitted.
	returned   float64 // Mean fraction of requests whose callers have returned twice.

	demand    rate // Of requests that can be answered in time.
	late      rate // Of the others.
	admitted  rate
	customers map[string]*usage
}

// usage is the demand of a customer at this host and at the others.
type usage struct {
	id           uint32 // Hash of the name; names of other hosts' customers are not sent.
	demand       rate
	admitted     rate
	peerDemand   float64 // Requests per second.
	peerAdmitted float64
}

// customer returns the usage of a customer, and creates it if needed. When there are too many customers, it drops all of them
// first.
func (l *priority) customer(name string) *usage {
	u := l.customers[name]
	if u == nil {
		if len(l.customers) >= maxCustomers {
			clear(l.customers)
		}
		u = &usage{
			id: customerID(name),
		}
		l.customers[name] = u
	}
	return u
}

// customerID returns the hash by which hosts name a customer to each other. Two customers with the same hash count as one at
// other hosts only, which makes their shares there smaller.
func customerID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// chance returns the probability with which a request of a customer is admitted. Callers that have returned twice go first
// within what the customer is admitted.
func (l *priority) chance(now time.Time, name string, u *usage, again bool) float64 {
	all := l.mean
	if name != "" {
		all = l.fairChance(u.perSecond(now))
	}
	first := 1.0
	if l.returned > all {
		first = all / l.returned
	}
	if again {
		return math.Max(all, first)
	}
	if l.returned >= 1 {
		return all
	}
	return math.Max(minOtherChance*all, (all-l.returned*first)/(1-l.returned))
}

// fairChance returns the fraction of a customer's demand that is admitted.
func (l *priority) fairChance(demand float64) float64 {
	if l.mean == 1 || demand <= l.fairShare {
		return 1
	}
	return math.Max(minFairChance*l.mean, l.fairShare/demand)
}

// perSecond returns the demand of a customer at all known hosts.
func (u *usage) perSecond(now time.Time) float64 {
	return u.demand.perSecond(now, customerDecay) + u.peerDemand
}

// setFairShare sets the demand up to which customers are admitted, so that the mean of all is as wanted, by max-min fairness.
// It takes the demand at other hosts by customer id.
func (l *priority) setFairShare(now time.Time, peers map[uint32]steer.CustomerDemand) {
	demands := make([]float64, 0, len(l.customers))
	total, largest := 0.0, 0.0
	for name, u := range l.customers {
		u.peerDemand, u.peerAdmitted = peers[u.id].Demand, peers[u.id].Admitted
		d := u.perSecond(now)
		if d*customerDecay.Seconds() < minDemand {
			delete(l.customers, name)
			continue
		}
		if name == "" {
			continue
		}
		demands = append(demands, d)
		total, largest = total+d, math.Max(largest, d)
	}
	if len(demands) == 0 {
		l.fairShare = math.Inf(1)
		return
	}
	low, high := 0.0, largest
	for range fairShareSteps {
		l.fairShare = (low + high) / 2
		admitted := 0.0
		for _, d := range demands {
			admitted += d * l.fairChance(d)
		}
		if admitted < l.mean*total {
			low = l.fairShare
		} else {
			high = l.fairShare
		}
	}
	l.fairShare = high
}

// share returns a customer's share of what was recently admitted.
func (l *priority) share(now time.Time, u *usage, peerAdmitted float64) float64 {
	total := l.admitted.perSecond(now, customerDecay) + peerAdmitted
	if total == 0 {
		return 0
	}
	return math.Min(1, (u.admitted.perSecond(now, customerDecay)+u.peerAdmitted)/total)
}

// appendCustomers appends the demand of the customers of this host to a list.
func (l *priority) appendCustomers(now time.Time, list []steer.CustomerDemand, level int) []steer.CustomerDemand {
	for name, u := range l.customers {
		if name != "" {
			list = append(list, steer.CustomerDemand{
				ID:       u.id,
				Priority: level,
				Demand:   u.demand.perSecond(now, customerDecay),
				Admitted: u.admitted.perSecond(now, customerDecay),
			})
		}
	}
	return list
}

// LargestCustomers returns those of the customers with the largest demand, as many as a report may hold.
func LargestCustomers(list []steer.CustomerDemand) []steer.CustomerDemand {
	slices.SortFunc(list, func(a, b steer.CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Priority, b.Priority))
	})
	return list[:min(len(list), maxReportedCustomers)]
}

func priorityIndex(priority int) int { return min(max(priority, 0), priorityLevels-1) }
