package admit_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
)

const (
	hosts   = 83
	targets = 60
	seed    = 7
	seeds   = 4 // Of one load that is played with and without admission.
)

// compare plays a load with and without admission and returns the sums over several seeds. One seed has too few callers to see a
// difference of 1 in 200. The attempts by round are those of the last seed.
func compare(play func(f *fleet)) (with, without *fleet) {
	var group sync.WaitGroup
	sum := func(total **fleet, admission bool) {
		for i := range uint64(seeds) {
			f := newFleet(seed+i, hosts, targets, admission)
			play(f)
			*total = f.add(*total)
		}
	}
	group.Go(func() { sum(&with, true) })
	group.Go(func() { sum(&without, false) })
	group.Wait()
	return with, without
}

// assertServesAsMany asserts that admission serves as many callers, within 1 in 200, and earns as much as its absence.
func assertServesAsMany(t *testing.T, with, without *fleet) {
	t.Helper()
	served := float64(with.served()) / float64(with.all())
	servedWithout := float64(without.served()) / float64(without.all())
	credit, creditWithout := with.credit()/float64(with.all()), without.credit()/float64(without.all())
	t.Logf("served %.4f, without %.4f; credit %.4f, without %.4f", served, servedWithout, credit, creditWithout)
	assert.Check(t, served >= 0.995*servedWithout)
	assert.Check(t, credit >= creditWithout)
}

// Guards against less urgent requests that are served where more urgent ones are refused, customers that are crowded out by
// large ones, and answers that are late although a shorter queue was possible. Load: demand of 1.5 and 2.5 times the capacity,
// by callers that respect Retry-After and by callers that return at once.
func TestOrderUnderShortage(t *testing.T) {
	for _, c := range []struct {
		demand float64
		ignore bool
	}{{demand: 1.5}, {demand: 2.5}, {demand: 1.5, ignore: true}} {
		t.Run(fmt.Sprint(c.demand, " ignore=", c.ignore), func(t *testing.T) {
			f, without := compare(func(f *fleet) {
				f.ignore = c.ignore
				f.run(2*time.Second, always(0.7))
				f.run(3*time.Second, always(c.demand))
				f.measure(6*time.Second, always(c.demand))
			})
			t.Logf("seeds from %d: with %+v, without %+v", seed, f.priorities, without.priorities)
			for p, urgent := range f.priorities {
				for _, other := range f.priorities[p+1:] {
					assert.Assert(t, min(1-urgent.fraction(), other.fraction()) <= 0.05, "priority %d", p)
				}
			}
			all, worst := f.fraction(0, len(f.customers)), 1.0
			for i := range f.customers {
				worst = min(worst, f.fraction(i, i+1))
			}
			large, small := f.fraction(0, 5), f.fraction(30, len(f.customers))
			t.Logf("served %.3f, worst customer %.3f, large %.3f, small %.3f", all, worst, large, small)
			assert.Assert(t, worst >= 0.25*all)
			assert.Assert(t, small >= large)
			assertServesAsMany(t, f, without)
		})
	}
}

// fractionIn returns the admitted fraction of the attempts between two times after the begin of a load.
func (f *fleet) fractionIn(from, until time.Duration) float64 {
	attempts, admitted := 0, 0
	for i := int(from / round); i < int(until/round); i++ {
		attempts, admitted = attempts+f.attempts[i], admitted+f.admitted[i]
	}
	return float64(admitted) / float64(max(attempts, 1))
}

// Guards against callers that are refused although there is capacity. Load: demand of 0.7 times the capacity.
func TestAdmitsWithoutShortage(t *testing.T) {
	f := newFleet(seed, hosts, targets, true)
	f.run(10*time.Second, always(0.7))
	t.Logf("seed %d: admitted %.4f", seed, f.fractionIn(time.Second, 10*time.Second))
	assert.Assert(t, f.fractionIn(time.Second, 10*time.Second) >= 0.99)
}

// Guards against callers that are refused because other targets than theirs are full. Load: demand of 0.75 times the capacity;
// the busiest targets get 1.8 times the mean and cannot serve it, the others have room.
func TestBusyTargets(t *testing.T) {
	f, without := compare(func(f *fleet) {
		f.skew = 0.8
		f.run(3*time.Second, always(0.75))
		f.measure(6*time.Second, always(0.75))
	})
	t.Logf("seeds from %d: with %+v, without %+v", seed, f.priorities, without.priorities)
	for p := range f.priorities {
		assert.Assert(t, f.priorities[p].fraction() >= 0.9*without.priorities[p].fraction(), "priority %d", p)
	}
	assert.Assert(t, float64(f.onTime()) >= 0.97*float64(without.onTime()))
	assertServesAsMany(t, f, without)
}

