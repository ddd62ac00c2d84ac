package belief

import (
	"cmp"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/index"
)

const (
	// reregisterGrace is the time after an outage within which targets whose entries lapsed during it register again. The
	// platform specifies about two seconds.
	reregisterGrace = 2200 * time.Millisecond

	// staleHintWindow is the time after this host lost the platform in which a hint of another host may be older than the
	// loss: the other host may be in a watch that will get no answer.
	staleHintWindow = 2500 * time.Millisecond

	// lapseWindow is the time after an outage in which removals may stem from registrations that lapsed during it.
	lapseWindow = 1500 * time.Millisecond

	// silentHostRetention is the time for which a host stays known after it last renewed its lease, unless an outage of the
	// platform came between. It covers a process that is paused, or cut off from the platform, for some seconds. The directory may name a
	// host that is gone for contact-s + 3 s.
	silentHostRetention = 4 * time.Second

	// maxContactGap is the longest time between two answers of the platform without an outage: that of a watch, and some more if the
	// platform is slow. A shorter outage, which delays the end of a lease by less, lets no host stay known for longer than contact-s + 3 s.
	maxContactGap = 2 * time.Second
)

// errOldVersion means that an entry holds an older plan version than the one in force.
var errOldVersion = errors.New("older than the version in force")

// table holds the entries of the platform. It reads no clock: callers pass the time. It is not safe for concurrent use.
type table struct {
	regions        map[string]string // Region by data centre.
	host           string            // ID of this host.
	hostLeaseTerm  time.Duration     // Term of the leases of hosts.
	index          *index.Index
	facts          map[string]steer.Fact
	planKey        string               // Key of the plan in force.
	coldUntil      map[string]time.Time // When targets have warmed up, by id.
	removals       map[string]removal   // Removed entries, by key.
	lapseDeadlines map[string]time.Time // When lapsed entries are dropped unless they come back, by key.
	held           map[string]heldEntry // Entries of a copy of the store that are not used yet, by key.
	listed         bool

	planRevision uint64 // Revision of the entry that holds the plan in force.

	hint               Hint      // Latest hint of another host; used only while the platform is not reachable.
	lostAt             time.Time // When the platform became unreachable; used only until it is reachable again.
	peerReachableSince time.Time // Since when another host has reached it during an outage; zero for none.
	regainedAt         time.Time // When the last outage ended, as first seen by this host or another.
	lastFailedCall     time.Time // Start of the last call of this host that failed.
	answeredAgainAt    time.Time // When the platform last answered after an outage or a gap in which leases may have stood still.
	downUntil          time.Time // Until when, at least, the platform was down before answeredAgainAt.
	restoredAt         time.Time // When this host learned that the store had returned from an older copy.
	reachable          bool
	lastContact        time.Time
	reachableSince     time.Time // Since when the platform has been reachable.
}

func newTable(regions map[string]string) *table {
	return &table{
		regions:        regions,
		facts:          map[string]steer.Fact{},
		coldUntil:      map[string]time.Time{},
		removals:       map[string]removal{},
		lapseDeadlines: map[string]time.Time{},
	}
}

// list applies a listing and removes the entries that are missing from it. It returns the changes, and the errors of entries
// that were rejected.
func (t *table) list(now time.Time, facts []steer.Fact, revision uint64) ([]steer.Fact, []error) {
	present := make(map[string]bool, len(facts))
	var changed []steer.Fact
	var problems []error
	for _, fact := range facts {
		present[fact.Key] = true
		if known, ok := t.facts[fact.Key]; !ok || known.Revision < fact.Revision || completes(known, fact) {
			changed = append(changed, fact)
		}
		problems = append(problems, t.apply(now, fact)...)
	}
	for key, known := range t.facts {
		if !present[key] && known.Revision <= revision {
			t.remove(now, key, revision)
			changed = append(changed, steer.Fact{
				Key:      key,
				Revision: revision,
				Removed:  true,
			})
		}
	}
	for key := range t.held {
		if !present[key] {
			delete(t.held, key)
		}
	}
	t.listed = true
	return changed, problems
}

// known returns all entries, with the plan in force, except for those that are kept though they were removed.
func (t *table) known() []steer.Fact {
	facts := make([]steer.Fact, 0, len(t.facts))
	for key, fact := range t.facts {
		if _, lapsing := t.lapseDeadlines[key]; lapsing {
			continue
		}
		if key == t.planKey && t.index != nil {
			fact.Plan, fact.Problem = t.index.Plan, nil
		}
		facts = append(facts, fact)
	}
	return facts
}

