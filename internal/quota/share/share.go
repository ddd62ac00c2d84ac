package share

import (
	"math"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

const (
	// equalFraction is the fraction of a quota that is divided equally among hosts that lose contact with each other, so that
	// a host without demand can serve the first requests.
	equalFraction = 0.15

	// fullDemandRatio is the total demand, relative to the quota, from which demand alone divides the rest of the quota.
	// Below it, equal shares have more weight: they suffice, and hosts do not yet agree on demand that has just begun.
	fullDemandRatio = 0.5

	// balanceTime is the time within which a balance above or below zero is used up. It spans several rounds of messages, so
	// that hosts do not correct the same deviation twice.
	balanceTime = time.Second

	// usageTimeConstant is the time constant of the moving averages in reports: about two rounds of messages. The requests that
	// arrive at one host within one round are too few to estimate a rate, and leaders pass on only the latest report of a
	// round, so that a rate of a single round is lost or counted twice when hosts run their rounds late.
	usageTimeConstant = 400 * time.Millisecond

	// groupDelay is the age of the reports behind the report of a group when the group makes it: one round of messages through a
	// leader.
	groupDelay = 250 * time.Millisecond

	// fullDelayRate is the rate of a quota, in requests per second, from which groupDelay counts in full. The requests of smaller
	// quotas are too few in a round to extrapolate from: with the whole delay, 133 instead of 82 of about 8,200 requests within
	// a rate of 6/s were refused.
	fullDelayRate = 400

	// toleranceFraction is the fraction of the allowed excess that a balance may hold. The rest covers messages in transit and
	// requests that both sides of a network partition admit before they detect it.
	toleranceFraction = 0.3

	// silentAfter is the time without a message after which a peer counts as silent: two rounds and the delay of a message.
	silentAfter = 700 * time.Millisecond

	// startTime is the time after a start during which a host may not know all others or have reports from them.
	startTime = 2 * time.Second

	// holdTime is the time for which the share of a host stays reserved after its registration ended, since the host may be
	// cut off and still serve requests.
	holdTime = 20 * time.Second

	// isolatedAfter is the time after which a host that reaches neither the platform nor another host gives up its shares.
	// It is shorter than holdTime by more than the term of a registration, because holdTime starts at the end of that term.
	isolatedAfter = 14 * time.Second

	// minRateInterval is the shortest interval over which the requests since the last report are converted to a rate: one
	// round of messages.
	minRateInterval = 250 * time.Millisecond

	// minReportedRate is the demand in requests per second up to which a customer without admitted requests is not reported.
	minReportedRate = 0.05

	// minReportedAdmitted is the average of admitted requests per second up to which a customer without demand is not reported:
	// one unit on the wire. The requests that are thereby not reported are 0.4 % of a single request.
	minReportedAdmitted = 0.01

	// maxRetryAfter bounds the time to retry after that a refused customer gets.
	maxRetryAfter = time.Second
)

// Bounds defines how far the admitted requests may exceed a quota.
type Bounds struct {
	Window    time.Duration // The quota must hold in every time span of this length.
	MaxExcess float64       // Allowed excess as a fraction of the quota.
	Slack     float64       // Allowed excess in requests, in addition to MaxExcess.
}

// Config configures a Table.
type Config struct {
	Host     string // ID of this host.
	Bounds   Bounds
	MinHosts int // Minimum number of hosts that a started host assumes while it may not know all.
}

// Usage is the use of one customer's quota, in requests per second. Both rates are moving averages with usageTimeConstant.
type Usage struct {
	Requested float64 // Demand, admitted or not.
	Admitted  float64 // Less refunds; negative after many of them.
}

// Report maps customers to the use of their quotas.
type Report map[string]Usage

// Peer names another host, or a group of hosts that report together.
type Peer struct {
	ID    string
	Hosts int // Number of hosts behind the reports.
}

// Table is this host's view of all quotas. It is safe for concurrent use.
type Table struct {
	config      Config
	mu          sync.Mutex
	peers       map[string]*peer     // By id.
	customers   map[string]*customer // By name.
	publishedAt time.Time            // Time of the last call of Publish.
	startedAt   time.Time            // Time of the first quotas.
	lastContact time.Time            // Last time that the platform was reached.
}

// peer holds what is known of another host or group.
type peer struct {
	hosts          float64   // Number of hosts behind its reports.
	report         Report    // Last report.
	reportedAt     time.Time // Time at which it made the last report; zero for none.
	counted        bool      // The sums of customers include its report.
	registered     bool
	unregisteredAt time.Time              // End of its registration, or its last report without one.
	reservations   map[string]reservation // By customer.
}

// reservation is the share of a quota that is left to a silent peer. It is computed from the last report of the peer.
type reservation struct {
	fraction float64 // Fraction of the quota's rate.
	balance  float64 // Requests that the peer may admit beyond that rate.
}

// customer holds the state of one customer's quota.
type customer struct {
	rate  float64 // Rate of the whole quota, in requests per second.
	burst float64 // Burst of the whole quota, in requests.

	activeShare float64 // Fraction of the quota that this host and the peers heard use together.
	hosts       float64 // Number of hosts that use activeShare.
	othersUsage Usage   // Sum of the last reports of the peers heard.
	ownUsage    Usage   // Usage of this host, as last published.

	balance   float64   // Requests that the hosts of activeShare may still admit beyond their rate; negative after too many.
	settledAt time.Time // Last update of balance.
	credit    float64   // Sum of admitted fractions that have not yet become an admitted request.

	requested int // Requests at this host since the last report.
	admitted  int // Those of requested that were admitted, less refunds.
}

// New returns a Table without quotas and peers.
func New(c Config) *Table {
	return &Table{
		config:    c,
		peers:     map[string]*peer{},
		customers: map[string]*customer{},
	}
}

// SetBounds replaces the bounds.
func (t *Table) SetBounds(b Bounds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.config.Bounds = b
}

// SetQuotas replaces the quotas by those of a plan and keeps the state of customers that stay. Customers without a positive
// rate have no quota.
func (t *Table) SetQuotas(now time.Time, list []steer.PlanCustomer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	customers := make(map[string]*customer, len(list))
	for _, p := range list {
		if p.Rate <= 0 {
			continue
		}
		c := t.customers[p.Name]
		if c == nil {
			c = &customer{ // Without balance and credit: an earlier process of this host may have admitted those requests.
				settledAt: now,
			}
		}
		t.settle(now, c)
		c.rate, c.burst = p.Rate, p.Burst
		c.balance = math.Min(c.balance, t.maxBalance(c))
		customers[p.Name] = c
	}
	t.customers = customers
	t.updateShares(now)
}

// SetPeers replaces the registered hosts and groups, and sets the last time that the platform was reached.
func (t *Table) SetPeers(now time.Time, peers []Peer, lastContact time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastContact = lastContact
	for _, p := range t.peers {
		if p.registered {
			p.registered, p.unregisteredAt = false, now
		}
	}
	for _, other := range peers {
		if other.ID != t.config.Host {
			p := t.peer(other.ID)
			p.registered, p.hosts = true, float64(max(other.Hosts, 1))
		}
	}
	t.updateShares(now)
}

// peer returns the state of a peer, and creates it if needed.
func (t *Table) peer(id string) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{
			hosts:        1,
			reservations: map[string]reservation{},
		}
		t.peers[id] = p
	}
	return p
}

