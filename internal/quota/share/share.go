package share

import (
	"math"
	"sync"
	"time"

	"monsoonhub.example/steer"
)

const (
	// basePart is the part of a quota that is divided equally among hosts when they lose sight of each other, so that one
	// without demand can serve the first requests.
	basePart = 0.15

	// fullDemand is the demand of all hosts, relative to the quota, from which it decides the parts. Below it equal parts
	// weigh more: they suffice, and demand that is just beginning is not known evenly.
	fullDemand = 0.5

	// levelTime is the time within which a level above or below zero is worked off: some rounds of messages, so that hosts
	// do not correct the same deviation twice.
	levelTime = time.Second

	// demandTime is the time constant of the average of demand: two rounds of messages. What arrives within one round at
	// one host is too little to tell a rate from.
	demandTime = 400 * time.Millisecond

	// toleranceUsed is the part of the allowed excess that a level may hold. The rest covers messages under way and
	// requests that both sides of a cut admit before they notice it.
	toleranceUsed = 0.3

	// silentAfter is the time without a message after which a host counts as silent: two rounds and the time of a message.
	silentAfter = 700 * time.Millisecond

	// startTime is the time for which a started host may not know or hear all others.
	startTime = 2 * time.Second

	// holdTime is the time for which the part of a host is left to it after its registration ended: it may be cut off and
	// still serve.
	holdTime = 20 * time.Second

	// isolatedAfter is the time after which a host that reaches neither the platform nor another host gives up its parts.
	// It is below holdTime by more than the term of a registration, since the others wait from the end of that.
	isolatedAfter = 14 * time.Second

	// roundTime is the least time over which the requests since the last report are taken for a rate: a round of messages.
	roundTime = 250 * time.Millisecond

	// leastTold is the number of requests per second below which nothing is told.
	leastTold = 0.05

	// retryMost bounds the time after which a refused customer may return.
	retryMost = time.Second
)

// Bounds are the bounds within which a quota must hold.
type Bounds struct {
	Window    time.Duration // Any span of this length counts.
	MaxExcess float64       // Allowed excess, relative to the quota.
	Slack     float64       // Allowed excess in requests, besides.
}

// Config configures a Table.
type Config struct {
	Host     string
	Bounds   Bounds
	MinHosts int // Hosts that a started host counts with while it may not know all.
}

// Usage is the use of one customer's quota, in requests per second.
type Usage struct {
	Requested float64
	Admitted  float64
}

// Report is the use of quotas by customer.
type Report map[string]Usage

// Peer names another host, or a group of hosts that report together.
type Peer struct {
	ID    string
	Hosts int // Number of hosts behind the reports.
}

// Table is this host's view of all quotas. It is safe for concurrent use.
type Table struct {
	config    Config
	mu        sync.Mutex
	peers     map[string]*peer // By id.
	customers map[string]*customer
	published time.Time
	started   time.Time // When the first quotas came.
	contact   time.Time // When the platform was last reached.
}

// peer is what is known of another host or group.
type peer struct {
	hosts      float64
	report     Report
	heard      time.Time // Zero for never.
	counted    bool      // The sums of customers hold its report.
	registered bool
	lost       time.Time        // When its registration ended.
	stakes     map[string]stake // In each quota.
}

// stake is what a peer has of a quota while it is silent, as reckoned when it was last heard.
type stake struct {
	part  float64 // Of the rate.
	level float64 // Requests that it may admit beyond that.
}

// customer is the state of one customer's quota.
type customer struct {
	rate  float64 // Of the whole quota, in requests per second.
	burst float64 // Of the whole quota, in requests.

	free   float64 // Part of the quota that the hosts which are heard use together, this one included.
	hosts  float64 // Their number.
	others Usage   // Of the other ones that are heard.
	own    Usage   // As last published.

	level  float64 // Requests that they may still admit beyond the rate; negative after too many.
	at     time.Time
	credit float64 // Fraction of the next request that is admitted.

	asked    int // By this host since the last report.
	admitted int
}

// New returns a table without quotas.
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

