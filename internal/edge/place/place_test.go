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

func newView(t testing.TB, targets ...*belief.RegisteredTarget) *belief.View {
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

func newTarget(id int, centre string) *belief.RegisteredTarget {
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

func newPlacer(t *testing.T, hosts int, targets ...*belief.RegisteredTarget) *place.Placer {
	t.Helper()
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
	})
	p.Update(start, newView(t, targets...), place.Fleet{Hosts: hosts})
	return p
}

func newRequest(key string) place.Request {
	return place.Request{
		Service:   service,
		Class:     "slot-query",
		Objective: 300 * time.Millisecond,
		Key:       key,
		TimeLeft:  2 * time.Second,
	}
}

// Guards against requests for one object that run on several targets, each of which must then load the object.
func TestAllRequestsOfAnObjectGoToOneTarget(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"), newTarget(2, "golfo-a"), newTarget(3, "golfo-b"), newTarget(4, "golfo-b"))
	seen := map[string]bool{}
	for range slots {
		c, refusal := p.Pick(start, newRequest("17"))
		assert.Assert(t, refusal == nil)
		seen[c.Target.ID] = true
	}
	assert.Equal(t, len(seen), 1)
}

// Guards against an uneven distribution of keys over targets.
func TestObjectsAreSpreadOverTargets(t *testing.T) {
	targets := []*belief.RegisteredTarget{newTarget(1, "golfo-a"), newTarget(2, "golfo-a"), newTarget(3, "golfo-b"), newTarget(4, "golfo-b")}
	p := newPlacer(t, 1, targets...)
	counts := map[string]int{}
	const objects = 4000
	for i := range objects {
		c, refusal := p.Pick(start, newRequest(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		counts[c.Target.ID]++
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
	for id, n := range counts {
		assert.Assert(t, n > objects/len(targets)*8/10, "%s: %d", id, n)
	}
}

// Guards against requests that queue at a full target until they miss their objective. They must be refused at once.
func TestRefusesRequestsThatWouldBeLate(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
	for range 20 {
		c, refusal := p.Pick(start, newRequest("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: 200 * time.Millisecond})
	}
	sent := 0
	for {
		_, refusal := p.Pick(start, newRequest("1"))
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

// Guards against less urgent requests that fill the queue that more urgent ones need.
func TestLessUrgentIsRefusedFirst(t *testing.T) {
	accepted := func(priority int) int {
		p := newPlacer(t, 1, newTarget(1, "golfo-a"))
		for range 20 {
			c, _ := p.Pick(start, newRequest("1"))
			p.Done(start, c, place.Outcome{Latency: 150 * time.Millisecond})
		}
		for sent := 0; ; sent++ {
			a := newRequest("1")
			a.Priority = priority
			if _, refusal := p.Pick(start, a); refusal != nil {
				return sent
			}
		}
	}
	assert.Assert(t, accepted(0) > accepted(1) && accepted(1) > accepted(2), "accepted %d, %d, %d", accepted(0), accepted(1), accepted(2))
}

// Guards against a cold target that crashes because all hosts together send it too many requests.
func TestColdTargetGetsFewRequests(t *testing.T) {
	const hosts = 8
	cold := newTarget(1, "golfo-a")
	cold.ColdUntil = start.Add(time.Minute)
	total := 0
	for range hosts {
		p := newPlacer(t, hosts, cold)
		for ms := range 1000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if c, refusal := p.Pick(now, newRequest(fmt.Sprint(ms))); refusal == nil {
				total++
				p.Done(now, c, place.Outcome{Latency: time.Millisecond})
			}
		}
	}
	assert.Assert(t, float64(total) <= 1.5*warmupRate+5, "%d requests in one second", total)
	assert.Assert(t, total > 0)
}

// Guards against a burst at a target that turns cold: each host of a large fleet has a token saved up and uses it at once.
func TestTargetThatTurnsColdGetsFewRequests(t *testing.T) {
	const hosts = 72
	warm, cold := newTarget(1, "golfo-a"), newTarget(1, "golfo-a")
	cold.ColdUntil = start.Add(time.Hour)
	now := start.Add(time.Minute)
	total := 0
	for range hosts {
		p := newPlacer(t, hosts, warm)
		c, refusal := p.Pick(start, newRequest("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
		p.Update(now, newView(t, cold), place.Fleet{Hosts: hosts})
		for ms := range 1000 {
			if c, refusal := p.Pick(now.Add(time.Duration(ms)*time.Millisecond), newRequest("1")); refusal == nil {
				total++
				p.Done(now, c, place.Outcome{Latency: time.Millisecond})
			}
		}
	}
	assert.Assert(t, total > 0 && float64(total) <= 1.5*warmupRate+5, "%d requests in one second", total)
}

// Guards against requests that are sent to a data centre that is being emptied, or to a region in which they may not run.
func TestStaysInAllowedRegions(t *testing.T) {
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
	})
	view := newView(t, newTarget(1, "golfo-a"), newTarget(2, "golfo-b"), newTarget(3, "pacifico-a"), newTarget(4, "altiplano-a"))
	view.Emptied["golfo-a"] = true
	p.Update(start, view, place.Fleet{Hosts: 1})
	for i := range 500 {
		c, refusal := p.Pick(start, newRequest(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		assert.Assert(t, c.Target.DataCentre != "golfo-a")
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
		restricted := newRequest(fmt.Sprint(i))
		restricted.Regions = []string{"pacifico", "altiplano"}
		restricted.AlsoRegions = []string{"pacifico"}
		c, refusal = p.Pick(start, restricted)
		assert.Assert(t, refusal == nil)
		assert.Equal(t, c.Target.HomeRegion, "pacifico")
		p.Done(start, c, place.Outcome{Latency: time.Millisecond})
	}
	nowhere := newRequest("1")
	nowhere.Regions = []string{"altiplano"}
	nowhere.AlsoRegions = []string{"pacifico"}
	_, refusal := p.Pick(start, nowhere)
	assert.Equal(t, refusal.Reason, steer.ReasonNoTarget)
}

// Guards against requests to a target that was replaced or does not answer.
func TestEjectsFailingTarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome place.Outcome
		times   int
	}{
		{name: "another target has its address", outcome: place.Outcome{Gone: true, Shed: true}, times: 1},
		{name: "no answers", outcome: place.Outcome{Failed: true}, times: 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(t, 1, newTarget(1, "golfo-a"), newTarget(2, "golfo-a"))
			first, _ := p.Pick(start, newRequest("5"))
			p.Done(start, first, c.outcome)
			for range c.times - 1 {
				again, _ := p.Pick(start, newRequest("5"))
				assert.Equal(t, again.Target.ID, first.Target.ID)
				p.Done(start, again, c.outcome)
			}
			other, refusal := p.Pick(start, newRequest("5"))
			assert.Assert(t, refusal == nil)
			assert.Assert(t, other.Target.ID != first.Target.ID)
		})
	}
}

// Guards against ejections that are not reported, so that operators cannot tell why objects moved to other targets.
func TestReportsEjections(t *testing.T) {
	var ejections []place.Ejection
	p := place.New(place.Config{
		DataCentre: "golfo-a",
		Region:     "golfo",
		Regions:    regions,
		Ejection:   func(a place.Ejection) { ejections = append(ejections, a) },
	})
	p.Update(start, newView(t, newTarget(1, "golfo-a"), newTarget(2, "golfo-a")), place.Fleet{Hosts: 1})
	for range 3 {
		c, refusal := p.Pick(start, newRequest("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	assert.Equal(t, len(ejections), 1)
	assert.Equal(t, ejections[0].Failures, 3)
	assert.Assert(t, ejections[0].Period > 0 && ejections[0].SlowStart && !ejections[0].FromPeers)
	p.MergeNotes(start, []steer.TargetObservation{{
		Target: map[string]string{"golfo-a-1": "golfo-a-2", "golfo-a-2": "golfo-a-1"}[ejections[0].Target],
		Failed: 3,
	}})
	assert.Equal(t, len(ejections), 2)
	assert.Assert(t, ejections[1].FromPeers && !ejections[1].SlowStart)
}

// Guards against a region with few targets that keeps all of its requests, so that its targets are busier than others.
func TestSmallRegionKeepsRequestsUpToItsCapacity(t *testing.T) {
	fraction := homeFraction(t, newPlacer(t, 1, smallRegion()...), start)
	assert.Assert(t, fraction > 0.24 && fraction < 0.30, "%.3f of the requests of the region, 3 of 11 fit", fraction)
}

// Guards against a customer that may run only in a region of small capacity, and finds the targets there taken by requests that
// could run elsewhere.
func TestCapacityIsLeftForPinnedRequests(t *testing.T) {
	targets := []*belief.RegisteredTarget{newTarget(1, "golfo-a"), newTarget(2, "golfo-b")}
	for i := range 10 {
		targets = append(targets, newTarget(10+i, "pacifico-a"), newTarget(30+i, "altiplano-a"))
	}
	p := newPlacer(t, 1, targets...)
	golfoFraction := func(now time.Time) float64 {
		unpinned, golfo := 0, 0
		for i := range 1000 {
			a := newRequest(fmt.Sprint(i))
			pinned := i%10 < 3
			if pinned {
				a.AlsoRegions = []string{"golfo"}
			}
			c, refusal := p.Pick(now, a)
			assert.Assert(t, refusal == nil)
			if !pinned {
				unpinned++
				if c.Target.HomeRegion == "golfo" {
					golfo++
				}
			}
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
		return float64(golfo) / float64(unpinned)
	}
	before := golfoFraction(start)
	assert.Assert(t, before > 0.2, "%.3f", before)
	for s := 1; s <= 60; s++ {
		now := golfoFraction(start.Add(time.Duration(s) * time.Second))
		assert.Assert(t, before-now <= 0.075, "from %.3f to %.3f in a second", before, now)
		before = now
	}
	assert.Assert(t, before < 0.01, "%.3f of the requests that may run anywhere still go to the region", before)
}

// smallRegion returns one target in the own region and five in each of the other regions.
func smallRegion() []*belief.RegisteredTarget {
	targets := []*belief.RegisteredTarget{newTarget(1, "golfo-a")}
	for i := range 5 {
		targets = append(targets, newTarget(10+i, "pacifico-a"), newTarget(20+i, "altiplano-a"))
	}
	return targets
}

// homeFraction returns the fraction of the requests for many objects that stays in the own region.
func homeFraction(t *testing.T, p *place.Placer, now time.Time) float64 {
	t.Helper()
	const objects = 4000
	home := 0
	for i := range objects {
		c, refusal := p.Pick(now, newRequest(fmt.Sprint(i)))
		assert.Assert(t, refusal == nil)
		if c.Target.HomeRegion == "golfo" {
			home++
		}
		p.Done(now, c, place.Outcome{Latency: time.Millisecond})
	}
	return float64(home) / objects
}

// Guards against a started host that keeps the shares of the first targets that it saw for half a minute.
func TestStartedHostUsesSharesOfAllTargets(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
	p.Update(start.Add(3*time.Second), newView(t, smallRegion()...), place.Fleet{Hosts: 1})
	fraction := homeFraction(t, p, start.Add(10*time.Second))
	assert.Assert(t, fraction < 0.32, "%.2f of the requests stay, 3 of 11 fit", fraction)
}

// Guards against a change of capacity that moves more of a region's requests than may move within two seconds.
func TestRegionSharesMoveSlowly(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"), newTarget(2, "pacifico-a"), newTarget(3, "altiplano-a"))
	homeFraction := func(now time.Time) float64 {
		n := 0
		const objects = 2000
		for i := range objects {
			c, refusal := p.Pick(now, newRequest(fmt.Sprint(i)))
			assert.Assert(t, refusal == nil)
			if c.Target.HomeRegion == "golfo" {
				n++
			}
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
		return float64(n) / objects
	}
	assert.Assert(t, homeFraction(start) > 0.95)
	var more []*belief.RegisteredTarget
	for i := range 9 {
		more = append(more, newTarget(10+i, "pacifico-a"))
	}
	p.Update(start, newView(t, append(more, newTarget(1, "golfo-a"), newTarget(2, "pacifico-a"), newTarget(3, "altiplano-a"))...), place.Fleet{Hosts: 1})
	before := homeFraction(start)
	for s := 2; s <= 40; s += 2 {
		now := homeFraction(start.Add(time.Duration(s) * time.Second))
		assert.Assert(t, before-now <= 0.15, "from %.2f to %.2f in two seconds", before, now)
		before = now
	}
	assert.Assert(t, before < 0.6, "the region still keeps %.2f", before)
	p.Update(start.Add(time.Minute), newView(t, newTarget(2, "pacifico-a"), newTarget(3, "altiplano-a")), place.Fleet{Hosts: 1})
	assert.Equal(t, homeFraction(start.Add(time.Minute)), 0.0)
}

// cachingTarget simulates a target that processes slots requests at once. An object that is not in its cache takes more than
// three times as long.
type cachingTarget struct {
	freeAt     []time.Time          // When each slot is free.
	lastServed map[string]time.Time // By object.
}

const (
	uncachedWork = 360 * time.Millisecond
	cachedWork   = 108 * time.Millisecond
	cacheTime    = 5 * time.Second // Objects without a request for this time leave the cache.
)

func newCachingTarget() *cachingTarget {
	return &cachingTarget{
		freeAt:     make([]time.Time, slots),
		lastServed: map[string]time.Time{},
	}
}

func (d *cachingTarget) serve(now time.Time, object string) time.Time {
	slot := 0
	for i, at := range d.freeAt {
		if at.Before(d.freeAt[slot]) {
			slot = i
		}
	}
	begin := now
	if d.freeAt[slot].After(now) {
		begin = d.freeAt[slot]
	}
	work := uncachedWork
	if at, ok := d.lastServed[object]; ok && begin.Sub(at) < cacheTime {
		work = cachedWork
	}
	end := begin.Add(work)
	d.freeAt[slot], d.lastServed[object] = end, end
	return end
}

// simulateLoad sends requests at a rate to targets for 30 seconds and returns the fraction answered within 300 ms. pick returns
// the target of a request and a function to call at its end; an empty target means a refusal.
func simulateLoad(rate float64, pick func(now time.Time, object string) (string, func(end time.Time))) float64 {
	random := rand.New(rand.NewPCG(1, 2))
	targets := map[string]*cachingTarget{}
	type pending struct {
		end  time.Time
		done func(time.Time)
	}
	var open []pending
	inTime, all := 0, 0
	for now := start; now.Before(start.Add(30 * time.Second)); {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		remaining := open[:0]
		for _, o := range open {
			if o.end.After(now) {
				remaining = append(remaining, o)
			} else {
				o.done(o.end)
			}
		}
		open = remaining
		object := fmt.Sprint(random.IntN(160))
		all++
		id, done := pick(now, object)
		if id == "" {
			continue
		}
		if targets[id] == nil {
			targets[id] = newCachingTarget()
		}
		end := targets[id].serve(now, object)
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

// Guards against a choice by load alone under high load: no target has its objects in the cache then, and all answers are late.
// Load: 250 requests a second for 160 objects at six targets, which carry 150 uncached or 500 cached requests a second.
func TestHighLoadIsServedInTime(t *testing.T) {
	var targets []*belief.RegisteredTarget
	for i := range 6 {
		targets = append(targets, newTarget(i, "golfo-a"))
	}
	p := newPlacer(t, 1, targets...)
	rendezvous := simulateLoad(250, func(now time.Time, object string) (string, func(time.Time)) {
		c, refusal := p.Pick(now, newRequest(object))
		if refusal != nil {
			return "", nil
		}
		return c.Target.ID, func(end time.Time) {
			p.Done(end, c, place.Outcome{Latency: end.Sub(now)})
		}
	})
	inFlight := map[string]int{}
	leastLoaded := simulateLoad(250, func(_ time.Time, _ string) (string, func(time.Time)) {
		best := ""
		for _, c := range targets {
			if best == "" || inFlight[c.ID] < inFlight[best] {
				best = c.ID
			}
		}
		if inFlight[best] >= 2*slots {
			return "", nil
		}
		inFlight[best]++
		return best, func(time.Time) { inFlight[best]-- }
	})
	t.Logf("in time: %.3f, by load alone %.3f", rendezvous, leastLoaded)
	assert.Assert(t, rendezvous > 0.85, "in time: %.3f", rendezvous)
	assert.Assert(t, rendezvous > leastLoaded+0.2)
}

// Guards against a new route that is refused forever, because other requests of its service take longer than its deadline, or
// because its first request was not answered. Load: a service whose requests take 2 s, and a route without an objective whose
// requests have a deadline of 1.5 s and take 0.5 s.
func TestAddedRouteIsServed(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
	for range 20 {
		c, refusal := p.Pick(start, newRequest("1"))
		assert.Assert(t, refusal == nil)
		p.Done(start, c, place.Outcome{Latency: 2 * time.Second})
	}
	added := newRequest("2")
	added.Class, added.Objective, added.TimeLeft = "added", 0, 1500*time.Millisecond
	c, refusal := p.Pick(start, added)
	assert.Assert(t, refusal == nil, "first request refused: %v", refusal)
	p.Done(start, c, place.Outcome{Failed: true, TimedOut: true, Latency: added.TimeLeft})
	c, refusal = p.Pick(start, added)
	assert.Assert(t, refusal == nil, "refused after a request that timed out: %v", refusal)
	p.Done(start, c, place.Outcome{Latency: 500 * time.Millisecond})
	for range 3 * slots {
		_, refusal = p.Pick(start, added)
	}
	assert.Equal(t, refusal.Verdict, steer.NotRun, "a request that would wait past its deadline must be refused at once")
}

// Guards against a target that crashed, restarted without this host's knowledge, and crashes again under full load.
func TestFailedTargetReturnsWithSlowStart(t *testing.T) {
	const hosts = 8
	p := newPlacer(t, hosts, newTarget(1, "golfo-a"))
	now := start
	for range 3 {
		c, refusal := p.Pick(now, newRequest("1"))
		assert.Assert(t, refusal == nil)
		p.Done(now, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	sent := 0
	for end := now.Add(1500 * time.Millisecond); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if c, refusal := p.Pick(now, newRequest("1")); refusal == nil {
			sent++
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= (1.5*warmupRate+5)/hosts, "%d requests", sent)
	now = now.Add(5 * time.Second)
	for range slots {
		_, refusal := p.Pick(now, newRequest("1"))
		assert.Assert(t, refusal == nil)
	}
}

// Guards against full load on a target that crashed and restarted, when a host knows of the crash only from notes of others.
func TestTargetThatPeersSawFailReturnsWithSlowStart(t *testing.T) {
	const hosts = 8
	p, other := newPlacer(t, hosts, newTarget(1, "golfo-a")), newPlacer(t, hosts, newTarget(1, "golfo-a"))
	for range 3 {
		c, _ := other.Pick(start, newRequest("1"))
		other.Done(start, c, place.Outcome{Failed: true, ConnectionLost: true})
	}
	p.MergeNotes(start, other.Notes(start))
	_, refusal := p.Pick(start, newRequest("1"))
	assert.Equal(t, refusal.Reason, steer.ReasonNoTarget)
	sent := 0
	for now := start; now.Before(start.Add(1500 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		if c, refusal := p.Pick(now, newRequest("1")); refusal == nil {
			sent++
			p.Done(now, c, place.Outcome{Latency: time.Millisecond})
		}
	}
	assert.Assert(t, sent > 0 && float64(sent) <= (1.5*warmupRate+5)/hosts, "%d requests", sent)
}

// Guards against connections that a target resets because all hosts together opened more than its limit.
func TestHostsShareConnectionLimitOfTarget(t *testing.T) {
	const hosts, maxConnections = 8, 60
	view := newView(t, newTarget(1, "golfo-a"))
	view.Index.Plan.Services[service] = steer.PlanService{
		Name:           service,
		MaxConnections: maxConnections,
	}
	total := 0
	for range hosts {
		p := newPlacer(t, hosts)
		p.Update(start, view, place.Fleet{Hosts: hosts})
		for {
			if _, refusal := p.Pick(start, newRequest("1")); refusal != nil {
				break
			}
			total++
		}
	}
	assert.Assert(t, total <= maxConnections && total >= maxConnections/2, "%d connections", total)
}

// Guards against routes without an objective whose requests may not queue at all.
func TestNoObjectiveAllowsFullQueue(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
	a := newRequest("1")
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

// Guards against long requests of low urgency that take all slots, so that urgent requests miss their objective. Load: one
// target gets 5 requests a second of 1.4 s each, and about 14 urgent ones of 0.25 s each with an objective of 0.5 s.
func TestLongRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
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
		a := newRequest("1")
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

// Guards against a started host that assumes a large fleet for its share of connections, and so leaves targets of a small fleet
// idle and refuses its callers. Load: a target with 60 connections, three hosts.
func TestStartedHostUsesItsConnections(t *testing.T) {
	view := newView(t, newTarget(1, "golfo-a"))
	view.Index.Plan.Services[service] = steer.PlanService{
		Name:           service,
		MaxConnections: 60,
	}
	p := newPlacer(t, 3)
	p.Update(start, view, place.Fleet{
		Hosts:    3,
		MaxHosts: 500,
	})
	for range slots {
		_, refusal := p.Pick(start, newRequest("1"))
		assert.Assert(t, refusal == nil)
	}
}

// Guards against lost work or a crash of the process when the entry of a target ends while a request runs there.
func TestAnswerOfUnregisteredTarget(t *testing.T) {
	p := newPlacer(t, 1, newTarget(1, "golfo-a"))
	c, refusal := p.Pick(start, newRequest("1"))
	assert.Assert(t, refusal == nil)
	p.Update(start, newView(t), place.Fleet{Hosts: 1})
	p.Done(start.Add(time.Second), c, place.Outcome{Latency: time.Second})
	p.Update(start, newView(t, newTarget(1, "golfo-a")), place.Fleet{Hosts: 1})
	_, refusal = p.Pick(start.Add(time.Second), newRequest("1"))
	assert.Assert(t, refusal == nil)
}