// Guards against callers that are refused blindly because the few targets that have their objects are full. Load: a tenth of the
// targets gets a quarter of a demand of 0.7 and 1.3 times the capacity, 1.75 and 3.25 times what it can serve. The limits of the
// placer are those with and without more urgent classes of the same service.
func TestUnevenlyBusyTargets(t *testing.T) {
	for _, limits := range [][3]float64{{2.1, 1.44, 0.89}, {2.1, 2.36, 3}} {
		for _, demand := range []float64{0.7, 1.3} {
			f, without := compare(func(f *fleet) {
				f.hot, f.limits = 0.25, limits
				f.run(3*time.Second, always(demand))
				f.measure(6*time.Second, always(demand))
			})
			t.Logf("seeds from %d: with %+v, without %+v", seed, f.priorities, without.priorities)
			t.Logf("served %d, without %d; credit %.0f, without %.0f", f.served(), without.served(), f.credit(), without.credit())
			assert.Check(t, float64(f.served()) >= 0.995*float64(without.served()))
			assert.Check(t, f.credit() >= 0.999*without.credit(), "hardly any level, so about the same")
		}
	}
}

// Guards against a burst of one route that makes more urgent requests late, and against waves of callers that return together
// after it. Load: 0.75 of the capacity, one route sends 2.4 times as much for 5 s.
func TestBurstOfOneRoute(t *testing.T) {
	burst := func(p int) float64 {
		if p == 1 {
			return 2.4 * 0.75
		}
		return 0.75
	}
	f, without := compare(func(f *fleet) {
		f.run(3*time.Second, always(0.75))
		f.from, f.until = f.now, f.now.Add(5*time.Second)
		f.run(5*time.Second, burst)
		f.run(8*time.Second, always(0.75))
	})
	t.Logf("seeds from %d: with %+v, without %+v", seed, f.priorities, without.priorities)
	assert.Assert(t, f.priorities[0].fraction() >= 0.97)
	assertServesAsMany(t, f, without)
	after, total := []int{}, 0
	for i := range int(7 * time.Second / round) { // From 1 s after the burst.
		after = append(after, f.attempts[int(9*time.Second/round)+i])
		total += after[i]
	}
	mean, fallen := float64(total)/float64(len(after)), false
	t.Logf("attempts by round after the burst: %v", after)
	for i, n := range after {
		fallen = fallen || float64(n) < mean
		assert.Assert(t, !fallen || float64(n) <= 1.3*mean, "second peak in round %d: %d, mean %.0f", i, n, mean)
	}
	assert.Assert(t, fallen)
}

// Guards against a level that stays up when capacity has returned. Load: 0.5 of the capacity, of which 70 % is away for 5 s.
func TestRecoversWithinSecond(t *testing.T) {
	usual := newFleet(seed, hosts, targets, true)
	usual.run(time.Second, always(0.5))
	usual.measure(3*time.Second, always(0.5))
	f := newFleet(seed, hosts, targets, true)
	f.run(3*time.Second, always(0.5))
	all := f.targets
	f.targets = all[:targets*3/10]
	f.run(5*time.Second, func(int) float64 { return 0.5 / 0.3 })
	during := f.fractionIn(7*time.Second, 8*time.Second)
	f.targets = all
	lowest := 1.0
	for range 20 {
		f.run(50*time.Millisecond, always(0.5))
		lowest = min(lowest, f.level())
	}
	f.measure(3*time.Second, always(0.5))
	t.Logf("seed %d: admitted %.3f during the shortage; lowest mean level within 1 s after it %.3f; callers that start later %+v, usual %+v",
		seed, during, lowest, f.priorities, usual.priorities)
	assert.Assert(t, during < 0.5)
	assert.Assert(t, lowest < 0.2)
	for p, onTime := range []float64{0.95, 0.95, 0.85} { // The least urgent go after the callers that still return.
		callers := f.priorities[p]
		assert.Assert(t, callers.fraction() >= 0.97, "priority %d", p)
		assert.Assert(t, callers.onTimeFraction() >= onTime*usual.priorities[p].onTimeFraction(), "priority %d", p)
	}
}

