package entry_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"monsoonhub.example/steer"
	"monsoonhub.example/steer/internal/edge/entry"
)

const (
	step       = 10 * time.Millisecond
	round      = 250 * time.Millisecond  // Of messages between hosts.
	answerTime = 1500 * time.Millisecond // For which callers keep an answer of the directory; up to three times as long.
	leaseTerm  = 4 * time.Second
	objective  = 400 * time.Millisecond // Of the route with large responses.
)

// testHost is a host whose responses wait for its link and its processor.
type testHost struct {
	*steer.HostEntry
	selector *entry.Selector
	meter    *entry.Meter
	linkFree time.Time // When the link has sent what it was given.
	cpuFree  time.Time
	sent     float64 // Bytes given to the link.
	cpu      time.Duration
	down     bool // Killed or suspended.
	downAt   time.Time
	older    bool    // Runs a build that neither reports nor selects.
	cutOff   bool    // Exchanges no messages.
	link     float64 // Mbit/s; registered by newer builds only.
	cores    float64
}

// fleet is a data centre with callers that spread their requests evenly over the hosts that the directory names.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	mode    steer.Mode
	hosts   []*testHost
	answers [][]netip.AddrPort // Of 200 callers.
	expires []time.Time

	bytes                     float64         // Of a response.
	work                      time.Duration   // Processor time of a request.
	waits                     []time.Duration // Of responses, for link and processor.
	failed                    int             // Requests to hosts that are down.
	counts                    map[int]int     // Answers by number of addresses.
	changes, removals, splits int
	named                     []string
}

func newFleet(t *testing.T, mode steer.Mode, links, cores []float64) *fleet {
	t.Helper()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	f := &fleet{
		now:     start,
		random:  rand.New(rand.NewPCG(seed, 0)),
		mode:    mode,
		answers: make([][]netip.AddrPort, 200),
		expires: make([]time.Time, 200),
		bytes:   90e3,
	}
	for i, h := range newHosts("a", "r", links...) {
		h.CPUCores = cores[i]
		f.hosts = append(f.hosts, &testHost{
			HostEntry: h,
			link:      links[i],
			cores:     cores[i],
		})
		f.restart(f.hosts[i])
	}
	return f
}

// restart starts a host again, without knowledge.
func (f *fleet) restart(h *testHost) {
	h.down, h.linkFree, h.cpuFree = false, f.now, f.now
	h.meter = entry.NewMeter(h.link, h.cores)
	h.selector = entry.New(entry.Config{
		Host:       h.ID,
		DataCentre: h.DataCentre,
		Mode:       f.mode,
	})
}

func (f *fleet) takeDown(hosts ...*testHost) {
	for _, h := range hosts {
		h.down, h.downAt = true, f.now
	}
}

// registered returns the registered hosts, with this one.
func (f *fleet) registered() []*steer.HostEntry {
	var hosts []*steer.HostEntry
	for _, h := range f.hosts {
		if !h.down || f.now.Sub(h.downAt) < leaseTerm {
			hosts = append(hosts, h.HostEntry)
		}
	}
	return hosts
}

// run lets callers send requests at a rate that depends on the time, and hosts exchange their loads.
func (f *fleet) run(d time.Duration, perSecond func(t time.Duration) float64) {
	f.waits, f.failed, f.counts, f.changes, f.removals, f.splits = nil, 0, map[int]int{}, 0, 0, 0
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		if f.now.Sub(start)%round == 0 {
			f.exchange()
		}
		for due += perSecond(f.now.Sub(start)) * step.Seconds(); due >= 1; due-- {
			f.request()
		}
	}
}

// exchange is a round of messages. It counts changes of the answers and rounds in which hosts answer differently.
func (f *fleet) exchange() {
	registered := f.registered()
	var first []string
	for _, h := range slices.Backward(f.hosts) { // The answers of the last host are compared with those of others: the first one decides.
		if h.down || h.older {
			continue
		}
		backlog := max(h.linkFree.Sub(f.now), 0).Seconds() * h.link * 1e6 / 8
		load, ok := h.selector.Update(f.now, registered, largePlan, h.meter.Add(entry.Sample{
			At:   f.now,
			Sent: int64(h.sent - backlog),
			CPU:  h.cpu - time.Duration(max(h.cpuFree.Sub(f.now), 0).Seconds()*h.cores*float64(time.Second)),
		}))
		for _, other := range f.hosts {
			if ok && other != h && !other.down && !other.older && !other.cutOff && !h.cutOff {
				other.selector.Receive(f.now, h.DataCentre, h.ID, load)
			}
		}
		var ids []string
		for _, address := range h.selector.Addresses(f.now, registered, largePlan, "r", "a") {
			ids = append(ids, address.String())
		}
		switch {
		case h.cutOff:
		case first == nil:
			first = ids
		case !slices.Equal(ids, first):
			f.splits++
		}
	}
	if !slices.Equal(first, f.named) {
		f.changes++
		if slices.ContainsFunc(f.named, func(id string) bool { return !slices.Contains(first, id) }) {
			f.removals++
		}
		f.named = first
	}
}

