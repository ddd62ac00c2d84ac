package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/region"
)

// maxExplainedTargets bounds the targets in an Explanation. The ones left out are those that the key prefers least.
const maxExplainedTargets = 16

// Rule names the rule that chose a target.
type Rule string

// Rules that choose targets, in the order in which they are tried.
const (
	RuleFirst       Rule = "first-target"      // The key prefers the target in its region, and it has room.
	RuleAlternate   Rule = "alternate-target"  // The second target of the object is expected to take less time.
	RuleOtherRegion Rule = "other-region"      // No target of the key's region is usable, so another region has the first target.
	RuleLimited     Rule = "target-with-limit" // The first target is full, and a target with a limit may get one more request.
	RuleOverflow    Rule = "overflow"          // The first target is full, and the request may leave its region.
)

// Explanation says where a request would go and why. Its JSON form has durations in nanoseconds.
type Explanation struct {
	Service      string        `json:"service"`
	TargetCount  int           `json:"target-count"` // Targets that the service has in all regions.
	Shares       []RegionShare `json:"shares"`       // Shares of regions in force, for the requests of this host's region.
	KeyRegion    string        `json:"key-region"`   // Region of the key by the shares.
	Region       string        `json:"region"`       // Region in which a target was looked for; differs if the request may not run in KeyRegion.
	First        string        `json:"first,omitempty"`
	Alternate    string        `json:"alternate,omitempty"` // Second target of the object; empty without one.
	Target       string        `json:"target,omitempty"`    // Chosen target; empty for a refusal.
	Rule         Rule          `json:"rule,omitempty"`      // Rule that chose Target.
	Reason       steer.Reason  `json:"reason,omitempty"`    // Reason for the refusal; empty if there is a target.
	RetryAfter   time.Duration `json:"retry-after-ns,omitempty"`
	TargetSpeed  bool          `json:"target-speed"`  // Learned speeds are in use.
	ObjectCopies bool          `json:"object-copies"` // Objects have two targets.

	Targets []TargetExplanation `json:"targets"` // Those of the request's region and the chosen one, in the order of preference.
	Omitted int                 `json:"omitted"` // Targets of the region beyond those in Targets.
}

// RegionShare is the share of a region in the requests of this host's region.
type RegionShare struct {
	Region   string  `json:"region"`
	Fraction float64 `json:"fraction"` // Fraction in force.
	Goal     float64 `json:"goal"`     // Fraction that it moves to.
	Capacity float64 `json:"capacity"` // Slots of the region by weight.
}

// TargetState says whether a target may get a request.
type TargetState string

// States of targets.
const (
	StateUsable   TargetState = "usable"
	StateFull     TargetState = "full" // Its load or its connections are at their limit for the request.
	StateReplaced TargetState = "replaced"
	StateEjected  TargetState = "ejected"
	StateTried    TargetState = "tried"       // The request was sent to it before.
	StateCold     TargetState = "cold"        // It is cold, and this host has no token for it.
	StateLimited  TargetState = "limit-spent" // Its limit has no token for the request.
)

// TargetExplanation is what is known of a target, and what that means for a request.
type TargetExplanation struct {
	ID             string        `json:"id"`
	DataCentre     string        `json:"data-centre"`
	Region         string        `json:"region"`
	State          TargetState   `json:"state"`
	Load           float64       `json:"load"`          // Estimated requests at the target.
	InProgress     int           `json:"in-progress"`   // Requests of this host at the target.
	ReportAge      time.Duration `json:"report-age-ns"` // Age of the report behind Load; negative without a report.
	Slots          int           `json:"slots"`
	LoadPerSlot    float64       `json:"load-per-slot"` // Load by Capacity.
	LoadLimit      float64       `json:"load-limit"`    // Load per slot from which the request is refused.
	Slowness       float64       `json:"slowness"`      // Time that it takes relative to the median target.
	Capacity       float64       `json:"capacity"`      // Requests in progress that it takes without slowing down.
	Weight         float64       `json:"weight"`        // Weight in the choice for an object.
	Expected       time.Duration `json:"expected-ns"`   // Time until the request is expected to be answered.
	KnowsObject    bool          `json:"knows-object"`  // This host sent it a request for the object lately, or the request has no object.
	Cold           bool          `json:"cold"`
	Limited        bool          `json:"limited"`
	LimitPerSecond float64       `json:"limit-per-second,omitempty"` // Requests that it takes from all hosts together.
	LimitShare     float64       `json:"limit-share,omitempty"`      // Those that this host may send.
	Ejected        bool          `json:"ejected"`
	EjectedUntil   time.Time     `json:"ejected-until,omitzero"` // End of the ejection in force.
	Replaced       bool          `json:"replaced"`
	Draining       bool          `json:"draining"`
}

