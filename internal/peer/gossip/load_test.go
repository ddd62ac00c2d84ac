package gossip_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// Guards against hosts that decide by loads of which they do not hear: all hosts of a data centre hear its leaders, the leaders hear all,
// and hosts of other data centres hear the decision.
func TestLoadsReachOtherHosts(t *testing.T) {
	var mu sync.Mutex
	heard := map[string]map[string]steer.HostLoad{} // By receiver, then by sender or, if the report was passed on, by data centre.
	var configs []gossip.Config
	for i := range 15 {
		id, dataCentre := fmt.Sprintf("host-%02d", i), "golfo-a"
		if i >= 11 {
			dataCentre = "pacifico-a"
		}
		heard[id] = map[string]steer.HostLoad{}
		configs = append(configs, gossip.Config{
			Host:       id,
			DataCentre: dataCentre,
			Region:     dataCentre,
			Load: func(time.Time) (steer.HostLoad, bool) {
				return steer.HostLoad{
					Link:       0.25,
					CPU:        float64(i) / 100,
					ExtraHosts: i - 1,
				}, i != 14 // The last host runs an older build, or has nothing to report.
			},
			OnLoad: func(at time.Time, r gossip.LoadReport) {
				mu.Lock()
				defer mu.Unlock()
				assert.Check(t, time.Since(at) < time.Second)
				sender := r.Host
				if sender == "" {
					sender = r.DataCentre
				}
				heard[id][sender] = r.Load
			},
		})
	}
	startHosts(t, configs)
	hears := func(receiver int, senders ...string) bool {
		for _, sender := range senders {
			if _, ok := heard[fmt.Sprintf("host-%02d", receiver)][sender]; !ok {
				return false
			}
		}
		return true
	}
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		for i := range 11 {
			if i > 1 && !hears(i, "host-00", "host-01") || i > 0 && !hears(0, fmt.Sprintf("host-%02d", i)) {
				return false
			}
		}
		// Until the hosts have heard each other, others than the first one speak for the data centre.
		return heard["host-14"]["golfo-a"].ExtraHosts == -1 && hears(10, "pacifico-a") && hears(11, "host-00", "host-13", "golfo-a") && hears(12, "host-00") && hears(14, "golfo-a")
	})
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, heard["host-00"]["host-10"], steer.HostLoad{
		Link:       0.25,
		CPU:        0.1,
		ExtraHosts: 9,
	})
	assert.Assert(t, !hears(12, "host-14"))
}

// Guards against messages of older and newer builds that are not understood, and against loads that no host can have.
func TestLoadsOfOtherBuilds(t *testing.T) {
	var got []gossip.LoadReport
	g := gossip.New(gossip.Config{
		Host:         "b",
		DataCentre:   "golfo-a",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
		OnLoad:       func(_ time.Time, r gossip.LoadReport) { got = append(got, r) },
	})
	t.Cleanup(g.Stop)
	for _, m := range []map[string]any{
		{"host": "a", "data-centre": "golfo-a"},
		{"host": "a", "data-centre": "golfo-a", "load": map[string]any{"link": 1 << 40, "cpu": -5, "newer": 1}, "newer": []int{1}},
	} {
		data, err := cbor.Marshal(m)
		assert.NilError(t, err)
		assert.NilError(t, g.Receive(append([]byte{0}, data...)))
	}
	assert.DeepEqual(t, got, []gossip.LoadReport{{
		Host:       "a",
		DataCentre: "golfo-a",
		Load: steer.HostLoad{
			Link: 10,
		},
	}})
}

// Guards against a report that grows: a leader of 47 hosts sends it to 46 of them four times a second.
func TestLoadIsShort(t *testing.T) {
	size := gossip.LoadBytes(steer.HostLoad{
		Link:       0.512,
		CPU:        0.256,
		ExtraHosts: 31,
	})
	t.Logf("%d bytes", size)
	assert.Assert(t, size <= 32)
}

// Guards against entries that a host of an older build relays, without the capacity of hosts, and that are taken for complete ones.
func TestEntriesOfOlderBuildsAreMarked(t *testing.T) {
	var got []bool
	g := gossip.New(gossip.Config{
		Host:         "b",
		DataCentre:   "golfo-a",
		Usage:        func(time.Time) share.Report { return nil },
		Sum:          func([]string) (share.Report, int) { return nil, 1 },
		OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
		Changes:      func(_ time.Time, _ string, c steer.Changes) { got = append(got, c.Partial) },
	})
	t.Cleanup(g.Stop)
	for _, entries := range []map[string]any{{"from": 1, "to": 2}, {"from": 1, "to": 2, "fields": 1}, {"from": 1, "to": 2, "fields": 2, "newer": 1}} {
		data, err := cbor.Marshal(map[string]any{"host": "a", "data-centre": "golfo-a", "entries": entries})
		assert.NilError(t, err)
		assert.NilError(t, g.Receive(append([]byte{0}, data...)))
	}
	assert.DeepEqual(t, got, []bool{true, false, false})
}
