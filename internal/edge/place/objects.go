package place

import "time"

const (
	// knownTime is the time after its last request from this host for which an object counts as known to a target. Targets keep some
	// tens of objects, a request or a few a second for each.
	knownTime = 10 * time.Second

	// objectSlots is the number of objects at targets that a host remembers for each service. It is a power of two and several
	// times the requests of a host within knownTime.
	objectSlots = 1 << 13
)

// objectMemory remembers which objects this host's requests concerned at which targets of a service, in a table of fixed size that
// forgets objects with the same place.
type objectMemory struct {
	slots []objectSlot // Nil before the first object.
	since time.Time    // Start of the times in slots.
}

// objectSlot remembers one object at one target.
type objectSlot struct {
	hash uint32
	at   uint32 // Milliseconds since the start of the memory.
}

// slot returns the place of an object at a target, and what it holds if the object is remembered now.
func (m *objectMemory) slot(now time.Time, t *targetState, object uint64) (*objectSlot, objectSlot) {
	if m.slots == nil {
		m.slots, m.since = make([]objectSlot, objectSlots), now.Add(-2*knownTime)
	}
	hash := mix(object ^ t.idHash)
	return &m.slots[hash%objectSlots], objectSlot{
		hash: uint32(hash >> 32),
		at:   uint32(now.Sub(m.since).Milliseconds()), // Wraps around after 50 days, when a few objects count as known once.
	}
}

// knows reports whether a target probably has an object in its cache: it answered a request of this host for it within knownTime.
// Requests without an object take the same work at all times.
func (m *objectMemory) knows(now time.Time, t *targetState, object uint64) bool {
	if object == 0 {
		return true
	}
	slot, current := m.slot(now, t, object)
	return slot.hash == current.hash && current.at-slot.at < uint32(knownTime.Milliseconds())
}

// remember records that a target has handled an object.
func (m *objectMemory) remember(now time.Time, t *targetState, object uint64) {
	if object != 0 {
		slot, current := m.slot(now, t, object)
		*slot = current
	}
}
