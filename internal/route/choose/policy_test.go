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

// The simulated system: two hosts share ten targets of 8 slots each. A request takes 50 ms plus an exponentially
// distributed time with a mean of 50 ms.
const (
	simHosts    = 2
	simTargets  = 10
	simSlots    = 8
	simMeanTime = 100 * time.Millisecond
	simDeadline = time.Second // Deadline of a request.
	simMaxWait  = simDeadline / 2
	simSeed     = 20261204
)

var simIDs = [simTargets]string{"t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9"}

// scenario describes one simulation. The at of its functions is the time since the start; a nil function changes nothing.
type scenario struct {
	name       string
	policy     string // "steer", "round-robin" or "least-load".
	load       float64
	duration   time.Duration
	greedyRate float64                                    // Rate of customer 0 relative to each of the other seven; 0 means 1.
	fifo       bool                                       // Capacity units are granted in order of arrival, not fairly.
	slowdown   func(target int, at time.Duration) float64 // Multiplies the time of a request; 0 makes it fail at once.
	report     func(target int, at time.Duration, r steer.Report) steer.Report
	busyBound  func(at time.Duration) float64 // Maximum fraction of busy slots at a target.
}

// result counts the outcomes of the requests of a simulation.
type result struct {
	mu                 sync.Mutex
	latency            *hdrhistogram.Histogram // In microseconds; without requests that failed at once.
	requests           [8]int                  // By customer.
	inTime             [8]int
	refused            int
	failed             int
	overBound          int         // Requests that exceeded busyBound at their target.
	answersBySecond    map[int]int // Answers by second of arrival.
	targetZeroRequests int         // Requests that target 0 got.
}

func (r *result) inTimePercent(customer int) float64 {
	return 100 * float64(r.inTime[customer]) / float64(max(r.requests[customer], 1))
}

// worstPercent returns the lowest percentage of requests answered in time among the customers other than customer 0.
func (r *result) worstPercent() float64 {
	worstPercent := 100.0
	for c := 1; c < len(r.requests); c++ {
		worstPercent = min(worstPercent, r.inTimePercent(c))
	}
	return worstPercent
}

// reportBoard holds the reports, which are refreshed every 500 ms.
type reportBoard struct{ atomic.Pointer[reports] }

func (b *reportBoard) Report(target string) steer.Report { return (*b.Load())[target] }

// chooser is the method that the compared policies have in common.
type chooser interface {
	Await(ctx context.Context, service string, tried []string) (steer.Choice, error)
}

// baseline chooses the targets in turn or, with leastLoad, the one with the least reported load.
type baseline struct {
	reportBoard *reportBoard
	next        atomic.Int64
	leastLoad   bool
}

func (b *baseline) Await(context.Context, string, []string) (steer.Choice, error) {
	best := simIDs[b.next.Add(1)%simTargets]
	for _, id := range simIDs {
		if b.leastLoad && b.reportBoard.Report(id).Busy < b.reportBoard.Report(best).Busy {
			best = id
		}
	}
	return steer.Choice{Target: steer.Target{ID: best}, Done: func(steer.Outcome) {}}, nil
}

// simulation is one run of a scenario.
type simulation struct {
	scenario
	result
	start       time.Time
	slots       [simTargets]chan struct{}
	busy        [simTargets]atomic.Int64
	queues      [simHosts]*fair.Queue
	choices     [simHosts]chooser
	reportBoard reportBoard
}

// runScenario runs a scenario in virtual time.
func runScenario(t *testing.T, c scenario) *result {
	s := &simulation{scenario: c}
	s.latency = hdrhistogram.New(1, 100_000_000, 3)
	s.answersBySecond = map[int]int{}
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
				Reports:    &s.reportBoard,
				HostCount:  func() int { return simHosts },
				Seed:       uint64(simSeed + h),
			})
		default:
			s.choices[h] = &baseline{reportBoard: &s.reportBoard, leastLoad: s.policy == "least-load"}
		}
	}
	r := rand.New(rand.NewPCG(simSeed, 0))
	rate := s.load * simTargets * simSlots / simMeanTime.Seconds()
	greedyRate := max(s.greedyRate, 1)
	poll := s.start
	var group sync.WaitGroup
	for time.Since(s.start) < s.duration {
		for ; !poll.After(time.Now()); poll = poll.Add(500 * time.Millisecond) {
			s.poll()
		}
		time.Sleep(time.Duration(r.ExpFloat64() / (rate * (7 + greedyRate) / 8) * 1e9))
		customer := max(int(r.Float64()*(7+greedyRate)-greedyRate+1), 0)
		host, work := r.IntN(simHosts), time.Duration((0.5+0.5*r.ExpFloat64())*float64(simMeanTime))
		group.Go(func() { s.request(host, customer, work) })
	}
	group.Wait()
	for _, q := range s.queues {
		q.Stop()
	}
}

