package follow

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/conf/manif"
)

const (
	// fullReadInterval is the time after which the manifest is read with Get instead of a watch. A watch waits for a higher
	// revision, so it does not notice that the store was restored to an older copy.
	fullReadInterval = 2 * time.Second

	// minReadPause keeps the host from calling a store in a loop that answers watches at once.
	minReadPause = 50 * time.Millisecond

	// The backoff after failed calls doubles from the initial to the maximum value. At the maximum, 470 hosts make about
	// 300 calls per second to a store that is down.
	initialReadBackoff = 250 * time.Millisecond
	maxReadBackoff     = 2 * time.Second

	// maxCallTimeout bounds the growth of the call timeout. The timeout grows so that a host can still follow a store that
	// is slow for a long time.
	maxCallTimeout = 5 * time.Second

	// maxJitter bounds the jitter that spreads the reads of hosts whose evidence becomes stale at the same time.
	maxJitter = 300 * time.Millisecond
)

// reader is the state of the goroutine that reads the store.
type reader struct {
	hasResult       bool      // Whether any call has ended.
	reachable       bool      // Whether the last call succeeded.
	watcher         bool      // Whether this host watches for its data centre.
	localPeerCutOff bool      // Whether another host of the data centre reports that it does not reach the store.
	needsFullRead   bool      // Whether the manifest must be read with Get as soon as possible.
	failures        int       // Failed calls since the last success.
	next            time.Time // Earliest time of the next call.
	lastCallEnd     time.Time
	jitter          time.Duration // Added to waits; redrawn after each successful call.

	revision       uint64    // Revision of the manifest last read; 0 if the store had none.
	version        uint64    // Version of the manifest last read; 0 if the manifest is no evidence.
	lacksCurrent   bool      // Whether the manifest last read does not include the one in force.
	manifestReadAt time.Time // When the call that returned this manifest was sent.
}

// due reports whether the host must read the store now. The host reads when it is the watcher, does not reach the store or
// was asked for a full read, and when its evidence is older than stale plus the jitter.
func (r *reader) due(now, newestEvidenceAt time.Time, stale time.Duration) bool {
	if now.Before(r.next) {
		return false
	}
	if r.localPeerCutOff && now.Sub(r.lastCallEnd) > stale+r.jitter {
		// Evidence from other data centres may be fresh. The host still has to find out whether it reaches the store,
		// because a data centre keeps its slots only if none of its hosts does.
		return true
	}
	return !r.hasResult || !r.reachable || r.watcher || r.needsFullRead || now.Sub(newestEvidenceAt) > stale+r.jitter
}

// requestFullRead requests a full read, unless the manifest was read within peerFetchWait and the jitter. The limit keeps
// a version that cannot be fetched from making every host read in a loop.
func (r *reader) requestFullRead(now time.Time) {
	if now.Sub(r.manifestReadAt) > peerFetchWait+r.jitter {
		r.needsFullRead = true
	}
}

// randomJitter returns a random duration below maxJitter. The caller must hold the lock, or call it before the goroutines
// start.
func (f *Follower) randomJitter() time.Duration {
	return time.Duration(f.random.Int64N(int64(maxJitter)))
}

// readLoop reads the store whenever a read is due.
func (f *Follower) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		f.mu.Lock()
		due := f.reader.due(now, f.newestEvidenceAt, f.StaleAfter)
		wait := f.reader.next.Sub(now)
		f.mu.Unlock()
		if due {
			f.readOnce(ctx)
			continue
		}
		if wait <= 0 || wait > f.MemberPollInterval {
			wait = f.MemberPollInterval
		}
		if !sleep(ctx, wait, f.wakeReader) {
			return
		}
	}
}

// readOnce reads or watches the manifest once and handles the result.
func (f *Follower) readOnce(ctx context.Context) {
	f.mu.Lock()
	sent := time.Now()
	after := f.reader.revision
	full := !f.reader.reachable || f.reader.needsFullRead || !f.reader.watcher || f.reader.version == 0 ||
		sent.Sub(f.reader.manifestReadAt) >= fullReadInterval
	timeout := min(f.CallTimeout<<min(f.reader.failures, 8), max(maxCallTimeout, f.CallTimeout))
	f.mu.Unlock()
	f.count("store-reads")
	entry, err := call(ctx, f, &f.openStoreCalls, timeout+f.longPollWait(full), func(ctx context.Context) (steer.Entry, error) {
		if full {
			return f.Store.Get(ctx, manif.Key)
		}
		return f.Store.Watch(ctx, manif.Key, after, f.WatchWait)
	})
	if ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, steer.ErrUnchanged) && !full:
		f.recordSuccess(sent, sent.Add(f.WatchWait))
		f.mu.Lock()
		version := f.reader.version
		f.mu.Unlock()
		f.recordEvidence(version, sent)
	case errors.Is(err, steer.ErrNotFound):
		f.recordSuccess(sent, f.nextReadWithoutManifest(sent))
		f.handleManifest(ctx, &manif.Manifest{}, 0, sent)
	case err != nil:
		f.recordFailure(err)
	default:
		f.recordSuccess(sent, time.Now().Add(minReadPause))
		f.handleEntry(ctx, entry, sent)
	}
}

