package steer

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Dial opens a connection, as (*net.Dialer).DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// SlotClaim is a slot held by a host, with the generation that fences earlier holders.
type SlotClaim struct {
	Slot       int    `cbor:"slot"`
	Generation uint64 `cbor:"generation"`
}

// HostState is what a host tells its peers in each heartbeat.
type HostState struct {
	Version        uint64        `cbor:"version"`         // Configuration version in force.
	NewestVersion  uint64        `cbor:"newest-version"`  // Newest version known to be accepted.
	EvidenceAge    time.Duration `cbor:"evidence-age"`    // Age of the evidence that NewestVersion is the newest.
	StoreReachable bool          `cbor:"store-reachable"` // Whether the last store call succeeded.
	Stopping       bool          `cbor:"stopping"`
	OutOfQuota     bool          `cbor:"out-of-quota"` // Whether the host should get no new callers.
	Slots          []SlotClaim   `cbor:"slots"`
}

// Member is another host as seen from here.
type Member struct {
	ID          string
	DataCentre  string
	Region      string
	Incarnation uint64         // Rises with every start of the process.
	Address     netip.AddrPort // Caller listener.
	PeerAddress netip.AddrPort // Peer listener.
	State       HostState      // From the last heartbeat. EvidenceAge is the age at the time Heard.
	LastHeard   time.Time      // Own clock: earliest time at which the last heartbeat can have been sent.
	Suspect     bool           // Not heard for the suspicion time.
}

// MessageKind names a peer message.
type MessageKind string

// Kinds of peer messages.
const (
	KindBorrow       MessageKind = "borrow"
	KindReturn       MessageKind = "return"
	KindSlotTaken    MessageKind = "slot-taken"
	KindManifest     MessageKind = "manifest"
	KindManifestPart MessageKind = "part"
)

// PeerHandler answers one request from a peer. Request and answer are CBOR.
type PeerHandler func(ctx context.Context, from Member, request []byte) ([]byte, error)

// Peers is the authenticated transport between hosts, with the member table.
type Peers interface {
	// Members returns the other hosts heard recently, nearest first: own data centre, own region, others.
	Members() []Member
	// Call sends one request to a member and waits for the answer. An error does not tell whether it was handled.
	Call(ctx context.Context, to string, kind MessageKind, request []byte) ([]byte, error)
	// Handle installs the handler for a kind. Handlers are installed before the first message arrives.
	Handle(kind MessageKind, handler PeerHandler)
}
