package belief_test

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

const service = "reservas"

var (
	regions = map[string]string{"golfo-a": "golfo"}
	start   = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
)

func planFact(version, revision uint64) steer.Fact {
	return steer.Fact{
		Key:      "plan",
		Revision: revision,
		Plan: &steer.Plan{
			Version: version,
			Services: map[string]steer.PlanService{service: {
				Name: service,
			}},
		},
	}
}

func targetFact(id string, revision uint64, draining bool) steer.Fact {
	return steer.Fact{
		Key:      "targets/" + id,
		Revision: revision,
		Endpoint: &steer.Endpoint{
			ID:         id,
			Service:    service,
			Address:    netip.MustParseAddrPort("127.0.0.1:80"),
			DataCentre: "golfo-a",
			Slots:      9,
			Draining:   draining,
		},
	}
}

func removed(key string, revision uint64) steer.Fact {
	return steer.Fact{
		Key:      key,
		Revision: revision,
		Removed:  true,
	}
}

func ids(t belief.Table) []string {
	list := []string{}
	for _, target := range t.View().Targets[service] {
		list = append(list, target.ID)
	}
	return list
}

// Guards against targets that are lost because their entries lapsed while the platform was away, and against targets that
// are kept though they are gone.
func TestTargetsThatLeave(t *testing.T) {
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		play func(t belief.Table)
		want []string
	}{
		{
			name: "draining",
			play: func(t belief.Table) { t.Apply(second(1), targetFact("a", 10, true)) },
			want: []string{"b"},
		},
		{
			name: "removed while the platform is reached",
			play: func(t belief.Table) { t.Apply(second(10), removed("targets/a", 10)) },
			want: []string{"b"},
		},
		{
			name: "lapsed during an outage",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
				t.Expire(second(12))
			},
			want: []string{"a", "b"},
		},
		{
			name: "lapsed during an outage and not back in time",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
				t.Expire(second(12.4))
			},
			want: []string{"b"},
		},
		{
			name: "lapsed during an outage and back",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
				t.Apply(second(11), targetFact("a", 11, false))
				t.Expire(second(20))
			},
			want: []string{"a", "b"},
		},
		{
			name: "lapsed during an outage that other hosts saw end just before",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.ApplyHint(second(9), belief.Hint{})
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
				t.Expire(second(11))
			},
			want: []string{"a", "b"},
		},
		{
			name: "removed while only this host was cut off",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.ApplyHint(second(4.2), belief.Hint{}) // Told before that host lost the platform too.
				t.ApplyHint(second(7), belief.Hint{})
				t.ApplyHint(second(9.9), belief.Hint{})
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
			},
			want: []string{"b"},
		},
		{
			name: "removed while only this host was cut off, which it learns just before it is back",
			play: func(t belief.Table) {
				t.Lost(second(4))
				t.ApplyHint(second(9.5), belief.Hint{ReachableSince: second(2)})
				t.Reached(second(10))
				t.Apply(second(10.1), removed("targets/a", 10))
			},
			want: []string{"b"},
		},
		{
			name: "missing in a listing after lost history",
			play: func(t belief.Table) {
				t.List(second(10), []steer.Fact{planFact(1, 1), targetFact("b", 3, false)}, 20)
			},
			want: []string{"b"},
		},
		{
			name: "an old change comes late",
			play: func(t belief.Table) {
				t.Apply(second(10), removed("targets/a", 10))
				t.Apply(second(10), targetFact("a", 9, false))
			},
			want: []string{"b"},
		},
		{
			name: "an entry that cannot be read names no target",
			play: func(t belief.Table) {
				t.Apply(second(1), steer.Fact{
					Key:      "targets/a",
					Revision: 10,
					Problem:  errors.New("not readable"),
				})
			},
			want: []string{"b"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := belief.NewTable(regions)
			table.Reached(start)
			table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false), targetFact("b", 3, false)}, 3)
			c.play(table)
			assert.DeepEqual(t, ids(table), c.want)
		})
	}
}

// Guards against a plan that goes back to an older version, and against an entry that is not valid and replaces one that is.
func TestPlanNeverGoesBack(t *testing.T) {
	table := belief.NewTable(regions)
	table.List(start, []steer.Fact{planFact(7, 1)}, 1)
	assert.Equal(t, len(table.Apply(start, planFact(5, 2))), 1)
	assert.Equal(t, table.View().Index.Plan.Version, uint64(7))
	broken := planFact(9, 3)
	broken.Plan.Routes = []steer.PlanRoute{{
		Name:   "r",
		Prefix: "/x/",
		WeightedServices: []steer.WeightedService{{
			Service: "unknown",
			Weight:  1,
		}},
		MaxAttempts: 1,
	}}
	assert.Equal(t, len(table.Apply(start, broken)), 1)
	assert.Equal(t, table.View().Index.Plan.Version, uint64(7))
	assert.Equal(t, len(table.Apply(start, planFact(9, 4))), 0)
	assert.Equal(t, table.View().Index.Plan.Version, uint64(9))
}

// catalog is a platform with faults.
type catalog struct {
	steer.Catalog
	mu        sync.Mutex
	facts     map[string]steer.Fact
	log       []steer.Fact
	revision  uint64
	compacted uint64
	deaf      bool // Watches hear nothing.
	down      bool

	snapshot  []byte
	snapshots int // Written.
	lists     int
}

