package fair

import (
	"container/list"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"monsoonhub.example/steer"
)

// shortestWindow is the time over which the shortest hold of a unit is kept, in two halves.
const shortestWindow = 10 * time.Second

// line is the queue of one quota.
type line struct {
	queue     *Queue
	name      steer.QuotaName
	customers sync.Map     // Of *customer by name.
	waiting   atomic.Int64 // Requests that wait; 0 allows the way without the lock.

	// Releases that have begun and those that have freed their unit. Equal while none is under way.
	begun, freed atomic.Uint64

	mu       sync.Mutex
	arrivals uint64
	busy     [2]map[*customer]bool // By class rank: customers with waiting requests.

	// The shortest holds of the current and the last half window, in nanoseconds, and when the current one began.
	shortest [2]atomic.Int64
	began    atomic.Int64
	epoch    time.Time
}

// customer is the state of one customer of a quota.
type customer struct {
	inProgress atomic.Int64
	waiters    [2]*list.List // Of *waiter by class rank, in order of arrival. Guarded by the mutex of the line.
}

// waiter is one waiting request. All that changes is guarded by the mutex of the line.
type waiter struct {
	customer *customer
	rank     int // Of the class: 0 normal, 1 archive.
	weight   float64
	deadline time.Time
	wait     time.Duration
	arrival  uint64
	place    *list.Element // Nil when not waiting.

	ready   chan struct{} // Closed when served or refused.
	release func()        // Nil when refused.
	reason  steer.Reason
}

func newLine(q *Queue, name steer.QuotaName) *line {
	l := &line{
		queue: q,
		name:  name,
		busy:  [2]map[*customer]bool{{}, {}},
		epoch: time.Now(),
	}
	l.shortest[0].Store(math.MaxInt64)
	l.shortest[1].Store(math.MaxInt64)
	return l
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

func (l *line) customer(name string) *customer {
	if v, ok := l.customers.Load(name); ok {
		return v.(*customer)
	}
	v, _ := l.customers.LoadOrStore(name, &customer{waiters: [2]*list.List{list.New(), list.New()}})
	return v.(*customer)
}

// take takes one unit if there is one.
func (l *line) take(now time.Time, c *customer, deadline time.Time) (func(), bool) {
	free, ok := l.queue.config.Units.TryAcquire(now, l.name, deadline)
	if !ok {
		return nil, false
	}
	return l.hold(now, c, free), true
}

// hold counts a unit for a customer and returns the function that gives it back.
func (l *line) hold(now time.Time, c *customer, free func()) func() {
	c.inProgress.Add(1)
	return func() {
		l.begun.Add(1)
		c.inProgress.Add(-1)
		free()
		l.freed.Add(1)
		end := time.Now()
		l.held(now, end)
		// Either this sees the waiter, or the waiter, which is counted before it tries, gets the unit itself.
		if l.waiting.Load() > 0 {
			l.serve(end)
		}
	}
}

// join adds a waiter unless the queue is full, and serves those that can be.
func (l *line) join(w *waiter, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := w.customer
	if c.waiters[0].Len()+c.waiters[1].Len() >= l.queue.config.MaxWaitingPerCustomer {
		return false
	}
	if int(l.waiting.Load()) >= l.queue.config.MaxWaiting && !l.makeRoom(w) {
		return false
	}
	l.arrivals++
	w.arrival = l.arrivals
	w.place = c.waiters[w.rank].PushBack(w)
	l.busy[w.rank][c] = true
	l.waiting.Add(1)
	l.serveLocked(now)
	return true
}

// makeRoom refuses the newest waiter of the customer that waits most by weight, archive class first, if that customer
// waits more than the newcomer's. Otherwise one customer could fill the queue and shut out the others.
func (l *line) makeRoom(w *waiter) bool {
	for rank := 1; rank >= w.rank; rank-- {
		var victim *waiter
		most := 0.0
		if rank == w.rank {
			most = float64(w.customer.waiters[rank].Len()+1) / w.weight
		}
		for c := range l.busy[rank] {
			newest := c.waiters[rank].Back().Value.(*waiter)
			if queued := float64(c.waiters[rank].Len()) / newest.weight; queued > most {
				victim, most = newest, queued
			}
		}
		if victim != nil {
			l.refuse(victim, steer.ReasonCapacity)
			return true
		}
	}
	return false
}

// leave removes a waiter and reports whether it was still waiting.
func (l *line) leave(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.place == nil {
		return false
	}
	l.remove(w)
	return true
}

func (l *line) remove(w *waiter) {
	waiters := w.customer.waiters[w.rank]
	waiters.Remove(w.place)
	w.place = nil
	if waiters.Len() == 0 {
		delete(l.busy[w.rank], w.customer)
	}
	l.waiting.Add(-1)
}

func (l *line) refuse(w *waiter, reason steer.Reason) {
	l.remove(w)
	w.reason = reason
	close(w.ready)
}

// serve hands out units to waiters in order, as long as there are any.
func (l *line) serve(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serveLocked(now)
}

func (l *line) serveLocked(now time.Time) {
	// A borrowed unit may be usable only until an early time. So when a unit is refused for one deadline, those waiters
	// are still asked whose deadline is earlier. The limit bounds the work under the lock.
	const passes = 8
	var before time.Time
	freed := l.freed.Load()
	for pass := 0; pass < passes; {
		w := l.first(before)
		if w == nil {
			return
		}
		if now.After(l.latest(w)) {
			l.refuse(w, steer.ReasonDeadline)
			continue
		}
		free, ok := l.queue.config.Units.TryAcquire(now, l.name, w.deadline)
		if !ok {
			before = w.deadline
			pass++
			continue
		}
		if pass > 0 && l.begun.Load() != freed {
			// A unit freed since the first waiter was asked is due to that waiter. The release that freed it, or is about
			// to, serves the waiters again.
			free()
			return
		}
		l.remove(w)
		w.release = l.hold(now, w.customer, free)
		close(w.ready)
	}
}

// first returns the next waiter: normal class first, then the customer with the least work in progress by weight, then
// the one that came first. Unless before is zero, only the oldest waiters with an earlier deadline are considered.
func (l *line) first(before time.Time) *waiter {
	for rank := range l.busy {
		var best *waiter
		least := math.Inf(1)
		for c := range l.busy[rank] {
			w := c.waiters[rank].Front().Value.(*waiter)
			if !before.IsZero() && !w.deadline.Before(before) {
				continue
			}
			work := float64(c.inProgress.Load()) / w.weight
			if work < least || work == least && w.arrival < best.arrival {
				best, least = w, work
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// latest returns the last time at which the waiter may be served: its deadline less the shortest time for which a unit
// has been held lately. Later, not even the fastest request would end in time.
func (l *line) latest(w *waiter) time.Time {
	shortest := min(l.shortest[0].Load(), l.shortest[1].Load())
	if shortest == math.MaxInt64 {
		return w.deadline
	}
	return w.deadline.Add(-time.Duration(shortest))
}

// held records for how long a unit was held.
func (l *line) held(from, to time.Time) {
	at := int64(to.Sub(l.epoch))
	began := l.began.Load()
	if at-began > int64(shortestWindow/2) && l.began.CompareAndSwap(began, at) {
		l.shortest[1].Store(l.shortest[0].Swap(math.MaxInt64))
	}
	hold := int64(to.Sub(from))
	for {
		shortest := l.shortest[0].Load()
		if hold >= shortest || l.shortest[0].CompareAndSwap(shortest, hold) {
			return
		}
	}
}
