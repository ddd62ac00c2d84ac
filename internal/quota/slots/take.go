package slots

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

// announceTakeovers settles the announced slots whose waits are over and returns the messages still to send.
func (m *machine) announceTakeovers(now time.Time, local []steer.Member) []announcement {
	var announcements []announcement
	m.eachSlot(func(s *slot) {
		if s.phase != announcing {
			return
		}
		for _, p := range local {
			if s.announced[p.ID] != announceDue {
				continue
			}
			s.announced[p.ID] = announceSent
			announcements = append(announcements, announcement{
				to:         p.ID,
				slot:       s.number,
				generation: s.generation,
			})
		}
		m.settle(now, s)
	})
	return announcements
}

// settle marks a slot as held when the reported loans have ended and either the previous holder and all members asked
// have answered or the wait is over. With no member to ask, it waits in full unless the data centre has only one slot.
func (m *machine) settle(now time.Time, s *slot) {
	onlySlot := m.slotCount == 1 && !now.Before(m.membershipSettledAt)
	allAnswered := s.previousAnswered && (len(s.announced) > 0 || onlySlot)
	for _, state := range s.announced {
		allAnswered = allAnswered && state == announceAnswered
	}
	if !allAnswered && now.Before(s.waitUntil) || now.Before(s.loansUntil) {
		return
	}
	// Other data centres do not wait for a slot without a holder to confirm a version, so its new holder must know the
	// newest version as of the time it took the slot (docs/design.md, section 5).
	if m.evidenceTime.Before(s.raisedAt) {
		return
	}
	s.phase = held
	if s.released || s.previousOwner == m.self || s.previousOwner == (owner{}) {
		return
	}
	s.takeoverTime = now
}

// handleAnswer processes the answer of a member to slot-taken, or the error if there was none.
func (m *machine) handleAnswer(now time.Time, t announcement, from owner, a slotTakenAnswer, err error) {
	s := m.slots[t.slot]
	if s == nil || s.phase != announcing || s.generation != t.generation {
		return
	}
	if err != nil {
		s.announced[t.to] = announceDue // The message is sent again at the next observation.
		return
	}
	if a.KnownGeneration >= s.generation && a.owner() != m.self {
		s.knownGeneration = a.KnownGeneration
		s.claimant = a.owner()
		s.phase = reading
		return
	}
	s.announced[t.to] = announceAnswered
	if from == s.previousOwner {
		s.previousAnswered = true
	}
	if until := now.Add(a.LoansRemaining); until.After(s.loansUntil) {
		s.loansUntil = until
	}
	m.settle(now, s)
}

// handleSlotTaken processes the message that another host has taken a slot, and returns the answer to it.
func (m *machine) handleSlotTaken(now time.Time, from owner, t slotTakenRequest) reply {
	s := m.slotAt(t.Slot, now)
	if t.Generation > s.knownGeneration {
		m.noteClaim(now, s, t.Generation, from)
	}
	return reply{
		wasHolder: s.generation > 0,
		answer: slotTakenAnswer{
			KnownGeneration:   s.knownGeneration,
			Holder:            s.claimant.Holder,
			HolderIncarnation: s.claimant.Incarnation,
		},
	}
}

// mayTakeExtraSlot reports whether this host may take a vacant slot although it holds one already. After extraSlotDelay
// only the host with the fewest slots may; the lowest id breaks ties. After the store was restored, the marker of a
// vacant slot may belong to a host that does not have the fewest slots, so after anyHostDelay any host may.
func (m *machine) mayTakeExtraSlot(now time.Time, s *slot, heldCount int) bool {
	vacantFor := now.Sub(s.vacantSince)
	if vacantFor >= anyHostDelay {
		return true
	}
	if vacantFor < extraSlotDelay {
		return false
	}
	heldByMember := map[string]int{}
	m.eachSlot(func(o *slot) {
		if o.claimed {
			heldByMember[o.claimant.Holder]++
		}
	})
	for id, n := range heldByMember {
		if n < heldCount || n == heldCount && id < m.self.Holder {
			return false
		}
	}
	return true
}

