package belief_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// dataCentre runs the hosts of a large data centre. Each relays the changes it receives to all others, as leaders do.
type dataCentre struct {
	platform *fakeCatalog
	calls    []*countingCatalog
	mu       sync.Mutex // Guards the fields below.
	hosts    []*belief.Follower
	silent   map[int]bool // Hosts whose relayed changes do not arrive.
}

func newDataCentre(t *testing.T, size int) *dataCentre {
	t.Helper()
	c := &dataCentre{
		platform: newFakeCatalog(),
		silent:   map[int]bool{},
	}
	c.platform.put(planFact(1, 0))
	for i := range size {
		c.platform.put(hostFact(fmt.Sprintf("h%02d", i)))
	}
	for i := range size {
		calls := &countingCatalog{
			fakeCatalog: c.platform,
		}
		f := belief.New(belief.Config{
			Catalog:         calls,
			Host:            fmt.Sprintf("h%02d", i),
			LocalDataCentre: "golfo-a",
			Regions:         regions,
			Relay:           func(changes steer.Changes) { c.relay(i, changes) },
		})
		t.Cleanup(f.Stop)
		c.mu.Lock()
		c.calls, c.hosts = append(c.calls, calls), append(c.hosts, f)
		c.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	return c
}

func (c *dataCentre) relay(from int, changes steer.Changes) {
	c.mu.Lock()
	hosts, silent := c.hosts, c.silent[from]
	c.mu.Unlock()
	for to, f := range hosts {
		if to != from && !silent {
			f.ApplyRelayed(time.Now(), from < to, changes)
		}
	}
}

func (c *dataCentre) silence(host int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[host] = true
}

func (c *dataCentre) watches() int64 {
	n := int64(0)
	for _, calls := range c.calls {
		n += calls.watches.Load()
	}
	return n
}

// Guards against all hosts of a large data centre calling the platform when the host that relayed its changes to them falls
// silent, and against hosts that then miss changes: a drain must be in effect 2.5 s after its acknowledgement where data
// centres are small, and 3 s after it elsewhere.
func TestWatchersAreStaggeredWhenRelayStops(t *testing.T) {
	for _, c := range []struct {
		name       string
		silent     int // Number of hosts that stop relaying and are denied by the platform.
		maxWatches int64
		bound      time.Duration
	}{
		{name: "the first", silent: 1, maxWatches: 8, bound: 2500 * time.Millisecond},
		{name: "the first three", silent: 3, maxWatches: 12, bound: 2500 * time.Millisecond},
		{name: "the first seven", silent: 7, maxWatches: 60, bound: 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDataCentre(t, 33)
				for i := range c.silent {
					d.silence(i)
					d.calls[i].denied.Store(true)
				}
				before := d.watches()
				for i := range c.silent {
					before -= d.calls[i].watches.Load()
				}
				d.platform.put(planFact(2, 0))
				time.Sleep(c.bound)
				after := d.watches()
				for i := range c.silent {
					after -= d.calls[i].watches.Load()
				}
				for i, f := range d.hosts[c.silent:] {
					assert.Equal(t, f.View().Index.Plan.Version, uint64(2), "host %d", i+c.silent)
				}
				assert.Assert(t, after-before <= c.maxWatches, "%d watches", after-before)
			})
		})
	}
}

// Guards against all hosts of a data centre listing the platform when its history was compacted or replaced by an older copy.
func TestOneListingPerDataCentre(t *testing.T) {
	for _, c := range []struct {
		name     string
		away     time.Duration // Time for which the platform does not answer.
		restored bool
		listTime time.Duration // Of a listing, which is long over a slow link.
		maxLists int
		bound    time.Duration
	}{
		{name: "compacted", maxLists: 2, bound: 2 * time.Second},
		{name: "restored", restored: true, maxLists: 2, bound: 2500 * time.Millisecond},
		{
			name: "restored after an outage", away: 2 * time.Second, restored: true, listTime: 300 * time.Millisecond,
			maxLists: 8, bound: 4 * time.Second, // contact-s of the platform's pages, after an outage.
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDataCentre(t, 47)
				d.platform.put(targetFact("x", 0, false))
				time.Sleep(2 * time.Second)
				lists := d.platform.count().lists
				d.platform.update(func() { d.platform.listTime = c.listTime })
				d.platform.update(func() { d.platform.stalled, d.platform.down = true, c.away > 0 })
				time.Sleep(c.away)
				if c.restored {
					d.platform.update(func() { d.platform.restore(d.platform.revision - 1) })
				}
				d.platform.put(planFact(2, 0))
				d.platform.put(removedFact("targets/x", 0))
				d.platform.update(func() {
					d.platform.stalled, d.platform.down, d.platform.compacted = false, false, d.platform.revision
				})
				time.Sleep(c.bound)
				for i, f := range d.hosts {
					assert.Equal(t, f.View().Index.Plan.Version, uint64(2), "host %d", i)
					assert.Equal(t, len(f.View().Targets[service]), 0, "host %d", i)
				}
				assert.Assert(t, d.platform.count().lists <= lists+c.maxLists, "%d listings", d.platform.count().lists-lists)
				_, _, err := d.platform.Changes(context.Background(), d.platform.position(), 0)
				assert.NilError(t, err)
			})
		})
	}
}