// request is one request of a random caller, which tries one of the hosts that it knows.
func (f *fleet) request() {
	caller := f.random.IntN(len(f.answers))
	if !f.now.Before(f.expires[caller]) {
		for _, i := range f.random.Perm(len(f.hosts)) {
			if h := f.hosts[i]; !h.down {
				s := h.selector
				if h.older {
					s = newSelector(steer.ModeOff)
				}
				f.answers[caller] = s.Addresses(f.now, f.registered(), largePlan, "r", "a")
				f.counts[len(f.answers[caller])]++
				break
			}
		}
		f.expires[caller] = f.now.Add(time.Duration((1 + 2*f.random.Float64()) * float64(answerTime)))
	}
	address := f.answers[caller][f.random.IntN(len(f.answers[caller]))]
	h := f.hosts[slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.Address == address })]
	if h.down {
		f.failed++
		f.expires[caller] = f.now // It asks again, as callers do after a failure.
		return
	}
	h.sent += f.bytes
	h.cpu += f.work
	h.linkFree = later(h.linkFree, f.now).Add(time.Duration(f.bytes * 8 / 1e6 / h.link * float64(time.Second)))
	h.cpuFree = later(h.cpuFree, f.now).Add(time.Duration(float64(f.work) / h.cores))
	f.waits = append(f.waits, later(h.linkFree, h.cpuFree).Sub(f.now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// p99 returns the time within which 99 % of the responses have left their host.
func (f *fleet) p99() time.Duration {
	slices.Sort(f.waits)
	return f.waits[len(f.waits)*99/100]
}

func (f *fleet) summary(t *testing.T, name string) {
	t.Helper()
	t.Logf("%s: %d responses, p99 %v, %d failed, answers %v, %d changes, %d removals, %d splits", name, len(f.waits), f.p99(),
		f.failed, f.counts, f.changes, f.removals, f.splits)
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// oscillating is demand as that of the regions of the work page.
func oscillating(perSecond float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 { return perSecond * (1 + 0.55*math.Sin(2*math.Pi*t.Seconds()/36)) }
}

var (
	sixLinks = []float64{200, 200, 10, 10, 10, 10}
	sixCores = []float64{0.8, 0.8, 0.43, 0.43, 0.4, 0.4}
)

// newBusyFleet returns a fleet with short responses, whose wide hosts alone cannot serve 330 requests a second.
func newBusyFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, steer.ModeAuto, sixLinks, sixCores)
	f.bytes, f.work = 2e3, 5*time.Millisecond
	return f
}

// Guards against responses that wait for links although wide links have room: on narrow links that the directory names beside wide ones,
// also when these are loaded and narrow ones would only make it worse.
func TestLargeResponsesDoNotWaitForNarrowLinks(t *testing.T) {
	f := newFleet(t, steer.ModeOff, sixLinks, sixCores)
	f.run(20*time.Second, steady(100))
	f.summary(t, "all hosts are named")
	assert.Check(t, f.p99() > objective, "the load should be too much for narrow links")
	for _, perSecond := range []float64{30, 100, 300} { // 22, 72 and 216 Mbit/s; the last one loads the wide links above 0.5.
		f := newFleet(t, steer.ModeAuto, sixLinks, sixCores)
		f.run(72*time.Second, oscillating(perSecond))
		f.summary(t, "hosts are named by capacity")
		assert.Check(t, f.p99() < objective/10, "%v at %v/s", f.p99(), perSecond)
		assert.Check(t, f.changes == 1 && f.splits == 0)
	}
}

// Guards against wide hosts whose processors are overloaded while narrow ones are idle, against named hosts that come and go with demand
// that oscillates, and against narrow hosts that stay named when they are not needed any more.
func TestNarrowHostsAreNamedUnderLoad(t *testing.T) {
	f := newBusyFleet(t)
	f.run(10*time.Second, steady(330))
	f.run(30*time.Second, steady(330))
	f.summary(t, "constant load")
	assert.Check(t, f.p99() < 100*time.Millisecond, "%v", f.p99())

	f = newBusyFleet(t)
	f.run(20*time.Second, oscillating(200))
	f.run(4*time.Minute, oscillating(200))
	f.summary(t, "oscillating load")
	assert.Check(t, f.p99() < 100*time.Millisecond, "%v", f.p99())
	assert.Check(t, f.changes == 0 && f.splits == 0)

	f.run(15*time.Second, steady(20))
	assert.Check(t, f.removals == 0)
	f.run(2*time.Minute, steady(20))
	f.summary(t, "little load")
	assert.Check(t, f.removals <= 4 && f.splits <= 4*len(f.hosts), "hosts are removed one by one")
	assert.Equal(t, len(f.named), 2)
}

// Guards against callers without a host that serves: for longer than it takes to notice, when all wide hosts of a data centre are killed
// or suspended, and against narrow ones that stay named, and overloaded, when the wide ones are back.
func TestWideHostsFailTogether(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		f := newFleet(t, steer.ModeAuto, sixLinks, sixCores)
		f.run(5*time.Second, steady(30))
		f.takeDown(f.hosts[:2]...)
		f.run(1500*time.Millisecond, steady(30))
		f.run(2*time.Second, steady(30))
		f.summary(t, "wide hosts are silent")
		assert.Check(t, len(f.waits) > 20, "%d of 60 requests reach a host that serves", len(f.waits))
		f.run(1500*time.Millisecond, steady(30))
		f.run(5*time.Second, steady(30))
		f.summary(t, "registrations have ended")
		assert.Check(t, f.failed < 15, "%d of 150", f.failed)
		for _, h := range f.hosts[:2] {
			h.down = false
			if restarts {
				f.restart(h)
			}
		}
		f.run(15*time.Second, steady(30))
		f.run(10*time.Second, steady(30))
		f.summary(t, "wide hosts are back")
		assert.Check(t, f.p99() < objective/10, "%v", f.p99())
		assert.Check(t, f.failed == 0 && f.changes == 0 && len(f.named) == 2)
	}
}

