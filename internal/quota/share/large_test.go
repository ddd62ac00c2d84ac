package share_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
)

// Guards against customers of a large fleet that are refused within their quota because each host counts their few requests
// alone. Load: 72 hosts, 26 requests a second in all with random arrivals, a quota of 41 a second.
func TestSmallCustomerOfALargeFleet(t *testing.T) {
	const hosts, demand = 72, 26.0
	quota := []steer.PlanCustomer{{
		Name:  customer,
		Rate:  41,
		Burst: 17,
	}}
	f := newFleet(t, hosts)
	for _, table := range f.tables {
		table.SetQuotas(f.now, quota)
	}
	random := rand.New(rand.NewPCG(1, 2))
	next := map[string]float64{}
	poisson := func(total float64) func(string) float64 {
		return func(host string) float64 {
			// The number of arrivals in a tick, as a rate.
			n := 0.0
			for next[host] -= tick.Seconds(); next[host] < 0; next[host] += random.ExpFloat64() / (total / hosts) {
				n++
			}
			return n / tick.Seconds()
		}
	}
	f.run(5*time.Second, poisson(demand))
	f.asked, f.refused = 0, 0
	f.run(20*time.Second, poisson(demand))
	assert.Assert(t, float64(f.refused) <= 0.001*float64(f.asked), "%d of %d refused within the quota", f.refused, f.asked)

	f.run(15*time.Second, poisson(7.5*demand))
	bound := (quota[0].Rate*bounds.Window.Seconds()+quota[0].Burst)*(1+bounds.Over) + bounds.Slack
	assert.Assert(t, float64(f.most()) <= math.Floor(bound), "%d requests in a window, allowed %.0f", f.most(), bound)
}
