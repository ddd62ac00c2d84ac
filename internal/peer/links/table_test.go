package links_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/peer/links"
)

var begin = time.Unix(1_000_000, 0)

// report returns a state heard some seconds after begin, with the age of its evidence in seconds.
func report(incarnation, version uint64, heard, age int) steer.Member {
	return steer.Member{
		ID:          "a",
		Incarnation: incarnation,
		LastHeard:   begin.Add(time.Duration(heard) * time.Second),
		State: steer.HostState{
			Version:     version,
			EvidenceAge: time.Duration(age) * time.Second,
		},
	}
}

// Reports arrive out of order over several paths. An older one must neither bring back an old state nor make the
// evidence look fresher than the freshest report says.
func TestTableKeepsNewestState(t *testing.T) {
	check := func(name, want string, reports ...steer.Member) {
		t.Run(name, func(t *testing.T) {
			table := links.NewTable(nil)
			for _, r := range reports {
				table.Report(r)
			}
			got := ""
			for _, m := range table.Snapshot() {
				evidence := m.LastHeard.Add(-m.State.EvidenceAge).Sub(begin)
				got += fmt.Sprintf("%d.%d heard %v evidence %v", m.Incarnation, m.State.Version, m.LastHeard.Sub(begin), evidence)
			}
			assert.Equal(t, got, want)
		})
	}
	left := report(1, 2, 1, 0)
	left.State.Stopping = true
	own := report(9, 1, 1, 0)
	own.ID = "own"
	check("first", "1.1 heard 1s evidence 0s", report(1, 1, 1, 1))
	check("newer state", "1.2 heard 3s evidence 2s", report(1, 1, 1, 0), report(1, 2, 3, 1))
	check("older state", "1.2 heard 1s evidence 1s", report(1, 2, 1, 0), report(1, 1, 3, 0))
	check("later, worse age", "1.1 heard 2s evidence 1s", report(1, 1, 1, 0), report(1, 1, 2, 2))
	check("earlier, better age", "1.1 heard 2s evidence 1s", report(1, 1, 2, 2), report(1, 1, 1, 0))
	check("newer, looser clock", "1.2 heard 2s evidence 1s", report(1, 1, 2, 0), report(1, 2, 1, 0))
	check("newer incarnation", "2.1 heard 1s evidence 1s", report(1, 9, 1, 0), report(2, 1, 1, 0))
	check("older incarnation", "2.1 heard 1s evidence 1s", report(2, 1, 1, 0), report(1, 9, 2, 0))
	check("left", "", report(1, 1, 1, 0), left, report(1, 1, 2, 0))
	check("this host", "", own)
}

// The age of evidence that does not exist is the longest duration; arithmetic on it must not overflow to a fresh one.
func TestTableKeepsAbsentEvidenceAbsent(t *testing.T) {
	table := links.NewTable(nil)
	for _, r := range []steer.Member{report(1, 1, 1, 0), report(1, 1, 3, 0), report(1, 2, 1, 0)} {
		r.State.EvidenceAge = math.MaxInt64
		table.Report(r)
	}
	assert.Equal(t, table.Snapshot()[0].State.EvidenceAge, time.Duration(math.MaxInt64))
}

// A member must be suspect from 2 s on, no longer once it is heard, and removed from 10 s on.
func TestTableSuspectsAndRemoves(t *testing.T) {
	table := links.NewTable(nil)
	table.Report(report(1, 1, 0, 0))
	assert.Equal(t, table.Expire(begin.Add(2*time.Second-1)), 0)
	assert.Assert(t, !table.Snapshot()[0].Suspect)
	assert.Equal(t, table.Expire(begin.Add(2*time.Second)), 0)
	assert.Assert(t, table.Snapshot()[0].Suspect)
	table.Report(report(1, 1, 3, 0))
	table.Expire(begin.Add(3 * time.Second))
	assert.Assert(t, !table.Snapshot()[0].Suspect)
	assert.Equal(t, table.Expire(begin.Add(13*time.Second)), 1)
	assert.Equal(t, len(table.Snapshot()), 0)
}

// Callers of Members rely on the order: own data centre, own region, then by delay, unknown delays last.
func TestSnapshotIsNearestFirst(t *testing.T) {
	delays := map[string]time.Duration{
		"region-1": 30 * time.Millisecond,
		"region-2": 20 * time.Millisecond,
	}
	table := links.NewTable(func(region string) time.Duration { return delays[region] })
	for _, place := range []string{"a dc-9 region-9", "b dc-2 region-1", "c dc-4 region-2", "d dc-1 region-0",
		"f dc-0 region-0", "e dc-0 region-0"} {
		r, fields := report(1, 1, 0, 0), strings.Fields(place)
		r.ID, r.DataCentre, r.Region = fields[0], fields[1], fields[2]
		table.Report(r)
	}
	order := ""
	for _, m := range table.Snapshot() {
		order += m.ID
	}
	assert.Equal(t, order, "efdcba")
}

// A heartbeat that waited on a slow connection must not look fresh.
func TestClockSyncBoundsDelay(t *testing.T) {
	const ms, delay, offset = 1000, 10_000, 7_000_000 // Clock of the peer is offset ahead; 10 ms each way.
	c := links.NewClockSync(-offset - 2*delay)
	echo := int64(1000 * ms)
	sent := echo + delay + 5*ms
	got := c.Arrived(sent+delay, sent+offset, echo, 5*ms)
	assert.Assert(t, got <= sent && got >= sent-delay, "got %d, sent %d", got, sent)

	late := sent + 500*ms
	got = c.Arrived(late+3000*ms, late+offset, echo, 505*ms)
	assert.Assert(t, got <= late && got >= late-delay, "a heartbeat 3 s under way looks %d us old", late+3000*ms-got)
}

// Clocks drift. The error must stay below the drift of two windows, in both directions, and not grow for ever.
func TestClockSyncFollowsDrift(t *testing.T) {
	const ms, delay = 1000, 10_000
	for _, drift := range []int64{250, -250} { // Microseconds in half a second.
		c := links.NewClockSync(-2 * delay)
		now := int64(1000 * ms)
		got := now
		for step := range int64(1000) {
			now += 500 * ms
			got = c.Arrived(now+delay, now+step*drift, now-delay-5*ms, 5*ms)
			assert.Assert(t, got <= now+120*250, "step %d: a heartbeat looks %d us too fresh", step, got-now)
		}
		assert.Assert(t, now-got < 30*ms, "a fresh heartbeat looks %d us old", now-got)
	}
}
