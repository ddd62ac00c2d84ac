package place

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/belief"
	"monsoonhub.example/steer/internal/edge/region"
)

const (
	// maxOverflowLoad is the load per slot below which a target of another region takes requests of a full region.
	maxOverflowLoad = 0.9

	// coldRateFraction is the fraction of a cold target's tolerated rate that all hosts together send.
	coldRateFraction = 0.8

	// noTargetRetryAfter is the time to retry after if no target of a service is registered.
	noTargetRetryAfter = 500 * time.Millisecond

	// minFullRetryAfter and maxFullRetryAfter bound the time to retry after if all targets are full.
	minFullRetryAfter = 150 * time.Millisecond
	maxFullRetryAfter = 2 * time.Second

	// connectionFraction is the fraction of a target's connections that all hosts together use for requests in progress. The
	// rest is for connections that are idle or being closed.
	connectionFraction = 0.7

	// maxSpillChange bounds the change per second of the fraction of requests that may leave their region because it is full.
	maxSpillChange = 0.02

	// advanceInterval is the minimum time between two updates of the shares of regions. Updates happen as requests arrive.
	advanceInterval = 100 * time.Millisecond

	// maxSpill bounds the fraction of requests that may leave their region because it is full.
	maxSpill = 0.5

	// activeTime is the time after the last request of a class during which less urgent requests leave room for that class.
	activeTime = 2 * time.Second

	// minPriorityGap is how much lower the mean priority value of a class must be for its requests to count as more urgent.
	minPriorityGap = 0.5

	// pinnedWeight is the weight of one second in the mean fraction of requests that may run in one region only. The demand
	// of customers changes within seconds, and the shares of regions move more slowly than that anyway.
	pinnedWeight = 0.2

	// idleTime is the time without a request after which the shares of regions need not move slowly. It is the span for which
	// the move of a fleet's requests is limited.
	idleTime = 2 * time.Second

	// maxClasses bounds the number of request classes whose work is tracked. It is several times the routes of a plan.
	maxClasses = 4096
)

const (
	// minLoadLimit is the smallest limit on the load per slot of a target, since a lower one would leave slots idle. Only the
	// slot that is kept free for more urgent requests takes the limit below it.
	minLoadLimit = 1.0

	// maxLoadLimit bounds the queue at a target: three requests for each slot, those in progress included.
	maxLoadLimit = 3.0
)

// objectiveFactors holds, by priority, the largest expected latency of a request as a multiple of its objective. A late
// answer is worth little, and a long queue makes all answers late. Requests beyond the limit are refused, the less urgent
// ones first.
var objectiveFactors = []float64{1.6, 1.3, 1.0}

// loadLimit returns the load per slot of a target from which a request is refused, so that the requests sent are answered in
// time. A request leaves room for more urgent classes: it may not make them wait longer than their objective allows, and a
// request whose work exceeds that objective leaves a slot free for them.
func (s *service) loadLimit(now time.Time, request *Request, t *targetState) float64 {
	factor := objectiveFactors[min(max(request.Priority, 0), len(objectiveFactors)-1)]
	slowness := t.noticedSlowness(now)
	work := slowness * s.work.value
	if work == 0 || request.Objective == 0 {
		return maxLoadLimit
	}
	ownWork := slowness * s.expectedWork(request.Class)
	loadLimit := math.Min(maxLoadLimit, math.Max(minLoadLimit, 1+(factor*request.Objective.Seconds()-ownWork)/work))
	for _, c := range s.activeClasses {
		if c.priority.value > float64(request.Priority)-minPriorityGap || c.objective == 0 {
			continue
		}
		loadLimit = math.Min(loadLimit, math.Max(minLoadLimit, 1+(c.objective-slowness*c.work.value)/work))
		if ownWork > c.objective {
			loadLimit = math.Min(loadLimit, 1-1/t.slots())
		}
	}
	return loadLimit
}