// Receive applies the report that a peer made at the given time. It ignores reports that are not newer than the last one.
func (t *Table) Receive(now, madeAt time.Time, id string, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.config.Host {
		return
	}
	p := t.peer(id)
	if !madeAt.After(p.reportedAt) {
		return
	}
	if !p.registered {
		p.unregisteredAt = now
	}
	if !p.counted {
		p.report, p.reportedAt = report, madeAt
		t.updateShares(now)
	} else {
		t.replaceReport(now, madeAt, p, report)
		p.reportedAt = madeAt
	}
	for name, c := range t.customers {
		fraction := c.shareOf(p.report[name].Requested, p.hosts)
		p.reservations[name] = reservation{
			fraction: fraction,
			balance:  fraction * math.Max(c.balance, 0),
		}
	}
}

// replaceReport replaces the report of a counted peer in the sums of customers. It corrects their balances for the time over
// which the previous report was assumed to hold, and for the requests that a moving average does not show yet: the change of
// the average times its time constant. The corrections of successive reports add up to the admitted requests, even if
// reports between them were late or lost.
func (t *Table) replaceReport(now, madeAt time.Time, p *peer, report Report) {
	interval, age := madeAt.Sub(p.reportedAt), max(0, now.Sub(madeAt))
	lag := (usageTimeConstant + interval/2 + age).Seconds()
	for name, c := range t.customers {
		before, after := p.report[name], report[name]
		if before == after {
			continue
		}
		t.settle(now, c)
		c.othersUsage.Requested += after.Requested - before.Requested
		c.othersUsage.Admitted += after.Admitted - before.Admitted
		c.balance -= (lag + c.groupDelay(p)) * (after.Admitted - before.Admitted)
		c.balance = math.Min(t.maxBalance(c), c.balance)
	}
	p.report = report
}