// nextReadWithoutManifest returns the time of the next read when the store has no manifest. It limits the load on the
// store: until the first publication, no host has evidence that would spare the others a read.
func (f *Follower) nextReadWithoutManifest(sent time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.watcher {
		return sent.Add(f.WatchWait)
	}
	return sent.Add(f.StaleAfter + f.reader.jitter)
}

// longPollWait returns how long the store may hold the call: 0 for a full read, the wait of a watch otherwise.
func (f *Follower) longPollWait(full bool) time.Duration {
	if full {
		return 0
	}
	return f.WatchWait
}

// recordSuccess records that the store answered, and sets the time of the next call to next, but not within minReadPause
// of the last one.
func (f *Follower) recordSuccess(sent, next time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reader.reachable {
		level.Info(f.logger).Log("msg", "The store is reachable.", "failures", f.reader.failures)
	}
	f.reader.hasResult = true
	f.reader.lastCallEnd = time.Now()
	f.reader.reachable = true
	f.reader.failures = 0
	f.reader.jitter = f.randomJitter()
	f.reader.next = next
	if earliest := sent.Add(minReadPause); next.Before(earliest) {
		f.reader.next = earliest
	}
}

// recordFailure records that a call failed, and sets the time of the next call after a backoff with jitter.
func (f *Follower) recordFailure(err error) {
	f.count("store-failures")
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reader.reachable || !f.reader.hasResult {
		level.Warn(f.logger).Log("msg", "The store is unreachable.", "err", err)
	}
	pause := min(initialReadBackoff<<min(f.reader.failures, 8), maxReadBackoff)
	pause = pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
	f.reader.hasResult = true
	f.reader.lastCallEnd = time.Now()
	f.reader.reachable = false
	f.reader.failures++
	f.reader.next = time.Now().Add(pause)
}

// handleEntry decodes and handles the manifest in the entry. A manifest that cannot be decoded is no evidence, and the
// next read is put off by maxReadBackoff.
func (f *Follower) handleEntry(ctx context.Context, entry steer.Entry, sent time.Time) {
	m, err := manif.Decode(entry.Value)
	if err != nil {
		level.Error(f.logger).Log("msg", "The manifest in the store cannot be decoded.", "revision", entry.Revision,
			"err", err)
		f.mu.Lock()
		f.reader.version = 0
		f.reader.next = time.Now().Add(maxReadBackoff)
		f.mu.Unlock()
		return
	}
	f.handleManifest(ctx, m, entry.Revision, sent)
}

// handleManifest compares the manifest in the store with the one in force. If the store returns the same
// manifest twice in a row and it does not include the one in force, the store was restored to an older copy and is
// repaired. A single occurrence may be a late answer that the store sent before this host got the newer version from a
// peer.
func (f *Follower) handleManifest(ctx context.Context, m *manif.Manifest, revision uint64, sent time.Time) {
	f.mu.Lock()
	current := f.manifest
	includesCurrent := current == nil || m.Includes(current)
	confirmed := f.reader.lacksCurrent && f.reader.revision == revision
	f.reader.needsFullRead = false
	f.reader.lacksCurrent = !includesCurrent
	f.reader.manifestReadAt = sent
	f.reader.revision = revision
	f.reader.version = 0
	if includesCurrent {
		f.reader.version = m.Version
		if m.Version > f.version() && (f.pendingManifest == nil || !f.pendingManifest.Equal(m)) {
			f.pendingManifest = m
			wake(f.wakeFetcher)
		}
	}
	f.mu.Unlock()
	if includesCurrent {
		f.recordEvidence(m.Version, sent)
		return
	}
	if confirmed {
		f.repair(ctx, current, m, revision)
	}
}
