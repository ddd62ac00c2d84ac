package place

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
)

const (
	// overflowUse is the use below which a target of another region takes requests of a full one.
	overflowUse = 0.9

	// coldPart is the part of the rate that a cold target tolerates which all hosts together send.
	coldPart = 0.8

	// absentReturn is when to return if no target of a service is registered.
	absentReturn = 500 * time.Millisecond

	// fullReturnLeast and fullReturnMost bound when to return if all targets are full.
	fullReturnLeast = 150 * time.Millisecond
	fullReturnMost  = 2 * time.Second

	// connectionPart is the part of a target's connections that all hosts together use for requests in progress. The rest is
	// for idle ones and for those that are being closed.
	connectionPart = 0.7

	// spillStep is the change per second of the part of requests that may leave their region because it is full.
	spillStep = 0.02

	// advanceEvery is the time between two moves of the shares of regions while requests come.
	advanceEvery = 100 * time.Millisecond

	// spillMost bounds that part.
	spillMost = 0.5

	// activeTime is the time for which room is left for more urgent requests after the last one of a class.
	activeTime = 2 * time.Second

	// urgentBy is how much lower the mean priority of a class must be for its requests to count as more urgent.
	urgentBy = 0.5

	// boundWeight is the weight of one second in the mean part of requests that may run in one region only: demand of
	// customers changes within seconds, and shares of regions move slower than that anyway.
	boundWeight = 0.2

	// idleTime is the time without a request after which the shares of regions need not move slowly: the span over which a
	// fleet is held to a largest move.
	idleTime = 2 * time.Second

	// maxClasses bounds the kinds of requests whose work is known: some times the routes of a plan.
	maxClasses = 4096
)

const (
	// leastUse is the use up to which a target always gets requests: fewer would leave slots without work.
	leastUse = 1.0

	// mostUse bounds the queue at a target: it holds three waiting requests for each slot.
	mostUse = 3.0
)

// aimPart is the part of a request's objective that it may be expected to take, by priority. A request that comes late is
// worth little, and a long queue makes all late: what does not fit is refused, the less urgent first.
var aimPart = []float64{1.6, 1.3, 1.0}

// limit returns the use of a target from which requests are refused, so that those that are sent are answered in time. A
// request leaves room for more urgent ones: it may not make them wait longer than their objective allows, and one that works
// for longer than that leaves a slot free for them.
func (s *service) limit(ask *Request, n *node) float64 {
	part := aimPart[min(max(ask.Priority, 0), len(aimPart)-1)]
	work := s.work.value
	if work == 0 || ask.Objective == 0 {
		return mostUse
	}
	own := s.workOf(ask.Class)
	limit := math.Min(mostUse, math.Max(leastUse, 1+(part*ask.Objective.Seconds()-own)/work))
	for _, c := range s.active {
		if c.priority.value > float64(ask.Priority)-urgentBy || c.objective == 0 {
			continue
		}
		limit = math.Min(limit, math.Max(leastUse, 1+(c.objective-c.work.value)/work))
		if own > c.objective {
			limit = math.Min(limit, 1-1/n.slots())
		}
	}
	return limit
}

// service is what this host knows of the targets of one service.
type service struct {
	alone    func(Ejection)
	nodes    map[string]*node   // By target id.
	regional map[string][]*node // By region.
	goal     []share            // Of regions.
	regions  []share            // In force; moves towards the goal.
	caps     map[string]float64 // Capacity of regions, in slots.
	own      string             // Region of this host.
	bound    map[string]float64 // Part of the requests that may run in one region only, by region.
	moved    time.Time
	life     time.Duration // Time for which a reported load counts.
	typical  average       // Seconds of an answer.
	work     average       // Seconds of an answer without the wait in the target's queue.
	classes  map[string]*class
	active   []*class      // Those that were asked for lately.
	warmup   time.Duration // Time for which a started target is cold.
	rate     float64       // Requests per second that a cold target may get from this host.

	connections int // Requests in progress that a target may have from this host; each takes a connection.

	spill   float64 // Part of the requests that may leave their region because it is full.
	asked   int     // Requests since the spill was last set.
	wanted  int     // Requests among them that found their region full.
	spilled int     // Requests among those that left it.

	askedBound map[string]int // Requests among them that may run in one region only, by region.
	lastAsked  time.Time      // When the last request came.
	spillTime  time.Time
}

func newService(alone func(Ejection)) *service {
	return &service{
		alone:   alone,
		nodes:   map[string]*node{},
		classes: map[string]*class{},
		bound:   map[string]float64{},

		askedBound: map[string]int{},
		life:       reportLeast,
	}
}

