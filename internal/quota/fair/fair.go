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

// Default limits on the waiting requests of one quota, in total and per customer.
const (
	defaultMaxWaiting            = 1024
	defaultMaxWaitingPerCustomer = 128
)

// Config holds the settings of a Queue.
type Config struct {
	Units                 steer.Units
	MaxWaiting            int              // Limit on the waiting requests of one quota; 0 selects 1024.
	MaxWaitingPerCustomer int              // Limit on the waiting requests of one customer of one quota; 0 selects 128.
	Logger                log.Logger       // Nil means no logging.
	Metrics               metrics.Registry // Nil means a private registry.
}

// Queue implements steer.Capacity. Each quota has its own queue and lock, and the lock is taken only while requests
// wait for that quota.
type Queue struct {
	config      Config
	logger      log.Logger
	quotaQueues sync.Map // Of *quotaQueue by steer.QuotaName.
	stop        context.CancelFunc
	stopped     <-chan struct{}
	done        chan struct{}

	waited  metrics.Histogram // Microseconds.
	direct  metrics.Counter
	refused metrics.Counter
}

// New returns a Queue and starts a goroutine that serves waiting requests when units become free. Stop ends it.
func New(c Config) *Queue {
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.MaxWaitingPerCustomer == 0 {
		c.MaxWaitingPerCustomer = defaultMaxWaitingPerCustomer
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
			q.quotaQueues.Range(func(_, v any) bool {
				v.(*quotaQueue).serve(time.Now())
				return true
			})
		}
	}()
	return q
}

// Stop ends the goroutine that New started. Waiting requests are refused, and so are later ones that would have to wait.
func (q *Queue) Stop() {
	q.stop()
	<-q.done
}

// Acquire implements steer.Capacity. The refusal has the reason deadline if the deadline of the work cannot be met,
// no-capacity if the wait is over or a queue is full, and stopping after Stop.
func (q *Queue) Acquire(ctx context.Context, work steer.Work) (func(), error) {
	now := time.Now()
	qq := q.quotaQueue(work.Quota)
	c := qq.customer(work.Customer)
	if !now.Before(work.Deadline) {
		return nil, q.refuse(steer.ReasonDeadline, ctx.Err())
	}
	if qq.waiting.Load() == 0 {
		if release, ok := qq.tryTake(now, c, work.Deadline); ok {
			q.direct.Inc(1)
			return release, nil
		}
	}
	w := newWaiter(work, c, now)
	if !qq.enqueue(w, now) {
		return nil, q.refuse(steer.ReasonCapacity, nil)
	}
	release, reason, cause := q.wait(ctx, qq, w, now)
	if release == nil {
		return nil, q.refuse(reason, cause)
	}
	q.waited.Update(time.Since(now).Microseconds())
	return release, nil
}

// wait blocks until the waiter is served or refused, its wait or its time to the deadline is over, ctx ends or the Queue
// stops. It returns the release function, or nil with the reason and cause of the refusal.
func (q *Queue) wait(ctx context.Context, qq *quotaQueue, w *waiter, now time.Time) (func(), steer.Reason, error) {
	limit, reason := now.Add(w.wait), steer.ReasonCapacity
	if last := qq.latestStart(w); last.Before(limit) {
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
	if qq.withdraw(w) {
		return nil, reason, cause
	}
	return w.release, w.reason, nil
}

func (q *Queue) quotaQueue(name steer.QuotaName) *quotaQueue {
	if v, ok := q.quotaQueues.Load(name); ok {
		return v.(*quotaQueue)
	}
	v, loaded := q.quotaQueues.LoadOrStore(name, newQuotaQueue(q, name))
	if !loaded {
		_ = level.Debug(q.logger).Log("msg", "Queue opened.", "quota", name)
	}
	return v.(*quotaQueue)
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
