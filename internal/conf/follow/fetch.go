package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/files"
	"monsoonhub.example/steer/internal/conf/manif"
)

const (
	maxAsked   = 3 // Peers asked for one part before the store is.
	maxFetches = 4 // Parts fetched at once.

	// watcherWaits is how many times as long as for any peer a starting host waits for the watcher of its data centre.
	watcherWaits = 3

	// bodyCall bounds one call that carries a manifest or a part; 900 KB take up to a second on a busy link.
	bodyCall = 3 * time.Second

	// Pauses after failures double from the first to the longest and have a jitter of half. A part that the store lost
	// must not make every host ask for it in a loop.
	firstFetchPause   = 200 * time.Millisecond
	longestFetchPause = 2 * time.Second

	// warnEvery is the time after which the same failure is logged again.
	warnEvery = 10 * time.Second
)

var (
	errNoAnswer = errors.New("no peer has it")
	errHash     = errors.New("content does not match its hash")
	errInvalid  = errors.New("the configuration is not valid")
	errForked   = errors.New("the manifest does not include the version in force")
)

// fetch brings newer versions into force.
func (f *Follower) fetch(ctx context.Context) {
	failures := 0
	for sleep(ctx, time.Hour, f.wakeFetcher) {
		err := f.fetchOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		pause := f.warn(err, failures)
		failures++
		if !sleep(ctx, pause, nil) {
			return
		}
	}
}

// warn logs a failure and returns the pause after it.
func (f *Follower) warn(err error, failures int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err.Error() != f.warned || time.Since(f.warnedAt) >= warnEvery {
		f.warned = err.Error()
		f.warnedAt = time.Now()
		level.Warn(f.logger).Log("msg", "A newer version is not in force yet.", "err", err)
	}
	pause := min(firstFetchPause<<min(failures, 8), longestFetchPause)
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
}

// fetchOnce applies the newest version that the store or a peer has.
func (f *Follower) fetchOnce(ctx context.Context) error {
	f.mu.Lock()
	mine := f.manifest
	if f.target != nil && (f.target.Version <= f.version() || (mine != nil && !f.target.Includes(mine))) {
		f.target = nil
	}
	m := f.target
	best := f.version()
	f.mu.Unlock()
	if m != nil {
		best = m.Version
	}
	members := f.Peers.Members()
	var failed error
	if peers := f.holders(members, best+1); len(peers) > 0 {
		newer, err := f.peerManifest(ctx, peers, mine, best)
		if newer != nil {
			m = newer
		}
		failed = err
	}
	if m == nil || f.awaitsPeer(time.Now(), members, m.Version) {
		return failed
	}
	return f.apply(ctx, m, members)
}

// awaitsPeer reports whether a starting host leaves the parts for later, because a nearer peer may be heard that has them.
// It must not block: until the first version is in force, the fetching goroutine is woken in the interval of observe.
func (f *Follower) awaitsPeer(now time.Time, members []steer.Member, version uint64) bool {
	if f.Current() != nil {
		return false
	}
	waited := now.Sub(f.start)
	held := false
	for _, m := range members {
		if m.Suspect || m.State.Version < version {
			continue
		}
		if m.DataCentre == f.DataCentre {
			return false
		}
		held = true
	}
	switch {
	case held:
		// The hosts of the own data centre and region may be heard after a distant one from the settings.
		return waited < f.StartupPeerWait/2
	case isWatcher(f.Host, f.DataCentre, members):
		return waited < f.StartupPeerWait
	default:
		// After a restart of the whole fleet, one host of each data centre takes the parts from the store.
		return waited < watcherWaits*f.StartupPeerWait
	}
}

