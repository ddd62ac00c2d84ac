package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// Guards against hosts of a data centre that do not learn how short capacity is at the others, through leaders and without them,
// or that learn it from another data centre, whose customers share among themselves.
func TestAdmissionIsExchangedInDataCentre(t *testing.T) {
	for _, hosts := range []int{3, 11} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			var mu sync.Mutex
			heard := map[string]map[string]steer.AdmissionReport{} // By host and peer.
			var configs []gossip.Config
			for i := range hosts + 1 {
				id, dataCentre := fmt.Sprintf("host-%02d", i), "golfo-a"
				if i == hosts {
					dataCentre = "golfo-b"
				}
				heard[id] = map[string]steer.AdmissionReport{}
				configs = append(configs, gossip.Config{
					Host:       id,
					DataCentre: dataCentre,
					Region:     "golfo",
					Admission: func(time.Time) []steer.AdmissionReport {
						return []steer.AdmissionReport{{
							Service:  "reservas",
							Region:   "golfo",
							Samples:  2,
							Sum:      3.5,
							Arriving: 10,
							Placed:   4,
							Demand:   []float64{1, 2, 3},
							Customers: []steer.CustomerDemand{{
								ID:       17,
								Priority: 1,
								Demand:   1.5,
								Admitted: 0.25,
							}},
						}}
					},
					OnAdmission: func(_ time.Time, peer string, reports []steer.AdmissionReport) {
						mu.Lock()
						defer mu.Unlock()
						for _, r := range reports {
							if len(r.Customers) > 0 {
								heard[id][peer] = r
							}
						}
					},
				})
			}
			startHosts(t, configs)
			total := func(id string, value func(r steer.AdmissionReport) float64) float64 {
				sum := 0.0
				for _, r := range heard[id] {
					sum += value(r)
				}
				return sum
			}
			// A host that is no leader hears the sum with its own report, every other one the reports of all others.
			last := fmt.Sprintf("host-%02d", hosts-1)
			waitUntil(t, func() bool {
				mu.Lock()
				defer mu.Unlock()
				want := float64(hosts - 1)
				if gossip.UsesLeaders(hosts) {
					want = float64(hosts)
				}
				return total("host-00", func(r steer.AdmissionReport) float64 { return r.Sum }) == 3.5*float64(hosts-1) &&
					total(last, func(r steer.AdmissionReport) float64 { return r.Sum }) == 3.5*want &&
					total(last, func(r steer.AdmissionReport) float64 { return r.Demand[2] }) == 3*want &&
					total(last, func(r steer.AdmissionReport) float64 { return r.Customers[0].Demand }) == 1.5*want
			})
			mu.Lock()
			defer mu.Unlock()
			assert.Equal(t, len(heard[fmt.Sprintf("host-%02d", hosts)]), 0)
		})
	}
}

// Guards against messages of older builds that are not understood, and against customers that are cut off in the middle.
func TestMessagesWithOtherAdmission(t *testing.T) {
	var reports []steer.AdmissionReport
	g := gossip.New(gossip.Config{
		Host:         "host-00",
		DataCentre:   "golfo-a",
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
		OnAdmission:  func(_ time.Time, _ string, list []steer.AdmissionReport) { reports = list },
		Usage:        func(time.Time) share.Report { return nil },
	})
	t.Cleanup(g.Stop)
	receive := func(fields map[string]any) {
		fields["host"], fields["data-centre"] = "host-01", "golfo-a"
		data, err := cbor.Marshal(fields)
		assert.NilError(t, err)
		assert.NilError(t, g.Receive(append([]byte{0}, data...)))
	}
	receive(map[string]any{"admission": []map[string]any{{"service": "reservas", "later": 1, "customers": []int{1, 2, 3, 4, 5}}}})
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, len(reports[0].Customers), 1)
	receive(map[string]any{})
	assert.Equal(t, len(reports), 0)
}

// Guards against reports that take most of what a host may send: two pools with 500 customers each, in a round with customers
// and in one without.
func TestAdmissionReportsAreSmall(t *testing.T) {
	const seed = 3
	random := rand.New(rand.NewPCG(seed, 1))
	var reports []steer.AdmissionReport
	for _, service := range []string{"reservas", "convoyes"} {
		r := steer.AdmissionReport{
			Service:  service,
			Region:   "golfo",
			Samples:  612.5,
			Sum:      801.25,
			Arriving: 1207.5,
			Placed:   610.75,
			Demand:   []float64{212.5, 708.75, 286.25},
			Late:     []float64{20.5, 170.25, 86.75},
			Admitted: []float64{212.5, 380.5, 2.25},
		}
		for i := range 500 {
			r.Customers = append(r.Customers, steer.CustomerDemand{
				ID:       random.Uint32(),
				Priority: i % 3,
				Demand:   100 * random.Float64(),
				Admitted: 50 * random.Float64(),
			})
		}
		reports = append(reports, r)
	}
	reports = admit.Combine(reports)
	named, err := gossip.AdmissionSize(reports)
	assert.NilError(t, err)
	for i := range reports {
		reports[i].Customers = nil
	}
	unnamed, err := gossip.AdmissionSize(reports)
	assert.NilError(t, err)
	t.Logf("seed %d: %d bytes with customers, %d without", seed, named, unnamed)
	assert.Assert(t, named <= 2000)
	assert.Assert(t, unnamed <= 500)
}
