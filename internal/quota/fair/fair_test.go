package fair_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/fair"
)

// The fixed seed makes CI runs reproducible. The flag -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// units implements steer.Units with a fixed number of units, which add raises. They may be usable only for early
// deadlines.
type units struct {
	mu            sync.Mutex
	free          int
	usableUntil   time.Time // Latest deadline for which a unit can be taken; zero allows all.
	freed         chan struct{}
	releasedTwice bool   // Whether any unit was released more than once.
	onRefusal     func() // Called once, after the next refusal; nil for no call.
}

func newUnits(free int) *units {
	return &units{
		free:  free,
		freed: make(chan struct{}),
	}
}

func (u *units) TryAcquire(_ time.Time, _ steer.QuotaName, deadline time.Time) (func(), bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.free < 1 || !u.usableUntil.IsZero() && deadline.After(u.usableUntil) {
		if onRefusal := u.onRefusal; onRefusal != nil {
			u.onRefusal = nil
			u.mu.Unlock()
			onRefusal()
			u.mu.Lock()
		}
		return nil, false
	}
	u.free--
	var once atomic.Bool
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.releasedTwice = u.releasedTwice || once.Swap(true)
		u.free++
	}, true
}

func (u *units) Freed() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.freed
}

func (u *units) add(count int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free += count
	close(u.freed)
	u.freed = make(chan struct{})
}

func work(customer string, class steer.Class, deadline time.Duration) steer.Work {
	return steer.Work{
		Quota:    "work/reservas/golfo-1",
		Customer: customer,
		Class:    class,
		Deadline: time.Now().Add(deadline),
		Wait:     time.Minute,
	}
}

// startAcquire calls Acquire in a goroutine, which passes the result to served, and waits until the goroutine blocks or
// ends.
func startAcquire(q *fair.Queue, w steer.Work, served func(string, func(), error)) {
	go func() {
		release, err := q.Acquire(context.Background(), w)
		served(w.Customer+"/"+string(w.Class), release, err)
	}()
	synctest.Wait()
}

func refusalReason(err error) steer.Reason {
	var refusal *steer.Refusal
	if !errors.As(err, &refusal) || refusal.Verdict != steer.NotRun {
		return "no refusal"
	}
	return refusal.Reason
}

// Guards against serving in order of arrival, which would let the customer with the most requests take all units.
func TestOrderOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnits(2)
		q := fair.New(fair.Config{Units: u})
		defer q.Stop()
		var order []string
		var releases []func()
		served := func(name string, release func(), err error) {
			assert.NilError(t, err)
			order = append(order, name)
			releases = append(releases, release)
		}
		startAcquire(q, work("alfa", steer.ClassNormal, time.Minute), served)
		startAcquire(q, work("alfa", steer.ClassNormal, time.Minute), served)
		startAcquire(q, work("delta", steer.ClassArchive, time.Minute), served)
		startAcquire(q, work("alfa", steer.ClassNormal, time.Minute), served)
		startAcquire(q, work("alfa", steer.ClassNormal, time.Minute), served)
		heavy := work("bravo", steer.ClassNormal, time.Minute)
		heavy.Weight = 3
		for range 4 {
			startAcquire(q, heavy, served)
		}
		startAcquire(q, work("carla", steer.ClassNormal, time.Minute), served)
		for i := 0; i < len(order); i++ {
			if i == 0 {
				continue // The first request of alfa runs until the end.
			}
			releases[i]()
			synctest.Wait()
		}
		releases[0]()
		assert.DeepEqual(t, order, []string{"alfa/normal", "alfa/normal", "bravo/normal", "bravo/normal", "bravo/normal",
			"bravo/normal", "carla/normal", "alfa/normal", "alfa/normal", "delta/archive"})
		assert.Equal(t, u.free, 2)
		assert.Assert(t, !u.releasedTwice)
	})
}

