package steer

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Dial opens a connection. It has the signature of (*net.Dialer).DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// SlotClaim is a slot that a host holds. Its generation fences earlier holders of the slot.
type SlotClaim struct {
	Slot       int    `cbor:"slot"`
	Generation uint64 `cbor:"generation"`
}

// HostState is the state that a host sends to its peers in each heartbeat.
type HostState struct {
	Version        uint64        `cbor:"version"`         // Configuration version in force.
	NewestVersion  uint64        `cbor:"newest-version"`  // Newest version that is known to be accepted.
	EvidenceAge    time.Duration `cbor:"evidence-age"`    // Age of the evidence that NewestVersion is the newest.
	StoreReachable bool          `cbor:"store-reachable"` // Whether the last store call succeeded.
	Stopping       bool          `cbor:"stopping"`
	OutOfQuota     bool          `cbor:"out-of-quota"` // Whether look-up answers should omit the host.
	Slots          []SlotClaim   `cbor:"slots"`
}

// Member is another host, as this host last heard from it.
type Member struct {
	ID          string
	DataCentre  string
	Region      string
	Incarnation uint64         // Increases with every start of the process.
	Address     netip.AddrPort // Caller listener.
	PeerAddress netip.AddrPort // Peer listener.
	State       HostState      // From the last heartbeat. EvidenceAge is the age at the time LastHeard.
	LastHeard   time.Time      // Earliest time, by the own clock, at which the last heartbeat can have been sent.
	Suspect     bool           // No heartbeat has arrived within the suspicion timeout.
}

// MessageKind is the kind of a message between hosts.
type MessageKind string

// Kinds of peer messages.
const (
	KindBorrow       MessageKind = "borrow"
	KindReturn       MessageKind = "return"
	KindSlotTaken    MessageKind = "slot-taken"
	KindManifest     MessageKind = "manifest"
	KindManifestPart MessageKind = "part"
)

// PeerHandler handles one request from a peer and returns the answer. Both are encoded in CBOR.
type PeerHandler func(ctx context.Context, from Member, request []byte) ([]byte, error)

// Peers is the authenticated transport between hosts and their membership table.
type Peers interface {
	// Members returns the other hosts that were heard recently, those of the own data centre first, then those of the own
	// region, then all others.
	Members() []Member
	// Call sends a request to a member and waits for the answer. After an error the request may or may not have been handled.
	Call(ctx context.Context, to string, kind MessageKind, request []byte) ([]byte, error)
	// Handle installs the handler for a kind. All handlers must be installed before the first message arrives.
	Handle(kind MessageKind, handler PeerHandler)
}
