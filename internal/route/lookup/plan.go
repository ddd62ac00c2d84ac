package lookup

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/api/gen/lookup"
)

// plan holds the order of hosts for each data centre, computed from one reading of the member table.
type plan struct {
	config             *steer.Config
	createdAt          time.Time
	self               *lookup.LookupHost
	selfExcludedReason string // Why this host is excluded from answers; empty if it is not.
	ownOrder           *hostOrder
	orders             map[string]*hostOrder // Keyed by the nearest data centre of the client.
	excluded           []excluded
}

// excluded is a host that is left out of answers.
type excluded struct {
	id     string
	reason string
}

// hostOrder ranks the hosts as seen from one data centre: its own hosts, those of its region, then those of each other
// region by link delay.
type hostOrder struct {
	dataCentre string
	tiers      []tier
}

// tier is a group of equally good hosts, with the reason for its rank.
type tier struct {
	reason string
	hosts  []*lookup.LookupHost
}

// isCurrent reports whether the plan is for config and recent enough.
func (p *plan) isCurrent(config *steer.Config, now time.Time) bool {
	age := now.Sub(p.createdAt)
	return p.config == config && age >= 0 && age < maxPlanAge
}

// newPlan computes a plan from its arguments alone. A nil configuration gives an empty plan.
func newPlan(config *steer.Config, self steer.Member, members []steer.Member, now time.Time) *plan {
	p := &plan{
		config:    config,
		createdAt: now,
		self:      newLookupHost(self),
		orders:    map[string]*hostOrder{},
	}
	if config == nil {
		return p
	}
	dataCentres := make(map[string]steer.DataCentre, len(config.Fleet.DataCentres))
	for _, d := range config.Fleet.DataCentres {
		dataCentres[d.Name] = d
	}
	hosts := map[string][]*lookup.LookupHost{}
	self.Suspect = false
	all := append([]steer.Member{self}, members...)
	// Open routes need no quota: if every host is out of quota, the hosts that can serve otherwise stay in the answers.
	anyQuota := slices.ContainsFunc(all, func(m steer.Member) bool {
		return !m.State.OutOfQuota && exclusionReason(m, dataCentres) == ""
	})
	for i, m := range all {
		reason := exclusionReason(m, dataCentres)
		if reason == "" && anyQuota && m.State.OutOfQuota {
			reason = "out of quota"
		}
		if i == 0 {
			p.selfExcludedReason = reason
		}
		if reason != "" {
			p.excluded = append(p.excluded, excluded{
				id:     m.ID,
				reason: reason,
			})
			continue
		}
		hosts[m.DataCentre] = append(hosts[m.DataCentre], newLookupHost(m))
	}
	for _, d := range config.Fleet.DataCentres {
		p.orders[d.Name] = newOrder(config, d, hosts)
	}
	p.ownOrder = p.orders[self.DataCentre]
	if p.ownOrder == nil {
		p.ownOrder = newOrder(config, steer.DataCentre{Name: self.DataCentre, Region: self.Region}, hosts)
	}
	return p
}

// exclusionReason returns why a host is left out of answers, or "" if it is not. Quota that has run out is not considered
// here.
func exclusionReason(m steer.Member, dataCentres map[string]steer.DataCentre) string {
	d, known := dataCentres[m.DataCentre]
	switch {
	case m.Suspect:
		return "suspect: not heard from"
	case m.State.Stopping:
		return "stopping"
	case m.State.Version == 0:
		return "without configuration"
	case len(m.State.Slots) == 0:
		return "out of quota: holds no slot"
	case !known:
		return "its data centre is not in the fleet file"
	case d.Down:
		return "its data centre is marked as down"
	case !m.Address.IsValid():
		return "without an address"
	default:
		return ""
	}
}

func newLookupHost(m steer.Member) *lookup.LookupHost {
	return &lookup.LookupHost{
		ID:         m.ID,
		Address:    m.Address.String(),
		DataCentre: m.DataCentre,
	}
}

