package follow_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/follow"
	"monsoonhub.example/steer/internal/conf/manif"
)

const grace = 3 * time.Second

// run starts a cluster of 12 hosts with version 1 in force everywhere.
func run(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.publish("a", 1)
		c.await(3*time.Second, "first version", func() bool { return inForce(c.all(), 1) })
		test(t, c)
	})
}

// A change has to reach 12 hosts within 1 s, and the hosts together must not load the store.
func TestChangeReachesAllHosts(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for i := range 5 {
			version := c.publish("a", 10+i)
			took := c.await(time.Second, "change", func() bool { return inForce(c.all(), version) })
			t.Logf("in force at 12 hosts after %v", took)
			time.Sleep(777 * time.Millisecond)
		}
		before := c.store.reads.Load()
		age := oldest(c.all(), 10*time.Second)
		reads := c.store.reads.Load() - before
		t.Logf("%d store calls in 10 s, oldest evidence %v", reads, age)
		// One watcher in each of three data centres makes five calls a second; a fifth is allowed for others.
		assert.Assert(t, reads <= 3*5*10*6/5, "%d store calls", reads)
		assert.Assert(t, age < 1500*time.Millisecond, "%v", age)
	})
}

// With the store down for the whole fleet nobody can learn of a newer version, so no host may become isolated, neither at
// the beginning nor at the end of the outage. The first publication after it has to arrive.
func TestStoreOutageIsolatesNobody(t *testing.T) {
	faults := map[string]func(s *store) func(){
		"fails": func(s *store) func() {
			s.set(func() { s.down = true })
			return func() { s.set(func() { s.down = false }) }
		},
		"hangs": func(s *store) func() {
			hang := make(chan struct{})
			s.set(func() { s.hang = hang })
			return func() {
				s.set(func() { s.hang = nil })
				close(hang)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, c *cluster) {
				time.Sleep(2 * time.Second)
				end := fault(c.store)
				age := oldest(c.all(), time.Minute)
				end()
				age = max(age, oldest(c.all(), 5*time.Second))
				t.Logf("oldest evidence %v", age)
				assert.Assert(t, age < grace, "%v", age)
				version := c.publish("b", 1)
				c.await(time.Second, "change after the outage", func() bool { return inForce(c.all(), version) })
			})
		})
	}
}

// A data centre cut off from the store alone gets evidence and versions from its peers. Cut off from both it must become
// isolated, keep its configuration, and not take the others for cut off as well.
func TestDataCentreCutOff(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for _, h := range c.in("altiplano") {
			h.link.mu.Lock()
			h.link.cut = true
			h.link.mu.Unlock()
		}
		// A holder keeps its slot only if all other hosts of its data centre report that they do not reach the store.
		took := c.await(4*time.Second, "reports of the data centre", func() bool {
			return !slices.ContainsFunc(c.in("altiplano"), func(h *host) bool { return h.f.State(time.Now()).StoreReachable })
		})
		t.Logf("all hosts report after %v", took)
		version := c.publish("b", 1)
		c.await(1500*time.Millisecond, "change by peers", func() bool { return inForce(c.all(), version) })
		assert.Assert(t, oldest(c.all(), 10*time.Second) < grace)
		c.mu.Lock()
		c.cut["altiplano"] = true
		c.mu.Unlock()
		newer := c.publish("c", 1)
		time.Sleep(4 * time.Second)
		for _, h := range c.in("altiplano") {
			assert.Assert(t, h.f.EvidenceAge(time.Now()) > grace)
			assert.Equal(t, h.f.Current().Version, version)
		}
		assert.Assert(t, oldest(c.in("golfo"), 10*time.Second) < grace)
		c.mu.Lock()
		clear(c.cut)
		c.mu.Unlock()
		c.await(2*time.Second, "change after the partition", func() bool { return inForce(c.all(), newer) })
	})
}