// adopt takes the targets that are registered. What is known of those that stay is kept.
func (s *service) adopt(now time.Time, list []*belief.RegisteredTarget, view *belief.View, c Config, hosts Fleet) {
	nodes := make(map[string]*node, len(list))
	s.regional = map[string][]*node{}
	for _, target := range list {
		if view.Emptied[target.DataCentre] || target.HomeRegion == "" {
			continue
		}
		n := s.nodes[target.ID]
		if n == nil || !n.target.SameInstance(target) {
			n = &node{
				service: s,
				seed:    xxhash.Sum64String(target.ID),
			}
		}
		n.target = target
		nodes[target.ID] = n
		s.regional[target.HomeRegion] = append(s.regional[target.HomeRegion], n)
	}
	s.nodes = nodes
	s.rate = 0
	if len(list) > 0 && view.Index != nil {
		plan := view.Index.Plan.Services[list[0].Service]
		s.rate = coldPart * plan.WarmupRate / float64(hosts.MaxHosts)
		s.warmup = plan.Warmup
		s.connections = int(math.Ceil(connectionPart * float64(plan.MaxConnections) / float64(hosts.Hosts))) // 0 without a limit.
	}
	s.divide(now, c)
}

// divide reckons the shares of regions from their capacity.
func (s *service) divide(now time.Time, c Config) {
	s.caps = map[string]float64{}
	for _, region := range c.Regions {
		s.caps[region] = 0
	}
	for region, nodes := range s.regional {
		for _, n := range nodes {
			s.caps[region] += n.slots()
		}
	}
	s.own = c.Region
	s.aim()
	if s.regions == nil {
		s.regions = s.goal
	}
	s.advance(now)
}

// aim reckons the goal of the shares of regions. Requests that may run in one region only come first there: they take their
// part of its capacity, and what may run elsewhere leaves it to them.
func (s *service) aim() {
	total := 0.0
	for _, c := range s.caps {
		total += c
	}
	left := make(map[string]float64, len(s.caps))
	for region, c := range s.caps {
		left[region] = math.Max(0, c-s.bound[region]*total)
	}
	if s.goal = spread(s.own, left); s.goal == nil {
		s.goal = spread(s.own, s.caps)
	}
}

// bind renews the parts of the requests that may run in one region only.
func (s *service) bind() {
	for region := range s.caps {
		part := float64(s.askedBound[region]) / float64(max(s.asked, 1))
		s.bound[region] += boundWeight * (part - s.bound[region])
	}
	clear(s.askedBound)
	s.aim()
}

// advance moves the shares of regions towards their goal.
func (s *service) advance(now time.Time) {
	if now.Sub(s.lastAsked) > idleTime {
		s.regions, s.moved = s.goal, now // Nothing moves where there are no requests.
		return
	}
	s.regions = approach(s.regions, s.goal, stepOf(now.Sub(s.moved)), s.caps)
	s.moved = now
}

// move brings the shares of regions and the spill up to date.
func (s *service) move(now time.Time) {
	if now.Sub(s.moved) >= advanceEvery {
		s.advance(now)
		s.activate(now)
	}
	if elapsed := now.Sub(s.spillTime); elapsed >= time.Second {
		part := 0.0
		if s.asked > 0 {
			part = float64(s.wanted) / float64(s.asked)
		}
		step := spillStep * math.Min(elapsed.Seconds(), 1)
		s.spill = math.Min(spillMost, s.spill+math.Min(step, math.Max(-step, part-s.spill)))
		s.bind()
		s.asked, s.wanted, s.spilled, s.spillTime = 0, 0, 0, now
	}
}

// mayLeave reports whether one more request may leave its region because it is full.
func (s *service) mayLeave() bool {
	s.wanted++
	return float64(s.spilled) < s.spill*float64(s.asked)
}

// choose returns the target for a request: the one for its key in the region of its key, while that has room.
func (s *service) choose(now time.Time, ask Request, position float64, hash uint64, c Config) (*node, bool, steer.Reason) {
	s.asked++
	s.lastAsked = now
	s.class(ask.Class).ask(now, &ask)
	if only := ask.only(); only != "" {
		s.askedBound[only]++
	}
	region := pick(s.regions, position)
	if !ask.allowed(region) || s.caps[region] == 0 {
		region = s.nearest(ask, c)
	}
	if region == "" {
		return nil, false, steer.ReasonNoTarget
	}
	home := s.home(now, ask, hash, func(other string) bool { return other == region })
	if home == nil {
		home = s.home(now, ask, hash, func(other string) bool { return other != region && ask.allowed(other) })
	}
	if home == nil {
		return nil, false, steer.ReasonNoTarget
	}
	n := home
	if home.use(now) >= s.limit(&ask, home) || s.connected(home) {
		if n = s.overflow(now, ask, hash, region); n == nil {
			return nil, false, steer.ReasonCapacity
		}
	}
	if s.wait(now, n, &ask) > ask.TimeLeft.Seconds() {
		return nil, false, steer.ReasonDeadline
	}
	n.spend(now)
	return n, n == home, ""
}

