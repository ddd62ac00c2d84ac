package links

import (
	"context"
	"net/netip"
	"time"

	"github.com/coder/websocket"

	"monsoonhub.example/steer"
)

// Frame types and limits for tests that act as a peer.
const (
	MaxMessage     = maxMessage
	FrameHeartbeat = frameHeartbeat
	FrameRequest   = frameRequest
)

// OpenConn opens an authenticated connection to a host without serving it.
func OpenConn(ctx context.Context, c Config, address netip.AddrPort) (*websocket.Conn, error) {
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

// EncodeHeartbeat returns a heartbeat frame with the states of the sender and of members that it relays.
func EncodeHeartbeat(version uint64, members ...string) []byte {
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

// EncodeRequest returns a request frame, or an answer frame if the kind is empty.
func EncodeRequest(kind steer.MessageKind, body []byte) []byte {
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

// DecodeFrame decodes a frame as a link does. It ignores empty data and other frame types.
func DecodeFrame(data []byte) error {
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

// OfflineMesh is a mesh without goroutines whose links have no connection.
type OfflineMesh struct {
	mesh  *Mesh
	links map[string]*link
}

// NewOfflineMesh returns an OfflineMesh without links.
func NewOfflineMesh(c Config) (*OfflineMesh, error) {
	m, err := newMesh(c)
	if err != nil {
		return nil, err
	}
	m.refreshOwnState(time.Now())
	return &OfflineMesh{
		mesh:  m,
		links: map[string]*link{},
	}, nil
}

// AddLink adds a link to a host.
func (l *OfflineMesh) AddLink(hostID, dataCentre, region string) {
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

// Heartbeat builds the next heartbeat for a host.
func (l *OfflineMesh) Heartbeat(to string) ([]byte, error) { return l.mesh.buildHeartbeat(l.links[to]) }

// RefreshOwnState reads the state of the host as the loop does.
func (l *OfflineMesh) RefreshOwnState() { l.mesh.refreshOwnState(time.Now()) }

// HandleHeartbeat handles a heartbeat frame from a host.
func (l *OfflineMesh) HandleHeartbeat(from string, data []byte) error {
	h, err := decodeHeartbeat(data)
	if err != nil {
		return err
	}
	return l.mesh.handleHeartbeat(l.links[from], h, time.Now())
}

// Members publishes the member table and returns the published copy.
func (l *OfflineMesh) Members() []steer.Member {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	l.mesh.table.dirty = true
	l.mesh.table.urgent = true
	l.mesh.publish()
	return l.mesh.Members()
}

// scriptedConn is a messageConn that returns prepared messages.
type scriptedConn struct{ messages [][]byte }

func (s *scriptedConn) Read(context.Context) (websocket.MessageType, []byte, error) {
	if len(s.messages) == 0 {
		return 0, nil, context.Canceled
	}
	next := s.messages[0]
	s.messages = s.messages[1:]
	return websocket.MessageBinary, next, nil
}

func (s *scriptedConn) Write(context.Context, websocket.MessageType, []byte) error { return nil }

// Handshake reports whether one side of the handshake succeeds with prepared messages of the peer.
func (l *OfflineMesh) Handshake(dialler bool, messages ...[]byte) bool {
	s := &scriptedConn{
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

// NewClockSync returns a ClockSync with the lower bound of the offset that the handshake yields.
func NewClockSync(offset int64) *ClockSync {
	return &ClockSync{
		c: clockSync{
			offset:         offset,
			previousOffset: offset,
		},
	}
}

// Observe returns a lower bound of the time at which a heartbeat was sent.
func (c *ClockSync) Observe(now, sent, echo, echoDelay int64) int64 {
	return c.c.observe(now, sent, echo, echoDelay)
}

// Table exposes table.
type Table struct{ t *table }

// NewTable returns the table of a host named own in dc-0 of region-0.
func NewTable(delay func(string) time.Duration) *Table {
	return &Table{
		t: newTable(identity{
			HostID:     "own",
			DataCentre: "dc-0",
			Region:     "region-0",
		}, delay),
	}
}

// ApplyState applies the state of a member. State.Version is also used as the sequence number, and State.Stopping as the
// mark that the member has left.
func (t *Table) ApplyState(m steer.Member) {
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

// Expire expires members and returns the number of members removed.
func (t *Table) Expire(now time.Time) int {
	removed, _ := t.t.expire(now)
	return len(removed)
}

// Snapshot returns the members, nearest first.
func (t *Table) Snapshot() []steer.Member { return t.t.snapshot() }
