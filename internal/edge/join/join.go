package join

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/guard"
)

const (
	// maxLeaseTerm bounds the term of the lease of a registration. It is below the time after which the directory may no longer
	// name a host that is gone, which is contact-s + 3 s.
	maxLeaseTerm = 4 * time.Second

	// minLeaseTerm is the shortest term that the platform grants.
	minLeaseTerm = time.Second

	// dropTime is the time that hosts need to learn that a lease has ended: the answer to a watch, relayed to the other hosts
	// of a data centre, after a pause that combines changes.
	dropTime = 500 * time.Millisecond

	// renewalsPerTerm is the number of renewals within the term of a lease. A lease survives the loss of two. A renewal costs a
	// tenth of a call.
	renewalsPerTerm = 3

	// minRenewTimeout is more than the time that an answer takes while the platform is slow.
	minRenewTimeout = 500 * time.Millisecond

	// minRetryDelay and maxRetryDelay bound the backoff after failed calls, from the start of one call to that of the next. A
	// call that fails late is followed by a pause of minRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond

	// missingGrace is the time after a registration within which this host learns of it from the changes on the platform.
	missingGrace = 2 * time.Second

	// leaveTimeout bounds the calls that end a registration during a shutdown.
	leaveTimeout = 500 * time.Millisecond
)

// LeaseTerm returns the term of the lease of a registration. The settle time is the time after an outage of the platform after which
// the directory must not name a host that ended before the outage or during it. Leases may stand still during an outage, so that the
// whole term may be left at its end.
func LeaseTerm(settle time.Duration) time.Duration {
	return min(max(settle-dropTime, minLeaseTerm), maxLeaseTerm)
}

// Config configures a Member.
type Config struct {
	Catalog steer.Catalog
	Host    steer.HostEntry
	Term    time.Duration             // Of the lease, as LeaseTerm returns it. 0 selects the longest.
	Missing func() bool               // Reports whether the platform is known to lack the registration. Nil means never.
	Failed  func(startedAt time.Time) // Called after a failed step, with the time at which it began. Optional.
	Logger  log.Logger                // Nil means no logging.
	Metrics metrics.Registry          // Nil means a private registry.
}

// Member keeps a host registered until Leave.
type Member struct {
	config Config
	logger log.Logger
	guard  *guard.Guard
	lease  steer.Lease // Zero while not registered. Used by the loop, and by Leave once the loop has ended.
	cancel context.CancelFunc
	done   chan struct{}

	announcedAt time.Time // When this host last wrote its registration. Used by the loop.
}

// New starts a loop that registers the host and renews its lease. Call Leave to end it.
func New(c Config) *Member {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Term == 0 {
		c.Term = maxLeaseTerm
	}
	if c.Missing == nil {
		c.Missing = func() bool { return false }
	}
	if c.Failed == nil {
		c.Failed = func(time.Time) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Member{
		config: c,
		logger: log.With(c.Logger, "part", "join"),
		guard: guard.New(guard.Config{
			Logger:  c.Logger,
			Metrics: c.Metrics,
		}),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(m.done)
		m.run(ctx)
	}()
	return m
}

// Leave ends the loop and the registration, so that directories no longer name this host. The calls to the platform take at
// most leaveTimeout, and their errors are only logged.
func (m *Member) Leave(ctx context.Context) {
	m.cancel()
	<-m.done
	if m.lease == (steer.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	announceErr := m.announceLeaving(ctx)
	err := m.config.Catalog.Revoke(ctx, m.lease)
	_ = level.Info(m.logger).Log("msg", "Registration ended.", "lease", m.lease.ID, "announce-err", announceErr, "err", err)
}

// announceLeaving marks the registration as that of a host that leaves. Without the mark, other hosts can't distinguish its end from
// that of a lease that was not renewed in time.
func (m *Member) announceLeaving(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout/2)
	defer cancel()
	host := m.config.Host
	host.Leaving = true
	return m.config.Catalog.Announce(ctx, host, m.lease)
}

func (m *Member) run(ctx context.Context) {
	renewInterval := m.config.Term / renewalsPerTerm
	delay := minRetryDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		wait := renewInterval
		err := errPanic
		m.guard.Do("registration", func() { err = m.renewOrRegister(ctx) })
		took := time.Since(startedAt)
		if err != nil && ctx.Err() == nil {
			m.config.Failed(startedAt)
			wait = max(delay, took+minRetryDelay)
			delay = min(2*delay, maxRetryDelay)
			_ = level.Warn(m.logger).Log("msg", "Registration failed.", "lease", m.lease.ID, "err", err)
		} else {
			delay = minRetryDelay
		}
		timer := time.NewTimer(wait - took)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// errPanic is the error of a step that panicked.
var errPanic = errors.New("step panicked")

// renewOrRegister renews the lease, or registers the host under a new lease if there is none or it was lost.
func (m *Member) renewOrRegister(ctx context.Context) error {
	if m.lease != (steer.Lease{}) {
		err := m.renew(ctx)
		if !errors.Is(err, steer.ErrLeaseLost) {
			return err
		}
		_ = level.Warn(m.logger).Log("msg", "Lease lost, registering again.", "lease", m.lease.ID)
		m.lease = steer.Lease{}
	}
	lease, err := m.config.Catalog.Grant(ctx, m.config.Term)
	if err != nil {
		return err
	}
	if err := m.announce(ctx, lease); err != nil {
		return err
	}
	m.lease = lease
	_ = level.Info(m.logger).Log("msg", "Host registered.", "host", m.config.Host.ID, "lease", lease.ID, "era", lease.Era,
		"term", m.config.Term)
	return nil
}

// renew renews the lease. It writes the registration again if the platform lacks it: an earlier call whose answer was lost may have been
// carried out late, and put the registration under a lease that has ended since.
func (m *Member) renew(ctx context.Context) error {
	// An outage may begin with a call that gets no answer, and the next one must not come too late for the lease.
	renewCtx, cancel := context.WithTimeout(ctx, max(m.config.Term/renewalsPerTerm, minRenewTimeout))
	defer cancel()
	if err := m.config.Catalog.Renew(renewCtx, m.lease); err != nil {
		return err
	}
	if time.Since(m.announcedAt) < missingGrace || !m.config.Missing() {
		return nil
	}
	_ = level.Warn(m.logger).Log("msg", "Registration is missing, writing it again.", "lease", m.lease.ID)
	return m.announce(ctx, m.lease)
}

// announce writes the registration.
func (m *Member) announce(ctx context.Context, lease steer.Lease) error {
	m.announcedAt = time.Now()
	return m.config.Catalog.Announce(ctx, m.config.Host, lease)
}
