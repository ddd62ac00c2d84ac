package relay

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
)

// Causes of refusals of forwarded requests.
var (
	errMAC             = errors.New("forwarded request has a wrong signature")
	errStale           = errors.New("send time of the forwarded request differs too much from the clock of this host")
	errReplayed        = errors.New("forwarded request was received before")
	errReplayCacheFull = errors.New("replay cache is full")
)

// signedHeaders are the headers covered by the HMAC of a forwarded request. It also covers the method, the path with query
// and the ID of the receiving host.
var signedHeaders = []string{
	headerRequestID, headerCustomer, headerDeadline, headerTicket, headerForwardFrom, headerForwardKind,
	headerForwardTime, headerForwardNonce,
}

// signer signs and verifies forwarded requests with a key derived from the fleet secret.
type signer struct {
	key  []byte
	host string
}

func newSigner(secret []byte, host string) (*signer, error) {
	key, err := hkdf.Key(sha256.New, secret, nil, "monsoonhub forward 1", sha256.Size)
	if err != nil {
		return nil, eris.Wrap(err, "derive forward key")
	}
	return &signer{
		key:  key,
		host: host,
	}, nil
}

// sum returns the HMAC of a request to the host with ID to. Each field is preceded by its length, so that no two requests
// have the same input.
func (s *signer) sum(method, uri, to string, head http.Header) []byte {
	m := hmac.New(sha256.New, s.key)
	field := func(text string) {
		var size [4]byte
		binary.BigEndian.PutUint32(size[:], uint32(len(text)))
		m.Write(size[:])
		m.Write([]byte(text))
	}
	field(method)
	field(uri)
	field(to)
	for _, name := range signedHeaders {
		field(head.Get(name))
	}
	return m.Sum(nil)
}

// verify checks the HMAC of a forwarded request, and that no signed header occurs more than once.
func (s *signer) verify(r *http.Request) error {
	got, err := base64.RawURLEncoding.DecodeString(r.Header.Get(headerForwardMAC))
	if err != nil || !hmac.Equal(got, s.sum(r.Method, r.RequestURI, s.host, r.Header)) {
		return refuseStatus(http.StatusForbidden, steer.ReasonBadRequest, errMAC)
	}
	for _, name := range signedHeaders {
		if len(r.Header[name]) > maxHeaderValues {
			return refuseStatus(http.StatusForbidden, steer.ReasonBadRequest, errDuplicateHeader)
		}
	}
	return nil
}

// replayShards is the number of shards of the replay cache, each with its own lock.
const replayShards = 16

// replayCache remembers the signatures of forwarded requests for at least two windows, because a request is accepted from
// one window before its send time until one window after it. It is safe for concurrent use.
type replayCache struct {
	shards [replayShards]replayShard
}

// replayShard holds the signatures of one shard in two generations.
type replayShard struct {
	mu        sync.Mutex
	limit     int       // Maximum number of signatures in a generation.
	rotatedAt time.Time // Start of the current generation.
	current   map[[sha256.Size]byte]struct{}
	previous  map[[sha256.Size]byte]struct{}
}

func newReplayCache(limit int) *replayCache {
	c := &replayCache{}
	for i := range c.shards {
		c.shards[i].limit = max(limit/replayShards/2, 1)
		c.shards[i].current = make(map[[sha256.Size]byte]struct{})
	}
	return c
}

// add stores a signature. It fails if the signature is already stored or the current generation is full.
func (c *replayCache) add(now time.Time, mac [sha256.Size]byte, window time.Duration) error {
	s := &c.shards[int(mac[0])%replayShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rotatedAt) > 2*window {
		s.previous = s.current
		if now.Sub(s.rotatedAt) > 4*window {
			s.previous = nil
		}
		s.current = make(map[[sha256.Size]byte]struct{})
		s.rotatedAt = now
	}
	_, inCurrent := s.current[mac]
	_, inPrevious := s.previous[mac]
	if inCurrent || inPrevious {
		return refuseStatus(http.StatusForbidden, steer.ReasonBadRequest, errReplayed)
	}
	if len(s.current) >= s.limit {
		return refuse(steer.NotRun, steer.ReasonBounds, errReplayCacheFull)
	}
	s.current[mac] = struct{}{}
	return nil
}