// holders returns the members that have at least the version in force, nearest first. Equally near hosts are in random
// order, so that one of them does not serve all others. A starting host knows no distances between other regions.
func (f *Follower) holders(members []steer.Member, version uint64) []steer.Member {
	var near, region, far []steer.Member
	for _, m := range members {
		switch {
		case m.Suspect || m.State.Version < version:
		case m.DataCentre == f.DataCentre:
			near = append(near, m)
		case m.Region == f.Region:
			region = append(region, m)
		default:
			far = append(far, m)
		}
	}
	equal := [][]steer.Member{near, region}
	if f.Current() == nil {
		equal = append(equal, far)
	}
	f.mu.Lock()
	for _, list := range equal {
		f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	f.mu.Unlock()
	return slices.Concat(near, region, far)
}

// peerManifest asks peers for a manifest above the version that includes the one in force.
func (f *Follower) peerManifest(ctx context.Context, peers []steer.Member, mine *manif.Manifest,
	above uint64) (*manif.Manifest, error) {
	err := errNoAnswer
	for _, p := range peers[:min(len(peers), maxAsked)] {
		var m *manif.Manifest
		body, failed := f.ask(ctx, p, bodyCall, steer.KindManifest, "")
		if failed == nil {
			m, failed = manif.Decode(body)
		}
		switch {
		case failed != nil:
			err = failed
		case m.Version <= above:
		case mine != nil && !m.Includes(mine):
			// The store was restored and published upon; a host that reads the store merges both.
			err = errForked
			f.mu.Lock()
			f.reading.demand(time.Now())
			f.mu.Unlock()
		default:
			return m, nil
		}
	}
	return nil, eris.Wrap(err, "manifest from peers")
}

// ask sends one request to a peer and returns the body of the answer.
func (f *Follower) ask(ctx context.Context, to steer.Member, limit time.Duration, kind steer.MessageKind,
	hash string) ([]byte, error) {
	request, err := manif.Marshal(manif.Request{
		Hash: hash,
	})
	if err != nil {
		return nil, err
	}
	data, err := call(ctx, f, &f.peerCalls, limit, func(ctx context.Context) ([]byte, error) {
		return f.Peers.Call(ctx, to.ID, kind, request)
	})
	if err != nil {
		return nil, eris.Wrap(err, "ask "+to.ID)
	}
	var a manif.Response
	if err := manif.Unmarshal(data, &a); err != nil {
		return nil, eris.Wrap(err, "decode answer of "+to.ID)
	}
	if len(a.Body) == 0 {
		return nil, errNoAnswer
	}
	return a.Body, nil
}

// apply fetches the missing parts, builds the configuration beside the one in force and swaps it in.
func (f *Follower) apply(ctx context.Context, m *manif.Manifest, members []steer.Member) error {
	if f.invalid != nil && f.invalid.Equal(m) {
		return eris.Wrapf(errInvalid, "%v", m)
	}
	peers := f.holders(members, m.Version)
	if len(peers) == 0 && f.Current() == nil {
		// Hosts with an older version have the unchanged parts.
		peers = f.holders(members, 1)
	}
	var failed sync.Map // Ids of peers that did not answer.
	live := m.LiveParts()
	parts := make(files.Parts, len(live))
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(maxFetches)
	for i, p := range live {
		group.Go(func() error {
			body, err := f.body(inner, p, peers, &failed)
			parts[i] = files.Part{
				Name: p.Name,
				Body: body,
				Hash: p.Hash,
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	config, err := f.builder.Assemble(m.Version, parts)
	if err != nil {
		f.count("config-invalid")
		f.invalid = m
		return eris.Wrapf(err, "assemble %v", m)
	}
	return f.putInForce(m, config, parts)
}

// body returns the body of a part: the one in force, else from peers that have not failed, else from the store.
func (f *Follower) body(ctx context.Context, p manif.Part, peers []steer.Member, failed *sync.Map) ([]byte, error) {
	f.mu.Lock()
	body, ok := f.bodies[p.Hash]
	f.mu.Unlock()
	if ok {
		return body, nil
	}
	peers = peers[:min(len(peers), maxAsked)]
	limit := bodyCall
	if f.Current() == nil {
		// A starting host serves nothing until it has all parts, so peers that do not answer share the time of one call.
		limit /= time.Duration(max(len(peers), 1))
	}
	for _, peer := range peers {
		if _, ok := failed.Load(peer.ID); ok {
			continue
		}
		body, err := f.ask(ctx, peer, limit, steer.KindManifestPart, p.Hash)
		switch {
		case err == nil && manif.Hash(body) == p.Hash:
			f.count("parts-from-peers")
			return body, nil
		case err == nil || !errors.Is(err, errNoAnswer):
			failed.Store(peer.ID, true)
		}
	}
	entry, err := call(ctx, f, &f.storeCalls, bodyCall, func(ctx context.Context) (steer.Entry, error) {
		return f.Store.Get(ctx, manif.PartKey(p.Hash))
	})
	if err != nil {
		return nil, eris.Wrap(err, "part "+p.Name+" from the store")
	}
	if manif.Hash(entry.Value) != p.Hash {
		return nil, eris.Wrap(errHash, "part "+p.Name+" from the store")
	}
	f.count("parts-from-store")
	return entry.Value, nil
}

// putInForce swaps the configuration in, unless its version is not above the one in force.
func (f *Follower) putInForce(m *manif.Manifest, config *steer.Config, parts files.Parts) error {
	encoded, err := m.Encode()
	if err != nil {
		return err
	}
	bodies := map[string][]byte{}
	for _, p := range parts {
		bodies[p.Hash] = p.Body
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Version <= f.version() {
		return nil
	}
	f.manifest = m
	f.encoded = encoded
	f.bodies = bodies
	if f.target != nil && f.target.Version <= m.Version {
		f.target = nil
	}
	if m.Version > f.newest {
		// The version was accepted, but when is not known.
		f.newest = m.Version
		f.newestAt = time.Time{}
	}
	old := f.current.Swap(&inForce{
		config:  config,
		changed: make(chan struct{}),
	})
	// Readers of EvidenceAge take no lock: evidence for the new version must not be seen with the old one.
	if m.Version == f.newest && !f.newestAt.IsZero() {
		f.refresh(f.newestAt)
	}
	close(old.changed)
	f.count("config-applied")
	metrics.GetOrRegisterGauge("config-version", f.Metrics).Update(int64(m.Version))
	level.Info(f.logger).Log("msg", "A configuration is in force.", "version", m.Version, "parts", len(parts))
	return nil
}

// serveManifest answers a peer with the manifest in force.
func (f *Follower) serveManifest(_ context.Context, _ steer.Member, request []byte) ([]byte, error) {
	var r manif.Request
	if err := manif.Unmarshal(request, &r); err != nil {
		return nil, eris.Wrap(err, "decode manifest request")
	}
	f.mu.Lock()
	body := f.encoded
	f.mu.Unlock()
	return manif.Marshal(manif.Response{
		Body: body,
	})
}

// servePart answers a peer with the body of a part in force.
func (f *Follower) servePart(_ context.Context, _ steer.Member, request []byte) ([]byte, error) {
	var r manif.Request
	if err := manif.Unmarshal(request, &r); err != nil {
		return nil, eris.Wrap(err, "decode part request")
	}
	f.mu.Lock()
	body := f.bodies[r.Hash]
	f.mu.Unlock()
	return manif.Marshal(manif.Response{
		Body: body,
	})
}