// Guards against holding a caller for longer than an answer could be of use: beyond its wait, the last time at which its
// deadline can be met, or its cancellation.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*steer.Work)
		cancel time.Duration
		want   steer.Reason
		after  time.Duration
	}{
		"deadline passed": {
			change: func(w *steer.Work) { w.Deadline = time.Now() },
			want:   steer.ReasonDeadline,
		},
		"deadline closer than the shortest request": {
			change: func(w *steer.Work) { w.Deadline = time.Now().Add(19 * time.Millisecond) },
			want:   steer.ReasonDeadline,
		},
		"deadline minus the shortest request passes while waiting": {
			change: func(w *steer.Work) { w.Deadline = time.Now().Add(50 * time.Millisecond) },
			want:   steer.ReasonDeadline,
			after:  30 * time.Millisecond,
		},
		"wait over": {
			change: func(w *steer.Work) { w.Wait = 10 * time.Millisecond },
			want:   steer.ReasonCapacity,
			after:  10 * time.Millisecond,
		},
		"no wait": {
			change: func(w *steer.Work) { w.Wait = 0 },
			want:   steer.ReasonCapacity,
		},
		"caller gone": {
			change: func(*steer.Work) {},
			cancel: 5 * time.Millisecond,
			want:   steer.ReasonDeadline,
			after:  5 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := fair.New(fair.Config{Units: newUnits(1)})
				defer q.Stop()
				release, err := q.Acquire(t.Context(), work("alfa", steer.ClassNormal, time.Minute))
				assert.NilError(t, err)
				time.Sleep(20 * time.Millisecond)
				release()
				release, err = q.Acquire(t.Context(), work("alfa", steer.ClassNormal, time.Minute))
				assert.NilError(t, err)
				defer release()
				ctx := t.Context()
				if c.cancel > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.cancel)
					defer cancel()
				}
				w := work("bravo", steer.ClassNormal, time.Minute)
				c.change(&w)
				start := time.Now()
				_, err = q.Acquire(ctx, w)
				assert.Equal(t, refusalReason(err), c.want)
				assert.Equal(t, time.Since(start), c.after)
			})
		})
	}
}

// Guards against one customer filling the queue and shutting out the others, and against an unbounded queue.
func TestFullQueueMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := fair.New(fair.Config{
			Units:                 newUnits(0),
			MaxWaiting:            4,
			MaxWaitingPerCustomer: 3,
		})
		var refused []string
		stopping := false
		served := func(name string, _ func(), err error) {
			if stopping {
				assert.Equal(t, refusalReason(err), steer.ReasonStopping)
				return
			}
			assert.Equal(t, refusalReason(err), steer.ReasonCapacity)
			refused = append(refused, name)
		}
		for range 4 {
			startAcquire(q, work("alfa", steer.ClassNormal, time.Hour), served) // The 4th exceeds the limit per customer.
		}
		startAcquire(q, work("bravo", steer.ClassArchive, time.Hour), served)
		startAcquire(q, work("carla", steer.ClassArchive, time.Hour), served) // Full, and no customer has more in this class.
		startAcquire(q, work("carla", steer.ClassNormal, time.Hour), served)  // Evicts the archive request.
		startAcquire(q, work("delta", steer.ClassNormal, time.Hour), served)  // Evicts the third request of alfa.
		startAcquire(q, work("delta", steer.ClassNormal, time.Hour), served)  // Would have as many waiting as alfa.
		assert.DeepEqual(t, refused, []string{"alfa/normal", "carla/archive", "bravo/archive", "alfa/normal", "delta/normal"})
		stopping = true
		q.Stop()
		synctest.Wait()
	})
}

// Guards against waiters that are not served when a loan or a larger share brings units, and against a borrowed unit that
// stays unused because the first waiter's deadline is too late for it.
func TestFreedUnitsServeWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnits(0)
		u.usableUntil = time.Now().Add(time.Second)
		q := fair.New(fair.Config{Units: u})
		defer q.Stop()
		var order []string
		served := func(name string, _ func(), err error) {
			assert.NilError(t, err)
			order = append(order, name)
		}
		startAcquire(q, work("late", steer.ClassNormal, 2*time.Second), served)
		startAcquire(q, work("soon", steer.ClassNormal, time.Second/2), served)
		u.add(1)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"soon/normal"})
		u.usableUntil = time.Time{}
		u.add(1)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"soon/normal", "late/normal"})
	})
}

// Guards against giving a unit to an archive request with an early deadline because the unit was freed just after it was
// refused to a normal request.
func TestUnitFreedBetweenWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnits(1)
		q := fair.New(fair.Config{Units: u})
		defer q.Stop()
		releaseAlfa, err := q.Acquire(t.Context(), work("alfa", steer.ClassNormal, time.Hour))
		assert.NilError(t, err)
		var order []string
		served := func(name string, release func(), err error) {
			assert.NilError(t, err)
			order = append(order, name)
			release()
		}
		startAcquire(q, work("bravo", steer.ClassNormal, time.Hour), served)
		u.onRefusal = func() {
			go releaseAlfa()
			for free := 0; free < 1; runtime.Gosched() {
				u.mu.Lock()
				free = u.free
				u.mu.Unlock()
			}
		}
		startAcquire(q, work("carla", steer.ClassArchive, time.Minute), served)
		assert.DeepEqual(t, order, []string{"bravo/normal", "carla/archive"})
	})
}

