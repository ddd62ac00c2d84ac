package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/share"
)

// grouped plays data centres whose hosts report together: each host tells its leader, the leader tells the sum to its hosts in
// its next round and to the other data centres, which pass it on in theirs.
type grouped struct {
	*fleet
	centres int
	size    int
	last    map[string]share.Report // What each host last told.
	sums    []share.Report          // What each data centre told the others a round ago.
}

func newGrouped(t *testing.T, centres, size int) *grouped {
	g := &grouped{
		fleet:   newFleet(t, centres*size),
		centres: centres,
		size:    size,
		last:    map[string]share.Report{},
		sums:    make([]share.Report, centres),
	}
	for i, host := range g.hosts {
		var peers []share.Peer
		for c := range centres {
			n := size
			if c == i/size {
				n--
			}
			peers = append(peers, share.Peer{
				ID:    fmt.Sprint("centre-", c),
				Hosts: n,
			})
		}
		g.startWith(host, smallQuota)
		g.tables[host].SetPeers(g.now, peers, g.now)
	}
	return g
}

func (g *grouped) run(d time.Duration, demand func(host string) float64) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(tick) {
		if g.now.Sub(g.now.Truncate(round)) < tick {
			g.tell()
		}
		for _, host := range g.hosts {
			for g.owed[host] += demand(host) * tick.Seconds(); g.owed[host] >= 1; g.owed[host]-- {
				g.asked++
				if ok, _ := g.tables[host].Take(g.now, customer); ok {
					g.taken = append(g.taken, g.now)
				} else {
					g.refused++
				}
			}
		}
	}
}

// tell plays one round.
func (g *grouped) tell() {
	sums := make([]share.Report, g.centres)
	for i, host := range g.hosts {
		c := i / g.size
		if sums[c] == nil {
			sums[c] = share.Report{}
		}
		total := sums[c][customer]
		total.Requested += g.last[host][customer].Requested
		total.Admitted += g.last[host][customer].Admitted
		sums[c][customer] = total
	}
	for i, host := range g.hosts {
		for c := range g.centres {
			heard := g.sums[c]
			if c == i/g.size {
				own := g.last[host][customer]
				heard = share.Report{customer: share.Usage{
					Requested: math.Max(0, sums[c][customer].Requested-own.Requested),
					Admitted:  math.Max(0, sums[c][customer].Admitted-own.Admitted),
				}}
			}
			if heard != nil {
				g.tables[host].Receive(g.now, g.now, fmt.Sprint("centre-", c), heard)
			}
		}
	}
	g.sums = sums
	for _, host := range g.hosts {
		g.last[host] = g.tables[host].Publish(g.now)
	}
}

// Guards against more than the quota of a customer, and refusals within it, since what hosts use is told through leaders and
// comes a round later. Load: 9 data centres of 12 hosts, 26 requests a second in all, then five times the rate, demand that
// starts at once.
func TestQuotaHoldsWhenHostsReportTogether(t *testing.T) {
	const centres, size = 9, 12
	g := newGrouped(t, centres, size)
	load := poisson(centres * size)
	g.run(6*time.Second, load(26))
	g.asked, g.refused = 0, 0
	g.run(15*time.Second, load(26))
	t.Logf("%d of %d refused within the quota", g.refused, g.asked)
	assert.Assert(t, float64(g.refused) <= 0.001*float64(g.asked))
	g.run(12*time.Second, load(200))
	bound := (smallQuota[0].Rate*bounds.Window.Seconds()+smallQuota[0].Burst)*(1+bounds.MaxExcess) + bounds.Slack
	t.Logf("%d requests in a window, allowed %.0f", g.most(), bound)
	assert.Assert(t, float64(g.most()) <= math.Floor(bound))
}
