package belief_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// countingCatalog counts the watches of one host, and fails them while denied is set.
type countingCatalog struct {
	*fakeCatalog
	denied  atomic.Bool
	watches atomic.Int64
}

func (c *countingCatalog) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	c.watches.Add(1)
	if c.denied.Load() {
		return nil, steer.Position{}, steer.ErrDown
	}
	return c.fakeCatalog.Changes(ctx, after, wait)
}

// runHostPair runs a scenario with two hosts of a data centre. Both relay their changes while they are connected, and the
// first watches on behalf of the second. The scenario gets the view of the second host.
func runHostPair(t *testing.T,
	scenario func(platform *fakeCatalog, first, second *countingCatalog, connect func(bool), view func() *belief.View)) {
	synctest.Test(t, func(*testing.T) {
		platform := newFakeCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("a", 0, false))
		one, two := &countingCatalog{fakeCatalog: platform}, &countingCatalog{fakeCatalog: platform}
		var mu sync.Mutex // Guards the variables below.
		connected := true
		var followers [2]*belief.Follower
		relay := func(to int) func(steer.Changes) {
			return func(c steer.Changes) {
				mu.Lock()
				f, ok := followers[to], connected
				mu.Unlock()
				if ok && f.ApplyRelayed(time.Now(), to == 1, c) {
					listing, ok := followers[1-to].Listing()
					assert.Assert(t, ok)
					f.ApplyRelayed(time.Now(), to == 1, listing)
				}
			}
		}
		for i, c := range []steer.Catalog{one, two} {
			f := belief.New(belief.Config{
				Catalog: c,
				Regions: regions,
				Relay:   relay(1 - i),
			})
			mu.Lock()
			followers[i] = f
			mu.Unlock()
			time.Sleep(100 * time.Millisecond) // The first host lists before the second one starts.
		}
		defer followers[0].Stop()
		defer followers[1].Stop()
		time.Sleep(3 * time.Second)
		connect := func(on bool) {
			mu.Lock()
			defer mu.Unlock()
			connected = on
		}
		scenario(platform, one, two, connect, followers[1].View)
	})
}

// Guards against a call to the platform by every host of a data centre for every change.
func TestOneWatcherPerDataCentre(t *testing.T) {
	runHostPair(t, func(platform *fakeCatalog, _, second *countingCatalog, _ func(bool), view func() *belief.View) {
		before := second.watches.Load()
		for i := range 20 {
			platform.put(planFact(uint64(i+2), 0))
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, view().Index.Plan.Version, uint64(i+2))
		}
		assert.Assert(t, second.watches.Load()-before <= 1, "%d watches", second.watches.Load()-before)
	})
}

// Guards against a host that misses changes because the host that relayed them is gone or its messages were lost.
func TestWatchResumesWhenRelayStops(t *testing.T) {
	const bound = 2500 * time.Millisecond // A drain must be in effect this long after the platform acknowledged it.
	runHostPair(t, func(platform *fakeCatalog, _, _ *countingCatalog, connect func(bool), view func() *belief.View) {
		connect(false)
		platform.put(planFact(5, 0))
		time.Sleep(bound)
		assert.Equal(t, view().Index.Plan.Version, uint64(5))
		connect(true)
		time.Sleep(2 * time.Second)
		connect(false)
		platform.put(planFact(6, 0)) // Lost on the way to the second host.
		time.Sleep(400 * time.Millisecond)
		connect(true)
		platform.put(planFact(7, 0))
		time.Sleep(time.Second)
		assert.Equal(t, view().Index.Plan.Version, uint64(7))
	})
}

// Guards against a host that misses changes because the platform denies its calls, although another host relays them.
func TestDeniedHostUsesRelayedChanges(t *testing.T) {
	runHostPair(t, func(platform *fakeCatalog, first, _ *countingCatalog, _ func(bool), view func() *belief.View) {
		first.denied.Store(true)
		time.Sleep(5 * time.Second)
		before := first.watches.Load()
		platform.put(planFact(9, 0))
		time.Sleep(4 * time.Second)
		assert.Equal(t, view().Index.Plan.Version, uint64(9))
		assert.Assert(t, first.watches.Load()-before <= 4, "%d calls of the denied host",
			first.watches.Load()-before)
	})
}