// Explain says where Pick would send a request now and why, and changes nothing. It makes the decision on a copy of what is known of the
// service, because a decision brings shares, token buckets and estimates up to date. Only the copy is made under the mutex.
func (p *Placer) Explain(now time.Time, request Request) Explanation {
	s := p.cloneService(request.Service)
	if s == nil || len(s.targets) == 0 {
		return Explanation{
			Service:    request.Service,
			Reason:     steer.ReasonNoTarget,
			RetryAfter: noTargetRetryAfter,
		}
	}
	s.refresh(now)
	position, hash := positionAndHash(request)
	s.recordArrival(now, &request)
	d := s.decide(now, request, position, hash, p.config)
	x := Explanation{
		Service:      request.Service,
		TargetCount:  len(s.targets),
		Shares:       s.explainShares(),
		KeyRegion:    d.keyRegion,
		Region:       d.region,
		First:        d.first.id(),
		Alternate:    d.alternate.id(),
		Target:       d.target.id(),
		Reason:       d.reason,
		TargetSpeed:  s.usesSpeed(),
		ObjectCopies: s.usesCopies(),
	}
	if d.target == nil {
		x.RetryAfter = s.retryAfter()
	} else {
		x.Rule = d.rule
	}
	list := s.byPreference(&d, hash)
	x.Omitted = max(0, len(list)-maxExplainedTargets)
	for _, t := range list[:len(list)-x.Omitted] {
		x.Targets = append(x.Targets, s.explainTarget(now, t, &request, hash))
	}
	return x
}

// cloneService returns a copy of what is known of a service that shares no changing state with it, or nil if the service is unknown.
func (p *Placer) cloneService(name string) *service {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[name]
	if s == nil {
		return nil
	}
	return s.clone()
}

// clone returns a copy of the service for one decision. Values that are replaced as a whole, such as the registered hosts, are shared.
func (s *service) clone() *service {
	c := *s
	c.capacities, c.pinned, c.pinnedRequests = maps.Clone(s.capacities), maps.Clone(s.pinned), maps.Clone(s.pinnedRequests)
	c.demand = maps.Clone(s.demand)
	c.objects.slots = slices.Clone(s.objects.slots)
	c.speeds.references = nil // A decision learns nothing.
	c.targets = make(map[string]*targetState, len(s.targets))
	c.targetsByRegion = make(map[string][]*targetState, len(s.targetsByRegion))
	for region, targets := range s.targetsByRegion {
		states := make([]targetState, len(targets))
		list := make([]*targetState, len(targets))
		for i, t := range targets {
			states[i], list[i] = t.clone(&c), &states[i]
			c.targets[t.target.ID] = list[i]
		}
		c.targetsByRegion[region] = list
	}
	copies := make(map[*class]*class, len(s.classes))
	c.classes = make(map[string]*class, len(s.classes))
	for name, class := range s.classes {
		copied := *class
		c.classes[name], copies[class] = &copied, &copied
	}
	c.activeClasses = make([]*class, len(s.activeClasses))
	for i, class := range s.activeClasses {
		if copies[class] == nil { // It was dropped from classes.
			copied := *class
			copies[class] = &copied
		}
		c.activeClasses[i] = copies[class]
	}
	return &c
}

