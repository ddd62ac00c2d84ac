package place_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/index"
	"monsoonhub.example/steer/internal/edge/place"
)

const (
	service    = "reservas"
	slots      = 9
	warmupRate = 15.0
)

var regions = map[string]string{"golfo-a": "golfo", "golfo-b": "golfo", "pacifico-a": "pacifico", "altiplano-a": "altiplano"}

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func viewOf(t *testing.T, targets ...*belief.RegisteredTarget) *belief.View {
	t.Helper()
	x, err := index.New(&steer.Plan{
		Version: 1,
		Services: map[string]steer.PlanService{service: {
			Name:       service,
			Warmup:     3 * time.Second,
			WarmupRate: warmupRate,
		}},
	})
	assert.NilError(t, err)
	return &belief.View{
		Index:   x,
		Targets: map[string][]*belief.RegisteredTarget{service: targets},
		Emptied: map[string]bool{},
	}
}

func target(id int, centre string) *belief.RegisteredTarget {
	return &belief.RegisteredTarget{
		Endpoint: steer.Endpoint{
			ID:         fmt.Sprintf("%s-%d", centre, id),
			Service:    service,
			Address:    netip.MustParseAddrPort("127.0.0.1:80"),
			DataCentre: centre,
			Slots:      slots,
		},
		HomeRegion: regions[centre],
	}
}

func placer(t *testing.T, hosts int, targets ...*belief.RegisteredTarget) *place.Placer {
	t.Helper()
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
	})
	p.Update(start, viewOf(t, targets...), place.Fleet{Hosts: hosts})
	return p
}

func ask(key string) place.Request {
	return place.Request{
		Service:   service,
		Class:     "slot-query",
		Objective: 300 * time.Millisecond,
		Key:       key,
		TimeLeft:  2 * time.Second,
	}
}

// Guards against requests of one object that run on several targets, each of which must then learn the object.
func TestAllRequestsOfAnObjectGoToOneTarget(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"), target(2, "golfo-a"), target(3, "golfo-b"), target(4, "golfo-b"))
	seen := map[string]bool{}
	for range slots {
		c, refusal := p.Pick(start, ask("17"))
		assert.Assert(t, refusal == nil)
		seen[c.Target.ID] = true
	}
	assert.Equal(t, len(seen), 1)
}

