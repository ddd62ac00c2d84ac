package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// movingDemand is the random demand of one customer that comes to one host and then to another.
type movingDemand struct {
	rate     float64
	burst    float64
	load     float64       // Demand as a fraction of the rate.
	interval time.Duration // Time between two moves.
}

// play returns the number of requests that a single bucket for the whole fleet would admit, and how many of them are refused.
func (d movingDemand) play(t *testing.T, seed uint64) (within, refused int) {
	t.Helper()
	const hosts, moves = 12, 6
	f := newFleet(t, hosts)
	for _, table := range f.tables {
		table.SetQuotas(f.now, []steer.PlanCustomer{{
			Name:  customer,
			Rate:  d.rate,
			Burst: d.burst,
		}})
	}
	f.run(5*time.Second, func(string) float64 { return 0 })
	level, last := d.burst, f.now
	f.observe = func(admitted bool) {
		level = min(d.burst, level+d.rate*f.now.Sub(last).Seconds())
		last = f.now
		if level < 1 {
			return
		}
		level--
		within++
		if !admitted {
			refused++
		}
	}
	random := rand.New(rand.NewPCG(seed+1, 2))
	next := 0.0
	for move := range moves {
		at := fmt.Sprint("host-", move*5%hosts)
		f.run(d.interval, func(host string) float64 {
			if host != at {
				return 0
			}
			var n float64
			n, next = arrivals(random, next, d.rate*d.load)
			return n
		})
	}
	return within, refused
}

// checkServed checks that under 0.1 % of the requests within the rate are refused, over some patterns of demand.
func (d movingDemand) checkServed(t *testing.T, seeds uint64) {
	t.Helper()
	within, refused := 0, 0
	for seed := range seeds {
		all, r := d.play(t, seed)
		within, refused = within+all, refused+r
	}
	t.Logf("%d of %d requests within the rate refused", refused, within)
	assert.Assert(t, refused*1000 < within, "%d of %d refused", refused, within)
}

// Guards against customers that are refused within their rate after their demand has moved to another host.
func TestServesWithinRateWhenDemandMoves(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand movingDemand
	}{
		{name: "60 a second", demand: movingDemand{rate: 60, burst: 60, load: 0.9, interval: 20 * time.Second}},
		{name: "600 a second", demand: movingDemand{rate: 600, burst: 600, load: 0.9, interval: 10 * time.Second}},
		{name: "600 a second, small burst", demand: movingDemand{rate: 600, burst: 300, load: 0.9, interval: 10 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) { c.demand.checkServed(t, 1) })
	}
}

// Guards against small customers whose few random requests within one round of messages look like a rate above their quota.
func TestServesSmallCustomerWithinRateWhenDemandMoves(t *testing.T) {
	movingDemand{
		rate:     6,
		burst:    12,
		load:     0.8,
		interval: 20 * time.Second,
	}.checkServed(t, 8)
}
