package choose_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/quota/fair"
	"monsoonhub.example/steer/internal/route/choose"
)

// The measured system: two hosts share ten targets with 8 slots. A request takes 50 ms and on average 50 ms more.
const (
	simHosts   = 2
	simTargets = 10
	simSlots   = 8
	simMean    = 100 * time.Millisecond
	simLimit   = time.Second // Deadline of a request.
	simWait    = simLimit / 2
	simSeed    = 20261204
)

var simIDs = [simTargets]string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"}

// scenario is one measurement. Functions get the time since its start; nil means nothing out of the ordinary.
type scenario struct {
	name   string
	policy string // "steer", "round-robin" or "least-load".
	load   float64
	length time.Duration
	greedy float64                                    // Rate of customer 0 relative to each of the other seven; 0 means 1.
	unfair bool                                       // Capacity units go out in order of arrival.
	slow   func(target int, at time.Duration) float64 // Factor on the time of a request; 0 means that it fails at once.
	report func(target int, at time.Duration, r steer.Report) steer.Report
	bound  func(at time.Duration) float64 // Fraction of the slots of a target that may be busy.
}

// result is what became of the requests.
type result struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // Microseconds, of answers in time or late.
	all      [8]int                  // By customer.
	inTime   [8]int
	refused  int
	failed   int
	overload int         // Requests that found more busy than the bound allows.
	seconds  map[int]int // Answers by second of arrival.
	slowest  int         // Requests that target 0 got.
}

func (r *result) percent(customer int) float64 {
	return 100 * float64(r.inTime[customer]) / float64(max(r.all[customer], 1))
}

// worst returns the percentage in time of the worst-served customer other than customer 0.
func (r *result) worst() float64 {
	worst := 100.0
	for c := 1; c < len(r.all); c++ {
		worst = min(worst, r.percent(c))
	}
	return worst
}

// board is the reports, refreshed every 500 ms.
type board struct{ atomic.Pointer[reports] }

func (b *board) Report(target string) steer.Report { return (*b.Load())[target] }

// chooser is the part of the Picker that is compared.
type chooser interface {
	Await(ctx context.Context, service string, tried []string) (steer.Choice, error)
}

// baseline takes the targets in turn, or that with the least reported load.
type baseline struct {
	board *board
	next  atomic.Int64
	least bool
}

func (b *baseline) Await(context.Context, string, []string) (steer.Choice, error) {
	best := simIDs[b.next.Add(1)%simTargets]
	for _, id := range simIDs {
		if b.least && b.board.Report(id).Busy < b.board.Report(best).Busy {
			best = id
		}
	}
	return steer.Choice{Target: steer.Target{ID: best}, Done: func(steer.Outcome) {}}, nil
}

// simulation is one run of a scenario.
type simulation struct {
	scenario
	result
	start   time.Time
	slots   [simTargets]chan struct{}
	busy    [simTargets]atomic.Int64
	queues  [simHosts]*fair.Queue
	choices [simHosts]chooser
	board   board
}

// measure runs a scenario in virtual time.
func measure(t *testing.T, c scenario) *result {
	s := &simulation{scenario: c}
	s.latency = hdrhistogram.New(1, 100_000_000, 3)
	s.seconds = map[int]int{}
	synctest.Test(t, func(*testing.T) { s.run() })
	return &s.result
}

func (s *simulation) run() {
	s.start = time.Now()
	s.poll()
	config := &source{}
	config.set(simTargets)
	for i := range s.slots {
		s.slots[i] = make(chan struct{}, simSlots)
	}
	for h := range simHosts {
		u := &simUnits{}
		u.free.Store(simTargets * simSlots / simHosts)
		s.queues[h] = fair.New(fair.Config{Units: u})
		switch s.policy {
		case "steer":
			s.choices[h] = choose.New(choose.Config{
				DataCentre: "golfo-1",
				Source:     config,
				Reports:    &s.board,
				HostCount:  func() int { return simHosts },
				Seed:       uint64(simSeed + h),
			})
		default:
			s.choices[h] = &baseline{board: &s.board, least: s.policy == "least-load"}
		}
	}
	r := rand.New(rand.NewPCG(simSeed, 0))
	rate := s.load * simTargets * simSlots / simMean.Seconds()
	greedy := max(s.greedy, 1)
	poll := s.start
	var group sync.WaitGroup
	for time.Since(s.start) < s.length {
		for ; !poll.After(time.Now()); poll = poll.Add(500 * time.Millisecond) {
			s.poll()
		}
		time.Sleep(time.Duration(r.ExpFloat64() / (rate * (7 + greedy) / 8) * 1e9))
		customer := max(int(r.Float64()*(7+greedy)-greedy+1), 0)
		host, work := r.IntN(simHosts), time.Duration((0.5+0.5*r.ExpFloat64())*float64(simMean))
		group.Go(func() { s.request(host, customer, work) })
	}
	group.Wait()
	for _, q := range s.queues {
		q.Stop()
	}
}

