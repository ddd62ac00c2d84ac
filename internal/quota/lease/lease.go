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
	maxLoanWait      = 150 * time.Millisecond // A request waits at most this long for a loan: two round trips between regions.
	stopPollInterval = 10 * time.Millisecond  // Interval at which Stop checks for outstanding loans.
	borrowQueueSize  = 1024                   // Quotas that may be queued for the borrower.
)

// errLoansEnded ends the wait of Stop for lent loans: the hold of every loan has passed.
var errLoansEnded = eris.New("loans have ended")

// Slots provides the slots of its data centre that this host holds. The channel of Changed must be closed before a
// yielded slot is acknowledged to its new holder.
type Slots interface {
	// Held returns the slots with their generations. Slots are counted from 0.
	Held(now time.Time) []steer.SlotClaim
	// UsableUntil returns the time until which the host may use the shares of its slots, zero if it may not use them. It
	// is called for each request and must not take a lock that all requests share.
	UsableUntil(now time.Time) time.Time
	// UnplannedTakeover returns when this host took over the slot without a planned release, zero otherwise.
	UnplannedTakeover(slot int) time.Time
	// Changed returns a channel that is closed when the result of Held changes.
	Changed() <-chan struct{}
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	ID          string // ID of this host.
	DataCentre  string // Data centre of this host.
	Region      string // Region of this host.
	Incarnation uint64 // Incarnation of this process.
	Source      steer.Source
	Peers       steer.Peers
	Slots       Slots
	Logger      log.Logger       // Nil for no logging.
	Metrics     metrics.Registry // Nil for a private registry.
	Tracer      trace.Tracer     // Nil for no tracing.
}

// Manager keeps this host's shares of all quotas. It implements steer.Limiter and steer.Units.
type Manager struct {
	config Config
	logger log.Logger
	table  atomic.Pointer[table]

	mu        sync.Mutex // Guards replacement of the table; requests take it only to replace a stale table.
	versions  *versions
	heldSlots map[int]uint64 // Generation of each held slot.

	loanNumber      atomic.Uint64
	borrowQueue     chan *entry
	stopping        atomic.Bool
	stop            context.CancelFunc
	startMu         sync.Mutex // Serialises the start of goroutines by requests with Stop.
	running         sync.WaitGroup
	freed           signal
	retryLimiter    *rate.Limiter // Limits loan requests for quotas whose last requests were not granted.
	prefetchLimiter *rate.Limiter // Limits requests for single tokens while no request waits.
	counts          counts
}

// table holds the quotas under one configuration and set of slots.
type table struct {
	config  *steer.Config
	entries map[steer.QuotaName]*entry
	shares  map[string]map[steer.QuotaName]Share // Shares of every data centre, by its name.
	source  <-chan struct{}
	slots   <-chan struct{}
}

// stale reports whether the configuration or the slots changed since the table was built. It takes no lock.
func (t *table) stale() bool { return closed(t.source) || closed(t.slots) }

// closed reports whether a channel that carries no values is closed. A select with a single channel and a default case
// does not lock the channel, unlike one with several channels.
func closed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// counts holds the metrics of a Manager.
type counts struct {
	loanRequests  metrics.Counter // Loan requests sent.
	tokenRequests metrics.Counter // Requests for single tokens sent.
	borrowed      metrics.Counter // Loans received.
	lent          metrics.Counter // Loans granted.
	returned      metrics.Counter // Loans returned early.
	waited        metrics.Counter // Requests that waited for a loan.
	refused       metrics.Counter // Requests refused because no token was available.
}

var (
	_ steer.Limiter = (*Manager)(nil)
	_ steer.Units   = (*Manager)(nil)
)