// Guards against keys that all fall on few targets.
func TestObjectsAreSpreadOverTargets(t *testing.T) {
	targets := []*belief.RegisteredTarget{target(1, "golfo-a"), target(2, "golfo-a"), target(3, "golfo-b"), target(4, "golfo-b")}
	p := placer(t, 1, targets...)
	counts := map[string]int{}
	const objects = 4000
	for i := range objects {
		c, refusal := p.Pick(start, ask(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		counts[c.Target.ID]++
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
	for id, n := range counts {
		assert.Assert(t, n > objects/len(targets)*8/10, "%s: %d", id, n)
	}
}

// Guards against requests that wait at a full target until they are too late: they are refused at once.
func TestRefusesWhatCannotBeInTime(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	for range 20 {
		c, refusal := p.Pick(start, ask("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: 200 * time.Millisecond})
	}
	sent := 0
	for {
		_, refusal := p.Pick(start, ask("1"))
		if refusal != nil {
			assert.Equal(t, refusal.Verdict, steer.NotRun)
			assert.Assert(t, refusal.RetryAfter > 0)
			break
		}
		sent++
		assert.Assert(t, sent < 100, "nothing was refused")
	}
	// With 200 ms of work and an objective of 300 ms, priority 0 may take 1.6 times the objective: a queue of 1.4 rounds.
	assert.Assert(t, sent >= slots && sent <= 3*slots, "sent %d", sent)
}

// Guards against less urgent requests that take the queue of more urgent ones.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	room := func(priority int) int {
		p := placer(t, 1, target(1, "golfo-a"))
		for range 20 {
			c, _ := p.Pick(start, ask("1"))
			p.Done(start, c, place.Outcome{Latency: 150 * time.Millisecond})
		}
		for sent := 0; ; sent++ {
			a := ask("1")
			a.Priority = priority
			if _, refusal := p.Pick(start, a); refusal != nil {
				return sent
			}
		}
	}
	assert.Assert(t, room(0) > room(1) && room(1) > room(2), "room %d, %d, %d", room(0), room(1), room(2))
}

// Guards against a cold target that crashes under the requests of all hosts together.
func TestColdTargetGetsFewRequests(t *testing.T) {
	const hosts = 8
	cold := target(1, "golfo-a")
	cold.ColdUntil = start.Add(time.Minute)
	total := 0
	for range hosts {
		p := placer(t, hosts, cold)
		for ms := range 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if c, refusal := p.Pick(now, ask(fmt.Sprint(ms))); refusal == nil {
				total++
				p.Done(now, c, place.Outcome{Latency: time.Millisecond})
			}
		}
	}
	assert.Assert(t, float64(total) <= 1.5*warmupRate+5, "%d requests in one second", total)
	assert.Assert(t, total > 0)
}

// Guards against a target that turns cold and gets a saved request from each host of a large fleet at once.
func TestTargetThatTurnsColdGetsFewRequests(t *testing.T) {
	const hosts = 72
	warm, cold := target(1, "golfo-a"), target(1, "golfo-a")
	cold.ColdUntil = start.Add(time.Hour)
	now := start.Add(time.Minute)
	total := 0
	for range hosts {
		p := placer(t, hosts, warm)
		c, refusal := p.Pick(start, ask("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
		p.Update(now, viewOf(t, cold), place.Fleet{Hosts: hosts})
		for ms := range 1000 {
			if c, refusal := p.Pick(now.Add(time.Duration(ms)*time.Millisecond), ask("1")); refusal == nil {
				total++
				p.Done(now, c, place.Outcome{Latency: time.Millisecond})
			}
		}
	}
	assert.Assert(t, total > 0 && float64(total) <= 1.5*warmupRate+5, "%d requests in one second", total)
}

// Guards against requests that reach a data centre that is emptied, or a region in which they may not run.
func TestStaysInAllowedPlaces(t *testing.T) {
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
	})
	view := viewOf(t, target(1, "golfo-a"), target(2, "golfo-b"), target(3, "pacifico-a"), target(4, "altiplano-a"))
	view.Emptied["golfo-a"] = true
	p.Update(start, view, place.Fleet{Hosts: 1})
	for i := range 500 {
		c, refusal := p.Pick(start, ask(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		assert.Assert(t, c.Target.DataCentre != "golfo-a")
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
		bound := ask(fmt.Sprint(i))
		bound.Regions = []string{"pacifico", "altiplano"}
		bound.AlsoRegions = []string{"pacifico"}
		c, refusal = p.Pick(start, bound)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.Target.HomeRegion, "pacifico")
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
	nowhere := ask("1")
	nowhere.Regions = []string{"altiplano"}
	nowhere.AlsoRegions = []string{"pacifico"}
	_, refusal := p.Pick(start, nowhere)
	assert.Equal(t, refusal.Reason, steer.ReasonNoTarget)
}

// Guards against a target that is gone or dead and gets request after request.
func TestLeavesFailingTargetAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome place.Outcome
		times   int
	}{
		{name: "another target has its address", outcome: place.Outcome{Gone: true, Shed: true}, times: 1},
		{name: "no answers", outcome: place.Outcome{Failed: true}, times: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := placer(t, 1, target(1, "golfo-a"), target(2, "golfo-a"))
			first, _ := p.Pick(start, ask("5"))
			p.Done(start, first, c.outcome)
			for range c.times - 1 {
				again, _ := p.Pick(start, ask("5"))
				assert.Equal(t, again.Target.ID, first.Target.ID)
				p.Done(start, again, c.outcome)
			}
			other, refusal := p.Pick(start, ask("5"))
			assert.Assert(t, refusal == nil)
			assert.Assert(t, other.Target.ID != first.Target.ID)
		})
	}
}

// Guards against targets that are left alone without a word, so that nobody can tell why their objects moved.
func TestTellsWhichTargetsAreLeftAlone(t *testing.T) {
	var alone []place.Ejection
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
		Ejection:   func(a place.Ejection) { alone = append(alone, a) },
	})
	p.Update(start, viewOf(t, target(1, "golfo-a"), target(2, "golfo-a")), place.Fleet{Hosts: 1})
	for range 3 {
		c, refusal := p.Pick(start, ask("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	assert.Equal(t, len(alone), 1)
	assert.Equal(t, alone[0].Failures, 3)
	assert.Assert(t, alone[0].Period > 0 && alone[0].SlowStart && !alone[0].FromPeers)
	p.MergeNotes(start, []steer.TargetObservation{{
		Target: map[string]string{"golfo-a-1": "golfo-a-2", "golfo-a-2": "golfo-a-1"}[alone[0].Target],
		Failed: 3,
	}})
	assert.Equal(t, len(alone), 2)
	assert.Assert(t, alone[1].FromPeers && !alone[1].SlowStart)
}

// Guards against a region with few targets that are busier than those of other regions.
func TestPoorRegionKeepsWhatItsTargetsCarry(t *testing.T) {
	part := homePart(t, placer(t, 1, poorRegion()...), start)
	assert.Assert(t, part > 0.24 && part < 0.30, "%.3f of the requests of the region, 3 of 11 fit", part)
}

// Guards against a customer that may run in a poor region only and finds its targets taken by requests that could run elsewhere.
func TestRoomIsLeftForRequestsOfOneRegion(t *testing.T) {
	targets := []*belief.RegisteredTarget{target(1, "golfo-a"), target(2, "golfo-b")}
	for i := range 10 {
		targets = append(targets, target(10+i, "pacifico-a"), target(30+i, "altiplano-a"))
	}
	p := placer(t, 1, targets...)
	kept := func(now time.Time) float64 {
		free, golfo := 0, 0
		for i := range 1000 {
			a := ask(fmt.Sprint(i))
			bound := i%10 < 3
			if bound {
				a.AlsoRegions = []string{"golfo"}
			}
			c, refusal := p.Pick(now, a)
			assert.Assert(t, refusal == nil)
			if !bound {
				free++
				if c.Target.HomeRegion == "golfo" {
					golfo++
				}
			}
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
		return float64(golfo) / float64(free)
	}
	before := kept(start)
	assert.Assert(t, before > 0.2, "%.3f", before)
	for s := 1; s <= 60; s++ {
		now := kept(start.Add(time.Duration(s) * time.Second))
		assert.Assert(t, before-now <= 0.075, "from %.3f to %.3f in a second", before, now)
		before = now
	}
	assert.Assert(t, before < 0.01, "%.3f of the free requests still go to the region", before)
}

// poorRegion returns one target of the own region and five of each other.
func poorRegion() []*belief.RegisteredTarget {
	targets := []*belief.RegisteredTarget{target(1, "golfo-a")}
	for i := range 5 {
		targets = append(targets, target(10+i, "pacifico-a"), target(20+i, "altiplano-a"))
	}
	return targets
}

// homePart returns the part of the requests for many objects that stays in the own region.
func homePart(t *testing.T, p *place.Placer, now time.Time) float64 {
	t.Helper()
	const objects = 4000
	home := 0
	for i := range objects {
		c, refusal := p.Pick(now, ask(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		if c.Target.HomeRegion == "golfo" {
			home++
		}
		p.Done(now, c, place.Outcome{Latency: time.Millisecond})
	}
	return float64(home) / objects
}

// Guards against shares of regions that are those of the first targets that a started host saw, for half a minute.
func TestStartedHostTakesSharesOfAllTargets(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	p.Update(start.Add(3*time.Second), viewOf(t, poorRegion()...), place.Fleet{Hosts: 1})
	part := homePart(t, p, start.Add(10*time.Second))
	assert.Assert(t, part < 0.32, "%.2f of the requests stay, 3 of 11 fit", part)
}

// Guards against a region that loses more of its requests at once than may move within two seconds.
func TestRegionMovesSlowly(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"), target(2, "pacifico-a"), target(3, "altiplano-a"))
	home := func(now time.Time) float64 {
		n := 0
		const objects = 2000
		for i := range objects {
			c, refusal := p.Pick(now, ask(fmt.Sprint(i)))
			assert.Assert(t, refusal == nil)
			if c.Target.HomeRegion == "golfo" {
				n++
			}
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
		return float64(n) / objects
	}
	assert.Assert(t, home(start) > 0.95)
	var more []*belief.RegisteredTarget
	for i := range 9 {
		more = append(more, target(10+i, "pacifico-a"))
	}
	p.Update(start, viewOf(t, append(more, target(1, "golfo-a"), target(2, "pacifico-a"), target(3, "altiplano-a"))...), place.Fleet{Hosts: 1})
	before := home(start)
	for s := 2; s <= 40; s += 2 {
		now := home(start.Add(time.Duration(s) * time.Second))
		assert.Assert(t, before-now <= 0.15, "from %.2f to %.2f in two seconds", before, now)
		before = now
	}
	assert.Assert(t, before < 0.6, "the region still keeps %.2f", before)
	p.Update(start.Add(time.Minute), viewOf(t, target(2, "pacifico-a"), target(3, "altiplano-a")), place.Fleet{Hosts: 1})
	assert.Equal(t, home(start.Add(time.Minute)), 0.0)
}

// desk is a target of the load test: it works on slots requests at once, and three times as long on an object that it did
// not have among its last ones.
type desk struct {
	free  []time.Time // When each slot is free.
	known map[string]time.Time
}

const (
	coldWork = 360 * time.Millisecond
	warmWork = 108 * time.Millisecond
	keepFor  = 5 * time.Second // An object that was not asked for in this time is forgotten.
)

func newDesk() *desk {
	return &desk{
		free:  make([]time.Time, slots),
		known: map[string]time.Time{},
	}
}

func (d *desk) serve(now time.Time, object string) time.Time {
	slot := 0
	for i, at := range d.free {
		if at.Before(d.free[slot]) {
			slot = i
		}
	}
	begin := now
	if d.free[slot].After(now) {
		begin = d.free[slot]
	}
	work := coldWork
	if at, ok := d.known[object]; ok && begin.Sub(at) < keepFor {
		work = warmWork
	}
	end := begin.Add(work)
	d.free[slot], d.known[object] = end, end
	return end
}

// play sends load to six targets for some seconds and returns the part that is answered in time. pick chooses the target.
func play(rate float64, pick func(now time.Time, object string) (string, func(end time.Time))) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	desks := map[string]*desk{}
	type pending struct {
		end  time.Time
		done func(time.Time)
	}
	var open []pending
	inTime, all := 0, 0
	for now := start; now.Before(start.Add(30 * time.Second)); {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		kept := open[:0]
		for _, o := range open {
			if o.end.After(now) {
				kept = append(kept, o)
			} else {
				o.done(o.end)
			}
		}
		open = kept
		object := fmt.Sprint(random.IntN(160))
		all++
		id, done := pick(now, object)
		if id == "" {
			continue
		}
		if desks[id] == nil {
			desks[id] = newDesk()
		}
		end := desks[id].serve(now, object)
		if end.Sub(now) <= 300*time.Millisecond {
			inTime++
		}
		open = append(open, pending{
			end:  end,
			done: done,
		})
	}
	return float64(inTime) / float64(all)
}

// Guards against placing by load alone on a day of high load: no target knows its objects then, and all are late. Load: 250
// requests a second for 160 objects at six targets, which are full with 150 cold requests a second or 500 warm ones.
func TestHighLoadIsServedInTime(t *testing.T) {
	var targets []*belief.RegisteredTarget
	for i := range 6 {
		targets = append(targets, target(i, "golfo-a"))
	}
	p := placer(t, 1, targets...)
	homes := play(250, func(now time.Time, object string) (string, func(time.Time)) {
		c, refusal := p.Pick(now, ask(object))
		if refusal != nil {
			return "", nil
		}
		return c.Target.ID, func(end time.Time) {
			p.Done(end, c, place.Outcome{Latency: end.Sub(now)})
		}
	})
	flight := map[string]int{}
	leastLoaded := play(250, func(_ time.Time, _ string) (string, func(time.Time)) {
		best := ""
		for _, c := range targets {
			if best == "" || flight[c.ID] < flight[best] {
				best = c.ID
			}
		}
		if flight[best] >= 2*slots {
			return "", nil
		}
		flight[best]++
		return best, func(time.Time) { flight[best]-- }
	})
	t.Logf("in time: %.3f, by load alone %.3f", homes, leastLoaded)
	assert.Assert(t, homes > 0.85, "in time: %.3f", homes)
	assert.Assert(t, homes > leastLoaded+0.2)
}

// Guards against a route that was added later and is refused for ever, since other requests of its service work for longer than
// it has, or since its first request was not answered. Load: a service whose requests work for 2 s, and a route without an
// objective whose requests have 1.5 s and work for 0.5 s.
func TestAddedRouteIsServed(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	for range 20 {
		c, refusal := p.Pick(start, ask("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: 2 * time.Second})
	}
	added := ask("2")
	added.Class, added.Objective, added.TimeLeft = "added", 0, 1500*time.Millisecond
	c, refusal := p.Pick(start, added)
	assert.Assert(t, refusal == nil, "the first one is refused: %v", refusal)
	p.Done(start, c, place.Outcome{Failed: true, TimedOut: true, Latency: added.TimeLeft})
	c, refusal = p.Pick(start, added)
	assert.Assert(t, refusal == nil, "refused after one that was not answered: %v", refusal)
	p.Done(start, c, place.Outcome{Latency: 500 * time.Millisecond})
	for range 3 * slots {
		_, refusal = p.Pick(start, added)
	}
	assert.Equal(t, refusal.Verdict, steer.NotRun, "what waits for longer than it has is refused at once")
}

// Guards against a target that crashed, started again without this host knowing, and crashes again under full load.
func TestTargetThatWasSilentReturnsGently(t *testing.T) {
	const hosts = 8
	p := placer(t, hosts, target(1, "golfo-a"))
	now := start
	for range 3 {
		c, refusal := p.Pick(now, ask("1"))
		assert.Assert(t, refusal == nil)
		p.Done(now, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	sent := 0
	for end := now.Add(1500 * time.Millisecond); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if c, refusal := p.Pick(now, ask("1")); refusal == nil {
			sent++
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= (1.5*warmupRate+5)/hosts, "%d requests", sent)
	now = now.Add(5 * time.Second)
	for range slots {
		_, refusal := p.Pick(now, ask("1"))
		assert.Assert(t, refusal == nil)
	}
}

// Guards against a target that crashed and started anew, of which a host knows only from others, and that gets its full load.
func TestTargetThatOthersSawBreakReturnsGently(t *testing.T) {
	const hosts = 8
	p, other := placer(t, hosts, target(1, "golfo-a")), placer(t, hosts, target(1, "golfo-a"))
	for range 3 {
		c, _ := other.Pick(start, ask("1"))
		other.Done(start, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	p.MergeNotes(start, other.Notes(start))
	_, refusal := p.Pick(start, ask("1"))
	assert.Equal(t, refusal.Reason, steer.ReasonNoTarget)
	sent := 0
	for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		if c, refusal := p.Pick(now, ask("1")); refusal == nil {
			sent++
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= (1.5*warmupRate+5)/hosts, "%d requests", sent)
}

// Guards against connections that a target resets because all hosts together have opened too many.
func TestHostsShareTheConnectionsOfATarget(t *testing.T) {
	const hosts, most = 8, 60
	view := viewOf(t, target(1, "golfo-a"))
	view.Index.Plan.Services[service] = steer.PlanService{
		Name:           service,
		MaxConnections: most,
	}
	total := 0
	for range hosts {
		p := placer(t, hosts)
		p.Update(start, view, place.Fleet{Hosts: hosts})
		for {
			if _, refusal := p.Pick(start, ask("1")); refusal != nil {
				break
			}
			total++
		}
	}
	assert.Assert(t, total <= most && total >= most/2, "%d connections", total)
}

// Guards against routes without an objective that get no queue at all.
func TestNoObjectiveMeansALongQueue(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	a := ask("1")
	a.Objective = 0
	for range 20 {
		c, _ := p.Pick(start, a)
		p.Done(start, c, place.Outcome{Latency: 100 * time.Millisecond})
	}
	sent := 0
	for {
		if _, refusal := p.Pick(start, a); refusal != nil {
			break
		}
		sent++
	}
	assert.Equal(t, sent, 3*slots)
}

// Guards against long requests of little urgency that take all slots and make urgent ones wait longer than they may. Load:
// each target gets 5 requests a second that work for 1.4 s and 15 urgent ones that work for 0.25 s and may take 0.5 s.
func TestLongRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	type running struct {
		c     place.Choice
		class string
		end   time.Time
	}
	var open []running
	free := make([]time.Time, slots)
	sent, late, refused := 0, 0, 0
	work := map[string]time.Duration{"report": 1400 * time.Millisecond, "assign": 250 * time.Millisecond}
	request := func(now time.Time, class string, objective time.Duration, priority int) (time.Duration, bool) {
		a := ask("1")
		a.Class, a.Objective, a.Priority, a.TimeLeft = class, objective, priority, 3*time.Second
		c, refusal := p.Pick(now, a)
		if refusal != nil {
			return 0, false
		}
		slices.SortFunc(free, func(a, b time.Time) int { return a.Compare(b) })
		begin := now
		if free[0].After(now) {
			begin = free[0]
		}
		free[0] = begin.Add(work[class])
		open = append(open, running{
			c:     c,
			class: class,
			end:   free[0],
		})
		return free[0].Sub(now), true
	}
	for ms := 0; ms < 30_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		open = slices.DeleteFunc(open, func(r running) bool {
			if r.end.After(now) {
				return false
			}
			p.Done(r.end, r.c, place.Outcome{Latency: work[r.class]})
			return true
		})
		if ms%200 == 0 {
			request(now, "report", 3*time.Second, 2)
		}
		if ms%70 == 0 && ms > 3000 {
			took, ok := request(now, "assign", 500*time.Millisecond, 0)
			switch {
			case !ok:
				refused++
			case took > 500*time.Millisecond:
				late++
			}
			sent++
		}
	}
	t.Logf("urgent: %d sent, %d late, %d refused", sent, late, refused)
	assert.Assert(t, float64(late+refused) < 0.05*float64(sent), "%d late, %d refused of %d", late, refused, sent)
}

// Guards against a started host that counts with a large fleet, leaves targets of a small one idle, and refuses its callers: a
// target of 60 connections, three hosts.
func TestStartedHostUsesItsConnections(t *testing.T) {
	view := viewOf(t, target(1, "golfo-a"))
	view.Index.Plan.Services[service] = steer.PlanService{
		Name:           service,
		MaxConnections: 60,
	}
	p := placer(t, 3)
	p.Update(start, view, place.Fleet{
		Hosts:    3,
		MaxHosts: 500,
	})
	for range slots {
		_, refusal := p.Pick(start, ask("1"))
		assert.Assert(t, refusal == nil)
	}
}

// Guards against running work that is given up, or a process that ends, since the entry of its target lapsed meanwhile.
func TestAnswerOfATargetWhoseEntryIsGone(t *testing.T) {
	p := placer(t, 1, target(1, "golfo-a"))
	c, refusal := p.Pick(start, ask("1"))
	assert.Assert(t, refusal == nil)
	p.Update(start, viewOf(t), place.Fleet{Hosts: 1})
	p.Done(start.Add(time.Second), c, place.Outcome{Latency: time.Second})
	p.Update(start, viewOf(t, target(1, "golfo-a")), place.Fleet{Hosts: 1})
	_, refusal = p.Pick(start.Add(time.Second), ask("1"))
	assert.Assert(t, refusal == nil)
}
