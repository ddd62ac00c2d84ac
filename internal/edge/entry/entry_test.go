package entry_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/entry"
)

// start is an arbitrary time at which tests begin.
var start = time.Unix(1700000000, 0)

// largePlan is a plan that calls for the selection of hosts.
var largePlan = &steer.Plan{
	Routes: []steer.PlanRoute{{
		Name: "download",
		Kind: steer.KindLarge,
	}},
}

// newHosts returns hosts of a data centre, one for each link, with addresses of their own.
func newHosts(dataCentre, region string, links ...float64) []*steer.HostEntry {
	var hosts []*steer.HostEntry
	for i, link := range links {
		id := fmt.Sprintf("%s-%02d", dataCentre, i)
		var address [4]byte
		binary.BigEndian.PutUint32(address[:], 10<<24|uint32(dataCentre[0])<<16|uint32(i))
		hosts = append(hosts, &steer.HostEntry{
			ID:         id,
			DataCentre: dataCentre,
			Region:     region,
			Address:    netip.AddrPortFrom(netip.AddrFrom4(address), 80),
			LinkMbps:   link,
		})
	}
	return hosts
}

func newSelector(mode steer.Mode) *entry.Selector {
	return entry.New(entry.Config{
		DataCentre: "a",
		Mode:       mode,
	})
}

// named returns the indexes in hosts of the named ones, in the order of the answer.
func named(s *entry.Selector, hosts []*steer.HostEntry, plan *steer.Plan, region, dataCentre string) []int {
	var indexes []int
	for _, address := range s.Addresses(start, hosts, plan, region, dataCentre) {
		indexes = append(indexes, slices.IndexFunc(hosts, func(h *steer.HostEntry) bool { return h.Address == address }))
	}
	return indexes
}

// Guards against callers that are sent to hosts with narrow links while wide ones are there, and against hosts that no caller is sent to
// although their capacity is the same, or is not known because they run an older build.
func TestNamesHostsWithWideLinks(t *testing.T) {
	for _, c := range []struct {
		name  string
		links []float64
		named []int
	}{
		{name: "wide and narrow", links: []float64{10, 200, 10, 200, 10}, named: []int{1, 3}},
		{name: "within the factor", links: []float64{200, 51, 50}, named: []int{0, 1}},
		{name: "even", links: []float64{10, 10, 10}, named: []int{0, 1, 2}},
		{name: "no capacity is known", links: []float64{0, 0, 0}, named: []int{0, 1, 2}},
		{name: "hosts of an older build", links: []float64{0, 200, 10, 0, 10}, named: []int{0, 1, 3}},
		{name: "only narrow hosts tell theirs", links: []float64{0, 10, 0, 10}, named: []int{0, 1, 2, 3}},
		{name: "one wide host", links: []float64{10, 200, 10}, named: []int{0, 1}},
		{name: "one host", links: []float64{10}, named: []int{0}},
		{name: "no host"},
	} {
		t.Run(c.name, func(t *testing.T) {
			hosts := newHosts("a", "r", c.links...)
			assert.DeepEqual(t, named(newSelector(steer.ModeOn), hosts, nil, "r", "a"), c.named)
		})
	}
}

// Guards against a deployment that the feature does not concern and whose callers get other answers than without it.
func TestModes(t *testing.T) {
	hosts := newHosts("a", "r", 10, 200, 10, 200)
	all, wide := []int{0, 1, 2, 3}, []int{1, 3}
	for _, c := range []struct {
		mode      steer.Mode
		contested bool
		plan      *steer.Plan
		named     []int
	}{
		{mode: steer.ModeOff, contested: true, plan: largePlan, named: all},
		{mode: "", contested: true, plan: largePlan, named: all},
		{mode: steer.ModeOn, named: wide},
		{mode: steer.ModeAuto, plan: &steer.Plan{}, named: all},
		{mode: steer.ModeAuto, named: all},
		{mode: steer.ModeAuto, plan: largePlan, named: wide},
		{mode: steer.ModeAuto, contested: true, named: wide},
	} {
		s := entry.New(entry.Config{
			DataCentre: "a",
			Mode:       c.mode,
			Deployment: steer.Deployment{
				ContestedCapacity: c.contested,
			},
		})
		assert.DeepEqual(t, named(s, hosts, c.plan, "r", "a"), c.named)
	}
}

