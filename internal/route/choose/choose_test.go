package choose_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/route/choose"
)

type source struct{ config atomic.Pointer[steer.Config] }

func (s *source) Current() *steer.Config              { return s.config.Load() }
func (s *source) Changed() <-chan struct{}            { return nil }
func (s *source) EvidenceAge(time.Time) time.Duration { return 0 }

// set installs a configuration with targets t0, t1, ... of 8 slots each. The named targets are leaving.
func (s *source) set(count int, leaving ...string) {
	service := &steer.Service{
		Name: "reservas",
		Ramp: 10 * time.Second,
	}
	for i := range count {
		t := steer.Target{
			ID:         fmt.Sprint("t", i),
			DataCentre: "golfo-1",
			Address:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
			Slots:      8,
		}
		for _, id := range leaving {
			t.Leaving = t.Leaving || id == t.ID
		}
		service.Targets = append(service.Targets, t)
	}
	service.Targets = append(service.Targets, steer.Target{
		ID:         "remote",
		DataCentre: "golfo-2",
		Slots:      8,
	})
	s.config.Store(&steer.Config{Services: map[string]*steer.Service{"reservas": service}})
}

type reports map[string]steer.Report

func (r reports) Report(target string) steer.Report { return r[target] }

// fixture is a Picker with fakes for its source and reports.
type fixture struct {
	*choose.Picker
	source  *source
	reports reports
}

func newFixture(count, hosts int) *fixture {
	f := &fixture{
		source:  &source{},
		reports: reports{},
	}
	f.source.set(count)
	f.Picker = choose.New(choose.Config{
		DataCentre: "golfo-1",
		Source:     f.source,
		Reports:    f.reports,
		HostCount:  func() int { return hosts },
		Seed:       1,
	})
	return f
}

var (
	answer     = steer.Outcome{Verdict: steer.Ran, Latency: 10 * time.Millisecond}
	slowAnswer = steer.Outcome{Verdict: steer.Ran, Latency: 100 * time.Millisecond}
	failure    = steer.Outcome{Failed: true, Latency: time.Millisecond}
)

// sendRequests sends requests one after another, 1 ms apart, and returns how many each target got. Refused requests are
// counted by reason.
func (f *fixture) sendRequests(count int, outcome func(target string) steer.Outcome) map[string]int {
	got := map[string]int{}
	for range count {
		c, err := f.Choose(time.Now(), "reservas", nil)
		time.Sleep(time.Millisecond)
		if err != nil {
			got[string(reason(err))]++
			continue
		}
		got[c.Target.ID]++
		c.Done(outcome(c.Target.ID))
	}
	return got
}

// eject makes a target fail until it is ejected.
func (f *fixture) eject(t *testing.T, target string) {
	var others []string
	for _, s := range f.State(time.Now()) {
		if s.ID != target {
			others = append(others, s.ID)
		}
	}
	failures := 0
	for ; f.state(target) != choose.Ejected; failures++ {
		c, err := f.Choose(time.Now(), "reservas", others)
		assert.NilError(t, err)
		c.Done(failure)
	}
	assert.Equal(t, failures, 5)
}

// fillSlots starts requests without ending them until one is refused. It returns how many each target got, and their
// choices.
func (f *fixture) fillSlots() (map[string]int, []steer.Choice) {
	got := map[string]int{}
	var choices []steer.Choice
	for {
		c, err := f.Choose(time.Now(), "reservas", nil)
		if err != nil {
			return got, choices
		}
		got[c.Target.ID]++
		choices = append(choices, c)
	}
}

func (f *fixture) state(target string) choose.State {
	for _, s := range f.State(time.Now()) {
		if s.ID == target {
			return s.State
		}
	}
	return ""
}

func reason(err error) steer.Reason {
	var refusal *steer.Refusal
	if !errors.As(err, &refusal) || refusal.Verdict != steer.NotRun {
		return "no refusal"
	}
	return refusal.Reason
}

func alwaysReturn(o steer.Outcome) func(string) steer.Outcome {
	return func(string) steer.Outcome { return o }
}

func only(target string, o steer.Outcome) func(string) steer.Outcome {
	return func(id string) steer.Outcome {
		if id == target {
			return o
		}
		return answer
	}
}

// runInBubbles runs each case in its own synctest bubble.
func runInBubbles(t *testing.T, cases map[string]func(*testing.T)) {
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, run) })
	}
}