// Guards against hosts that callers use and that are no longer named because the host that decides was restarted, was suspended, or was
// cut off from the others for a while.
func TestNumberOfNamedHostsOutlivesTheHostThatDecides(t *testing.T) {
	f := newBusyFleet(t)
	f.run(15*time.Second, steady(330))
	assert.Equal(t, len(f.named), 6)
	fail := map[string]func(){
		"restarted": func() { f.restart(f.hosts[0]) },
		"suspended": func() {
			f.takeDown(f.hosts[0])
			f.run(3*time.Second, steady(250))
			f.hosts[0].down = false
		},
		"cut off": func() {
			f.hosts[0].cutOff = true
			f.run(30*time.Second, steady(250))
			f.hosts[0].cutOff = false
		},
	}
	for name, fail := range fail {
		fail()
		f.run(10*time.Second, steady(250))
		f.summary(t, name)
		assert.Check(t, f.removals == 0 && len(f.named) == 6, name)
	}
}

// Guards against hosts of an older build, whose capacity is not known and which do not report, that are left out or make the answers of
// others change.
func TestHalfOfTheHostsRunAnOlderBuild(t *testing.T) {
	f := newFleet(t, steer.ModeAuto, sixLinks, sixCores)
	for i := 1; i < len(f.hosts); i += 2 {
		h := f.hosts[i]
		h.older, h.LinkMbps, h.CPUCores = true, 0, 0
	}
	f.run(time.Minute, oscillating(30))
	f.summary(t, "half of the hosts run an older build")
	assert.Equal(t, len(f.named), 4, "one wide host and three of unknown capacity")
	assert.Check(t, f.changes == 1 && f.splits == 0)
}

// Guards against a load that is measured over too short a time, in one direction of the link only, or without a known capacity.
func TestMeter(t *testing.T) {
	m, unknown := entry.NewMeter(10, 0.5), entry.NewMeter(0, 0)
	var got steer.HostLoad
	for i := range 9 {
		s := entry.Sample{
			At:       start.Add(time.Duration(i) * round),
			Received: int64(i) * 62500,
			Sent:     int64(min(i, 4)) * 125000,
			CPU:      time.Duration(i) * 25 * time.Millisecond,
		}
		got = m.Add(s)
		assert.Equal(t, unknown.Add(s), steer.HostLoad{})
		if i == 4 {
			assert.Assert(t, math.Abs(got.Link-0.4) < 0.001, "%v", got)
		}
	}
	assert.Assert(t, math.Abs(got.Link-0.2) < 0.001 && math.Abs(got.CPU-0.2) < 0.001, "%v", got)
}

// newLargeFleet returns 470 hosts in 10 data centres and 3 regions, a third of them with wide links.
func newLargeFleet() []*steer.HostEntry {
	var hosts []*steer.HostEntry
	for i := range 10 {
		links := slices.Concat(slices.Repeat([]float64{200}, 16), slices.Repeat([]float64{10}, 31))
		hosts = append(hosts, newHosts(string(rune('a'+i)), string(rune('r'+i%3)), links...)...)
	}
	return hosts
}

func BenchmarkAddresses(b *testing.B) {
	hosts := newLargeFleet()
	for _, c := range []struct {
		name, dataCentre string
		mode             steer.Mode
	}{
		{name: "off", dataCentre: "d", mode: steer.ModeOff},
		{name: "data centre", dataCentre: "d", mode: steer.ModeAuto},
		{name: "region", dataCentre: "none", mode: steer.ModeAuto},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := newSelector(c.mode)
			for b.Loop() {
				s.Addresses(start, hosts, largePlan, "r", c.dataCentre)
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	hosts, s, now := newLargeFleet(), newSelector(steer.ModeAuto), start
	for b.Loop() {
		now = now.Add(round)
		for _, h := range hosts[1:47] {
			s.Receive(now, "a", h.ID, steer.HostLoad{})
		}
		s.Update(now, hosts, largePlan, steer.HostLoad{})
	}
}
