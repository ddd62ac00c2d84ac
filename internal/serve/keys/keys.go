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
	// defaultGracePeriod is the age of evidence beyond which a host is isolated (docs/design.md, section 7).
	defaultGracePeriod = 3 * time.Second

	// isolatedRetryAfter is the Retry-After of a refusal by an isolated host.
	isolatedRetryAfter = time.Second

	// maxKeySize is the maximum size of a key in bytes. It bounds the work of hashing.
	maxKeySize = 512
)

// Causes of refusals. They must not contain the key.
var (
	errMissing       = errors.New("no key in the request")
	errUnknown       = errors.New("key is not known")
	errWithdrawn     = errors.New("key is withdrawn")
	errStaleEvidence = errors.New("evidence that the configuration is the newest is too old")
)

// Config configures a Checker.
type Config struct {
	Source  steer.Source     // Provides the current configuration and the age of evidence.
	Logger  log.Logger       // Nil disables logging.
	Metrics metrics.Registry // Nil selects a private registry.
}

// Checker implements steer.Authenticator. It is safe for concurrent use. It takes a lock only to build the index of a new
// configuration.
type Checker struct {
	source   steer.Source
	logger   log.Logger
	refused  metrics.Counter
	isolated metrics.Counter
	current  atomic.Pointer[index]
	buildMu  sync.Mutex // Serialises the building of indexes.
}

var _ steer.Authenticator = (*Checker)(nil)

// New returns a Checker. Its index is built by the first request.
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
// An isolated host refuses an unknown key with steer.ReasonIsolated, because a newer configuration may contain it. A
// withdrawn key never becomes valid again, so it is always refused with steer.ReasonKey.
func (c *Checker) Authenticate(now time.Time, config *steer.Config, service *steer.Service, key string) (*steer.Customer, error) {
	if key == "" {
		return nil, c.refuse(errMissing)
	}
	if len(key) > maxKeySize {
		return nil, c.refuse(errUnknown)
	}
	// The evidence may be about a version that came into force after the request started with an older one. Read the
	// evidence first, then look the key up in the current version if it is newer, so that the evidence covers it.
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
			RetryAfter: isolatedRetryAfter,
			Cause:      errStaleEvidence,
		}
	}
	if customer == nil {
		return nil, c.refuse(errUnknown)
	}
	return customer, nil
}

// Isolated reports whether a host whose evidence has this age refuses keyed requests of the customer to the service.
// Customer and service may be nil.
func Isolated(age time.Duration, service *steer.Service, customer *steer.Customer) bool {
	return age > GracePeriod(service, customer)
}

// GracePeriod returns the maximum age of evidence at which keyed requests of the customer to the service are served. It is
// the longer period of the two, and at least the default. Customer and service may be nil.
func GracePeriod(service *steer.Service, customer *steer.Customer) time.Duration {
	grace := defaultGracePeriod
	if service != nil {
		grace = max(grace, service.WhenIsolated)
	}
	if customer != nil {
		grace = max(grace, customer.WhenIsolated)
	}
	return grace
}

// refuse counts a refused key and returns the refusal.
func (c *Checker) refuse(cause error) error {
	c.refused.Inc(1)
	return &steer.Refusal{
		Verdict: steer.NotRun,
		Reason:  steer.ReasonKey,
		Status:  http.StatusUnauthorized,
		Cause:   cause,
	}
}

// index returns the index of the configuration, or of a newer one if that is already built, so that a key that the newer
// one has withdrawn is not accepted.
func (c *Checker) index(config *steer.Config) *index {
	if x := c.current.Load(); x.covers(config) {
		return x
	}
	c.buildMu.Lock()
	defer c.buildMu.Unlock()
	if x := c.current.Load(); x.covers(config) {
		return x
	}
	x := newIndex(config)
	c.current.Store(x)
	if x.sharedKeys > 0 {
		_ = level.Error(c.logger).Log("msg", "Keys used by several customers are refused.", "count", x.sharedKeys, "version", config.Version)
	}
	return x
}

// index maps key digests to customers. It is immutable once built.
type index struct {
	config     *steer.Config
	entries    map[uint64][]entry // Keyed by the first 8 bytes of the digest.
	sharedKeys int                // Keys whose digest another customer already has.
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

// add adds a key of a customer. A digest that is withdrawn once, or that several customers have, is refused for all of
// them, since it does not identify the customer of a request.
func (x *index) add(customer *steer.Customer, k steer.Key) {
	prefix := binary.BigEndian.Uint64(k.Digest[:])
	for i := range x.entries[prefix] {
		e := &x.entries[prefix][i]
		if e.digest != k.Digest {
			continue
		}
		if e.customer != customer {
			x.sharedKeys++
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

// covers reports whether the index is of the configuration or of a newer version. A nil index covers nothing.
func (x *index) covers(config *steer.Config) bool {
	return x != nil && (x.config == config || x.config.Version > config.Version)
}

// find returns the entry of a digest, or nil if there is none. The lookup by prefix narrows the search; the whole digest is
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
