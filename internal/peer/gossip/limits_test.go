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

// startHosts starts hosts without usage of their own, and makes them known to each other.
func startHosts(t *testing.T, configs []gossip.Config) {
	t.Helper()
	var gossipers []*gossip.Gossiper
	var entries []steer.HostEntry
	for _, c := range configs {
		if c.Usage == nil {
			c.Usage = func(time.Time) share.Report { return nil }
		}
		c.Sum = func([]string) (share.Report, int) { return nil, 1 }
		c.OnPeerStatus = func(time.Time, gossip.PeerStatus) {}
		g := gossip.New(c)
		t.Cleanup(g.Stop)
		server := httptest.NewServer(g.Handler())
		t.Cleanup(server.Close)
		gossipers = append(gossipers, g)
		entries = append(entries, steer.HostEntry{
			ID:          c.Host,
			DataCentre:  c.DataCentre,
			Region:      c.Region,
			PeerAddress: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	for _, g := range gossipers {
		g.SetHosts(time.Now(), entries)
	}
}

// Guards against hosts that go on sending to a target because they do not learn the limit that it named to another host.
func TestLimitsReachHostsOfAllDataCentres(t *testing.T) {
	var mu sync.Mutex
	heard := map[string]steer.LimitObservation{}
	var due atomic.Bool
	var configs []gossip.Config
	for i := range 15 {
		id, dataCentre, region := fmt.Sprintf("host-%02d", i), "golfo-a", "golfo"
		if i >= 11 {
			dataCentre, region = "pacifico-a", "pacifico"
		}
		configs = append(configs, gossip.Config{
			Host:       id,
			DataCentre: dataCentre,
			Region:     region,
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
	}
	startHosts(t, configs)
	due.Store(true)
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		delete(heard, "host-10")
		return len(heard) == len(configs)-1
	})
	mu.Lock()
	defer mu.Unlock()
	for id, o := range heard {
		assert.Equal(t, o.Target, "i-1", id)
		assert.Equal(t, o.Limit, steer.TargetLimit{Limited: true, PerSecond: 1.5}, id)
		assert.Assert(t, o.Age >= 40*time.Millisecond && o.Age < 3*time.Second, "%s: %s", id, o.Age)
	}
}

// Guards against limits whose age shrinks at a busy host that passes them on; one below zero is dropped.
func TestBusyHostPassesOnLimitsWithTheirAges(t *testing.T) {
	const age, rounds = 400 * time.Millisecond, 8
	var mu sync.Mutex
	heard := map[string]time.Duration{}
	sent := 0
	configs := []gossip.Config{
		{
			Host:       "host-00",
			DataCentre: "golfo-a",
			Region:     "golfo",
			Usage: func(time.Time) share.Report {
				time.Sleep(150 * time.Millisecond)
				return nil
			},
		},
		{
			Host:       "host-01",
			DataCentre: "golfo-a",
			Region:     "golfo",
			Limits: func(time.Time) []steer.LimitObservation {
				mu.Lock()
				defer mu.Unlock()
				sent++
				return []steer.LimitObservation{{
					Target: fmt.Sprintf("i-%d", sent),
					Limit: steer.TargetLimit{
						Limited:   true,
						PerSecond: 1.5,
					},
					Age: age,
				}}
			},
		},
		{
			Host:       "host-02",
			DataCentre: "pacifico-a",
			Region:     "pacifico",
			OnLimits: func(_ time.Time, limits []steer.LimitObservation) {
				mu.Lock()
				defer mu.Unlock()
				for _, l := range limits {
					heard[l.Target] = l.Age
				}
			},
		},
	}
	startHosts(t, configs)
	waitUntil(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(heard) >= rounds
	})
	mu.Lock()
	defer mu.Unlock()
	for target, got := range heard {
		assert.Assert(t, got >= age, "%s: %s", target, got)
	}
}