// handleMarkerRead processes the marker that was read.
func (m *machine) handleMarkerRead(now time.Time, s *slot, r result) {
	if s.phase == releasing && m.storeReachable {
		m.handleReleaseCheck(now, s, r)
		return
	}
	if s.phase != checking || errors.Is(r.err, steer.ErrDown) {
		return
	}
	if errors.Is(r.err, steer.ErrNotFound) {
		s.markerRevision = 0
		s.phase = marking
		return
	}
	var found marker
	if r.err != nil || json.Unmarshal(r.entry.Value, &found) != nil || found.owner != m.self {
		m.reset(now, s)
		return
	}
	s.markerRevision = r.entry.Revision
	s.phase = marking // A marker of this process under an older lease is rewritten under the current one.
	if found.Lease == m.lease && m.lease != "" {
		s.phase = reading
	}
}

// handleMarkerWritten processes the outcome of writing the marker. Unless the write succeeded, the marker is read back.
func (m *machine) handleMarkerWritten(now time.Time, s *slot, r result) {
	if r.err == nil {
		s.markerRevision = r.revision
	}
	if s.phase != marking {
		if r.err == nil && s.phase == idle {
			s.phase = releasing // The slot was given up during the call.
			s.waitUntil = now
		}
		return
	}
	if errors.Is(r.err, steer.ErrDown) {
		return
	}
	s.phase = checking
	if r.err == nil {
		s.phase = reading
	}
}

// handleRecordRead processes the record that was read.
func (m *machine) handleRecordRead(now time.Time, s *slot, r result) {
	if s.phase != reading || errors.Is(r.err, steer.ErrDown) {
		return
	}
	var found record
	if r.err == nil && json.Unmarshal(r.entry.Value, &found) != nil {
		found = record{} // An unreadable record is replaced, with a generation above all known ones.
	}
	s.recordRevision = r.entry.Revision
	if found.owner == m.self && found.Generation == s.proposed && s.proposed > s.generation {
		m.startTakeover(now, s)
		return
	}
	s.restored = found.Generation < s.knownGeneration || found.Generation == s.knownGeneration && found.owner != s.claimant
	s.previousOwner = found.owner
	s.released = found.Released && !s.restored
	if s.restored {
		s.previousOwner = s.claimant
	}
	s.knownGeneration = max(s.knownGeneration, found.Generation)
	s.phase = raising
}

// startTakeover starts the wait for the answers of the members and the previous holder, after the generation was raised.
func (m *machine) startTakeover(now time.Time, s *slot) {
	s.generation = s.proposed
	s.knownGeneration = s.generation
	s.claimant = m.self
	s.retake = false
	s.phase = announcing
	s.takeoverTime = time.Time{}
	s.announced = map[string]announceState{}
	s.previousAnswered = s.released || s.previousOwner == m.self || s.previousOwner == (owner{})
	s.loansUntil = now
	s.raisedAt = now
	s.waitUntil = now.Add(takeoverWait)
	if s.restored && !s.previousAnswered {
		s.waitUntil = now.Add(restoredStoreWait) // The new marker does not prove that the lease of the claimant has ended.
	}
	if s.previousOwner == m.self && !s.restored && !now.Before(m.membershipSettledAt) {
		s.waitUntil = now // No other host held the slot in between.
	}
}

// reply is the outcome of a slot-taken message.
type reply struct {
	answer    slotTakenAnswer
	wasHolder bool // This process has held the slot, so loans from it may be outstanding.
}

// handleReleaseCheck verifies that the marker to remove belongs to this process. A restored store issues the same revisions
// again, so the revision alone may match the marker of another host.
func (m *machine) handleReleaseCheck(now time.Time, s *slot, r result) {
	var found marker
	if r.err != nil || json.Unmarshal(r.entry.Value, &found) != nil || found.owner != m.self {
		m.reset(now, s)
		s.retryAt = now.Add(extraSlotDelay)
		return
	}
	s.markerRevision = r.entry.Revision
	s.markerVerified = true
}

// chooseSlot returns the vacant slot to take next, or nil if there is none or a slot is still being taken or released.
func (m *machine) chooseSlot(now time.Time) *slot {
	var heldCount int
	var candidates []*slot
	for _, n := range m.order {
		s := m.slots[n]
		if s.phase != idle {
			heldCount++
			if s.phase != held {
				return nil
			}
			continue
		}
		if n < m.slotCount && !s.claimed && !now.Before(s.retryAt) {
			candidates = append(candidates, s)
		}
	}
	if at := slices.IndexFunc(candidates, func(s *slot) bool { return s.retake }); at >= 0 {
		return candidates[at]
	}
	if heldCount > 0 {
		candidates = slices.DeleteFunc(candidates, func(s *slot) bool { return !m.mayTakeExtraSlot(now, s, heldCount) })
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.random.IntN(len(candidates))]
}
