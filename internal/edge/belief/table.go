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
	// returnTime is the time within which entries that lapsed during an outage are back after it: the platform names about
	// two seconds.
	returnTime = 2200 * time.Millisecond

	// staleClaim is the time after a loss during which the word of another host may be older than the loss: the time of a
	// watch that gets no answer.
	staleClaim = 2500 * time.Millisecond

	// settleTime is the time after an outage during which removals may be lapses of that outage.
	settleTime = 1500 * time.Millisecond
)

// errOldVersion means that an entry holds an older version than the one in force.
var errOldVersion = errors.New("version is older than the one in force")

// table holds the entries. It is pure: times are passed in. It is not safe for concurrent use.
type table struct {
	regions map[string]string // Region by data centre.
	index   *index.Index
	facts   map[string]steer.Fact
	planKey string               // Of the plan in force.
	cold    map[string]time.Time // By target id.
	gone    map[string]uint64    // Revisions of removals, by key.
	lapsed  map[string]time.Time // When entries that may come back are dropped, by key.
	listed  bool

	planRevision uint64 // Of the plan in force.

	hint      Hint      // Of another host; only of use while the platform is not reachable.
	lostAt    time.Time // When the platform was lost; only of use while it is not reachable.
	peerSince time.Time // Since when another host reaches it meanwhile; zero for none.
	regained  time.Time // When the platform was back after the last outage, as far as this host and others know.
	reachable bool
	contact   time.Time
	since     time.Time // Since when the platform is reachable.
}

func newTable(regions map[string]string) *table {
	return &table{
		regions: regions,
		facts:   map[string]steer.Fact{},
		cold:    map[string]time.Time{},
		gone:    map[string]uint64{},
		lapsed:  map[string]time.Time{},
	}
}

// list applies a listing. Entries that are missing from it are removed. It returns what has changed.
func (t *table) list(now time.Time, facts []steer.Fact, revision uint64) ([]steer.Fact, []error) {
	present := make(map[string]bool, len(facts))
	var changed []steer.Fact
	var problems []error
	for _, fact := range facts {
		present[fact.Key] = true
		if known, ok := t.facts[fact.Key]; !ok || known.Revision < fact.Revision {
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
	t.listed = true
	return changed, problems
}

// apply takes one change. Changes that are older than what is known are passed over. An entry that makes it panic is a
// problem of that entry.
func (t *table) apply(now time.Time, fact steer.Fact) (problems []error) {
	defer func() {
		if value := recover(); value != nil {
			problems = append(problems, fmt.Errorf("entry %q: %w: %v\n%s", fact.Key, errPanic, value, debug.Stack()))
		}
	}()
	if known, ok := t.facts[fact.Key]; ok && known.Revision >= fact.Revision {
		return nil
	}
	if t.gone[fact.Key] >= fact.Revision && fact.Revision != 0 {
		return nil
	}
	if fact.Removed {
		t.remove(now, fact.Key, fact.Revision)
		return nil
	}
	problem := fact.Problem
	if fact.Plan != nil && problem == nil {
		problem = t.adopt(fact.Plan)
		if problem == nil {
			t.planKey, t.planRevision = fact.Key, fact.Revision
		}
	}
	if problem != nil {
		problem = fmt.Errorf("entry %q: %w", fact.Key, problem)
	}
	delete(t.lapsed, fact.Key)
	delete(t.gone, fact.Key)
	if fact.Endpoint != nil {
		t.warm(now, fact.Endpoint)
	}
	fact.Plan = nil // The index keeps it.
	t.facts[fact.Key] = fact
	if problem == nil {
		return nil
	}
	return []error{problem}
}

// adopt takes a plan into force unless it is older than the one in force or not valid.
func (t *table) adopt(plan *steer.Plan) error {
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

func (t *table) warm(now time.Time, e *steer.Endpoint) {
	if e.WarmupLeft > 0 {
		t.cold[e.ID] = now.Add(e.WarmupLeft)
	} else {
		delete(t.cold, e.ID)
	}
}

// remove drops an entry. A target stays for the time in which lapsed entries come back if the platform was away until just
// now. If other hosts reached it all the while, only this host was away: what it says is final.
func (t *table) remove(now time.Time, key string, revision uint64) {
	known, ok := t.facts[key]
	if !ok {
		return
	}
	if known.Endpoint != nil && now.Sub(t.regained) < settleTime {
		if _, waiting := t.lapsed[key]; !waiting {
			t.lapsed[key] = t.regained.Add(returnTime)
		}
		return
	}
	delete(t.facts, key)
	delete(t.lapsed, key)
	t.gone[key] = revision
}

// expire drops entries that did not come back, and returns the time of the next call, zero for none.
func (t *table) expire(now time.Time) time.Time {
	var next time.Time
	for key, at := range t.lapsed {
		if !at.After(now) {
			delete(t.lapsed, key)
			delete(t.facts, key)
			continue
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

// reached notes that a call succeeded, lost that one failed. They report whether that is a change.
func (t *table) reached(now time.Time) bool {
	t.contact = now
	if t.reachable {
		return false
	}
	t.reachable, t.since = true, now
	switch {
	case !t.peerSince.IsZero():
		t.regained = t.peerSince
	case t.listed:
		t.regained = now
	}
	t.peerSince = time.Time{}
	t.hint = Hint{}
	return true
}

func (t *table) lost(now time.Time) bool {
	if !t.reachable {
		return false
	}
	t.reachable = false
	t.lostAt = now
	return true
}

// hear takes what another host that reaches the platform tells, and reports whether this host needs it.
func (t *table) hear(now time.Time, hint Hint) bool {
	if t.reachable || now.Sub(t.lostAt) <= staleClaim {
		return false
	}
	if t.peerSince.IsZero() {
		t.peerSince = now
	}
	if !hint.ReachableSince.IsZero() && hint.ReachableSince.Before(t.peerSince) {
		t.peerSince = hint.ReachableSince
	}
	t.hint = hint
	return true
}

func (t *table) view() *View {
	v := &View{
		Index:          t.index,
		Targets:        map[string][]*RegisteredTarget{},
		Emptied:        map[string]bool{},
		Listed:         t.listed,
		Reachable:      t.reachable,
		LastContact:    t.contact,
		ReachableSince: t.since,
	}
	for _, centre := range t.hint.Emptied {
		v.Emptied[centre] = true
	}
	for _, fact := range t.facts {
		switch {
		case fact.Emptied != "":
			v.Emptied[fact.Emptied] = true
		case fact.Host != nil:
			v.Hosts = append(v.Hosts, *fact.Host)
		case fact.Endpoint != nil && !fact.Endpoint.Draining:
			e := fact.Endpoint
			cold := t.cold[e.ID]
			if till := t.hint.Cold[e.ID]; till.After(cold) {
				cold = till
			}
			v.Targets[e.Service] = append(v.Targets[e.Service], &RegisteredTarget{
				Endpoint:   *e,
				HomeRegion: t.regions[e.DataCentre],
				ColdUntil:  cold,
			})
		}
	}
	for _, list := range v.Targets {
		slices.SortFunc(list, func(a, b *RegisteredTarget) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(v.Hosts, func(a, b steer.HostEntry) int { return cmp.Compare(a.ID, b.ID) })
	return v
}