// overflow returns the home of the key in the other regions, if that has room and one more request may leave its region. It
// is the same target each time, so it learns the object. Other targets of the region are not tried: they do not know the
// object, work three times as long on it, and forget another one for it, which makes everything slower when all are busy.
func (s *service) overflow(now time.Time, ask Request, hash uint64, region string) *node {
	if !s.mayLeave() {
		return nil
	}
	n := s.home(now, ask, hash, func(other string) bool { return other != region && ask.allowed(other) })
	if n == nil || n.use(now) >= overflowUse || s.connected(n) {
		return nil
	}
	s.spilled++
	return n
}

// connected reports whether a target has all the connections that this host may open.
func (s *service) connected(n *node) bool { return s.connections > 0 && n.flight >= s.connections }

// nearest returns the region with targets that a request may use, the own one first.
func (s *service) nearest(ask Request, c Config) string {
	if ask.allowed(c.Region) && s.caps[c.Region] > 0 {
		return c.Region
	}
	best := ""
	for region, capacity := range s.caps {
		if capacity > 0 && ask.allowed(region) && (best == "" || capacity > s.caps[best] ||
			capacity == s.caps[best] && region < best) {
			best = region
		}
	}
	return best
}

// home returns the target that a key prefers among the usable ones of some regions, by highest random weight.
func (s *service) home(now time.Time, ask Request, hash uint64, in func(region string) bool) *node {
	var best *node
	most := uint64(0)
	for n := range s.usable(now, ask, in) {
		if weight := mix(hash ^ n.seed); best == nil || weight > most {
			best, most = n, weight
		}
	}
	return best
}

// usable yields the targets of some regions that the request may be sent to.
func (s *service) usable(now time.Time, ask Request, in func(region string) bool) iter.Seq[*node] {
	return func(yield func(*node) bool) {
		for region, nodes := range s.regional {
			if !in(region) {
				continue
			}
			for _, n := range nodes {
				if n.usable(now) && !slices.Contains(ask.Tried, n.target.ID) && n.warm(now, s.rate) && !yield(n) {
					return
				}
			}
		}
	}
}

// learn takes the time of an answer, and the use of the target when the request was sent. The time of a request that was not
// answered in time is the least that it would have taken.
func (s *service) learn(name string, latency time.Duration, use float64, answered bool) {
	c := s.class(name)
	work := latency.Seconds() / math.Max(1, use)
	if !answered && work < c.work.value {
		return
	}
	if answered {
		s.typical.add(latency.Seconds())
	}
	s.work.add(work)
	c.work.add(work)
}

// class is what is known of requests that take about the same work.
type class struct {
	work      average // Seconds of an answer without the wait in the target's queue.
	objective float64 // Seconds, of the last request.
	priority  average // Of requests; customers have priorities of their own.
	asked     time.Time
}

func (s *service) class(name string) *class {
	c := s.classes[name]
	if c == nil {
		if len(s.classes) >= maxClasses {
			clear(s.classes)
		}
		c = &class{}
		s.classes[name] = c
	}
	return c
}

func (c *class) ask(now time.Time, a *Request) {
	c.objective, c.asked = a.Objective.Seconds(), now
	c.priority.add(float64(a.Priority))
}

// activate renews what changes slowly: the classes that were asked for lately, and the time for which reports count.
func (s *service) activate(now time.Time) {
	s.life = time.Duration(reportWorks * s.work.value * float64(time.Second))
	s.life = min(max(s.life, reportLeast), reportMost)
	s.active = s.active[:0]
	for _, c := range s.classes {
		if now.Sub(c.asked) < activeTime {
			s.active = append(s.active, c)
		}
	}
}

// workOf is the work in seconds of a request of a class.
func (s *service) workOf(name string) float64 {
	if c := s.classes[name]; c != nil && c.work.count > 0 {
		return c.work.value
	}
	return s.work.value
}

// workPart is the part of the time left that the work of a request counts for at most: how long its class works may not be
// known, or not any more, and is only learned from requests that are sent.
const workPart = 0.5

// wait is the time in seconds until a target has answered one more request. The work counts up to the objective: when all
// answers are late, one that comes late is still better than none.
func (s *service) wait(now time.Time, n *node, ask *Request) float64 {
	work := math.Min(s.workOf(ask.Class), workPart*ask.TimeLeft.Seconds())
	if ask.Objective > 0 {
		work = math.Min(work, ask.Objective.Seconds())
	}
	return work + s.work.value*math.Max(0, n.use(now)-1)
}

// returnAfter is the time after which a queue of one request for each slot is worked off.
func (s *service) returnAfter() time.Duration {
	d := time.Duration(2 * s.typical.value * float64(time.Second))
	return min(max(d, fullReturnLeast), fullReturnMost)
}
