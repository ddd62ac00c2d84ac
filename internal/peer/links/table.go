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
	// suspectAfter is the age of the last heartbeat from which a member is suspect.
	suspectAfter = 2 * time.Second

	// removeAfter is the age of the last heartbeat from which a member is removed.
	removeAfter = 10 * time.Second

	// minJoins is the length below which the list of joins is not shortened.
	minJoins = 1000
)

// entry is one member.
type entry struct {
	identity identity
	state    steer.HostState // Slots are shared with readers and never changed.
	sequence uint64
	heard    time.Time     // The state held at this time or later.
	age      time.Duration // Of the evidence at heard.
	direct   time.Time     // When its process was last heard on its own link; zero if never.
	born     time.Time     // When it joined.
	left     bool          // The process has closed its links. The entry remains so that relays do not revive it.
	suspect  bool
}

// table is the member table. It is not safe for concurrent use.
type table struct {
	own      identity
	delay    func(region string) time.Duration
	members  map[string]*entry
	order    []*entry // Nearest first; nil after a member joined or was removed.
	dirty    bool     // The readers' copy is out of date.
	urgent   bool     // It differs by more than ages.
	suspects int      // Members that are suspect.
	joins    []*entry // Processes in the order in which they were first heard.
	epoch    uint64   // Rises when joins is shortened.
	changes  uint64   // Counts joins and changed states in the own data centre.
}

func newTable(own identity, delay func(string) time.Duration) *table {
	return &table{
		own:     own,
		delay:   delay,
		members: map[string]*entry{},
	}
}

// introduce returns the entry of a process, a new one if needed. It returns nil for an older incarnation of a known
// host and for this host. A new process is given the time before which it was not heard.
func (t *table) introduce(i identity, heard, now time.Time) *entry {
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
		identity: i,
		heard:    heard,
		age:      math.MaxInt64,
		born:     now,
	}
	t.members[i.HostID] = e
	t.order = nil
	t.urgent = true
	t.dirty = true
	return e
}

// report takes a state of a process that held at the time heard or later, with the age of its evidence then.
func (t *table) report(e *entry, s *state, heard time.Time, age time.Duration) {
	if s.Sequence < e.sequence {
		return
	}
	latest := e.heard
	if heard.After(latest) {
		latest = heard
	}
	age = addAge(age, latest.Sub(heard))
	if s.Sequence == e.sequence {
		e.age = min(age, addAge(e.age, latest.Sub(e.heard)))
	} else {
		if e.sequence == 0 {
			t.join(e)
		}
		if e.identity.DataCentre == t.own.DataCentre {
			t.changes++
		}
		if left := s.Flags&flagLeft != 0; left != e.left {
			e.left = left
			t.order = nil
		}
		t.urgent = true
		e.state = s.host()
		e.sequence = s.Sequence
		e.age = age
	}
	e.heard = latest
	t.dirty = true
}

// join notes a process that was heard for the first time. The list is shortened when most of it has gone.
func (t *table) join(e *entry) {
	t.joins = append(t.joins, e)
	if len(t.joins) <= 2*len(t.members)+minJoins {
		return
	}
	t.epoch++
	t.joins = nil
	for _, e := range t.members {
		t.joins = append(t.joins, e)
	}
}

// addAge adds without overflow.
func addAge(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// expire marks suspects and removes members that were not heard. It returns those removed and those that have become
// suspect.
func (t *table) expire(now time.Time) (removed, suspects []*entry) {
	t.suspects = 0
	for id, e := range t.members {
		age := now.Sub(e.heard)
		if age >= removeAfter {
			delete(t.members, id)
			removed = append(removed, e)
			t.order = nil
			t.urgent = true
			t.dirty = true
			continue
		}
		suspect := age >= suspectAfter
		if suspect && !e.left {
			t.suspects++
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

// snapshot returns the members that have not left, nearest first.
func (t *table) snapshot() []steer.Member {
	t.dirty = false
	t.urgent = false
	if t.order == nil {
		t.sort()
	}
	list := make([]steer.Member, 0, len(t.order))
	for _, e := range t.order {
		list = append(list, e.member())
	}
	return list
}

func (t *table) sort() {
	t.order = make([]*entry, 0, len(t.members))
	distance := make(map[string]int64, len(t.members))
	for id, e := range t.members {
		if e.left {
			continue
		}
		t.order = append(t.order, e)
		distance[id] = t.distance(e.identity)
	}
	slices.SortFunc(t.order, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(distance[a.identity.HostID], distance[b.identity.HostID]),
			strings.Compare(a.identity.HostID, b.identity.HostID),
		)
	})
}

// distance orders the own data centre before the own region before other regions by delay, those without a known
// delay last.
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

func (e *entry) member() steer.Member {
	m := steer.Member{
		ID:          e.identity.HostID,
		DataCentre:  e.identity.DataCentre,
		Region:      e.identity.Region,
		Incarnation: e.identity.Incarnation,
		Address:     e.identity.Address,
		PeerAddress: e.identity.PeerAddress,
		State:       e.state,
		LastHeard:   e.heard,
		Suspect:     e.suspect,
	}
	m.State.EvidenceAge = e.age
	return m
}