// poll refreshes the reports of all targets.
func (s *simulation) poll() {
	all := reports{}
	for i := range simTargets {
		r := steer.Report{Healthy: true, Busy: int(s.busy[i].Load()), Slots: simSlots, At: time.Now()}
		if s.report != nil {
			r = s.report(i, time.Since(s.start), r)
		}
		all[simIDs[i]] = r
	}
	s.reportBoard.Store(&all)
}

func (s *simulation) request(host, customer int, work time.Duration) {
	start := time.Now()
	second := int(start.Sub(s.start) / time.Second)
	w := steer.Work{Quota: "work", Customer: fmt.Sprint(customer), Deadline: start.Add(simDeadline), Wait: simMaxWait}
	if s.fifo {
		w.Customer = ""
	}
	release, err := s.queues[host].Acquire(context.Background(), w)
	if err == nil {
		defer release()
		var c steer.Choice
		ctx, cancel := context.WithDeadline(context.Background(), start.Add(simMaxWait))
		defer cancel()
		if c, err = s.choices[host].Await(ctx, "reservas", nil); err == nil {
			o := s.serve(int(c.Target.ID[1]-'0'), start.Add(simDeadline), work)
			c.Done(o)
			s.record(customer, second, c.Target.ID, time.Since(start), o)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[customer]++
	s.refused++
}

// serve simulates a target, which processes as many requests at once as it has slots, in order of arrival.
func (s *simulation) serve(target int, deadline time.Time, work time.Duration) steer.Outcome {
	start := time.Now()
	at := start.Sub(s.start)
	factor := 1.0
	if s.slowdown != nil {
		factor = s.slowdown(target, at)
	}
	if factor == 0 {
		time.Sleep(time.Millisecond)
		return steer.Outcome{Failed: true, Latency: time.Millisecond}
	}
	busy := s.busy[target].Add(1)
	defer s.busy[target].Add(-1)
	busyBound := 1.0
	if s.busyBound != nil {
		busyBound = s.busyBound(at)
	}
	if float64(busy) > busyBound*simSlots {
		s.mu.Lock()
		s.overBound++
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
	s.requests[customer]++
	if target == "t0" {
		s.targetZeroRequests++
	}
	if o.Failed {
		s.failed++
		if latency < simDeadline/2 {
			return // A request that failed at once would only improve the percentiles.
		}
	} else {
		s.inTime[customer]++
		s.answersBySecond[second]++
	}
	_ = s.latency.RecordValue(latency.Microseconds())
}

// simUnits is a fixed number of capacity units.
type simUnits struct{ free atomic.Int64 }

func (u *simUnits) TryAcquire(time.Time, steer.QuotaName, time.Time) (func(), bool) {
	if u.free.Add(-1) < 0 {
		u.free.Add(1)
		return nil, false
	}
	return func() { u.free.Add(1) }, true
}

func (u *simUnits) Freed() <-chan struct{} { return nil }

// runScenarios runs the scenarios and logs a table of their results.
func runScenarios(t *testing.T, scenarios []scenario) map[string]*result {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d\n%-34s %-12s %6s %8s %8s %8s %8s %7s %7s %7s %7s %7s", simSeed, "scenario", "policy", "load",
		"requests", "p50 ms", "p99 ms", "p99.9 ms", "refused", "failed", "worst %", "t0 %", "over %")
	results := map[string]*result{}
	for _, c := range scenarios {
		r := runScenario(t, c)
		results[c.name+"/"+c.policy] = r
		requests := 0
		for _, count := range r.requests {
			requests += count
		}
		ms := func(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(&text, "\n%-34s %-12s %5.0f%% %8d %8.1f %8.1f %8.1f %7d %7d %7.2f %7.2f %7.2f", c.name, c.policy,
			100*c.load, requests, ms(50), ms(99), ms(99.9), r.refused, r.failed, r.worstPercent(),
			100*float64(r.targetZeroRequests)/float64(requests), 100*float64(r.overBound)/float64(requests))
	}
	t.Log(text.String())
	return results
}

var policies = []string{"steer", "round-robin", "least-load"}

func TestPolicySteady(t *testing.T) {
	var scenarios []scenario
	for _, load := range []float64{0.6, 0.8, 0.95, 1.2} {
		for _, p := range policies {
			scenarios = append(scenarios, scenario{name: fmt.Sprint("steady ", load), policy: p, load: load,
				duration: 15 * time.Second})
		}
	}
	runScenarios(t, scenarios)
}

func TestPolicySlowTarget(t *testing.T) {
	slowdown := func(target int, _ time.Duration) float64 {
		if target == 0 {
			return 5
		}
		return 1
	}
	var scenarios []scenario
	for _, p := range policies {
		scenarios = append(scenarios, scenario{name: "all well", policy: p, load: 0.8, duration: 30 * time.Second},
			scenario{name: "slow but healthy", policy: p, load: 0.8, duration: 30 * time.Second, slowdown: slowdown})
	}
	results := runScenarios(t, scenarios)
	p99 := func(name string) float64 { return float64(results[name].latency.ValueAtQuantile(99)) }
	ratio := p99("slow but healthy/steer") / p99("all well/steer")
	t.Logf("99th percentile with the slow target: %.2f times that without", ratio)
	assert.Assert(t, ratio <= 1.3)
}

// Guards against a choice that depends on reports alone: old, false or missing reports must cost little.
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
	var scenarios []scenario
	for name, r := range report {
		scenarios = append(scenarios, scenario{name: name, policy: "steer", load: 0.8, duration: 20 * time.Second, report: r})
	}
	results := runScenarios(t, scenarios)
	for name, r := range results {
		assert.Assert(t, r.worstPercent() >= 99.5, "%s: %.2f %% in time", name, r.worstPercent())
	}
}

// Guards against a customer at five times its rate that takes the share of others. Without the excess the load is 80 %.
func TestPolicyGreedyCustomer(t *testing.T) {
	results := runScenarios(t, []scenario{
		{name: "fair sharing", policy: "steer", load: 0.8, duration: 30 * time.Second, greedyRate: 5},
		{name: "no fair sharing", policy: "steer", load: 0.8, duration: 30 * time.Second, greedyRate: 5, fifo: true},
	})
	worstPercent := results["fair sharing/steer"].worstPercent()
	assert.Assert(t, worstPercent >= 99.5, "%.2f %% in time", worstPercent)
}

// Guards against a region that is overloaded when it recovers with cold caches, or that gets its share of traffic too
// late. All targets fail from 10 s to 40 s; for 8 s after that a request takes up to four times as long.
func TestPolicyColdReturn(t *testing.T) {
	const down, up, cold, ramp = 10 * time.Second, 40 * time.Second, 8 * time.Second, 10 * time.Second
	results := runScenarios(t, []scenario{{
		name:     "cold return",
		policy:   "steer",
		load:     0.8,
		duration: 60 * time.Second,
		slowdown: func(_ int, at time.Duration) float64 {
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
		busyBound: func(at time.Duration) float64 {
			if at < up || at >= up+ramp {
				return simHosts
			}
			return max(float64(at-up)/float64(ramp), 0.1) + float64(simHosts)/simSlots // Each host may round up.
		},
	}})
	r := results["cold return/steer"]
	var line strings.Builder
	for second := up / time.Second; second < 60; second++ {
		fmt.Fprintf(&line, " %d", r.answersBySecond[int(second)])
	}
	t.Logf("answers by second from the return, at 640 requests/s: %s; over the bound: %d", line.String(), r.overBound)
	assert.Equal(t, r.overBound, 0)
	full := 0
	for second := (up + ramp) / time.Second; second < 60; second++ {
		full += r.answersBySecond[int(second)]
	}
	assert.Assert(t, full > 9*640, "%d answers in 10 s", full)
}
