package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/place"
)

// explainDay is a placer whose targets get random requests and answers.
type explainDay struct {
	random  *rand.Rand
	placer  *place.Placer
	now     time.Time
	pending []place.Choice
	seen    map[string]int // Explanations by rule or reason, and targets by state.
}

func newExplainDay(t *testing.T, seed uint64, mode steer.Mode, seen map[string]int) *explainDay {
	t.Helper()
	d := &explainDay{
		random: rand.New(rand.NewPCG(seed, 0)),
		now:    start,
		seen:   seen,
		placer: place.New(place.Config{
			Host:       "host-0",
			DataCentre: "golfo-a",
			Region:     "golfo",
			Regions:    regions,
			Features: steer.Features{
				TargetSpeed:  mode,
				ObjectCopies: mode,
				DemandShares: mode,
			},
		}),
	}
	var targets []*belief.RegisteredTarget
	for i := range 3 {
		targets = append(targets, newTarget(i, "golfo-a"), newTarget(i, "golfo-b"), newTarget(i, "pacifico-a"))
	}
	targets[0].ColdUntil = start.Add(5 * time.Second)
	targets[4].ColdUntil = start.Add(5 * time.Second)
	targets = append(targets, newTarget(0, "altiplano-a"))
	view := newView(t, targets...)
	view.Hosts = []steer.HostEntry{{ID: "host-0", Region: "golfo"}, {ID: "host-1", Region: "golfo"}}
	d.placer.Update(start, view, place.Fleet{Hosts: 2})
	d.placer.SetDemand(map[string]float64{"golfo": 0.6, "pacifico": 0.3, "altiplano": 0.1})
	return d
}

// request returns a random request, some of which are urgent, unsatisfiable or may run in one region only.
func (d *explainDay) request() place.Request {
	r := newRequest(fmt.Sprint(d.random.IntN(60)))
	r.Class = fmt.Sprint("class-", d.random.IntN(3))
	r.Priority = d.random.IntN(3)
	r.Objective = time.Duration(50+d.random.IntN(400)) * time.Millisecond
	r.TimeLeft = time.Duration(30+d.random.IntN(1500)) * time.Millisecond
	r.LargeAnswer = d.random.IntN(4) == 0
	switch d.random.IntN(8) {
	case 0:
		r.Key, r.FallbackHash = "", d.random.Uint64()
	case 1:
		r.Regions = []string{"altiplano"}
	case 2:
		r.Tried = []string{"golfo-a-0", "golfo-b-1"}
	case 3:
		r.Regions, r.AlsoRegions = []string{"pacifico", "golfo"}, []string{"golfo"}
	}
	return r
}

// outcome returns a random result of a request. Some answers name or lift limits, and targets of one data centre are slower.
func (d *explainDay) outcome(c *place.Choice) place.Outcome {
	o := place.Outcome{
		Latency: time.Duration(20+d.random.IntN(200)) * time.Millisecond,
		Load: &steer.TargetLoad{
			Running:    d.random.IntN(slots + 1),
			Waiting:    d.random.IntN(20) * d.random.IntN(2),
			Slots:      slots,
			WorkFactor: 1,
		},
	}
	if c.Target.DataCentre == "golfo-b" {
		o.Latency *= 4
	}
	switch d.random.IntN(12) {
	case 0, 1:
		o.Failed, o.ConnectionLost, o.Load = true, d.random.IntN(2) == 0, nil
	case 2:
		o.Failed, o.TimedOut, o.Load = true, true, nil
	case 3:
		o.Limit = &steer.TargetLimit{Limited: true, PerSecond: 10 * d.random.Float64()}
	case 4, 5:
		o.Limit = &steer.TargetLimit{}
	case 6:
		o.Gone = d.random.IntN(40) == 0
	}
	return o
}

// advance lets some time pass, and lets some of the requests in progress end.
func (d *explainDay) advance() {
	d.now = d.now.Add(time.Duration(d.random.IntN(30)) * time.Millisecond)
	if d.random.IntN(300) == 0 {
		d.now = d.now.Add(11 * time.Second)
	}
	limit := 20 + d.random.IntN(100)
	for len(d.pending) > 0 && (len(d.pending) > limit || d.random.IntN(2) == 0) {
		i := d.random.IntN(len(d.pending))
		c := d.pending[i]
		d.pending = append(d.pending[:i], d.pending[i+1:]...)
		d.placer.Done(d.now, c, d.outcome(&c))
	}
	if d.random.IntN(10) == 0 {
		d.placer.SpeedNotes(d.now)
		d.placer.MergeNotes(d.now, []steer.TargetObservation{{
			Target: "golfo-a-1",
			Failed: d.random.IntN(3),
			Load:   steer.TargetLoad{Running: slots, Waiting: d.random.IntN(30), Slots: slots},
		}})
	}
}