// newOrder sorts the hosts into tiers as seen from a data centre.
func newOrder(config *steer.Config, from steer.DataCentre, hosts map[string][]*lookup.LookupHost) *hostOrder {
	type region struct {
		name      string
		linkDelay time.Duration
		hosts     []*lookup.LookupHost
	}
	var sameRegion []*lookup.LookupHost
	var otherRegions []*region
	for _, d := range config.Fleet.DataCentres {
		switch {
		case d.Name == from.Name:
		case d.Region == from.Region:
			sameRegion = append(sameRegion, hosts[d.Name]...)
		default:
			i := slices.IndexFunc(otherRegions, func(r *region) bool { return r.name == d.Region })
			if i < 0 {
				i = len(otherRegions)
				otherRegions = append(otherRegions, &region{
					name:      d.Region,
					linkDelay: linkDelay(config, from.Region, d.Region),
				})
			}
			otherRegions[i].hosts = append(otherRegions[i].hosts, hosts[d.Name]...)
		}
	}
	slices.SortStableFunc(otherRegions, func(a, b *region) int { return cmp.Compare(a.linkDelay, b.linkDelay) })
	o := &hostOrder{
		dataCentre: from.Name,
		tiers: []tier{
			{reason: "nearest data centre", hosts: hosts[from.Name]},
			{reason: "same region", hosts: sameRegion},
		},
	}
	for _, r := range otherRegions {
		if len(r.hosts) == 0 {
			continue
		}
		reason := "other region, link delay " + r.linkDelay.String()
		if r.linkDelay == math.MaxInt64 {
			reason = "other region without a link"
		}
		o.tiers = append(o.tiers, tier{
			reason: reason,
			hosts:  r.hosts,
		})
	}
	return o
}

// linkDelay returns the one-way delay between two regions, or the maximum duration if there is no link.
func linkDelay(config *steer.Config, from, to string) time.Duration {
	for _, l := range config.Fleet.Links {
		if l.From == from && l.To == to {
			return l.Delay
		}
	}
	return math.MaxInt64
}

// nearest returns the order for the data centre of the client's block. Without such a block it returns the order for the
// data centre of this host, and found is false.
func (p *plan) nearest(blocks Blocks, client netip.Addr) (o *hostOrder, found bool) {
	if client.IsValid() {
		if name, ok := blocks.Find(client); ok && p.orders[name] != nil {
			return p.orders[name], true
		}
	}
	return p.ownOrder, false
}

// pick appends hosts up to MaxHosts. It reserves two places for the nearest data centre, one for its region and one for the
// next region, so that a caller with a cached answer needs no new look-up when a data centre or a region is lost. Places
// that a tier can't fill go to the other tiers in order. The random bits rotate each tier.
func (o *hostOrder) pick(hosts []*lookup.LookupHost, random uint64) []*lookup.LookupHost {
	reserved := [...]int{2, 1, 1}
	if len(hosts) > 0 {
		reserved[0]-- // The host that issued the ticket has the first place.
	}
	var granted [len(reserved)]int // Places that each tier fills of those reserved for it.
	free := MaxHosts - len(hosts)
	for i := range min(len(o.tiers), len(reserved)) {
		granted[i] = min(reserved[i], o.tiers[i].remaining(hosts), free)
		free -= granted[i]
	}
	for i := range o.tiers {
		count := free
		if i < len(granted) {
			count += granted[i]
		}
		before := len(hosts)
		hosts = o.tiers[i].appendHosts(hosts, count, random>>(16*(i%4)))
		free = count - (len(hosts) - before)
	}
	return hosts
}

// remaining returns the number of hosts of the tier that are not in the answer yet.
func (t *tier) remaining(hosts []*lookup.LookupHost) int {
	count := len(t.hosts)
	for _, h := range t.hosts {
		if len(hosts) > 0 && h.ID == hosts[0].ID {
			count--
		}
	}
	return count
}

// appendHosts appends up to count hosts of the tier that are not in the answer yet, starting at a random one.
func (t *tier) appendHosts(hosts []*lookup.LookupHost, count int, random uint64) []*lookup.LookupHost {
	if len(t.hosts) == 0 {
		return hosts
	}
	start := int(random&0xffff) * len(t.hosts) >> 16
	for i := 0; i < len(t.hosts) && count > 0; i++ {
		h := t.hosts[(start+i)%len(t.hosts)]
		if len(hosts) > 0 && h.ID == hosts[0].ID {
			continue
		}
		hosts = append(hosts, h)
		count--
	}
	return hosts
}

// reason returns why a host is in the answer.
func (o *hostOrder) reason(host *lookup.LookupHost) string {
	for _, t := range o.tiers {
		if slices.Contains(t.hosts, host) {
			return t.reason
		}
	}
	return ""
}