// Guards against hosts that admit much more or less than others because they are cut off, in another data centre or restarted.
// Load: demand of 2 times the capacity; the hosts of one data centre hear no others, and one host restarts.
func TestHostsThatDisagree(t *testing.T) {
	f := newFleet(seed, hosts, targets, true)
	for host := 0; host < hosts; host += 6 {
		f.cut[host] = true
	}
	f.run(5*time.Second, always(2))
	f.restart(1)
	f.run(time.Second, always(2))
	restarted := f.hosts[1].Level(f.now, "tiles", "north")
	f.measure(5*time.Second, always(2))
	var cut, others tally
	for host, t := range f.byHost {
		if sum := &others; f.cut[host] {
			cut.all, cut.served = cut.all+t.all, cut.served+t.served
		} else {
			sum.all, sum.served = sum.all+t.all, sum.served+t.served
		}
	}
	level := f.hosts[2].Level(f.now, "tiles", "north")
	t.Logf("seed %d: cut off %.3f, others %.3f; level of restarted host %.3f, of others %.3f; %+v", seed, cut.fraction(),
		others.fraction(), restarted, level, f.priorities)
	assert.Assert(t, cut.fraction() < 2*others.fraction() && others.fraction() < 2*cut.fraction())
	assert.Assert(t, restarted > 0.8*level)
	assert.Assert(t, f.priorities[0].fraction() >= 0.95)
	assert.Assert(t, f.priorities[2].fraction() <= 0.05)
}

// pressed returns a controller whose pool "tiles" in "north" has no room for most requests, and the time.
func pressed(t *testing.T, random func() float64) (*admit.Controller, time.Time) {
	t.Helper()
	c := admit.New(admit.Config{
		Mode:   steer.ModeOn,
		Random: random,
	})
	now := time.Unix(1000, 0)
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		c.Decide(now, request())
		kind := admit.NoRoom
		if i%4 == 0 {
			kind = admit.Answered
		}
		c.Observe(now, "tiles", "north", admit.Outcome{
			Kind:      kind,
			Load:      1.2,
			LoadKnown: true,
			Latency:   400 * time.Millisecond,
		})
	}
	assert.Assert(t, c.Level(now, "tiles", "north") > 0.5)
	return c, now
}

func request() admit.Request {
	return admit.Request{
		Service:   "tiles",
		Region:    "north",
		Customer:  "naviera",
		Priority:  1,
		Objective: 800 * time.Millisecond,
		TimeLeft:  3 * time.Second,
	}
}

// Guards against a shortage that makes hosts refuse what runs elsewhere, and against a level that no more outcomes can lower.
func TestLevelIsThatOfOnePool(t *testing.T) {
	c, now := pressed(t, func() float64 { return 0.999 })
	assert.Assert(t, c.Decide(now, request()).Refused)
	other := request()
	other.Region = "south"
	assert.Assert(t, !c.Decide(now, other).Refused)
	other = request()
	other.Service = "saves"
	assert.Assert(t, !c.Decide(now, other).Refused)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		c.Level(now, "tiles", "north")
	}
	assert.Equal(t, c.Level(now, "tiles", "north"), 0.0)
}

// Guards against levels that rise because single targets are full or at fault while others have room.
func TestFaultsAreNoShortage(t *testing.T) {
	for _, o := range []admit.Outcome{
		{Kind: admit.NoRoom, Priority: 1},
		{Kind: admit.Shed, Load: 0.2, LoadKnown: true},
		{Kind: admit.TimedOut, Load: 0.2, LoadKnown: true},
		{Kind: admit.Answered, Load: 0.2, LoadKnown: true, Latency: 5 * time.Second, Objective: time.Second},
	} {
		c := admit.New(admit.Config{})
		now := time.Unix(1000, 0)
		for i := range 5000 {
			now = now.Add(time.Millisecond)
			assert.Assert(t, !c.Decide(now, request()).Refused)
			outcome := admit.Outcome{
				Kind:      admit.Placed,
				Load:      0.5,
				LoadKnown: true,
			}
			if i%8 == 0 {
				outcome = o
			}
			c.Observe(now, "tiles", "north", outcome)
		}
	}
}

