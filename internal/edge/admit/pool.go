package admit

import (
	"math"
	"time"

	"monsoonhub.example/steer"
)

const (
	// minRetryAfter is the shortest time after which a refused caller is asked to return.
	minRetryAfter = 50 * time.Millisecond

	// minSpread is the shortest time over which the returns of refused callers are spread.
	minSpread = 300 * time.Millisecond

	// maxRetryFraction bounds Retry-After as a fraction of the time left. Callers do not wait for longer.
	maxRetryFraction = 1.0 / 3

	// minWorkFraction is the fraction of the mean latency of answers below which the time left is too short for an answer. A
	// target that knows the object takes a third of the time that it takes otherwise.
	minWorkFraction = 0.4

	// pressureDecay is the time constant of the mean of what requests found. It allows for a recovery within a second.
	pressureDecay = 300 * time.Millisecond

	// serviceDecay is the time constant of the rates of answers and refusals.
	serviceDecay = 700 * time.Millisecond

	// advanceInterval is the minimum time between two updates of a level. Updates happen as requests arrive.
	advanceInterval = 50 * time.Millisecond

	// shareInterval is the minimum time between two updates of fair shares, which take some microseconds.
	shareInterval = 200 * time.Millisecond

	// maxSample bounds what a request counts in the mean, in requests per slot, so that a few busy targets do not raise it while
	// others have room.
	maxSample = 1.6

	// lateSample is what a late answer of a target with a queue counts in the mean, in requests per slot.
	lateSample = 1.4

	// unknownSample is what a timely answer counts in the mean if the load of its target is not known.
	unknownSample = 0.5

	// minShedLoad is the load per slot from which a refusal by a target shows a lack of capacity. A target that refuses while
	// its slots are free is at fault, and refusing further requests at the host would not help it.
	minShedLoad = 0.8

	// priorWeight is the weight of a load of zero in the mean, in samples. It makes the level fall when nothing is heard.
	priorWeight = 0.5

	// maxSamples bounds the number of samples in the mean, so that the level falls within a second or two when nothing is heard.
	maxSamples = 30.0

	// maxPeerWeight bounds the weight of other hosts' samples in the mean, as a multiple of the own ones. Reports of others are
	// up to half a second old, and a mean of old figures alone makes the level oscillate.
	maxPeerWeight = 3.0

	// freePressure is the mean load per slot up to which there is free capacity, and the level is 0. fullPressure is that at
	// which all slots are in use most of the time, and further requests wait.
	freePressure = 0.9
	fullPressure = 1.1

	// growth is the fraction by which more is admitted than is answered, for each request per slot below fullPressure, so that
	// free slots are used. shrinkage is the fraction by which less is admitted for each above it, so that queues are worked off.
	// A larger one makes the level oscillate, since the load of targets follows the level by some hundred milliseconds.
	growth    = 3.0
	shrinkage = 2.0

	// minAdmitted is the smallest fraction of the demand that is admitted.
	minAdmitted = 0.01

	// maxRise and maxFall bound the change of the admitted fraction in a second, as powers of e: the level rises from 0 to 0.95
	// within a second, and falls as much within 0.6 s.
	maxRise = 3.0
	maxFall = 5.0

	// latencyWeight is the weight of one answer in the mean latency of answers.
	latencyWeight = 0.02

	// minWaitFraction is the shortest time after which a refused caller is asked to return, as a fraction of the time over which
	// returns are spread. With shorter ones, returns would be most of the requests, and most answers late.
	minWaitFraction = 0.5

	// waitWeight is the weight of one refusal in the mean time that refused callers are asked to wait.
	waitWeight = 0.05

	// returnFactor is the time lost, in mean times that refused callers were asked to wait, above which a caller has returned
	// twice. A first return has lost four thirds of the mean at most, a second one as much at least.
	returnFactor = 1.6
)

// noRoomSamples holds, by priority, what a refusal counts in the mean, in requests per slot. The placer refuses less urgent
// requests at a lower load of their target.
var noRoomSamples = [priorityLevels]float64{maxSample, maxSample, 1.0}

// pool is the state of one service in one region.
type pool struct {
	admitted   float64 // Fraction of the demand.
	advancedAt time.Time

	own       pressure
	arrivals  rate
	answers   rate
	refusals  rate
	latency   float64 // Mean latency of answers, in seconds.
	meanWait  float64 // Mean time that refused callers were asked to wait, in seconds.
	returning float64 // Mean fraction of requests that are returns of refused callers.

	priorities [priorityLevels]priority
	peers      map[string]*peerReport // By host, or by data centre if the hosts report together.
	sharedAt   time.Time              // Last update of fair shares.
	namedAt    time.Time              // When a report last named customers.
}

