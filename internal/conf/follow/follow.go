package follow

import (
	"context"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

// Defaults of a Config.
const (
	// The call limit and the stale age together let a host notice a hanging store, and tell its peers in a heartbeat,
	// before its evidence reaches the default grace of 3 s: 1 s + 0.3 s jitter + 0.8 s + 0.5 s.
	defaultCallLimit  = 800 * time.Millisecond
	defaultStaleAfter = time.Second

	// The evidence of a watch is as old as its wait when it returns. With heartbeats every 500 ms it has to reach the
	// other hosts of the data centre before it is older than the stale age.
	defaultWatchWait = 200 * time.Millisecond

	defaultInterval = 100 * time.Millisecond
)

// NoEvidence is the age of evidence that does not exist.
const NoEvidence = time.Duration(math.MaxInt64)

// Config holds the settings of a Follower.
type Config struct {
	Host       string      // Id of this host.
	DataCentre string      // Data centre of this host.
	Region     string      // Region of this host.
	Store      steer.Store // The platform's store.
	Peers      steer.Peers // New installs the handlers of manifest and part.
	Seed       uint64      // Seed of the jitter; the host id is mixed in.

	CallTimeout        time.Duration // Longest time for one call; default 800 ms. It grows to 5 s while the store fails.
	WatchWait          time.Duration // Wait of one watch; default 200 ms.
	StaleAfter         time.Duration // Age of evidence after which this host reads the store itself; default 1 s.
	StartupPeerWait    time.Duration // Longest wait of a starting host for a peer that has the version; 0 means none.
	MemberPollInterval time.Duration // Time between two looks at the members; default 100 ms.

	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// State is what the heartbeat says about the configuration.
type State struct {
	Version        uint64        // Version in force; 0 before the first.
	NewestVersion  uint64        // Newest version known to be accepted.
	EvidenceAge    time.Duration // Age of the evidence that NewestVersion is the newest; NoEvidence without any.
	StoreReachable bool          // Whether the last store call succeeded.
}

// inForce is the configuration in force with the channel that announces the next one.
type inForce struct {
	config  *steer.Config
	changed chan struct{}
}

// Follower keeps the configuration in force. It implements steer.Source.
type Follower struct {
	Config
	logger  log.Logger
	start   time.Time
	cancel  context.CancelFunc
	work    sync.WaitGroup
	builder *files.Builder  // Used by the fetching goroutine only, as is invalid.
	invalid *manif.Manifest // Last manifest that could not be assembled; trying again would give the same error.

	current atomic.Pointer[inForce]
	fresh   atomic.Int64 // Time of the evidence for Current in nanoseconds after start, 0 without any.

	storeCalls atomic.Int32
	peerCalls  atomic.Int32

	wakeReader  chan struct{}
	wakeFetcher chan struct{}

	mu       sync.Mutex
	random   *rand.Rand
	manifest *manif.Manifest // In force, nil before the first.
	encoded  []byte          // Encoding of manifest.
	bodies   map[string][]byte
	newest   uint64
	newestAt time.Time       // Evidence for newest.
	behind   time.Time       // When newest first exceeded the version in force.
	target   *manif.Manifest // From the store, to be fetched.
	reading  reading
	warned   string    // Last warning of the fetching goroutine.
	warnedAt time.Time // Its time.
}

var _ steer.Source = (*Follower)(nil)

// New starts a Follower. Close ends it.
func New(c Config) *Follower {
	c = withDefaults(c)
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(c.Host))
	f := &Follower{
		Config:      c,
		logger:      log.With(c.Logger, "part", "follow"),
		start:       time.Now(),
		builder:     files.NewBuilder(),
		wakeReader:  make(chan struct{}, 1),
		wakeFetcher: make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(c.Seed, hash.Sum64())),
		bodies:      map[string][]byte{},
	}
	f.current.Store(&inForce{
		changed: make(chan struct{}),
	})
	f.reading.jitter = f.drawJitter()
	c.Peers.Handle(steer.KindManifest, f.serveManifest)
	c.Peers.Handle(steer.KindManifestPart, f.servePart)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.work.Go(func() { f.observe(ctx) })
	f.work.Go(func() { f.read(ctx) })
	f.work.Go(func() { f.fetch(ctx) })
	return f
}

func withDefaults(c Config) Config {
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallLimit
	}
	if c.WatchWait <= 0 {
		c.WatchWait = defaultWatchWait
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = defaultStaleAfter
	}
	if c.MemberPollInterval <= 0 {
		c.MemberPollInterval = defaultInterval
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Current returns the configuration in force, nil before the first one.
func (f *Follower) Current() *steer.Config {
	return f.current.Load().config
}

// Changed returns a channel that is closed when a configuration newer than Current comes into force. A caller that takes
// the channel before it reads Current misses no change.
func (f *Follower) Changed() <-chan struct{} {
	return f.current.Load().changed
}

// EvidenceAge returns the age of the freshest evidence that Current includes everything accepted until then; NoEvidence
// without any. It takes no lock.
func (f *Follower) EvidenceAge(now time.Time) time.Duration {
	at := f.fresh.Load()
	if at == 0 {
		return NoEvidence
	}
	return max(0, now.Sub(f.start)-time.Duration(at))
}

// State returns what the heartbeat says about the configuration.
func (f *Follower) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		Version:        f.version(),
		NewestVersion:  f.newest,
		EvidenceAge:    NoEvidence,
		StoreReachable: f.reading.reachable,
	}
	if !f.newestAt.IsZero() {
		s.EvidenceAge = max(0, now.Sub(f.newestAt))
	}
	if own := f.EvidenceAge(now); own < s.EvidenceAge {
		// Only a store restored to an older copy gives fresher evidence for an older version.
		s.NewestVersion = s.Version
		s.EvidenceAge = own
	}
	return s
}

// version is called with the lock held.
func (f *Follower) version() uint64 {
	if f.manifest == nil {
		return 0
	}
	return f.manifest.Version
}

// Close stops following and waits until the goroutines have ended, calls under way included, or ctx is done.
func (f *Follower) Close(ctx context.Context) error {
	f.cancel()
	done := make(chan struct{})
	go func() {
		f.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "close follower")
	}
}

func (f *Follower) count(name string) {
	metrics.GetOrRegisterCounter(name, f.Metrics).Inc(1)
}

// wake sends a signal that is not lost and does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep returns false when ctx is done.
func sleep(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	case <-timer.C:
		return true
	}
}

// maxCalls bounds the abandoned calls to a store or to peers that ignore their context.
const maxCalls = 32

var errBusy = eris.New("too many calls without an answer")

// call bounds a call even if it ignores its context; its answer is then dropped.
func call[T any](ctx context.Context, f *Follower, open *atomic.Int32, limit time.Duration,
	do func(context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	if open.Add(1) > maxCalls {
		open.Add(-1)
		return none, errBusy
	}
	one, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	done := make(chan answer, 1)
	f.work.Go(func() {
		defer open.Add(-1)
		value, err := do(one)
		done <- answer{
			value: value,
			err:   err,
		}
	})
	select {
	case a := <-done:
		return a.value, a.err
	case <-one.Done():
		return none, one.Err()
	}
}
