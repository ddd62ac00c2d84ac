package links

import (
	"errors"
	"math"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	// heartbeatInterval is the time between heartbeats while the state of this host does not change.
	heartbeatInterval = 500 * time.Millisecond

	// tickInterval is the interval at which the state of this host is read. It is the minimum time between two heartbeats
	// that are sent because the state has changed.
	tickInterval = 50 * time.Millisecond

	// relayInterval is the time after which a relayed state that has not changed is repeated.
	relayInterval = time.Second

	// staleAfter is the age of entry.lastHeard from which other peers are asked for the state of a member that should have a
	// link to this host.
	staleAfter = 1100 * time.Millisecond

	// staleAfterRelayed is the same limit for a member that is heard through relays. It is above the age of a relayed state,
	// which is at most relayInterval plus heartbeatInterval, and leaves time for an answer before the member is suspect.
	staleAfterRelayed = 1750 * time.Millisecond

	// queriedPeers is the number of peers that are asked for a stale member. When all peers were asked, the answers in a
	// fleet of 120 hosts took 49 KB/s per host. Other peers are asked in the next second.
	queriedPeers = 3

	// maxIntroductions bounds the members that one heartbeat introduces because they joined, so that a fleet whose hosts all
	// start at the same time does not spend its time on introductions.
	maxIntroductions = 32

	// minQueryInterval is the minimum time between two selections of the peers that are asked.
	minQueryInterval = 100 * time.Millisecond

	// queryLifetime is the time for which the state of a member is relayed to a peer after the peer last asked for it.
	queryLifetime = 3 * time.Second
)

var (
	errLeft             = errors.New("peer has left")
	errNumbersExhausted = errors.New("link has assigned all its member numbers")
)

// ownState is the state of this host as last read.
type ownState struct {
	state       wireState
	evidenceAge time.Duration // At readAt.
	readAt      time.Time
}

// refreshOwnState reads the state of this host and reports whether a heartbeat is due because the state has changed.
func (m *Mesh) refreshOwnState(now time.Time) bool {
	current := steer.HostState{}
	if m.config.State != nil {
		current = m.config.State(now)
	}
	evidenceAge := max(0, current.EvidenceAge)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		current.Stopping = true
	}
	next := toWireState(current, m.closing)
	next.Sequence = m.ownState.state.Sequence
	changed := next.Sequence == 0 || !reflect.DeepEqual(next, m.ownState.state)
	if changed {
		next.Sequence++
	}
	m.ownState = ownState{
		state:       next,
		evidenceAge: evidenceAge,
		readAt:      now,
	}
	return changed
}

// buildHeartbeat builds the next heartbeat for a link. The writer calls it immediately before the write, so that the ages
// are correct however long the queue was.
func (m *Mesh) buildHeartbeat(l *link) ([]byte, error) {
	m.mu.Lock()
	now := time.Now()
	h := &heartbeat{
		Ages: make([]int64, 0, 3*(1+len(l.sentMembers)/4)),
	}
	sent := l.sentMembers[m.own.HostID]
	if sent.sequence != m.ownState.state.Sequence {
		sent.sequence = m.ownState.state.Sequence
		l.sentMembers[m.own.HostID] = sent
		h.States = append(h.States, m.ownState.state)
	}
	h.Ages = append(h.Ages, 0, toMillis(now.Sub(m.ownState.readAt)), toMillis(m.ownState.evidenceAge))
	m.addMembers(l, h, now)
	h.Queries = l.queries
	m.mu.Unlock()
	l.mu.Lock()
	h.Sent = m.clock(now)
	if l.clockSync.peerSent > 0 {
		h.Echo = l.clockSync.peerSent
		h.EchoDelay = max(0, h.Sent-l.clockSync.receivedAt)
	}
	l.mu.Unlock()
	if l.lastNumber >= maxMemberNumbers {
		return nil, errNumbersExhausted
	}
	m.metrics.heartbeatsSent.Inc(1)
	return encode(frameHeartbeat, h)
}

