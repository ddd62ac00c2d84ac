package belief_test

import (
	"bytes"
	"compress/flate"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

// wideHostFact returns the registration of a host with a capacity.
func wideHostFact(id string) steer.Fact {
	fact := hostFact(id)
	fact.Host.LinkMbps = 200
	return fact
}

// olderSnapshot returns a snapshot of all entries as a host of an older build writes it, which drops the capacity of hosts.
func olderSnapshot(t *testing.T, c *fakeCatalog) []byte {
	t.Helper()
	var facts []steer.Fact
	for _, f := range c.facts {
		if f.Host != nil {
			older := hostFact(f.Host.ID)
			older.Revision = f.Revision
			f = older
		}
		facts = append(facts, f)
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	assert.NilError(t, err)
	assert.NilError(t, cbor.NewEncoder(w).Encode(map[string]any{"format": 1, "era": c.era, "revision": c.revision, "facts": facts}))
	assert.NilError(t, w.Close())
	return buffer.Bytes()
}

// knownLinks returns the number of hosts in a view whose link is known.
func knownLinks(f *belief.Follower) int {
	n := 0
	for _, h := range f.View().Hosts {
		if h.LinkMbps == 200 {
			n++
		}
	}
	return n
}

// Guards against hosts that go on without the capacity of others after a roll-out, because they started from a snapshot that a host of an
// older build wrote.
func TestSnapshotOfOlderBuildIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := newFakeCatalog()
		platform.put(planFact(1, 0))
		platform.put(wideHostFact("a"))
		assert.NilError(t, platform.SaveSnapshot(t.Context(), olderSnapshot(t, platform)))
		for i, id := range []string{"a", "b"} {
			f := startFollower(t, id, platform)
			time.Sleep(10 * time.Second) // The first host replaces the snapshot.
			assert.Equal(t, knownLinks(f), 1, "host %d", i)
			assert.Equal(t, platform.count().lists, 1)
		}
	})
}

// Guards against the same after changes that a host of an older build relayed, once a host of this build watches: this one, or another one
// that can be asked.
func TestChangesRelayedByOlderBuildAreCompleted(t *testing.T) {
	for _, other := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			platform := newFakeCatalog()
			platform.put(planFact(1, 0))
			f := startFollower(t, "b", platform)
			time.Sleep(50 * time.Millisecond)
			platform.put(wideHostFact("c"))
			older := hostFact("c")
			older.Revision = platform.revision
			changes := steer.Changes{
				From:    platform.revision - 1,
				To:      platform.position(),
				Partial: true,
				Facts:   []steer.Fact{older},
			}
			assert.Assert(t, !f.ApplyRelayed(time.Now(), true, changes))
			assert.Equal(t, len(f.View().Hosts), 1)
			assert.Equal(t, knownLinks(f), 0)
			if !other {
				time.Sleep(10 * time.Second) // The older host is gone, and this one watches.
				assert.Equal(t, knownLinks(f), 1)
				assert.Equal(t, platform.count().lists, 2)
				return
			}
			asks := func() bool {
				return f.ApplyRelayed(time.Now(), true, steer.Changes{
					From: platform.revision,
					To:   platform.position(),
				})
			}
			assert.Assert(t, asks())
			assert.Assert(t, !asks(), "it should not ask again at once")
			facts, position, err := platform.List(t.Context())
			assert.NilError(t, err)
			f.ApplyRelayed(time.Now(), true, steer.Changes{
				To:      position,
				Listing: true,
				Facts:   facts,
			})
			assert.Equal(t, knownLinks(f), 1)
			time.Sleep(completionInterval)
			assert.Assert(t, !asks())
		})
	}
}

// completionInterval exceeds the time after which a host that lacks fields asks again.
const completionInterval = 11 * time.Second
