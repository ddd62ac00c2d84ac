package belief_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

const history = 20 * time.Second

func hostFact(id string) steer.Fact {
	return steer.Fact{
		Key: "hosts/" + id,
		Host: &steer.HostEntry{
			ID:          id,
			DataCentre:  "golfo-a",
			Region:      "golfo",
			Incarnation: 1785280495852099753,
			Address:     netip.MustParseAddrPort("10.1.0.50:8464"),
			PeerAddress: netip.MustParseAddrPort("10.1.0.50:7260"),
		},
	}
}

func startFollower(t *testing.T, host string, c steer.Catalog) *belief.Follower {
	t.Helper()
	f := belief.New(belief.Config{
		Catalog:         c,
		Host:            host,
		LocalDataCentre: "golfo-a",
		History:         history,
		Regions:         regions,
	})
	t.Cleanup(f.Stop)
	return f
}

// Guards against hosts that all list the platform when they start together, and against snapshots that several hosts write
// or that become older than the platform's history.
func TestHostsStartFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakeCatalog()
		platform.put(planFact(1, 0))
		for i := range 50 {
			platform.put(targetFact(fmt.Sprint(i), 0, false))
		}
		var first []*belief.Follower
		for _, id := range []string{"a", "b", "c"} {
			platform.put(hostFact(id))
			first = append(first, startFollower(t, id, platform))
		}
		time.Sleep(time.Minute)
		written := platform.count().snapshots
		assert.Assert(t, written >= 6 && written <= 9, "%d snapshots in a minute", written)
		platform.put(planFact(2, 0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, platform.count().snapshots, written+1, "a new plan gets a snapshot soon")
		for _, f := range first {
			f.Stop()
		}
		platform.put(targetFact("0", 0, true))
		platform.put(removedFact("targets/1", 0))
		lists := platform.count().lists
		for _, id := range []string{"a", "b", "c"} {
			f := startFollower(t, id, platform)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.View().Index.Plan.Version, uint64(2))
			assert.Equal(t, len(f.View().Targets[service]), 48)
			assert.Assert(t, f.View().Listed)
		}
		assert.Equal(t, platform.count().lists, lists)
	})
}

// Guards against a starting host that uses entries of a snapshot that were withdrawn since: a plan with a key, or a target
// that was removed.
func TestStaleSnapshotEntriesAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(c *fakeCatalog)
		heal  func(c *fakeCatalog)
		lists bool
	}{
		{name: "changes arrive", fault: func(*fakeCatalog) {}, heal: func(*fakeCatalog) {}},
		{
			name:  "history compacted",
			fault: func(c *fakeCatalog) { c.compacted = c.revision },
			heal:  func(*fakeCatalog) {},
			lists: true,
		},
		{
			name: "store restored from a copy that is older than the snapshot",
			fault: func(c *fakeCatalog) {
				latest := c.revision
				c.restore(4)
				c.write(planFact(2, 0))
				c.write(removedFact("targets/x", 0))
				for c.revision <= latest {
					c.write(steer.Fact{
						Key: "other",
					})
				}
			},
			heal:  func(*fakeCatalog) {},
			lists: true,
		},
		{
			name:  "snapshot truncated",
			fault: func(c *fakeCatalog) { c.snapshot = c.snapshot[:len(c.snapshot)/2] },
			heal:  func(*fakeCatalog) {},
			lists: true,
		},
		{
			name:  "snapshot of another format",
			fault: func(c *fakeCatalog) { c.snapshot = []byte{3, 0} },
			heal:  func(*fakeCatalog) {},
			lists: true,
		},
		{
			name:  "platform unreachable",
			fault: func(c *fakeCatalog) { c.down = true },
			heal:  func(c *fakeCatalog) { c.down = false },
		},
		{
			name:  "watches stall",
			fault: func(c *fakeCatalog) { c.stalled = true },
			heal:  func(c *fakeCatalog) { c.stalled = false },
			lists: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newFakeCatalog()
				platform.put(planFact(1, 0))
				platform.put(targetFact("x", 0, false))
				platform.put(targetFact("y", 0, false))
				platform.put(hostFact("a"))
				f := startFollower(t, "a", platform)
				time.Sleep(10 * time.Second)
				f.Stop()
				assert.Assert(t, platform.count().snapshots > 0)
				platform.put(planFact(2, 0))
				platform.put(removedFact("targets/x", 0))
				lists := platform.count().lists
				platform.update(func() { c.fault(platform) })
				f = startFollower(t, "a", platform)
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					if x := f.View().Index; x != nil {
						assert.Equal(t, x.Plan.Version, uint64(2), "the older plan was in force")
						assert.DeepEqual(t, viewTargetIDs(f.View()), []string{"y"})
					}
				}
				platform.update(func() { c.heal(platform) })
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.View().Index.Plan.Version, uint64(2))
				assert.DeepEqual(t, viewTargetIDs(f.View()), []string{"y"})
				if c.lists {
					assert.Assert(t, platform.count().lists > lists)
				}
			})
		})
	}
}