// A host that starts with the store down must get the configuration from its peers, and without peers have none.
func TestStartWithStoreDown(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		c.store.set(func() { c.store.down = true })
		for _, old := range c.in("golfo") {
			c.remove(old)
			h := c.add(old.id+"x", "golfo")
			assert.Assert(t, h.f.Current() == nil)
			assert.Equal(t, h.f.EvidenceAge(time.Now()), follow.NoEvidence)
		}
		c.await(2*time.Second, "configuration from peers", func() bool { return inForce(c.all(), 1) })
		// The replaced hosts count as not heard from until they leave the member table.
		time.Sleep(12 * time.Second)
		assert.Assert(t, oldest(c.all(), 10*time.Second) < grace)
		c.mu.Lock()
		c.cut["golfo"] = true
		c.mu.Unlock()
		for _, old := range c.in("golfo") {
			c.remove(old)
		}
		h := c.add("golfo-alone", "golfo")
		time.Sleep(20 * time.Second)
		assert.Assert(t, h.f.Current() == nil)
		assert.Equal(t, h.f.State(time.Now()), follow.State{
			EvidenceAge: follow.NoEvidence,
		})
	})
}

// Restarted hosts must take the parts from the nearest peers, so that the restart of a fleet does not load the store.
// Without peers that answer they must start all the same: without any, no more than 1 s later than by the store alone.
func TestRestartTakesPartsFromPeers(t *testing.T) {
	const (
		parts = 2                     // Of the configuration: fleet and customers.
		alone = 20 * time.Millisecond // A read of the manifest, one of the parts, and the steps of await.
	)
	for _, v := range []struct {
		name  string
		gone  func(c *cluster) []*host // Prepares the cluster and returns the hosts to replace, all at once.
		from  string                   // The only data centre that gives parts to others; empty for any.
		most  int64                    // Parts read from the store.
		limit time.Duration            // Until the version is in force.
	}{
		{"host", func(c *cluster) []*host { return c.in("golfo")[:1] }, "golfo", 0, time.Second},
		{"data centre", func(c *cluster) []*host { return c.in("golfo") }, "pacifico", 0, time.Second},
		{"fleet", (*cluster).all, "", 3 * parts, 3 * time.Second},
		{"without peers", func(c *cluster) []*host {
			c.set(func() { c.cut["golfo"] = true })
			for _, h := range c.in("golfo")[1:] {
				c.remove(h)
			}
			return c.in("golfo")
		}, "none", parts, time.Second + alone},
		{"peers do not answer", func(c *cluster) []*host {
			c.muteAll()
			return c.in("golfo")[:1]
		}, "none", parts, 4 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			run(t, func(t *testing.T, c *cluster) {
				time.Sleep(2 * time.Second)
				gone := v.gone(c)
				for _, h := range gone {
					c.remove(h)
				}
				c.set(func() { clear(c.served) })
				before := c.store.parts.Load()
				for _, h := range gone {
					c.add(h.id+"x", h.centre)
				}
				took := c.await(v.limit, "configuration", func() bool { return inForce(c.all(), 1) })
				reads := c.store.parts.Load() - before
				t.Logf("%d hosts in force after %v, %d parts from the store, from peers %v", len(gone), took, reads, c.served)
				assert.Assert(t, reads <= v.most)
				delete(c.served, v.from)
				assert.Assert(t, v.from == "" || len(c.served) == 0)
			})
		})
	}
}

// restore replaces the content of the store by an older copy.
func (s *store) restore(old map[string]steer.Entry) {
	s.set(func() {
		s.entries = maps.Clone(old)
		s.revision = 0
		for _, e := range old {
			s.revision = max(s.revision, e.Revision)
		}
	})
}

// A store restored to an older copy must get the newer versions back, and the hosts must not go back.
func TestRestoredStoreIsRepaired(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		var old map[string]steer.Entry
		c.store.set(func() { old = maps.Clone(c.store.entries) })
		c.publish("b", 1)
		version := c.publish("c", 1)
		c.await(time.Second, "change", func() bool { return inForce(c.all(), version) })
		c.store.restore(old)
		took := c.await(5*time.Second, "repair", func() bool { return c.store.manifest().Version == version })
		t.Logf("repaired after %v", took)
		for _, p := range c.store.manifest().LiveParts() {
			assert.Equal(t, manif.Hash(c.store.entries[manif.PartKey(p.Hash)].Value), p.Hash)
		}
		c.store.restore(map[string]steer.Entry{})
		c.await(5*time.Second, "repair of an empty store", func() bool { return c.store.manifest().Version == version })
		assert.Assert(t, oldest(c.all(), 10*time.Second) < grace)
	})
}