// Guards against new requests at a target that is leaving, whichever way this was announced.
func TestLeavingTargetsGetNoNewRequests(t *testing.T) {
	runInBubbles(t, map[string]func(*testing.T){
		"steering file": func(t *testing.T) {
			f := newFixture(3, 1)
			assert.Assert(t, f.sendRequests(300, alwaysReturn(answer))["t1"] > 50)
			f.source.set(3, "t1")
			assert.Equal(t, f.sendRequests(300, alwaysReturn(answer))["t1"], 0)
			assert.Equal(t, f.state("t1"), choose.Leaving)
			assert.Equal(t, f.Ready(time.Now(), "reservas"), 2)
			f.source.set(3)
			f.sendRequests(1, alwaysReturn(answer))
			assert.Equal(t, f.state("t1"), choose.Warming)
		},
		"report, then restart in place": func(t *testing.T) {
			f := newFixture(3, 1)
			f.sendRequests(10, alwaysReturn(answer))
			f.reports["t1"] = steer.Report{Draining: true, At: time.Now()}
			assert.Equal(t, f.sendRequests(300, alwaysReturn(answer))["t1"], 0)
			f.reports["t1"] = steer.Report{Healthy: true, At: time.Now()}
			got := f.sendRequests(300, alwaysReturn(answer))["t1"]
			assert.Assert(t, got > 0 && got < 60, "%d", got)
		},
		"draining answer while health says ready": func(t *testing.T) {
			f := newFixture(3, 1)
			c, err := f.Choose(time.Now(), "reservas", nil)
			assert.NilError(t, err)
			c.Done(steer.Outcome{Verdict: steer.Ran, Draining: true})
			f.reports[c.Target.ID] = steer.Report{Healthy: true, At: time.Now()}
			assert.Equal(t, f.sendRequests(5000, alwaysReturn(answer))[c.Target.ID], 0)
		},
		"all targets leaving": func(t *testing.T) {
			f := newFixture(2, 1)
			f.source.set(2, "t0", "t1")
			assert.DeepEqual(t, f.sendRequests(3, alwaysReturn(answer)), map[string]int{"no-target": 3})
			_, err := f.Choose(time.Now(), "unknown", nil)
			assert.Equal(t, reason(err), steer.ReasonNoTarget)
		},
	})
}

// Guards against a failing or slow target that keeps its traffic, and against ejections that remove too much capacity.
func TestEjection(t *testing.T) {
	runInBubbles(t, map[string]func(*testing.T){
		"fast failures attract no traffic": func(t *testing.T) {
			f := newFixture(4, 1)
			f.sendRequests(100, alwaysReturn(answer))
			// Five failures until the ejection, then single probes after 1, 2, 4 and 8 s.
			got := f.sendRequests(20000, only("t2", failure))
			assert.Assert(t, got["t2"] >= 5 && got["t2"] <= 9, "%v", got)
			assert.Equal(t, f.state("t2"), choose.Ejected)
		},
		"occasional fast failures reduce traffic": func(t *testing.T) {
			f := newFixture(4, 1)
			count := 0
			got := f.sendRequests(4000, func(id string) steer.Outcome {
				if count++; id == "t2" && count%3 == 0 {
					return failure
				}
				return answer
			})
			assert.Assert(t, got["t2"] < 800, "%v", got)
		},
		"slow target that reports healthy": func(t *testing.T) {
			f := newFixture(5, 1)
			for i := range 5 {
				f.reports[fmt.Sprint("t", i)] = steer.Report{Healthy: true, At: time.Now().Add(time.Hour)}
			}
			got := f.sendRequests(4000, only("t3", slowAnswer))
			assert.Assert(t, got["t3"] < 40, "%v", got)
		},
		"slow start after readmission": func(t *testing.T) {
			f := newFixture(4, 1)
			f.sendRequests(100, alwaysReturn(answer))
			f.eject(t, "t2")
			f.sendRequests(1200, alwaysReturn(answer))
			assert.Equal(t, f.state("t2"), choose.Warming)
			early := f.sendRequests(1000, alwaysReturn(answer))["t2"]
			f.sendRequests(9000, alwaysReturn(answer))
			assert.Equal(t, f.state("t2"), choose.Ready)
			late := f.sendRequests(1000, alwaysReturn(answer))["t2"]
			assert.Assert(t, early < 130 && late > 200, "early %d, late %d", early, late)
		},
		"one probe at a time": func(t *testing.T) {
			f := newFixture(4, 1)
			f.eject(t, "t2")
			time.Sleep(2 * time.Second)
			got, choices := f.fillSlots()
			assert.DeepEqual(t, got, map[string]int{"t0": 8, "t1": 8, "t2": 1, "t3": 8})
			for _, c := range choices {
				c.Done(answer)
			}
		},
		"averages survive long shedding by all targets": func(t *testing.T) {
			f := newFixture(4, 1)
			f.sendRequests(100, alwaysReturn(answer))
			f.sendRequests(20000, alwaysReturn(steer.Outcome{Shed: true}))
			f.sendRequests(1000, alwaysReturn(answer))
			for _, s := range f.State(time.Now()) {
				assert.Equal(t, s.Latency.Round(time.Millisecond), answer.Latency)
			}
			f.sendRequests(20000, alwaysReturn(answer))
			for id, count := range f.sendRequests(4000, alwaysReturn(answer)) {
				assert.Assert(t, count > 800 && count < 1200, "%s got %d", id, count)
			}
		},
		"at most half of the targets": func(t *testing.T) {
			f := newFixture(5, 1)
			f.sendRequests(1000, alwaysReturn(failure))
			assert.Equal(t, f.Ready(time.Now(), "reservas"), 3)
			var ejected string
			for _, s := range f.State(time.Now()) {
				if s.State == choose.Ejected {
					ejected = s.ID
				}
			}
			// The other targets leave, so that only an ejected one remains.
			var others []string
			for _, s := range f.State(time.Now()) {
				if s.ID != ejected {
					others = append(others, s.ID)
				}
			}
			f.source.set(5, others...)
			assert.DeepEqual(t, f.sendRequests(10, alwaysReturn(failure)), map[string]int{ejected: 10})
		},
	})
}

