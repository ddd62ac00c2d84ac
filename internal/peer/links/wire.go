package links

import (
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	// maxMessage bounds a message between hosts, in bytes. A section of the configuration has up to 900 KB.
	maxMessage = 2 << 20

	// maxFrameOverhead bounds what a frame adds to the body of a request or an answer, in bytes.
	maxFrameOverhead = 1 << 10

	// maxHandshakeMessage bounds the messages of a peer that has not yet proved that it holds the fleet secret, in bytes.
	maxHandshakeMessage = 4 << 10

	// maxStringLength bounds a host id, data centre, region, message kind or failure text, in bytes.
	maxStringLength = 256

	// maxMemberNumbers bounds the member numbers that one side of a link assigns. A link that runs out of numbers is
	// closed and opened again.
	maxMemberNumbers = 1 << 16

	// maxQueries bounds the members whose state a heartbeat asks for.
	maxQueries = 64

	// maxClockValue bounds the clock values of peers, in microseconds, so that sums of them cannot overflow.
	maxClockValue = 1 << 50

	// protocolVersion is incremented with every incompatible change of the messages.
	protocolVersion = 1
)

// Frame types. A frame is one byte with its type, followed by CBOR.
const (
	frameHello byte = iota + 1
	frameChallenge
	frameProof
	frameAccept
	frameHeartbeat
	frameRequest
	frameAnswer
)

var errMalformed = eris.New("peer message is malformed")

// identity identifies one process of a host and holds its addresses.
type identity struct {
	_           struct{} `cbor:",toarray"`
	HostID      string
	DataCentre  string
	Region      string
	Incarnation uint64
	Address     netip.AddrPort
	PeerAddress netip.AddrPort
}

// hello is the first message of each side of the handshake.
type hello struct {
	_        struct{} `cbor:",toarray"`
	Protocol uint64
	Identity identity
	Nonce    []byte
	Clock    int64 // Clock of the sender, in microseconds.
}

// challenge is the reply of the accepting host: its hello message and a MAC that proves that it holds the fleet secret.
type challenge struct {
	_     struct{} `cbor:",toarray"`
	Hello []byte
	MAC   []byte
}

// proof is the last message of the dialling host. Its MAC proves that this host holds the fleet secret.
type proof struct {
	_     struct{} `cbor:",toarray"`
	Clock int64    // Clock of the sender, in microseconds.
	MAC   []byte
}

// heartbeat carries the state of the sender, which has member number 0, and the states of members that the sender
// relays. An identity is sent once on a link and a state once after each change; both are then referred to by the member
// number, because a fleet of 470 hosts would otherwise repeat them twice a second.
type heartbeat struct {
	_         struct{} `cbor:",toarray"`
	Sent      int64    // Clock of the sender, in microseconds.
	Echo      int64    // Sent of the last heartbeat that the sender received on this link; 0 if none.
	EchoDelay int64    // Microseconds between the receipt of that heartbeat and Sent.
	Members   []numberedMember
	States    []wireState
	Ages      []int64  // Triples: member number, age of the state, age of its evidence at that time; in ms, rounded up.
	Queries   []string // Ids of hosts whose state the sender asks for, because its own copy is stale.
}

// numberedMember assigns a number to a member on a link.
type numberedMember struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Identity identity
}

// wireState is the encoded form of steer.HostState without the age of the evidence.
type wireState struct {
	_             struct{} `cbor:",toarray"`
	Number        uint64
	Sequence      uint64 // Incremented with every change.
	Version       uint64
	NewestVersion uint64
	Flags         uint64
	Slots         []uint64 // Pairs of slot and generation.
}

const (
	flagStoreReachable uint64 = 1 << iota
	flagStopping
	flagLeft // The process has closed its links.
)

// request is a call from one host to another.
type request struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Kind    steer.MessageKind
	Timeout int64  // Microseconds for which the caller waits for the answer.
	Trace   []byte // Trace id, span id and trace flags; empty without a trace.
	Body    []byte
}

// answer is the result of a request.
type answer struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Failure string // Empty on success.
	Body    []byte
}