// service holds what this host knows of the targets of one service.
type service struct {
	onEjection      func(Ejection)
	onLimitChange   func(LimitChange)
	targets         map[string]*targetState   // By target id.
	targetsByRegion map[string][]*targetState // Those of targets, by region.
	goalShares      []region.Share            // Shares of regions that follow from their capacity.
	shares          []region.Share            // Shares in force; they move towards goalShares.
	capacities      map[string]float64        // Capacity of regions, in slots.
	ownRegion       string                    // Region of this host.
	pinned          map[string]float64        // Mean fraction of requests that may run in one region only, by region.
	sharesUpdated   time.Time                 // Last update of shares.
	reportLife      time.Duration             // Age at which a reported load expires.
	answerTime      ewma                      // Latency of answers, in seconds.
	work            ewma                      // Latency of requests without the wait in the target's queue, in seconds.
	classes         map[string]*class         // By name.
	activeClasses   []*class                  // Classes with a request within activeTime.
	warmup          time.Duration             // Time for which a started target is cold.
	coldRate        float64                   // Requests per second that a cold target may get from this host.

	hosts     []fleetHost // Registered hosts.
	fleetSize int         // Number of hosts that share the targets, with those that are not registered.
	yielding  yielding

	demand        map[string]float64 // Mean fraction of all requests that comes from each region; nil means equal demand.
	features      steer.Features
	contested     bool   // The deployment announces contested capacity.
	ownDataCentre string // Data centre of this host.

	maxInFlight int // Limit on this host's requests in progress at a target, each of which takes a connection; 0 for none.

	maxBodies int64 // Limit in bytes on the bodies of this host's requests in progress at a target; 0 for none.

	spillFraction float64 // Fraction of the requests that may leave their region because it is full.
	requests      int     // Requests since spillFraction was last updated.
	foundFull     int     // Those of requests that found their region full.
	spilled       int     // Those of foundFull that left their region.

	pinnedRequests map[string]int // Those of requests that may run in one region only, by region.
	lastRequest    time.Time      // Arrival of the last request.
	spillUpdated   time.Time      // Last update of spillFraction.

	speeds  serviceSpeeds
	objects objectMemory
	weights weights
}

func newService(c Config) *service {
	return &service{
		onEjection:    c.Ejection,
		onLimitChange: c.LimitChange,
		features:      c.Features,
		contested:     c.Deployment.ContestedCapacity,
		ownDataCentre: c.DataCentre,

		targets: map[string]*targetState{},
		classes: map[string]*class{},
		pinned:  map[string]float64{},

		pinnedRequests: map[string]int{},
		reportLife:     minReportLife,
		speeds:         newServiceSpeeds(c),
	}
}

// update replaces the registered targets, and keeps the state of those that stay. Targets of data centres that are being
// emptied are left out.
func (s *service) update(now time.Time, list []*belief.RegisteredTarget, view *belief.View, c Config, fleet Fleet) {
	targets := make(map[string]*targetState, len(list))
	s.targetsByRegion = map[string][]*targetState{}
	for _, target := range list {
		if view.Emptied[target.DataCentre] || target.HomeRegion == "" {
			continue
		}
		t := s.targets[target.ID]
		if t == nil || !t.target.SameInstance(target) {
			t = &targetState{
				service: s,
				idHash:  xxhash.Sum64String(target.ID),
			}
		}
		t.target = target
		targets[target.ID] = t
		s.targetsByRegion[target.HomeRegion] = append(s.targetsByRegion[target.HomeRegion], t)
	}
	s.targets = targets
	s.fleetSize = fleet.Hosts
	s.coldRate = 0
	if view.Index != nil {
		s.updateMaxBodies(view.Index.Plan.Limits.BodyBytes, fleet.Hosts)
	}
	if len(list) > 0 && view.Index != nil {
		plan := view.Index.Plan.Services[list[0].Service]
		s.coldRate = coldRateFraction * plan.WarmupRate / float64(fleet.MaxHosts)
		s.warmup = plan.Warmup
		s.maxInFlight = int(math.Ceil(connectionFraction * float64(plan.MaxConnections) / float64(fleet.Hosts)))
	}
	s.updateShares(now, c)
}

// updateShares recomputes the capacity of regions and their shares.
func (s *service) updateShares(now time.Time, c Config) {
	s.ownRegion = c.Region
	s.capacities = make(map[string]float64, len(c.Regions))
	for _, region := range c.Regions {
		s.capacities[region] = 0
	}
	s.updateCapacities()
	if s.shares == nil {
		s.shares = s.goalShares
	}
	s.advanceShares(now)
}

// updateCapacities recomputes the capacity of regions and the shares that follow from it.
func (s *service) updateCapacities() {
	for region := range s.capacities {
		s.capacities[region] = 0
	}
	for region, targets := range s.targetsByRegion {
		for _, t := range targets {
			s.capacities[region] += t.slots() * s.weights.of(t)
		}
	}
	s.updateGoal()
}

