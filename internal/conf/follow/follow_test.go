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

const gracePeriod = 3 * time.Second

// runWithCluster runs the test with a cluster of 12 hosts that all have version 1 in force.
func runWithCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.publish("a", 1)
		c.waitFor(3*time.Second, "first version", func() bool { return allHaveVersion(c.allHosts(), 1) })
		test(t, c)
	})
}

// Guards against a change that takes more than 1 s to reach 12 hosts, and against hosts that load the store with reads.
func TestChangeReachesAllHosts(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for i := range 5 {
			version := c.publish("a", 10+i)
			took := c.waitFor(time.Second, "change", func() bool { return allHaveVersion(c.allHosts(), version) })
			t.Logf("in force at 12 hosts after %v", took)
			time.Sleep(777 * time.Millisecond)
		}
		before := c.store.calls.Load()
		age := maxEvidenceAge(c.allHosts(), 10*time.Second)
		calls := c.store.calls.Load() - before
		t.Logf("%d store calls in 10 s, oldest evidence %v", calls, age)
		// One watcher in each of three data centres makes five calls a second. Other hosts may add a fifth of that.
		assert.Assert(t, calls <= 3*5*10*6/5, "%d store calls", calls)
		assert.Assert(t, age < 1500*time.Millisecond, "%v", age)
	})
}

// While the store is down for the whole fleet, no host can learn of a newer version. So no host may become isolated, neither
// at the beginning nor at the end of the outage, and the first publication after it must reach all hosts.
func TestStoreOutageIsolatesNoHost(t *testing.T) {
	faults := map[string]func(s *store) func(){
		"fails": func(s *store) func() {
			s.withLock(func() { s.down = true })
			return func() { s.withLock(func() { s.down = false }) }
		},
		"hangs": func(s *store) func() {
			hang := make(chan struct{})
			s.withLock(func() { s.hang = hang })
			return func() {
				s.withLock(func() { s.hang = nil })
				close(hang)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, func(t *testing.T, c *cluster) {
				time.Sleep(2 * time.Second)
				end := fault(c.store)
				age := maxEvidenceAge(c.allHosts(), time.Minute)
				end()
				age = max(age, maxEvidenceAge(c.allHosts(), 5*time.Second))
				t.Logf("oldest evidence %v", age)
				assert.Assert(t, age < gracePeriod, "%v", age)
				version := c.publish("b", 1)
				c.waitFor(time.Second, "change after the outage", func() bool { return allHaveVersion(c.allHosts(), version) })
			})
		})
	}
}

// A data centre that is cut off from the store must get evidence and versions from its peers. If it is cut off from them as
// well, it must become isolated and keep its configuration. It must not conclude that the store is down for all hosts.
func TestDataCentreCutOff(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		time.Sleep(5 * time.Second)
		for _, h := range c.hostsIn("altiplano") {
			h.link.mu.Lock()
			h.link.cutOff = true
			h.link.mu.Unlock()
		}
		// A host keeps its slot only if all other hosts of its data centre report that they do not reach the store.
		took := c.waitFor(4*time.Second, "reports of the data centre", func() bool {
			return !slices.ContainsFunc(c.hostsIn("altiplano"), func(h *host) bool { return h.follower.State(time.Now()).StoreReachable })
		})
		t.Logf("all hosts report after %v", took)
		version := c.publish("b", 1)
		c.waitFor(1500*time.Millisecond, "change by peers", func() bool { return allHaveVersion(c.allHosts(), version) })
		assert.Assert(t, maxEvidenceAge(c.allHosts(), 10*time.Second) < gracePeriod)
		c.mu.Lock()
		c.cutOff["altiplano"] = true
		c.mu.Unlock()
		newer := c.publish("c", 1)
		time.Sleep(4 * time.Second)
		for _, h := range c.hostsIn("altiplano") {
			assert.Assert(t, h.follower.EvidenceAge(time.Now()) > gracePeriod)
			assert.Equal(t, h.follower.Current().Version, version)
		}
		assert.Assert(t, maxEvidenceAge(c.hostsIn("golfo"), 10*time.Second) < gracePeriod)
		c.mu.Lock()
		clear(c.cutOff)
		c.mu.Unlock()
		c.waitFor(2*time.Second, "change after the partition", func() bool { return allHaveVersion(c.allHosts(), newer) })
	})
}

