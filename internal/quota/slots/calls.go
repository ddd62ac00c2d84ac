package slots

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"monsoonhub.example/steer"
)

func (m *machine) key(prefix string, number int) string {
	return fmt.Sprintf("%s/%s/%d", prefix, m.dataCentre, number)
}

// next returns the store call to make now, if any. Only one call is under way at a time.
func (m *machine) next(now time.Time) call {
	if m.busy {
		return call{}
	}
	c := m.decide(now)
	m.busy = c.kind != callNone
	return c
}

func (m *machine) decide(now time.Time) call {
	active := m.active()
	if !m.stopping && m.lease != "" && active && !now.Before(m.renew) {
		return call{
			kind:  callRenew,
			lease: m.lease,
		}
	}
	if now.Before(m.retry) {
		return call{}
	}
	if m.stopping {
		return m.finish()
	}
	if m.lease != "" && !active && !now.Before(m.ends) {
		m.lease = ""
	}
	for _, n := range m.order {
		if c := m.step(now, m.slots[n]); c.kind != callNone {
			return c
		}
	}
	s := m.choose(now)
	if s == nil {
		return call{}
	}
	s.phase = checking
	s.previous = owner{}
	s.proposed = 0
	return m.step(now, s)
}

// active reports whether any slot needs the lease.
func (m *machine) active() bool {
	return slices.ContainsFunc(m.order, func(n int) bool { return m.slots[n].phase != idle })
}

// step returns the next call for a slot that is being taken or given up.
func (m *machine) step(now time.Time, s *slot) call {
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
		c.key = m.key("held", s.number)
	case marking:
		c.kind = callMark
		c.key = m.key("held", s.number)
		c.revision = s.marker
		c.lease = m.lease
		c.value = encode(marker{
			owner: m.self,
			Lease: m.lease,
		})
	case reading:
		c.kind = callRead
		c.key = m.key("slot", s.number)
	case raising:
		s.proposed = s.known + 1
		c.kind = callRaise
		c.key = m.key("slot", s.number)
		c.revision = s.record
		c.value = encode(record{
			owner:      m.self,
			Generation: s.proposed,
		})
	case leaving:
		c.key = m.key("held", s.number)
		c.revision = s.marker
		if !now.Before(s.wait) {
			c.kind = callCheck
		}
		if s.sure {
			c.kind = callUnmark
		}
	case idle, telling, held:
	}
	return c
}

// finish returns the next call of a planned stop.
func (m *machine) finish() call {
	for _, n := range m.order {
		s := m.slots[n]
		if s.phase != held {
			s.phase = idle // The marker goes with the lease.
			continue
		}
		return call{
			kind:     callFinish,
			slot:     n,
			key:      m.key("slot", n),
			revision: s.record,
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

// stopped reports whether a planned stop has given everything back.
func (m *machine) stopped() bool { return m.stopping && !m.busy && !m.active() && m.lease == "" }

// done takes in the outcome of a call.
func (m *machine) done(now time.Time, c call, r result) {
	m.busy = false
	m.reachable = !errors.Is(r.err, steer.ErrDown) && !errors.Is(r.err, steer.ErrUnknown)
	if errors.Is(r.err, steer.ErrLeaseLost) {
		m.lose(now)
		return
	}
	expected := r.err == nil || errors.Is(r.err, steer.ErrNotFound) || errors.Is(r.err, steer.ErrConflict)
	if !expected {
		m.retry = now.Add(retryWait/2 + m.jitter(retryWait))
	}
	switch c.kind {
	case callGrant, callRenew, callRevoke:
		m.leaseDone(now, c, r)
	case callCheck, callMark, callRead, callRaise, callUnmark, callFinish:
		m.slotDone(now, c, r)
	case callNone:
	}
}

// lose gives up all slots after the store said that the lease is gone. They are taken back if still vacant.
func (m *machine) lose(now time.Time) {
	m.lease = ""
	m.each(func(s *slot) {
		if s.phase == idle {
			return
		}
		retake := s.phase == held
		m.drop(now, s)
		s.retake = retake
		if retake {
			s.retry = now
		}
	})
}

func (m *machine) leaseDone(now time.Time, c call, r result) {
	if c.kind == callRevoke {
		if r.err == nil {
			m.lease = ""
		}
		return
	}
	if r.err != nil {
		m.renew = now.Add(retryWait/2 + m.jitter(retryWait))
		return
	}
	if c.kind == callRenew && !r.sent.Before(m.ends) {
		// Others may have held the slots since the lease ended, and a restored store may have brought the lease back.
		m.lose(now)
		return
	}
	if c.kind == callGrant {
		m.lease = r.lease
	}
	m.ends = r.sent.Add(LeaseTerm)
	m.renew = r.sent.Add(LeaseTerm / 3)
}

func (m *machine) slotDone(now time.Time, c call, r result) {
	s := m.slots[c.slot]
	switch c.kind {
	case callCheck:
		m.checked(now, s, r)
	case callMark:
		m.marked(now, s, r)
	case callRead:
		m.read(now, s, r)
	case callRaise:
		if s.phase != raising || errors.Is(r.err, steer.ErrDown) {
			return
		}
		s.phase = reading
		if r.err == nil {
			s.record = r.revision
			m.raised(now, s)
		}
	case callUnmark:
		s.sure = false
		if s.phase == leaving && m.reachable {
			m.drop(now, s)
			s.retry = now.Add(extraAfter)
		}
	case callFinish:
		if m.reachable {
			s.phase = idle
		}
	default:
	}
}

// stop starts a planned stop. Nothing may be spent from here on.
func (m *machine) stop() { m.stopping = true }

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types above always encode.
	}
	return data
}
