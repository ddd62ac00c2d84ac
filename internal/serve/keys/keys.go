package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

const (
	// defaultGrace is the age of evidence beyond which a host is isolated (docs/design.md, section 7).
	defaultGrace = 3 * time.Second

	// retryIsolated is the Retry-After of a refusal for isolation.
	retryIsolated = time.Second

	// maxKeySize bounds the work of hashing a key, in bytes.
	maxKeySize = 512
)

// Causes of refusals. None of them holds the key.
var (
	errMissing   = errors.New("no key in the request")
	errUnknown   = errors.New("key is not known")
	errWithdrawn = errors.New("key is withdrawn")
	errEvidence  = errors.New("evidence that the configuration is the newest is too old")
)

// Config configures a Checker.
type Config struct {
	Source  steer.Source     // Gives the age of evidence.
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Checker implements steer.Authenticator. It is safe for concurrent use and takes no lock except once per
// configuration version.
type Checker struct {
	source   steer.Source
	logger   log.Logger
	refused  metrics.Counter
	isolated metrics.Counter
	current  atomic.Pointer[index]
	building sync.Mutex
}

var _ steer.Authenticator = (*Checker)(nil)

// New returns a Checker.
func New(c Config) *Checker {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Checker{
		source:   c.Source,
		logger:   log.With(c.Logger, "part", "keys"),
		refused:  metrics.GetOrRegisterCounter("key-refused", c.Metrics),
		isolated: metrics.GetOrRegisterCounter("key-isolated", c.Metrics),
	}
}

// Authenticate implements steer.Authenticator.
//
// A key that is not known on an isolated host is refused as isolated, because the host cannot tell whether a newer
// configuration has the key. A withdrawn key is never good again, so it is refused as such in any case.
func (c *Checker) Authenticate(now time.Time, config *steer.Config, service *steer.Service, key string) (*steer.Customer, error) {
	if key == "" {
		return nil, c.refuse(errMissing)
	}
	if len(key) > maxKeySize {
		return nil, c.refuse(errUnknown)
	}
	// The evidence may be about a version that came into force after the request had begun with an older one. So it is read
	// first, and the key is looked up in a version that the evidence covers.
	age := c.source.EvidenceAge(now)
	if current := c.source.Current(); current != nil && current.Version > config.Version {
		config = current
	}
	entry := c.index(config).find(sha256.Sum256([]byte(key)))
	if entry != nil && entry.withdrawn {
		return nil, c.refuse(errWithdrawn)
	}
	var customer *steer.Customer
	if entry != nil {
		customer = entry.customer
	}
	if Isolated(age, service, customer) {
		c.isolated.Inc(1)
		return nil, &steer.Refusal{
			Verdict:    steer.NotRun,
			Reason:     steer.ReasonIsolated,
			Status:     http.StatusServiceUnavailable,
			RetryAfter: retryIsolated,
			Cause:      errEvidence,
		}
	}
	if customer == nil {
		return nil, c.refuse(errUnknown)
	}
	return customer, nil
}

// Isolated reports whether a host with evidence of the age refuses keyed requests of the customer to the service. Both may
// be nil.
func Isolated(age time.Duration, service *steer.Service, customer *steer.Customer) bool {
	return age > GracePeriod(service, customer)
}

// GracePeriod returns the age of evidence up to which keyed requests of the customer to the service are served. Both may
// be nil. The longer grace of the two holds, and never less than the default.
func GracePeriod(service *steer.Service, customer *steer.Customer) time.Duration {
	grace := defaultGrace
	if service != nil {
		grace = max(grace, service.WhenIsolated)
	}
	if customer != nil {
		grace = max(grace, customer.WhenIsolated)
	}
	return grace
}

func (c *Checker) refuse(cause error) error {
	c.refused.Inc(1)
	return &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  steer.ReasonKey,
		Status:  http.StatusUnauthorized,
		Cause:   cause,
	}
}

// index returns the index of the configuration, or of a newer one if that is already built: a key withdrawn in the
// meantime must not pass.
func (c *Checker) index(config *steer.Config) *index {
	if x := c.current.Load(); x.covers(config) {
		return x
	}
	c.building.Lock()
	defer c.building.Unlock()
	if x := c.current.Load(); x.covers(config) {
		return x
	}
	x := newIndex(config)
	c.current.Store(x)
	if x.shared > 0 {
		_ = level.Error(c.logger).Log("msg", "Keys used by several customers are refused.", "count", x.shared, "version", config.Version)
	}
	return x
}

// index finds the customer of a key digest. It is immutable.
type index struct {
	config  *steer.Config
	entries map[uint64][]entry // By the first 8 bytes of the digest.
	shared  int                // Digests that several customers have.
}

type entry struct {
	digest    [sha256.Size]byte
	customer  *steer.Customer
	withdrawn bool
}

func newIndex(config *steer.Config) *index {
	x := &index{
		config:  config,
		entries: make(map[uint64][]entry),
	}
	for _, cu := range config.Customers {
		for _, k := range cu.Keys {
			x.add(cu, k)
		}
	}
	return x
}

// add enters a key. A digest that is withdrawn once, or that two customers have, is refused for all of them, since it
// cannot show whose request it is.
func (x *index) add(customer *steer.Customer, k steer.Key) {
	prefix := binary.BigEndian.Uint64(k.Digest[:])
	for i := range x.entries[prefix] {
		e := &x.entries[prefix][i]
		if e.digest != k.Digest {
			continue
		}
		if e.customer != customer {
			x.shared++
			e.withdrawn = true
		}
		e.withdrawn = e.withdrawn || k.Withdrawn
		return
	}
	x.entries[prefix] = append(x.entries[prefix], entry{
		digest:    k.Digest,
		customer:  customer,
		withdrawn: k.Withdrawn,
	})
}

func (x *index) covers(config *steer.Config) bool {
	return x != nil && (x.config == config || x.config.Version > config.Version)
}

// find returns the entry of a digest, nil if there is none. The prefix only narrows the search; the whole digest is
// compared in constant time.
func (x *index) find(digest [sha256.Size]byte) *entry {
	list := x.entries[binary.BigEndian.Uint64(digest[:])]
	for i := range list {
		if subtle.ConstantTimeCompare(list[i].digest[:], digest[:]) == 1 {
			return &list[i]
		}
	}
	return nil
}