// groupDelay returns the age in seconds of the reports behind the report of a peer.
func (c *customer) groupDelay(p *peer) float64 {
	if p.hosts <= 1 {
		return 0
	}
	return groupDelay.Seconds() * math.Min(1, c.rate/fullDelayRate)
}

// RemovePeer removes a peer that is leaving. Its share is free at once.
func (t *Table) RemovePeer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, id)
	t.updateShares(now)
}

// Hosts returns the number of hosts that share the quotas, this one included.
func (t *Table) Hosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1.0
	for _, p := range t.peers {
		n += p.hosts
	}
	return int(n)
}

// Publish ends a round of messages and returns the report of this host for the others.
func (t *Table) Publish(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now.Sub(t.publishedAt).Seconds()
	first := t.publishedAt.IsZero()
	t.publishedAt = now
	report := Report{}
	for name, c := range t.customers {
		t.settle(now, c)
		if !first && elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/usageTimeConstant.Seconds())
			c.ownUsage.Requested += weight * (float64(c.requested)/elapsed - c.ownUsage.Requested)
			c.ownUsage.Admitted += weight * (float64(c.admitted)/elapsed - c.ownUsage.Admitted)
		}
		c.requested, c.admitted = 0, 0
		if c.ownUsage.Requested > minReportedRate || c.ownUsage.Admitted > minReportedAdmitted {
			report[name] = c.ownUsage
		}
	}
	t.updateShares(now)
	return report
}

// Sum returns the sum of the last reports of this host and the given peers, and the number of hosts behind it. It includes
// the last reports of silent peers, since those keep serving requests.
func (t *Table) Sum(peers []string) (Report, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, hosts := Report{}, 1.0
	for name, c := range t.customers {
		if c.ownUsage != (Usage{}) {
			sum[name] = c.ownUsage
		}
	}
	for _, id := range peers {
		p := t.peers[id]
		if p == nil {
			continue
		}
		hosts += p.hosts
		for name, usage := range p.report {
			total := sum[name]
			total.Requested += usage.Requested
			total.Admitted += usage.Admitted
			sum[name] = total
		}
	}
	return sum, int(hosts)
}

// DemandByPeer returns the requests per second of each peer that is heard, by ID, and those of this host. Only customers with quotas
// count.
func (t *Table) DemandByPeer() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	demand := map[string]float64{}
	for name, c := range t.customers {
		demand[t.config.Host] += c.ownUsage.Requested
		for id, p := range t.peers {
			if p.counted {
				demand[id] += p.report[name].Requested
			}
		}
	}
	return demand
}

// updateShares determines which peers are heard, and recomputes the share of each quota that they use with this host. A peer
// that falls silent keeps the share that it had at its last report, since it computes the same share itself. The others use
// the rest.
func (t *Table) updateShares(now time.Time) {
	known := 1.0
	var silenced []*peer
	for id, p := range t.peers {
		if !p.registered && now.Sub(p.unregisteredAt) > holdTime {
			delete(t.peers, id)
			continue
		}
		counted := !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < silentAfter
		if p.counted && !counted {
			silenced = append(silenced, p)
		}
		p.counted = counted
		known += p.hosts
	}
	equalShare := 1 / known
	if now.Sub(t.startedAt) < startTime {
		equalShare = 1 / math.Max(known, float64(t.config.MinHosts))
	}
	isolated := len(t.peers) > 0 && now.Sub(t.lastContact) > isolatedAfter
	for _, p := range t.peers {
		isolated = isolated && !p.counted
	}
	for name, c := range t.customers {
		t.settle(now, c)
		for _, p := range silenced {
			c.balance -= p.reservations[name].balance
		}
		c.activeShare, c.hosts, c.othersUsage = 1, 1, Usage{}
		for _, p := range t.peers {
			if p.counted {
				c.hosts += p.hosts
				c.othersUsage.Requested += p.report[name].Requested
				c.othersUsage.Admitted += p.report[name].Admitted
				continue
			}
			reserved, ok := p.reservations[name]
			if !ok {
				reserved.fraction = equalShare * p.hosts
				p.reservations[name] = reserved
			}
			c.activeShare -= reserved.fraction
		}
		if now.Sub(t.startedAt) < startTime {
			c.activeShare = math.Min(c.activeShare, equalShare*c.hosts)
		}
		c.activeShare = math.Max(c.activeShare, 0)
		if isolated {
			c.activeShare = 0
		}
		c.balance = math.Min(c.balance, t.maxBalance(c))
	}
}

