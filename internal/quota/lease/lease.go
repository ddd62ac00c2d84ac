package lease

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/time/rate"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/bucket"
)

const (
	longestWait = 150 * time.Millisecond // Longest wait of a request for a loan in flight: two round trips between regions.
	stopPoll    = 10 * time.Millisecond  // Interval at which Stop looks for loans that are still out.
	kickBuffer  = 1024                   // Quotas that may wait for the borrower at once.
)

// errHeld ends the wait for lent loans: the hold of every loan has passed.
var errHeld = eris.New("loans have ended")

// Slots tells which slots of the own data centre this host holds. Changed must be closed before a yielded slot is
// acknowledged to its new holder.
type Slots interface {
	// Held returns the slots with their generations. Slots are counted from 0.
	Held(now time.Time) []steer.SlotClaim
	// UsableUntil returns the time until which the host may spend on its slots, zero when it may not. It is called for
	// each request and must not take a lock that all requests share.
	UsableUntil(now time.Time) time.Time
	// FreshTakeover returns the time of an unplanned takeover of the slot, zero without one.
	FreshTakeover(slot int) time.Time
	// Changed returns a channel that is closed when the answer of Held changes.
	Changed() <-chan struct{}
}

// Config is what a Manager needs.
type Config struct {
	ID          string // Of this host.
	DataCentre  string // Of this host.
	Region      string // Of this host.
	Incarnation uint64 // Of this process.
	Source      steer.Source
	Peers       steer.Peers
	Slots       Slots
	Logger      log.Logger       // Nil for no logging.
	Metrics     metrics.Registry // Nil for a private registry.
	Tracer      trace.Tracer     // Nil for no tracing.
}

// Manager keeps this host's parts of all quotas. It implements steer.Limiter and steer.Units.
type Manager struct {
	config Config
	logger log.Logger
	table  atomic.Pointer[table]

	mu       sync.Mutex // Guards the change of the table, never held while spending.
	versions *versions
	held     map[int]uint64 // Generation of each held slot.

	number   atomic.Uint64
	kicks    chan *entry
	stopping atomic.Bool
	stop     context.CancelFunc
	starting sync.Mutex // Guards the start of goroutines by requests against Stop.
	running  sync.WaitGroup
	freed    signal
	hopeless *rate.Limiter // Requests for quotas that nobody had to lend.
	ahead    *rate.Limiter // Requests for single tokens that no request waits for.
	counts   counts
}

// table is the set of quotas under one configuration and set of slots.
type table struct {
	config  *steer.Config
	entries map[steer.QuotaName]*entry
	shares  map[string]map[steer.QuotaName]Share // Of every data centre, by its name.
	source  <-chan struct{}
	slots   <-chan struct{}
}

// stale reports whether configuration or slots changed since the table was made. It takes no lock.
func (t *table) stale() bool { return closed(t.source) || closed(t.slots) }

// closed reports whether a channel that carries no values is closed. A select with a single channel does not lock it,
// in contrast to one with several.
func closed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// counts are the metrics of a Manager.
type counts struct {
	asked    metrics.Counter // Requests for a loan sent.
	gathered metrics.Counter // Requests for single tokens sent.
	borrowed metrics.Counter // Loans received.
	lent     metrics.Counter // Loans given.
	returned metrics.Counter // Loans sent back early.
	waited   metrics.Counter // Requests that waited for a loan.
	refused  metrics.Counter // Requests refused for lack of a token.
}

var (
	_ steer.Limiter = (*Manager)(nil)
	_ steer.Units   = (*Manager)(nil)
)

// Quota is the state of this host's part of one quota, for the operator API. Rates are in tokens per second. For
// concurrent work Level is the number of free units, Cap the capacity and Rate zero.
type Quota struct {
	Name     steer.QuotaName
	Level    float64
	Cap      float64
	Rate     float64
	Lent     float64 // Rate or units.
	Borrowed float64 // Rate or units.
}