// pressure is an exponentially decaying mean of what requests found.
type pressure struct {
	samples float64
	sum     float64
	at      time.Time
}

// values returns the number and sum of the samples with their present weight.
func (p *pressure) values(now time.Time) (samples, sum float64) {
	f := decay(now.Sub(p.at), pressureDecay)
	return p.samples * f, p.sum * f
}

func (p *pressure) add(now time.Time, sample float64) {
	p.samples, p.sum = p.values(now)
	if p.samples > maxSamples {
		p.samples, p.sum = maxSamples, p.sum*maxSamples/p.samples
	}
	p.samples, p.sum, p.at = p.samples+1, p.sum+sample, now
}

func newPool(now time.Time) *pool {
	p := &pool{
		admitted:   1,
		advancedAt: now,
		meanWait:   minSpread.Seconds() / 2,
		peers:      map[string]*peerReport{},
	}
	for i := range p.priorities {
		p.priorities[i].customers = map[string]*usage{}
	}
	return p
}

// observe records what became of an admitted request.
func (p *pool) observe(now time.Time, o Outcome) {
	switch o.Kind {
	case Placed:
		if o.LoadKnown {
			p.own.add(now, math.Min(o.Load, maxSample))
		}
	case NoRoom:
		p.own.add(now, noRoomSamples[priorityIndex(o.Priority)])
	case Shed:
		if !o.LoadKnown || o.Load >= minShedLoad {
			p.own.add(now, maxSample)
		}
	case TimedOut:
		if !o.LoadKnown || o.Load >= fullPressure {
			p.own.add(now, lateSample)
		}
	case Answered:
		p.answers.add(now, serviceDecay, 1)
		if p.latency == 0 {
			p.latency = o.Latency.Seconds()
		}
		p.latency += latencyWeight * (o.Latency.Seconds() - p.latency)
		late := o.Objective > 0 && o.Latency > o.Objective
		switch {
		case late && (!o.LoadKnown || o.Load >= fullPressure):
			p.own.add(now, lateSample)
		case !late && !o.LoadKnown:
			p.own.add(now, unknownSample)
		}
	}
}

// advance moves the admitted fraction towards what the pressure calls for, and recomputes what follows from it.
func (p *pool) advance(now time.Time) {
	elapsed := now.Sub(p.advancedAt)
	if elapsed < advanceInterval {
		return
	}
	p.advancedAt = now
	goal := math.Max(minAdmitted, p.goal(now))
	least := p.admitted * math.Exp(-maxRise*elapsed.Seconds())
	most := p.admitted * math.Exp(maxFall*elapsed.Seconds())
	if p.admitted = math.Min(1, math.Max(least, math.Min(most, goal))); p.admitted < 1 {
		p.divide(now)
	}
}

// goal returns the fraction of the demand that is to be admitted. While all slots are in use, targets answer as many requests as
// there is capacity for, and about as many are admitted.
func (p *pool) goal(now time.Time) float64 {
	pressure := p.pressure(now)
	arriving, answered := p.rates(now)
	if pressure < freePressure || arriving == 0 {
		return 1
	}
	wanted := answered * (1 + growth*math.Max(0, fullPressure-pressure) - shrinkage*math.Max(0, pressure-fullPressure))
	return math.Max(0, math.Min(1, wanted/arriving))
}

// rates returns the requests that arrive and that are answered in a second at all known hosts.
func (p *pool) rates(now time.Time) (arriving, answered float64) {
	arriving, answered = p.arrivals.perSecond(now, serviceDecay), p.answers.perSecond(now, serviceDecay)
	for _, r := range p.peers {
		if now.Sub(r.receivedAt) <= reportLife {
			arriving, answered = arriving+r.report.Arriving, answered+r.report.Answered
		}
	}
	return arriving, answered
}

// pressure returns the mean of what requests found at this host and the others of the data centre, in requests per slot.
func (p *pool) pressure(now time.Time) float64 {
	samples, sum := p.own.values(now)
	peerSamples, peerSum := p.peerPressure(now)
	if limit := maxPeerWeight * math.Max(1, samples); peerSamples > limit {
		peerSum *= limit / peerSamples
		peerSamples = limit
	}
	return (sum + peerSum) / (samples + peerSamples + priorWeight)
}