// SetQuotas takes the quotas of a plan. What is known of customers that stay is kept.
func (t *Table) SetQuotas(now time.Time, list []steer.PlanCustomer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started.IsZero() {
		t.started = now
	}
	customers := make(map[string]*customer, len(list))
	for _, p := range list {
		if p.Rate <= 0 {
			continue
		}
		c := t.customers[p.Name]
		if c == nil {
			c = &customer{ // At level zero and without credit, so that what an earlier process admitted does not count twice.
				at: now,
			}
		}
		t.settle(now, c)
		c.rate, c.burst = p.Rate, p.Burst
		c.level = math.Min(c.level, t.depth(c))
		customers[p.Name] = c
	}
	t.customers = customers
	t.aim(now)
}

// SetPeers takes the other hosts and groups that are registered, and when the platform was last reached.
func (t *Table) SetPeers(now time.Time, peers []Peer, contact time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = contact
	for _, p := range t.peers {
		if p.registered {
			p.registered, p.lost = false, now
		}
	}
	for _, other := range peers {
		if other.ID != t.config.Host {
			p := t.peer(other.ID)
			p.registered, p.hosts = true, float64(max(other.Hosts, 1))
		}
	}
	t.aim(now)
}

// peer returns what is known of a peer, which is nothing at first.
func (t *Table) peer(id string) *peer {
	p := t.peers[id]
	if p == nil {
		p = &peer{
			hosts:  1,
			stakes: map[string]stake{},
		}
		t.peers[id] = p
	}
	return p
}

// Receive takes the report of a peer, which was made at the given time. Reports older than the last one are passed over.
func (t *Table) Receive(now, made time.Time, id string, report Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.config.Host {
		return
	}
	p := t.peer(id)
	if !made.After(p.heard) {
		return
	}
	if !p.registered {
		p.lost = now
	}
	if !p.counted {
		p.report, p.heard = report, made
		t.aim(now)
	} else {
		t.replace(now, p, report)
		p.heard = made
	}
	for name, c := range t.customers {
		part := c.partOf(p.report[name].Requested, p.hosts)
		p.stakes[name] = stake{
			part:  part,
			level: part * math.Max(c.level, 0),
		}
	}
}

// replace replaces the report of a peer in the sums of customers.
func (t *Table) replace(now time.Time, p *peer, report Report) {
	for name, c := range t.customers {
		before, after := p.report[name], report[name]
		if before == after {
			continue
		}
		t.settle(now, c)
		c.others.Requested += after.Requested - before.Requested
		c.others.Admitted += after.Admitted - before.Admitted
	}
	p.report = report
}

// RemovePeer takes that a host is leaving: its part is free at once.
func (t *Table) RemovePeer(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, id)
	t.aim(now)
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

// Publish ends a round and returns the report of this host for a message to the others.
func (t *Table) Publish(now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := now.Sub(t.published).Seconds()
	first := t.published.IsZero()
	t.published = now
	report := Report{}
	for name, c := range t.customers {
		t.settle(now, c)
		if !first && elapsed > 0 {
			weight := 1 - math.Exp(-elapsed/demandTime.Seconds())
			c.own.Requested += weight * (float64(c.asked)/elapsed - c.own.Requested)
			c.own.Admitted = float64(c.admitted) / elapsed
		}
		c.asked, c.admitted = 0, 0
		if c.own.Requested > leastTold || c.own.Admitted > 0 {
			report[name] = c.own
		}
	}
	t.aim(now)
	return report
}

// Sum returns the last reports of this host and of the given peers together, for a message that speaks for all of them. It
// holds what silent peers last told, since they go on with it.
func (t *Table) Sum(peers []string) (Report, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, hosts := Report{}, 1.0
	for name, c := range t.customers {
		if c.own != (Usage{}) {
			sum[name] = c.own
		}
	}
	for _, id := range peers {
		p := t.peers[id]
		if p == nil {
			continue
		}
		hosts += p.hosts
		for name, use := range p.report {
			total := sum[name]
			total.Requested += use.Requested
			total.Admitted += use.Admitted
			sum[name] = total
		}
	}
	return sum, int(hosts)
}

