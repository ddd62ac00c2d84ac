package gossip

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer/internal/quota/share"
)

const (
	// pairsMost is the number of hosts of a data centre up to which all tell each other. Above it they tell its leaders, which
	// tell all the sum: messages of pairs would take most of the processor time of a host.
	pairsMost = 8

	// leadersWanted is the number of hosts that lead a data centre, so that the loss of one is bridged.
	leadersWanted = 2
)

// UsesLeaders reports whether the hosts of a data centre of the given size report together, this host included.
func UsesLeaders(hosts int) bool { return hosts > pairsMost }

// report is what a host of the data centre last told.
type report struct {
	use share.Report
	at  time.Time
}

// lead reckons the leaders of the data centre anew: the first hosts by id that are heard. One that should lead and is silent is
// passed over until it is heard. The caller holds mu.
func (t *Gossiper) lead(now time.Time) {
	t.leaders, t.leads = t.leaders[:0], false
	ids := append(t.ids(), t.config.Host)
	slices.Sort(ids)
	count := 0
	for _, id := range ids {
		h := t.hosts[id] // Nil for this host.
		switch {
		case count == leadersWanted:
			if h != nil {
				h.due = time.Time{}
			}
			continue
		case h == nil:
			t.leads = true
			count++
			continue
		case h.due.IsZero():
			h.due = now
		}
		if now.Sub(latest(h.heard, h.due)) < aliveTime {
			t.leaders = append(t.leaders, h)
			count++
		}
	}
	if t.leads == t.led {
		return
	}
	t.led = t.leads
	clear(t.reports)
	if t.grouped {
		_ = level.Info(t.logger).Log("msg", "Leaders of the data centre changed.", "own", t.leads, "others", len(t.leaders))
	}
}

// ids returns the ids of the other hosts of the data centre.
func (t *Gossiper) ids() []string {
	var ids []string
	for id, h := range t.hosts {
		if h.entry.DataCentre == t.config.DataCentre {
			ids = append(ids, id)
		}
	}
	return ids
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// heardBy returns the hosts of the data centre that tell this one: all of them if they tell each other or this host leads, else
// its leaders.
func (t *Gossiper) heardBy() []*host {
	if !t.grouped || t.leads {
		return t.mates()
	}
	return t.leaders
}

// centreReport is what another data centre told.
type centreReport struct {
	name   string
	hosts  int
	report share.Report
	age    time.Duration
}

// tellMates tells the hosts of the data centre: those that lead it what this host uses, and the others the sum if this host leads.
func (t *Gossiper) tellMates(now time.Time, m message, own share.Report, centres []centreReport) {
	if !t.grouped {
		m.put(own, centres)
		t.offer(&m, t.mates())
		return
	}
	t.told = own
	m.put(own, centres)
	t.offer(&m, t.leaders)
	if !t.leads {
		return
	}
	sum, hosts := t.sum(now)
	if sum != nil {
		add(sum, own)
		m.Hosts = hosts + 1
		m.put(sum, centres)
	}
	m.Notes = notesOf(current(now, t.seen))
	for i, n := range t.seen {
		m.Notes[i].By = n.by
	}
	t.offer(&m, slices.DeleteFunc(t.mates(), func(h *host) bool { return slices.Contains(t.leaders, h) }))
}

// put sets what a message says of quotas.
func (m *message) put(own share.Report, centres []centreReport) {
	reports := []share.Report{own}
	for _, c := range centres {
		reports = append(reports, c.report)
	}
	u := usesOf(reports...)
	m.Names, m.Usage, m.Centres = u.names, u.of(own), nil
	for _, c := range centres {
		m.Centres = append(m.Centres, centre{
			DataCentre: c.name,
			Hosts:      c.hosts,
			Usage:      u.of(c.report),
			Age:        c.age.Milliseconds(),
		})
	}
}

// sum returns what the other hosts of the data centre last told together, and their number. A host that is silent goes on with
// what it told. Without word of half of them, or of any lately, nothing is known and the sum is nil.
func (t *Gossiper) sum(now time.Time) (share.Report, int) {
	sum := share.Report{}
	lately := false
	for id, r := range t.reports {
		if h := t.hosts[id]; h == nil || now.Sub(r.at) > lapseTime {
			delete(t.reports, id)
			continue
		}
		lately = lately || now.Sub(r.at) < aliveTime
		add(sum, r.use)
	}
	mates := len(t.mates())
	if !lately || 2*len(t.reports) < mates {
		return nil, mates
	}
	return sum, mates
}

func add(sum, r share.Report) {
	for name, use := range r {
		total := sum[name]
		total.Requested += use.Requested
		total.Admitted += use.Admitted
		sum[name] = total
	}
}

// without returns a sum without what this host told of it.
func without(sum, own share.Report) share.Report {
	rest := make(share.Report, len(sum))
	for name, use := range sum {
		rest[name] = share.Usage{
			Requested: math.Max(0, use.Requested-own[name].Requested),
			Admitted:  math.Max(0, use.Admitted-own[name].Admitted),
		}
	}
	return rest
}
