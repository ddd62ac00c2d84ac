package admit

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

const (
	// maxReports bounds the pools in the report of a host.
	maxReports = 32

	// maxPools bounds the pools of a host. A plan has a few services, in a few regions each.
	maxPools = 256
)

// Config configures a Controller.
type Config struct {
	Mode       steer.Mode
	Deployment steer.Deployment
	CalledFor  func(service string) bool // Reports whether the targets of a service report a work factor. Nil means never.
	Random     func() float64            // Returns a number in [0, 1). Nil means that of math/rand.
	Metrics    metrics.Registry          // Nil means a private registry.
}

// Request describes a request about which a Controller decides.
type Request struct {
	Service  string
	Region   string // Region in which the request runs.
	Customer string // Empty if the route is open.
	Priority int    // 0 is the most urgent.

	Objective time.Duration // Latency objective; 0 means none.
	TimeLeft  time.Duration
	TimeLost  time.Duration // Time that the caller has spent on attempts that were refused; 0 for its first attempt.
}

// Decision is the answer to a request. Level and Share explain a refusal.
type Decision struct {
	Refused    bool
	RetryAfter time.Duration
	Level      float64 // Fraction of the demand that is refused.
	Share      float64 // The customer's share of what was recently admitted in its priority.
}

// Outcome says what became of an attempt to serve an admitted request.
type Outcome struct {
	Kind      Kind
	Priority  int           // Of the request.
	Load      float64       // Requests per slot that the target held when it was chosen.
	LoadKnown bool          // The target has reported a load.
	Latency   time.Duration // Of an answer, since the request arrived.
	Objective time.Duration // Latency objective of the request; 0 means none.
}

// Kind is the kind of an Outcome.
type Kind uint8

// Kinds of outcomes.
const (
	Placed   Kind = iota // A target was found.
	NoRoom               // The placer refused the request for lack of capacity.
	Shed                 // The target refused the request for lack of capacity.
	Answered             // The target answered.
	TimedOut             // The target did not answer before the deadline.
)

// Controller decides about the requests of one host. It is safe for concurrent use.
type Controller struct {
	config Config
	mu     sync.Mutex
	pools  map[poolKey]*pool

	refused [priorityLevels]metrics.Counter
}

type poolKey struct{ service, region string }

// New returns a controller that knows nothing and admits everything.
func New(c Config) *Controller {
	if c.CalledFor == nil {
		c.CalledFor = func(string) bool { return false }
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	controller := &Controller{
		config: c,
		pools:  map[poolKey]*pool{},
	}
	for i := range controller.refused {
		controller.refused[i] = metrics.GetOrRegisterCounter("admit-refused-p"+strconv.Itoa(i), c.Metrics)
	}
	return controller
}

// InUse reports whether requests to a service may be refused. Decide and Observe need not be called otherwise.
func (c *Controller) InUse(service string) bool {
	return c.config.Mode.Enabled(c.config.Deployment.ContestedCapacity || c.config.CalledFor(service))
}

// pool returns the pool of a service and region, and creates it if needed. When there are too many pools, it drops all of them
// first. The caller holds the mutex.
func (c *Controller) pool(now time.Time, key poolKey) *pool {
	p := c.pools[key]
	if p == nil {
		if len(c.pools) >= maxPools {
			clear(c.pools)
		}
		p = newPool(now)
		c.pools[key] = p
	}
	return p
}

// Decide counts a request and decides whether it is admitted.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(now, poolKey{service: r.Service, region: r.Region})
	p.advance(now)
	level := priorityIndex(r.Priority)
	l := &p.priorities[level]
	u := l.customer(r.Customer)
	p.arrivals.add(now, serviceDecay, 1)
	late := p.late(&r)
	if late {
		l.late.add(now, customerDecay, 1)
	} else {
		l.demand.add(now, customerDecay, 1)
		u.demand.add(now, customerDecay, 1)
	}
	again := p.returnedTwice(l, &r, late)
	if p.admitted == 1 || c.config.Random() < p.chance(now, l, u, &r, late, again) {
		l.admitted.add(now, customerDecay, 1)
		u.admitted.add(now, customerDecay, 1)
		return Decision{}
	}
	c.refused[level].Inc(1)
	return Decision{
		Refused:    true,
		RetryAfter: p.retryAfter(now, r.TimeLeft, c.config.Random()),
		Level:      1 - p.admitted,
		Share:      l.share(now, u, p.peerAdmitted(now, level)),
	}
}

// Observe records what became of an admitted request.
func (c *Controller) Observe(now time.Time, service, region string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pool(now, poolKey{service: service, region: region}).observe(now, o)
}

// Level returns the admission level of a pool: the fraction of the demand that is refused.
func (c *Controller) Level(now time.Time, service, region string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pool(now, poolKey{service: service, region: region})
	p.advance(now)
	return 1 - p.admitted
}

// setLevelMetric sets the gauge of a pool's level, in thousandths.
func (c *Controller) setLevelMetric(key poolKey, level float64) {
	name := "admit-level-" + key.service + "-" + key.region
	metrics.GetOrRegisterGauge(name, c.config.Metrics).Update(int64(math.Round(1000 * level)))
}

// rate is an exponentially decaying count of events.
type rate struct {
	count float64
	at    time.Time
}

// value returns the decayed count.
func (r *rate) value(now time.Time, constant time.Duration) float64 {
	return r.count * decay(now.Sub(r.at), constant)
}

func (r *rate) add(now time.Time, constant time.Duration, n float64) {
	r.count, r.at = r.value(now, constant)+n, now
}

// perSecond returns the events per second of a count that decays with a time constant.
func (r *rate) perSecond(now time.Time, constant time.Duration) float64 {
	return r.value(now, constant) / constant.Seconds()
}
