package belief

import (
	"context"
	"errors"
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
	// watchWait is the longest time that one call waits for changes. A watch may go deaf without being cut, and a drain
	// binds 2.5 s after the platform acknowledged it.
	watchWait = 1200 * time.Millisecond

	// coverTime is the time for which the word of another host stands in for an own watch: a watch of that host and the time
	// to notice that it gets no answer. A drain binds 2.5 s after its acknowledgement.
	coverTime = watchWait + 600*time.Millisecond

	// firstCover is the time for which a host that has just begun waits for another one to watch for it: the time in which
	// that one begins and opens its links. A drain binds later than that.
	firstCover = 900 * time.Millisecond

	// turnsTaken is the number of hosts of a data centre that watch one after the other when the word of another ends, turnTime
	// apart; the others follow after lastTurn. The first one that gets an answer stands in for all, so that not all of a large
	// data centre call a platform that does not answer.
	turnsTaken = 4
	turnTime   = 100 * time.Millisecond
	lastTurn   = 900 * time.Millisecond

	// gatherTime is the pause after a watch that brought changes, so that changes in quick succession cost one call together.
	gatherTime = 250 * time.Millisecond

	// substituteTime is the time after an own failed call for which the word of any host stands in for own calls.
	substituteTime = 2 * time.Second

	// retryFirst and retryMost bound the pause after a failed call: short, because a drain binds within 2.5 s, and bounded
	// because every call is priced.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Catalog         steer.Catalog
	Host            string              // ID of this host; empty for one that only reads.
	LocalDataCentre string              // Its data centre.
	History         time.Duration       // For which the platform keeps changes at most. 0 means that no snapshots are written.
	Regions         map[string]string   // Region by data centre.
	Relay           func(steer.Changes) // Takes each result of an own watch. Nil means none.
	Logger          log.Logger          // Nil means no logging.
	Metrics         metrics.Registry    // Nil means a private registry.
}

// Follower keeps the View up to date.
type Follower struct {
	catalog steer.Catalog
	host    string
	centre  string
	refresh time.Duration // Time after which a snapshot is written anew.
	relay   func(steer.Changes)
	logger  log.Logger
	guard   *guard.Guard
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	wake    chan struct{} // Ends a pause during which another host stands in.
	cancel  context.CancelFunc
	done    chan struct{}

	mu         sync.Mutex
	table      *table
	revision   uint64    // From which the next watch continues.
	covered    time.Time // Until when a host that watches for this one stands in.
	substitute time.Time // Until when any host does; of use after an own failed call.
	failed     time.Time // When an own call last failed.
	kept       kept
	watching   bool // The last view came from an own watch. Used by the loop only.
}