// A host that starts while the store is down must get the configuration from its peers. Without peers it has none.
func TestStartWithStoreDown(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		c.store.withLock(func() { c.store.down = true })
		for _, old := range c.hostsIn("golfo") {
			c.removeHost(old)
			h := c.addHost(old.id+"x", "golfo")
			assert.Assert(t, h.follower.Current() == nil)
			assert.Equal(t, h.follower.EvidenceAge(time.Now()), follow.NoEvidence)
		}
		c.waitFor(2*time.Second, "configuration from peers", func() bool { return allHaveVersion(c.allHosts(), 1) })
		// The replaced hosts stay in the member table as suspects until they are removed.
		time.Sleep(12 * time.Second)
		assert.Assert(t, maxEvidenceAge(c.allHosts(), 10*time.Second) < gracePeriod)
		c.mu.Lock()
		c.cutOff["golfo"] = true
		c.mu.Unlock()
		for _, old := range c.hostsIn("golfo") {
			c.removeHost(old)
		}
		h := c.addHost("golfo-alone", "golfo")
		time.Sleep(20 * time.Second)
		assert.Assert(t, h.follower.Current() == nil)
		assert.Equal(t, h.follower.State(time.Now()), follow.State{
			EvidenceAge: follow.NoEvidence,
		})
	})
}

// Restarted hosts must fetch the parts from the nearest peers, so that the restart of a fleet does not load the store. Hosts
// must also start if no peer answers. If there are no peers at all, this may take at most 1 s longer than the reads of the
// store.
func TestRestartTakesPartsFromPeers(t *testing.T) {
	const (
		parts         = 2                     // Parts of the configuration: fleet and customers.
		storeReadTime = 20 * time.Millisecond // Reads of the manifest and of the parts, and the polling interval of waitFor.
	)
	for _, v := range []struct {
		name              string
		replaced          func(c *cluster) []*host // Prepares the cluster and returns the hosts to replace at the same time.
		servingDataCentre string                   // The only data centre whose hosts may serve parts; empty for any.
		maxStoreReads     int64                    // Maximum number of parts read from the store.
		timeout           time.Duration            // Time until the version is in force.
	}{
		{"host", func(c *cluster) []*host { return c.hostsIn("golfo")[:1] }, "golfo", 0, time.Second},
		{"data centre", func(c *cluster) []*host { return c.hostsIn("golfo") }, "pacifico", 0, time.Second},
		{"fleet", (*cluster).allHosts, "", 3 * parts, 3 * time.Second},
		{"without peers", func(c *cluster) []*host {
			c.withLock(func() { c.cutOff["golfo"] = true })
			for _, h := range c.hostsIn("golfo")[1:] {
				c.removeHost(h)
			}
			return c.hostsIn("golfo")
		}, "none", parts, time.Second + storeReadTime},
		{"peers do not answer", func(c *cluster) []*host {
			c.makeAllUnresponsive()
			return c.hostsIn("golfo")[:1]
		}, "none", parts, 4 * time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			runWithCluster(t, func(t *testing.T, c *cluster) {
				time.Sleep(2 * time.Second)
				replaced := v.replaced(c)
				for _, h := range replaced {
					c.removeHost(h)
				}
				c.withLock(func() { clear(c.servedParts) })
				before := c.store.parts.Load()
				for _, h := range replaced {
					c.addHost(h.id+"x", h.dataCentre)
				}
				took := c.waitFor(v.timeout, "configuration", func() bool { return allHaveVersion(c.allHosts(), 1) })
				reads := c.store.parts.Load() - before
				t.Logf("%d hosts in force after %v, %d parts from the store, from peers %v", len(replaced), took, reads, c.servedParts)
				assert.Assert(t, reads <= v.maxStoreReads)
				delete(c.servedParts, v.servingDataCentre)
				assert.Assert(t, v.servingDataCentre == "" || len(c.servedParts) == 0)
			})
		})
	}
}

// restore replaces the content of the store with an older copy.
func (s *store) restore(old map[string]steer.Entry) {
	s.withLock(func() {
		s.entries = maps.Clone(old)
		s.revision = 0
		for _, e := range old {
			s.revision = max(s.revision, e.Revision)
		}
	})
}