// explainAndPick asserts that an explanation names what Pick does at the same time, and that explaining changes nothing.
func (d *explainDay) explainAndPick(t *testing.T, request place.Request, checkState bool) {
	t.Helper()
	before := uint64(0)
	if checkState {
		before = d.placer.StateHash()
	}
	x := d.placer.Explain(d.now, request)
	assert.DeepEqual(t, d.placer.Explain(d.now, request), x)
	if checkState {
		assert.Equal(t, d.placer.StateHash(), before, "Explain has changed the state")
	}
	d.seen[string(x.Rule)+string(x.Reason)]++
	for _, target := range x.Targets {
		d.seen[string(target.State)]++
	}
	choice, refusal := d.placer.Pick(d.now, request)
	if refusal != nil {
		assert.Equal(t, x.Target, "", "%+v %+v", x, refusal)
		assert.Equal(t, x.Reason, refusal.Reason)
		assert.Equal(t, x.RetryAfter, refusal.RetryAfter)
		return
	}
	d.pending = append(d.pending, choice)
	assert.Equal(t, x.Target, choice.Target.ID, "%+v\n%+v", x, request)
	assert.Equal(t, x.Reason, steer.Reason(""))
	assert.Equal(t, x.Target == x.First, choice.Home)
	chosen := x.Targets[0]
	assert.Equal(t, chosen.ID, x.Target)
	assert.Equal(t, chosen.Load, choice.EstimatedLoad)
	assert.Equal(t, chosen.ReportAge, choice.ReportAge)
	assert.Equal(t, chosen.LimitPerSecond, choice.Limit.PerSecond)
}

// Guards against an explanation that differs from the decision that it explains, and one that changes decisions after it: by a token, a
// counter, or an estimate or share that it brings up to date. The states have loaded, ejected, cold, limited, slow and replaced targets.
func TestExplainAgreesWithPick(t *testing.T) {
	seen := map[string]int{}
	for _, mode := range []steer.Mode{steer.ModeOff, steer.ModeOn, steer.ModeAuto} {
		for range 3 {
			seed := rand.Uint64()
			t.Logf("mode %s, seed %d", mode, seed)
			d := newExplainDay(t, seed, mode, seen)
			for i := range 500 {
				d.advance()
				d.explainAndPick(t, d.request(), i%100 == 0)
			}
		}
	}
	t.Logf("seen: %v", seen)
	for _, name := range []string{
		string(place.RuleFirst), string(place.RuleAlternate), string(place.RuleOtherRegion), string(place.RuleLimited),
		string(steer.ReasonCapacity), string(steer.ReasonDeadline), string(place.StateUsable), string(place.StateFull),
		string(place.StateEjected), string(place.StateTried), string(place.StateCold), string(place.StateLimited),
	} {
		assert.Assert(t, seen[name] > 0, "no explanation with %s was checked", name)
	}
}

// Guards against an explanation of an unknown service that fails, and against one that lists all of several hundred targets.
func TestExplanationIsBounded(t *testing.T) {
	var targets []*belief.RegisteredTarget
	for i := range 150 {
		targets = append(targets, newTarget(i, "golfo-a"))
	}
	p := newPlacer(t, 1, targets...)
	x := p.Explain(start, newRequest("17"))
	assert.Equal(t, x.TargetCount, 150)
	assert.Equal(t, len(x.Targets)+x.Omitted, 150)
	assert.Assert(t, len(x.Targets) <= 20)
	request := newRequest("17")
	request.Service = "other"
	_, refusal := p.Pick(start, request)
	x = p.Explain(start, request)
	assert.Equal(t, x.Reason, refusal.Reason)
	assert.Equal(t, x.RetryAfter, refusal.RetryAfter)
}

// Guards against state that explanations share with decisions at the same time, which the race detector finds.
func TestExplainBesidePicks(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	d := newExplainDay(t, seed, steer.ModeOn, map[string]int{})
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for now := start; ; now = now.Add(50 * time.Millisecond) {
			select {
			case <-done:
				return
			default:
				d.placer.Explain(now, newRequest("17"))
			}
		}
	}()
	for range 1000 {
		d.advance()
		if choice, refusal := d.placer.Pick(d.now, d.request()); refusal == nil {
			d.pending = append(d.pending, choice)
		}
	}
	close(done)
	<-stopped
}

// BenchmarkExplain explains a request among 150 targets with samples of their speed.
func BenchmarkExplain(b *testing.B) {
	for _, mode := range []steer.Mode{steer.ModeOff, steer.ModeOn} {
		b.Run(string(mode), func(b *testing.B) {
			var targets []*belief.RegisteredTarget
			for i := range 75 {
				targets = append(targets, newTarget(i, "golfo-a"), newTarget(i, "golfo-b"))
			}
			p := place.New(place.Config{
				DataCentre: "golfo-a",
				Region:     "golfo",
				Regions:    regions,
				Features: steer.Features{
					TargetSpeed:  mode,
					ObjectCopies: mode,
				},
			})
			p.Update(start, newView(b, targets...), place.Fleet{Hosts: 1})
			now := start
			for i := range 10000 {
				now = now.Add(time.Millisecond)
				c, refusal := p.Pick(now, newRequest(fmt.Sprint(i)))
				assert.Assert(b, refusal == nil)
				p.Done(now, c, place.Outcome{
					Latency: 50 * time.Millisecond,
					Load: &steer.TargetLoad{
						Running: 2,
						Slots:   slots,
					},
				})
			}
			for b.Loop() {
				p.Explain(now, newRequest("17"))
			}
		})
	}
}
