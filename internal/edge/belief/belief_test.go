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

func removedFact(key string, revision uint64) steer.Fact {
	return steer.Fact{
		Key:      key,
		Revision: revision,
		Removed:  true,
	}
}

func targetIDs(t belief.Table) []string {
	list := []string{}
	for _, target := range t.View().Targets[service] {
		list = append(list, target.ID)
	}
	return list
}

// newHostFact returns the registration of a host.
func newHostFact(id string, revision uint64, leaving bool) steer.Fact {
	return steer.Fact{
		Key:      "hosts/" + id,
		Revision: revision,
		Host: &steer.HostEntry{
			ID:      id,
			Leaving: leaving,
		},
	}
}

// Guards against a directory that drops a host which was paused for a moment or whose lease ended during an outage, or names one that has left, or one that has been gone for
// longer than its lease because the lease stood still during an outage.
func TestHostRemoval(t *testing.T) {
	const leaseTerm = 2500 * time.Millisecond
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		run  func(t belief.Table)
		want []string
	}{
		{
			name: "lease not renewed in time",
			run: func(t belief.Table) {
				t.Apply(at(10), removedFact("hosts/a", 10))
				t.Expire(at(11.4))
			},
			want: []string{"a", "b", "own"},
		},
		{
			name: "lease not renewed for 4 s",
			run: func(t belief.Table) {
				t.Apply(at(10), removedFact("hosts/a", 10))
				t.Expire(at(11.5))
			},
			want: []string{"b", "own"},
		},
		{
			name: "leaving",
			run:  func(t belief.Table) { t.Apply(at(10), newHostFact("a", 10, true)) },
			want: []string{"b", "own"},
		},
		{
			name: "left",
			run: func(t belief.Table) {
				t.Apply(at(10), newHostFact("a", 10, true))
				t.Apply(at(10), removedFact("hosts/a", 11))
				t.Expire(at(10))
			},
			want: []string{"b", "own"},
		},
		{
			name: "registration of this host",
			run:  func(t belief.Table) { t.Apply(at(10), removedFact("hosts/own", 10)) },
			want: []string{"a", "b"},
		},
		{
			name: "lease that ended during an outage",
			run: func(t belief.Table) {
				t.MarkReachable(at(2))
				t.MarkUnreachable(at(4))
				t.NoteFailedCall(at(7))
				t.MarkReachable(at(8))
				t.Apply(at(8), removedFact("hosts/a", 10))
				t.Expire(at(9.4))
			},
			want: []string{"a", "b", "own"},
		},
		{
			name: "lease that ended during an outage, host not back a term after the last failed call",
			run: func(t belief.Table) {
				t.MarkReachable(at(2))
				t.MarkUnreachable(at(4))
				t.NoteFailedCall(at(7))
				t.MarkReachable(at(8))
				t.Apply(at(8), removedFact("hosts/a", 10))
				t.Expire(at(9.5))
			},
			want: []string{"b", "own"},
		},
		{
			name: "lease that ended before another outage in which no host can be back",
			run: func(t belief.Table) {
				t.MarkReachable(at(2))
				t.MarkUnreachable(at(4))
				t.NoteFailedCall(at(5))
				t.MarkReachable(at(5.5))
				t.Apply(at(5.5), removedFact("hosts/a", 10))
				t.MarkUnreachable(at(6))
				t.Expire(at(9))
				t.NoteFailedCall(at(9))
				t.MarkReachable(at(9.5))
				t.Expire(at(11.4))
			},
			want: []string{"a", "b", "own"},
		},
		{
			name: "lease that stood still during an outage",
			run: func(t belief.Table) {
				t.MarkReachable(at(2))
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(8))
				t.Apply(at(10.4), removedFact("hosts/a", 10))
				t.Expire(at(10.4))
			},
			want: []string{"b", "own"},
		},
		{
			name: "lease that stood still during an outage in which this host made no call",
			run: func(t belief.Table) {
				t.MarkReachable(at(4))
				t.MarkReachable(at(6.1))
				t.Apply(at(8.6), removedFact("hosts/a", 10))
				t.Expire(at(8.6))
			},
			want: []string{"b", "own"},
		},
		{
			name: "lease that was renewed after an outage",
			run: func(t belief.Table) {
				t.MarkReachable(at(2))
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(8))
				t.Apply(at(12.1), removedFact("hosts/a", 10))
				t.Expire(at(13.5))
			},
			want: []string{"a", "b", "own"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := belief.NewTable(regions)
			table.SetOwnHost("own", leaseTerm)
			table.MarkReachable(at(0))
			table.List(at(0), []steer.Fact{planFact(1, 1), newHostFact("a", 2, false), newHostFact("b", 3, false), newHostFact("own", 4, false)}, 5)
			c.run(table)
			var ids []string
			for _, h := range table.View().Hosts {
				ids = append(ids, h.ID)
			}
			assert.DeepEqual(t, ids, c.want)
		})
	}
}