// addMembers adds the other members of which the peer should be informed to a heartbeat: members that joined since the last
// heartbeat, members that the peer asked for, and members whose states are relayed to it.
func (m *Mesh) addMembers(l *link, h *heartbeat, now time.Time) {
	if l.joinsEpoch != m.table.joinsEpoch {
		l.joinsEpoch, l.joinsSent = m.table.joinsEpoch, 0
	}
	for l.joinsSent < len(m.table.joins) && len(h.Members) < maxIntroductions {
		e := m.table.joins[l.joinsSent]
		if m.table.members[e.identity.HostID] == e {
			m.addMember(l, h, e, now)
		}
		l.joinsSent++
	}
	for id, queriedAt := range l.peerQueries {
		if now.Sub(queriedAt) >= queryLifetime {
			delete(l.peerQueries, id)
			continue
		}
		if e := m.table.members[id]; e != nil {
			m.addMember(l, h, e, now)
		}
	}
	if m.config.RemoteLinks == 0 || l.peer.DataCentre == m.own.DataCentre {
		return
	}
	for _, e := range m.table.members {
		if e.identity.DataCentre == m.own.DataCentre && l.peerQueries[e.identity.HostID].IsZero() {
			m.addMember(l, h, e, now)
		}
	}
}

// addMember adds the identity and the state of a member to a heartbeat, if the peer needs them. Each process of a member is
// introduced once on each link. Its state is repeated to peers that ask for it and, if not every host has a link
// to every other host, to hosts of other data centres.
func (m *Mesh) addMember(l *link, h *heartbeat, e *entry, now time.Time) {
	id := e.identity.HostID
	if id == l.peer.HostID || l.lastNumber >= maxMemberNumbers {
		return
	}
	t, known := l.sentMembers[id]
	introduced := known && t.incarnation == e.identity.Incarnation
	switch {
	case !introduced && (e.left || e.sequence == 0):
		return
	case !introduced && l.peerIncarnations[id] == e.identity.Incarnation && !m.repeatsState(l, e, now):
		return
	case !introduced:
		t = sentMember{
			number:      l.nextNumber(),
			incarnation: e.identity.Incarnation,
		}
		h.Members = append(h.Members, numberedMember{
			Number:   t.number,
			Identity: e.identity,
		})
	case !m.repeatsState(l, e, now) && !t.sentAt.Before(e.joinedAt):
		return
	case t.sequence == e.sequence && l.peerQueries[id].IsZero() && now.Sub(t.sentAt) < relayInterval-tickInterval:
		return
	}
	if t.sequence != e.sequence {
		s := toWireState(e.state, e.left)
		s.Number = t.number
		s.Sequence = e.sequence
		h.States = append(h.States, s)
	}
	h.Ages = append(h.Ages, int64(t.number), toMillis(now.Sub(e.lastHeard)), toMillis(e.evidenceAge))
	t.sequence = e.sequence
	t.sentAt = now
	l.sentMembers[id] = t
}

// repeatsState reports whether the state of a member is repeated on a link while it does not change.
func (m *Mesh) repeatsState(l *link, e *entry, now time.Time) bool {
	if queriedAt, ok := l.peerQueries[e.identity.HostID]; ok && now.Sub(queriedAt) < queryLifetime {
		return true
	}
	return m.config.RemoteLinks > 0 && l.peer.DataCentre != m.own.DataCentre &&
		e.identity.DataCentre == m.own.DataCentre && now.Sub(e.lastDirect) < removeAfter
}

