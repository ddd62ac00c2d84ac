package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer/internal/quota/share"
)

// groupedFleet simulates data centres whose hosts report together: each host reports to its leader. In the next round, the
// leader sends the sum to its hosts and to the other data centres, which pass it on one round later.
type groupedFleet struct {
	*fleet
	centres     int
	size        int
	lastReports map[string]share.Report // Last report of each host.
	sums        []share.Report          // Sum that each data centre sent to the others one round ago.
}

func newGrouped(t *testing.T, centres, size int) *groupedFleet {
	g := &groupedFleet{
		fleet:       newFleet(t, centres*size),
		centres:     centres,
		size:        size,
		lastReports: map[string]share.Report{},
		sums:        make([]share.Report, centres),
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
		g.startHostWithQuota(host, smallQuota)
		g.tables[host].SetPeers(g.now, peers, g.now)
	}
	return g
}

func (g *groupedFleet) run(d time.Duration, demand func(host string) float64) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(tick) {
		if g.now.Sub(g.now.Truncate(round)) < tick {
			g.exchangeReports()
		}
		for _, host := range g.hosts {
			for g.due[host] += demand(host) * tick.Seconds(); g.due[host] >= 1; g.due[host]-- {
				g.requested++
				if ok, _ := g.tables[host].Take(g.now, customer); ok {
					g.admittedAt = append(g.admittedAt, g.now)
				} else {
					g.refused++
				}
			}
		}
	}
}

// exchangeReports simulates one round of messages.
func (g *groupedFleet) exchangeReports() {
	sums := make([]share.Report, g.centres)
	for i, host := range g.hosts {
		c := i / g.size
		if sums[c] == nil {
			sums[c] = share.Report{}
		}
		total := sums[c][customer]
		total.Requested += g.lastReports[host][customer].Requested
		total.Admitted += g.lastReports[host][customer].Admitted
		sums[c][customer] = total
	}
	for i, host := range g.hosts {
		for c := range g.centres {
			received := g.sums[c]
			if c == i/g.size {
				own := g.lastReports[host][customer]
				received = share.Report{customer: share.Usage{
					Requested: math.Max(0, sums[c][customer].Requested-own.Requested),
					Admitted:  math.Max(0, sums[c][customer].Admitted-own.Admitted),
				}}
			}
			if received != nil {
				g.tables[host].Receive(g.now, g.now, fmt.Sprint("centre-", c), received)
			}
		}
	}
	g.sums = sums
	for _, host := range g.hosts {
		g.lastReports[host] = g.tables[host].Publish(g.now)
	}
}

// Guards against admitting more than the quota of a customer, and against refusals within it, because reports pass through
// leaders and arrive one round later. Load: 9 data centres of 12 hosts, 26 requests a second in total, then a sudden rise to
// five times the rate of the quota.
func TestQuotaHoldsWhenHostsReportTogether(t *testing.T) {
	const centres, size = 9, 12
	g := newGrouped(t, centres, size)
	load := poisson(centres * size)
	g.run(6*time.Second, load(26))
	g.requested, g.refused = 0, 0
	g.run(15*time.Second, load(26))
	t.Logf("%d of %d refused within the quota", g.refused, g.requested)
	assert.Assert(t, float64(g.refused) <= 0.001*float64(g.requested))
	g.run(12*time.Second, load(200))
	bound := (smallQuota[0].Rate*bounds.Window.Seconds()+smallQuota[0].Burst)*(1+bounds.MaxExcess) + bounds.Slack
	t.Logf("%d requests in a window, allowed %.0f", g.maxInWindow(), bound)
	assert.Assert(t, float64(g.maxInWindow()) <= math.Floor(bound))
}