// Guards against a host without the platform that misses all changes after one relayed message was lost.
func TestDeniedHostClosesGapInRelayedChanges(t *testing.T) {
	const bound = 2500 * time.Millisecond // A drain must be in effect this long after the platform acknowledged it.
	runHostPair(t, func(platform *fakeCatalog, _, second *countingCatalog, connect func(bool), view func() *belief.View) {
		second.denied.Store(true)
		connect(false)
		platform.put(targetFact("b", 0, false)) // Lost on the way to the second host.
		time.Sleep(400 * time.Millisecond)
		connect(true)
		platform.put(planFact(7, 0))
		time.Sleep(bound)
		assert.Equal(t, view().Index.Plan.Version, uint64(7))
	})
}

// Guards against a removal that is missed because the host that was asked for a listing keeps the entry for a while.
func TestListingOfPeerHoldsNoRemovedEntry(t *testing.T) {
	for range 30 {
		runHostPair(t, func(platform *fakeCatalog, _, second *countingCatalog, connect func(bool), view func() *belief.View) {
			second.denied.Store(true)
			connect(false)
			platform.update(func() { platform.down = true })
			time.Sleep(time.Second)
			platform.put(removedFact("targets/a", 0))
			platform.update(func() { platform.down = false })
			time.Sleep(1500 * time.Millisecond) // The first host has learned of the removal, and keeps the entry.
			connect(true)
			platform.put(planFact(7, 0))
			time.Sleep(4 * time.Second) // contact-s of the platform's pages, after an outage.
			assert.Equal(t, view().Index.Plan.Version, uint64(7))
			assert.Equal(t, len(view().Targets[service]), 0)
		})
	}
}

// Guards against a host that uses relayed changes and goes on sending to a target whose kept entry has expired.
func TestExpiredTargetIsDroppedAtOnce(t *testing.T) {
	const drain = 2500 * time.Millisecond // A drain must be in effect this long after the platform acknowledged it.
	for phase := time.Duration(0); phase < 1200*time.Millisecond; phase += 100 * time.Millisecond {
		runHostPair(t, func(platform *fakeCatalog, _, second *countingCatalog, connect func(bool), view func() *belief.View) {
			second.denied.Store(true)
			connect(false)
			for view().Reachable {
				time.Sleep(10 * time.Millisecond)
			}
			connect(true)
			for !view().Reachable {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(phase)
			platform.put(removedFact("targets/a", 0))
			removedAt := time.Now()
			for len(view().Targets) > 0 && time.Since(removedAt) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("phase %v: dropped after %v", phase, time.Since(removedAt))
			assert.Check(t, time.Since(removedAt) <= drain, "phase %v: dropped after %v", phase, time.Since(removedAt))
		})
	}
}

// panickingCatalog panics in the first listing and in the first watch.
type panickingCatalog struct {
	*fakeCatalog
	lists, watches atomic.Int64
}

func (p *panickingCatalog) List(ctx context.Context) ([]steer.Fact, steer.Position, error) {
	if p.lists.Add(1) == 1 {
		panic("unexpected")
	}
	return p.fakeCatalog.List(ctx)
}

func (p *panickingCatalog) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	if p.watches.Add(1) == 1 {
		panic("unexpected")
	}
	return p.fakeCatalog.Changes(ctx, after, wait)
}

// Guards against a process that ends, or stops following the platform, because handling one answer panics.
func TestPanicFailsOneStepOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &panickingCatalog{
			fakeCatalog: newFakeCatalog(),
		}
		platform.put(planFact(1, 0))
		f := belief.New(belief.Config{
			Catalog: platform,
			Regions: regions,
		})
		defer f.Stop()
		time.Sleep(3 * time.Second)
		platform.put(planFact(2, 0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.View().Index.Plan.Version, uint64(2))
	})
}

// Guards against losing entries because handling another one panics.
func TestPanicRejectsOneEntryOnly(t *testing.T) {
	table := belief.NewTable(regions)
	table.Break()
	problems := table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false)}, 2)
	assert.Equal(t, len(problems), 1)
	assert.DeepEqual(t, targetIDs(table), []string{"a"})
}
