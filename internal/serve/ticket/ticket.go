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

	// idSize makes ids unguessable and unique, in bytes.
	idSize = 16
)

// Errors of Open, wrapped in a *steer.Refusal.
var (
	errMalformed = errors.New("ticket is malformed")
	errForged    = errors.New("ticket has a wrong signature")
)

// Ticket is the verified content of a ticket.
type Ticket struct {
	ID          [idSize]byte  `cbor:"id"`
	Host        string        `cbor:"host"`        // Owner host.
	Incarnation uint64        `cbor:"incarnation"` // Owner process.
	Service     string        `cbor:"service"`
	Expiry      time.Duration `cbor:"expiry"` // Since the start of the owner process.
}

// signer signs and opens tickets. Every host of the fleet has the same key.
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

func (s *signer) sum(payload []byte) []byte {
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
	return base64.RawURLEncoding.EncodeToString(append(payload, s.sum(payload)...)), nil
}

// open is the inverse of seal. Nothing is decoded before the signature is verified.
func (s *signer) open(text string) (Ticket, error) {
	if len(text) > MaxTextSize {
		return Ticket{}, refuse(errMalformed)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) <= sha256.Size {
		return Ticket{}, refuse(errMalformed)
	}
	payload := raw[:len(raw)-sha256.Size]
	if !hmac.Equal(s.sum(payload), raw[len(payload):]) {
		return Ticket{}, refuse(errForged)
	}
	var t Ticket
	if err := s.decode.Unmarshal(payload, &t); err != nil {
		return Ticket{}, refuse(errMalformed)
	}
	return t, nil
}

// refuse returns a refusal of a ticket that no host has signed, so that nothing can have run under it.
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
	rand.Read(id[:]) //nolint:errcheck // It never fails (crypto/rand).
	return id
}
