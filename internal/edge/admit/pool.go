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

	// freeSample, busySample and refusedSample are what requests count in the mean that were placed at a target with a free slot, at
	// another target, and that were refused. One that found a free slot makes up for three that were refused: a refusal by
	// admission would leave that slot unused, and would not help those whose targets are full.
	freeSample    = 0.0
	busySample    = 3.0
	refusedSample = 4.0

	// outcomeDecay is the time constant of the mean of what requests found. It allows for a recovery within a second.
	outcomeDecay = 300 * time.Millisecond

	// serviceDecay is the time constant of the rates of answers and refusals.
	serviceDecay = 700 * time.Millisecond

	// advanceInterval is the minimum time between two updates of a level. Updates happen as requests arrive.
	advanceInterval = 50 * time.Millisecond

	// shareInterval is the minimum time between two updates of fair shares. Each updates one priority, in turn, because it takes
	// several microseconds, and a decision 20 at most.
	shareInterval = 70 * time.Millisecond

	// minShedLoad is the load per slot from which a refusal by a target shows a lack of capacity. A target that refuses while
	// its slots are free is at fault, and refusing further requests at the host would not help it.
	minShedLoad = 0.8

	// priorWeight is the weight of requests placed at targets without a free slot that are assumed in the mean, in samples. It makes the level fall when nothing
	// is heard, and keeps a single refusal from raising it.
	priorWeight = 3.0

	// maxSamples bounds the number of samples in the mean, so that the level falls within a second or two when nothing is heard.
	maxSamples = 30.0

	// maxPeerWeight bounds the weight of other hosts' samples in the mean, as a multiple of the own ones. Reports of others are
	// up to half a second old, and a mean of old figures alone makes the level oscillate.
	maxPeerWeight = 3.0

	// minTolerated is the fraction of the admitted requests that the placer may refuse at least before less is admitted, less what
	// free slots make up for. Arrivals at a target vary, and with fewer refusals, slots stay free in between: with 0.25 and one
	// refusal for each free slot, 0.9 % fewer callers are served at a demand of 1.5 times the capacity.
	minTolerated = 0.34

	// toleratedGrowth is the increase of that fraction when hardly anything is admitted, most of it when fewer than one in ten is,
	// which means that callers return at once. Without it, 3 % fewer of these callers are served, and hosts that hear no others
	// admit up to 1.8 times as much as others.
	toleratedGrowth   = 0.4
	toleratedExponent = 8

	// freeFraction is the fraction of what is tolerated below which there is capacity for every request.
	freeFraction = 0.5

	// minLateFraction is the chance of requests that can only be answered late, as a fraction of the mean of their priority, if all
	// requests are returns. Otherwise slots stay free while late callers wait, and 1 % fewer are served when callers return at
	// once. lateExponent makes it small while callers respect Retry-After.
	minLateFraction = 0.35
	lateExponent    = 8

	// minAdmitted is the smallest fraction of the demand that is admitted.
	minAdmitted = 0.01

	// maxRise and maxFall bound the change of the admitted fraction in a second, as powers of e: the level rises from 0 to 0.95
	// within a second, and falls as much within 0.43 s.
	maxRise = 3.0
	maxFall = 7.0

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

// pool is the state of one service in one region.
type pool struct {
	admitted   float64 // Fraction of the demand.
	advancedAt time.Time

	own       outcomes
	arrivals  rate
	placed    rate // Requests for which a target was found that did not shed them.
	answers   rate
	refusals  rate
	latency   float64 // Mean latency of answers, in seconds.
	meanWait  float64 // Mean time that refused callers were asked to wait, in seconds.
	returning float64 // Mean fraction of requests that are returns of refused callers.

	priorities [priorityLevels]priority
	peers      map[string]*peerReport // By host, or by data centre if the hosts report together.
	sharedAt   time.Time              // Last update of fair shares.
	nextShared int                    // Priority whose fair shares were updated then.
	namedAt    time.Time              // When a report last named customers.
}

// outcomes is an exponentially decaying mean of what requests found.
type outcomes struct {
	samples float64
	sum     float64
	at      time.Time
}

// values returns the number and sum of the samples with their present weight.
func (o *outcomes) values(now time.Time) (samples, sum float64) {
	f := decay(now.Sub(o.at), outcomeDecay)
	return o.samples * f, o.sum * f
}

