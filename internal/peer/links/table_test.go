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

var baseTime = time.Unix(1_000_000, 0)

// memberReport returns a member last heard some seconds after baseTime, with the age of its evidence in seconds.
func memberReport(incarnation, version uint64, heard, age int) steer.Member {
	return steer.Member{
		ID:          "a",
		Incarnation: incarnation,
		LastHeard:   baseTime.Add(time.Duration(heard) * time.Second),
		State: steer.HostState{
			Version:     version,
			EvidenceAge: time.Duration(age) * time.Second,
		},
	}
}

// Guards against reports that arrive out of order over several paths: an older report must neither restore an old state nor
// make the evidence look fresher than the freshest report does.
func TestTableKeepsNewestState(t *testing.T) {
	check := func(name, want string, reports ...steer.Member) {
		t.Run(name, func(t *testing.T) {
			table := links.NewTable(nil)
			for _, r := range reports {
				table.ApplyState(r)
			}
			got := ""
			for _, m := range table.Snapshot() {
				evidence := m.LastHeard.Add(-m.State.EvidenceAge).Sub(baseTime)
				got += fmt.Sprintf("%d.%d heard %v evidence %v", m.Incarnation, m.State.Version, m.LastHeard.Sub(baseTime), evidence)
			}
			assert.Equal(t, got, want)
		})
	}
	left := memberReport(1, 2, 1, 0)
	left.State.Stopping = true
	own := memberReport(9, 1, 1, 0)
	own.ID = "own"
	check("first", "1.1 heard 1s evidence 0s", memberReport(1, 1, 1, 1))
	check("newer state", "1.2 heard 3s evidence 2s", memberReport(1, 1, 1, 0), memberReport(1, 2, 3, 1))
	check("older state", "1.2 heard 1s evidence 1s", memberReport(1, 2, 1, 0), memberReport(1, 1, 3, 0))
	check("later, worse age", "1.1 heard 2s evidence 1s", memberReport(1, 1, 1, 0), memberReport(1, 1, 2, 2))
	check("earlier, better age", "1.1 heard 2s evidence 1s", memberReport(1, 1, 2, 2), memberReport(1, 1, 1, 0))
	check("newer, looser clock", "1.2 heard 2s evidence 1s", memberReport(1, 1, 2, 0), memberReport(1, 2, 1, 0))
	check("newer incarnation", "2.1 heard 1s evidence 1s", memberReport(1, 9, 1, 0), memberReport(2, 1, 1, 0))
	check("older incarnation", "2.1 heard 1s evidence 1s", memberReport(2, 1, 1, 0), memberReport(1, 9, 2, 0))
	check("left", "", memberReport(1, 1, 1, 0), left, memberReport(1, 1, 2, 0))
	check("this host", "", own)
}

// Guards against an age that overflows and makes missing evidence look fresh. The age of missing evidence is the longest
// duration.
func TestEvidenceAgeDoesNotOverflow(t *testing.T) {
	table := links.NewTable(nil)
	for _, r := range []steer.Member{memberReport(1, 1, 1, 0), memberReport(1, 1, 3, 0), memberReport(1, 2, 1, 0)} {
		r.State.EvidenceAge = math.MaxInt64
		table.ApplyState(r)
	}
	assert.Equal(t, table.Snapshot()[0].State.EvidenceAge, time.Duration(math.MaxInt64))
}

// Guards against a member that is not suspect after 2 s, still suspect once it is heard again, or not removed after 10 s.
func TestTableSuspectsAndRemoves(t *testing.T) {
	table := links.NewTable(nil)
	table.ApplyState(memberReport(1, 1, 0, 0))
	assert.Equal(t, table.Expire(baseTime.Add(2*time.Second-1)), 0)
	assert.Assert(t, !table.Snapshot()[0].Suspect)
	assert.Equal(t, table.Expire(baseTime.Add(2*time.Second)), 0)
	assert.Assert(t, table.Snapshot()[0].Suspect)
	table.ApplyState(memberReport(1, 1, 3, 0))
	table.Expire(baseTime.Add(3 * time.Second))
	assert.Assert(t, !table.Snapshot()[0].Suspect)
	assert.Equal(t, table.Expire(baseTime.Add(13*time.Second)), 1)
	assert.Equal(t, len(table.Snapshot()), 0)
}

// Guards against a wrong order of members, on which callers of Members rely: own data centre, own region, then by delay,
// unknown delays last.
func TestSnapshotIsNearestFirst(t *testing.T) {
	delays := map[string]time.Duration{
		"region-1": 30 * time.Millisecond,
		"region-2": 20 * time.Millisecond,
	}
	table := links.NewTable(func(region string) time.Duration { return delays[region] })
	for _, place := range []string{"a dc-9 region-9", "b dc-2 region-1", "c dc-4 region-2", "d dc-1 region-0",
		"f dc-0 region-0", "e dc-0 region-0"} {
		r, fields := memberReport(1, 1, 0, 0), strings.Fields(place)
		r.ID, r.DataCentre, r.Region = fields[0], fields[1], fields[2]
		table.ApplyState(r)
	}
	order := ""
	for _, m := range table.Snapshot() {
		order += m.ID
	}
	assert.Equal(t, order, "efdcba")
}

// Guards against a heartbeat that looks fresh although it waited on a slow connection.
func TestClockSyncBoundsDelay(t *testing.T) {
	const ms, delay, offset = 1000, 10_000, 7_000_000 // The clock of the peer is ahead by offset; 10 ms each way.
	c := links.NewClockSync(-offset - 2*delay)
	echo := int64(1000 * ms)
	sent := echo + delay + 5*ms
	got := c.Observe(sent+delay, sent+offset, echo, 5*ms)
	assert.Assert(t, got <= sent && got >= sent-delay, "got %d, sent %d", got, sent)

	late := sent + 500*ms
	got = c.Observe(late+3000*ms, late+offset, echo, 505*ms)
	assert.Assert(t, got <= late && got >= late-delay, "a heartbeat 3 s in transit looks %d us old", late+3000*ms-got)
}

// Guards against an error that grows without bound when clocks drift. It must stay below the drift of two windows, in both
// directions.
func TestClockSyncFollowsDrift(t *testing.T) {
	const ms, delay = 1000, 10_000
	for _, drift := range []int64{250, -250} { // Microseconds in half a second.
		c := links.NewClockSync(-2 * delay)
		now := int64(1000 * ms)
		got := now
		for step := range int64(1000) {
			now += 500 * ms
			got = c.Observe(now+delay, now+step*drift, now-delay-5*ms, 5*ms)
			assert.Assert(t, got <= now+120*250, "step %d: a heartbeat looks %d us too fresh", step, got-now)
		}
		assert.Assert(t, now-got < 30*ms, "a fresh heartbeat looks %d us old", now-got)
	}
}
