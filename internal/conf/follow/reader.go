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
	// getEvery is the time after which the manifest is read in full. A watch waits for a higher revision and so does not
	// notice a store that was restored to an older copy.
	getEvery = 2 * time.Second

	// shortestPause keeps a store that answers watches at once from being called in a loop.
	shortestPause = 50 * time.Millisecond

	// Pauses after failed calls double from the first to the longest. With 470 hosts the longest gives about 300 calls
	// per second to a store that is down.
	firstPause   = 250 * time.Millisecond
	longestPause = 2 * time.Second

	// longestCall bounds the growth of the call limit. A store that is slow for long is thus still followed.
	longestCall = 5 * time.Second

	// jitterRange spreads the reads of hosts whose evidence becomes stale at the same time.
	jitterRange = 300 * time.Millisecond
)

// reading is the state of reading the store.
type reading struct {
	tried     bool // Whether a call has ended.
	reachable bool // Whether the last call succeeded.
	watcher   bool // Whether this host watches for its data centre.
	doubt     bool // Whether another host of the data centre does not reach the store.
	force     bool // Whether the manifest has to be read in full now.
	failures  int  // Failed calls since the last success.
	next      time.Time
	endedAt   time.Time // End of the last call.
	jitter    time.Duration

	revision uint64 // Of the manifest last read.
	version  uint64 // Its version, 0 if it must not be taken as evidence.
	older    bool   // Whether it does not include the manifest in force.
	gotAt    time.Time
}

// due reports whether the store has to be read now.
func (r *reading) due(now, newestAt time.Time, stale time.Duration) bool {
	if now.Before(r.next) {
		return false
	}
	if r.doubt && now.Sub(r.endedAt) > stale+r.jitter {
		// Evidence from other data centres may be fresh. Whether this host reaches the store must be known all the same,
		// because a data centre keeps its slots only if none of its hosts does.
		return true
	}
	return !r.tried || !r.reachable || r.watcher || r.force || now.Sub(newestAt) > stale+r.jitter
}

// demand asks for a full read, unless there was one within the time that a peer is given. A version that cannot be fetched
// must not make every host read in a loop.
func (r *reading) demand(now time.Time) {
	if now.Sub(r.gotAt) > peerWait+r.jitter {
		r.force = true
	}
}

// drawJitter is called with the lock held, or before the goroutines start.
func (f *Follower) drawJitter() time.Duration {
	return time.Duration(f.random.Int64N(int64(jitterRange)))
}

// read reads the store whenever it is due.
func (f *Follower) read(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		f.mu.Lock()
		due := f.reading.due(now, f.newestAt, f.StaleAfter)
		wait := f.reading.next.Sub(now)
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

// readOnce makes one call and takes its answer.
func (f *Follower) readOnce(ctx context.Context) {
	f.mu.Lock()
	sent := time.Now()
	after := f.reading.revision
	full := !f.reading.reachable || f.reading.force || !f.reading.watcher || f.reading.version == 0 ||
		sent.Sub(f.reading.gotAt) >= getEvery
	limit := min(f.CallTimeout<<min(f.reading.failures, 8), max(longestCall, f.CallTimeout))
	f.mu.Unlock()
	f.count("store-reads")
	entry, err := call(ctx, f, &f.storeCalls, limit+f.waitOf(full), func(ctx context.Context) (steer.Entry, error) {
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
		f.succeed(sent, sent.Add(f.WatchWait))
		f.mu.Lock()
		version := f.reading.version
		f.mu.Unlock()
		f.claim(version, sent)
	case errors.Is(err, steer.ErrNotFound):
		f.succeed(sent, f.nextWithoutManifest(sent))
		f.take(ctx, &manif.Manifest{}, 0, sent)
	case err != nil:
		f.fail(err)
	default:
		f.succeed(sent, time.Now().Add(shortestPause))
		f.takeEntry(ctx, entry, sent)
	}
}

// nextWithoutManifest spares the store while nothing has been published and no host can give evidence to the others.
func (f *Follower) nextWithoutManifest(sent time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading.watcher {
		return sent.Add(f.WatchWait)
	}
	return sent.Add(f.StaleAfter + f.reading.jitter)
}

func (f *Follower) waitOf(full bool) time.Duration {
	if full {
		return 0
	}
	return f.WatchWait
}

// succeed notes a call that was answered.
func (f *Follower) succeed(sent, next time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.reading.reachable {
		level.Info(f.logger).Log("msg", "The store answers.", "failures", f.reading.failures)
	}
	f.reading.tried = true
	f.reading.endedAt = time.Now()
	f.reading.reachable = true
	f.reading.failures = 0
	f.reading.jitter = f.drawJitter()
	f.reading.next = next
	if earliest := sent.Add(shortestPause); next.Before(earliest) {
		f.reading.next = earliest
	}
}

// fail notes a call that was not answered and sets the time of the next one.
func (f *Follower) fail(err error) {
	f.count("store-failures")
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading.reachable || !f.reading.tried {
		level.Warn(f.logger).Log("msg", "The store does not answer.", "err", err)
	}
	pause := min(firstPause<<min(f.reading.failures, 8), longestPause)
	pause = pause/2 + time.Duration(f.random.Int64N(int64(pause/2)))
	f.reading.tried = true
	f.reading.endedAt = time.Now()
	f.reading.reachable = false
	f.reading.failures++
	f.reading.next = time.Now().Add(pause)
}

func (f *Follower) takeEntry(ctx context.Context, entry steer.Entry, sent time.Time) {
	m, err := manif.Decode(entry.Value)
	if err != nil {
		level.Error(f.logger).Log("msg", "The manifest in the store cannot be decoded.", "revision", entry.Revision,
			"err", err)
		f.mu.Lock()
		f.reading.version = 0
		f.reading.next = time.Now().Add(longestPause)
		f.mu.Unlock()
		return
	}
	f.take(ctx, m, entry.Revision, sent)
}

// take compares the manifest in the store with the one in force. A store that twice does not include what is in force was
// restored to an older copy and is repaired. Once may be a late answer, sent before a peer brought the newer version.
func (f *Follower) take(ctx context.Context, m *manif.Manifest, revision uint64, sent time.Time) {
	f.mu.Lock()
	mine := f.manifest
	forward := mine == nil || m.Includes(mine)
	again := f.reading.older && f.reading.revision == revision
	f.reading.force = false
	f.reading.older = !forward
	f.reading.gotAt = sent
	f.reading.revision = revision
	f.reading.version = 0
	if forward {
		f.reading.version = m.Version
		if m.Version > f.version() && (f.target == nil || !f.target.Equal(m)) {
			f.target = m
			wake(f.wakeFetcher)
		}
	}
	f.mu.Unlock()
	if forward {
		f.claim(m.Version, sent)
		return
	}
	if again {
		f.repair(ctx, mine, m, revision)
	}
}
