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

func follower(t *testing.T, host string, c steer.Catalog) *belief.Follower {
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

// Guards against hosts that all list the platform when they start together, and against snapshots that are written by many or
// get older than the platform's history.
func TestHostsStartFromTheSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newCatalog()
		platform.put(planFact(1, 0))
		for i := range 50 {
			platform.put(targetFact(fmt.Sprint(i), 0, false))
		}
		var first []*belief.Follower
		for _, id := range []string{"a", "b", "c"} {
			platform.put(hostFact(id))
			first = append(first, follower(t, id, platform))
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
		platform.put(removed("targets/1", 0))
		lists := platform.count().lists
		for _, id := range []string{"a", "b", "c"} {
			f := follower(t, id, platform)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, f.View().Index.Plan.Version, uint64(2))
			assert.Equal(t, len(f.View().Targets[service]), 48)
			assert.Assert(t, f.View().Listed)
		}
		assert.Equal(t, platform.count().lists, lists)
	})
}

// Guards against a started host that uses what a snapshot holds though it was withdrawn since: a plan with a key, a target
// that has left.
func TestNothingOfAnOldSnapshotIsInForce(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(c *catalog)
		heal  func(c *catalog)
		lists bool
	}{
		{name: "changes arrive", fault: func(*catalog) {}, heal: func(*catalog) {}},
		{
			name:  "history is gone",
			fault: func(c *catalog) { c.compacted = c.revision },
			heal:  func(*catalog) {},
			lists: true,
		},
		{
			name:  "the snapshot cannot be read",
			fault: func(c *catalog) { c.snapshot = c.snapshot[:len(c.snapshot)/2] },
			heal:  func(*catalog) {},
			lists: true,
		},
		{
			name:  "the snapshot is of another format",
			fault: func(c *catalog) { c.snapshot = []byte{3, 0} },
			heal:  func(*catalog) {},
			lists: true,
		},
		{
			name:  "the platform is away",
			fault: func(c *catalog) { c.down = true },
			heal:  func(c *catalog) { c.down = false },
		},
		{
			name:  "watches hear nothing",
			fault: func(c *catalog) { c.deaf = true },
			heal:  func(c *catalog) { c.deaf = false },
			lists: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newCatalog()
				platform.put(planFact(1, 0))
				platform.put(targetFact("x", 0, false))
				platform.put(targetFact("y", 0, false))
				platform.put(hostFact("a"))
				f := follower(t, "a", platform)
				time.Sleep(10 * time.Second)
				f.Stop()
				assert.Assert(t, platform.count().snapshots > 0)
				platform.put(planFact(2, 0))
				platform.put(removed("targets/x", 0))
				lists := platform.count().lists
				platform.set(func() { c.fault(platform) })
				f = follower(t, "a", platform)
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					if x := f.View().Index; x != nil {
						assert.Equal(t, x.Plan.Version, uint64(2), "the older plan was in force")
						assert.DeepEqual(t, targetsOf(f.View()), []string{"y"})
					}
				}
				platform.set(func() { c.heal(platform) })
				time.Sleep(3 * time.Second)
				assert.Equal(t, f.View().Index.Plan.Version, uint64(2))
				assert.DeepEqual(t, targetsOf(f.View()), []string{"y"})
				if c.lists {
					assert.Assert(t, platform.count().lists > lists)
				}
			})
		})
	}
}

func targetsOf(v *belief.View) []string {
	var list []string
	for _, target := range v.Targets[service] {
		list = append(list, target.ID)
	}
	return list
}

// Guards against a snapshot of entries that lapsed while the platform was away: a host that starts from it would never hear
// that they are gone.
func TestNoSnapshotOfEntriesThatMayBeGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("x", 0, false))
		platform.put(hostFact("a"))
		f := follower(t, "a", platform)
		time.Sleep(time.Second)
		platform.set(func() { platform.down = true })
		time.Sleep(12 * time.Second)
		platform.put(removed("targets/x", 0))
		platform.put(planFact(2, 0))
		before := platform.count().snapshots
		platform.set(func() { platform.down = false })
		time.Sleep(1500 * time.Millisecond)
		assert.DeepEqual(t, targetsOf(f.View()), []string{"x"}) // It may come back.
		assert.Equal(t, platform.count().snapshots, before)
		time.Sleep(10 * time.Second)
		assert.Assert(t, platform.count().snapshots > before)
		platform.set(func() { platform.compacted = 0 })
		second := follower(t, "b", platform)
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(targetsOf(second.View())), 0)
	})
}

// Guards against a snapshot of a large fleet that does not fit into an entry of the platform, or takes long to read. 295 hosts,
// 1,356 targets, 190 customers and 1,632 routes.
func TestSnapshotOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newCatalog()
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
		f := follower(t, "front-golfo-a-0", platform)
		time.Sleep(time.Second)
		f.Stop()
		t.Logf("%d KB", platform.count().bytes>>10)
		assert.Assert(t, platform.count().bytes < 200<<10)
		second := follower(t, "front-golfo-a-0", platform)
		time.Sleep(time.Second)
		assert.Equal(t, len(second.View().Targets[service]), 1356)
		assert.Equal(t, len(second.View().Index.Plan.Routes), 1632)
		assert.Equal(t, platform.count().lists, 1)
		_, _, err := platform.Changes(context.Background(), 0, 0)
		assert.NilError(t, err)
	})
}
