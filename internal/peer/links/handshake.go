package links

import (
	"context"
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"

	"github.com/coder/websocket"
	"github.com/rotisserie/eris"
)

const (
	// handshakeTimeout bounds the time for opening a connection and doing the handshake.
	handshakeTimeout = 2 * time.Second

	nonceSize = 32

	// The labels keep the MAC of one side from being replayed as the MAC of the other side.
	labelAccept = "accept"
	labelDial   = "dial"
)

var (
	errWrongSecret    = errors.New("peer does not hold the fleet secret")
	errSelf           = errors.New("peer is this host")
	errOldIncarnation = errors.New("a newer incarnation of the peer is known")
	errDuplicateLink  = errors.New("peer already has a link to this host")
)

// messageConn is the subset of *websocket.Conn that the handshake uses.
type messageConn interface {
	Read(ctx context.Context) (websocket.MessageType, []byte, error)
	Write(ctx context.Context, kind websocket.MessageType, data []byte) error
}

// session is an authenticated connection.
type session struct {
	conn    *websocket.Conn
	peer    identity
	dialled bool  // This host dialled the connection.
	offset  int64 // Lower bound of the own clock minus the clock of the peer, in microseconds.
}

// deriveLinkKey derives the key of the handshake MACs from the fleet secret.
func deriveLinkKey(secret []byte) ([]byte, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "monsoonhub link 1", sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive link key")
	}
	return key, nil
}

// handshakeMAC returns the HMAC over a label, the hello messages of the dialling and the accepting host, and a clock value.
// Each variable-length field is preceded by its length.
func (m *Mesh) handshakeMAC(label string, dialHello, acceptHello []byte, clock int64) []byte {
	h := hmac.New(sha256.New, m.key)
	writeField := func(data []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(data)))
		h.Write(size[:])
		h.Write(data)
	}
	writeField([]byte(label))
	writeField(dialHello)
	writeField(acceptHello)
	var clockBytes [8]byte
	binary.BigEndian.PutUint64(clockBytes[:], uint64(clock))
	h.Write(clockBytes[:])
	return h.Sum(nil)
}

// newHello returns an encoded hello message with a new nonce, and the value of the own clock in it.
func (m *Mesh) newHello() ([]byte, int64, error) {
	clock := m.clock(time.Now())
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return nil, 0, eris.Wrap(err, "generate nonce")
	}
	data, err := encode(frameHello, hello{
		Protocol: protocolVersion,
		Identity: m.own,
		Nonce:    nonce,
		Clock:    clock,
	})
	return data, clock, err
}

// decodeHello decodes and validates the hello message of a peer.
func (m *Mesh) decodeHello(data []byte) (hello, error) {
	var h hello
	if err := decode(data, frameHello, &h); err != nil {
		return hello{}, err
	}
	if h.Protocol != protocolVersion || len(h.Nonce) != nonceSize || !h.Identity.valid() || !validClocks(h.Clock) {
		return hello{}, eris.Wrap(errMalformed, "hello")
	}
	return h, nil
}

// dialHandshake does the handshake of the dialling host. It returns once the peer has accepted the link.
func (m *Mesh) dialHandshake(ctx context.Context, conn messageConn) (*session, error) {
	ownHello, clock, err := m.newHello()
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, ownHello); err != nil {
		return nil, eris.Wrap(err, "send hello")
	}
	data, err := readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	var c challenge
	if err := decode(data, frameChallenge, &c); err != nil {
		return nil, err
	}
	if !hmac.Equal(c.MAC, m.handshakeMAC(labelAccept, ownHello, c.Hello, 0)) {
		return nil, errWrongSecret
	}
	h, err := m.decodeHello(c.Hello)
	if err != nil {
		return nil, err
	}
	if h.Identity.HostID == m.own.HostID {
		return nil, errSelf
	}
	now := m.clock(time.Now())
	proofFrame, err := encode(frameProof, proof{
		Clock: now,
		MAC:   m.handshakeMAC(labelDial, ownHello, c.Hello, now),
	})
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, proofFrame); err != nil {
		return nil, eris.Wrap(err, "send proof")
	}
	data, err = readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	if len(data) != 1 || data[0] != frameAccept {
		return nil, eris.Wrap(errMalformed, "accept")
	}
	return &session{
		peer:    h.Identity,
		dialled: true,
		offset:  clock - h.Clock,
	}, nil
}

// acceptHandshake does the handshake of the accepting host. The caller sends frameAccept once it has accepted the link.
func (m *Mesh) acceptHandshake(ctx context.Context, conn messageConn) (*session, error) {
	peerHello, err := readMessage(ctx, conn)
	if err != nil {
		return nil, err
	}
	h, err := m.decodeHello(peerHello)
	if err != nil {
		return nil, err
	}
	ownHello, clock, err := m.newHello()
	if err != nil {
		return nil, err
	}
	data, err := encode(frameChallenge, challenge{
		Hello: ownHello,
		MAC:   m.handshakeMAC(labelAccept, peerHello, ownHello, 0),
	})
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, eris.Wrap(err, "send challenge")
	}
	if data, err = readMessage(ctx, conn); err != nil {
		return nil, err
	}
	var p proof
	if err := decode(data, frameProof, &p); err != nil {
		return nil, err
	}
	if !validClocks(p.Clock) {
		return nil, eris.Wrap(errMalformed, "proof")
	}
	if !hmac.Equal(p.MAC, m.handshakeMAC(labelDial, peerHello, ownHello, p.Clock)) {
		return nil, errWrongSecret
	}
	if h.Identity.HostID == m.own.HostID {
		return nil, errSelf
	}
	return &session{
		peer:   h.Identity,
		offset: clock - p.Clock,
	}, nil
}

// readMessage reads one binary message that is not empty.
func readMessage(ctx context.Context, conn messageConn) ([]byte, error) {
	kind, data, err := conn.Read(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "read peer message")
	}
	if kind != websocket.MessageBinary || len(data) == 0 {
		return nil, eris.Wrap(errMalformed, "message type")
	}
	return data, nil
}