// Guards against an answer without a host that serves, when the wide hosts of a data centre or all of its hosts leave or fail together.
func TestHostsThatAreGoneAreReplaced(t *testing.T) {
	a, b, c := newHosts("a", "r", 200, 10, 200, 10, 10), newHosts("b", "r", 10, 200, 200), newHosts("c", "other", 10, 200, 200)
	s := newSelector(steer.ModeOn)
	for _, x := range []struct {
		name  string
		hosts []*steer.HostEntry
		named []int
	}{
		{name: "all are there", hosts: slices.Concat(a, b, c), named: []int{0, 2}},
		{name: "a wide host is gone", hosts: slices.Concat(a[1:], b, c), named: []int{0, 1}},
		{name: "the wide hosts are gone", hosts: slices.Concat(a[1:2], a[3:], b, c), named: []int{0, 1, 2}},
		{name: "the data centre is gone", hosts: slices.Concat(b, c), named: []int{1, 2}},
		{name: "the region is gone", hosts: c, named: []int{1, 2}},
		{name: "one narrow host is left", hosts: a[1:2], named: []int{0}},
		{name: "no host is left"},
	} {
		t.Run(x.name, func(t *testing.T) { assert.DeepEqual(t, named(s, x.hosts, nil, "r", "a"), x.named) })
	}
}

// Guards against answers that are longer than callers and the message allow, or that leave out the hosts of the largest capacity, in a
// fleet of 470 hosts.
func TestLargeFleet(t *testing.T) {
	links := slices.Concat(slices.Repeat([]float64{10}, 300), slices.Repeat([]float64{100}, 70), slices.Repeat([]float64{200}, 100))
	hosts := newHosts("a", "r", links...)
	got := named(newSelector(steer.ModeOn), hosts, nil, "r", "a")
	assert.Equal(t, len(got), 64)
	for _, i := range got {
		assert.Equal(t, hosts[i].LinkMbps, 200.0)
	}
	got = named(newSelector(steer.ModeOff), hosts, nil, "r", "a")
	assert.Equal(t, len(got), 64)
	assert.Equal(t, got[63], 63, "the first hosts are named, as before")
}

// Guards against metrics that do not show how many hosts callers are sent to.
func TestMetrics(t *testing.T) {
	registry := metrics.NewRegistry()
	s := entry.New(entry.Config{
		DataCentre: "a",
		Mode:       steer.ModeAuto,
		Metrics:    registry,
	})
	hosts := slices.Concat(newHosts("a", "r", 10, 200, 10, 200, 10), newHosts("b", "r", 10, 200))
	s.Update(start, hosts, largePlan, steer.HostLoad{})
	assert.Equal(t, metrics.GetOrRegisterGauge("entry-named", registry).Value(), int64(2))
	assert.Equal(t, metrics.GetOrRegisterGauge("entry-known", registry).Value(), int64(5))
}

// firstNearest returns the addresses that the directory gave before hosts were selected: the first hosts of the data centre, else of the
// region, else any.
func firstNearest(hosts []*steer.HostEntry, region, dataCentre string) []netip.AddrPort {
	addresses := make([][]netip.AddrPort, 3)
	for _, h := range hosts {
		for i, matches := range []bool{h.DataCentre == dataCentre, h.Region == region, true} {
			if matches && len(addresses[i]) < 64 {
				addresses[i] = append(addresses[i], h.Address)
			}
		}
	}
	return slices.MaxFunc(addresses, func(a, b []netip.AddrPort) int { return min(len(a), 1) - min(len(b), 1) })
}

// Guards against answers that differ from those without the feature while it is off, or while links are even or unknown.
func TestAnswersWithoutSelection(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for range 300 {
		mode, links := steer.ModeOff, []float64{10, 200, 0}
		if random.IntN(2) == 0 {
			mode, links = steer.ModeAuto, [][]float64{{200, 51}, {0}, {0, 10}}[random.IntN(3)]
		}
		var hosts []*steer.HostEntry
		for _, dataCentre := range []string{"a", "b", "c"} {
			for range random.IntN(2) * random.IntN(80) {
				hosts = append(hosts, newHosts(dataCentre, dataCentre[:1], links[random.IntN(len(links))])...)
			}
		}
		for i, h := range hosts {
			h.ID, h.Address = fmt.Sprint(i), netip.AddrPortFrom(h.Address.Addr(), uint16(i+1))
			h.CPUCores = float64(random.IntN(3))
			h.Region = []string{"r", "r", "other"}[h.DataCentre[0]-'a']
		}
		random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		got := newSelector(mode).Addresses(start, hosts, largePlan, "r", "a")
		assert.Assert(t, slices.Equal(got, firstNearest(hosts, "r", "a")), "%v: %v", mode, got)
	}
}
