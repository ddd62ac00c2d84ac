package slots

import (
	"cmp"
	"time"

	"monsoonhub.example/steer"
)

// observe processes the configuration and the heartbeats of members, and returns the messages to send. After a pause
// longer than maxReportAge it suspends rule (b) until the member table is complete again.
func (m *machine) observe(now time.Time, v observation) []announcement {
	if now.Sub(m.observedAt) > maxReportAge {
		m.membershipSettledAt = now.Add(memberTimeout)
	}
	m.observedAt = now
	m.evidenceTime = v.evidenceTime
	m.slotCount = min(v.configuredSlots, maxSlots)
	for n := range m.slotCount {
		m.slotAt(n, now)
	}
	local := m.localMembers[:0]
	for _, p := range v.members {
		if p.DataCentre == m.dataCentre && p.ID != m.self.Holder {
			local = append(local, p)
		}
	}
	m.localMembers = local
	m.otherCallsSucceeded = v.otherCallsSucceed
	m.updateClaims(now, local)
	m.reportsUntil = m.spendUntilByReports(now, local, v)
	m.giveUpSlots(now, local, v.remainingLoanTime)
	return m.announceTakeovers(now, local)
}

// updateClaims updates the claims of members and yields to higher generations. The slots of a member that alone lost the
// store lapse with its lease, so they count as vacant. Their markers show when they can be taken.
func (m *machine) updateClaims(now time.Time, local []steer.Member) {
	m.eachSlot(func(s *slot) { s.claimed = false })
	for _, p := range local {
		for _, c := range p.State.Slots {
			if c.Slot < 0 || c.Slot >= maxSlots {
				continue
			}
			s := m.slotAt(c.Slot, now)
			m.noteClaim(now, s, c.Generation, owner{
				Holder:      p.ID,
				Incarnation: p.Incarnation,
			})
			stillHeld := !p.Suspect && (p.State.StoreReachable || !m.storeReachable && !m.otherCallsSucceeded)
			if stillHeld && c.Generation >= s.knownGeneration && s.claimant.Holder == p.ID {
				s.claimed = true
			}
		}
	}
	m.eachSlot(func(s *slot) {
		if s.claimed || s.phase != idle {
			s.vacantSince = now
		}
	})
}

// noteClaim records that another host claims a slot, and yields to it. After the store was restored, two hosts can claim
// the same generation; the one with the lower id keeps it.
func (m *machine) noteClaim(now time.Time, s *slot, generation uint64, by owner) {
	if generation < s.knownGeneration {
		return
	}
	if generation == s.knownGeneration && s.claimant == m.self && m.self.Holder < by.Holder {
		return
	}
	if generation == s.knownGeneration && s.claimant != m.self {
		return
	}
	s.knownGeneration = generation
	s.claimant = by
	m.yield(now, s)
}

// yield gives up a slot that another host holds. It also starts the removal of a leftover marker of this host, which
// would block the slot.
func (m *machine) yield(now time.Time, s *slot) {
	if s.phase == idle || s.phase == releasing {
		return
	}
	if s.phase == checking || s.phase == marking {
		m.reset(now, s)
		return
	}
	s.phase = releasing
	s.retake = false
	s.waitUntil = now
}

// reset returns a slot to the idle phase without a store call. The slot is not tried again for one to two
// retryIntervals.
func (m *machine) reset(now time.Time, s *slot) {
	s.phase = idle
	s.retake = false
	s.markerVerified = false
	s.markerRevision = 0
	s.vacantSince = now
	s.retryAt = now.Add(retryInterval + m.jitter(retryInterval))
}

// spendUntilByReports returns the time until which rule (b) (docs/design.md, section 6) lets the host spend, or the zero
// time. The rule holds while the host cannot reach the store and every other member of the data centre has reported
// within the last 2 s that it cannot reach the store either. While a host was paused, members that now hold its slots
// may have been removed from its table, so it first waits until all members can have sent a heartbeat again.
func (m *machine) spendUntilByReports(now time.Time, local []steer.Member, v observation) time.Time {
	if m.storeReachable || v.otherCallsSucceed || now.Before(m.membershipSettledAt) {
		return time.Time{}
	}
	oldest := now
	for _, p := range local {
		if p.State.StoreReachable {
			return time.Time{}
		}
		if p.LastHeard.Before(oldest) {
			oldest = p.LastHeard
		}
	}
	if len(local) == 0 && m.slotCount != 1 {
		return time.Time{}
	}
	return oldest.Add(maxReportAge)
}

// giveUpSlots starts to release held slots that the configuration no longer has. If some member has no slot, the host
// with the most slots also releases one of its own; the lowest id breaks ties.
func (m *machine) giveUpSlots(now time.Time, local []steer.Member, loans time.Duration) {
	if m.slotCount == 0 || m.stopping {
		return
	}
	var lastHeld *slot
	var heldCount int
	var vacant bool
	m.eachSlot(func(s *slot) {
		if s.phase == held && s.number >= m.slotCount {
			m.startRelease(now, s, loans)
		}
		if s.phase == held {
			lastHeld = s
			heldCount++
		}
		vacant = vacant || s.phase == idle && !s.claimed && s.number < m.slotCount
	})
	peerNeedsSlot := false
	holdsMost := true
	for _, p := range local {
		eligible := !p.Suspect && !p.State.Stopping && p.State.StoreReachable
		peerNeedsSlot = peerNeedsSlot || eligible && len(p.State.Slots) == 0
		if c := cmp.Compare(len(p.State.Slots), heldCount); c > 0 || c == 0 && p.ID < m.self.Holder {
			holdsMost = false
		}
	}
	if !peerNeedsSlot {
		m.slotlessSince = time.Time{}
		return
	}
	if m.slotlessSince.IsZero() {
		m.slotlessSince = now
	}
	if heldCount < 2 || vacant || !holdsMost || now.Before(m.slotlessSince.Add(handoverDelay)) || now.Before(m.nextHandover) {
		return
	}
	m.nextHandover = now.Add(handoverInterval)
	m.startRelease(now, lastHeld, loans)
}

// startRelease starts to release a held slot. Its marker stays until the loans have ended.
func (m *machine) startRelease(now time.Time, s *slot, loans time.Duration) {
	s.phase = releasing
	s.waitUntil = now.Add(loans)
}
