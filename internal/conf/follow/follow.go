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
	// The call timeout and the stale age together must let a host notice a hanging store and report it to its peers
	// before its evidence reaches the default grace period of 3 s. That takes 1 s until the evidence is stale, 0.3 s of
	// jitter, 0.8 s for the call and 0.5 s until the next heartbeat.
	defaultCallTimeout = 800 * time.Millisecond
	defaultStaleAfter  = time.Second

	// The evidence of a watch is as old as its wait when the watch returns. With heartbeats every 500 ms, it must reach the
	// other hosts of the data centre before it is older than the stale age.
	defaultWatchWait = 200 * time.Millisecond

	defaultMemberPollInterval = 100 * time.Millisecond
)

// NoEvidence is the evidence age when there is no evidence.
const NoEvidence = time.Duration(math.MaxInt64)

// Config holds the settings of a Follower.
type Config struct {
	Host       string      // Id of this host.
	DataCentre string      // Data centre of this host.
	Region     string      // Region of this host.
	Store      steer.Store // The platform's store.
	Peers      steer.Peers // Other hosts. New registers the handlers for manifest and part requests.
	Seed       uint64      // Seed of the jitter; the host id is mixed in.

	CallTimeout        time.Duration // Timeout of one read of the manifest; default 800 ms. It grows to 5 s while reads fail.
	WatchWait          time.Duration // How long the store may hold a watch without a change; default 200 ms.
	StaleAfter         time.Duration // Age of evidence after which this host reads the store itself; default 1 s.
	StartupPeerWait    time.Duration // How long a starting host waits for a peer that has the version; 0 means no wait.
	MemberPollInterval time.Duration // Time between two reads of the member table; default 100 ms.

	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// State describes the configuration of a host; heartbeats carry it.
type State struct {
	Version        uint64        // Version in force; 0 before the first.
	NewestVersion  uint64        // Newest version known to be accepted.
	EvidenceAge    time.Duration // Age of the evidence that NewestVersion is the newest; NoEvidence without any.
	StoreReachable bool          // Whether the last store call succeeded.
}

// currentConfig is the configuration in force.
type currentConfig struct {
	config  *steer.Config // Nil before the first one.
	changed chan struct{} // Closed when a newer configuration comes into force.
}

// Follower keeps the configuration of a host up to date. It implements steer.Source.
type Follower struct {
	Config
	logger          log.Logger
	start           time.Time
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
	builder         *files.Builder  // Used by the fetching goroutine only, as is invalidManifest.
	invalidManifest *manif.Manifest // Last manifest that failed to assemble; a retry would fail again.

	current         atomic.Pointer[currentConfig]
	currentEvidence atomic.Int64 // Time of the freshest evidence for Current, in nanoseconds after start; 0 without any.

	openStoreCalls atomic.Int32 // Store calls that have not returned.
	openPeerCalls  atomic.Int32 // Peer calls that have not returned.

	wakeReader  chan struct{}
	wakeFetcher chan struct{}

	mu               sync.Mutex // Guards the fields below.
	random           *rand.Rand
	manifest         *manif.Manifest   // In force, nil before the first.
	encodedManifest  []byte            // Encoding of manifest.
	partBodies       map[string][]byte // Bodies of the parts in force by content hash.
	newestVersion    uint64            // Newest version known to be accepted.
	newestEvidenceAt time.Time         // Time of the freshest evidence that newestVersion is the newest; zero without any.
	behindSince      time.Time         // When newestVersion first exceeded the version in force; zero when it does not.
	pendingManifest  *manif.Manifest   // Newer manifest from the store that is not in force yet; nil without one.
	reader           reader
	lastWarning      string    // Last failure that the fetching goroutine logged.
	lastWarningAt    time.Time // When lastWarning was logged.
}

var _ steer.Source = (*Follower)(nil)

// New starts a Follower. The caller must stop it with Close.
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
		partBodies:  map[string][]byte{},
	}
	f.current.Store(&currentConfig{
		changed: make(chan struct{}),
	})
	f.reader.jitter = f.randomJitter()
	c.Peers.Handle(steer.KindManifest, f.serveManifest)
	c.Peers.Handle(steer.KindManifestPart, f.servePart)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.goroutines.Go(func() { f.pollMembers(ctx) })
	f.goroutines.Go(func() { f.readLoop(ctx) })
	f.goroutines.Go(func() { f.fetchLoop(ctx) })
	return f
}

func withDefaults(c Config) Config {
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.WatchWait <= 0 {
		c.WatchWait = defaultWatchWait
	}
	if c.StaleAfter <= 0 {
		c.StaleAfter = defaultStaleAfter
	}
	if c.MemberPollInterval <= 0 {
		c.MemberPollInterval = defaultMemberPollInterval
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Current returns the configuration in force, or nil before the first one.
func (f *Follower) Current() *steer.Config {
	return f.current.Load().config
}

// Changed returns a channel that is closed when a configuration newer than Current comes into force. A caller that calls
// Changed before Current misses no change.
func (f *Follower) Changed() <-chan struct{} {
	return f.current.Load().changed
}

// EvidenceAge returns how long ago Current was last known to include every version accepted until then, or NoEvidence if
// that was never known. It takes no lock.
func (f *Follower) EvidenceAge(now time.Time) time.Duration {
	at := f.currentEvidence.Load()
	if at == 0 {
		return NoEvidence
	}
	return max(0, now.Sub(f.start)-time.Duration(at))
}

// State returns the state for the heartbeat.
func (f *Follower) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		Version:        f.version(),
		NewestVersion:  f.newestVersion,
		EvidenceAge:    NoEvidence,
		StoreReachable: f.reader.reachable,
	}
	if !f.newestEvidenceAt.IsZero() {
		s.EvidenceAge = max(0, now.Sub(f.newestEvidenceAt))
	}
	if age := f.EvidenceAge(now); age < s.EvidenceAge {
		// Only a store that was restored to an older copy gives fresher evidence for an older version.
		s.NewestVersion = s.Version
		s.EvidenceAge = age
	}
	return s
}

// version returns the version in force, or 0 before the first one. The caller must hold the lock.
func (f *Follower) version() uint64 {
	if f.manifest == nil {
		return 0
	}
	return f.manifest.Version
}

// Close stops the Follower and waits until its goroutines and open calls have ended or ctx is done. In the latter case it
// returns the error of ctx.
func (f *Follower) Close(ctx context.Context) error {
	f.cancel()
	done := make(chan struct{})
	go func() {
		f.goroutines.Wait()
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

// wake sends a signal without blocking. The channel has a buffer of one, so the signal is not lost if the receiver is busy.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits until d has passed or the signal arrives, and returns true. It returns false if ctx is done.
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

// maxOpenCalls bounds the open calls to the store, and those to peers, because an implementation may ignore its context
// and leave calls behind that have timed out.
const maxOpenCalls = 32

var errTooManyCalls = eris.New("too many unanswered calls")

// call runs do and returns after the timeout even if do ignores its context; a later answer is dropped. It returns
// errTooManyCalls if maxOpenCalls calls counted in open have not returned.
func call[T any](ctx context.Context, f *Follower, open *atomic.Int32, timeout time.Duration,
	do func(context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var zero T
	if open.Add(1) > maxOpenCalls {
		open.Add(-1)
		return zero, errTooManyCalls
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan answer, 1)
	f.goroutines.Go(func() {
		defer open.Add(-1)
		value, err := do(callCtx)
		done <- answer{
			value: value,
			err:   err,
		}
	})
	select {
	case a := <-done:
		return a.value, a.err
	case <-callCtx.Done():
		return zero, callCtx.Err()
	}
}