// staleMembers returns the sorted ids of members whose states no longer arrive, at most maxQueries. If relayed is set,
// members of other data centres need not have a link to this host, and staleAfterRelayed applies to them.
func (t *table) staleMembers(now time.Time, relayed bool) []string {
	var list []string
	for id, e := range t.members {
		limit := staleAfter
		if relayed && e.identity.DataCentre != t.own.DataCentre {
			limit = staleAfterRelayed
		}
		if len(list) < maxQueries && !e.left && now.Sub(e.lastHeard) > limit {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// chooseQueryPeers selects the peers that are asked for the states of stale members, peers in the data centre of the member
// first. The caller holds the lock of the mesh.
func (m *Mesh) chooseQueryPeers(now time.Time) {
	staleMembers := m.table.staleMembers(now, m.config.RemoteLinks > 0)
	if now.Sub(m.queriesChosen) < minQueryInterval ||
		(slices.Equal(staleMembers, m.staleMembers) && now.Sub(m.queriesChosen) < heartbeatInterval) {
		return
	}
	previous := m.staleMembers
	m.staleMembers = staleMembers
	m.queriesChosen = now
	for _, l := range m.links {
		l.queries = nil
	}
	round := strconv.FormatInt(now.Unix(), 10)
	for _, id := range staleMembers {
		_, wasStale := slices.BinarySearch(previous, id)
		for _, l := range m.queryLinks(id, round) {
			l.queries = append(l.queries, id)
			if !wasStale {
				l.requestHeartbeat()
			}
		}
	}
}

// queryLinks returns the links over which a stale member is asked for. It ranks the links by a hash, so that each member and
// each round has its own selection.
func (m *Mesh) queryLinks(id, round string) []*link {
	dataCentre := m.table.members[id].identity.DataCentre
	var best [queriedPeers]*link
	var lowestRanks [queriedPeers]uint64
	for to, l := range m.links {
		if to == id {
			continue
		}
		rank := xxhash.Sum64String(id+"/"+to+"/"+round) >> 1
		if l.peer.DataCentre != dataCentre {
			rank += math.MaxInt64
		}
		for i := range best {
			if best[i] == nil || rank < lowestRanks[i] {
				best[i], l = l, best[i]
				lowestRanks[i], rank = rank, lowestRanks[i]
			}
			if l == nil {
				break
			}
		}
	}
	return slices.DeleteFunc(best[:], func(l *link) bool { return l == nil })
}

// nextNumber returns the next member number of the link.
func (l *link) nextNumber() uint64 {
	l.lastNumber++
	return l.lastNumber
}

// handleHeartbeat updates the member table from a heartbeat that was received on a link. An error ends the link.
func (m *Mesh) handleHeartbeat(l *link, h *heartbeat, now time.Time) error {
	m.metrics.heartbeatsReceived.Inc(1)
	l.mu.Lock()
	sent := m.start.Add(time.Duration(l.clockSync.observe(m.clock(now), h.Sent, h.Echo, h.EchoDelay)) * time.Microsecond)
	l.mu.Unlock()
	if err := l.recordMembers(h); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.HostID] != l {
		return nil
	}
	for _, n := range h.Members {
		l.peerIncarnations[n.Identity.HostID] = n.Identity.Incarnation
	}
	for _, id := range h.Queries {
		if _, known := l.peerQueries[id]; !known {
			l.requestHeartbeat()
		}
		l.peerQueries[id] = now
	}
	for i := 0; i < len(h.Ages); i += 3 {
		a := l.receivedMembers[uint64(h.Ages[i])]
		if a == nil || a.state == nil {
			return eris.Wrap(errMalformed, "age of an unknown state")
		}
		lastHeard := sent.Add(-fromMillis(h.Ages[i+1]))
		if now.Sub(lastHeard) >= removeAfter {
			continue
		}
		e := m.table.entryFor(a.identity, lastHeard, now)
		if e == nil {
			if h.Ages[i] == 0 {
				return errOldIncarnation
			}
			continue
		}
		if old := m.links[e.identity.HostID]; old != nil && old.peer.Incarnation < e.identity.Incarnation {
			m.dropLink(old)
		}
		if e.sequence == 0 {
			level.Info(m.logger).Log("msg", "Member joined.", "member", a.identity.HostID, "incarnation", a.identity.Incarnation)
		}
		m.table.applyState(e, a.state, lastHeard, fromMillis(h.Ages[i+2]))
		if h.Ages[i] == 0 {
			e.lastDirect = now
			if e.left {
				return errLeft
			}
		}
	}
	return nil
}

// recordMembers records the identities and states in a heartbeat by their member numbers.
func (l *link) recordMembers(h *heartbeat) error {
	if l.receivedMembers[0] == nil {
		l.receivedMembers[0] = &receivedMember{
			identity: l.peer,
		}
	}
	for _, n := range h.Members {
		l.receivedMembers[n.Number] = &receivedMember{
			identity: n.Identity,
		}
	}
	for i := range h.States {
		a := l.receivedMembers[h.States[i].Number]
		if a == nil {
			return eris.Wrap(errMalformed, "unknown member number")
		}
		a.state = &h.States[i]
	}
	return nil
}