var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  8,
		MaxArrayElements: 3 * maxMemberNumbers,
	}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// encode returns v as a frame of the given type. It fails if the frame exceeds maxMessage.
func encode(frameType byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrap(err, "encode peer message")
	}
	if len(body) >= maxMessage {
		return nil, eris.Errorf("peer message of %d bytes is too large", len(body))
	}
	data := make([]byte, 0, len(body)+1)
	data = append(data, frameType)
	return append(data, body...), nil
}

// decode decodes a frame of the given type into v.
func decode(data []byte, frameType byte, v any) error {
	if len(data) == 0 || data[0] != frameType {
		return eris.Wrap(errMalformed, "frame type")
	}
	if err := decoder.Unmarshal(data[1:], v); err != nil {
		return eris.Wrap(err, "decode peer message")
	}
	return nil
}

// valid reports whether the required fields are set and no string is too long.
func (i identity) valid() bool {
	for _, name := range []string{i.HostID, i.DataCentre, i.Region} {
		if len(name) > maxStringLength {
			return false
		}
	}
	return i.HostID != "" && i.DataCentre != ""
}

// validClocks reports whether all clock values are within 0 and maxClockValue.
func validClocks(values ...int64) bool {
	for _, v := range values {
		if v < 0 || v > maxClockValue {
			return false
		}
	}
	return true
}

// decodeHeartbeat decodes and validates a heartbeat frame.
func decodeHeartbeat(data []byte) (*heartbeat, error) {
	h := &heartbeat{}
	if err := decode(data, frameHeartbeat, h); err != nil {
		return nil, err
	}
	if !validClocks(h.Sent, h.Echo, h.EchoDelay) || len(h.Ages)%3 != 0 || len(h.Queries) > maxQueries {
		return nil, eris.Wrap(errMalformed, "heartbeat")
	}
	for _, m := range h.Members {
		if m.Number == 0 || m.Number > maxMemberNumbers || !m.Identity.valid() {
			return nil, eris.Wrap(errMalformed, "member")
		}
	}
	for _, s := range h.States {
		if len(s.Slots)%2 != 0 {
			return nil, eris.Wrap(errMalformed, "slots")
		}
	}
	for i := 0; i < len(h.Ages); i += 3 {
		if h.Ages[i] < 0 || h.Ages[i+1] < 0 || h.Ages[i+2] < 0 {
			return nil, eris.Wrap(errMalformed, "age")
		}
	}
	return h, nil
}

// toWireState encodes a host state. It leaves the member number and the sequence at zero.
func toWireState(h steer.HostState, left bool) wireState {
	s := wireState{
		Version:       h.Version,
		NewestVersion: h.NewestVersion,
	}
	if h.StoreReachable {
		s.Flags |= flagStoreReachable
	}
	if h.Stopping {
		s.Flags |= flagStopping
	}
	if left {
		s.Flags |= flagLeft
	}
	for _, c := range h.Slots {
		s.Slots = append(s.Slots, uint64(max(0, c.Slot)), c.Generation)
	}
	return s
}

// hostState is the inverse of toWireState. It leaves the age of the evidence at zero.
func (s *wireState) hostState() steer.HostState {
	h := steer.HostState{
		Version:        s.Version,
		NewestVersion:  s.NewestVersion,
		StoreReachable: s.Flags&flagStoreReachable != 0,
		Stopping:       s.Flags&flagStopping != 0,
	}
	for i := 0; i+1 < len(s.Slots); i += 2 {
		h.Slots = append(h.Slots, steer.SlotClaim{
			Slot:       int(min(s.Slots[i], math.MaxInt32)),
			Generation: s.Slots[i+1],
		})
	}
	return h
}

// toMillis converts an age to milliseconds. It rounds up, so that a relayed age is never too low.
func toMillis(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d-1)/time.Millisecond) + 1
}

// fromMillis converts milliseconds to a duration. A value out of range gives the longest duration.
func fromMillis(ms int64) time.Duration {
	if ms > int64(math.MaxInt64/time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(ms) * time.Millisecond
}