// divide divides the admitted requests among priorities, the most urgent first. Within a priority, requests that can still be
// answered in time go before those that cannot, and customers share what is admitted of the former.
func (p *pool) divide(now time.Time) {
	var demand [priorityLevels][2]float64 // Requests per second, in time and late.
	room := 0.0
	for i := range p.priorities {
		l := &p.priorities[i]
		demand[i] = [2]float64{
			l.demand.perSecond(now, customerDecay) + p.peerRate(now, i, func(r *steer.AdmissionReport) []float64 { return r.Demand }),
			l.late.perSecond(now, customerDecay) + p.peerRate(now, i, func(r *steer.AdmissionReport) []float64 { return r.Late }),
		}
		room += p.admitted * (demand[i][0] + demand[i][1])
	}
	admitted := room
	take := func(demand float64) float64 {
		if demand < room {
			room -= demand
			return 1
		}
		fraction := room / math.Max(demand, math.SmallestNonzeroFloat64)
		room = 0
		return fraction
	}
	for i := range p.priorities {
		l := &p.priorities[i]
		l.minChance = probeFraction / math.Max(1, (demand[i][0]+demand[i][1])/math.Max(1, admitted))
		l.mean, l.lateChance = math.Max(l.minChance, take(demand[i][0])), take(demand[i][1])
	}
	if now.Sub(p.sharedAt) < shareInterval {
		return
	}
	p.sharedAt = now
	for i := range p.priorities {
		p.priorities[i].setFairShare(now, p.peerCustomers(now, i))
	}
}

// late reports whether a caller that returns cannot be answered in time any more. The host does not know how long an answer
// takes for this request, and allows for a short one.
func (p *pool) late(r *Request) bool {
	return r.TimeLost > 0 && r.Objective > 0 && r.TimeLost.Seconds()+minWorkFraction*p.latency > r.Objective.Seconds()
}

// chance returns the probability with which a request is admitted while the level is above 0.
func (p *pool) chance(now time.Time, l *priority, u *usage, r *Request, late, again bool) float64 {
	switch {
	case r.TimeLeft.Seconds() < minWorkFraction*p.latency:
		return l.minChance // Not 0: the latency of answers is only learned from requests that are admitted.
	case late:
		return math.Max(l.minChance, l.lateChance)
	default:
		return math.Max(l.minChance, l.chance(now, r.Customer, u, again))
	}
}

// returnedTwice updates the mean fractions of callers that return, and reports whether the caller of a request seems to have
// returned at least twice.
func (p *pool) returnedTwice(l *priority, r *Request, late bool) bool {
	again := !late && r.TimeLost.Seconds() > returnFactor*p.meanWait
	updateMean(&p.returning, r.TimeLost > 0)
	if !late {
		updateMean(&l.returned, again)
	}
	return again
}

// updateMean updates the mean fraction of requests that something applies to.
func updateMean(mean *float64, applies bool) {
	*mean -= returnWeight * *mean
	if applies {
		*mean += returnWeight
	}
}

// retryAfter counts a refusal and returns the time after which its caller is to return. The callers that are due to return are
// served beside others, in proportion to their numbers; their returns are spread over the time that this takes.
func (p *pool) retryAfter(now time.Time, timeLeft time.Duration, random float64) time.Duration {
	p.refusals.add(now, serviceDecay, 1)
	due := p.refusals.perSecond(now, serviceDecay) * p.meanWait
	served := p.answers.perSecond(now, serviceDecay) * p.returning
	latest := maxRetryFraction * math.Max(0, timeLeft.Seconds())
	spread := latest
	if due < latest*served {
		spread = math.Min(latest, math.Max(minSpread.Seconds(), due/served))
	}
	earliest := math.Min(spread, math.Max(minRetryAfter.Seconds(), minWaitFraction*spread))
	wait := earliest + random*(spread-earliest)
	p.meanWait += waitWeight * (wait - p.meanWait)
	return max(time.Millisecond, time.Duration(wait*float64(time.Second)))
}

// report returns what other hosts need to know, or false if there is no pressure.
func (p *pool) report(now time.Time, key poolKey) (steer.AdmissionReport, bool) {
	samples, sum := p.own.values(now)
	if p.admitted == 1 && sum < minReportedPressure*(samples+priorWeight) {
		return steer.AdmissionReport{}, false
	}
	r := steer.AdmissionReport{
		Service: key.service,
		Region:  key.region,
		Samples: samples,
		Sum:     sum,

		Arriving: p.arrivals.perSecond(now, serviceDecay),
		Answered: p.answers.perSecond(now, serviceDecay),
	}
	for i := range p.priorities {
		r.Demand = append(r.Demand, p.priorities[i].demand.perSecond(now, customerDecay))
		r.Late = append(r.Late, p.priorities[i].late.perSecond(now, customerDecay))
		r.Admitted = append(r.Admitted, p.priorities[i].admitted.perSecond(now, customerDecay))
	}
	if now.Sub(p.namedAt) >= customerInterval {
		p.namedAt = now
		for i := range p.priorities {
			r.Customers = p.priorities[i].appendCustomers(now, r.Customers, i)
		}
		r.Customers = LargestCustomers(r.Customers)
	}
	return r, true
}
