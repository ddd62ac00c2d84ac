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
	maxPeersAsked        = 3 // Peers asked for a manifest, or for one part before the store is asked.
	maxConcurrentFetches = 4 // Parts fetched at once.

	// watcherWaitFactor times StartupPeerWait is how long a starting host waits for the watcher of its data centre.
	watcherWaitFactor = 3

	// bodyCallTimeout bounds a call that carries a manifest or a part: 900 KB take up to a second on a busy link.
	bodyCallTimeout = 3 * time.Second

	// The backoff after failures doubles from the initial to the maximum value and has a jitter of half. Without it, a
	// part that the store lost would make every host ask for it in a loop.
	initialFetchBackoff = 200 * time.Millisecond
	maxFetchBackoff     = 2 * time.Second

	// warnInterval is the time after which a repeated failure is logged again.
	warnInterval = 10 * time.Second
)

var (
	errNotAtPeer     = errors.New("no peer has the content")
	errHashMismatch  = errors.New("content does not match its hash")
	errInvalidConfig = errors.New("the configuration is not valid")
	errDiverged      = errors.New("the manifest does not include the version in force")
)

// fetchLoop fetches and applies newer versions whenever it is woken, with a backoff after failures.
func (f *Follower) fetchLoop(ctx context.Context) {
	failures := 0
	for sleep(ctx, time.Hour, f.wakeFetcher) {
		err := f.fetchOnce(ctx)
		if err == nil {
			failures = 0
			continue
		}
		pause := f.logAndBackOff(err, failures)
		failures++
		if !sleep(ctx, pause, nil) {
			return
		}
	}
}

// logAndBackOff logs a failure, unless the same one was logged within warnInterval, and returns the pause before the next
// attempt.
func (f *Follower) logAndBackOff(err error, failures int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err.Error() != f.lastWarning || time.Since(f.lastWarningAt) >= warnInterval {
		f.lastWarning = err.Error()
		f.lastWarningAt = time.Now()
		level.Warn(f.logger).Log("msg", "Failed to fetch or apply a newer version.", "err", err)
	}
	pause := min(initialFetchBackoff<<min(failures, 8), maxFetchBackoff)
	return pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
}

// fetchOnce applies the newest version that the last read of the store returned or a peer has.
func (f *Follower) fetchOnce(ctx context.Context) error {
	f.mu.Lock()
	current := f.manifest
	if f.pendingManifest != nil && (f.pendingManifest.Version <= f.version() ||
		(current != nil && !f.pendingManifest.Includes(current))) {
		f.pendingManifest = nil
	}
	m := f.pendingManifest
	best := f.version()
	f.mu.Unlock()
	if m != nil {
		best = m.Version
	}
	members := f.Peers.Members()
	var peerErr error
	if peers := f.peersWithVersion(members, best+1); len(peers) > 0 {
		newer, err := f.manifestFromPeers(ctx, peers, current, best)
		if newer != nil {
			m = newer
		}
		peerErr = err
	}
	if m == nil || f.shouldAwaitPeer(time.Now(), members, m.Version) {
		return peerErr
	}
	return f.apply(ctx, m, members)
}

// shouldAwaitPeer reports whether a starting host puts off fetching the parts, because it may soon hear from a nearer peer
// that has them. It does not block: until the first version is in force, pollMembers wakes the fetching goroutine at each
// poll.
func (f *Follower) shouldAwaitPeer(now time.Time, members []steer.Member, version uint64) bool {
	if f.Current() != nil {
		return false
	}
	waited := now.Sub(f.start)
	heldElsewhere := false
	for _, m := range members {
		if m.Suspect || m.State.Version < version {
			continue
		}
		if m.DataCentre == f.DataCentre {
			return false
		}
		heldElsewhere = true
	}
	switch {
	case heldElsewhere:
		// A distant host named in the settings may be heard before the hosts of the same data centre and region.
		return waited < f.StartupPeerWait/2
	case isWatcher(f.Host, f.DataCentre, members):
		return waited < f.StartupPeerWait
	default:
		// After a restart of the whole fleet, only the watcher of each data centre fetches the parts from the store.
		return waited < watcherWaitFactor*f.StartupPeerWait
	}
}