// Quota is the state of this host's share of one quota, for the operator API. Rates are in tokens per second. For a quota
// of concurrent work, Level is the number of free units, Cap the capacity, and Rate zero.
type Quota struct {
	Name     steer.QuotaName
	Level    float64
	Cap      float64
	Rate     float64
	Lent     float64 // Rate or units lent to other hosts.
	Borrowed float64 // Rate or units borrowed from other hosts.
}

// New returns a Manager, installs its message handlers, and starts borrowing and lending. Stop ends both.
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
		config:          config,
		logger:          log.With(config.Logger, "part", "lease"),
		versions:        newVersions(config.DataCentre, time.Now()),
		heldSlots:       map[int]uint64{},
		borrowQueue:     make(chan *entry, borrowQueueSize),
		stop:            stop,
		retryLimiter:    rate.NewLimiter(retryRate, retryBurst),
		prefetchLimiter: rate.NewLimiter(prefetchRate, prefetchBurst),
		counts: counts{
			loanRequests:  metrics.GetOrRegisterCounter("lease-asked", config.Metrics),
			tokenRequests: metrics.GetOrRegisterCounter("lease-gathered", config.Metrics),
			borrowed:      metrics.GetOrRegisterCounter("lease-borrowed", config.Metrics),
			lent:          metrics.GetOrRegisterCounter("lease-lent", config.Metrics),
			returned:      metrics.GetOrRegisterCounter("lease-returned", config.Metrics),
			waited:        metrics.GetOrRegisterCounter("lease-waited", config.Metrics),
			refused:       metrics.GetOrRegisterCounter("lease-refused", config.Metrics),
		},
	}
	m.refresh(time.Now(), true)
	config.Peers.Handle(steer.KindBorrow, m.handleBorrow)
	config.Peers.Handle(steer.KindReturn, m.handleReturn)
	m.running.Go(func() { m.run(ctx) })
	return m
}

// current returns the table in force. The configuration and the slots are checked for each request, so that a process
// that was paused cannot admit requests under an old table.
func (m *Manager) current(now time.Time) *table {
	t := m.table.Load()
	if !t.stale() {
		return t
	}
	m.refresh(now, false)
	return m.table.Load()
}

// refresh recomputes the shares of all quotas. Unless force is set, it does nothing if another caller has already
// replaced the stale table.
func (m *Manager) refresh(now time.Time, force bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.table.Load()
	if !force && old != nil && !old.stale() {
		return
	}
	// The channels are read before the values, so that a change in between marks the new table as stale and is not missed.
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
		m.applyShares(now, old, t, held)
	}
	m.heldSlots = held
	m.table.Store(t)
	if t.config != nil && (old == nil || old.config != t.config) {
		level.Info(m.logger).Log("msg", "Quotas divided.", "version", t.config.Version, "slots", len(held))
	}
}

// applyShares sets the shares of all quotas. If a slot was lost in the meantime, the shares are first set without it, so
// that its tokens are removed even if the same slot is held again.
func (m *Manager) applyShares(now time.Time, old, t *table, held map[int]uint64) {
	kept := map[int]uint64{}
	for slot, generation := range m.heldSlots {
		if held[slot] == generation && generation > 0 {
			kept[slot] = generation
		}
	}
	lost := len(kept) < len(m.heldSlots)
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
				m.setShare(now, e, kept)
			}
			m.setShare(now, e, held)
		}
	}
}

// setShare sets the share of a quota to the sum of the shares of the slots.
func (m *Manager) setShare(now time.Time, e *entry, slots map[int]uint64) {
	if e.rate != nil {
		var sum bucket.RateShare
		for slot := range slots {
			p := m.versions.rateShare(now, e.name, slot)
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
		usableFrom := m.unitsUsableFrom(slot)
		if !usableFrom.After(now) {
			capacity += units
			continue
		}
		pending += units
		if usableFrom.After(after) {
			after = usableFrom
		}
	}
	e.units.Set(now, capacity, pending, after)
}

// unitsUsableFrom returns the time from which the units of a slot may be used, zero if at once. After an unplanned
// takeover, requests of the previous holder may still run for the longest timeout of any service.
func (m *Manager) unitsUsableFrom(slot int) time.Time {
	taken := m.config.Slots.UnplannedTakeover(slot)
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

// divideAll returns the shares of every data centre. It reuses those of the old table if the configuration is the same.
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
		m.enqueue(e)
	}
	if ok {
		m.startGather(ctx, now, e)
		return nil
	}
	if now.Before(usable) && m.waitForLoan(ctx, now, e) {
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
		m.enqueue(e)
	}
	return ok
}