// updateGoal recomputes goalShares from the capacity of regions. Requests that may run in one region only take precedence
// there: the capacity that they need is subtracted before the other requests are divided among regions.
func (s *service) updateGoal() {
	total := 0.0
	for _, c := range s.capacities {
		total += c
	}
	unpinned := make(map[string]float64, len(s.capacities))
	for region, c := range s.capacities {
		unpinned[region] = math.Max(0, c-s.pinned[region]*total)
	}
	if s.goalShares = region.Divide(s.ownRegion, unpinned, s.demand); s.goalShares == nil {
		s.goalShares = region.Divide(s.ownRegion, s.capacities, s.demand)
	}
}

// updatePinned updates the mean fraction of requests that may run in one region only, for each region.
func (s *service) updatePinned() {
	for region := range s.capacities {
		fraction := float64(s.pinnedRequests[region]) / float64(max(s.requests, 1))
		s.pinned[region] += pinnedWeight * (fraction - s.pinned[region])
	}
	clear(s.pinnedRequests)
	s.updateGoal()
}

// advanceShares moves shares towards goalShares.
func (s *service) advanceShares(now time.Time) {
	if now.Sub(s.lastRequest) > idleTime {
		s.shares, s.sharesUpdated = s.goalShares, now // Without requests, the move needs no limit.
		return
	}
	s.shares = region.MoveTowards(s.shares, s.goalShares, region.MaxStep(now.Sub(s.sharesUpdated)), s.capacities)
	s.sharesUpdated = now
}

// refresh brings the shares of regions, spillFraction and the derived values up to date.
func (s *service) refresh(now time.Time) {
	if now.Sub(s.sharesUpdated) >= advanceInterval {
		s.advanceShares(now)
		s.refreshDerived(now)
	}
	if elapsed := now.Sub(s.spillUpdated); elapsed >= time.Second {
		fraction := 0.0
		if s.requests > 0 {
			fraction = float64(s.foundFull) / float64(s.requests)
		}
		step := maxSpillChange * math.Min(elapsed.Seconds(), 1)
		s.spillFraction = math.Min(maxSpill, s.spillFraction+math.Min(step, math.Max(-step, fraction-s.spillFraction)))
		s.updateWeights(now)
		s.updatePinned()
		s.requests, s.foundFull, s.spilled, s.spillUpdated = 0, 0, 0, now
	}
}

// maySpill counts a request that found its region full, and reports whether it may leave the region.
func (s *service) maySpill() bool {
	s.foundFull++
	return float64(s.spilled) < s.spillFraction*float64(s.requests)
}

// decision is the choice of a target for a request, or the reason for its refusal, with what led to it.
type decision struct {
	keyRegion string       // Region of the key by the shares of regions.
	region    string       // Region in which a target was looked for; differs from keyRegion if that cannot be used.
	first     *targetState // First choice for the key; nil if no target is usable.
	alternate *targetState // Second target of the object; nil without one.
	target    *targetState // Nil for a refusal.
	rule      Rule         // Rule that chose target.
	reason    steer.Reason // Reason for the refusal; empty if there is a target.
}

// choose counts a request and returns the target for it, or the reason for a refusal.
func (s *service) choose(now time.Time, request Request, position float64, hash uint64, c Config) decision {
	s.recordArrival(now, &request)
	d := s.decide(now, request, position, hash, c)
	if d.target != nil {
		d.target.takeToken(now)
	}
	return d
}

// recordArrival counts a request and determines whether it leaves targets with limits to more urgent ones.
func (s *service) recordArrival(now time.Time, request *Request) {
	s.requests++
	s.lastRequest = now
	s.class(request.Class).request(now, request)
	if onlyRegion := request.onlyRegion(); onlyRegion != "" {
		s.pinnedRequests[onlyRegion]++
	}
	request.avoidsLimits = s.yielding.withholds(now, request.Priority)
}

