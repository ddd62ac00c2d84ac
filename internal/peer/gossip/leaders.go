package gossip

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// maxPairwiseHosts is the number of hosts of a data centre up to which all send messages to each other. Above it they
	// report to leaders, which send the sum to all: messages between all pairs would take most of the processor time of a host.
	maxPairwiseHosts = 8

	// maxLeaders is the number of leaders of a data centre. With two, reports continue when one is lost.
	maxLeaders = 2
)

// UsesLeaders reports whether the hosts of a data centre report through leaders. The number of hosts includes this one.
func UsesLeaders(hosts int) bool { return hosts > maxPairwiseHosts }

// report is the last report of a host of the data centre.
type report struct {
	usage      share.Report
	receivedAt time.Time
}

// updateLeaders determines the leaders of the data centre: the first hosts by id that are heard. A host whose id qualifies it
// as a leader and that is silent for aliveTimeout is passed over until it is heard again. The caller holds mu.
func (g *Gossiper) updateLeaders(now time.Time) {
	g.leaders, g.isLeader = g.leaders[:0], false
	localIDs := append(g.localIDs(), g.config.Host)
	slices.Sort(localIDs)
	count := 0
	for _, id := range localIDs {
		h := g.hosts[id] // Nil for this host.
		switch {
		case count == maxLeaders:
			if h != nil {
				h.candidateSince = time.Time{}
			}
			continue
		case h == nil:
			g.isLeader = true
			count++
			continue
		case h.candidateSince.IsZero():
			h.candidateSince = now
		}
		if now.Sub(latest(h.lastHeard, h.candidateSince)) < aliveTimeout {
			g.leaders = append(g.leaders, h)
			count++
		}
	}
	if g.isLeader == g.wasLeader {
		return
	}
	g.wasLeader = g.isLeader
	clear(g.reports)
	if g.usesLeaders {
		_ = level.Info(g.logger).Log("msg", "Leaders of the data centre changed.", "own", g.isLeader, "others", len(g.leaders))
	}
}

// localIDs returns the ids of the other hosts of the data centre.
func (g *Gossiper) localIDs() []string {
	var localIDs []string
	for id, h := range g.hosts {
		if h.entry.DataCentre == g.config.DataCentre {
			localIDs = append(localIDs, id)
		}
	}
	return localIDs
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// localPeers returns the hosts of the data centre with which this one exchanges messages: all of them if there are no leaders
// or this host is one, else the leaders.
func (g *Gossiper) localPeers() []*host {
	if !g.usesLeaders || g.isLeader {
		return g.localHosts()
	}
	return g.leaders
}

// remoteReport is the report of another data centre.
type remoteReport struct {
	name      string
	hostCount int
	report    share.Report
	load      *hostLoad // Of its speaker; nil if it has not reported any.
	age       time.Duration
}

// sendToLocalHosts sends messages to the hosts of the data centre: the usage of this host to the leaders and, if this host is
// a leader, the sum to the others. Without leaders it sends the usage of this host to all.
func (g *Gossiper) sendToLocalHosts(now time.Time, m message, ownUsage share.Report, remoteDataCentres []remoteReport) {
	if !g.usesLeaders {
		m.setUsage(ownUsage, remoteDataCentres)
		g.setPending(&m, g.localHosts())
		return
	}
	g.sentUsage = ownUsage
	m.setUsage(ownUsage, remoteDataCentres)
	g.setPending(&m, g.leaders)
	if !g.isLeader {
		return
	}
	sum, hostCount := g.sum(now)
	if sum != nil {
		add(sum, ownUsage)
		m.HostCount = hostCount + 1
		m.setUsage(sum, remoteDataCentres)
	}
	m.Admission, m.AdmissionSum = nil, toWireAdmission(g.admission.sum(now, g.round%customerRounds == 0))
	m.Limits = toWireLimits(g.localLimits.list(now))
	m.Notes = toWireNotes(currentNotes(now, g.localNotes))
	m.Speeds = currentSpeeds(now, g.localSpeeds, g.passesOn)
	for i, n := range g.localNotes {
		m.Notes[i].HostID = n.hostID
	}
	g.setPending(&m, slices.DeleteFunc(g.localHosts(), func(h *host) bool { return slices.Contains(g.leaders, h) }))
}

// setUsage sets the usage in a message.
func (m *message) setUsage(usage share.Report, remoteDataCentres []remoteReport) {
	reports := []share.Report{usage}
	for _, c := range remoteDataCentres {
		reports = append(reports, c.report)
	}
	u := newUsageEncoder(reports...)
	m.Customers, m.Usage, m.RemoteDataCentres = u.customers, u.encode(usage), nil
	for _, c := range remoteDataCentres {
		passedOn := remoteDataCentre{
			DataCentre: c.name,
			HostCount:  c.hostCount,
			Usage:      u.encode(c.report),
			Age:        c.age.Milliseconds(),
		}
		if c.load != nil {
			passedOn.ExtraHosts = &c.load.ExtraHosts
		}
		m.RemoteDataCentres = append(m.RemoteDataCentres, passedOn)
	}
}

// sum returns the sum of the last reports of the other hosts of the data centre, and their number. The report of a silent host
// counts on, since it continues to admit what it reported. The sum is nil, for unknown, if less than half of the hosts have
// reported or none has within aliveTimeout.
func (g *Gossiper) sum(now time.Time) (share.Report, int) {
	sum := share.Report{}
	anyRecent := false
	for id, r := range g.reports {
		if h := g.hosts[id]; h == nil || now.Sub(r.receivedAt) > lapsedRetention {
			delete(g.reports, id)
			continue
		}
		anyRecent = anyRecent || now.Sub(r.receivedAt) < aliveTimeout
		add(sum, r.usage)
	}
	localHosts := len(g.localHosts())
	if !anyRecent || 2*len(g.reports) < localHosts {
		return nil, localHosts
	}
	return sum, localHosts
}

func add(sum, r share.Report) {
	for name, usage := range r {
		total := sum[name]
		total.Requested += usage.Requested
		total.Admitted += usage.Admitted
		sum[name] = total
	}
}

// subtract returns a sum less the usage that this host last reported, and at least zero for each customer.
func subtract(sum, ownUsage share.Report) share.Report {
	rest := make(share.Report, len(sum))
	for name, usage := range sum {
		rest[name] = share.Usage{
			Requested: math.Max(0, usage.Requested-ownUsage[name].Requested),
			Admitted:  math.Max(0, usage.Admitted-ownUsage[name].Admitted),
		}
	}
	return rest
}