func newCatalog() *catalog {
	return &catalog{
		facts: map[string]steer.Fact{},
	}
}

func (c *catalog) put(f steer.Fact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	f.Revision = c.revision
	if f.Removed {
		delete(c.facts, f.Key)
	} else {
		c.facts[f.Key] = f
	}
	c.log = append(c.log, f)
}

func (c *catalog) Snapshot(context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, steer.ErrDown
	}
	return c.snapshot, nil
}

func (c *catalog) SaveSnapshot(_ context.Context, data []byte) error {
	c.mu.Lock()
	if c.down {
		c.mu.Unlock()
		return steer.ErrUnknown
	}
	c.snapshot = data
	c.snapshots++
	c.mu.Unlock()
	c.put(steer.Fact{
		Key: "snapshot",
	})
	return nil
}

// calls are numbers of calls, and the size of the snapshot.
type calls struct{ snapshots, lists, bytes int }

func (c *catalog) count() calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return calls{
		snapshots: c.snapshots,
		lists:     c.lists,
		bytes:     len(c.snapshot),
	}
}

func (c *catalog) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *catalog) List(context.Context) ([]steer.Fact, uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	if c.down {
		return nil, 0, steer.ErrDown
	}
	var list []steer.Fact
	for _, f := range c.facts {
		list = append(list, f)
	}
	return list, c.revision, nil
}

func (c *catalog) Changes(ctx context.Context, after uint64, wait time.Duration) ([]steer.Fact, uint64, error) {
	for end := time.Now().Add(wait); ; {
		c.mu.Lock()
		down, compacted, deaf := c.down, after < c.compacted, c.deaf
		var list []steer.Fact
		for _, f := range c.log {
			if f.Revision > after && !deaf {
				list = append(list, f)
			}
		}
		revision := c.revision
		c.mu.Unlock()
		switch {
		case down:
			return nil, 0, steer.ErrDown
		case compacted && !deaf:
			return nil, 0, steer.ErrCompacted
		case len(list) > 0:
			return list, revision, nil
		case ctx.Err() != nil || !time.Now().Before(end):
			return nil, after, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a host that stays behind while a watch is deaf, history is gone or the platform is away.
func TestFollowsThroughFaults(t *testing.T) {
	const bound = 2500 * time.Millisecond // A drain and a plan bind this long after the platform acknowledged them.
	for _, c := range []struct {
		name  string
		fault func(c *catalog)
		heal  func(c *catalog)
	}{
		{
			name:  "calm",
			fault: func(*catalog) {},
			heal:  func(*catalog) {},
		},
		{
			name:  "the watch goes deaf",
			fault: func(c *catalog) { c.deaf = true },
			heal:  func(c *catalog) { c.deaf, c.compacted = false, c.revision },
		},
		{
			name:  "the platform is away",
			fault: func(c *catalog) { c.down = true },
			heal:  func(c *catalog) { c.down = false },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newCatalog()
				platform.put(planFact(1, 0))
				platform.put(targetFact("a", 0, false))
				platform.put(targetFact("b", 0, false))
				f := belief.New(belief.Config{
					Catalog: platform,
					Regions: regions,
				})
				defer f.Stop()
				time.Sleep(time.Second)
				assert.Equal(t, len(f.View().Targets[service]), 2)
				platform.set(func() { c.fault(platform) })
				time.Sleep(time.Second)
				platform.put(planFact(4, 0))
				platform.put(targetFact("a", 0, true))
				platform.set(func() { c.heal(platform) })
				time.Sleep(bound)
				assert.Equal(t, f.View().Index.Plan.Version, uint64(4))
				assert.Equal(t, len(f.View().Targets[service]), 1)
			})
		})
	}
}

// Guards against a host that forgets everything while the platform is away.
func TestBelievesOnWhileThePlatformIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("a", 0, false))
		f := belief.New(belief.Config{
			Catalog: platform,
			Regions: regions,
		})
		defer f.Stop()
		time.Sleep(time.Second)
		platform.set(func() { platform.down = true })
		time.Sleep(time.Minute)
		view := f.View()
		assert.Equal(t, view.Reachable, false)
		assert.Equal(t, len(view.Targets[service]), 1)
		assert.Equal(t, view.Index.Plan.Version, uint64(1))
	})
}

// Guards against a host that is cut off from the platform and sends to cold targets, or into a data centre that is emptied.
func TestCutHostTakesHints(t *testing.T) {
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	table := belief.NewTable(regions)
	table.Reached(start)
	table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false)}, 2)
	hint := belief.Hint{
		ReachableSince: start, // Of the table, which tells it on.
		Emptied:        []string{"golfo-b"},
		Cold:           map[string]time.Time{"a": second(9)},
	}
	table.ApplyHint(second(3), hint)
	assert.Equal(t, len(table.View().Emptied), 0, "a host that reaches the platform knows better")
	table.Lost(second(4))
	table.ApplyHint(second(5), hint)
	assert.Equal(t, len(table.View().Emptied), 0, "the other host may be about to lose the platform too")
	table.ApplyHint(second(7), hint)
	view := table.View()
	assert.Assert(t, view.Emptied["golfo-b"])
	assert.Equal(t, view.Targets[service][0].ColdUntil, second(9))
	assert.DeepEqual(t, view.Hint(second(8)), hint)
	table.Reached(second(8))
	assert.Equal(t, len(table.View().Emptied), 0)
}