func viewTargetIDs(v *belief.View) []string {
	var list []string
	for _, target := range v.Targets[service] {
		list = append(list, target.ID)
	}
	return list
}

// Guards against a snapshot with entries that lapsed while the platform was unreachable: a host that starts from it would
// never learn of their removal.
func TestNoSnapshotWithLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakeCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("x", 0, false))
		platform.put(hostFact("a"))
		f := startFollower(t, "a", platform)
		time.Sleep(time.Second)
		platform.update(func() { platform.down = true })
		time.Sleep(12 * time.Second)
		platform.put(removedFact("targets/x", 0))
		platform.put(planFact(2, 0))
		before := platform.count().snapshots
		platform.update(func() { platform.down = false })
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, viewTargetIDs(f.View()), []string{"x"}) // It may come back.
		assert.Equal(t, platform.count().snapshots, before)
		time.Sleep(10 * time.Second)
		assert.Assert(t, platform.count().snapshots > before)
		platform.update(func() { platform.compacted = 0 })
		second := startFollower(t, "b", platform)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(viewTargetIDs(second.View())), 0)
	})
}

// Guards against a snapshot of a large fleet that does not fit into an entry of the platform or takes long to read. The
// fleet has 295 hosts, 1,356 targets, 190 customers and 1,632 routes.
func TestSnapshotOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakeCatalog()
		plan := planFact(1, 0)
		for i := range 1632 {
			plan.Plan.Routes = append(plan.Plan.Routes, steer.PlanRoute{
				Name:        fmt.Sprintf("r-%x", i*7919),
				Host:        fmt.Sprintf("host%d.example", i%7),
				Prefix:      fmt.Sprintf("/%x/", i*104729),
				Kind:        steer.KindSafe,
				Timeout:     2500 * time.Millisecond,
				Objective:   1200 * time.Millisecond,
				MaxAttempts: 2,
				WeightedServices: []steer.WeightedService{{
					Service: service,
					Weight:  1,
				}},
			})
		}
		for i := range 190 {
			plan.Plan.Customers = append(plan.Plan.Customers, steer.PlanCustomer{
				Name:  fmt.Sprintf("customer%d", i),
				Keys:  []string{fmt.Sprintf("%016x%x", i*15485863, i*32452843)},
				Rate:  100,
				Burst: 50,
			})
		}
		platform.put(plan)
		for i := range 1356 {
			target := targetFact(fmt.Sprintf("i-%08x", i*15485863), 0, false)
			target.Endpoint.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 9), byte(i >> 8), byte(i)}), 8460)
			target.Endpoint.StartMillis = 1785280495852 + int64(i*7919)
			platform.put(target)
		}
		for i := range 295 {
			platform.put(hostFact(fmt.Sprintf("front-golfo-a-%d", i)))
		}
		f := startFollower(t, "front-golfo-a-0", platform)
		time.Sleep(time.Second)
		f.Stop()
		t.Logf("%d KB", platform.count().bytes>>10)
		assert.Assert(t, platform.count().bytes < 200<<10)
		second := startFollower(t, "front-golfo-a-0", platform)
		time.Sleep(time.Second)
		assert.Equal(t, len(second.View().Targets[service]), 1356)
		assert.Equal(t, len(second.View().Index.Plan.Routes), 1632)
		assert.Equal(t, platform.count().lists, 1)
		_, _, err := platform.Changes(context.Background(), steer.Position{}, 0)
		assert.NilError(t, err)
	})
}
