package admit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/admit"
)

const (
	tick  = 10 * time.Millisecond
	round = 250 * time.Millisecond // Between two reports of a host.
	slots = 9                      // Of a target.

	lateCredit = 0.25 // Worth of a late answer; customers of the page name a fifth to a third of one on time.
)

// class is a kind of request. Its work is that for an object that the target knows, and its limit the load per slot of a target
// from which the placer refuses it while there are more urgent classes of the service.
type class struct {
	share     float64 // Of all requests.
	work      time.Duration
	objective time.Duration
	timeout   time.Duration
	limit     float64
}

// classes by priority: those of customer B of the page.
var classes = []class{
	{share: 0.18, work: 310 * time.Millisecond, objective: 500 * time.Millisecond, timeout: 2500 * time.Millisecond, limit: 2.1},
	{share: 0.60, work: 440 * time.Millisecond, objective: 800 * time.Millisecond, timeout: 3 * time.Second, limit: 1.44},
	{share: 0.22, work: 570 * time.Millisecond, objective: 2500 * time.Millisecond, timeout: 4 * time.Second, limit: 0.89},
}

// caller is one request of a customer with its attempts.
type caller struct {
	random   *rand.Rand // What the caller does does not depend on what others do.
	priority int
	customer int
	started  time.Time
	at       time.Time // Of the next event.
	sentAt   time.Time
	work     time.Duration
	target   int // That of its object.
	host     int
	load     float64 // Of its target when it was sent.
	sent     bool    // The event is the answer, otherwise the next attempt.
}

type events []*caller

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(*caller)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// tally counts callers by what became of them.
type tally struct{ all, served, onTime int }

func (t *tally) add(other tally) {
	t.all, t.served, t.onTime = t.all+other.all, t.served+other.served, t.onTime+other.onTime
}

func (t tally) fraction() float64 { return float64(t.served) / math.Max(1, float64(t.all)) }

func (t tally) onTimeFraction() float64 { return float64(t.onTime) / math.Max(1, float64(t.all)) }

// fleet is a load on hosts that share the targets of one pool.
type fleet struct {
	callers  *rand.Rand // Loads with and without admission have the same callers.
	random   *rand.Rand
	now      time.Time
	begin    time.Time
	hosts    []*admit.Controller // Nil entries admit everything.
	centre   func(host int) int
	cut      map[int]bool  // Hosts that hear no others.
	targets  [][]time.Time // When each slot becomes free.
	reported []float64     // Load per slot as last reported, by target.
	queue    events
	sums     map[int][]steer.AdmissionReport // Of the last round, by data centre.
	skew     float64                         // Load of the busiest target as a multiple of the mean, less 1. Others have evenly spread loads.
	hot      float64                         // Fraction of the requests whose objects are at the first tenth of the targets; 0 if they are spread.
	limits   [3]float64                      // Load per slot from which the placer refuses requests, by priority.
	ignore   bool                            // Callers return at once, whatever Retry-After says.
	weights  []float64

	from, until time.Time // Callers that start in between are counted.
	priorities  [3]tally
	customers   []tally
	attempts    map[int]int // By round.
	admitted    map[int]int // Attempts that were admitted, by round.
	byHost      []tally     // Attempts, and those admitted.
}

func newFleet(seed uint64, hosts, targets int, admission bool) *fleet {
	f := &fleet{
		callers:   rand.New(rand.NewPCG(seed, 2)),
		random:    rand.New(rand.NewPCG(seed, 1)),
		begin:     time.Unix(1000, 0),
		now:       time.Unix(1000, 0),
		hosts:     make([]*admit.Controller, hosts),
		centre:    func(host int) int { return host % 6 },
		cut:       map[int]bool{},
		sums:      map[int][]steer.AdmissionReport{},
		targets:   make([][]time.Time, targets),
		reported:  make([]float64, targets),
		customers: make([]tally, 84),
		attempts:  map[int]int{},
		admitted:  map[int]int{},
		byHost:    make([]tally, hosts),
	}
	for p, c := range classes {
		f.limits[p] = c.limit
	}
	for i := range f.hosts {
		if admission {
			f.restart(i)
		}
	}
	for i := range f.targets {
		f.targets[i] = make([]time.Time, slots)
	}
	total := 0.0
	for i := range f.customers {
		total += math.Pow(float64(i+1), -1.2)
		f.weights = append(f.weights, total)
	}
	return f
}