// Guards against dropping targets whose entries lapsed while the platform was unreachable, and against keeping targets that
// were removed.
func TestTargetRemoval(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name string
		run  func(t belief.Table)
		want []string
	}{
		{
			name: "draining",
			run:  func(t belief.Table) { t.Apply(at(1), targetFact("a", 10, true)) },
			want: []string{"b"},
		},
		{
			name: "removed while the platform is reached",
			run:  func(t belief.Table) { t.Apply(at(10), removedFact("targets/a", 10)) },
			want: []string{"b"},
		},
		{
			name: "lapsed during an outage",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Expire(at(12))
			},
			want: []string{"a", "b"},
		},
		{
			name: "lapsed during an outage and not back in time",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Expire(at(12.4))
			},
			want: []string{"b"},
		},
		{
			name: "lapsed during an outage and back",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Apply(at(11), targetFact("a", 11, false))
				t.Expire(at(20))
			},
			want: []string{"a", "b"},
		},
		{
			name: "lapsed during an outage whose end other hosts saw just before",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.ApplyHint(at(9), belief.Hint{})
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Expire(at(11))
			},
			want: []string{"a", "b"},
		},
		{
			name: "removed while only this host was cut off",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.ApplyHint(at(4.2), belief.Hint{}) // Sent before the other host lost the platform too.
				t.ApplyHint(at(7), belief.Hint{})
				t.ApplyHint(at(9.9), belief.Hint{})
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
			},
			want: []string{"b"},
		},
		{
			name: "removed while only this host was cut off, which it learns just before it is back",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.ApplyHint(at(9.5), belief.Hint{ReachableSince: at(2)})
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
			},
			want: []string{"b"},
		},
		{
			name: "missing in a listing after lost history",
			run: func(t belief.Table) {
				t.List(at(10), []steer.Fact{planFact(1, 1), targetFact("b", 3, false)}, 20)
			},
			want: []string{"b"},
		},
		{
			name: "an old change comes late",
			run: func(t belief.Table) {
				t.Apply(at(10), removedFact("targets/a", 10))
				t.Apply(at(10), targetFact("a", 9, false))
			},
			want: []string{"b"},
		},
		{
			name: "an old change comes late while a lapsed entry is kept",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Apply(at(10.2), targetFact("a", 9, false))
				t.Expire(at(20))
			},
			want: []string{"b"},
		},
		{
			name: "an old change comes late after a lapsed entry was dropped",
			run: func(t belief.Table) {
				t.MarkUnreachable(at(4))
				t.MarkReachable(at(10))
				t.Apply(at(10.1), removedFact("targets/a", 10))
				t.Expire(at(20))
				t.Apply(at(20), targetFact("a", 9, false))
			},
			want: []string{"b"},
		},
		{
			name: "an entry that cannot be read names no target",
			run: func(t belief.Table) {
				t.Apply(at(1), steer.Fact{
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
			table.MarkReachable(start)
			table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false), targetFact("b", 3, false)}, 3)
			c.run(table)
			assert.DeepEqual(t, targetIDs(table), c.want)
		})
	}
}

// Guards against replacing the plan in force by an older version or by an invalid plan.
func TestPlanVersionNeverDecreases(t *testing.T) {
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

// fakeCatalog is a platform held in memory, with faults that tests switch on.
type fakeCatalog struct {
	steer.Catalog
	mu        sync.Mutex
	facts     map[string]steer.Fact
	log       []steer.Fact
	era       uint64
	revision  uint64
	compacted uint64
	stalled   bool // Watches deliver no changes.
	down      bool
	listTime  time.Duration // Of a listing.

	snapshot  []byte
	snapshots int // Number of snapshots written.
	lists     int
}

func newFakeCatalog() *fakeCatalog {
	return &fakeCatalog{
		facts:    map[string]steer.Fact{},
		era:      1,
		listTime: 4 * time.Millisecond,
	}
}

// restore replaces the content by that of an earlier revision and begins a new era. The caller holds mu.
func (c *fakeCatalog) restore(revision uint64) {
	kept := c.log[:revision]
	c.era++
	c.log, c.revision = nil, 0
	clear(c.facts)
	for _, f := range kept {
		c.write(f)
	}
}

func (c *fakeCatalog) put(f steer.Fact) { c.update(func() { c.write(f) }) }

// write changes an entry. The caller holds mu.
func (c *fakeCatalog) write(f steer.Fact) {
	c.revision++
	f.Revision = c.revision
	if f.Removed {
		delete(c.facts, f.Key)
	} else {
		c.facts[f.Key] = f
	}
	c.log = append(c.log, f)
}

func (c *fakeCatalog) Snapshot(context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, steer.ErrDown
	}
	return c.snapshot, nil
}

func (c *fakeCatalog) SaveSnapshot(_ context.Context, data []byte) error {
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

// callCounts holds the numbers of snapshots written and of listings, and the size of the snapshot in bytes.
type callCounts struct{ snapshots, lists, bytes int }

func (c *fakeCatalog) count() callCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return callCounts{
		snapshots: c.snapshots,
		lists:     c.lists,
		bytes:     len(c.snapshot),
	}
}

