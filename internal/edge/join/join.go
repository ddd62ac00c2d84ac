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
	// leaseTerm is the term of the lease of a registration. It is below the time after which the directory may no longer name
	// a host that is gone, which is contact-s + 3 s.
	leaseTerm = 4 * time.Second

	// renewInterval is the time between renewals. It leaves two renewals before the lease ends. A renewal costs a tenth of
	// a call.
	renewInterval = 1300 * time.Millisecond

	// minRetryDelay and maxRetryDelay bound the backoff after failed calls.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond

	// leaveTimeout bounds the call that ends a registration during a shutdown.
	leaveTimeout = 500 * time.Millisecond
)

// Config configures a Member.
type Config struct {
	Catalog steer.Catalog
	Host    steer.HostEntry
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Member keeps a host registered until Leave.
type Member struct {
	config Config
	logger log.Logger
	guard  *guard.Guard
	lease  steer.Lease // Zero while not registered. Used by the loop, and by Leave once the loop has ended.
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a loop that registers the host and renews its lease. Call Leave to end it.
func New(c Config) *Member {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
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

// Leave ends the loop and the registration, so that directories no longer name this host. The call to the platform takes at
// most leaveTimeout, and its error is only logged.
func (m *Member) Leave(ctx context.Context) {
	m.cancel()
	<-m.done
	if m.lease == (steer.Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := m.config.Catalog.Revoke(ctx, m.lease)
	_ = level.Info(m.logger).Log("msg", "Registration ended.", "lease", m.lease.ID, "err", err)
}

func (m *Member) run(ctx context.Context) {
	pause := minRetryDelay
	for ctx.Err() == nil {
		wait := renewInterval
		err := errPanic
		m.guard.Do("registration", func() { err = m.renewOrRegister(ctx) })
		if err != nil && ctx.Err() == nil {
			wait = pause
			pause = min(2*pause, maxRetryDelay)
			_ = level.Warn(m.logger).Log("msg", "Registration failed.", "lease", m.lease.ID, "err", err)
		} else {
			pause = minRetryDelay
		}
		timer := time.NewTimer(wait)
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
		err := m.config.Catalog.Renew(ctx, m.lease)
		if !errors.Is(err, steer.ErrLeaseLost) {
			return err
		}
		_ = level.Warn(m.logger).Log("msg", "Lease lost, registering again.", "lease", m.lease.ID)
		m.lease = steer.Lease{}
	}
	lease, err := m.config.Catalog.Grant(ctx, leaseTerm)
	if err != nil {
		return err
	}
	if err := m.config.Catalog.Announce(ctx, m.config.Host, lease); err != nil {
		return err
	}
	m.lease = lease
	_ = level.Info(m.logger).Log("msg", "Host registered.", "host", m.config.Host.ID, "lease", lease.ID, "era", lease.Era)
	return nil
}