func (f *fleet) restart(host int) {
	f.hosts[host] = admit.New(admit.Config{
		Mode:   steer.ModeOn,
		Random: f.random.Float64,
	})
}

// capacity returns the requests per second that the targets can answer.
func (f *fleet) capacity() float64 {
	work := 0.0
	for _, c := range classes {
		work += c.share * c.work.Seconds()
	}
	return float64(len(f.targets)*slots) / work
}

// run plays a demand that is a multiple of the capacity of all targets.
func (f *fleet) run(d time.Duration, demand func(priority int) float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		elapsed := f.now.Sub(f.begin)
		if elapsed%(10*tick) == 0 {
			f.reportLoads()
		}
		if elapsed%round == 0 {
			f.exchange()
		}
		for p, c := range classes {
			mean := demand(p) * c.share * f.capacity() * tick.Seconds()
			for n := f.callers.ExpFloat64(); n < mean; n += f.callers.ExpFloat64() {
				f.arrive(p)
			}
		}
		for len(f.queue) > 0 && !f.queue[0].at.After(f.now) {
			f.step(heap.Pop(&f.queue).(*caller))
		}
	}
}

func (f *fleet) arrive(priority int) {
	x, customer := f.callers.Float64()*f.weights[len(f.weights)-1], 0
	for f.weights[customer] < x {
		customer++
	}
	c := &caller{
		random:   rand.New(rand.NewPCG(f.callers.Uint64(), 1)),
		priority: priority,
		customer: customer,
		started:  f.now,
		work:     time.Duration((0.6 + 0.8*f.callers.Float64()) * float64(classes[priority].work)),
		target:   f.target(),
	}
	f.count(c, func(t *tally) { t.all++ })
	f.step(c)
}

// count counts a caller in its tallies if it started in the measured time.
func (f *fleet) count(c *caller, add func(t *tally)) {
	if !c.started.Before(f.from) && c.started.Before(f.until) {
		add(&f.priorities[c.priority])
		add(&f.customers[c.customer])
	}
}

// measure plays a demand and counts the callers that start meanwhile.
func (f *fleet) measure(d time.Duration, demand func(priority int) float64) {
	f.from, f.until = f.now, f.now.Add(d)
	clear(f.byHost)
	f.run(d, demand)
	hosts := slices.Clone(f.byHost)
	f.run(classes[2].timeout, demand)
	f.byHost = hosts
}

// level returns the mean level of all hosts.
func (f *fleet) level() float64 {
	sum := 0.0
	for _, host := range f.hosts {
		sum += host.Level(f.now, "tiles", "north") / float64(len(f.hosts))
	}
	return sum
}

// onTime returns the number of callers that were answered on time.
func (f *fleet) onTime() int {
	return f.priorities[0].onTime + f.priorities[1].onTime + f.priorities[2].onTime
}

// add adds the callers of another fleet, if there is one.
func (f *fleet) add(other *fleet) *fleet {
	if other == nil {
		return f
	}
	for p := range f.priorities {
		f.priorities[p].add(other.priorities[p])
	}
	for i := range f.customers {
		f.customers[i].add(other.customers[i])
	}
	return f
}

// all returns the number of callers.
func (f *fleet) all() int {
	return f.priorities[0].all + f.priorities[1].all + f.priorities[2].all
}

// served returns the number of callers that were answered.
func (f *fleet) served() int {
	return f.priorities[0].served + f.priorities[1].served + f.priorities[2].served
}

// credit returns what the answers are worth to callers: 1 on time, lateCredit late.
func (f *fleet) credit() float64 {
	return float64(f.onTime()) + lateCredit*float64(f.served()-f.onTime())
}

// fraction returns the fraction of the callers of some customers that were served.
func (f *fleet) fraction(from, to int) float64 {
	var sum tally
	for _, t := range f.customers[from:to] {
		sum.all, sum.served = sum.all+t.all, sum.served+t.served
	}
	return sum.fraction()
}

