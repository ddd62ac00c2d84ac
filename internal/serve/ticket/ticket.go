package ticket

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

const (
	// Lifetime is the time for which a ticket is valid (docs/design.md, section 8).
	Lifetime = 30 * time.Second

	// MaxTextSize bounds the text of a ticket, in bytes.
	MaxTextSize = 512

	// idSize is the size of a ticket ID in bytes. Random IDs of this size are unique and cannot be guessed.
	idSize = 16
)

// Causes of the *steer.Refusal that Table.Open returns.
var (
	errMalformed    = errors.New("ticket is malformed")
	errBadSignature = errors.New("ticket has a wrong signature")
)

// Ticket is the content of a ticket whose signature is verified.
type Ticket struct {
	ID          [idSize]byte  `cbor:"id"`
	Host        string        `cbor:"host"`        // Host that issued it.
	Incarnation uint64        `cbor:"incarnation"` // Process of the host that issued it.
	Service     string        `cbor:"service"`
	Expiry      time.Duration `cbor:"expiry"` // Time since the start of that process.
}

// signer signs and verifies tickets. All hosts derive the same key from the fleet secret, so that each can verify the
// tickets of the others.
type signer struct {
	key    []byte
	decode cbor.DecMode
}

func newSigner(secret []byte) (*signer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "monsoonhub ticket 1", sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive ticket key")
	}
	decode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
	}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "configure CBOR")
	}
	return &signer{
		key:    key,
		decode: decode,
	}, nil
}

func (s *signer) mac(payload []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(payload)
	return m.Sum(nil)
}

// seal returns the text of a ticket: URL-safe base64 of the CBOR payload followed by its HMAC-SHA-256.
func (s *signer) seal(t Ticket) (string, error) {
	payload, err := cbor.Marshal(t)
	if err != nil {
		return "", eris.Wrap(err, "encode ticket")
	}
	return base64.RawURLEncoding.EncodeToString(append(payload, s.mac(payload)...)), nil
}

// open verifies and decodes a text that seal returned. It decodes the payload only after verifying the signature.
func (s *signer) open(text string) (Ticket, error) {
	if len(text) > MaxTextSize {
		return Ticket{}, refuse(errMalformed)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= sha256.Size {
		return Ticket{}, refuse(errMalformed)
	}
	payload := raw[:len(raw)-sha256.Size]
	if !hmac.Equal(s.mac(payload), raw[len(payload):]) {
		return Ticket{}, refuse(errBadSignature)
	}
	var t Ticket
	if err := s.decode.Unmarshal(payload, &t); err != nil {
		return Ticket{}, refuse(errMalformed)
	}
	return t, nil
}

// refuse returns the refusal of a text that no host has signed. Its verdict is steer.NotRun, since no request can have run
// with such a ticket.
func refuse(cause error) error {
	return &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  steer.ReasonTicket,
		Status:  http.StatusBadRequest,
		Cause:   cause,
	}
}

func newID() [idSize]byte {
	var id [idSize]byte
	rand.Read(id[:]) //nolint:errcheck // crypto/rand.Read never returns an error.
	return id
}
