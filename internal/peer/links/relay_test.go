package links_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// Guards against faults with a limited number of links between data centres: hosts that become suspect, changes that arrive
// late, and calls that fail because no link to the host is open yet.
func TestFewRemoteLinks(t *testing.T) {
	t.Parallel()
	const hosts = 15
	registry := metrics.NewRegistry()
	list := startFleet(t, hosts, 3, 1, registry)
	eventually(t, 10*time.Second, "15 members", converged(list, hosts-1))
	beats := metrics.GetOrRegisterCounter("peer-heartbeats-sent", registry)
	beats.Clear()
	var oldest time.Duration
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for i, h := range list {
			for _, m := range h.Members() {
				oldest = max(oldest, time.Since(m.LastHeard))
				assert.Assert(t, !m.Suspect, "host-%02d suspects %s", i, m.ID)
			}
		}
	}
	count := float64(beats.Count()) / hosts / 10
	t.Logf("oldest state %v, %.1f heartbeats a host every 500 ms", oldest, count)
	assert.Assert(t, count < 10, "%.1f heartbeats a host every 500 ms", count)

	list[4].version.Store(3)
	took := eventually(t, 500*time.Millisecond, "version known through relays", allSeeVersion(list, "host-04", 3))
	t.Logf("a changed state is known at 15 hosts after %v", took)
	for i := range list {
		_, err := call(list[2], fmt.Sprintf("host-%02d", i), "hello")
		assert.Check(t, i == 2 || err == nil, "host-%02d: %v", i, err)
	}
	list[4].stop()
	eventually(t, time.Second, "departure known through relays", converged(append(list[:4:4], list[5:]...), hosts-2))
}

// Guards against two hosts that suspect each other because they have no link, although a third host can relay their states.
func TestRelayAroundBrokenPath(t *testing.T) {
	t.Parallel()
	a := start(t, listen(t), hostConfig("a"))
	near := []*host{startUnreachable(t, hostConfig("b", a.address)), startUnreachable(t, hostConfig("c", a.address))}
	eventually(t, 5*time.Second, "three members", converged(append(near, a), 2))
	var oldest time.Duration
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, h := range near {
			assert.Equal(t, len(h.Members()), 2)
			for _, m := range h.Members() {
				oldest = max(oldest, time.Since(m.LastHeard))
				assert.Assert(t, !m.Suspect, "%s is suspect", m.ID)
			}
		}
	}
	t.Logf("oldest state %v", oldest)
}