func (c *fakeCatalog) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// position returns the latest position. The caller holds mu, or nothing changes.
func (c *fakeCatalog) position() steer.Position {
	return steer.Position{
		Era:      c.era,
		Revision: c.revision,
	}
}

func (c *fakeCatalog) List(context.Context) ([]steer.Fact, steer.Position, error) {
	time.Sleep(c.listTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists++
	if c.down {
		return nil, steer.Position{}, steer.ErrDown
	}
	var list []steer.Fact
	for _, f := range c.facts {
		list = append(list, f)
	}
	return list, c.position(), nil
}

func (c *fakeCatalog) Changes(ctx context.Context, after steer.Position, wait time.Duration) ([]steer.Fact, steer.Position, error) {
	for end := time.Now().Add(wait); ; {
		c.mu.Lock()
		down, compacted, stalled := c.down, after.Revision < c.compacted || after.Revision > c.revision, c.stalled
		var list []steer.Fact
		for _, f := range c.log {
			if f.Revision > after.Revision && !stalled {
				list = append(list, f)
			}
		}
		position := c.position()
		c.mu.Unlock()
		switch {
		case down:
			return nil, steer.Position{}, steer.ErrDown
		case compacted && !stalled:
			return nil, steer.Position{}, steer.ErrCompacted
		case len(list) > 0:
			return list, position, nil
		case ctx.Err() != nil || !time.Now().Before(end):
			return nil, steer.Position{
				Era:      position.Era,
				Revision: after.Revision,
			}, ctx.Err()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a host that misses changes because a watch stalls, history was compacted or the platform is unreachable.
func TestFollowerRecoversFromFaults(t *testing.T) {
	const bound = 2500 * time.Millisecond // For a drain and a plan, after the platform acknowledged them.
	for _, c := range []struct {
		name  string
		fault func(c *fakeCatalog)
		heal  func(c *fakeCatalog)
	}{
		{
			name:  "no fault",
			fault: func(*fakeCatalog) {},
			heal:  func(*fakeCatalog) {},
		},
		{
			name:  "watches stall and history is compacted",
			fault: func(c *fakeCatalog) { c.stalled = true },
			heal:  func(c *fakeCatalog) { c.stalled, c.compacted = false, c.revision },
		},
		{
			name:  "platform unreachable",
			fault: func(c *fakeCatalog) { c.down = true },
			heal:  func(c *fakeCatalog) { c.down = false },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newFakeCatalog()
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
				platform.update(func() { c.fault(platform) })
				time.Sleep(time.Second)
				platform.put(planFact(4, 0))
				platform.put(targetFact("a", 0, true))
				platform.update(func() { c.heal(platform) })
				time.Sleep(bound)
				assert.Equal(t, f.View().Index.Plan.Version, uint64(4))
				assert.Equal(t, len(f.View().Targets[service]), 1)
			})
		})
	}
}

// Guards against a host that drops its targets and its plan while the platform is unreachable.
func TestViewIsKeptWhilePlatformIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakeCatalog()
		platform.put(planFact(1, 0))
		platform.put(targetFact("a", 0, false))
		f := belief.New(belief.Config{
			Catalog: platform,
			Regions: regions,
		})
		defer f.Stop()
		time.Sleep(time.Second)
		platform.update(func() { platform.down = true })
		time.Sleep(time.Minute)
		view := f.View()
		assert.Equal(t, view.Reachable, false)
		assert.Equal(t, len(view.Targets[service]), 1)
		assert.Equal(t, view.Index.Plan.Version, uint64(1))
	})
}

// Guards against a host that is cut off from the platform and sends requests to cold targets or to an emptied data centre.
func TestUnreachableHostAppliesHints(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	table := belief.NewTable(regions)
	table.MarkReachable(start)
	table.List(start, []steer.Fact{planFact(1, 1), targetFact("a", 2, false)}, 2)
	hint := belief.Hint{
		ReachableSince: start, // As in the view, which passes it on.
		Emptied:        []string{"golfo-b"},
		Cold:           map[string]time.Time{"a": at(9)},
	}
	table.ApplyHint(at(3), hint)
	assert.Equal(t, len(table.View().Emptied), 0, "a host that reaches the platform ignores hints")
	table.MarkUnreachable(at(4))
	table.ApplyHint(at(5), hint)
	assert.Equal(t, len(table.View().Emptied), 0, "a hint sent before the loss may be stale")
	table.ApplyHint(at(7), hint)
	view := table.View()
	assert.Assert(t, view.Emptied["golfo-b"])
	assert.Equal(t, view.Targets[service][0].ColdUntil, at(9))
	assert.DeepEqual(t, view.Hint(at(8)), hint)
	table.MarkReachable(at(8))
	assert.Equal(t, len(table.View().Emptied), 0)
}
