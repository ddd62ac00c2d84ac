package belief

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/guard"
)

const (
	// watchWait bounds the time that one call waits for changes. A watch may stop delivering changes although its
	// connection stays up, and a drain must be in effect 2.5 s after the platform acknowledged it.
	watchWait = 1200 * time.Millisecond

	// relayTTL is the time for which changes relayed by another host replace this host's own watch: one watch of the other
	// host, plus the time to notice that it gets no answer. A drain must be in effect 2.5 s after its acknowledgement.
	relayTTL = watchWait + 600*time.Millisecond

	// startupRelayWait is the time for which a host that has just started waits for relayed changes before it watches the
	// platform itself: the time in which another host starts and opens its links. It is shorter than the time in which a
	// drain must be in effect.
	startupRelayWait = 900 * time.Millisecond

	// staggeredHosts is the number of hosts of a data centre that start to watch one after the other, staggerStep apart, when
	// relayed changes stop; the others start after maxStagger. The first host that gets an answer relays it to all, so that
	// not every host of a large data centre calls a platform that does not answer.
	staggeredHosts = 4
	staggerStep    = 100 * time.Millisecond
	maxStagger     = 900 * time.Millisecond

	// coalesceDelay is the pause after a watch that brought changes, so that changes in quick succession cost one call.
	coalesceDelay = 250 * time.Millisecond

	// fallbackWindow is the time after a failed call of this host in which changes relayed by any host replace its own
	// watch.
	fallbackWindow = 2 * time.Second

	// completionInterval is the shortest time between two listings that a host needs because entries came through one of an older build.
	completionInterval = 10 * time.Second

	// minRetryDelay and maxRetryDelay bound the backoff after failed calls. They are short because a drain must be in effect
	// within 2.5 s, and bounded below because every call has a price.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Catalog         steer.Catalog
	Host            string              // ID of this host; empty for a follower that only reads.
	LocalDataCentre string              // Data centre of this host.
	History         time.Duration       // Maximum time that the platform keeps changes. 0 disables writing snapshots.
	Regions         map[string]string   // Region by data centre.
	HostLeaseTerm   time.Duration       // Term of the leases of hosts' registrations. 0 drops hosts at once when they are removed.
	Relay           func(steer.Changes) // Receives the result of each watch of this host. Nil disables relaying.
	Logger          log.Logger          // Nil means no logging.
	Metrics         metrics.Registry    // Nil means a private registry.
}

// Follower keeps a View up to date with the platform. It is safe for concurrent use.
type Follower struct {
	catalog          steer.Catalog
	host             string
	dataCentre       string
	snapshotInterval time.Duration // Age at which the snapshot is replaced; 0 disables snapshots.
	relay            func(steer.Changes)
	logger           log.Logger
	guard            *guard.Guard
	view             atomic.Pointer[View]
	changed          atomic.Pointer[chan struct{}]
	wake             chan struct{} // Ends the pause of pauseWatch early.
	cancel           context.CancelFunc
	done             chan struct{}

	mu            sync.Mutex
	table         *table
	position      steer.Position // Position from which the next watch continues.
	firstEra      uint64         // Era of the first listing.
	relayedUntil  time.Time      // End of the pause due to the host that watches on behalf of this one.
	fallbackUntil time.Time      // End of the pause due to any relaying host; used only after a failed call of this host.
	lastFailure   time.Time      // When a call of this host last failed.
	lastSnapshot  lastSnapshot
	partial       bool      // Known entries may lack fields, since they came through a host of an older build.
	completedAt   time.Time // When this host last listed the entries, or asked for them, for that reason.
	watching      bool      // This host watches the platform itself. Used by the loop only.
}

