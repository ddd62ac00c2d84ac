package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

const (
	// reportLife is the time after which a report of other hosts is no longer used.
	reportLife = 2 * time.Second

	// customerInterval is the minimum time between two reports with customers.
	customerInterval = time.Second

	// minReportedSum is the sum of samples below which a host without a level reports nothing. A host reports for more than a
	// second after a request found no free slot, so that hosts with few refusals count beside those with many.
	minReportedSum = 0.02

	// maxReportedCustomers bounds the customers in a report. Max-min fairness limits the largest customers only, so the demand
	// of the others need not be known exactly.
	maxReportedCustomers = 48

	// maxPeers bounds the hosts of a data centre whose reports are kept.
	maxPeers = 512
)

// peerReport is the last report of other hosts about a pool.
type peerReport struct {
	report      steer.AdmissionReport
	receivedAt  time.Time
	customers   []steer.CustomerDemand // Of the last report with customers.
	customersAt time.Time
}

// Report returns what other hosts of the data centre need to know. It is called once a round.
func (c *Controller) Report(now time.Time) []steer.AdmissionReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reports []steer.AdmissionReport
	for key, p := range c.pools {
		p.advance(now)
		c.setLevelMetric(key, 1-p.admitted)
		if r, ok := p.report(now, key); ok && len(reports) < maxReports {
			reports = append(reports, r)
		}
	}
	return reports
}

// Merge replaces the reports of another host, or of the other hosts of the data centre together.
func (c *Controller) Merge(now time.Time, peer string, reports []steer.AdmissionReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		if old := p.peers[peer]; old != nil {
			old.report = steer.AdmissionReport{}
		}
	}
	for _, r := range reports[:min(len(reports), maxReports)] {
		if !c.InUse(r.Service) {
			continue
		}
		p := c.pool(now, poolKey{service: r.Service, region: r.Region})
		old := p.peers[peer]
		if old == nil {
			if len(p.peers) >= maxPeers {
				clear(p.peers)
			}
			old = &peerReport{}
			p.peers[peer] = old
		}
		old.report, old.receivedAt = r, now
		if len(r.Customers) > 0 {
			old.customers, old.customersAt = r.Customers[:min(len(r.Customers), maxReportedCustomers)], now
		}
	}
}

// Combine returns the sum of the reports of several hosts, in the order of services and regions.
func Combine(lists ...[]steer.AdmissionReport) []steer.AdmissionReport {
	sums := map[poolKey]*steer.AdmissionReport{}
	for _, list := range lists {
		for _, r := range list[:min(len(list), maxReports)] {
			key := poolKey{service: r.Service, region: r.Region}
			if sums[key] == nil {
				sums[key] = &steer.AdmissionReport{
					Service: r.Service,
					Region:  r.Region,
				}
			}
			addReport(sums[key], &r)
		}
	}
	out := make([]steer.AdmissionReport, 0, len(sums))
	for _, sum := range sums {
		sum.Customers = LargestCustomers(sumCustomers(sum.Customers))
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b steer.AdmissionReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return out[:min(len(out), maxReports)]
}

func addReport(sum, r *steer.AdmissionReport) {
	sum.Samples += r.Samples
	sum.Sum += r.Sum
	sum.Arriving += r.Arriving
	sum.Placed += r.Placed
	sum.Demand = addRates(sum.Demand, r.Demand)
	sum.Late = addRates(sum.Late, r.Late)
	sum.Admitted = addRates(sum.Admitted, r.Admitted)
	sum.Customers = append(sum.Customers, r.Customers...)
}

func addRates(sum, rates []float64) []float64 {
	for len(sum) < min(len(rates), priorityLevels) {
		sum = append(sum, 0)
	}
	for i := range min(len(rates), priorityLevels) {
		sum[i] += rates[i]
	}
	return sum
}

// sumCustomers returns a list with one entry for each customer and priority.
func sumCustomers(list []steer.CustomerDemand) []steer.CustomerDemand {
	type key struct {
		id       uint32
		priority int
	}
	indexes := map[key]int{}
	var out []steer.CustomerDemand
	for _, d := range list {
		k := key{id: d.ID, priority: d.Priority}
		i, ok := indexes[k]
		if !ok {
			indexes[k] = len(out)
			out = append(out, d)
			continue
		}
		out[i].Demand += d.Demand
		out[i].Admitted += d.Admitted
	}
	return out
}

// peerOutcomes returns the number and sum of the samples of other hosts, with their present weight.
func (p *pool) peerOutcomes(now time.Time) (samples, sum float64) {
	for id, r := range p.peers {
		age := now.Sub(r.receivedAt)
		if age > reportLife {
			delete(p.peers, id)
			continue
		}
		f := decay(age, outcomeDecay)
		samples += f * r.report.Samples
		sum += f * r.report.Sum
	}
	return samples, sum
}

// peerAdmitted returns the rate of requests of a priority that other hosts admit.
func (p *pool) peerAdmitted(now time.Time, level int) float64 {
	return p.peerRate(now, level, func(r *steer.AdmissionReport) []float64 { return r.Admitted })
}

func (p *pool) peerRate(now time.Time, level int, rates func(r *steer.AdmissionReport) []float64) float64 {
	total := 0.0
	for _, r := range p.peers {
		if list := rates(&r.report); now.Sub(r.receivedAt) <= reportLife && level < len(list) {
			total += list[level]
		}
	}
	return total
}

// peerCustomers returns the demand of the customers of a priority at other hosts, by customer id.
func (p *pool) peerCustomers(now time.Time, level int) map[uint32]steer.CustomerDemand {
	customers := map[uint32]steer.CustomerDemand{}
	for _, r := range p.peers {
		if now.Sub(r.customersAt) > reportLife {
			continue
		}
		for _, d := range r.customers {
			if d.Priority != level {
				continue
			}
			total := customers[d.ID]
			total.Demand += d.Demand
			total.Admitted += d.Admitted
			customers[d.ID] = total
		}
	}
	return customers
}

// decay returns the weight of something of an age.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / constant.Seconds())
}