func (o *outcomes) add(now time.Time, sample float64) {
	o.samples, o.sum = o.values(now)
	if o.samples > maxSamples {
		o.samples, o.sum = maxSamples, o.sum*maxSamples/o.samples
	}
	o.samples, o.sum, o.at = o.samples+1, o.sum+sample, now
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
		p.priorities[i].fairShare = math.Inf(1)
	}
	return p
}

// observe records what became of an admitted request. Late answers and timeouts do not count as refusals: callers prefer a late
// answer to none.
func (p *pool) observe(now time.Time, o Outcome) {
	switch o.Kind {
	case Placed:
		p.placed.add(now, serviceDecay, 1)
		p.own.add(now, placedSample(&o))
	case NoRoom:
		p.own.add(now, refusedSample)
	case Shed:
		p.placed.add(now, serviceDecay, -1)
		if !o.LoadKnown || o.Load >= minShedLoad {
			p.own.add(now, refusedSample)
		}
	case Answered:
		p.answers.add(now, serviceDecay, 1)
		if p.latency == 0 {
			p.latency = o.Latency.Seconds()
		}
		p.latency += latencyWeight * (o.Latency.Seconds() - p.latency)
	}
}

// placedSample returns what a placed request counts.
func placedSample(o *Outcome) float64 {
	if o.LoadKnown && o.Load < 1 {
		return freeSample
	}
	return busySample
}

// advance moves the admitted fraction towards the goal, and recomputes what follows from it.
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

// goal returns the fraction of the demand that is to be admitted: as many as are placed, and so many more that the placer refuses
// the tolerated fraction of what is admitted. When it refuses fewer, the fraction grows.
func (p *pool) goal(now time.Time) float64 {
	refused := p.refusedFraction(now)
	arriving, placed := p.rates(now)
	tolerated := minTolerated + toleratedGrowth*math.Pow(1-p.admitted, toleratedExponent)
	if refused < freeFraction*tolerated || arriving == 0 {
		return 1
	}
	wanted := placed / (1 - tolerated)
	if refused < tolerated {
		wanted *= math.Pow(tolerated/refused, 2)
	}
	return math.Min(1, wanted/arriving)
}

// rates returns the requests that arrive and that are placed in a second at all known hosts.
func (p *pool) rates(now time.Time) (arriving, placed float64) {
	arriving, placed = p.arrivals.perSecond(now, serviceDecay), math.Max(0, p.placed.perSecond(now, serviceDecay))
	for _, r := range p.peers {
		if now.Sub(r.receivedAt) <= reportLife {
			arriving, placed = arriving+r.report.Arriving, placed+r.report.Placed
		}
	}
	return arriving, placed
}

// refusedFraction returns the fraction of the admitted requests that the placer refused at this host and the others of the data
// centre, less what free slots make up for.
func (p *pool) refusedFraction(now time.Time) float64 {
	samples, sum := p.own.values(now)
	peerSamples, peerSum := p.peerOutcomes(now)
	if limit := maxPeerWeight * math.Max(1, samples); peerSamples > limit {
		peerSum *= limit / peerSamples
		peerSamples = limit
	}
	return math.Max(0, (sum+peerSum+busySample*priorWeight)/(samples+peerSamples+priorWeight)-busySample)
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
	p.nextShared = (p.nextShared + 1) % priorityLevels
	p.priorities[p.nextShared].setFairShare(now, p.peerCustomers(now, p.nextShared))
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
		return math.Max(l.minChance, math.Max(l.lateChance, minLateFraction*math.Pow(p.returning, lateExponent)*l.mean))
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

// report returns what other hosts need to know, or false if there is no lack of capacity.
func (p *pool) report(now time.Time, key poolKey) (steer.AdmissionReport, bool) {
	samples, sum := p.own.values(now)
	if p.admitted == 1 && sum < minReportedSum {
		return steer.AdmissionReport{}, false
	}
	r := steer.AdmissionReport{
		Service: key.service,
		Region:  key.region,
		Samples: samples,
		Sum:     sum,

		Arriving: p.arrivals.perSecond(now, serviceDecay),
		Placed:   math.Max(0, p.placed.perSecond(now, serviceDecay)),
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