// New starts a follower.
func New(c Config) *Follower {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Relay == nil {
		c.Relay = func(steer.Changes) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		catalog: c.Catalog,
		host:    c.Host,
		centre:  c.LocalDataCentre,
		refresh: time.Duration(historyPart * float64(c.History)),
		relay:   c.Relay,
		logger:  log.With(c.Logger, "part", "belief"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		table:  newTable(c.Regions),
		wake:   make(chan struct{}, 1),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	f.view.Store(f.table.view())
	first := make(chan struct{})
	f.changed.Store(&first)
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

// Stop ends the loop.
func (f *Follower) Stop() {
	f.cancel()
	<-f.done
}

// View returns what is believed now.
func (f *Follower) View() *View { return f.view.Load() }

// Changed returns a channel that is closed when the view changes.
func (f *Follower) Changed() <-chan struct{} { return *f.changed.Load() }

// ApplyHint takes what another host that reaches the platform tells. That it does so tells an outage of the platform from a cut
// of this host, and its hint counts until this host reaches the platform again.
func (f *Follower) ApplyHint(now time.Time, hint Hint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.hear(now, hint) {
		f.publish()
	}
}

// publish replaces the view. The caller holds mu.
func (f *Follower) publish() {
	f.view.Store(f.table.view())
	next := make(chan struct{})
	close(*f.changed.Swap(&next))
}

// ApplyRelayed takes changes that another host of the data centre watched. A host that watches for this one makes own watches
// needless for some time; the word of any other does so after an own call failed. Changes that do not continue from what is
// known are left to an own watch.
func (f *Follower) ApplyRelayed(now time.Time, watchesForThis bool, c steer.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.table.listed {
		return
	}
	if c.From > f.revision {
		f.covered, f.substitute = time.Time{}, time.Time{}
		select {
		case f.wake <- struct{}{}:
		default:
		}
		return
	}
	if watchesForThis {
		f.covered = now.Add(coverTime + f.turn())
	}
	f.substitute = now.Add(coverTime)
	f.take(now, c.Facts, c.To)
}

// awaitCover lets a host that has just begun wait for the word of another one of its data centre, if there is one that watches
// for it: else all hosts of a fleet that starts at once would watch. The caller holds mu.
func (f *Follower) awaitCover(now time.Time) {
	for _, fact := range f.table.facts {
		if h := fact.Host; h != nil && h.DataCentre == f.centre && h.ID < f.host {
			f.covered = now.Add(firstCover)
			return
		}
	}
}

// turn is the time for which this host lets others of its data centre go first when the word of another has ended. The caller
// holds mu.
func (f *Follower) turn() time.Duration {
	before := 0
	for _, fact := range f.table.facts {
		if h := fact.Host; h != nil && h.DataCentre == f.centre && h.ID < f.host {
			before++
		}
	}
	if before > turnsTaken {
		return lastTurn
	}
	return time.Duration(max(0, before-1)) * turnTime // The first one has had its turn.
}

// uncovered returns the time until which another host stands in for own watches, zero for none.
func (f *Follower) uncovered(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := f.covered
	if again := f.failed.Add(substituteTime); again.After(now) && f.substitute.After(until) {
		until = f.substitute
		if again.Before(until) {
			until = again
		}
	}
	if !until.After(now) {
		return time.Time{}
	}
	if next := f.table.expire(now); !next.IsZero() && next.Before(until) {
		until = next.Add(time.Millisecond)
		f.publish()
	}
	return until
}

func (f *Follower) run(ctx context.Context) {
	begun, listed := false, false
	pause := retryFirst
	for ctx.Err() == nil {
		var err error
		changed := 0
		now := time.Now()
		until := f.uncovered(now)
		switch {
		case !begun:
			f.contain("start", &err, func() { err = f.begin(ctx) })
			begun = err == nil
			listed = begun
		case !listed:
			f.contain("listing", &err, func() { err = f.list(ctx) })
			listed = err == nil
		case !until.IsZero():
			f.watches(false)
			f.stand(ctx, until.Sub(now))
		default:
			wait := watchWait
			if f.watches(true) {
				wait = catchUpWait // An answer at once lets the others of the data centre stand.
			}
			f.contain("watch", &err, func() { changed, err = f.follow(ctx, wait) })
		}
		if err == nil {
			pause = retryFirst
			if f.refresh > 0 {
				f.guard.Do("snapshot", func() { f.keepSnapshot(ctx) })
			}
			if changed > 0 {
				f.sleep(ctx, gatherTime)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, steer.ErrCompacted) {
			_ = level.Info(f.logger).Log("msg", "History is gone, listing again.")
			listed = false
			continue
		}
		f.fail(err)
		f.sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// errPanic stands for the outcome of a step that panicked.
var errPanic = errors.New("step panicked")

// contain runs one step of the loop. A step that panics has failed.
func (f *Follower) contain(name string, err *error, step func()) {
	if !f.guard.Do(name, step) {
		*err = errPanic
	}
}

func (f *Follower) list(ctx context.Context) error {
	facts, revision, err := f.catalog.List(ctx)
	if err != nil {
		return err
	}
	changes, again := f.listed(facts, revision)
	if again {
		f.relay(changes) // The others need not list as well.
	}
	return nil
}

// listed takes a listing. It returns what has changed, and reports whether the entries had been listed before.
func (f *Follower) listed(facts []steer.Fact, revision uint64) (steer.Changes, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	again := f.table.listed
	changes := steer.Changes{
		From: f.revision,
		To:   max(f.revision, revision),
	}
	f.reach(now)
	var problems []error
	changes.Facts, problems = f.table.list(now, facts, revision)
	f.report(problems)
	f.revision = max(f.revision, revision)
	f.publish()
	f.awaitCover(now)
	_ = level.Info(f.logger).Log("msg", "Entries listed.", "entries", len(facts), "revision", revision,
		"version", f.version())
	return changes, again
}

// follow makes one watch and returns the number of changes that it brought.
func (f *Follower) follow(ctx context.Context, wait time.Duration) (int, error) {
	now := time.Now()
	f.mu.Lock()
	if next := f.table.expire(now); !next.IsZero() {
		wait = min(wait, next.Sub(now)+time.Millisecond)
	}
	after := f.revision
	f.mu.Unlock()
	facts, revision, err := f.catalog.Changes(ctx, after, wait)
	if err != nil {
		return 0, err
	}
	f.relay(steer.Changes{
		From:  after,
		To:    revision,
		Facts: facts,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.take(time.Now(), facts, revision)
	return len(facts), nil
}

// take applies changes. The caller holds mu.
func (f *Follower) take(now time.Time, facts []steer.Fact, revision uint64) {
	f.reach(now)
	before := f.version()
	for _, fact := range facts {
		f.report(f.table.apply(now, fact))
		f.log(fact)
	}
	f.revision = max(f.revision, revision)
	f.table.expire(now)
	f.publish()
	if v := f.version(); v != before {
		_ = level.Info(f.logger).Log("msg", "Plan in force.", "version", v, "before", before, "revision", revision)
	}
}

func (f *Follower) reach(now time.Time) {
	lostAt := f.table.lostAt
	if !f.table.reached(now) {
		return
	}
	if lostAt.IsZero() {
		_ = level.Info(f.logger).Log("msg", "Platform reached for the first time.")
		return
	}
	_ = level.Info(f.logger).Log("msg", "Platform reached.", "away", now.Sub(lostAt), "back-since", now.Sub(f.table.regained))
}

func (f *Follower) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.failed = now
	if f.substitute.After(now) {
		_ = level.Info(f.logger).Log("msg", "Platform does not answer, another host stands in.", "err", err)
		return
	}
	if f.table.lost(now) {
		_ = level.Warn(f.logger).Log("msg", "Platform lost.", "err", err)
	}
	f.publish()
}

// log writes one line for a change of a target, a host or an emptied data centre.
func (f *Follower) log(fact steer.Fact) {
	switch {
	case fact.Removed:
		_ = level.Info(f.logger).Log("msg", "Entry removed.", "key", fact.Key, "revision", fact.Revision)
	case fact.Endpoint != nil:
		e := fact.Endpoint
		_ = level.Info(f.logger).Log("msg", "Target changed.", "target", e.ID, "service", e.Service, "draining", e.Draining,
			"warmup-left", e.WarmupLeft, "address", e.Address, "revision", fact.Revision)
	case fact.Host != nil:
		_ = level.Info(f.logger).Log("msg", "Host changed.", "host", fact.Host.ID, "incarnation", fact.Host.Incarnation,
			"revision", fact.Revision)
	case fact.Emptied != "":
		_ = level.Info(f.logger).Log("msg", "Data centre is emptied.", "data-centre", fact.Emptied, "revision", fact.Revision)
	}
}

func (f *Follower) report(problems []error) {
	for _, err := range problems {
		_ = level.Warn(f.logger).Log("msg", "Entry passed over.", "err", err)
	}
}

func (f *Follower) version() uint64 {
	if f.table.index == nil {
		return 0
	}
	return f.table.index.Plan.Version
}

// watches notes whether this host watches or another one stands in, and reports whether that has changed.
func (f *Follower) watches(own bool) bool {
	if own == f.watching {
		return false
	}
	f.watching = own
	_ = level.Info(f.logger).Log("msg", "Watch of the platform changed hands.", "own", own)
	return true
}

// stand waits while another host stands in.
func (f *Follower) stand(ctx context.Context, d time.Duration) {
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
