package slots

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

func (m *machine) storeKey(prefix string, number int) string {
	return fmt.Sprintf("%s/%s/%d", prefix, m.dataCentre, number)
}

// nextCall returns the store call to make now, or one of kind callNone. At most one call is in flight at a time.
func (m *machine) nextCall(now time.Time) call {
	if m.busy {
		return call{}
	}
	c := m.chooseCall(now)
	m.busy = c.kind != callNone
	return c
}

// chooseCall returns the next call. A due renewal is made even before retryAt, which delays all other calls.
func (m *machine) chooseCall(now time.Time) call {
	leaseNeeded := m.needsLease()
	if !m.stopping && m.lease != "" && leaseNeeded && !now.Before(m.renewAt) {
		return call{
			kind:  callRenew,
			lease: m.lease,
		}
	}
	if now.Before(m.retryAt) {
		return call{}
	}
	if m.stopping {
		return m.nextReleaseCall()
	}
	if m.lease != "" && !leaseNeeded && !now.Before(m.leaseEnd) {
		m.lease = ""
	}
	for _, n := range m.order {
		if c := m.nextSlotCall(now, m.slots[n]); c.kind != callNone {
			return c
		}
	}
	s := m.chooseSlot(now)
	if s == nil {
		return call{}
	}
	s.phase = checking
	s.previousOwner = owner{}
	s.proposed = 0
	return m.nextSlotCall(now, s)
}

// needsLease reports whether any slot needs the lease.
func (m *machine) needsLease() bool {
	return slices.ContainsFunc(m.order, func(n int) bool { return m.slots[n].phase != idle })
}

// nextSlotCall returns the next call for a slot that is being taken or released. A lease is granted first if the marker
// needs one.
func (m *machine) nextSlotCall(now time.Time, s *slot) call {
	c := call{
		slot: s.number,
	}
	if s.phase == marking && m.lease == "" {
		c.kind = callGrant
		return c
	}
	switch s.phase {
	case checking:
		c.kind = callCheck
		c.key = m.storeKey("held", s.number)
	case marking:
		c.kind = callMark
		c.key = m.storeKey("held", s.number)
		c.revision = s.markerRevision
		c.lease = m.lease
		c.value = encode(marker{
			owner: m.self,
			Lease: m.lease,
		})
	case reading:
		c.kind = callRead
		c.key = m.storeKey("slot", s.number)
	case raising:
		s.proposed = s.knownGeneration + 1
		c.kind = callRaise
		c.key = m.storeKey("slot", s.number)
		c.revision = s.recordRevision
		c.value = encode(record{
			owner:      m.self,
			Generation: s.proposed,
		})
	case releasing:
		c.key = m.storeKey("held", s.number)
		c.revision = s.markerRevision
		if !now.Before(s.waitUntil) {
			c.kind = callCheck
		}
		if s.markerVerified {
			c.kind = callUnmark
		}
	case idle, announcing, held:
	}
	return c
}

// nextReleaseCall returns the next call of a planned stop: it marks the records of held slots as released, then revokes
// the lease.
func (m *machine) nextReleaseCall() call {
	for _, n := range m.order {
		s := m.slots[n]
		if s.phase != held {
			s.phase = idle // The store removes the marker with the lease.
			continue
		}
		return call{
			kind:     callRelease,
			slot:     n,
			key:      m.storeKey("slot", n),
			revision: s.recordRevision,
			value: encode(record{
				owner:      m.self,
				Generation: s.generation,
				Released:   true,
			}),
		}
	}
	if m.lease == "" {
		return call{}
	}
	return call{
		kind:  callRevoke,
		lease: m.lease,
	}
}

// stopDone reports whether a planned stop has released all slots and the lease.
func (m *machine) stopDone() bool { return m.stopping && !m.busy && !m.needsLease() && m.lease == "" }

// handleResult processes the outcome of a call.
func (m *machine) handleResult(now time.Time, c call, r result) {
	m.busy = false
	m.storeReachable = !errors.Is(r.err, steer.ErrDown) && !errors.Is(r.err, steer.ErrUnknown)
	if errors.Is(r.err, steer.ErrLeaseLost) {
		m.loseLease(now)
		return
	}
	answered := r.err == nil || errors.Is(r.err, steer.ErrNotFound) || errors.Is(r.err, steer.ErrConflict)
	if !answered {
		m.retryAt = now.Add(retryInterval/2 + m.jitter(retryInterval))
	}
	switch c.kind {
	case callGrant, callRenew, callRevoke:
		m.handleLeaseResult(now, c, r)
	case callCheck, callMark, callRead, callRaise, callUnmark, callRelease:
		m.handleSlotResult(now, c, r)
	case callNone:
	}
}

// loseLease gives up all slots after the lease was lost. Slots that were held are taken back at once if they are still
// vacant.
func (m *machine) loseLease(now time.Time) {
	m.lease = ""
	m.eachSlot(func(s *slot) {
		if s.phase == idle {
			return
		}
		retake := s.phase == held
		m.reset(now, s)
		s.retake = retake
		if retake {
			s.retryAt = now
		}
	})
}

func (m *machine) handleLeaseResult(now time.Time, c call, r result) {
	if c.kind == callRevoke {
		if r.err == nil {
			m.lease = ""
		}
		return
	}
	if r.err != nil {
		m.renewAt = now.Add(retryInterval/2 + m.jitter(retryInterval))
		return
	}
	if c.kind == callRenew && !r.sent.Before(m.leaseEnd) {
		// Other hosts may have held the slots since the lease ended, and a restored store may have brought the lease back.
		m.loseLease(now)
		return
	}
	if c.kind == callGrant {
		m.lease = r.lease
	}
	m.leaseEnd = r.sent.Add(LeaseTerm)
	m.renewAt = r.sent.Add(LeaseTerm / 3)
}

func (m *machine) handleSlotResult(now time.Time, c call, r result) {
	s := m.slots[c.slot]
	switch c.kind {
	case callCheck:
		m.handleMarkerRead(now, s, r)
	case callMark:
		m.handleMarkerWritten(now, s, r)
	case callRead:
		m.handleRecordRead(now, s, r)
	case callRaise:
		if s.phase != raising || errors.Is(r.err, steer.ErrDown) {
			return
		}
		s.phase = reading
		if r.err == nil {
			s.recordRevision = r.revision
			m.startTakeover(now, s)
		}
	case callUnmark:
		s.markerVerified = false
		if s.phase == releasing && m.storeReachable {
			m.reset(now, s)
			s.retryAt = now.Add(extraSlotDelay)
		}
	case callRelease:
		if m.storeReachable {
			s.phase = idle
		}
	default:
	}
}

// startStop starts a planned stop. The host may not spend any quota after it.
func (m *machine) startStop() { m.stopping = true }

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // Markers and records always encode.
	}
	return data
}
