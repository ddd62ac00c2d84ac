package belief_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// Guards against a host that drops or never reads the changes of a store that has returned from an older copy.
func TestChangesOfRestoredStoreAreInForce(t *testing.T) {
	const bound = 2500 * time.Millisecond // For a drain and a plan, after the platform acknowledged them.
	for _, c := range []struct {
		name   string
		lost   uint64        // Revisions that the copy lacks.
		before int           // Writes of others before the host calls again.
		down   time.Duration // Time for which the store is away.
		times  int           // Returns from a copy in a row.
	}{
		{name: "the host knows a later revision", lost: 5, times: 1},
		{name: "the host knows an earlier revision", lost: 2, before: 6, down: 2 * time.Second, times: 1},
		{name: "all revisions that the host knows are lost", lost: 12, before: 3, down: 2 * time.Second, times: 1},
		{name: "twice in a row", lost: 4, before: 1, times: 2},
		{name: "twice in a row after outages", lost: 4, before: 8, down: time.Second, times: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := newFakeCatalog()
				for range 8 {
					platform.put(steer.Fact{
						Key: "other",
					})
				}
				platform.put(planFact(1, 0))
				platform.put(targetFact("a", 0, false))
				platform.put(targetFact("b", 0, false))
				platform.put(planFact(5, 0))
				f := belief.New(belief.Config{
					Catalog: platform,
					Regions: regions,
				})
				defer f.Stop()
				time.Sleep(3 * time.Second)
				for i := range c.times {
					version := uint64(6 + 2*i)
					platform.update(func() { platform.down = c.down > 0 })
					time.Sleep(c.down)
					platform.update(func() { platform.restore(platform.revision - c.lost) })
					platform.put(targetFact(fmt.Sprint("new-", i), 0, false))
					for range c.before {
						platform.put(steer.Fact{
							Key: "other",
						})
					}
					platform.update(func() { platform.down = false })
					platform.put(planFact(version-1, 0)) // The operator and the targets write again what was lost.
					platform.put(targetFact("a", 0, i > 0))
					platform.put(targetFact("b", 0, false))
					time.Sleep(5 * time.Second)
					lists := platform.count().lists
					platform.put(planFact(version, 0))
					platform.put(targetFact("a", 0, true))
					time.Sleep(bound)
					assert.Check(t, f.View().Index.Plan.Version == version, "version %d, not %d", f.View().Index.Plan.Version, version)
					assert.Check(t, len(f.View().Targets[service]) == 2+i, "targets %v", viewTargetIDs(f.View()))
					assert.Check(t, platform.count().lists == lists, "%d listings", platform.count().lists-lists)
				}
			})
		})
	}
}

// Guards against a host without the platform that ignores the listing of a restored store, which another host relays.
func TestDeniedHostFollowsRestoredStore(t *testing.T) {
	const bound = 2500 * time.Millisecond // For a plan, after the platform acknowledged it.
	runHostPair(t, func(platform *fakeCatalog, _, second *countingCatalog, _ func(bool), view func() *belief.View) {
		platform.put(planFact(3, 0))
		platform.put(targetFact("b", 0, false))
		time.Sleep(bound)
		second.denied.Store(true)
		platform.update(func() { platform.restore(platform.revision - 2) })
		time.Sleep(2 * time.Second)
		platform.put(planFact(4, 0))
		platform.put(targetFact("a", 0, true))
		time.Sleep(bound)
		assert.Equal(t, view().Index.Plan.Version, uint64(4))
		assert.Equal(t, len(view().Targets[service]), 0)
	})
}

// startedFact returns a target that started at the given time.
func startedFact(id string, startMillis int64, revision uint64, draining bool) steer.Fact {
	fact := targetFact(id, revision, draining)
	fact.Endpoint.StartMillis = startMillis
	return fact
}

