package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/gossip"
)

// Guards against a data centre of many hosts that tell each other one by one, and against sums that miss hosts, count one twice
// or end with the host that made them. Load: 12 hosts in each of two data centres, 10 requests a second at each.
func TestManyHostsReportThroughLeaders(t *testing.T) {
	const hosts, demand = 12, 10.0
	tellers, ears := map[string]*gossip.Gossiper{}, map[string]*ear{}
	var entries []steer.HostEntry
	var ids []string
	for _, centre := range []string{"a", "b"} {
		for i := range hosts {
			id := fmt.Sprintf("%s%02d", centre, i)
			teller, e, entry := newHost(t, id, "golfo-"+centre, demand)
			tellers[id], ears[id] = teller, e
			entries = append(entries, entry)
			ids = append(ids, id)
		}
	}
	for _, teller := range tellers {
		teller.SetHosts(time.Now(), entries)
	}
	centreOf := func(id string) string { return gossip.DataCentrePeerID("golfo-" + id[:1]) }
	other := map[string]string{"a": "b", "b": "a"}
	knows := func(id string) bool {
		own, _ := ears[id].get(centreOf(id))
		far, _ := ears[id].get(centreOf(other[id[:1]]))
		return own == (hosts-1)*demand && far == hosts*demand
	}
	until(t, func() bool {
		for _, id := range ids {
			if !knows(id) {
				return false
			}
		}
		return true
	})
	for _, id := range ids {
		for _, from := range ids {
			one, _ := ears[id].get(from)
			assert.Equal(t, one, 0.0, "%s heard %s alone", id, from)
		}
	}
	links := 0
	for _, id := range ids {
		links += tellers[id].Links()
	}
	// Each host has links to two leaders, these to all others of the data centre, and the first leader to two of the other one.
	assert.Assert(t, links <= 2*((hosts-2)*2+2*(hosts-1)+2), "%d links", links)

	// Both leaders of a data centre are lost: the next ones take over.
	tellers["a00"].Stop()
	tellers["a01"].Stop()
	for _, id := range ids {
		ears[id].forget(gossip.DataCentrePeerID("golfo-a"))
	}
	until(t, func() bool {
		for _, id := range ids {
			own, _ := ears[id].get(gossip.DataCentrePeerID("golfo-a"))
			if id != "a00" && id != "a01" && own < (hosts-3)*demand {
				return false
			}
		}
		return true
	})
}

// Guards against failures of a target that count twice for the host that saw them, since they come back to it.
func TestOwnNotesDoNotComeBack(t *testing.T) {
	const hosts = 10
	heard := make(chan string, 1000)
	tellers := map[string]*gossip.Gossiper{}
	var entries []steer.HostEntry
	for i := range hosts {
		id := fmt.Sprintf("a%02d", i)
		teller, entry := newNoter(t, id, func(notes []steer.TargetObservation) {
			for _, n := range notes {
				heard <- id + " heard " + n.Target
			}
		})
		tellers[id] = teller
		entries = append(entries, entry)
	}
	for _, teller := range tellers {
		teller.SetHosts(time.Now(), entries)
	}
	seen := map[string]bool{}
	for end := time.Now().Add(10 * time.Second); len(seen) < hosts*(hosts-1) && time.Now().Before(end); {
		select {
		case s := <-heard:
			seen[s] = true
		case <-time.After(time.Second):
		}
	}
	for id := range tellers {
		assert.Assert(t, !seen[id+" heard target-of-"+id], "%s heard its own note", id)
	}
	assert.Equal(t, len(seen), hosts*(hosts-1))
}