// Guards against callers that are refused because answers are late although targets still take every request.
func TestLatenessIsNoShortage(t *testing.T) {
	c := admit.New(admit.Config{})
	now := time.Unix(1000, 0)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		assert.Assert(t, !c.Decide(now, request()).Refused)
		outcome := admit.Outcome{
			Kind:      admit.Placed,
			Load:      2.4,
			LoadKnown: true,
			Latency:   1500 * time.Millisecond,
			Objective: 800 * time.Millisecond,
		}
		c.Observe(now, "tiles", "north", outcome)
		if outcome.Kind = admit.Answered; i%10 == 0 {
			outcome.Kind = admit.TimedOut
		}
		c.Observe(now, "tiles", "north", outcome)
	}
}

// Guards against callers that are asked to wait for longer than they do, and callers that are refused again and again although
// they can still be answered in time.
func TestReturns(t *testing.T) {
	random := 0.999
	c, now := pressed(t, func() float64 { return random })
	for _, left := range []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, time.Second, 20 * time.Second} {
		r := request()
		r.TimeLeft = left
		d := c.Decide(now, r)
		assert.Assert(t, d.Refused)
		assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= left/3, "%s of %s", d.RetryAfter, left)
		assert.Assert(t, d.Level > 0.5 && d.Share > 0.9, "%+v", d)
	}
	random = 0.7
	once, twice := request(), request()
	once.TimeLost, once.Objective = 100*time.Millisecond, 0
	twice.TimeLost, twice.Objective = 30*time.Second, 0
	assert.Assert(t, c.Decide(now, request()).Refused)
	assert.Assert(t, c.Decide(now, once).Refused, "the same chance")
	assert.Assert(t, !c.Decide(now, twice).Refused, "goes first")
	twice.Objective = time.Second
	assert.Assert(t, c.Decide(now, twice).Refused, "can only be answered late")
}

// Guards against a feature that is in use where nothing calls for it.
func TestInUse(t *testing.T) {
	for _, c := range []struct {
		config admit.Config
		inUse  bool
	}{
		{},
		{config: admit.Config{Mode: steer.ModeOff, Deployment: steer.Deployment{ContestedCapacity: true}}},
		{config: admit.Config{Mode: steer.ModeOn}, inUse: true},
		{config: admit.Config{Mode: steer.ModeAuto}},
		{config: admit.Config{Mode: steer.ModeAuto, Deployment: steer.Deployment{ContestedCapacity: true}}, inUse: true},
		{config: admit.Config{Mode: steer.ModeAuto, CalledFor: func(s string) bool { return s == "tiles" }}, inUse: true},
		{config: admit.Config{Mode: steer.ModeAuto, CalledFor: func(s string) bool { return s != "tiles" }}},
	} {
		assert.Equal(t, admit.New(c.config).InUse("tiles"), c.inUse, "%+v", c.config)
	}
}

// BenchmarkDecide measures a decision and its outcome during a shortage, with the report of 46 other hosts.
func BenchmarkDecide(b *testing.B) {
	for _, customers := range []int{84, 1000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			host, now := shortHost(customers)
			r, names := request(), make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(1500 * time.Microsecond)
				r.Customer, r.Priority = names[i%len(names)], i%3
				host.Decide(now, r)
				host.Observe(now, "tiles", "north", admit.Outcome{
					Kind: admit.NoRoom,
				})
			}
		})
	}
}

// shortHost returns a host that hears 46 others, during a shortage of capacity for the requests of some customers, and the time.
func shortHost(customers int) (*admit.Controller, time.Time) {
	f := newFleet(seed, 47, targets, true)
	f.centre = func(int) int { return 0 }
	f.customers = make([]tally, customers)
	f.weights = f.weights[:0]
	for i := range customers {
		f.weights = append(f.weights, float64(i+1))
	}
	f.run(2*time.Second, always(2.5))
	return f.hosts[0], f.now
}

// BenchmarkRound measures what a leader of 47 hosts does with the reports of a round.
func BenchmarkRound(b *testing.B) {
	f := newFleet(seed, 47, targets, true)
	f.centre = func(int) int { return 0 }
	f.run(2*time.Second, always(2.5))
	var lists [][]steer.AdmissionReport
	for _, host := range f.hosts {
		lists = append(lists, host.Report(f.now.Add(time.Second)))
	}
	b.ResetTimer()
	for range b.N {
		for i, list := range lists {
			f.hosts[0].Merge(f.now, fmt.Sprint("host-", i), list)
		}
		admit.Combine(lists...)
	}
}
