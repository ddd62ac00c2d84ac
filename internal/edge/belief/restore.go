package belief

import (
	"time"

	"monsoonhub.example/steer"
)

const (
	// copyHold is the time for which an entry that had been removed is not used when the store returns from a copy that has it.
	// If whoever wrote it is gone, the platform removes it again within three heartbeats of 1.5 s, or the term of a host's lease.
	copyHold = 6 * time.Second

	// removalRetention is the time for which removals are remembered. Copies are seconds old.
	removalRetention = 10 * time.Minute
)

// removal describes a removed entry.
type removal struct {
	revision uint64 // 0 if it was removed in an earlier era.
	start    uint64 // Of the target or host that the entry named, as startOf returns it.
	at       time.Time
}

// heldEntry is an entry of a copy that is not used yet.
type heldEntry struct {
	fact  steer.Fact
	until time.Time
}

// startOf returns when the process that an entry names started. Its unit depends on the kind of entry; 0 means unknown.
func startOf(fact steer.Fact) uint64 {
	switch {
	case fact.Endpoint != nil:
		return uint64(max(fact.Endpoint.StartMillis, 0))
	case fact.Host != nil:
		return fact.Host.Incarnation
	default:
		return 0
	}
}

// restore applies the first listing of a store that has returned from an older copy of its content. Whatever revision an entry
// has there, it is newer than what is known, but the copy does not undo what its writers did after it was made:
//   - Entries that are missing are kept for reregisterGrace, since they are written again.
//   - Entries that had been removed are not used before they are written again, or have stayed for copyHold.
//   - A target that is leaving stays so, and a process that started later stays known instead of the earlier one.
func (t *table) restore(now time.Time, facts []steer.Fact, revision uint64) ([]steer.Fact, []error) {
	t.regainedAt, t.restoredAt = now, now
	t.planRevision = 0
	clear(t.lapseDeadlines)
	for key, fact := range t.facts {
		fact.Revision = 0
		t.facts[key] = fact
	}
	for key, r := range t.removals {
		r.revision = 0
		t.removals[key] = r
	}
	held := map[string]heldEntry{}
	listed := make([]steer.Fact, 0, len(facts))
	for _, fact := range facts {
		known, isKnown := t.facts[fact.Key]
		removed, wasRemoved := t.removals[fact.Key]
		switch {
		case isKnown && startOf(known) > startOf(fact):
		case !isKnown && wasRemoved && startOf(fact) <= removed.start:
			held[fact.Key] = heldEntry{
				fact:  fact,
				until: now.Add(copyHold),
			}
		default:
			listed = append(listed, keepDraining(known, fact))
		}
	}
	changed, problems := t.list(now, listed, revision)
	t.held = held
	return changed, problems
}

// keepDraining returns the entry of a copy, marked as draining if the target was known to be.
func keepDraining(known, copied steer.Fact) steer.Fact {
	if known.Endpoint == nil || copied.Endpoint == nil || !known.Endpoint.Draining || startOf(known) != startOf(copied) {
		return copied
	}
	endpoint := *copied.Endpoint
	endpoint.Draining = true
	copied.Endpoint = &endpoint
	return copied
}

// releaseHeld starts to use the entries of a copy that have stayed for copyHold, and reports whether there were any. It returns
// when to call it next, zero if no entry is held.
func (t *table) releaseHeld(now time.Time) (next time.Time, released bool) {
	for key, entry := range t.held {
		if !entry.until.After(now) {
			delete(t.held, key)
			t.put(now, entry.fact)
			released = true
			continue
		}
		if next.IsZero() || entry.until.Before(next) {
			next = entry.until
		}
	}
	return next, released
}