// step plays the next event of a caller.
func (f *fleet) step(c *caller) {
	k := classes[c.priority]
	if c.sent {
		latency := f.now.Sub(c.started)
		if latency > k.timeout {
			return
		}
		f.count(c, func(t *tally) {
			t.served++
			if latency <= k.objective {
				t.onTime++
			}
		})
		f.observe(c.host, admit.Outcome{
			Kind:      admit.Answered,
			Priority:  c.priority,
			Load:      c.load,
			LoadKnown: true,
			Latency:   f.now.Sub(c.sentAt),
			Objective: k.objective,
		})
		return
	}
	c.host = c.random.IntN(len(f.hosts))
	timeLeft := k.timeout - f.now.Sub(c.started)
	retryAfter, refused := f.try(c, timeLeft)
	if !refused {
		return
	}
	if f.ignore {
		retryAfter = 50 * time.Millisecond
	}
	if c.at = f.now.Add(retryAfter); retryAfter < timeLeft-k.work/2 {
		heap.Push(&f.queue, c)
	}
}

// try makes an attempt of a caller. It returns Retry-After if the attempt is refused.
func (f *fleet) try(c *caller, timeLeft time.Duration) (time.Duration, bool) {
	k := classes[c.priority]
	bin := int(f.now.Sub(f.begin) / round)
	f.attempts[bin]++
	f.byHost[c.host].all++
	if host := f.hosts[c.host]; host != nil {
		d := host.Decide(f.now, admit.Request{
			Service:  "tiles",
			Region:   "north",
			Customer: fmt.Sprint("customer-", c.customer),
			Priority: c.priority,
			TimeLeft: timeLeft,

			Objective: k.objective,
			TimeLost:  f.now.Sub(c.started),
		})
		if d.Refused {
			return d.RetryAfter, true
		}
	}
	f.admitted[bin]++
	f.byHost[c.host].served++
	t := c.target % len(f.targets) // The objects of a target that is away are divided among the others.
	c.load = f.reported[t]
	if c.load >= f.limits[c.priority] {
		f.observe(c.host, admit.Outcome{
			Kind:     admit.NoRoom,
			Priority: c.priority,
		})
		return time.Duration((0.9 + 0.45*c.random.Float64()) * float64(time.Second)), true
	}
	f.observe(c.host, admit.Outcome{
		Kind:      admit.Placed,
		Priority:  c.priority,
		Load:      c.load,
		LoadKnown: true,
	})
	first := 0
	for i, free := range f.targets[t] {
		if free.Before(f.targets[t][first]) {
			first = i
		}
	}
	begin := f.targets[t][first]
	if begin.Before(f.now) {
		begin = f.now
	}
	f.targets[t][first] = begin.Add(c.work)
	f.reported[t] += 1.0 / slots
	c.sentAt = f.now
	c.sent, c.at = true, begin.Add(c.work)
	heap.Push(&f.queue, c)
	return 0, false
}

// target returns the target of an object. The objects of the first targets are requested more often.
func (f *fleet) target() int {
	if f.hot > 0 {
		tenth := len(f.targets) / 10
		if f.callers.Float64() < f.hot {
			return f.callers.IntN(tenth)
		}
		return tenth + f.callers.IntN(len(f.targets)-tenth)
	}
	for {
		t, x := f.callers.IntN(len(f.targets)), f.callers.Float64()
		if x*(1+f.skew) < 1+f.skew-2*f.skew*float64(t)/float64(len(f.targets)) {
			return t
		}
	}
}

func (f *fleet) observe(host int, o admit.Outcome) {
	if f.hosts[host] != nil {
		f.hosts[host].Observe(f.now, "tiles", "north", o)
	}
}

// reportLoads sets the loads that hosts know. The load of a queue follows from the time that its work takes.
func (f *fleet) reportLoads() {
	mean := slots * float64(len(f.targets)) / f.capacity()
	for t, free := range f.targets {
		load := 0.0
		for _, at := range free {
			if left := at.Sub(f.now).Seconds(); left > 0 {
				load += math.Max(1, left/mean)
			}
		}
		f.reported[t] = load / slots
	}
}

// exchange passes the sum of the reports of each data centre to its hosts, one round late.
func (f *fleet) exchange() {
	for i, host := range f.hosts {
		if sum, ok := f.sums[f.centre(i)]; ok && host != nil && !f.cut[i] {
			host.Merge(f.now, "data-centre", sum)
		}
	}
	lists := map[int][][]steer.AdmissionReport{}
	for i, host := range f.hosts {
		if host != nil && !f.cut[i] {
			lists[f.centre(i)] = append(lists[f.centre(i)], host.Report(f.now))
		}
	}
	for centre, list := range lists {
		f.sums[centre] = admit.Combine(list...)
	}
}

func always(x float64) func(int) float64 { return func(int) float64 { return x } }