// decide returns the target for a request or the reason for a refusal. The first choice is the target that the key prefers in the
// key's region. It is used while it has room. Token buckets and estimates are brought up to date on the way, and a request that finds
// its region full is counted.
func (s *service) decide(now time.Time, request Request, position float64, hash uint64, c Config) decision {
	d := decision{
		keyRegion: region.At(s.shares, position),
		region:    s.regionOf(request, position, c),
		rule:      RuleFirst,
	}
	if d.region == "" {
		d.reason = steer.ReasonNoTarget
		return d
	}
	home := s.home(now, request, hash, func(other string) bool { return other == d.region })
	if home == nil {
		d.rule = RuleOtherRegion
		home = s.home(now, request, hash, func(other string) bool { return other != d.region && request.allowsRegion(other) })
	}
	if home == nil {
		d.reason = s.noTargetReason(now, &request)
		return d
	}
	d.first = home
	t := home
	if s.usesCopies() {
		d.first, d.alternate, t = s.chooseCopy(now, &request, hash, home.target.HomeRegion)
		if t != d.first {
			d.rule = RuleAlternate
		}
	}
	bodiesFull := s.bodiesFull(t, &request)
	if t.loadPerSlot(now) >= s.loadLimit(now, &request, t) || s.full(t) || bodiesFull {
		d.rule = RuleLimited
		if t = s.spareLimited(now, request, hash, d.region); t == nil {
			d.rule = RuleOverflow
			t = s.overflow(now, request, hash, d.region)
		}
		if t == nil && bodiesFull {
			d.reason = steer.ReasonTargetMemory
			return d
		}
		if t == nil {
			d.reason = steer.ReasonCapacity
			return d
		}
	}
	if s.expectedLatency(now, t, &request) > request.TimeLeft.Seconds() {
		d.reason = steer.ReasonDeadline
		return d
	}
	d.target = t
	return d
}

// overflow returns the target that the key prefers in the other regions, if that has room and one more request may leave its
// region. It is the same target each time, so it caches the object. Other targets of the region are not tried: they do not
// have the object in their cache, take three times as long for it and evict another one, which slows everything down when
// all targets are busy.
func (s *service) overflow(now time.Time, request Request, hash uint64, region string) *targetState {
	if !s.maySpill() {
		return nil
	}
	t := s.home(now, request, hash, func(other string) bool { return other != region && request.allowsRegion(other) })
	if t == nil || t.loadPerSlot(now) >= maxOverflowLoad || s.full(t) || s.bodiesFull(t, &request) {
		return nil
	}
	s.spilled++
	return t
}

// spareLimited returns the target of a region that the key prefers among those that have named a limit and may still get a
// request. Their own objects do not use up the limits, because a limit is shared by a few hosts only. An object that is not
// cached costs such a target no more than it allows for.
func (s *service) spareLimited(now time.Time, request Request, hash uint64, region string) *targetState {
	inRegion := s.usable(now, request, func(other string) bool { return other == region })
	return preferred(hash, func(yield func(*targetState) bool) {
		for t := range inRegion {
			if t.limit != nil && t.loadPerSlot(now) < maxOverflowLoad && !s.full(t) && !s.bodiesFull(t, &request) && !yield(t) {
				return
			}
		}
	})
}

// noTargetReason returns the reason for the refusal of a request that finds no usable target.
func (s *service) noTargetReason(now time.Time, request *Request) steer.Reason {
	for region, targets := range s.targetsByRegion {
		if !request.allowsRegion(region) {
			continue
		}
		for _, t := range targets {
			if t.limit != nil && t.usable(now) && !slices.Contains(request.Tried, t.target.ID) {
				return steer.ReasonTargetLimit
			}
		}
	}
	return steer.ReasonNoTarget
}

// full reports whether a target has all the requests in progress, one a connection, that this host may send to it.
func (s *service) full(t *targetState) bool { return s.maxInFlight > 0 && t.inFlight >= s.maxInFlight }

// regionOf returns the region at whose targets a request is tried first: that of its key, if it may run there and there are targets.
// It returns "" if there is none.
func (s *service) regionOf(request Request, position float64, c Config) string {
	keyRegion := region.At(s.shares, position)
	if !request.allowsRegion(keyRegion) || s.capacities[keyRegion] == 0 {
		return s.fallbackRegion(request, c)
	}
	return keyRegion
}

// fallbackRegion returns a region with targets in which the request may run: the own region if possible, else the one with
// the largest capacity. It returns "" if there is none.
func (s *service) fallbackRegion(request Request, c Config) string {
	if request.allowsRegion(c.Region) && s.capacities[c.Region] > 0 {
		return c.Region
	}
	best := ""
	for region, capacity := range s.capacities {
		if capacity > 0 && request.allowsRegion(region) && (best == "" || capacity > s.capacities[best] ||
			capacity == s.capacities[best] && region < best) {
			best = region
		}
	}
	return best
}