// apply applies one change and returns the errors of a rejected entry. It ignores changes that are not newer than the known
// entry or its removal. A panic is returned as an error of the entry.
func (t *table) apply(now time.Time, fact steer.Fact) (problems []error) {
	defer func() {
		if value := recover(); value != nil {
			problems = append(problems, fmt.Errorf("entry %q: %w: %v\n%s", fact.Key, errPanic, value, debug.Stack()))
		}
	}()
	if known, ok := t.facts[fact.Key]; ok && known.Revision >= fact.Revision && !completes(known, fact) {
		return nil
	}
	if t.removals[fact.Key].revision >= fact.Revision && fact.Revision != 0 {
		return nil
	}
	if entry, ok := t.held[fact.Key]; ok {
		if entry.fact.Revision >= fact.Revision {
			return nil
		}
		delete(t.held, fact.Key)
	}
	if fact.Removed {
		t.remove(now, fact.Key, fact.Revision)
		return nil
	}
	problem := fact.Problem
	if fact.Plan != nil && problem == nil {
		problem = t.applyPlan(fact.Plan)
		if problem == nil {
			t.planKey, t.planRevision = fact.Key, fact.Revision
		}
	}
	if problem != nil {
		problem = fmt.Errorf("entry %q: %w", fact.Key, problem)
	}
	t.put(now, fact)
	if problem == nil {
		return nil
	}
	return []error{problem}
}

// completes reports whether an entry is the known one with fields that this lacks, because it came through a host of an older build.
func completes(known, fact steer.Fact) bool {
	hasCapacity := func(h *steer.HostEntry) bool { return h.LinkMbps != 0 || h.CPUCores != 0 }
	return known.Revision == fact.Revision && known.Host != nil && fact.Host != nil && !hasCapacity(known.Host) && hasCapacity(fact.Host)
}

// put makes an entry known, except for its plan, which the index keeps.
func (t *table) put(now time.Time, fact steer.Fact) {
	delete(t.lapseDeadlines, fact.Key)
	delete(t.removals, fact.Key)
	if fact.Endpoint != nil {
		t.updateWarmup(now, fact.Endpoint)
	}
	fact.Plan = nil
	t.facts[fact.Key] = fact
}

// applyPlan puts a plan in force unless it is invalid or older than the one in force.
func (t *table) applyPlan(plan *steer.Plan) error {
	if t.index != nil && plan.Version < t.index.Plan.Version {
		return fmt.Errorf("version %d: %w", plan.Version, errOldVersion)
	}
	x, err := index.New(plan)
	if err != nil {
		return fmt.Errorf("version %d: %w", plan.Version, err)
	}
	t.index = x
	return nil
}

// updateWarmup records until when a target is cold.
func (t *table) updateWarmup(now time.Time, e *steer.Endpoint) {
	if e.WarmupLeft > 0 {
		t.coldUntil[e.ID] = now.Add(e.WarmupLeft)
	} else {
		delete(t.coldUntil, e.ID)
	}
}

// remove drops an entry. A target is kept for reregisterGrace if an outage of the platform ended within lapseWindow, because
// its registration may only have lapsed. If other hosts reached the platform all the while, only this host was cut off, and
// the removal is final. After the store returned from a copy, any entry is kept. A host is kept as keepHostUntil says.
func (t *table) remove(now time.Time, key string, revision uint64) {
	known, ok := t.facts[key]
	if !ok {
		return
	}
	t.removals[key] = removal{
		revision: max(t.removals[key].revision, revision),
		start:    startOf(known),
		at:       now,
	}
	if known.Endpoint != nil && now.Sub(t.regainedAt) < lapseWindow || now.Sub(t.restoredAt) < lapseWindow {
		t.keepUntil(key, t.regainedAt.Add(reregisterGrace))
		return
	}
	if known.Host != nil {
		if until := t.keepHostUntil(now, known.Host); until.After(now) {
			t.keepUntil(key, until)
			return
		}
	}
	delete(t.facts, key)
	delete(t.lapseDeadlines, key)
}

// keepUntil keeps a removed entry until the given time, or until the time of an earlier removal.
func (t *table) keepUntil(key string, until time.Time) {
	if _, waiting := t.lapseDeadlines[key]; !waiting {
		t.lapseDeadlines[key] = until
	}
}

// keepHostUntil returns until when a host stays known whose registration was removed; zero for a host that has left, and for this host,
// which must learn at once that it has to register again. A host whose lease ended has been silent for the term of the lease, and for
// longer if the lease stood still during an outage. After an outage, hosts are therefore kept only for the term from its end, in which
// running ones register again. Leases that stood still end by then too.
func (t *table) keepHostUntil(now time.Time, h *steer.HostEntry) time.Time {
	switch {
	case h.Leaving || h.ID == t.host || t.hostLeaseTerm == 0:
		return time.Time{}
	case now.Sub(t.answeredAgainAt) < t.hostLeaseTerm+lapseWindow:
		return t.downUntil.Add(t.hostLeaseTerm)
	default:
		return now.Add(silentHostRetention - t.hostLeaseTerm)
	}
}

