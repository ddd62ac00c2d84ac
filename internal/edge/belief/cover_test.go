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

// counting counts the watches of one host.
type counting struct {
	*catalog
	denied  atomic.Bool
	watches atomic.Int64
}

func (c *counting) Changes(ctx context.Context, after uint64, wait time.Duration) ([]steer.Fact, uint64, error) {
	c.watches.Add(1)
	if c.denied.Load() {
		return nil, 0, steer.ErrDown
	}
	return c.catalog.Changes(ctx, after, wait)
}

// pair plays two hosts of a data centre. The first watches for the second while they are connected.
func pair(t *testing.T, play func(platform *catalog, first, second *counting, connect func(bool), view func() *belief.View)) {
	synctest.Test(t, func(*testing.T) {
		platform := newCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("a", 0, false))
		one, two := &counting{catalog: platform}, &counting{catalog: platform}
		var mu sync.Mutex // Guards what follows.
		connected := true
		var followers [2]*belief.Follower
		relay := func(to int) func(steer.Changes) {
			return func(c steer.Changes) {
				mu.Lock()
				f, ok := followers[to], connected
				mu.Unlock()
				if ok {
					f.ApplyRelayed(time.Now(), to == 1, c)
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
			time.Sleep(100 * time.Millisecond) // The first one lists before the second one exists.
		}
		defer followers[0].Stop()
		defer followers[1].Stop()
		time.Sleep(3 * time.Second)
		connect := func(on bool) {
			mu.Lock()
			defer mu.Unlock()
			connected = on
		}
		play(platform, one, two, connect, followers[1].View)
	})
}

// Guards against a call to the platform for each change and each host of a data centre.
func TestOneHostWatchesForADataCentre(t *testing.T) {
	pair(t, func(platform *catalog, _, second *counting, _ func(bool), view func() *belief.View) {
		before := second.watches.Load()
		for i := range 20 {
			platform.put(planFact(uint64(i+2), 0))
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, view().Index.Plan.Version, uint64(i+2))
		}
		assert.Assert(t, second.watches.Load()-before <= 1, "%d watches", second.watches.Load()-before)
	})
}

// Guards against a host that stays behind because the one that watched for it is gone or its messages were lost.
func TestWatchesAgainWithoutTheOther(t *testing.T) {
	const bound = 2500 * time.Millisecond // A drain binds this long after the platform acknowledged it.
	pair(t, func(platform *catalog, _, _ *counting, connect func(bool), view func() *belief.View) {
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

// Guards against a host that the platform turns away and that stays behind though its neighbours know better.
func TestNeighbourStandsInForADeniedHost(t *testing.T) {
	pair(t, func(platform *catalog, first, _ *counting, _ func(bool), view func() *belief.View) {
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

// panicking panics in its first calls.
type panicking struct {
	*catalog
	lists, watches atomic.Int64
}

func (p *panicking) List(ctx context.Context) ([]steer.Fact, uint64, error) {
	if p.lists.Add(1) == 1 {
		panic("unexpected")
	}
	return p.catalog.List(ctx)
}

func (p *panicking) Changes(ctx context.Context, after uint64, wait time.Duration) ([]steer.Fact, uint64, error) {
	if p.watches.Add(1) == 1 {
		panic("unexpected")
	}
	return p.catalog.Changes(ctx, after, wait)
}

// Guards against a process that ends, or follows the platform no more, because one answer of it cannot be handled.
func TestPanicEndsOneStepOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := &panicking{
			catalog: newCatalog(),
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

// Guards against entries that are lost because another one cannot be handled.
func TestPanicEndsOneEntryOnly(t *testing.T) {
	table := belief.NewTable(regions)
	table.Break()
	problems := table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false)}, 2)
	assert.Equal(t, len(problems), 1)
	assert.DeepEqual(t, ids(table), []string{"a"})
}