// home returns the target that a key prefers among the usable ones of some regions. It returns nil if none is usable.
func (s *service) home(now time.Time, request Request, hash uint64, inRegion func(region string) bool) *targetState {
	return preferred(hash, s.usable(now, request, inRegion))
}

// preferred returns the target that a key prefers, by highest random weight (rendezvous hashing), or nil if there is none.
func preferred(hash uint64, targets iter.Seq[*targetState]) *targetState {
	var best *targetState
	highest := 0.0
	for t := range targets {
		if score := t.score(hash); best == nil || score > highest {
			best, highest = t, score
		}
	}
	return best
}

// usable yields the targets of some regions to which the request may be sent.
func (s *service) usable(now time.Time, request Request, inRegion func(region string) bool) iter.Seq[*targetState] {
	return func(yield func(*targetState) bool) {
		for region, targets := range s.targetsByRegion {
			if !inRegion(region) {
				continue
			}
			for _, t := range targets {
				if t.usable(now) && !slices.Contains(request.Tried, t.target.ID) && t.admits(now, s.coldRate) &&
					t.admitsLimit(now, &request) && !yield(t) {
					return
				}
			}
		}
	}
}

// recordLatency records the latency of a request of a class, given the load per slot of its target when it was sent. The
// latency of a request that was not answered in time is a lower bound, and counts only if it exceeds the known work.
func (s *service) recordLatency(name string, latency time.Duration, loadPerSlot float64, answered bool) {
	c := s.class(name)
	work := latency.Seconds() / math.Max(1, loadPerSlot)
	if !answered && work < c.work.value {
		return
	}
	if answered {
		s.answerTime.add(latency.Seconds())
	}
	s.work.add(work)
	c.work.add(work)
}

// class holds what is known of requests that take about the same work.
type class struct {
	work        ewma      // Latency without the wait in the target's queue, in seconds.
	objective   float64   // Latency objective of the last request, in seconds; 0 means none.
	priority    ewma      // Mean priority of requests, which differs by customer.
	lastRequest time.Time // Arrival of the last request.
}

// class returns the class of a name, and creates it if needed. When there are too many classes, it drops all of them first.
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

// request records a request of the class.
func (c *class) request(now time.Time, r *Request) {
	c.objective, c.lastRequest = r.Objective.Seconds(), now
	c.priority.add(float64(r.Priority))
}

// refreshDerived recomputes the values that change slowly: activeClasses and reportLife.
func (s *service) refreshDerived(now time.Time) {
	s.reportLife = time.Duration(reportLifeFactor * s.work.value * float64(time.Second))
	s.reportLife = min(max(s.reportLife, minReportLife), maxReportLife)
	s.activeClasses = s.activeClasses[:0]
	for _, c := range s.classes {
		if now.Sub(c.lastRequest) < activeTime {
			s.activeClasses = append(s.activeClasses, c)
		}
	}
}

// expectedWork returns the mean work in seconds of a class, or of all requests if that of the class is not known.
func (s *service) expectedWork(name string) float64 {
	if c := s.classes[name]; c != nil && c.work.count > 0 {
		return c.work.value
	}
	return s.work.value
}

// maxWorkFraction bounds the expected work of a request, as a fraction of the time until its deadline. The work of its class
// may be unknown or out of date, and is only learned from requests that are sent.
const maxWorkFraction = 0.5

// expectedLatency returns the time in seconds until a target has answered one more request. The work counts only up to the
// objective: when all answers are late, a late answer is still better than none.
func (s *service) expectedLatency(now time.Time, t *targetState, request *Request) float64 {
	slowness := t.noticedSlowness(now)
	work := math.Min(slowness*s.expectedWork(request.Class), maxWorkFraction*request.TimeLeft.Seconds())
	if request.Objective > 0 {
		work = math.Min(work, request.Objective.Seconds())
	}
	return work + slowness*s.work.value*math.Max(0, t.loadPerSlot(now)-1)
}

// retryAfter returns the time after which a queue of one request for each slot is worked off.
func (s *service) retryAfter() time.Duration {
	d := time.Duration(2 * s.answerTime.value * float64(time.Second))
	return min(max(d, minFullRetryAfter), maxFullRetryAfter)
}