// expire drops lapsed entries that did not come back in time and uses held ones that have stayed, and reports whether there were
// any. It returns when to call it next, zero if no entry is waiting, and the keys of the dropped entries.
func (t *table) expire(now time.Time) (next time.Time, changed bool, dropped []string) {
	next, changed = t.releaseHeld(now)
	for key, r := range t.removals {
		if now.Sub(r.at) > removalRetention {
			delete(t.removals, key)
		}
	}
	for key, at := range t.lapseDeadlines {
		if t.facts[key].Host != nil && !t.reachable {
			continue // No running host can register again now; endOutage sets another deadline.
		}
		if !at.After(now) {
			delete(t.lapseDeadlines, key)
			delete(t.facts, key)
			changed, dropped = true, append(dropped, key)
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, changed, dropped
}

// markReachable records a successful call, and reports whether the platform was not reachable before.
func (t *table) markReachable(now time.Time) bool {
	if t.listed && (!t.reachable || now.Sub(t.lastContact) > maxContactGap) {
		t.endOutage(now)
	}
	t.lastContact = now
	if t.reachable {
		return false
	}
	t.reachable, t.reachableSince = true, now
	switch {
	case !t.peerReachableSince.IsZero():
		t.regainedAt = t.peerReachableSince
	case t.listed:
		t.regainedAt = now
	}
	t.peerReachableSince = time.Time{}
	t.hint = Hint{}
	return true
}

// endOutage records that the platform answers again, and keeps hosts whose leases ended for as long as keepHostUntil says.
func (t *table) endOutage(now time.Time) {
	t.answeredAgainAt = now
	t.downUntil = t.lastContact
	if t.lastFailedCall.After(t.downUntil) {
		t.downUntil = t.lastFailedCall
	}
	for key, until := range t.lapseDeadlines {
		if h := t.facts[key].Host; h != nil && until.Before(t.downUntil.Add(t.hostLeaseTerm)) {
			t.lapseDeadlines[key] = t.downUntil.Add(t.hostLeaseTerm)
		}
	}
}

// noteFailedCall records the start of a failed call. The platform was down or not reachable at that time.
func (t *table) noteFailedCall(startedAt time.Time) {
	if startedAt.After(t.lastFailedCall) {
		t.lastFailedCall = startedAt
	}
}

// markUnreachable records a failed call, and reports whether the platform was reachable before.
func (t *table) markUnreachable(now time.Time) bool {
	if !t.reachable {
		return false
	}
	t.reachable = false
	t.lostAt = now
	return true
}

// applyHint stores a hint of another host that reaches the platform, and reports whether this host uses it.
func (t *table) applyHint(now time.Time, hint Hint) bool {
	if t.reachable || now.Sub(t.lostAt) <= staleHintWindow {
		return false
	}
	if t.peerReachableSince.IsZero() {
		t.peerReachableSince = now
	}
	if !hint.ReachableSince.IsZero() && hint.ReachableSince.Before(t.peerReachableSince) {
		t.peerReachableSince = hint.ReachableSince
	}
	t.hint = hint
	return true
}

// view returns a View of the table. Its maps and slices are not shared with the table.
func (t *table) view() *View {
	v := &View{
		Index:          t.index,
		Targets:        map[string][]*RegisteredTarget{},
		Draining:       map[string][]string{},
		Emptied:        map[string]bool{},
		Rejected:       map[uint64]bool{},
		Listed:         t.listed,
		Reachable:      t.reachable,
		LastContact:    t.lastContact,
		ReachableSince: t.reachableSince,
	}
	for _, centre := range t.hint.Emptied {
		v.Emptied[centre] = true
	}
	for _, fact := range t.facts {
		switch {
		case fact.Emptied != "":
			v.Emptied[fact.Emptied] = true
		case fact.Rejected != 0:
			v.Rejected[fact.Rejected] = true
		case fact.Host != nil && !fact.Host.Leaving:
			v.Hosts = append(v.Hosts, *fact.Host)
		case fact.Endpoint != nil && fact.Endpoint.Draining:
			v.Draining[fact.Endpoint.Service] = append(v.Draining[fact.Endpoint.Service], fact.Endpoint.ID)
		case fact.Endpoint != nil:
			e := fact.Endpoint
			coldUntil := t.coldUntil[e.ID]
			if hinted := t.hint.Cold[e.ID]; hinted.After(coldUntil) {
				coldUntil = hinted
			}
			v.Targets[e.Service] = append(v.Targets[e.Service], &RegisteredTarget{
				Endpoint:   *e,
				HomeRegion: t.regions[e.DataCentre],
				ColdUntil:  coldUntil,
			})
		}
	}
	for _, ids := range v.Draining {
		slices.Sort(ids)
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *RegisteredTarget) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(v.Hosts, func(a, b steer.HostEntry) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