// request is one request of the property test with its outcome. Times and durations are in milliseconds.
type request struct {
	customer, class             int
	arrival, hold, wait, budget int
	granted, ended              int // granted is -1 if no unit was granted.
}

// Guards against units released twice or lost, late service, starved customers and archive requests served before waiting
// normal ones, for random patterns of requests.
func TestFairnessProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 3).Draw(t, "capacity")
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *request {
			return &request{
				customer: rapid.IntRange(0, 2).Draw(t, "customer"),
				class:    rapid.IntRange(0, 1).Draw(t, "class"),
				arrival:  rapid.IntRange(0, 40).Draw(t, "arrival"),
				hold:     rapid.IntRange(1, 20).Draw(t, "hold"),
				wait:     rapid.IntRange(0, 60).Draw(t, "wait"),
				budget:   rapid.IntRange(1, 80).Draw(t, "budget"),
				granted:  -1,
			}
		}), 1, 25).Draw(t, "requests")
		rapid.SyncTest(t, func(t *rapid.T) { replay(t, capacity, requests) })
		for _, a := range requests {
			if a.granted < 0 {
				continue
			}
			assert.Assert(t, a.granted <= a.arrival+min(a.wait, a.budget), "served too late: %+v", *a)
			for _, b := range requests {
				waits := b.class == 0 && b.arrival < a.granted && b.ended > a.granted && (b.granted < 0 || b.granted > a.granted)
				if !waits {
					continue
				}
				assert.Assert(t, a.class == 0, "%+v served before %+v", *a, *b)
				starved := heldUnits(requests, b.customer, a.granted, 0) == 0 && heldUnits(requests, a.customer, a.granted, 1) > 0
				assert.Assert(t, a.customer == b.customer || !starved, "%+v starves %+v", *a, *b)
			}
		}
	})
}

// heldUnits counts the requests of a customer that hold a unit from at-slack or earlier to at+slack or later.
func heldUnits(requests []*request, customer, at, slack int) int {
	count := 0
	for _, r := range requests {
		if r.customer == customer && r.granted >= 0 && r.granted <= at-slack && r.ended >= at+slack {
			count++
		}
	}
	return count
}

// replay runs the requests against a Queue, records their outcome and checks that all units are free at the end.
func replay(t *rapid.T, capacity int, requests []*request) {
	u := newUnits(capacity)
	q := fair.New(fair.Config{Units: u})
	start := time.Now()
	elapsed := func() int { return int(time.Since(start) / time.Millisecond) }
	var group sync.WaitGroup
	for _, r := range requests {
		group.Go(func() {
			time.Sleep(time.Duration(r.arrival) * time.Millisecond)
			w := work(fmt.Sprint(r.customer), steer.ClassNormal, time.Duration(r.budget)*time.Millisecond)
			w.Wait = time.Duration(r.wait) * time.Millisecond
			if r.class == 1 {
				w.Class = steer.ClassArchive
			}
			release, err := q.Acquire(context.Background(), w)
			if err == nil {
				r.granted = elapsed()
				time.Sleep(time.Duration(r.hold) * time.Millisecond)
				release()
			}
			r.ended = elapsed()
		})
	}
	group.Wait()
	q.Stop()
	assert.Equal(t, u.free, capacity)
	assert.Assert(t, !u.releasedTwice)
}

// atomicUnits implements steer.Units without a lock, so that the benchmark measures the queue alone.
type atomicUnits struct {
	free  atomic.Int64
	freed chan struct{}
}

func (u *atomicUnits) TryAcquire(time.Time, steer.QuotaName, time.Time) (func(), bool) {
	if u.free.Add(-1) < 0 {
		u.free.Add(1)
		return nil, false
	}
	return u.release, true
}

func (u *atomicUnits) release()               { u.free.Add(1) }
func (u *atomicUnits) Freed() <-chan struct{} { return u.freed }

func BenchmarkAcquire(b *testing.B) {
	for _, c := range []struct {
		name  string
		units int64
	}{{"free", 1 << 20}, {"short", 4}} {
		b.Run(c.name, func(b *testing.B) {
			u := &atomicUnits{freed: make(chan struct{})}
			u.free.Store(c.units)
			q := fair.New(fair.Config{Units: u})
			defer q.Stop()
			var id atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				w := work(fmt.Sprint(id.Add(1)%8), steer.ClassNormal, time.Hour)
				for pb.Next() {
					release, err := q.Acquire(context.Background(), w)
					if err != nil {
						b.Error(err)
						return
					}
					release()
				}
			})
		})
	}
}
