package gossip_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
	"monsoonhub.example/steer/internal/quota/share"
)

// Guards against hosts that go on sending to a target because they do not learn the limit that it named to another host.
func TestLimitsReachHostsOfAllDataCentres(t *testing.T) {
	var mu sync.Mutex
	heard := map[string]steer.LimitObservation{}
	var due atomic.Bool
	var gossipers []*gossip.Gossiper
	var entries []steer.HostEntry
	for i := range 15 {
		id, dataCentre, region := fmt.Sprintf("host-%02d", i), "golfo-a", "golfo"
		if i >= 11 {
			dataCentre, region = "pacifico-a", "pacifico"
		}
		g := gossip.New(gossip.Config{
			Host:         id,
			DataCentre:   dataCentre,
			Region:       region,
			Usage:        func(time.Time) share.Report { return nil },
			Sum:          func([]string) (share.Report, int) { return nil, 1 },
			OnPeerStatus: func(time.Time, gossip.PeerStatus) {},
			Limits: func(time.Time) []steer.LimitObservation {
				if id != "host-10" || !due.Load() {
					return nil
				}
				return []steer.LimitObservation{{
					Target: "i-1",
					Limit: steer.TargetLimit{
						Limited:   true,
						PerSecond: 1.5,
					},
					Age: 40 * time.Millisecond,
				}}
			},
			OnLimits: func(_ time.Time, limits []steer.LimitObservation) {
				mu.Lock()
				defer mu.Unlock()
				for _, l := range limits {
					heard[id] = l
				}
			},
		})
		t.Cleanup(g.Stop)
		server := httptest.NewServer(g.Handler())
		t.Cleanup(server.Close)
		gossipers = append(gossipers, g)
		entries = append(entries, steer.HostEntry{
			ID:          id,
			DataCentre:  dataCentre,
			Region:      region,
			PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	for _, g := range gossipers {
		g.SetHosts(time.Now(), entries)
	}
	due.Store(true)
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		delete(heard, "host-10")
		return len(heard) == len(entries)-1
	})
	mu.Lock()
	defer mu.Unlock()
	for id, o := range heard {
		assert.Equal(t, o.Target, "i-1", id)
		assert.Equal(t, o.Limit, steer.TargetLimit{Limited: true, PerSecond: 1.5}, id)
		assert.Assert(t, o.Age >= 40*time.Millisecond && o.Age < 3*time.Second, "%s: %s", id, o.Age)
	}
}