// New starts a follower. Call Stop to end it.
func New(c Config) *Follower {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Relay == nil {
		c.Relay = func(steer.Changes) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		catalog:          c.Catalog,
		host:             c.Host,
		dataCentre:       c.LocalDataCentre,
		snapshotInterval: time.Duration(snapshotAgeFraction * float64(c.History)),
		relay:            c.Relay,
		logger:           log.With(c.Logger, "part", "belief"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		table:  newTable(c.Regions),
		wake:   make(chan struct{}, 1),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	f.table.host, f.table.hostLeaseTerm = c.Host, c.HostLeaseTerm
	f.view.Store(f.table.view())
	first := make(chan struct{})
	f.changed.Store(&first)
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Stop ends the follower and waits for its loop.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// View returns the current view.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// ApplyHint applies a hint of another host that reaches the platform. Such a hint shows that this host is cut off, not that
// the platform is down. It holds until this host reaches the platform again. It is ignored while this host reaches the
// platform, and for staleHintWindow after it lost the platform.
func (f *Follower) ApplyHint(now time.Time, hint Hint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.applyHint(now, hint) {
		f.publish()
	}
}

// publish replaces the view. The caller holds mu.
func (f *Follower) publish() {
	f.view.Store(f.table.view())
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// NoteFailedCall records that a call of another part of this host failed, and when it began. More frequent calls than those of the
// follower tell more precisely when an outage ended.
func (f *Follower) NoteFailedCall(startedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.noteFailedCall(startedAt)
}

// ApplyRelayed applies changes that another host of the data centre received from the platform. If fromWatcher is set, the
// other host watches on behalf of this one, and this host pauses its own watch for relayTTL and its stagger delay. Changes
// from any other host pause it only after a call of this host failed. Changes that leave a gap after the last known position
// are dropped, and this host watches at once. Nothing is applied before the first listing.
//
// It reports whether the sender should be asked for a listing, because of a gap that this host cannot close by itself: its own
// calls fail. It also does so if known entries may lack fields and the sender's do not.
func (f *Follower) ApplyRelayed(now time.Time, fromWatcher bool, c steer.Changes) (asksListing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.table.listed {
		return false
	}
	if c.To.Era == 0 {
		c.To.Era = f.firstEra // The sender runs a build that does not tell eras.
	}
	if c.To.Era < f.position.Era {
		return false
	}
	if !c.Listing && (c.To.Era > f.position.Era || c.From > f.position.Revision) {
		f.relayedUntil, f.fallbackUntil = time.Time{}, time.Time{}
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return now.Sub(f.lastFailure) < 2*fallbackWindow
	}
	if fromWatcher {
		f.relayedUntil = now.Add(relayTTL + f.staggerDelay())
	}
	f.fallbackUntil = now.Add(relayTTL)
	f.partial = f.partial || c.Partial && slices.ContainsFunc(c.Facts, func(fact steer.Fact) bool { return fact.Host != nil })
	if c.Listing {
		f.applyListing(now, c.Facts, c.To)
		f.partial = c.Partial
		return false
	}
	f.applyChanges(now, c.Facts, c.To)
	return fromWatcher && !c.Partial && f.completionDue(now)
}

// Listing returns all that this host knows, for a host that asked for it. It reports false if this host may not be up to date.
func (f *Follower) Listing() (steer.Changes, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.table.listed || !f.table.reachable {
		return steer.Changes{}, false
	}
	return steer.Changes{
		To:      f.position,
		Listing: true,
		Partial: f.partial,
		Facts:   f.table.known(),
	}, true
}

// needsCompletion reports whether this host, which is about to watch the platform for others, should list the entries first because
// those that it knows may lack fields.
func (f *Follower) needsCompletion(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.completionDue(now)
}

// completionDue reports whether known entries may lack fields. It does so once in completionInterval, since a listing may fail. The caller
// holds mu.
func (f *Follower) completionDue(now time.Time) bool {
	if !f.partial || now.Sub(f.completedAt) < completionInterval {
		return false
	}
	f.completedAt = now
	return true
}

// awaitRelay pauses the watch of a host that has just started, if another host of its data centre, one with a lower id,
// watches on its behalf. Otherwise all hosts of a fleet that starts at once would watch. The caller holds mu.
func (f *Follower) awaitRelay(now time.Time) {
	if f.lowerIDs() > 0 {
		f.relayedUntil = now.Add(startupRelayWait)
	}
}

// staggerDelay returns the time for which this host lets others of its data centre watch first when relayed changes stop.
// The caller holds mu.
func (f *Follower) staggerDelay() time.Duration {
	lowerIDs := f.lowerIDs()
	if lowerIDs > staggeredHosts {
		return maxStagger
	}
	return time.Duration(max(0, lowerIDs-1)) * staggerStep // The first host is not counted: it has stopped relaying.
}

// lowerIDs returns the number of registered hosts of the data centre with a lower id. The caller holds mu.
func (f *Follower) lowerIDs() int {
	n := 0
	for _, fact := range f.table.facts {
		if h := fact.Host; h != nil && h.DataCentre == f.dataCentre && h.ID < f.host {
			n++
		}
	}
	return n
}

// watchPausedUntil returns the time until which relayed changes replace this host's own watch, and zero if they do not.
// During a pause it also drops lapsed entries, which watch does otherwise.
func (f *Follower) watchPausedUntil(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.relayedUntil
	if fallbackEnd := f.lastFailure.Add(fallbackWindow); fallbackEnd.After(now) && f.fallbackUntil.After(until) {
		until = f.fallbackUntil
		if fallbackEnd.Before(until) {
			until = fallbackEnd
		}
	}
	if !until.After(now) {
		return time.Time{}
	}
	if next := f.dropExpired(now); !next.IsZero() && next.Before(until) {
		until = next.Add(time.Millisecond)
	}
	return until
}

// dropExpired drops lapsed entries that did not come back in time, uses held ones that have stayed, and publishes the view if
// there were any. It returns when to call it next, zero if no entry is waiting. The caller holds mu.
func (f *Follower) dropExpired(now time.Time) time.Time {
	next, changed := f.expire(now)
	if changed {
		f.publish()
	}
	return next
}

// expire does the same without publishing the view, and reports whether it has changed. The caller holds mu.
func (f *Follower) expire(now time.Time) (next time.Time, changed bool) {
	next, changed, dropped := f.table.expire(now)
	for _, key := range dropped {
		_ = level.Info(f.logger).Log("msg", "Removed entry is no longer used.", "key", key)
	}
	return next, changed
}

func (f *Follower) run(ctx context.Context) {
	started, listed := false, false
	relisting := false // No watch has succeeded since the last one asked for a listing.
	pause := minRetryDelay
	for ctx.Err() == nil {
		var err error
		changed := 0
		now := time.Now()
		until := f.watchPausedUntil(now)
		switch {
		case !started:
			f.guardStep("start", &err, func() { err = f.loadInitial(ctx) })
			started = err == nil
			listed = started
		case !listed:
			f.guardStep("listing", &err, func() { err = f.list(ctx) })
			listed = err == nil
		case !until.IsZero():
			f.setWatching(false)
			f.pauseWatch(ctx, until.Sub(now))
		case f.needsCompletion(now):
			f.guardStep("listing", &err, func() { err = f.list(ctx) })
		default:
			wait := watchWait
			if f.setWatching(true) {
				wait = catchUpWait // Relaying an answer at once keeps the other hosts of the data centre from watching.
			}
			f.guardStep("watch", &err, func() { changed, err = f.watch(ctx, wait) })
			relisting = relisting && err != nil
		}
		if err == nil {
			pause = minRetryDelay
			if f.snapshotInterval > 0 {
				f.guard.Do("snapshot", func() { f.writeSnapshot(ctx) })
			}
			if changed > 0 {
				f.sleep(ctx, coalesceDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, steer.ErrCompacted) || errors.Is(err, errRestored) {
			_ = level.Info(f.logger).Log("msg", "Changes are not available, listing again.", "err", err)
			if !relisting {
				relisting = true
				listed = f.awaitListing(ctx)
				continue
			}
			listed = false
		} else {
			f.noteFailure(now, err)
		}
		f.sleep(ctx, pause)
		pause = min(2*pause, maxRetryDelay)
	}
}

var (
	// errPanic is the error of a step that panicked.
	errPanic = errors.New("step panicked")

	// errRestored means that the store has returned from an older copy since the position of a watch.
	errRestored = errors.New("store was restored from a copy")
)

// guardStep runs one step of the loop, and sets err to errPanic if the step panics.
func (f *Follower) guardStep(name string, err *error, step func()) {
	if !f.guard.Do(name, step) {
		*err = errPanic
	}
}

func (f *Follower) list(ctx context.Context) error {
	facts, position, err := f.catalog.List(ctx)
	if err != nil {
		return err
	}
	changes, relisted, err := f.listed(facts, position)
	if err != nil {
		return err
	}
	if relisted && f.isEarlyLister() {
		f.relay(changes) // Saves the other hosts of the data centre a listing.
	}
	return nil
}

// awaitListing waits until the hosts of the data centre that come first would have listed the entries and relayed them, and
// reports whether relayed changes have arrived. After an outage all hosts need a listing at once.
func (f *Follower) awaitListing(ctx context.Context) bool {
	f.mu.Lock()
	before, delay := f.position, f.staggerDelay()
	f.mu.Unlock()
	f.sleep(ctx, delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position != before
}

// isEarlyLister reports whether this host is one of those of its data centre that list the entries first, one after the other.
// The others need not relay their listings.
func (f *Follower) isEarlyLister() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lowerIDs() <= staggeredHosts
}

// listed applies a listing of this host. It returns what to relay, and reports whether the entries had been listed before.
func (f *Follower) listed(facts []steer.Fact, position steer.Position) (steer.Changes, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	relisted := f.table.listed
	before := f.position
	if position.Era < before.Era {
		return steer.Changes{}, false, fmt.Errorf("listing of era %d, known is %d: %w", position.Era, before.Era, steer.ErrDown)
	}
	f.partial = false
	changed := f.applyListing(now, facts, position)
	f.awaitRelay(now)
	if before.Era != f.position.Era {
		return steer.Changes{
			To:      position,
			Listing: true,
			Facts:   facts,
		}, relisted, nil
	}
	return steer.Changes{
		From:  before.Revision,
		To:    f.position,
		Facts: changed,
	}, relisted, nil
}

// applyListing applies a listing of the current era or a later one, publishes the view and returns the entries that have
// changed. The caller holds mu.
func (f *Follower) applyListing(now time.Time, facts []steer.Fact, position steer.Position) []steer.Fact {
	f.noteReached(now)
	if !f.table.listed {
		f.position, f.firstEra = position, position.Era
	}
	list := f.table.list
	if position.Era > f.position.Era {
		_ = level.Warn(f.logger).Log("msg", "Store was restored from a copy.", "era", position.Era, "revision", position.Revision,
			"era-before", f.position.Era, "revision-before", f.position.Revision)
		f.position = position
		list = f.table.restore
	}
	changed, problems := list(now, facts, position.Revision)
	f.logProblems(problems)
	f.position.Revision = max(f.position.Revision, position.Revision)
	f.publish()
	_ = level.Info(f.logger).Log("msg", "Entries listed.", "entries", len(facts), "era", position.Era,
		"revision", position.Revision, "version", f.planVersion())
	return changed
}

// watch makes one call for changes, relays and applies the result, and returns the number of changes.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (int, error) {
	now := time.Now()
	f.mu.Lock()
	if next := f.dropExpired(now); !next.IsZero() {
		wait = min(wait, next.Sub(now)+time.Millisecond)
	}
	after := f.position
	f.mu.Unlock()
	facts, position, err := f.catalog.Changes(ctx, after, wait)
	if f.leftEra(after.Era) {
		return 0, nil // A relayed listing began another era meanwhile.
	}
	if err != nil {
		return 0, err
	}
	if position.Era != after.Era {
		return 0, fmt.Errorf("%w: era %d, before %d", errRestored, position.Era, after.Era)
	}
	f.relay(steer.Changes{
		From:  after.Revision,
		To:    position,
		Facts: facts,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyChanges(time.Now(), facts, position)
	return len(facts), nil
}

// leftEra reports whether this host is no longer in an era.
func (f *Follower) leftEra(era uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.Era != era
}

// applyChanges applies changes of the current era up to a position and publishes the view. It drops those of another era. The
// caller holds mu.
func (f *Follower) applyChanges(now time.Time, facts []steer.Fact, position steer.Position) {
	if position.Era != f.position.Era {
		return
	}
	f.noteReached(now)
	previous := f.planVersion()
	for _, fact := range facts {
		f.logProblems(f.table.apply(now, fact))
		f.logChange(fact)
	}
	f.position.Revision = max(f.position.Revision, position.Revision)
	f.expire(now)
	f.publish()
	if v := f.planVersion(); v != previous {
		_ = level.Info(f.logger).Log("msg", "Plan in force.", "version", v, "before", previous, "era", position.Era,
			"revision", position.Revision)
	}
}

// noteReached records a successful call, and logs it if the platform was not reachable before. The caller holds mu.
func (f *Follower) noteReached(now time.Time) {
	lostAt := f.table.lostAt
	if !f.table.markReachable(now) {
		return
	}
	if lostAt.IsZero() {
		_ = level.Info(f.logger).Log("msg", "Platform reached for the first time.")
		return
	}
	_ = level.Info(f.logger).Log("msg", "Platform reached.", "away", now.Sub(lostAt), "back-since", now.Sub(f.table.regainedAt))
}

// noteFailure records a failed call. The platform is not marked unreachable while another host relays its changes.
func (f *Follower) noteFailure(startedAt time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.lastFailure = now
	f.table.noteFailedCall(startedAt)
	if f.fallbackUntil.After(now) {
		_ = level.Info(f.logger).Log("msg", "Call to the platform failed, using changes relayed by another host.", "err", err)
		return
	}
	if f.table.markUnreachable(now) {
		_ = level.Warn(f.logger).Log("msg", "Platform lost.", "err", err)
	}
	f.publish()
}

// logChange logs a removed entry, or a change of a target, a host or an emptied data centre, once it has been applied. The caller
// holds mu.
func (f *Follower) logChange(fact steer.Fact) {
	switch {
	case fact.Removed:
		_, kept := f.table.facts[fact.Key]
		_ = level.Info(f.logger).Log("msg", "Entry removed.", "key", fact.Key, "revision", fact.Revision, "kept", kept)
	case fact.Endpoint != nil:
		e := fact.Endpoint
		_ = level.Info(f.logger).Log("msg", "Target changed.", "target", e.ID, "service", e.Service, "draining", e.Draining,
			"warmup-left", e.WarmupLeft, "address", e.Address, "revision", fact.Revision)
	case fact.Host != nil:
		_ = level.Info(f.logger).Log("msg", "Host changed.", "host", fact.Host.ID, "incarnation", fact.Host.Incarnation, "leaving", fact.Host.Leaving,
			"revision", fact.Revision)
	case fact.Rejected != 0:
		_ = level.Info(f.logger).Log("msg", "Request is rejected by all hosts.", "request-key", fmt.Sprintf("%016x", fact.Rejected),
			"revision", fact.Revision)
	case fact.Emptied != "":
		_ = level.Info(f.logger).Log("msg", "Data centre is emptied.", "data-centre", fact.Emptied, "revision", fact.Revision)
	}
}

func (f *Follower) logProblems(problems []error) {
	for _, err := range problems {
		_ = level.Warn(f.logger).Log("msg", "Entry rejected.", "err", err)
	}
}

func (f *Follower) planVersion() uint64 {
	if f.table.index == nil {
		return 0
	}
	return f.table.index.Plan.Version
}

// setWatching records whether this host watches the platform itself, and reports whether that has changed.
func (f *Follower) setWatching(own bool) bool {
	if own == f.watching {
		return false
	}
	f.watching = own
	_ = level.Info(f.logger).Log("msg", "Watch of the platform changed hands.", "own", own)
	return true
}

// pauseWatch waits for a duration, until ApplyRelayed finds a gap in the relayed changes, or until ctx ends.
func (f *Follower) pauseWatch(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