// New installs the message handlers and starts borrowing and lending.
func New(config Config) *Manager {
	if config.Logger == nil {
		config.Logger = log.NewNopLogger()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.Tracer == nil {
		config.Tracer = noop.NewTracerProvider().Tracer("lease")
	}
	ctx, stop := context.WithCancel(context.Background())
	m := &Manager{
		config:   config,
		logger:   log.With(config.Logger, "part", "lease"),
		versions: newVersions(config.DataCentre, time.Now()),
		held:     map[int]uint64{},
		kicks:    make(chan *entry, kickBuffer),
		stop:     stop,
		hopeless: rate.NewLimiter(hopelessRate, hopelessBurst),
		ahead:    rate.NewLimiter(aheadRate, aheadBurst),
		counts: counts{
			asked:    metrics.GetOrRegisterCounter("lease-asked", config.Metrics),
			gathered: metrics.GetOrRegisterCounter("lease-gathered", config.Metrics),
			borrowed: metrics.GetOrRegisterCounter("lease-borrowed", config.Metrics),
			lent:     metrics.GetOrRegisterCounter("lease-lent", config.Metrics),
			returned: metrics.GetOrRegisterCounter("lease-returned", config.Metrics),
			waited:   metrics.GetOrRegisterCounter("lease-waited", config.Metrics),
			refused:  metrics.GetOrRegisterCounter("lease-refused", config.Metrics),
		},
	}
	m.refresh(time.Now(), true)
	config.Peers.Handle(steer.KindBorrow, m.handleBorrow)
	config.Peers.Handle(steer.KindReturn, m.handleReturn)
	m.running.Go(func() { m.run(ctx) })
	return m
}

// current returns the table in force. Configuration and slots are checked for each request, so a host that was paused
// cannot spend under an old table.
func (m *Manager) current(now time.Time) *table {
	t := m.table.Load()
	if !t.stale() {
		return t
	}
	m.refresh(now, false)
	return m.table.Load()
}

// refresh derives all parts anew. Unless forced, it does nothing when another caller has done so already.
func (m *Manager) refresh(now time.Time, force bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.table.Load()
	if !force && old != nil && !old.stale() {
		return
	}
	// The channels are taken before the values, so a change in between makes the new table stale and is not missed.
	t := &table{
		entries: map[steer.QuotaName]*entry{},
		source:  m.config.Source.Changed(),
		slots:   m.config.Slots.Changed(),
	}
	t.config = m.config.Source.Current()
	held := map[int]uint64{}
	for _, c := range m.config.Slots.Held(now) {
		held[c.Slot] = c.Generation
	}
	if t.config != nil {
		t.shares = divideAll(t.config, old)
		m.versions.add(t.config)
		m.versions.observe(now, m.config.Peers.Members())
		m.fill(now, old, t, held)
	}
	m.held = held
	m.table.Store(t)
	if t.config != nil && (old == nil || old.config != t.config) {
		level.Info(m.logger).Log("msg", "Quotas divided.", "version", t.config.Version, "slots", len(held))
	}
}

// fill puts the parts of all quotas in force. A slot that was lost in between is taken off first, so that its tokens
// are cut even if the same slot is held again.
func (m *Manager) fill(now time.Time, old, t *table, held map[int]uint64) {
	kept := map[int]uint64{}
	for slot, generation := range m.held {
		if held[slot] == generation && generation > 0 {
			kept[slot] = generation
		}
	}
	lost := len(kept) < len(m.held)
	for _, k := range m.versions.known {
		for name, share := range k.shares {
			if t.entries[name] != nil {
				continue
			}
			e := old.entry(name)
			if e == nil {
				e = newEntry(now, name, share.Work)
			}
			t.entries[name] = e
			if lost {
				m.set(now, e, kept)
			}
			m.set(now, e, held)
		}
	}
}

// set gives a bucket the sum of the parts of the slots.
func (m *Manager) set(now time.Time, e *entry, slots map[int]uint64) {
	if e.rate != nil {
		var sum bucket.RateShare
		for slot := range slots {
			p := m.versions.part(now, e.name, slot)
			sum.Rate += p.Rate
			sum.Cap += p.Cap
		}
		e.rate.Set(now, sum)
		e.small.Store(sum.Cap < smallCap)
		return
	}
	capacity, pending := 0, 0
	var after time.Time
	for slot := range slots {
		units := m.versions.units(now, e.name, slot)
		ready := m.ready(slot)
		if !ready.After(now) {
			capacity += units
			continue
		}
		pending += units
		if ready.After(after) {
			after = ready
		}
	}
	e.units.Set(now, capacity, pending, after)
}

// ready returns the time from which the units of a slot may be used. Requests of the holder before an unplanned
// takeover may run for the longest timeout of any service.
func (m *Manager) ready(slot int) time.Time {
	taken := m.config.Slots.FreshTakeover(slot)
	if taken.IsZero() {
		return time.Time{}
	}
	var longest time.Duration
	for _, k := range m.versions.known {
		for _, s := range k.shares {
			longest = max(longest, s.Timeout)
		}
	}
	return taken.Add(longest)
}

// divideAll returns the shares of every data centre, those of the old table if the configuration is the same.
func divideAll(config *steer.Config, old *table) map[string]map[steer.QuotaName]Share {
	if old != nil && old.config == config {
		return old.shares
	}
	all := map[string]map[steer.QuotaName]Share{}
	for _, d := range config.Fleet.DataCentres {
		all[d.Name] = Divide(config, d.Name)
	}
	return all
}

func (t *table) entry(name steer.QuotaName) *entry {
	if t == nil {
		return nil
	}
	return t.entries[name]
}

// Take implements steer.Limiter.
func (m *Manager) Take(ctx context.Context, name steer.QuotaName) error {
	now := time.Now()
	t := m.current(now)
	if t.config == nil {
		return refusal(steer.ReasonNoConfig, http.StatusServiceUnavailable, 0)
	}
	e := t.entries[name]
	if e == nil || e.rate == nil {
		return refusal(steer.ReasonRate, http.StatusTooManyRequests, 0)
	}
	usable := m.config.Slots.UsableUntil(now)
	ok, low := e.rate.Take(now, usable)
	if low {
		m.kick(e)
	}
	if ok {
		m.startGather(ctx, now, e)
		return nil
	}
	if now.Before(usable) && m.wait(ctx, now, e) {
		return nil
	}
	m.counts.refused.Inc(1)
	next, _ := e.rate.NextTokenIn(time.Now())
	return refusal(steer.ReasonRate, http.StatusTooManyRequests, next)
}

// TryTake implements steer.Limiter.
func (m *Manager) TryTake(now time.Time, name steer.QuotaName) bool {
	e := m.current(now).entries[name]
	if e == nil || e.rate == nil {
		return false
	}
	ok, low := e.rate.Take(now, m.config.Slots.UsableUntil(now))
	if low {
		m.kick(e)
	}
	return ok
}

// wait lets a request wait for loans in flight. Only the first in line looks for tokens, so a crowd of waiting
// requests costs little.
func (m *Manager) wait(ctx context.Context, now time.Time, e *entry) bool {
	limit := longestWait
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, end.Sub(now)/5)
	}
	if limit <= 0 {
		return false
	}
	e.waiting.Add(1)
	defer m.endWait(ctx, e)
	m.startGather(ctx, now, e)
	if !e.hopeful(now, limit) {
		return false
	}
	m.counts.waited.Inc(1)
	ctx, span := m.config.Tracer.Start(ctx, "wait for loan")
	defer span.End()
	end := now.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case e.line <- struct{}{}:
		defer func() { <-e.line }()
	case <-ctx.Done():
		return false
	}
	for {
		arrived := e.arrived.wait()
		now = time.Now()
		if e.rate.TakeUncounted(now, m.config.Slots.UsableUntil(now)) {
			return true
		}
		m.startGather(ctx, now, e)
		if !e.hopeful(now, end.Sub(now)) {
			return false
		}
		next, fills := e.rate.NextTokenIn(now)
		if !fills {
			next = limit
		}
		if delay := e.gatherDelay(now); delay > 0 {
			next = min(next, delay)
		}
		timer := time.NewTimer(max(next, time.Millisecond))
		select {
		case <-arrived:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

func refusal(reason steer.Reason, status int, after time.Duration) error {
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     status,
		RetryAfter: after,
	}
}

// TryAcquire implements steer.Units.
func (m *Manager) TryAcquire(now time.Time, name steer.QuotaName, deadline time.Time) (release func(), ok bool) {
	e := m.current(now).entries[name]
	if e == nil || e.units == nil {
		return nil, false
	}
	lease, ok := e.units.Acquire(now, m.config.Slots.UsableUntil(now), deadline)
	if !ok {
		m.kick(e)
		return nil, false
	}
	return func() { e.units.Release(lease) }, true
}

// Freed implements steer.Units.
func (m *Manager) Freed() <-chan struct{} { return m.freed.wait() }

// OutOfQuota reports whether this host should leave the look-up answers: it may not spend, or no customer quota has a
// token.
func (m *Manager) OutOfQuota(now time.Time) bool {
	t := m.current(now)
	if t.config == nil || !now.Before(m.config.Slots.UsableUntil(now)) {
		return true
	}
	for name := range t.config.Customers {
		e := t.entries[steer.CustomerQuota(name)]
		if e != nil && e.rate.State(now).Level >= 1 {
			return false
		}
	}
	return len(t.config.Customers) > 0
}

// Snapshot returns all quotas in the order of their names.
func (m *Manager) Snapshot(now time.Time) []Quota {
	t := m.current(now)
	all := make([]Quota, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.quota(now))
	}
	slices.SortFunc(all, func(a, b Quota) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// LoansUntil returns the end of the last loan that is lent, zero without one. The new holder of a yielded slot must not
// spend before.
func (m *Manager) LoansUntil(now time.Time) time.Time {
	var last time.Time
	for _, e := range m.table.Load().entries {
		if end := e.lentUntil(now); end.After(last) {
			last = end
		}
	}
	return last
}

// Stop stops borrowing and lending, returns loans, and waits until the loans it has lent have come back or ended, at
// most 2.12 s. Requests may still be admitted with what is left. It fails with the error of ctx.
func (m *Manager) Stop(ctx context.Context) error {
	m.starting.Lock()
	stopped := m.stopping.Swap(true)
	m.starting.Unlock()
	if stopped {
		return nil
	}
	m.stop()
	m.running.Wait()
	m.returnAll(ctx)
	ctx, cancel := context.WithTimeoutCause(ctx, bucket.MaxHold, errHeld)
	defer cancel()
	poll := time.NewTicker(stopPoll)
	defer poll.Stop()
	for !m.LoansUntil(time.Now()).IsZero() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			if context.Cause(ctx) == errHeld {
				return nil
			}
			return eris.Wrap(ctx.Err(), "stopped before all loans came back")
		}
	}
	return nil
}
