package fair

import (
	"container/list"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
)

// minHoldWindow is the time over which the shortest hold of a unit is tracked, in two halves.
const minHoldWindow = 10 * time.Second

// quotaQueue is the queue of one quota.
type quotaQueue struct {
	parent    *Queue
	name      steer.QuotaName
	customers sync.Map     // Of *customer by name.
	waiting   atomic.Int64 // Number of waiting requests; at 0, units are taken without the lock.

	// Number of releases that have begun, and of those that have freed their unit. Equal while no release is in progress.
	releasesBegun, releasesDone atomic.Uint64

	mu               sync.Mutex
	arrivals         uint64
	waitingCustomers [2]map[*customer]bool // Customers with waiting requests, by class rank.

	// The shortest holds in the current and the previous half window, and the start of the current one after epoch, all in
	// nanoseconds.
	minHold     [2]atomic.Int64
	windowStart atomic.Int64
	epoch       time.Time
}

// customer is the state of one customer of a quota.
type customer struct {
	inProgress atomic.Int64
	waiters    [2]*list.List // Of *waiter by class rank, in order of arrival. Guarded by quotaQueue.mu.
}

// waiter is one waiting request. The fields that change are guarded by quotaQueue.mu.
type waiter struct {
	customer *customer
	rank     int // Class rank: 0 normal, 1 archive.
	weight   float64
	deadline time.Time
	wait     time.Duration // Maximum wait, at most the time to the deadline.
	arrival  uint64        // Order of arrival in the quotaQueue.
	element  *list.Element // In customer.waiters; nil when not waiting.

	ready   chan struct{} // Closed when served or refused.
	release func()        // Nil when refused.
	reason  steer.Reason
}

func newQuotaQueue(q *Queue, name steer.QuotaName) *quotaQueue {
	qq := &quotaQueue{
		parent:           q,
		name:             name,
		waitingCustomers: [2]map[*customer]bool{{}, {}},
		epoch:            time.Now(),
	}
	qq.minHold[0].Store(math.MaxInt64)
	qq.minHold[1].Store(math.MaxInt64)
	return qq
}

func newWaiter(work steer.Work, c *customer, now time.Time) *waiter {
	w := &waiter{
		customer: c,
		weight:   work.Weight,
		deadline: work.Deadline,
		wait:     max(work.Wait, 0),
		ready:    make(chan struct{}),
	}
	if work.Class == steer.ClassArchive {
		w.rank = 1
	}
	if !(w.weight > 0) {
		w.weight = 1
	}
	if w.wait > work.Deadline.Sub(now) {
		w.wait = work.Deadline.Sub(now)
	}
	return w
}

func (qq *quotaQueue) customer(name string) *customer {
	if v, ok := qq.customers.Load(name); ok {
		return v.(*customer)
	}
	v, _ := qq.customers.LoadOrStore(name, &customer{waiters: [2]*list.List{list.New(), list.New()}})
	return v.(*customer)
}

// tryTake takes one unit if there is one, without waiting.
func (qq *quotaQueue) tryTake(now time.Time, c *customer, deadline time.Time) (func(), bool) {
	releaseUnit, ok := qq.parent.config.Units.TryAcquire(now, qq.name, deadline)
	if !ok {
		return nil, false
	}
	return qq.trackUnit(now, c, releaseUnit), true
}

// trackUnit counts a unit for a customer and returns the function that releases it.
func (qq *quotaQueue) trackUnit(now time.Time, c *customer, releaseUnit func()) func() {
	c.inProgress.Add(1)
	return func() {
		qq.releasesBegun.Add(1)
		c.inProgress.Add(-1)
		releaseUnit()
		qq.releasesDone.Add(1)
		end := time.Now()
		qq.recordHold(now, end)
		// A waiter is counted before it tries to take a unit, so either it is seen here or it takes this unit itself.
		if qq.waiting.Load() > 0 {
			qq.serve(end)
		}
	}
}

// enqueue adds a waiter and serves the waiters for which there are units. It returns false if the queue is full.
func (qq *quotaQueue) enqueue(w *waiter, now time.Time) bool {
	qq.mu.Lock()
	defer qq.mu.Unlock()
	c := w.customer
	if c.waiters[0].Len()+c.waiters[1].Len() >= qq.parent.config.MaxWaitingPerCustomer {
		return false
	}
	if int(qq.waiting.Load()) >= qq.parent.config.MaxWaiting && !qq.evictFor(w) {
		return false
	}
	qq.arrivals++
	w.arrival = qq.arrivals
	w.element = c.waiters[w.rank].PushBack(w)
	qq.waitingCustomers[w.rank][c] = true
	qq.waiting.Add(1)
	qq.serveLocked(now)
	return true
}