// shareOf returns the fraction of the quota that belongs to a number of hosts with the given demand, among the hosts heard.
func (c *customer) shareOf(requested, hosts float64) float64 {
	total := c.othersUsage.Requested + c.ownUsage.Requested
	if total <= 0 {
		return c.activeShare * hosts / c.hosts
	}
	byDemand := (1 - equalFraction) * math.Min(1, total/(fullDemandRatio*c.rate))
	return c.activeShare * ((1-byDemand)*hosts/c.hosts + byDemand*requested/total)
}

// admittedFraction returns the fraction of requests that is admitted. The rate of requests at this host since its last report
// counts at once if it exceeds the reported demand.
func (c *customer) admittedFraction(sinceReport time.Duration) float64 {
	requested := float64(c.requested) / max(sinceReport, minRateInterval).Seconds()
	total := c.othersUsage.Requested + math.Max(c.ownUsage.Requested, requested)
	admitted := c.rate*c.activeShare + c.balance/balanceTime.Seconds()
	switch {
	case admitted <= 0:
		return 0
	case total <= admitted:
		return 1
	default:
		return admitted / total
	}
}

// Take takes one request from a customer's quota and reports whether it is admitted. If not, it returns the time to retry
// after. Customers without a quota are always admitted.
func (t *Table) Take(now time.Time, name string) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.customers[name]
	if c == nil {
		return true, 0
	}
	c.requested++
	t.settle(now, c)
	fraction := c.admittedFraction(now.Sub(t.publishedAt))
	if now.Sub(t.startedAt) < startTime && c.ownUsage == (Usage{}) && c.balance < 1 {
		fraction = 0 // Without known demand, only the balance accumulated since the start is safe to use.
	}
	c.credit += fraction
	if c.credit >= 1 {
		c.credit--
		c.balance--
		c.admitted++
		return true, 0
	}
	return false, time.Duration((1 - fraction) * float64(maxRetryAfter))
}

// Refund gives a request back to the quota that was admitted by Take and has not reached a target.
func (t *Table) Refund(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.customers[name]; c != nil {
		t.settle(now, c)
		c.admitted--
		c.balance = math.Min(t.maxBalance(c), c.balance+1)
	}
}

// settle brings the balance up to date.
func (t *Table) settle(now time.Time, c *customer) {
	elapsed := now.Sub(c.settledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	c.settledAt = now
	c.balance += elapsed * (c.rate*c.activeShare - c.othersUsage.Admitted)
	c.balance = math.Min(t.maxBalance(c), math.Max(-c.rate*t.config.Bounds.Window.Seconds(), c.balance))
}

// maxBalance returns the largest balance of the hosts that are heard.
func (t *Table) maxBalance(c *customer) float64 { return c.activeShare * t.maxTotalBalance(c) }

// maxTotalBalance returns the largest balance of all hosts together.
func (t *Table) maxTotalBalance(c *customer) float64 {
	b := t.config.Bounds
	excess := (c.rate*b.Window.Seconds()+c.burst)*b.MaxExcess + b.Slack
	return c.burst + toleranceFraction*excess
}

// Share is this host's share of one customer's quota, and the state of that quota.
type Share struct {
	Customer string
	Share    float64 // Fraction of the quota that this host keeps when it loses contact with the others.
	Balance  float64 // Requests that the hosts in contact may still admit beyond the rate; negative after too many.
	Demand   float64 // Demand at this host, in requests per second.
}

// Share returns this host's share of a customer's quota. It is 1 for a customer without a quota.
func (t *Table) Share(name string) Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.customers[name]
	if c == nil {
		return Share{
			Customer: name,
			Share:    1,
		}
	}
	return Share{
		Customer: name,
		Share:    c.shareOf(c.ownUsage.Requested, 1),
		Balance:  c.balance,
		Demand:   c.ownUsage.Requested,
	}
}
