package poison

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/ops/guard"
)

const (
	// recordInterval is the time between two looks at what is to be registered.
	recordInterval = time.Second

	// settleTime is the time for which a request must have been condemned before it is registered on the platform. Reports of
	// other hosts, which may explain its crashes, arrive within some rounds of messages.
	settleTime = time.Second
)

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	Catalog steer.Catalog
	Table   *Table
	Logger  log.Logger       // Nil means no logging.
	Metrics metrics.Registry // Nil means a private registry.
}

// Recorder registers condemned requests on the platform, from which hosts that start, or that reach no other host, learn of
// them. Each host registers the requests that crashed a target of its own attempts, unless another host has already done so.
type Recorder struct {
	config RecorderConfig
	logger log.Logger
	leases map[Key]steer.Lease // Of the requests that this host registered. Used by the loop only.
	cancel context.CancelFunc
	done   chan struct{}
}

// NewRecorder starts a recorder. Call Stop to end it.
func NewRecorder(c RecorderConfig) *Recorder {
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		config: c,
		logger: log.With(c.Logger, "part", "poison"),
		leases: map[Key]steer.Lease{},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	contained := guard.New(guard.Config{
		Logger:  c.Logger,
		Metrics: c.Metrics,
	})
	go func() {
		defer close(r.done)
		ticker := time.NewTicker(recordInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				contained.Do("rejected requests", func() { r.update(ctx, now) })
			}
		}
	}()
	return r
}

// Stop ends the recorder. What it registered stays until its lease ends.
func (r *Recorder) Stop() {
	r.cancel()
	<-r.done
}

// update registers what is missing, and withdraws what other crashes have explained since.
func (r *Recorder) update(ctx context.Context, now time.Time) {
	if !r.config.Table.InUse() {
		return
	}
	for _, key := range r.config.Table.unregistered(now) {
		lease, err := r.register(ctx, key)
		if err != nil {
			_ = level.Warn(r.logger).Log("msg", "Rejected request not registered.", "request-key", key, "err", err)
			continue
		}
		r.leases[key] = lease
		_ = level.Info(r.logger).Log("msg", "Rejected request registered.", "request-key", key, "lease", lease.ID)
	}
	for key, lease := range r.leases {
		if r.config.Table.isCondemned(key) {
			continue
		}
		delete(r.leases, key)
		err := r.config.Catalog.Revoke(ctx, lease)
		_ = level.Info(r.logger).Log("msg", "Rejected request withdrawn.", "request-key", key, "lease", lease.ID, "err", err)
	}
}

func (r *Recorder) register(ctx context.Context, key Key) (steer.Lease, error) {
	lease, err := r.config.Catalog.Grant(ctx, rejectTime)
	if err != nil {
		return steer.Lease{}, err
	}
	return lease, r.config.Catalog.Reject(ctx, uint64(key), lease)
}
