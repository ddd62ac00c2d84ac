package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
)

// Guards against messages between all pairs of hosts in a large data centre, and against sums that miss hosts, count one twice
// or are lost with the leader that made them. Load: 12 hosts in each of two data centres, 10 requests a second at each.
func TestManyHostsReportThroughLeaders(t *testing.T) {
	const hosts, demand = 12, 10.0
	gossipers, recorders := map[string]*gossip.Gossiper{}, map[string]*recorder{}
	var entries []steer.HostEntry
	var ids []string
	for _, suffix := range []string{"a", "b"} {
		for i := range hosts {
			id := fmt.Sprintf("%s%02d", suffix, i)
			gossiper, r, entry := newHost(t, id, "golfo-"+suffix, demand)
			gossipers[id], recorders[id] = gossiper, r
			entries = append(entries, entry)
			ids = append(ids, id)
		}
	}
	for _, gossiper := range gossipers {
		gossiper.SetHosts(time.Now(), entries)
	}
	peerIDOf := func(id string) string { return gossip.DataCentrePeerID("golfo-" + id[:1]) }
	other := map[string]string{"a": "b", "b": "a"}
	hasUsage := func(id string) bool {
		local, _ := recorders[id].get(peerIDOf(id))
		remote, _ := recorders[id].get(peerIDOf(other[id[:1]]))
		return local == (hosts-1)*demand && remote == hosts*demand
	}
	waitUntil(t, func() bool {
		for _, id := range ids {
			if !hasUsage(id) {
				return false
			}
		}
		return true
	})
	for _, id := range ids {
		for _, from := range ids {
			usage, _ := recorders[id].get(from)
			assert.Equal(t, usage, 0.0, "%s heard %s alone", id, from)
		}
	}
	linkCount := 0
	for _, id := range ids {
		linkCount += gossipers[id].LinkCount()
	}
	// Each host has links to two leaders, each leader to all other hosts of the data centre, and the first leader to two hosts
	// of the other data centre.
	assert.Assert(t, linkCount <= 2*((hosts-2)*2+2*(hosts-1)+2), "%d links", linkCount)

	// The next hosts become leaders when both leaders of a data centre are lost.
	gossipers["a00"].Stop()
	gossipers["a01"].Stop()
	for _, id := range ids {
		recorders[id].reset(gossip.DataCentrePeerID("golfo-a"))
	}
	waitUntil(t, func() bool {
		for _, id := range ids {
			local, _ := recorders[id].get(gossip.DataCentrePeerID("golfo-a"))
			if id != "a00" && id != "a01" && local < (hosts-3)*demand {
				return false
			}
		}
		return true
	})
}

// Guards against failures of a target that count twice for the host that observed them, because leaders send its own notes
// back to it.
func TestOwnNotesAreNotReturned(t *testing.T) {
	const hosts = 10
	heard := make(chan string, 1000)
	gossipers := map[string]*gossip.Gossiper{}
	var entries []steer.HostEntry
	for i := range hosts {
		id := fmt.Sprintf("a%02d", i)
		gossiper, entry := newNotingHost(t, id, func(notes []steer.TargetObservation) {
			for _, n := range notes {
				heard <- id + " heard " + n.Target
			}
		})
		gossipers[id] = gossiper
		entries = append(entries, entry)
	}
	for _, gossiper := range gossipers {
		gossiper.SetHosts(time.Now(), entries)
	}
	seen := map[string]bool{}
	for end := time.Now().Add(10 * time.Second); len(seen) < hosts*(hosts-1) && time.Now().Before(end); {
		select {
		case s := <-heard:
			seen[s] = true
		case <-time.After(time.Second):
		}
	}
	for id := range gossipers {
		assert.Assert(t, !seen[id+" heard target-of-"+id], "%s heard its own note", id)
	}
	assert.Equal(t, len(seen), hosts*(hosts-1))
}