// clone returns a copy of the target's state that belongs to a copy of its service.
func (t *targetState) clone(s *service) targetState {
	c := *t
	c.service = s
	c.speed.sent = nil
	if t.limit != nil {
		limit := *t.limit
		c.limit = &limit
	}
	if t.speed.estimator != nil {
		c.speed.estimator = t.speed.estimator.Clone()
	}
	return c
}

// id returns the ID of a target, or "" for nil.
func (t *targetState) id() string {
	if t == nil {
		return ""
	}
	return t.target.ID
}

// shareDigits is the precision of shares in an Explanation. Sums over regions differ in the last bits from one decision to the next, by the
// order in which they are formed.
const shareDigits = 1e6

// explainShares returns the shares of all regions, sorted by name.
func (s *service) explainShares() []RegionShare {
	fraction := func(shares []region.Share, name string) float64 {
		sum := 0.0
		for _, share := range shares {
			if share.Region == name {
				sum += share.Fraction
			}
		}
		return math.Round(sum*shareDigits) / shareDigits
	}
	var list []RegionShare
	for _, name := range slices.Sorted(maps.Keys(s.capacities)) {
		list = append(list, RegionShare{
			Region:   name,
			Fraction: fraction(s.shares, name),
			Goal:     fraction(s.goalShares, name),
			Capacity: s.capacities[name],
		})
	}
	return list
}

// byPreference returns the targets of the region in which a decision looked for one, and those that it names: the chosen target, the
// first choice and the alternate, and then the others in the order in which the key prefers them.
func (s *service) byPreference(d *decision, hash uint64) []*targetState {
	var list []*targetState
	for _, t := range []*targetState{d.target, d.first, d.alternate} {
		if t != nil && !slices.Contains(list, t) {
			list = append(list, t)
		}
	}
	type scored struct {
		target *targetState
		score  float64
	}
	var others []scored
	for _, t := range s.targetsByRegion[d.region] {
		if !slices.Contains(list, t) {
			others = append(others, scored{
				target: t,
				score:  t.score(hash),
			})
		}
	}
	slices.SortStableFunc(others, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	for _, o := range others {
		list = append(list, o.target)
	}
	return list
}

// explainTarget returns what is known of a target, and what that means for a request.
func (s *service) explainTarget(now time.Time, t *targetState, request *Request, hash uint64) TargetExplanation {
	if request.Key == "" {
		hash = 0
	}
	x := TargetExplanation{
		ID:          t.target.ID,
		DataCentre:  t.target.DataCentre,
		Region:      t.target.HomeRegion,
		State:       s.stateOf(now, t, request),
		Load:        t.estimatedLoad(now),
		InProgress:  t.inFlight,
		ReportAge:   t.reportAge(now),
		Slots:       int(t.slots()),
		LoadPerSlot: t.loadPerSlot(now),
		LoadLimit:   s.loadLimit(now, request, t),
		Slowness:    t.slowness(now),
		Capacity:    t.capacity(now),
		Weight:      s.weights.of(t),
		Expected:    time.Duration(math.Round(s.expectedLatency(now, t, request) * float64(time.Second))),
		KnowsObject: s.objects.knows(now, t, hash),
		Cold:        t.cold(now),
		Limited:     t.limit != nil,
		Ejected:     now.Before(t.ejectedUntil),
		Replaced:    t.replaced,
		Draining:    t.target.Draining,
	}
	if t.limit != nil {
		x.LimitPerSecond, x.LimitShare = t.limit.perSecond, t.limit.share
	}
	if x.Ejected {
		x.EjectedUntil = t.ejectedUntil
	}
	return x
}

// stateOf returns whether a target may get a request, in the order in which a decision finds out.
func (s *service) stateOf(now time.Time, t *targetState, request *Request) TargetState {
	switch {
	case t.replaced:
		return StateReplaced
	case !t.usable(now):
		return StateEjected
	case slices.Contains(request.Tried, t.target.ID):
		return StateTried
	case !t.admits(now, s.coldRate):
		return StateCold
	case !t.admitsLimit(now, request):
		return StateLimited
	case t.loadPerSlot(now) >= s.loadLimit(now, request, t) || s.full(t):
		return StateFull
	default:
		return StateUsable
	}
}