// Hosts must write the newer versions back to a store that was restored to an older copy, and must not go back themselves.
func TestRestoredStoreIsRepaired(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		var old map[string]steer.Entry
		c.store.withLock(func() { old = maps.Clone(c.store.entries) })
		c.publish("b", 1)
		version := c.publish("c", 1)
		c.waitFor(time.Second, "change", func() bool { return allHaveVersion(c.allHosts(), version) })
		c.store.restore(old)
		took := c.waitFor(5*time.Second, "repair", func() bool { return c.store.manifest().Version == version })
		t.Logf("repaired after %v", took)
		for _, p := range c.store.manifest().LiveParts() {
			assert.Equal(t, manif.Hash(c.store.entries[manif.PartKey(p.Hash)].Value), p.Hash)
		}
		c.store.restore(map[string]steer.Entry{})
		c.waitFor(5*time.Second, "repair of an empty store", func() bool { return c.store.manifest().Version == version })
		assert.Assert(t, maxEvidenceAge(c.allHosts(), 10*time.Second) < gracePeriod)
	})
}

// Publications that a restored store accepted, and the versions that it had lost, must both be in force after the repair,
// whichever side has the higher version.
func TestPublicationOnRestoredStoreIsKept(t *testing.T) {
	for _, n := range []int{1, 2, 5} {
		runWithCluster(t, func(t *testing.T, c *cluster) {
			var old map[string]steer.Entry
			c.store.withLock(func() { old = maps.Clone(c.store.entries) })
			c.publish("b", 1)
			version := c.publish("c", 1)
			c.waitFor(time.Second, "change", func() bool { return allHaveVersion(c.allHosts(), version) })
			c.store.restore(old)
			c.operatorDir = t.TempDir()
			c.writeFile("s.yaml", "kind: service\nname: s\nroutes:\n  - {prefix: /}\ntargets: []\n")
			for i := range n {
				version = max(version, c.publish("d", i+1))
			}
			took := c.waitFor(8*time.Second, "merged version", func() bool { return allHaveVersion(c.allHosts(), version+1) })
			t.Logf("%d publications on the copy: merged after %v", n, took)
			for _, h := range c.allHosts() {
				assert.Assert(t, h.follower.Current().Services["s"] != nil)
			}
			assert.Assert(t, maxEvidenceAge(c.allHosts(), 5*time.Second) < gracePeriod)
		})
	}
}

// Wrong content from a peer must not come into force, and must not keep a host from getting the version elsewhere.
func TestCorruptPartIsNotApplied(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		c.mu.Lock()
		for _, h := range c.hosts {
			h.corruptsParts = h.dataCentre == "golfo"
		}
		c.mu.Unlock()
		h := c.addHost("golfo-new", "golfo")
		c.waitFor(5*time.Second, "configuration despite corrupt peers", func() bool { return allHaveVersion(c.allHosts(), 1) })
		assert.Equal(t, h.follower.Current().Customers["a"].Rate, 1.0)
	})
}

// Changed must announce every version to a caller that calls Changed before Current.
func TestChangedAnnouncesNewVersion(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		follower := c.hostsIn("golfo")[0].follower
		changed := follower.Changed()
		assert.Equal(t, follower.Current().Version, uint64(1))
		c.publish("b", 1)
		select {
		case <-changed:
			assert.Equal(t, follower.Current().Version, uint64(2))
		case <-time.After(2 * time.Second):
			t.Fatal("Changed did not announce the version within 2 s")
		}
	})
}

// A store call that never returns must not delay Close beyond its context, and a first fetch from an unresponsive peer must
// not delay it at all. The test closes the watcher of a data centre, golfo-0, because only the watcher always has an open
// store call: the other hosts read when their evidence is older than 1 s plus the jitter.
func TestCloseWithHangingStore(t *testing.T) {
	runWithCluster(t, func(t *testing.T, c *cluster) {
		hang := make(chan struct{})
		c.store.withLock(func() { c.store.hang = hang })
		time.Sleep(time.Second)
		h := c.hosts["golfo-0"]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.ErrorIs(t, h.follower.Close(ctx), context.DeadlineExceeded)
		close(hang)
		c.store.withLock(func() { c.store.hang = nil })
		c.makeAllUnresponsive()
		fetching := c.addHost("golfo-new", "golfo")
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, fetching.follower.State(time.Now()).Version, uint64(0))
		began := time.Now()
		c.removeHost(fetching)
		assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	})
}

// No outage may be detected if some host may reach the store: if a member does, or if a data centre is not heard from or has
// no member. A dead host must not prevent the detection. Otherwise one crash during a store outage would isolate the whole
// fleet until the host leaves the member table.
func TestDetectStoreOutage(t *testing.T) {
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
	member := func(dataCentre string, age time.Duration, reachable bool) steer.Member {
		return steer.Member{
			DataCentre: dataCentre,
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