// evictFor makes room for w: it refuses the newest waiter of the customer with the most waiters by weight, in the archive
// class first. In the class of w, that customer must have more waiters by weight than the customer of w would have.
// Without eviction, one customer could fill the queue and shut out the others.
func (qq *quotaQueue) evictFor(w *waiter) bool {
	for rank := 1; rank >= w.rank; rank-- {
		var victim *waiter
		maxQueued := 0.0
		if rank == w.rank {
			maxQueued = float64(w.customer.waiters[rank].Len()+1) / w.weight
		}
		for c := range qq.waitingCustomers[rank] {
			newest := c.waiters[rank].Back().Value.(*waiter)
			if queued := float64(c.waiters[rank].Len()) / newest.weight; queued > maxQueued {
				victim, maxQueued = newest, queued
			}
		}
		if victim != nil {
			qq.refuse(victim, steer.ReasonCapacity)
			return true
		}
	}
	return false
}

// withdraw removes a waiter and reports whether it was still waiting.
func (qq *quotaQueue) withdraw(w *waiter) bool {
	qq.mu.Lock()
	defer qq.mu.Unlock()
	if w.element == nil {
		return false
	}
	qq.remove(w)
	return true
}

func (qq *quotaQueue) remove(w *waiter) {
	waiters := w.customer.waiters[w.rank]
	waiters.Remove(w.element)
	w.element = nil
	if waiters.Len() == 0 {
		delete(qq.waitingCustomers[w.rank], w.customer)
	}
	qq.waiting.Add(-1)
}

func (qq *quotaQueue) refuse(w *waiter, reason steer.Reason) {
	qq.remove(w)
	w.reason = reason
	close(w.ready)
}

// serve hands out units to waiters in the order of nextWaiter until no unit or no waiter is left.
func (qq *quotaQueue) serve(now time.Time) {
	qq.mu.Lock()
	defer qq.mu.Unlock()
	qq.serveLocked(now)
}

func (qq *quotaQueue) serveLocked(now time.Time) {
	// A borrowed unit may be usable only for early deadlines. So when no unit is available for one deadline, waiters with
	// an earlier deadline are still tried. maxPasses bounds the work under the lock.
	const maxPasses = 8
	var before time.Time
	releasesDone := qq.releasesDone.Load()
	for pass := 0; pass < maxPasses; {
		w := qq.nextWaiter(before)
		if w == nil {
			return
		}
		if now.After(qq.latestStart(w)) {
			qq.refuse(w, steer.ReasonDeadline)
			continue
		}
		releaseUnit, ok := qq.parent.config.Units.TryAcquire(now, qq.name, w.deadline)
		if !ok {
			before = w.deadline
			pass++
			continue
		}
		if pass > 0 && qq.releasesBegun.Load() != releasesDone {
			// A unit freed since the first waiter was tried belongs to that waiter. The release that freed it, or is about
			// to free it, serves the waiters again.
			releaseUnit()
			return
		}
		qq.remove(w)
		w.release = qq.trackUnit(now, w.customer, releaseUnit)
		close(w.ready)
	}
}

// nextWaiter returns the waiter to serve next, nil without one: normal class first, then the customer with the least work
// in progress by weight, then the earliest arrival. Only the oldest waiter of each customer in a class is considered, and
// unless before is zero, only if its deadline is earlier.
func (qq *quotaQueue) nextWaiter(before time.Time) *waiter {
	for rank := range qq.waitingCustomers {
		var best *waiter
		minWork := math.Inf(1)
		for c := range qq.waitingCustomers[rank] {
			w := c.waiters[rank].Front().Value.(*waiter)
			if !before.IsZero() && !w.deadline.Before(before) {
				continue
			}
			work := float64(c.inProgress.Load()) / w.weight
			if work < minWork || work == minWork && w.arrival < best.arrival {
				best, minWork = w, work
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// latestStart returns the latest time at which the waiter may be served: its deadline minus the shortest hold of a unit
// in the tracked window. After that, not even the fastest request would end in time.
func (qq *quotaQueue) latestStart(w *waiter) time.Time {
	minHold := min(qq.minHold[0].Load(), qq.minHold[1].Load())
	if minHold == math.MaxInt64 {
		return w.deadline
	}
	return w.deadline.Add(-time.Duration(minHold))
}

// recordHold records for how long a unit was held.
func (qq *quotaQueue) recordHold(from, to time.Time) {
	at := int64(to.Sub(qq.epoch))
	windowStart := qq.windowStart.Load()
	if at-windowStart > int64(minHoldWindow/2) && qq.windowStart.CompareAndSwap(windowStart, at) {
		qq.minHold[1].Store(qq.minHold[0].Swap(math.MaxInt64))
	}
	hold := int64(to.Sub(from))
	for {
		minHold := qq.minHold[0].Load()
		if hold >= minHold || qq.minHold[0].CompareAndSwap(minHold, hold) {
			return
		}
	}
}