// Guards against entries of an older copy that undo what was known: targets and hosts that have left or started since, and
// data centres that are emptied.
func TestCopyOfStoreDoesNotUndoKnowledge(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	type effect struct {
		targets []string
		hosts   int
		emptied bool
	}
	view := func(table belief.Table) effect {
		v := table.View()
		return effect{
			targets: targetIDs(table),
			hosts:   len(v.Hosts),
			emptied: v.Emptied["golfo-b"],
		}
	}
	emptied := steer.Fact{
		Key:      "empty/golfo-b",
		Revision: 8,
		Emptied:  "golfo-b",
	}
	options := cmp.Options{cmp.AllowUnexported(effect{}), cmpopts.EquateEmpty()}
	host := hostFact("h")
	host.Revision = 4
	for _, c := range []struct {
		name    string
		known   []steer.Fact // Applied one after the other before the store returns.
		copied  []steer.Fact // Listed when it returns, at 10 s.
		written []steer.Fact // Written again at 11 s.
		soon    effect       // At 10.4 s.
		later   effect       // At 20 s.
	}{
		{
			name:   "removed, in the copy until it lapses",
			known:  []steer.Fact{startedFact("a", 7, 3, false), removedFact("targets/a", 9)},
			copied: []steer.Fact{startedFact("a", 7, 3, false)},
			written: []steer.Fact{
				removedFact("targets/a", 6),
			},
		},
		{
			name:   "removed wrongly, in the copy to stay",
			known:  []steer.Fact{startedFact("a", 7, 3, false), removedFact("targets/a", 9)},
			copied: []steer.Fact{startedFact("a", 7, 3, false)},
			later:  effect{targets: []string{"a"}},
		},
		{
			name:    "removed, then written again",
			known:   []steer.Fact{startedFact("a", 7, 3, false), removedFact("targets/a", 9)},
			copied:  []steer.Fact{startedFact("a", 7, 3, false)},
			written: []steer.Fact{startedFact("a", 7, 6, false)},
			later:   effect{targets: []string{"a"}},
		},
		{
			name:   "draining",
			known:  []steer.Fact{startedFact("a", 7, 3, false), startedFact("a", 7, 9, true)},
			copied: []steer.Fact{startedFact("a", 7, 3, false)},
		},
		{
			name:    "started again since, and writes again",
			known:   []steer.Fact{startedFact("a", 7, 3, false), startedFact("a", 8, 9, false)},
			copied:  []steer.Fact{startedFact("a", 7, 3, true)},
			written: []steer.Fact{startedFact("a", 8, 6, false)},
			soon:    effect{targets: []string{"a"}},
			later:   effect{targets: []string{"a"}},
		},
		{
			name:   "started again since, and does not write",
			known:  []steer.Fact{startedFact("a", 7, 3, false), startedFact("a", 8, 9, false)},
			copied: []steer.Fact{startedFact("a", 7, 3, false)},
			soon:   effect{targets: []string{"a"}},
		},
		{
			name:  "registered since, and does not write",
			known: []steer.Fact{startedFact("a", 7, 9, false), emptied, host},
			soon:  effect{targets: []string{"a"}, hosts: 1, emptied: true},
		},
		{
			name:   "host that left",
			known:  []steer.Fact{host, removedFact(host.Key, 9)},
			copied: []steer.Fact{host},
			written: []steer.Fact{
				removedFact(host.Key, 6),
			},
		},
	} {
		for _, returns := range []int{1, 2} {
			t.Run(fmt.Sprint(c.name, "/", returns), func(t *testing.T) {
				table := belief.NewTable(regions)
				table.MarkReachable(start)
				table.List(start, nil, 1)
				for _, fact := range c.known {
					table.Apply(at(1), fact)
				}
				for i := range returns {
					table.Restore(at(9.5+0.5*float64(i)), c.copied, 5)
				}
				table.Expire(at(10.4))
				assert.DeepEqual(t, view(table), c.soon, options)
				for _, fact := range c.written {
					table.Apply(at(11), fact)
				}
				table.Expire(at(20))
				assert.DeepEqual(t, view(table), c.later, options)
			})
		}
	}
}
