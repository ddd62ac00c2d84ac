package fair

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonhub.example/steer"
)

// Default bounds of waiting requests of one quota.
const (
	defaultLength         = 1024
	defaultCustomerLength = 128
)

// Config configures a Queue.
type Config struct {
	Units                 steer.Units
	MaxWaiting            int              // Most waiting requests of one quota; 0 selects 1024.
	MaxWaitingPerCustomer int              // Most waiting requests of one customer of one quota; 0 selects 128.
	Logger                log.Logger       // Nil means no logging.
	Metrics               metrics.Registry // Nil means a private registry.
}

// Queue implements steer.Capacity. Each quota has its own queue and lock, and the lock is taken only while requests
// wait.
type Queue struct {
	config  Config
	logger  log.Logger
	lines   sync.Map // Of *line by steer.QuotaName.
	stop    context.CancelFunc
	stopped <-chan struct{}
	done    chan struct{}

	waited  metrics.Histogram // Microseconds.
	direct  metrics.Counter
	refused metrics.Counter
}

// New returns a Queue and starts its watch on freed units, which Stop ends.
func New(c Config) *Queue {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultLength
	}
	if c.MaxWaitingPerCustomer == 0 {
		c.MaxWaitingPerCustomer = defaultCustomerLength
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	ctx, stop := context.WithCancel(context.Background())
	q := &Queue{
		config:  c,
		logger:  log.With(c.Logger, "part", "fair"),
		stop:    stop,
		stopped: ctx.Done(),
		done:    make(chan struct{}),
		// A metrics.Timer would start a goroutine that never ends.
		waited:  metrics.GetOrRegisterHistogram("fair-waited-us", c.Metrics, metrics.NewExpDecaySample(1028, 0.015)),
		direct:  metrics.GetOrRegisterCounter("fair-direct", c.Metrics),
		refused: metrics.GetOrRegisterCounter("fair-refused", c.Metrics),
	}
	freed := c.Units.Freed()
	go func() {
		defer close(q.done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-freed:
			}
			// The next channel is taken before the waiters are served, so that no event is missed.
			freed = c.Units.Freed()
			q.lines.Range(func(_, v any) bool {
				v.(*line).serve(time.Now())
				return true
			})
		}
	}()
	return q
}

// Stop ends the watch on freed units. Requests that wait, or come later and would have to, are refused.
func (q *Queue) Stop() {
	q.stop()
	<-q.done
}

// Acquire implements steer.Capacity. The refusal has the reason deadline if the deadline of the work cannot be met, and
// no-capacity if the wait is over or a queue is full.
func (q *Queue) Acquire(ctx context.Context, work steer.Work) (func(), error) {
	now := time.Now()
	l := q.line(work.Quota)
	c := l.customer(work.Customer)
	if !now.Before(work.Deadline) {
		return nil, q.refuse(steer.ReasonDeadline, ctx.Err())
	}
	if l.waiting.Load() == 0 {
		if release, ok := l.take(now, c, work.Deadline); ok {
			q.direct.Inc(1)
			return release, nil
		}
	}
	w := newWaiter(work, c, now)
	if !l.join(w, now) {
		return nil, q.refuse(steer.ReasonCapacity, nil)
	}
	release, reason, cause := q.wait(ctx, l, w, now)
	if release == nil {
		return nil, q.refuse(reason, cause)
	}
	q.waited.Update(time.Since(now).Microseconds())
	return release, nil
}

// wait waits until the waiter is served or refused, or a limit passes.
func (q *Queue) wait(ctx context.Context, l *line, w *waiter, now time.Time) (func(), steer.Reason, error) {
	limit, reason := now.Add(w.wait), steer.ReasonCapacity
	if last := l.latest(w); last.Before(limit) {
		limit, reason = last, steer.ReasonDeadline
	}
	timer := time.NewTimer(limit.Sub(now))
	defer timer.Stop()
	var cause error
	select {
	case <-w.ready:
	case <-timer.C:
	case <-q.stopped:
		reason = steer.ReasonStopping
	case <-ctx.Done():
		cause = ctx.Err()
		if errors.Is(cause, context.DeadlineExceeded) {
			reason = steer.ReasonDeadline
		}
	}
	if l.leave(w) {
		return nil, reason, cause
	}
	return w.release, w.reason, nil
}

func (q *Queue) line(name steer.QuotaName) *line {
	if v, ok := q.lines.Load(name); ok {
		return v.(*line)
	}
	v, loaded := q.lines.LoadOrStore(name, newLine(q, name))
	if !loaded {
		_ = level.Debug(q.logger).Log("msg", "Queue opened.", "quota", name)
	}
	return v.(*line)
}

func (q *Queue) refuse(reason steer.Reason, cause error) error {
	q.refused.Inc(1)
	status := 503
	if reason == steer.ReasonDeadline {
		status = 504
	}
	return &steer.Refusal{
		Verdict:    steer.NotRun,
		Reason:     reason,
		Status:     status,
		RetryAfter: time.Second,
		Cause:      cause,
	}
}