// poll takes the reports of all targets.
func (s *simulation) poll() {
	all := reports{}
	for i := range simTargets {
		r := steer.Report{Healthy: true, Busy: int(s.busy[i].Load()), Slots: simSlots, At: time.Now()}
		if s.report != nil {
			r = s.report(i, time.Since(s.start), r)
		}
		all[simIDs[i]] = r
	}
	s.board.Store(&all)
}

func (s *simulation) request(host, customer int, work time.Duration) {
	start := time.Now()
	second := int(start.Sub(s.start) / time.Second)
	w := steer.Work{Quota: "work", Customer: fmt.Sprint(customer), Deadline: start.Add(simLimit), Wait: simWait}
	if s.unfair {
		w.Customer = ""
	}
	release, err := s.queues[host].Acquire(context.Background(), w)
	if err == nil {
		defer release()
		var c steer.Choice
		ctx, cancel := context.WithDeadline(context.Background(), start.Add(simWait))
		defer cancel()
		if c, err = s.choices[host].Await(ctx, "reservas", nil); err == nil {
			o := s.serve(int(c.Target.ID[1]-'0'), start.Add(simLimit), work)
			c.Done(o)
			s.record(customer, second, c.Target.ID, time.Since(start), o)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[customer]++
	s.refused++
}

// serve is a target: it works on as many requests as it has slots, in order of arrival.
func (s *simulation) serve(target int, deadline time.Time, work time.Duration) steer.Outcome {
	start := time.Now()
	at := start.Sub(s.start)
	factor := 1.0
	if s.slow != nil {
		factor = s.slow(target, at)
	}
	if factor == 0 {
		time.Sleep(time.Millisecond)
		return steer.Outcome{Failed: true, Latency: time.Millisecond}
	}
	busy := s.busy[target].Add(1)
	defer s.busy[target].Add(-1)
	bound := 1.0
	if s.bound != nil {
		bound = s.bound(at)
	}
	if float64(busy) > bound*simSlots {
		s.mu.Lock()
		s.overload++
		s.mu.Unlock()
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	failed := steer.Outcome{Failed: true, Latency: time.Until(deadline)}
	select {
	case s.slots[target] <- struct{}{}:
		defer func() { <-s.slots[target] }()
	case <-timer.C:
		return failed
	}
	select {
	case <-time.After(time.Duration(float64(work) * factor)):
		return steer.Outcome{Verdict: steer.Ran, Latency: time.Since(start)}
	case <-timer.C:
		return failed
	}
}

func (s *simulation) record(customer, second int, target string, latency time.Duration, o steer.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[customer]++
	if target == "t0" {
		s.slowest++
	}
	if o.Failed {
		s.failed++
		if latency < simLimit/2 {
			return // Failed at once; it would only improve the percentiles.
		}
	} else {
		s.inTime[customer]++
		s.seconds[second]++
	}
	_ = s.latency.RecordValue(latency.Microseconds())
}

// simUnits is a fixed number of units.
type simUnits struct{ free atomic.Int64 }

func (u *simUnits) TryAcquire(time.Time, steer.QuotaName, time.Time) (func(), bool) {
	if u.free.Add(-1) < 0 {
		u.free.Add(1)
		return nil, false
	}
	return func() { u.free.Add(1) }, true
}

func (u *simUnits) Freed() <-chan struct{} { return nil }

// table measures scenarios and prints them.
func table(t *testing.T, scenarios []scenario) map[string]*result {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\n%-34s %-12s %6s %8s %8s %8s %8s %7s %7s %7s %7s %7s", simSeed, "scenario", "policy", "load",
		"requests", "p50 ms", "p99 ms", "p99.9 ms", "refused", "failed", "worst %", "t0 %", "over %")
	results := map[string]*result{}
	for _, c := range scenarios {
		r := measure(t, c)
		results[c.name+"/"+c.policy] = r
		all := 0
		for _, count := range r.all {
			all += count
		}
		ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(&text, "\n%-34s %-12s %5.0f%% %8d %8.1f %8.1f %8.1f %7d %7d %7.2f %7.2f %7.2f", c.name, c.policy, 100*c.load, all,
			ms(50), ms(99), ms(99.9), r.refused, r.failed, r.worst(), 100*float64(r.slowest)/float64(all), 100*float64(r.overload)/float64(all))
	}
	t.Log(text.String())
	return results
}

var policies = []string{"steer", "round-robin", "least-load"}

func TestPolicySteady(t *testing.T) {
	var all []scenario
	for _, load := range []float64{0.6, 0.8, 0.95, 1.2} {
		for _, p := range policies {
			all = append(all, scenario{name: fmt.Sprint("steady ", load), policy: p, load: load, length: 15 * time.Second})
		}
	}
	table(t, all)
}

func TestPolicySlowTarget(t *testing.T) {
	slow := func(target int, _ time.Duration) float64 {
		if target == 0 {
			return 5
		}
		return 1
	}
	var all []scenario
	for _, p := range policies {
		all = append(all, scenario{name: "all well", policy: p, load: 0.8, length: 30 * time.Second},
			scenario{name: "slow but healthy", policy: p, load: 0.8, length: 30 * time.Second, slow: slow})
	}
	results := table(t, all)
	p99 := func(name string) float64 { return float64(results[name].latency.ValueAtQuantile(99)) }
	ratio := p99("slow but healthy/steer") / p99("all well/steer")
	t.Logf("99th percentile with the slow target: %.2f times that without", ratio)
	assert.Assert(t, ratio <= 1.3)
}

// Guards against reports that decide: old, false or missing ones must cost little.
func TestPolicyReports(t *testing.T) {
	report := map[string]func(int, time.Duration, steer.Report) steer.Report{
		"true reports": nil,
		"no reports":   func(int, time.Duration, steer.Report) steer.Report { return steer.Report{} },
		"stale reports": func(_ int, _ time.Duration, r steer.Report) steer.Report {
			r.At = r.At.Add(-time.Hour)
			return r
		},
		"t0 says it is idle": func(target int, _ time.Duration, r steer.Report) steer.Report {
			if target == 0 {
				r.Busy = 0
			}
			return r
		},
		"t0 says it is full": func(target int, _ time.Duration, r steer.Report) steer.Report {
			if target == 0 {
				r.Busy = 1000
			}
			return r
		},
		"t0 says it is unwell": func(target int, _ time.Duration, r steer.Report) steer.Report {
			r.Healthy = target != 0
			return r
		},
	}
	var all []scenario
	for name, r := range report {
		all = append(all, scenario{name: name, policy: "steer", load: 0.8, length: 20 * time.Second, report: r})
	}
	results := table(t, all)
	for name, r := range results {
		assert.Assert(t, r.worst() >= 99.5, "%s: %.2f %% in time", name, r.worst())
	}
}

// Guards against a customer at five times its rate that takes the others' share. Without the excess the load is 80 %.
func TestPolicyGreedyCustomer(t *testing.T) {
	results := table(t, []scenario{
		{name: "fair sharing", policy: "steer", load: 0.8, length: 30 * time.Second, greedy: 5},
		{name: "no fair sharing", policy: "steer", load: 0.8, length: 30 * time.Second, greedy: 5, unfair: true},
	})
	worst := results["fair sharing/steer"].worst()
	assert.Assert(t, worst >= 99.5, "%.2f %% in time", worst)
}

// Guards against a region that is overloaded when it comes back with cold caches, or that gets its share too late. All
// targets fail from 10 s to 40 s; then a request takes up to four times as long for 8 s.
func TestPolicyColdReturn(t *testing.T) {
	const down, up, cold, ramp = 10 * time.Second, 40 * time.Second, 8 * time.Second, 10 * time.Second
	results := table(t, []scenario{{
		name:   "cold return",
		policy: "steer",
		load:   0.8,
		length: 60 * time.Second,
		slow: func(_ int, at time.Duration) float64 {
			if at >= down && at < up {
				return 0
			}
			if at < down {
				return 1
			}
			return 1 + 3*max(0, 1-float64(at-up)/float64(cold))
		},
		report: func(_ int, at time.Duration, r steer.Report) steer.Report {
			if at >= down && at < up {
				r.At = r.At.Add(down - at) // Polls fail.
			}
			return r
		},
		bound: func(at time.Duration) float64 {
			if at < up || at >= up+ramp {
				return simHosts
			}
			return max(float64(at-up)/float64(ramp), 0.1) + float64(simHosts)/simSlots // Each host may round up.
		},
	}})
	r := results["cold return/steer"]
	var line strings.Builder
	for second := up / time.Second; second < 60; second++ {
		fmt.Fprintf(&line, " %d", r.seconds[int(second)])
	}
	t.Logf("answers by second from the return, at 640 requests/s: %s; over the bound: %d", line.String(), r.overload)
	assert.Equal(t, r.overload, 0)
	full := 0
	for second := (up + ramp) / time.Second; second < 60; second++ {
		full += r.seconds[int(second)]
	}
	assert.Assert(t, full > 9*640, "%d answers in 10 s", full)
}