// Guards against one host that fills the slots shared by several hosts, and against false reports that stop traffic.
func TestInFlightBound(t *testing.T) {
	fresh := func(busy int) steer.Report {
		return steer.Report{
			Healthy: true,
			Busy:    busy,
			At:      time.Now(),
		}
	}
	for name, c := range map[string]struct {
		busy  int
		age   time.Duration
		slots int
	}{
		"others idle":                        {busy: 0, slots: 8},
		"others use three slots":             {busy: 3, slots: 5},
		"others use all slots":               {busy: 8, slots: 4},
		"more than all slots":                {busy: 1 << 30, slots: 4},
		"half of the load discounted":        {busy: 4, age: 1500 * time.Millisecond, slots: 6},
		"stale report":                       {busy: 8, age: 3 * time.Second, slots: 8},
		"report from the future, by a fault": {busy: 3, age: -time.Hour, slots: 5},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(2, 2)
				f.reports["t0"], f.reports["t1"] = fresh(c.busy), fresh(c.busy)
				now := time.Now()
				time.Sleep(c.age)
				if c.age < 0 {
					f.reports["t0"] = steer.Report{Healthy: true, Busy: c.busy, At: now.Add(-c.age)}
					f.reports["t1"] = f.reports["t0"]
				}
				got, choices := f.fillSlots()
				assert.DeepEqual(t, got, map[string]int{"t0": c.slots, "t1": c.slots})
				_, err := f.Choose(time.Now(), "reservas", nil)
				assert.Equal(t, reason(err), steer.ReasonCapacity)
				for _, c := range choices {
					c.Done(answer)
				}
				for _, s := range f.State(time.Now()) {
					assert.Equal(t, s.InFlight, 0)
				}
			})
		})
	}
}

// Guards against requests that are refused at once or wait forever while all places are taken.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(2, 1)
		_, choices := f.fillSlots()
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := f.Await(ctx, "reservas", nil)
		assert.Equal(t, reason(err), steer.ReasonCapacity)
		assert.Equal(t, time.Since(start), 50*time.Millisecond)
		time.AfterFunc(7*time.Millisecond, func() { choices[3].Done(answer) })
		start = time.Now()
		c, err := f.Await(t.Context(), "reservas", nil)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 7*time.Millisecond)
		assert.Equal(t, c.Target.ID, choices[3].Target.ID)
		_, err = f.Await(t.Context(), "unknown", nil)
		assert.Equal(t, reason(err), steer.ReasonNoTarget)
	})
}

// Guards against retries at a target that has already been tried, and against retries of more than a tenth of the requests.
func TestRetries(t *testing.T) {
	f := newFixture(3, 1)
	for range 100 {
		c, err := f.Choose(time.Now(), "reservas", []string{"t0", "t2"})
		assert.NilError(t, err)
		assert.Equal(t, c.Target.ID, "t1")
		c.Done(answer)
	}
	_, err := f.Choose(time.Now(), "reservas", []string{"t0", "t1", "t2"})
	assert.Equal(t, reason(err), steer.ReasonNoTarget)
	retries := 0
	for range 1000 {
		c, err := f.Choose(time.Now(), "reservas", nil)
		assert.NilError(t, err)
		c.Done(answer)
		if f.Retry("reservas") {
			retries++
		}
	}
	assert.Equal(t, retries, 101) // The budget starts with one retry.
	assert.Assert(t, !f.Retry("unknown"))
}

func BenchmarkChoose(b *testing.B) {
	f := newFixture(14, 2)
	for i := range 14 {
		f.reports[fmt.Sprint("t", i)] = steer.Report{Healthy: true, Busy: 2, At: time.Now()}
	}
	for _, parallel := range []bool{false, true} {
		one := func() {
			c, err := f.Choose(time.Now(), "reservas", nil)
			if err != nil {
				b.Error(err)
				return
			}
			c.Done(answer)
		}
		b.Run(fmt.Sprint("parallel-", parallel), func(b *testing.B) {
			b.ReportAllocs()
			if !parallel {
				for b.Loop() {
					one()
				}
				return
			}
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					one()
				}
			})
		})
	}
}