// peersWithVersion returns the members with at least the given version in force, nearest first. Equally near hosts are in
// random order, so that no single host serves all the others. A starting host does not know the distances to other
// regions yet, so it shuffles those too.
func (f *Follower) peersWithVersion(members []steer.Member, version uint64) []steer.Member {
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
	shuffled := [][]steer.Member{near, region}
	if f.Current() == nil {
		shuffled = append(shuffled, far)
	}
	f.mu.Lock()
	for _, list := range shuffled {
		f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	f.mu.Unlock()
	return slices.Concat(near, region, far)
}

// manifestFromPeers asks peers for a manifest of a version higher than above that includes the current one. The current
// manifest is nil on a starting host.
func (f *Follower) manifestFromPeers(ctx context.Context, peers []steer.Member, current *manif.Manifest,
	above uint64) (*manif.Manifest, error) {
	err := errNotAtPeer
	for _, p := range peers[:min(len(peers), maxPeersAsked)] {
		var m *manif.Manifest
		body, callErr := f.requestFromPeer(ctx, p, bodyCallTimeout, steer.KindManifest, "")
		if callErr == nil {
			m, callErr = manif.Decode(body)
		}
		switch {
		case callErr != nil:
			err = callErr
		case m.Version <= above:
		case current != nil && !m.Includes(current):
			// The store was restored to an older copy, and a new version was published on top of it. A host that reads the
			// store merges both.
			err = errDiverged
			f.mu.Lock()
			f.reader.requestFullRead(time.Now())
			f.mu.Unlock()
		default:
			return m, nil
		}
	}
	return nil, eris.Wrap(err, "fetch manifest from peers")
}

// requestFromPeer sends one request to a peer and returns the body of the answer. It returns errNotAtPeer if the peer
// answers that it does not have the content.
func (f *Follower) requestFromPeer(ctx context.Context, to steer.Member, timeout time.Duration, kind steer.MessageKind,
	hash string) ([]byte, error) {
	request, err := manif.Marshal(manif.Request{
		Hash: hash,
	})
	if err != nil {
		return nil, err
	}
	data, err := call(ctx, f, &f.openPeerCalls, timeout, func(ctx context.Context) ([]byte, error) {
		return f.Peers.Call(ctx, to.ID, kind, request)
	})
	if err != nil {
		return nil, eris.Wrap(err, "call peer "+to.ID)
	}
	var a manif.Response
	if err := manif.Unmarshal(data, &a); err != nil {
		return nil, eris.Wrap(err, "decode answer of peer "+to.ID)
	}
	if len(a.Body) == 0 {
		return nil, errNotAtPeer
	}
	return a.Body, nil
}

// apply fetches the missing parts, builds the configuration while the current one stays in force, and swaps it in.
func (f *Follower) apply(ctx context.Context, m *manif.Manifest, members []steer.Member) error {
	if f.invalidManifest != nil && f.invalidManifest.Equal(m) {
		return eris.Wrapf(errInvalidConfig, "%v", m)
	}
	peers := f.peersWithVersion(members, m.Version)
	if len(peers) == 0 && f.Current() == nil {
		// Hosts with an older version have those parts that have not changed since.
		peers = f.peersWithVersion(members, 1)
	}
	var failedPeers sync.Map // Ids of peers whose call failed or that sent wrong content.
	live := m.LiveParts()
	parts := make(files.Parts, len(live))
	group, inner := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentFetches)
	for i, p := range live {
		group.Go(func() error {
			body, err := f.body(inner, p, peers, &failedPeers)
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
		f.invalidManifest = m
		return eris.Wrapf(err, "assemble %v", m)
	}
	return f.activate(m, config, parts)
}

// body returns the body of a part. It takes it from the configuration in force, else from one of the peers that have
// not failed, else from the store.
func (f *Follower) body(ctx context.Context, p manif.Part, peers []steer.Member, failedPeers *sync.Map) ([]byte, error) {
	f.mu.Lock()
	body, ok := f.partBodies[p.Hash]
	f.mu.Unlock()
	if ok {
		return body, nil
	}
	peers = peers[:min(len(peers), maxPeersAsked)]
	timeout := bodyCallTimeout
	if f.Current() == nil {
		// A starting host serves nothing until it has all parts, so all the peers together get the timeout of one call.
		timeout /= time.Duration(max(len(peers), 1))
	}
	for _, peer := range peers {
		if _, ok := failedPeers.Load(peer.ID); ok {
			continue
		}
		body, err := f.requestFromPeer(ctx, peer, timeout, steer.KindManifestPart, p.Hash)
		switch {
		case err == nil && manif.Hash(body) == p.Hash:
			f.count("parts-from-peers")
			return body, nil
		case err == nil || !errors.Is(err, errNotAtPeer):
			failedPeers.Store(peer.ID, true)
		}
	}
	entry, err := call(ctx, f, &f.openStoreCalls, bodyCallTimeout, func(ctx context.Context) (steer.Entry, error) {
		return f.Store.Get(ctx, manif.PartKey(p.Hash))
	})
	if err != nil {
		return nil, eris.Wrap(err, "fetch part "+p.Name+" from the store")
	}
	if manif.Hash(entry.Value) != p.Hash {
		return nil, eris.Wrap(errHashMismatch, "fetch part "+p.Name+" from the store")
	}
	f.count("parts-from-store")
	return entry.Value, nil
}

// activate puts the configuration in force if its version is higher than the current one, and does nothing otherwise.
func (f *Follower) activate(m *manif.Manifest, config *steer.Config, parts files.Parts) error {
	encodedManifest, err := m.Encode()
	if err != nil {
		return err
	}
	partBodies := map[string][]byte{}
	for _, p := range parts {
		partBodies[p.Hash] = p.Body
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.Version <= f.version() {
		return nil
	}
	f.manifest = m
	f.encodedManifest = encodedManifest
	f.partBodies = partBodies
	if f.pendingManifest != nil && f.pendingManifest.Version <= m.Version {
		f.pendingManifest = nil
	}
	if m.Version > f.newestVersion {
		// The version was accepted, but the time is not known.
		f.newestVersion = m.Version
		f.newestEvidenceAt = time.Time{}
	}
	old := f.current.Swap(&currentConfig{
		config:  config,
		changed: make(chan struct{}),
	})
	// Readers of EvidenceAge take no lock: evidence for the new version must not be seen with the old one.
	if m.Version == f.newestVersion && !f.newestEvidenceAt.IsZero() {
		f.advanceCurrentEvidence(f.newestEvidenceAt)
	}
	close(old.changed)
	f.count("config-applied")
	metrics.GetOrRegisterGauge("config-version", f.Metrics).Update(int64(m.Version))
	level.Info(f.logger).Log("msg", "Configuration applied.", "version", m.Version, "parts", len(parts))
	return nil
}

// serveManifest answers a peer with the manifest in force; the body is empty before the first one.
func (f *Follower) serveManifest(_ context.Context, _ steer.Member, request []byte) ([]byte, error) {
	var r manif.Request
	if err := manif.Unmarshal(request, &r); err != nil {
		return nil, eris.Wrap(err, "decode manifest request")
	}
	f.mu.Lock()
	body := f.encodedManifest
	f.mu.Unlock()
	return manif.Marshal(manif.Response{
		Body: body,
	})
}

// servePart answers a peer with the body of the requested part; the body is empty if the part is not in force.
func (f *Follower) servePart(_ context.Context, _ steer.Member, request []byte) ([]byte, error) {
	var r manif.Request
	if err := manif.Unmarshal(request, &r); err != nil {
		return nil, eris.Wrap(err, "decode part request")
	}
	f.mu.Lock()
	body := f.partBodies[r.Hash]
	f.mu.Unlock()
	return manif.Marshal(manif.Response{
		Body: body,
	})
}