// waitForLoan waits for loans in flight and reports whether the request got a token. Only the request at the head of the
// line polls for tokens, so that many waiting requests cost little.
func (m *Manager) waitForLoan(ctx context.Context, now time.Time, e *entry) bool {
	limit := maxLoanWait
	if end, ok := ctx.Deadline(); ok {
		limit = min(limit, end.Sub(now)/5)
	}
	if limit <= 0 {
		return false
	}
	e.waiting.Add(1)
	defer m.endWait(ctx, e)
	m.startGather(ctx, now, e)
	if !e.mayGetToken(now, limit) {
		return false
	}
	m.counts.waited.Inc(1)
	ctx, span := m.config.Tracer.Start(ctx, "wait for loan")
	defer span.End()
	end := now.Add(limit)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	select {
	case e.headOfLine <- struct{}{}:
		defer func() { <-e.headOfLine }()
	case <-ctx.Done():
		return false
	}
	for {
		answered := e.answered.wait()
		now = time.Now()
		if e.rate.TakeUncounted(now, m.config.Slots.UsableUntil(now)) {
			return true
		}
		m.startGather(ctx, now, e)
		if !e.mayGetToken(now, end.Sub(now)) {
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
		case <-answered:
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
		m.enqueue(e)
		return nil, false
	}
	return func() { e.units.Release(lease) }, true
}

// Freed implements steer.Units.
func (m *Manager) Freed() <-chan struct{} { return m.freed.wait() }

// OutOfQuota reports whether this host should be left out of look-up answers: it may not use its shares, or no customer
// quota has a token.
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

// Snapshot returns the state of all quotas, sorted by name.
func (m *Manager) Snapshot(now time.Time) []Quota {
	t := m.current(now)
	all := make([]Quota, 0, len(t.entries))
	for _, e := range t.entries {
		all = append(all, e.quota(now))
	}
	slices.SortFunc(all, func(a, b Quota) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}

// LentUntil returns the latest end of the outstanding loans to other hosts, zero without one. The new holder of a yielded
// slot must not use its shares before that time.
func (m *Manager) LentUntil(now time.Time) time.Time {
	var last time.Time
	for _, e := range m.table.Load().entries {
		if end := e.lentUntil(now); end.After(last) {
			last = end
		}
	}
	return last
}

// Stop stops borrowing and lending, returns the borrowed loans, and waits until the lent ones have been returned or have
// ended, at most 2.12 s. Requests may still be admitted from the remaining share. It returns an error if ctx ends first.
// Later calls return nil at once.
func (m *Manager) Stop(ctx context.Context) error {
	m.startMu.Lock()
	stopped := m.stopping.Swap(true)
	m.startMu.Unlock()
	if stopped {
		return nil
	}
	m.stop()
	m.running.Wait()
	m.returnAll(ctx)
	ctx, cancel := context.WithTimeoutCause(ctx, bucket.MaxHold, errLoansEnded)
	defer cancel()
	poll := time.NewTicker(stopPollInterval)
	defer poll.Stop()
	for !m.LentUntil(time.Now()).IsZero() {
		select {
		case <-poll.C:
		case <-ctx.Done():
			if context.Cause(ctx) == errLoansEnded {
				return nil
			}
			return eris.Wrap(ctx.Err(), "stopped before all loans were returned")
		}
	}
	return nil
}