// Publications accepted on a restored copy, and the versions that the copy lacked, must both be in force in the end,
// whichever side has the higher version.
func TestPublicationOnRestoredStoreIsKept(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		run(t, func(t *testing.T, c *cluster) {
			var old map[string]steer.Entry
			c.store.set(func() { old = maps.Clone(c.store.entries) })
			c.publish("b", 1)
			version := c.publish("c", 1)
			c.await(time.Second, "change", func() bool { return inForce(c.all(), version) })
			c.store.restore(old)
			c.ops = t.TempDir()
			c.write("s.yaml", "kind: service\nname: s\nroutes:\n  - {prefix: /}\ntargets: []\n")
			for i := range n {
				version = max(version, c.publish("d", i+1))
			}
			took := c.await(8*time.Second, "merged version", func() bool { return inForce(c.all(), version+1) })
			t.Logf("%d publications on the copy: merged after %v", n, took)
			for _, h := range c.all() {
				assert.Assert(t, h.f.Current().Services["s"] != nil)
			}
			assert.Assert(t, oldest(c.all(), 5*time.Second) < grace)
		})
	}
}

// A peer that serves wrong bytes must not bring them into force, and must not keep the host from the version.
func TestCorruptPartIsNotApplied(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		c.mu.Lock()
		for _, h := range c.hosts {
			h.corrupt = h.centre == "golfo"
		}
		c.mu.Unlock()
		h := c.add("golfo-new", "golfo")
		c.await(5*time.Second, "configuration in spite of corrupt peers", func() bool { return inForce(c.all(), 1) })
		assert.Equal(t, h.f.Current().Customers["a"].Rate, 1.0)
	})
}

// Changed must announce every version to a holder that takes the channel before Current.
func TestChangedAnnounces(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		f := c.in("golfo")[0].f
		changed := f.Changed()
		assert.Equal(t, f.Current().Version, uint64(1))
		c.publish("b", 1)
		select {
		case <-changed:
			assert.Equal(t, f.Current().Version, uint64(2))
		case <-time.After(2 * time.Second):
			t.Fatal("no announcement")
		}
	})
}

// A store call that never returns must not keep Close beyond its context, and a first fetch from a peer that does not
// answer must not keep it at all. Of the hosts of a data centre only the watcher,
// the first one, is sure to have a call under way: the others read when their evidence is older than 1 s and a jitter.
func TestCloseWithHangingStore(t *testing.T) {
	run(t, func(t *testing.T, c *cluster) {
		hang := make(chan struct{})
		c.store.set(func() { c.store.hang = hang })
		time.Sleep(time.Second)
		h := c.hosts["golfo-0"]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, h.f.Close(ctx), context.DeadlineExceeded)
		close(hang)
		c.store.set(func() { c.store.hang = nil })
		c.muteAll()
		fetching := c.add("golfo-new", "golfo")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, fetching.f.State(time.Now()).Version, uint64(0))
		began := time.Now()
		c.remove(fetching)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}

// The rule must fail if one host may reach the store: a member that does, a data centre that is not heard from, or one
// without a member. It must not fail for a dead host, or one crash in a store outage would isolate the whole fleet until
// the host leaves the member table.
func TestUnreached(t *testing.T) {
	now := time.Now()
	fleet := steer.Fleet{
		DataCentres: []steer.DataCentre{
			{
				Name:  "golfo",
				Slots: 2,
			},
			{
				Name:  "pacifico",
				Slots: 2,
			},
			{
				Name: "noa",
				Down: true,
			},
		},
	}
	member := func(centre string, age time.Duration, reachable bool) steer.Member {
		return steer.Member{
			DataCentre: centre,
			LastHeard:  now.Add(-age),
			State: steer.HostState{
				NewestVersion:  7,
				StoreReachable: reachable,
			},
		}
	}
	near, far := member("golfo", 300*time.Millisecond, false), member("pacifico", time.Second, false)
	check := func(name string, want bool, members ...steer.Member) {
		version, at, ok := follow.DetectStoreOutage(now, "golfo", fleet, members)
		assert.Equal(t, ok, want, name)
		assert.Assert(t, !ok || (version == 7 && at.Equal(now.Add(-time.Second))), name)
	}
	check("all report", true, near, far)
	check("own data centre has no other host", true, far)
	check("one reaches the store", false, near, far, member("pacifico", 0, true))
	check("a dead host beside one that reports", true, near, far, member("pacifico", 2*time.Second, true))
	check("the only host of a data centre was not heard from", false, near, member("pacifico", 2*time.Second, false))
	check("a data centre has no member", false, near)
	check("no members", false)
}
