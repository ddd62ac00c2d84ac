package links

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"monsoonhub.example/steer"
)

// Frames for tests that act as a peer.
const (
	MaxMessage     = maxMessage
	FrameHeartbeat = frameHeartbeat
	FrameRequest   = frameRequest
)

// Raw opens an authenticated connection without serving it.
func Raw(ctx context.Context, c Config, address netip.AddrPort) (*websocket.Conn, error) {
	m, err := newMesh(c)
	if err != nil {
		return nil, err
	}
	s, err := m.openSession(ctx, address)
	if err != nil {
		return nil, err
	}
	return s.conn, nil
}

func must(data []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return data
}

// Heartbeat returns a frame with the state of a sender and of members that it relays.
func Heartbeat(version uint64, members ...string) []byte {
	h := heartbeat{
		Sent: 1,
	}
	for i, id := range append([]string{""}, members...) {
		h.States = append(h.States, wireState{
			Number:   uint64(i),
			Sequence: 1,
			Version:  version,
		})
		h.Ages = append(h.Ages, int64(i), 0, 0)
		if i > 0 {
			h.Members = append(h.Members, numberedMember{
				Number: uint64(i),
				Identity: identity{
					HostID:      id,
					DataCentre:  "dc-0",
					Incarnation: 1,
				},
			})
		}
	}
	return must(encode(frameHeartbeat, h))
}

// Request returns a frame with one call, or with one answer if the kind is empty.
func Request(kind steer.MessageKind, body []byte) []byte {
	if kind == "" {
		return must(encode(frameAnswer, answer{
			Body: body,
		}))
	}
	return must(encode(frameRequest, request{
		Kind: kind,
		Body: body,
	}))
}

// Codec decodes any frame as a link does.
func Codec(data []byte) error {
	var err error
	switch {
	case len(data) == 0:
	case data[0] == frameHeartbeat:
		_, err = decodeHeartbeat(data)
	case data[0] == frameRequest:
		err = decode(data, frameRequest, &request{})
	case data[0] == frameAnswer:
		err = decode(data, frameAnswer, &answer{})
	}
	return err
}

// Loose is a mesh without goroutines and with links that have no connection.
type Loose struct {
	mesh  *Mesh
	links map[string]*link
}

// NewLoose returns a Loose.
func NewLoose(c Config) (*Loose, error) {
	m, err := newMesh(c)
	if err != nil {
		return nil, err
	}
	m.refreshOwnState(time.Now())
	return &Loose{
		mesh:  m,
		links: map[string]*link{},
	}, nil
}

// Join adds a link to a host.
func (l *Loose) Join(hostID, dataCentre, region string) {
	now := time.Now()
	n := newLink(l.mesh, &session{
		peer: identity{
			HostID:      hostID,
			DataCentre:  dataCentre,
			Region:      region,
			Incarnation: 1,
		},
	}, now)
	l.links[hostID] = n
	l.mesh.links[hostID] = n
}

// Beat builds the next heartbeat for a host.
func (l *Loose) Beat(to string) ([]byte, error) { return l.mesh.buildHeartbeat(l.links[to]) }

// Look takes the own state as the loop does.
func (l *Loose) Look() { l.mesh.refreshOwnState(time.Now()) }

// Take takes a frame from a host.
func (l *Loose) Take(from string, data []byte) error {
	h, err := decodeHeartbeat(data)
	if err != nil {
		return err
	}
	return l.mesh.handleHeartbeat(l.links[from], h, time.Now())
}

// Members publishes the member table and returns it.
func (l *Loose) Members() []steer.Member {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	l.mesh.table.dirty = true
	l.mesh.table.urgent = true
	l.mesh.publish()
	return l.mesh.Members()
}

// script is a stream with prepared messages.
type script struct{ messages [][]byte }

func (s *script) Read(context.Context) (websocket.MessageType, []byte, error) {
	if len(s.messages) == 0 {
		return 0, nil, context.Canceled
	}
	next := s.messages[0]
	s.messages = s.messages[1:]
	return websocket.MessageBinary, next, nil
}

func (s *script) Write(context.Context, websocket.MessageType, []byte) error { return nil }

// Shake reports whether one side of the handshake takes prepared messages.
func (l *Loose) Shake(dialler bool, messages ...[]byte) bool {
	s := &script{
		messages: messages,
	}
	var err error
	if dialler {
		_, err = l.mesh.dialHandshake(context.Background(), s)
	} else {
		_, err = l.mesh.acceptHandshake(context.Background(), s)
	}
	return err == nil
}

// ClockSync exposes clockSync. Times are in microseconds.
type ClockSync struct{ c clockSync }

// NewClockSync starts from the bound that the handshake gave.
func NewClockSync(offset int64) *ClockSync {
	return &ClockSync{
		c: clockSync{
			offset:         offset,
			previousOffset: offset,
		},
	}
}

// Arrived returns the time at or before which a heartbeat was sent.
func (c *ClockSync) Arrived(now, sent, echo, held int64) int64 {
	return c.c.observe(now, sent, echo, held)
}

// Table exposes table.
type Table struct{ t *table }

// NewTable returns the table of a host in dc-0 of region-0.
func NewTable(delay func(string) time.Duration) *Table {
	return &Table{
		t: newTable(identity{
			HostID:     "own",
			DataCentre: "dc-0",
			Region:     "region-0",
		}, delay),
	}
}

// Report takes the state of a member, whose State.Version is the sequence number too. A stopping one has left.
func (t *Table) Report(m steer.Member) {
	e := t.t.entryFor(identity{
		HostID:      m.ID,
		DataCentre:  m.DataCentre,
		Region:      m.Region,
		Incarnation: m.Incarnation,
	}, m.LastHeard, m.LastHeard)
	if e == nil {
		return
	}
	s := toWireState(m.State, m.State.Stopping)
	s.Sequence = m.State.Version
	t.t.applyState(e, &s, m.LastHeard, m.State.EvidenceAge)
}

// Expire returns the number of members removed.
func (t *Table) Expire(now time.Time) int {
	removed, _ := t.t.expire(now)
	return len(removed)
}

// Snapshot returns the members.
func (t *Table) Snapshot() []steer.Member { return t.t.snapshot() }
