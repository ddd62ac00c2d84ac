package links

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"monsoonhub.example/steer"
)

const (
	// suspectAfter is the age of entry.lastHeard from which a member is suspect.
	suspectAfter = 2 * time.Second

	// removeAfter is the age of entry.lastHeard from which a member is removed.
	removeAfter = 10 * time.Second

	// minJoinsToCompact is the length up to which the list of joins is never compacted.
	minJoinsToCompact = 1000
)

// entry is a member and its last known state.
type entry struct {
	identity    identity
	state       steer.HostState // Slots are shared with readers and never modified.
	sequence    uint64
	lastHeard   time.Time     // The state was valid at this time or later.
	evidenceAge time.Duration // Age of the evidence at lastHeard.
	lastDirect  time.Time     // Last heartbeat on a link to the member itself; zero if none.
	joinedAt    time.Time
	left        bool // The process has closed its links. The entry is kept so that relayed states do not add it again.
	suspect     bool
}

// table is the member table. It is not safe for concurrent use.
type table struct {
	own          identity
	delay        func(region string) time.Duration
	members      map[string]*entry
	sorted       []*entry // Members that have not left, nearest first; nil if out of date.
	dirty        bool     // The published copy is out of date.
	urgent       bool     // The published copy differs in more than ages.
	suspectCount int      // Suspect members that have not left.
	joins        []*entry // Processes in the order in which their first states arrived.
	joinsEpoch   uint64   // Incremented when joins is compacted.
	localChanges uint64   // Number of joins and changes of state in the own data centre.
}

func newTable(own identity, delay func(string) time.Duration) *table {
	return &table{
		own:     own,
		delay:   delay,
		members: map[string]*entry{},
	}
}

// entryFor returns the entry of a process and creates it if needed. It returns nil for an older incarnation of a known host
// and for this host. A new entry starts with the time lastHeard.
func (t *table) entryFor(i identity, lastHeard, now time.Time) *entry {
	if i.HostID == t.own.HostID {
		return nil
	}
	e := t.members[i.HostID]
	if e != nil && e.identity.Incarnation > i.Incarnation {
		return nil
	}
	if e != nil && e.identity.Incarnation == i.Incarnation {
		return e
	}
	e = &entry{
		identity:    i,
		lastHeard:   lastHeard,
		evidenceAge: math.MaxInt64,
		joinedAt:    now,
	}
	t.members[i.HostID] = e
	t.sorted = nil
	t.urgent = true
	t.dirty = true
	return e
}

// applyState applies a received state to an entry. The state was valid at lastHeard or later, and evidenceAge is the age of
// its evidence at lastHeard. A state older than that of the entry is ignored.
func (t *table) applyState(e *entry, s *wireState, lastHeard time.Time, evidenceAge time.Duration) {
	if s.Sequence < e.sequence {
		return
	}
	latest := e.lastHeard
	if lastHeard.After(latest) {
		latest = lastHeard
	}
	evidenceAge = addAge(evidenceAge, latest.Sub(lastHeard))
	if s.Sequence == e.sequence {
		e.evidenceAge = min(evidenceAge, addAge(e.evidenceAge, latest.Sub(e.lastHeard)))
	} else {
		if e.sequence == 0 {
			t.recordJoin(e)
		}
		if e.identity.DataCentre == t.own.DataCentre {
			t.localChanges++
		}
		if left := s.Flags&flagLeft != 0; left != e.left {
			e.left = left
			t.sorted = nil
		}
		t.urgent = true
		e.state = s.hostState()
		e.sequence = s.Sequence
		e.evidenceAge = evidenceAge
	}
	e.lastHeard = latest
	t.dirty = true
}

// recordJoin adds a process whose first state has arrived to the list of joins. It compacts the list when more than half of
// it are processes that are no longer members.
func (t *table) recordJoin(e *entry) {
	t.joins = append(t.joins, e)
	if len(t.joins) <= 2*len(t.members)+minJoinsToCompact {
		return
	}
	t.joinsEpoch++
	t.joins = nil
	for _, e := range t.members {
		t.joins = append(t.joins, e)
	}
}

// addAge adds two ages, saturating at math.MaxInt64.
func addAge(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// expire marks members as suspect or removes them by the time since they were last heard. It returns the members removed
// and the members that have become suspect.
func (t *table) expire(now time.Time) (removed, suspects []*entry) {
	t.suspectCount = 0
	for id, e := range t.members {
		age := now.Sub(e.lastHeard)
		if age >= removeAfter {
			delete(t.members, id)
			removed = append(removed, e)
			t.sorted = nil
			t.urgent = true
			t.dirty = true
			continue
		}
		suspect := age >= suspectAfter
		if suspect && !e.left {
			t.suspectCount++
		}
		if suspect == e.suspect {
			continue
		}
		e.suspect = suspect
		t.urgent = true
		t.dirty = true
		if suspect && !e.left {
			suspects = append(suspects, e)
		}
	}
	return removed, suspects
}

// snapshot returns the members that have not left, nearest first, and marks the published copy as up to date.
func (t *table) snapshot() []steer.Member {
	t.dirty = false
	t.urgent = false
	if t.sorted == nil {
		t.sort()
	}
	list := make([]steer.Member, 0, len(t.sorted))
	for _, e := range t.sorted {
		list = append(list, e.member())
	}
	return list
}

// sort rebuilds the list of members that have not left, nearest first.
func (t *table) sort() {
	t.sorted = make([]*entry, 0, len(t.members))
	distance := make(map[string]int64, len(t.members))
	for id, e := range t.members {
		if e.left {
			continue
		}
		t.sorted = append(t.sorted, e)
		distance[id] = t.distance(e.identity)
	}
	slices.SortFunc(t.sorted, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(distance[a.identity.HostID], distance[b.identity.HostID]),
			strings.Compare(a.identity.HostID, b.identity.HostID),
		)
	})
}

// distance returns a sort key: first the own data centre, then the own region, then other regions by delay, regions with an
// unknown delay last.
func (t *table) distance(i identity) int64 {
	switch {
	case i.DataCentre == t.own.DataCentre:
		return -2
	case i.Region == t.own.Region:
		return -1
	case t.delay == nil:
		return math.MaxInt64
	}
	if d := t.delay(i.Region); d > 0 {
		return int64(d)
	}
	return math.MaxInt64
}

// member returns the entry as a steer.Member.
func (e *entry) member() steer.Member {
	m := steer.Member{
		ID:          e.identity.HostID,
		DataCentre:  e.identity.DataCentre,
		Region:      e.identity.Region,
		Incarnation: e.identity.Incarnation,
		Address:     e.identity.Address,
		PeerAddress: e.identity.PeerAddress,
		State:       e.state,
		LastHeard:   e.lastHeard,
		Suspect:     e.suspect,
	}
	m.State.EvidenceAge = e.evidenceAge
	return m
}
