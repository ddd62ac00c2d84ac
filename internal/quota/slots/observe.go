package slots

import (
	"cmp"
	"time"

	"monsoonhub.example/steer"
)

// observe takes in the configuration and the heartbeats of members, and returns the messages to send.
func (m *machine) observe(now time.Time, v view) []tell {
	if now.Sub(m.observed) > reportAge {
		m.settled = now.Add(memberAge)
	}
	m.observed = now
	m.evidence = v.evidence
	m.count = min(v.slots, maxSlots)
	for n := range m.count {
		m.at(n, now)
	}
	local := m.local[:0]
	for _, p := range v.members {
		if p.DataCentre == m.dataCentre && p.ID != m.self.Holder {
			local = append(local, p)
		}
	}
	m.local = local
	m.outside = v.reachable
	m.learn(now, local)
	m.byReports = m.reports(now, local, v)
	m.giveUp(now, local, v.loans)
	return m.progress(now, local)
}

// learn updates the claims and yields to higher generations. The slots of a member that alone lost the store lapse, so
// they count as vacant; their markers tell when they can be taken.
func (m *machine) learn(now time.Time, local []steer.Member) {
	m.each(func(s *slot) { s.claimed = false })
	for _, p := range local {
		for _, c := range p.State.Slots {
			if c.Slot < 0 || c.Slot >= maxSlots {
				continue
			}
			s := m.at(c.Slot, now)
			m.claim(now, s, c.Generation, owner{
				Holder:      p.ID,
				Incarnation: p.Incarnation,
			})
			keeps := !p.Suspect && (p.State.StoreReachable || !m.reachable && !m.outside)
			if keeps && c.Generation >= s.known && s.claimant.Holder == p.ID {
				s.claimed = true
			}
		}
	}
	m.each(func(s *slot) {
		if s.claimed || s.phase != idle {
			s.vacant = now
		}
	})
}

// claim takes in that another host claims a slot. After a restored store two hosts can claim the same generation;
// the one with the lower id keeps it.
func (m *machine) claim(now time.Time, s *slot, generation uint64, by owner) {
	if generation < s.known {
		return
	}
	if generation == s.known && s.claimant == m.self && m.self.Holder < by.Holder {
		return
	}
	if generation == s.known && s.claimant != m.self {
		return
	}
	s.known = generation
	s.claimant = by
	m.yield(now, s)
}

// yield gives up a slot that another host holds. A marker that is left over is removed, as it would block the slot.
func (m *machine) yield(now time.Time, s *slot) {
	if s.phase == idle || s.phase == leaving {
		return
	}
	if s.phase == checking || s.phase == marking {
		m.drop(now, s)
		return
	}
	s.phase = leaving
	s.retake = false
	s.wait = now
}

// drop forgets a slot without a store call.
func (m *machine) drop(now time.Time, s *slot) {
	s.phase = idle
	s.retake = false
	s.sure = false
	s.marker = 0
	s.vacant = now
	s.retry = now.Add(retryWait + m.jitter(retryWait))
}

// reports returns until when rule (b) of section 6 lets the host spend: the store is out of its reach, and every other
// member of the data centre reported within 2 s that it does not reach the store either. A host that was paused may
// have lost members from its table that hold its slots by now, so it first waits until all can have been heard again.
func (m *machine) reports(now time.Time, local []steer.Member, v view) time.Time {
	if m.reachable || v.reachable || now.Before(m.settled) {
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
	if len(local) == 0 && m.count != 1 {
		return time.Time{}
	}
	return oldest.Add(reportAge)
}

// giveUp starts to give up slots that the configuration no longer has, and one extra slot for a host without one.
func (m *machine) giveUp(now time.Time, local []steer.Member, loans time.Duration) {
	if m.count == 0 || m.stopping {
		return
	}
	var last *slot
	var mine int
	var vacant bool
	m.each(func(s *slot) {
		if s.phase == held && s.number >= m.count {
			m.leave(now, s, loans)
		}
		if s.phase == held {
			last = s
			mine++
		}
		vacant = vacant || s.phase == idle && !s.claimed && s.number < m.count
	})
	waiting := false
	most := true
	for _, p := range local {
		ready := !p.Suspect && !p.State.Stopping && p.State.StoreReachable
		waiting = waiting || ready && len(p.State.Slots) == 0
		if c := cmp.Compare(len(p.State.Slots), mine); c > 0 || c == 0 && p.ID < m.self.Holder {
			most = false
		}
	}
	if !waiting {
		m.slotless = time.Time{}
		return
	}
	if m.slotless.IsZero() {
		m.slotless = now
	}
	if mine < 2 || vacant || !most || now.Before(m.slotless.Add(handoverAfter)) || now.Before(m.handover) {
		return
	}
	m.handover = now.Add(handoverPause)
	m.leave(now, last, loans)
}

func (m *machine) leave(now time.Time, s *slot, loans time.Duration) {
	s.phase = leaving
	s.wait = now.Add(loans)
}