// aim reckons anew who is heard. A peer that is silent keeps the part that it had when it was last heard, since it reckons
// with the same: the others use the rest.
func (t *Table) aim(now time.Time) {
	known := 1.0
	var silenced []*peer
	for id, p := range t.peers {
		if !p.registered && now.Sub(p.lost) > holdTime {
			delete(t.peers, id)
			continue
		}
		counted := !p.heard.IsZero() && now.Sub(p.heard) < silentAfter
		if p.counted && !counted {
			silenced = append(silenced, p)
		}
		p.counted = counted
		known += p.hosts
	}
	equal := 1 / known
	if now.Sub(t.started) < startTime {
		equal = 1 / math.Max(known, float64(t.config.MinHosts))
	}
	alone := len(t.peers) > 0 && now.Sub(t.contact) > isolatedAfter
	for _, p := range t.peers {
		alone = alone && !p.counted
	}
	for name, c := range t.customers {
		t.settle(now, c)
		for _, p := range silenced {
			c.level -= p.stakes[name].level
		}
		c.free, c.hosts, c.others = 1, 1, Usage{}
		for _, p := range t.peers {
			if p.counted {
				c.hosts += p.hosts
				c.others.Requested += p.report[name].Requested
				c.others.Admitted += p.report[name].Admitted
				continue
			}
			held, ok := p.stakes[name]
			if !ok {
				held.part = equal * p.hosts
				p.stakes[name] = held
			}
			c.free -= held.part
		}
		if now.Sub(t.started) < startTime {
			c.free = math.Min(c.free, equal*c.hosts)
		}
		c.free = math.Max(c.free, 0)
		if alone {
			c.free = 0
		}
		c.level = math.Min(c.level, t.depth(c))
	}
}

// partOf returns the part of the quota that hosts with a demand have among those that are heard.
func (c *customer) partOf(asked, hosts float64) float64 {
	total := c.others.Requested + c.own.Requested
	if total <= 0 {
		return c.free * hosts / c.hosts
	}
	byDemand := (1 - basePart) * math.Min(1, total/(fullDemand*c.rate))
	return c.free * ((1-byDemand)*hosts/c.hosts + byDemand*asked/total)
}

// admits returns the part of the requests that is admitted. What this host was asked for since its last report counts at
// once if it is more than it told.
func (c *customer) admits(sinceReport time.Duration) float64 {
	asked := float64(c.asked) / max(sinceReport, roundTime).Seconds()
	total := c.others.Requested + math.Max(c.own.Requested, asked)
	admitted := c.rate*c.free + c.level/levelTime.Seconds()
	switch {
	case admitted <= 0:
		return 0
	case total <= admitted:
		return 1
	default:
		return admitted / total
	}
}

// Take takes one request of a customer. If it is over the quota it reports when to return.
func (t *Table) Take(now time.Time, name string) (bool, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.customers[name]
	if c == nil {
		return true, 0
	}
	c.asked++
	t.settle(now, c)
	part := c.admits(now.Sub(t.published))
	if now.Sub(t.started) < startTime && c.own == (Usage{}) && c.level < 1 {
		part = 0 // Neither the own demand nor that of others is known: only what has been saved up since the start is safe.
	}
	c.credit += part
	if c.credit >= 1 {
		c.credit--
		c.level--
		c.admitted++
		return true, 0
	}
	return false, time.Duration((1 - part) * float64(retryMost))
}

// Refund returns a request that was taken and has not reached a target.
func (t *Table) Refund(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.customers[name]; c != nil {
		t.settle(now, c)
		c.admitted--
		c.level = math.Min(t.depth(c), c.level+1)
	}
}

// settle brings the level up to date.
func (t *Table) settle(now time.Time, c *customer) {
	elapsed := now.Sub(c.at).Seconds()
	if elapsed <= 0 {
		return
	}
	c.at = now
	c.level += elapsed * (c.rate*c.free - c.others.Admitted)
	c.level = math.Min(t.depth(c), math.Max(-c.rate*t.config.Bounds.Window.Seconds(), c.level))
}

// depth is the most requests that may be saved up.
func (t *Table) depth(c *customer) float64 { return c.free * t.whole(c) }

// whole is the most requests that all hosts together may save up.
func (t *Table) whole(c *customer) float64 {
	b := t.config.Bounds
	excess := (c.rate*b.Window.Seconds()+c.burst)*b.MaxExcess + b.Slack
	return c.burst + toleranceUsed*excess
}

// Share is the state of one customer's quota at this host.
type Share struct {
	Customer string
	Share    float64 // Of the quota, that this host has when it loses sight of the others.
	Balance  float64 // Requests that all hosts which are heard may still admit beyond the rate.
	Demand   float64 // Of this host, in requests per second.
}

// Share returns the state of one customer's quota.
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
		Share:    c.partOf(c.own.Requested, 1),
		Balance:  c.level,
		Demand:   c.own.Requested,
	}
}
